//! One attempt of a run at one engine, from acquiring a channel to the response head.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::{HeaderMap, Request, Response};
use tokio::sync::watch;

use super::super::answer;
use super::super::channel::Fault;
use super::super::dialect::{Copy, Dispatch, Marks};
use super::super::event_queue;
use super::super::headers;
use super::super::metrics::Time;
use super::super::policy::answer_end::{Framing, Life};
use super::super::policy::answer_head::SoundHead;
use super::super::policy::body_limit::MAX_ANSWER_BYTES;
use super::super::policy::eras;
use super::super::policy::outcomes;
use super::super::policy::silence::Silence;
use super::super::route::Repeat;
use super::super::worker::{Count, Lease, What, Worker};
use super::copy::GrowingCopy;
use super::departure::SentRun;
use super::{
    LossCause, NotRunReason, Outcome, Progress, Run, caller_disconnected, lost_run, sleep_until,
};

/// The priority of a resumed run, ahead of all new ones.
const RESUMED_PRIORITY: u8 = 0;
/// The lowest priority that engines support.
const LOWEST_PRIORITY: u8 = 9;

/// An engine's response whose head has arrived.
#[derive(Debug)]
pub(super) struct OpenResponse {
    pub(super) worker: Rc<Worker>,
    pub(super) lease: Lease,
    pub(super) body: Incoming,
    pub(super) metadata: Marks,
    /// How it tells its end.
    pub(super) framing: Framing,
    pub(super) silences: watch::Receiver<u64>,
    /// Counts the prompt as being processed until the first event.
    pub(super) prefill_count: Option<Count>,
    /// Ends the run at its engine if it leaves before its response is over.
    pub(super) sent: SentRun,
    pub(super) _run: Count,
}

impl Run {
    /// Makes one attempt, from acquiring a channel to the end of the response.
    pub(super) async fn attempt(&mut self, worker: &Rc<Worker>, from: Option<Copy>) -> Outcome {
        match self.open(worker, from).await {
            Ok(opened) => self.relay(opened).await,
            Err(outcome) => outcome,
        }
    }

    /// Acquires a channel, sends the request and waits for the response head.
    pub(super) async fn open(
        &mut self,
        worker: &Rc<Worker>,
        from: Option<Copy>,
    ) -> Result<OpenResponse, Outcome> {
        let traffic = Rc::clone(&self.traffic);
        let reservation = self.reservation.take();
        self.progress = Progress::default();
        let mut silences = worker.silences.subscribe();
        silences.mark_unchanged();
        if !traffic.try_admit(worker).await {
            return Err(Outcome::NotRun {
                why: NotRunReason::NotSent("the upstream is throttled".to_owned()),
            });
        }
        let mut lease = match traffic.lease(worker, self.job.message()).await {
            Ok(lease) => lease,
            Err(fault) => {
                traffic.note_connect_failure(worker, &fault);
                slog::info!(traffic.log, "no channel"; "request" => self.job.id(),
                    "upstream" => &*worker.upstream.id, "detail" => %fault);
                return Err(Outcome::NotRun { why: NotRunReason::NotSent(fault.to_string()) });
            }
        };
        // Only a request that is really sent again takes a retry from the budget.
        if self.delivered > 0 && !self.take_retry() {
            worker.give_back(lease, None, traffic.now_ms());
            return Err(Outcome::RetryBudgetExhausted);
        }
        if !traffic.takes_work(&worker.upstream.id) {
            return Err(Outcome::NotRun {
                why: NotRunReason::NotSent("the upstream is leaving".to_owned()),
            });
        }
        if !self.allows(worker) {
            worker.give_back(lease, None, traffic.now_ms());
            return Err(Outcome::NotRun {
                why: NotRunReason::NotSent("the upstream runs another version".to_owned()),
            });
        }
        if !traffic.may_pass_on(&self.job) {
            worker.give_back(lease, None, traffic.now_ms());
            return Err(Outcome::NotRun {
                why: NotRunReason::NotSent("this instance is stopping".to_owned()),
            });
        }
        let copy = self.choose_copy_engine(worker);
        let is_new_prompt = from.is_none() && self.last_event.is_none();
        let need = self.need();
        let cached_tokens = traffic.cached_tokens_at(&self.job.demand, worker);
        let pending_tokens = need.prompt_tokens.saturating_sub(cached_tokens);
        let (run, prefill_count) = match reservation {
            Some(reserved) if Rc::ptr_eq(&reserved.worker, worker) => {
                (reserved.run, Some(reserved.prefill))
            }
            _ => {
                let prefill = from.is_none().then(|| worker.count(What::Reading, pending_tokens));
                (worker.count(What::Run, need.memory_tokens()), prefill)
            }
        };
        let request = self
            .job
            .request(&*traffic.dialect, &self.dispatch(worker, copy.as_ref(), from.as_ref()));
        let placement = traffic.placement_state(worker);
        slog::info!(traffic.log, "sent"; "request" => self.job.id(),
            "upstream" => &*worker.upstream.id, "domain" => &*worker.upstream.domain,
            "version" => %worker.version(),
            "copy" => copy.as_ref().map(|copy| copy.upstream.id.to_string()),
            "from_copy" => from.is_some(), "after" => self.last_event,
            "runs" => placement.load.runs, "copies" => placement.load.copies,
            "pending_tokens" => placement.load.pending_tokens,
            "reserved_tokens" => placement.load.reserved_tokens, "kept_tokens" => cached_tokens,
            "speed" => placement.load.running_speed,
            "list_revision" => eras::revision_of(traffic.shared.view.load().fleet.revision));
        let reading_timer =
            prefill_count.as_ref().and_then(|_| traffic.time_reading(worker, &placement.load));
        traffic.note_prompt_locations(&self.job.demand, worker);
        traffic.notify_peers();
        let sent_ms = traffic.now_ms();
        let copy = copy.map(|worker| GrowingCopy {
            _count: worker.count(What::Copy, need.memory_tokens()),
            worker,
        });
        self.was_sent = true;
        traffic.note_passed_on(&self.job, worker);
        let target = copy.as_ref().map(|copy| &copy.worker);
        let mut sent = self.sent_run(worker, target);
        let answered = self.wait_for_head(worker, &mut lease, request, &mut silences).await;
        traffic.note_if_flooded(worker, &lease);
        traffic.note_if_spoilt(worker, &lease);
        if matches!(answered, Err(Outcome::NotRun { .. })) {
            self.job.note_not_run();
            sent.end();
        }
        let response = answered?;
        self.count_attempt();
        self.job.record_time(&traffic.metrics, Time::Upstream, traffic.now_ms() - sent_ms);
        let metadata = traffic.dialect.marks(response.headers());
        let status = response.status().as_u16();
        if traffic.is_of_another(worker, status, &metadata).await {
            sent.end();
            return Err(self.answered_by_another());
        }
        if let Some(outcome) = self.check_response_head(worker, &mut lease, &response, &metadata) {
            if matches!(outcome, Outcome::NotRun { .. }) {
                self.job.note_not_run();
                sent.end();
            }
            return Err(outcome);
        }
        sent.begin();
        if status != 200 {
            sent.end();
            return Err(self.forward_error(worker, lease, response, &metadata).await);
        }
        if is_new_prompt {
            traffic.note_first_event_wait(&self.job, traffic.now_ms() - sent_ms);
        }
        if let Some(timer) = reading_timer.filter(|_| is_new_prompt) {
            traffic.note_reading(worker, &timer);
        }
        self.progress.response_started_ms = Some(traffic.now_ms());
        self.set_growing_copy(copy);
        if self.job.is_relayed {
            // The instance that relays it has to know the version with the head.
            self.bind_to(worker);
        }
        let framing = lease.channel.framing();
        let body = self.start_body(response);
        let worker = Rc::clone(worker);
        Ok(OpenResponse {
            worker,
            lease,
            body,
            metadata,
            framing,
            silences,
            prefill_count,
            sent,
            _run: run,
        })
    }

    pub(super) fn count_attempt(&mut self) {
        self.attempts += 1;
        self.delivered += 1;
    }

    /// Sends the request and waits for the response head, which arrives with the first event.
    async fn wait_for_head(
        &mut self,
        worker: &Rc<Worker>,
        lease: &mut Lease,
        request: Request<Full<Bytes>>,
        silences: &mut watch::Receiver<u64>,
    ) -> Result<Response<Incoming>, Outcome> {
        let traffic = Rc::clone(&self.traffic);
        let mut sending = std::pin::pin!(lease.send(request));
        let sent_ms = traffic.now_ms();
        let mut silence = Silence::before_first_event(sent_ms, self.first_event_overdue_ms());
        let response = loop {
            let wake_ms =
                (traffic.now_ms() + self.silence_timeouts().first_event_ms).min(self.job.until_ms);
            tokio::select! {
                response = sending.as_mut() => break response,
                () = caller_disconnected(&mut self.response_tx, &self.body_tx) =>
                    return Err(Outcome::CallerDisconnected),
                _ = silences.changed() => {
                    let why = "silent before its response head";
                    let Some(outcome) = self.leave_if_lost(worker, why, self.attempts + 1).await
                    else {
                        continue;
                    };
                    self.count_attempt();
                    return Err(outcome);
                }
                () = sleep_until(&traffic, wake_ms) => {}
            }
            if traffic.now_ms() >= self.job.until_ms {
                self.count_attempt();
                return Err(Outcome::DeadlinePassed);
            }
            let probed_ms = traffic.now_ms();
            let liveness = tokio::select! {
                response = sending.as_mut() => break response,
                () = caller_disconnected(&mut self.response_tx, &self.body_tx) =>
                    return Err(Outcome::CallerDisconnected),
                liveness = traffic.probe(worker) => liveness,
            };
            let attempts = self.attempts + 1;
            let left =
                self.evaluate_silence(&mut silence, &liveness, probed_ms, worker, attempts).await;
            if let Some(outcome) = left {
                traffic.note_first_event_wait(&self.job, traffic.now_ms() - sent_ms);
                self.count_attempt();
                return Err(outcome);
            }
        };
        match response {
            Ok(response) => Ok(response),
            Err(Fault::Broken { detail }) => {
                self.count_attempt();
                worker.ended(true, traffic.now_ms());
                Err(self.note_connection_closed(worker, detail))
            }
            Err(fault) => Err(Outcome::NotRun { why: NotRunReason::NotSent(fault.to_string()) }),
        }
    }

    /// Whether an engine has the prompt of a reconnecting caller cached. If the prompt is processed
    /// again, the allowed gap is exceeded anyway, and new requests that can still be on time don't
    /// wait for it.
    fn has_prompt_cached(&self, worker: &Worker) -> bool {
        let prefix = self.own_prefix().filter(|_| self.job.demand.last_event.is_some());
        let location = prefix.and_then(|prefix| self.traffic.cache_location(prefix));
        location.is_some_and(|location| location.upstream.id == worker.upstream.id)
    }

    fn dispatch(
        &self,
        worker: &Worker,
        copy: Option<&Rc<Worker>>,
        from: Option<&Copy>,
    ) -> Dispatch {
        let is_resumed = self.may_have_run || self.has_prompt_cached(worker);
        let new = if self.traffic.has_admission_queue(&self.job.service) {
            competing_priority(self.job.route.priority, self.job.priority)
        } else {
            (self.job.priority + 1).min(LOWEST_PRIORITY)
        };
        Dispatch {
            upstream: Arc::clone(&worker.upstream.id),
            deadline_ms: self.job.left_ms(self.traffic.now_ms()),
            organisation: self.job.organisation.clone(),
            priority: Some(if is_resumed { RESUMED_PRIORITY } else { new }),
            last_event: self.last_event,
            copy_to: copy.map(|copy| copy.upstream.addr),
            go_on_from: from.cloned(),
        }
    }

    /// The outcome of an attempt that a process answered which isn't the engine that was meant. What it did
    /// with the request is not known, so only one that may be repeated goes on, and the process doesn't count
    /// against the route's maximum.
    fn answered_by_another(&mut self) -> Outcome {
        if self.job.route.repeat != Repeat::Resumable {
            return lost_run("a process that is no engine answered", LossCause::EngineAlive);
        }
        self.attempts -= 1;
        Outcome::NotRun { why: NotRunReason::Replaced }
    }

    /// Checks the head of a response; returns an outcome if the response is unusable.
    fn check_response_head(
        &mut self,
        worker: &Rc<Worker>,
        lease: &mut Lease,
        response: &Response<Incoming>,
        metadata: &Marks,
    ) -> Option<Outcome> {
        let now_ms = self.traffic.now_ms();
        let sent = self.job.demand.id.as_deref();
        if !self.traffic.is_own_answer(worker, lease, sent, metadata) {
            self.traffic.note_advertised_limits(worker, metadata);
            return Some(lost_run(
                "the response belongs to another request",
                LossCause::EngineAlive,
            ));
        }
        if response.status().as_u16() == 421 {
            self.traffic.mark_replaced(worker);
        } else {
            worker.answered(now_ms);
        }
        let status = response.status().as_u16();
        self.traffic.note_response_metadata(worker, status, metadata);
        if status == 421 {
            // The engine that is there now doesn't count against the route's maximum of upstreams
            // that run the request.
            self.attempts -= 1;
            return Some(Outcome::NotRun { why: NotRunReason::Replaced });
        }
        if metadata.not_run {
            self.traffic.note_refusal(worker, status, metadata);
            return Some(Outcome::NotRun { why: NotRunReason::Status(status) });
        }
        if (201..300).contains(&status) {
            let why = format!("status {status} is none of a stream");
            return Some(lost_run(why, LossCause::EngineAlive));
        }
        if status == 200 && !metadata.is_signed {
            return Some(lost_run("the response is not signed", LossCause::EngineAlive));
        }
        None
    }

    /// Handles an upstream's error: it goes to the caller, unless the run may resume elsewhere.
    async fn forward_error(
        &mut self,
        worker: &Rc<Worker>,
        mut lease: Lease,
        response: Response<Incoming>,
        metadata: &Marks,
    ) -> Outcome {
        let status = response.status().as_u16();
        worker.ended(true, self.traffic.now_ms());
        if status >= 500 || matches!(status, 408 | 429) {
            self.traffic.note_outcome(worker, outcomes::Outcome::ServerError);
        }
        let can_repeat = status >= 500 && self.job.route.repeat == Repeat::Resumable;
        let is_last = self.attempts >= self.job.route.max_attempts;
        if self.body_tx.is_some() || (can_repeat && !is_last) || matches!(status, 408 | 429 | 503) {
            return lost_run(format!("status {status}"), LossCause::EngineAlive);
        }
        self.copy = None;
        let headers = response.headers().clone();
        let (body, until_ms) = (response.into_body(), self.job.until_ms);
        let body = self.traffic.read_body(worker, body, MAX_ANSWER_BYTES, until_ms).await;
        if let Err(fault) = &body {
            let why = format!("status {status}, and {fault}");
            return lost_run(why, LossCause::EngineAlive);
        }
        let head = self.judge_error_end(worker, &mut lease).await;
        let (Ok(body), Some(head)) = (body, head) else {
            return lost_run(
                format!("status {status} with an incomplete body"),
                LossCause::EngineAlive,
            );
        };
        if self.job.body.is_empty() {
            worker.give_back(lease, metadata.keep_ms, self.traffic.now_ms());
        }
        self.respond(answer::held(status, headers::of_answer(headers, head), body));
        Outcome::Done
    }

    /// The head of an error whose body was read, if the error is whole.
    async fn judge_error_end(&self, worker: &Rc<Worker>, lease: &mut Lease) -> Option<SoundHead> {
        let judged = lease.channel.judge_end();
        self.traffic.note_if_spoilt(worker, lease);
        let head = judged.ok()?;
        let is_whole = head.framing == Framing::Stated
            || self.traffic.check_life(worker).await == Life::LivesOn;
        is_whole.then_some(head)
    }

    /// Sends the caller the head of the first response; later ones only contribute events.
    pub(super) fn start_body(&mut self, response: Response<Incoming>) -> Incoming {
        let (head, body) = response.into_parts();
        if self.body_tx.is_none() {
            let (body_tx, body_rx) = event_queue::new();
            let mut headers: HeaderMap = headers::end_to_end(head.headers);
            headers.remove(CONTENT_LENGTH);
            if let Some(version) = self.binding.version().filter(|_| self.job.is_relayed) {
                headers::set_stream_version(&mut headers, version);
            }
            self.body_tx = Some(body_tx);
            self.respond(answer::streaming(
                head.status.as_u16(),
                headers,
                body_rx,
                Rc::clone(&self.held),
            ));
        }
        body
    }
}

/// The priority of a new run where routes of different priority compete: two steps for each of the
/// route's, and the second one for organisations that aren't the most urgent.
fn competing_priority(of_route: u8, of_organisation: u8) -> u8 {
    let steps = of_route.saturating_mul(2).saturating_add(of_organisation.min(1));
    steps.saturating_add(1).min(LOWEST_PRIORITY)
}
