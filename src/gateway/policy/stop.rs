//! Phases of a planned stop: when it accepts requests, sends the final answers and ends the
//! process.

use super::super::route::Repeat;

/// Fraction of the grace period in which all requests are accepted: callers may still use the
/// address, and most of the period is left to serve them.
const ACCEPT_ALL_FRACTION: f64 = 0.3;
/// Fraction of the grace period after which requests that still run are aborted, so that the
/// process ends by itself and not by the kill signal that follows the period.
const END_FRACTION: f64 = 0.88;
/// Fraction of the grace period until which the process stays if the final answers are late.
const LAST_END_FRACTION: f64 = 0.97;
/// How long before that end each request without an answer receives its final one, so that it is
/// written before its connection closes: a few round trips.
const FINAL_ANSWERS_LEAD_MS: u64 = 100;
/// Of how many late timers in a row the final answers allow for.
const LATE_STEPS: u64 = 2;

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// There is none, or all requests are still accepted that it can end.
    #[default]
    Accepting,
    /// Requests are refused that have not been passed on and may not end in time.
    Refusing,
    /// Each request gets its last answer.
    LastAnswers,
}

/// What a stop has to know of a request that was not passed on yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// What may be done again for it.
    pub repeat: Repeat,
    /// When its caller's time is over.
    pub until_ms: u64,
    /// How long nearly all requests of its route take, if that is known.
    pub run_ms: Option<u64>,
}

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

    /// Latest end, if the final answers are given in time.
    fn latest_end_ms(&self) -> u64 {
        self.since_ms + self.fraction_ms(END_FRACTION)
    }

    /// When the process ends even if requests are open, after the final answers were given and with
    /// timers that were so late: these answers take a few round trips to be written, also if they were
    /// given late, and longer on a busy machine. Where that goes beyond the grace, nothing is lost by it.
    pub fn end_ms(&self, given_ms: u64, late_ms: u64) -> u64 {
        let least_ms = given_ms + FINAL_ANSWERS_LEAD_MS;
        let busy_ms = (least_ms + LATE_STEPS * late_ms).min(self.last_end_ms());
        self.latest_end_ms().max(busy_ms).max(least_ms)
    }

    fn last_end_ms(&self) -> u64 {
        self.since_ms + self.fraction_ms(LAST_END_FRACTION)
    }

    /// How long it is until the process is killed.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        (self.since_ms + self.grace_ms).saturating_sub(now_ms)
    }

    /// Until when all requests are accepted that the stop can end.
    pub fn early_end_ms(&self) -> u64 {
        self.since_ms + self.fraction_ms(ACCEPT_ALL_FRACTION)
    }

    /// Whether a request may still be passed on, which is asked before each wait and each attempt until
    /// it was. An aborted request may have run, while a refused one is sent to another instance at once.
    ///
    /// Early in the stop every request may, except for a stream that may not go on elsewhere and isn't
    /// expected to end in time; later, only calls whose deadline comes before the final answers.
    pub fn accepts(&self, request: Waiting, now_ms: u64) -> bool {
        let is_early = now_ms < self.early_end_ms();
        let has_time = request.until_ms <= self.final_answers_ms();
        let is_expected = request.run_ms.is_some_and(|ms| now_ms + ms <= self.final_answers_ms());
        match request.repeat {
            Repeat::Idempotent | Repeat::Never => is_early || has_time,
            Repeat::Resumable => is_early,
            Repeat::OneStream => is_early && (has_time || is_expected),
        }
    }

    fn fraction_ms(&self, fraction: f64) -> u64 {
        (self.grace_ms as f64 * fraction) as u64
    }
}
