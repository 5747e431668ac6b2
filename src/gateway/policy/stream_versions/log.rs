//! Which streams the directory keeps the versions of, so that they outlast the loss of all instances.
//!
//! Records are written together, a few times a second, by one instance for all others. They go to
//! segments, each a value of the directory under a lease, which ends some time after its last record.

use std::collections::BTreeMap;

use super::super::super::fleet::SoftwareVersion;
use super::records::{StreamKey, StreamRecord, StreamRecords};

/// How often new records are written: streams that began since the last write are lost with all
/// instances, and most streams last for seconds.
pub const WRITE_INTERVAL_MS: u64 = 500;
/// How long the lease of a segment lasts.
pub const SEGMENT_TTL_MS: u64 = 40_000;
/// How long records are written under one lease: each is kept for the rest of it at least, longer
/// than a caller waits.
const LEASE_USE_MS: u64 = 10_000;
/// Maximum number of records in a segment, some 4 KB, as it is written anew with each record.
const MAX_SEGMENT_RECORDS: usize = 256;
/// Maximum number of records in one write.
const MAX_WRITE_RECORDS: usize = 4_096;
/// Number of instances that write, the first in rank: the second one if the first doesn't.
pub const WRITERS: usize = 2;
/// How long the second one waits for the first.
const TAKEOVER_DELAY_MS: u64 = 2_000;
/// When a stream that still runs is written again.
const REWRITE_AFTER_MS: u64 = 20_000;
/// How recently its owner told of such a stream.
const LIVE_MS: u64 = 5_000;

/// A segment as it is to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// Its number at its writer.
    pub number: u64,
    /// All its records.
    pub records: Vec<StreamRecord>,
    /// The lease to write it under, unless it needs a new one.
    pub lease: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    id: u64,
    since_ms: u64,
}

/// What one writer has written.
#[derive(Debug, Default)]
pub struct StreamLog {
    number: u64,
    records: Vec<StreamRecord>,
    lease: Option<Lease>,
    /// When each record was written, here or by another writer.
    written: BTreeMap<StreamKey, u64>,
}

impl StreamLog {
    /// The segment to write now, if records are due. `ahead`: the number of writers before this one.
    pub fn next(&mut self, known: &StreamRecords, ahead: usize, now_ms: u64) -> Option<Segment> {
        self.written.retain(|_, written_ms| *written_ms + SEGMENT_TTL_MS > now_ms);
        let delay_ms = ahead as u64 * TAKEOVER_DELAY_MS;
        let told = known.told().filter(|told| told.record.version != SoftwareVersion::Unknown);
        let is_due = |told: &super::records::Told| match self.written.get(&told.record.stream) {
            None => told.since_ms + delay_ms <= now_ms,
            Some(written_ms) => {
                *written_ms + REWRITE_AFTER_MS + delay_ms <= now_ms
                    && told.last_ms + LIVE_MS > now_ms
            }
        };
        let due = told.filter(is_due).map(|told| told.record);
        let due: Vec<StreamRecord> = due.take(MAX_WRITE_RECORDS).collect();
        if due.is_empty() {
            return None;
        }
        let lease = self.lease.filter(|lease| lease.since_ms + LEASE_USE_MS > now_ms);
        if lease.is_none() || self.records.len() >= MAX_SEGMENT_RECORDS {
            self.number += 1;
            self.records.clear();
        }
        let records = self.records.iter().cloned().chain(due).collect();
        Some(Segment { number: self.number, records, lease: lease.map(|lease| lease.id) })
    }

    /// Notes that a segment was written under a lease.
    pub fn note_written(&mut self, segment: Segment, lease: u64, now_ms: u64) {
        if segment.lease.is_none() {
            self.lease = Some(Lease { id: lease, since_ms: now_ms });
        }
        let kept = self.records.len();
        self.note_stored(&segment.records[kept..], now_ms);
        self.records = segment.records;
    }

    /// Notes that a write failed, and may have been done. It is tried again under another lease.
    pub fn note_failed(&mut self) {
        self.lease = None;
    }

    /// Forgets what was written: the directory may have lost it.
    pub fn forget_written(&mut self) {
        self.lease = None;
        self.written.clear();
    }

    /// Notes records that another writer has written.
    pub fn note_stored(&mut self, records: &[StreamRecord], now_ms: u64) {
        self.written.extend(records.iter().map(|record| (record.stream, now_ms)));
    }
}
