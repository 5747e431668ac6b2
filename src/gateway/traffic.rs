//! State of the traffic thread: upstreams, retry budgets, latency statistics and metrics.

mod admission;
mod budgets;
mod concurrency;
mod endings;
mod isolation;
mod losses;
mod operators;
mod outliers;
mod peers;
mod places;
mod quarantine;
mod signals;
mod speed;

pub(super) use self::admission::{Reservation, ServedGuard, Verdict};
pub(super) use self::concurrency::Placed;
pub(super) use self::losses::{Liveness, MAX_TIMER_LAG_MS};
pub(super) use self::quarantine::JUDGEMENT_WAIT_MS;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::header::HOST;
use hyper::{Method, Request};
use tokio::sync::watch;

use self::concurrency::QuickCalls;
use self::places::CacheLocation;
use super::ablation::Mechanism;
use super::answer::{self, Answer};
use super::channel::Fault;
use super::dialect::{Demand, Dialect, PromptPart};
use super::failure::Failure;
use super::fleet::Fleet;
use super::headers;
use super::job::Job;
use super::loads::{LocalTraffic, SentRequests, UpstreamLoad};
use super::metrics::Metrics;
use super::policy::admission::EngineActivity;
use super::policy::budget::Budget;
use super::policy::departures::Departures;
use super::policy::engine::{self, Need};
use super::policy::hedge;
use super::policy::isolation::Reach;
use super::policy::latency::Latencies;
use super::policy::losses::Losses;
use super::policy::outages::{self, Outages};
use super::policy::placement::{self, Candidate, Constraints};
use super::policy::silence;
use super::policy::stop::Stop;
use super::settings::Settings;
use super::view::{Shared, Signal, View};
use super::worker::Worker;
use crate::clock::Clock;
use crate::log;

/// Percentile, as a fraction, of observed output lengths for which engine memory is reserved. The
/// few longer outputs share the memory that stays free.
const OUTPUT_TOKENS_PERCENTILE: f64 = 0.9;
/// Channels per upstream that an instance may open beyond its even share, since load is never even.
const CHANNEL_SLACK: u32 = 2;

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
    /// Open connections from callers.
    pub connections: Cell<usize>,
    /// The planned stop in progress, if any.
    pub stop: Cell<Option<Stop>>,
    /// Whether started requests are reported to usage accounting.
    reports_usage: bool,
    /// Becomes true when a planned stop gives every unanswered request its final response.
    pub final_responses_due: watch::Sender<bool>,
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
    /// Microseconds from sending to the first event per prompt token, by service.
    first_event_us_per_token: RefCell<BTreeMap<Arc<str>, Latencies>>,
    /// Speeds of upstreams.
    speeds: speed::Speeds,
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
        Rc::new(Traffic {
            settings,
            reports_usage,
            dialect,
            shared,
            clock,
            log,
            metrics,
            open_requests: Cell::new(0),
            connections: Cell::new(0),
            stop: Cell::new(None),
            final_responses_due: watch::Sender::new(false),
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
            first_event_us_per_token: RefCell::default(),
            speeds: speed::Speeds::default(),
        })
    }

    /// Whether this instance accepts a request; during a planned stop it accepts only some.
    pub fn accepts(&self, job: &Job) -> bool {
        let now_ms = self.now_ms();
        self.stop.get().is_none_or(|stop| stop.accepts(job.route.repeat, job.until_ms, now_ms))
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
            Failure::Quarantined { .. } | Failure::Poison { .. } => self.quarantine_left_ms(job),
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
            "ms" => self.now_ms() - job.since_ms);
        self.metrics.count("refused");
        if matches!(failure, Failure::Quarantined { .. } | Failure::Poison { .. }) {
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
        let waited_us = waited_ms * 1_000;
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

    /// Records the length of a complete stream.
    pub fn note_output_length(&self, job: &Job, events: u64) {
        let view = self.shared.view.load();
        let service = view.config.as_ref().and_then(|all| all.services.get(&job.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        let Some(event_tokens) = engine.and_then(|engine| engine.event_tokens) else { return };
        let mut lengths = self.output_lengths.borrow_mut();
        lengths.entry(Arc::clone(&job.service)).or_default().record(events * event_tokens);
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
        let mut final_responses_due = self.final_responses_due.subscribe();
        // Never fails, since `self` keeps the sender alive.
        let _ = final_responses_due.wait_for(|is_now| *is_now).await;
    }

    /// Milliseconds since the process started.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// The current view. Changes of its upstreams are applied to the workers first.
    pub fn view(&self) -> Arc<View> {
        let view = self.shared.view.load_full();
        let is_fleet_new = !Arc::ptr_eq(&view.fleet, &self.fleet.borrow());
        if is_fleet_new {
            self.apply_fleet(&view.fleet);
        }
        if is_fleet_new || !view.departures.is_same_data(&self.departures.borrow()) {
            self.apply_departures(&view.departures);
        }
        self.apply_pauses(&view);
        view
    }

    fn apply_fleet(&self, fleet: &Arc<Fleet>) {
        let mut workers = self.workers.borrow_mut();
        workers.retain(|id, _| fleet.upstreams.contains_key(id));
        let now_ms = self.now_ms();
        for (id, upstream) in &fleet.upstreams {
            match workers.get(id) {
                Some(known) if known.upstream.is_same_life(upstream) => known.relist(upstream),
                known => {
                    if let Some(known) = known {
                        self.mark_restarted(known);
                    }
                    self.outages.borrow_mut().note_alive(&upstream.service, now_ms);
                    let source = self.settings.upstream_source;
                    let worker = Worker::reached_from(source, upstream.clone(), now_ms);
                    workers.insert(Arc::clone(id), worker);
                }
            }
        }
        let superseded = if Mechanism::Youngest.is_on() {
            placement::superseded(fleet.upstreams.values())
        } else {
            Vec::new()
        };
        superseded.iter().filter_map(|id| workers.get(id)).for_each(|worker| worker.replace());
        *self.fleet.borrow_mut() = Arc::clone(fleet);
    }

    /// Marks the former incarnation of a restarted upstream as lost: its runs, copies and cached
    /// prompts no longer exist.
    fn mark_restarted(&self, worker: &Worker) {
        slog::info!(self.log, "upstream restarted"; "upstream" => &*worker.upstream.id);
        worker.replace();
        worker.lost(self.now_ms());
        self.forget_outcomes(&worker.upstream.id);
        self.forget_cache_locations(|location| location.upstream == worker.upstream.id);
    }

    /// The upstream with this id, if it is known.
    pub fn worker(&self, id: &str) -> Option<Rc<Worker>> {
        self.workers.borrow().get(id).map(Rc::clone)
    }

    /// Whether an upstream may receive new requests.
    pub fn takes_work(&self, id: &str) -> bool {
        self.view();
        self.worker(id).is_some_and(|worker| worker.takes_work())
    }

    /// Chooses the best upstream of a service for a request.
    pub fn choose(&self, service: &str, constraints: &Constraints) -> Option<Rc<Worker>> {
        self.choose_for_prompt(service, constraints, &[])
    }

    /// Chooses the best upstream of a service for a request with a prompt, taking into account
    /// which engines have its prefixes cached.
    pub fn choose_for_prompt(
        &self,
        service: &str,
        constraints: &Constraints,
        prompt: &[PromptPart],
    ) -> Option<Rc<Worker>> {
        let view = self.view();
        let now_ms = self.now_ms();
        let workers = self.workers.borrow();
        let eligible: Vec<&Rc<Worker>> = workers
            .values()
            .filter(|worker| *worker.upstream.service == *service && worker.takes_work())
            .filter(|worker| !worker.is_throttled(now_ms))
            .collect();
        self.merge_peer_losses(&view, &workers, now_ms);
        self.evaluate_outliers(service, &view, now_ms);
        let mut candidates: Vec<Candidate> =
            eligible.iter().map(|worker| self.candidate(worker, &view, now_ms)).collect();
        for (id, cached_tokens) in self.cached_tokens(prompt, &view) {
            let known = candidates.iter_mut().find(|candidate| candidate.id == id);
            if let Some(candidate) = known {
                candidate.load.cached_tokens = cached_tokens;
            }
        }
        let unseen_requests = self.unseen_requests(&view, service, constraints.need);
        let index =
            placement::choose(&candidates, constraints, unseen_requests, &mut fastrand::Rng::new());
        if index.is_none_or(|index| candidates[index].is_suspect) && view.large.contains(service) {
            self.shared.signal(Signal::NoUpstreamLeft);
        }
        let index = index?;
        self.note_chosen(eligible[index], candidates[index].status, constraints.can_repeat, now_ms);
        Some(Rc::clone(eligible[index]))
    }

    /// How many channels this instance may open to one upstream of a service.
    pub fn channel_share(&self, service: &str) -> u32 {
        let view = self.shared.view.load();
        let all = view.config.as_ref().and_then(|config| config.services.get(service));
        let all = all.map_or(u32::MAX, |service| service.max_channels);
        // One in ten stays unused: other instances may count more or fewer instances than this one.
        (all - all / 10) / view.holders(service).max(1) + CHANNEL_SLACK
    }

    /// Sends an engine a request of the gateway itself; returns the status and the body.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives.
    pub async fn call_engine(
        self: &Rc<Traffic>,
        worker: &Rc<Worker>,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(u16, Bytes), Fault> {
        let broken = |detail: String| Fault::Broken { detail };
        let mut lease = self.lease(worker).await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, worker.upstream.addr.to_string())
            .body(Full::new(body))
            .map_err(|error| Fault::NotSent { detail: error.to_string() })?;
        let response = lease.channel.send(request).await?;
        let status = response.status().as_u16();
        let keep_ms = self.dialect.marks(response.headers()).keep_ms;
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| broken(error.to_string()))?.to_bytes();
        worker.give_back(lease, keep_ms, self.now_ms());
        Ok((status, body))
    }

    /// Sends peers an update at once: the current load and lost upstreams.
    pub fn notify_peers(&self) {
        self.refresh_peer_update();
        self.shared.news.notify_one();
    }

    /// Sends peers an update if the load changed since the last sweep.
    fn notify_peers_if_changed(&self) {
        let tokens = |worker: &Worker| worker.pending_tokens.get() + worker.reserved_tokens.get();
        let load = |worker: &Worker| u64::from(worker.runs.get()) + tokens(worker);
        let load = self.workers.borrow().values().map(|worker| load(worker)).sum();
        if self.reported_load.replace(load) != load {
            self.notify_peers();
        } else {
            self.refresh_peer_update();
        }
    }

    /// Refreshes what the next update to peers contains: load, lost upstreams, cache locations and
    /// retry counts.
    fn refresh_peer_update(&self) {
        let mut own = LocalTraffic::default();
        let locations = self.cache_locations.borrow();
        let entries = locations
            .iter()
            .flat_map(|(prefix, engines)| engines.iter().map(|engine| (*prefix, engine)));
        own.cache_locations =
            entries.map(|(prefix, engine)| (prefix, Arc::clone(&engine.upstream))).collect();
        for (service, budget) in self.retry_budgets.borrow().iter() {
            let (requests, repeats) = budget.counts();
            own.sent.push(SentRequests { service: Arc::clone(service), requests, repeats });
        }
        // What this instance lost says nothing about an upstream while its own links are in doubt.
        if self.reach() == Reach::Normal {
            own.lost = self.losses.borrow().own();
        }
        own.queues = self.reported_queues();
        own.observations = self.reported_loads();
        for worker in self.workers.borrow().values() {
            let held = UpstreamLoad {
                upstream: Arc::clone(&worker.upstream.id),
                runs: worker.runs.get(),
                copies: worker.copies.get(),
                reading: worker.reading.get(),
                pending_tokens: worker.pending_tokens.get(),
                reserved_tokens: worker.reserved_tokens.get(),
            };
            if !held.is_empty() {
                own.loads.push(held);
            }
        }
        self.add_own_speeds(&mut own.observations);
        self.add_outcomes(&mut own);
        self.shared.set_own(own);
    }

    /// How many engines of a service accept work, and how many of them are processing prompts, as
    /// far as known.
    pub fn service_load(&self, service: &str) -> EngineActivity {
        let workers = self.workers.borrow();
        let now_ms = self.now_ms();
        let accepts_work = |worker: &&Rc<Worker>| {
            *worker.upstream.service == *service
                && worker.takes_work()
                && !self.is_suspected(worker, now_ms)
        };
        let engines = || workers.values().filter(accepts_work);
        let reading = engines().filter(|worker| self.prefills_at(worker) > 0);
        EngineActivity { engines: engines().count(), reading: reading.count() }
    }

    /// How many prompts of all instances an engine is processing (prefill), as far as known.
    pub fn prefills_at(&self, worker: &Worker) -> u64 {
        let view = self.shared.view.load();
        let others = view.others.get(&worker.upstream.id).map_or(0, |held| held.reading);
        u64::from(worker.reading.get() + others)
    }

    /// What is currently known of an upstream's load, for logs and for the placement of copies.
    pub fn placement_state(&self, worker: &Worker) -> Candidate {
        self.candidate(worker, &self.shared.view.load(), self.now_ms())
    }

    fn candidate(&self, worker: &Worker, view: &View, now_ms: u64) -> Candidate {
        let others = view.others.get(&worker.upstream.id);
        let reported_runs = worker.told_others(now_ms).filter(|_| Mechanism::ToldLoads.is_on());
        let others_run = match reported_runs {
            Some(running) => running,
            None => others.map_or(0, |held| held.runs),
        };
        let copies = worker.copies.get() + others.map_or(0, |held| held.copies);
        let pending_tokens = others.map_or(0, |held| held.pending_tokens);
        let reserved_tokens = others.map_or(0, |held| held.reserved_tokens);
        let service =
            view.config.as_ref().and_then(|all| all.services.get(&worker.upstream.service));
        let engine = service.and_then(|service| service.engine.as_ref());
        let speed = self.speed(worker, view, now_ms);
        let load = engine::Load {
            runs: f64::from(worker.runs.get() + others_run),
            copies: f64::from(copies),
            pending_tokens: worker.pending_tokens.get() + pending_tokens,
            reserved_tokens: worker.reserved_tokens.get() + reserved_tokens,
            cached_tokens: 0,
            memory_tokens: engine.and_then(|engine| engine.memory_tokens),
            slots: engine.and_then(|engine| engine.slots),
            reading_speed: speed.reading,
            running_speed: speed.running,
        };
        let status = self.outlier_status(worker, now_ms);
        Candidate {
            id: Arc::clone(&worker.upstream.id),
            domain: Arc::clone(&worker.upstream.domain),
            load,
            failure_rate: worker.failing(now_ms).max(status.excess_failure_rate),
            is_suspect: self.is_suspected(worker, now_ms),
            status,
        }
    }

    /// Closes channels that were idle too long, removes expired cache locations, and probes
    /// suspected upstreams that hold runs or copies of this instance.
    pub fn sweep(self: &Rc<Traffic>) {
        let view = self.view();
        let now_ms = self.now_ms();
        self.forget_cache_locations(|location| location.until_ms <= now_ms);
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
        self.metrics.gauge("connections", self.connections.get() as u64);
        self.metrics.gauge("channels", sum(Worker::channels));
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
