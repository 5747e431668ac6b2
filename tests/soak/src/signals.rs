//! What services ask for in their answers during a seed, and whether gateways heeded it.
//!
//! It is drawn apart from the faults, so that a seed keeps the faults that it had before.

use std::net::IpAddr;
use std::time::Duration;

use siskinrock_fakes::engine::Seen;
use siskinrock_fakes::service::RateTold;
use siskinrock_fakes::signals::Signals;
use tokio::time::Instant;

use crate::history::Span;

/// Makes the draw of a seed's signals another one than that of its faults.
const SALT: u64 = 0x5169_6e61_6c73;
/// The rates that services name, in requests a second: less than callers want of one.
const RATES_PER_S: std::ops::Range<u64> = 3..15;
/// How long a rate is named.
const LASTS_MS: std::ops::Range<u64> = 4_000..6_000;
/// From so long after a rate was named, it is held to.
const HELD_TO_AFTER: Duration = Duration::from_secs(3);
/// Over any span of this length, one and a half times the rate and five more are allowed.
const SPAN: Duration = Duration::from_secs(4);
/// How long after its first answer with the rate a process is held to it.
const KNOWN_AFTER: Duration = Duration::from_millis(500);

/// A rate that a service names for a while.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// The service.
    pub service: usize,
    /// The rate.
    pub per_s: f64,
    /// From the start of traffic.
    pub at: Duration,
    /// For how long.
    pub lasts: Duration,
}

impl Limit {
    /// What the service says meanwhile.
    pub fn signals(&self) -> Signals {
        Signals { limit_per_s: Some(self.per_s), ..Signals::default() }
    }
}

/// Draws the rates of a seed: none, or one for each of some services.
pub fn draw(seed: u64, services: usize, length: Duration) -> Vec<Limit> {
    let mut random = fastrand::Rng::with_seed(seed ^ SALT);
    let mut limits = Vec::new();
    for service in 0..services {
        if random.bool() {
            continue;
        }
        limits.push(Limit {
            service,
            per_s: random.u64(RATES_PER_S) as f64,
            at: Duration::from_millis(random.u64(..length.as_millis() as u64 / 2)),
            lasts: Duration::from_millis(random.u64(LASTS_MS)),
        });
    }
    limits
}

/// A process that was started again.
#[derive(Debug, Clone, Copy)]
pub struct Start {
    /// The address that its requests come from.
    pub source: IpAddr,
    /// When.
    pub at: Instant,
}

/// What processes can know of a rate. One that was just started, and that no answer has told, knows
/// nothing yet.
#[derive(Debug)]
pub struct Knowledge {
    /// The answers that named it.
    pub told: Vec<RateTold>,
    /// The later starts of processes.
    pub starts: Vec<Start>,
}

impl Knowledge {
    /// Whether a request counts: the process that sent it had got such an answer long enough before, or
    /// had run for so long that it has heard of the rate.
    fn counts(&self, seen: &Seen) -> bool {
        let at = Instant::from(seen.at);
        let starts = self.starts.iter().filter(|start| Some(start.source) == seen.source);
        let Some(started) = starts.map(|start| start.at).filter(|start| *start <= at).max() else {
            return true;
        };
        let mut told = self.told.iter().filter(|told| Some(told.source) == seen.source);
        let is_told = |told: &RateTold| {
            let told_at = Instant::from(told.at);
            told_at >= started && told_at + KNOWN_AFTER <= at
        };
        at >= started + HELD_TO_AFTER || told.any(is_told)
    }
}

/// Whether a service got more than it takes, in the time in which its rate was held to.
pub fn check(limit: &Limit, named: Span, seen: &[Seen], knowledge: &Knowledge) -> Option<String> {
    let held_to = named.from + HELD_TO_AFTER..named.until;
    let counted = seen.iter().filter(|seen| knowledge.counts(seen));
    let at: Vec<Instant> = counted.map(|seen| seen.at.into()).collect();
    let held_to = || at.iter().filter(|at| held_to.contains(at));
    let within =
        |first: &Instant| held_to().filter(|at| (*first..*first + SPAN).contains(at)).count();
    let most = held_to().map(within).max().unwrap_or(0);
    let allowed = (1.5 * limit.per_s * SPAN.as_secs_f64()) as usize + 5;
    (most > allowed).then(|| {
        format!(
            "service {} named {} a second and got {most} in 4 s, {allowed} allowed",
            limit.service, limit.per_s
        )
    })
}
