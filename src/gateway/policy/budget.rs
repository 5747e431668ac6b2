//! The bound on repeats of a service in a sliding window, over all instances.
//!
//! All instances together may send a service so many repeats for its requests, and a few more.
//! They tell each other what they sent. What others tell is late, and after a crash all repeat in
//! the same moment, so each also keeps to a few times its own part.

use std::collections::VecDeque;

/// The part of the bound that is used: where most engines refuse, instances of other failure domains
/// repeat for some hundred milliseconds before this one hears of it, a fifth of all in a window and more.
const USED: f64 = 0.75;
/// Into how many steps the window is divided.
const STEPS: u64 = 10;

/// What one instance sent to one service in the window.
#[derive(Debug, Default)]
pub struct Budget {
    steps: VecDeque<Step>,
}

#[derive(Debug, Clone, Copy)]
struct Step {
    number: u64,
    requests: u64,
    repeats: u64,
}

/// The bound over all instances.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that.
    pub slack: f64,
    /// The window.
    pub window_ms: u64,
    /// Among how many instances it is divided.
    pub instances: u32,
    /// Requests that the others sent in the window.
    pub others_requests: u64,
    /// Repeats that the others sent in the window.
    pub others_repeats: u64,
}

/// How many times its own part an instance may take: losses are uneven, and so many are still
/// under the bound if a third of the instances took as much at once.
const PARTS: f64 = 3.0;
/// Repeats that each instance may always make while the sum allows it.
const LEAST: f64 = 4.0;

impl Budget {
    /// Counts a request.
    pub fn request(&mut self, bound: Bound, now_ms: u64) {
        self.step(bound, now_ms).requests += 1;
    }

    /// Counts a repeat, if the bound allows one.
    pub fn repeat(&mut self, bound: Bound, now_ms: u64) -> bool {
        if !self.has_repeat(bound, now_ms) {
            return false;
        }
        self.step(bound, now_ms).repeats += 1;
        true
    }

    /// Whether the bound allows one more repeat.
    pub fn has_repeat(&mut self, bound: Bound, now_ms: u64) -> bool {
        self.step(bound, now_ms);
        let (requests, repeats) = self.sums();
        let all_requests = requests + bound.others_requests;
        let most = USED * (bound.ratio * all_requests as f64 + bound.slack);
        let own_part = most / f64::from(bound.instances.max(1));
        let is_within_all = (repeats + bound.others_repeats + 1) as f64 <= most;
        let is_within_own = (repeats + 1) as f64 <= (own_part * PARTS).max(LEAST);
        is_within_all && is_within_own
    }

    /// Requests and repeats in the window. Upstreams count repeats in any span of its length, so the
    /// step that is partly out of it counts whole; requests of that step don't.
    pub fn sums(&self) -> (u64, u64) {
        let newest = self.steps.back().map_or(0, |step| step.number);
        let is_in = |step: &&Step| step.number + STEPS > newest;
        let requests = self.steps.iter().filter(is_in).map(|step| step.requests).sum();
        let repeats = self.steps.iter().map(|step| step.repeats).sum();
        (requests, repeats)
    }

    fn step(&mut self, bound: Bound, now_ms: u64) -> &mut Step {
        let number = now_ms / (bound.window_ms / STEPS).max(1);
        while self.steps.front().is_some_and(|step| step.number + STEPS < number) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number != number) {
            self.steps.push_back(Step { number, requests: 0, repeats: 0 });
        }
        self.steps.back_mut().expect("a step was just pushed")
    }
}
