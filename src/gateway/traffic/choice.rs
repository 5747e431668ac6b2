//! Choice of an upstream for a request, and what is known of upstreams for it.

use std::rc::Rc;
use std::sync::Arc;

use super::super::ablation::Mechanism;
use super::super::dialect::PromptPart;
use super::super::fleet::Upstream;
use super::super::policy::admission::EngineActivity;
use super::super::policy::engine;
use super::super::policy::placement::{self, Candidate, Constraints};
use super::super::policy::stream_versions::Binding;
use super::super::view::{Signal, View};
use super::super::worker::Worker;
use super::Traffic;

impl Traffic {
    /// Another engine of the same service and software version, if there is one.
    pub fn other_engine(&self, worker: &Worker) -> Option<Rc<Worker>> {
        let workers = self.workers.borrow();
        let is_other = |other: &&Rc<Worker>| {
            other.upstream.service == worker.upstream.service
                && other.upstream.id != worker.upstream.id
                && other.version() == worker.version()
                && other.takes_work()
                && !other.is_lost(self.now_ms())
        };
        workers.values().find(is_other).map(Rc::clone)
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
            .filter(|worker| constraints.binding.allows(&worker.version()))
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
            let held = workers.values().filter(|worker| *worker.upstream.service == *service);
            slog::info!(self.log, "no usable upstream of a large service is held";
                "service" => service, "halvings" => view.share.halvings(),
                "held" => held.count(), "take_work" => eligible.len(),
                "excluded" => constraints.excluded.len(), "instances" => view.instances);
            self.shared.signal(Signal::NoUpstreamLeft);
        }
        let index = index?;
        self.note_chosen(eligible[index], candidates[index].status, constraints.can_repeat, now_ms);
        Some(Rc::clone(eligible[index]))
    }

    /// Whether a service has engines that accept work and that a run may not go on at.
    pub fn excludes_engines(&self, service: &str, binding: &Binding) -> bool {
        self.has_worker(service, |worker| !binding.allows(&worker.version()))
    }

    /// Whether a service has an engine that accepts work and that a run may go on at.
    pub fn has_engine_for(&self, service: &str, binding: &Binding) -> bool {
        self.has_worker(service, |worker| binding.allows(&worker.version()))
    }

    /// Whether its service has another one than this.
    pub fn has_other_engine_for(&self, engine: &Worker, binding: &Binding) -> bool {
        let Upstream { id, service, .. } = &engine.upstream;
        let is_other = |other: &Worker| other.upstream.id != *id;
        self.has_worker(service, |other| is_other(other) && binding.allows(&other.version()))
    }

    fn has_worker(&self, service: &str, matches: impl Fn(&Worker) -> bool) -> bool {
        self.view();
        let workers = self.workers.borrow();
        let mut of_service = workers.values().filter(|worker| *worker.upstream.service == *service);
        of_service.any(|worker| worker.takes_work() && matches(worker))
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

    pub(super) fn candidate(&self, worker: &Worker, view: &View, now_ms: u64) -> Candidate {
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
}
