//! Passing an engine's events on to the caller, and noticing when none come.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::super::channel;
use super::super::events::{Event, EventSplitter};
use super::super::metrics::Time;
use super::super::policy::silence::{self, Silence};
use super::super::traffic::{Life, OWN_LAG_MS};
use super::super::worker::Worker;
use super::attempt::Opened;
use super::{Loss, Outcome, Run, caller_left, lost, until};

/// How long an engine may take to go on from a copy before the run stays where it is: it admits such
/// a run first, and two engines may work on one run for less than half a second.
const HAND_OVER_MS: u64 = 300;
/// How often a run may leave an engine that lives but makes no events.
const MOST_STUCK_MOVES: u32 = 2;

/// When an engine made events of a run.
#[derive(Debug, Clone, Copy)]
struct Times {
    first_ms: u64,
    heard_ms: u64,
}

/// What a look at a quiet engine brought.
enum Quiet {
    /// Something came after all.
    Frame(Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>),
    /// It lives; wait on.
    Wait,
    /// The run leaves it.
    Leave(Outcome),
    /// Another engine goes on with the run.
    Moved(Box<Opened>),
}

impl Run {
    /// Passes whole events on until the stream ends, one way or the other.
    pub(super) async fn relay(&mut self, opened: Opened) -> Outcome {
        let Opened { worker, lease, mut body, marks, mut silences, mut reading, _run } = opened;
        let worker = &worker;
        let traffic = Rc::clone(&self.traffic);
        let patience = self.patience();
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        let first_ms = traffic.now_ms();
        let mut heard_ms = first_ms;
        let mut silence = Silence::new(heard_ms);
        loop {
            let quiet_ms = match reading {
                Some(_) => patience.first_event_ms,
                None if traffic.reading_at(worker) > 0 => patience.reading_gap_ms,
                None => patience.gap_ms,
            };
            let wake_ms = traffic.now_ms() + quiet_ms;
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = caller_left(&mut self.head, &self.body) => return Outcome::CallerLeft,
                _ = silences.changed() => {
                    if self.copy.is_none() && !traffic.is_surely_lost(worker).await {
                        continue;
                    }
                    return lost("silent", Loss::Silent);
                }
                () = until(&traffic, wake_ms.min(self.job.until_ms)) => {
                    let now_ms = traffic.now_ms();
                    if now_ms >= self.job.until_ms {
                        return Outcome::TimeOver;
                    }
                    if now_ms > wake_ms + OWN_LAG_MS {
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
                    return self.broke_off(worker, channel::error_with_cause(&error));
                }
                None if splitter.is_empty() => {
                    worker.ended(false, heard_ms);
                    worker.give_back(lease, marks.keep_ms, heard_ms);
                    self.complete(worker);
                    return Outcome::Done;
                }
                None => return lost("it ended in the middle of an event", Loss::Left),
            };
            if !splitter.push(&data, &mut events) {
                return lost("an event has no end", Loss::Left);
            }
            traffic.note_begun(&self.job, heard_ms);
            if reading.take().is_some() {
                traffic.tell_peers();
            }
            self.keep_copy(worker);
            for event in events.drain(..) {
                if let Some(outcome) = self.pass_on(event).await {
                    return outcome;
                }
            }
        }
    }

    /// What to do about an engine that has been quiet.
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
            life = traffic.life(worker) => life,
        };
        if matches!(life, Life::Lost)
            && self.copy.is_none()
            && !traffic.is_surely_lost(worker).await
        {
            return Quiet::Wait;
        }
        if let Some(outcome) = self.judge_silence(silence, &life, asked_ms, worker, self.sent) {
            return Quiet::Leave(outcome);
        }
        let can_move = self.copy.is_some() && self.stuck_moves < MOST_STUCK_MOVES;
        // Without another attempt the run would be given up, although its engine lives.
        if is_reading || !can_move || !self.can_leave(self.sent) {
            return Quiet::Wait;
        }
        let since_first_ms = asked_ms.saturating_sub(times.first_ms);
        if silence::is_preempted(life.sighting(self.job.id()), since_first_ms) {
            return self.hand_over(worker, "engine put the run out of memory").await;
        }
        let patience = self.patience();
        let is_at_prompts = life.is_reading();
        let stuck_ms =
            if is_at_prompts { patience.stalled_reading_ms } else { patience.stalled_ms };
        let stuck_ms = times.heard_ms + stuck_ms;
        tokio::select! {
            frame = body.frame() => Quiet::Frame(frame),
            () = caller_left(&mut self.head, &self.body) => Quiet::Leave(Outcome::CallerLeft),
            () = until(&traffic, stuck_ms) => {
                self.hand_over(worker, "engine makes no events").await
            }
        }
    }

    /// Has the engine with the copy go on with the run, and leaves this one, which lives, only when
    /// the other has taken it: a copy may never have come about for want of room, and engines may be
    /// too full to take the run anew, so that a run that had left was cut.
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
            slog::warn!(self.traffic.log, "no engine took the run; it stays";
                "request" => self.job.id(), "upstream" => &**id, "why" => why,
                "asked" => &*copy.worker.upstream.id, "quiet_ms" => quiet_ms);
            self.traffic.metrics.count("runs_not_taken");
            return Quiet::Wait;
        };
        slog::warn!(self.traffic.log, "the run goes on elsewhere"; "request" => self.job.id(),
            "upstream" => &**id, "why" => why, "quiet_ms" => quiet_ms);
        self.traffic.metrics.count("runs_handed_over");
        self.may_have_run = true;
        self.left.push(Arc::clone(id));
        self.lost_ms.get_or_insert(now_ms);
        Quiet::Moved(Box::new(opened))
    }

    /// Passes one event on, if it is the next one.
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
            slog::info!(self.traffic.log, "went on"; "request" => self.job.id(),
                "resume_ms" => resume_ms, "pause_ms" => now_ms - self.last_event_ms);
            self.job.record_time(&self.traffic.metrics, Time::Resume, resume_ms);
        }
        self.last_event_ms = now_ms;
    }

    pub(super) fn complete(&mut self, worker: &Worker) {
        let whole_ms = self.traffic.now_ms() - self.job.since_ms;
        self.traffic.note_served(&self.job, None);
        self.traffic.note_output(&self.job, self.last_event.unwrap_or(0));
        self.job.record(&self.traffic.metrics, whole_ms, self.first_ms);
        self.job.record_time(&self.traffic.metrics, Time::Gap, self.longest_gap_ms);
        slog::info!(self.traffic.log, "complete"; "request" => self.job.id(),
            "route" => &*self.job.route.name, "upstream" => &*worker.upstream.id,
            "first_ms" => self.first_ms, "gap_ms" => self.longest_gap_ms, "ms" => whole_ms,
            "sent" => self.sent);
        self.body = None;
    }
}
