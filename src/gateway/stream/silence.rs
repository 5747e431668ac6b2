//! What a run does that gets nothing from its engine.

use std::rc::Rc;
use std::sync::Arc;

use super::super::ablation::Mechanism;
use super::super::policy::placement::Constraints;
use super::super::policy::silence::{Silence, Verdict};
use super::super::policy::silent_engine::{self, Continuation};
use super::super::route::{Repeat, Route};
use super::super::traffic::Liveness;
use super::super::worker::Worker;
use super::{LossCause, Outcome, Run, lost_run};

impl Run {
    /// How long after sending the first event is overdue, if another attempt is possible.
    pub(super) fn first_event_overdue_ms(&self) -> Option<u64> {
        self.can_retry_elsewhere(self.attempts + 1)
            .then(|| self.traffic.first_event_overdue_ms(&self.job, self.delivered))
    }

    /// Whether another attempt is possible after this many, so that leaving an engine which lives
    /// gains something. Otherwise the run waits for whatever arrives.
    pub(super) fn can_retry_elsewhere(&self, attempts: u32) -> bool {
        Continuation { has_engine: true, ..self.continuation(attempts) }.is_possible()
    }

    /// What the run has to go on elsewhere; `attempts` includes the present one.
    fn continuation(&self, attempts: u32) -> Continuation {
        let Route { repeat, max_attempts, .. } = *self.job.route;
        Continuation {
            is_resumable: repeat == Repeat::Resumable,
            attempts,
            max_attempts,
            has_retry: self.has_taken_retry || self.traffic.has_retry(&self.job.service),
            has_engine: false,
        }
    }

    /// The same if it leaves a lost engine, for one of its version.
    fn continuation_after_loss(&self, worker: &Worker, attempts: u32) -> Continuation {
        let has_engine = self.traffic.has_other_engine_for(worker, &self.binding);
        Continuation { has_engine, ..self.continuation(attempts).after_loss() }
    }

    /// Whether it can go on through another instance if the one that relays it is silent.
    pub(super) fn can_leave_silent_instance(&self) -> bool {
        let continuation = self.continuation(self.attempts).after_loss();
        Continuation { has_engine: true, ..continuation }.is_possible()
    }

    /// Handles that an engine doesn't answer: the run goes on elsewhere if it can, and otherwise waits
    /// for what arrives, unless the engine's process has ended. Returns the outcome if it leaves.
    pub(super) async fn leave_if_lost(
        &mut self,
        worker: &Rc<Worker>,
        why: &str,
        attempts: u32,
    ) -> Option<Outcome> {
        let has_ended = worker.has_exited() || worker.is_replaced();
        // A full engine may only be late with its state.
        if !has_ended && self.copy.is_none() && !self.traffic.is_confirmed_lost(worker).await {
            return None;
        }
        let continuation = self.continuation_after_loss(worker, attempts);
        match silent_engine::judge(has_ended, continuation) {
            silent_engine::Verdict::EndsThere => return Some(self.leave_lost(worker, why)),
            silent_engine::Verdict::Waits => return self.wait_at_silent_engine(worker).await,
            silent_engine::Verdict::GoesOn => {}
        }
        // All runs of the engine leave it at this moment, and there may not be a retry for each.
        self.has_taken_retry = self.take_retry();
        if !self.has_taken_retry {
            return self.wait_at_silent_engine(worker).await;
        }
        Some(self.leave_lost(worker, why))
    }

    /// Checks that the process of a silent engine has not ended; returns the outcome if it has.
    async fn wait_at_silent_engine(&mut self, worker: &Rc<Worker>) -> Option<Outcome> {
        let mut check = self.traffic.check_exit(worker);
        let has_ended =
            check.wait_for(Option::is_some).await.is_ok_and(|ended| *ended == Some(true));
        if has_ended {
            return Some(self.note_connection_closed(worker, "its process has ended".to_owned()));
        }
        if !std::mem::replace(&mut self.is_at_silent_engine, true) {
            slog::info!(self.traffic.log, "run waits at a silent engine"; "request" => self.job.id(),
                "upstream" => &*worker.upstream.id, "after" => self.last_event);
            self.traffic.metrics.count("runs_kept_at_silent_engines");
        }
        None
    }

    /// Like `can_retry_elsewhere`, but also takes the retry: all runs of an engine leave it at the
    /// same moment, and those for which no retry is left would be truncated although their engine
    /// is alive.
    pub(super) fn take_retry_elsewhere(&mut self, attempts: u32) -> bool {
        self.has_taken_retry = self.can_retry_elsewhere(attempts) && self.take_retry();
        self.has_taken_retry
    }

    /// Takes a retry from the budget, or uses the one taken before.
    pub(super) fn take_retry(&mut self) -> bool {
        std::mem::take(&mut self.has_taken_retry) || self.traffic.take_retry(&self.job.service)
    }

    /// Decides what the probe of an engine means for a run that is silent there; `attempts` includes
    /// the present one. Returns the outcome if the run leaves.
    pub(super) async fn evaluate_silence(
        &mut self,
        silence: &mut Silence,
        liveness: &Liveness,
        probed_ms: u64,
        worker: &Rc<Worker>,
        attempts: u32,
    ) -> Option<Outcome> {
        if matches!(liveness, Liveness::Lost) {
            let why = "silent, and its liveness probe failed";
            return self.leave_if_lost(worker, why, attempts).await;
        }
        self.evaluate_state(silence, liveness, probed_ms, worker, attempts)
    }

    /// Decides what the state of an engine that answers means for a run that is silent there.
    fn evaluate_state(
        &mut self,
        silence: &mut Silence,
        liveness: &Liveness,
        probed_ms: u64,
        worker: &Worker,
        attempts: u32,
    ) -> Option<Outcome> {
        let run_status = liveness.run_status(self.job.id());
        let verdict = silence.judge(run_status, probed_ms);
        slog::info!(self.traffic.log, "silent run checked"; "request" => self.job.id(),
            "upstream" => &*worker.upstream.id, "sighting" => ?run_status, "verdict" => ?verdict,
            "told" => %liveness, "reading" => self.traffic.prefills_at(worker),
            "after" => self.last_event, "quiet_ms" => probed_ms - self.last_event_ms);
        match verdict {
            Verdict::Wait => None,
            Verdict::Leave(why)
                if why.requires_room_elsewhere() && !self.has_room_elsewhere(worker) =>
            {
                self.traffic.metrics.count("overdue_runs_kept");
                None
            }
            Verdict::Leave(why)
                if Mechanism::Silence.is_on() && self.take_retry_elsewhere(attempts) =>
            {
                Some(lost_run(why.to_string(), LossCause::EngineAlive))
            }
            Verdict::Leave(_) => None,
        }
    }

    /// Whether the engine that would get the run next has room for it, as far as known.
    fn has_room_elsewhere(&self, worker: &Worker) -> bool {
        let mut excluded = self.excluded.clone();
        excluded.push(Arc::clone(&worker.upstream.id));
        let need = self.need();
        let constraints = Constraints {
            need,
            excluded,
            avoided_domains: self.avoided_domains(),
            binding: self.binding.clone(),
            ..Constraints::default()
        };
        let Some(next) = self.traffic.choose(&self.job.service, &constraints) else { return false };
        let known = self.traffic.placement_state(&next);
        self.is_eligible(&next) && !known.status.is_full && known.load.has_room(need)
    }
}
