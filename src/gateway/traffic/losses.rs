//! Liveness probes of upstreams, and the handling of lost ones.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::sync::watch;

use super::super::ablation::Mechanism;
use super::super::channel::{self, Fault};
use super::super::dialect::EngineState;
use super::super::fleet::Upstream;
use super::super::policy::losses::{Loss, QueriedUpstream};
use super::super::policy::silence::RunStatus;
use super::super::view::{Signal, View};
use super::super::worker::Worker;
use super::Traffic;

/// How long an engine may take to return its state. The query needs no slot, so it takes one round
/// trip, and resuming elsewhere has to fit into the rest of the allowed gap between events.
const STATE_QUERY_TIMEOUT_MS: u64 = 130;
/// How late a timer may fire before this process assumes that it was stalled itself. Timers are
/// late by up to a tenth of a second under a CPU quota, and by some ten milliseconds on a busy
/// core.
pub(in super::super) const MAX_TIMER_LAG_MS: u64 = 60;
/// Timeout of the second probe, for runs without a copy: three times the first. Waiting costs them
/// no more than that, while processing their prompts again takes a second.
const SECOND_PROBE_TIMEOUT_MS: u64 = 3 * STATE_QUERY_TIMEOUT_MS;
/// How long a silent upstream is checked, how often, and how long it may take to answer. A sound one
/// that was silent for a second gets its share of the work again soon after.
const SILENCE_CHECKS_MS: u64 = 4_000;
const SILENCE_CHECK_INTERVAL_MS: u64 = 400;
const SILENCE_CHECK_TIMEOUT_MS: u64 = 250;
/// Maximum number of state queries per probe. The second is sent only if this process was stalled
/// or the connection was reset.
const MAX_STATE_QUERIES: u32 = 2;

/// Result of a liveness probe.
#[derive(Debug, Clone, derive_more::Display)]
pub enum Liveness {
    /// Gone or not responding.
    #[display("lost")]
    Lost,
    /// Alive, with the state it reported; the default state if only events of its runs arrived.
    #[display("{_0}")]
    Alive(Arc<EngineState>),
    /// The probe's connections were reset, as a full engine does with those beyond its limit. That
    /// says nothing about its runs, which fail by themselves if the engine is gone.
    #[display("connections are reset")]
    Inconclusive,
}

impl Liveness {
    /// Whether the engine reports requests that wait or whose prompts are being processed.
    pub fn has_pending_prompts(&self) -> bool {
        matches!(self, Liveness::Alive(state) if state.unstarted() > 0)
    }

    /// What the engine reports about a run.
    pub fn run_status(&self, id: &str) -> RunStatus {
        let Liveness::Alive(state) = self else { return RunStatus::Untold };
        let Some(runs) = &state.runs else { return RunStatus::Untold };
        match runs.iter().find(|run| *run.id == *id) {
            Some(run) => RunStatus::Listed { tokens: run.tokens, events: run.events },
            None if state.unstarted() > 0 => RunStatus::MayWait,
            None => RunStatus::Missing,
        }
    }
}

/// A probe in progress, shared by all runs that wait for its result.
pub(super) type Probe = watch::Receiver<Option<Liveness>>;

impl Traffic {
    /// Queries an engine's state to learn whether it is alive and what it reports about its runs.
    /// All who probe an engine at the same time share one query.
    pub async fn probe(self: &Rc<Traffic>, worker: &Rc<Worker>) -> Liveness {
        if !Mechanism::Question.is_on() {
            return Liveness::Alive(Arc::default());
        }
        let id = Arc::clone(&worker.upstream.id);
        let existing = self.probes.borrow().get(&id).cloned();
        let mut probe = existing.unwrap_or_else(|| self.start_probe(worker));
        let finished = probe.wait_for(Option::is_some).await;
        finished.map_or(Liveness::Lost, |liveness| liveness.clone().unwrap_or(Liveness::Lost))
    }

    /// Whether a second probe with a longer timeout fails, too. A run without a copy would have its
    /// prompt processed again for about a second, so it confirms the loss before it leaves: a full
    /// engine may be late with its state, and others that are as full refuse the run.
    pub async fn is_confirmed_lost(self: &Rc<Traffic>, worker: &Rc<Worker>) -> bool {
        let id = Arc::clone(&worker.upstream.id);
        let existing = self.second_probes.borrow().get(&id).cloned();
        let mut probe = existing.unwrap_or_else(|| self.start_second_probe(worker));
        let finished = probe.wait_for(Option::is_some).await;
        finished.is_ok_and(|liveness| matches!(*liveness, Some(Liveness::Lost)))
    }

    fn start_second_probe(self: &Rc<Traffic>, worker: &Rc<Worker>) -> Probe {
        let (result, probe) = watch::channel(None);
        let id = Arc::clone(&worker.upstream.id);
        self.second_probes.borrow_mut().insert(Arc::clone(&id), probe.clone());
        let traffic = Rc::clone(self);
        let worker = Rc::clone(worker);
        tokio::task::spawn_local(async move {
            let limit = Duration::from_millis(SECOND_PROBE_TIMEOUT_MS);
            let queried = tokio::time::timeout(limit, traffic.query_state(&worker)).await;
            traffic.second_probes.borrow_mut().remove(&id);
            let liveness = match queried {
                Ok(Ok(state)) => Liveness::Alive(Arc::new(state)),
                Ok(Err(Fault::Refused | Fault::Unreachable { .. })) | Err(_) => Liveness::Lost,
                Ok(Err(_)) => Liveness::Inconclusive,
            };
            slog::info!(traffic.log, "second liveness probe completed";
                "upstream" => &*id, "lives" => matches!(liveness, Liveness::Alive(_)));
            if let Liveness::Alive(state) = &liveness {
                traffic.note_alive_state(&worker, state);
            }
            result.send_replace(Some(liveness));
        });
        probe
    }

    pub(super) fn start_probe(self: &Rc<Traffic>, worker: &Rc<Worker>) -> Probe {
        let (result, probe) = watch::channel(None);
        let id = Arc::clone(&worker.upstream.id);
        self.probes.borrow_mut().insert(Arc::clone(&id), probe.clone());
        let traffic = Rc::clone(self);
        let worker = Rc::clone(worker);
        tokio::task::spawn_local(async move {
            let began_ms = traffic.now_ms();
            let liveness = traffic.check_liveness(&worker).await;
            traffic.probes.borrow_mut().remove(&id);
            slog::info!(traffic.log, "liveness probe completed"; "upstream" => &*id,
                "lives" => matches!(liveness, Liveness::Alive(_)));
            match &liveness {
                Liveness::Alive(state) => traffic.note_alive_state(&worker, state),
                Liveness::Lost => {
                    traffic.note_unreached(&worker, began_ms);
                    traffic.mark_silent(&worker, "its liveness probe failed");
                }
                Liveness::Inconclusive => {}
            }
            result.send_replace(Some(liveness));
        });
        probe
    }

    /// Records that an engine is alive, or that it has restarted since it was listed.
    fn note_alive_state(&self, worker: &Worker, state: &EngineState) {
        let listed = worker.upstream.born_ms;
        if matches!((listed, state.born_ms), (Some(listed), Some(born)) if born > listed) {
            return self.mark_replaced(worker);
        }
        worker.answered(self.now_ms());
    }

    /// Probes an engine; an event received from any of its runs meanwhile also shows that it is
    /// alive. A full engine is late with its state, and this instance may have no connection left
    /// for the query; runs must not leave the engine because of that.
    async fn check_liveness(self: &Rc<Traffic>, worker: &Rc<Worker>) -> Liveness {
        match self.query_liveness(worker).await {
            Liveness::Lost if worker.is_heard(STATE_QUERY_TIMEOUT_MS, self.now_ms()) => {
                Liveness::Alive(Arc::default())
            }
            liveness => liveness,
        }
    }

    /// Queries an engine's state. Repeats the query if this process was stalled meanwhile, or if
    /// the connection was reset, which may happen to a reused one because of its age.
    async fn query_liveness(self: &Rc<Traffic>, worker: &Rc<Worker>) -> Liveness {
        let limit = Duration::from_millis(STATE_QUERY_TIMEOUT_MS);
        let mut liveness = Liveness::Lost;
        for _ in 0..MAX_STATE_QUERIES {
            let queried_ms = self.now_ms();
            match tokio::time::timeout(limit, self.query_state(worker)).await {
                Ok(Ok(state)) => return Liveness::Alive(Arc::new(state)),
                Ok(Err(Fault::Refused | Fault::Unreachable { .. })) => return Liveness::Lost,
                Ok(Err(_)) => liveness = Liveness::Inconclusive,
                Err(_)
                    if self.now_ms() <= queried_ms + STATE_QUERY_TIMEOUT_MS + MAX_TIMER_LAG_MS =>
                {
                    return Liveness::Lost;
                }
                Err(_) => {}
            }
        }
        liveness
    }

    /// Any response shows that the engine is alive; one that is no valid state counts as the
    /// default.
    async fn query_state(self: &Rc<Traffic>, worker: &Rc<Worker>) -> Result<EngineState, Fault> {
        let path = self.dialect.state_path();
        let (_, body) = self.call_engine(worker, Method::GET, path, Bytes::new()).await?;
        Ok(self.dialect.engine_state(&body).unwrap_or_default())
    }

    /// Marks an upstream as silent, and checks it again and again for a while: it may go on.
    pub fn mark_silent(self: &Rc<Traffic>, worker: &Rc<Worker>, why: &str) {
        self.mark_lost(worker, why);
        if worker.begin_checks() {
            let traffic = Rc::clone(self);
            let worker = Rc::clone(worker);
            tokio::task::spawn_local(async move {
                traffic.check_silent(&worker).await;
                worker.end_checks();
            });
        }
    }

    /// Queries the state of a silent upstream until it answers, and then tells peers that it is well.
    async fn check_silent(self: &Rc<Traffic>, worker: &Rc<Worker>) {
        let until_ms = self.now_ms() + SILENCE_CHECKS_MS;
        let limit = Duration::from_millis(SILENCE_CHECK_TIMEOUT_MS);
        while self.now_ms() < until_ms && worker.is_lost(self.now_ms()) && worker.takes_work() {
            tokio::time::sleep(Duration::from_millis(SILENCE_CHECK_INTERVAL_MS)).await;
            if self.is_cut_off() {
                continue;
            }
            let queried = tokio::time::timeout(limit, self.query_state(worker)).await;
            let Ok(Ok(state)) = queried else { continue };
            self.note_alive_state(worker, &state);
            if !worker.is_replaced() {
                worker.absolve();
                slog::info!(self.log, "silent upstream answers again";
                    "upstream" => &*worker.upstream.id);
                self.metrics.count("upstreams_answering_again");
                self.losses.borrow_mut().forget(&worker.upstream.id);
                self.shared.signal(Signal::Recovered(Arc::clone(&worker.upstream.id)));
                self.notify_peers();
            }
        }
    }

    /// Marks an upstream as gone or not responding, and notifies peers at once.
    pub fn mark_lost(&self, worker: &Worker, why: &str) {
        let now_ms = self.now_ms();
        let is_new = !worker.is_lost(now_ms);
        worker.lost(now_ms);
        if !is_new {
            return;
        }
        self.losses.borrow_mut().note(&worker.upstream.id, new_loss(worker, now_ms, true));
        self.outages.borrow_mut().note_lost(&worker.upstream.service, now_ms);
        self.notify_peers();
        self.metrics.count("upstreams_lost");
        slog::warn!(self.log, "upstream lost"; "upstream" => &*worker.upstream.id,
            "domain" => &*worker.upstream.domain, "why" => why);
    }

    /// Marks an upstream as replaced because another incarnation has its address. However long the
    /// directory still lists it, it receives nothing more and is reported to peers as lost.
    pub fn mark_replaced(&self, worker: &Worker) {
        worker.replace();
        Traffic::supersede(&self.workers.borrow());
        self.mark_lost(worker, "another upstream has its address");
    }

    /// Records that no connection to an upstream could be opened.
    pub fn note_connect_failure(self: &Rc<Traffic>, worker: &Rc<Worker>, fault: &channel::Fault) {
        match fault {
            channel::Fault::Refused => self.mark_lost(worker, "connection refused"),
            channel::Fault::Unreachable { .. } => self.mark_silent(worker, "connection timed out"),
            _ => worker.broke(self.now_ms()),
        }
    }

    /// Takes in the losses that peers reported; they count towards correlated losses.
    pub(super) fn merge_peer_losses(
        &self,
        view: &View,
        workers: &BTreeMap<Arc<str>, Rc<Worker>>,
        now_ms: u64,
    ) {
        let mut losses = self.losses.borrow_mut();
        let is_final = |id: &str| workers.get(id).is_some_and(|worker| worker.is_replaced());
        losses.expire(now_ms, is_final);
        losses.forget_reported_except(&view.lost);
        for id in view.lost.iter() {
            let Some(worker) = workers.get(id) else { continue };
            losses.note_reported(id, new_loss(worker, now_ms, false));
        }
    }

    /// Whether an upstream was lost or closed a connection since it last showed that it is alive,
    /// as observed here or reported by a peer.
    pub fn is_lost(&self, worker: &Worker, now_ms: u64) -> bool {
        worker.is_replaced()
            || worker.is_suspect(now_ms)
            || self.losses.borrow().is_lost(loss_subject(worker))
    }

    /// Records an outage if all upstreams of a service are lost or gone; returns whether they are.
    fn note_outage_if_down(&self, service: &Arc<str>) -> bool {
        let now_ms = self.now_ms();
        let workers = self.workers.borrow();
        let is_available = |worker: &&Rc<Worker>| {
            worker.upstream.service == *service && worker.takes_work() && !worker.is_lost(now_ms)
        };
        if workers.values().any(|worker| is_available(&worker)) {
            return false;
        }
        self.outages.borrow_mut().note_down(service, now_ms);
        true
    }

    /// How long a caller with `left_ms` until its deadline should wait before it retries, if the
    /// service has no upstream.
    pub fn outage_retry_after_ms(&self, service: &Arc<str>, left_ms: u64) -> Option<u64> {
        if !self.note_outage_if_down(service) || !Mechanism::RetryAfter.is_on() {
            return None;
        }
        let mut random = fastrand::Rng::new();
        self.outages.borrow().retry_after_ms(service, left_ms, self.now_ms(), &mut random)
    }

    /// Whether an upstream was lost, or is suspected because of correlated losses in its failure
    /// domain.
    pub fn is_suspected(&self, worker: &Worker, now_ms: u64) -> bool {
        let is_domain_suspected = || {
            Mechanism::Doubt.is_on()
                && self.losses.borrow().has_correlated_losses(loss_subject(worker), now_ms)
        };
        self.is_lost(worker, now_ms) || is_domain_suspected()
    }
}

pub(super) fn new_loss(worker: &Worker, at_ms: u64, is_own: bool) -> Loss {
    let Upstream { service, domain, .. } = &worker.upstream;
    Loss { service: Arc::clone(service), domain: Arc::clone(domain), at_ms, is_own }
}

fn loss_subject(worker: &Worker) -> QueriedUpstream<'_> {
    QueriedUpstream {
        id: &worker.upstream.id,
        service: &worker.upstream.service,
        domain: &worker.upstream.domain,
        alive_ms: worker.alive_ms(),
    }
}
