//! Ends runs at the engines that they leave, which may work on after their channels have closed.

use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use super::super::channel::Fault;
use super::super::dialect::Copy;
use super::super::policy::run_stop::{RunStop, StopReply, Verdict};
use super::super::traffic::{Liveness, Traffic};
use super::super::worker::Worker;
use super::copy::FinishedCopy;
use super::{LossCause, Run, caller_disconnected, sleep_until};

/// How long the run's channel may take to close before its engine is told to stop the run. Most
/// engines drop it then, and have no memory to move.
const CLOSE_MS: u64 = 1;
/// How long an engine may take to stop a run. The answer comes once its memory is moved.
const STOP_TIMEOUT_MS: u64 = 300;
/// How often an engine is asked about a run that goes on nowhere.
const MAX_CALLS_IF_OVER: u32 = 2;

/// What an engine keeps of a run that it was told to stop.
type Kept = Option<FinishedCopy>;

/// The engines that a run has left and where it may not have ended.
#[derive(Debug, Default)]
pub(super) struct Departures(Rc<RefCell<Vec<Departure>>>);

#[derive(Debug)]
struct Departure {
    engine: Arc<str>,
    /// Sends once the run may go on elsewhere.
    left: oneshot::Receiver<Kept>,
    task: AbortHandle,
}

impl Departures {
    /// Gives up watching an engine, which gets the run once more.
    pub(super) fn cancel(&self, engine: &str) {
        self.0.borrow_mut().retain(|departure| {
            let is_other = *departure.engine != *engine;
            if !is_other {
                departure.task.abort();
            }
            is_other
        });
    }

    fn take(&self, engine: &str) -> Option<oneshot::Receiver<Kept>> {
        let mut departures = self.0.borrow_mut();
        let at = departures.iter().rposition(|departure| *departure.engine == *engine)?;
        let (_, never) = oneshot::channel();
        Some(std::mem::replace(&mut departures[at].left, never))
    }
}

/// A request that was sent to an engine. If it is dropped before its response is over, the run leaves
/// the engine, which is told to stop it.
#[derive(Debug)]
pub(super) struct SentRun {
    /// The engine and the run; `None` once the response is over.
    leaving: Option<Leaving>,
    departures: Weak<RefCell<Vec<Departure>>>,
}

impl SentRun {
    /// Notes that the engine has begun the run.
    pub(super) fn begin(&mut self) {
        if let Some(leaving) = &mut self.leaving {
            leaving.has_begun = true;
        }
    }

    /// Notes that the engine may have put the run out of its memory, and may begin it again: a call about
    /// it then finds no run.
    pub(super) fn put_out(&mut self) {
        if let Some(leaving) = &mut self.leaving {
            leaving.has_begun = false;
        }
    }

    /// Notes that nothing of it is left at the engine.
    pub(super) fn end(&mut self) {
        self.leaving = None;
    }
}

impl Drop for SentRun {
    fn drop(&mut self) {
        let Some(leaving) = self.leaving.take() else { return };
        let (kept, left) = oneshot::channel();
        let engine = Arc::clone(&leaving.worker.upstream.id);
        let run = Weak::clone(&self.departures);
        let task = tokio::task::spawn_local(leaving.end_run(kept, run)).abort_handle();
        if let Some(departures) = self.departures.upgrade() {
            departures.borrow_mut().push(Departure { engine, left, task });
        }
    }
}

/// A run that leaves an engine.
struct Leaving {
    traffic: Rc<Traffic>,
    worker: Rc<Worker>,
    /// The engine that gets the run's memory.
    target: Rc<Worker>,
    id: Arc<str>,
    until_ms: u64,
    has_begun: bool,
}

impl std::fmt::Debug for Leaving {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Leaving").field("id", &self.id).finish_non_exhaustive()
    }
}

impl Leaving {
    /// Has the engine stop the run, tells when the run may go on elsewhere, and watches the engine for
    /// as long as it may still begin the run.
    async fn end_run(self, kept: oneshot::Sender<Kept>, run: Weak<RefCell<Vec<Departure>>>) {
        let traffic = &self.traffic;
        let mut waiting = Some(kept);
        let left_ms = traffic.now_ms();
        let mut stop = RunStop::new(left_ms, self.has_begun);
        tokio::time::sleep(Duration::from_millis(CLOSE_MS)).await;
        let mut calls = 0;
        loop {
            let (reply, mut kept) = self.stop().await;
            calls += 1;
            let mut verdict = stop.judge_reply(reply);
            if stop.must_ask_state(verdict, traffic.now_ms()) {
                verdict = self.ask_state(&mut stop).await;
            }
            let now_ms = traffic.now_ms();
            slog::info!(traffic.log, "run left its engine"; "request" => &*self.id,
                "upstream" => &*self.worker.upstream.id, "reply" => ?reply,
                "verdict" => ?verdict, "calls" => calls, "ms" => now_ms - left_ms);
            if reply == StopReply::Stopped {
                traffic.metrics.count("runs_stopped");
            }
            if verdict.may_go_on()
                && let Some(waiting) = waiting.take()
            {
                // Nobody waits for a run that goes on nowhere.
                kept = waiting.send(kept).err().flatten();
            }
            if let Some(kept) = kept {
                kept.release(traffic);
            }
            let Some(pause_ms) = RunStop::next_watch_ms(verdict) else { return };
            let is_over = run.strong_count() == 0 && calls >= MAX_CALLS_IF_OVER;
            if is_over || now_ms + pause_ms >= self.until_ms {
                return;
            }
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Tells the engine to stop the run. Returns what it keeps of it, if that was moved.
    async fn stop(&self) -> (StopReply, Kept) {
        let (path, body) = self.traffic.dialect.stop_call(&self.id, self.target.upstream.addr);
        let call = self.traffic.call_engine(&self.worker, Method::POST, path, body);
        let answered = tokio::time::timeout(Duration::from_millis(STOP_TIMEOUT_MS), call).await;
        let (status, body) = match answered {
            Err(_) => return (StopReply::Silent, None),
            Ok(Err(Fault::Refused)) => return (StopReply::Refused, None),
            Ok(Err(Fault::Unreachable { .. })) => return (StopReply::Unreachable, None),
            Ok(Err(Fault::NotSent { .. } | Fault::Broken { .. })) => {
                return (StopReply::Other, None);
            }
            Ok(Ok(answered)) => answered,
        };
        match status {
            200 | 503 => self.stopped(status, &body),
            404 => (StopReply::NoSuchRun, None),
            409 => (StopReply::Busy, None),
            421 => (StopReply::Replaced, None),
            _ => (StopReply::Other, None),
        }
    }

    /// Reads the answer of an engine that kept the run's memory, and moved it unless there was no room.
    fn stopped(&self, status: u16, body: &Bytes) -> (StopReply, Kept) {
        let Some(name) = self.traffic.dialect.copy_name(body) else {
            return (StopReply::Other, None);
        };
        let kept = FinishedCopy {
            source: Rc::clone(&self.worker),
            target: Rc::clone(&self.target),
            name: Copy { addr: self.worker.upstream.addr, name },
        };
        if status != 200 {
            kept.release(&self.traffic);
            return (StopReply::Stopped, None);
        }
        (StopReply::Stopped, Some(kept))
    }

    async fn ask_state(&self, stop: &mut RunStop) -> Verdict {
        let asked_ms = self.traffic.now_ms();
        let liveness = self.traffic.probe(&self.worker).await;
        let status = match &liveness {
            Liveness::Lost => None,
            known => Some(known.run_status(&self.id)),
        };
        stop.judge_state(status, asked_ms)
    }
}

impl Run {
    /// Prepares for a request that is sent to an engine now.
    pub(super) fn sent_run(&self, worker: &Rc<Worker>, copy: Option<&Rc<Worker>>) -> SentRun {
        self.departures.cancel(&worker.upstream.id);
        let can_stop = self.engine_config().is_some_and(|engine| engine.can_move);
        let target = copy.map(Rc::clone).or_else(|| self.traffic.other_engine(worker));
        let leaving = target.filter(|_| can_stop).map(|target| Leaving {
            traffic: Rc::clone(&self.traffic),
            worker: Rc::clone(worker),
            target,
            id: Arc::from(self.job.id()),
            until_ms: self.job.until_ms,
            has_begun: false,
        });
        SentRun { leaving, departures: Rc::downgrade(&self.departures.0) }
    }

    /// Goes on from what an engine kept of the run, unless it lies where the run had left before.
    fn go_on_from(&mut self, kept: Kept) {
        let Some(kept) = kept else { return };
        if self.excluded.contains(&kept.target.upstream.id) {
            return kept.release(&self.traffic);
        }
        self.set_finished_copy(Some(kept), self.traffic.now_ms());
    }

    /// Waits until the run may go on elsewhere: it has ended at the engine that it left, or that engine
    /// can't be reached. Returns false if the caller has disconnected or the deadline has passed.
    pub(super) async fn wait_until_left(&mut self, worker: &Worker, cause: LossCause) -> bool {
        // An engine that doesn't answer its probes is out of reach already.
        let is_reached = cause != LossCause::Silent;
        let Some(left) = self.departures.take(&worker.upstream.id).filter(|_| is_reached) else {
            return true;
        };
        tokio::select! {
            Ok(kept) = left => {
                self.go_on_from(kept);
                true
            }
            () = caller_disconnected(&mut self.response_tx, &self.body_tx) => false,
            () = sleep_until(&self.traffic, self.job.until_ms) => {
                self.give_up(self.deadline_failure());
                false
            }
        }
    }
}
