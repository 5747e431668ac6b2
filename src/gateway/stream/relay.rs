//! Forwards an engine's events to the caller, and detects when none arrive.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::super::channel::{self, Fault};
use super::super::event_queue::EventSender;
use super::super::events::{Event, EventSplitter};
use super::super::metrics::Time;
use super::super::policy::answer_end::{Framing, Life};
use super::super::policy::answer_head;
use super::super::policy::outcomes;
use super::super::policy::pace::PaceMeter;
use super::super::policy::quarantine::MIN_CLEARING_EVENTS;
use super::super::policy::silence::{self, Silence};
use super::super::policy::stream_end::{ResponseEnd, Verdict};
use super::super::traffic::{Liveness, MAX_TIMER_LAG_MS};
use super::super::worker::{Lease, Worker};
use super::attempt::OpenResponse;
use super::{LossCause, Outcome, Run, caller_disconnected, lost_run, sleep_until};

/// How long an engine may take to resume a run from a copy before the run stays where it is.
/// Engines admit such a run first, and two engines may work on one run for less than half a second.
const HANDOVER_TIMEOUT_MS: u64 = 300;
/// How often a run may leave an engine that is alive but sends no events.
const MAX_STALL_HANDOVERS: u32 = 2;

/// When events of a run arrived from an engine.
#[derive(Debug, Clone, Copy)]
struct EventTimes {
    first_ms: u64,
    last_data_ms: u64,
}

/// Result of the check of a silent engine.
enum SilenceCheck {
    /// A frame arrived after all.
    Frame(Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>),
    /// The engine is alive; keep waiting.
    Wait,
    /// The run leaves the engine.
    Leave(Outcome),
    /// Another engine has taken over the run.
    Moved(Box<OpenResponse>),
}

impl Run {
    /// Forwards whole events until the stream ends or fails.
    pub(super) async fn relay(&mut self, opened: OpenResponse) -> Outcome {
        let OpenResponse {
            worker,
            mut lease,
            mut body,
            metadata,
            framing,
            mut silences,
            mut prefill_count,
            mut sent,
            _run,
        } = opened;
        let worker = &worker;
        let traffic = Rc::clone(&self.traffic);
        let timeouts = self.silence_timeouts();
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        let mut pace = PaceMeter::default();
        let first_ms = traffic.now_ms();
        let mut last_data_ms = first_ms;
        let mut silence = Silence::new(last_data_ms);
        loop {
            let quiet_ms = match prefill_count {
                Some(_) => timeouts.first_event_ms,
                None if traffic.prefills_at(worker) > 0 => timeouts.reading_gap_ms,
                None => timeouts.gap_ms,
            };
            let wake_ms = traffic.now_ms() + quiet_ms;
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = caller_disconnected(&mut self.response_tx, &self.body_tx) =>
                    return Outcome::CallerDisconnected,
                _ = silences.changed() => {
                    match self.leave_if_lost(worker, "silent", self.attempts).await {
                        Some(outcome) => return outcome,
                        None => continue,
                    }
                }
                () = sleep_until(&traffic, wake_ms.min(self.job.until_ms)) => {
                    let now_ms = traffic.now_ms();
                    if now_ms >= self.job.until_ms {
                        return Outcome::DeadlinePassed;
                    }
                    if now_ms > wake_ms + MAX_TIMER_LAG_MS {
                        continue;
                    }
                    let times = EventTimes { first_ms, last_data_ms };
                    match self
                        .check_silence(
                            worker,
                            &mut body,
                            times,
                            &mut silence,
                            prefill_count.is_some(),
                        )
                        .await
                    {
                        SilenceCheck::Frame(frame) => frame,
                        SilenceCheck::Wait => continue,
                        SilenceCheck::Leave(outcome) => {
                            sent.put_out();
                            return outcome;
                        }
                        SilenceCheck::Moved(opened) => {
                            sent.put_out();
                            return Outcome::Moved(opened);
                        }
                    }
                }
            };
            last_data_ms = traffic.now_ms();
            silence = Silence::new(last_data_ms);
            self.is_at_silent_engine = false;
            let data = match frame {
                Some(Ok(frame)) => {
                    worker.hear(last_data_ms);
                    frame.into_data().unwrap_or_default()
                }
                Some(Err(error)) => {
                    let outcome =
                        self.note_connection_closed(worker, channel::error_with_cause(&error));
                    if channel::is_flooded_body(&error) {
                        traffic.mark_endless(worker);
                    }
                    return outcome;
                }
                None => {
                    let end = ResponseEnd {
                        framing,
                        is_between_events: splitter.is_empty(),
                        has_events: self.progress.events > 0,
                    };
                    if let Err(fault) = lease.channel.judge_end() {
                        traffic.note_if_spoilt(worker, &lease);
                        return self.note_connection_closed(worker, fault.to_string());
                    }
                    if let Some(outcome) = self.judge_end(worker, end).await {
                        return outcome;
                    }
                    sent.end();
                    worker.ended(false, last_data_ms);
                    if framing == Framing::Stated {
                        worker.give_back(lease, metadata.keep_ms, last_data_ms);
                    }
                    traffic.note_run_end(worker, pace);
                    self.finish(worker);
                    return Outcome::Done;
                }
            };
            if !splitter.push(&data, &mut events) {
                traffic.mark_endless(worker);
                return lost_run("an event exceeds the maximum length", LossCause::EngineAlive);
            }
            if let Some(outcome) = self.hold_events(&splitter, &events) {
                return outcome;
            }
            traffic.note_run_start(&self.job, last_data_ms);
            if prefill_count.take().is_some() {
                traffic.notify_peers();
            }
            traffic.note_events(worker, &mut pace, events.len());
            self.maintain_copy(worker);
            if !events.is_empty() {
                self.bind_to(worker);
                self.version_awaited_ms = None;
            }
            if framing == Framing::Channel
                && let Some(event) = events.first().filter(|_| self.progress.events == 0)
                && let Err(fault) = self.judge_first_event(&mut lease, event)
            {
                traffic.note_if_spoilt(worker, &lease);
                return lost_run(fault.to_string(), LossCause::EngineAlive);
            }
            for event in events.drain(..) {
                if self.is_caller_behind() {
                    pace.disturb();
                }
                if let Some(outcome) = self.forward_event(event).await {
                    return outcome;
                }
            }
        }
    }

    /// Judges where the events of a response begin that ends with its channel.
    fn judge_first_event(&self, lease: &mut Lease, event: &Event) -> Result<(), Fault> {
        let is_head_field = |name: &str| self.traffic.dialect.is_answer_field(name);
        lease.channel.refuse_if(answer_head::judge_first_event(&event.bytes, is_head_field))
    }

    /// The outcome of a response that has ended before its stream was complete; `None` if it was.
    async fn judge_end(&mut self, worker: &Rc<Worker>, end: ResponseEnd) -> Option<Outcome> {
        let is_broken_off = match end.verdict() {
            Verdict::Complete => false,
            Verdict::Malformed => {
                let why = "the response ended in the middle of an event";
                return Some(lost_run(why, LossCause::EngineAlive));
            }
            Verdict::BrokenOff => true,
            Verdict::CompleteIfLivesOn => self.traffic.check_life(worker).await != Life::LivesOn,
        };
        let detail = || "the channel ended before the stream was complete".to_owned();
        is_broken_off.then(|| self.note_connection_closed(worker, detail()))
    }

    /// Decides how to proceed with an engine that has been silent.
    async fn check_silence(
        &mut self,
        worker: &Rc<Worker>,
        body: &mut Incoming,
        times: EventTimes,
        silence: &mut Silence,
        awaits_first_event: bool,
    ) -> SilenceCheck {
        let traffic = Rc::clone(&self.traffic);
        let probed_ms = traffic.now_ms();
        let liveness = tokio::select! {
            frame = body.frame() => return SilenceCheck::Frame(frame),
            () = caller_disconnected(&mut self.response_tx, &self.body_tx) =>
                return SilenceCheck::Leave(Outcome::CallerDisconnected),
            liveness = traffic.probe(worker) => liveness,
        };
        let left =
            self.evaluate_silence(silence, &liveness, probed_ms, worker, self.attempts).await;
        if let Some(outcome) = left {
            return SilenceCheck::Leave(outcome);
        }
        if matches!(liveness, Liveness::Lost) {
            return SilenceCheck::Wait;
        }
        let can_move = self.copy.is_some() && self.stall_handovers < MAX_STALL_HANDOVERS;
        // Without another attempt the run would have to be given up, although its engine is alive.
        if awaits_first_event || !can_move || !self.can_retry_elsewhere(self.attempts) {
            return SilenceCheck::Wait;
        }
        let since_first_ms = probed_ms.saturating_sub(times.first_ms);
        if silence::is_preempted(liveness.run_status(self.job.id()), since_first_ms) {
            return self.hand_over(worker, "engine preempted the run").await;
        }
        let timeouts = self.silence_timeouts();
        let has_pending_prompts = liveness.has_pending_prompts();
        let stall_ms =
            if has_pending_prompts { timeouts.stalled_reading_ms } else { timeouts.stalled_ms };
        let stall_ms = times.last_data_ms + stall_ms;
        tokio::select! {
            frame = body.frame() => SilenceCheck::Frame(frame),
            () = caller_disconnected(&mut self.response_tx, &self.body_tx) =>
                SilenceCheck::Leave(Outcome::CallerDisconnected),
            () = sleep_until(&traffic, stall_ms) => {
                self.hand_over(worker, "engine sends no events").await
            }
        }
    }

    /// Has the engine with the copy take over the run. The run leaves its present engine, which is
    /// alive, only once the other has taken it: a copy may never have been made for lack of memory,
    /// and engines may be too full to process the prompt again, so that a run that had left would
    /// be truncated.
    async fn hand_over(&mut self, worker: &Rc<Worker>, why: &'static str) -> SilenceCheck {
        if !self.take_retry_elsewhere(self.attempts) {
            return SilenceCheck::Wait;
        }
        let Some(copy) = self.copy.take() else { return SilenceCheck::Wait };
        if let Some(release) = copy.release {
            release.cancel();
        }
        self.stall_handovers += 1;
        let progress = self.progress;
        let limit = Duration::from_millis(HANDOVER_TIMEOUT_MS);
        let opening = self.open(&copy.worker, Some(copy.name.clone()));
        let opened = tokio::time::timeout(limit, opening).await;
        let now_ms = self.traffic.now_ms();
        let quiet_ms = now_ms - self.last_event_ms;
        let id = &worker.upstream.id;
        let Ok(Ok(opened)) = opened else {
            self.progress = progress;
            slog::warn!(self.traffic.log, "handover failed; the run stays at its engine";
                "request" => self.job.id(), "upstream" => &**id, "why" => why,
                "asked" => &*copy.worker.upstream.id, "quiet_ms" => quiet_ms);
            self.traffic.metrics.count("runs_not_taken");
            return SilenceCheck::Wait;
        };
        slog::warn!(self.traffic.log, "run handed over"; "request" => self.job.id(),
            "upstream" => &**id, "why" => why, "quiet_ms" => quiet_ms);
        self.traffic.metrics.count("runs_handed_over");
        self.may_have_run = true;
        self.excluded.push(Arc::clone(id));
        self.engine_lost_ms.get_or_insert(now_ms);
        SilenceCheck::Moved(Box::new(opened))
    }

    /// Holds memory for what has come of the events and isn't taken; the run leaves if there is none.
    pub(super) fn hold_events(
        &mut self,
        splitter: &EventSplitter,
        events: &[Event],
    ) -> Option<Outcome> {
        let whole_bytes: usize = events.iter().map(|event| event.bytes.len()).sum();
        let waiting_bytes = self.body_tx.as_ref().map_or(0, EventSender::bytes);
        let bytes = splitter.buffer_bytes() + whole_bytes + waiting_bytes;
        let held = self.traffic.hold_events(&self.held, bytes);
        held.err().map(|exceeded| lost_run(exceeded.to_string(), LossCause::EngineAlive))
    }

    /// Whether the next event has to wait until the caller has taken an earlier one.
    fn is_caller_behind(&self) -> bool {
        self.body_tx.as_ref().is_some_and(EventSender::is_full)
    }

    /// Forwards one event, if it is the next in sequence.
    pub(super) async fn forward_event(&mut self, event: Event) -> Option<Outcome> {
        let now_ms = self.traffic.now_ms();
        if let (Some(id), Some(last)) = (event.id, self.last_event)
            && last.checked_add(1) != Some(id)
        {
            return Some(lost_run(format!("event {id} came after {last}"), LossCause::EngineAlive));
        }
        if event.id.is_some() {
            self.last_event = event.id;
        }
        self.progress.events += 1;
        if self.progress.events == MIN_CLEARING_EVENTS {
            self.traffic.note_parts_served(&self.job);
        }
        self.clear_crashes_if_beyond();
        self.note_event_time(now_ms);
        let Some(body_tx) = &self.body_tx else { return Some(Outcome::CallerDisconnected) };
        if body_tx.send(event.bytes).await.is_err() {
            return Some(Outcome::CallerDisconnected);
        }
        None
    }

    pub(super) fn note_event_time(&mut self, now_ms: u64) {
        if self.first_event_ms.is_none() {
            self.first_event_ms = Some(now_ms - self.job.since_ms);
        } else {
            self.longest_gap_ms = self.longest_gap_ms.max(now_ms - self.last_event_ms);
        }
        if let Some(lost_ms) = self.engine_lost_ms.take() {
            let resume_ms = now_ms - lost_ms;
            slog::info!(self.traffic.log, "stream resumed"; "request" => self.job.id(),
                "resume_ms" => resume_ms, "pause_ms" => now_ms - self.last_event_ms);
            self.job.record_time(&self.traffic.metrics, Time::Resume, resume_ms);
        }
        self.last_event_ms = now_ms;
    }

    pub(super) fn finish(&mut self, worker: &Worker) {
        let whole_ms = self.traffic.now_ms() - self.job.since_ms;
        if let Some(admitted_ms) = self.admitted_ms {
            let run_ms = self.traffic.now_ms() - admitted_ms;
            self.traffic.note_run_duration(&self.job.service, run_ms);
        }
        self.traffic.note_served(&self.job, None);
        if self.progress.events > 0 {
            self.traffic.note_parts_served(&self.job);
        }
        self.traffic.note_outcome(worker, outcomes::Outcome::Answered { is_slow: false });
        self.traffic.note_stream_duration(&self.job, whole_ms);
        self.traffic.note_output_length(&self.job, self.last_event.unwrap_or(0));
        self.job.record(&self.traffic.metrics, whole_ms, self.first_event_ms);
        self.job.record_time(&self.traffic.metrics, Time::Gap, self.longest_gap_ms);
        slog::info!(self.traffic.log, "complete"; "request" => self.job.id(),
            "route" => &*self.job.route.name, "upstream" => &*worker.upstream.id,
            "version" => %worker.version(),
            "first_ms" => self.first_event_ms, "gap_ms" => self.longest_gap_ms, "ms" => whole_ms,
            "sent" => self.attempts);
        self.body_tx = None;
    }
}
