//! A fake that has crashed listens again at its address, whoever was given its port meanwhile.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;

use siskinrock_fakes::engine::EngineFake;
use siskinrock_fakes::links::Links;
use siskinrock_fakes::service::ServiceFake;
use tokio::net::TcpStream;

/// Takes the port as an outgoing connection of the machine may, once nothing listens at the address.
async fn take_port(addr: SocketAddr) -> TcpListener {
    while TcpStream::connect(addr).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    TcpListener::bind((Ipv4Addr::LOCALHOST, addr.port())).expect("nobody else listens")
}

/// Guards against "Address already in use" where an engine restarts.
#[tokio::test]
async fn an_engine_restarts_where_its_port_was_given_to_others() {
    let engine = EngineFake::start("i-1", 5).await;
    engine.process.crash();
    let _taken = take_port(engine.addr).await;
    engine.restart("i-2").await;
    TcpStream::connect(engine.addr).await.expect("it listens again");
}

/// Guards against the same where a service restarts.
#[tokio::test]
async fn a_service_restarts_where_its_port_was_given_to_others() {
    let service = ServiceFake::start("s-1").await;
    service.process.crash();
    let _taken = take_port(service.addr).await;
    service.come_back("s-2").await;
    TcpStream::connect(service.addr).await.expect("it listens again");
}

/// Guards against the same where the listener before is held a moment longer, as by a process that is being
/// started.
#[tokio::test]
async fn a_fake_waits_for_its_address() {
    let held = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let addr = held.local_addr().unwrap().to_string();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(200));
        drop(held);
    });
    let (listened, task) = Links::default().listen(&addr, |_| async {}).await;
    assert_eq!(listened.to_string(), addr);
    task.abort();
}
