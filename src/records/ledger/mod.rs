//! A holder's records: who may run a request, its progress and its outcome.
//!
//! The ledger is a pure decision ([`Decide`]). It never lets two runs of one key both be granted
//! by a majority, refuses owners of older terms, and after a change of the table answers only for
//! keys whose older claims it knows ([docs/DESIGN.md](../../../docs/DESIGN.md#claims)).

mod records;
mod requests;
mod slots;

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::control::membership::{self, Member, Table};
use crate::decide::{Decide, Random};
use crate::records::record::{Record, Reply, Request};

/// The ledger's settings.
#[derive(Debug, Clone)]
pub struct Limits {
    /// The retry horizon: how long a caller may retry with one key, and how long records are kept.
    pub horizon_ms: u64,
    /// How many bytes of answers are kept for one organisation.
    pub organisation_bytes: usize,
}

/// The records that an earlier holder sends to a new one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Who sends it.
    pub from: Member,
    /// The sender's epoch; it no longer answers in earlier ones.
    pub epoch: u64,
    /// The sender's state of each requested slot.
    pub slots: Vec<SlotWord>,
    /// The records of those slots.
    pub records: Vec<Record>,
}

/// An earlier holder's state of one slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotWord {
    /// Which slot.
    pub slot: u16,
    /// The epochs in which it answered for the slot.
    pub answered: Vec<u64>,
    /// For how long it refuses calls, since it may lack earlier claims.
    pub barred_ms: u64,
}

/// An input of the ledger.
#[derive(Debug)]
pub enum Event {
    /// A newer table was adopted.
    Table(Arc<Table>),
    /// A batch from one sender; the replies carry `batch`.
    Batch {
        /// Identifies the batch in the [`Action::Reply`].
        batch: u64,
        /// The requests, in order.
        requests: Vec<Request>,
    },
    /// A new holder asks for records; its table must have been passed as [`Event::Table`] before.
    AskHandover {
        /// Identifies the request in the [`Action::Answer`].
        batch: u64,
        /// The new holder's epoch.
        epoch: u64,
        /// The requested slots.
        slots: Vec<u16>,
    },
    /// An earlier holder sent its records.
    Handover(Handover),
    /// Time has passed.
    Tick,
}

/// An output of the ledger.
#[derive(Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer a batch.
    Reply {
        /// Which batch.
        batch: u64,
        /// One reply per request, in order.
        replies: Vec<Reply>,
    },
    /// Answer a request for records; `None` if this holder's epoch is older than the new holder's.
    Answer {
        /// Which request.
        batch: u64,
        /// The records.
        handover: Option<Handover>,
    },
    /// Ask an earlier holder for its records.
    Ask {
        /// The earlier holder.
        member: Member,
        /// The epoch of the request.
        epoch: u64,
        /// The requested slots.
        slots: Vec<u16>,
    },
}

/// The records of one holder, and which slots it may answer for.
#[derive(Debug)]
pub struct Ledger {
    slots: slots::Slots,
    records: records::Records,
    ignored_events: u64,
}

impl Ledger {
    /// An empty ledger of the instance `me`.
    pub fn new(me: Member, limits: Limits) -> Ledger {
        Ledger {
            slots: slots::Slots::new(me, limits.horizon_ms),
            records: records::Records::new(limits),
            ignored_events: 0,
        }
    }

    /// The instance that keeps it.
    pub fn me(&self) -> &Member {
        self.slots.me()
    }

    /// Whether this holder answers for all of its slots in the current epoch.
    pub fn is_ready(&self) -> bool {
        self.slots.is_ready()
    }

    /// How many events were late, repeated or from instances that were not asked.
    pub fn ignored_events(&self) -> u64 {
        self.ignored_events
    }

    /// How many records are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.records.len() == 0
    }

    /// The record of `key`, if this instance holds one.
    pub fn record(&self, key: &str) -> Option<&Record> {
        self.records.get(key)
    }

    fn adopt(&mut self, table: Arc<Table>, now_ms: u64, out: &mut Vec<Action>) {
        if !self.slots.adopt(table, now_ms, out) {
            self.ignored_events += 1;
        }
    }

    fn hand_over(&self, slots: &[u16], now_ms: u64) -> Handover {
        let is_wanted =
            |record: &&Record| slots.contains(&membership::slot_of(&record.identity.key));
        let with_age = |record: &Record| {
            let mut record = record.clone();
            record.claimed_ms = now_ms.saturating_sub(record.claimed_ms);
            record
        };
        Handover {
            from: self.me().clone(),
            epoch: self.slots.epoch(),
            slots: slots.iter().map(|number| self.slots.slot_state(*number, now_ms)).collect(),
            records: self.records.iter().filter(is_wanted).map(with_age).collect(),
        }
    }

    fn take_handover(&mut self, handover: Handover, now_ms: u64) {
        let Handover { from, epoch, slots, records } = handover;
        let is_of_this_epoch = epoch == self.slots.epoch();
        let mut is_news = false;
        for slot_state in slots.into_iter().filter(|_| is_of_this_epoch) {
            is_news |= self.slots.record_report(&from, slot_state, now_ms);
        }
        if !is_news {
            self.ignored_events += 1;
            return;
        }
        for mut record in records {
            record.claimed_ms = now_ms.saturating_sub(record.claimed_ms);
            self.records.merge(record);
        }
        self.slots.conclude(now_ms);
    }

    fn tick(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        self.slots.tick(now_ms, out);
        self.records.forget_old(now_ms);
    }
}

impl Decide for Ledger {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, event: Event, now_ms: u64, _random: &mut dyn Random, out: &mut Vec<Action>) {
        match event {
            Event::Table(table) => self.adopt(table, now_ms, out),
            Event::Batch { batch, requests } => {
                let answer = |request| self.answer(request, now_ms);
                let replies = requests.into_iter().map(answer).collect();
                out.push(Action::Reply { batch, replies });
            }
            Event::AskHandover { batch, epoch, slots } => {
                let is_known = self.slots.epoch() >= epoch;
                let handover = is_known.then(|| self.hand_over(&slots, now_ms));
                out.push(Action::Answer { batch, handover });
            }
            Event::Handover(handover) => self.take_handover(handover, now_ms),
            Event::Tick => self.tick(now_ms, out),
        }
    }
}
