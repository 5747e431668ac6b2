//! Handling of what upstreams say in responses about load, backoff, rate limits and leaving.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::super::dialect::Marks;
use super::super::fleet::Departure;
use super::super::policy::departures::Departures;
use super::super::policy::rejections::Rejection;
use super::super::rate::{Permit, Rate};
use super::super::view::{PermitRequest, Signal, View};
use super::super::worker::Worker;
use super::Traffic;

/// How long the instance that owns an upstream's token bucket may take to answer a permit request:
/// a few round trips between failure domains. A request without a permit goes to another upstream.
const PERMIT_TIMEOUT_MS: u64 = 60;
/// How long an upstream is throttled if the owner of its bucket does not answer. The owner may have
/// died, which is known within a second or two.
const UNANSWERED_THROTTLE_MS: u64 = 250;
/// How long a brittle upstream gets nothing from this instance after each request that it turned away:
/// the time in which all instances learn of it.
const REJECTION_PAUSE_MS: u64 = 30;
/// Range of the random delay that spreads the retries of callers that were refused because all
/// upstreams were throttled.
const MAX_RETRY_JITTER_MS: u64 = 500;

impl Traffic {
    /// Processes what an upstream's response says about the upstream itself.
    pub fn note_response_metadata(&self, worker: &Worker, status: u16, metadata: &Marks) {
        // This response comes from another upstream at the address and describes that one.
        if status == 421 {
            return;
        }
        if let Some(load) = metadata.load {
            worker.tell(load, self.now_ms());
            if load.slowness_percent.is_some() {
                self.note_uneven(&worker.upstream.service);
            }
            self.note_reported_load(worker, load);
        }
        let is_refusal = matches!(status, 429 | 503);
        if let Some(after_ms) =
            metadata.retry_after_ms.filter(|after_ms| is_refusal && *after_ms > 0)
        {
            self.note_backoff(worker, after_ms);
        }
        if is_refusal && metadata.not_run {
            self.note_rejection(worker, metadata);
        }
        if metadata.rate_limit.is_none() {
            self.set_rate_limit(worker, None, self.now_ms(), "its response");
        }
        self.note_advertised_limits(worker, metadata);
    }

    /// Processes the restrictions that a response states: a rate limit, or that the upstream is
    /// leaving. They hold in a response to another request as well; such a response may be old, so
    /// it lifts no restriction.
    pub fn note_advertised_limits(&self, worker: &Worker, metadata: &Marks) {
        if metadata.is_leaving && worker.note_said_leaving() {
            self.log_leaving(worker, "its response");
            self.shared.signal(Signal::Departure(Departure::of(&worker.upstream)));
        }
        if let Some(rate) = metadata.rate_limit {
            self.set_rate_limit(worker, Some(rate), self.now_ms(), "its response");
            self.shared.signal(Signal::Rate(Arc::clone(&worker.upstream.id), rate));
        }
    }

    fn log_leaving(&self, worker: &Worker, by: &'static str) {
        slog::info!(self.log, "upstream announced that it is leaving";
            "upstream" => &*worker.upstream.id, "service" => &*worker.upstream.service,
            "by" => by);
    }

    /// Applies which upstreams announced to any instance that they are leaving.
    pub(super) fn apply_departures(&self, departures: &Departures) {
        for worker in self.workers.borrow().values() {
            if departures.contains(&worker.upstream) && worker.note_said_leaving() {
                self.log_leaving(worker, "a peer");
            }
        }
        *self.departures.borrow_mut() = departures.clone();
    }

    /// Backs off from an upstream that refused a request, for as long as it asked.
    fn note_backoff(&self, worker: &Worker, after_ms: u64) {
        let now_ms = self.now_ms();
        if worker.back_off(now_ms.saturating_add(after_ms), now_ms) {
            slog::info!(self.log, "upstream requested backoff"; "upstream" => &*worker.upstream.id,
                "service" => &*worker.upstream.service, "for_ms" => after_ms);
            self.metrics.count("backoffs_requested");
        }
    }

    /// Has all instances keep the rejections of a brittle upstream below the number that fells it.
    fn note_rejection(&self, worker: &Worker, metadata: &Marks) {
        let bound = metadata.max_rejections_per_s;
        let id = Arc::clone(&worker.upstream.id);
        if let Some(rejection) = bound.and_then(|bound| Rejection::new(id, bound)) {
            self.metrics.count("brittle_rejections");
            worker.throttle(self.now_ms() + REJECTION_PAUSE_MS);
            self.shared.signal(Signal::Rejection(rejection));
        }
    }

    /// Sends nothing to brittle upstreams that turned too many requests away.
    pub(super) fn apply_pauses(&self, view: &View) {
        if view.paused.is_empty() {
            return;
        }
        let workers = self.workers.borrow();
        for (id, until_ms) in view.paused.iter() {
            if let Some(worker) = workers.get(id) {
                worker.throttle(*until_ms);
            }
        }
    }

    /// Records the rate limit that an upstream advertised; `by` names the source in the log.
    fn set_rate_limit(&self, worker: &Worker, rate: Option<Rate>, at_ms: u64, by: &'static str) {
        let previous = worker.set_rate_limit(rate, at_ms);
        let now = worker.rate_limit();
        if previous != now {
            slog::info!(self.log, "upstream changed its rate limit";
                "upstream" => &*worker.upstream.id, "service" => &*worker.upstream.service,
                "per_s" => now.map(Rate::as_per_s), "before_per_s" => previous.map(Rate::as_per_s),
                "by" => by);
        }
    }

    /// The upstream's rate limit over all instances, as it or a peer last reported.
    fn rate_limit(&self, worker: &Worker) -> Option<Rate> {
        if let Some(advertised) = self.shared.view.load().advertised_rates.of(&worker.upstream.id) {
            self.set_rate_limit(worker, Some(advertised.rate), advertised.at_ms, "a peer");
        }
        worker.rate_limit()
    }

    /// Whether a request may be sent to an upstream now; if so, the caller of this function has to
    /// send it. An upstream with a rate limit is throttled if this instance gets no permit: for the
    /// time that the owner of its bucket names, or `UNANSWERED_THROTTLE_MS` if the owner is silent.
    pub async fn try_admit(&self, worker: &Worker) -> bool {
        if worker.is_throttled(self.now_ms()) {
            return false;
        }
        let Some(rate) = self.rate_limit(worker) else { return true };
        let (answer, answered) = oneshot::channel();
        let upstream = Arc::clone(&worker.upstream.id);
        let request = PermitRequest { upstream, rate, answer };
        self.shared.signal(Signal::PermitWanted(request));
        let limit = Duration::from_millis(PERMIT_TIMEOUT_MS);
        let after_ms = match tokio::time::timeout(limit, answered).await {
            Ok(Ok(Permit::Granted)) => return true,
            Ok(Ok(Permit::Wait { after_ms })) => after_ms,
            Ok(Err(_)) | Err(_) => {
                self.metrics.count("permits_unanswered");
                UNANSWERED_THROTTLE_MS
            }
        };
        worker.throttle(self.now_ms() + after_ms);
        self.metrics.count("requests_throttled");
        false
    }

    /// How long a caller should wait before it retries if all upstreams of a service are throttled:
    /// until one of them accepts work again, plus a random delay so that callers don't return all
    /// at once.
    pub(super) fn throttled_retry_after_ms(&self, service: &str) -> Option<u64> {
        Some(self.throttled_for_ms(service)? + fastrand::u64(..MAX_RETRY_JITTER_MS))
    }

    /// How long until an upstream of a service accepts work again, if all of them are throttled.
    pub fn throttled_for_ms(&self, service: &str) -> Option<u64> {
        let now_ms = self.now_ms();
        let workers = self.workers.borrow();
        let available = workers.values().filter(|worker| {
            *worker.upstream.service == *service && worker.takes_work() && !worker.is_lost(now_ms)
        });
        let waits_ms = available.map(|worker| worker.throttled_until_ms().saturating_sub(now_ms));
        waits_ms.min().filter(|wait_ms| *wait_ms > 0)
    }
}
