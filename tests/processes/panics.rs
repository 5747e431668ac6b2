//! Panics of the parts that an instance can't do without: it ends with a reason, and not half-dead.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use siskinrock::decide::{Decide, Random};
use siskinrock::driver::{self, Driver};
use siskinrock::error::Result;
use siskinrock::gateway::native::{self, wire};
use siskinrock::gateway::server::Gateway;
use siskinrock::log;
use siskinrock::supervisor::Supervisor;
use siskinrock_standin::host;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use yare::parameterized;

/// How long callers may wait for the end of an instance that can't serve them.
const SOON: Duration = Duration::from_secs(1);
/// The interval of ticks of a decision.
const TICK_MS: u64 = 10;

/// A decision that panics at its first tick.
struct Panicking;

impl Decide for Panicking {
    type Event = ();
    type Action = ();

    fn step(&mut self, (): (), _: u64, _: &mut dyn Random, _: &mut Vec<()>) {
        panic!("on purpose");
    }
}

impl Driver for Panicking {
    type Decision = Panicking;
    type Message = ();

    fn decision(&mut self) -> (&mut Panicking, u64) {
        (self, 0)
    }

    fn tick() {}

    fn take(&mut self, (): ()) {}

    fn act(&mut self, (): ()) {}
}

/// Guards against a router that lives on without its records or its admission.
#[tokio::test]
async fn a_panic_of_a_decision_fails_its_router() {
    let supervisor = Supervisor::new(log::discard());
    let (_messages, inbox) = mpsc::unbounded_channel();
    supervisor.spawn("records", driver::run(Panicking, inbox, TICK_MS));
    let failure = tokio::time::timeout(SOON, supervisor.failure()).await;
    assert!(failure.expect("it is told").to_string().contains("(records)"));
}

/// Guards against a router whose thread for control has ended and that serves on with an old view.
#[tokio::test]
async fn a_panic_of_the_thread_for_control_fails_its_router() {
    let supervisor = Supervisor::new(log::discard());
    let watched = supervisor.clone().watch("control", async { panic!("on purpose") });
    let thread = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
        runtime.block_on(watched);
    });
    let failure = tokio::time::timeout(SOON, supervisor.failure()).await;
    assert!(failure.expect("it is told").to_string().contains("(control)"));
    thread.join().expect("the panic stays in its part");
}

/// Guards against a planned stop that is taken for a failure.
#[tokio::test]
async fn a_part_that_ends_fails_nothing() {
    let supervisor = Supervisor::new(log::discard());
    supervisor.spawn("records", async {}).await.unwrap();
    assert!(tokio::time::timeout(SOON, supervisor.failure()).await.is_err());
}

/// Guards against a harmless panic, of a try that is made again anyway, that ends the instance.
#[tokio::test]
async fn a_panic_of_one_try_fails_nothing() {
    let supervisor = Supervisor::new(log::discard());
    supervisor.attempt("list of upstreams", async { panic!("on purpose") });
    assert!(tokio::time::timeout(SOON, supervisor.failure()).await.is_err());
    assert!(supervisor.end(async {}, SOON).await.is_ok());
}

/// Guards against an end that cuts requests in progress, and against one that waits for a dead part.
#[parameterized(stop_ends = { 300, true }, stop_needs_the_part = { 60_000, false })]
#[test_macro(tokio::test)]
async fn an_instance_whose_part_panicked_ends_its_requests_first(stop_ms: u64, is_whole: bool) {
    let supervisor = Supervisor::new(log::discard());
    supervisor.spawn("records", async { panic!("on purpose") }).await.unwrap();
    let mut answered = false;
    let stop = async {
        tokio::time::sleep(Duration::from_millis(stop_ms)).await;
        answered = true;
    };
    let ended = supervisor.end(stop, SOON).await;
    assert!(ended.unwrap_err().to_string().contains("(records)"));
    assert_eq!(answered, is_whole);
}

/// Guards against a part that keeps nothing and ends the instance, or itself, by one panic.
#[tokio::test]
async fn a_part_that_keeps_nothing_is_made_again() {
    let (ran, mut runs) = mpsc::unbounded_channel();
    let supervisor = Supervisor::new(log::discard());
    supervisor.keep_running("load", move || {
        let ran = ran.clone();
        async move {
            ran.send(()).unwrap();
            panic!("on purpose")
        }
    });
    for _ in 0..3 {
        let run = tokio::time::timeout(SOON, runs.recv()).await;
        assert!(run.is_ok_and(|run| run.is_some()));
    }
}

/// A gateway whose thread for control panics at once.
fn panicking_gateway(front: SocketAddr) -> Result<Gateway> {
    let peer = SocketAddr::from(([127, 0, 0, 1], host::free_port()));
    let flags = format!("--id g-0 --domain hall --config none --front {front} --peer {peer}");
    let arguments = flags.split(' ').map(OsString::from).collect();
    let settings = native::settings::read(arguments, &|_| None)?.gateway;
    let make = Box::new(|| panic!("on purpose"));
    Gateway::start(settings, Arc::new(wire::Wire), make, log::discard())
}

/// Guards against a gateway that takes callers without its thread for control, or that ends without a reason.
#[tokio::test]
async fn a_panic_of_a_gateways_thread_for_control_ends_it() {
    let front = SocketAddr::from(([127, 0, 0, 1], host::free_port()));
    let mut gateway = panicking_gateway(front).unwrap();
    let ended = tokio::time::timeout(SOON, gateway.ended()).await.expect("it ends");
    assert!(ended.unwrap_err().to_string().contains("control thread panicked"));
    tokio::time::sleep(SOON).await;
    assert!(TcpStream::connect(front).await.is_err(), "nobody answers there");
}
