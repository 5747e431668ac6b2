//! The streams whose versions an instance knows, and which instances hold a stream's record.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::super::super::fleet::SoftwareVersion;

/// Number of instances that hold a stream's record beside its owner.
pub const REPLICAS: usize = 8;
/// How long a record is kept after its owner last sent it: longer than callers wait.
pub const RECORD_TTL_MS: u64 = 60_000;
/// Maximum number of records at an instance; beyond it, the oldest are dropped.
const MAX_RECORDS: usize = 32_768;

/// Identifies a stream over its caller's tries.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, derive_more::Display,
)]
#[display("{_0:016x}")]
pub struct StreamKey(u64);

impl StreamKey {
    /// The key of the stream whose first event came in answer to an attempt. The organisation is part
    /// of it, so that nobody finds the stream of another one.
    pub fn of(attempt: &str, organisation: Option<&str>, service: &str) -> StreamKey {
        let parts = [attempt, organisation.unwrap_or_default(), service];
        StreamKey(xxh3_64(parts.join("\n").as_bytes()))
    }
}

/// The version that began a stream, as instances tell it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    pub stream: StreamKey,
    pub version: SoftwareVersion,
}

/// What is known of one stream.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Known {
    version: SoftwareVersion,
    /// Whether two versions were told, so that either may have made its first event.
    is_disputed: bool,
    until_ms: u64,
    /// Number of runs of this instance that serve it.
    own_runs: u32,
    /// When an instance that serves it told of it first and last; `None` if only the directory did.
    told: Option<(u64, u64)>,
}

/// A stream that an instance told of which serves it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    pub record: StreamRecord,
    /// When it was told first.
    pub since_ms: u64,
    /// When it was told last.
    pub last_ms: u64,
}

/// The streams whose versions this instance knows.
#[derive(Debug, Default)]
pub struct StreamRecords {
    known: BTreeMap<StreamKey, Known>,
    /// The streams by the time at which they are forgotten.
    by_age: BTreeSet<(u64, StreamKey)>,
}

impl StreamRecords {
    /// Takes in the record of a stream that a run of this instance serves.
    pub fn own(&mut self, record: &StreamRecord, now_ms: u64) {
        self.note(record, now_ms);
        if let Some(known) = self.known.get_mut(&record.stream) {
            known.own_runs += 1;
        }
    }

    /// Notes that a run of this instance no longer serves a stream; its caller may take it up.
    pub fn disown(&mut self, stream: StreamKey) {
        if let Some(known) = self.known.get_mut(&stream) {
            known.own_runs = known.own_runs.saturating_sub(1);
        }
    }

    /// Takes in a record that an instance tells which serves the stream.
    pub fn note(&mut self, record: &StreamRecord, now_ms: u64) {
        self.note_stored(record, now_ms);
        if let Some(known) = self.known.get_mut(&record.stream) {
            let since_ms = known.told.map_or(now_ms, |(since_ms, _)| since_ms);
            known.told = Some((since_ms, now_ms));
        }
    }

    /// Takes in a record of the directory. The first word on a stream holds, unless that did not name a
    /// version; a second name means that two streams have the key, and that neither is certain.
    pub fn note_stored(&mut self, record: &StreamRecord, now_ms: u64) {
        let StreamRecord { stream, version } = record;
        let until_ms = now_ms + RECORD_TTL_MS;
        let new = || Known {
            version: version.clone(),
            is_disputed: false,
            until_ms,
            own_runs: 0,
            told: None,
        };
        let known = self.known.entry(*stream).or_insert_with(new);
        match (&known.version, version) {
            (SoftwareVersion::Named(first), SoftwareVersion::Named(second)) => {
                known.is_disputed |= first != second;
            }
            (SoftwareVersion::Named(_), _) => {}
            _ => known.version = version.clone(),
        }
        self.by_age.remove(&(known.until_ms, *stream));
        known.until_ms = until_ms;
        self.by_age.insert((until_ms, *stream));
        if self.known.len() > MAX_RECORDS {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        if let Some((_, stream)) = self.by_age.pop_first() {
            self.known.remove(&stream);
        }
    }

    /// The version that began a stream, if it is known.
    pub fn version_of(&self, stream: StreamKey, now_ms: u64) -> Option<&SoftwareVersion> {
        let known = self.known.get(&stream).filter(|known| known.until_ms > now_ms)?;
        Some(&known.version).filter(|_| !known.is_disputed)
    }

    /// The streams that instances told of which serve them.
    pub fn told(&self) -> impl Iterator<Item = Told> {
        let certain = self.known.iter().filter(|(_, known)| !known.is_disputed);
        certain.filter_map(|(stream, known)| {
            let (since_ms, last_ms) = known.told?;
            let record = StreamRecord { stream: *stream, version: known.version.clone() };
            Some(Told { record, since_ms, last_ms })
        })
    }

    /// The records of all streams that runs of this instance serve, which it tells again. Their time
    /// begins anew.
    pub fn repeat_own(&mut self, now_ms: u64) -> Vec<StreamRecord> {
        let own = self.known.iter().filter(|(_, known)| known.own_runs > 0);
        let record = |(stream, known): (&StreamKey, &Known)| StreamRecord {
            stream: *stream,
            version: known.version.clone(),
        };
        let own: Vec<StreamRecord> = own.map(record).collect();
        own.iter().for_each(|record| self.note(record, now_ms));
        own
    }

    /// Drops the records whose time is over.
    pub fn expire(&mut self, now_ms: u64) {
        while self.by_age.first().is_some_and(|(until_ms, _)| *until_ms <= now_ms) {
            self.forget_oldest();
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

/// The instances that hold a stream's record, most preferred first (rendezvous hashing): when
/// instances come and go, only their own records move.
pub fn ranked<'a, T>(
    stream: StreamKey,
    instances: impl Iterator<Item = (&'a Arc<str>, T)>,
    count: usize,
) -> Vec<T> {
    let weight = |id: &str| xxh3_64(format!("{stream}\n{id}").as_bytes());
    let mut ranked: Vec<(u64, T)> =
        instances.map(|(id, instance)| (weight(id), instance)).collect();
    ranked.sort_unstable_by_key(|(weight, _)| std::cmp::Reverse(*weight));
    ranked.into_iter().take(count).map(|(_, instance)| instance).collect()
}
