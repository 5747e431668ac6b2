//! Engines that were found again at their addresses while the directory was silent: pure steps.
//!
//! An engine that crashes comes back as a new incarnation, which only the directory lists. While it
//! is silent for seconds, engines that crash and come back would be missing one failure domain after
//! the other, until none is left.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::fleet::Upstream;

/// How long what was found is kept after the directory's return: upstreams that lapsed meanwhile
/// are listed again within two seconds, and whoever is missing then counts as gone.
const KEPT_MS: u64 = 1_900;

/// Upstreams that the directory does not list yet.
#[derive(Debug, Default)]
pub struct Found {
    known: BTreeMap<Arc<str>, Upstream>,
    until_ms: Option<u64>,
    /// Grows with each change of `known`.
    changes: u64,
}

impl Found {
    /// Adds an upstream; tells whether it is new.
    pub fn add(&mut self, upstream: Upstream) -> bool {
        self.changes += 1;
        self.known.retain(|_, known| known.addr != upstream.addr || known.id == upstream.id);
        self.known.insert(Arc::clone(&upstream.id), upstream).is_none()
    }

    /// Drops one that the directory says is gone.
    pub fn remove(&mut self, id: &str) {
        if self.known.remove(id).is_some() {
            self.changes += 1;
        }
    }

    /// A number that differs from an earlier one if what is known does.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Notes whether any instance hears from the directory. Tells whether what was found has just
    /// ceased to count.
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

    /// How many were found.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none was found.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The list with what was found: instead of whoever had the address before, and after what the
    /// directory itself says. It is not copied while nothing is found, which is nearly always.
    pub fn merge<'a>(
        &self,
        listed: &'a BTreeMap<Arc<str>, Upstream>,
    ) -> Cow<'a, BTreeMap<Arc<str>, Upstream>> {
        if self.known.is_empty() {
            return Cow::Borrowed(listed);
        }
        // Whoever was listed at the address since then came later.
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
