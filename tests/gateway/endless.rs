//! Upstreams that send bytes without end: their callers get a failure, others are served, and the
//! memory of the instance is bounded.

use std::time::{Duration, Instant};

use siskinrock::gateway::policy::body_limit::{Exceeded, Held, MAX_ANSWER_BYTES, SharedMemory};
use siskinrock_fakes::caller::{self, Call};
use siskinrock_fakes::endless::Endless;
use siskinrock_fakes::engine;
use siskinrock_fakes::service;
use siskinrock_fakes::site::Site;
use yare::parameterized;

use crate::support::{self, Running, call, plan};

/// Memory of an instance in all: the smallest machines have 160 MB.
const MAX_MEMORY_KB: u64 = 120 << 10;
/// Requests that are sent at once, and how often.
const AT_ONCE: usize = 8;
const ROUNDS: usize = 6;

/// The most memory that a gateway has used.
fn peak_memory_kb(running: &Running) -> u64 {
    let pid = running.gateways[0].pid().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn once() -> Call {
    Call { part: Some(support::new_id()), deadline_ms: 4_000, ..call("POST", "/plan/once/voyage") }
}

/// Sends requests in rounds. Returns how many were served, of all.
async fn send_rounds(running: &Running, request: fn() -> Call) -> (usize, usize) {
    let mut served = 0;
    for _ in 0..ROUNDS {
        let calls: Vec<Call> = (0..AT_ONCE).map(|_| request()).collect();
        let answers = calls.iter().map(|sent| caller::stream(running.front(0), sent));
        let answers = futures_util::future::join_all(answers).await;
        let is_good = |answer: &std::io::Result<caller::Stream>| {
            answer.as_ref().is_ok_and(|answer| answer.head.status() == 200 && answer.is_complete)
        };
        served += answers.iter().filter(|answer| is_good(answer)).count();
    }
    (served, ROUNDS * AT_ONCE)
}

/// Guards against memory that grows with what an engine sends, and against an engine that fails fast,
/// looks free, and so draws most streams: one of six sends without end. Streams may not be sent again.
#[parameterized(
    failure_body = { Endless::FailureBody },
    stated_body = { Endless::StatedBody },
    event = { Endless::Event },
    head = { Endless::Head },
    headers = { Endless::Headers },
    chunk_extension = { Endless::ChunkExtension },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn one_engine_that_sends_without_end_harms_few_streams(endless: Endless) {
    let running = support::start_site(Site::start(2, 5).await, 1).await;
    running.site.engines[0].fail(engine::Fault::Endless(endless));
    let (served, all) = send_rounds(&running, once).await;
    assert!(peak_memory_kb(&running) <= MAX_MEMORY_KB, "{} KB", peak_memory_kb(&running));
    // Those that were sent there before the first one failed.
    assert!(served + AT_ONCE >= all, "{served} of {all} served");
}

/// Guards against the same where streams go on elsewhere: all are served.
#[parameterized(
    failure_body = { engine::Fault::Endless(Endless::FailureBody) },
    event = { engine::Fault::Endless(Endless::Event) },
    head = { engine::Fault::Endless(Endless::Head) },
    interim = { engine::Fault::Endless(Endless::Interim) },
    state = { engine::Fault::EndlessState(Endless::Body) },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn resumable_streams_are_served_beside_an_engine_that_sends_without_end(
    fault: engine::Fault,
) {
    let running = support::start_site(Site::start(2, 5).await, 1).await;
    running.site.engines[0].fail(fault);
    let (served, all) = send_rounds(&running, plan).await;
    assert!(peak_memory_kb(&running) <= MAX_MEMORY_KB, "{} KB", peak_memory_kb(&running));
    assert_eq!(served, all);
}

/// Guards against a call that takes memory without a bound, or ends as a success: all services send
/// without end, to many calls at once.
#[parameterized(
    body = { Endless::Body },
    stated_body = { Endless::StatedBody },
    failure_body = { Endless::FailureBody },
    trailers = { Endless::Trailers },
    chunk_extension = { Endless::ChunkExtension },
    head = { Endless::Head },
    headers = { Endless::Headers },
    interim = { Endless::Interim },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn calls_fail_in_time_where_services_send_without_end(endless: Endless) {
    let running = support::start(1).await;
    let services = &running.site.services;
    services.iter().for_each(|service| service.fail(service::Fault::Endless(endless)));
    let since = Instant::now();
    let calls: Vec<Call> = (0..60).map(|_| call("POST", "/book/berth")).collect();
    let answers = calls.iter().map(|sent| caller::send(running.front(0), sent));
    for answer in futures_util::future::join_all(answers).await {
        let status = answer.unwrap().status();
        assert!(matches!(status, 502..=504), "{status}");
    }
    // The route's timeout is 1.2 s.
    assert!(since.elapsed() < Duration::from_secs(3), "after {:?}", since.elapsed());
    assert!(peak_memory_kb(&running) <= MAX_MEMORY_KB, "{} KB", peak_memory_kb(&running));
    services.iter().for_each(|service| service.fail(service::Fault::None));
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    let answer = caller::send(running.front(0), &call("POST", "/book/berth")).await.unwrap();
    assert_eq!(answer.status(), 200);
}

/// Short bodies always have room, and long ones share it.
#[test]
fn bodies_share_a_bounded_memory() {
    let mut memory = SharedMemory::default();
    let mut long: Vec<Held> = Vec::new();
    loop {
        let mut held = Held::new(MAX_ANSWER_BYTES);
        if memory.grow(&mut held, MAX_ANSWER_BYTES).is_err() {
            break;
        }
        long.push(held);
    }
    let sum = long.len() * MAX_ANSWER_BYTES;
    assert!((MAX_ANSWER_BYTES..64 << 20).contains(&sum), "{sum}");
    let mut small = Held::new(MAX_ANSWER_BYTES);
    assert_eq!(memory.grow(&mut small, 60 << 10), Ok(()));
    assert_eq!(memory.grow(&mut small, 1 << 20), Err(Exceeded::Shared));
    long.drain(..).for_each(|held| memory.free(held));
    assert_eq!(memory.grow(&mut small, 1 << 20), Ok(()));
    let limit = Exceeded::Limit { max_bytes: MAX_ANSWER_BYTES };
    assert_eq!(memory.grow(&mut small, MAX_ANSWER_BYTES), Err(limit));
}
