//! What the traffic thread keeps: its upstreams, its budgets, its counters.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use tokio::sync::watch;

use super::budget::{Bound, Budget};
use super::dialect::Dialect;
use super::fleet::Fleet;
use super::metrics::Metrics;
use super::placement::{self, Candidate, Wish};
use super::settings::Settings;
use super::view::{Own, Shared, View};
use super::worker::Worker;
use crate::clock::Clock;

/// Channels that each instance may keep beyond an even part, since load is never even.
const CHANNEL_SLACK: u32 = 2;
/// How long an engine's state may take to arrive: it needs no slot, so it comes in a round trip,
/// and a resumption has to fit into the rest of the allowed pause.
const STATE_TIMEOUT_MS: u64 = 130;
/// How long peers are told of an upstream that was found silent.
const TELL_SILENT_MS: u64 = 1_000;

/// The state of the traffic thread.
pub struct Traffic {
    /// The settings.
    pub settings: Settings,
    /// The wire.
    pub dialect: Arc<dyn Dialect>,
    /// What the control thread publishes.
    pub shared: Arc<Shared>,
    /// The clock.
    pub clock: Clock,
    /// The log.
    pub log: slog::Logger,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Requests whose answers are not complete.
    pub open: Cell<usize>,
    fleet: RefCell<Arc<Fleet>>,
    workers: RefCell<BTreeMap<Arc<str>, Rc<Worker>>>,
    budgets: RefCell<BTreeMap<Arc<str>, Budget>>,
    probes: RefCell<BTreeMap<Arc<str>, watch::Receiver<Option<bool>>>>,
    silent: RefCell<BTreeMap<Arc<str>, u64>>,
}

impl Traffic {
    /// A thread that has served nothing yet.
    pub fn new(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        shared: Arc<Shared>,
        clock: Clock,
        log: slog::Logger,
        metrics: Arc<Metrics>,
    ) -> Rc<Traffic> {
        Rc::new(Traffic {
            settings,
            dialect,
            shared,
            clock,
            log,
            metrics,
            open: Cell::new(0),
            fleet: RefCell::default(),
            workers: RefCell::default(),
            budgets: RefCell::default(),
            probes: RefCell::default(),
            silent: RefCell::default(),
        })
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// The newest picture; the upstreams follow it.
    pub fn view(&self) -> Arc<View> {
        let view = self.shared.view.load_full();
        if !Arc::ptr_eq(&view.fleet, &self.fleet.borrow()) {
            self.follow(&view.fleet);
        }
        view
    }

    fn follow(&self, fleet: &Arc<Fleet>) {
        let mut workers = self.workers.borrow_mut();
        workers.retain(|id, _| fleet.upstreams.contains_key(id));
        for (id, upstream) in &fleet.upstreams {
            let is_same = workers.get(id).is_some_and(|worker| {
                worker.upstream.addr == upstream.addr
                    && worker.upstream.is_leaving == upstream.is_leaving
            });
            if !is_same {
                workers.insert(Arc::clone(id), Worker::new(upstream.clone()));
            }
        }
        *self.fleet.borrow_mut() = Arc::clone(fleet);
    }

    /// The upstream with an id, if it is there.
    pub fn worker(&self, id: &str) -> Option<Rc<Worker>> {
        self.workers.borrow().get(id).map(Rc::clone)
    }

    /// Whether an upstream may get work.
    pub fn takes_work(&self, id: &str) -> bool {
        self.view();
        self.worker(id).is_some_and(|worker| !worker.upstream.is_leaving)
    }

    /// The best upstream of a service for a request.
    pub fn choose(&self, service: &str, wish: &Wish) -> Option<Rc<Worker>> {
        let view = self.view();
        let now_ms = self.now_ms();
        let workers = self.workers.borrow();
        let fitting: Vec<&Rc<Worker>> = workers
            .values()
            .filter(|worker| *worker.upstream.service == *service && !worker.upstream.is_leaving)
            .collect();
        let candidates: Vec<Candidate> =
            fitting.iter().map(|worker| candidate(worker, &view, now_ms)).collect();
        let index = placement::choose(&candidates, wish, &mut fastrand::Rng::new())?;
        Some(Rc::clone(fitting[index]))
    }

    /// How many channels this instance may have open to one upstream of a service.
    pub fn channel_share(&self, service: &str) -> u32 {
        let view = self.shared.view.load();
        let all = view.config.as_ref().and_then(|config| config.services.get(service));
        let all = all.map_or(u32::MAX, |service| service.max_channels);
        // One in ten stays free: others may know of more or fewer instances.
        (all - all / 10) / view.instances.max(1) + CHANNEL_SLACK
    }

    /// Counts a request to a service.
    pub fn note_request(&self, service: &Arc<str>) {
        let bound = self.bound();
        let now_ms = self.now_ms();
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(Arc::clone(service)).or_default().request(bound, now_ms);
    }

    /// Takes one repeat to a service, if the bound allows it.
    pub fn may_repeat(&self, service: &Arc<str>) -> bool {
        let bound = self.bound();
        let now_ms = self.now_ms();
        let mut budgets = self.budgets.borrow_mut();
        budgets.entry(Arc::clone(service)).or_default().repeat(bound, now_ms)
    }

    fn bound(&self) -> Bound {
        Bound {
            ratio: self.settings.repeat_ratio,
            slack: self.settings.repeat_slack,
            window_ms: self.settings.repeat_window_ms,
            instances: self.shared.view.load().instances,
        }
    }

    /// Asks an engine for its state, to learn whether it lives; one question at a time serves all.
    pub async fn lives(self: &Rc<Traffic>, worker: &Rc<Worker>) -> bool {
        let id = Arc::clone(&worker.upstream.id);
        let running = self.probes.borrow().get(&id).cloned();
        let mut answer = running.unwrap_or_else(|| self.start_probe(worker));
        let answered = answer.wait_for(Option::is_some).await;
        answered.is_ok_and(|answer| *answer == Some(true))
    }

    fn start_probe(self: &Rc<Traffic>, worker: &Rc<Worker>) -> watch::Receiver<Option<bool>> {
        let (tell, answer) = watch::channel(None);
        let id = Arc::clone(&worker.upstream.id);
        self.probes.borrow_mut().insert(Arc::clone(&id), answer.clone());
        let traffic = Rc::clone(self);
        let worker = Rc::clone(worker);
        tokio::task::spawn_local(async move {
            let limit = std::time::Duration::from_millis(STATE_TIMEOUT_MS);
            let asked = tokio::time::timeout(limit, traffic.ask_state(&worker)).await;
            let lives = asked.unwrap_or(false);
            traffic.probes.borrow_mut().remove(&id);
            if !lives {
                traffic.fell_silent(&worker);
            }
            slog::info!(traffic.log, "engine asked whether it lives"; "upstream" => &*id, "lives" => lives);
            tell.send_replace(Some(lives));
        });
        answer
    }

    async fn ask_state(&self, worker: &Rc<Worker>) -> bool {
        let most = self.channel_share(&worker.upstream.service);
        let Ok(mut lease) = worker.lease(most, self.now_ms()).await else { return false };
        let request = Request::get(self.dialect.state_path())
            .header(HOST, worker.upstream.addr.to_string())
            .body(Full::default());
        let Ok(request) = request else { return false };
        let Ok(response) = lease.channel.send(request).await else { return false };
        let keep_ms = self.dialect.marks(response.headers()).keep_ms;
        let is_whole = http_body_util::BodyExt::collect(response.into_body()).await.is_ok();
        if is_whole {
            worker.give_back(lease, keep_ms, self.now_ms());
        }
        true
    }

    /// Notes that an upstream is silent, and tells peers.
    pub fn fell_silent(&self, worker: &Worker) {
        let now_ms = self.now_ms();
        worker.fell_silent(now_ms);
        let id = Arc::clone(&worker.upstream.id);
        self.silent.borrow_mut().insert(id, now_ms + TELL_SILENT_MS);
        slog::warn!(self.log, "upstream is silent";
            "upstream" => &*worker.upstream.id, "domain" => &*worker.upstream.domain);
    }

    /// Closes what was idle too long and tells the control thread what runs where.
    pub fn sweep(self: &Rc<Traffic>) {
        let view = self.view();
        let now_ms = self.now_ms();
        let mut own = Own::default();
        self.silent.borrow_mut().retain(|_, until_ms| *until_ms > now_ms);
        own.silent.extend(self.silent.borrow().keys().cloned());
        for worker in self.workers.borrow().values() {
            worker.sweep(now_ms);
            let (runs, copies) = (worker.runs.get(), worker.copies.get());
            if runs + copies > 0 {
                let upstream = Arc::clone(&worker.upstream.id);
                own.held.push(super::peers::Held { upstream, runs, copies });
            }
        }
        self.shared.set_own(own);
        self.check_what_others_suspect(&view, now_ms);
    }

    /// Asks upstreams that others found silent and that have work of ours.
    fn check_what_others_suspect(self: &Rc<Traffic>, view: &View, now_ms: u64) {
        for id in view.silent.iter() {
            let Some(worker) = self.worker(id) else { continue };
            let is_new = !worker.is_silent(now_ms) && worker.runs.get() > 0;
            if is_new && !self.probes.borrow().contains_key(id) {
                self.start_probe(&worker);
            }
        }
    }
}

fn candidate(worker: &Worker, view: &View, now_ms: u64) -> Candidate {
    let others = view.others.get(&worker.upstream.id);
    let others_run = match worker.told_others(now_ms) {
        Some(told) => told,
        None => others.map_or(0, |held| held.runs),
    };
    let copies = worker.copies.get() + others.map_or(0, |held| held.copies);
    Candidate {
        id: Arc::clone(&worker.upstream.id),
        domain: Arc::clone(&worker.upstream.domain),
        runs: f64::from(worker.runs.get() + others_run),
        copies: f64::from(copies),
        reading: f64::from(worker.reading.get()),
        failing: worker.failing(now_ms),
        is_suspect: worker.is_suspect(now_ms) || view.silent.contains(&worker.upstream.id),
    }
}
