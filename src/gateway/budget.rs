//! The bound on repeats of a service in a sliding window, one instance's part of it.
//!
//! All instances together may send a service so many times its requests, and a few more. Each
//! takes its own requests times the ratio, and its part of the rest.

use std::collections::VecDeque;

/// The part of the bound that is used: repeats are counted where they arrive, a little later.
const USED: f64 = 0.8;
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
    /// Among how many instances the rest is divided.
    pub instances: u32,
}

impl Budget {
    /// Counts a request.
    pub fn request(&mut self, bound: Bound, now_ms: u64) {
        self.step(bound, now_ms).requests += 1;
    }

    /// Counts a repeat, if the bound allows one.
    pub fn repeat(&mut self, bound: Bound, now_ms: u64) -> bool {
        self.step(bound, now_ms);
        let requests: u64 = self.steps.iter().map(|step| step.requests).sum();
        let repeats: u64 = self.steps.iter().map(|step| step.repeats).sum();
        let slack = bound.slack / f64::from(bound.instances.max(1));
        let most = USED * (bound.ratio * requests as f64 + slack);
        if (repeats + 1) as f64 > most {
            return false;
        }
        self.step(bound, now_ms).repeats += 1;
        true
    }

    fn step(&mut self, bound: Bound, now_ms: u64) -> &mut Step {
        let number = now_ms / (bound.window_ms / STEPS).max(1);
        while self.steps.front().is_some_and(|step| step.number + STEPS <= number) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number != number) {
            self.steps.push_back(Step { number, requests: 0, repeats: 0 });
        }
        self.steps.back_mut().expect("a step was just pushed")
    }
}
