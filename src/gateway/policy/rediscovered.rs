//! Engines that were rediscovered at their addresses while the directory was unreachable.
//!
//! An engine that crashes returns as a new incarnation, which only the directory lists. If the
//! directory is unreachable for seconds, engines that crash and return would be missing in one
//! failure domain after another, until none is left.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::fleet::{SoftwareVersion, Upstream};

/// How long rediscovered engines are kept after the directory answers again. Upstreams whose
/// entries lapsed during the outage are listed again within two seconds; any that is still missing
/// then counts as gone.
const RETENTION_MS: u64 = 1_900;

/// Rediscovered upstreams that the directory does not list yet.
#[derive(Debug, Default)]
pub struct Rediscovered {
    upstreams: BTreeMap<Arc<str>, Upstream>,
    until_ms: Option<u64>,
    /// Incremented at each change of `upstreams`.
    changes: u64,
}

impl Rediscovered {
    /// Adds an upstream. Returns whether its id is new. Its software version is not known: the process
    /// there started after the directory's last word, and doesn't state which software it runs.
    pub fn add(&mut self, upstream: Upstream) -> bool {
        let upstream = Upstream { version: SoftwareVersion::Unknown, ..upstream };
        self.changes += 1;
        self.upstreams.retain(|_, known| known.addr != upstream.addr || known.id == upstream.id);
        self.upstreams.insert(Arc::clone(&upstream.id), upstream).is_none()
    }

    /// Removes an upstream that the directory reports as gone.
    pub fn remove(&mut self, id: &str) {
        if self.upstreams.remove(id).is_some() {
            self.changes += 1;
        }
    }

    /// Change counter: as long as it stays the same, so do the rediscovered upstreams.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Updates whether any instance reaches the directory. Returns whether the rediscovered
    /// upstreams have just expired.
    pub fn update_directory_state(&mut self, is_reachable: bool, now_ms: u64) -> bool {
        if !is_reachable || self.upstreams.is_empty() {
            self.until_ms = None;
            return false;
        }
        let until_ms = *self.until_ms.get_or_insert(now_ms + RETENTION_MS);
        if now_ms < until_ms {
            return false;
        }
        *self = Rediscovered { changes: self.changes + 1, ..Rediscovered::default() };
        true
    }

    /// Whether one of them belongs to a service.
    pub fn serves(&self, service: &str) -> bool {
        self.upstreams.values().any(|upstream| *upstream.service == *service)
    }

    /// Number of rediscovered upstreams.
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Whether there are no rediscovered upstreams.
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Merges the rediscovered upstreams into the directory's list. A rediscovered upstream
    /// replaces the listed one at its address, but the directory's own entry for an id takes
    /// precedence. Without rediscovered upstreams, which is the usual case, the list is not copied.
    pub fn merge<'a>(
        &self,
        listed: &'a BTreeMap<Arc<str>, Upstream>,
    ) -> Cow<'a, BTreeMap<Arc<str>, Upstream>> {
        if self.upstreams.is_empty() {
            return Cow::Borrowed(listed);
        }
        // An entry that was listed at this address since then belongs to a later incarnation.
        let is_outdated = |rediscovered: &Upstream| {
            let mut there = listed.values().filter(|known| known.addr == rediscovered.addr);
            there.any(|known| known.listed_at > rediscovered.listed_at)
        };
        let is_new = |rediscovered: &&Upstream| {
            !listed.contains_key(&rediscovered.id) && !is_outdated(rediscovered)
        };
        let rediscovered: Vec<&Upstream> = self.upstreams.values().filter(is_new).collect();
        let is_replaced = |known: &Upstream| {
            rediscovered.iter().any(|rediscovered| rediscovered.addr == known.addr)
        };
        let kept = listed.iter().filter(|(_, known)| !is_replaced(known));
        let kept = kept.map(|(id, known)| (Arc::clone(id), known.clone()));
        let rediscovered = rediscovered
            .iter()
            .map(|rediscovered| (Arc::clone(&rediscovered.id), (*rediscovered).clone()));
        Cow::Owned(kept.chain(rediscovered).collect())
    }
}
