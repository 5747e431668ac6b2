//! What the control thread publishes for the others to read.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, oneshot, watch};

use super::crash::Crash;
use super::fingerprint::Fingerprint;
use super::fleet::{Departure, Fleet, SoftwareVersion};
use super::loads::{
    CacheLocations, LocalTraffic, Observations, OtherQueues, SentRequests, UpstreamLoad,
};
use super::membership::Phase;
use super::policy::advertised_rates::AdvertisedRates;
use super::policy::departures::Departures;
use super::policy::quarantine::Suspects;
use super::policy::rejections::Rejection;
use super::policy::stream_versions::{StreamKey, StreamRecord};
use super::policy::subset::Share;
use super::rate::{Permit, Rate};
use super::route::Config;

mod queues;

pub use queues::{BlockedBy, QueueClass, QueueOrder, QueueView, QueuedRequest};

/// An immutable picture of what is known.
#[derive(Debug, Clone)]
pub struct View {
    /// The configuration in force; without one, nothing can be routed.
    pub config: Option<Arc<Config>>,
    /// The upstreams.
    pub fleet: Arc<Fleet>,
    /// Whether this instance takes callers.
    pub phase: Phase,
    /// Whether the directory does not answer this instance.
    pub is_directory_silent: bool,
    /// Instances that take callers.
    pub fronts: Arc<Vec<Front>>,
    /// Other instances that take callers and are not cut off from all upstreams.
    pub relays: Arc<Vec<Front>>,
    /// Instances that live, with this one.
    pub instances: u32,
    /// The share of the large services that is in `fleet`.
    pub share: Share,
    /// The services that are too large to be held whole.
    pub large: BTreeSet<Arc<str>>,
    /// What the others have running at upstreams.
    pub others: Arc<BTreeMap<Arc<str>, UpstreamLoad>>,
    /// What the others observed of upstreams.
    pub observations: Arc<Observations>,
    /// The admission queues of the others, by service.
    pub queues: Arc<BTreeMap<Arc<str>, OtherQueues>>,
    /// Upstreams that others lost in the last moments.
    pub lost: Arc<Vec<Arc<str>>>,
    /// What the others sent lately, by service.
    pub sent: Arc<BTreeMap<Arc<str>, SentRequests>>,
    /// Which engines read a part of a prompt, as others told.
    pub places: CacheLocations,
    /// Requests that crashed upstreams, and whether they are quarantined.
    pub quarantine: Arc<Suspects>,
    /// The rates that upstreams named to any instance.
    pub advertised_rates: AdvertisedRates,
    /// Upstreams that said to any instance that they leave.
    pub departures: Departures,
    /// Brittle upstreams that turned too many requests away, and until when they get none.
    pub paused: Arc<BTreeMap<Arc<str>, u64>>,
}

/// An instance that takes callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Front {
    /// Where callers reach it.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
}

impl View {
    /// How many living instances hold an upstream of a service, about.
    pub fn holders(&self, service: &str) -> u32 {
        if self.large.contains(service) {
            self.share.holders(self.instances)
        } else {
            self.instances
        }
    }
}

/// What both threads share.
#[derive(Debug)]
pub struct Shared {
    /// The newest picture.
    pub view: ArcSwap<View>,
    /// Whether a configuration is in force; requests that came before it wait for this.
    pub is_configured: watch::Sender<bool>,
    /// Wakes the control thread when peers should hear of traffic at once.
    pub news: Notify,
    /// What traffic here has running, and whom it lost.
    own: Mutex<LocalTraffic>,
    /// Wakes the control thread when traffic here reported something of a request.
    pub reported: Notify,
    /// What the control thread has not taken yet.
    reports: Mutex<Vec<Report>>,
    /// Grows when requests are quarantined, after the picture says so.
    pub quarantined: watch::Sender<u64>,
    /// The share of the large services in the picture, after the picture says so.
    pub share: watch::Sender<Share>,
    /// Wakes the controller of what upstreams ask for.
    pub signalled: Notify,
    /// What traffic has for it.
    signals: Mutex<Vec<Signal>>,
    /// Requests that began to run: whose they were, and when.
    begun: Mutex<Vec<(Arc<str>, u64)>>,
    /// How the duties stand that one instance at a time has.
    duties: Mutex<DutyView>,
    /// The admission queues of this instance.
    queues: Mutex<Arc<Vec<QueueView>>>,
    /// Notified when an operator gave an order; the traffic thread takes orders in its sweep.
    pub ordered: Notify,
    /// Orders that the traffic thread has not taken yet.
    orders: Mutex<Vec<QueueOrder>>,
}

/// How the duties stand that one instance at a time has, as operators see it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyView {
    /// Who has them, as far as this instance knows.
    pub holder: Option<Arc<str>>,
    /// The fencing token, if it is this instance.
    pub token: Option<u64>,
    /// The last window of usage that this instance reported.
    pub reported: Option<u64>,
}

/// What traffic has for the controller of what upstreams ask for.
#[derive(Debug)]
pub enum Signal {
    /// An upstream named a rate to this instance.
    Rate(Arc<str>, Rate),
    /// An upstream said to this instance that it leaves.
    Departure(Departure),
    /// A request is to be sent to such an upstream.
    PermitWanted(PermitRequest),
    /// An upstream that this instance had lost answers again.
    Recovered(Arc<str>),
    /// A brittle upstream turned a request of this instance away.
    Rejection(Rejection),
    /// This instance is cut off from all upstreams, or no longer.
    CutOff(bool),
    /// No upstream is left of a service of which this instance holds a part.
    NoUpstreamLeft,
    /// A request goes on at an upstream that this instance doesn't hold.
    UpstreamWanted(Arc<str>),
    /// A run of this instance passes on a stream that a version began.
    StreamBegun(StreamRecord),
    /// A run of this instance no longer does.
    StreamEnded(StreamKey),
    /// A caller takes up a stream whose version this thread doesn't know.
    StreamSearched(StreamSearch),
}

/// The search for the version that began a stream.
#[derive(Debug)]
pub struct StreamSearch {
    /// The stream, if its caller names it.
    pub stream: Option<StreamKey>,
    /// Its service.
    pub service: Arc<str>,
    /// Takes the version, if it was found.
    pub found: oneshot::Sender<Option<SoftwareVersion>>,
}

/// A request for a permit to send one request.
#[derive(Debug)]
pub struct PermitRequest {
    /// The upstream.
    pub upstream: Arc<str>,
    /// The rate that it takes from all instances, as far as known here.
    pub rate: Rate,
    /// Takes the answer.
    pub answer: oneshot::Sender<Permit>,
}

/// What traffic or an operator reports of a request that may crash upstreams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Report {
    /// An upstream ended under it.
    Crash(Crash),
    /// It was served: completely, or up to this event.
    Served(Fingerprint, Option<u64>),
    /// An operator lifts its quarantine.
    Lift(Fingerprint),
}

/// Reports that wait for the control thread; a crash of a service brings some hundred at once.
const MOST_REPORTS: usize = 4_096;

/// Requests that began and wait to be counted, which happens twice a second; where no usage is reported,
/// nobody takes them.
const MOST_BEGUN: usize = 16_384;

/// Operators' orders that wait for the traffic thread, which takes them with each sweep.
const MAX_ORDERS: usize = 64;

impl Shared {
    /// Nothing known yet.
    pub fn new() -> Arc<Shared> {
        let view = View {
            config: None,
            fleet: Arc::default(),
            phase: Phase::Starting,
            is_directory_silent: false,
            fronts: Arc::default(),
            relays: Arc::default(),
            instances: 1,
            share: Share::ALL,
            large: BTreeSet::new(),
            others: Arc::default(),
            observations: Arc::default(),
            queues: Arc::default(),
            lost: Arc::default(),
            sent: Arc::default(),
            places: CacheLocations::default(),
            quarantine: Arc::default(),
            advertised_rates: AdvertisedRates::default(),
            departures: Departures::default(),
            paused: Arc::default(),
        };
        let view = ArcSwap::from_pointee(view);
        let is_configured = watch::Sender::new(false);
        Arc::new(Shared {
            view,
            is_configured,
            news: Notify::new(),
            own: Mutex::default(),
            reported: Notify::new(),
            reports: Mutex::default(),
            quarantined: watch::Sender::new(0),
            share: watch::Sender::new(Share::ALL),
            signalled: Notify::new(),
            signals: Mutex::default(),
            begun: Mutex::default(),
            duties: Mutex::default(),
            queues: Mutex::default(),
            ordered: Notify::new(),
            orders: Mutex::default(),
        })
    }

    /// Reports something of a request to the control thread.
    pub fn report(&self, report: Report) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        if reports.len() < MOST_REPORTS {
            reports.push(report);
        }
        drop(reports);
        self.reported.notify_one();
    }

    /// Takes what was reported.
    pub fn take_reports(&self) -> Vec<Report> {
        std::mem::take(&mut *self.reports.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Hands something to the controller of what upstreams ask for.
    pub fn signal(&self, signal: Signal) {
        self.signals.lock().unwrap_or_else(PoisonError::into_inner).push(signal);
        self.signalled.notify_one();
    }

    /// Takes what was handed to it.
    pub fn take_signals(&self) -> Vec<Signal> {
        std::mem::take(&mut *self.signals.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Notes that a request of an organisation began to run at a time.
    pub fn note_begun(&self, organisation: Arc<str>, began_ms: u64) {
        let mut begun = self.begun.lock().unwrap_or_else(PoisonError::into_inner);
        if begun.len() < MOST_BEGUN {
            begun.push((organisation, began_ms));
        }
    }

    /// Takes the requests that began since this was last asked.
    pub fn take_begun(&self) -> Vec<(Arc<str>, u64)> {
        std::mem::take(&mut *self.begun.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// How the duties stand.
    pub fn duties(&self) -> DutyView {
        self.duties.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces how the duties stand.
    pub fn set_duties(&self, duties: DutyView) {
        *self.duties.lock().unwrap_or_else(PoisonError::into_inner) = duties;
    }

    /// The admission queues of this instance.
    pub fn queues(&self) -> Arc<Vec<QueueView>> {
        Arc::clone(&self.queues.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the admission queues of this instance: one entry for each service that has a queue,
    /// also while nobody waits, since orders are accepted for these only.
    pub fn set_queues(&self, queues: Vec<QueueView>) {
        *self.queues.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(queues);
    }

    /// Hands an operator's order to the traffic thread; `false` if too many wait for it.
    pub fn order(&self, order: QueueOrder) -> bool {
        let mut orders = self.orders.lock().unwrap_or_else(PoisonError::into_inner);
        let has_room = orders.len() < MAX_ORDERS;
        if has_room {
            orders.push(order);
        }
        drop(orders);
        self.ordered.notify_one();
        has_room
    }

    /// Takes the operators' orders, in the order in which they were given.
    pub fn take_orders(&self) -> Vec<QueueOrder> {
        std::mem::take(&mut *self.orders.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces what is told to peers.
    pub fn set_own(&self, own: LocalTraffic) {
        *self.own.lock().unwrap_or_else(PoisonError::into_inner) = own;
    }

    /// What is told to peers.
    pub fn own(&self) -> LocalTraffic {
        self.own.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The upstreams that traffic here lost, without what it has running.
    pub fn own_lost(&self) -> Vec<Arc<str>> {
        self.own.lock().unwrap_or_else(PoisonError::into_inner).lost.clone()
    }
}
