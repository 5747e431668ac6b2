//! When a request that can't be on time any more is sent, so that those that can go before it: a
//! pure step.
//!
//! An engine that reads a prompt makes the events of its runs seven times more slowly meanwhile. When
//! 75 instances are lost at once, two hundred callers come back whose allowed pause is over, many of
//! whose prompts have to be read anew. Sent at once, and with copies, they left 1,194 of 1,788 streams
//! of the day on time; sent so, and without copies, 1,249, and as many were served in all.

/// Within which time a late request looks, and looks again: at a random moment, so that what came
/// with it goes first, and news of what is sent elsewhere has come by then.
pub const LOOK_MS: u64 = 1_000;
/// The part of its time for which a late request waits at the most, so that none starves and each
/// has the time for its whole answer.
const WAITING_PART: u64 = 3;

/// What engines are doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Engines that take work.
    pub engines: usize,
    /// Those of them that have a prompt to read.
    pub reading: usize,
}

/// A late request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Late {
    /// When it came.
    pub since_ms: u64,
    /// When its caller must have its answer.
    pub until_ms: u64,
}

impl Late {
    /// Whether it is sent now: while fewer than half of the engines read, its prompt finds one that
    /// doesn't, and the others keep most of their pace.
    pub fn is_sent(&self, load: Load, now_ms: u64) -> bool {
        let patience_ms = self.until_ms.saturating_sub(self.since_ms) / WAITING_PART;
        load.reading * 2 < load.engines || now_ms >= self.since_ms + patience_ms
    }
}
