//! Sends a load of calls and streams to all instances of a test's site, and records what its
//! callers received.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use siskinrock_fakes::caller::{self, Call};

use crate::support::{Running, call};

/// Interval between calls, which gives fourteen times as many as an upstream accepts that limits
/// itself to 6 a second.
pub const CALL_INTERVAL: Duration = Duration::from_millis(12);
/// Interval between streams.
pub const STREAM_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum duration of a refusal, which is sent at once.
pub const MAX_REFUSAL_DURATION: Duration = Duration::from_millis(400);

/// What a caller received.
#[derive(Debug)]
pub struct Received {
    pub id: String,
    pub status: u16,
    pub retry_after_s: Option<f64>,
    pub took: Duration,
}

/// Sends one request, and reads a stream to its end.
pub async fn send(front: SocketAddr, sent: Call) -> Received {
    let since = Instant::now();
    let is_stream = sent.part.is_some();
    let answer = if is_stream {
        caller::stream(front, &sent).await.map(|stream| stream.head)
    } else {
        caller::send(front, &sent).await
    };
    let answer = answer.unwrap_or_default();
    let retry_after_s = answer.header("retry-after").and_then(|value| value.parse().ok());
    Received { id: sent.id, status: answer.status(), retry_after_s, took: since.elapsed() }
}

/// Sends calls to randomly chosen instances until a given time.
pub async fn run_load(
    running: &Running,
    interval: Duration,
    next: impl Fn(u64) -> Call,
    until: Instant,
) -> Vec<Received> {
    let mut asked = tokio::task::JoinSet::new();
    let mut number = 0;
    while Instant::now() < until {
        let front = running.front(fastrand::usize(..running.gateways.len()));
        asked.spawn(send(front, next(number)));
        number += 1;
        tokio::time::sleep(interval).await;
    }
    asked.join_all().await
}

/// Two bookings, then a look-up.
pub fn booking_or_look_up(number: u64) -> Call {
    if number.is_multiple_of(3) { call("GET", "/look/seat") } else { call("POST", "/book/berth") }
}
