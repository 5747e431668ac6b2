//! What goes into a generation's decision and what comes out of it.

use std::sync::Arc;

use crate::control::membership::{Member, Roster};
use crate::records::copies::Copied;
use crate::records::record::{Op, Stream};

/// How a service wants its generations treated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Policy {
    /// Whether a suspicious silence starts a second attempt beside the first.
    pub hedge: bool,
    /// The shortest silence that is suspicious.
    pub gap_floor_ms: u64,
    /// The longest silence that is not.
    pub gap_ceiling_ms: u64,
    /// How long new work may wait for its first token.
    pub first_token_ms: u64,
    /// How long resumed work may wait for its first token.
    pub resumed_token_ms: u64,
    /// When the caller's patience ends.
    pub deadline_ms: u64,
}

/// What happens to a generation.
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
    /// An attempt broke off, or no upstream took it.
    Lost {
        /// Which attempt.
        attempt: u32,
        /// Whether some upstream had taken it.
        was_placed: bool,
    },
    /// A holder answered an append.
    Appended(Copied),
    /// A holder answered the end.
    Settled(Copied),
    /// Time has passed.
    Tick {
        /// Whether so many upstreams are silent at once that the fault is likely on this side.
        suspect_ourselves: bool,
    },
}

/// What a generation wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start an attempt.
    Begin(Attempt),
    /// Cancel an attempt's stream.
    Cancel {
        /// Which attempt.
        attempt: u32,
    },
    /// Keep work away from an upstream that has fallen silent.
    Suspect {
        /// Which upstream.
        upstream: Arc<str>,
    },
    /// Send an operation to a holder.
    Copy {
        /// Under which epoch.
        epoch: u64,
        /// To whom.
        member: Member,
        /// What.
        op: Op,
    },
    /// Everything before this index may be shown to the caller.
    Release {
        /// The number of tokens.
        to: u32,
    },
    /// The answer is whole and its end is recorded.
    Finish {
        /// How many tokens it has.
        tokens: u32,
        /// Why the engine stopped.
        reason: Arc<str>,
    },
    /// Another instance has taken over: nothing may be released any more.
    Yield,
    /// The deadline has passed without an end.
    GiveUp,
}

/// An attempt to be started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// Grows within one owner.
    pub number: u32,
    /// The accepted tokens it has to continue from.
    pub from: u32,
    /// A running stream to attach to, before anything else is tried.
    pub attach: Option<Stream>,
    /// Upstreams to avoid if others can be had.
    pub avoid: Vec<Arc<str>>,
    /// Whether it resumes lost work and goes ahead of new work.
    pub is_resumed: bool,
}
