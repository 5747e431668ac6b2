//! Upstreams that refuse a request and want nothing from that instance for a while.

use std::time::{Duration, Instant};

use siskinrock_fakes::engine::Seen;
use siskinrock_fakes::service::Fault;
use siskinrock_fakes::signals::Signals;

use crate::load::{self, CALL_EVERY, booking_or_look_up};
use crate::support;

/// How long they want rest.
const REST_S: f64 = 3.0;
const REST: Duration = Duration::from_secs(3);
/// From so long after a refusal on, the rest counts.
const BOUND: Duration = Duration::from_millis(500);
/// What may reach an upstream from one instance in its rest.
const ALLOWED: usize = 2;

fn resting() -> Signals {
    Signals { rest_s: Some(REST_S), ..Signals::default() }
}

/// The most requests that came within a rest that any request began.
fn most_in_a_rest(seen: &[Seen]) -> usize {
    let within = |refused: &Seen| {
        let rest = refused.at + BOUND..refused.at + REST;
        seen.iter().filter(|seen| rest.contains(&seen.at)).count()
    };
    seen.iter().map(within).max().unwrap_or(0)
}

/// One of three services is full and asks for rest, the others answer with errors: their repeats look for
/// another one.
#[tokio::test]
async fn an_upstream_that_wants_rest_gets_none_of_an_instances_requests() {
    let running = support::start(1).await;
    let [full, others @ ..] = &*running.site.services else { panic!("there are services") };
    full.fail(Fault::Full);
    full.signal(resting());
    others.iter().for_each(|other| other.fail(Fault::Error));
    let until = Instant::now() + 2 * REST;
    load::play(&running, CALL_EVERY, booking_or_look_up, until).await;
    let most = most_in_a_rest(&full.seen());
    assert!(most <= ALLOWED, "{most} requests in a rest");
}
