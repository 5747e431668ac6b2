//! The list of upstreams as one instance believes it: pure steps from what the directory tells.
//!
//! An empty or old reading must not empty the list, and after an outage of the directory entries
//! that lapsed meanwhile get a short time to come back before they count as gone.

mod software_version;
mod upstream;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

pub use self::software_version::SoftwareVersion;
pub use self::upstream::{Departure, MAX_NAME_BYTES, Upstream};
use super::policy::eras::{self, Known, Reconciled};

/// How long an entry that lapsed in an outage of the directory may take to come back: upstreams
/// register again within two seconds, and the bound for work at a leaving upstream is as long, so
/// a little is kept back for requests under way.
const RETURN_MS: u64 = 1_900;

/// What the directory says of one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It is there, with these properties.
    Put(Upstream),
    /// Its entry is gone.
    Gone(Arc<str>),
    /// Its entry is there and names no upstream that can be used: another writer made it.
    Foreign(Arc<str>),
}

/// All upstreams, with the directory's revision that they were read at. Revisions here are positions:
/// they have their era, so they never go back (see [`super::policy::eras`]).
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The newest revision taken in.
    pub revision: u64,
    /// All upstreams by id.
    pub upstreams: BTreeMap<Arc<str>, Upstream>,
    /// Entries that lapsed around an outage, with the time at which they count as gone.
    #[serde(skip)]
    lapsed: BTreeMap<Arc<str>, u64>,
    /// Entries that a list of a new era names although they had been removed, and when they are believed.
    #[serde(skip)]
    doubted: BTreeMap<Arc<str>, (Upstream, u64)>,
    /// When each upstream last changed or went.
    #[serde(skip)]
    changed: BTreeMap<Arc<str>, Changed>,
    /// The same in the order of revisions.
    #[serde(skip)]
    history: BTreeSet<(u64, Arc<str>)>,
    /// From which revision on all changes are in `changed`.
    #[serde(skip)]
    changed_from: u64,
    /// Grows with each change of `upstreams`.
    #[serde(skip)]
    changes: u64,
    /// Until when a lapse may be the outage's doing.
    #[serde(skip)]
    settling_until_ms: u64,
}

/// The last change of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Changed {
    revision: u64,
    service: Arc<str>,
    /// Where its entry was created.
    created: u64,
    /// Where its entry was first known to be gone, if it is.
    gone_at: Option<u64>,
}

impl Changed {
    /// The change of an upstream's entry at a revision.
    fn of(upstream: &Upstream, revision: u64) -> Changed {
        let service = Arc::clone(&upstream.service);
        Changed { revision, service, created: upstream.listed_at, gone_at: None }
    }

    /// The removal of its entry at a revision; it may be known to be gone already.
    fn removed(self, revision: u64) -> Changed {
        Changed { revision, gone_at: self.gone_at.or(Some(revision)), ..self }
    }
}

/// A part of a whole list that goes into one answer.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The revision of the list when this part was read.
    pub revision: u64,
    /// Upstreams in the order of their ids.
    pub upstreams: Vec<Upstream>,
    /// Those of them that lapsed around an outage and may come back.
    pub lapsed: Vec<Arc<str>>,
    /// Whether there are more behind the last one.
    pub has_more: bool,
}

/// What changed after a revision, or everything, as one instance tells another.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The revision up to which it goes.
    pub revision: u64,
    /// Whether it holds everything.
    pub is_whole: bool,
    /// Upstreams that changed.
    pub upstreams: Vec<Upstream>,
    /// Upstreams that went.
    pub gone: Vec<Arc<str>>,
    /// Upstreams that lapsed around an outage and may come back.
    pub lapsed: Vec<Arc<str>>,
}

/// Upstreams that went are remembered up to so many changes, for those that ask what changed.
const REMEMBERED: usize = 4_000;
/// Upstreams in a page: some 50 KB, which the slowest links carry in a tenth of a second.
const PAGE_UPSTREAMS: usize = 500;

impl Fleet {
    /// A list of upstreams without a history.
    pub fn of(revision: u64, upstreams: BTreeMap<Arc<str>, Upstream>) -> Fleet {
        Fleet { revision, upstreams, ..Fleet::default() }
    }

    /// What changed after a revision.
    pub fn since(&self, revision: u64) -> Delta {
        self.since_for(revision, |_, _| true)
    }

    /// What changed after a revision among the upstreams that an instance holds, by id and service.
    pub fn since_for(&self, revision: u64, holds: impl Fn(&str, &str) -> bool) -> Delta {
        let mut delta = Delta { revision: self.revision, ..Delta::default() };
        delta.is_whole = revision < self.changed_from || revision == 0;
        let is_held = |upstream: &&Upstream| holds(&upstream.id, &upstream.service);
        let lapsed = self.lapsed.keys().filter_map(|id| self.upstreams.get(id)).filter(is_held);
        delta.lapsed = lapsed.map(|upstream| Arc::clone(&upstream.id)).collect();
        if delta.is_whole {
            delta.upstreams = self.upstreams.values().filter(is_held).cloned().collect();
            return delta;
        }
        for (_, id) in self.history.range((revision + 1, Arc::from(""))..) {
            match self.upstreams.get(id) {
                Some(upstream) if holds(id, &upstream.service) => {
                    delta.upstreams.push(upstream.clone());
                }
                None if self.changed.get(id).is_some_and(|known| holds(id, &known.service)) => {
                    delta.gone.push(Arc::clone(id));
                }
                _ => {}
            }
        }
        delta
    }

    /// The part of the whole list behind an id, of the upstreams that an instance holds.
    pub fn page(&self, after: &str, holds: impl Fn(&str, &str) -> bool) -> Page {
        let behind = (Bound::Excluded(after), Bound::Unbounded);
        let held = self.upstreams.range::<str, _>(behind).map(|(_, upstream)| upstream);
        let mut held = held.filter(|upstream| holds(&upstream.id, &upstream.service));
        let upstreams: Vec<Upstream> = held.by_ref().take(PAGE_UPSTREAMS).cloned().collect();
        let lapsed = upstreams.iter().filter(|upstream| self.lapsed.contains_key(&upstream.id));
        let lapsed = lapsed.map(|upstream| Arc::clone(&upstream.id)).collect();
        let has_more = held.next().is_some();
        Page { revision: self.revision, upstreams, lapsed, has_more }
    }

    /// The entry to believe of an upstream that a list names, which was read at a revision. One that
    /// was removed since is kept aside, in case its removal isn't written again.
    fn admit(&mut self, listed: Upstream, revision: u64, now_ms: u64) -> Option<Upstream> {
        let known = match (self.upstreams.get(&listed.id), self.changed.get(&listed.id)) {
            (Some(known), _) => Some(Known::Listed(known)),
            (None, Some(Changed { gone_at: Some(at), created, .. })) => {
                Some(Known::Gone { at: *at, created: *created })
            }
            (None, _) => None,
        };
        match eras::reconcile(known, listed, revision) {
            Reconciled::Believed(upstream) => Some(upstream),
            Reconciled::Doubted(upstream) => {
                let until_ms = now_ms + eras::DOUBT_MS;
                self.doubted.entry(Arc::clone(&upstream.id)).or_insert((upstream, until_ms));
                None
            }
        }
    }

    /// Takes in changes of the upstreams that this instance holds, in any order: what is known of an
    /// upstream at a later revision stays. The list is as new as `delta` only if nothing is missing
    /// between it and what was known, that is, if it holds all changes since a known revision.
    pub fn patch(&mut self, delta: Delta, since: u64, now_ms: u64) {
        let revision = delta.revision;
        let is_newer = |fleet: &Fleet, id: &Arc<str>| {
            fleet.changed.get(id).is_none_or(|known| known.revision <= revision)
        };
        for upstream in delta.upstreams {
            if is_newer(self, &upstream.id)
                && let Some(upstream) = self.admit(upstream, revision, now_ms)
            {
                self.put(upstream, revision);
            }
        }
        for id in delta.gone {
            if is_newer(self, &id) {
                self.remove(&id, revision);
            }
        }
        for id in delta.lapsed {
            if self.upstreams.contains_key(&id) {
                self.lapsed.entry(id).or_insert(now_ms + RETURN_MS);
            }
        }
        if since <= self.revision {
            self.revision = self.revision.max(revision);
        }
    }

    /// Takes in the pages of a whole list, all read at `revision` or later. What is known of an upstream
    /// at a later revision stays.
    pub fn adopt(&mut self, revision: u64, pages: Vec<Page>, now_ms: u64) {
        let lapsed: Vec<Arc<str>> = pages.iter().flat_map(|page| page.lapsed.clone()).collect();
        let listed: BTreeMap<Arc<str>, Upstream> = pages
            .into_iter()
            .flat_map(|page| page.upstreams)
            .map(|upstream| (Arc::clone(&upstream.id), upstream))
            .collect();
        let is_older = |fleet: &Fleet, id: &Arc<str>| {
            fleet.changed.get(id).is_none_or(|known| known.revision <= revision)
        };
        let missing = self.upstreams.keys().filter(|id| !listed.contains_key(*id));
        let missing: Vec<Arc<str>> = missing.filter(|id| is_older(self, id)).cloned().collect();
        missing.iter().for_each(|id| self.remove(id, revision));
        for (id, upstream) in listed {
            if is_older(self, &id)
                && let Some(upstream) = self.admit(upstream, revision, now_ms)
                && self.upstreams.get(&id) != Some(&upstream)
            {
                self.put(upstream, revision);
            }
        }
        for id in lapsed {
            if self.upstreams.contains_key(&id) {
                self.lapsed.entry(id).or_insert(now_ms + RETURN_MS);
            }
        }
        if self.revision == 0 {
            self.changed_from = revision;
        }
        self.revision = revision;
    }

    /// Drops the upstreams that this instance holds no longer, by id and service.
    pub fn narrow(&mut self, holds: impl Fn(&str, &str) -> bool) {
        let is_held = |upstream: &Upstream| holds(&upstream.id, &upstream.service);
        let left: Vec<Arc<str>> = self
            .upstreams
            .values()
            .filter(|upstream| !is_held(upstream))
            .map(|upstream| Arc::clone(&upstream.id))
            .collect();
        for id in left {
            self.upstreams.remove(&id);
            self.lapsed.remove(&id);
            if let Some(known) = self.changed.remove(&id) {
                self.history.remove(&(known.revision, id));
            }
        }
        self.changes += 1;
    }

    /// Takes in a whole list where only a part was held. Changes of that part which are newer than the
    /// list stay.
    pub fn complete(
        &mut self,
        revision: u64,
        listed: Vec<Upstream>,
        foreign: &[Arc<str>],
        now_ms: u64,
    ) {
        if revision >= self.revision {
            self.replace(revision, listed, foreign, now_ms);
        } else {
            let page = Page { revision, upstreams: listed, ..Page::default() };
            self.adopt(revision, vec![page], now_ms);
        }
        self.forget_changes_before(revision);
    }

    /// Forgets the changes before a revision, at which upstreams were added that were not held before: of
    /// those, earlier changes are not known here.
    pub fn forget_changes_before(&mut self, revision: u64) {
        self.changed_from = self.changed_from.max(revision);
    }

    /// The service of an upstream, also of one that went lately.
    pub fn service_of(&self, id: &str) -> Option<Arc<str>> {
        self.changed.get(id).map(|known| Arc::clone(&known.service))
    }

    /// A number that differs from an earlier one if the upstreams do.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Takes in what another instance tells; something older changes nothing.
    pub fn take(&mut self, delta: Delta, now_ms: u64) -> bool {
        if delta.revision < self.revision {
            return false;
        }
        if delta.is_whole {
            self.replace(delta.revision, delta.upstreams, &[], now_ms);
        } else {
            let upstreams = delta.upstreams.into_iter();
            let put: Vec<Upstream> = upstreams
                .filter_map(|upstream| self.admit(upstream, delta.revision, now_ms))
                .collect();
            let put = put.into_iter().map(Change::Put);
            let gone = delta.gone.into_iter().map(Change::Gone);
            self.change(delta.revision, put.chain(gone).collect(), now_ms);
        }
        for id in delta.lapsed {
            if self.upstreams.contains_key(&id) {
                self.lapsed.entry(id).or_insert(now_ms + RETURN_MS);
            }
        }
        true
    }

    fn put(&mut self, upstream: Upstream, revision: u64) {
        let id = Arc::clone(&upstream.id);
        let changed = Changed::of(&upstream, revision);
        self.lapsed.remove(&id);
        self.doubted.remove(&id);
        self.upstreams.insert(Arc::clone(&id), upstream);
        self.note_change(&id, changed);
    }

    fn remove(&mut self, id: &Arc<str>, revision: u64) {
        self.lapsed.remove(id);
        self.doubted.remove(id);
        // One that was never known is remembered too, so that older news don't bring it in.
        let listed = self.upstreams.remove(id).map(|known| Changed::of(&known, revision));
        let known = listed.or_else(|| self.changed.get(id).cloned());
        let unknown = || Changed { revision, service: Arc::from(""), created: 0, gone_at: None };
        self.note_change(id, known.unwrap_or_else(unknown).removed(revision));
    }

    fn note_change(&mut self, id: &Arc<str>, changed: Changed) {
        self.changes += 1;
        let revision = changed.revision;
        let before = self.changed.insert(Arc::clone(id), changed);
        if let Some(before) = before {
            self.history.remove(&(before.revision, Arc::clone(id)));
        }
        self.history.insert((revision, Arc::clone(id)));
        if self.changed.len() > self.upstreams.len() + REMEMBERED {
            self.forget_oldest_gone();
        }
    }

    fn forget_oldest_gone(&mut self) {
        let mut gone = self.history.iter().filter(|(_, id)| !self.upstreams.contains_key(id));
        let Some(oldest) = gone.next().cloned() else { return };
        self.history.remove(&oldest);
        self.changed.remove(&oldest.1);
        self.changed_from = self.changed_from.max(oldest.0);
    }

    /// Notes that the directory answers again after an outage.
    pub fn regained(&mut self, now_ms: u64) {
        self.settling_until_ms = now_ms + RETURN_MS;
    }

    /// Takes in a whole list; an older one than what is known changes nothing.
    ///
    /// `foreign` names entries that are there and can't be used; they get no time to come back.
    pub fn replace(
        &mut self,
        revision: u64,
        listed: Vec<Upstream>,
        foreign: &[Arc<str>],
        now_ms: u64,
    ) -> bool {
        if revision < self.revision {
            return false;
        }
        let is_first = self.revision == 0;
        self.revision = revision;
        let listed =
            listed.into_iter().filter_map(|upstream| self.admit(upstream, revision, now_ms));
        let mut listed: BTreeMap<Arc<str>, Upstream> =
            listed.map(|upstream| (Arc::clone(&upstream.id), upstream)).collect();
        let missing: Vec<Upstream> = self
            .upstreams
            .values()
            .filter(|known| !listed.contains_key(&known.id) && !foreign.contains(&known.id))
            .cloned()
            .collect();
        for upstream in missing {
            if let Some(until_ms) = self.grace(&upstream.id, now_ms) {
                self.lapsed.insert(Arc::clone(&upstream.id), until_ms);
                listed.insert(Arc::clone(&upstream.id), upstream);
            }
        }
        self.lapsed.retain(|id, _| listed.contains_key(id));
        let before = std::mem::replace(&mut self.upstreams, listed);
        if is_first || before.is_empty() {
            self.changed_from = revision;
        }
        let change = |known: &Upstream| (Arc::clone(&known.id), Changed::of(known, revision));
        let now = self.upstreams.values();
        let put = now.filter(|upstream| before.get(&upstream.id) != Some(*upstream));
        let put: Vec<(Arc<str>, Changed)> = put.map(change).collect();
        for (id, changed) in put {
            self.lapsed.remove(&id);
            self.note_change(&id, changed);
        }
        let gone = before.values().filter(|known| !self.upstreams.contains_key(&known.id));
        let gone: Vec<(Arc<str>, Changed)> = gone.map(change).collect();
        for (id, changed) in gone {
            self.note_change(&id, changed.removed(revision));
        }
        true
    }

    /// Takes in what the directory told of changes up to `revision`.
    pub fn apply(&mut self, revision: u64, mut changes: Vec<Change>, now_ms: u64) {
        for change in &mut changes {
            if let Change::Put(upstream) = change {
                upstream.stated_at = revision;
            }
        }
        self.change(revision, changes, now_ms);
    }

    fn change(&mut self, revision: u64, changes: Vec<Change>, now_ms: u64) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        for change in changes {
            match change {
                Change::Put(upstream) => self.put(upstream, revision),
                Change::Foreign(id) => self.remove(&id, revision),
                Change::Gone(id) => match self.grace(&id, now_ms) {
                    Some(until_ms) => {
                        self.lapsed.insert(id, until_ms);
                    }
                    None => self.remove(&id, revision),
                },
            }
        }
    }

    /// Drops the entries whose time to come back is over, and takes in those whose removal was not
    /// written again; tells whether there were any.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let over = self.lapsed.iter().filter(|(_, until_ms)| **until_ms <= now_ms);
        let over: Vec<Arc<str>> = over.map(|(id, _)| Arc::clone(id)).collect();
        for id in &over {
            self.remove(id, self.revision);
        }
        let is_due = |(_, (_, until_ms)): &(&Arc<str>, &(Upstream, u64))| *until_ms <= now_ms;
        let due = self.doubted.iter().filter(is_due);
        let due: Vec<Upstream> = due.map(|(_, (upstream, _))| upstream.clone()).collect();
        let has_due = !due.is_empty();
        for upstream in due {
            self.put(upstream, self.revision);
        }
        !over.is_empty() || has_due
    }

    /// Until when an entry that is missing now is kept, if it is at all.
    fn grace(&self, id: &str, now_ms: u64) -> Option<u64> {
        let known = self.upstreams.get(id)?;
        if known.is_leaving {
            return None;
        }
        let until_ms = *self.lapsed.get(id).unwrap_or(&self.settling_until_ms);
        (until_ms > now_ms).then_some(until_ms)
    }
}
