//! What goes into the decision of the control thread and what comes out of it.

use std::sync::Arc;

use crate::control::blackboard::{Load, Snapshot};
use crate::control::health::{Listed, Sign};
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

/// A value that the store answered.
#[derive(Debug, Clone)]
pub enum Value {
    /// No such key.
    Absent,
    /// The table.
    Table(Arc<Table>),
    /// The configuration.
    Document(Arc<Document>),
}

/// What happens to the control state.
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
        /// Whether this ends a watch.
        was_watch: bool,
    },
    /// A write of the table ended.
    TableWritten {
        /// The table that was written.
        table: Arc<Table>,
        /// Whether it was applied; `None` if that isn't known.
        applied: Option<bool>,
        /// The store's revision of it.
        revision: u64,
    },
    /// A configuration was accepted through this instance.
    Accepted(Arc<Document>),
    /// A peer asks for an exchange.
    Asked {
        /// Names the question in the action that answers it.
        id: u64,
        /// What the peer says.
        exchange: Exchange,
    },
    /// An exchange ended.
    Answered {
        /// Whom it was with.
        from: Member,
        /// What the peer said, `None` if nothing in time.
        answer: Option<Exchange>,
    },
    /// A witness told whether it reaches a suspect.
    Witnessed {
        /// The suspect.
        suspect: Member,
        /// The witness's view, `None` if it did not answer.
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
    /// Traffic noticed something about an upstream.
    Noticed {
        /// Which upstream.
        addr: Arc<str>,
        /// What.
        sign: Sign,
    },
    /// A try to take or renew the lease of orders ended.
    Leased(Option<Lease>),
    /// An order ended.
    Ordered {
        /// The upstream.
        addr: Arc<str>,
    },
    /// A peer goes by another epoch.
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

/// What the control state wants done.
#[derive(Debug)]
pub enum Action {
    /// Show traffic this snapshot.
    Publish(Arc<Snapshot>),
    /// Read a key.
    Read(Key),
    /// Wait for a change of a key.
    Watch {
        /// Which key.
        key: Key,
        /// The revision that is known.
        after: u64,
    },
    /// Write the table if the store still has `expect`.
    WriteTable {
        /// The new table.
        table: Arc<Table>,
        /// The store's revision that it was made from.
        expect: u64,
    },
    /// Read the platform's list of upstreams.
    List,
    /// Ask an upstream for its load.
    Poll(Arc<str>),
    /// Send an exchange.
    Send {
        /// To whom.
        to: Member,
        /// What.
        exchange: Exchange,
    },
    /// Answer a peer's exchange.
    Answer {
        /// Which question.
        id: u64,
        /// What to say.
        exchange: Exchange,
    },
    /// Ask a seed for everything it knows.
    AskSeeds(Exchange),
    /// Ask a witness about a suspect.
    AskWitness {
        /// Whom to ask.
        witness: Member,
        /// About whom.
        suspect: Member,
    },
    /// Try to take the lease of orders.
    TakeLease,
    /// Renew it.
    RenewLease(Lease),
    /// Send an order to an upstream.
    Order(orders::Order),
    /// A newer table is in force.
    Adopted(Arc<Table>),
}
