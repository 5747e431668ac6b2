//! What is known of one fingerprint: the crashes under it, and whether it is quarantined.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::super::super::crash::Stage;
use super::super::super::fingerprint::Fingerprint;
use super::super::poison_parts::Evidence;
use super::{QUARANTINE_MS, QUARANTINE_POINTS, points};

/// Maximum number of requests that are recorded for a part: a few tell that it isn't one of them.
pub(super) const MAX_RECORDED_REQUESTS: usize = 8;
/// A received quarantine end replaces the known one only if it is later by more than this; smaller
/// differences are message delay.
const MAX_MESSAGE_DELAY_MS: u64 = 2_000;

/// Crash record of a fingerprint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Record {
    /// Incremented each time the request is cleared; reports from a lower epoch are obsolete.
    pub(super) epoch: u64,
    /// Stage of each crash, by upstream.
    pub(super) crashes: BTreeMap<Arc<str>, Stage>,
    /// The part of prompts that is suspected, if it isn't a request.
    pub(super) part: Option<Arc<str>>,
    /// The requests under which upstreams ended, up to a number.
    pub(super) requests: BTreeSet<Fingerprint>,
    /// Highest of the last events that were delivered to the caller before each crash.
    pub(super) event: u64,
    pub(super) until_ms: Option<u64>,
    pub(super) changed_ms: u64,
}

impl Record {
    pub(super) fn points(&self) -> u32 {
        self.crashes.values().map(|stage| points(*stage)).sum()
    }

    /// Notes a request under which an upstream ended.
    pub(super) fn note_request(&mut self, request: Fingerprint) {
        if self.requests.len() < MAX_RECORDED_REQUESTS {
            self.requests.insert(request);
        }
    }

    /// Whether the crashes that `counts` are enough for a quarantine.
    pub(super) fn is_due(&self, counts: impl Fn(&str) -> bool) -> bool {
        let counted = || self.crashes.iter().filter(|(id, _)| counts(id));
        let points = counted().map(|(_, stage)| points(*stage)).sum();
        if self.part.is_none() {
            return points >= QUARANTINE_POINTS;
        }
        let evidence =
            Evidence { points, crashes: counted().count(), requests: self.requests.len() };
        evidence.is_enough()
    }

    pub(super) fn is_expired(&self, now_ms: u64) -> bool {
        self.until_ms.unwrap_or(self.changed_ms + QUARANTINE_MS) <= now_ms
    }
}

/// Merges the records of two instances. The later epoch wins; within one epoch, the result has the
/// crashes of both and the later quarantine end.
pub(super) fn merge(known: &Record, incoming: Record) -> Record {
    if incoming.epoch != known.epoch {
        return if incoming.epoch > known.epoch { incoming } else { known.clone() };
    }
    let mut merged = known.clone();
    for (id, stage) in incoming.crashes {
        let known = merged.crashes.entry(id).or_insert(stage);
        *known = stage.max(*known);
    }
    merged.part = merged.part.or(incoming.part);
    incoming.requests.into_iter().for_each(|request| merged.note_request(request));
    merged.event = merged.event.max(incoming.event);
    if merged.crashes != known.crashes {
        merged.changed_ms = merged.changed_ms.max(incoming.changed_ms);
    }
    merged.until_ms = match (known.until_ms, incoming.until_ms) {
        // Each message arrives a little late, which must not prolong the quarantine with every hop.
        (Some(known_ms), Some(incoming_ms)) if incoming_ms <= known_ms + MAX_MESSAGE_DELAY_MS => {
            Some(known_ms)
        }
        (known_ms, incoming_ms) => known_ms.max(incoming_ms),
    };
    merged
}
