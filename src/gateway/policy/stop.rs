//! Phases of a planned stop: when it accepts requests, sends the final answers and ends the
//! process.

use super::super::route::Repeat;

/// Fraction of the grace period in which all requests are accepted: callers may still use the
/// address, and most of the period is left to serve them.
const ACCEPT_ALL_FRACTION: f64 = 0.3;
/// Fraction of the grace period after which requests that still run are aborted, so that the
/// process ends by itself and not by the kill signal that follows the period.
const END_FRACTION: f64 = 0.88;
/// How long before that end each request without an answer receives its final one, so that it is
/// written before its connection closes: a few round trips.
const FINAL_ANSWERS_LEAD_MS: u64 = 100;

/// A planned stop in progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// When the stop was ordered.
    pub since_ms: u64,
    /// How long callers may keep using the address.
    pub keep_ms: u64,
    /// How long after the order the process is killed.
    pub grace_ms: u64,
}

impl Stop {
    /// Earliest end, if no request is open.
    pub fn earliest_end_ms(&self) -> u64 {
        self.since_ms + self.keep_ms
    }

    /// When requests without an answer receive their final one.
    pub fn final_answers_ms(&self) -> u64 {
        self.latest_end_ms().saturating_sub(FINAL_ANSWERS_LEAD_MS)
    }

    /// Latest end, even if requests are open.
    pub fn latest_end_ms(&self) -> u64 {
        self.since_ms + self.fraction_ms(END_FRACTION)
    }

    /// Whether a request that arrives now is accepted. Early in the stop every request is; later,
    /// only calls whose deadline comes before the final answers. An aborted call may have run,
    /// while a refused one is sent to another instance at once.
    pub fn accepts(&self, repeat: Repeat, until_ms: u64, now_ms: u64) -> bool {
        let is_early = now_ms <= self.since_ms + self.fraction_ms(ACCEPT_ALL_FRACTION);
        is_early || (!repeat.is_stream() && until_ms <= self.final_answers_ms())
    }

    fn fraction_ms(&self, fraction: f64) -> u64 {
        (self.grace_ms as f64 * fraction) as u64
    }
}
