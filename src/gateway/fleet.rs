//! The list of upstreams as one instance believes it: pure steps from what the directory tells.
//!
//! An empty or old reading must not empty the list, and after an outage of the directory entries
//! that lapsed meanwhile get a short time to come back before they count as gone.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// How long an entry that lapsed in an outage of the directory may take to come back: upstreams
/// register again within two seconds, and the bound for work at a leaving upstream is as long, so
/// a little is kept back for requests under way.
const RETURN_MS: u64 = 1_900;

/// One incarnation of a server of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its name; a restart has another one, or the same with another birth.
    pub id: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// Where it listens; another service may have the address later.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it said that it is leaving.
    pub is_leaving: bool,
    /// When its process started, as it says itself: under the same id, another birth is another
    /// incarnation, which holds nothing of what was sent before.
    #[serde(default)]
    pub born_ms: Option<u64>,
    /// The directory's revision at which its entry was created. Of several entries with one
    /// address, the youngest names who is there. One that was found has that of the entry it
    /// stands for.
    #[serde(default)]
    pub listed_at: u64,
}

impl Upstream {
    /// Whether both name the same incarnation at the same place.
    pub fn is_same_life(&self, other: &Upstream) -> bool {
        let is_reborn = matches!((self.born_ms, other.born_ms), (Some(a), Some(b)) if a != b);
        self.id == other.id && self.addr == other.addr && !is_reborn
    }
}

/// An incarnation of an upstream that said that it leaves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Departure {
    /// The upstream.
    pub upstream: Arc<str>,
    /// When its process started, as far as that is listed.
    pub born_ms: Option<u64>,
}

impl Departure {
    /// That of an upstream.
    pub fn of(upstream: &Upstream) -> Departure {
        Departure { upstream: Arc::clone(&upstream.id), born_ms: upstream.born_ms }
    }
}

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

/// All upstreams, with the directory's revision that they were read at.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fleet {
    /// The newest revision taken in.
    pub revision: u64,
    /// All upstreams by id.
    pub upstreams: BTreeMap<Arc<str>, Upstream>,
    /// Entries that lapsed around an outage, with the time at which they count as gone.
    #[serde(skip)]
    lapsed: BTreeMap<Arc<str>, u64>,
    /// The revision at which each upstream last changed or went.
    #[serde(skip)]
    changed: BTreeMap<Arc<str>, u64>,
    /// From which revision on all changes are in `changed`.
    #[serde(skip)]
    changed_from: u64,
    /// Until when a lapse may be the outage's doing.
    #[serde(skip)]
    settling_until_ms: u64,
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

impl Fleet {
    /// What changed after a revision.
    pub fn since(&self, revision: u64) -> Delta {
        let is_whole = revision < self.changed_from || revision == 0;
        let is_asked = |id: &Arc<str>| {
            is_whole || self.changed.get(id).is_some_and(|changed| *changed > revision)
        };
        let upstreams = self.upstreams.values().filter(|upstream| is_asked(&upstream.id));
        let gone = self.changed.keys().filter(|id| !self.upstreams.contains_key(*id));
        Delta {
            revision: self.revision,
            is_whole,
            upstreams: upstreams.cloned().collect(),
            gone: gone.filter(|id| !is_whole && is_asked(id)).cloned().collect(),
            lapsed: self.lapsed.keys().cloned().collect(),
        }
    }

    /// Takes in what another instance tells; something older changes nothing.
    pub fn take(&mut self, delta: Delta, now_ms: u64) -> bool {
        if delta.revision < self.revision {
            return false;
        }
        if delta.is_whole {
            self.replace(delta.revision, delta.upstreams, &[], now_ms);
        } else {
            let put = delta.upstreams.into_iter().map(Change::Put);
            let gone = delta.gone.into_iter().map(Change::Gone);
            self.apply(delta.revision, put.chain(gone).collect(), now_ms);
        }
        for id in delta.lapsed {
            if self.upstreams.contains_key(&id) {
                self.lapsed.entry(id).or_insert(now_ms + RETURN_MS);
            }
        }
        true
    }

    fn note_change(&mut self, id: &Arc<str>) {
        self.changed.insert(Arc::clone(id), self.revision);
        if self.changed.len() <= self.upstreams.len() + REMEMBERED {
            return;
        }
        let gone = self.changed.iter().filter(|(id, _)| !self.upstreams.contains_key(*id));
        let oldest = gone.min_by_key(|(_, revision)| **revision);
        let Some((id, revision)) = oldest.map(|(id, revision)| (Arc::clone(id), *revision)) else {
            return;
        };
        self.changed.remove(&id);
        self.changed_from = self.changed_from.max(revision);
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
        self.revision = revision;
        let mut listed: BTreeMap<Arc<str>, Upstream> =
            listed.into_iter().map(|upstream| (Arc::clone(&upstream.id), upstream)).collect();
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
        if before.is_empty() {
            self.changed_from = revision;
        }
        let now = self.upstreams.values();
        let put = now.filter(|upstream| before.get(&upstream.id) != Some(*upstream));
        let put: Vec<Arc<str>> = put.map(|upstream| Arc::clone(&upstream.id)).collect();
        for id in &put {
            self.lapsed.remove(id);
            self.note_change(id);
        }
        for id in before
            .keys()
            .filter(|id| !self.upstreams.contains_key(*id))
            .cloned()
            .collect::<Vec<_>>()
        {
            self.note_change(&id);
        }
        true
    }

    /// Takes in the changes up to `revision`.
    pub fn apply(&mut self, revision: u64, changes: Vec<Change>, now_ms: u64) {
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        for change in changes {
            match change {
                Change::Put(upstream) => {
                    let id = Arc::clone(&upstream.id);
                    self.lapsed.remove(&id);
                    self.upstreams.insert(Arc::clone(&id), upstream);
                    self.note_change(&id);
                }
                Change::Foreign(id) => {
                    self.lapsed.remove(&id);
                    if self.upstreams.remove(&id).is_some() {
                        self.note_change(&id);
                    }
                }
                Change::Gone(id) => match self.grace(&id, now_ms) {
                    Some(until_ms) => {
                        self.lapsed.insert(id, until_ms);
                    }
                    None => {
                        self.upstreams.remove(&id);
                        self.note_change(&id);
                    }
                },
            }
        }
    }

    /// Drops the entries whose time to come back is over; tells whether any was.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let over = self.lapsed.iter().filter(|(_, until_ms)| **until_ms <= now_ms);
        let over: Vec<Arc<str>> = over.map(|(id, _)| Arc::clone(id)).collect();
        for id in &over {
            self.lapsed.remove(id);
            self.upstreams.remove(id);
            self.note_change(id);
        }
        !over.is_empty()
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
