//! Which call to the directory an instance's list of upstreams rests on.
//!
//! A list is as new as the beginning of the last call whose answer is in it: a call that was waiting when a
//! question came proves nothing for that question, however late its answer.

/// A call to the directory that brings what changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectoryCall {
    number: u64,
    begun_ms: u64,
}

/// The calls to the directory, and which of them the list holds.
#[derive(Debug, Default, Clone, Copy)]
pub struct Sight {
    begun: u64,
    seen: Option<DirectoryCall>,
}

impl Sight {
    /// Begins a call.
    pub fn begin(&mut self, now_ms: u64) -> DirectoryCall {
        self.begun += 1;
        DirectoryCall { number: self.begun, begun_ms: now_ms }
    }

    /// Takes in that the list holds the answer of a call.
    pub fn note_seen(&mut self, call: DirectoryCall) {
        if self.seen.is_none_or(|seen| seen.number < call.number) {
            self.seen = Some(call);
        }
    }

    /// The number of the last call that has begun, for [`Sight::is_newer_than`].
    pub fn last_begun(&self) -> u64 {
        self.begun
    }

    /// Whether the list holds the answer of a call that began later than this one.
    pub fn is_newer_than(&self, begun: u64) -> bool {
        self.seen.is_some_and(|seen| seen.number > begun)
    }

    /// Time since the call began whose answer is the newest in the list.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.seen.map(|seen| now_ms.saturating_sub(seen.begun_ms))
    }
}
