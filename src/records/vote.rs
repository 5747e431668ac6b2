//! Counts the holders' answers to one operation until there is a majority.

use std::sync::Arc;

use crate::control::membership;
use crate::records::record::{Record, Reply};

/// The result of a vote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// A majority granted it.
    Granted(Vec<Grant>),
    /// A majority recorded it.
    Accepted,
    /// Another run has the key, or so many holders say so that no majority can grant it.
    Held(Box<Record>),
    /// The key was used with another body.
    Conflict,
    /// A newer term is in force.
    Fenced {
        /// That term.
        term: u64,
    },
    /// No holder knows the key.
    Absent,
    /// A holder is in another epoch.
    Stale {
        /// That epoch.
        epoch: u64,
    },
    /// Holders may lack older claims of the key and refuse it for a while.
    Quarantined {
        /// For how long.
        left_ms: u64,
    },
    /// Too few holders could answer.
    Unavailable,
}

/// One holder's grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Grant {
    /// The holder's name.
    pub holder: Arc<str>,
    /// Its record.
    pub record: Record,
}

/// The newest record: an outcome first, then the newest term, then the most tokens.
///
/// It contains all that was released, since a majority had that and any two majorities intersect.
pub fn best(grants: &[Grant]) -> Option<&Record> {
    let records = grants.iter().map(|grant| &grant.record);
    records.max_by_key(|record| record.progress())
}

/// The answers so far.
#[derive(Debug)]
pub struct Vote {
    needed: usize,
    answered: Vec<Arc<str>>,
    outstanding: usize,
    granted: Vec<Grant>,
    held: Option<Box<Record>>,
    accepted: usize,
    absent: usize,
    fenced: u64,
    quarantined_ms: u64,
}

impl Vote {
    /// A vote among `holders`.
    pub fn new(holders: usize) -> Vote {
        Vote {
            needed: membership::quorum(holders),
            answered: Vec::new(),
            outstanding: holders,
            granted: Vec::new(),
            held: None,
            accepted: 0,
            absent: 0,
            fenced: 0,
            quarantined_ms: 0,
        }
    }

    /// Counts one holder's answer, `None` after a timeout; a verdict ends the vote. A second answer
    /// of the same holder is ignored.
    pub fn take(&mut self, holder: &Arc<str>, reply: Option<Reply>) -> Option<Verdict> {
        if self.answered.contains(holder) {
            return None;
        }
        self.answered.push(Arc::clone(holder));
        self.outstanding = self.outstanding.saturating_sub(1);
        match reply {
            Some(Reply::Conflict) => return Some(Verdict::Conflict),
            Some(Reply::Stale { epoch }) => return Some(Verdict::Stale { epoch }),
            Some(Reply::Granted(record)) => {
                self.granted.push(Grant { holder: Arc::clone(holder), record: *record });
            }
            Some(Reply::Held(record)) => self.note_held(record),
            Some(Reply::Accepted { .. }) => self.accepted += 1,
            Some(Reply::Absent) => self.absent += 1,
            Some(Reply::Fenced { term }) => self.fenced = self.fenced.max(term),
            Some(Reply::Quarantined { left_ms }) => {
                self.quarantined_ms = self.quarantined_ms.max(left_ms);
            }
            _ => {}
        }
        self.conclude()
    }

    fn note_held(&mut self, record: Box<Record>) {
        let says_more = |held: &Record| record.progress() > held.progress();
        if self.held.as_deref().is_none_or(says_more) {
            self.held = Some(record);
        }
    }

    fn conclude(&mut self) -> Option<Verdict> {
        if self.granted.len() >= self.needed {
            return Some(Verdict::Granted(std::mem::take(&mut self.granted)));
        }
        if self.accepted >= self.needed {
            return Some(Verdict::Accepted);
        }
        let hoped_for = self.granted.len().max(self.accepted) + self.outstanding;
        if hoped_for >= self.needed {
            return None;
        }
        if let Some(record) = self.held.take() {
            return Some(Verdict::Held(record));
        }
        if self.fenced > 0 {
            return Some(Verdict::Fenced { term: self.fenced });
        }
        if self.absent >= self.needed {
            return Some(Verdict::Absent);
        }
        if self.outstanding > 0 {
            return None;
        }
        Some(match self.quarantined_ms {
            0 => Verdict::Unavailable,
            left_ms => Verdict::Quarantined { left_ms },
        })
    }
}
