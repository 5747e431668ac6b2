//! Refusal of requests that can't be completed before their deadline, and the retry time that
//! their callers are given.
//!
//! A caller that is refused at once still has time to come back or to go elsewhere; one that waits
//! until its deadline has lost that time. A late answer is worth more to a caller than none, so a
//! request that will miss its objective, but not its deadline, waits on. See
//! [docs/design/admission.md](../../../../docs/design/admission.md).

use crate::decide::Random;

/// Callers accept a retry time of up to the time that they have left, divided by this.
const MAX_RETRY_DIVISOR: u64 = 3;
/// Shortest retry time that is given: what this instance knows of free places is as old as the
/// last reports of the others.
const MIN_RETRY_AFTER_MS: u64 = 300;
/// Retry times are lengthened or, at their upper bound, shortened by a random part of up to the
/// wait divided by this, so that callers refused together don't return together.
const JITTER_DIVISOR: u64 = 4;

/// Mean duration of a default [`RunDuration`]. The traffic thread refuses nobody until a first run
/// has ended, and begins with its duration.
const DEFAULT_RUN_MS: f64 = 5_000.0;
/// Bounds of the duration of a run. Shorter ones were not whole answers, and no caller of an
/// overloaded service waits for a place behind longer ones.
const MIN_RUN_MS: u64 = 100;
const MAX_RUN_MS: u64 = 120_000;
/// Weight of the last run in the mean duration: a change of load shows after a few runs, and a
/// single long one changes little.
const LAST_RUN_WEIGHT: f64 = 0.125;

/// Mean duration of the runs of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunDuration {
    mean_ms: f64,
}

impl Default for RunDuration {
    fn default() -> RunDuration {
        RunDuration { mean_ms: DEFAULT_RUN_MS }
    }
}

impl RunDuration {
    /// The estimate after a first run, which tells more than the default.
    pub fn of_first_run(duration_ms: u64) -> RunDuration {
        RunDuration { mean_ms: duration_ms.clamp(MIN_RUN_MS, MAX_RUN_MS) as f64 }
    }

    /// Records the duration of a run that ended with a whole answer.
    pub fn note_run(&mut self, duration_ms: u64) {
        let duration_ms = duration_ms.clamp(MIN_RUN_MS, MAX_RUN_MS) as f64;
        self.mean_ms += LAST_RUN_WEIGHT * (duration_ms - self.mean_ms);
    }

    /// The mean duration of a run from the request to the end of its answer.
    pub fn mean_ms(self) -> u64 {
        self.mean_ms as u64
    }

    /// Places freed per second by the runs in service at all instances. There is always at least
    /// one, so that a service whose runs were all lost isn't taken for one that serves nobody.
    pub fn drain_per_s(self, runs_in_service: usize) -> f64 {
        runs_in_service.max(1) as f64 * 1_000.0 / self.mean_ms
    }
}

/// Free places of a service, now and later.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Capacity {
    /// Places that are free.
    pub places: usize,
    /// Places freed per second.
    pub drain_per_s: f64,
}

impl Capacity {
    /// Expected time until the request of a rank gets a place.
    pub fn expected_wait_ms(&self, rank: usize) -> u64 {
        let Some(behind) = rank.checked_sub(self.places) else { return 0 };
        // The cast bounds the result where the rate is 0 or not a number.
        ((behind + 1) as f64 * 1_000.0 / self.drain_per_s.max(0.0)) as u64
    }
}

/// When a request and its answer are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Due {
    /// Latest time of the first event that is on time, if the route has an objective.
    pub first_event_ms: Option<u64>,
    /// When the caller must have the whole answer.
    pub until_ms: u64,
    /// Time that reading the prompt takes.
    pub read_ms: u64,
    /// Time that reading the prompt and the whole answer take.
    pub whole_ms: u64,
}

/// What becomes of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It waits, and is expected to get its place in time for its objective.
    Wait,
    /// It waits; its answer will be late, but whole.
    WaitLate,
    /// It is refused.
    Refuse {
        /// When its caller should come back.
        retry_after_ms: u64,
    },
}

/// Decides on a request of a rank, on its arrival and again while it waits.
///
/// The least urgent are refused first, since they have the highest ranks. A request for which a
/// place is free is never refused.
pub fn decide(
    rank: usize,
    capacity: &Capacity,
    due: &Due,
    now_ms: u64,
    random: &mut dyn Random,
) -> Decision {
    let sent_ms = now_ms.saturating_add(capacity.expected_wait_ms(rank));
    let has_place = rank < capacity.places;
    if !has_place && sent_ms.saturating_add(due.whole_ms) > due.until_ms {
        let left_ms = due.until_ms.saturating_sub(now_ms);
        return Decision::Refuse {
            retry_after_ms: retry_after_ms(rank, capacity, left_ms, random),
        };
    }
    let first_event_ms = sent_ms.saturating_add(due.read_ms);
    if due.first_event_ms.is_some_and(|due_ms| first_event_ms > due_ms) {
        Decision::WaitLate
    } else {
        Decision::Wait
    }
}

/// Retry time for the caller of a refused request that has `left_ms`: the time at which its place
/// would come, as far as callers accept it.
pub fn retry_after_ms(
    rank: usize,
    capacity: &Capacity,
    left_ms: u64,
    random: &mut dyn Random,
) -> u64 {
    let wait_ms = capacity.expected_wait_ms(rank).max(MIN_RETRY_AFTER_MS);
    let max_ms = (left_ms / MAX_RETRY_DIVISOR).max(MIN_RETRY_AFTER_MS);
    let jitter_ms = random.below(wait_ms.min(max_ms) / JITTER_DIVISOR + 1);
    let retry_ms = wait_ms.saturating_add(jitter_ms);
    if retry_ms > max_ms {
        max_ms.saturating_sub(jitter_ms).max(MIN_RETRY_AFTER_MS)
    } else {
        retry_ms
    }
}
