//! The software versions that a service had in the last minute, so that it is known which of them
//! may have begun a stream.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::super::super::fleet::{SoftwareVersion, Upstream};

/// How long a version counts after its last upstream has gone: longer than a caller takes up a
/// stream of it.
pub const VERSION_TTL_MS: u64 = 60_000;

/// The versions of a service, as the directory keeps them for instances that start after all others
/// were lost.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionNote {
    pub service: Arc<str>,
    pub versions: BTreeSet<SoftwareVersion>,
}

type Versions = BTreeMap<Arc<str>, BTreeSet<SoftwareVersion>>;

/// The versions of all services in the last minute.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// The versions of the upstreams that are listed.
    listed: Versions,
    /// Versions that were listed before, and until when they count.
    past: BTreeMap<(Arc<str>, SoftwareVersion), u64>,
    /// The number of the list's last change that was taken in.
    list_changes: Option<u64>,
}

impl VersionHistory {
    /// Takes in the list of upstreams, if it changed since the last time. Returns whether a service
    /// has other versions than before.
    pub fn note_list<'a>(
        &mut self,
        upstreams: impl Iterator<Item = &'a Upstream>,
        list_changes: u64,
        now_ms: u64,
    ) -> bool {
        if self.list_changes.replace(list_changes) == Some(list_changes) {
            return false;
        }
        let mut listed = Versions::new();
        for upstream in upstreams {
            let versions = listed.entry(Arc::clone(&upstream.service)).or_default();
            if !versions.contains(&upstream.version) {
                versions.insert(upstream.version.clone());
            }
        }
        let before = std::mem::replace(&mut self.listed, listed);
        if before == self.listed {
            return false;
        }
        let until_ms = now_ms + VERSION_TTL_MS;
        for (service, versions) in before {
            for version in versions {
                self.past.insert((Arc::clone(&service), version), until_ms);
            }
        }
        true
    }

    /// Takes in the directory's note: versions that are new here may have been there until just now. Of
    /// the others this instance knows better until when they were; the note may be its own.
    pub fn note_stored(&mut self, note: VersionNote, now_ms: u64) {
        let known = self.versions_of(&note.service, now_ms);
        for version in note.versions.difference(&known) {
            let key = (Arc::clone(&note.service), version.clone());
            self.past.insert(key, now_ms + VERSION_TTL_MS);
        }
    }

    /// Drops versions that no longer count.
    pub fn expire(&mut self, now_ms: u64) {
        self.past.retain(|_, until_ms| *until_ms > now_ms);
    }

    /// The versions that a service had in the last minute.
    pub fn versions_of(&self, service: &str, now_ms: u64) -> BTreeSet<SoftwareVersion> {
        let past =
            self.past.iter().filter(|((of, _), until_ms)| **of == *service && **until_ms > now_ms);
        let past = past.map(|((_, version), _)| version.clone());
        self.listed.get(service).into_iter().flatten().cloned().chain(past).collect()
    }

    /// The notes of services that had more than one version.
    pub fn notes(&self, now_ms: u64) -> Vec<VersionNote> {
        let mut notes = self.all_notes(now_ms);
        notes.retain(|note| note.versions.len() > 1);
        notes
    }

    /// The notes of all services.
    pub fn all_notes(&self, now_ms: u64) -> Vec<VersionNote> {
        let services: BTreeSet<&Arc<str>> =
            self.listed.keys().chain(self.past.keys().map(|(service, _)| service)).collect();
        let note = |service: &Arc<str>| VersionNote {
            service: Arc::clone(service),
            versions: self.versions_of(service, now_ms),
        };
        services.into_iter().map(note).filter(|note| !note.versions.is_empty()).collect()
    }
}
