//! Which callers yield where connections or memory are short.
//!
//! A caller yields only while this instance waits for it: for its request, for the rest of a body, or
//! for it to take its answer. In calm nobody yields, so a slow caller has all the time that the limits
//! allow. Under pressure it yields once it has been slower than any ordinary link for a second.

use super::request_memory::Length;

/// The time after which a caller's rate is judged.
const WINDOW_MS: u64 = 1_000;
/// The least rate of a caller that doesn't have to yield.
const LEAST_BYTES_PER_S: u64 = 16 << 10;

/// How fast bytes come from a caller, or go to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// Since when bytes are counted.
    mark_ms: u64,
    bytes: u64,
    /// When bytes last moved.
    moved_ms: u64,
}

impl Pace {
    /// Nothing has moved yet.
    pub fn start(now_ms: u64) -> Pace {
        Pace { mark_ms: now_ms, bytes: 0, moved_ms: now_ms }
    }

    /// The pace after more bytes have moved.
    #[must_use]
    pub fn moved(self, bytes: usize, now_ms: u64) -> Pace {
        let moved = Pace { bytes: self.bytes + bytes as u64, moved_ms: now_ms, ..self };
        let is_window_over = now_ms >= self.mark_ms + WINDOW_MS;
        // What moved fast long ago doesn't make up for a pause.
        if is_window_over && !moved.is_slow(now_ms) { Pace::start(now_ms) } else { moved }
    }

    /// Whether bytes move more slowly than over any ordinary link.
    pub fn is_slow(self, now_ms: u64) -> bool {
        let elapsed_ms = now_ms.saturating_sub(self.mark_ms);
        let is_paused = now_ms >= self.moved_ms + WINDOW_MS;
        let is_below = self.bytes * 1_000 < LEAST_BYTES_PER_S * elapsed_ms;
        elapsed_ms >= WINDOW_MS && (is_paused || is_below)
    }
}

/// What an instance and a caller wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// For the first request on a new connection, or the rest of its head.
    NewRequest {
        /// Since when.
        since_ms: u64,
    },
    /// For the next request on a connection that has had one.
    NextRequest {
        /// Since when.
        since_ms: u64,
    },
    /// For the rest of a body.
    Body {
        /// How fast it comes.
        pace: Pace,
        /// What it holds.
        held_bytes: usize,
    },
    /// For the caller to take its answer.
    Taking {
        /// How fast it does.
        pace: Pace,
        /// What the answer holds.
        held_bytes: usize,
    },
    /// For this instance or an upstream: the caller has done its part.
    Others,
}

impl Wait {
    /// Since when the caller has been too slow, if it has.
    fn slow_since_ms(self, now_ms: u64) -> Option<u64> {
        match self {
            Wait::NewRequest { since_ms } => Some(since_ms),
            Wait::Body { pace, .. } | Wait::Taking { pace, .. } => {
                pace.is_slow(now_ms).then_some(pace.mark_ms)
            }
            Wait::NextRequest { .. } | Wait::Others => None,
        }
    }
}

/// Which connection yields to a new one: the one whose caller has been too slow for longest, else the
/// one that has been without a request for longest.
pub fn connection<K>(callers: impl Iterator<Item = (K, Wait)>, now_ms: u64) -> Option<K> {
    let ranked = callers.filter_map(|(caller, wait)| {
        let rank = match wait {
            Wait::NextRequest { since_ms } => (1, since_ms),
            wait => (0, wait.slow_since_ms(now_ms)?),
        };
        Some((rank, caller))
    });
    ranked.min_by_key(|(rank, _)| *rank).map(|(_, caller)| caller)
}

/// Which callers yield so that the body of a request may grow to `bytes`: those that are too slow, for
/// longest first, then those with longer bodies, the longest first. A short body yields to short ones
/// only. None if all of them together would not free enough.
pub fn for_body<K>(
    callers: impl Iterator<Item = (K, Wait)>,
    bytes: usize,
    missing_bytes: usize,
    now_ms: u64,
) -> Vec<K> {
    let ranked = callers.filter_map(|(caller, wait)| {
        let Wait::Body { held_bytes, .. } = wait else { return None };
        let (held, wanted) = (Length::of(held_bytes), Length::of(bytes));
        let rank = match wait.slow_since_ms(now_ms) {
            _ if held == Length::Short && wanted != Length::Short => return None,
            Some(since_ms) => (0, since_ms),
            None if held > wanted => (1, u64::MAX - held_bytes as u64),
            None => return None,
        };
        Some((rank, held_bytes, caller))
    });
    enough(ranked.collect(), missing_bytes)
}

/// Which callers yield so that an answer may be read: those that take theirs too slowly, for longest
/// first. None if all of them together would not free enough.
pub fn for_answer<K>(
    callers: impl Iterator<Item = (K, Wait)>,
    missing_bytes: usize,
    now_ms: u64,
) -> Vec<K> {
    let ranked = callers.filter_map(|(caller, wait)| {
        let Wait::Taking { held_bytes, .. } = wait else { return None };
        Some(((0, wait.slow_since_ms(now_ms)?), held_bytes, caller))
    });
    enough(ranked.collect(), missing_bytes)
}

/// The first of these that free enough together.
fn enough<K>(mut ranked: Vec<((u8, u64), usize, K)>, missing_bytes: usize) -> Vec<K> {
    ranked.sort_by_key(|(rank, ..)| *rank);
    let mut freed_bytes = 0;
    let mut yielding = Vec::new();
    for (_, held_bytes, caller) in ranked {
        if held_bytes == 0 {
            continue;
        }
        freed_bytes += held_bytes;
        yielding.push(caller);
        if freed_bytes >= missing_bytes {
            return yielding;
        }
    }
    Vec::new()
}
