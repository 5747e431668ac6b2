//! When a planned stop takes requests, answers them and ends: pure, from the moment of the order.

use super::super::route::Repeat;

/// The part of the grace in which everything is taken: callers still hold the address, and most of
/// the grace is left for what they send.
const TAKE_ALL_PART: f64 = 0.3;
/// The part of the grace after which what still runs is cut, so that the end of the process is its
/// own and not the kill that follows the grace.
const END_PART: f64 = 0.88;
/// How long before that end each request that has no answer yet gets its final one, so that it is
/// written before its connection closes: a few round trips.
const LAST_ANSWERS_MS: u64 = 100;

/// A planned stop under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stop {
    /// When the order came.
    pub since_ms: u64,
    /// How long callers may keep the address.
    pub keep_ms: u64,
    /// How long after the order the process is killed.
    pub grace_ms: u64,
}

impl Stop {
    /// When it may end, if nothing is open.
    pub fn least_ms(&self) -> u64 {
        self.since_ms + self.keep_ms
    }

    /// When requests without an answer get their final one.
    pub fn answer_ms(&self) -> u64 {
        self.end_ms().saturating_sub(LAST_ANSWERS_MS)
    }

    /// When it ends, whatever is open.
    pub fn end_ms(&self) -> u64 {
        self.since_ms + self.part_ms(END_PART)
    }

    /// Whether a request that arrives now is taken. Early in the stop all are; later only a call
    /// whose whole time fits, since one that is cut may have run, and one that is refused goes
    /// elsewhere at once.
    pub fn takes(&self, repeat: Repeat, until_ms: u64, now_ms: u64) -> bool {
        let is_early = now_ms <= self.since_ms + self.part_ms(TAKE_ALL_PART);
        is_early || (!repeat.is_stream() && until_ms <= self.answer_ms())
    }

    fn part_ms(&self, part: f64) -> u64 {
        (self.grace_ms as f64 * part) as u64
    }
}
