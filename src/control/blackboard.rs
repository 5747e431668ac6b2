//! The control state that controllers share, and the snapshot of it that traffic reads.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use serde::{Deserialize, Serialize};

use crate::control::bounds;
use crate::control::membership::{Member, Table};
use crate::operators::document::{Document, Service};
use crate::request::placement;

/// The load that an upstream reports.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// How many requests can run at once.
    pub slots: u32,
    /// The models that are loaded, as `NAME@VERSION`.
    pub models: Vec<Arc<str>>,
    /// Whether it is draining and accepts no new work.
    pub leaving: bool,
    /// Differs after each restart.
    pub incarnation: u64,
}

/// An instance's observation of an upstream, as instances exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Its address.
    pub addr: Arc<str>,
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Grows with each observation by any instance.
    #[serde(deserialize_with = "bounds::version")]
    pub version: u64,
    /// Whether it answered the last poll.
    pub is_alive: bool,
    /// Whether the platform lists it.
    pub is_listed: bool,
    /// The load that it reported.
    pub load: Load,
}

/// The part of a report that changes often, for a peer that has the rest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Brief {
    /// The upstream's address.
    pub addr: Arc<str>,
    /// The observation's version.
    #[serde(deserialize_with = "bounds::version")]
    pub version: u64,
    /// The incarnation that was observed.
    pub incarnation: u64,
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
}

impl Report {
    /// The brief form.
    pub fn brief(&self) -> Brief {
        Brief {
            addr: Arc::clone(&self.addr),
            version: self.version,
            incarnation: self.load.incarnation,
            running: self.load.running,
            waiting: self.load.waiting,
        }
    }

    /// Whether both are equal but for the version and the numbers of requests.
    pub fn is_described_by(&self, other: &Report) -> bool {
        let numbers = |report: &Report| Report {
            version: 0,
            load: Load { running: 0, waiting: 0, ..report.load.clone() },
            ..report.clone()
        };
        numbers(self) == numbers(other)
    }
}

/// An upstream on the blackboard.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// The newest report.
    pub report: Report,
    /// When the report changed here.
    pub received_ms: u64,
    /// When it last was alive.
    pub alive_ms: u64,
    /// Until when it gets no work, after a refused connection or a silence.
    pub suspect_until_ms: u64,
    /// Until when it asked this instance to back off.
    pub backoff_until_ms: u64,
    /// The most requests of this instance at once, in the interval of each of the last reports.
    pub peaks: VecDeque<u32>,
    /// The number of the last change to send to peers.
    pub changed: u64,
    /// The number of the last change of more than the numbers of requests.
    pub described: u64,
    /// The number of requests that was last marked to be sent to peers.
    pub marked_requests: u32,
    /// When a change was last marked to be sent to peers.
    pub marked_ms: u64,
    /// The counters that traffic updates.
    pub counters: Arc<Counters>,
}

/// Lock-free counters of one upstream, which traffic updates.
#[derive(Debug, Default)]
pub struct Counters {
    /// Running requests of this instance.
    pub in_flight: AtomicU32,
    /// The most requests of this instance at once since the last report.
    pub peak: AtomicU32,
    /// Requests of other instances: the reported load minus the recent peak of this instance's own
    /// requests, since the report lags and may still count requests that have ended.
    pub others: AtomicU32,
    /// Streams of this instance that have been silent for too long.
    pub late: AtomicU32,
}

/// Counts a request as running on an upstream until it is dropped.
pub struct InFlight(Arc<Counters>);

impl InFlight {
    /// Counts one more.
    pub fn new(counters: &Arc<Counters>) -> InFlight {
        let in_flight = counters.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        counters.peak.fetch_max(in_flight, Ordering::Relaxed);
        InFlight(Arc::clone(counters))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a stream of an upstream as late until it is dropped.
pub struct Late(Arc<Counters>);

impl Late {
    /// Counts one more.
    pub fn new(counters: &Arc<Counters>) -> Late {
        counters.late.fetch_add(1, Ordering::Relaxed);
        Late(Arc::clone(counters))
    }
}

impl Drop for Late {
    fn drop(&mut self) {
        self.0.late.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The state that the controllers read and write; the control thread owns it.
#[derive(Debug)]
pub struct Board {
    /// This instance.
    pub me: Member,
    /// The current table.
    pub table: Arc<Table>,
    /// The current configuration.
    pub document: Arc<Document>,
    /// All known upstreams, by address.
    pub upstreams: BTreeMap<Arc<str>, Upstream>,
    /// Counts changes of reports.
    pub changes: u64,
    /// Whether a planned stop has begun.
    pub is_stopping: bool,
    /// Events that were late, repeated or from unknown senders.
    pub ignored_events: u64,
}

impl Board {
    /// An empty board.
    pub fn new(me: Member) -> Board {
        Board {
            me,
            table: Arc::default(),
            document: Arc::default(),
            upstreams: BTreeMap::new(),
            changes: 0,
            is_stopping: false,
            ignored_events: 0,
        }
    }

    /// Whether this incarnation of this instance is in the table.
    pub fn is_member(&self) -> bool {
        self.table.roster.contains(&self.me)
    }

    /// The snapshot for traffic.
    pub fn snapshot(&self, now_ms: u64) -> Snapshot {
        let entries = self.upstreams.values().map(|upstream| Entry {
            state: self.state(upstream, now_ms),
            report: upstream.report.clone(),
            received_ms: upstream.received_ms,
            backoff_until_ms: upstream.backoff_until_ms,
            counters: Arc::clone(&upstream.counters),
        });
        Snapshot {
            me: self.me.clone(),
            table: Arc::clone(&self.table),
            document: Arc::clone(&self.document),
            upstreams: entries.collect(),
            is_stopping: self.is_stopping,
            ignored_events: self.ignored_events,
        }
    }

    fn state(&self, upstream: &Upstream, now_ms: u64) -> State {
        let report = &upstream.report;
        if report.load.leaving {
            State::Leaving
        } else if self.document.drained.contains(&report.addr) {
            State::Drained
        } else if !report.is_alive {
            State::Down
        } else if upstream.suspect_until_ms > now_ms {
            State::Suspect
        } else if upstream.backoff_until_ms > now_ms {
            State::BackOff
        } else {
            State::Live
        }
    }
}

/// The state of an upstream, which decides whether it gets work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum State {
    /// It gets work.
    #[display("live")]
    Live,
    /// It has refused a connection of this instance, or stopped sending on a stream.
    #[display("suspect")]
    Suspect,
    /// It has refused a request of this instance and asked for backoff.
    #[display("backing off")]
    BackOff,
    /// It doesn't answer polls.
    #[display("down")]
    Down,
    /// An operator has drained it.
    #[display("drained")]
    Drained,
    /// It is draining and accepts no new work.
    #[display("leaving")]
    Leaving,
}

/// An immutable snapshot of the board for traffic.
#[derive(Debug)]
pub struct Snapshot {
    /// This instance.
    pub me: Member,
    /// The current table.
    pub table: Arc<Table>,
    /// The current configuration.
    pub document: Arc<Document>,
    /// All upstreams, by address.
    pub upstreams: Vec<Entry>,
    /// Whether a planned stop has begun.
    pub is_stopping: bool,
    /// Control events that were late, repeated or from unknown senders.
    pub ignored_events: u64,
}

/// An upstream in a [`Snapshot`].
#[derive(Debug)]
pub struct Entry {
    /// Its state.
    pub state: State,
    /// Its last report.
    pub report: Report,
    /// When the report arrived.
    pub received_ms: u64,
    /// Until when it asked this instance to back off.
    pub backoff_until_ms: u64,
    /// Its counters.
    pub counters: Arc<Counters>,
}

impl Entry {
    /// The upstream as a candidate for placement.
    pub fn candidate(&self) -> placement::Candidate {
        placement::Candidate {
            addr: Arc::clone(&self.report.addr),
            others: u64::from(self.counters.others.load(Ordering::Relaxed)),
            slots: u64::from(self.report.load.slots),
            in_flight: u64::from(self.counters.in_flight.load(Ordering::Relaxed)),
        }
    }

    /// The estimated number of free slots.
    pub fn free_slots(&self) -> u64 {
        let candidate = self.candidate();
        candidate.slots.saturating_sub(candidate.others + candidate.in_flight)
    }
}

impl Snapshot {
    /// The upstreams of a service that get work and have `model` loaded, if one is named.
    pub fn live<'a>(
        &'a self,
        service: &'a str,
        model: Option<&'a str>,
    ) -> impl Iterator<Item = &'a Entry> {
        self.upstreams.iter().filter(move |entry| {
            let loaded = &entry.report.load.models;
            entry.state == State::Live
                && *entry.report.service == *service
                && model.is_none_or(|model| loaded.iter().any(|name| **name == *model))
        })
    }

    /// The upstream for new work with this `prefix`, if one is live; those in `avoid` are chosen only
    /// if there is no other.
    pub fn choose(
        &self,
        service: &str,
        model: Option<&str>,
        prefix: &str,
        avoid: &[Arc<str>],
    ) -> Option<Arc<str>> {
        let candidates: Vec<_> = self.live(service, model).map(Entry::candidate).collect();
        placement::choose(&candidates, prefix, avoid, &mut fastrand::Rng::new())
    }

    /// The shortest time until an upstream of a service that asked for backoff gets work again.
    pub fn backoff_left_ms(&self, service: &str, now_ms: u64) -> Option<u64> {
        let resting = self
            .upstreams
            .iter()
            .filter(|entry| entry.state == State::BackOff && *entry.report.service == *service);
        resting.map(|entry| entry.backoff_until_ms.saturating_sub(now_ms)).min()
    }

    /// The upstream at `addr`.
    pub fn upstream(&self, addr: &str) -> Option<&Entry> {
        self.upstreams.iter().find(|entry| *entry.report.addr == *addr)
    }

    /// A service of the configuration.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.document.services.get(name)
    }

    /// Whether so many upstreams are silent at once that this instance is likely at fault.
    pub fn is_likely_local_fault(&self) -> bool {
        const FEWEST: usize = 3;
        let active = |entry: &&Entry| entry.counters.in_flight.load(Ordering::Relaxed) > 0;
        let late = |entry: &&Entry| entry.counters.late.load(Ordering::Relaxed) > 0;
        let active: Vec<_> = self.upstreams.iter().filter(active).collect();
        let late = active.iter().filter(|entry| late(entry)).count();
        active.len() >= FEWEST && late * 2 > active.len()
    }
}
