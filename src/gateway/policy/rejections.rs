//! Keeps the requests that a brittle upstream turns away below the number that fells it.
//!
//! Such an upstream names in its answers how many requests it may turn away for want of room in a
//! second, from all instances together. Instances tell each other each rejection at once, and all
//! pause while about half of that number was turned away within the last second: the other half is
//! for requests that are under way when a rejection becomes known. Pure bookkeeping without I/O.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Time in which the rejections of an upstream are counted.
const WINDOW_MS: u64 = 1_000;
/// A pause begins at the named number divided by this.
const PAUSE_DIVISOR: u32 = 2;
/// Upper bound on the named number; an upstream that names more is not brittle.
const MAX_BOUND: u32 = 10_000;

/// A request that a brittle upstream turned away for want of room.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The upstream.
    pub upstream: Arc<str>,
    /// The number of rejections in a second above which it falls over, as it named.
    pub bound: u32,
}

impl Rejection {
    /// A rejection by an upstream that named a bound; `None` if the bound is not credible.
    pub fn new(upstream: Arc<str>, bound: u32) -> Option<Rejection> {
        (1..=MAX_BOUND).contains(&bound).then_some(Rejection { upstream, bound })
    }
}

#[derive(Debug, Clone, Default)]
struct Window {
    at_ms: VecDeque<u64>,
    /// Until when the upstream gets no requests.
    paused_until_ms: u64,
}

/// The rejections of the last second, by upstream; clones share the pauses.
#[derive(Debug, Clone, Default)]
pub struct Rejections {
    windows: BTreeMap<Arc<str>, Window>,
    paused: Arc<BTreeMap<Arc<str>, u64>>,
}

impl Rejections {
    /// Records a rejection that this instance or a peer received. Returns until when the upstream
    /// gets no requests, if this begins or extends a pause.
    pub fn note(&mut self, rejection: &Rejection, now_ms: u64) -> Option<u64> {
        let Rejection { upstream, bound } = rejection;
        let window = self.windows.entry(Arc::clone(upstream)).or_default();
        window.at_ms.push_back(now_ms);
        while window.at_ms.front().is_some_and(|at_ms| at_ms + WINDOW_MS <= now_ms) {
            window.at_ms.pop_front();
        }
        let allowed = (*bound / PAUSE_DIVISOR).max(1) as usize;
        // The pause lasts until so few are left in the window that another one is allowed.
        let index = window.at_ms.len().checked_sub(allowed)?;
        let until_ms = window.at_ms.get(index)? + WINDOW_MS;
        if until_ms <= window.paused_until_ms {
            return None;
        }
        window.paused_until_ms = until_ms;
        Arc::make_mut(&mut self.paused).insert(Arc::clone(upstream), until_ms);
        Some(until_ms)
    }

    /// Drops what no longer counts.
    pub fn expire(&mut self, now_ms: u64) {
        self.windows.retain(|_, window| {
            window.at_ms.back().is_some_and(|at_ms| at_ms + WINDOW_MS > now_ms)
        });
        if self.paused.values().any(|until_ms| *until_ms <= now_ms) {
            Arc::make_mut(&mut self.paused).retain(|_, until_ms| *until_ms > now_ms);
        }
    }

    /// The upstreams that get no requests, and until when.
    pub fn paused(&self) -> Arc<BTreeMap<Arc<str>, u64>> {
        Arc::clone(&self.paused)
    }
}
