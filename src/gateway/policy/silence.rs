//! How long an attempt of a stream may stay silent: a decision from what the engine says of the
//! run itself.
//!
//! That an engine lives says nothing of one run there: its answer may have been lost on the way, or
//! the run may have ended without a word. Its state names the runs that it works on, how much of
//! each it has in memory and how many events it has made. So no time that was measured on one
//! engine decides: a slow engine that still reads a prompt keeps the run, a quick one that has lost
//! it does not.

/// How old an engine's state may be: it is gathered now and then, a few times a second. A run that
/// was sent or heard within this time before the question may be missing from it and be there.
const STATE_AGE_MS: u64 = 500;
/// Over which time a run that is worked on shows it: several states, each with a chunk of its
/// prompt or an event more.
const PROGRESS_MS: u64 = 1_500;

/// What an engine's state says of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sighting {
    /// It doesn't name runs.
    Untold,
    /// It doesn't name the run, and it has requests that have not made an event yet, of which this
    /// may be one: a run is named from its first event on.
    MayWait,
    /// It doesn't name the run, and all that it works on have made events.
    Missing,
    /// It names the run.
    Listed {
        /// Tokens that it has in memory.
        tokens: u64,
        /// Events that it has made.
        events: u64,
    },
}

/// What to do about a silent run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Wait, and ask again.
    Wait,
    /// Leave the engine.
    Leave(Why),
}

/// Why a silent run leaves its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Why {
    /// The engine doesn't have it any more.
    #[display("the engine lives and has no such run")]
    Gone,
    /// It makes events that do not arrive.
    #[display("the run makes events and none arrives")]
    AnswerLost,
    /// It is named and nothing becomes of it.
    #[display("the run is there and makes no progress")]
    Standing,
}

/// What was seen of a run since something last came from it.
#[derive(Debug, Clone, Copy)]
pub struct Silence {
    since_ms: u64,
    seen: Option<Seen>,
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    tokens: u64,
    events: u64,
    at_ms: u64,
}

impl Silence {
    /// A run that was sent, or heard, a moment ago.
    pub fn new(now_ms: u64) -> Silence {
        Silence { since_ms: now_ms, seen: None }
    }

    /// Takes in what the engine's state, asked for at `asked_ms`, says of the run.
    pub fn see(&mut self, sighting: Sighting, asked_ms: u64) -> Verdict {
        if asked_ms < self.since_ms + STATE_AGE_MS {
            return Verdict::Wait;
        }
        match sighting {
            Sighting::Untold | Sighting::MayWait => Verdict::Wait,
            Sighting::Missing => Verdict::Leave(Why::Gone),
            Sighting::Listed { tokens, events } => self.see_listed(tokens, events, asked_ms),
        }
    }

    fn see_listed(&mut self, tokens: u64, events: u64, asked_ms: u64) -> Verdict {
        let now = Seen { tokens, events, at_ms: asked_ms };
        let Some(before) = self.seen else {
            self.seen = Some(now);
            return Verdict::Wait;
        };
        if events > before.events {
            return Verdict::Leave(Why::AnswerLost);
        }
        if tokens != before.tokens {
            self.seen = Some(now);
            return Verdict::Wait;
        }
        let stands = asked_ms >= before.at_ms + PROGRESS_MS;
        if stands { Verdict::Leave(Why::Standing) } else { Verdict::Wait }
    }
}
