//! Asking upstreams whether they live, and what follows when they don't.

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
use super::super::view::View;
use super::super::worker::Worker;
use super::Traffic;

/// How long an engine's state may take to arrive: it needs no slot, so it comes in a round trip,
/// and a resumption has to fit into the rest of the allowed pause.
const STATE_TIMEOUT_MS: u64 = 130;
/// How late a timer may fire before this process suspects itself of having stood still: a tenth of
/// a second at most where processor time is a quota, some ten milliseconds on a busy core.
pub(in super::super) const OWN_LAG_MS: u64 = 60;
/// How long it may take when it is asked once more for runs that have no copy: three times as long.
/// They lose no more than that against the second that reading their prompts anew takes.
const SECOND_TIMEOUT_MS: u64 = 3 * STATE_TIMEOUT_MS;
/// How often the question is asked at the most; the second time only after such a standstill.
const STATE_TRIES: u32 = 2;

/// What an engine was found to be when it was asked.
#[derive(Debug, Clone, derive_more::Display)]
pub enum Life {
    /// It is gone or silent.
    #[display("lost")]
    Lost,
    /// It lives, and this is what it told; nothing if only its events came.
    #[display("{_0}")]
    Lives(Arc<EngineState>),
    /// It resets the question's connections, as a full one does with those beyond its bound: that
    /// says nothing of its runs, which break by themselves if it is gone.
    #[display("connections are reset")]
    Unasked,
}

impl Life {
    /// Whether it works on prompts, as far as it tells.
    pub fn is_reading(&self) -> bool {
        matches!(self, Life::Lives(state) if state.unstarted() > 0)
    }

    /// What it says of a run.
    pub fn sighting(&self, id: &str) -> RunStatus {
        let Life::Lives(state) = self else { return RunStatus::Untold };
        let Some(runs) = &state.runs else { return RunStatus::Untold };
        match runs.iter().find(|run| *run.id == *id) {
            Some(run) => RunStatus::Listed { tokens: run.tokens, events: run.events },
            None if state.unstarted() > 0 => RunStatus::MayWait,
            None => RunStatus::Missing,
        }
    }
}

/// A question under way, which serves all who ask meanwhile.
pub(super) type Probe = watch::Receiver<Option<Life>>;

impl Traffic {
    /// Asks an engine for its state, to learn whether it lives and what becomes of its runs; one
    /// question at a time serves all.
    pub async fn life(self: &Rc<Traffic>, worker: &Rc<Worker>) -> Life {
        if !Mechanism::Question.is_on() {
            return Life::Lives(Arc::default());
        }
        let id = Arc::clone(&worker.upstream.id);
        let running = self.probes.borrow().get(&id).cloned();
        let mut answer = running.unwrap_or_else(|| self.start_probe(worker));
        let answered = answer.wait_for(Option::is_some).await;
        answered.map_or(Life::Lost, |answer| answer.clone().unwrap_or(Life::Lost))
    }

    /// Whether an engine that did not tell its state in time doesn't in a longer one either. A run that
    /// has no copy elsewhere would read its prompt anew for a second, so it asks once more before it
    /// leaves: a full engine may be late with its state, and others that are as full refuse the run.
    pub async fn is_surely_lost(self: &Rc<Traffic>, worker: &Rc<Worker>) -> bool {
        let id = Arc::clone(&worker.upstream.id);
        let running = self.second_probes.borrow().get(&id).cloned();
        let mut answer = running.unwrap_or_else(|| self.start_second_probe(worker));
        let answered = answer.wait_for(Option::is_some).await;
        answered.is_ok_and(|answer| matches!(*answer, Some(Life::Lost)))
    }

    fn start_second_probe(self: &Rc<Traffic>, worker: &Rc<Worker>) -> Probe {
        let (tell, answer) = watch::channel(None);
        let id = Arc::clone(&worker.upstream.id);
        self.second_probes.borrow_mut().insert(Arc::clone(&id), answer.clone());
        let traffic = Rc::clone(self);
        let worker = Rc::clone(worker);
        tokio::task::spawn_local(async move {
            let limit = Duration::from_millis(SECOND_TIMEOUT_MS);
            let asked = tokio::time::timeout(limit, traffic.ask_state(&worker)).await;
            traffic.second_probes.borrow_mut().remove(&id);
            let life = match asked {
                Ok(Ok(state)) => Life::Lives(Arc::new(state)),
                Ok(Err(Fault::Refused | Fault::Unreachable { .. })) | Err(_) => Life::Lost,
                Ok(Err(_)) => Life::Unasked,
            };
            slog::info!(traffic.log, "engine asked once more whether it lives";
                "upstream" => &*id, "lives" => matches!(life, Life::Lives(_)));
            if let Life::Lives(state) = &life {
                traffic.note_life(&worker, state);
            }
            tell.send_replace(Some(life));
        });
        answer
    }

    pub(super) fn start_probe(self: &Rc<Traffic>, worker: &Rc<Worker>) -> Probe {
        let (tell, answer) = watch::channel(None);
        let id = Arc::clone(&worker.upstream.id);
        self.probes.borrow_mut().insert(Arc::clone(&id), answer.clone());
        let traffic = Rc::clone(self);
        let worker = Rc::clone(worker);
        tokio::task::spawn_local(async move {
            let life = traffic.shows_life(&worker).await;
            traffic.probes.borrow_mut().remove(&id);
            slog::info!(traffic.log, "engine asked whether it lives"; "upstream" => &*id,
                "lives" => matches!(life, Life::Lives(_)));
            match &life {
                Life::Lives(state) => traffic.note_life(&worker, state),
                Life::Lost => traffic.lost(&worker, "its state can't be read"),
                Life::Unasked => {}
            }
            tell.send_replace(Some(life));
        });
        answer
    }

    /// Takes in what an engine told: that it lives, or that it was born again since it was listed.
    fn note_life(&self, worker: &Worker, state: &EngineState) {
        let listed = worker.upstream.born_ms;
        if matches!((listed, state.born_ms), (Some(listed), Some(born)) if born > listed) {
            return self.replaced(worker);
        }
        worker.answered(self.now_ms());
    }

    /// Whether an engine shows that it lives: it tells its state in time, or makes events of any
    /// run meanwhile. A full engine is late with its state, and this instance may have no
    /// connection left to ask over; the runs there must not leave it for that.
    async fn shows_life(&self, worker: &Rc<Worker>) -> Life {
        match self.told_state(worker).await {
            Life::Lost if worker.is_heard(STATE_TIMEOUT_MS, self.now_ms()) => {
                Life::Lives(Arc::default())
            }
            life => life,
        }
    }

    /// What an engine tells of its state; asked again if this process itself was late, or if the
    /// connection was reset, which a kept one may be by its age.
    async fn told_state(&self, worker: &Rc<Worker>) -> Life {
        let limit = Duration::from_millis(STATE_TIMEOUT_MS);
        let mut told = Life::Lost;
        for _ in 0..STATE_TRIES {
            let asked_ms = self.now_ms();
            match tokio::time::timeout(limit, self.ask_state(worker)).await {
                Ok(Ok(state)) => return Life::Lives(Arc::new(state)),
                Ok(Err(Fault::Refused | Fault::Unreachable { .. })) => return Life::Lost,
                Ok(Err(_)) => told = Life::Unasked,
                Err(_) if self.now_ms() <= asked_ms + STATE_TIMEOUT_MS + OWN_LAG_MS => {
                    return Life::Lost;
                }
                Err(_) => {}
            }
        }
        told
    }

    /// Any answer is a sign of life; one that is no state tells nothing.
    async fn ask_state(&self, worker: &Rc<Worker>) -> Result<EngineState, Fault> {
        let path = self.dialect.state_path();
        let (_, body) = self.ask(worker, Method::GET, path, Bytes::new()).await?;
        Ok(self.dialect.engine_state(&body).unwrap_or_default())
    }

    /// Notes that an upstream is gone or silent, and tells peers at once.
    pub fn lost(&self, worker: &Worker, why: &str) {
        let now_ms = self.now_ms();
        let is_new = !worker.is_lost(now_ms);
        worker.lost(now_ms);
        if !is_new {
            return;
        }
        self.losses.borrow_mut().note(&worker.upstream.id, loss_of(worker, now_ms, true));
        self.outages.borrow_mut().note_lost(&worker.upstream.service, now_ms);
        self.tell_peers();
        self.metrics.count("upstreams_lost");
        slog::warn!(self.log, "upstream lost"; "upstream" => &*worker.upstream.id,
            "domain" => &*worker.upstream.domain, "why" => why);
    }

    /// Notes that another life has an upstream's address: this one gets nothing more, however long
    /// the list still names it, and peers are told for as long.
    pub fn replaced(&self, worker: &Worker) {
        worker.replace();
        self.lost(worker, "another one has its address");
    }

    /// Notes that no connection to an upstream came about.
    pub fn no_channel(&self, worker: &Worker, fault: &channel::Fault) {
        match fault {
            channel::Fault::Refused => self.lost(worker, "nothing listens there"),
            channel::Fault::Unreachable { .. } => self.lost(worker, "no connection in time"),
            _ => worker.broke(self.now_ms()),
        }
    }

    /// Takes in the losses that others told, as signs for the failure domains.
    pub(super) fn hear_losses(
        &self,
        view: &View,
        workers: &BTreeMap<Arc<str>, Rc<Worker>>,
        now_ms: u64,
    ) {
        let mut losses = self.losses.borrow_mut();
        let is_final = |id: &str| workers.get(id).is_some_and(|worker| worker.is_replaced());
        losses.expire(now_ms, is_final);
        for id in view.lost.iter() {
            let Some(worker) = workers.get(id) else { continue };
            losses.note_reported(id, loss_of(worker, now_ms, false));
        }
    }

    /// Whether an upstream was lost or broke off since it last showed that it lives, as this
    /// instance or a peer found.
    pub fn is_lost(&self, worker: &Worker, now_ms: u64) -> bool {
        worker.is_replaced()
            || worker.is_suspect(now_ms)
            || self.losses.borrow().is_lost(subject(worker))
    }

    /// Notes whether all upstreams of a service are lost or gone.
    fn note_if_down(&self, service: &Arc<str>) -> bool {
        let now_ms = self.now_ms();
        let workers = self.workers.borrow();
        let is_there = |worker: &&Rc<Worker>| {
            worker.upstream.service == *service && worker.takes_work() && !worker.is_lost(now_ms)
        };
        if workers.values().any(|worker| is_there(&worker)) {
            return false;
        }
        self.outages.borrow_mut().note_down(service, now_ms);
        true
    }

    /// When a caller that has `left_ms` should come back to a service that has no upstream.
    pub fn retry_after_ms(&self, service: &Arc<str>, left_ms: u64) -> Option<u64> {
        if !self.note_if_down(service) || !Mechanism::RetryAfter.is_on() {
            return None;
        }
        let mut random = fastrand::Rng::new();
        self.outages.borrow().retry_after_ms(service, left_ms, self.now_ms(), &mut random)
    }

    /// Whether an upstream was lost, or so much of its failure domain that it is likely.
    pub fn is_doubtful(&self, worker: &Worker, now_ms: u64) -> bool {
        let is_falling = || {
            Mechanism::Doubt.is_on()
                && self.losses.borrow().has_correlated_losses(subject(worker), now_ms)
        };
        self.is_lost(worker, now_ms) || is_falling()
    }
}

fn loss_of(worker: &Worker, at_ms: u64, is_own: bool) -> Loss {
    let Upstream { service, domain, .. } = &worker.upstream;
    Loss { service: Arc::clone(service), domain: Arc::clone(domain), at_ms, is_own }
}

fn subject(worker: &Worker) -> QueriedUpstream<'_> {
    QueriedUpstream {
        id: &worker.upstream.id,
        service: &worker.upstream.service,
        domain: &worker.upstream.domain,
        alive_ms: worker.alive_ms(),
    }
}
