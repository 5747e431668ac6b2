//! The parts that runs of this instance got past lately, which are no suspects.

use std::collections::{BTreeMap, BTreeSet};

use super::super::super::fingerprint::Fingerprint;

/// How long a part counts as sound after a run got past it.
const SERVED_TTL_MS: u64 = 60_000;
/// Maximum number of parts that are remembered; beyond it, the oldest are dropped.
const MAX_PARTS: usize = 65_536;

/// The parts that runs got past, with the time. Their names, which callers choose, aren't kept.
#[derive(Debug, Default)]
pub struct ServedParts {
    served_ms: BTreeMap<Fingerprint, u64>,
    by_age: BTreeSet<(u64, Fingerprint)>,
}

impl ServedParts {
    /// Notes that a run got past a part.
    pub fn note(&mut self, part: Fingerprint, now_ms: u64) {
        if let Some(before_ms) = self.served_ms.insert(part, now_ms) {
            self.by_age.remove(&(before_ms, part));
        }
        self.by_age.insert((now_ms, part));
        if self.served_ms.len() > MAX_PARTS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, part)) = self.by_age.pop_first() {
            self.served_ms.remove(&part);
        }
    }

    /// Whether a run got past a part lately.
    pub fn contains(&self, part: Fingerprint, now_ms: u64) -> bool {
        self.served_ms.get(&part).is_some_and(|served_ms| served_ms + SERVED_TTL_MS > now_ms)
    }

    /// Drops the parts whose time is over.
    pub fn expire(&mut self, now_ms: u64) {
        let is_over = |(served_ms, _): &(u64, Fingerprint)| served_ms + SERVED_TTL_MS <= now_ms;
        while self.by_age.first().is_some_and(is_over) {
            self.forget_oldest();
        }
    }

    /// Number of parts.
    pub fn len(&self) -> usize {
        self.served_ms.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.served_ms.is_empty()
    }
}
