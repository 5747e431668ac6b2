//! Which lost engines are looked for at their addresses while the directory is silent: pure steps.
//!
//! A silence is noticed only seconds after it began, and engines that crashed just before it are
//! listed by nobody. So losses are remembered while the directory is heard as well, as long as it
//! still lists the engine.

use std::collections::BTreeMap;
use std::sync::Arc;

/// How often one engine is looked for; what is not back within so long is gone for good.
const MOST_LOOKS: u32 = 12;

/// Lost engines, with how often each was looked for.
#[derive(Debug, Default)]
pub struct Sought {
    looks: BTreeMap<Arc<str>, u32>,
}

impl Sought {
    /// Notes engines that were lost, and forgets those that the directory lists no more.
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

    /// The engines to look for now; this counts as a look for each.
    pub fn due(&mut self) -> Vec<Arc<str>> {
        self.looks.values_mut().for_each(|looks| *looks += 1);
        self.looks.keys().cloned().collect()
    }
}
