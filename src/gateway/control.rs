//! The control thread: it keeps the configuration, the list of upstreams and the peers new, and
//! publishes what traffic reads.
//!
//! Its controllers share one blackboard. `directory` follows the directory and keeps the registration;
//! `exchange` keeps the membership and exchanges loads with peers; `changes` tells peers what is newer, and
//! `knowledge` fetches it from them; `shares` says how much of the large services is held here; `duties`
//! does what one instance at a time may do; `permits`, `signals`, `quarantine` and `successors` each keep
//! what upstreams or requests have caused.

mod changes;
mod directory;
mod duties;
mod exchange;
pub mod knowledge;
mod permits;
mod quarantine;
mod shares;
mod signals;
mod successors;

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};

use self::shares::Guest;
use super::dialect::Dialect;
use super::directory::Directory;
use super::fleet::Fleet;
use super::instance::Registration;
use super::loads::{Loads, Part, Told};
use super::membership::{Membership, Phase, Standing, Versions};
use super::metrics::Metrics;
use super::policy::active;
use super::policy::departures::Departures;
use super::policy::found::Found;
use super::policy::lease::{DutyLease, Holder};
use super::policy::named_rates::AdvertisedRates;
use super::policy::quarantine::Quarantine;
use super::policy::rate_limit::Limiter;
use super::policy::subset::Share;
use super::policy::usage::{Counter, Usage};
use super::policy::watchers::{self, Rank};
use super::rate::Permit;
use super::route::Config;
use super::settings::Settings;
use super::view::{Front, Shared, View};
use crate::clock::Clock;

/// How often at the most traffic gets a new picture: peers' news come in bursts.
const PUBLISH_MS: u64 = 10;
/// How long a loss that a peer told counts: the list of upstreams drops what is gone within this
/// time.
const LOST_TOLD_MS: u64 = 4_000;

/// What all controllers read and write.
struct Board {
    config: Option<Arc<Config>>,
    fleet: Fleet,
    /// Engines that the silent directory does not list yet.
    found: Found,
    has_fleet: bool,
    membership: Membership,
    loads: Loads,
    /// Requests that crash upstreams.
    quarantine: Quarantine,
    /// The version of it that traffic has.
    quarantine_version: u64,
    /// The token buckets that this instance owns, for all.
    limiter: Limiter,
    /// The rates that upstreams named to any instance.
    named_rates: AdvertisedRates,
    /// Upstreams that said to any instance that they leave.
    departures: Departures,
    /// Requests of this instance for permits that others have not answered yet.
    permits: BTreeMap<u64, oneshot::Sender<Permit>>,
    /// The number of the last such request.
    permit_number: u64,
    /// Other instances that hear from the directory.
    first_hand: usize,
    /// Upstreams that any instance lost, with the time until which that counts.
    lost: BTreeMap<Arc<str>, u64>,
    /// The instances that callers are sent to.
    fronts: Arc<Vec<Front>>,
    /// The phase of this instance as of when they were worked out.
    fronts_phase: Phase,
    /// The others of this failure domain that place requests, also while they start or stop.
    placing_near: Vec<SocketAddr>,
    /// Whether this instance is one of those.
    is_placing: bool,
    phase: Phase,
    is_directory_lost: bool,
    /// When the directory last answered.
    answered_ms: u64,
    lease: Option<u64>,
    is_watching: bool,
    /// Peers heard of changes while this instance did not: the outage was its own.
    is_outage_own: bool,
    messages: u64,
    told: Told,
    /// Whether the last whole message on the traffic here said that there is none.
    has_told_nothing: bool,
    /// What peers were told that this instance knows.
    told_versions: Versions,
    /// The revisions of the list that were pushed last.
    pushed: VecDeque<u64>,
    /// What is new came from the directory, so that others don't have it yet.
    is_first_to_tell: bool,
    behind_since_ms: Option<u64>,
    is_fetching_config: bool,
    is_fetching_list: bool,
    /// Until when no list is fetched, after a fetch that brought nothing.
    list_retry_ms: u64,
    /// Instances that hold the whole list, as others told.
    list_holders_told: VecDeque<SocketAddr>,
    /// What `fleet` holds.
    part: Part,
    /// Whether more changed in that than went into a message.
    is_behind: bool,
    /// The share of the large services that is to be fetched.
    wanted_share: Option<Share>,
    /// Until when this instance holds more of them than its rank asks for.
    wide_until_ms: u64,
    /// Since when it has no reason to hold all of them.
    narrows_since_ms: Option<u64>,
    /// Since when too few instances hear from the directory.
    few_watch_since_ms: Option<u64>,
    /// Upstreams of large services that traffic knows for a moment although this instance doesn't hold them.
    guests: BTreeMap<Arc<str>, Guest>,
    /// Grows with each of them.
    guest_changes: u64,
    /// What traffic's list was made from.
    published: Option<Published>,
    /// The share that suits the fleet, and of which changes and how many members that holds.
    suitable: Option<((u64, usize), Share)>,
    /// The lease of the duties that one instance at a time has.
    duty_lease: DutyLease,
    /// Who holds it, as the directory last said.
    duty_holder: Option<Holder>,
    /// What this instance counts for the report of usage.
    counter: Counter,
    /// What all counted, if this instance may have to report it.
    usage: Usage,
    /// The last window that this instance reported.
    reported_window: Option<u64>,
}

/// What a list for traffic was made from; a list that is made from the same is the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Published {
    fleet: u64,
    found: u64,
    guests: (u64, usize),
    share: Share,
}

/// The control thread's state.
pub struct Control {
    settings: Settings,
    me: Registration,
    directory: Box<dyn Directory>,
    dialect: Arc<dyn Dialect>,
    shared: Arc<Shared>,
    metrics: Arc<Metrics>,
    clock: Clock,
    log: slog::Logger,
    board: RefCell<Board>,
    /// Ends a watch that peers have overtaken.
    broken_watch: Notify,
    /// Has a watch ask at once whether the directory still answers, since it doesn't answer another.
    doubted_directory: Notify,
    /// Asks for a new picture for traffic.
    dirty: Notify,
    /// Tells that there are rumors.
    rumors: Notify,
    /// Tells that this instance knows a newer configuration or list.
    newer: Notify,
    socket: RefCell<Option<Rc<UdpSocket>>>,
}

impl Control {
    /// A thread that knows nothing yet.
    pub fn new(
        settings: Settings,
        directory: Box<dyn Directory>,
        dialect: Arc<dyn Dialect>,
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
        let contacts = settings.seeds.clone();
        let window_ms = settings.repeat_window_ms;
        let lease_ms = directory.duties().map_or(0, |duties| duties.terms().lease_ms);
        let board = Board {
            config: None,
            fleet: Fleet::default(),
            found: Found::default(),
            has_fleet: false,
            membership: Membership::new(me.clone(), settings.link_mbps, &contacts, start_version()),
            loads: Loads::new(Arc::clone(&settings.domain), window_ms),
            quarantine: Quarantine::default(),
            quarantine_version: 0,
            limiter: Limiter::default(),
            named_rates: AdvertisedRates::default(),
            departures: Departures::default(),
            permits: BTreeMap::new(),
            permit_number: 0,
            first_hand: 0,
            lost: BTreeMap::new(),
            fronts: Arc::default(),
            fronts_phase: Phase::Starting,
            placing_near: Vec::new(),
            is_placing: true,
            phase: Phase::Starting,
            is_directory_lost: false,
            answered_ms: 0,
            lease: None,
            is_watching: false,
            is_outage_own: false,
            messages: 0,
            told: Told::default(),
            has_told_nothing: false,
            told_versions: Versions::default(),
            pushed: VecDeque::new(),
            is_first_to_tell: false,
            behind_since_ms: None,
            is_fetching_config: false,
            is_fetching_list: false,
            list_retry_ms: 0,
            list_holders_told: VecDeque::new(),
            part: shares::everything(),
            is_behind: false,
            wanted_share: None,
            wide_until_ms: 0,
            narrows_since_ms: None,
            few_watch_since_ms: None,
            guests: BTreeMap::new(),
            guest_changes: 0,
            published: None,
            suitable: None,
            duty_lease: DutyLease::new(lease_ms),
            duty_holder: None,
            counter: Counter::default(),
            usage: Usage::default(),
            reported_window: None,
        };
        let board = RefCell::new(board);
        let broken_watch = Notify::new();
        let doubted_directory = Notify::new();
        let dirty = Notify::new();
        Rc::new(Control {
            settings,
            me,
            directory,
            dialect,
            shared,
            metrics,
            clock,
            log,
            board,
            broken_watch,
            doubted_directory,
            dirty,
            rumors: Notify::new(),
            newer: Notify::new(),
            socket: RefCell::new(None),
        })
    }

    /// Starts all controllers on the current local set.
    pub fn start(self: &Rc<Control>, socket: UdpSocket) {
        let socket = Rc::new(socket);
        *self.socket.borrow_mut() = Some(Rc::clone(&socket));
        tokio::task::spawn_local(Rc::clone(self).follow_directory());
        tokio::task::spawn_local(Rc::clone(self).keep_registration());
        tokio::task::spawn_local(Rc::clone(self).hear_peers(socket));
        tokio::task::spawn_local(Rc::clone(self).observe_peers());
        tokio::task::spawn_local(Rc::clone(self).gossip());
        tokio::task::spawn_local(Rc::clone(self).tell_loads());
        tokio::task::spawn_local(Rc::clone(self).tell_digests());
        tokio::task::spawn_local(Rc::clone(self).tell_newer());
        tokio::task::spawn_local(Rc::clone(self).ask_changes());
        tokio::task::spawn_local(Rc::clone(self).seek_successors());
        tokio::task::spawn_local(Rc::clone(self).keep_quarantine());
        tokio::task::spawn_local(Rc::clone(self).keep_signals());
        tokio::task::spawn_local(Rc::clone(self).tell_usage());
        tokio::task::spawn_local(Rc::clone(self).keep_duties());
        tokio::task::spawn_local(Rc::clone(self).publish_changes());
    }

    /// Begins a planned stop: peers leave this instance out of their answers at once.
    pub fn stop(&self) {
        self.board.borrow_mut().phase = Phase::Stopping;
        self.publish();
    }

    /// Tells peers that this instance ends now, so that they need not find out.
    pub fn leave(&self) {
        self.board.borrow_mut().membership.leave(&mut fastrand::Rng::new());
        self.flush();
    }

    /// Removes the registration.
    pub async fn release(&self) {
        let lease = self.board.borrow_mut().lease.take();
        if let Some(lease) = lease
            && let Err(fault) = self.directory.release(lease).await
        {
            slog::info!(self.log, "registration not removed; it ends with its lease";
                "detail" => %fault);
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
        let phase = board.phase;
        let versions = Control::versions(&board);
        let is_first_hand = Control::is_first_hand(&board);
        let share = board.part.share;
        board.membership.set_me(phase, is_first_hand, share, versions);
        self.note_members(&mut board);
        board.lost.retain(|_, until_ms| *until_ms > now_ms);
        let before = self.shared.view.load();
        let share = Control::traffic_share(&mut board);
        let fleet = self.traffic_list(&mut board, share, &before.fleet);
        let version = board.quarantine.version();
        let is_quarantine_new = version != board.quarantine_version;
        let quarantine = if is_quarantine_new {
            Arc::new(board.quarantine.suspects())
        } else {
            Arc::clone(&before.quarantine)
        };
        board.quarantine_version = version;
        let view = View {
            config: board.config.clone(),
            fleet,
            phase: board.phase,
            is_directory_silent: board.is_directory_lost,
            fronts: Arc::clone(&board.fronts),
            instances: board.membership.alive().count() as u32 + 1,
            share,
            large: board.part.large.clone(),
            others: board.loads.held(),
            sent: Arc::new(board.loads.sent(now_ms)),
            lost: Arc::new(board.lost.keys().cloned().collect()),
            places: board.loads.places(),
            quarantine,
            named_rates: board.named_rates.clone(),
            departures: board.departures.clone(),
        };
        drop(before);
        let has_rumors = board.membership.has_rumors();
        let has_newer = versions != board.told_versions;
        drop(board);
        self.shared.view.store(Arc::new(view));
        if is_quarantine_new {
            self.shared.quarantined.send_replace(version);
        }
        if is_complete {
            self.shared.is_configured.send_replace(true);
        }
        if has_rumors {
            self.rumors.notify_one();
        }
        if has_newer {
            self.newer.notify_one();
        }
    }

    /// The share of the large services that traffic uses, also where this instance holds all for others.
    /// It takes a look at all upstreams, so it is kept until they or the members change.
    fn traffic_share(board: &mut Board) -> Share {
        if !board.part.share.is_all() || board.part.large.is_empty() {
            return board.part.share;
        }
        let made_from = (board.fleet.changes(), board.membership.alive().count());
        match board.suitable {
            Some((from, share)) if from == made_from => share,
            _ => {
                let share = Control::suitable_share(board);
                board.suitable = Some((made_from, share));
                share
            }
        }
    }

    /// The list of upstreams for traffic, which is made anew only if something changed.
    fn traffic_list(&self, board: &mut Board, share: Share, before: &Arc<Fleet>) -> Arc<Fleet> {
        let published = Published {
            fleet: board.fleet.changes(),
            found: board.found.changes(),
            guests: (board.guest_changes, board.guests.len()),
            share,
        };
        if board.published.replace(published) == Some(published) {
            return Arc::clone(before);
        }
        let mut upstreams = board.found.merge(&board.fleet.upstreams).into_owned();
        if !share.is_all() {
            let holds = shares::holds(&self.me.id, &Part { share, ..board.part.clone() });
            upstreams.retain(|id, upstream| holds(id, &upstream.service));
        }
        for Guest { upstream, .. } in board.guests.values() {
            upstreams.entry(Arc::clone(&upstream.id)).or_insert_with(|| upstream.clone());
        }
        if before.upstreams == upstreams {
            return Arc::clone(before);
        }
        Arc::new(Fleet::of(board.fleet.revision, upstreams))
    }

    /// Follows what changed among the members: who takes callers, and whose load has ended.
    fn note_members(&self, board: &mut Board) {
        let now_ms = self.clock.now_ms();
        let changed = board.membership.take_changed();
        for id in &changed {
            let Some(member) = board.membership.get(id) else { continue };
            if member.standing == Standing::Dead {
                slog::info!(self.log, "peer gone"; "peer" => &**id,
                    "version" => member.card.version);
                self.metrics.count("peers_gone");
                board.loads.remove(id, now_ms);
            }
        }
        self.doubt_directory(board);
        let has_own = board.fronts_phase == board.phase;
        if changed.is_empty() && has_own {
            return;
        }
        board.fronts_phase = board.phase;
        self.note_fronts(board);
    }

    /// Works out where callers are sent, and who hears of loads here.
    fn note_fronts(&self, board: &mut Board) {
        let me = board.membership.my_card();
        let ready = board.membership.alive().filter(|member| member.standing == Standing::Alive);
        let ready = ready.map(|member| &member.card).filter(|card| card.phase == Phase::Ready);
        let mut domains: BTreeMap<&str, Vec<(Rank, &Registration)>> = BTreeMap::new();
        for card in ready.chain((board.phase == Phase::Ready).then_some(me)) {
            let ranked = (card.rank(), &card.registration);
            domains.entry(&card.registration.domain).or_default().push(ranked);
        }
        let active = domains.into_values().flat_map(|ranked| active::active(ranked.into_iter()));
        let front = |registration: &Registration| Front {
            addr: registration.front_addr,
            domain: Arc::clone(&registration.domain),
        };
        let fronts = active.map(front).collect();
        let near = board.membership.alive().map(|member| &member.card).chain([me]);
        let near = near.filter(|card| card.registration.domain == self.me.domain);
        let placing = active::active(near.map(|card| (card.rank(), &card.registration)));
        let is_placing = placing.iter().any(|registration| registration.id == self.me.id);
        let others = placing.into_iter().filter(|registration| registration.id != self.me.id);
        let placing_near = others.map(|registration| registration.peer_addr).collect();
        board.fronts = Arc::new(fronts);
        board.is_placing = is_placing;
        board.placing_near = placing_near;
    }

    /// Has this instance's own watch checked if another one has lost the directory: a watch waits for
    /// seconds, and as long as one instance takes the directory for heard, nobody looks for engines
    /// that it doesn't list.
    fn doubt_directory(&self, board: &mut Board) {
        let first_hand =
            board.membership.alive().filter(|member| member.card.is_first_hand).count();
        let before = std::mem::replace(&mut board.first_hand, first_hand);
        if watchers::doubts(before, first_hand) && Control::is_first_hand(board) {
            self.doubted_directory.notify_one();
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

    /// What this instance knows, and how old it may be.
    fn note_gauges(&self, now_ms: u64) {
        let board = self.board.borrow();
        let versions = Control::versions(&board);
        self.metrics.gauge("config_version", versions.config);
        self.metrics.gauge("list_revision", versions.fleet);
        self.metrics.gauge("upstreams", board.fleet.upstreams.len() as u64);
        self.metrics.gauge("large_services", board.part.large.len() as u64);
        self.metrics.gauge("share_halvings", u64::from(board.part.share.halvings()));
        self.metrics.gauge("peers", board.membership.alive().count() as u64);
        let is_first_hand = Control::is_first_hand(&board);
        self.metrics.gauge("is_watching_directory", u64::from(is_first_hand));
        let age_ms = now_ms.saturating_sub(board.answered_ms);
        self.metrics.gauge("directory_answer_age_ms", age_ms);
    }

    /// Whether this instance or a peer hears from the directory.
    fn is_directory_heard(board: &Board) -> bool {
        let mut alive = board.membership.alive();
        Control::is_first_hand(board) || alive.any(|member| member.card.is_first_hand)
    }

    /// Whether the directory answers this instance, so that it hears of changes by itself.
    fn is_first_hand(board: &Board) -> bool {
        board.is_watching && !board.is_directory_lost
    }

    fn versions(board: &Board) -> Versions {
        Versions {
            config: board.config.as_ref().map_or(0, |config| config.version),
            fleet: if board.has_fleet { board.fleet.revision } else { 0 },
        }
    }
}

/// The first version of what an instance says of itself: the time of day, which is later than at its
/// last start. If it isn't, since clocks are set back, its peers' answers raise it.
fn start_version() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |since| since.as_millis() as u64)
}
