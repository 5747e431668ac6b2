//! The table of entry instances, agreed in the platform's store.
//!
//! The table determines which three instances hold the record of a key. It changes only by
//! compare-and-swap in the store, and each change raises its epoch. It includes the earlier tables,
//! so that a new holder knows which instances to ask for older records
//! ([docs/DESIGN.md](../../docs/DESIGN.md#claims)).

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::control::bounds;

/// How many instances hold the record of a key, in different failure domains where possible.
pub const HOLDERS: usize = 3;
/// The number of slots that keys hash to; all keys of a slot have the same holders. Far more than
/// there are instances, so that slots spread evenly, and few enough to scan at each change.
pub const SLOTS: u16 = 1024;
/// How many earlier changes a table includes.
const HISTORY: usize = 64;

/// One entry instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The name from its settings.
    pub id: Arc<str>,
    /// A random number drawn at each start, so that a restart is recognised.
    pub incarnation: u64,
    /// The address for callers and peers, as `IP:PORT`.
    pub addr: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
}

impl Member {
    /// Whether both are the same incarnation of the same instance.
    pub fn is_same(&self, other: &Member) -> bool {
        self.id == other.id && self.incarnation == other.incarnation
    }
}

/// The members of one epoch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Grows with each change.
    #[serde(deserialize_with = "bounds::version")]
    pub epoch: u64,
    /// Sorted by id.
    pub members: Vec<Member>,
}

impl Roster {
    /// The holders of `key`, by descending score.
    pub fn holders(&self, key: &str) -> Vec<&Member> {
        self.slot_holders(slot_of(key))
    }

    /// The holders of all keys of a slot: one per failure domain while there are enough domains.
    ///
    /// Every instance computes the same list from the same roster (rendezvous hashing), and a
    /// change of one member moves only the slots that it held or now holds.
    pub fn slot_holders(&self, slot: u16) -> Vec<&Member> {
        let mut chosen: Vec<Ranked<'_>> = Vec::with_capacity(HOLDERS + 1);
        for member in &self.members {
            let ranked = Ranked { score: score(slot, &member.id), member };
            let rival = chosen.iter().position(|other| other.member.domain == member.domain);
            match rival {
                Some(at) if chosen[at].score < ranked.score => chosen[at] = ranked,
                Some(_) => {}
                None => chosen.push(ranked),
            }
            chosen.sort_unstable_by_key(|ranked| std::cmp::Reverse(ranked.score));
            chosen.truncate(HOLDERS);
        }
        if chosen.len() < HOLDERS {
            self.fill(slot, &mut chosen);
        }
        chosen.into_iter().map(|ranked| ranked.member).collect()
    }

    /// Adds the other members with the highest scores, of any domain.
    fn fill<'a>(&'a self, slot: u16, chosen: &mut Vec<Ranked<'a>>) {
        let is_chosen = |member: &&Member| chosen.iter().any(|other| other.member.id == member.id);
        let others = self.members.iter().filter(|member| !is_chosen(member));
        let mut others: Vec<_> =
            others.map(|member| Ranked { score: score(slot, &member.id), member }).collect();
        others.sort_unstable_by_key(|ranked| std::cmp::Reverse(ranked.score));
        let missing = HOLDERS - chosen.len();
        chosen.extend(others.into_iter().take(missing));
    }

    /// Whether this incarnation of an instance holds a slot.
    pub fn holds(&self, member: &Member, slot: u16) -> bool {
        self.slot_holders(slot).iter().any(|holder| holder.is_same(member))
    }

    /// The member with this id.
    pub fn member(&self, id: &str) -> Option<&Member> {
        self.members.iter().find(|member| &*member.id == id)
    }

    /// Whether this incarnation of an instance is a member.
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

/// The size of a majority of `holders`.
pub fn quorum(holders: usize) -> usize {
    holders / 2 + 1
}

/// The slot that a key belongs to.
pub fn slot_of(key: &str) -> u16 {
    (xxh3_64(key.as_bytes()) % u64::from(SLOTS)) as u16
}

/// A member with its score for one slot.
struct Ranked<'a> {
    score: u64,
    member: &'a Member,
}

fn score(slot: u16, id: &str) -> u64 {
    xxh3_64_with_seed(id.as_bytes(), u64::from(slot))
}

/// One change of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Members that joined.
    pub joined: Vec<Member>,
    /// Members that left.
    pub left: Vec<Member>,
}

/// The current roster and the changes that led to it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The current members.
    pub roster: Roster,
    /// The changes that led to it, newest first, one per epoch.
    pub changes: Vec<Change>,
}

impl Table {
    /// The current epoch.
    pub fn epoch(&self) -> u64 {
        self.roster.epoch
    }

    /// The next table, with `member` added or replacing its earlier incarnation.
    pub fn with(&self, member: Member) -> Table {
        let is_earlier = |other: &&Member| other.id == member.id;
        let left = self.roster.members.iter().filter(is_earlier).cloned().collect();
        self.next(Change { joined: vec![member], left })
    }

    /// The next table, without `leaving`.
    pub fn without(&self, leaving: &[Member]) -> Table {
        self.next(Change { joined: Vec::new(), left: leaving.to_vec() })
    }

    fn next(&self, change: Change) -> Table {
        let members = replace(&self.roster.members, &change.left, &change.joined);
        let mut changes = self.changes.clone();
        changes.insert(0, change);
        changes.truncate(HISTORY);
        Table { roster: Roster { epoch: self.epoch() + 1, members }, changes }
    }

    /// The earlier rosters, newest first, as far as the table includes them.
    pub fn earlier(&self) -> impl Iterator<Item = Roster> {
        let mut roster = self.roster.clone();
        self.changes.iter().map(move |change| {
            let members = replace(&roster.members, &change.joined, &change.left);
            roster = Roster { epoch: roster.epoch.saturating_sub(1), members };
            roster.clone()
        })
    }
}

/// `members` without `gone` and with `come`, sorted by id.
fn replace(members: &[Member], gone: &[Member], come: &[Member]) -> Vec<Member> {
    let is_gone = |member: &&Member| gone.iter().any(|other| other.is_same(member));
    let mut members: Vec<_> = members.iter().filter(|m| !is_gone(m)).cloned().collect();
    members.extend_from_slice(come);
    members.sort_by(|one, other| one.id.cmp(&other.id));
    members
}
