//! Forwards an engine's events to the caller, and detects when none arrive.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::super::channel;
use super::super::events::{Event, Splitter};
use super::super::metrics::Time;
use super::super::policy::silence::{self, Silence};
use super::super::traffic::{Liveness, MAX_TIMER_LAG_MS};
use super::super::worker::Worker;
use super::attempt::Opened;
use super::{Loss, Outcome, Run, caller_left, lost, until};

/// How long an engine may take to resume a run from a copy before the run stays where it is.
/// Engines admit such a run first, and two engines may work on one run for less than half a second.
const HAND_OVER_MS: u64 = 300;
/// How often a run may leave an engine that is alive but sends no events.
const MOST_STUCK_MOVES: u32 = 2;

/// When events of a run arrived from an engine.
#[derive(Debug, Clone, Copy)]
struct Times {
    first_ms: u64,
    heard_ms: u64,
}

/// Result of the check of a silent engine.
enum Quiet {
    /// A frame arrived after all.
    Frame(Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>),
    /// The engine is alive; keep waiting.
    Wait,
    /// The run leaves the engine.
    Leave(Outcome),
    /// Another engine has taken over the run.
    Moved(Box<Opened>),
}

impl Run {
    /// Forwards whole events until the stream ends or fails.
    pub(super) async fn relay(&mut self, opened: Opened) -> Outcome {
        let Opened { worker, lease, mut body, marks, mut silences, mut reading, _run } = opened;
        let worker = &worker;
        let traffic = Rc::clone(&self.traffic);
        let patience = self.patience();
        let mut splitter = Splitter::default();
        let mut events = Vec::new();
        let first_ms = traffic.now_ms();
        let mut heard_ms = first_ms;
        let mut silence = Silence::new(heard_ms);
        loop {
            let quiet_ms = match reading {
                Some(_) => patience.first_ms,
                None if traffic.prefills_at(worker) > 0 => patience.reading_gap_ms,
                None => patience.gap_ms,
            };
            let wake_ms = traffic.now_ms() + quiet_ms;
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = caller_left(&mut self.head, &self.body) => return Outcome::CallerLeft,
                _ = silences.changed() => {
                    if self.copy.is_none() && !traffic.is_confirmed_lost(worker).await {
                        continue;
                    }
                    return lost("silent", Loss::Silent);
                }
                () = until(&traffic, wake_ms.min(self.job.until_ms)) => {
                    let now_ms = traffic.now_ms();
                    if now_ms >= self.job.until_ms {
                        return Outcome::TimeOver;
                    }
                    if now_ms > wake_ms + MAX_TIMER_LAG_MS {
                        continue;
                    }
                    let times = Times { first_ms, heard_ms };
                    match self
                        .check_quiet(worker, &mut body, times, &mut silence, reading.is_some())
                        .await
                    {
                        Quiet::Frame(frame) => frame,
                        Quiet::Wait => continue,
                        Quiet::Leave(outcome) => return outcome,
                        Quiet::Moved(opened) => return Outcome::Moved(opened),
                    }
                }
            };
            heard_ms = traffic.now_ms();
            silence = Silence::new(heard_ms);
            let data = match frame {
                Some(Ok(frame)) => {
                    worker.hear(heard_ms);
                    frame.into_data().unwrap_or_default()
                }
                Some(Err(error)) => {
                    return self.broke_off(worker, channel::describe(&error));
                }
                None if splitter.is_empty() => {
                    worker.ended(false, heard_ms);
                    worker.give_back(lease, marks.keep_ms, heard_ms);
                    self.complete(worker);
                    return Outcome::Done;
                }
                None => return lost("the response ended in the middle of an event", Loss::Left),
            };
            if !splitter.push(&data, &mut events) {
                return lost("an event exceeds the maximum length", Loss::Left);
            }
            traffic.note_run_start(&self.job, heard_ms);
            if reading.take().is_some() {
                traffic.notify_peers();
            }
            self.keep_copy(worker);
            for event in events.drain(..) {
                if let Some(outcome) = self.pass_on(event).await {
                    return outcome;
                }
            }
        }
    }

    /// Decides how to proceed with an engine that has been silent.
    async fn check_quiet(
        &mut self,
        worker: &Rc<Worker>,
        body: &mut Incoming,
        times: Times,
        silence: &mut Silence,
        is_reading: bool,
    ) -> Quiet {
        let traffic = Rc::clone(&self.traffic);
        let asked_ms = traffic.now_ms();
        let life = tokio::select! {
            frame = body.frame() => return Quiet::Frame(frame),
            () = caller_left(&mut self.head, &self.body) => return Quiet::Leave(Outcome::CallerLeft),
            life = traffic.probe(worker) => life,
        };
        if matches!(life, Liveness::Lost)
            && self.copy.is_none()
            && !traffic.is_confirmed_lost(worker).await
        {
            return Quiet::Wait;
        }
        if let Some(outcome) = self.judge_silence(silence, &life, asked_ms, worker, self.sent) {
            return Quiet::Leave(outcome);
        }
        let can_move = self.copy.is_some() && self.stuck_moves < MOST_STUCK_MOVES;
        // Without another attempt the run would have to be given up, although its engine is alive.
        if is_reading || !can_move || !self.can_leave(self.sent) {
            return Quiet::Wait;
        }
        let since_first_ms = asked_ms.saturating_sub(times.first_ms);
        if silence::is_put_out(life.sighting(self.job.id()), since_first_ms) {
            return self.hand_over(worker, "engine preempted the run").await;
        }
        let patience = self.patience();
        let is_at_prompts = life.has_pending_prompts();
        let stuck_ms = if is_at_prompts { patience.stuck_reading_ms } else { patience.stuck_ms };
        let stuck_ms = times.heard_ms + stuck_ms;
        tokio::select! {
            frame = body.frame() => Quiet::Frame(frame),
            () = caller_left(&mut self.head, &self.body) => Quiet::Leave(Outcome::CallerLeft),
            () = until(&traffic, stuck_ms) => {
                self.hand_over(worker, "engine sends no events").await
            }
        }
    }

    /// Has the engine with the copy take over the run. The run leaves its present engine, which is
    /// alive, only once the other has taken it: a copy may never have been made for lack of memory,
    /// and engines may be too full to process the prompt again, so that a run that had left would
    /// be truncated.
    async fn hand_over(&mut self, worker: &Rc<Worker>, why: &'static str) -> Quiet {
        if !self.leaves(self.sent) {
            return Quiet::Wait;
        }
        let Some(copy) = self.copy.take() else { return Quiet::Wait };
        self.stuck_moves += 1;
        let here = self.here;
        let limit = Duration::from_millis(HAND_OVER_MS);
        let opening = self.open(&copy.worker, Some(copy.name.clone()));
        let opened = tokio::time::timeout(limit, opening).await;
        let now_ms = self.traffic.now_ms();
        let quiet_ms = now_ms - self.last_event_ms;
        let id = &worker.upstream.id;
        let Ok(Ok(opened)) = opened else {
            self.here = here;
            slog::warn!(self.traffic.log, "handover failed; the run stays at its engine";
                "request" => self.job.id(), "upstream" => &**id, "why" => why,
                "asked" => &*copy.worker.upstream.id, "quiet_ms" => quiet_ms);
            self.traffic.metrics.count("runs_not_taken");
            return Quiet::Wait;
        };
        slog::warn!(self.traffic.log, "run handed over"; "request" => self.job.id(),
            "upstream" => &**id, "why" => why, "quiet_ms" => quiet_ms);
        self.traffic.metrics.count("runs_handed_over");
        self.may_have_run = true;
        self.left.push(Arc::clone(id));
        self.lost_ms.get_or_insert(now_ms);
        Quiet::Moved(Box::new(opened))
    }

    /// Forwards one event, if it is the next in sequence.
    pub(super) async fn pass_on(&mut self, event: Event) -> Option<Outcome> {
        let now_ms = self.traffic.now_ms();
        if let (Some(id), Some(last)) = (event.id, self.last_event)
            && id != last + 1
        {
            return Some(lost(format!("event {id} came after {last}"), Loss::Left));
        }
        if event.id.is_some() {
            self.last_event = event.id;
        }
        self.here.events += 1;
        self.clear_if_beyond_crash();
        self.note_times(now_ms);
        let Some(body) = &self.body else { return Some(Outcome::CallerLeft) };
        if body.send(Ok(event.bytes)).await.is_err() {
            return Some(Outcome::CallerLeft);
        }
        None
    }

    pub(super) fn note_times(&mut self, now_ms: u64) {
        if self.first_ms.is_none() {
            self.first_ms = Some(now_ms - self.job.since_ms);
        } else {
            self.longest_gap_ms = self.longest_gap_ms.max(now_ms - self.last_event_ms);
        }
        if let Some(lost_ms) = self.lost_ms.take() {
            let resume_ms = now_ms - lost_ms;
            slog::info!(self.traffic.log, "stream resumed"; "request" => self.job.id(),
                "resume_ms" => resume_ms, "pause_ms" => now_ms - self.last_event_ms);
            self.job.record_time(&self.traffic.metrics, Time::Resume, resume_ms);
        }
        self.last_event_ms = now_ms;
    }

    pub(super) fn complete(&mut self, worker: &Worker) {
        let whole_ms = self.traffic.now_ms() - self.job.since_ms;
        self.traffic.note_served(&self.job, None);
        self.traffic.note_output_length(&self.job, self.last_event.unwrap_or(0));
        self.job.record(&self.traffic.metrics, whole_ms, self.first_ms);
        self.job.record_time(&self.traffic.metrics, Time::Gap, self.longest_gap_ms);
        slog::info!(self.traffic.log, "complete"; "request" => self.job.id(),
            "route" => &*self.job.route.name, "upstream" => &*worker.upstream.id,
            "first_ms" => self.first_ms, "gap_ms" => self.longest_gap_ms, "ms" => whole_ms,
            "sent" => self.sent);
        self.body = None;
    }
}
