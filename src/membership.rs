//! The table of entry instances, agreed in the platform's store.
//!
//! The table says which three instances hold the record of a key. It changes only by
//! compare-and-swap in the store and every change raises its epoch; the tables before it travel
//! with it, so that a new holder knows whom to ask for older records
//! ([docs/DESIGN.md](../docs/DESIGN.md#claims)).

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How many instances hold the record of a key, in as many failure domains as there are.
pub const HOLDERS: usize = 3;
/// How many earlier tables travel with the newest one.
const PAST_TABLES: usize = 24;

/// One entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name from its settings.
    pub id: Arc<str>,
    /// Drawn anew at each start, so that a restarted instance is never taken for the old one.
    pub incarnation: u64,
    /// Where callers and peers reach it, as `IP:PORT`.
    pub addr: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
}

impl Member {
    /// Whether both are the same start of the same instance.
    pub fn is_same(&self, other: &Member) -> bool {
        self.id == other.id && self.incarnation == other.incarnation
    }
}

/// The members of one epoch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Grows with each change.
    pub epoch: u64,
    /// Sorted by id.
    pub members: Vec<Member>,
}

impl Roster {
    /// The holders of `key`, best first: one per failure domain while there are enough domains.
    ///
    /// Every instance computes the same list from the same roster (rendezvous hashing).
    pub fn holders(&self, key: &str) -> Vec<&Member> {
        let mut ranked: Vec<_> = self.members.iter().collect();
        ranked.sort_by_cached_key(|member| std::cmp::Reverse(score(key, &member.id)));
        let mut chosen: Vec<&Member> = Vec::with_capacity(HOLDERS);
        for member in &ranked {
            if chosen.len() < HOLDERS && chosen.iter().all(|other| other.domain != member.domain) {
                chosen.push(member);
            }
        }
        for member in ranked {
            if chosen.len() < HOLDERS && !chosen.iter().any(|other| other.id == member.id) {
                chosen.push(member);
            }
        }
        chosen
    }

    /// The member with this id.
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.members.iter().find(|member| &*member.id == id)
    }

    /// Whether this very start of an instance is a member.
    pub fn contains(&self, member: &Member) -> bool {
        self.member(&member.id).is_some_and(|found| found.is_same(member))
    }

    /// The members after `id` in ring order, nearest first.
    pub fn successors(&self, id: &str) -> impl Iterator<Item = &Member> {
        let at = self.members.partition_point(|member| *member.id < *id);
        let (before, after) = self.members.split_at(at);
        after.iter().chain(before).filter(move |member| *member.id != *id)
    }
}

/// How many of `holders` must agree.
pub fn quorum(holders: usize) -> usize {
    holders / 2 + 1
}

fn score(key: &str, id: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), xxh3_64_with_seed(id.as_bytes(), 0))
}

/// The newest roster and those before it, newest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The members in force.
    pub roster: Roster,
    /// The rosters before, newest first.
    pub past: Vec<Roster>,
}

impl Table {
    /// The epoch in force.
    pub fn epoch(&self) -> u64 {
        self.roster.epoch
    }

    /// The next table, with `member` added or put in the place of its earlier start.
    pub fn with(&self, member: Member) -> Table {
        let mut members = self.roster.members.clone();
        members.retain(|other| other.id != member.id);
        members.push(member);
        self.next(members)
    }

    /// The next table, without `member`.
    pub fn without(&self, member: &Member) -> Table {
        let mut members = self.roster.members.clone();
        members.retain(|other| !other.is_same(member));
        self.next(members)
    }

    fn next(&self, mut members: Vec<Member>) -> Table {
        members.sort_by(|one, other| one.id.cmp(&other.id));
        let mut past = self.past.clone();
        if self.epoch() > 0 {
            past.insert(0, self.roster.clone());
            past.truncate(PAST_TABLES);
        }
        Table { roster: Roster { epoch: self.epoch() + 1, members }, past }
    }
}
