//! Engines that were rediscovered at their addresses while the directory was unreachable.
//!
//! An engine that crashes returns as a new incarnation, which only the directory lists. If the
//! directory is unreachable for seconds, engines that crash and return would be missing in one
//! failure domain after another, until none is left.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::fleet::Upstream;

/// How long rediscovered engines are kept after the directory answers again. Upstreams whose
/// entries lapsed meanwhile are listed again within two seconds; any that is still missing then
/// counts as gone.
const KEPT_MS: u64 = 1_900;

/// Rediscovered upstreams that the directory does not list yet.
#[derive(Debug, Default)]
pub struct Found {
    known: BTreeMap<Arc<str>, Upstream>,
    until_ms: Option<u64>,
    /// Incremented at each change of `known`.
    changes: u64,
}

impl Found {
    /// Adds an upstream. Returns whether its id is new.
    pub fn add(&mut self, upstream: Upstream) -> bool {
        self.changes += 1;
        self.known.retain(|_, known| known.addr != upstream.addr || known.id == upstream.id);
        self.known.insert(Arc::clone(&upstream.id), upstream).is_none()
    }

    /// Removes an upstream that the directory reports as gone.
    pub fn remove(&mut self, id: &str) {
        if self.known.remove(id).is_some() {
            self.changes += 1;
        }
    }

    /// Change counter: as long as it stays the same, so do the rediscovered upstreams.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Updates whether any instance reaches the directory. Returns whether the rediscovered
    /// upstreams have just expired.
    pub fn note_directory(&mut self, is_heard: bool, now_ms: u64) -> bool {
        if !is_heard || self.known.is_empty() {
            self.until_ms = None;
            return false;
        }
        let until_ms = *self.until_ms.get_or_insert(now_ms + KEPT_MS);
        if now_ms < until_ms {
            return false;
        }
        *self = Found { changes: self.changes + 1, ..Found::default() };
        true
    }

    /// Number of rediscovered upstreams.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether there are no rediscovered upstreams.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Merges the rediscovered upstreams into the directory's list. A rediscovered upstream
    /// replaces the listed one at its address, but the directory's own entry for an id takes
    /// precedence. Without rediscovered upstreams, which is the usual case, the list is not copied.
    pub fn merge<'a>(
        &self,
        listed: &'a BTreeMap<Arc<str>, Upstream>,
    ) -> Cow<'a, BTreeMap<Arc<str>, Upstream>> {
        if self.known.is_empty() {
            return Cow::Borrowed(listed);
        }
        // An entry that was listed at this address since then belongs to a later incarnation.
        let is_passed = |found: &Upstream| {
            let mut there = listed.values().filter(|known| known.addr == found.addr);
            there.any(|known| known.listed_at > found.listed_at)
        };
        let is_new = |found: &&Upstream| !listed.contains_key(&found.id) && !is_passed(found);
        let found: Vec<&Upstream> = self.known.values().filter(is_new).collect();
        let is_replaced = |known: &Upstream| found.iter().any(|found| found.addr == known.addr);
        let kept = listed.iter().filter(|(_, known)| !is_replaced(known));
        let kept = kept.map(|(id, known)| (Arc::clone(id), known.clone()));
        let found = found.iter().map(|found| (Arc::clone(&found.id), (*found).clone()));
        Cow::Owned(kept.chain(found).collect())
    }
}
