//! Measures how fast upstreams read prompts, run requests and answer calls, and shares it with
//! peers.
//!
//! Nothing is measured, sent or taken into account unless an upstream of the service reported its
//! slowness a moment ago.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use super::super::ablation::Mechanism;
use super::super::job::Job;
use super::super::loads::{Aged, UpstreamObservation};
use super::super::policy::engine;
use super::super::policy::pace::PaceMeter;
use super::super::policy::speed::{self, AnswerTimes, Baseline, LearnedSpeed, Speed};
use super::super::view::View;
use super::super::worker::{LoggedSpeed, Worker};
use super::Traffic;

/// How long after an upstream's last report of its slowness the upstreams of its service count as
/// uneven.
const UNEVEN_TTL_MS: u64 = 10_000;
/// Maximum age of a reported slowness that counts: it changes many times a second, but stays high
/// or low for some hundred milliseconds.
const SLOWNESS_TTL_MS: u64 = 400;
/// Minimum number of tokens of a prompt whose reading is timed: below it, the time is mostly that
/// of the round trip.
const MIN_TIMED_TOKENS: u64 = 500;
/// Speed below which an upstream counts as slow in the metrics.
const SLOW_SPEED: f64 = 0.75;
/// How many times larger or smaller the speed of an upstream has to become to be logged.
const LOGGED_SPEED_RATIO: f64 = 1.25;
/// Minimum interval between two collections of the speeds that peers receive. Peers keep them for
/// seconds, and a speed changes little in half a second.
const SHARE_INTERVAL_MS: u64 = 500;
/// Minimum interval between two log records about the speed of one upstream.
const SPEED_LOG_INTERVAL_MS: u64 = 1_000;

/// What the traffic thread knows of the speeds of all upstreams together.
#[derive(Debug, Default)]
pub(super) struct Speeds {
    services: RefCell<BTreeMap<Arc<str>, UnevenService>>,
    /// Times of answers, by route.
    answer_times: RefCell<BTreeMap<Arc<str>, AnswerTimes>>,
    /// The speeds that peers receive, by upstream.
    shared: RefCell<Vec<(Arc<str>, LearnedSpeed)>>,
    shared_ms: Cell<u64>,
}

/// A service whose upstreams report their slowness.
#[derive(Debug, Clone, Copy, Default)]
struct UnevenService {
    reported_ms: u64,
    baseline: Baseline,
}

/// Times how long an engine takes to read a prompt.
#[derive(Debug)]
pub struct ReadingTimer {
    sent_ms: u64,
    /// Tokens of the prompt, and of those that are read before it.
    tokens: u64,
    slowness: Option<f64>,
}

/// Times how long an upstream takes to answer a call.
#[derive(Debug)]
pub struct AnswerTimer {
    sent_ms: u64,
    /// How many rounds of work the upstream needs until the answer.
    rounds: f64,
}

impl AnswerTimer {
    /// The time since the call was sent, for each round of work.
    fn round_ms(&self, now_ms: u64) -> f64 {
        now_ms.saturating_sub(self.sent_ms).max(1) as f64 / self.rounds
    }
}

impl Traffic {
    /// Whether upstreams of a service reported their slowness a moment ago.
    pub fn is_uneven(&self, service: &str) -> bool {
        let services = self.speeds.services.borrow();
        let is_recent = |known: &UnevenService| known.reported_ms + UNEVEN_TTL_MS > self.now_ms();
        services.get(service).is_some_and(is_recent)
    }

    /// Records that an upstream of a service reported its slowness.
    pub(super) fn note_uneven(&self, service: &Arc<str>) {
        let mut services = self.speeds.services.borrow_mut();
        services.entry(Arc::clone(service)).or_default().reported_ms = self.now_ms();
    }

    /// Speed of an upstream relative to the others of its service.
    pub(super) fn speed(&self, worker: &Worker, view: &View, now_ms: u64) -> Speed {
        let service = &worker.upstream.service;
        if !self.is_uneven(service) {
            return Speed::USUAL;
        }
        let baseline = self.speeds.services.borrow().get(service).map(|known| known.baseline);
        let slowness = reported_slowness(worker, view, now_ms);
        baseline.unwrap_or_default().speed(&learned_speed(worker, view, now_ms), slowness)
    }

    /// Starts to time a prompt that is sent to an engine with this load, which includes the prompt.
    pub fn time_reading(&self, worker: &Worker, load: &engine::Load) -> Option<ReadingTimer> {
        let tokens = load.pending_tokens;
        let has_slot = load.slots.is_none_or(|slots| load.runs <= f64::from(slots));
        let is_timed = has_slot && tokens >= MIN_TIMED_TOKENS;
        (is_timed && self.is_uneven(&worker.upstream.service)).then(|| {
            let sent_ms = self.now_ms();
            let slowness = self.slowness(worker);
            ReadingTimer { sent_ms, tokens, slowness }
        })
    }

    /// Records that the first event came for a prompt.
    pub fn note_reading(&self, worker: &Worker, timer: &ReadingTimer) {
        let now_ms = self.now_ms();
        let took_ms = now_ms.saturating_sub(timer.sent_ms).max(1);
        let tokens_per_ms = timer.tokens as f64 / took_ms as f64;
        // The geometric mean of the slowness at the begin and at the end.
        let slowness = timer.slowness.zip(self.slowness(worker));
        let slowness = slowness.map(|(begin, end)| (begin * end).sqrt());
        worker.speed.borrow_mut().note_reading(tokens_per_ms, slowness, now_ms);
    }

    /// Records that events of a run arrived.
    pub fn note_events(&self, worker: &Worker, meter: &mut PaceMeter, events: usize) {
        if !self.is_uneven(&worker.upstream.service) {
            return;
        }
        let now_ms = self.now_ms();
        let is_reading = self.prefills_at(worker) > 0;
        let slowness = worker.speed.borrow().slowness(self.slowness(worker));
        let pace = meter.note(events as u64, is_reading, slowness, now_ms);
        if let Some(events_per_s) = pace {
            worker.speed.borrow_mut().note_running(events_per_s, now_ms);
        }
    }

    /// Records the last part of a complete run.
    pub fn note_run_end(&self, worker: &Worker, mut meter: PaceMeter) {
        if let Some(events_per_s) = meter.finish() {
            worker.speed.borrow_mut().note_running(events_per_s, self.now_ms());
        }
    }

    /// Starts to time a call that is about to be sent.
    pub fn time_answer(&self, worker: &Worker) -> Option<AnswerTimer> {
        self.is_uneven(&worker.upstream.service).then(|| {
            let sent_ms = self.now_ms();
            // Slots count only while the load that they were reported with is fresh.
            let reported_runs = worker.told_others(sent_ms);
            let slots = reported_runs.and_then(|_| worker.told_slots());
            let runs = worker.runs.get() + self.runs_of_others(worker, reported_runs);
            AnswerTimer { sent_ms, rounds: speed::answer_rounds(runs, slots) }
        })
    }

    fn runs_of_others(&self, worker: &Worker, reported_runs: Option<u32>) -> u32 {
        reported_runs.filter(|_| Mechanism::ToldLoads.is_on()).unwrap_or_else(|| {
            self.shared.view.load().others.get(&worker.upstream.id).map_or(0, |held| held.runs)
        })
    }

    /// Records that a call was answered.
    pub fn note_answer(&self, job: &Job, worker: &Worker, timer: &AnswerTimer) {
        let now_ms = self.now_ms();
        let mut answer_times = self.speeds.answer_times.borrow_mut();
        let usual = answer_times.entry(Arc::clone(&job.route.name)).or_default();
        let ratio = usual.note_answer(timer.round_ms(now_ms));
        worker.speed.borrow_mut().note_answer(ratio, self.slowness(worker), now_ms);
    }

    /// Records that the deadline of a call passed before its answer came.
    pub fn note_answer_timeout(&self, job: &Job, worker: &Worker, timer: &AnswerTimer) {
        let now_ms = self.now_ms();
        let answer_times = self.speeds.answer_times.borrow();
        let usual = answer_times.get(&job.route.name);
        if let Some(ratio) = usual.and_then(|usual| usual.timeout_ratio(timer.round_ms(now_ms))) {
            worker.speed.borrow_mut().note_answer(ratio, self.slowness(worker), now_ms);
        }
    }

    /// Adds the speeds that this instance learned to what peers receive. An update replaces the one
    /// before, so each contains them.
    pub(super) fn add_own_speeds(&self, observations: &mut Vec<UpstreamObservation>) {
        let shared = self.speeds.shared.borrow();
        if shared.is_empty() {
            return;
        }
        let age_ms = self.now_ms().saturating_sub(self.speeds.shared_ms.get());
        let known = observations.iter().enumerate();
        let indices: HashMap<Arc<str>, usize> =
            known.map(|(index, known)| (Arc::clone(&known.upstream), index)).collect();
        for (id, learned) in shared.iter() {
            let speed = Some(Aged { value: learned.aged(age_ms), age_ms });
            match indices.get(id) {
                Some(index) => observations[*index].speed = speed,
                None => {
                    let empty = UpstreamObservation::empty(Arc::clone(id));
                    observations.push(UpstreamObservation { speed, ..empty });
                }
            }
        }
    }

    /// Collects the speeds that peers receive, if that is due.
    fn collect_shared_speeds(&self, now_ms: u64) {
        if now_ms < self.speeds.shared_ms.get() + SHARE_INTERVAL_MS {
            return;
        }
        self.speeds.shared_ms.set(now_ms);
        let mut shared = self.speeds.shared.borrow_mut();
        shared.clear();
        if self.speeds.services.borrow().is_empty() {
            return;
        }
        let workers = self.workers.borrow();
        let uneven = workers.values().filter(|worker| self.is_uneven(&worker.upstream.service));
        let learned = uneven
            .map(|worker| (Arc::clone(&worker.upstream.id), worker.speed.borrow().learned(now_ms)));
        shared.extend(learned.filter(|(_, learned)| learned.is_worth_sharing()));
    }

    /// Takes in what peers observed, and compares the upstreams of each uneven service anew.
    pub(super) fn refresh_speeds(&self, view: &View) {
        self.note_reports_of_peers(view);
        let mut slow = 0;
        let now_ms = self.now_ms();
        let services: Vec<Arc<str>> = self.speeds.services.borrow().keys().cloned().collect();
        for service in services {
            if !self.is_uneven(&service) {
                self.speeds.services.borrow_mut().remove(&service);
                continue;
            }
            let workers = self.workers.borrow();
            let workers = workers.values().filter(|worker| worker.upstream.service == service);
            let learned: Vec<(&Rc<Worker>, LearnedSpeed)> =
                workers.map(|worker| (worker, learned_speed(worker, view, now_ms))).collect();
            let all: Vec<LearnedSpeed> = learned.iter().map(|(_, learned)| *learned).collect();
            let baseline = Baseline::of(&all);
            if let Some(known) = self.speeds.services.borrow_mut().get_mut(&service) {
                known.baseline = baseline;
            }
            for (worker, learned) in learned {
                let speed = baseline.speed(&learned, None).min();
                slow += u64::from(speed < SLOW_SPEED);
                self.log_speed(worker, speed, now_ms);
            }
        }
        self.metrics.gauge("upstreams_slow", slow);
        self.collect_shared_speeds(now_ms);
    }

    fn note_reports_of_peers(&self, view: &View) {
        let workers = self.workers.borrow();
        for observation in view.observations.values() {
            let reported = observation.reported;
            let has_slowness = reported.is_some_and(|load| load.value.slowness_percent.is_some());
            if let Some(worker) = workers.get(&observation.upstream).filter(|_| has_slowness) {
                self.note_uneven(&worker.upstream.service);
            }
        }
    }

    fn log_speed(&self, worker: &Worker, speed: f64, now_ms: u64) {
        let logged = worker.logged_speed.get();
        let ratio = speed / logged.speed;
        let is_changed = ratio.max(1.0 / ratio) > LOGGED_SPEED_RATIO;
        if is_changed && now_ms >= logged.at_ms + SPEED_LOG_INTERVAL_MS {
            worker.logged_speed.set(LoggedSpeed { speed, at_ms: now_ms });
            slog::info!(self.log, "upstream changed its speed";
                "upstream" => &*worker.upstream.id, "service" => &*worker.upstream.service,
                "speed" => speed, "before" => logged.speed);
        }
    }

    fn slowness(&self, worker: &Worker) -> Option<f64> {
        reported_slowness(worker, &self.shared.view.load(), self.now_ms())
    }
}

/// What this instance and its peers learned of an upstream's speed.
fn learned_speed(worker: &Worker, view: &View, now_ms: u64) -> LearnedSpeed {
    let mut learned = worker.speed.borrow().learned(now_ms);
    let observation = view.observations.get(&worker.upstream.id);
    if let Some(speed) = observation.and_then(|observation| observation.speed) {
        learned.merge(&speed.value);
    }
    learned
}

/// The slowness that an upstream reported last, here or to a peer; 1 is usual.
fn reported_slowness(worker: &Worker, view: &View, now_ms: u64) -> Option<f64> {
    let observation = view.observations.get(&worker.upstream.id);
    let by_peer = observation.and_then(|observation| observation.reported).and_then(|load| {
        let value = load.value.slowness_percent?;
        Some(Aged { value, age_ms: load.age_ms })
    });
    let reports = [worker.told_slowness_percent(now_ms), by_peer].into_iter().flatten();
    let newest = reports.min_by_key(|report| report.age_ms)?;
    (newest.age_ms < SLOWNESS_TTL_MS).then_some(f64::from(newest.value) / 100.0)
}
