//! The retry budgets of this instance, one a service, with what the others told.

use std::sync::Arc;

use super::super::loads;
use super::super::policy::budget::Bound;
use super::super::policy::engine::Need;
use super::super::view::View;
use super::Traffic;

impl Traffic {
    /// Counts a request to a service.
    pub fn note_request(&self, service: &Arc<str>) {
        let bound = self.bound(service);
        let now_ms = self.now_ms();
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(Arc::clone(service)).or_default().count_request(bound, now_ms);
    }

    /// Takes one repeat to a service, if the bound allows it.
    pub fn may_repeat(&self, service: &Arc<str>) -> bool {
        let bound = self.bound(service);
        let now_ms = self.now_ms();
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(Arc::clone(service)).or_default().try_repeat(bound, now_ms)
    }

    /// Whether the bound allows a repeat to a service now.
    pub fn has_repeat(&self, service: &Arc<str>) -> bool {
        let bound = self.bound(service);
        let now_ms = self.now_ms();
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(Arc::clone(service)).or_default().allows_repeat(bound, now_ms)
    }

    /// Requests to a service that other instances place before the news of them arrive here, as far as
    /// what came in the window tells. Repeats don't count: most of them go where their copies lie. Nor
    /// do calls without a prompt, which end before any news of them could arrive.
    pub(super) fn unseen(&self, view: &View, service: &str, need: Need) -> f64 {
        let sent = view.sent.get(service).filter(|_| need.prompt_tokens > 0);
        let window_ms = self.settings.repeat_window_ms.max(1);
        sent.map_or(0.0, |sent| sent.requests as f64) * loads::DIGEST_INTERVAL_MS as f64
            / window_ms as f64
    }

    fn bound(&self, service: &str) -> Bound {
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
