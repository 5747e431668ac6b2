//! Placement of quick calls where the workers of a service report their slowness; see
//! [docs/design/quick-services.md](../../../docs/design/quick-services.md).

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::super::dialect::Marks;
use super::super::job::Job;
use super::super::loads::{Aged, ReportedLoad, UpstreamObservation};
use super::super::policy::concurrency::{
    self, Call, Concurrency, Decision, LoadEstimate, Needed, Report, Ticket, WorkerState,
};
use super::super::policy::placement::{self, Candidate, Constraints};
use super::super::route::{Config, Route};
use super::super::view::View;
use super::super::worker::Worker;
use super::Traffic;

/// How long a call that was sent is counted apart from the worker's reports, in milliseconds; it has
/// been answered or failed by then.
const SENT_TTL_MS: u64 = 1_000;

/// Cost of a worker in a failure domain to be avoided, in calls: more than any queue.
const AVOIDED_COST_CALLS: f64 = 1e6;

/// State of the calls of this instance.
#[derive(Debug, Default)]
pub(super) struct QuickCalls {
    services: BTreeMap<Arc<str>, Service>,
    /// When calls were sent in the last moments, by worker.
    sent_ms: BTreeMap<Arc<str>, VecDeque<u64>>,
    /// Number of tickets given so far.
    tickets: u64,
}

#[derive(Debug, Default)]
struct Service {
    concurrency: Concurrency,
    /// The calls that its workers may have at once, as last computed.
    limit: u64,
    /// The least objective that one of its routes declares, in milliseconds, as last read from the configuration.
    objective_ms: Option<u64>,
}

/// What the routes of a service require of all calls to it.
#[derive(Debug, Clone, Copy)]
struct Requirements {
    /// The least objective that a route declares.
    objective_ms: u64,
    /// The shortest time limit.
    timeout_ms: u64,
}

impl Requirements {
    /// Reads them from the configuration; `None` if no route declares an objective.
    fn of(config: &Config, service: &Arc<str>) -> Option<Requirements> {
        let leads_there = |route: &&Arc<Route>| {
            !route.repeat.is_stream()
                && route.targets.iter().any(|target| target.service == *service)
        };
        let routes = || config.routes.iter().filter(leads_there);
        let objectives = routes().map(|route| route.target_latency_ms);
        Some(Requirements {
            objective_ms: objectives.filter(|objective_ms| *objective_ms > 0).min()?,
            timeout_ms: routes().map(|route| route.timeout_ms).min()?,
        })
    }
}

/// Where a call goes.
#[derive(Debug)]
pub enum Placed {
    /// To this worker.
    At(Rc<Worker>),
    /// No worker accepts work.
    Nowhere,
    /// It was refused on arrival: no worker would answer it within the objective.
    Refused {
        /// When the caller should return.
        retry_after_ms: u64,
    },
}

/// The workers of a service that accept work, and what is known of them.
struct Known {
    workers: Vec<Rc<Worker>>,
    estimate: LoadEstimate,
    requirements: Requirements,
}

impl Known {
    fn indices_of(&self, ids: &[Arc<str>]) -> Vec<usize> {
        let is_listed = |index: &usize| ids.contains(&self.workers[*index].upstream.id);
        (0..self.workers.len()).filter(is_listed).collect()
    }
}

/// A call that waits here for a place; it leaves the queue when this is dropped.
struct Waiting<'a> {
    traffic: &'a Traffic,
    service: &'a Arc<str>,
    ticket: Ticket,
}

impl<'a> Waiting<'a> {
    fn start(traffic: &'a Traffic, job: &'a Job, ticket: Ticket) -> Waiting<'a> {
        let mut calls = traffic.quick_calls.borrow_mut();
        calls.of(&job.service).concurrency.enqueue(ticket);
        traffic.metrics.count("calls_queued");
        Waiting { traffic, service: &job.service, ticket }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut calls = self.traffic.quick_calls.borrow_mut();
        calls.of(self.service).concurrency.dequeue(self.ticket);
    }
}

impl QuickCalls {
    fn of(&mut self, service: &Arc<str>) -> &mut Service {
        self.services.entry(Arc::clone(service)).or_default()
    }

    fn note_sent(&mut self, worker: &Worker, now_ms: u64) {
        let id = &worker.upstream.id;
        if !self.sent_ms.contains_key(id) {
            let is_recent = |at_ms: &u64| at_ms + SENT_TTL_MS > now_ms;
            self.sent_ms.retain(|_, sent| sent.back().is_some_and(is_recent));
        }
        let sent = self.sent_ms.entry(Arc::clone(id)).or_default();
        while sent.front().is_some_and(|at_ms| at_ms + SENT_TTL_MS <= now_ms) {
            sent.pop_front();
        }
        sent.push_back(now_ms);
    }

    /// Number of calls sent to a worker after a time.
    fn sent_since(&self, worker: &Worker, since_ms: u64) -> u32 {
        let sent = self.sent_ms.get(&worker.upstream.id);
        sent.map_or(0, |sent| sent.iter().filter(|at_ms| **at_ms >= since_ms).count() as u32)
    }
}

impl Traffic {
    /// Counts a call that arrived.
    pub fn note_call(&self, job: &Job) {
        let mut calls = self.quick_calls.borrow_mut();
        let concurrency = &mut calls.of(&job.service).concurrency;
        concurrency.note_arrival(self.settings.repeat_window_ms, self.now_ms());
    }

    /// Counts a call that is sent to a worker, until the worker's reports show it.
    pub fn note_call_sent(&self, worker: &Worker) {
        self.quick_calls.borrow_mut().note_sent(worker, self.now_ms());
    }

    /// Records what an answer of a worker that ran the call shows of the service.
    pub fn note_call_answer(&self, job: &Job, status: u16, marks: &Marks, sent_at_ms: u64) {
        let (200..300, Some(load)) = (status, marks.load) else { return };
        let now_ms = self.now_ms();
        let mut calls = self.quick_calls.borrow_mut();
        let service = calls.of(&job.service);
        let objective_ms = service.objective_ms.unwrap_or_else(|| objective_ms(job));
        let report = report(ReportedLoad::from(load), 0);
        service.concurrency.note_answer(&report, now_ms - sent_at_ms, objective_ms, now_ms);
    }

    /// Records that a worker did not run a call, if it shows that its queue was full.
    pub fn note_call_not_run(&self, job: &Job, status: u16, marks: &Marks) {
        if !is_full(status, marks) {
            return;
        }
        let now_ms = self.now_ms();
        let mut calls = self.quick_calls.borrow_mut();
        let service = calls.of(&job.service);
        let objective_ms = service.objective_ms.unwrap_or_else(|| objective_ms(job));
        service.concurrency.note_rejection(objective_ms, now_ms);
    }

    /// Chooses the worker for a call. A call that has not been sent yet may wait for a place, or be
    /// refused; one that another worker did not serve has been admitted already.
    pub async fn place_call(&self, job: &Job, constraints: &Constraints) -> Placed {
        if !constraints.excluded.is_empty() {
            return self.choose_again(job, constraints).map_or(Placed::Nowhere, Placed::At);
        }
        let mut waiting = None;
        loop {
            let Some(known) = self.known(job, constraints) else {
                let worker = self.choose(&job.service, constraints);
                return worker.map_or(Placed::Nowhere, Placed::At);
            };
            match self.decide(job, &known, waiting.as_ref()) {
                Decision::Send(index) => {
                    return Placed::At(self.send_to(&known, index, constraints));
                }
                Decision::Refuse { retry_after_ms } => {
                    self.metrics.count("calls_refused_on_arrival");
                    return Placed::Refused { retry_after_ms };
                }
                Decision::Wait { for_ms } => {
                    let ticket = self.ticket(job);
                    waiting.get_or_insert_with(|| Waiting::start(self, job, ticket));
                    tokio::time::sleep(Duration::from_millis(for_ms)).await;
                }
            }
        }
    }

    /// Chooses a worker for one more attempt at a call.
    pub fn choose_again(&self, job: &Job, constraints: &Constraints) -> Option<Rc<Worker>> {
        self.choose_needed(job, constraints, Needed::Any)
    }

    /// Chooses a worker for the hedge of a call. Where calls queue, a hedge would only displace
    /// another call, so it needs a free slot.
    pub fn choose_for_hedge(&self, job: &Job, constraints: &Constraints) -> Option<Rc<Worker>> {
        self.choose_needed(job, constraints, Needed::FreeSlot)
    }

    fn choose_needed(
        &self,
        job: &Job,
        constraints: &Constraints,
        needed: Needed,
    ) -> Option<Rc<Worker>> {
        let Some(known) = self.known(job, constraints) else {
            return self.choose(&job.service, constraints);
        };
        let excluded = known.indices_of(&constraints.excluded);
        let index = known.estimate.choose(&excluded, needed, &mut fastrand::Rng::new())?;
        Some(self.send_to(&known, index, constraints))
    }

    fn send_to(&self, known: &Known, index: usize, constraints: &Constraints) -> Rc<Worker> {
        let worker = &known.workers[index];
        let now_ms = self.now_ms();
        let status = self.outlier_status(worker, now_ms);
        self.note_chosen(worker, status, constraints.can_repeat, now_ms);
        Rc::clone(worker)
    }

    fn decide(&self, job: &Job, known: &Known, waiting: Option<&Waiting<'_>>) -> Decision {
        let now_ms = self.now_ms();
        let ticket = waiting.map_or_else(|| self.ticket(job), |waiting| waiting.ticket);
        let call = Call {
            id: job.demand.id.clone(),
            ticket,
            is_waiting: waiting.is_some(),
            objective_left_ms: (job.since_ms + objective_ms(job)).saturating_sub(now_ms),
            left_ms: job.left_ms(now_ms).min(known.requirements.timeout_ms),
        };
        let mut calls = self.quick_calls.borrow_mut();
        let service = calls.of(&job.service);
        service.limit = known.estimate.limit() as u64;
        service.concurrency.decide(&call, &known.estimate, now_ms, &mut fastrand::Rng::new())
    }

    fn ticket(&self, job: &Job) -> Ticket {
        let mut calls = self.quick_calls.borrow_mut();
        calls.tickets += 1;
        Ticket { priority: job.priority, until_ms: job.until_ms, number: calls.tickets }
    }

    /// When the caller of a call that workers rejected should return, where their load is known.
    pub(super) fn call_retry_after_ms(&self, job: &Job) -> Option<u64> {
        let known = self.known(job, &Constraints::default())?;
        let now_ms = self.now_ms();
        let mut calls = self.quick_calls.borrow_mut();
        let concurrency = &mut calls.of(&job.service).concurrency;
        let id = job.demand.id.as_ref();
        let left_ms = job.left_ms(now_ms).min(known.requirements.timeout_ms);
        let random = &mut fastrand::Rng::new();
        Some(concurrency.retry_after_ms(id, left_ms, &known.estimate, now_ms, random))
    }

    /// The loads that upstreams reported to this instance, for the others; only of those that report
    /// their slowness, since nothing else uses them.
    pub(super) fn reported_loads(&self) -> Vec<UpstreamObservation> {
        let now_ms = self.now_ms();
        let workers = self.workers.borrow();
        let observation = |worker: &Rc<Worker>| {
            let reported = own_report(worker, now_ms)?;
            let upstream = Arc::clone(&worker.upstream.id);
            (reported.value.slowness_percent.is_some()).then(|| UpstreamObservation {
                reported: Some(reported),
                ..UpstreamObservation::empty(upstream)
            })
        };
        workers.values().filter_map(observation).collect()
    }

    /// Calls that the workers of all services may have at once, as last computed.
    pub(super) fn calls_limit(&self) -> u64 {
        self.quick_calls.borrow().services.values().map(|service| service.limit).sum()
    }

    /// What is known of the workers that may take a call. `None` if the service has engines, if none of
    /// its workers reports its slowness, if none of its routes declares an objective, if all may be
    /// lost, or while too few answers were seen.
    fn known(&self, job: &Job, constraints: &Constraints) -> Option<Known> {
        let view = self.view();
        let config = view.config.as_ref()?;
        let reads_prompts = config.services.get(&job.service)?.engine.is_some();
        if reads_prompts || !self.has_reported_slowness(&job.service, &view) {
            return None;
        }
        let requirements = Requirements::of(config, &job.service)?;
        let now_ms = self.now_ms();
        let all = self.workers.borrow();
        self.merge_peer_losses(&view, &all, now_ms);
        let workers: Vec<Rc<Worker>> = all
            .values()
            .filter(|worker| worker.upstream.service == job.service && worker.takes_work())
            .filter(|worker| !worker.is_throttled(now_ms))
            .map(Rc::clone)
            .collect();
        self.evaluate_outliers(&job.service, &view, now_ms);
        let candidates: Vec<Candidate> =
            workers.iter().map(|worker| self.candidate(worker, &view, now_ms)).collect();
        let avoids_doubtful = placement::avoids_doubtful(&candidates, constraints);
        let state = |(worker, candidate): (&Rc<Worker>, &Candidate)| {
            let outlier_cost = placement::outlier_cost(candidate, constraints, avoids_doubtful);
            self.worker_state(worker, candidate, outlier_cost, constraints, &view)
        };
        let states: Vec<WorkerState> = workers.iter().zip(&candidates).map(state).collect();
        let is_limited = concurrency::is_limited(reads_prompts, &states);
        if !is_limited || states.iter().all(|state| state.is_suspect) {
            return None;
        }
        let window_ms = self.settings.repeat_window_ms;
        let others_requests = view.sent.get(&job.service).map_or(0, |sent| sent.requests);
        let mut calls = self.quick_calls.borrow_mut();
        let service = calls.of(&job.service);
        service.objective_ms = Some(requirements.objective_ms);
        let learned = &service.concurrency;
        let conditions =
            learned.conditions(requirements.objective_ms, others_requests, window_ms, now_ms)?;
        Some(Known { workers, estimate: LoadEstimate::new(&states, conditions), requirements })
    }

    /// Whether any report on a worker of a service has a slowness. Tested for each call before anything
    /// else is gathered, so that other services pay little.
    fn has_reported_slowness(&self, service: &Arc<str>, view: &View) -> bool {
        let now_ms = self.now_ms();
        let has_slowness = |reported: Option<Aged<ReportedLoad>>| {
            reported.is_some_and(|reported| reported.value.slowness_percent.is_some())
        };
        let has_report = |worker: &Rc<Worker>| {
            let observed = view.observations.get(&worker.upstream.id);
            has_slowness(own_report(worker, now_ms))
                || has_slowness(observed.and_then(|observation| observation.reported))
        };
        let workers = self.workers.borrow();
        workers.values().filter(|worker| worker.upstream.service == *service).any(has_report)
    }

    fn worker_state(
        &self,
        worker: &Worker,
        candidate: &Candidate,
        outlier_cost: f64,
        constraints: &Constraints,
        view: &View,
    ) -> WorkerState {
        let now_ms = self.now_ms();
        let observed = view.observations.get(&worker.upstream.id);
        let observed = observed.and_then(|observation| observation.reported);
        let reported = own_report(worker, now_ms).into_iter().chain(observed);
        let newest = reported.min_by_key(|reported| reported.age_ms);
        let others_runs = view.others.get(&worker.upstream.id).map_or(0, |held| held.runs);
        let is_avoided = constraints.avoided_domains.contains(&candidate.domain);
        let avoided_calls = if is_avoided { AVOIDED_COST_CALLS } else { 0.0 };
        let since_ms = newest.map_or(0, |reported| now_ms.saturating_sub(reported.age_ms));
        WorkerState {
            report: newest.map(|reported| report(reported.value, reported.age_ms)),
            sent_since: match newest {
                Some(_) => self.quick_calls.borrow().sent_since(worker, since_ms),
                None => 0,
            },
            known_runs: worker.runs.get().saturating_add(others_runs),
            penalty_calls: placement::penalty(candidate, constraints)
                + avoided_calls
                + outlier_cost,
            is_suspect: candidate.is_suspect || outlier_cost >= placement::LAST_RESORT_COST,
        }
    }
}

/// Whether a refusal shows that the worker had no place for the call, and no other reason.
fn is_full(status: u16, marks: &Marks) -> bool {
    let has_reason =
        marks.retry_after_ms.is_some() || marks.is_leaving || marks.rate_limit.is_some();
    let has_no_free_slot =
        marks.load.is_some_and(|load| load.slots > 0 && load.running >= load.slots);
    matches!(status, 429 | 503) && marks.not_run && has_no_free_slot && !has_reason
}

/// What a worker last reported to this instance itself, if it still counts.
fn own_report(worker: &Worker, now_ms: u64) -> Option<Aged<ReportedLoad>> {
    let told = worker.told()?;
    let observed = Aged { value: ReportedLoad::from(told.load), age_ms: 0 };
    observed.later(now_ms.saturating_sub(told.at_ms))
}

fn report(load: ReportedLoad, age_ms: u64) -> Report {
    let ReportedLoad { running, waiting, slots, slowness_percent } = load;
    Report { running, waiting, slots, slowness_percent, age_ms }
}

/// The time within which a call is to be answered: the objective of its route, else its time limit.
fn objective_ms(job: &Job) -> u64 {
    let limit_ms = job.until_ms - job.since_ms;
    match job.route.target_latency_ms {
        0 => limit_ms,
        objective_ms => objective_ms.min(limit_ms),
    }
}
