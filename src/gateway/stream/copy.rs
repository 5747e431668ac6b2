//! The copy of a run's memory at a second engine: where it goes, and when it is made anew.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use tokio::sync::oneshot;

use super::super::ablation::Mechanism;
use super::super::dialect::Copy;
use super::super::policy::placement::Constraints;
use super::super::route::{Engine, Repeat};
use super::super::traffic::Traffic;
use super::super::worker::{Count, What, Worker};
use super::Run;

/// The pause between tries to copy a run: each is a call to its engine.
const COPY_PAUSE_MS: u64 = 500;
/// How long a copy may take: its memory passes in milliseconds, behind others on the link.
const COPY_TIMEOUT_MS: u64 = 1_500;
/// A copy that a call has made: where it lies, and its name.
pub(super) type NewCopy = (Rc<Worker>, Copy);

/// An engine that was named for a growing copy; it holds one from the first event on.
#[derive(Debug)]
pub(super) struct Growing {
    pub(super) worker: Rc<Worker>,
    pub(super) _count: Count,
}

/// Where the copy of the run's memory lies.
#[derive(Debug)]
pub(super) struct CopyAt {
    pub(super) worker: Rc<Worker>,
    pub(super) name: Copy,
    /// When it has to be renewed, if it doesn't grow by itself.
    pub(super) renew_ms: Option<u64>,
    pub(super) _count: Count,
}

/// Copies a run's memory as it is now; the source keeps the run.
async fn copy_run(
    traffic: Rc<Traffic>,
    source: Rc<Worker>,
    target: Rc<Worker>,
    id: Arc<str>,
) -> Option<NewCopy> {
    let (path, body) = traffic.dialect.copy_call(&id, target.upstream.addr);
    let limit = Duration::from_millis(COPY_TIMEOUT_MS);
    let asked = traffic.ask(&source, Method::POST, path, body);
    let answered = tokio::time::timeout(limit, asked).await.ok().and_then(Result::ok);
    let status = answered.as_ref().map(|(status, _)| *status);
    let name = answered.filter(|(status, _)| *status == 200);
    let name = name.and_then(|(_, body)| traffic.dialect.copy_name(&body));
    slog::info!(traffic.log, "run copied"; "request" => &*id, "from" => &*source.upstream.id,
        "to" => &*target.upstream.id, "domain" => &*target.upstream.domain,
        "done" => name.is_some(), "status" => status);
    let copy = Copy { addr: source.upstream.addr, name: name? };
    Some((target, copy))
}

impl Run {
    /// Whether an engine can take a run or a new copy.
    pub(super) fn is_fit(&self, worker: &Worker) -> bool {
        let now_ms = self.traffic.now_ms();
        self.traffic.takes_work(&worker.upstream.id) && !self.traffic.is_doubtful(worker, now_ms)
    }

    /// The engine for a new copy: not where the run is, nor where it was lost, nor where it would put
    /// a run out of memory; it is tried again later. A run that is late gets none: the copy would take
    /// the memory of those that are not, and save a pause that is over.
    pub(super) fn place_copy(&self, worker: &Worker) -> Option<Rc<Worker>> {
        let can_copy = self.engine().is_some_and(|engine| engine.can_copy);
        let is_off = !Mechanism::Copies.is_on();
        if is_off || self.is_late || !can_copy || self.job.route.repeat != Repeat::Resumable {
            return None;
        }
        let mut excluded = self.left.clone();
        excluded.push(Arc::clone(&worker.upstream.id));
        let need = self.need();
        let constraints = Constraints {
            need,
            excluded,
            avoided_domains: self.lost_domains(),
            apart_from: Some(Arc::clone(&worker.upstream.domain)),
            preferred_domain: None,
        };
        let chosen = self.traffic.choose(&self.job.service, &constraints)?;
        let has_room = || self.traffic.standing(&chosen).load.has_room(need);
        (self.is_fit(&chosen) && has_room()).then_some(chosen)
    }

    /// Whether the copy at an engine can still be used: it may be in doubt, which a question
    /// settles for less than a new copy costs.
    pub(super) fn keeps_copy(&self, worker: &Worker) -> bool {
        let now_ms = self.traffic.now_ms();
        self.traffic.takes_work(&worker.upstream.id) && !self.traffic.is_lost(worker, now_ms)
    }

    /// Notes the engine at which a copy grows since the first event.
    pub(super) fn note_copy(&mut self, growing: Option<Growing>) {
        self.copy = growing.map(|Growing { worker, _count }| CopyAt {
            name: Copy { addr: worker.upstream.addr, name: Arc::from(self.job.id()) },
            renew_ms: None,
            worker,
            _count,
        });
    }

    /// Has the run's memory copied to another engine if the copy's engine is lost, leaves or lies
    /// in the run's own failure domain, or if such a copy, which doesn't grow by itself, gets old.
    pub(super) fn keep_copy(&mut self, worker: &Rc<Worker>) {
        let now_ms = self.traffic.now_ms();
        self.take_finished_copy(now_ms);
        if self.copying.is_some() {
            return;
        }
        if let Some(copy) = &self.copy
            && !self.keeps_copy(&copy.worker)
        {
            slog::info!(self.traffic.log, "copy lost"; "request" => self.job.id(),
                "upstream" => &*copy.worker.upstream.id);
            self.copy = None;
        }
        if now_ms < self.copy_again_ms || !self.wants_copy(worker, now_ms) || !self.can_move() {
            return;
        }
        if worker.is_throttled(now_ms) {
            return;
        }
        self.copy_again_ms = now_ms + COPY_PAUSE_MS;
        let Some(target) = self.copy_target(worker) else { return };
        let (tell, copied) = oneshot::channel();
        self.copying = Some(copied);
        let id: Arc<str> = Arc::from(self.job.id());
        let copying = copy_run(Rc::clone(&self.traffic), Rc::clone(worker), target, id);
        tokio::task::spawn_local(async move {
            // The run may have ended meanwhile.
            let _ = tell.send(copying.await);
        });
    }

    /// Whether there is no copy, or one that should be elsewhere or newer.
    fn wants_copy(&self, worker: &Worker, now_ms: u64) -> bool {
        let Some(copy) = &self.copy else { return true };
        let is_old = copy.renew_ms.is_some_and(|renew_ms| renew_ms <= now_ms);
        is_old || copy.worker.upstream.domain == worker.upstream.domain
    }

    /// Where the run's memory should be copied to.
    fn copy_target(&self, worker: &Worker) -> Option<Rc<Worker>> {
        let Some(copy) = &self.copy else { return self.place_copy(worker) };
        if copy.worker.upstream.domain != worker.upstream.domain {
            return Some(Rc::clone(&copy.worker));
        }
        let better = self.place_copy(worker);
        better.filter(|better| better.upstream.domain != worker.upstream.domain)
    }

    /// Takes in a copy that was made by a call meanwhile.
    pub(super) fn take_finished_copy(&mut self, now_ms: u64) {
        let Some(copying) = &mut self.copying else { return };
        match copying.try_recv() {
            Ok(copied) => {
                self.copying = None;
                self.take_copy(copied, now_ms);
            }
            Err(oneshot::error::TryRecvError::Empty) => {}
            Err(oneshot::error::TryRecvError::Closed) => self.copying = None,
        }
    }

    pub(super) fn take_copy(&mut self, copied: Option<NewCopy>, now_ms: u64) {
        let Some((worker, name)) = copied else { return };
        let kept_ms = self.engine().map_or(0, |engine| engine.copy_kept_ms);
        self.copy = Some(CopyAt {
            name,
            renew_ms: Some(now_ms + kept_ms / 2),
            _count: worker.count(What::Copy, self.need().memory_tokens()),
            worker,
        });
    }

    pub(super) fn engine(&self) -> Option<Engine> {
        let view = self.traffic.view();
        view.config.as_ref()?.services.get(&self.job.service)?.engine.clone()
    }

    pub(super) fn can_move(&self) -> bool {
        let can_move = self.engine().is_some_and(|engine| engine.can_move);
        can_move && Mechanism::Copies.is_on() && self.job.route.repeat == Repeat::Resumable
    }
}
