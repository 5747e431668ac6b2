//! The copy of a run's KV cache at a second engine: where it is placed and when it is renewed.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use tokio::sync::oneshot;

use super::super::ablation::Mechanism;
use super::super::dialect::Copy;
use super::super::policy::placement::Constraints;
use super::super::policy::stream_versions::Binding;
use super::super::route::{Engine, Repeat};
use super::super::traffic::Traffic;
use super::super::worker::{Count, What, Worker};
use super::Run;

/// Minimum interval between attempts to copy a run; each is a call to its engine.
const MIN_COPY_INTERVAL_MS: u64 = 500;
/// How long the deletion of a copy may take: a round trip, as for any call without work.
const RELEASE_TIMEOUT_MS: u64 = 500;
/// How long a copy may take: the transfer takes milliseconds, but waits behind others on the link.
const COPY_TIMEOUT_MS: u64 = 1_500;
/// A copy that a call has made.
#[derive(Debug)]
pub(super) struct FinishedCopy {
    /// The engine whose run was copied.
    pub(super) source: Rc<Worker>,
    /// The engine that holds the copy.
    pub(super) target: Rc<Worker>,
    pub(super) name: Copy,
}

impl FinishedCopy {
    /// Deletes the copy, which nobody needs.
    pub(super) fn release(self, traffic: &Rc<Traffic>) {
        drop(CopyRelease::new(traffic, &self.source, &self.target, &self.name.name, 0));
    }
}

/// An engine that was named for a growing copy; it holds one from the first event on.
#[derive(Debug)]
pub(super) struct GrowingCopy {
    pub(super) worker: Rc<Worker>,
    pub(super) _count: Count,
}

/// The copy of the run's KV cache, and the engine that holds it.
#[derive(Debug)]
pub(super) struct RunCopy {
    pub(super) worker: Rc<Worker>,
    pub(super) name: Copy,
    /// When the copy has to be renewed, if it doesn't grow with the run.
    pub(super) renew_ms: Option<u64>,
    /// Deletes the copy if nobody uses it; growing copies end with their run.
    pub(super) release: Option<CopyRelease>,
    pub(super) _count: Count,
}

/// Deletes a copy at its engines when dropped, unless it was used. Otherwise it would occupy memory
/// there for seconds after its run has ended.
#[derive(Debug)]
pub(super) struct CopyRelease {
    release: Option<oneshot::Sender<()>>,
}

impl CopyRelease {
    /// Prepares the deletion of a copy, which keeps its memory reserved until then.
    fn new(
        traffic: &Rc<Traffic>,
        source: &Rc<Worker>,
        target: &Rc<Worker>,
        name: &Arc<str>,
        tokens: u64,
    ) -> CopyRelease {
        let (release, released) = oneshot::channel();
        let (traffic, source, target) = (Rc::clone(traffic), Rc::clone(source), Rc::clone(target));
        let path = traffic.dialect.copy_path(name);
        tokio::task::spawn_local(async move {
            if released.await.is_err() {
                return;
            }
            let _count = target.count(What::Copy, tokens);
            let is_gone = traffic.is_lost(&source, traffic.now_ms());
            let engine = if is_gone { &target } else { &source };
            let call = traffic.call_engine(engine, Method::DELETE, &path, Bytes::new());
            let limit = Duration::from_millis(RELEASE_TIMEOUT_MS);
            // A copy that isn't deleted expires some seconds later.
            let _ = tokio::time::timeout(limit, call).await;
        });
        CopyRelease { release: Some(release) }
    }

    /// Keeps the copy, which a run uses now or which was renewed.
    pub(super) fn cancel(mut self) {
        self.release = None;
    }
}

impl Drop for CopyRelease {
    fn drop(&mut self) {
        if let Some(release) = self.release.take() {
            // The task always waits for this.
            let _ = release.send(());
        }
    }
}

/// Copies a run's KV cache as it is now; the run stays at the source.
async fn copy_run(
    traffic: Rc<Traffic>,
    source: Rc<Worker>,
    target: Rc<Worker>,
    id: Arc<str>,
) -> Option<FinishedCopy> {
    let (path, body) = traffic.dialect.copy_call(&id, target.upstream.addr);
    let limit = Duration::from_millis(COPY_TIMEOUT_MS);
    let call = traffic.call_engine(&source, Method::POST, path, body);
    let answered = tokio::time::timeout(limit, call).await.ok().and_then(Result::ok);
    let status = answered.as_ref().map(|(status, _)| *status);
    let name = answered.filter(|(status, _)| *status == 200);
    let name = name.and_then(|(_, body)| traffic.dialect.copy_name(&body));
    slog::info!(traffic.log, "run copied"; "request" => &*id, "from" => &*source.upstream.id,
        "to" => &*target.upstream.id, "domain" => &*target.upstream.domain,
        "done" => name.is_some(), "status" => status);
    let name = Copy { addr: source.upstream.addr, name: name? };
    Some(FinishedCopy { source, target, name })
}

impl Run {
    /// Whether an engine can take over a run or hold a new copy.
    pub(super) fn is_eligible(&self, worker: &Worker) -> bool {
        let now_ms = self.traffic.now_ms();
        self.traffic.takes_work(&worker.upstream.id)
            && !self.traffic.is_suspected(worker, now_ms)
            && !self.traffic.is_ejected(worker)
    }

    /// Chooses the engine for a new copy: not the run's own, nor one that it left, nor one that
    /// would have to preempt a run for it; copying is then tried again later. A late run gets no
    /// copy: the copy would take memory from runs that are not late, to save a gap that is exceeded
    /// already.
    pub(super) fn choose_copy_engine(&self, worker: &Worker) -> Option<Rc<Worker>> {
        let can_copy = self.engine_config().is_some_and(|engine| engine.can_copy);
        let is_off = !Mechanism::Copies.is_on();
        if is_off || self.is_late || !can_copy || self.job.route.repeat != Repeat::Resumable {
            return None;
        }
        let mut excluded = self.excluded.clone();
        excluded.push(Arc::clone(&worker.upstream.id));
        let need = self.need();
        let domain = &worker.upstream.domain;
        // What the engine has in memory is of use to its own version alone.
        let binding = Binding::Bound(worker.version());
        if self.traffic.has_admission_queue(&self.job.service) {
            return self.traffic.choose_copy_place(&self.job, domain, &excluded, &binding);
        }
        let constraints = Constraints {
            need,
            excluded,
            avoided_domains: self.avoided_domains(),
            apart_from: Some(Arc::clone(&worker.upstream.domain)),
            preferred_domain: None,
            can_repeat: false,
            binding,
        };
        let chosen = self.traffic.choose(&self.job.service, &constraints)?;
        let has_room = || self.traffic.placement_state(&chosen).load.has_room(need);
        (self.is_eligible(&chosen) && has_room()).then_some(chosen)
    }

    /// Whether the copy at an engine is still usable. It stays so while the engine's failure domain
    /// is suspected, since a probe costs less than a new copy.
    pub(super) fn is_copy_usable(&self, worker: &Worker) -> bool {
        let now_ms = self.traffic.now_ms();
        self.traffic.takes_work(&worker.upstream.id) && !self.traffic.is_lost(worker, now_ms)
    }

    /// Records the engine at which a copy has been growing since the first event.
    pub(super) fn set_growing_copy(&mut self, growing: Option<GrowingCopy>) {
        self.copy = growing.map(|GrowingCopy { worker, _count }| RunCopy {
            name: Copy { addr: worker.upstream.addr, name: Arc::from(self.job.id()) },
            renew_ms: None,
            release: None,
            worker,
            _count,
        });
    }

    /// Starts a copy to another engine if the present copy's engine is lost, is leaving or lies in
    /// the run's own failure domain, or if the present copy was made by a call, so that it doesn't
    /// grow, and is old.
    pub(super) fn maintain_copy(&mut self, worker: &Rc<Worker>) {
        let now_ms = self.traffic.now_ms();
        self.poll_pending_copy(now_ms);
        if self.pending_copy.is_some() {
            return;
        }
        if let Some(copy) = &self.copy
            && !self.is_copy_usable(&copy.worker)
        {
            slog::info!(self.traffic.log, "copy lost"; "request" => self.job.id(),
                "upstream" => &*copy.worker.upstream.id);
            self.copy = None;
        }
        if now_ms < self.next_copy_ms || !self.needs_copy(worker, now_ms) || !self.can_move() {
            return;
        }
        if worker.is_throttled(now_ms) {
            return;
        }
        self.next_copy_ms = now_ms + MIN_COPY_INTERVAL_MS;
        let Some(target) = self.copy_destination(worker) else { return };
        let (result, copied) = oneshot::channel();
        self.pending_copy = Some(copied);
        let id: Arc<str> = Arc::from(self.job.id());
        let copy = copy_run(Rc::clone(&self.traffic), Rc::clone(worker), target, id);
        tokio::task::spawn_local(async move {
            // The run may have ended meanwhile.
            let _ = result.send(copy.await);
        });
    }

    /// Whether there is no copy, or one that should lie elsewhere or be newer.
    fn needs_copy(&self, worker: &Worker, now_ms: u64) -> bool {
        let Some(copy) = &self.copy else { return true };
        let is_old = copy.renew_ms.is_some_and(|renew_ms| renew_ms <= now_ms);
        is_old || copy.worker.upstream.domain == worker.upstream.domain
    }

    /// The engine to which the run's KV cache should be copied.
    fn copy_destination(&self, worker: &Worker) -> Option<Rc<Worker>> {
        let Some(copy) = &self.copy else { return self.choose_copy_engine(worker) };
        if copy.worker.upstream.domain != worker.upstream.domain {
            return Some(Rc::clone(&copy.worker));
        }
        let better = self.choose_copy_engine(worker);
        better.filter(|better| better.upstream.domain != worker.upstream.domain)
    }

    /// Takes in a copy that a call has made meanwhile.
    pub(super) fn poll_pending_copy(&mut self, now_ms: u64) {
        let Some(pending) = &mut self.pending_copy else { return };
        match pending.try_recv() {
            Ok(copied) => {
                self.pending_copy = None;
                self.set_finished_copy(copied, now_ms);
            }
            Err(oneshot::error::TryRecvError::Empty) => {}
            Err(oneshot::error::TryRecvError::Closed) => self.pending_copy = None,
        }
    }

    pub(super) fn set_finished_copy(&mut self, copied: Option<FinishedCopy>, now_ms: u64) {
        let Some(FinishedCopy { source, target, name }) = copied else { return };
        let kept_ms = self.engine_config().map_or(0, |engine| engine.copy_kept_ms);
        let tokens = self.need().memory_tokens();
        if let Some(before) = self.copy.take()
            && (before.name == name || Rc::ptr_eq(&before.worker, &target))
            && let Some(release) = before.release
        {
            release.cancel();
        }
        let releases = self.traffic.has_admission_queue(&self.job.service);
        let release =
            releases.then(|| CopyRelease::new(&self.traffic, &source, &target, &name.name, tokens));
        self.copy = Some(RunCopy {
            name,
            renew_ms: Some(now_ms + kept_ms / 2),
            release,
            _count: target.count(What::Copy, tokens),
            worker: target,
        });
    }

    pub(super) fn engine_config(&self) -> Option<Engine> {
        let view = self.traffic.view();
        view.config.as_ref()?.services.get(&self.job.service)?.engine.clone()
    }

    pub(super) fn can_move(&self) -> bool {
        let can_move = self.engine_config().is_some_and(|engine| engine.can_move);
        can_move && Mechanism::Copies.is_on() && self.job.route.repeat == Repeat::Resumable
    }
}
