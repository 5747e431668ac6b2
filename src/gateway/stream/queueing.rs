//! Waits of a run in the admission queue of its service.

use std::rc::Rc;

use super::super::failure::Failure;
use super::super::traffic::Verdict;
use super::super::worker::Worker;
use super::{Run, caller_disconnected, sleep_until};

/// How a run left the admission queue.
pub(super) enum QueueEnd {
    /// With a place at this engine.
    Place(Rc<Worker>),
    /// Without one: the queue doesn't apply to it.
    Bypassed,
}

impl Run {
    /// Whether the next attempt waits in the admission queue of its service.
    pub(super) fn must_queue(&self) -> bool {
        let service = &self.job.service;
        self.job.demand.prompt_tokens > 0
            && self.traffic.has_admission_queue(service)
            && self.traffic.has_usable_engine(service, &self.excluded, &self.binding)
    }

    /// Waits until an engine has room for the run, and reserves it. Returns none if the run has
    /// ended: its caller has disconnected, or was told that it is refused.
    pub(super) async fn wait_for_place(&mut self) -> Option<QueueEnd> {
        self.served = None;
        self.reservation = None;
        let is_resumed = self.body_tx.is_some() || self.last_event.is_some() || self.may_have_run;
        let queued =
            self.traffic.queue_request(&self.job, &self.excluded, &self.binding, is_resumed);
        let mut queued = match queued {
            Ok(queued) => queued,
            Err(_) if is_resumed => return Some(QueueEnd::Bypassed),
            Err(retry_after_ms) => {
                self.give_up(Failure::Overloaded { retry_after_ms });
                return None;
            }
        };
        let verdict = tokio::select! {
            verdict = &mut queued.verdict => verdict.ok(),
            () = caller_disconnected(&mut self.response_tx, &self.body_tx) => return None,
            () = sleep_until(&self.traffic, self.job.until_ms) => None,
        };
        match verdict {
            Some(Verdict::Admitted(reservation)) => {
                self.served = Some(self.traffic.count_served(&self.job));
                self.admitted_ms.get_or_insert(self.traffic.now_ms());
                let worker = Rc::clone(&reservation.worker);
                self.reservation = Some(reservation);
                Some(QueueEnd::Place(worker))
            }
            Some(Verdict::Bypassed) => Some(QueueEnd::Bypassed),
            Some(Verdict::Refused { retry_after_ms }) => {
                self.give_up(Failure::Overloaded { retry_after_ms });
                None
            }
            None => {
                self.give_up(self.deadline_failure());
                None
            }
        }
    }
}
