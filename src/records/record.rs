//! The record of a key at its holders, and the messages that change it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::records::journal::Journal;

/// The kind of request that a record is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A generation, whose tokens are journalled.
    Generation,
    /// A call that may not be repeated.
    Call,
}

/// The instance that serves a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Its name.
    pub id: Arc<str>,
    /// The address at which peers reach it.
    pub addr: Arc<str>,
}

/// Where a generation runs, so that another owner can attach to the same stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stream {
    /// The upstream's address.
    pub upstream: Arc<str>,
    /// The stream's id, which the owner chose.
    pub stream_id: Arc<str>,
    /// The model and version; other attempts must use the same.
    pub model: Arc<str>,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A generation is complete.
    Finished {
        /// How many tokens it has.
        tokens: u32,
        /// Why the engine stopped.
        reason: Arc<str>,
    },
    /// A plain call was answered.
    Answered(Answer),
    /// The request reached an upstream and no answer came back.
    Unknown,
    /// The request ran, and its answer was evicted to stay within the memory limit.
    Evicted,
}

/// The answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The value of `content-type`.
    pub content_type: Arc<str>,
    /// The unchanged body.
    pub body: Vec<u8>,
}

/// Identifies one run of a request, in each message about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// `ORGANISATION/IDEMPOTENCY-KEY`.
    pub key: Arc<str>,
    /// What kind of request it is.
    pub kind: Kind,
    /// A hash of the body, to detect a key that is reused for another request.
    pub body_hash: u64,
    /// A random number that tells the runs of one key apart.
    pub nonce: u64,
}

/// The record of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Which run it is.
    pub identity: Identity,
    /// Who serves it.
    pub owner: Owner,
    /// Grows with each take-over; messages of an older term are refused (fencing).
    pub term: u64,
    /// The term of the last accepted append.
    pub journal_term: u64,
    /// The tokens that this holder has.
    pub journal: Journal,
    /// Where the generation runs.
    pub stream: Option<Stream>,
    /// How it ended; `None` while it runs.
    pub outcome: Option<Outcome>,
    /// Whether another run of the key was seen, so that a release must not remove the record.
    pub contested: bool,
    /// The time of the claim at a holder; in messages, the time since the claim.
    pub claimed_ms: u64,
}

impl Record {
    /// The organisation that the key belongs to.
    pub fn organisation(&self) -> &str {
        self.identity.key.split('/').next().unwrap_or_default()
    }

    /// The record of a run that was claimed at `claimed_ms`.
    pub fn new(identity: Identity, owner: Owner, term: u64, claimed_ms: u64) -> Record {
        Record {
            identity,
            owner,
            term,
            journal_term: term,
            journal: Journal::default(),
            stream: None,
            outcome: None,
            contested: false,
            claimed_ms,
        }
    }

    /// How far the record has got, to compare it with another one of the same key.
    pub fn progress(&self) -> Progress {
        Progress {
            has_outcome: self.outcome.is_some(),
            journal_term: self.journal_term,
            tokens: self.journal.len(),
        }
    }

    /// The memory that the answer takes, for the organisation's limit.
    pub fn answer_bytes(&self) -> usize {
        let body = match &self.outcome {
            Some(Outcome::Answered(answer)) => answer.body.len(),
            _ => 0,
        };
        body + self.journal.size_bytes()
    }
}

/// How far a record has got; the larger one is newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Progress {
    has_outcome: bool,
    journal_term: u64,
    tokens: u32,
}

/// An operation on a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Claims the key for a run.
    Claim {
        /// Which run it is.
        identity: Identity,
        /// The instance that claims it.
        owner: Owner,
    },
    /// Releases a claim under which nothing was sent to an upstream.
    Release {
        /// Which run it is.
        identity: Identity,
    },
    /// Adds tokens, or replaces those of an older term from `from` on.
    Append {
        /// Which run it is.
        identity: Identity,
        /// Who sends it.
        owner: Owner,
        /// The sender's term.
        term: u64,
        /// The index of the first token.
        from: u32,
        /// The tokens.
        tokens: Journal,
        /// Where they come from.
        stream: Option<Stream>,
    },
    /// Records the outcome.
    Settle {
        /// Which run it is.
        identity: Identity,
        /// Who sends it.
        owner: Owner,
        /// The sender's term.
        term: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// Takes over a generation whose owner seems lost.
    TakeOver {
        /// Which run it is.
        identity: Identity,
        /// The instance that takes over.
        owner: Owner,
        /// The new term, higher than all that the sender has seen.
        term: u64,
    },
}

impl Op {
    /// The run that it is about.
    pub fn identity(&self) -> &Identity {
        match self {
            Op::Claim { identity, .. }
            | Op::Release { identity }
            | Op::Append { identity, .. }
            | Op::Settle { identity, .. }
            | Op::TakeOver { identity, .. } => identity,
        }
    }
}

/// An operation under the sender's epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The epoch whose roster made the receiver a holder.
    pub epoch: u64,
    /// What to do.
    pub op: Op,
}

/// A holder's answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The claim or take-over is recorded.
    Granted(Box<Record>),
    /// Another run has the key.
    Held(Box<Record>),
    /// The key was used with another body.
    Conflict,
    /// The append or the outcome is recorded.
    Accepted {
        /// How many tokens are held now.
        have: u32,
    },
    /// The holder lacks tokens before the append.
    Gap {
        /// How many tokens are held.
        have: u32,
    },
    /// The record has a newer term or is of another run.
    Fenced {
        /// That term.
        term: u64,
    },
    /// There is no such record.
    Absent,
    /// The epochs differ; the side with the older one must update its table.
    Stale {
        /// The holder's epoch.
        epoch: u64,
    },
    /// The holder is still fetching older records.
    NotReady,
    /// The holder may lack older claims of this key.
    Quarantined {
        /// For how long it refuses calls.
        left_ms: u64,
    },
}
