//! Event streams that survive the loss of their engine within one response.
//!
//! While an engine runs a request, a copy of the run's KV cache grows at an engine in another
//! failure domain. If the first engine closes the connection or stops responding, the run resumes
//! from the copy after the last whole event that the caller has, and a new copy is started at once.

mod attempt;
mod choice;
mod copy;
mod crashes;
mod departure;
mod outcome;
mod queueing;
mod relay;
mod silence;
mod version;
mod via_peer;

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::oneshot;

use self::copy::{FinishedCopy, RunCopy};
use self::departure::Departures;
use self::outcome::{LossCause, NotRunReason, Outcome, lost_run};
use self::queueing::QueueEnd;
use super::answer::{self, Answer};
use super::dialect::Copy;
use super::event_queue::{EventSender, HeldEvents};
use super::failure::Failure;
use super::job::Job;
use super::policy::admission;
use super::policy::engine::Need;
use super::policy::silence::SilenceTimeouts;
use super::policy::stream_versions::Binding;
use super::route::Repeat;
use super::traffic::{OwnStream, Reservation, ServedGuard, Traffic};
use super::worker::Worker;

/// Initial delay before another attempt when no engine accepts the rest of a response, doubled each
/// time. All engines are tried again then, including those that the run left: the few that are
/// still alive are full.
const MIN_RETRY_DELAY_MS: u64 = 50;
/// Maximum of this delay: a run that lost its engine resumes within a second of an engine becoming
/// free.
const MAX_RETRY_DELAY_MS: u64 = 800;

/// Serves a stream. Returns the head of the response, whose body is sent as events arrive.
pub async fn serve(traffic: &Rc<Traffic>, job: Job) -> Answer {
    let (response_tx, response) = oneshot::channel();
    let traffic = Rc::clone(traffic);
    let job = Rc::new(job);
    tokio::task::spawn_local(async move {
        let mut run = Run::new(&traffic, Rc::clone(&job), response_tx);
        tokio::select! {
            biased;
            () = run.drive() => {}
            () = traffic.wait_until_turned_away(&job) => run.give_up(Failure::Stopping),
            // The response is truncated; its caller resumes elsewhere after its last event.
            () = traffic.wait_for_final_responses() => run.give_up(Failure::Stopped),
            // The request may be queued at an engine, which would crash when the run starts.
            () = traffic.wait_until_quarantined(&job) => {
                run.give_up(traffic.poison_failure(&job));
            }
        }
    });
    // The run always sends a response, unless its caller has disconnected.
    response.await.unwrap_or_else(|_| answer::failed(&Failure::Unknown, None))
}

/// How far a run has come at one engine.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    /// When the response head arrived, with which the run starts there.
    response_started_ms: Option<u64>,
    /// Events of the run that the engine has sent.
    events: u64,
}

/// A crash of an engine during the run whose judgement may be pending.
#[derive(Debug, Clone, Copy)]
struct UnjudgedCrash {
    at_ms: u64,
    /// Points that the crash counts against the request.
    points: u32,
}

struct Run {
    traffic: Rc<Traffic>,
    job: Rc<Job>,
    response_tx: Option<oneshot::Sender<Answer>>,
    body_tx: Option<EventSender>,
    /// What events hold until the caller has taken them.
    held: HeldEvents,
    /// The id of the last event that the caller has.
    last_event: Option<u64>,
    /// The software version that the run may go on at.
    binding: Binding,
    /// Counts the stream as served here, once it is bound.
    own_stream: Option<OwnStream>,
    /// The engine that made the first event, if it was made here.
    bound_at: Option<Rc<Worker>>,
    /// Since when the run waits for an engine of its version.
    version_awaited_ms: Option<u64>,
    /// When the latest event arrived; before the first one, when this run was created.
    last_event_ms: u64,
    /// How long after the request the first event arrived.
    first_event_ms: Option<u64>,
    longest_gap_ms: u64,
    /// When the run lost its engine, until it resumes.
    engine_lost_ms: Option<u64>,
    /// How far the run has come at its current engine.
    progress: Progress,
    /// Crashes during the run whose judgement may be pending.
    unjudged_crashes: Vec<UnjudgedCrash>,
    /// The last event before the latest crash. Some events later, the crashes are cleared.
    last_crash_event: Option<u64>,
    /// Whether the request may have run at any engine.
    may_have_run: bool,
    /// Whether the request was sent to any engine.
    was_sent: bool,
    /// Attempts that count against the route's maximum.
    attempts: u32,
    /// Requests that reached an engine. All but the first take a retry from the budget.
    delivered: u32,
    /// Whether a retry was taken for the next attempt before the run left an engine that is alive.
    has_taken_retry: bool,
    /// Whether it waits at an engine that doesn't answer, since it can go on nowhere else.
    is_at_silent_engine: bool,
    /// Whether the caller reconnected after the loss of all instances, so that the allowed gap
    /// between events is exceeded already.
    is_late: bool,
    /// Attempted handovers from an engine that is alive.
    stall_handovers: u32,
    retry_delay_ms: u64,
    /// Room for the next attempt, reserved at its engine.
    reservation: Option<Reservation>,
    /// Counts the run as in service, where requests wait for room.
    served: Option<ServedGuard>,
    /// When the run was first admitted.
    admitted_ms: Option<u64>,
    /// Engines that the next attempt must not use.
    excluded: Vec<Arc<str>>,
    /// Engines that the run has left and where it may not have ended.
    departures: Departures,
    /// Other instances that were tried.
    tried_peers: Vec<SocketAddr>,
    /// Failure domains in which the run lost engines, and when.
    lost_domains: Vec<(Arc<str>, u64)>,
    copy: Option<RunCopy>,
    pending_copy: Option<oneshot::Receiver<Option<FinishedCopy>>>,
    /// When a copy may be attempted again.
    next_copy_ms: u64,
}

impl Run {
    fn new(traffic: &Rc<Traffic>, job: Rc<Job>, response_tx: oneshot::Sender<Answer>) -> Run {
        Run {
            last_event: job.demand.last_event,
            last_event_ms: traffic.now_ms(),
            traffic: Rc::clone(traffic),
            job,
            binding: Binding::Unbound,
            own_stream: None,
            bound_at: None,
            version_awaited_ms: None,
            response_tx: Some(response_tx),
            body_tx: None,
            held: traffic.hold_no_events(),
            first_event_ms: None,
            longest_gap_ms: 0,
            engine_lost_ms: None,
            progress: Progress::default(),
            unjudged_crashes: Vec::new(),
            last_crash_event: None,
            may_have_run: false,
            was_sent: false,
            attempts: 0,
            delivered: 0,
            has_taken_retry: false,
            is_at_silent_engine: false,
            is_late: false,
            stall_handovers: 0,
            retry_delay_ms: MIN_RETRY_DELAY_MS,
            reservation: None,
            served: None,
            admitted_ms: None,
            excluded: Vec::new(),
            departures: Departures::default(),
            tried_peers: Vec::new(),
            lost_domains: Vec::new(),
            copy: None,
            pending_copy: None,
            next_copy_ms: 0,
        }
    }

    async fn drive(&mut self) {
        if !self.find_version().await {
            return self.give_up(Failure::UnknownVersion);
        }
        if !self.prepare_resumption().await {
            return self.give_up(self.deadline_failure());
        }
        loop {
            if self.traffic.now_ms() >= self.job.until_ms {
                return self.give_up(self.deadline_failure());
            }
            if !self.traffic.may_pass_on(&self.job) {
                return self.give_up(Failure::Stopping);
            }
            if self.traffic.is_cut_off() {
                if !self.relay_once().await {
                    return;
                }
                continue;
            }
            self.refresh_binding();
            let chosen = match self.engine_with_memory() {
                Some(chosen) => Some(chosen),
                None if self.must_queue() => match self.wait_for_place().await {
                    Some(QueueEnd::Place(worker)) => Some((worker, None)),
                    Some(QueueEnd::Bypassed) => self.best_engine().map(|worker| (worker, None)),
                    None => return,
                },
                None => self.best_engine().map(|worker| (worker, None)),
            };
            let Some((worker, copy)) = chosen else {
                if !self.job.is_relayed && self.traffic.is_cut_off_for_certain().await {
                    continue;
                }
                if self.wait_for_more_upstreams().await {
                    continue;
                }
                if self.is_kept_by_its_version() {
                    if !self.wait_for_version().await {
                        return;
                    }
                    self.excluded.clear();
                    continue;
                }
                if self.delivered == 0 {
                    return self.give_up(Failure::NoUpstream);
                }
                if !self.may_have_run {
                    // Every engine has refused the request; asking the same ones again gains
                    // nothing.
                    return self.give_up(Failure::Full);
                }
                if !self.wait_to_retry().await {
                    return;
                }
                self.excluded.clear();
                continue;
            };
            let (worker, outcome) = self.run_attempt(worker, copy).await;
            if !self.handle_outcome(&worker, outcome).await {
                return;
            }
        }
    }

    /// Makes an attempt, and follows the run while other engines take it over. Returns the last
    /// engine.
    async fn run_attempt(
        &mut self,
        worker: Rc<Worker>,
        copy: Option<Copy>,
    ) -> (Rc<Worker>, Outcome) {
        let mut worker = worker;
        let mut outcome = self.attempt(&worker, copy).await;
        while let Outcome::Moved(opened) = outcome {
            worker = Rc::clone(&opened.worker);
            outcome = self.relay(*opened).await;
        }
        (worker, outcome)
    }

    /// Finds the cached prompt of a caller that reconnects after the loss of all instances. If its
    /// prompt has to be processed again, other requests go first. Returns false if the caller has
    /// disconnected or the deadline has passed.
    async fn prepare_resumption(&mut self) -> bool {
        let prefix = self.own_prefix().filter(|_| self.last_event.is_some());
        if let Some(prefix) = prefix {
            self.traffic.resolve_cache_location(&self.job.service, prefix).await;
        }
        let Some(prefix) = prefix.filter(|prefix| self.traffic.needs_cache_lookup(*prefix)) else {
            return true;
        };
        self.is_late = true;
        self.traffic.look_up_cache(&self.job.service, prefix).await;
        self.traffic.cache_location(prefix).is_some() || self.yield_to_timely_requests().await
    }

    /// Waits while requests that can still be on time need the engines. Returns false if the caller
    /// has disconnected or the deadline has passed.
    async fn yield_to_timely_requests(&mut self) -> bool {
        let late =
            admission::LateRequest { since_ms: self.job.since_ms, until_ms: self.job.until_ms };
        loop {
            if !self.wait(fastrand::u64(..admission::MAX_RECHECK_DELAY_MS)).await {
                return false;
            }
            if late.may_send(self.traffic.service_load(&self.job.service), self.traffic.now_ms()) {
                return true;
            }
        }
    }

    /// The failure once the deadline has passed. What every engine refused has certainly not run.
    fn deadline_failure(&self) -> Failure {
        if self.may_have_run { Failure::TimeOver } else { Failure::TimeOverUnsent }
    }

    /// Handles the outcome of an attempt; returns whether to make another one.
    async fn handle_outcome(&mut self, worker: &Rc<Worker>, outcome: Outcome) -> bool {
        let now_ms = self.traffic.now_ms();
        let id = &worker.upstream.id;
        let cause = match outcome {
            // `run_attempt` has followed takeovers already.
            Outcome::Done | Outcome::Moved(_) => return false,
            Outcome::CallerDisconnected => {
                slog::info!(self.traffic.log, "caller disconnected"; "request" => self.job.id(),
                    "last_event" => self.last_event,
                    "ms" => now_ms - self.job.since_ms);
                return false;
            }
            Outcome::DeadlinePassed => {
                self.give_up(Failure::TimeOver);
                return false;
            }
            Outcome::RetryBudgetExhausted if self.body_tx.is_some() => {
                return self.wait_to_retry().await;
            }
            Outcome::RetryBudgetExhausted => {
                slog::warn!(self.traffic.log, "retry budget exhausted";
                    "request" => self.job.id(), "service" => &*self.job.service);
                self.traffic.metrics.count("repeats_over_budget");
                self.give_up(Failure::TooManyRepeats);
                return false;
            }
            Outcome::NotRun { why } => {
                slog::info!(self.traffic.log, "engine did not run the request";
                    "request" => self.job.id(), "upstream" => &**id, "why" => %why);
                self.excluded.push(Arc::clone(id));
                self.copy = None;
                return self.handle_not_run(&why).await;
            }
            Outcome::Lost { why, cause } => {
                self.note_engine_lost(worker, &why, cause);
                cause
            }
        };
        self.excluded.push(Arc::clone(id));
        self.engine_lost_ms.get_or_insert(now_ms);
        self.traffic.metrics.count("engines_lost");
        let is_over = self.attempts >= self.job.route.max_attempts;
        if is_over || self.job.route.repeat != Repeat::Resumable {
            self.give_up(Failure::Unknown);
            return false;
        }
        self.wait_until_left(worker, cause).await && self.wait_for_crash_judgements().await
    }

    /// Records that the run left an engine that is lost, or that it gets nothing more from.
    fn note_engine_lost(&mut self, worker: &Rc<Worker>, why: &str, cause: LossCause) {
        let now_ms = self.traffic.now_ms();
        slog::warn!(self.traffic.log, "engine lost"; "request" => self.job.id(),
            "upstream" => &*worker.upstream.id, "domain" => &*worker.upstream.domain,
            "version" => %worker.version(), "why" => why,
            "last_event" => self.last_event, "quiet_ms" => now_ms - self.last_event_ms,
            "answering_ms" =>
                self.progress.response_started_ms.map(|since_ms| now_ms - since_ms),
            "fingerprint" => %self.job.fingerprint());
        self.may_have_run = true;
        self.traffic.note_outcome(worker, cause.outcome());
        if cause.is_engine_gone() {
            self.lost_domains.push((Arc::clone(&worker.upstream.domain), now_ms));
            // An engine that ended by itself doesn't count as an attempt.
            self.attempts = self.attempts.saturating_sub(1).max(1);
        }
    }

    /// Handles an attempt that certainly did not run; returns whether to make another one.
    async fn handle_not_run(&mut self, why: &NotRunReason) -> bool {
        let NotRunReason::Status(_) = why else { return true };
        if self.body_tx.is_some() || self.may_have_run {
            // The request did not run there, so it doesn't count against the route's maximum.
            self.attempts -= 1;
            return self.wait_to_retry().await;
        }
        if self.attempts < self.job.route.max_attempts {
            return true;
        }
        self.give_up(Failure::Full);
        false
    }

    /// Waits before a run that lost its engine resumes, if engines are full or the retry budget is
    /// exhausted. Without a delay, four engines refuse within 80 ms and the response is truncated;
    /// a little later one of their runs has ended. Returns false if the caller has disconnected or
    /// the deadline has passed.
    async fn wait_to_retry(&mut self) -> bool {
        let delay_ms = self.retry_delay_ms;
        self.retry_delay_ms = (delay_ms * 2).min(MAX_RETRY_DELAY_MS);
        if self.wait(delay_ms).await {
            return true;
        }
        self.give_up(self.deadline_failure());
        false
    }

    /// How long the route allows the stream to be silent.
    fn silence_timeouts(&self) -> SilenceTimeouts {
        SilenceTimeouts::of(self.job.route.target_latency_ms, self.job.route.target_gap_ms)
    }

    /// The hash of the prompt's last part, which is the request's own.
    fn own_prefix(&self) -> Option<u64> {
        self.job.demand.prompt_parts.last().map(|part| part.hash)
    }

    /// What the run needs of an engine.
    fn need(&self) -> Need {
        self.traffic.need(&self.job)
    }

    /// Ends the run without a complete response.
    fn give_up(&mut self, failure: Failure) {
        let failure = match failure {
            Failure::Full
            | Failure::Overloaded { .. }
            | Failure::NoUpstream
            | Failure::NoUpstreamOfVersion
            | Failure::CutOff
            | Failure::TooManyRepeats
                if self.may_have_run =>
            {
                Failure::Unknown
            }
            Failure::TimeOver if self.delivered == 0 => Failure::TimeOverUnsent,
            Failure::Stopped if !self.job.may_have_run() => Failure::Stopping,
            failure if failure.is_quarantine() && !self.was_sent => failure.if_unsent(),
            Failure::NoUpstream if self.traffic.throttled_for_ms(&self.job.service).is_some() => {
                Failure::Throttled
            }
            failure => failure,
        };
        let retry_after_ms = self.traffic.retry_after_ms(&self.job, &failure);
        let answer = self.traffic.refuse(&self.job, &failure, retry_after_ms);
        if let Some(body_tx) = self.body_tx.take() {
            // Without the last chunk, the response can't be mistaken for a complete one.
            tokio::task::spawn_local(async move {
                body_tx.truncate().await;
            });
        }
        self.respond(answer);
    }

    fn respond(&mut self, answer: Answer) {
        if let Some(response_tx) = self.response_tx.take() {
            // A caller that has disconnected needs no response.
            let _ = response_tx.send(answer);
        }
    }

    /// Waits. Returns false if the caller disconnects, or at once if the deadline comes first.
    async fn wait(&mut self, wait_ms: u64) -> bool {
        let now_ms = self.traffic.now_ms();
        if now_ms + wait_ms >= self.job.until_ms {
            return false;
        }
        tokio::select! {
            () = caller_disconnected(&mut self.response_tx, &self.body_tx) => false,
            () = sleep_until(&self.traffic, now_ms + wait_ms) => true,
        }
    }
}

/// Completes when the caller has closed its connection.
async fn caller_disconnected(
    response_tx: &mut Option<oneshot::Sender<Answer>>,
    body_tx: &Option<EventSender>,
) {
    match (response_tx, body_tx) {
        (Some(response_tx), _) => response_tx.closed().await,
        (None, Some(body_tx)) => body_tx.closed().await,
        (None, None) => std::future::pending().await,
    }
}

async fn sleep_until(traffic: &Traffic, at_ms: u64) {
    traffic.clock.sleep_until(at_ms).await;
}
