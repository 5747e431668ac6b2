//! Upstreams that announce only in their answers that they are shutting down, while the directory lists them
//! as ready.

use std::time::{Duration, Instant};

use siskinrock_fakes::engine::{self, Seen};
use siskinrock_fakes::service::Fault;
use siskinrock_fakes::signals::Signals;
use siskinrock_fakes::{caller, process, store};
use yare::parameterized;

use crate::load::{self, CALL_INTERVAL, MAX_REFUSAL_DURATION, STREAM_INTERVAL, booking_or_look_up};
use crate::support::{self, call, plan};

/// The time after the announcement from which on the upstream must receive no new requests.
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// How long callers send requests after the announcement.
const LOAD_DURATION: Duration = Duration::from_secs(6);

const LEAVING: Signals = Signals {
    limit_per_s: None,
    is_leaving: true,
    backoff_s: None,
    slowness_percent: None,
    brittle: None,
    has_instances_mark: false,
};

fn count_after_bound(seen: &[Seen], announced_at: Instant) -> usize {
    seen.iter().filter(|seen| seen.at > announced_at + DRAIN_BOUND).count()
}

/// The directory doesn't answer, so the last list still says that the upstream is ready.
#[parameterized(one_instance = { 1 }, nine_instances = { 9 }, many_instances = { 73 })]
#[test_macro(tokio::test)]
async fn a_leaving_upstream_gets_no_new_requests(instances: u8) {
    let running = support::start(instances).await;
    running.site.store.fail(store::Fault::Silent);
    let announced_at = Instant::now();
    let leaving = &running.site.services[0];
    leaving.signal(LEAVING);
    let results =
        load::run_load(&running, CALL_INTERVAL, booking_or_look_up, announced_at + LOAD_DURATION)
            .await;
    assert_eq!(count_after_bound(&leaving.seen(), announced_at), 0, "requests after the bound");
    assert_eq!(
        results.iter().filter(|result| result.status != 200).count(),
        0,
        "other upstreams serve them"
    );
}

/// Hedges of requests to silent upstreams, and retries after errors, lost answers and refusals, avoid the
/// upstream as well.
#[parameterized(
    errors = { Fault::Error },
    lost_answers = { Fault::LostAnswer },
    silent = { Fault::Mute },
    full = { Fault::Full },
)]
#[test_macro(tokio::test)]
async fn retries_and_hedges_avoid_a_leaving_upstream(fault: Fault) {
    let running = support::start(3).await;
    running.site.store.fail(store::Fault::Silent);
    let announced_at = Instant::now();
    let leaving = &running.site.services[0];
    leaving.signal(LEAVING);
    running.site.services[1].fail(fault);
    let look_up = |_| call("GET", "/look/seat");
    load::run_load(&running, CALL_INTERVAL, look_up, announced_at + LOAD_DURATION).await;
    assert_eq!(count_after_bound(&leaving.seen(), announced_at), 0, "requests after the bound");
}

/// The announcement holds although the directory lists the upstream as ready again afterwards, and also at an
/// instance that learns of it only from its peer.
#[tokio::test]
async fn an_announced_departure_overrides_the_list_at_all_instances() {
    let running = support::start(2).await;
    let leaving = &running.site.services[0];
    leaving.signal(LEAVING);
    let announced_at = Instant::now();
    let seen_by_first = async || {
        caller::send(running.front(0), &call("GET", "/look/seat")).await.unwrap();
        !leaving.seen().is_empty()
    };
    process::wait_for("one instance received an answer of the upstream", seen_by_first).await;
    running.site.list_service(0, "ready");
    tokio::time::sleep(DRAIN_BOUND).await;
    for front in [running.front(0), running.front(1)].iter().cycle().take(60) {
        let answer = caller::send(*front, &call("GET", "/look/seat")).await.unwrap();
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(count_after_bound(&leaving.seen(), announced_at), 0, "requests after the bound");
}

/// Once all upstreams of a service are shutting down, requests are refused at once and have not run.
#[tokio::test]
async fn requests_are_refused_at_once_when_all_upstreams_leave() {
    let running = support::start(2).await;
    running.site.store.fail(store::Fault::Silent);
    running.site.services.iter().for_each(|service| service.signal(LEAVING));
    let announced_at = Instant::now();
    let results =
        load::run_load(&running, CALL_INTERVAL, booking_or_look_up, announced_at + LOAD_DURATION)
            .await;
    for service in &running.site.services {
        assert_eq!(count_after_bound(&service.seen(), announced_at), 0, "requests after the bound");
    }
    for result in results.iter().filter(|result| result.status != 200) {
        assert_eq!((result.status, running.runs_of(&result.id)), (503, 0));
        assert!(result.took <= MAX_REFUSAL_DURATION, "refused late: {result:?}");
        assert!(result.retry_after_s.is_some(), "no time to come back: {result:?}");
    }
}

/// A leaving engine gets no new streams, no streams that resume after the loss of another engine, and no
/// copies (of a run's KV cache).
#[tokio::test]
async fn a_leaving_engine_gets_no_streams_and_no_copies() {
    let running = support::start(3).await;
    running.site.store.fail(store::Fault::Silent);
    let [leaving, torn, ..] = &*running.site.engines else { panic!("there are engines") };
    leaving.signal(LEAVING);
    let announced_at = Instant::now();
    let tear = async {
        while announced_at.elapsed() < LOAD_DURATION {
            tokio::time::sleep(Duration::from_millis(700)).await;
            torn.fail(engine::Fault::Torn);
            tokio::time::sleep(Duration::from_millis(300)).await;
            torn.fail(engine::Fault::None);
        }
    };
    let streams =
        load::run_load(&running, STREAM_INTERVAL, |_| plan(), announced_at + LOAD_DURATION);
    let (results, ()) = tokio::join!(streams, tear);
    assert_eq!(count_after_bound(&leaving.seen(), announced_at), 0, "streams after the bound");
    let addr = leaving.addr.to_string();
    let copied_there = |seen: &&Seen| {
        seen.at > announced_at + DRAIN_BOUND && seen.request.header("x-kv-backup") == Some(&*addr)
    };
    let seen: Vec<Seen> = running.site.engines.iter().flat_map(|engine| engine.seen()).collect();
    assert_eq!(seen.iter().filter(copied_there).count(), 0, "copies after the bound");
    assert_eq!(
        results.iter().filter(|result| result.status != 200).count(),
        0,
        "other upstreams serve them"
    );
}
