//! Which instances ask the directory for changes, how often, and which register there: pure steps.
//!
//! Each call to the directory is counted and paid for, so the calls of the whole fleet must not grow
//! with its size or its failure domains. A few instances, ranked by a hash of their ids, hear of
//! changes themselves and tell the others. See [docs/DESIGN.md](../../../docs/DESIGN.md).

use xxhash_rust::xxh3::xxh3_64;

/// Instances that watch the directory. It may turn a third of the instances away at once; of four,
/// all are among them once in eighty times, and the next in rank then take over.
const WATCHERS: usize = 4;
/// Instances that are registered, for those that start when no seed answers. Their leases outlast
/// a restart of the whole fleet, and any one that still runs introduces all others.
const REGISTERED: usize = 4;
/// How long the first watch waits. A directory that was down may have forgotten a watch without a
/// word, and an operator's change should be in force within two seconds of a calm directory.
const WATCH_MS: u64 = 2_000;
/// How long changes gather before the first watcher asks again: an engine's crash brings a burst of
/// them, and the bounds for taking on a change are seconds.
const GATHER_MS: u64 = 400;

/// An instance's place in the order of the fleet: as good as random, and the same for all.
pub fn rank(id: &str) -> u64 {
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
    /// Counts the others that hear from the directory, by id.
    pub fn of<'a>(me: &str, others: impl Iterator<Item = &'a str>) -> Turn {
        let mut turn = Turn::default();
        for other in others {
            turn.others += 1;
            turn.before += usize::from(rank(other) < rank(me));
        }
        turn
    }

    /// How much longer an instance waits before it tries again, where the directory answers nobody:
    /// the first in rank among all that live try at their usual pace and tell the others, who try
    /// as well, since those may be turned away alone.
    pub fn patience(rank: usize) -> u64 {
        (rank / WATCHERS) as u64 + 1
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

/// Whether a watcher asks at once if the directory still answers, since fewer others hear from it than
/// before: one of the last few may have lost it. More of them are instances that start, and leave the
/// watch to others one by one; if each made all others ask, a start would cost the square of the fleet.
pub fn doubts(others_before: usize, others: usize) -> bool {
    others < others_before && others < WATCHERS
}

/// Whether an instance registers, among all others that live.
pub fn registers<'a>(me: &str, others: impl Iterator<Item = &'a str>) -> bool {
    others.filter(|other| rank(other) < rank(me)).count() < REGISTERED
}
