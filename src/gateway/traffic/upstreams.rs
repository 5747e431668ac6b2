//! The upstreams of the published list, and calls of the gateway itself to them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::{Method, Request};

use super::super::ablation::Mechanism;
use super::super::channel::Fault;
use super::super::dialect::Marks;
use super::super::fleet::Fleet;
use super::super::policy::answer_match::{AnswerMatch, Message};
use super::super::policy::body_limit::MAX_QUESTION_BYTES;
use super::super::policy::placement;
use super::super::view::View;
use super::super::worker::{Lease, Worker};
use super::Traffic;

/// Channels per upstream that an instance may open beyond its even share, since load is never even.
const CHANNEL_SLACK: u32 = 2;
/// How long the body of an engine's answer to the gateway itself may take; most callers wait less.
const QUESTION_TIMEOUT_MS: u64 = 5_000;

impl Traffic {
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

    pub(super) fn apply_fleet(&self, fleet: &Arc<Fleet>) {
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
        Traffic::supersede(&workers);
        *self.fleet.borrow_mut() = Arc::clone(fleet);
    }

    /// Judges anew which upstreams are superseded by younger entries. An entry that an answer refuted
    /// supersedes nobody, so whoever was there before it gets requests again.
    pub(super) fn supersede(workers: &BTreeMap<Arc<str>, Rc<Worker>>) {
        let present = workers.values().filter(|worker| !worker.is_absent());
        let present = present.map(|worker| &worker.upstream);
        let superseded = if Mechanism::Youngest.is_on() {
            placement::superseded(present)
        } else {
            BTreeSet::new()
        };
        for (id, worker) in workers {
            worker.supersede(superseded.contains(id));
        }
    }

    /// Marks the former incarnation of a restarted upstream as lost: its runs, copies and cached
    /// prompts no longer exist.
    pub(super) fn mark_restarted(&self, worker: &Worker) {
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

    /// How many channels this instance may open to one upstream of a service.
    pub fn channel_share(&self, service: &str) -> u32 {
        let view = self.shared.view.load();
        let all = view.config.as_ref().and_then(|config| config.services.get(service));
        let all = all.map_or(u32::MAX, |service| service.max_channels);
        // One in ten stays unused: other instances may count more or fewer instances than this one.
        (all - all / 10) / view.holders(service).max(1) + CHANNEL_SLACK
    }

    /// How many channels may be open to one upstream, so that those to all of them leave descriptors to
    /// others. Where they don't, channels that carry nothing are closed.
    pub(super) fn channels_left(&self, worker: &Rc<Worker>) -> u32 {
        let most = self.settings.machine.channels(&self.limits()) as u64;
        let workers = self.workers.borrow();
        let open = || workers.values().map(|worker| worker.channels()).sum::<u64>();
        if open() >= most {
            let others = workers.values().filter(|other| !Rc::ptr_eq(other, worker));
            others.for_each(|other| other.close_idle());
            self.metrics.count("channels_short");
            slog::warn!(self.log, "channels to upstreams take all descriptors that they may";
                "most" => most, "in_use" => open());
        }
        let left = most.saturating_sub(open()) + worker.channels();
        u32::try_from(left).unwrap_or(u32::MAX)
    }

    /// Whether an answer is that to the message which was sent on a channel; `sent` is its name. The
    /// channel of any other is in step with nothing, and is closed.
    pub fn is_own_answer(
        &self,
        worker: &Worker,
        lease: &mut Lease,
        sent: Option<&str>,
        marks: &Marks,
    ) -> bool {
        let matched = lease.judge(sent, marks.id.as_deref());
        match matched {
            AnswerMatch::Named => worker.note_names_requests(),
            AnswerMatch::Only => {}
            AnswerMatch::Unproved => self.metrics.count("answers_without_name"),
            AnswerMatch::Foreign => self.metrics.count("answers_of_other_requests"),
        }
        if !matched.is_own() {
            slog::info!(self.log, "answer not matched"; "upstream" => &*worker.upstream.id,
                "sent" => sent, "answered" => marks.id.as_deref(), "match" => ?matched,
                "is_refusal" => marks.not_run);
        }
        matched.is_own()
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
        let mut lease = self.lease(worker, Message::Nameless).await?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, worker.upstream.addr.to_string())
            .body(Full::new(body))
            .map_err(|error| Fault::NotSent { detail: error.to_string() })?;
        let sent = lease.send(request).await;
        self.note_if_spoilt(worker, &lease);
        let response = sent?;
        let status = response.status().as_u16();
        let marks = self.dialect.marks(response.headers());
        if !self.is_own_answer(worker, &mut lease, None, &marks) {
            return Err(broken("the answer belongs to another request".to_owned()));
        }
        let until_ms = self.now_ms() + QUESTION_TIMEOUT_MS;
        let body = response.into_body();
        let body = self.read_body(worker, body, MAX_QUESTION_BYTES, until_ms).await;
        let body = body.map_err(|fault| broken(fault.to_string()))?;
        let judged = lease.channel.judge_end();
        self.note_if_spoilt(worker, &lease);
        judged?;
        worker.give_back(lease, marks.keep_ms, self.now_ms());
        Ok((status, body.bytes))
    }
}
