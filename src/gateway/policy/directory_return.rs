//! How an instance that the directory has stopped answering finds out that it answers again.
//!
//! A silent directory takes calls and answers none of them, also after its return, so a long poll of
//! that time tells nothing until its own wait is over. While the last call failed, an instance makes
//! calls that return at once instead. See [docs/design/directory-return.md](../../../docs/design/directory-return.md).

use super::watchers::WatchPosition;

/// The wait of a call that only checks whether the directory answers.
pub const CHECK_WAIT_MS: u64 = 1;
/// The pause after a first failed call; doubled with each further failure up to the maximum.
const MIN_PAUSE_MS: u64 = 150;
/// The maximum pause, of the first in rank.
const MAX_PAUSE_MS: u64 = 500;

/// The calls of an instance that watches the directory.
#[derive(Debug, Clone, Copy)]
pub struct DirectoryReturn {
    /// Whether the next call only checks: at first, after a failure, and on request.
    must_check: bool,
    pause_ms: u64,
}

impl Default for DirectoryReturn {
    fn default() -> DirectoryReturn {
        // Peers soon learn in this way that the instance has a working watch.
        DirectoryReturn { must_check: true, pause_ms: MIN_PAUSE_MS }
    }
}

impl DirectoryReturn {
    /// How long the directory may hold the next call.
    pub fn wait_ms(&self, position: WatchPosition) -> u64 {
        if self.must_check { CHECK_WAIT_MS } else { position.wait_ms() }
    }

    /// Whether the next call only checks whether the directory answers.
    pub fn must_check(&self) -> bool {
        self.must_check
    }

    /// Has the next call check.
    pub fn check(&mut self) {
        self.must_check = true;
    }

    /// Notes that the directory answered.
    pub fn note_answer(&mut self) {
        *self = DirectoryReturn { must_check: false, pause_ms: MIN_PAUSE_MS };
    }

    /// Notes that a call failed. Returns the pause before the next one, given the number of live instances
    /// ahead in rank: all of them together call a directory that is away at a bounded rate.
    pub fn note_failure(&mut self, ahead: usize) -> u64 {
        let pause_ms = self.pause_ms * WatchPosition::backoff_factor(ahead);
        *self =
            DirectoryReturn { must_check: true, pause_ms: (self.pause_ms * 2).min(MAX_PAUSE_MS) };
        pause_ms
    }
}

/// Whether an instance whose calls fail calls again at once: others have regained the directory, where
/// nobody had it before.
pub fn should_call_again(others_before: usize, others: usize) -> bool {
    others_before == 0 && others > 0
}
