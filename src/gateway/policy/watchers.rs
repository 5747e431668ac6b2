//! Which instances ask the directory for changes, how often, and which register there: pure steps.
//!
//! Each call to the directory is counted and paid for, so the calls of the whole fleet must not grow
//! with its size or its failure domains. A few instances, ranked by their links and a hash of their
//! ids, hear of changes themselves and tell the others. See [docs/DESIGN.md](../../../docs/DESIGN.md).

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

/// Instances that watch the directory. It may turn a third of the instances away at once; of four,
/// all are among them once in eighty times, and the next in rank then take over.
const WATCHERS: usize = 4;
/// Instances that hold all upstreams, however many there are: those that watch, and as many that take
/// over from them without reading everything anew.
const KEEPERS: usize = 2 * WATCHERS;
/// Instances that are registered, for those that start when no seed answers. Their leases outlast
/// a restart of the whole fleet, and any one that still runs introduces all others.
const REGISTERED: usize = 4;
/// How long the first watch waits. A directory that was down may have forgotten a watch without a
/// word, and an operator's change should be in force within two seconds of a calm directory.
const WATCH_MS: u64 = 2_000;
/// How long changes gather before the first watcher asks again: an engine's crash brings a burst of
/// them, and the bounds for taking on a change are seconds.
const GATHER_MS: u64 = 400;
/// How much longer each further few in rank wait before they take the directory for unread, or its
/// readers for cut off from it.
const NEXT_MS: u64 = 1_000;

/// An instance's place in the order of the fleet, the same for all: those with faster links first, since
/// many fetch from them, and otherwise as good as random.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(Reverse<u32>, u64);

/// The rank of an instance; links count by their order of magnitude.
pub fn rank(id: &str, link_mbps: u32) -> Rank {
    Rank(Reverse(link_mbps.max(1).ilog10()), ring_position(id))
}

/// An instance's place on the ring of the fleet: as good as random, and the same for all.
pub fn ring_position(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// Where an instance stands among those that hear from the directory.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Turn {
    /// Others of a lower rank that do.
    pub before: usize,
    /// All others that do.
    pub others: usize,
}

impl Turn {
    /// Counts the others that hear from the directory.
    pub fn of(me: Rank, others: impl Iterator<Item = Rank>) -> Turn {
        let mut turn = Turn::default();
        for other in others {
            turn.others += 1;
            turn.before += usize::from(other < me);
        }
        turn
    }

    /// How much longer an instance waits before it tries again, where the directory answers nobody:
    /// the first in rank among all that live try at their usual pace and tell the others, who try
    /// as well, since those may be turned away alone.
    pub fn patience(before: usize) -> u64 {
        (before / WATCHERS) as u64 + 1
    }

    /// Whether the instance should watch: few of a lower rank do, or nobody else.
    pub fn watches(self) -> bool {
        self.before < WATCHERS || self.others == 0
    }

    /// How long its watch waits. The others are told by the first in rank and notice by that when
    /// their own watch was forgotten, so they ask less often.
    pub fn wait_ms(self) -> u64 {
        WATCH_MS * (self.before as u64 + 1)
    }

    /// How long it lets changes gather before it asks again; likewise.
    pub fn gather_ms(self) -> u64 {
        GATHER_MS * (self.before as u64 + 1)
    }
}

/// Whether so many that hear from the directory are enough.
pub fn are_enough(watching: usize) -> bool {
    watching >= WATCHERS
}

/// Whether an instance may call the directory, from which too few have heard for a time: of all that live,
/// the first in rank, then some more each second. If all did at once, a start of the whole fleet would
/// make as many calls as there are instances.
pub fn may_read(before: usize, few_watch_ms: u64) -> bool {
    (before / WATCHERS) as u64 * NEXT_MS <= few_watch_ms
}

/// Whether an instance holds all upstreams, however many there are, by its rank among all that live.
pub fn keeps_all(before: usize) -> bool {
    before < KEEPERS
}

/// Whether so many come before an instance that it will hardly have to hold all upstreams soon.
pub fn is_far_behind(before: usize) -> bool {
    before >= 4 * KEEPERS
}

/// The instances that hold all upstreams, of all that live with their ranks.
pub fn keepers<T>(alive: impl Iterator<Item = (Rank, T)>) -> Vec<T> {
    first(KEEPERS, alive)
}

/// The instances that may have duties that one instance at a time has, of all that live with their ranks.
pub fn duty_candidates<T>(alive: impl Iterator<Item = (Rank, T)>) -> Vec<T> {
    first(WATCHERS, alive)
}

/// Whether an instance may have duties that one instance at a time has, by its rank among all that live.
pub fn may_hold(before: usize) -> bool {
    before < WATCHERS
}

/// The first few in rank.
pub(super) fn first<T>(most: usize, ranked: impl Iterator<Item = (Rank, T)>) -> Vec<T> {
    let mut ranked: Vec<(Rank, T)> = ranked.collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    ranked.into_iter().take(most).map(|(_, instance)| instance).collect()
}

/// Whether a watcher asks at once if the directory still answers, since fewer others hear from it than
/// before: one of the last few may have lost it. More of them are instances that start, and leave the
/// watch to others one by one; if each made all others ask, a start would cost the square of the fleet.
pub fn doubts(others_before: usize, others: usize) -> bool {
    others < others_before && others < WATCHERS
}

/// Whether an instance registers, among all others that live.
pub fn registers(me: Rank, others: impl Iterator<Item = Rank>) -> bool {
    others.filter(|other| *other < me).count() < REGISTERED
}
