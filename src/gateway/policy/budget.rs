//! Budget for the repeats of a service over a sliding window, shared by all instances.
//!
//! A repeat is a request that is really sent again, after its first attempt. All instances together
//! may send a service a fixed ratio of repeats to requests, plus a fixed slack. Instances report to
//! each other what they sent. These reports arrive late, and after a crash all instances repeat at
//! the same moment, so each instance is also limited to a few times its own share.

use std::collections::VecDeque;

/// Fraction of the budget that is used. Where most engines refuse requests, instances of other
/// failure domains repeat for some hundred milliseconds before this one receives their reports: a
/// fifth of all repeats in a window, or more.
const USED_FRACTION: f64 = 0.75;
/// Number of steps that the window is divided into.
const STEPS_PER_WINDOW: u64 = 10;

/// Requests and repeats that one instance sent to one service within the window.
#[derive(Debug, Default)]
pub struct Budget {
    steps: VecDeque<Step>,
}

#[derive(Debug, Clone, Copy)]
struct Step {
    index: u64,
    requests: u64,
    repeats: u64,
}

/// The limit for all instances together, and what the others have used of it.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed in addition.
    pub slack: f64,
    /// Length of the window.
    pub window_ms: u64,
    /// Number of instances that share the budget.
    pub instances: u32,
    /// Requests that the other instances sent within the window.
    pub others_requests: u64,
    /// Repeats that the other instances sent within the window.
    pub others_repeats: u64,
}

/// Upper bound on the repeats of one instance, as a multiple of its equal share. Losses are uneven;
/// with this factor, a third of the instances can reach their bound at once and the total stays
/// within the budget.
const MAX_SHARE_FACTOR: f64 = 3.0;
/// Number of repeats that each instance may always send while the total allows it.
const MIN_REPEATS: f64 = 4.0;

impl Budget {
    /// Counts a request.
    pub fn count_request(&mut self, bound: Bound, now_ms: u64) {
        self.current_step(bound, now_ms).requests += 1;
    }

    /// Counts a repeat if the budget allows one; returns whether it does.
    pub fn try_repeat(&mut self, bound: Bound, now_ms: u64) -> bool {
        if !self.allows_repeat(bound, now_ms) {
            return false;
        }
        self.current_step(bound, now_ms).repeats += 1;
        true
    }

    /// Whether the budget allows one more repeat.
    pub fn allows_repeat(&mut self, bound: Bound, now_ms: u64) -> bool {
        self.current_step(bound, now_ms);
        let (requests, repeats) = self.counts();
        let all_requests = requests + bound.others_requests;
        let limit = USED_FRACTION * (bound.ratio * all_requests as f64 + bound.slack);
        let own_share = limit / f64::from(bound.instances.max(1));
        let is_within_total = (repeats + bound.others_repeats + 1) as f64 <= limit;
        let is_within_share =
            (repeats + 1) as f64 <= (own_share * MAX_SHARE_FACTOR).max(MIN_REPEATS);
        is_within_total && is_within_share
    }

    /// Returns the requests and the repeats in the window. Upstreams count repeats in any interval
    /// of the window's length, so the repeats of the step that lies only partly in the window count
    /// in full; its requests do not.
    pub fn counts(&self) -> (u64, u64) {
        let newest = self.steps.back().map_or(0, |step| step.index);
        let is_in = |step: &&Step| step.index + STEPS_PER_WINDOW > newest;
        let requests = self.steps.iter().filter(is_in).map(|step| step.requests).sum();
        let repeats = self.steps.iter().map(|step| step.repeats).sum();
        (requests, repeats)
    }

    /// Returns the same at a time, also if nothing was counted since the window before it.
    pub fn counts_at(&self, window_ms: u64, now_ms: u64) -> (u64, u64) {
        let now = step_index(window_ms, now_ms);
        let requests = self.steps.iter().filter(|step| step.index + STEPS_PER_WINDOW > now);
        let repeats = self.steps.iter().filter(|step| step.index + STEPS_PER_WINDOW >= now);
        (requests.map(|step| step.requests).sum(), repeats.map(|step| step.repeats).sum())
    }

    fn current_step(&mut self, bound: Bound, now_ms: u64) -> &mut Step {
        let index = step_index(bound.window_ms, now_ms);
        while self.steps.front().is_some_and(|step| step.index + STEPS_PER_WINDOW < index) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.index != index) {
            self.steps.push_back(Step { index, requests: 0, repeats: 0 });
        }
        self.steps.back_mut().expect("a step was just pushed")
    }
}

fn step_index(window_ms: u64, now_ms: u64) -> u64 {
    now_ms / (window_ms / STEPS_PER_WINDOW).max(1)
}
