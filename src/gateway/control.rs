//! The control thread: it keeps the configuration, the list of upstreams and the peers new, and
//! publishes what traffic reads.
//!
//! Its controllers share one blackboard: one follows the directory, one exchanges beats with
//! peers, one fetches from a peer what the directory did not tell, one keeps the registration.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::header::HOST;
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use super::channel::Channel;
use super::directory::{Changes, Directory, Fault, Listing, Record, Removed};
use super::fleet::{Change, Fleet, Upstream};
use super::instance::Registration;
use super::metrics::Metrics;
use super::peers::{BEAT_MS, Beat, Held, Message, Peers, Phase, Sent, Update, Versions};
use super::route::Config;
use super::settings::Settings;
use super::view::{Front, Own, Shared, View};
use crate::clock::Clock;

/// How long a watch waits. A directory that was down may have forgotten a watch without a word,
/// and an accepted change must be in force within two seconds of a calm directory, so a watch is
/// soon asked anew; only a few instances ask.
const WATCH_MS: u64 = 2_000;
/// How long changes gather before the next watch: an engine's crash brings a burst of them, each
/// call costs, and the bounds for taking on a change are seconds.
const GATHER_MS: u64 = 400;
/// The wait after a call that failed; doubled up to the longest.
const RETRY_MS: u64 = 150;
/// The longest wait after calls that failed: the directory's return should be noticed within
/// half a second.
const RETRY_MOST_MS: u64 = 500;
/// How long a registration outlives its last renewal.
const LEASE_MS: u64 = 30_000;
/// The pause between renewals, a third of the lease.
const RENEW_MS: u64 = 10_000;
/// How long news of traffic gather before peers hear of them: a burst of placements or losses
/// comes within a few milliseconds.
const NEWS_MS: u64 = 15;
/// How long a watching instance lets a peer know a newer version before it fetches it from there:
/// the directory's own answer is usually under way.
const BEHIND_MS: u64 = 300;
/// How long a watch may be behind a peer before it is given up as broken.
const BROKEN_WATCH_MS: u64 = 1_000;
/// How often an instance looks whether it should watch the directory.
const WATCH_LOOK_MS: u64 = 250;
/// How often at the most traffic gets a new picture: peers' news come in bursts.
const PUBLISH_MS: u64 = 20;
/// How long fetching from a peer may take.
const FETCH_TIMEOUT_MS: u64 = 500;
/// How long what a peer told last is remembered after its death: callers come within seconds.
const REMEMBER_MS: u64 = 10_000;
/// The longest datagram.
const DATAGRAM_BYTES: usize = 32 << 10;
/// The path at which peers fetch what an instance knows.
pub const KNOWLEDGE_PATH: &str = "/peer/knowledge";

/// What an instance knows, as a peer fetches it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Knowledge {
    /// The configuration in force there, if it is newer than what was asked with.
    pub config: Option<Arc<Config>>,
    /// The revision of its list.
    pub fleet_revision: u64,
    /// Its list of upstreams.
    pub upstreams: Vec<Upstream>,
}

/// The path at which a peer's newer knowledge is fetched.
fn knowledge_target(config_version: u64) -> String {
    format!("{KNOWLEDGE_PATH}?config={config_version}")
}

/// What all controllers read and write.
struct Board {
    config: Option<Arc<Config>>,
    fleet: Fleet,
    has_fleet: bool,
    peers: Peers,
    phase: Phase,
    is_directory_lost: bool,
    answered_ms: u64,
    lease: Option<u64>,
    is_watching: bool,
    /// Peers heard of changes while this instance did not: the outage was its own.
    is_outage_own: bool,
    messages: u64,
    told: Own,
    told_versions: Versions,
    told_phase: Phase,
    behind_since_ms: Option<u64>,
    is_fetching: bool,
}

/// The control thread's state.
pub struct Control {
    settings: Settings,
    me: Registration,
    directory: Box<dyn Directory>,
    shared: Arc<Shared>,
    metrics: Arc<Metrics>,
    clock: Clock,
    log: slog::Logger,
    board: RefCell<Board>,
    /// Ends a watch that peers have overtaken.
    broken_watch: Notify,
    /// Asks for a new picture for traffic.
    dirty: Notify,
}

impl Control {
    /// A thread that knows nothing yet.
    pub fn new(
        settings: Settings,
        directory: Box<dyn Directory>,
        shared: Arc<Shared>,
        metrics: Arc<Metrics>,
        clock: Clock,
        log: slog::Logger,
    ) -> Rc<Control> {
        let me = Registration {
            id: Arc::clone(&settings.id),
            incarnation: fastrand::u64(1..1 << 53),
            peer_addr: settings.peer,
            front_addr: settings.front,
            domain: Arc::clone(&settings.domain),
        };
        let board = Board {
            config: None,
            fleet: Fleet::default(),
            has_fleet: false,
            peers: Peers::default(),
            phase: Phase::Starting,
            is_directory_lost: false,
            answered_ms: 0,
            lease: None,
            is_watching: false,
            is_outage_own: false,
            messages: 0,
            told: Own::default(),
            told_versions: Versions::default(),
            told_phase: Phase::Starting,
            behind_since_ms: None,
            is_fetching: false,
        };
        let board = RefCell::new(board);
        let broken_watch = Notify::new();
        let dirty = Notify::new();
        Rc::new(Control {
            settings,
            me,
            directory,
            shared,
            metrics,
            clock,
            log,
            board,
            broken_watch,
            dirty,
        })
    }

    /// Starts all controllers on the current local set.
    pub fn start(self: &Rc<Control>, socket: UdpSocket) {
        let socket = Rc::new(socket);
        tokio::task::spawn_local(Rc::clone(self).follow_directory());
        tokio::task::spawn_local(Rc::clone(self).keep_registration());
        tokio::task::spawn_local(Rc::clone(self).hear_beats(Rc::clone(&socket)));
        tokio::task::spawn_local(Rc::clone(self).send_updates(Rc::clone(&socket)));
        tokio::task::spawn_local(Rc::clone(self).send_beats(socket));
        tokio::task::spawn_local(Rc::clone(self).publish_changes());
    }

    /// Begins a planned stop: peers leave this instance out of their answers at once.
    pub async fn stop(self: &Rc<Control>) {
        self.board.borrow_mut().phase = Phase::Stopping;
        self.publish();
        let lease = self.board.borrow_mut().lease.take();
        if let Some(lease) = lease
            && let Err(fault) = self.directory.release(lease).await
        {
            slog::info!(self.log, "registration not removed; it ends with its lease";
                "detail" => %fault);
        }
    }

    /// What peers may fetch.
    pub fn knowledge(&self, config_version: u64) -> Knowledge {
        let board = self.board.borrow();
        let is_newer = |config: &Arc<Config>| config.version > config_version;
        Knowledge {
            config: board.config.clone().filter(is_newer),
            fleet_revision: board.fleet.revision,
            upstreams: board.fleet.upstreams.values().cloned().collect(),
        }
    }

    async fn follow_directory(self: Rc<Control>) {
        let mut retry_ms = RETRY_MS;
        loop {
            self.wait_for_turn().await;
            let listed = self.directory.list().await;
            match listed {
                Ok(listing) => {
                    retry_ms = RETRY_MS;
                    let revision = listing.revision;
                    self.directory_answered();
                    self.take_listing(listing);
                    self.watch(revision).await;
                }
                Err(fault) => {
                    self.directory_failed(&fault);
                    tokio::time::sleep(Duration::from_millis(retry_ms)).await;
                    retry_ms = (retry_ms * 2).min(RETRY_MOST_MS);
                }
            }
        }
    }

    /// Follows the changes until they are no longer kept.
    async fn watch(&self, mut revision: u64) {
        let mut retry_ms = RETRY_MS;
        loop {
            if !self.should_watch() {
                self.board.borrow_mut().is_watching = false;
                slog::info!(self.log, "directory left to others"; "revision" => revision);
                return;
            }
            let watched = tokio::select! {
                watched = self.directory.watch(revision, WATCH_MS) => watched,
                () = self.broken_watch.notified() => {
                    slog::info!(self.log, "watch is behind peers and given up";
                        "revision" => revision);
                    continue;
                }
            };
            match watched {
                Ok(changes) => {
                    retry_ms = RETRY_MS;
                    self.directory_answered();
                    revision = revision.max(changes.revision);
                    let has_any = !changes.records.is_empty() || !changes.removed.is_empty();
                    self.take_changes(changes);
                    if has_any {
                        tokio::time::sleep(Duration::from_millis(GATHER_MS)).await;
                    }
                }
                Err(fault @ Fault::HistoryGone) => {
                    slog::info!(self.log, "directory read anew"; "why" => %fault);
                    return;
                }
                Err(fault) => {
                    self.directory_failed(&fault);
                    tokio::time::sleep(Duration::from_millis(retry_ms)).await;
                    retry_ms = (retry_ms * 2).min(RETRY_MOST_MS);
                }
            }
        }
    }

    fn should_watch(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let board = self.board.borrow();
        !board.has_fleet || board.peers.should_watch(&self.me, now_ms)
    }

    /// Waits until this instance should hear of changes from the directory itself.
    async fn wait_for_turn(&self) {
        while !self.should_watch() {
            tokio::time::sleep(Duration::from_millis(WATCH_LOOK_MS)).await;
        }
    }

    fn directory_answered(&self) {
        let now_ms = self.clock.now_ms();
        let mut board = self.board.borrow_mut();
        board.answered_ms = now_ms;
        board.is_watching = true;
        if board.is_directory_lost {
            board.is_directory_lost = false;
            if !std::mem::take(&mut board.is_outage_own) {
                board.fleet.regained(now_ms);
            }
            slog::info!(self.log, "directory answers again");
        }
    }

    fn directory_failed(&self, fault: &Fault) {
        self.metrics.count("directory_faults");
        let mut board = self.board.borrow_mut();
        if !board.is_directory_lost {
            board.is_directory_lost = true;
            slog::warn!(self.log, "directory lost"; "why" => %fault,
                "config_version" => board.config.as_ref().map_or(0, |config| config.version),
                "fleet_revision" => board.fleet.revision);
        }
    }

    fn take_listing(&self, listing: Listing) {
        let now_ms = self.clock.now_ms();
        let mut upstreams = Vec::new();
        for record in listing.records {
            match record {
                Record::Upstream(upstream) => upstreams.push(upstream),
                record => self.take_record(record, now_ms),
            }
        }
        let mut board = self.board.borrow_mut();
        slog::info!(self.log, "directory listed"; "revision" => listing.revision,
            "upstreams" => upstreams.len());
        if board.fleet.replace(listing.revision, upstreams, now_ms) {
            board.has_fleet = true;
        }
        drop(board);
        self.publish();
    }

    fn take_changes(&self, changes: Changes) {
        let now_ms = self.clock.now_ms();
        let mut of_upstreams = Vec::new();
        for record in changes.records {
            match record {
                Record::Upstream(upstream) => of_upstreams.push(Change::Put(upstream)),
                record => self.take_record(record, now_ms),
            }
        }
        for removed in changes.removed {
            match removed {
                Removed::Upstream(id) => of_upstreams.push(Change::Gone(id)),
                // Peers tell by their beats whether an instance lives.
                Removed::Instance(_) => {}
            }
        }
        for change in &of_upstreams {
            self.log_change(change);
        }
        self.board.borrow_mut().fleet.apply(changes.revision, of_upstreams, now_ms);
        self.publish();
    }

    fn log_change(&self, change: &Change) {
        match change {
            Change::Put(upstream) => slog::debug!(self.log, "upstream listed";
                "upstream" => &*upstream.id, "service" => &*upstream.service,
                "address" => %upstream.addr, "leaving" => upstream.is_leaving),
            Change::Gone(id) => slog::debug!(self.log, "upstream gone"; "upstream" => &**id),
        }
    }

    fn take_record(&self, record: Record, now_ms: u64) {
        match record {
            Record::Config(config) => self.take_config(config, "directory"),
            Record::Instance(registration) => {
                if registration.id != self.me.id {
                    self.board.borrow_mut().peers.list(registration, now_ms);
                }
            }
            Record::Unreadable { key, detail } => {
                slog::warn!(self.log, "record refused; what is in force stays";
                    "key" => key, "detail" => detail);
            }
            Record::Upstream(_) => {}
        }
    }

    /// Takes on a configuration that is newer than the one in force; it never goes back.
    fn take_config(&self, config: Arc<Config>, from: &str) {
        let mut board = self.board.borrow_mut();
        let known = board.config.as_ref().map_or(0, |known| known.version);
        if config.version <= known {
            return;
        }
        slog::info!(self.log, "configuration in force"; "version" => config.version,
            "before" => known, "from" => from, "routes" => config.routes.len());
        board.config = Some(config);
    }

    fn publish(&self) {
        let now_ms = self.clock.now_ms();
        let mut board = self.board.borrow_mut();
        let is_complete = board.config.is_some() && board.has_fleet;
        if board.phase == Phase::Starting && is_complete {
            board.phase = Phase::Ready;
            slog::info!(self.log, "ready"; "since_start_ms" => now_ms);
        }
        let mut fronts = Vec::new();
        if board.phase == Phase::Ready {
            fronts.push(Front { addr: self.me.front_addr, domain: Arc::clone(&self.me.domain) });
        }
        let others = Others::sum(board.peers.alive(now_ms));
        fronts.extend(others.fronts);
        let mut places = BTreeMap::new();
        for beat in board.peers.remembered(REMEMBER_MS, now_ms) {
            places.extend(beat.places.iter().cloned());
        }
        let before = self.shared.view.load();
        let is_same_fleet = before.fleet.upstreams == board.fleet.upstreams;
        let fleet =
            if is_same_fleet { Arc::clone(&before.fleet) } else { Arc::new(board.fleet.clone()) };
        let view = View {
            config: board.config.clone(),
            fleet,
            phase: board.phase,
            fronts,
            instances: others.instances + 1,
            others: Arc::new(others.held),
            sent: Arc::new(others.sent),
            lost: Arc::new(others.lost),
            places: Arc::new(places),
        };
        drop(before);
        let has_news =
            Control::versions(&board) != board.told_versions || board.phase != board.told_phase;
        drop(board);
        self.shared.view.store(Arc::new(view));
        self.shared.changed.notify_waiters();
        if has_news {
            self.shared.news.notify_one();
        }
    }

    /// Publishes what changed, after a moment in which more may come.
    async fn publish_changes(self: Rc<Control>) {
        loop {
            self.dirty.notified().await;
            self.publish();
            tokio::time::sleep(Duration::from_millis(PUBLISH_MS)).await;
        }
    }

    async fn send_beats(self: Rc<Control>, socket: Rc<UdpSocket>) {
        loop {
            tokio::time::sleep(Duration::from_millis(BEAT_MS)).await;
            let now_ms = self.clock.now_ms();
            let message = Message::Beat(self.beat());
            let due = {
                let mut board = self.board.borrow_mut();
                board.fleet.expire(now_ms);
                board.peers.due(&self.settings.seeds, self.me.peer_addr, now_ms)
            };
            send(&socket, &message, &due);
            self.dirty.notify_one();
            self.fetch_if_behind(now_ms);
        }
    }

    async fn send_updates(self: Rc<Control>, socket: Rc<UdpSocket>) {
        loop {
            self.shared.news.notified().await;
            // What follows at once goes with it.
            tokio::time::sleep(Duration::from_millis(NEWS_MS)).await;
            if let Some(update) = self.update() {
                let all = self.board.borrow().peers.all(self.me.peer_addr);
                send(&socket, &Message::Update(update), &all);
            }
        }
    }

    fn versions(board: &Board) -> Versions {
        Versions {
            config: board.config.as_ref().map_or(0, |config| config.version),
            fleet: if board.has_fleet { board.fleet.revision } else { 0 },
            is_first_hand: board.is_watching && !board.is_directory_lost,
        }
    }

    fn beat(&self) -> Beat {
        let own = self.shared.own();
        let mut board = self.board.borrow_mut();
        board.messages += 1;
        board.told = own.clone();
        board.told_versions = Control::versions(&board);
        board.told_phase = board.phase;
        Beat {
            from: self.me.clone(),
            count: board.messages,
            phase: board.phase,
            versions: board.told_versions,
            sent: own.sent,
            held: own.held,
            lost: own.lost,
            places: own.places,
        }
    }

    /// What changed since the last message, if anything did.
    fn update(&self) -> Option<Update> {
        let own = self.shared.own();
        let mut board = self.board.borrow_mut();
        let versions = Control::versions(&board);
        let mut held: Vec<Held> =
            own.held.iter().filter(|held| !board.told.held.contains(held)).cloned().collect();
        for before in &board.told.held {
            if own.held.iter().all(|held| held.upstream != before.upstream) {
                let upstream = Arc::clone(&before.upstream);
                held.push(Held { upstream, runs: 0, copies: 0, reading: 0 });
            }
        }
        let is_new = |id: &&Arc<str>| !board.told.lost.contains(id);
        let lost: Vec<Arc<str>> = own.lost.iter().filter(is_new).cloned().collect();
        let is_new = |place: &&(u64, Arc<str>)| !board.told.places.contains(place);
        let places: Vec<(u64, Arc<str>)> = own.places.iter().filter(is_new).cloned().collect();
        let is_same = held.is_empty() && lost.is_empty() && places.is_empty();
        if is_same && versions == board.told_versions && board.phase == board.told_phase {
            return None;
        }
        board.messages += 1;
        board.told = own;
        board.told_versions = versions;
        board.told_phase = board.phase;
        Some(Update {
            phase: board.phase,
            id: Arc::clone(&self.me.id),
            incarnation: self.me.incarnation,
            count: board.messages,
            versions,
            held,
            lost,
            places,
        })
    }

    async fn hear_beats(self: Rc<Control>, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(Duration::from_millis(BEAT_MS)).await;
                continue;
            };
            match rmp_serde::from_slice(&buffer[..length]) {
                Ok(Message::Beat(beat)) if beat.from.id != self.me.id => self.hear_beat(beat),
                Ok(Message::Update(update)) => self.hear_update(update),
                Ok(Message::Beat(_)) => {}
                Err(_) => self.metrics.count("messages_unreadable"),
            }
        }
    }

    fn hear_beat(self: &Rc<Control>, beat: Beat) {
        let now_ms = self.clock.now_ms();
        let id = Arc::clone(&beat.from.id);
        let is_urgent = beat.phase == Phase::Stopping;
        let is_back = self.board.borrow_mut().peers.hear(beat, now_ms);
        if is_back {
            slog::info!(self.log, "peer heard"; "peer" => &*id);
        }
        if is_back || is_urgent {
            self.dirty.notify_one();
        }
        self.fetch_if_behind(now_ms);
    }

    fn hear_update(self: &Rc<Control>, update: Update) {
        let now_ms = self.clock.now_ms();
        if self.board.borrow_mut().peers.update(update, now_ms) {
            self.dirty.notify_one();
            self.fetch_if_behind(now_ms);
        }
    }

    /// Fetches from a peer what this instance doesn't know yet: at once if it leaves the directory
    /// to others, else after a moment in which the directory usually tells.
    fn fetch_if_behind(self: &Rc<Control>, now_ms: u64) {
        let mut board = self.board.borrow_mut();
        if board.is_fetching {
            return;
        }
        let known = Control::versions(&board);
        let newer =
            |beat: &Beat| beat.versions.config > known.config || beat.versions.fleet > known.fleet;
        let near = |beat: &Beat| newer(beat) && beat.from.domain == self.me.domain;
        let mut random = fastrand::Rng::new();
        let ahead = board.peers.ahead(now_ms, &mut random, near);
        let Some(addr) = ahead.or_else(|| board.peers.ahead(now_ms, &mut random, newer)) else {
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
        drop(board);
        let control = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let limit = Duration::from_millis(FETCH_TIMEOUT_MS);
            let fetched = tokio::time::timeout(limit, fetch(addr, known.config)).await;
            control.board.borrow_mut().is_fetching = false;
            match fetched {
                Ok(Some(knowledge)) => control.take_knowledge(knowledge, addr),
                _ => control.metrics.count("peer_fetches_failed"),
            }
        });
    }

    fn take_knowledge(&self, knowledge: Knowledge, from: SocketAddr) {
        if let Some(config) = knowledge.config {
            self.take_config(config, "peer");
        }
        let now_ms = self.clock.now_ms();
        let mut board = self.board.borrow_mut();
        let is_newer = knowledge.fleet_revision > board.fleet.revision || !board.has_fleet;
        if is_newer && knowledge.fleet_revision > 0 {
            board.has_fleet = true;
            board.is_outage_own = board.is_directory_lost;
            slog::debug!(self.log, "upstreams taken from a peer"; "peer" => %from,
                "revision" => knowledge.fleet_revision, "before" => board.fleet.revision);
            board.fleet.replace(knowledge.fleet_revision, knowledge.upstreams, now_ms);
        }
        drop(board);
        self.publish();
    }

    async fn keep_registration(self: Rc<Control>) {
        loop {
            let lease = self.board.borrow().lease;
            let is_stopping = self.board.borrow().phase == Phase::Stopping;
            if is_stopping {
                return;
            }
            let kept = match lease {
                Some(lease) => self.directory.renew(lease).await,
                None => self.register().await,
            };
            match kept {
                Ok(()) => tokio::time::sleep(Duration::from_millis(RENEW_MS)).await,
                Err(Fault::LeaseEnded) => self.board.borrow_mut().lease = None,
                Err(fault) => {
                    slog::info!(self.log, "registration not renewed"; "why" => %fault);
                    tokio::time::sleep(Duration::from_millis(RETRY_MOST_MS)).await;
                }
            }
        }
    }

    async fn register(&self) -> Result<(), Fault> {
        let lease = self.directory.register(&self.me, LEASE_MS).await?;
        self.board.borrow_mut().lease = Some(lease);
        Ok(())
    }
}

/// What the other instances have, summed up.
#[derive(Default)]
struct Others {
    instances: u32,
    fronts: Vec<Front>,
    held: BTreeMap<Arc<str>, Held>,
    sent: BTreeMap<Arc<str>, Sent>,
    lost: Vec<Arc<str>>,
}

impl Others {
    fn sum<'a>(beats: impl Iterator<Item = &'a Beat>) -> Others {
        let mut all = Others::default();
        for beat in beats {
            all.add(beat);
        }
        all
    }

    fn add(&mut self, beat: &Beat) {
        self.instances += 1;
        if beat.phase == Phase::Ready {
            let domain = Arc::clone(&beat.from.domain);
            self.fronts.push(Front { addr: beat.from.front_addr, domain });
        }
        for held in &beat.held {
            let upstream = Arc::clone(&held.upstream);
            let nothing = || Held { upstream, runs: 0, copies: 0, reading: 0 };
            let sum = self.held.entry(Arc::clone(&held.upstream)).or_insert_with(nothing);
            sum.runs += held.runs;
            sum.copies += held.copies;
            sum.reading += held.reading;
        }
        for sent in &beat.sent {
            let service = Arc::clone(&sent.service);
            let nothing = || Sent { service, requests: 0, repeats: 0 };
            let sum = self.sent.entry(Arc::clone(&sent.service)).or_insert_with(nothing);
            sum.requests += sent.requests;
            sum.repeats += sent.repeats;
        }
        self.lost.extend(beat.lost.iter().cloned());
    }
}

/// Sends a message to each address; one that is lost is followed by others that say as much.
fn send(socket: &UdpSocket, message: &Message, addrs: &[SocketAddr]) {
    let Ok(bytes) = rmp_serde::to_vec(message) else { return };
    for addr in addrs {
        let _ = socket.try_send_to(&bytes, *addr);
    }
}

async fn fetch(addr: SocketAddr, config_version: u64) -> Option<Knowledge> {
    let mut channel = Channel::open(addr, FETCH_TIMEOUT_MS).await.ok()?;
    let request = Request::get(knowledge_target(config_version))
        .header(HOST, addr.to_string())
        .body(Full::<Bytes>::default())
        .ok()?;
    let response = channel.send(request).await.ok()?;
    let body = response.into_body().collect().await.ok()?.to_bytes();
    rmp_serde::from_slice(&body).ok()
}
