//! Which requests crash the upstreams that run them, and are kept from all others: the quarantine of
//! poison requests, as pure bookkeeping.
//!
//! A request whose upstream ends may have caused it, or have been beside the one that did. What tells
//! them apart is that one crashes the next upstream too, and right away. So the crashes of a
//! fingerprint are added up over all instances, those in which its run had just begun count more, those
//! that have a common cause not at all, and whatever is served anywhere is cleared of all of them.
//! See [docs/DESIGN.md](../../../docs/DESIGN.md), "Poison requests".

use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::crash::{Crash, CrashRecord, EndedUnder, Stage};
use super::super::fingerprint::Fingerprint;
use super::super::fleet::Upstream;
use super::coincidence::{JUDGEMENT_DELAY_MS, RecentEnds};

/// Crashes while the run had just begun after which a request is quarantined. With two, a request that
/// went on beside the one to blame once would be taken for it.
const CRASHES: u32 = 3;
/// What a crash counts while the run had just begun.
const BEGUN_POINTS: u32 = 2;
/// What it counts while the request waited or its prompt was read: most such requests only shared the
/// upstream, and one that crashes it while its prompt is read does so again and again.
const WAITING_POINTS: u32 = 1;
/// The points at which a request is quarantined.
const QUARANTINE_POINTS: u32 = CRASHES * BEGUN_POINTS;
/// Events until which a run that is lost had just begun.
const FEW_EVENTS: u64 = 3;
/// How long after the head of its answer it had, however many: a quick engine makes some before it ends.
const BEGUN_MS: u64 = 250;
/// Events beyond the last crash that clear a run: it goes on where it was thought to crash upstreams.
pub const CLEARING_EVENTS: u64 = 8;

/// How long a request stays quarantined, and how long crashes are remembered of one that isn't.
pub const QUARANTINE_MS: u64 = 10 * 60_000;
/// Fingerprints that are remembered; beyond, the one with the fewest points goes.
const MOST_RECORDS: usize = 512;
/// Crashes that wait to be judged.
const MOST_UNSETTLED: usize = 1_024;
/// Ends that are told at once: when a domain loses power, each instance has a few such runs there.
const MOST_ENDS_TOLD: usize = 16;
/// Records that are told at once.
const MOST_TOLD: usize = 16;
/// A quarantine that is told to last so much longer is taken over; less is the message's own delay.
const TOLD_LATE_MS: u64 = 2_000;

/// How far a stream had come that was lost at an upstream so long after the head of its answer, if that had
/// come, and so many events; `None` for one that had run for a while, which crashed nothing by beginning.
pub fn stage_of_stream(answered_ms: Option<u64>, events: u64) -> Option<Stage> {
    match answered_ms {
        None => Some(Stage::Waiting),
        Some(answered_ms) if events <= FEW_EVENTS || answered_ms <= BEGUN_MS => Some(Stage::Begun),
        Some(_) => None,
    }
}

/// What a crash counts.
pub fn points(stage: Stage) -> u32 {
    match stage {
        Stage::Waiting => WAITING_POINTS,
        Stage::Begun => BEGUN_POINTS,
    }
}

/// Whether one more crash may quarantine a request with so many points, so that it should not be sent
/// anywhere before those that it has are judged.
pub fn may_follow(points: u32) -> bool {
    points + BEGUN_POINTS >= QUARANTINE_POINTS
}

/// What is known of a fingerprint.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
struct Record {
    /// Grows each time it is cleared; what was told of an earlier one is void.
    epoch: u64,
    /// The crashes, by upstream.
    crashes: BTreeMap<Arc<str>, Stage>,
    /// The last event before any of them.
    event: u64,
    until_ms: Option<u64>,
    changed_ms: u64,
}

impl Record {
    fn points(&self) -> u32 {
        self.crashes.values().map(|stage| points(*stage)).sum()
    }

    fn is_over(&self, now_ms: u64) -> bool {
        self.until_ms.unwrap_or(self.changed_ms + QUARANTINE_MS) <= now_ms
    }
}

/// How a fingerprint stands, for traffic and operators.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Suspect {
    /// What its crashes count.
    pub points: u32,
    /// The upstreams that ended.
    pub crashes: usize,
    /// Until when it is quarantined.
    pub until_ms: Option<u64>,
}

/// All fingerprints that crashed anything.
pub type Suspects = BTreeMap<Fingerprint, Suspect>;

/// What a crash means for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Judgement {
    /// It counts against the request.
    Counted,
    /// It had a common cause with the ends of other upstreams.
    Coincident,
    /// The request is quarantined from now on.
    Quarantined,
}

/// The quarantine, as one instance knows it.
#[derive(Debug, Default)]
pub struct Quarantine {
    records: BTreeMap<Fingerprint, Record>,
    unsettled: Vec<Crash>,
    ends: RecentEnds,
    /// Grows with each change of what is known.
    version: u64,
    /// Fingerprints of which peers have to hear.
    news: Vec<Fingerprint>,
    /// Ends under runs that had just begun, of which they have to hear before anybody judges.
    ends_news: Vec<EndedUnder>,
    /// Where the next telling of everything goes on.
    told_to: Option<Fingerprint>,
}

impl Quarantine {
    /// Whether nothing is known or waits to be judged.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.unsettled.is_empty()
    }

    /// Grows with each change of [`suspects`](Quarantine::suspects).
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Notes that an upstream has ended, whatever ran there.
    pub fn note_end(&mut self, upstream: &Upstream, now_ms: u64) {
        self.ends.note(upstream, now_ms);
    }

    /// Notes that an upstream ended under a run that had just begun, as a peer tells. Whether it is new.
    pub fn hear_end(&mut self, upstream: &Upstream, fingerprint: Fingerprint, now_ms: u64) -> bool {
        self.ends.note_under_request(upstream, fingerprint, now_ms)
    }

    /// The ends that peers should hear of at once: a request that is sent through several instances at once
    /// would otherwise look like a common cause of all the upstreams that end.
    pub fn take_ends(&mut self) -> Vec<EndedUnder> {
        std::mem::take(&mut self.ends_news)
    }

    /// Notes that an upstream has ended under a request; judged a moment later by
    /// [`settle`](Quarantine::settle). Two attempts at one upstream count once.
    pub fn note_crash(&mut self, crash: Crash) {
        let Crash { fingerprint, upstream, .. } = &crash;
        self.ends.note(upstream, crash.at_ms);
        let is_new = crash.stage == Stage::Begun
            && self.ends.note_under_request(upstream, *fingerprint, crash.at_ms);
        if is_new && self.ends_news.len() < MOST_ENDS_TOLD {
            let upstream = Arc::clone(&upstream.id);
            self.ends_news.push(EndedUnder { upstream, fingerprint: *fingerprint });
        }
        let is_same = |other: &&mut Crash| {
            other.fingerprint == *fingerprint && other.upstream.id == upstream.id
        };
        if let Some(known) = self.unsettled.iter_mut().find(is_same) {
            known.stage = known.stage.max(crash.stage);
            return;
        }
        if self.unsettled.len() < MOST_UNSETTLED {
            self.unsettled.push(crash);
        }
    }

    /// When the next crash is to be judged.
    pub fn settles_ms(&self) -> Option<u64> {
        self.unsettled.iter().map(|crash| crash.at_ms + JUDGEMENT_DELAY_MS).min()
    }

    /// Judges the crashes that are old enough, among these upstreams; what became of each.
    pub fn settle(
        &mut self,
        upstreams: &BTreeMap<Arc<str>, Upstream>,
        now_ms: u64,
    ) -> Vec<(Crash, Judgement)> {
        let is_due = |crash: &mut Crash| crash.at_ms + JUDGEMENT_DELAY_MS <= now_ms;
        let due: Vec<Crash> = self.unsettled.extract_if(.., is_due).collect();
        let judged: Vec<bool> =
            due.iter().map(|crash| self.is_coincident(crash, &due, upstreams)).collect();
        let mut settled = Vec::new();
        for (crash, is_coincident) in due.into_iter().zip(judged) {
            let judgement =
                if is_coincident { Judgement::Coincident } else { self.count(&crash, now_ms) };
            settled.push((crash, judgement));
        }
        settled
    }

    /// Whether a crash has a common cause with the ends of other upstreams; those that ended under the same
    /// request, however quickly, are none.
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
                || self.unsettled.iter().chain(due).any(|other| is_same(other, id))
        };
        self.ends.has_common_cause(crash, is_own, upstreams)
    }

    fn count(&mut self, crash: &Crash, now_ms: u64) -> Judgement {
        self.make_room(crash.fingerprint);
        let record = self.records.entry(crash.fingerprint).or_default();
        let stage = record.crashes.entry(Arc::clone(&crash.upstream.id)).or_insert(crash.stage);
        *stage = crash.stage.max(*stage);
        record.event = record.event.max(crash.event);
        record.changed_ms = now_ms;
        self.note_change(crash.fingerprint);
        if self.judge(crash.fingerprint, now_ms) {
            Judgement::Quarantined
        } else {
            Judgement::Counted
        }
    }

    /// Quarantines a request that has crashed enough. Whether it is new.
    fn judge(&mut self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        let is_new = record.until_ms.is_none() && record.points() >= QUARANTINE_POINTS;
        if is_new {
            record.until_ms = Some(now_ms + QUARANTINE_MS);
        }
        is_new
    }

    /// Clears a request that was served after all: completely, or so far beyond the last crash.
    pub fn clear_served(&mut self, fingerprint: Fingerprint, event: Option<u64>, now_ms: u64) {
        let is_beyond = |crashed: u64| event.is_none_or(|event| event >= crashed + CLEARING_EVENTS);
        let is_served = |crash: &Crash| crash.fingerprint == fingerprint && is_beyond(crash.event);
        self.unsettled.retain(|crash| !is_served(crash));
        if self.records.get(&fingerprint).is_some_and(|record| is_beyond(record.event)) {
            self.clear(fingerprint, now_ms);
        }
    }

    /// Clears a request whatever is known of it, as operators may. Whether anything was.
    pub fn lift(&mut self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        self.unsettled.retain(|crash| crash.fingerprint != fingerprint);
        self.clear(fingerprint, now_ms)
    }

    fn clear(&mut self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        if record.crashes.is_empty() {
            return false;
        }
        // The empty record stays, so that what others still tell of the crashes is void.
        *record = Record { epoch: record.epoch + 1, changed_ms: now_ms, ..Record::default() };
        self.note_change(fingerprint);
        true
    }

    /// Takes in what a peer tells. Whether it quarantines the request anew here.
    pub fn hear(&mut self, told: CrashRecord, now_ms: u64) -> bool {
        let fingerprint = told.fingerprint;
        let changed_ms = now_ms.saturating_sub(told.age_ms);
        let heard = Record {
            epoch: told.epoch,
            crashes: told.crashes.into_iter().collect(),
            event: told.event,
            until_ms: told.left_ms.map(|left_ms| now_ms + left_ms.min(QUARANTINE_MS)),
            changed_ms,
        };
        if heard.is_over(now_ms) {
            return false;
        }
        let before = self.records.get(&fingerprint).cloned();
        let merged = match &before {
            None => heard,
            Some(known) => merge(known, heard),
        };
        if before.as_ref() == Some(&merged) {
            return false;
        }
        let was_quarantined = before.is_some_and(|known| known.until_ms.is_some());
        self.make_room(fingerprint);
        self.records.insert(fingerprint, merged);
        self.note_change(fingerprint);
        self.judge(fingerprint, now_ms);
        let is_quarantined = self.records[&fingerprint].until_ms.is_some();
        is_quarantined && !was_quarantined
    }

    fn note_change(&mut self, fingerprint: Fingerprint) {
        self.version += 1;
        if !self.news.contains(&fingerprint) {
            self.news.push(fingerprint);
        }
    }

    /// Forgets the record with the fewest points, if one more would be too many.
    fn make_room(&mut self, fingerprint: Fingerprint) {
        if self.records.len() < MOST_RECORDS || self.records.contains_key(&fingerprint) {
            return;
        }
        let least = self.records.iter().min_by_key(|(_, record)| {
            (record.until_ms.is_some(), record.points(), record.changed_ms)
        });
        let least = least.map(|(fingerprint, _)| *fingerprint);
        least.and_then(|fingerprint| self.records.remove(&fingerprint));
    }

    /// Forgets what is over.
    pub fn forget(&mut self, now_ms: u64) {
        let before = self.records.len();
        self.records.retain(|_, record| !record.is_over(now_ms));
        if self.records.len() != before {
            self.version += 1;
        }
    }

    /// What changed since this was last asked, for all peers.
    pub fn take_news(&mut self, now_ms: u64) -> Vec<CrashRecord> {
        let news = std::mem::take(&mut self.news);
        news.into_iter().filter_map(|fingerprint| self.record(fingerprint, now_ms)).collect()
    }

    /// The next part of everything, for a peer that may have missed it.
    pub fn next_part(&mut self, now_ms: u64) -> Vec<CrashRecord> {
        let after = self.told_to;
        let is_next = |fingerprint: &&Fingerprint| after.is_none_or(|after| **fingerprint > after);
        let part: Vec<Fingerprint> =
            self.records.keys().filter(is_next).take(MOST_TOLD).copied().collect();
        // A part that isn't full is the last one.
        self.told_to = part.last().copied().filter(|_| part.len() == MOST_TOLD);
        part.into_iter().filter_map(|fingerprint| self.record(fingerprint, now_ms)).collect()
    }

    /// Whether a request is quarantined.
    pub fn is_quarantined(&self, fingerprint: Fingerprint) -> bool {
        self.records.get(&fingerprint).is_some_and(|record| record.until_ms.is_some())
    }

    /// What is known of a request, as others are told.
    pub fn record(&self, fingerprint: Fingerprint, now_ms: u64) -> Option<CrashRecord> {
        let record = self.records.get(&fingerprint)?;
        let crashes = record.crashes.iter().map(|(id, stage)| (Arc::clone(id), *stage));
        Some(CrashRecord {
            fingerprint,
            epoch: record.epoch,
            crashes: crashes.collect(),
            event: record.event,
            left_ms: record.until_ms.map(|until_ms| until_ms.saturating_sub(now_ms)),
            age_ms: now_ms.saturating_sub(record.changed_ms),
        })
    }

    /// How all fingerprints stand that crashed anything.
    pub fn suspects(&self) -> Suspects {
        let known = self.records.iter().filter(|(_, record)| !record.crashes.is_empty());
        let standing = |record: &Record| Suspect {
            points: record.points(),
            crashes: record.crashes.len(),
            until_ms: record.until_ms,
        };
        known.map(|(fingerprint, record)| (*fingerprint, standing(record))).collect()
    }
}

/// What two instances know together: of the later epoch, all crashes, and the longer quarantine.
fn merge(known: &Record, heard: Record) -> Record {
    if heard.epoch != known.epoch {
        return if heard.epoch > known.epoch { heard } else { known.clone() };
    }
    let mut merged = known.clone();
    for (id, stage) in heard.crashes {
        let known = merged.crashes.entry(id).or_insert(stage);
        *known = stage.max(*known);
    }
    merged.event = merged.event.max(heard.event);
    if merged.crashes != known.crashes {
        merged.changed_ms = merged.changed_ms.max(heard.changed_ms);
    }
    merged.until_ms = match (known.until_ms, heard.until_ms) {
        // Each telling is a little late, and must not make it longer from hop to hop.
        (Some(known_ms), Some(heard_ms)) if heard_ms <= known_ms + TOLD_LATE_MS => Some(known_ms),
        (known_ms, heard_ms) => known_ms.max(heard_ms),
    };
    merged
}
