//! Lost engines to search for at their addresses while the directory is unreachable.
//!
//! An outage of the directory is noticed only seconds after it began, and engines that crashed just
//! before it have no entry for their next incarnation. Losses are therefore remembered also while
//! the directory answers, for as long as it still lists the engine.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of searches for one engine; one that is not back by then is gone for good.
const MOST_LOOKS: u32 = 12;

/// Lost engines, with the number of searches for each.
#[derive(Debug, Default)]
pub struct Sought {
    looks: BTreeMap<Arc<str>, u32>,
}

impl Sought {
    /// Adds lost engines, and drops those that the directory no longer lists.
    pub fn note(
        &mut self,
        lost: impl IntoIterator<Item = Arc<str>>,
        is_listed: impl Fn(&str) -> bool,
    ) {
        for id in lost {
            self.looks.entry(id).or_insert(0);
        }
        self.looks.retain(|id, looks| *looks < MOST_LOOKS && is_listed(id));
    }

    /// Returns the engines to search for now, and counts a search for each.
    pub fn due(&mut self) -> Vec<Arc<str>> {
        self.looks.values_mut().for_each(|looks| *looks += 1);
        self.looks.keys().cloned().collect()
    }
}
