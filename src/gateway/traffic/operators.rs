//! Operators' view of the admission queues of this instance, and their orders about them.
//!
//! See [docs/design/operators-under-load.md](../../../../docs/design/operators-under-load.md).

use std::cell::{Cell, RefCell};
use std::sync::Arc;

use super::super::job::Job;
use super::super::policy::admission::order::InService;
use super::super::policy::admission::queue::Ticket;
use super::super::policy::admission::refusal::Capacity;
use super::super::policy::closed_classes::ClosedClasses;
use super::super::policy::room::{self, EngineRoom, PlaceSize};
use super::super::view::{QueueOrder, QueueView, QueuedRequest, View};
use super::Traffic;
use super::admission::Verdict;

/// How often the queues are published: operators read them by eye.
const PUBLISH_INTERVAL_MS: u64 = 500;
/// Retry time of requests that an order removes from the queue, and the shortest of requests to a
/// closed class.
const MIN_RETRY_AFTER_MS: u64 = 1_000;
/// Callers accept a retry time of up to the time that they have left, divided by this.
const MAX_RETRY_DIVISOR: u64 = 3;

/// What operators ordered, and when they were last shown the queues.
#[derive(Debug, Default)]
pub(super) struct OperatorState {
    closed: RefCell<ClosedClasses>,
    published_ms: Cell<Option<u64>>,
}

impl Traffic {
    /// Publishes the admission queues to operators, also while nobody waits.
    pub(super) fn publish_queues(&self) {
        let now_ms = self.now_ms();
        let published_ms = self.operators.published_ms.get();
        if published_ms.is_some_and(|published_ms| now_ms < published_ms + PUBLISH_INTERVAL_MS) {
            return;
        }
        self.operators.published_ms.set(Some(now_ms));
        self.operators.closed.borrow_mut().expire(now_ms);
        let view = self.view();
        let services = view.config.iter().flat_map(|config| config.services.keys());
        let queues: Vec<QueueView> = services
            .filter(|service| self.has_admission_queue(service))
            .map(|service| self.queue_view(service, &view, now_ms))
            .collect();
        if !(queues.is_empty() && self.shared.queues().is_empty()) {
            self.shared.set_queues(queues);
        }
    }

    fn queue_view(&self, service: &Arc<str>, view: &View, now_ms: u64) -> QueueView {
        let (_, engines) = self.engine_rooms(service, view, now_ms);
        let places = self.shown_places(service, view, &engines);
        let in_service = self.in_service(view, service);
        let queued = self.queued_requests(service, view, &engines, places, &in_service, now_ms);
        let closed = self.operators.closed.borrow().of(service, now_ms);
        let others_waiting = view.queues.get(service).map_or(0, |known| known.waiting.len());
        QueueView::new(Arc::clone(service), queued, closed, places, others_waiting)
    }

    /// The free places; while nobody waits, those for a run of the typical size.
    fn shown_places(&self, service: &str, view: &View, engines: &[EngineRoom]) -> usize {
        let queues = self.queues.borrow();
        if queues.get(service).is_some_and(|queue| !queue.waiting.is_empty()) {
            return self.places(service, view, engines).len();
        }
        room::places(engines, PlaceSize::typical(engines, 1), None).len()
    }

    fn queued_requests(
        &self,
        service: &str,
        view: &View,
        engines: &[EngineRoom],
        places: usize,
        in_service: &InService,
        now_ms: u64,
    ) -> Vec<QueuedRequest> {
        let queues = self.queues.borrow();
        let Some(queue) = queues.get(service) else { return Vec::new() };
        let runs: u64 = engines.iter().map(|engine| engine.runs).sum();
        let is_wait_known = queue.run_duration.is_some();
        let drain_per_s =
            queue.run_duration.unwrap_or_default().drain_per_s(runs as usize + places);
        let others = self.others(service, view, in_service);
        let positions = queue.waiting.positions(&others, &Capacity { places, drain_per_s }, now_ms);
        let shown = positions.into_iter().map(|position| QueuedRequest {
            class: position.class,
            organisation: position.organisation,
            waited_ms: position.waited_ms,
            rank: position.rank,
            expected_wait_ms: is_wait_known.then_some(position.expected_wait_ms),
        });
        shown.collect()
    }

    /// Carries out the orders of operators.
    pub(super) fn apply_orders(&self) {
        for order in self.shared.take_orders() {
            self.apply_order(&order);
        }
    }

    fn apply_order(&self, order: &QueueOrder) {
        let now_ms = self.now_ms();
        match order {
            QueueOrder::Close { service, class, for_ms } => {
                self.operators.closed.borrow_mut().close(service, *class, *for_ms, now_ms);
                slog::info!(self.log, "class closed"; "service" => &**service, "class" => class,
                    "for_ms" => for_ms);
            }
            QueueOrder::Open { service, class } => {
                self.operators.closed.borrow_mut().open(service, *class);
                slog::info!(self.log, "class opened"; "service" => &**service, "class" => class);
            }
            QueueOrder::Empty { service, class } => {
                let refused = self.refuse_waiting(service, *class);
                slog::info!(self.log, "queue emptied"; "service" => &**service, "class" => class,
                    "refused" => refused);
            }
        }
    }

    /// Refuses the waiting requests of a class, or of all; returns how many. Those that were sent
    /// to an engine before may have run in part, and keep their places.
    fn refuse_waiting(&self, service: &str, class: Option<u8>) -> usize {
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get_mut(service) else { return 0 };
        let refused: Vec<Ticket> = queue.waiting.tickets(|entry| {
            let has_run = entry.request.resumed || !entry.item.excluded.is_empty();
            !has_run && class.is_none_or(|class| class == entry.request.class)
        });
        for ticket in &refused {
            let Some(entry) = queue.waiting.remove(*ticket) else { continue };
            // Its owner may have left.
            let _ =
                entry.item.verdict.send(Verdict::Refused { retry_after_ms: MIN_RETRY_AFTER_MS });
        }
        drop(queues);
        if !refused.is_empty() {
            self.notify_peers();
        }
        refused.len()
    }

    /// Refuses a new request of a closed class. One that was sent to an engine before isn't new.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should come back.
    pub(super) fn check_open(
        &self,
        job: &Job,
        excluded: &[Arc<str>],
        is_resumed: bool,
    ) -> Result<(), u64> {
        if is_resumed || !excluded.is_empty() {
            return Ok(());
        }
        let now_ms = self.now_ms();
        let closed = self.operators.closed.borrow();
        let Some(left_ms) = closed.left_ms(&job.service, job.class(), now_ms) else {
            return Ok(());
        };
        Err(left_ms.min(job.left_ms(now_ms) / MAX_RETRY_DIVISOR).max(MIN_RETRY_AFTER_MS))
    }
}
