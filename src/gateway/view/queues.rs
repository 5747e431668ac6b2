//! The admission queues of an instance as operators see them, and operators' orders about them.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// A request that waits for room at this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Its priority; 0 is the most urgent.
    pub class: u8,
    /// The organisation of its caller, if that sent a key.
    pub organisation: Option<Arc<str>>,
    /// How long it has waited.
    pub waited_ms: u64,
    /// The waiting requests of all instances that go before it.
    pub rank: usize,
    /// The expected time until there is room for it, if that is known.
    pub expected_wait_ms: Option<u64>,
}

/// The admission queue of one service at this instance, as operators see it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueView {
    /// The service.
    pub service: Arc<str>,
    /// Its classes, the most urgent first: those in which requests wait, and those that are closed.
    pub classes: Vec<QueueClass>,
    /// The places that upstreams have free for further requests, as this instance sees them.
    pub places: usize,
    /// The requests that wait for the service at other instances.
    pub others_waiting: usize,
}

/// One class of a [`QueueView`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueueClass {
    /// The priority of its requests; 0 is the most urgent.
    pub class: u8,
    /// The requests that wait here.
    pub waiting: usize,
    /// How long the oldest of them has waited.
    pub oldest_ms: u64,
    /// The expected wait of the last of them, which a new one would wait at least; `None` if none
    /// waits or the rate at which room is freed is unknown.
    pub expected_wait_ms: Option<u64>,
    /// The waiting requests by organisation, most first; callers without a key have an empty name.
    pub organisations: Vec<(Arc<str>, usize)>,
    /// Why the first of them isn't sent; `None` if none waits or it is about to be sent.
    pub blocked_by: Option<BlockedBy>,
    /// For how long an operator's order still closes the class to new requests; `None` if it is
    /// open.
    pub closed_ms: Option<u64>,
}

/// Why the first waiting request of a class isn't sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BlockedBy {
    /// No upstream has room for it.
    NoPlace,
    /// There are places, but requests of all instances that rank before it take them.
    EarlierRequests {
        /// How many rank before it.
        requests: usize,
    },
}

/// An operator's order about the queue of one service at this instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum QueueOrder {
    /// Refuse new requests of a class.
    Close {
        /// The service.
        service: Arc<str>,
        /// The class.
        class: u8,
        /// For how long.
        for_ms: u64,
    },
    /// Accept requests of a closed class again.
    Open {
        /// The service.
        service: Arc<str>,
        /// The class.
        class: u8,
    },
    /// Refuse all waiting requests; they have not run.
    Empty {
        /// The service.
        service: Arc<str>,
        /// The class; all of them if there is none.
        class: Option<u8>,
    },
}

impl QueueOrder {
    /// The service that the order is about.
    pub fn service(&self) -> &Arc<str> {
        match self {
            QueueOrder::Close { service, .. }
            | QueueOrder::Open { service, .. }
            | QueueOrder::Empty { service, .. } => service,
        }
    }
}

impl QueueView {
    /// The view of a service's queue. `closed` names the closed classes, and for how long each
    /// stays closed.
    pub fn new(
        service: Arc<str>,
        queued: impl IntoIterator<Item = QueuedRequest>,
        closed: impl IntoIterator<Item = (u8, u64)>,
        places: usize,
        others_waiting: usize,
    ) -> QueueView {
        let mut by_class: BTreeMap<u8, Vec<QueuedRequest>> = BTreeMap::new();
        for request in queued {
            by_class.entry(request.class).or_default().push(request);
        }
        let closed: BTreeMap<u8, u64> = closed.into_iter().collect();
        for class in closed.keys() {
            by_class.entry(*class).or_default();
        }
        let class = |(class, queued): (u8, Vec<QueuedRequest>)| QueueClass {
            closed_ms: closed.get(&class).copied(),
            ..QueueClass::new(class, &queued, places)
        };
        let classes = by_class.into_iter().map(class).collect();
        QueueView { service, classes, places, others_waiting }
    }
}

impl QueueClass {
    fn new(class: u8, queued: &[QueuedRequest], places: usize) -> QueueClass {
        let mut counts: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for request in queued {
            *counts.entry(request.organisation.clone().unwrap_or_default()).or_default() += 1;
        }
        let mut organisations: Vec<_> = counts.into_iter().collect();
        organisations.sort_by_key(|(_, waiting)| std::cmp::Reverse(*waiting));
        let first_rank = queued.iter().map(|request| request.rank).min();
        QueueClass {
            class,
            waiting: queued.len(),
            oldest_ms: queued.iter().map(|request| request.waited_ms).max().unwrap_or(0),
            expected_wait_ms: queued.iter().filter_map(|request| request.expected_wait_ms).max(),
            organisations,
            blocked_by: first_rank.and_then(|rank| BlockedBy::of(rank, places)),
            closed_ms: None,
        }
    }
}

impl BlockedBy {
    /// Why a request of this rank isn't sent: only those before it fit into the places.
    fn of(rank: usize, places: usize) -> Option<BlockedBy> {
        match rank {
            _ if rank < places => None,
            _ if places == 0 => Some(BlockedBy::NoPlace),
            requests => Some(BlockedBy::EarlierRequests { requests }),
        }
    }
}
