//! Retry budgets of this instance, one per service, including what other instances reported.

use std::sync::Arc;

use super::super::loads;
use super::super::policy::budget::Bound;
use super::super::policy::engine::Need;
use super::super::view::View;
use super::Traffic;

impl Traffic {
    /// Counts a caller's request to a service.
    pub fn note_request(&self, service: &Arc<str>) {
        let bound = self.retry_bound(service);
        let now_ms = self.now_ms();
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets.entry(Arc::clone(service)).or_default().count_request(bound, now_ms);
    }

    /// Takes one retry from a service's budget, if its bound allows that.
    pub fn take_retry(&self, service: &Arc<str>) -> bool {
        let bound = self.retry_bound(service);
        let now_ms = self.now_ms();
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(Arc::clone(service)).or_default();
        let is_allowed = budget.try_repeat(bound, now_ms);
        let (requests, repeats) = budget.counts();
        slog::info!(self.log, "repeat"; "service" => &**service, "allowed" => is_allowed,
            "requests" => requests, "repeats" => repeats,
            "others_requests" => bound.others_requests, "others_repeats" => bound.others_repeats,
            "instances" => bound.instances, "since_start_ms" => now_ms);
        is_allowed
    }

    /// Whether a service's budget allows a retry now.
    pub fn has_retry(&self, service: &Arc<str>) -> bool {
        let bound = self.retry_bound(service);
        let now_ms = self.now_ms();
        let mut budgets = self.retry_budgets.borrow_mut();
        budgets.entry(Arc::clone(service)).or_default().allows_repeat(bound, now_ms)
    }

    /// Expected number of requests to a service that other instances place before this one receives
    /// their load updates, estimated from their reports for the budget window. Retries don't count,
    /// since most of them go to the engine with the run's copy; nor do calls without a prompt,
    /// which end before any update could arrive.
    pub(super) fn unseen_requests(&self, view: &View, service: &str, need: Need) -> f64 {
        let sent = view.sent.get(service).filter(|_| need.prompt_tokens > 0);
        let window_ms = self.settings.repeat_window_ms.max(1);
        sent.map_or(0.0, |sent| sent.requests as f64) * loads::DIGEST_INTERVAL_MS as f64
            / window_ms as f64
    }

    fn retry_bound(&self, service: &str) -> Bound {
        let view = self.shared.view.load();
        let others = view.sent.get(service);
        Bound {
            ratio: self.settings.repeat_ratio,
            slack: self.settings.repeat_slack,
            window_ms: self.settings.repeat_window_ms,
            instances: view.instances,
            others_requests: others.map_or(0, |sent| sent.requests),
            others_repeats: others.map_or(0, |sent| sent.repeats),
        }
    }
}
