//! The controller that fetches from peers what this instance does not know yet.
//!
//! Configurations and lists travel apart: a list of thousands may fill a link for seconds, and an
//! operator's change must not wait for it. A list comes in pages, each from whichever peer answers, so
//! that one that is late costs a page and not the whole list.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::header::HOST;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::super::channel::Channel;
use super::super::fleet::{Delta, Page};
use super::super::instance::Registration;
use super::super::loads::Part;
use super::super::membership::Member;
use super::super::policy::subset::{self, Share};
use super::super::route::Config;
use super::{Board, Control, shares};

/// How long a watching instance lets a peer know a newer version before it fetches it from there:
/// the directory's own answer is usually under way.
const BEHIND_MS: u64 = 300;
/// How long a watch may be behind a peer before it is given up as broken.
const BROKEN_WATCH_MS: u64 = 1_000;
/// How long one answer of a peer may take: a page or a configuration is some 50 KB.
pub const FETCH_TIMEOUT_MS: u64 = 1_500;
/// Peers in a row that may fail to answer before a fetch is given up.
const FETCH_TRIES: u32 = 4;
/// The pause after one that failed: it may have been busy with others.
const FETCH_PAUSE_MS: u64 = 20;
/// The least pause after a fetch that brought nothing.
const FETCH_RETRY_MS: u64 = 100;
/// From when on an instance that starts asks those that should hold the list, if nobody told that it does.
const LIST_OVERDUE_MS: u64 = 3_000;
/// Instances that are remembered to hold the whole list.
const MOST_HOLDERS_TOLD: usize = 8;

/// The path at which peers fetch the configuration.
pub const CONFIG_PATH: &str = "/peer/config";
/// The path at which peers fetch the list of upstreams.
pub const LIST_PATH: &str = "/peer/upstreams";

/// Asks for the configuration, if it is newer than the version that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigAsk {
    /// That version.
    pub known: u64,
}

/// Asks for the list of upstreams, or for a part of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListAsk {
    /// Who asks.
    pub id: Arc<str>,
    /// The revision of the list that it knows.
    pub since: u64,
    /// The share of the large services that it wants; without one, whoever answers chooses.
    pub share: Option<Share>,
    /// The upstream behind which the asked page begins.
    pub after: Arc<str>,
}

/// An answer to that.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// What it holds of which services.
    pub part: Part,
    /// The upstreams.
    pub content: Content,
}

/// The upstreams in an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// What changed since the known revision.
    Changes(Delta),
    /// A part of the whole list.
    Page(Page),
}

/// Asks a peer.
async fn ask<Q: Serialize, A: DeserializeOwned>(
    addr: SocketAddr,
    path: &str,
    ask: &Q,
) -> Option<A> {
    let exchange = async {
        let mut channel = Channel::open(addr, FETCH_TIMEOUT_MS).await.ok()?;
        let body = Full::new(Bytes::from(rmp_serde::to_vec(ask).ok()?));
        let request = Request::post(path).header(HOST, addr.to_string()).body(body).ok()?;
        let response = channel.send(request).await.ok()?;
        let is_answer = response.status().is_success();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        is_answer.then(|| rmp_serde::from_slice(&body).ok()).flatten()
    };
    let limit = Duration::from_millis(FETCH_TIMEOUT_MS);
    tokio::time::timeout(limit, exchange).await.ok().flatten()
}

impl Control {
    /// The configuration, for a peer that knows an older one.
    pub fn config_for(&self, asked: ConfigAsk) -> Option<Arc<Config>> {
        let config = self.board.borrow().config.clone();
        config.filter(|config| config.version > asked.known)
    }

    /// What a peer asked of the list; `None` if this instance doesn't hold all of it.
    pub fn list_for(&self, asked: &ListAsk) -> Option<Listed> {
        let board = self.board.borrow();
        if !board.has_fleet || !board.part.share.is_all() {
            return None;
        }
        let large = || {
            let services = board.fleet.upstreams.values().map(|upstream| &upstream.service);
            services.filter(|service| board.part.large.contains(*service))
        };
        let share = asked.share.unwrap_or_else(|| subset::initial_share(large()));
        let part = Part { share, large: board.part.large.clone() };
        let holds = shares::holds(&asked.id, &part);
        if asked.since > 0 && asked.after.is_empty() {
            let delta = board.fleet.since_for(asked.since, &holds);
            if !delta.is_whole {
                return Some(Listed { part, content: Content::Changes(delta) });
            }
        }
        let content = Content::Page(board.fleet.page(&asked.after, holds));
        Some(Listed { part, content })
    }

    /// Fetches from peers what this instance doesn't know yet: at once if it leaves the directory
    /// to others, else after a moment in which the directory usually tells.
    pub(super) fn fetch_if_behind(self: &Rc<Control>, now_ms: u64) {
        let mut board = self.board.borrow_mut();
        let known = Control::versions(&board);
        let config_source = self.source(&board, |member| member.versions.config > known.config);
        let list_source = self.list_source(&board, now_ms);
        if config_source.is_none() && list_source.is_none() {
            board.behind_since_ms = None;
            return;
        }
        let since_ms = *board.behind_since_ms.get_or_insert(now_ms);
        let behind_ms = now_ms.saturating_sub(since_ms);
        if board.is_watching && behind_ms < BEHIND_MS && board.has_fleet {
            return;
        }
        if board.is_watching && behind_ms >= BROKEN_WATCH_MS {
            board.behind_since_ms = None;
            self.broken_watch.notify_one();
        }
        drop(board);
        if let Some(addr) = config_source {
            self.start_config_fetch(addr);
        }
        if let Some(addr) = list_source {
            self.start_list_fetch(addr);
        }
    }

    fn start_config_fetch(self: &Rc<Control>, addr: SocketAddr) {
        if std::mem::replace(&mut self.board.borrow_mut().is_fetching_config, true) {
            return;
        }
        let control = Rc::clone(self);
        tokio::task::spawn_local(async move {
            if !control.fetch_config(addr).await {
                tokio::time::sleep(Duration::from_millis(retry_pause_ms())).await;
            }
            control.board.borrow_mut().is_fetching_config = false;
        });
    }

    fn start_list_fetch(self: &Rc<Control>, addr: SocketAddr) {
        if std::mem::replace(&mut self.board.borrow_mut().is_fetching_list, true) {
            return;
        }
        let control = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let is_fetched = control.fetch_list(addr).await;
            let mut board = control.board.borrow_mut();
            board.is_fetching_list = false;
            if !is_fetched {
                board.list_retry_ms = control.clock.now_ms() + retry_pause_ms();
            }
        });
    }

    /// Fetches the configuration from a peer. Returns whether that one had a newer one.
    pub(super) async fn fetch_config(&self, addr: SocketAddr) -> bool {
        let known = Control::versions(&self.board.borrow()).config;
        let asked: Option<Option<Arc<Config>>> = ask(addr, CONFIG_PATH, &ConfigAsk { known }).await;
        match asked {
            Some(Some(config)) => {
                self.take_config(config, "peer");
                self.publish();
                true
            }
            Some(None) => false,
            None => {
                self.metrics.count("peer_fetches_failed");
                false
            }
        }
    }

    /// Fetches the list from a peer, and what that one doesn't answer from others. Returns whether it
    /// came.
    pub(super) async fn fetch_list(&self, mut addr: SocketAddr) -> bool {
        let mut pages = Pages::default();
        let mut failed = 0;
        while failed < FETCH_TRIES {
            let asked = self.list_ask(&pages);
            let Some(listed) = ask::<_, Listed>(addr, LIST_PATH, &asked).await else {
                self.metrics.count("peer_fetches_failed");
                failed += 1;
                tokio::time::sleep(Duration::from_millis(FETCH_PAUSE_MS)).await;
                addr = self.other_source(addr);
                continue;
            };
            failed = 0;
            match listed.content {
                Content::Changes(delta) => {
                    self.take_changes_since(asked.since, delta, &listed.part, addr);
                    return true;
                }
                Content::Page(page) => {
                    if pages.add(listed.part, page) {
                        self.take_pages(pages, addr);
                        return true;
                    }
                }
            }
        }
        false
    }

    fn list_ask(&self, pages: &Pages) -> ListAsk {
        let board = self.board.borrow();
        let since = if board.wanted_share.is_some() { 0 } else { Control::versions(&board).fleet };
        let wanted = board.wanted_share.or(board.has_fleet.then_some(board.part.share));
        ListAsk {
            id: Arc::clone(&self.me.id),
            since,
            share: pages.part.as_ref().map(|part| part.share).or(wanted),
            after: pages.last(),
        }
    }

    /// Another peer that may hold the whole list, if there is one.
    fn other_source(&self, failed: SocketAddr) -> SocketAddr {
        let board = self.board.borrow();
        let told = board.list_holders_told.iter().copied();
        let all = told.chain(Control::list_holders(&board));
        let others: Vec<SocketAddr> = all.filter(|addr| *addr != failed).collect();
        fastrand::choice(others).unwrap_or(failed)
    }

    /// A living member for which something holds, of this failure domain if there is one.
    fn source(&self, board: &Board, holds: impl Fn(&Member) -> bool) -> Option<SocketAddr> {
        let fitting = board.membership.alive().filter(|member| holds(member));
        let fitting: Vec<&Registration> = fitting.map(|member| &member.card.registration).collect();
        let is_near = |other: &&&Registration| other.domain == self.me.domain;
        let near: Vec<&Registration> = fitting.iter().filter(is_near).copied().collect();
        let some = if near.is_empty() { fitting } else { near };
        fastrand::choice(some).map(|other| other.peer_addr)
    }

    /// Where to fetch the list, if this instance has none, wants another share of it, or knows of a
    /// newer one; what it holds a part of, it is told without asking here.
    fn list_source(&self, board: &Board, now_ms: u64) -> Option<SocketAddr> {
        if board.is_fetching_list || now_ms < board.list_retry_ms {
            return None;
        }
        let known = Control::versions(board).fleet;
        let holds_newer =
            |member: &Member| member.card.share.is_all() && member.versions.fleet > known;
        let is_told = !board.part.share.is_all();
        if board.has_fleet && board.wanted_share.is_none() && !is_told {
            return self.source(board, holds_newer);
        }
        if board.has_fleet && board.wanted_share.is_none() && !board.is_behind {
            return None;
        }
        let told = fastrand::choice(&board.list_holders_told).copied();
        let by_rank = || fastrand::choice(Control::list_holders(board).collect::<Vec<_>>());
        if board.has_fleet {
            return told.or_else(by_rank);
        }
        // Before anybody has the list, asking for it would only keep those busy who read it.
        let is_overdue = now_ms >= LIST_OVERDUE_MS;
        told.or_else(|| self.source(board, holds_newer))
            .or_else(|| by_rank().filter(|_| is_overdue))
    }

    /// Notes where the whole list is held, as a peer told.
    pub(super) fn note_list_holder(board: &mut Board, addr: SocketAddr) {
        if !board.list_holders_told.contains(&addr) {
            board.list_holders_told.push_back(addr);
        }
        if board.list_holders_told.len() > MOST_HOLDERS_TOLD {
            board.list_holders_told.pop_front();
        }
    }

    /// Where the whole list is held, for peers that have none.
    pub(super) fn list_holder_to_tell(&self, board: &Board) -> Option<SocketAddr> {
        if board.has_fleet && board.part.share.is_all() {
            return Some(self.me.peer_addr);
        }
        fastrand::choice(&board.list_holders_told).copied()
    }

    /// Where those are reached that hold the whole list, as far as their rank says.
    pub(super) fn list_holders(board: &Board) -> impl Iterator<Item = SocketAddr> {
        board.membership.keepers().into_iter().map(|member| member.card.registration.peer_addr)
    }

    fn take_pages(&self, pages: Pages, from: SocketAddr) {
        let now_ms = self.clock.now_ms();
        let Pages { part: Some(part), revision, pages } = pages else { return };
        let mut board = self.board.borrow_mut();
        slog::info!(self.log, "upstreams fetched from peers"; "peer" => %from,
            "revision" => revision, "before" => board.fleet.revision, "pages" => pages.len(),
            "halvings" => part.share.halvings());
        board.has_fleet = true;
        board.is_outage_own = board.is_directory_lost;
        board.fleet.adopt(revision, pages, now_ms);
        board.is_behind = false;
        board.wanted_share = None;
        board.part = part;
        drop(board);
        self.publish();
    }

    /// Takes in changes since a revision of what this instance holds.
    fn take_changes_since(&self, since: u64, delta: Delta, part: &Part, from: SocketAddr) {
        let mut board = self.board.borrow_mut();
        self.follow_large(&mut board, part);
        board.is_behind = false;
        if board.part.share.is_all() {
            drop(board);
            self.take_delta(delta, from);
        } else if board.part.share == part.share {
            board.fleet.patch(delta, since, self.clock.now_ms());
            drop(board);
        } else {
            drop(board);
        }
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

/// The pause after a fetch that brought nothing, so that those that wait for the same don't ask together.
fn retry_pause_ms() -> u64 {
    fastrand::u64(FETCH_RETRY_MS..2 * FETCH_RETRY_MS)
}

/// The pages of a whole list, as they come.
#[derive(Debug, Default)]
struct Pages {
    /// What the first page said that it holds.
    part: Option<Part>,
    /// The oldest revision of a page.
    revision: u64,
    pages: Vec<Page>,
}

impl Pages {
    /// Adds the next page. Returns whether it was the last one.
    fn add(&mut self, part: Part, page: Page) -> bool {
        let is_first = self.part.is_none();
        self.part.get_or_insert(part);
        self.revision = if is_first { page.revision } else { self.revision.min(page.revision) };
        let is_last = !page.has_more;
        self.pages.push(page);
        is_last
    }

    /// The last upstream that came.
    fn last(&self) -> Arc<str> {
        let last = self.pages.last().and_then(|page| page.upstreams.last());
        last.map_or(Arc::from(""), |upstream| Arc::clone(&upstream.id))
    }
}
