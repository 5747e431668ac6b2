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
struct Group {
    since_ms: u64,
    by_prefix: Arc<BTreeMap<u64, Vec<Arc<str>>>>,
}

/// Engines that read prompt prefixes. Clones share the entries.
#[derive(Debug, Clone, Default)]
pub struct CacheLocations {
    groups: VecDeque<Group>,
}

impl CacheLocations {
    /// Records that an engine read a prompt prefix.
    pub fn add(&mut self, prefix: u64, upstream: Arc<str>, now_ms: u64) {
        self.remove_expired(now_ms);
        if self.groups.back().is_none_or(|group| group.since_ms + GROUP_MS <= now_ms) {
            self.groups.push_back(Group { since_ms: now_ms, by_prefix: Arc::default() });
        }
        let Some(group) = self.groups.back_mut() else { return };
        let engines = Arc::make_mut(&mut group.by_prefix).entry(prefix).or_default();
        engines.retain(|known| *known != upstream);
        engines.push(upstream);
    }

    /// Removes the entries that are too old.
    pub fn remove_expired(&mut self, now_ms: u64) {
        while self.groups.front().is_some_and(|group| group.since_ms + ENTRY_TTL_MS <= now_ms) {
            self.groups.pop_front();
        }
    }

    /// The engines that read a prompt prefix, the most recent one last.
    pub fn engines_of(&self, prefix: u64) -> impl Iterator<Item = &Arc<str>> {
        self.groups.iter().filter_map(move |group| group.by_prefix.get(&prefix)).flatten()
    }
}
