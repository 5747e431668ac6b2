//! Requests that find no usable upstream in this instance's share of a large service wait for a wider share.

use std::time::Duration;

use super::super::job::Job;
use super::super::view::Signal;
use super::Traffic;

/// How long a request waits for a wider share: a fetch from a peer that does not answer, and one from another.
const MAX_WIDENING_MS: u64 = 2_500;

impl Traffic {
    /// Waits until this instance holds more upstreams of a request's service, since none of those that it
    /// holds can take the request. Returns whether it does; `false` at once if there are no others to hold.
    pub async fn wait_for_more_upstreams(&self, job: &Job) -> bool {
        let view = self.shared.view.load_full();
        if view.share.is_all() || !view.large.contains(&job.service) {
            return false;
        }
        self.metrics.count("requests_awaiting_a_wider_share");
        let mut shares = self.shared.share.subscribe();
        self.shared.signal(Signal::NoUpstreamLeft);
        let wait_ms = job.left_ms(self.now_ms()).min(MAX_WIDENING_MS);
        let widened = shares.wait_for(|share| *share < view.share);
        let widened = tokio::time::timeout(Duration::from_millis(wait_ms), widened).await;
        matches!(widened, Ok(Ok(_)))
    }
}
