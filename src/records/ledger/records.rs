//! The records of a holder, bounded in time and in bytes of each organisation.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::records::journal::Journal;
use crate::records::ledger::Limits;
use crate::records::record::{Identity, Outcome, Owner, Record, Reply};

/// Records by key, and the bytes of answers of each organisation.
#[derive(Debug)]
pub(super) struct Records {
    limits: Limits,
    by_key: HashMap<Arc<str>, Record>,
    held_bytes: BTreeMap<Arc<str>, usize>,
}

impl Records {
    pub(super) fn new(limits: Limits) -> Records {
        Records { limits, by_key: HashMap::new(), held_bytes: BTreeMap::new() }
    }

    pub(super) fn len(&self) -> usize {
        self.by_key.len()
    }

    pub(super) fn get(&self, key: &str) -> Option<&Record> {
        self.by_key.get(key)
    }

    pub(super) fn get_mut(&mut self, key: &str) -> Option<&mut Record> {
        self.by_key.get_mut(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Record> {
        self.by_key.values()
    }

    /// Removes a claim without an answer.
    pub(super) fn remove_claim(&mut self, key: &str) {
        self.by_key.remove(key);
    }

    /// Merges a record of the same key: the one with more progress is kept, with the newest term.
    pub(super) fn merge(&mut self, record: Record) {
        let key = Arc::clone(&record.identity.key);
        let Some(mine) = self.by_key.get_mut(&key) else {
            self.count_bytes(&record, true);
            self.by_key.insert(key, record);
            return;
        };
        let contested =
            mine.contested || record.contested || mine.identity.nonce != record.identity.nonce;
        mine.contested = contested;
        let newer_term = record.term > mine.term;
        let is_better = record.progress() > mine.progress();
        if !is_better && !newer_term {
            return;
        }
        let before = mine.clone();
        if is_better {
            let term = mine.term.max(record.term);
            *mine = Record { term, contested, ..record };
        } else {
            mine.term = record.term;
            mine.owner = record.owner;
        }
        let after = mine.clone();
        self.count_bytes(&before, false);
        self.count_bytes(&after, true);
    }

    /// Inserts a record, or updates the term and the owner if `term` is newer.
    pub(super) fn upsert(
        &mut self,
        identity: Identity,
        owner: Owner,
        term: u64,
        now_ms: u64,
    ) -> &Record {
        let key = Arc::clone(&identity.key);
        let new = || Record::new(identity, owner.clone(), term, now_ms);
        let record = self.by_key.entry(key).or_insert_with(new);
        if term > record.term {
            record.term = term;
            record.owner = owner;
        }
        record
    }

    /// Changes a record, then evicts answers if its organisation exceeds its bytes.
    pub(super) fn change(&mut self, key: &str, change: impl FnOnce(&mut Record) -> Reply) -> Reply {
        let Some(record) = self.by_key.get_mut(key) else { return Reply::Absent };
        let before = record.answer_bytes();
        let reply = change(record);
        let after = record.answer_bytes();
        let organisation = Arc::from(record.organisation());
        let held = self.held_bytes.entry(Arc::clone(&organisation)).or_insert(0);
        *held = (*held + after).saturating_sub(before);
        if *held > self.limits.organisation_bytes {
            self.evict(&organisation, key);
        }
        reply
    }

    /// Drops an organisation's oldest complete answers; the records of their runs stay.
    fn evict(&mut self, organisation: &Arc<str>, except: &str) {
        let is_whole = |record: &&mut Record| {
            record.outcome.is_some()
                && record.answer_bytes() > 0
                && record.organisation() == &**organisation
                && &*record.identity.key != except
        };
        let mut whole: Vec<_> = self.by_key.values_mut().filter(is_whole).collect();
        whole.sort_by_key(|record| record.claimed_ms);
        let held = self.held_bytes.entry(Arc::clone(organisation)).or_insert(0);
        for record in whole {
            if *held <= self.limits.organisation_bytes {
                return;
            }
            *held = held.saturating_sub(record.answer_bytes());
            record.journal = Journal::default();
            record.outcome = Some(Outcome::Evicted);
        }
    }

    fn count_bytes(&mut self, record: &Record, is_added: bool) {
        let held = self.held_bytes.entry(Arc::from(record.organisation())).or_insert(0);
        let bytes = record.answer_bytes();
        *held = if is_added { *held + bytes } else { held.saturating_sub(bytes) };
    }

    /// Drops records that are older than the retry horizon.
    pub(super) fn forget_old(&mut self, now_ms: u64) {
        let horizon_ms = self.limits.horizon_ms;
        let is_old = |record: &Record| now_ms.saturating_sub(record.claimed_ms) > horizon_ms;
        let old = self.by_key.values().filter(|record| is_old(record));
        let keys: Vec<_> = old.map(|record| Arc::clone(&record.identity.key)).collect();
        for key in keys {
            if let Some(record) = self.by_key.remove(&key) {
                self.count_bytes(&record, false);
            }
        }
    }
}
