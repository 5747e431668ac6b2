//! Upstreams that name the rate which they take from all instances together.

use std::time::{Duration, Instant};

use siskinrock_fakes::caller::{self, Call};
use siskinrock_fakes::engine::Seen;
use siskinrock_fakes::service::Fault;
use siskinrock_fakes::signals::Signals;
use yare::parameterized;

use crate::support::{self, Running, call, plan};

/// The rate that upstreams name.
const LIMIT_PER_S: f64 = 6.0;
/// From so long after an upstream named its rate, it is held to.
const CONTACT: Duration = Duration::from_secs(3);
/// Over any span of this length, one and a half times the rate and five more are allowed.
const SPAN: Duration = Duration::from_secs(4);
/// How long callers go on after the rate was named.
const LOAD: Duration = Duration::from_secs(9);
/// The pause between two calls: fourteen times as many as one upstream takes.
const CALL_EVERY: Duration = Duration::from_millis(12);
/// The pause between two streams.
const STREAM_EVERY: Duration = Duration::from_millis(30);
/// How long a refusal may take: it is given at once.
const AT_ONCE: Duration = Duration::from_millis(400);

fn limiting() -> Signals {
    Signals { limit_per_s: Some(LIMIT_PER_S) }
}

/// What a caller got.
struct Got {
    id: String,
    status: u16,
    retry_after_s: Option<f64>,
    took: Duration,
}

async fn ask(front: std::net::SocketAddr, sent: Call) -> Got {
    let since = Instant::now();
    let is_stream = sent.part.is_some();
    let answer = if is_stream {
        caller::stream(front, &sent).await.map(|stream| stream.head)
    } else {
        caller::send(front, &sent).await
    };
    let answer = answer.unwrap_or_default();
    let retry_after_s = answer.header("retry-after").and_then(|value| value.parse().ok());
    Got { id: sent.id, status: answer.status(), retry_after_s, took: since.elapsed() }
}

/// Sends calls to all instances by chance until a time.
async fn load(
    running: &Running,
    every: Duration,
    next: impl Fn(u64) -> Call,
    until: Instant,
) -> Vec<Got> {
    let mut asked = tokio::task::JoinSet::new();
    let mut number = 0;
    while Instant::now() < until {
        let front = running.front(fastrand::usize(..running.gateways.len()));
        asked.spawn(ask(front, next(number)));
        number += 1;
        tokio::time::sleep(every).await;
    }
    asked.join_all().await
}

fn booking_or_look_up(number: u64) -> Call {
    if number % 3 == 0 { call("GET", "/look/seat") } else { call("POST", "/book/berth") }
}

/// The most requests that an upstream got within any span from a time on.
fn most_in_a_span(seen: &[Seen], from: Instant) -> usize {
    let at: Vec<Instant> = seen.iter().map(|seen| seen.at).filter(|at| *at >= from).collect();
    let within = |first: &Instant| {
        at.iter().filter(|other| *other >= first && other.duration_since(*first) < SPAN).count()
    };
    at.iter().map(within).max().unwrap_or(0)
}

/// What the rule allows.
fn allowed() -> usize {
    (1.5 * LIMIT_PER_S * SPAN.as_secs_f64()) as usize + 5
}

fn assert_within(seen: &[Seen], named_at: Instant) {
    let most = most_in_a_span(seen, named_at + CONTACT);
    assert!(most <= allowed(), "{most} requests in 4 s, {} are allowed", allowed());
}

/// Two of three services name a rate, and the third takes the rest. On the code that didn't read it,
/// one that took 6 a second got 130 to 230 requests in 4 s, where 41 are allowed.
#[parameterized(one_instance = { 1 }, nine_instances = { 9 })]
#[test_macro(tokio::test)]
async fn upstreams_that_limit_their_rate_get_no_more(instances: u8) {
    let running = support::start(instances).await;
    let named_at = Instant::now();
    for service in &running.site.services[..2] {
        service.signal(limiting());
    }
    let got = load(&running, CALL_EVERY, booking_or_look_up, named_at + LOAD).await;
    for service in &running.site.services[..2] {
        assert_within(&service.seen(), named_at);
    }
    let unserved = got.iter().filter(|got| got.status != 200).count();
    assert_eq!(unserved, 0, "of {}: the third service takes what the others don't", got.len());
}
