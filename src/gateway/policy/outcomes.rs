//! How recent requests to an upstream ended, as evidence that instances share.
//!
//! Each instance keeps the outcomes of its own requests in a sliding window and reports a summary of
//! a few numbers. Summaries of several instances are added, so a failure domain reports one for all
//! of its instances. Times are ages, since the clocks of instances differ. See
//! [docs/design/outlier-ejection.md](../../../docs/design/outlier-ejection.md).

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Time for which an outcome counts, in milliseconds: long enough for tens of requests to each
/// upstream of a busy service, short enough that an upstream's recovery shows within seconds.
pub const WINDOW_MS: u64 = 3_000;
/// Time span of the outcomes that are counted together, in milliseconds.
const BUCKET_MS: u64 = 250;
/// Maximum number of failures in a row that one instance reports of an upstream, so that no instance
/// alone brings about an ejection by the others.
const MAX_REPORTED_IN_A_ROW: u32 = 1;
/// Maximum number of failures within the window that one instance reports of an upstream.
const MAX_REPORTED_FAILURES: u32 = 8;

/// How a request to an upstream ended, as far as this says something about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It answered, and whether that took far longer than usual in this service.
    Answered {
        /// Whether it took far longer than usual.
        is_slow: bool,
    },
    /// It answered with a server error of its own.
    ServerError,
    /// It reset or closed the connection, or its answer is unusable.
    Broken,
    /// It refused the request although it reported free slots.
    Rejected,
    /// It didn't answer for far longer than callers accept.
    Unanswered,
}

impl Outcome {
    /// Whether it is a failure that a healthy upstream doesn't produce. A server error may be due to
    /// the request, and a missing answer to a short deadline.
    pub fn is_unexplained(self) -> bool {
        matches!(self, Outcome::Broken | Outcome::Rejected)
    }
}

/// Summary of the outcomes at one upstream within the window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Number of requests that it answered well.
    pub answered: u32,
    /// Number of those that took far longer than usual.
    pub slow: u32,
    /// Number of requests that failed.
    pub failed: u32,
    /// Number of failures since the last good answer.
    pub failed_in_a_row: u32,
    /// Time since the last good answer, in milliseconds.
    pub answered_age_ms: Option<u64>,
    /// Time since the last failure, in milliseconds.
    pub failed_age_ms: Option<u64>,
    /// Time since the last failure that a healthy upstream doesn't produce, in milliseconds.
    pub unexplained_age_ms: Option<u64>,
}

impl Outcomes {
    /// Number of requests.
    pub fn total(&self) -> u32 {
        self.answered.saturating_add(self.failed)
    }

    /// Fraction of the requests that failed.
    pub fn failure_rate(&self) -> f64 {
        rate(self.failed, self.total())
    }

    /// Fraction of the good answers that took far longer than usual.
    pub fn slow_rate(&self) -> f64 {
        rate(self.slow, self.answered)
    }

    /// The same summary some time later.
    pub fn later(self, by_ms: u64) -> Outcomes {
        let later = |age_ms: Option<u64>| age_ms.map(|age_ms| age_ms.saturating_add(by_ms));
        Outcomes {
            answered_age_ms: later(self.answered_age_ms),
            failed_age_ms: later(self.failed_age_ms),
            unexplained_age_ms: later(self.unexplained_age_ms),
            ..self
        }
    }

    /// The sum with the outcomes of other instances, as of the same time. Failures in a row count
    /// only if no instance got a good answer since.
    pub fn plus(self, other: Outcomes) -> Outcomes {
        let answered_age_ms = youngest(self.answered_age_ms, other.answered_age_ms);
        let is_followed_by_answer = |failed_age_ms: u64| {
            answered_age_ms.is_some_and(|answered_age_ms| answered_age_ms < failed_age_ms)
        };
        let in_a_row = |outcomes: Outcomes| match outcomes.failed_age_ms {
            Some(failed_age_ms) if !is_followed_by_answer(failed_age_ms) => {
                outcomes.failed_in_a_row
            }
            _ => 0,
        };
        Outcomes {
            answered: self.answered.saturating_add(other.answered),
            slow: self.slow.saturating_add(other.slow),
            failed: self.failed.saturating_add(other.failed),
            failed_in_a_row: in_a_row(self).saturating_add(in_a_row(other)),
            answered_age_ms,
            failed_age_ms: youngest(self.failed_age_ms, other.failed_age_ms),
            unexplained_age_ms: youngest(self.unexplained_age_ms, other.unexplained_age_ms),
        }
    }

    /// What one instance reports of this: its failures are bounded.
    pub fn as_reported(self) -> Outcomes {
        Outcomes {
            failed: self.failed.min(MAX_REPORTED_FAILURES),
            failed_in_a_row: self.failed_in_a_row.min(MAX_REPORTED_IN_A_ROW),
            ..self
        }
    }

    /// Only the good answers.
    pub fn without_failures(self) -> Outcomes {
        Outcomes {
            failed: 0,
            failed_in_a_row: 0,
            failed_age_ms: None,
            unexplained_age_ms: None,
            ..self
        }
    }
}

fn rate(part: u32, total: u32) -> f64 {
    if total == 0 { 0.0 } else { f64::from(part) / f64::from(total) }
}

fn youngest(one: Option<u64>, other: Option<u64>) -> Option<u64> {
    one.into_iter().chain(other).min()
}

/// Outcomes of requests of this instance at one upstream.
#[derive(Debug, Clone, Default)]
pub struct OutcomeWindow {
    buckets: VecDeque<Bucket>,
    failed_in_a_row: u32,
    /// When the first of the failures in a row occurred.
    failing_since_ms: Option<u64>,
    answered_ms: Option<u64>,
    failed_ms: Option<u64>,
    unexplained_ms: Option<u64>,
}

#[derive(Debug, Clone, Default)]
struct Bucket {
    since_ms: u64,
    answered: u32,
    slow: u32,
    failed: u32,
}

impl OutcomeWindow {
    /// Adds an outcome.
    pub fn note(&mut self, outcome: Outcome, now_ms: u64) {
        self.remove_expired(now_ms);
        if self.buckets.back().is_none_or(|bucket| bucket.since_ms + BUCKET_MS <= now_ms) {
            self.buckets.push_back(Bucket { since_ms: now_ms, ..Bucket::default() });
        }
        let Some(bucket) = self.buckets.back_mut() else { return };
        if let Outcome::Answered { is_slow } = outcome {
            bucket.answered = bucket.answered.saturating_add(1);
            bucket.slow = bucket.slow.saturating_add(u32::from(is_slow));
            self.failed_in_a_row = 0;
            self.failing_since_ms = None;
            self.answered_ms = Some(now_ms);
            return;
        }
        bucket.failed = bucket.failed.saturating_add(1);
        self.failed_in_a_row = self.failed_in_a_row.saturating_add(1);
        self.failing_since_ms.get_or_insert(now_ms);
        self.failed_ms = Some(now_ms);
        if outcome.is_unexplained() {
            self.unexplained_ms = Some(now_ms);
        }
    }

    /// Drops outcomes that no longer count. Returns whether any are left.
    pub fn remove_expired(&mut self, now_ms: u64) -> bool {
        while self.buckets.front().is_some_and(|bucket| bucket.since_ms + WINDOW_MS <= now_ms) {
            self.buckets.pop_front();
        }
        !self.buckets.is_empty()
    }

    /// Whether the upstream answered well since another one began to fail.
    pub fn has_answered_since_failures_of(&self, other: &OutcomeWindow) -> bool {
        match (self.answered_ms, other.failing_since_ms) {
            (Some(answered_ms), Some(since_ms)) => answered_ms >= since_ms,
            _ => false,
        }
    }

    /// The summary of the outcomes that count now.
    pub fn outcomes(&self, now_ms: u64) -> Outcomes {
        let age = |at_ms: Option<u64>| {
            at_ms.map(|at_ms| now_ms.saturating_sub(at_ms)).filter(|age_ms| *age_ms < WINDOW_MS)
        };
        let failed_age_ms = age(self.failed_ms);
        let mut sum = Outcomes {
            failed_in_a_row: if failed_age_ms.is_some() { self.failed_in_a_row } else { 0 },
            answered_age_ms: age(self.answered_ms),
            failed_age_ms,
            unexplained_age_ms: age(self.unexplained_ms),
            ..Outcomes::default()
        };
        for bucket in self.buckets.iter().filter(|bucket| bucket.since_ms + WINDOW_MS > now_ms) {
            sum.answered = sum.answered.saturating_add(bucket.answered);
            sum.slow = sum.slow.saturating_add(bucket.slow);
            sum.failed = sum.failed.saturating_add(bucket.failed);
        }
        sum
    }
}
