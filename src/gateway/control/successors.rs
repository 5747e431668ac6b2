//! The controller that looks for lost engines at their addresses while the directory is silent.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::header::HOST;

use super::super::ablation::Mechanism;
use super::super::channel::Channel;
use super::super::fleet::Upstream;
use super::super::membership::{Phase, Rumor};
use super::super::policy::search::SearchList;
use super::Control;

/// How often lost engines are looked for: one is back about 1.2 s after its crash.
const LOOK_MS: u64 = 400;
/// Instances that look, of all; each look is paid for, and one or two of them may be cut off.
const SEEKERS: usize = 3;
/// How long an engine may take to answer: it has just started and has nothing to do.
const ANSWER_TIMEOUT_MS: u64 = 300;

impl Control {
    pub(super) async fn seek_successors(self: Rc<Control>) {
        let mut sought = SearchList::default();
        loop {
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            self.note_sought(&mut sought);
            if !self.is_seeker() {
                continue;
            }
            for lost in self.engines(sought.next_round()) {
                let control = Rc::clone(&self);
                tokio::task::spawn_local(async move { control.look_for(lost).await });
            }
        }
    }

    /// Whether nobody hears from the directory, and this instance is among the few that look.
    fn is_seeker(&self) -> bool {
        let board = self.board.borrow();
        if !Mechanism::Search.is_on()
            || board.phase != Phase::Ready
            || Control::is_directory_heard(&board)
        {
            return false;
        }
        let alive = board.membership.alive().map(|member| &member.card.registration.id);
        let before = alive.filter(|id| **id < self.me.id);
        before.count() < SEEKERS
    }

    fn note_sought(&self, sought: &mut SearchList) {
        let mut lost = self.shared.own_lost();
        lost.extend(self.board.borrow().lost.keys().cloned());
        let view = self.shared.view.load();
        sought.update(lost, |id| view.fleet.upstreams.contains_key(id));
    }

    /// Those of the upstreams that are engines and don't leave.
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

    /// Asks an engine's address who is there now; the answers must say that it is an engine of the
    /// same service, since addresses are used again by others.
    async fn look_for(&self, lost: Upstream) {
        let limit = Duration::from_millis(ANSWER_TIMEOUT_MS);
        let Ok(Some(id)) = tokio::time::timeout(limit, self.ask_who(&lost)).await else { return };
        if id == lost.id {
            return;
        }
        slog::info!(self.log, "engine found again"; "upstream" => &*id, "before" => &*lost.id,
            "address" => %lost.addr, "domain" => &*lost.domain);
        self.metrics.count("engines_found_again");
        let found = Upstream { id, ..lost };
        self.take_found(found);
    }

    async fn ask_who(&self, lost: &Upstream) -> Option<Arc<str>> {
        let view = self.shared.view.load_full();
        let service = view.config.as_ref()?.services.get(&lost.service)?;
        let engine = service.engine.as_ref()?;
        let mut channel = Channel::open(lost.addr, ANSWER_TIMEOUT_MS).await.ok()?;
        let ask = |path: &str| {
            let request = Request::get(path).header(HOST, lost.addr.to_string());
            request.body(Full::<Bytes>::default()).ok()
        };
        let state = channel.send(ask(self.dialect.state_path())?).await.ok()?;
        let state = state.into_body().collect().await.ok()?.to_bytes();
        let models = self.dialect.engine_state(&state)?.models;
        if models.is_empty() || models.iter().any(|model| !engine.models.contains(model)) {
            return None;
        }
        let health = channel.send(ask(&service.health_path)?).await.ok()?;
        let is_well = health.status().is_success();
        self.dialect.marks(health.headers()).upstream.filter(|_| is_well)
    }

    /// Takes in an engine that this instance or a peer found, while the directory is silent; others
    /// hear of it if it is new here.
    pub(super) fn take_found(&self, upstream: Upstream) {
        let mut board = self.board.borrow_mut();
        let is_heard = Control::is_directory_heard(&board);
        if is_heard || !board.has_fleet || !board.found.add(upstream.clone()) {
            return;
        }
        board.membership.tell(Rumor::Found(upstream));
        self.dirty.notify_one();
        self.rumors.notify_one();
    }
}
