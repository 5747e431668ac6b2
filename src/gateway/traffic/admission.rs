//! Admission queues of this instance: requests wait here until the engines of their service have
//! room for them.
//!
//! The decisions are in [`policy::admission`](super::super::policy::admission) and
//! [`policy::room`](super::super::policy::room). This module keeps the queues, feeds them what is
//! known of engines and other instances, and reserves the places that requests get. See
//! [docs/design/admission.md](../../../../docs/design/admission.md).

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;

use super::super::ablation::Mechanism;
use super::super::job::Job;
use super::super::loads::{self, ServedTokens, ServiceQueue, WaitingEntry};
use super::super::policy::admission::order::{InService, WaitingRequest};
use super::super::policy::admission::queue::{AdmissionQueue, Bounds, Entry, Others, Ticket};
use super::super::policy::admission::refusal::{self, Capacity, Decision, Due, RunDuration};
use super::super::policy::engine::Need;
use super::super::policy::room::{self, EngineRoom, PlaceSize};
use super::super::policy::stream_versions::Binding;
use super::super::view::View;
use super::super::worker::{Count, What, Worker};
use super::Traffic;

/// How often a queue with waiting requests looks for free places: a small part of the time that an
/// engine takes to read a prompt.
const CHECK_INTERVAL_MS: u64 = 20;
/// Time after which nearly all other instances know of a waiting request.
const ANNOUNCE_MS: u64 = 3 * loads::DIGEST_INTERVAL_MS;
/// Bounds of a queue. Requests beyond them would wait longer than callers do.
const BOUNDS: Bounds = Bounds { requests: 256, bytes: 8 << 20 };
/// Maximum number of waiting requests that peers are told of at once, for each service.
const MAX_REPORTED: usize = 100;
/// Time over which an engine's reading is averaged: a few prompts.
const READING_WINDOW_MS: f64 = 3_000.0;
/// Median time to the first event, as a fraction of the observed times.
const MEDIAN: f64 = 0.5;

/// The admission queues, by service.
pub(super) type Queues = RefCell<BTreeMap<Arc<str>, Queue>>;

/// What this instance has waiting and in service at one service.
#[derive(Debug)]
pub(super) struct Queue {
    /// Its places are the ids of engines.
    pub(super) waiting: AdmissionQueue<Waiter, Arc<str>>,
    served: Vec<ServedTokens>,
    /// How long runs take, once one has ended here.
    pub(super) run_duration: Option<RunDuration>,
    /// Whether a task looks for free places.
    is_checked: bool,
}

impl Default for Queue {
    fn default() -> Queue {
        Queue {
            waiting: AdmissionQueue::new(BOUNDS),
            served: Vec::new(),
            run_duration: None,
            is_checked: false,
        }
    }
}

/// The owner of a waiting request.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) verdict: oneshot::Sender<Verdict>,
    need: Need,
    until_ms: u64,
    /// Engines that must not run it.
    pub(super) excluded: Vec<Arc<str>>,
    /// The software version that it may go on at.
    pub(super) binding: Binding,
}

/// What became of a waiting request.
#[derive(Debug)]
pub enum Verdict {
    /// It may be sent to an engine, where its room is reserved.
    Admitted(Reservation),
    /// It goes to an engine without a reserved place: the queue doesn't apply to it any more.
    Bypassed,
    /// It can't be served in time.
    Refused {
        /// When its caller should come back.
        retry_after_ms: u64,
    },
}

/// Room for a request at an engine, reserved until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    /// The engine.
    pub worker: Rc<Worker>,
    /// Reserves its memory.
    pub run: Count,
    /// Counts its prompt as unread.
    pub prefill: Count,
}

/// Counts a run's tokens as in service for its class and organisation, until it is dropped.
pub struct ServedGuard {
    traffic: Rc<Traffic>,
    service: Arc<str>,
    served: ServedTokens,
}

impl Drop for ServedGuard {
    fn drop(&mut self) {
        let mut queues = self.traffic.queues.borrow_mut();
        let Some(queue) = queues.get_mut(&self.service) else { return };
        let is_same = |known: &&mut ServedTokens| {
            known.class == self.served.class && known.organisation == self.served.organisation
        };
        if let Some(known) = queue.served.iter_mut().find(is_same) {
            known.tokens = known.tokens.saturating_sub(self.served.tokens);
        }
        queue.served.retain(|known| known.tokens > 0);
    }
}

/// A request in an admission queue; leaves it when dropped.
pub struct QueuedRequest {
    traffic: Rc<Traffic>,
    service: Arc<str>,
    ticket: Ticket,
    /// Completes with what became of it.
    pub verdict: oneshot::Receiver<Verdict>,
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        let mut queues = self.traffic.queues.borrow_mut();
        let left =
            queues.get_mut(&self.service).and_then(|queue| queue.waiting.remove(self.ticket));
        drop(queues);
        if left.is_some() {
            self.traffic.notify_peers();
        }
    }
}

impl Traffic {
    /// Whether requests to a service wait for room: its engines' memory is configured, and streams
    /// of different priority compete for it.
    pub fn has_admission_queue(&self, service: &str) -> bool {
        let view = self.shared.view.load();
        let Some(config) = &view.config else { return false };
        // Of a large service an instance knows only a part of the engines, and ranks are over all.
        let is_whole = !view.large.contains(service);
        Mechanism::Admission.is_on() && is_whole && config.has_competing_streams(service)
    }

    /// Queues a request, and admits it at once if there is room for it.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller should come back, if the request is refused.
    pub fn queue_request(
        self: &Rc<Traffic>,
        job: &Job,
        excluded: &[Arc<str>],
        binding: &Binding,
        is_resumed: bool,
    ) -> Result<QueuedRequest, u64> {
        self.check_open(job, excluded, is_resumed)?;
        let now_ms = self.now_ms();
        let need = self.need(job);
        let request = WaitingRequest {
            id: fastrand::u64(..),
            class: job.class(),
            organisation: job.organisation.clone(),
            since_ms: job.since_ms,
            objective_ms: job.route.target_latency_ms,
            read_ms: self.read_ms(job, need),
            need_tokens: need.memory_tokens(),
            returned: false,
            resumed: is_resumed,
        };
        let (verdict_tx, verdict) = oneshot::channel();
        let excluded = excluded.to_vec();
        let waiter = Waiter {
            verdict: verdict_tx,
            need,
            until_ms: job.until_ms,
            excluded,
            binding: binding.clone(),
        };
        let service = Arc::clone(&job.service);
        let view = self.view();
        let in_service = self.in_service(&view, &service);
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(Arc::clone(&service)).or_default();
        let pushed = queue.waiting.push(request, job.body.len(), waiter, &in_service, now_ms);
        let queued = match pushed {
            Ok(queued) => queued,
            Err(_) => {
                let waiting = queue.waiting.len();
                return Err(retry_after_full_queue(waiting, job.left_ms(now_ms)));
            }
        };
        let must_check = !std::mem::replace(&mut queue.is_checked, true);
        drop(queues);
        queued.evicted.into_iter().for_each(|entry| evict(entry, now_ms));
        let request =
            QueuedRequest { traffic: Rc::clone(self), service, ticket: queued.ticket, verdict };
        self.update_queue(&job.service);
        if must_check {
            tokio::task::spawn_local(Rc::clone(self).check_queue(Arc::clone(&job.service)));
        }
        self.notify_peers();
        Ok(request)
    }

    /// Counts a run's tokens as in service.
    pub fn count_served(self: &Rc<Traffic>, job: &Job) -> ServedGuard {
        let served = ServedTokens {
            class: job.class(),
            organisation: job.organisation.clone(),
            tokens: self.need(job).memory_tokens(),
        };
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(Arc::clone(&job.service)).or_default();
        loads::add_served(&mut queue.served, &served);
        ServedGuard { traffic: Rc::clone(self), service: Arc::clone(&job.service), served }
    }

    /// Records how long a run took from its admission to the end of its response.
    pub fn note_run_duration(&self, service: &str, duration_ms: u64) {
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get_mut(service) else { return };
        match &mut queue.run_duration {
            Some(known) => known.note_run(duration_ms),
            unknown => *unknown = Some(RunDuration::of_first_run(duration_ms)),
        }
    }

    /// The admission queues, as peers are told of them.
    pub(super) fn reported_queues(&self) -> Vec<ServiceQueue> {
        let now_ms = self.now_ms();
        let queues = self.queues.borrow();
        let busy = queues
            .iter()
            .filter(|(_, queue)| !queue.waiting.is_empty() || !queue.served.is_empty());
        let reported = |(service, queue): (&Arc<str>, &Queue)| {
            let requests = queue.waiting.entries();
            let waiting = requests.map(|request| WaitingEntry::new(request, now_ms)).collect();
            ServiceQueue {
                service: Arc::clone(service),
                waiting: loads::most_urgent(waiting, MAX_REPORTED),
                in_service: queue.served.clone(),
            }
        };
        busy.map(reported).collect()
    }

    /// Looks for free places as long as requests wait.
    async fn check_queue(self: Rc<Traffic>, service: Arc<str>) {
        loop {
            tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            self.update_queue(&service);
            let mut queues = self.queues.borrow_mut();
            let Some(queue) = queues.get_mut(&service) else { return };
            if queue.waiting.is_empty() {
                queue.is_checked = false;
                return;
            }
        }
    }

    /// Admits the waiting requests that have a free place, and refuses those that can't be completed
    /// in time.
    fn update_queue(&self, service: &Arc<str>) {
        let now_ms = self.now_ms();
        let view = self.view();
        let (workers, engines) = self.engine_rooms(service, &view, now_ms);
        if engines.is_empty() || !self.has_admission_queue(service) {
            return self.bypass_waiting(service);
        }
        let places = self.places(service, &view, &engines);
        let in_service = self.in_service(&view, service);
        let others = self.others(service, &view, &in_service);
        let has_admitted = self.admit_waiting(service, &workers, &places, &others, now_ms);
        let free = places.len().saturating_sub(has_admitted);
        let has_refused = self.refuse_hopeless(service, &engines, free, &others, now_ms);
        if has_admitted > 0 || has_refused {
            self.notify_peers();
        }
    }

    /// Lets all waiting requests go on without the queue, which doesn't apply any more.
    fn bypass_waiting(&self, service: &str) {
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get_mut(service) else { return };
        for entry in queue.waiting.drain() {
            // Its owner may have left.
            let _ = entry.item.verdict.send(Verdict::Bypassed);
        }
    }

    /// Admits the waiting requests that have a free place, and reserves it for them. Returns their
    /// number.
    fn admit_waiting(
        &self,
        service: &Arc<str>,
        workers: &[Rc<Worker>],
        places: &[Arc<str>],
        others: &Others<'_>,
        now_ms: u64,
    ) -> usize {
        let admitted = {
            let mut queues = self.queues.borrow_mut();
            let Some(queue) = queues.get_mut(service) else { return 0 };
            queue.waiting.admit(places, others, now_ms, &mut fastrand::Rng::new())
        };
        let count = admitted.len();
        let mut spare = places.to_vec();
        for admitted in &admitted {
            take(&mut spare, &admitted.place);
        }
        for admitted in admitted {
            let Entry { request, item, .. } = admitted.entry;
            let named = |id: &Arc<str>| workers.iter().find(|worker| worker.upstream.id == *id);
            let is_usable = |worker: &&Rc<Worker>| {
                !item.excluded.contains(&worker.upstream.id)
                    && item.binding.allows(&worker.version())
            };
            let mut offered = std::iter::once(&admitted.place).chain(&spare).filter_map(named);
            let Some(worker) = offered.find(is_usable) else {
                // Its owner may have left.
                let _ = item.verdict.send(Verdict::Bypassed);
                continue;
            };
            take(&mut spare, &worker.upstream.id);
            slog::info!(self.log, "admitted"; "service" => &**service, "class" => request.class,
                "upstream" => &*worker.upstream.id, "places" => places.len(),
                "waited_ms" => now_ms.saturating_sub(request.since_ms));
            self.metrics.count("requests_admitted");
            let reservation = Reservation {
                worker: Rc::clone(worker),
                run: worker.count(What::Run, item.need.memory_tokens()),
                prefill: worker.count(What::Reading, item.need.prompt_tokens),
            };
            // An owner that has left drops the reservation.
            let _ = item.verdict.send(Verdict::Admitted(reservation));
        }
        count
    }

    /// Refuses the waiting requests that can't be completed before their deadline; returns whether
    /// there were any. Nobody is refused before it is known how long runs take.
    fn refuse_hopeless(
        &self,
        service: &str,
        engines: &[EngineRoom],
        places: usize,
        others: &Others<'_>,
        now_ms: u64,
    ) -> bool {
        let mut queues = self.queues.borrow_mut();
        let Some(queue) = queues.get_mut(service) else { return false };
        let Some(run_duration) = queue.run_duration else { return false };
        let runs: u64 = engines.iter().map(|engine| engine.runs).sum();
        // Free places are about to be taken, so their runs count as well.
        let drain_per_s = run_duration.drain_per_s(runs as usize + places);
        let capacity = Capacity { places, drain_per_s };
        let mut has_refused = false;
        for position in queue.waiting.positions(others, &capacity, now_ms) {
            let Some(entry) = queue.waiting.get(position.ticket) else { continue };
            let Some(due) = due(entry, run_duration) else { continue };
            let random = &mut fastrand::Rng::new();
            let decision = refusal::decide(position.rank, &capacity, &due, now_ms, random);
            let Decision::Refuse { retry_after_ms } = decision else { continue };
            let Some(entry) = queue.waiting.remove(position.ticket) else { continue };
            has_refused = true;
            // Its owner may have left.
            let _ = entry.item.verdict.send(Verdict::Refused { retry_after_ms });
        }
        has_refused
    }

    /// Chooses the engine for the copy of a run, among those that have room for it.
    pub fn choose_copy_place(
        &self,
        job: &Job,
        apart_from: &str,
        excluded: &[Arc<str>],
        binding: &Binding,
    ) -> Option<Rc<Worker>> {
        let service = &*job.service;
        let need = self.need(job);
        let view = self.view();
        let (workers, engines) = self.engine_rooms(service, &view, self.now_ms());
        let size = PlaceSize::typical(&engines, need.memory_tokens());
        let is_most_urgent = view
            .config
            .as_ref()
            .and_then(|config| config.most_urgent_stream(service))
            .is_some_and(|priority| job.route.priority <= priority);
        // The most urgent runs are few, and get their copies before the others.
        let competing =
            if is_most_urgent { 1 } else { self.missing_copies(service, &view, &engines) };
        let unfit = workers.iter().filter(|worker| !binding.allows(&worker.version()));
        let unfit = unfit.map(|worker| Arc::clone(&worker.upstream.id));
        let excluded: Vec<Arc<str>> = excluded.iter().cloned().chain(unfit).collect();
        let index = room::copy_engine(
            &engines,
            size,
            competing,
            apart_from,
            &excluded,
            &mut fastrand::Rng::new(),
        )?;
        Some(Rc::clone(&workers[index]))
    }

    /// Updates how much of the last seconds each engine has spent reading prompts.
    pub(super) fn sample_reading(&self, elapsed_ms: u64) {
        let weight = (elapsed_ms as f64 / READING_WINDOW_MS).min(1.0);
        let view = self.shared.view.load();
        let Some(config) = &view.config else { return };
        let services = config.services.keys().filter(|name| self.has_admission_queue(name));
        let services: Vec<&Arc<str>> = services.collect();
        let workers = self.workers.borrow();
        let is_of_these = |worker: &&Rc<Worker>| services.contains(&&worker.upstream.service);
        for worker in workers.values().filter(is_of_these) {
            let is_reading = if self.prefills_at(worker) > 0 { 1.0 } else { 0.0 };
            let before = worker.reading_share.get();
            worker.reading_share.set(before + weight * (is_reading - before));
        }
    }

    /// Whether a service has an engine that can be used and isn't excluded, so that waiting for room
    /// is of use.
    pub fn has_usable_engine(
        &self,
        service: &str,
        excluded: &[Arc<str>],
        binding: &Binding,
    ) -> bool {
        let view = self.view();
        let (workers, _) = self.engine_rooms(service, &view, self.now_ms());
        workers.iter().any(|worker| {
            !excluded.contains(&worker.upstream.id) && binding.allows(&worker.version())
        })
    }

    /// The free places for the requests that wait here; none if no request does.
    pub(super) fn places(&self, name: &str, view: &View, engines: &[EngineRoom]) -> Vec<Arc<str>> {
        let service = view.config.as_ref().and_then(|config| config.services.get(name));
        let engine = service.and_then(|service| service.engine.as_ref());
        let keeps_copies =
            engine.is_some_and(|engine| engine.can_copy) && Mechanism::Copies.is_on();
        let queues = self.queues.borrow();
        let mut waiting = queues.get(name).into_iter().flat_map(|queue| queue.waiting.entries());
        let Some(first) = waiting.next() else { return Vec::new() };
        let size = PlaceSize::typical(engines, first.need_tokens);
        // A copy lies in another failure domain than its run.
        let has_other_domain = engines.iter().any(|engine| engine.domain != engines[0].domain);
        let missing_copies =
            (keeps_copies && has_other_domain).then(|| self.missing_copies(name, view, engines));
        let places = room::places(engines, size, missing_copies);
        places.into_iter().map(|index| Arc::clone(&engines[index].id)).collect()
    }

    /// Number of runs without a copy. Runs at engines that are lost or suspected count, since they
    /// are about to resume, and copies there don't.
    fn missing_copies(&self, service: &str, view: &View, usable: &[EngineRoom]) -> u64 {
        let workers = self.workers.borrow();
        let of_service = workers.values().filter(|worker| *worker.upstream.service == *service);
        let runs = of_service.map(|worker| {
            let others = view.others.get(&worker.upstream.id).map_or(0, |load| load.runs);
            u64::from(worker.runs.get() + others)
        });
        let copies: u64 = usable.iter().map(|engine| engine.copies).sum();
        runs.sum::<u64>().saturating_sub(copies)
    }

    /// The engines of a service that can be used, with what runs there.
    pub(super) fn engine_rooms(
        &self,
        service: &str,
        view: &View,
        now_ms: u64,
    ) -> (Vec<Rc<Worker>>, Vec<EngineRoom>) {
        let config = view.config.as_ref().and_then(|config| config.services.get(service));
        let engine = config.and_then(|service| service.engine.as_ref());
        let Some(memory_tokens) = engine.and_then(|engine| engine.memory_tokens) else {
            return (Vec::new(), Vec::new());
        };
        let slots = engine.and_then(|engine| engine.slots);
        let workers = self.workers.borrow();
        let takes_work = |worker: &&Rc<Worker>| {
            *worker.upstream.service == *service
                && worker.takes_work()
                && !worker.is_throttled(now_ms)
                && !self.is_lost(worker, now_ms)
        };
        let alive: Vec<&Rc<Worker>> = workers.values().filter(takes_work).collect();
        let is_suspected = |worker: &Rc<Worker>| self.is_suspected(worker, now_ms);
        // Where all are suspected, the suspicion says nothing of any one of them.
        let are_all_suspected = alive.iter().all(|worker| is_suspected(worker));
        let usable = alive.into_iter().filter(|worker| are_all_suspected || !is_suspected(worker));
        let room = |worker: &Rc<Worker>| {
            let others = view.others.get(&worker.upstream.id);
            let sum = |own: u64, of_others: fn(&loads::UpstreamLoad) -> u64| {
                own + others.map_or(0, of_others)
            };
            let room = EngineRoom {
                id: Arc::clone(&worker.upstream.id),
                domain: Arc::clone(&worker.upstream.domain),
                memory_tokens,
                reserved_tokens: sum(worker.reserved_tokens.get(), |load| load.reserved_tokens),
                pending_tokens: sum(worker.pending_tokens.get(), |load| load.pending_tokens),
                reading_share: worker.reading_share.get(),
                runs: sum(u64::from(worker.runs.get()), |load| u64::from(load.runs)),
                copies: sum(u64::from(worker.copies.get()), |load| u64::from(load.copies)),
                slots,
            };
            (Rc::clone(worker), room)
        };
        usable.map(room).unzip()
    }

    /// What is in service at all instances.
    pub(super) fn in_service(&self, view: &View, service: &str) -> InService {
        let known = view.queues.get(service);
        let mut in_service =
            known.map_or_else(InService::default, |known| known.in_service.clone());
        let queues = self.queues.borrow();
        let Some(queue) = queues.get(service) else { return in_service };
        for served in &queue.served {
            in_service.add(served.class, served.organisation.as_ref(), served.tokens);
        }
        in_service
    }

    pub(super) fn others<'a>(
        &self,
        service: &str,
        view: &'a View,
        in_service: &'a InService,
    ) -> Others<'a> {
        let is_alone = view.instances <= 1;
        let config = view.config.as_ref();
        let most_urgent = config.and_then(|config| config.most_urgent_stream(service));
        let sent = view.sent.get(service);
        let window_ms = self.settings.repeat_window_ms.max(1) as f64;
        let per_ms = sent.map_or(0.0, |sent| sent.requests as f64) / window_ms;
        Others {
            waiting: view.queues.get(service).map_or(&[], |known| &known.waiting),
            in_service,
            delay_ms: if is_alone { 0 } else { ANNOUNCE_MS },
            unseen: per_ms * loads::DIGEST_INTERVAL_MS as f64,
            unannounced_class: most_urgent.map(Job::last_class),
        }
    }

    /// Median time from sending a prompt of this length to its first event, as observed.
    fn read_ms(&self, job: &Job, need: Need) -> u64 {
        let known = self.first_event_us_per_token.borrow();
        let median = known.get(&job.service).and_then(|known| known.quantile(MEDIAN));
        median.map_or(0, |us| us.saturating_mul(need.prompt_tokens) / 1_000)
    }
}

/// When a waiting request is due; a resumed one is never refused, since it has run in part.
fn due(entry: &Entry<Waiter>, run_duration: RunDuration) -> Option<Due> {
    let request = &entry.request;
    if request.resumed {
        return None;
    }
    let first_event_ms =
        (request.objective_ms > 0).then_some(request.since_ms + request.objective_ms);
    Some(Due {
        first_event_ms,
        until_ms: entry.item.until_ms,
        read_ms: request.read_ms,
        whole_ms: run_duration.mean_ms(),
    })
}

/// Takes one place at an engine out of a list.
fn take(places: &mut Vec<Arc<str>>, engine: &Arc<str>) {
    if let Some(index) = places.iter().position(|place| place == engine) {
        places.remove(index);
    }
}

/// Lets a request go that had to leave a full queue. A resumed run goes on without the queue, since it may have run in part.
fn evict(entry: Entry<Waiter>, now_ms: u64) {
    let verdict = if entry.request.resumed {
        Verdict::Bypassed
    } else {
        let left_ms = entry.item.until_ms.saturating_sub(now_ms);
        Verdict::Refused { retry_after_ms: retry_after_full_queue(BOUNDS.requests, left_ms) }
    };
    // Its owner may have left.
    let _ = entry.item.verdict.send(verdict);
}

/// Retry time for a caller that finds so many requests waiting here, at one a second and instance.
fn retry_after_full_queue(waiting: usize, left_ms: u64) -> u64 {
    let capacity = Capacity { places: 0, drain_per_s: 1.0 };
    refusal::retry_after_ms(waiting, &capacity, left_ms, &mut fastrand::Rng::new())
}
