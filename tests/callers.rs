//! A router's callers: who of them yields, and who no longer does.

use std::net::SocketAddr;
use std::time::Duration;

use siskinrock::clock::Clock;
use siskinrock::gateway::policy::caller_limits::Machine;
use siskinrock::gateway::policy::yielding::Pace;
use siskinrock::gateway::route::Limits;
use siskinrock::log;
use siskinrock::request::callers::{Callers, HeldRequest};

const BODY_BYTES: usize = 1 << 20;

/// Guards against an answer that is cut off: a request may become whole in the moment in which it is to
/// yield, and it runs then.
#[tokio::test]
async fn a_request_that_became_whole_no_longer_yields() {
    let machine = Machine { memory_bytes: 8 << 20, descriptors: 1_024 };
    let limits = Limits { body_bytes: BODY_BYTES, ..Limits::default() };
    let clock = Clock::start();
    let callers = Callers::new(clock, machine, limits, log::discard());
    let slow = callers.register(SocketAddr::from(([127, 0, 0, 1], 1))).unwrap();
    let mut held = HeldRequest::new(&callers);
    assert!(held.cover(BODY_BYTES).await);
    slow.caller.body_arriving(Pace::start(clock.now_ms()), held.bytes());
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let mut newcomer = HeldRequest::new(&callers);
    assert!(!newcomer.cover(BODY_BYTES).await, "the slow one has not freed its room yet");
    assert!(slow.caller.must_yield());
    slow.caller.request_whole();
    assert!(!slow.caller.must_yield());
    drop(held);
    assert!(newcomer.cover(BODY_BYTES).await);
}
