//! What the holders of a key keep, and the messages that change it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::records::journal::Journal;

/// What kind of request a record stands for.
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
    /// Where its peers reach it.
    pub addr: Arc<str>,
}

/// Where a generation runs, so that another owner can attach to the same stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stream {
    /// The upstream's address.
    pub upstream: Arc<str>,
    /// The name that the owner gave to the stream.
    pub stream_id: Arc<str>,
    /// The model and version, which another attempt has to keep to.
    pub model: Arc<str>,
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// A generation is whole.
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
    /// The request ran, and its answer was dropped for want of memory.
    Evicted,
}

/// The answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The value of `content-type`.
    pub content_type: Arc<str>,
    /// The body as it came.
    pub body: Vec<u8>,
}

/// What identifies one run of a request, repeated in each message about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// `ORGANISATION/IDEMPOTENCY-KEY`.
    pub key: Arc<str>,
    /// What kind of request it is.
    pub kind: Kind,
    /// A hash of the body, to notice a key that is used twice.
    pub body_hash: u64,
    /// Drawn for each run; two runs of one key never share it.
    pub nonce: u64,
}

/// The record of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Which run it is.
    pub identity: Identity,
    /// Who serves it.
    pub owner: Owner,
    /// Grows with each take-over; an older owner's messages are refused (fencing).
    pub term: u64,
    /// The term of the last accepted append.
    pub journal_term: u64,
    /// The tokens held here.
    pub journal: Journal,
    /// Where the generation runs.
    pub stream: Option<Stream>,
    /// How it ended, if it did.
    pub outcome: Option<Outcome>,
    /// Whether another run of the key was seen, so that a release proves nothing.
    pub contested: bool,
    /// How long ago it was claimed, when it travels; the time of the claim where it is held.
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

    /// How much it says.
    pub fn progress(&self) -> Progress {
        Progress {
            has_outcome: self.outcome.is_some(),
            journal_term: self.journal_term,
            tokens: self.journal.len(),
        }
    }

    /// The bytes that the answer takes, for budgets.
    pub fn answer_bytes(&self) -> usize {
        let body = match &self.outcome {
            Some(Outcome::Answered(answer)) => answer.body.len(),
            _ => 0,
        };
        body + self.journal.size_bytes()
    }
}

/// How much a record says; the larger one wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Progress {
    has_outcome: bool,
    journal_term: u64,
    tokens: u32,
}

/// A change to a record, or a question about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Asks for the right to run the request.
    Claim {
        /// Which run it is.
        identity: Identity,
        /// Who wants to run it.
        owner: Owner,
    },
    /// Gives a claim back that was never acted on.
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
    /// Ends the request.
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
    /// Asks to go on with a generation whose owner seems lost.
    TakeOver {
        /// Which run it is.
        identity: Identity,
        /// Who wants to go on.
        owner: Owner,
        /// The new term, over all that the sender has seen.
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
    /// The append or the end is recorded.
    Accepted {
        /// How many tokens are held now.
        have: u32,
    },
    /// Tokens before the append are missing here.
    Gap {
        /// How many tokens are held.
        have: u32,
    },
    /// A newer term is in force, or another run.
    Fenced {
        /// That term.
        term: u64,
    },
    /// No such record, so nothing to do.
    Absent,
    /// The epochs differ; the older side has to catch up.
    Stale {
        /// The holder's epoch.
        epoch: u64,
    },
    /// The holder is still asking for older records.
    NotReady,
    /// The holder can't know older claims on this key.
    Quarantined {
        /// For how long it refuses.
        left_ms: u64,
    },
}
