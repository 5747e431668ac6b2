//! The inputs and outputs of the control thread's decision.

use std::sync::Arc;

use crate::control::blackboard::{Load, Snapshot};
use crate::control::health::{Listed, Observation};
use crate::control::membership::{Member, Table};
use crate::control::orders::{self, Lease};
use crate::control::peers::Exchange;
use crate::operators::document::Document;

/// A key of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The table of instances.
    Table,
    /// The operators' configuration.
    Document,
}

/// A value read from the store.
#[derive(Debug, Clone)]
pub enum Value {
    /// There is no such key.
    Absent,
    /// The table.
    Table(Arc<Table>),
    /// The configuration.
    Document(Arc<Document>),
}

/// An input of the decision.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A read or watch of the store ended; `None` if it failed or nothing changed.
    Read {
        /// Which key.
        key: Key,
        /// The value and the store's revision of it.
        found: Option<Found>,
        /// Whether it was a watch.
        was_watch: bool,
    },
    /// A write of the table ended.
    TableWritten {
        /// The table that was written.
        table: Arc<Table>,
        /// Whether it was applied; `None` if that is unknown.
        applied: Option<bool>,
        /// The store's revision of it.
        revision: u64,
    },
    /// A configuration was accepted through this instance.
    Accepted(Arc<Document>),
    /// A peer asks for an exchange.
    Asked {
        /// Identifies the request in the [`Action::Answer`].
        id: u64,
        /// The peer's exchange.
        exchange: Exchange,
    },
    /// An exchange ended.
    Answered {
        /// The peer.
        from: Member,
        /// The peer's answer, `None` after a timeout.
        answer: Option<Exchange>,
    },
    /// A witness answered whether it reaches a suspect.
    Witnessed {
        /// The suspect.
        suspect: Member,
        /// The witness's answer, `None` after a timeout.
        reaches: Option<bool>,
    },
    /// The platform's list arrived.
    Listed(Vec<Listed>),
    /// A poll of an upstream ended.
    Polled {
        /// Which upstream.
        addr: Arc<str>,
        /// Its load, `None` if it did not answer.
        load: Option<Load>,
        /// The wall clock, for versions that instances compare.
        wall_ms: u64,
    },
    /// Traffic observed something of an upstream.
    Observed {
        /// Which upstream.
        addr: Arc<str>,
        /// The observation.
        observation: Observation,
    },
    /// An attempt to acquire or renew the lease of orders ended.
    Leased(Option<Lease>),
    /// An order ended.
    Ordered {
        /// The upstream.
        addr: Arc<str>,
    },
    /// A peer is in another epoch.
    Differs(Member),
    /// A planned stop begins.
    Stop,
}

/// A value with the store's revision.
#[derive(Debug, Clone)]
pub struct Found {
    /// The value.
    pub value: Value,
    /// The store's revision, 0 for an absent key.
    pub revision: u64,
}

/// An output of the decision.
#[derive(Debug)]
pub enum Action {
    /// Publish a snapshot to traffic.
    Publish(Arc<Snapshot>),
    /// Read a key.
    Read(Key),
    /// Wait for a change of a key.
    Watch {
        /// Which key.
        key: Key,
        /// The known revision.
        after: u64,
    },
    /// Write the table if the store still has `expect`.
    WriteTable {
        /// The new table.
        table: Arc<Table>,
        /// The store's revision that it is based on.
        expect: u64,
    },
    /// Read the platform's list of upstreams.
    List,
    /// Poll an upstream's load.
    Poll(Arc<str>),
    /// Send an exchange.
    Send {
        /// The peer.
        to: Member,
        /// The exchange.
        exchange: Exchange,
    },
    /// Answer a peer's exchange.
    Answer {
        /// The `id` of the [`Event::Asked`].
        id: u64,
        /// The answer.
        exchange: Exchange,
    },
    /// Ask the seeds for their whole state.
    AskSeeds(Exchange),
    /// Ask a witness about a suspect.
    AskWitness {
        /// The witness.
        witness: Member,
        /// The suspect.
        suspect: Member,
    },
    /// Try to acquire the lease of orders.
    TakeLease,
    /// Renew the lease of orders.
    RenewLease(Lease),
    /// Send an order to an upstream.
    Order(orders::Order),
    /// A newer table was adopted.
    Adopted(Arc<Table>),
}
