//! State of the traffic thread: upstreams, retry budgets, latency statistics and metrics.

mod admission;
mod bodies;
mod budgets;
mod caller_room;
mod choice;
mod concurrency;
mod endings;
mod isolation;
mod losses;
mod operators;
mod outliers;
mod peer_updates;
mod peers;
mod places;
mod quarantine;
mod signals;
mod speed;
mod stream_versions;
mod upstreams;
mod widening;

pub(super) use self::admission::{Reservation, ServedGuard, Verdict};
pub(super) use self::concurrency::Placed;
pub(super) use self::losses::{Liveness, MAX_TIMER_LAG_MS};
pub(super) use self::quarantine::JUDGEMENT_WAIT_MS;
pub(super) use self::stream_versions::OwnStream;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::watch;

use self::concurrency::QuickCalls;
use self::places::CacheLocation;
use super::ablation::Mechanism;
use super::answer::{self, Answer};
use super::callers::Callers;
use super::dialect::{Demand, Dialect};
use super::failure::Failure;
use super::fleet::Fleet;
use super::headers;
use super::job::Job;
use super::metrics::Metrics;
use super::policy::body_limit::SharedMemory;
use super::policy::budget::Budget;
use super::policy::departures::Departures;
use super::policy::engine::Need;
use super::policy::hedge;
use super::policy::latency::Latencies;
use super::policy::losses::Losses;
use super::policy::outages::{self, Outages};
use super::policy::poison_parts::ServedParts;
use super::policy::request_memory::RequestMemory;
use super::policy::silence;
use super::policy::stop::{self, Stop};
use super::route::{Limits, Repeat};
use super::settings::Settings;
use super::view::Shared;
use super::worker::Worker;
use crate::clock::Clock;
use crate::log;

/// Percentile, as a fraction, of observed output lengths for which engine memory is reserved. The
/// few longer outputs share the memory that stays free.
const OUTPUT_TOKENS_PERCENTILE: f64 = 0.9;

/// Percentile, as a fraction, of observed durations within which a stream is expected to end.
const STREAM_DURATION_PERCENTILE: f64 = 0.9;

/// State of the traffic thread, which serves callers' requests.
pub struct Traffic {
    pub settings: Settings,
    /// The protocol spoken with callers and upstreams.
    pub dialect: Arc<dyn Dialect>,
    /// What the control thread publishes to the traffic thread.
    pub shared: Arc<Shared>,
    pub clock: Clock,
    pub log: slog::Logger,
    pub metrics: Arc<Metrics>,
    /// Requests whose response is not complete.
    pub open_requests: Cell<usize>,
    /// Open connections of callers.
    pub callers: Rc<Callers>,
    /// What the bodies of callers' requests hold.
    pub request_memory: Rc<RefCell<RequestMemory>>,
    /// The planned stop in progress, if any.
    pub stop: Cell<Option<Stop>>,
    /// Whether started requests are reported to usage accounting.
    reports_usage: bool,
    /// How far the planned stop has come.
    pub stop_phase: watch::Sender<stop::Phase>,
    /// When the last sweep was.
    swept_ms: Cell<u64>,
    /// Sum of this instance's runs and tokens at all upstreams as of the last sweep.
    reported_load: Cell<u64>,
    /// Engines that hold a prompt prefix, by the hash of the prefix's last part.
    cache_locations: RefCell<BTreeMap<u64, Vec<CacheLocation>>>,
    /// Output tokens of complete streams, by service.
    output_lengths: RefCell<BTreeMap<Arc<str>, Latencies>>,
    fleet: RefCell<Arc<Fleet>>,
    /// Upstreams that announced that they are leaving, as last applied to `workers`.
    departures: RefCell<Departures>,
    workers: RefCell<BTreeMap<Arc<str>, Rc<Worker>>>,
    retry_budgets: RefCell<BTreeMap<Arc<str>, Budget>>,
    /// Requests that wait for room, by service.
    queues: admission::Queues,
    /// Orders of operators about these.
    operators: operators::OperatorState,
    /// Services whose engines have been queried for cached prompts since the start.
    cache_queried: RefCell<BTreeSet<Arc<str>>>,
    /// Liveness probes in progress, by upstream.
    probes: RefCell<BTreeMap<Arc<str>, losses::Probe>>,
    /// What the bodies of answers hold until their callers have taken them.
    answer_memory: Rc<RefCell<SharedMemory>>,
    /// Second probes in progress, with a longer timeout, by upstream.
    second_probes: RefCell<BTreeMap<Arc<str>, losses::Probe>>,
    /// Checks in progress whether an upstream's process has exited.
    exit_checks: RefCell<BTreeMap<Arc<str>, endings::ExitCheck>>,
    /// When an upstream last closed a connection during a request that may have crashed it.
    last_crash_ms: Cell<Option<u64>>,
    losses: RefCell<Losses>,
    isolation: RefCell<isolation::IsolationState>,
    /// Other instances, as targets of relayed requests.
    peers: peers::Peers,
    outliers: RefCell<outliers::OutlierState>,
    outages: RefCell<Outages>,
    /// Calls to services whose workers report their slowness.
    quick_calls: RefCell<QuickCalls>,
    /// Durations of attempts on idempotent routes, by route.
    latencies: RefCell<BTreeMap<Arc<str>, Latencies>>,
    /// Durations of complete streams that may not go on elsewhere, by route.
    stream_durations: RefCell<BTreeMap<Arc<str>, Latencies>>,
    /// Microseconds from sending to the first event per prompt token, by service.
    first_event_us_per_token: RefCell<BTreeMap<Arc<str>, Latencies>>,
    /// Speeds of upstreams.
    speeds: speed::Speeds,
    /// Parts of prompts that runs got past lately.
    served_parts: RefCell<ServedParts>,
}

impl Traffic {
    /// Creates the state of a thread that has served nothing yet.
    pub fn new(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        shared: Arc<Shared>,
        clock: Clock,
        log: slog::Logger,
        metrics: Arc<Metrics>,
    ) -> Rc<Traffic> {
        let reports_usage = settings.reports_usage;
        let answer_memory = SharedMemory::new(settings.machine.answer_bytes());
        Rc::new(Traffic {
            settings,
            reports_usage,
            dialect,
            shared,
            clock,
            log,
            metrics,
            open_requests: Cell::new(0),
            callers: Rc::default(),
            request_memory: Rc::default(),
            answer_memory: Rc::new(RefCell::new(answer_memory)),
            stop: Cell::new(None),
            stop_phase: watch::Sender::default(),
            swept_ms: Cell::default(),
            reported_load: Cell::default(),
            cache_locations: RefCell::default(),
            output_lengths: RefCell::default(),
            fleet: RefCell::default(),
            departures: RefCell::default(),
            workers: RefCell::default(),
            retry_budgets: RefCell::default(),
            queues: RefCell::default(),
            operators: operators::OperatorState::default(),
            cache_queried: RefCell::default(),
            probes: RefCell::default(),
            second_probes: RefCell::default(),
            exit_checks: RefCell::default(),
            last_crash_ms: Cell::default(),
            losses: RefCell::default(),
            isolation: RefCell::default(),
            peers: peers::Peers::default(),
            outliers: RefCell::default(),
            outages: RefCell::default(),
            quick_calls: RefCell::default(),
            latencies: RefCell::default(),
            stream_durations: RefCell::default(),
            first_event_us_per_token: RefCell::default(),
            speeds: speed::Speeds::default(),
            served_parts: RefCell::default(),
        })
    }

    /// The limits on callers that are in force.
    pub fn limits(&self) -> Limits {
        let view = self.shared.view.load();
        view.config.as_ref().map(|config| config.limits).unwrap_or_default()
    }

    /// Whether this instance accepts a request; during a planned stop it accepts only some.
    pub fn accepts(&self, job: &Job) -> bool {
        let Some(stop) = self.stop.get() else { return true };
        let durations = self.stream_durations.borrow();
        let run_ms = durations
            .get(&job.route.name)
            .and_then(|observed| observed.quantile(STREAM_DURATION_PERCENTILE));
        let repeat = job.route.repeat;
        let request = stop::Waiting { repeat, until_ms: job.until_ms, run_ms };
        stop.accepts(request, self.now_ms())
    }

    /// Whether a request may be passed on, to an upstream or to another instance: a planned stop keeps
    /// to what it accepted once that may have run.
    pub fn may_pass_on(&self, job: &Job) -> bool {
        job.may_have_run() || self.accepts(job)
    }

    /// How long it is until a planned stop that is under way ends with the kill of the process.
    pub fn stop_left_ms(&self) -> Option<u64> {
        self.stop.get().map(|stop| stop.left_ms(self.now_ms()))
    }

    /// Records that a request is passed on, to an upstream or another instance; logs it while a planned stop is
    /// under way.
    pub fn note_passed_on(&self, job: &Job, to: &Worker) {
        job.note_passed_on();
        let Some(stop) = self.stop.get() else { return };
        let now_ms = self.now_ms();
        slog::info!(self.log, "passed on in a planned stop"; "request" => job.id(),
            "to" => &*to.upstream.id, "stop_left_ms" => stop.left_ms(now_ms),
            "caller_left_ms" => job.left_ms(now_ms));
    }

    /// How long the caller should wait before it retries after a failure, if the state of the
    /// service determines that.
    pub fn retry_after_ms(&self, job: &Job, failure: &Failure) -> Option<u64> {
        let left_ms = job.left_ms(self.now_ms());
        match failure {
            Failure::Throttled => self.throttled_retry_after_ms(&job.service),
            Failure::Full | Failure::Rejected if self.throttled_for_ms(&job.service).is_some() => {
                self.throttled_retry_after_ms(&job.service)
            }
            // With no instance left that reaches them, the upstreams themselves may be down.
            Failure::CutOff if self.shared.view.load().relays.is_empty() => {
                self.outage_retry_after_ms(&job.service, left_ms)
            }
            Failure::NoUpstream => self.outage_retry_after_ms(&job.service, left_ms),
            failure if failure.is_quarantine() => self.quarantine_left_ms(job),
            Failure::Full | Failure::Rejected | Failure::TooManyRepeats
                if job.route.repeat.is_stream() =>
            {
                Some(outages::full_retry_after_ms(left_ms, &mut fastrand::Rng::new()))
            }
            Failure::Full | Failure::Rejected => self.call_retry_after_ms(job),
            _ => None,
        }
    }

    /// Logs and counts a failure, and returns the error response.
    pub fn refuse(&self, job: &Job, failure: &Failure, retry_after_ms: Option<u64>) -> Answer {
        slog::warn!(self.log, "refused"; "request" => job.id(), "route" => &*job.route.name,
            "status" => failure.status(), "why" => %failure,
            "ms" => self.now_ms() - job.since_ms, "stop_left_ms" => self.stop_left_ms());
        self.metrics.count("refused");
        if failure.is_quarantine() {
            self.metrics.count("refused_quarantined");
        }
        let mut answer = answer::failed(failure, retry_after_ms);
        if job.is_relayed && failure.is_of_instance() {
            headers::mark_not_taken(answer.headers_mut());
        }
        answer
    }

    /// Records that a request started to run. A request counts once, however often it is sent.
    pub fn note_run_start(&self, job: &Job, started_ms: u64) {
        let Some(organisation) = &job.organisation else { return };
        if self.reports_usage && !job.has_begun.replace(true) {
            self.shared.note_begun(Arc::clone(organisation), started_ms);
        }
    }

    /// Records the duration of an attempt on an idempotent route, whether or not it was answered.
    pub fn note_latency(&self, job: &Job, value_ms: u64) {
        let mut latencies = self.latencies.borrow_mut();
        latencies.entry(Arc::clone(&job.route.name)).or_default().record(value_ms);
    }

    /// Records how long the first event took, or for how long it was awaited before the attempt was
    /// abandoned.
    pub fn note_first_event_wait(&self, job: &Job, waited_ms: u64) {
        let waited_us = waited_ms.saturating_mul(1_000);
        let Some(us_per_token) = waited_us.checked_div(job.demand.prompt_tokens) else { return };
        let mut known = self.first_event_us_per_token.borrow_mut();
        known.entry(Arc::clone(&job.service)).or_default().record(us_per_token);
    }

    /// Capacity that a request needs of an engine. Callers declare the most output tokens they
    /// accept and most outputs are shorter, so the output lengths observed for the service apply
    /// once there are enough of them.
    pub fn need(&self, job: &Job) -> Need {
        let Demand { prompt_tokens, output_tokens, .. } = job.demand;
        let lengths = self.output_lengths.borrow();
        let typical_tokens = lengths
            .get(&job.service)
            .and_then(|observed| observed.quantile(OUTPUT_TOKENS_PERCENTILE));
        let output_tokens =
            typical_tokens.map_or(output_tokens, |typical| typical.min(output_tokens));
        Need { prompt_tokens, output_tokens }
    }

    /// Records the duration of a complete stream that may not go on elsewhere.
    pub fn note_stream_duration(&self, job: &Job, duration_ms: u64) {
        if job.route.repeat == Repeat::OneStream {
            let mut durations = self.stream_durations.borrow_mut();
            durations.entry(Arc::clone(&job.route.name)).or_default().record(duration_ms);
        }
    }

    /// Records the length of a complete stream.
    pub fn note_output_length(&self, job: &Job, events: u64) {
        let view = self.shared.view.load();
        let service = view.config.as_ref().and_then(|all| all.services.get(&job.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        let Some(event_tokens) = engine.and_then(|engine| engine.event_tokens) else { return };
        let mut lengths = self.output_lengths.borrow_mut();
        lengths
            .entry(Arc::clone(&job.service))
            .or_default()
            .record(events.saturating_mul(event_tokens));
    }

    /// How long after sending the first event is overdue, after `attempts` earlier attempts.
    pub fn first_event_overdue_ms(&self, job: &Job, attempts: u32) -> u64 {
        let mut known = self.first_event_us_per_token.borrow_mut();
        let known = known.entry(Arc::clone(&job.service)).or_default();
        let objective_ms = job.route.target_latency_ms;
        silence::overdue_ms(known, job.demand.prompt_tokens, objective_ms, attempts)
    }

    /// How long an idempotent call may go unanswered before it is also sent to a second upstream.
    pub fn hedge_after_ms(&self, job: &Job) -> Option<u64> {
        let mut latencies = self.latencies.borrow_mut();
        let known = latencies.entry(Arc::clone(&job.route.name)).or_default();
        hedge::delay_ms(known, job.route.target_latency_ms)
    }

    /// Completes when a planned stop gives the final responses; never, if there is no stop.
    pub async fn wait_for_final_responses(&self) {
        self.wait_for_phase(stop::Phase::LastAnswers).await;
    }

    /// Completes when a planned stop refuses a request that still waits to be passed on; never, if there
    /// is no stop or the request may be or was passed on.
    pub async fn wait_until_turned_away(&self, job: &Job) {
        self.wait_for_phase(stop::Phase::Refusing).await;
        if self.may_pass_on(job) {
            // Each later attempt asks again.
            std::future::pending().await
        }
    }

    async fn wait_for_phase(&self, phase: stop::Phase) {
        let mut phases = self.stop_phase.subscribe();
        // Never fails, since `self` keeps the sender alive.
        let _ = phases.wait_for(|reached| *reached >= phase).await;
    }

    /// Milliseconds since the process started.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// Closes channels that were idle too long, removes expired cache locations, and probes
    /// suspected upstreams that hold runs or copies of this instance.
    pub fn sweep(self: &Rc<Traffic>) {
        let view = self.view();
        let now_ms = self.now_ms();
        self.forget_cache_locations(|location| location.until_ms <= now_ms);
        self.served_parts.borrow_mut().expire(now_ms);
        let workers: Vec<Rc<Worker>> = self.workers.borrow().values().map(Rc::clone).collect();
        self.merge_peer_losses(&view, &self.workers.borrow(), now_ms);
        for worker in workers {
            worker.sweep(now_ms);
            self.outages.borrow_mut().note_alive(&worker.upstream.service, worker.alive_ms());
            let is_probed = self.probes.borrow().contains_key(&worker.upstream.id);
            let has_runs_or_copies = worker.runs.get() + worker.copies.get() > 0;
            let is_at_risk = has_runs_or_copies && !worker.is_lost(now_ms);
            if Mechanism::Question.is_on()
                && is_at_risk
                && !is_probed
                && self.is_suspected(&worker, now_ms)
            {
                self.start_probe(&worker);
            }
        }
        let elapsed_ms = now_ms.saturating_sub(self.swept_ms.replace(now_ms));
        self.sample_reading(elapsed_ms);
        self.refresh_speeds(&view);
        self.sweep_outliers(now_ms);
        self.peers.sweep(&view, now_ms);
        self.apply_orders();
        self.publish_queues();
        self.notify_peers_if_changed();
        self.update_gauges();
    }

    fn update_gauges(&self) {
        let workers = self.workers.borrow();
        let sum = |count: fn(&Worker) -> u64| workers.values().map(|worker| count(worker)).sum();
        self.metrics.gauge("open_requests", self.open_requests.get() as u64);
        self.metrics.gauge("connections", self.callers.count() as u64);
        let request_bytes = self.request_memory.borrow().used_bytes();
        self.metrics.gauge("request_bytes", request_bytes as u64);
        let answer_bytes = self.answer_memory.borrow().used_bytes();
        self.metrics.gauge("answer_bytes", answer_bytes as u64);
        self.metrics.gauge("channels", sum(Worker::channels));
        let (machine, limits) = (self.settings.machine, self.limits());
        self.metrics.gauge("connections_most", machine.connections(&limits) as u64);
        self.metrics.gauge("channels_most", machine.channels(&limits) as u64);
        self.metrics.gauge("request_bytes_most", machine.request_bytes(&limits) as u64);
        let most_answer_bytes = self.answer_memory.borrow().max_bytes();
        self.metrics.gauge("answer_bytes_most", most_answer_bytes as u64);
        self.metrics.gauge("runs", sum(|worker| u64::from(worker.runs.get())));
        self.metrics.gauge("copies", sum(|worker| u64::from(worker.copies.get())));
        self.metrics.gauge("prompts_reading", sum(|worker| u64::from(worker.reading.get())));
        let limited = |worker: &Worker| u64::from(worker.rate_limit().is_some());
        self.metrics.gauge("upstreams_limiting", sum(limited));
        let leaving = |worker: &Worker| u64::from(worker.has_said_leaving());
        self.metrics.gauge("upstreams_leaving_by_answer", sum(leaving));
        let now_ms = self.now_ms();
        let backing_off = workers.values().filter(|worker| worker.is_backing_off(now_ms)).count();
        self.metrics.gauge("upstreams_backing_off", backing_off as u64);
        self.metrics.gauge("is_cut_off", u64::from(self.is_cut_off()));
        self.metrics.gauge("calls_limit", self.calls_limit());
        self.metrics.gauge("log_records_left_out", log::left_out());
    }
}
