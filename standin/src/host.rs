//! A stand-in's thread, runtime and listener.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;

use salvo::prelude::*;
use socket2::{Domain, Socket, Type};

use crate::fault::{Faults, Gate, Order};

/// A running stand-in.
pub struct Host {
    /// Where it listens.
    pub addr: SocketAddr,
    /// The faults it shows.
    pub faults: Arc<Faults>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Host {
    /// Listens on `addr` and serves the router that `build` makes inside the runtime.
    ///
    /// # Panics
    ///
    /// If the address can't be bound: a stand-in has no other way to tell its test.
    pub fn start(addr: &str, build: impl FnOnce(Arc<Faults>) -> Router + Send + 'static) -> Host {
        let faults = Arc::new(Faults::default());
        let listener = bind(addr);
        let local = listener.local_addr().expect("a bound listener has an address");
        let in_thread = Arc::clone(&faults);
        let thread = thread::Builder::new()
            .name("standin".to_owned())
            .spawn(move || serve(listener, &in_thread, build))
            .expect("a thread can be started");
        Host { addr: local, faults, thread: Some(thread) }
    }

    /// Shows a fault.
    pub fn fault(&self, order: &Order) {
        self.faults.apply(order);
    }

    /// Closes every socket at once and waits until that has happened.
    pub fn kill(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.faults.death.notify_one();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.end();
    }
}

fn bind(addr: &str) -> std::net::TcpListener {
    let listener = std::net::TcpListener::bind(addr);
    let listener = listener.unwrap_or_else(|error| panic!("{addr} can't be bound: {error}"));
    listener.set_nonblocking(true).expect("a listener can be made non-blocking");
    listener
}

fn serve(
    listener: std::net::TcpListener,
    faults: &Arc<Faults>,
    build: impl FnOnce(Arc<Faults>) -> Router,
) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime can be built");
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::from_std(listener).expect("a listener is adopted");
        let acceptor = salvo::conn::tcp::TcpAcceptor::try_from(listener).expect("an acceptor");
        let router = Router::new().hoop(Gate(Arc::clone(faults))).push(build(Arc::clone(faults)));
        let router = router.push(Router::with_path("fault").post(answer_empty));
        tokio::select! {
            () = Server::new(acceptor).serve(router) => {}
            () = faults.death.notified() => {}
        }
    });
    // Dropping the runtime closes every connection, as the death of a process would.
    runtime.shutdown_background();
}

#[handler]
async fn answer_empty() {}

/// A port that is free and stays so: it lies below those that the system gives to outgoing
/// connections and to listeners without a port, and is given out once.
///
/// # Panics
///
/// If no port can be bound.
pub fn free_port() -> u16 {
    const FIRST: u16 = 12_000;
    const COUNT: u16 = 18_000;
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Processes that run at the same time begin at different places.
    let begin = (std::process::id() % 60) as u16 * 300;
    for _ in 0..COUNT {
        let number = begin.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % COUNT;
        let port = FIRST + number;
        if is_free(port) {
            return port;
        }
    }
    panic!("no port is free");
}

/// Whether nothing listens on a port.
///
/// The socket is bound and never listens: a process that another thread is starting holds it until
/// its program runs, and only a listener would keep the port from whoever it is given to. With a
/// listener, one port in a few hundred could not be used beside six threads that start processes.
fn is_free(port: u16) -> bool {
    let bind = || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], port)).into())
    };
    bind().is_ok()
}
