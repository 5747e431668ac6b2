//! The inputs and outputs of a generation's decision.

use std::sync::Arc;

use crate::control::membership::{Member, Roster};
use crate::records::copies::Copied;
use crate::records::record::{Op, Stream};

/// The timeouts of a service's generations, and whether they are hedged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// Whether a silence timeout starts a second attempt beside the first.
    pub hedge: bool,
    /// The lower bound of the silence timeout between tokens.
    pub gap_floor_ms: u64,
    /// The upper bound of the silence timeout between tokens.
    pub gap_ceiling_ms: u64,
    /// The timeout for the first token of new work.
    pub first_token_ms: u64,
    /// The timeout for the first token of resumed work.
    pub resumed_token_ms: u64,
    /// When the caller stops waiting.
    pub deadline_ms: u64,
}

/// An input of the decision.
#[derive(Debug, Clone)]
pub enum Event {
    /// The roster in force; the first one starts the work.
    Roster(Arc<Roster>),
    /// An upstream was chosen for an attempt.
    Placed {
        /// Which attempt.
        attempt: u32,
        /// Where it runs.
        stream: Stream,
    },
    /// A token arrived.
    Token {
        /// Which attempt sent it.
        attempt: u32,
        /// Its index in the answer.
        index: u32,
        /// Its text.
        text: String,
    },
    /// An attempt's explicit end arrived.
    End {
        /// Which attempt sent it.
        attempt: u32,
        /// How many tokens the answer has.
        tokens: u32,
        /// Why the engine stopped.
        reason: Arc<str>,
    },
    /// An attempt's stream was lost, or no upstream accepted it.
    Lost {
        /// Which attempt.
        attempt: u32,
        /// Whether an upstream had accepted it.
        was_placed: bool,
    },
    /// A holder answered an append.
    Appended(Copied),
    /// A holder answered a settle.
    Settled(Copied),
    /// Time has passed.
    Tick {
        /// Whether so many upstreams are silent at once that this instance is likely at fault.
        is_likely_local_fault: bool,
    },
}

/// An output of the decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt.
    Begin(Attempt),
    /// Cancel an attempt's stream.
    Cancel {
        /// Which attempt.
        attempt: u32,
    },
    /// Report a silent upstream, so that it gets less work.
    Suspect {
        /// Which upstream.
        upstream: Arc<str>,
    },
    /// Send an operation to a holder.
    Copy {
        /// The epoch of the operation.
        epoch: u64,
        /// The holder.
        member: Member,
        /// The operation.
        op: Op,
    },
    /// Release all tokens before this index to the caller.
    Release {
        /// The number of tokens.
        to: u32,
    },
    /// The answer is complete and its outcome is recorded.
    Finish {
        /// How many tokens it has.
        tokens: u32,
        /// Why the engine stopped.
        reason: Arc<str>,
    },
    /// Another instance has taken over: this one must release nothing more.
    Yield,
    /// The deadline has passed before the end.
    GiveUp,
}

/// An attempt to be started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Grows with each attempt of one owner.
    pub number: u32,
    /// How many accepted tokens it continues from.
    pub from: u32,
    /// A running stream to attach to, before anything else is tried.
    pub attach: Option<Stream>,
    /// Upstreams to avoid if there are others.
    pub avoid: Vec<Arc<str>>,
    /// Whether it resumes lost work, which has priority over new work.
    pub is_resumed: bool,
}
