//! Crowds of clients that don't behave, beside the callers and faults of a seed.
//!
//! They are drawn apart from the faults, so that a seed keeps the faults that it had before. What they
//! send never becomes a whole request with a key, so that nothing of it may run.

use std::time::Duration;

use siskinrock_fakes::crowd::{Crowd, Request, Sends};
use siskinrock_fakes::site::{HOST, KEY, Limits};
use tokio::time::Instant;

use crate::world::World;

/// Makes the draw of a seed's crowds another one than that of its faults.
const SALT: u64 = 0x0c40_7764_5369;
/// The machine of each gateway where crowds come: with so few descriptors, callers have to yield.
pub const MACHINE: Limits = Limits { memory_mb: 64, descriptors: 500 };
/// Crowds of a seed, the clients of one, and how long it stays.
const CROWDS: std::ops::RangeInclusive<usize> = 2..=5;
const CLIENTS: std::ops::Range<usize> = 20..150;
const LASTS_MS: std::ops::Range<u64> = 100..2_500;
/// Longest bodies that clients take to be allowed; the limit is 100 KB.
const BODY_BYTES: std::ops::Range<usize> = 2_000..1_000_000;
/// What clients with a key send: none of it is a whole request.
const WITH_KEY: [Sends; 8] = [
    Sends::Nothing,
    Sends::HalfHead,
    Sends::Short,
    Sends::LargeChunks,
    Sends::MixedChunks,
    Sends::AnnouncedOver,
    Sends::ExpectedOver,
    Sends::SentOver,
];
/// What others send.
const WITHOUT_KEY: [Sends; 4] = [Sends::Whole, Sends::Pieces, Sends::Pipelined, Sends::SentOver];

/// A crowd of a seed.
#[derive(Debug, Clone)]
pub struct Timed {
    gateway: usize,
    requests: Vec<Request>,
    at: Duration,
    lasts: Duration,
}

/// Whether crowds come in a seed.
pub fn is_crowded(seed: u64) -> bool {
    seed.is_multiple_of(2)
}

/// Draws the crowds of a seed: each sends one kind, or a mix.
pub fn draw(seed: u64, gateways: usize, length: Duration) -> Vec<Timed> {
    if !is_crowded(seed) {
        return Vec::new();
    }
    let mut random = fastrand::Rng::with_seed(seed ^ SALT);
    let crowds = random.usize(CROWDS);
    let mut draw_one = || {
        let is_mixed = random.bool();
        let first = draw_request(&mut random);
        let clients = random.usize(CLIENTS);
        let requests = (0..clients)
            .map(|_| if is_mixed { draw_request(&mut random) } else { first.clone() })
            .collect();
        Timed {
            gateway: random.usize(..gateways),
            requests,
            at: Duration::from_millis(random.u64(..length.as_millis() as u64)),
            lasts: Duration::from_millis(random.u64(LASTS_MS)),
        }
    };
    (0..crowds).map(|_| draw_one()).collect()
}

fn draw_request(random: &mut fastrand::Rng) -> Request {
    let has_key = random.bool();
    let sends = if has_key { &WITH_KEY[..] } else { &WITHOUT_KEY[..] };
    let sends = sends[random.usize(..sends.len())];
    let path = ["/look/a", "/book/a", "/plan/a", "/nowhere"][random.usize(..4)];
    let key = if has_key { KEY } else { "nobody's" };
    Request {
        line: format!("POST {path}"),
        headers: format!("Host: {HOST}\r\nX-Key: {key}\r\n"),
        sends,
        limit_bytes: random.usize(BODY_BYTES),
    }
}

/// Has each crowd come at its time, and stay.
pub async fn play(world: &World, crowds: Vec<Timed>) {
    let start = Instant::now();
    let come = async |timed: Timed| {
        tokio::time::sleep_until(start + timed.at).await;
        let crowd = Crowd::send(world.fronts[timed.gateway], timed.requests).await;
        tokio::time::sleep(timed.lasts).await;
        drop(crowd);
    };
    futures_util::future::join_all(crowds.into_iter().map(come)).await;
}
