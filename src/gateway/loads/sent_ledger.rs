//! What the instances of a failure domain sent lately, one entry for each incarnation.
//!
//! The retry budget is shared by all instances, so each has to know what all sent within the window, also
//! those that have ended, and also if it has just started itself. Sums can't be passed on, because they
//! would be counted twice. Entries can: of two entries of an incarnation the later one counts. Instances
//! that start or end in series therefore take nothing with them.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::local_traffic::SentRequests;

/// What one incarnation of an instance sent within the window, as it reported it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentEntry {
    /// Id of the instance.
    pub id: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Sequence number of the report at the instance.
    pub sequence: u64,
    /// Time since the instance reported it.
    pub age_ms: u64,
    /// The requests that it sent within the window before, by service.
    pub sent: Vec<SentRequests>,
}

/// All entries that an instance knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerReport {
    /// The entries.
    pub entries: Vec<SentEntry>,
    /// Whether they cover everything that the failure domain sent within the window, as far as it is known
    /// anywhere.
    pub is_complete: bool,
}

/// The entries of all incarnations that sent something within the window.
#[derive(Debug)]
pub struct SentLedger {
    window_ms: u64,
    by_incarnation: BTreeMap<(Arc<str>, u64), Reported>,
    has_complete_report: bool,
}

#[derive(Debug)]
struct Reported {
    sequence: u64,
    sent: Vec<SentRequests>,
    at_ms: u64,
}

impl SentLedger {
    /// Creates the ledger of an instance that knows nothing yet.
    pub fn new(window_ms: u64) -> SentLedger {
        SentLedger { window_ms, by_incarnation: BTreeMap::new(), has_complete_report: false }
    }

    /// Merges what another instance knows.
    pub fn merge(&mut self, report: LedgerReport, now_ms: u64) {
        self.has_complete_report |= report.is_complete;
        report.entries.into_iter().for_each(|entry| self.add(entry, now_ms));
    }

    /// Adds an entry, unless a later one of the same incarnation is known.
    pub fn add(&mut self, entry: SentEntry, now_ms: u64) {
        let SentEntry { id, incarnation, sequence, age_ms, sent } = entry;
        if age_ms >= self.window_ms {
            return;
        }
        let key = (id, incarnation);
        let known = self.by_incarnation.get(&key);
        if known.is_none_or(|known| known.sequence < sequence) {
            let at_ms = now_ms.saturating_sub(age_ms);
            self.by_incarnation.insert(key, Reported { sequence, sent, at_ms });
        }
    }

    /// Drops the entries that are outside the window.
    pub fn remove_expired(&mut self, now_ms: u64) {
        let window_ms = self.window_ms;
        self.by_incarnation.retain(|_, reported| reported.at_ms + window_ms > now_ms);
    }

    /// Whether the ledger covers the whole window: since this instance started, or since it received the
    /// ledger of one that did.
    pub fn is_complete(&self, now_ms: u64) -> bool {
        self.has_complete_report || now_ms >= self.window_ms
    }

    /// Everything known, for another instance.
    pub fn report(&self, now_ms: u64) -> LedgerReport {
        let entries = self.recent(now_ms).map(|((id, incarnation), reported)| SentEntry {
            id: Arc::clone(id),
            incarnation: *incarnation,
            sequence: reported.sequence,
            age_ms: now_ms - reported.at_ms,
            sent: reported.sent.clone(),
        });
        LedgerReport { entries: entries.collect(), is_complete: self.is_complete(now_ms) }
    }

    /// The sums over all entries, by service. An instance that runs goes on to receive requests, so that
    /// its last count holds; that of one that has ended leaves the window.
    pub fn totals(
        &self,
        now_ms: u64,
        is_running: impl Fn(&str, u64) -> bool,
    ) -> BTreeMap<Arc<str>, SentRequests> {
        let mut totals = BTreeMap::new();
        for ((id, incarnation), reported) in self.recent(now_ms) {
            let age_ms = if is_running(id, *incarnation) { 0 } else { now_ms - reported.at_ms };
            for sent in &reported.sent {
                add_sent(&mut totals, &aged(sent, age_ms, self.window_ms));
            }
        }
        totals
    }

    fn recent(&self, now_ms: u64) -> impl Iterator<Item = (&(Arc<str>, u64), &Reported)> {
        let is_recent = move |reported: &Reported| {
            reported.at_ms <= now_ms && reported.at_ms + self.window_ms > now_ms
        };
        self.by_incarnation.iter().filter(move |(_, reported)| is_recent(reported))
    }
}

/// What is left within the window of a count that was reported some time ago. Requests arrive evenly, so
/// they leave the window evenly. Repeats come in bursts and count in full until the last one has left.
pub fn aged(sent: &SentRequests, age_ms: u64, window_ms: u64) -> SentRequests {
    let left_ms = window_ms.saturating_sub(age_ms);
    SentRequests {
        service: Arc::clone(&sent.service),
        requests: sent.requests.saturating_mul(left_ms) / window_ms.max(1),
        repeats: if left_ms > 0 { sent.repeats } else { 0 },
    }
}

/// Adds to the sum of a service.
pub fn add_sent(totals: &mut BTreeMap<Arc<str>, SentRequests>, sent: &SentRequests) {
    let service = Arc::clone(&sent.service);
    let empty = || SentRequests { service, requests: 0, repeats: 0 };
    let total = totals.entry(Arc::clone(&sent.service)).or_insert_with(empty);
    total.requests = total.requests.saturating_add(sent.requests);
    total.repeats = total.repeats.saturating_add(sent.repeats);
}
