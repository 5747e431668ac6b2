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

/// One life of a server of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Unique to this life; a restart has another.
    pub id: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// Where it listens; another service may have the address later.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it said that it is leaving.
    pub is_leaving: bool,
}

/// What the directory says of one upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// It is there, with these properties.
    Put(Upstream),
    /// Its entry is gone.
    Gone(Arc<str>),
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
    /// Until when a lapse may be the outage's doing.
    #[serde(skip)]
    settling_until_ms: u64,
}

impl Fleet {
    /// Notes that the directory answers again after an outage.
    pub fn regained(&mut self, now_ms: u64) {
        self.settling_until_ms = now_ms + RETURN_MS;
    }

    /// Takes in a whole list; an older one than what is known changes nothing.
    pub fn replace(&mut self, revision: u64, listed: Vec<Upstream>, now_ms: u64) -> bool {
        if revision < self.revision {
            return false;
        }
        self.revision = revision;
        let mut listed: BTreeMap<Arc<str>, Upstream> =
            listed.into_iter().map(|upstream| (Arc::clone(&upstream.id), upstream)).collect();
        let missing: Vec<Upstream> = self
            .upstreams
            .values()
            .filter(|known| !listed.contains_key(&known.id))
            .cloned()
            .collect();
        for upstream in missing {
            if let Some(until_ms) = self.grace(&upstream.id, now_ms) {
                self.lapsed.insert(Arc::clone(&upstream.id), until_ms);
                listed.insert(Arc::clone(&upstream.id), upstream);
            }
        }
        self.lapsed.retain(|id, _| listed.contains_key(id));
        for (id, upstream) in &listed {
            if self.upstreams.get(id) != Some(upstream) {
                self.lapsed.remove(id);
            }
        }
        self.upstreams = listed;
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
                    self.lapsed.remove(&upstream.id);
                    self.upstreams.insert(Arc::clone(&upstream.id), upstream);
                }
                Change::Gone(id) => match self.grace(&id, now_ms) {
                    Some(until_ms) => {
                        self.lapsed.insert(id, until_ms);
                    }
                    None => {
                        self.upstreams.remove(&id);
                    }
                },
            }
        }
    }

    /// Drops the entries whose time to come back is over; tells whether any was.
    pub fn expire(&mut self, now_ms: u64) -> bool {
        let before = self.lapsed.len();
        let upstreams = &mut self.upstreams;
        self.lapsed.retain(|id, until_ms| {
            let is_kept = *until_ms > now_ms;
            if !is_kept {
                upstreams.remove(id);
            }
            is_kept
        });
        before != self.lapsed.len()
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
