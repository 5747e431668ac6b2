//! What becomes of a run whose engine is silent.
//!
//! A sound engine may be silent for a second or so and go on. Leaving it is worth something only to a
//! run that can go on elsewhere; any other waits for what arrives, within its deadline, unless the
//! engine's process is known to have ended. See
//! [docs/design/run-stops.md](../../../docs/design/run-stops.md).

/// What a run needs to go on at another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Continuation {
    /// Whether its route lets a run go on elsewhere after its last event.
    pub is_resumable: bool,
    /// Attempts that count so far, with the present one.
    pub attempts: u32,
    /// How many may count.
    pub max_attempts: u32,
    /// Whether the budget has a retry for it.
    pub has_retry: bool,
    /// Whether another engine takes work and has the version that the run is bound to.
    pub has_engine: bool,
}

impl Continuation {
    /// Whether a run that leaves an engine which lives can go on elsewhere.
    pub fn is_possible(self) -> bool {
        self.is_resumable && self.attempts < self.max_attempts && self.has_retry && self.has_engine
    }

    /// The same for a run whose engine is lost: that doesn't count as an attempt, but for the first.
    pub fn after_loss(self) -> Continuation {
        Continuation { attempts: self.attempts.saturating_sub(1).max(1), ..self }
    }
}

/// What a run does whose engine doesn't answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Its engine's process has ended, so no answer can come.
    EndsThere,
    /// It goes on elsewhere.
    GoesOn,
    /// It waits for what arrives.
    Waits,
}

/// Decides for a run; `has_ended`: the engine's process is known to have ended.
pub fn judge(has_ended: bool, continuation: Continuation) -> Verdict {
    if has_ended {
        Verdict::EndsThere
    } else if continuation.after_loss().is_possible() {
        Verdict::GoesOn
    } else {
        Verdict::Waits
    }
}
