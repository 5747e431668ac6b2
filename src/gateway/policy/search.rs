//! Lost engines to search for at their addresses while the directory is unreachable.
//!
//! An outage of the directory is noticed only seconds after it began, and engines that crashed just
//! before it have no entry for their next incarnation. Losses are therefore remembered also while
//! the directory answers, for as long as it still lists the engine.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of searches for one engine, after which it counts as gone for good.
const MAX_SEARCHES: u32 = 12;

/// Lost engines, with the number of searches for each.
#[derive(Debug, Default)]
pub struct SearchList {
    searches: BTreeMap<Arc<str>, u32>,
}

impl SearchList {
    /// Adds lost engines, and drops those that the directory no longer lists.
    pub fn update(
        &mut self,
        lost: impl IntoIterator<Item = Arc<str>>,
        is_listed: impl Fn(&str) -> bool,
    ) {
        for id in lost {
            self.searches.entry(id).or_insert(0);
        }
        self.searches.retain(|id, searches| *searches < MAX_SEARCHES && is_listed(id));
    }

    /// Returns the engines to search for now, and counts a search for each.
    pub fn next_round(&mut self) -> Vec<Arc<str>> {
        self.searches.values_mut().for_each(|searches| *searches += 1);
        self.searches.keys().cloned().collect()
    }
}
