//! Upstreams that say in their answers that they leave, while nothing else says so.

use std::time::{Duration, Instant};

use siskinrock_fakes::engine::{self, Seen};
use siskinrock_fakes::service::Fault;
use siskinrock_fakes::signals::Signals;
use siskinrock_fakes::{caller, process, store};
use yare::parameterized;

use crate::load::{self, CALL_INTERVAL, MAX_REFUSAL_DURATION, STREAM_INTERVAL, booking_or_look_up};
use crate::support::{self, call, plan};

/// So long after it said so, it gets nothing more.
const BOUND: Duration = Duration::from_secs(2);
/// How long callers go on after that.
const LOAD: Duration = Duration::from_secs(6);

const LEAVING: Signals = Signals { limit_per_s: None, is_leaving: true, backoff_s: None };

fn late(seen: &[Seen], said_at: Instant) -> usize {
    seen.iter().filter(|seen| seen.at > said_at + BOUND).count()
}

/// The list still says that it is ready, since the directory is silent.
#[parameterized(one_instance = { 1 }, nine_instances = { 9 }, many_instances = { 73 })]
#[test_macro(tokio::test)]
async fn an_upstream_that_says_that_it_leaves_gets_nothing_new(instances: u8) {
    let running = support::start(instances).await;
    running.site.store.fail(store::Fault::Silent);
    let said_at = Instant::now();
    let leaving = &running.site.services[0];
    leaving.signal(LEAVING);
    let got = load::run_load(&running, CALL_INTERVAL, booking_or_look_up, said_at + LOAD).await;
    assert_eq!(late(&leaving.seen(), said_at), 0, "requests that came too late");
    assert_eq!(got.iter().filter(|got| got.status != 200).count(), 0, "others take them");
}

/// Second attempts beside silent upstreams, repeats after errors and after lost answers.
#[parameterized(
    errors = { Fault::Error },
    lost_answers = { Fault::LostAnswer },
    silent = { Fault::Mute },
    full = { Fault::Full },
)]
#[test_macro(tokio::test)]
async fn repeats_keep_away_from_it_as_well(fault: Fault) {
    let running = support::start(3).await;
    running.site.store.fail(store::Fault::Silent);
    let said_at = Instant::now();
    let leaving = &running.site.services[0];
    leaving.signal(LEAVING);
    running.site.services[1].fail(fault);
    let look_up = |_| call("GET", "/look/seat");
    load::run_load(&running, CALL_INTERVAL, look_up, said_at + LOAD).await;
    assert_eq!(late(&leaving.seen(), said_at), 0, "requests that came too late");
}

/// The directory lists it anew as ready, and one instance hears of its leaving from the other alone.
#[tokio::test]
async fn what_an_upstream_said_holds_against_the_list_and_at_all_instances() {
    let running = support::start(2).await;
    let leaving = &running.site.services[0];
    leaving.signal(LEAVING);
    let said_at = Instant::now();
    let seen_by_first = async || {
        caller::send(running.front(0), &call("GET", "/look/seat")).await.unwrap();
        !leaving.seen().is_empty()
    };
    process::wait_for("an answer of it came to one instance", seen_by_first).await;
    running.site.list_service(0, "ready");
    tokio::time::sleep(BOUND).await;
    for front in [running.front(0), running.front(1)].iter().cycle().take(60) {
        let answer = caller::send(*front, &call("GET", "/look/seat")).await.unwrap();
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(late(&leaving.seen(), said_at), 0, "requests that came too late");
}

/// Where all that are left leave, calls are refused at once and have not run.
#[tokio::test]
async fn calls_are_refused_at_once_where_all_upstreams_leave() {
    let running = support::start(2).await;
    running.site.store.fail(store::Fault::Silent);
    running.site.services.iter().for_each(|service| service.signal(LEAVING));
    let said_at = Instant::now();
    let got = load::run_load(&running, CALL_INTERVAL, booking_or_look_up, said_at + LOAD).await;
    for service in &running.site.services {
        assert_eq!(late(&service.seen(), said_at), 0, "requests that came too late");
    }
    for got in got.iter().filter(|got| got.status != 200) {
        assert_eq!((got.status, running.runs_of(&got.id)), (503, 0));
        assert!(got.took <= MAX_REFUSAL_DURATION && got.retry_after_s.is_some());
    }
}

/// New streams, those that go on after a loss, and copies.
#[tokio::test]
async fn an_engine_that_says_that_it_leaves_gets_no_streams_and_no_copies() {
    let running = support::start(3).await;
    running.site.store.fail(store::Fault::Silent);
    let [leaving, torn, ..] = &*running.site.engines else { panic!("there are engines") };
    leaving.signal(LEAVING);
    let said_at = Instant::now();
    let tear = async {
        while said_at.elapsed() < LOAD {
            tokio::time::sleep(Duration::from_millis(700)).await;
            torn.fail(engine::Fault::Torn);
            tokio::time::sleep(Duration::from_millis(300)).await;
            torn.fail(engine::Fault::None);
        }
    };
    let streams = load::run_load(&running, STREAM_INTERVAL, |_| plan(), said_at + LOAD);
    let (got, ()) = tokio::join!(streams, tear);
    assert_eq!(late(&leaving.seen(), said_at), 0, "streams that came too late");
    let addr = leaving.addr.to_string();
    let copied_there = |seen: &&Seen| {
        seen.at > said_at + BOUND && seen.request.header("x-kv-backup") == Some(&*addr)
    };
    let seen: Vec<Seen> = running.site.engines.iter().flat_map(|engine| engine.seen()).collect();
    assert_eq!(seen.iter().filter(copied_there).count(), 0, "copies that came too late");
    assert_eq!(got.iter().filter(|got| got.status != 200).count(), 0, "others take them");
}
