//! Calls that arrive at this instance, and the demand on all instances that follows from them.

use std::collections::VecDeque;

/// Width of the steps in which arrivals are counted, in milliseconds.
pub(super) const ARRIVAL_STEP_MS: u64 = 100;
/// Number of the newest steps that show the present rate of arrivals.
pub(super) const RECENT_STEPS: u64 = 10;
/// Number of arrivals that are added to both rates when they are compared: small counts vary by chance, and must not pass for a trend.
const RATE_PRIOR: f64 = 1.0;

/// Calls that arrived at this instance.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    steps: VecDeque<(u64, u32)>,
    since_ms: Option<u64>,
}

impl Arrivals {
    pub(super) fn count(&mut self, now_ms: u64, window_ms: u64) {
        let index = now_ms / ARRIVAL_STEP_MS;
        self.since_ms.get_or_insert(now_ms);
        let first = index.saturating_sub(window_ms / ARRIVAL_STEP_MS);
        while self.steps.front().is_some_and(|(known, _)| *known < first) {
            self.steps.pop_front();
        }
        match self.steps.back_mut() {
            Some((known, count)) if *known == index => *count += 1,
            _ => self.steps.push_back((index, 1)),
        }
    }

    /// Calls in the newest steps.
    pub(super) fn recent(&self, now_ms: u64) -> f64 {
        self.since((now_ms / ARRIVAL_STEP_MS + 1).saturating_sub(RECENT_STEPS))
    }

    pub(super) fn since(&self, first_index: u64) -> f64 {
        let counted = self.steps.iter().filter(|(index, _)| *index >= first_index);
        counted.map(|(_, count)| f64::from(*count)).sum()
    }

    /// Calls that arrive at all instances, per millisecond, and the fraction of them that arrives at others. Others report only how many calls they
    /// got in the whole window, so a recent change is taken from the calls here.
    pub(super) fn demand_per_ms(
        &self,
        others_requests: u64,
        window_ms: u64,
        now_ms: u64,
    ) -> (f64, f64) {
        let index = now_ms / ARRIVAL_STEP_MS;
        let own = self.since(index.saturating_sub(window_ms / ARRIVAL_STEP_MS));
        let recent = self.recent(now_ms);
        let known_ms = self.since_ms.map_or(0, |since_ms| now_ms.saturating_sub(since_ms));
        let recent_ms = (RECENT_STEPS * ARRIVAL_STEP_MS) as f64;
        let usual = own * recent_ms / (known_ms.min(window_ms) as f64).max(recent_ms);
        let all = own + others_requests as f64;
        let trend = (recent + RATE_PRIOR) / (usual + RATE_PRIOR);
        (all / window_ms.max(1) as f64 * trend, others_requests as f64 / all.max(1.0))
    }
}
