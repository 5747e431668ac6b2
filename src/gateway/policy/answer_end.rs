//! Whether an answer is whole whose end only its channel marks.
//!
//! The system closes the channels of a process that crashes as it closes those of one that has
//! answered, so such an end proves nothing. What proves that the answer is whole is that the process
//! which made it lived on: it answers a question that was sent after the end. See
//! [docs/design/answer-ends.md](../../../docs/design/answer-ends.md).

use std::sync::Arc;

/// How an answer told its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Framing {
    /// By a length, by chunks, or by a status that allows no body.
    #[display("length")]
    Stated,
    /// By the end of its channel.
    #[display("channel")]
    Channel,
}

/// What an answer says of the request, as far as its end matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerHead {
    /// How it tells its end.
    pub framing: Framing,
    /// Whether it says that the request was not run.
    pub is_refusal: bool,
    /// Whether its body may go to the caller.
    pub is_passed_on: bool,
}

impl AnswerHead {
    /// Whether it counts as whole only with a proof. A refusal that stays here says all in its head.
    pub fn needs_proof(self) -> bool {
        self.framing == Framing::Channel && (self.is_passed_on || !self.is_refusal)
    }
}

/// What came of a question that was sent to an upstream after the end of its answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// Nothing listens at its address.
    Refused,
    /// An answer, whatever it says of the upstream's health.
    Answered {
        /// Its status; 421 is that of another upstream than the one that was meant.
        status: u16,
        /// The upstream that answered, if it says so.
        upstream: Option<Arc<str>>,
    },
    /// The channel was closed or reset, as a full upstream does with those beyond its limit.
    Broken,
    /// None within the time.
    None,
}

/// What is known of the process that made an answer, after the answer's end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    /// It lives, so the answer is whole.
    LivesOn,
    /// It has exited.
    Exited,
    /// Another process has its address, so it has exited.
    Replaced,
    /// Nothing shows whether it lives.
    Unknown,
}

impl Life {
    /// What a reply shows of the upstream that was meant.
    pub fn of(meant: &str, reply: &Reply) -> Life {
        match reply {
            Reply::Refused => Life::Exited,
            Reply::Answered { status: 421, .. } => Life::Replaced,
            Reply::Answered { upstream: Some(other), .. } if **other != *meant => Life::Replaced,
            Reply::Answered { .. } => Life::LivesOn,
            Reply::Broken | Reply::None => Life::Unknown,
        }
    }
}
