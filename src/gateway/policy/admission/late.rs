//! Postponement of requests that can no longer meet their objective, so that those that still can
//! go first.
//!
//! While an engine reads a prompt, the runs on it produce events several times more slowly. When
//! many instances are lost at once, their callers return together, most of them late already, and
//! many of their prompts have to be read again. Sent at once, these prompts would make the requests
//! late that arrive meanwhile, without any gain for those that are late anyway.

/// Upper bound on the random delay before a late request checks the load, and between two checks.
/// The delay lets requests that arrived together with it go first, and gives reports of what other
/// instances have sent time to arrive.
pub const MAX_RECHECK_DELAY_MS: u64 = 1_000;
/// A late request waits for at most its whole time divided by this, so that none starves and enough
/// time is left for the whole answer.
const MAX_WAIT_DIVISOR: u64 = 3;

/// How busy the engines of a service are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineActivity {
    /// Number of engines that accept work.
    pub engines: usize,
    /// Number of those engines that have a prompt to read.
    pub reading: usize,
}

/// A postponed late request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LateRequest {
    /// When the request arrived.
    pub since_ms: u64,
    /// When the caller must have its answer.
    pub until_ms: u64,
}

impl LateRequest {
    /// Whether to send the request now. While fewer than half of the engines are reading, its
    /// prompt goes to one that is not, and the others keep most of their speed.
    pub fn may_send(&self, load: EngineActivity, now_ms: u64) -> bool {
        let max_wait_ms = self.until_ms.saturating_sub(self.since_ms) / MAX_WAIT_DIVISOR;
        load.reading * 2 < load.engines || now_ms >= self.since_ms + max_wait_ms
    }
}
