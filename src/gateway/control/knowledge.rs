//! The controller that fetches from a peer what this instance does not know yet.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::header::HOST;
use serde::{Deserialize, Serialize};

use super::super::channel::Channel;
use super::super::fleet::Delta;
use super::super::instance::Registration;
use super::super::membership::Member;
use super::super::route::Config;
use super::{Board, Control};

/// How long a watching instance lets a peer know a newer version before it fetches it from there:
/// the directory's own answer is usually under way.
const BEHIND_MS: u64 = 300;
/// How long a watch may be behind a peer before it is given up as broken.
const BROKEN_WATCH_MS: u64 = 1_000;
/// How long fetching from a peer may take: all of a large fleet is some 300 KB, over a slow link.
pub const FETCH_TIMEOUT_MS: u64 = 1_500;

/// The path at which peers fetch what an instance knows.
pub const KNOWLEDGE_PATH: &str = "/peer/knowledge";

/// What an instance knows, as a peer fetches it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Knowledge {
    /// The configuration in force there, if it is newer than what was asked with.
    pub config: Option<Arc<Config>>,
    /// What changed in the list of upstreams since the revision that was asked with.
    pub fleet: Delta,
}

/// What an instance that asks knows already.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Known {
    /// The version of its configuration.
    pub config: u64,
    /// The revision of its list of upstreams.
    pub fleet: u64,
}

impl Known {
    /// Reads the query of a question.
    pub fn read(query: &str) -> Known {
        let field = |name: &str| {
            let fields = query.split('&').filter_map(|field| field.split_once('='));
            let mut named = fields.filter(|(known, _)| *known == name);
            named.next().and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
        };
        Known { config: field("config"), fleet: field("fleet") }
    }
}

/// The path at which a peer's newer knowledge is fetched.
fn knowledge_target(known: Known) -> String {
    format!("{KNOWLEDGE_PATH}?config={}&fleet={}", known.config, known.fleet)
}

/// Asks a peer what it knows that is newer.
pub(super) async fn fetch(addr: SocketAddr, known: Known) -> Option<Knowledge> {
    let mut channel = Channel::open(addr, FETCH_TIMEOUT_MS).await.ok()?;
    let request = Request::get(knowledge_target(known))
        .header(HOST, addr.to_string())
        .body(Full::<Bytes>::default())
        .ok()?;
    let response = channel.send(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    rmp_serde::from_slice(&body).ok()
}

impl Control {
    /// What peers may fetch.
    pub fn knowledge(&self, known: Known) -> Knowledge {
        let board = self.board.borrow();
        let is_newer = |config: &Arc<Config>| config.version > known.config;
        Knowledge {
            config: board.config.clone().filter(is_newer),
            fleet: board.fleet.since(known.fleet),
        }
    }

    /// Fetches from a peer what this instance doesn't know yet: at once if it leaves the directory
    /// to others, else after a moment in which the directory usually tells.
    pub(super) fn fetch_if_behind(self: &Rc<Control>, now_ms: u64) {
        let mut board = self.board.borrow_mut();
        if board.is_fetching {
            return;
        }
        let known = Control::versions(&board);
        let Some(addr) = self.ahead(&board) else {
            board.behind_since_ms = None;
            return;
        };
        let since_ms = *board.behind_since_ms.get_or_insert(now_ms);
        let behind_ms = now_ms.saturating_sub(since_ms);
        if board.is_watching && behind_ms < BEHIND_MS && board.has_fleet {
            return;
        }
        if board.is_watching && behind_ms >= BROKEN_WATCH_MS {
            board.behind_since_ms = None;
            self.broken_watch.notify_one();
        }
        board.is_fetching = true;
        let asked = Known { config: known.config, fleet: known.fleet };
        drop(board);
        let control = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let limit = Duration::from_millis(FETCH_TIMEOUT_MS);
            let fetched = tokio::time::timeout(limit, fetch(addr, asked)).await;
            control.board.borrow_mut().is_fetching = false;
            match fetched {
                Ok(Some(knowledge)) => control.take_knowledge(knowledge, addr),
                _ => control.metrics.count("peer_fetches_failed"),
            }
        });
    }

    /// A living member that is known to know more, of this failure domain if there is one.
    fn ahead(&self, board: &Board) -> Option<SocketAddr> {
        let known = Control::versions(board);
        let newer = |member: &&Member| {
            member.versions.config > known.config || member.versions.fleet > known.fleet
        };
        let ahead: Vec<&Registration> = board
            .membership
            .alive()
            .filter(newer)
            .map(|member| &member.card.registration)
            .collect();
        let is_near = |other: &&&Registration| other.domain == self.me.domain;
        let near: Vec<&Registration> = ahead.iter().filter(is_near).copied().collect();
        let some = if near.is_empty() { ahead } else { near };
        let index = fastrand::usize(..some.len().max(1));
        some.get(index).map(|other| other.peer_addr)
    }

    pub(super) fn take_knowledge(&self, knowledge: Knowledge, from: SocketAddr) {
        if let Some(config) = knowledge.config {
            self.take_config(config, "peer");
        }
        self.take_delta(knowledge.fleet, from);
        self.publish();
    }

    /// Takes in what a peer tells of the list of upstreams, if it is newer.
    pub(super) fn take_delta(&self, delta: Delta, from: SocketAddr) {
        let now_ms = self.clock.now_ms();
        let mut board = self.board.borrow_mut();
        let revision = delta.revision;
        let is_newer = revision > board.fleet.revision || !board.has_fleet;
        if is_newer && revision > 0 {
            board.has_fleet = true;
            board.is_outage_own = board.is_directory_lost;
            slog::debug!(self.log, "upstreams taken from a peer"; "peer" => %from,
                "revision" => revision, "before" => board.fleet.revision);
            board.fleet.take(delta, now_ms);
        }
    }
}
