//! Fetches newer configurations and upstream lists from peers, and answers such requests.
//!
//! The configuration and the upstream list are fetched separately: a list of thousands of upstreams may
//! occupy a link for seconds, and an operator's configuration change must not wait for it. The list is
//! fetched in pages, each from any peer that answers, so that a slow peer delays one page and not the whole
//! list.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::super::body::{self, HeldMemory};
use super::super::channel::Channel;
use super::super::fleet::{Delta, Page};
use super::super::instance::Registration;
use super::super::loads::UpstreamSubset;
use super::super::membership::{Member, Phase};
use super::super::policy::eras;
use super::super::policy::paging::{self, Progress};
use super::super::policy::subset::{self, Share};
use super::super::route::Config;
use super::{Control, ControlState, shares};

/// How long an instance that watches the directory waits before it fetches a newer version from a peer: the
/// directory's own answer is usually under way.
const DIRECTORY_ANSWER_DELAY_MS: u64 = 300;
/// How long a directory watch may lag behind a peer before it is restarted as broken.
const MAX_WATCH_LAG_MS: u64 = 1_000;
/// The timeout of one request to a peer: a page or a configuration is about 50 KB.
pub const FETCH_TIMEOUT_MS: u64 = 1_500;
/// The maximum size of a peer's answer: a configuration may have several megabytes.
const MAX_FETCH_BYTES: usize = 16 << 20;
/// After how many consecutive failed requests a list fetch is given up.
const MAX_FETCH_FAILURES: u32 = 4;
/// After how many lists that lead no further a fetch is given up.
const MAX_UNFINISHED_LISTS: u32 = 2;
/// The pause after a failed request: the peer may have been busy with others.
const FETCH_FAILURE_PAUSE_MS: u64 = 20;
/// The minimum pause after a fetch that failed or brought nothing new.
const MIN_FETCH_RETRY_MS: u64 = 100;
/// How long after its start an instance without a list begins to ask those that should hold it by their rank,
/// if no holder has been reported to it.
const LIST_HOLDER_REPORT_TIMEOUT_MS: u64 = 3_000;
/// How many reported holders of the full list are remembered.
const MAX_REPORTED_HOLDERS: usize = 8;

/// The path at which peers fetch the configuration.
pub const CONFIG_PATH: &str = "/peer/config";
/// The path at which peers fetch the list of upstreams.
pub const LIST_PATH: &str = "/peer/upstreams";

/// A request for the configuration, if it is newer than the known version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// The version that the sender knows.
    pub known: u64,
}

/// A request for the upstream list, for a part of it, or for its changes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListRequest {
    /// The id of the sender.
    pub id: Arc<str>,
    /// The list revision that the sender knows, or 0.
    pub since: u64,
    /// The requested share of the large services; without one, the responder chooses.
    pub share: Option<Share>,
    /// The id of the upstream after which the requested page begins.
    pub after: Arc<str>,
}

/// The answer to a [`ListRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListResponse {
    /// Which part of the list the content covers.
    pub part: UpstreamSubset,
    /// The upstreams.
    pub content: ListContent,
}

/// The content of a [`ListResponse`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ListContent {
    /// The changes since the known revision.
    Changes(Delta),
    /// A page of the list.
    Page(Page),
}

/// Sends a request to a peer. Returns `None` if it fails, is refused or times out.
async fn send_request<Q: Serialize, A: DeserializeOwned>(
    addr: SocketAddr,
    path: &str,
    message: &Q,
) -> Option<A> {
    let exchange = async {
        let mut channel = Channel::open(addr, FETCH_TIMEOUT_MS).await.ok()?;
        let body = Full::new(Bytes::from(rmp_serde::to_vec(message).ok()?));
        let request = Request::post(path).header(HOST, addr.to_string()).body(body).ok()?;
        let response = channel.send(request).await.ok()?;
        let is_answer = response.status().is_success();
        let held = HeldMemory::unshared(MAX_FETCH_BYTES);
        let body = body::read(response.into_body(), FETCH_TIMEOUT_MS, held).await.ok()?;
        channel.judge_end().ok()?;
        is_answer.then(|| rmp_serde::from_slice(&body.bytes).ok()).flatten()
    };
    let limit = Duration::from_millis(FETCH_TIMEOUT_MS);
    tokio::time::timeout(limit, exchange).await.ok().flatten()
}

impl Control {
    /// Answers a peer's request for the configuration; `None` if this instance has no newer one.
    pub fn config_for(&self, request: ConfigRequest) -> Option<Arc<Config>> {
        let config = self.state.borrow().config.clone();
        config.filter(|config| config.version > request.known)
    }

    /// Answers a peer's request for the upstream list; `None` if this instance doesn't hold the full list.
    pub fn list_for(&self, request: &ListRequest) -> Option<ListResponse> {
        let state = self.state.borrow();
        if !state.has_fleet || !state.held_part.share.is_all() {
            return None;
        }
        let large = || {
            let services = state.fleet.upstreams.values().map(|upstream| &upstream.service);
            services.filter(|service| state.held_part.large.contains(*service))
        };
        let share = request.share.unwrap_or_else(|| {
            subset::initial_share(large(), state.membership.alive().count() + 1)
        });
        let part = UpstreamSubset { share, large: state.held_part.large.clone() };
        let holds = shares::holds(&request.id, &part);
        if request.since > 0 && request.after.is_empty() {
            let delta = state.fleet.since_for(request.since, &holds);
            if !delta.is_whole {
                return Some(ListResponse { part, content: ListContent::Changes(delta) });
            }
        }
        let content = ListContent::Page(state.fleet.page(&request.after, holds));
        Some(ListResponse { part, content })
    }

    /// Fetches newer versions from peers: at once if this instance doesn't watch the directory, else after a
    /// delay in which the directory usually answers.
    pub(super) fn fetch_if_behind(self: &Rc<Control>, now_ms: u64) {
        let mut state = self.state.borrow_mut();
        let known = Control::versions(&state);
        let config_source =
            self.fetch_source(&state, |member| member.versions.config > known.config);
        let list_source = self.list_source(&state, now_ms);
        if config_source.is_none() && list_source.is_none() {
            state.behind_since_ms = None;
            return;
        }
        let since_ms = *state.behind_since_ms.get_or_insert(now_ms);
        let behind_ms = now_ms.saturating_sub(since_ms);
        if state.is_watching && behind_ms < DIRECTORY_ANSWER_DELAY_MS && state.has_fleet {
            return;
        }
        if state.is_watching && behind_ms >= MAX_WATCH_LAG_MS {
            state.behind_since_ms = None;
            self.watch_restart.notify_one();
        }
        drop(state);
        if let Some(addr) = config_source {
            self.start_config_fetch(addr);
        }
        if let Some(addr) = list_source {
            self.start_list_fetch(addr);
        }
    }

    fn start_config_fetch(self: &Rc<Control>, addr: SocketAddr) {
        if std::mem::replace(&mut self.state.borrow_mut().is_fetching_config, true) {
            return;
        }
        let control = Rc::clone(self);
        tokio::task::spawn_local(async move {
            if !control.fetch_config(addr).await {
                tokio::time::sleep(Duration::from_millis(retry_pause_ms())).await;
            }
            control.state.borrow_mut().is_fetching_config = false;
        });
    }

    fn start_list_fetch(self: &Rc<Control>, addr: SocketAddr) {
        if std::mem::replace(&mut self.state.borrow_mut().is_fetching_list, true) {
            return;
        }
        let control = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let is_fetched = control.fetch_list(addr).await;
            let mut state = control.state.borrow_mut();
            state.is_fetching_list = false;
            if !is_fetched {
                let due_ms = control.clock.now_ms() + retry_pause_ms();
                state.next_list_fetch_ms = state.next_list_fetch_ms.max(due_ms);
            }
        });
    }

    /// Fetches the configuration from a peer. Returns whether the peer had a newer one.
    pub(super) async fn fetch_config(&self, addr: SocketAddr) -> bool {
        let known = Control::versions(&self.state.borrow()).config;
        let response: Option<Option<Arc<Config>>> =
            send_request(addr, CONFIG_PATH, &ConfigRequest { known }).await;
        match response {
            Some(Some(config)) => {
                let is_newer = config.version > known;
                self.apply_config(config, "peer");
                self.publish();
                is_newer
            }
            Some(None) => false,
            None => {
                self.metrics.count("peer_fetches_failed");
                false
            }
        }
    }

    /// Fetches the list or its changes from a peer, and from other peers where that one fails. Returns whether
    /// the fetch completed and brought something newer.
    pub(super) async fn fetch_list(&self, mut addr: SocketAddr) -> bool {
        let max_bytes = self.settings.machine.list_bytes();
        let begun_ms = self.clock.now_ms();
        let mut pages = Pages::new(max_bytes);
        let mut failed = 0;
        let mut unfinished = 0;
        while failed < MAX_FETCH_FAILURES {
            let request = self.list_request(&pages);
            let since_ms = self.clock.now_ms();
            let Some(response) = send_request::<_, ListResponse>(addr, LIST_PATH, &request).await
            else {
                self.metrics.count("peer_fetches_failed");
                slog::info!(self.log, "upstreams not fetched from a peer"; "peer" => %addr,
                    "ms" => self.clock.now_ms() - since_ms, "pages" => pages.pages.len());
                failed += 1;
                tokio::time::sleep(Duration::from_millis(FETCH_FAILURE_PAUSE_MS)).await;
                addr = self.alternative_source(addr);
                continue;
            };
            failed = 0;
            match response.content {
                ListContent::Changes(delta) => {
                    let is_newer = delta.revision > request.since;
                    self.apply_changes_since(request.since, delta, &response.part, addr);
                    return is_newer;
                }
                ListContent::Page(page) => {
                    let taken_ms = self.clock.now_ms() - begun_ms;
                    match pages.add(response.part, page, taken_ms) {
                        Ok(true) => {
                            self.apply_pages(pages, addr);
                            return true;
                        }
                        Ok(false) => {}
                        Err(fault) => {
                            unfinished += 1;
                            self.note_unfinished_pages(&fault, addr);
                            if unfinished == MAX_UNFINISHED_LISTS {
                                return false;
                            }
                            pages = Pages::new(max_bytes);
                            addr = self.alternative_source(addr);
                        }
                    }
                }
            }
        }
        false
    }

    /// Notes that the list of peers leads no further: it is fetched again after a pause.
    fn note_unfinished_pages(&self, fault: &paging::Fault, peer: SocketAddr) {
        self.metrics.count("peer_lists_unfinished");
        let mut state = self.state.borrow_mut();
        let pause_ms = state.list_retry.note_fault();
        state.next_list_fetch_ms = self.clock.now_ms() + pause_ms;
        slog::warn!(self.log, "the list of peers can't be read to its end; it is fetched again";
            "why" => %fault, "peer" => %peer, "pause_ms" => pause_ms);
    }

    fn list_request(&self, pages: &Pages) -> ListRequest {
        let state = self.state.borrow();
        let since = if state.wanted_share.is_some() { 0 } else { Control::versions(&state).fleet };
        let wanted = state.wanted_share.or(state.has_fleet.then_some(state.held_part.share));
        ListRequest {
            id: Arc::clone(&self.me.id),
            since,
            share: pages.part.as_ref().map(|part| part.share).or(wanted),
            after: Arc::from(pages.progress.after()),
        }
    }

    /// A peer other than `failed` that may hold the full list; `failed` if there is none.
    fn alternative_source(&self, failed: SocketAddr) -> SocketAddr {
        let state = self.state.borrow();
        let reported = state.reported_list_holders.iter().copied();
        let all = reported.chain(Control::list_holders(&state));
        let others: Vec<SocketAddr> = all.filter(|addr| *addr != failed).collect();
        fastrand::choice(others).unwrap_or(failed)
    }

    /// A random live peer that satisfies `matches`, preferably of this failure domain.
    fn fetch_source(
        &self,
        state: &ControlState,
        matches: impl Fn(&Member) -> bool,
    ) -> Option<SocketAddr> {
        let candidates = state.membership.alive().filter(|member| matches(member));
        let candidates: Vec<&Registration> =
            candidates.map(|member| &member.descriptor.registration).collect();
        let is_same_domain = |other: &&&Registration| other.domain == self.me.domain;
        let same_domain: Vec<&Registration> =
            candidates.iter().filter(is_same_domain).copied().collect();
        let preferred = if same_domain.is_empty() { candidates } else { same_domain };
        fastrand::choice(preferred).map(|other| other.peer_addr)
    }

    /// The peer to fetch the list from, if this instance has none, needs another share, missed changes, or
    /// knows of a newer list. Changes of a part are pushed, so an instance that holds only a part doesn't
    /// fetch a list only because it is newer.
    fn list_source(&self, state: &ControlState, now_ms: u64) -> Option<SocketAddr> {
        if state.is_fetching_list || now_ms < state.next_list_fetch_ms {
            return None;
        }
        let known = Control::versions(state).fleet;
        let holds_newer =
            |member: &Member| member.descriptor.share.is_all() && member.versions.fleet > known;
        let holds_only_part = !state.held_part.share.is_all();
        if state.has_fleet && state.wanted_share.is_none() && !holds_only_part {
            return self.fetch_source(state, holds_newer);
        }
        if state.has_fleet && state.wanted_share.is_none() && !state.has_missed_changes {
            return None;
        }
        let reported = fastrand::choice(&state.reported_list_holders).copied();
        let by_rank = || fastrand::choice(Control::list_holders(state).collect::<Vec<_>>());
        if state.has_fleet {
            return reported.or_else(by_rank);
        }
        // Before any instance has the list, requests would only slow down those that are reading it.
        let is_overdue = now_ms >= LIST_HOLDER_REPORT_TIMEOUT_MS;
        reported
            .or_else(|| self.fetch_source(state, holds_newer))
            .or_else(|| by_rank().filter(|_| is_overdue))
    }

    /// Records the address of an instance that holds the full list, as reported by a peer.
    pub(super) fn record_list_holder(state: &mut ControlState, addr: SocketAddr) {
        if !state.reported_list_holders.contains(&addr) {
            state.reported_list_holders.push_back(addr);
        }
        if state.reported_list_holders.len() > MAX_REPORTED_HOLDERS {
            state.reported_list_holders.pop_front();
        }
    }

    /// The address of an instance that holds the full list, to be reported to peers.
    pub(super) fn known_list_holder(&self, state: &ControlState) -> Option<SocketAddr> {
        if state.has_fleet && state.held_part.share.is_all() {
            return Some(self.me.peer_addr);
        }
        fastrand::choice(&state.reported_list_holders).copied()
    }

    /// The addresses of the live peers that should hold the full list by their rank. Those that are still
    /// starting lack it, and would only be kept from receiving it.
    pub(super) fn list_holders(state: &ControlState) -> impl Iterator<Item = SocketAddr> {
        let holders = state.membership.full_list_holders().into_iter();
        holders
            .filter(|member| member.descriptor.phase != Phase::Starting)
            .map(|member| member.descriptor.registration.peer_addr)
    }

    fn apply_pages(&self, pages: Pages, from: SocketAddr) {
        let now_ms = self.clock.now_ms();
        let Pages { part: Some(part), revision, pages, .. } = pages else { return };
        let mut state = self.state.borrow_mut();
        let upstreams: usize = pages.iter().map(|page| page.upstreams.len()).sum();
        slog::info!(self.log, "upstreams fetched from peers"; "peer" => %from,
            "revision" => eras::revision_of(revision),
            "before" => eras::revision_of(state.fleet.revision), "pages" => pages.len(),
            "halvings" => part.share.halvings(), "upstreams" => upstreams,
            "members" => state.membership.alive().count() + 1,
            "since_start_ms" => now_ms);
        state.has_fleet = true;
        state.list_retry.note_progress();
        state.is_outage_local = state.is_directory_lost;
        state.fleet.adopt(revision, pages, now_ms);
        if part.share < state.held_part.share {
            state.fleet.forget_changes_before(revision);
        }
        state.has_missed_changes = false;
        state.wanted_share = None;
        state.held_part = part;
        drop(state);
        self.publish();
    }

    /// Applies fetched changes since a revision.
    fn apply_changes_since(
        &self,
        since: u64,
        delta: Delta,
        part: &UpstreamSubset,
        from: SocketAddr,
    ) {
        let mut state = self.state.borrow_mut();
        self.adopt_large_services(&mut state, part);
        state.has_missed_changes = false;
        if state.held_part.share.is_all() {
            drop(state);
            self.apply_delta(delta, from);
        } else if state.held_part.share == part.share {
            state.fleet.patch(delta, since, self.clock.now_ms());
            drop(state);
        } else {
            drop(state);
        }
        self.publish();
    }

    /// Applies a peer's changes to the full list, if they are newer.
    pub(super) fn apply_delta(&self, delta: Delta, from: SocketAddr) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        let revision = delta.revision;
        let is_newer = revision > state.fleet.revision || !state.has_fleet;
        if is_newer && revision > 0 {
            state.has_fleet = true;
            state.is_outage_local = state.is_directory_lost;
            slog::debug!(self.log, "upstream changes from a peer applied"; "peer" => %from,
                "revision" => eras::revision_of(revision),
                "before" => eras::revision_of(state.fleet.revision));
            state.fleet.take(delta, now_ms);
        }
    }
}

/// The pause after a fetch that failed or brought nothing new, randomized so that instances that wait for the
/// same data spread out.
fn retry_pause_ms() -> u64 {
    fastrand::u64(MIN_FETCH_RETRY_MS..2 * MIN_FETCH_RETRY_MS)
}

/// The pages of a list that is being fetched.
#[derive(Debug)]
struct Pages {
    /// The part that the first page covers; all pages are requested for its share.
    part: Option<UpstreamSubset>,
    /// The oldest revision of the pages.
    revision: u64,
    pages: Vec<Page>,
    progress: Progress,
}

impl Pages {
    /// No pages yet; all of them may take so many bytes.
    fn new(max_bytes: usize) -> Pages {
        let progress = Progress::new(max_bytes);
        Pages { part: None, revision: 0, pages: Vec::new(), progress }
    }

    /// Adds the next page, so long after the fetch began. Returns whether it was the last one.
    fn add(
        &mut self,
        part: UpstreamSubset,
        page: Page,
        taken_ms: u64,
    ) -> Result<bool, paging::Fault> {
        for id in &page.lapsed {
            self.progress.add(id, 0)?;
        }
        for upstream in &page.upstreams {
            self.progress.add(&upstream.id, upstream.held_bytes())?;
        }
        let is_last = self.progress.end_page(page.has_more, taken_ms)?;
        let is_first = self.part.is_none();
        self.part.get_or_insert(part);
        self.revision = if is_first { page.revision } else { self.revision.min(page.revision) };
        self.pages.push(page);
        Ok(is_last)
    }
}
