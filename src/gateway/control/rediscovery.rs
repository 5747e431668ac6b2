//! Searches for restarted engines at the addresses of lost ones while the directory is unreachable.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use hyper::http::response::Parts;

use super::super::ablation::Mechanism;
use super::super::body::{self, HeldMemory};
use super::super::channel::Channel;
use super::super::fleet::{SoftwareVersion, Upstream};
use super::super::membership::{Phase, Rumor};
use super::super::policy::body_limit::MAX_QUESTION_BYTES;
use super::super::policy::search::SearchList;
use super::Control;

/// The interval of the search: an engine is back about 1.2 s after its crash.
const SEARCH_INTERVAL_MS: u64 = 400;
/// How many instances of the fleet search: each request is billed, and one or two of them may be cut off.
const MAX_SEARCHERS: usize = 3;
/// The timeout of a request to a restarted engine: it is idle and answers fast.
const ANSWER_TIMEOUT_MS: u64 = 300;

impl Control {
    pub(super) async fn search_for_engines(self: Rc<Control>) {
        let mut search = SearchList::default();
        loop {
            tokio::time::sleep(Duration::from_millis(SEARCH_INTERVAL_MS)).await;
            self.update_search(&mut search);
            if !self.is_searcher() {
                continue;
            }
            for lost in self.engines(search.next_round()) {
                let control = Rc::clone(&self);
                tokio::task::spawn_local(async move { control.check_address(lost).await });
            }
        }
    }

    /// Whether no instance has a working directory watch, and this instance is one of the few that search.
    fn is_searcher(&self) -> bool {
        let state = self.state.borrow();
        if !Mechanism::Search.is_on()
            || state.phase != Phase::Ready
            || Control::is_directory_reachable(&state)
        {
            return false;
        }
        let alive = state.membership.alive().map(|member| &member.descriptor.registration.id);
        let before = alive.filter(|id| **id < self.me.id);
        before.count() < MAX_SEARCHERS
    }

    fn update_search(&self, search: &mut SearchList) {
        let mut lost = self.shared.own_lost();
        lost.extend(self.state.borrow().lost.keys().cloned());
        let view = self.shared.view.load();
        search.update(lost, |id| view.fleet.upstreams.contains_key(id));
    }

    /// The upstreams among `ids` that are engines and are not shutting down.
    fn engines(&self, ids: Vec<Arc<str>>) -> Vec<Upstream> {
        let view = self.shared.view.load();
        let is_engine = |upstream: &&Upstream| {
            let service = view.config.as_ref().and_then(|all| all.services.get(&upstream.service));
            let leaves = upstream.is_leaving || view.departures.contains(upstream);
            !leaves && service.is_some_and(|service| service.engine.is_some())
        };
        let known = ids.iter().filter_map(|id| view.fleet.upstreams.get(id));
        known.filter(is_engine).cloned().collect()
    }

    /// Checks which engine now listens at the address of a lost one.
    async fn check_address(&self, lost: Upstream) {
        let limit = Duration::from_millis(ANSWER_TIMEOUT_MS);
        let Ok(Some(id)) = tokio::time::timeout(limit, self.query_engine(&lost)).await else {
            return;
        };
        if id == lost.id {
            return;
        }
        slog::info!(self.log, "engine rediscovered"; "upstream" => &*id, "before" => &*lost.id,
            "address" => %lost.addr, "domain" => &*lost.domain);
        self.metrics.count("engines_found_again");
        self.add_rediscovered(Upstream { id, version: SoftwareVersion::Unknown, ..lost });
    }

    /// Asks the engine at an address for its id. Returns `None` unless it is healthy and serves only models of
    /// the same service, since other services may reuse the address.
    async fn query_engine(&self, lost: &Upstream) -> Option<Arc<str>> {
        let view = self.shared.view.load_full();
        let service = view.config.as_ref()?.services.get(&lost.service)?;
        let engine = service.engine.as_ref()?;
        let (_, body) = self.ask_address(lost, self.dialect.state_path()).await?;
        let models = self.dialect.engine_state(&body)?.models;
        if models.is_empty() || models.iter().any(|model| !engine.models.contains(model)) {
            return None;
        }
        let (health, _) = self.ask_address(lost, &service.health_path).await?;
        let is_well = health.status.is_success();
        self.dialect.marks(&health.headers).upstream.filter(|_| is_well)
    }

    /// Asks at an address, on a channel that has carried nothing else: the question has no name that
    /// its answer could repeat.
    async fn ask_address(&self, lost: &Upstream, path: &str) -> Option<(Parts, Bytes)> {
        let source = self.settings.upstream_source;
        let mut channel = Channel::open_from(source, lost.addr, ANSWER_TIMEOUT_MS).await.ok()?;
        let request = Request::get(path).header(HOST, lost.addr.to_string());
        let response = channel.send(request.body(Full::<Bytes>::default()).ok()?).await.ok()?;
        let (head, body) = response.into_parts();
        let held = HeldMemory::unshared(MAX_QUESTION_BYTES);
        let body = body::read(body, ANSWER_TIMEOUT_MS, held).await.ok()?;
        channel.judge_end().ok()?;
        Some((head, body.bytes))
    }

    /// Adds an engine that this instance or a peer rediscovered while the directory is unreachable, and gossips
    /// it if it is new here.
    pub(super) fn add_rediscovered(&self, upstream: Upstream) {
        let mut state = self.state.borrow_mut();
        let is_reachable = Control::is_directory_reachable(&state);
        if is_reachable || !state.has_fleet || !state.rediscovered.add(upstream.clone()) {
            return;
        }
        state.membership.spread(Rumor::Rediscovered(upstream));
        self.dirty.notify_one();
        self.rumors.notify_one();
    }
}
