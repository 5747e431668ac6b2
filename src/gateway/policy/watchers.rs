//! Decides which instances watch the directory for changes, how often they poll it, and which
//! instances register there. Pure functions.
//!
//! Each call to the directory is counted and billed, so the number of calls must not grow with the
//! size of the fleet or the number of its failure domains. A few instances, ranked by the speed of
//! their links and a hash of their ids, watch the directory and send the changes to the others. See
//! [docs/DESIGN.md](../../../docs/DESIGN.md).

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64;

use super::stream_versions;

/// Number of instances that watch the directory. The directory may reject a third of all instances
/// at once; it rejects all four watchers once in eighty times, and the next in rank then take over.
const WATCHERS: usize = 4;
/// Number of instances that hold all upstreams, however many there are: the watchers, and as many
/// that can take over from them without reading everything again.
const FULL_HOLDERS: usize = 2 * WATCHERS;
/// Maximum number of registered instances, for those that start while no seed responds. The leases
/// of registrations outlast a restart of the whole fleet, and any one registered instance that
/// still runs introduces all others.
const MAX_REGISTERED: usize = 4;
/// Timeout of the first watcher's long poll. A directory that was down may have dropped a watch
/// without notice, and an operator's change should take effect within two seconds while the
/// directory is healthy.
const WATCH_TIMEOUT_MS: u64 = 2_000;
/// How long the first watcher collects changes before it polls again: an engine's crash brings a
/// burst of them, and changes may take seconds to take effect.
const BATCH_DELAY_MS: u64 = 400;
/// How much longer each further group of [`WATCHERS`] instances in rank waits before it concludes
/// that nobody reads the directory, or that those who do are cut off from it.
const RANK_DELAY_MS: u64 = 1_000;

/// Rank of an instance in the fleet, which is the same in the view of all. Instances with faster
/// links come first, since many others fetch from them; apart from that, the order is
/// pseudo-random.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(Reverse<u32>, u64);

/// Returns the rank of an instance; link speeds are compared by order of magnitude.
pub fn rank(id: &str, link_mbps: u32) -> Rank {
    Rank(Reverse(link_mbps.max(1).ilog10()), ring_position(id))
}

/// Returns the position of an instance on the hash ring of the fleet: pseudo-random, and the same
/// in the view of all.
pub fn ring_position(id: &str) -> u64 {
    xxh3_64(id.as_bytes())
}

/// Position of an instance among those that read the directory themselves.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WatchPosition {
    /// Number of others that read it and are ahead in rank.
    pub ahead: usize,
    /// Number of all others that read it.
    pub others: usize,
}

impl WatchPosition {
    /// Counts the others that read the directory.
    pub fn of(me: Rank, others: impl Iterator<Item = Rank>) -> WatchPosition {
        let mut position = WatchPosition::default();
        for other in others {
            position.others += 1;
            position.ahead += usize::from(other < me);
        }
        position
    }

    /// Returns the factor by which an instance extends its retry interval while the directory
    /// responds to nobody. The first in rank of all live instances retry at the normal interval and
    /// inform the others, who retry as well, since the first ones alone may be rejected.
    pub fn backoff_factor(ahead: usize) -> u64 {
        (ahead / WATCHERS) as u64 + 1
    }

    /// Returns whether the instance should watch: few others are ahead in rank, or nobody else
    /// reads the directory.
    pub fn is_watcher(self) -> bool {
        self.ahead < WATCHERS || self.others == 0
    }

    /// Returns the timeout of the instance's long poll. Watchers after the first receive changes
    /// from it, notice in this way that their own watch was dropped, and so poll less often.
    pub fn wait_ms(self) -> u64 {
        WATCH_TIMEOUT_MS * (self.ahead as u64 + 1)
    }

    /// Returns how long the instance collects changes before it polls again: longer for watchers
    /// after the first, for the same reason.
    pub fn batch_delay_ms(self) -> u64 {
        BATCH_DELAY_MS * (self.ahead as u64 + 1)
    }
}

/// Returns whether so many instances that read the directory are enough.
pub fn has_enough_watchers(watching: usize) -> bool {
    watching >= WATCHERS
}

/// Returns whether an instance may call the directory, which too few instances have read for
/// `too_few_ms`. The first in rank of all live instances may do so at once, then some more each
/// second. If all did at once, a start of the whole fleet would make as many calls as there are
/// instances.
pub fn may_call_directory(ahead: usize, too_few_ms: u64) -> bool {
    (ahead / WATCHERS) as u64 * RANK_DELAY_MS <= too_few_ms
}

/// Returns whether an instance holds all upstreams, however many there are, given the number of
/// live instances ahead of it in rank.
pub fn holds_all(ahead: usize) -> bool {
    ahead < FULL_HOLDERS
}

/// Returns whether so many instances are ahead of this one in rank that it is unlikely to have to
/// hold all upstreams soon.
pub fn is_far_from_holding_all(ahead: usize) -> bool {
    ahead >= 4 * FULL_HOLDERS
}

/// Returns the instances that hold all upstreams, given all live ones with their ranks.
pub fn full_holders<T>(alive: impl Iterator<Item = (Rank, T)>) -> Vec<T> {
    first_in_rank(FULL_HOLDERS, alive)
}

/// Returns the instances that write the records of streams for all others, given all live ones with
/// their ranks.
pub fn stream_writers<T>(alive: impl Iterator<Item = (Rank, T)>) -> Vec<T> {
    first_in_rank(stream_versions::WRITERS, alive)
}

/// Returns the instances that may hold the duty lease, given all live ones with their ranks.
pub fn duty_candidates<T>(alive: impl Iterator<Item = (Rank, T)>) -> Vec<T> {
    first_in_rank(WATCHERS, alive)
}

/// Returns whether an instance may hold the duty lease, given the number of live instances ahead of
/// it in rank.
pub fn is_duty_candidate(ahead: usize) -> bool {
    ahead < WATCHERS
}

/// Returns the first few in rank.
pub(super) fn first_in_rank<T>(
    max_count: usize,
    ranked: impl Iterator<Item = (Rank, T)>,
) -> Vec<T> {
    let mut ranked: Vec<(Rank, T)> = ranked.collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    ranked.into_iter().take(max_count).map(|(_, instance)| instance).collect()
}

/// Returns whether a watcher checks at once whether the directory still responds, since fewer
/// others read it than before: one of the last few may have lost it. A drop among more of them
/// comes from instances that have started and leave the watch to others one by one. If each of
/// those made all others check, a start would make a number of calls quadratic in the size of the
/// fleet.
pub fn should_check_directory(others_before: usize, others: usize) -> bool {
    others < others_before && others < WATCHERS
}

/// Returns whether an instance should register, given all other live instances.
pub fn should_register(me: Rank, others: impl Iterator<Item = Rank>) -> bool {
    others.filter(|other| *other < me).count() < MAX_REGISTERED
}
