//! Outcomes of requests at upstreams, and the ejection of those that stand out by them.
//!
//! This takes place only for services whose upstreams report their slowness in their load; of others
//! no outcomes are kept or reported.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::dialect::{Load, Marks};
use super::super::loads::{Aged, LocalTraffic, UpstreamObservation};
use super::super::policy::outcomes::{Outcome, Outcomes};
use super::super::policy::outliers::{
    Ejection, Outliers, Standing, Status, Transition, UpstreamEvidence,
};
use super::super::view::View;
use super::super::worker::Worker;
use super::Traffic;

/// Minimum interval between two evaluations of a service without a failure of this instance's own:
/// the outcomes of others are merged no more often than this.
const EVALUATION_INTERVAL_MS: u64 = 20;
/// Minimum interval between two updates that failures cause, in milliseconds: the time in which
/// messages of the same failure domain are batched.
const MIN_NOTIFICATION_INTERVAL_MS: u64 = 5;
/// How old a reported load may be to show that a refusal had no cause.
const MAX_LOAD_AGE_MS: u64 = 400;
/// Requests for each slot from which an upstream counts as full: one more would wait for two others.
const FULL_RUNS_PER_SLOT: u32 = 2;
/// Multiple of a route's objective after which a missing answer counts as a failure.
const UNANSWERED_FACTOR: u64 = 2;

/// State of the outlier ejection of this instance.
#[derive(Debug, Default)]
pub(super) struct OutlierState {
    outliers: Outliers,
    /// When each service whose upstreams report their slowness was last evaluated; `None` if it has
    /// to be evaluated before the next choice.
    evaluated_ms: BTreeMap<Arc<str>, Option<u64>>,
    /// The load that each upstream last reported, and when.
    reported: BTreeMap<Arc<str>, (Load, u64)>,
    notified_ms: Option<u64>,
}

impl OutlierState {
    fn is_on(&self, service: &str) -> bool {
        self.evaluated_ms.contains_key(service)
    }

    /// Whether an upstream reported a moment ago that most of its slots are free.
    fn has_been_mostly_free(&self, id: &str, now_ms: u64) -> bool {
        self.reported.get(id).is_some_and(|(load, at_ms)| {
            let is_mostly_free = load.waiting == 0 && load.running <= load.slots / 2;
            at_ms + MAX_LOAD_AGE_MS > now_ms && is_mostly_free
        })
    }
}

fn has_free_slots(load: &Load) -> bool {
    load.running.saturating_add(load.waiting) < load.slots
}

impl Traffic {
    /// Records the load that an upstream reported. The first one with a slowness switches the
    /// ejection of outliers on for the service.
    pub(super) fn note_reported_load(&self, worker: &Worker, load: Load) {
        let mut state = self.outliers.borrow_mut();
        let service = &worker.upstream.service;
        if load.slowness_percent.is_some() && !state.is_on(service) {
            state.evaluated_ms.insert(Arc::clone(service), None);
        }
        if state.is_on(service) {
            state.reported.insert(Arc::clone(&worker.upstream.id), (load, self.now_ms()));
        }
    }

    /// Records that an upstream answered a request well.
    pub fn note_good_answer(&self, worker: &Worker, after_ms: u64) {
        let mut state = self.outliers.borrow_mut();
        let upstream = &worker.upstream;
        if state.is_on(&upstream.service) {
            state.outliers.note_answer(&upstream.service, &upstream.id, after_ms, self.now_ms());
        }
    }

    /// Records how a request to an upstream ended, and notifies peers at once if it failed.
    pub fn note_outcome(&self, worker: &Worker, outcome: Outcome) {
        let now_ms = self.now_ms();
        let mut state = self.outliers.borrow_mut();
        let upstream = &worker.upstream;
        if !state.is_on(&upstream.service) {
            return;
        }
        state.outliers.note(&upstream.id, outcome, now_ms);
        if matches!(outcome, Outcome::Answered { .. }) {
            return;
        }
        state.evaluated_ms.insert(Arc::clone(&upstream.service), None);
        let is_due =
            state.notified_ms.is_none_or(|at_ms| at_ms + MIN_NOTIFICATION_INTERVAL_MS <= now_ms);
        if is_due {
            state.notified_ms = Some(now_ms);
            drop(state);
            self.notify_peers();
        }
    }

    /// Records that an upstream refused a request. Returns whether it did so although it reported
    /// free slots: with the refusal, or a moment before that most were free.
    pub fn note_refusal(&self, worker: &Worker, status: u16, metadata: &Marks) -> bool {
        let state = self.outliers.borrow();
        let id = &worker.upstream.id;
        let is_free = match &metadata.load {
            Some(load) => has_free_slots(load),
            None => state.has_been_mostly_free(id, self.now_ms()),
        };
        // Other statuses refuse the request itself.
        let is_overload = matches!(status, 429 | 503);
        // One that is leaving, limits its rate or names a time has a reason to refuse.
        let has_reason = metadata.is_leaving
            || metadata.rate_limit.is_some()
            || metadata.retry_after_ms.is_some();
        let is_unexplained =
            is_overload && is_free && !has_reason && state.is_on(&worker.upstream.service);
        drop(state);
        if is_unexplained {
            self.note_outcome(worker, Outcome::Rejected);
        }
        is_unexplained
    }

    /// Records that a request was abandoned without an answer. That says nothing about the upstream
    /// unless it had far longer than the objective.
    pub fn note_unanswered(&self, worker: &Worker, waited_ms: u64, objective_ms: u64) {
        if objective_ms > 0 && waited_ms >= UNANSWERED_FACTOR * objective_ms {
            self.note_outcome(worker, Outcome::Unanswered);
        }
    }

    /// Adds the outcomes of this instance's requests to what it tells peers.
    pub(super) fn add_outcomes(&self, own: &mut LocalTraffic) {
        let state = self.outliers.borrow();
        let now_ms = self.now_ms();
        for service in state.evaluated_ms.keys() {
            let workers = self.workers.borrow();
            let of_service = workers.values().filter(|worker| worker.upstream.service == *service);
            let ids: Vec<Arc<str>> =
                of_service.map(|worker| Arc::clone(&worker.upstream.id)).collect();
            for (id, outcomes) in state.outliers.report(&ids, now_ms) {
                let index = own.observations.iter().position(|known| known.upstream == id);
                let index = index.unwrap_or_else(|| {
                    own.observations.push(UpstreamObservation::empty(id));
                    own.observations.len() - 1
                });
                own.observations[index].outcomes = Some(Aged { value: outcomes, age_ms: 0 });
            }
        }
    }

    /// Decides which upstreams of a service are ejected, if there is news.
    pub(super) fn evaluate_outliers(&self, service: &str, view: &View, now_ms: u64) {
        let mut state = self.outliers.borrow_mut();
        let Some(evaluated_ms) = state.evaluated_ms.get_mut(service) else { return };
        if evaluated_ms.is_some_and(|at_ms| at_ms + EVALUATION_INTERVAL_MS > now_ms) {
            return;
        }
        *evaluated_ms = Some(now_ms);
        let workers = self.workers.borrow();
        let of_service = workers.values().filter(|worker| *worker.upstream.service == *service);
        let upstreams: Vec<UpstreamEvidence> = of_service
            .map(|worker| UpstreamEvidence {
                id: Arc::clone(&worker.upstream.id),
                others: reported_outcomes(view, &worker.upstream.id),
                is_usable: worker.takes_work() && !self.is_suspected(worker, now_ms),
                is_full: self.is_full(&state, worker, view, now_ms),
            })
            .collect();
        let transitions = state.outliers.evaluate(&upstreams, now_ms);
        transitions.iter().for_each(|transition| self.log_transition(service, transition));
    }

    fn is_full(&self, state: &OutlierState, worker: &Worker, view: &View, now_ms: u64) -> bool {
        let Some((load, _)) = state.reported.get(&worker.upstream.id) else { return false };
        let others = || view.others.get(&worker.upstream.id).map_or(0, |held| held.runs);
        let runs = worker.runs.get() + worker.told_others(now_ms).unwrap_or_else(others);
        runs >= load.slots.saturating_mul(FULL_RUNS_PER_SLOT)
    }

    fn log_transition(&self, service: &str, transition: &Transition) {
        let Transition { id, ejected, evidence } = transition;
        let Outcomes { answered, slow, failed, failed_in_a_row, .. } = *evidence;
        if let Some((cause, for_ms)) = ejected {
            self.metrics.count("upstreams_ejected");
            slog::info!(self.log, "upstream ejected"; "upstream" => &**id, "service" => service,
                "why" => cause.as_str(), "for_ms" => for_ms, "answered" => answered,
                "slow" => slow, "failed" => failed, "failed_in_a_row" => failed_in_a_row);
        } else {
            slog::info!(self.log, "upstream returns from its ejection"; "upstream" => &**id,
                "service" => service, "answered" => answered, "slow" => slow, "failed" => failed);
        }
    }

    /// How placement treats an upstream because of its recent outcomes.
    pub(super) fn outlier_status(&self, worker: &Worker, now_ms: u64) -> Status {
        let state = self.outliers.borrow();
        if !state.is_on(&worker.upstream.service) {
            return Status::default();
        }
        state.outliers.status(&worker.upstream.id, now_ms)
    }

    /// Whether an upstream is ejected.
    pub fn is_ejected(&self, worker: &Worker) -> bool {
        let standing = self.outlier_status(worker, self.now_ms()).standing;
        matches!(standing, Standing::Ejected | Standing::Probing)
    }

    /// Records that a request is sent to an upstream; if the upstream is ejected and the request can
    /// be repeated, as a probe.
    pub(super) fn note_chosen(
        &self,
        worker: &Worker,
        status: Status,
        can_repeat: bool,
        now_ms: u64,
    ) {
        if can_repeat && status.standing == Standing::Probing {
            self.outliers.borrow_mut().outliers.note_probe(&worker.upstream.id, now_ms);
        }
    }

    /// Drops the outcomes and the ejection of an upstream that restarted under its id.
    pub(super) fn forget_outcomes(&self, id: &str) {
        let mut state = self.outliers.borrow_mut();
        state.outliers.forget(id);
        state.reported.remove(id);
    }

    /// The ejected upstreams, with the evidence and the time left.
    pub fn ejections(&self) -> Vec<Ejection> {
        self.outliers.borrow().outliers.ejections(self.now_ms())
    }

    /// Ends the ejection of an upstream at this instance. Returns whether it was ejected here.
    pub fn clear_ejection(&self, id: &str) -> bool {
        let is_cleared = self.outliers.borrow_mut().outliers.clear(id, self.now_ms());
        if is_cleared {
            slog::info!(self.log, "ejection cleared by an operator"; "upstream" => id);
        }
        is_cleared
    }

    /// Drops outcomes that no longer count, and updates the gauge.
    pub(super) fn sweep_outliers(&self, now_ms: u64) {
        let workers = self.workers.borrow();
        let mut state = self.outliers.borrow_mut();
        state.outliers.expire(now_ms, |id| workers.contains_key(id));
        state.reported.retain(|id, _| workers.contains_key(id));
        let ejected = state.outliers.ejections(now_ms).len();
        self.metrics.gauge("upstreams_ejected_now", ejected as u64);
    }
}

/// What the other instances report of an upstream, with its ages as of now.
fn reported_outcomes(view: &View, id: &str) -> Outcomes {
    let observation = view.observations.get(id);
    let outcomes = observation.and_then(|observation| observation.outcomes);
    outcomes.map_or(Outcomes::default(), Aged::now)
}
