//! Crashes of engines during a run: reporting them, and waiting for their judgement.

use std::rc::Rc;

use super::super::policy::quarantine::{self, MIN_CLEARING_EVENTS};
use super::super::traffic::JUDGEMENT_WAIT_MS;
use super::super::worker::Worker;
use super::{LossCause, Outcome, Run, UnjudgedCrash, lost_run};

impl Run {
    /// Records that an engine closed the connection, and reports a crash if the run may have caused
    /// it.
    pub(super) fn note_connection_closed(
        &mut self,
        worker: &Rc<Worker>,
        detail: String,
    ) -> Outcome {
        let now_ms = self.traffic.now_ms();
        worker.broke(now_ms);
        let since_response_ms = self.progress.response_started_ms.map(|since_ms| now_ms - since_ms);
        if let Some(stage) = quarantine::stage_of_stream(since_response_ms, self.progress.events) {
            let event = self.last_event.unwrap_or(0);
            self.unjudged_crashes
                .push(UnjudgedCrash { at_ms: now_ms, points: quarantine::points(stage) });
            self.last_crash_event = Some(event);
            self.traffic.note_crash(&self.job, worker, stage, event);
        } else {
            self.traffic.check_exit(worker);
        }
        lost_run(detail, LossCause::ConnectionClosed)
    }

    /// Handles that a run leaves an engine that is lost. If its process has exited, that is a crash
    /// under this run, too: another request's connection only told so earlier.
    pub(super) fn leave_lost(&mut self, worker: &Rc<Worker>, detail: &str) -> Outcome {
        if worker.has_exited() {
            return self.note_connection_closed(worker, detail.to_owned());
        }
        lost_run(detail, LossCause::Silent)
    }

    /// Waits for the judgement of crashes during the run if it may quarantine the request, since
    /// another attempt before that could crash one more engine. Returns false if the deadline has
    /// passed or the caller has disconnected.
    pub(super) async fn wait_for_crash_judgements(&mut self) -> bool {
        let now_ms = self.traffic.now_ms();
        self.unjudged_crashes.retain(|crash| crash.at_ms + JUDGEMENT_WAIT_MS > now_ms);
        let points = self.unjudged_crashes.iter().map(|crash| crash.points).sum();
        let Some(last) = self.unjudged_crashes.last().copied() else { return true };
        if !self.traffic.may_be_quarantined(&self.job, points) {
            return true;
        }
        if self.wait(last.at_ms + JUDGEMENT_WAIT_MS - now_ms).await {
            return true;
        }
        self.give_up(self.deadline_failure());
        false
    }

    /// Reports that the run has progressed beyond the point at which engines crashed.
    pub(super) fn clear_crashes_if_beyond(&mut self) {
        let is_beyond = |crashed: &u64| {
            self.last_event
                .is_some_and(|event| event >= crashed.saturating_add(MIN_CLEARING_EVENTS))
        };
        if self.last_crash_event.take_if(|crashed| is_beyond(crashed)).is_some() {
            self.unjudged_crashes.clear();
            self.traffic.note_served(&self.job, self.last_event);
        }
    }
}
