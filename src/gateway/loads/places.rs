//! The engines that read prompt prefixes, as peers reported. The entries are grouped by second, so
//! that adding to a shared value copies only the entries of the current second.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// How long an entry is kept, in milliseconds. Callers whose instance died come back within seconds,
/// and engines keep a prompt cached for about as long.
const ENTRY_TTL_MS: u64 = 10_000;
/// Time span of one group of entries, in milliseconds.
const GROUP_MS: u64 = 1_000;

#[derive(Debug, Clone, Default)]
struct Step {
    since_ms: u64,
    parts: Arc<BTreeMap<u64, Vec<Arc<str>>>>,
}

/// Engines that read prompt prefixes. Clones share the entries.
#[derive(Debug, Clone, Default)]
pub struct CacheLocations {
    steps: VecDeque<Step>,
}

impl CacheLocations {
    /// Records that an engine read a prompt prefix.
    pub fn add(&mut self, part: u64, upstream: Arc<str>, now_ms: u64) {
        self.forget(now_ms);
        if self.steps.back().is_none_or(|step| step.since_ms + GROUP_MS <= now_ms) {
            self.steps.push_back(Step { since_ms: now_ms, parts: Arc::default() });
        }
        let Some(step) = self.steps.back_mut() else { return };
        let engines = Arc::make_mut(&mut step.parts).entry(part).or_default();
        engines.retain(|known| *known != upstream);
        engines.push(upstream);
    }

    /// Removes the entries that are too old.
    pub fn forget(&mut self, now_ms: u64) {
        while self.steps.front().is_some_and(|step| step.since_ms + ENTRY_TTL_MS <= now_ms) {
            self.steps.pop_front();
        }
    }

    /// The engines that read a prompt prefix, the most recent one last.
    pub fn of(&self, part: u64) -> impl Iterator<Item = &Arc<str>> {
        self.steps.iter().filter_map(move |step| step.parts.get(&part)).flatten()
    }
}
