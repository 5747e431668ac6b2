//! Quarantine of poison requests: recognises requests that crash the upstreams running them, and
//! keeps those requests from all upstreams. Pure bookkeeping without I/O.
//!
//! When an upstream crashes, each request on it may be the cause or may only have shared the
//! upstream. A poison request differs in that it crashes the next upstream as well, shortly after
//! it starts there. Crashes are therefore summed per request fingerprint over all instances. A
//! crash counts also against the parts of its prompt that a request shares with others, under
//! records of their own (see [`super::poison_parts`]). An early crash, under a run that had just
//! started, counts more, and a crash doesn't count when other upstreams ended at about the same time
//! from a common cause. A request that is served anywhere is cleared of all its crashes. See
//! [docs/DESIGN.md](../../../docs/DESIGN.md), "Poison requests".

mod record;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::super::crash::{Crash, CrashRecord, EarlyCrash, Stage};
use super::super::fingerprint::Fingerprint;
use super::super::fleet::Upstream;
use super::coincidence::{JUDGEMENT_DELAY_MS, RecentEnds};
use super::poison_parts::{self, Group};

/// Crashes of just-started runs after which a request is quarantined. With two, an innocent request
/// that lost one upstream to a poison request, and was retried on the same next upstream, would be
/// quarantined as well.
const MAX_CRASHES: u32 = 3;
/// Points for an early crash.
const BEGUN_POINTS: u32 = 2;
/// Points for a crash while the request was queued or its prompt was being processed. Most such
/// requests only shared the upstream; one that crashes upstreams during prompt processing does so
/// repeatedly.
const WAITING_POINTS: u32 = 1;
/// Points at which a request is quarantined.
const QUARANTINE_POINTS: u32 = MAX_CRASHES * BEGUN_POINTS;
/// Number of events up to which a lost run counts as just started.
const MAX_BEGUN_EVENTS: u64 = 3;
/// Time after the response head within which a lost run counts as just started, whatever its number
/// of events: a fast engine produces several before it crashes.
const MAX_BEGUN_MS: u64 = 250;
/// Number of events past the last crash that clear a run: it got past the point at which it was
/// suspected of crashing upstreams.
pub const MIN_CLEARING_EVENTS: u64 = 8;

/// How long a request stays quarantined, and how long crashes are kept of a request that isn't.
pub const QUARANTINE_MS: u64 = 10 * 60_000;
/// Maximum number of crash records; beyond it, the one with the fewest points is evicted.
const MAX_RECORDS: usize = 512;
/// Maximum number of crashes waiting to be judged.
const MAX_PENDING: usize = 1_024;
/// Maximum number of early crashes queued for peers: when a failure domain loses power, each
/// instance has only a few such runs there, each with a few parts of its prompt.
const MAX_UNSENT_EARLY_CRASHES: usize = 64;
/// Maximum number of records in one sync batch.
const MAX_BATCH_RECORDS: usize = 16;

/// Returns the stage of a stream that was lost at an upstream, given the time since the response
/// head (`None` if it had not arrived) and the number of events since. Returns `None` for a run
/// that had been going for a while, whose start can't have caused the crash.
pub fn stage_of_stream(answered_ms: Option<u64>, events: u64) -> Option<Stage> {
    match answered_ms {
        None => Some(Stage::Waiting),
        Some(answered_ms) if events <= MAX_BEGUN_EVENTS || answered_ms <= MAX_BEGUN_MS => {
            Some(Stage::Begun)
        }
        Some(_) => None,
    }
}

/// Returns the points for a crash at a stage.
pub fn points(stage: Stage) -> u32 {
    match stage {
        Stage::Waiting => WAITING_POINTS,
        Stage::Begun => BEGUN_POINTS,
    }
}

/// Returns whether one more crash may quarantine a request that has `points`. Such a request should
/// not be sent anywhere before its pending crashes are judged.
pub fn may_quarantine(points: u32) -> bool {
    points + BEGUN_POINTS >= QUARANTINE_POINTS
}

/// Crash status of a fingerprint, for request handling and for operators.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Suspect {
    /// The part of prompts that is suspected, if it isn't a request.
    pub part: Option<Arc<str>>,
    /// Sum of the points of its crashes.
    pub points: u32,
    /// Number of upstreams that ended under it.
    pub crashes: usize,
    /// End of the quarantine; `None` if the request isn't quarantined.
    pub until_ms: Option<u64>,
    /// The banned parts that were met in the same crashes, if it is a banned part.
    pub group: Option<Group>,
}

/// All fingerprints with at least one crash.
pub type Suspects = BTreeMap<Fingerprint, Suspect>;

/// Outcome of judging a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// The crash counts against the request.
    Counted,
    /// The crash doesn't count: it has a common cause with the ends of other upstreams.
    Coincident,
    /// The crash counts, and the request is quarantined from now on.
    Quarantined,
}

/// Quarantine state of one instance.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Fingerprint, record::Record>,
    pending: Vec<Crash>,
    ends: RecentEnds,
    /// Incremented on each change of `records`.
    version: u64,
    /// Fingerprints whose records have changed and must be sent to peers.
    unsent_records: Vec<Fingerprint>,
    /// Early crashes to be sent to peers, before any instance judges its own.
    unsent_early_crashes: Vec<EarlyCrash>,
    /// Last fingerprint of the previous sync batch; the next batch continues after it.
    sync_cursor: Option<Fingerprint>,
}

impl Quarantine {
    /// Returns whether there are neither records nor crashes waiting to be judged.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.pending.is_empty()
    }

    /// Incremented on each change of [`suspects`](Quarantine::suspects).
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records that an upstream has ended, regardless of what it was running.
    pub fn note_end(&mut self, upstream: &Upstream, now_ms: u64) {
        self.ends.note(upstream, now_ms);
    }

    /// Records a peer's report of an early crash. Returns whether it is new.
    pub fn note_early_crash(
        &mut self,
        upstream: &Upstream,
        fingerprint: Fingerprint,
        now_ms: u64,
    ) -> bool {
        self.ends.note_under_request(upstream, fingerprint, now_ms)
    }

    /// Takes the early crashes to be sent to peers at once: a request that is sent through several
    /// instances at the same time would otherwise look like a common cause of all the upstreams
    /// that end.
    pub fn take_early_crashes(&mut self) -> Vec<EarlyCrash> {
        std::mem::take(&mut self.unsent_early_crashes)
    }

    /// Records that an upstream has ended under a request.
    /// [`judge_pending`](Quarantine::judge_pending) judges the crash a moment later. Two attempts at
    /// one upstream count once.
    pub fn note_crash(&mut self, crash: Crash) {
        let Crash { fingerprint, upstream, .. } = &crash;
        self.ends.note(upstream, crash.at_ms);
        let is_new = crash.stage == Stage::Begun
            && self.ends.note_under_request(upstream, *fingerprint, crash.at_ms);
        if is_new && self.unsent_early_crashes.len() < MAX_UNSENT_EARLY_CRASHES {
            let upstream = Arc::clone(&upstream.id);
            self.unsent_early_crashes.push(EarlyCrash { upstream, fingerprint: *fingerprint });
        }
        let is_same = |other: &&mut Crash| {
            other.fingerprint == *fingerprint && other.upstream.id == upstream.id
        };
        if let Some(known) = self.pending.iter_mut().find(is_same) {
            known.stage = known.stage.max(crash.stage);
            return;
        }
        if self.pending.len() < MAX_PENDING {
            self.pending.push(crash);
        }
    }

    /// Returns when the next crash is due to be judged.
    pub fn next_judgement_ms(&self) -> Option<u64> {
        self.pending.iter().map(|crash| crash.at_ms + JUDGEMENT_DELAY_MS).min()
    }

    /// Judges the crashes that have waited long enough, given the known upstreams. Returns each
    /// with its judgement.
    pub fn judge_pending(
        &mut self,
        upstreams: &BTreeMap<Arc<str>, Upstream>,
        now_ms: u64,
    ) -> Vec<(Crash, Judgement)> {
        let is_due = |crash: &mut Crash| crash.at_ms + JUDGEMENT_DELAY_MS <= now_ms;
        let due: Vec<Crash> = self.pending.extract_if(.., is_due).collect();
        let are_coincident: Vec<bool> =
            due.iter().map(|crash| self.is_coincident(crash, &due, upstreams)).collect();
        let mut judgements = Vec::new();
        for (crash, is_coincident) in due.into_iter().zip(are_coincident) {
            let judgement =
                if is_coincident { Judgement::Coincident } else { self.count(&crash, now_ms) };
            judgements.push((crash, judgement));
        }
        judgements
    }

    /// Returns whether a crash has a common cause with the ends of other upstreams. Upstreams that
    /// ended under the same request don't count as others, however close in time.
    fn is_coincident(
        &self,
        crash: &Crash,
        due: &[Crash],
        upstreams: &BTreeMap<Arc<str>, Upstream>,
    ) -> bool {
        let is_same = |other: &Crash, id: &str| {
            other.fingerprint == crash.fingerprint && *other.upstream.id == *id
        };
        let is_own = |id: &str| {
            let record = self.records.get(&crash.fingerprint);
            record.is_some_and(|record| record.crashes.contains_key(id))
                || self.pending.iter().chain(due).any(|other| is_same(other, id))
        };
        self.ends.has_common_cause(crash, is_own, upstreams)
    }

    fn count(&mut self, crash: &Crash, now_ms: u64) -> Judgement {
        self.evict_if_full(crash.fingerprint);
        let record = self.records.entry(crash.fingerprint).or_default();
        let stage = record.crashes.entry(Arc::clone(&crash.upstream.id)).or_insert(crash.stage);
        *stage = crash.stage.max(*stage);
        record.event = record.event.max(crash.event);
        record.changed_ms = now_ms;
        record.part.clone_from(&crash.part);
        record.note_request(crash.request);
        self.note_change(crash.fingerprint);
        if self.quarantine_if_due(crash.fingerprint, now_ms) {
            Judgement::Quarantined
        } else {
            Judgement::Counted
        }
    }

    /// Quarantines a request that has enough points. Returns whether that is new.
    fn quarantine_if_due(&mut self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        let Some(record) = self.records.get(&fingerprint) else { return false };
        let explained = self.explained_crashes(record);
        let is_new = record.until_ms.is_none() && record.is_due(|id| !explained.contains(id));
        if is_new && let Some(record) = self.records.get_mut(&fingerprint) {
            record.until_ms = Some(now_ms + QUARANTINE_MS);
        }
        is_new
    }

    /// The upstreams whose end a banned part of prompts explains, other than what is recorded.
    fn explained_crashes(&self, record: &record::Record) -> BTreeSet<Arc<str>> {
        let explains = |banned: &&record::Record| {
            banned.part.is_some()
                && banned.until_ms.is_some()
                && poison_parts::is_explained(record.crashes.len(), banned.crashes.len())
        };
        let banned = self.records.values().filter(explains);
        banned.flat_map(|banned| banned.crashes.keys().cloned()).collect()
    }

    /// Clears a request that was served: completely if `event` is `None`, otherwise if it got far
    /// enough past the last crash.
    pub fn clear_served(&mut self, fingerprint: Fingerprint, event: Option<u64>, now_ms: u64) {
        let is_beyond = |crashed: u64| {
            event.is_none_or(|event| event >= crashed.saturating_add(MIN_CLEARING_EVENTS))
        };
        let is_served = |crash: &Crash| crash.fingerprint == fingerprint && is_beyond(crash.event);
        self.pending.retain(|crash| !is_served(crash));
        if self.records.get(&fingerprint).is_some_and(|record| is_beyond(record.event)) {
            self.clear(fingerprint, now_ms);
        }
    }

    /// Clears a request unconditionally, at an operator's command. Returns whether its record had
    /// any crashes.
    pub fn lift(&mut self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        self.pending.retain(|crash| crash.fingerprint != fingerprint);
        self.clear(fingerprint, now_ms)
    }

    fn clear(&mut self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        if record.crashes.is_empty() {
            return false;
        }
        // Keep the empty record with its new epoch: it makes crashes that peers still report
        // obsolete.
        *record = record::Record {
            epoch: record.epoch.saturating_add(1),
            changed_ms: now_ms,
            ..record::Record::default()
        };
        self.note_change(fingerprint);
        true
    }

    /// Merges a record received from a peer. Returns whether the request is newly quarantined here
    /// as a result.
    pub fn merge_record(&mut self, received: CrashRecord, now_ms: u64) -> bool {
        let fingerprint = received.fingerprint;
        let changed_ms = now_ms.saturating_sub(received.age_ms);
        let incoming = record::Record {
            epoch: received.epoch,
            crashes: received.crashes.into_iter().collect(),
            part: received.part,
            requests: received.requests.into_iter().take(record::MAX_RECORDED_REQUESTS).collect(),
            event: received.event,
            until_ms: received.left_ms.map(|left_ms| now_ms + left_ms.min(QUARANTINE_MS)),
            changed_ms,
        };
        if incoming.is_expired(now_ms) {
            return false;
        }
        let before = self.records.get(&fingerprint).cloned();
        let merged = match &before {
            None => incoming,
            Some(known) => record::merge(known, incoming),
        };
        if before.as_ref() == Some(&merged) {
            return false;
        }
        let was_quarantined = before.is_some_and(|known| known.until_ms.is_some());
        self.evict_if_full(fingerprint);
        self.records.insert(fingerprint, merged);
        self.note_change(fingerprint);
        self.quarantine_if_due(fingerprint, now_ms);
        let is_quarantined = self.records[&fingerprint].until_ms.is_some();
        is_quarantined && !was_quarantined
    }

    fn note_change(&mut self, fingerprint: Fingerprint) {
        self.version += 1;
        if !self.unsent_records.contains(&fingerprint) {
            self.unsent_records.push(fingerprint);
        }
    }

    /// Evicts the record with the fewest points if one more would exceed the limit; quarantined
    /// requests are evicted last.
    fn evict_if_full(&mut self, fingerprint: Fingerprint) {
        if self.records.len() < MAX_RECORDS || self.records.contains_key(&fingerprint) {
            return;
        }
        let weakest = self.records.iter().min_by_key(|(_, record)| {
            (record.until_ms.is_some(), record.points(), record.changed_ms)
        });
        let weakest = weakest.map(|(fingerprint, _)| *fingerprint);
        weakest.and_then(|fingerprint| self.records.remove(&fingerprint));
    }

    /// Removes expired records.
    pub fn forget(&mut self, now_ms: u64) {
        let before = self.records.len();
        self.records.retain(|_, record| !record.is_expired(now_ms));
        if self.records.len() != before {
            self.version += 1;
        }
    }

    /// Takes the records that changed since the last call, to be sent to all peers.
    pub fn take_updates(&mut self, now_ms: u64) -> Vec<CrashRecord> {
        let unsent_records = std::mem::take(&mut self.unsent_records);
        unsent_records
            .into_iter()
            .filter_map(|fingerprint| self.record(fingerprint, now_ms))
            .collect()
    }

    /// Returns the next batch of all records, for a peer that may have missed updates.
    pub fn next_sync_batch(&mut self, now_ms: u64) -> Vec<CrashRecord> {
        let after = self.sync_cursor;
        let is_next = |fingerprint: &&Fingerprint| after.is_none_or(|after| **fingerprint > after);
        let batch: Vec<Fingerprint> =
            self.records.keys().filter(is_next).take(MAX_BATCH_RECORDS).copied().collect();
        // A batch that isn't full is the last one.
        self.sync_cursor = batch.last().copied().filter(|_| batch.len() == MAX_BATCH_RECORDS);
        batch.into_iter().filter_map(|fingerprint| self.record(fingerprint, now_ms)).collect()
    }

    /// Returns whether a request is quarantined.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| record.until_ms.is_some())
    }

    /// Returns the quarantined requests.
    pub fn quarantined(&self) -> Vec<Fingerprint> {
        let quarantined = self.records.iter().filter(|(_, record)| record.until_ms.is_some());
        quarantined.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Returns the record of a request in the form that peers receive.
    pub fn record(&self, fingerprint: Fingerprint, now_ms: u64) -> Option<CrashRecord> {
        let record = self.records.get(&fingerprint)?;
        let crashes = record.crashes.iter().map(|(id, stage)| (Arc::clone(id), *stage));
        Some(CrashRecord {
            fingerprint,
            part: record.part.clone(),
            requests: record.requests.iter().copied().collect(),
            epoch: record.epoch,
            crashes: crashes.collect(),
            event: record.event,
            left_ms: record.until_ms.map(|until_ms| until_ms.saturating_sub(now_ms)),
            age_ms: now_ms.saturating_sub(record.changed_ms),
        })
    }

    /// Returns the status of all fingerprints with at least one crash.
    pub fn suspects(&self) -> Suspects {
        let known = self.records.iter().filter(|(_, record)| !record.crashes.is_empty());
        let mut suspects: Suspects =
            known.map(|(fingerprint, record)| (*fingerprint, self.suspect(record))).collect();
        let mut sizes: BTreeMap<u64, usize> = BTreeMap::new();
        for group in suspects.values().filter_map(|suspect| suspect.group) {
            *sizes.entry(group.id).or_default() += 1;
        }
        for group in suspects.values_mut().filter_map(|suspect| suspect.group.as_mut()) {
            group.size = sizes[&group.id];
        }
        suspects
    }

    /// The status of one of them, in a group of its own.
    fn suspect(&self, record: &record::Record) -> Suspect {
        let is_part = record.part.is_some();
        // What has come to light since may explain the crashes of a part that is banned.
        let is_cause = || {
            let explained = self.explained_crashes(record);
            record.is_due(|id| !explained.contains(id))
        };
        let until_ms = record.until_ms.filter(|_| !is_part || is_cause());
        let group = until_ms
            .filter(|_| is_part)
            .map(|_| Group { id: poison_parts::crashes_id(record.crashes.keys()), size: 1 });
        Suspect {
            part: record.part.clone(),
            points: record.points(),
            crashes: record.crashes.len(),
            until_ms,
            group,
        }
    }
}
