//! Upstreams that refuse a request and ask the instance to back off.

use std::time::{Duration, Instant};

use siskinrock_fakes::engine::{self, Seen};
use siskinrock_fakes::service::Fault;
use siskinrock_fakes::signals::Signals;
use yare::parameterized;

use crate::load::{self, CALL_INTERVAL, MAX_REFUSAL_DURATION, STREAM_INTERVAL, booking_or_look_up};
use crate::support::{self, call, plan};

/// Length of the backoff that they ask for.
const BACKOFF_S: f64 = 3.0;
const BACKOFF: Duration = Duration::from_secs(3);
/// Time after a refusal from which the backoff must be kept.
const ENFORCED_AFTER: Duration = Duration::from_millis(500);
/// Number of requests from one instance that may still reach an upstream during the backoff.
const MAX_DURING_BACKOFF: usize = 2;

fn backing_off() -> Signals {
    Signals { backoff_s: Some(BACKOFF_S), ..Signals::default() }
}

/// Returns the maximum number of requests received during the backoff that any request started.
fn max_in_a_backoff(seen: &[Seen]) -> usize {
    let within = |refused: &Seen| {
        let backoff = refused.at + ENFORCED_AFTER..refused.at + BACKOFF;
        seen.iter().filter(|seen| backoff.contains(&seen.at)).count()
    };
    seen.iter().map(within).max().unwrap_or(0)
}

/// One of three services is at capacity and asks for backoff, the others answer with errors;
/// retries look for another service.
#[parameterized(
    errors = { Fault::Error },
    lost_answers = { Fault::LostAnswer },
    silent = { Fault::Mute },
)]
#[test_macro(tokio::test)]
async fn an_upstream_that_asks_for_backoff_gets_none_of_an_instances_requests(fault: Fault) {
    let running = support::start(1).await;
    let [full, others @ ..] = &*running.site.services else { panic!("there are services") };
    full.fail(Fault::Full);
    full.signal(backing_off());
    others.iter().for_each(|other| other.fail(fault));
    let until = Instant::now() + 2 * BACKOFF;
    load::run_load(&running, CALL_INTERVAL, booking_or_look_up, until).await;
    let max_seen = max_in_a_backoff(&full.seen());
    assert!(max_seen <= MAX_DURING_BACKOFF, "{max_seen} requests in a backoff");
}

/// Each of many instances is refused by itself, once in a backoff, apart from requests already
/// under way.
#[parameterized(nine_instances = { 9 }, many_instances = { 73 })]
#[test_macro(tokio::test)]
async fn each_instance_backs_off_for_as_long_as_it_was_asked(instances: u8) {
    let running = support::start(instances).await;
    let full = &running.site.services[0];
    full.fail(Fault::Full);
    full.signal(backing_off());
    let until = Instant::now() + 2 * BACKOFF;
    let look_up = |_| call("GET", "/look/seat");
    let got = load::run_load(&running, CALL_INTERVAL, look_up, until).await;
    let limit = usize::from(instances) * (2 + MAX_DURING_BACKOFF);
    let seen = full.seen().len();
    assert!(seen <= limit, "{seen} requests in two backoffs of {instances} instances");
    assert_eq!(got.iter().filter(|got| got.status != 200).count(), 0, "other upstreams take them");
}

/// While all upstreams ask for backoff, callers are refused at once, their requests are not
/// executed, and Retry-After lasts until the first upstream accepts requests again; then they are
/// served.
#[tokio::test]
async fn a_refusal_says_when_the_first_upstream_takes_work_again() {
    let running = support::start(1).await;
    let services = &running.site.services;
    services.iter().for_each(|service| service.fail(Fault::Full));
    services.iter().for_each(|service| service.signal(backing_off()));
    let since = Instant::now();
    let look_up = |_| call("GET", "/look/seat");
    load::run_load(&running, CALL_INTERVAL, look_up, since + ENFORCED_AFTER).await;
    services.iter().for_each(|service| service.fail(Fault::None));
    services.iter().for_each(|service| service.signal(Signals::default()));
    let asked_at = Instant::now();
    let refused = load::send(running.front(0), call("POST", "/book/berth")).await;
    assert_eq!((refused.status, running.runs_of(&refused.id)), (503, 0));
    assert!(refused.took <= MAX_REFUSAL_DURATION, "refused after {:?}", refused.took);
    let after =
        Duration::from_secs_f64(refused.retry_after_s.expect("a refusal has a Retry-After"));
    let first_refused = services.iter().flat_map(|service| service.seen()).map(|seen| seen.at);
    let first_free = first_refused.min().expect("the services received requests") + BACKOFF;
    let slack = Duration::from_millis(50);
    assert!(asked_at + after + slack >= first_free, "{after:?} is too early");
    assert!(after <= BACKOFF + Duration::from_secs(1), "{after:?} is too late");
    tokio::time::sleep_until((asked_at + after + slack).into()).await;
    let served = load::send(running.front(0), call("POST", "/book/berth")).await;
    assert_eq!(served.status, 200);
}

/// Other engines take the streams, including those resumed after a loss and those that continue
/// from KV cache copies.
#[tokio::test]
async fn an_engine_that_asks_for_backoff_gets_no_streams() {
    let running = support::start(1).await;
    let [full, torn, ..] = &*running.site.engines else { panic!("there are engines") };
    full.fail(engine::Fault::Full);
    full.signal(backing_off());
    let until = Instant::now() + 2 * BACKOFF;
    let tear = async {
        while Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(700)).await;
            torn.fail(engine::Fault::Torn);
            tokio::time::sleep(Duration::from_millis(300)).await;
            torn.fail(engine::Fault::None);
        }
    };
    let streams = load::run_load(&running, STREAM_INTERVAL, |_| plan(), until);
    let (got, ()) = tokio::join!(streams, tear);
    let max_seen = max_in_a_backoff(&full.seen());
    assert!(max_seen <= MAX_DURING_BACKOFF, "{max_seen} requests in a backoff");
    assert_eq!(got.iter().filter(|got| got.status != 200).count(), 0, "other upstreams take them");
}

/// A backoff that can't be parsed or has no positive length is ignored.
#[parameterized(nothing = { 0.0 }, negative = { -3.0 }, endless = { f64::INFINITY }, no_number = { f64::NAN })]
#[test_macro(tokio::test)]
async fn a_backoff_of_no_length_throttles_nothing(backoff_s: f64) {
    let running = support::start(1).await;
    let services = &running.site.services;
    services.iter().for_each(|service| service.fail(Fault::Full));
    let signals = Signals { backoff_s: Some(backoff_s), ..Signals::default() };
    services.iter().for_each(|service| service.signal(signals));
    assert_eq!(load::send(running.front(0), call("GET", "/look/seat")).await.status, 503);
    services.iter().for_each(|service| service.fail(Fault::None));
    assert_eq!(load::send(running.front(0), call("GET", "/look/seat")).await.status, 200);
}
