//! The control thread: keeps the configuration, the upstream list and the peer membership up to date, and
//! publishes snapshots of them for request handling.
//!
//! Its tasks share one state. `directory` watches the directory and maintains the registration there;
//! `exchange` runs the membership protocol and exchanges load updates with peers; `changes` pushes newer
//! configurations and upstreams to peers, and `fetch` fetches them from peers; `shares` decides how many
//! upstreams of large services this instance holds; `duties` runs the tasks that only one instance may run
//! at a time; `permits` enforces the rate limits that upstreams announce; `signals` distributes what
//! upstreams announce in their answers; `stream_versions` holds the software versions of streams;
//! `quarantine` tracks requests that crash upstreams; `rediscovery`
//! searches for restarted engines while the directory is unreachable.

mod changes;
mod directory;
mod duties;
mod exchange;
pub mod fetch;
mod members;
mod permits;
mod publication;
mod quarantine;
mod rediscovery;
mod registration;
mod shares;
mod signals;
mod stream_versions;

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use tokio::net::UdpSocket;
use tokio::sync::{Notify, oneshot};

use self::publication::Published;
use self::shares::TemporaryUpstream;
use self::stream_versions::StreamVersionState;
use super::dialect::Dialect;
use super::directory::Directory;
use super::fleet::Fleet;
use super::instance::Registration;
use super::loads::{PeerLoads, ReportedTraffic, UpstreamSubset};
use super::membership::{Membership, Phase, Versions};
use super::metrics::Metrics;
use super::policy::advertised_rates::AdvertisedRates;
use super::policy::departures::Departures;
use super::policy::eras;
use super::policy::lease::{DutyLease, Holder};
use super::policy::listed_address::{TakenAddresses, Unusable};
use super::policy::paging::{self, Retry};
use super::policy::quarantine::Quarantine;
use super::policy::rate_limit::Limiter;
use super::policy::rediscovered::Rediscovered;
use super::policy::rejections::Rejections;
use super::policy::subset::Share;
use super::policy::usage::{Counter, Usage};
use super::rate::Permit;
use super::route::Config;
use super::settings::Settings;
use super::tasks;
use super::view::{Front, Shared};
use crate::clock::Clock;

/// How long the loss of an upstream is remembered: within this time the upstream list drops those that are
/// really gone.
const LOSS_TTL_MS: u64 = 4_000;

/// The state that all tasks of the control thread share.
struct ControlState {
    config: Option<Arc<Config>>,
    fleet: Fleet,
    /// Restarted engines that were found at their addresses while the directory was unreachable, and that it
    /// does not list yet.
    rediscovered: Rediscovered,
    /// Whether `fleet` is a whole list, or the whole of a share.
    has_fleet: bool,
    /// Whether `fleet` holds a part of a list that couldn't be read to its end, if it isn't whole.
    has_fleet_part: bool,
    membership: Membership,
    loads: PeerLoads,
    /// Requests that crash upstreams.
    quarantine: Quarantine,
    /// The software versions of streams.
    streams: StreamVersionState,
    /// The version of `quarantine` in the published snapshot.
    published_quarantine_version: u64,
    /// The token buckets of which this instance is the owner for the whole fleet.
    limiter: Limiter,
    /// The rate limits that upstreams announced to any instance.
    advertised_rates: AdvertisedRates,
    /// Upstreams that announced to any instance that they are shutting down.
    departures: Departures,
    /// Requests that brittle upstreams turned away, from any instance.
    rejections: Rejections,
    /// Permit requests to other instances that are not answered yet, by number.
    pending_permits: BTreeMap<u64, oneshot::Sender<Permit>>,
    /// The number of the last permit request.
    last_permit_number: u64,
    /// How many other instances have a working directory watch.
    watching_peers: usize,
    /// Upstreams that any instance recently lost, with the time until which each loss is remembered.
    lost: BTreeMap<Arc<str>, u64>,
    /// The instances that callers are sent to.
    fronts: Arc<Vec<Front>>,
    /// The phase of this instance when `fronts` was computed.
    fronts_phase: Phase,
    /// The other instances that can serve requests for this one.
    relays: Arc<Vec<Front>>,
    /// Whether this instance is cut off from all upstreams.
    is_cut_off: bool,
    /// `is_cut_off` when `fronts` was computed.
    fronts_cut_off: bool,
    /// The other instances of this failure domain that route requests, including those that are starting or
    /// stopping.
    routing_peers: Vec<SocketAddr>,
    /// Whether this instance routes requests.
    is_routing: bool,
    phase: Phase,
    is_directory_lost: bool,
    /// The era of the directory's list, as last published.
    directory_era: Option<u64>,
    /// When the directory last answered.
    directory_answered_ms: u64,
    /// The directory's lease on this instance's registration.
    registration_lease: Option<u64>,
    /// Whether this instance is one of those that watch the directory, also while it does not answer.
    is_watching: bool,
    /// Whether peers received changes while the directory did not answer this instance: then only this
    /// instance was cut off.
    is_outage_local: bool,
    /// The sequence number of the last load update.
    load_sequence: u64,
    /// The load that was last reported to peers.
    reported_load: ReportedTraffic,
    /// Whether the last full load update reported no load at all.
    has_reported_no_load: bool,
    /// The versions that were last announced to peers.
    announced_versions: Versions,
    /// The upstream list revisions of the last pushes.
    pushed_revisions: VecDeque<u64>,
    /// Whether the newest versions came from the directory, so that other failure domains may lack them.
    is_update_from_directory: bool,
    /// Since when a peer is known to have newer versions.
    behind_since_ms: Option<u64>,
    is_fetching_config: bool,
    is_fetching_list: bool,
    /// The earliest time of the next list fetch, after a failed one.
    next_list_fetch_ms: u64,
    /// The pauses after lists of peers that lead no further.
    list_retry: Retry,
    /// Instances that hold the full upstream list, as reported by peers.
    reported_list_holders: VecDeque<SocketAddr>,
    /// Which part of the upstream list `fleet` holds.
    held_part: UpstreamSubset,
    /// Whether a peer had more changes of that part than fit into a message.
    has_missed_changes: bool,
    /// The share of the large services to fetch, if a fetch of it is due: also the share held, once a service
    /// is no longer large.
    wanted_share: Option<Share>,
    /// Until when this instance does not narrow its share, after it ran out of upstreams.
    widened_until_ms: u64,
    /// Since when this instance's rank does not require it to hold all upstreams.
    can_narrow_since_ms: Option<u64>,
    /// Since when too few instances have a working directory watch.
    too_few_watchers_since_ms: Option<u64>,
    /// Upstreams outside this instance's share that were looked up for a request, published for a short time.
    temporary_upstreams: BTreeMap<Arc<str>, TemporaryUpstream>,
    /// Counts the changes of `temporary_upstreams`.
    temporary_upstream_changes: u64,
    /// The addresses at which no upstream is, whatever entries say.
    taken: TakenAddresses,
    /// Counts the changes of `taken`.
    taken_changes: u64,
    /// The entries that name such an address, so that each is logged once.
    unusable: BTreeMap<Arc<str>, Unusable>,
    /// The inputs of the published upstream list.
    published: Option<Published>,
    /// The suitable share of the large services, cached with its inputs: the change count of `fleet` and the
    /// number of live peers.
    cached_suitable_share: Option<((u64, usize), Share)>,
    /// The lease on the duties that only one instance may run at a time.
    duty_lease: DutyLease,
    /// The holder of that lease, as last read from the directory.
    duty_holder: Option<Holder>,
    /// The requests that this instance counts for the usage report.
    usage_counter: Counter,
    /// The counts of all instances, in case this one has to report them.
    usage: Usage,
    /// The last usage window that this instance reported.
    reported_window: Option<u64>,
}

/// The control thread.
pub struct Control {
    settings: Settings,
    me: Registration,
    directory: Box<dyn Directory>,
    dialect: Arc<dyn Dialect>,
    shared: Arc<Shared>,
    metrics: Arc<Metrics>,
    clock: Clock,
    log: slog::Logger,
    state: RefCell<ControlState>,
    /// Restarts a directory watch that lags behind peers.
    watch_restart: Notify,
    /// Makes the directory watch check at once whether the directory still answers, since it stopped
    /// answering another instance.
    directory_check: Notify,
    /// Requests that a new snapshot be published.
    dirty: Notify,
    /// Has this instance register at once, since the directory came back from an older copy.
    must_register: Notify,
    /// Has this instance store its quarantine records again, for the same reason.
    must_store_quarantine: Notify,
    /// Signals that rumors wait to be sent.
    rumors: Notify,
    /// Signals that this instance has a newer configuration or upstream list to announce.
    newer_versions: Notify,
    socket: RefCell<Option<Rc<UdpSocket>>>,
}

impl Control {
    /// Creates the control thread's state, without configuration and upstreams.
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
        let lease_ms = directory.duties().map_or(0, |duties| duties.duty_settings().lease_ms);
        let state = ControlState {
            config: None,
            fleet: Fleet::default(),
            rediscovered: Rediscovered::default(),
            has_fleet: false,
            has_fleet_part: false,
            membership: Membership::new(me.clone(), settings.link_mbps, &contacts, start_version()),
            loads: PeerLoads::new(Arc::clone(&settings.domain), window_ms),
            quarantine: Quarantine::default(),
            streams: StreamVersionState::default(),
            published_quarantine_version: 0,
            limiter: Limiter::default(),
            advertised_rates: AdvertisedRates::default(),
            departures: Departures::default(),
            rejections: Rejections::default(),
            pending_permits: BTreeMap::new(),
            last_permit_number: 0,
            watching_peers: 0,
            lost: BTreeMap::new(),
            fronts: Arc::default(),
            fronts_phase: Phase::Starting,
            relays: Arc::default(),
            is_cut_off: false,
            fronts_cut_off: false,
            routing_peers: Vec::new(),
            is_routing: true,
            phase: Phase::Starting,
            is_directory_lost: false,
            directory_era: None,
            directory_answered_ms: 0,
            registration_lease: None,
            is_watching: false,
            is_outage_local: false,
            load_sequence: 0,
            reported_load: ReportedTraffic::default(),
            has_reported_no_load: false,
            announced_versions: Versions::default(),
            pushed_revisions: VecDeque::new(),
            is_update_from_directory: false,
            behind_since_ms: None,
            is_fetching_config: false,
            is_fetching_list: false,
            next_list_fetch_ms: 0,
            list_retry: Retry::new(paging::MAX_LIST_PAUSE_MS),
            reported_list_holders: VecDeque::new(),
            held_part: shares::full_part(),
            has_missed_changes: false,
            wanted_share: None,
            widened_until_ms: 0,
            can_narrow_since_ms: None,
            too_few_watchers_since_ms: None,
            temporary_upstreams: BTreeMap::new(),
            temporary_upstream_changes: 0,
            taken: TakenAddresses::default(),
            taken_changes: 0,
            unusable: BTreeMap::new(),
            published: None,
            cached_suitable_share: None,
            duty_lease: DutyLease::new(lease_ms),
            duty_holder: None,
            usage_counter: Counter::default(),
            usage: Usage::default(),
            reported_window: None,
        };
        let state = RefCell::new(state);
        let watch_restart = Notify::new();
        let directory_check = Notify::new();
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
            state,
            watch_restart,
            directory_check,
            dirty,
            must_register: Notify::new(),
            must_store_quarantine: Notify::new(),
            rumors: Notify::new(),
            newer_versions: Notify::new(),
            socket: RefCell::new(None),
        })
    }

    /// Starts all control tasks on the current local set.
    pub fn start(self: &Rc<Control>, socket: UdpSocket) {
        let socket = Rc::new(socket);
        *self.socket.borrow_mut() = Some(Rc::clone(&socket));
        self.keep_running("watch_directory", Control::watch_directory);
        self.keep_running("maintain_registration", Control::maintain_registration);
        self.keep_running("receive_messages", move |control| {
            control.receive_messages(Rc::clone(&socket))
        });
        self.keep_running("run_probe_rounds", Control::run_probe_rounds);
        self.keep_running("gossip", Control::gossip);
        self.keep_running("send_load_updates", Control::send_load_updates);
        self.keep_running("send_digests", Control::send_digests);
        self.keep_running("announce_versions", Control::announce_versions);
        self.keep_running("request_missed_changes", Control::request_missed_changes);
        self.keep_running("search_for_engines", Control::search_for_engines);
        self.keep_running("maintain_quarantine", Control::maintain_quarantine);
        self.keep_running("process_signals", Control::process_signals);
        self.keep_running("repeat_stream_records", Control::repeat_stream_records);
        self.keep_running("look_for_standstills", Control::look_for_standstills);
        self.keep_running("store_versions", Control::store_versions);
        self.keep_running("store_streams", Control::store_streams);
        self.keep_running("send_usage", Control::send_usage);
        self.keep_running("run_duties", Control::run_duties);
        self.keep_running("publish_when_dirty", Control::publish_when_dirty);
    }

    /// Runs a task, also after a panic in it.
    fn keep_running<F>(
        self: &Rc<Control>,
        name: &'static str,
        task: impl Fn(Rc<Control>) -> F + 'static,
    ) where
        F: Future<Output = ()> + 'static,
    {
        let control = Rc::clone(self);
        let (log, metrics) = (self.log.clone(), Arc::clone(&self.metrics));
        tasks::keep_running(name, log, metrics, move || task(Rc::clone(&control)));
    }

    /// Begins a planned stop: peers stop naming this instance to callers at once.
    pub fn stop(&self) {
        self.state.borrow_mut().phase = Phase::Stopping;
        self.publish();
    }

    /// Announces to peers that this instance exits now, so that they need not detect it.
    pub fn leave(&self) {
        self.state.borrow_mut().membership.leave(&mut fastrand::Rng::new());
        self.flush();
    }

    /// Removes this instance's registration from the directory.
    pub async fn remove_registration(&self) {
        let lease = self.state.borrow_mut().registration_lease.take();
        if let Some(lease) = lease
            && let Err(fault) = self.directory.release(lease).await
        {
            slog::info!(self.log, "could not remove the registration; it expires with its lease";
                "detail" => %fault);
        }
    }

    /// Puts a configuration into force if it is newer than the current one; versions never go back.
    fn apply_config(&self, config: Arc<Config>, from: &str) {
        let mut state = self.state.borrow_mut();
        let known = state.config.as_ref().map_or(0, |known| known.version);
        if config.version <= known {
            return;
        }
        slog::info!(self.log, "configuration in force"; "version" => config.version,
            "before" => known, "from" => from, "routes" => config.routes.len());
        if !self.settings.machine.holds_longest_body(&config.limits) {
            slog::warn!(self.log, "callers may send longer bodies than this instance can hold";
                "body_bytes" => config.limits.body_bytes,
                "request_bytes" => self.settings.machine.request_bytes(&config.limits));
        }
        state.config = Some(config);
    }

    /// Records gauges of the versions, sizes and age of the state.
    fn record_gauges(&self, now_ms: u64) {
        let state = self.state.borrow();
        let versions = Control::versions(&state);
        self.metrics.gauge("config_version", versions.config);
        self.metrics.gauge("list_revision", eras::revision_of(versions.fleet));
        self.metrics.gauge("directory_era", eras::era_of(versions.fleet));
        self.metrics.gauge("upstreams", state.fleet.upstreams.len() as u64);
        self.metrics.gauge("upstream_entries_unusable", state.unusable.len() as u64);
        self.metrics.gauge("large_services", state.held_part.large.len() as u64);
        self.metrics.gauge("share_halvings", u64::from(state.held_part.share.halvings()));
        self.metrics.gauge("peers", state.membership.alive().count() as u64);
        let has_working_watch = Control::has_working_watch(&state);
        self.metrics.gauge("is_watching_directory", u64::from(has_working_watch));
        let age_ms = now_ms.saturating_sub(state.directory_answered_ms);
        self.metrics.gauge("directory_answer_age_ms", age_ms);
    }

    /// Whether this instance or a live peer has a working directory watch.
    fn is_directory_reachable(state: &ControlState) -> bool {
        let mut alive = state.membership.alive();
        Control::has_working_watch(state)
            || alive.any(|member| member.descriptor.is_watching_directory)
    }

    /// Whether this instance watches the directory and the directory answers it.
    fn has_working_watch(state: &ControlState) -> bool {
        state.is_watching && !state.is_directory_lost
    }

    fn versions(state: &ControlState) -> Versions {
        Versions {
            config: state.config.as_ref().map_or(0, |config| config.version),
            fleet: if state.has_fleet { state.fleet.revision } else { 0 },
        }
    }
}

/// The initial version of an instance's membership entry: the wall clock time, which is later than at its
/// previous start. If the clock was set back, the peers' answers raise the version.
fn start_version() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |since| since.as_millis() as u64)
}
