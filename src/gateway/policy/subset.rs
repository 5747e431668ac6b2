//! Selects which upstreams each instance holds, for services that have too many upstreams for every
//! instance to hold all of them. Pure functions.
//!
//! A hash of the instance's and the upstream's names decides, so that an instance that knows all
//! upstreams knows which others hold them, without asking and without a table. Subsets are nested:
//! an instance that needs more halves its share one time less and keeps what it has. Published
//! subsetting algorithms (Beyer et al.: "Site Reliability Engineering", O'Reilly 2016, chapter 20)
//! deal out upstreams in rounds, which requires numbered instances; a hash doesn't, and moves
//! nothing when other instances come or go. See [docs/design/whole-fleet.md](../../../docs/design/whole-fleet.md).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Minimum number of instances that hold an upstream, on average: with fewer, all of them might be
/// lost, or leave it idle.
const MIN_HOLDERS: usize = 16;
/// Number of such instances below which they hold more, so that a few that come and go change
/// nothing.
const MIN_STILL_HOLDERS: usize = MIN_HOLDERS / 2;
/// Minimum number of upstreams of a large service that an instance holds. With so many, load
/// balancing is as good as over all upstreams: they are hundreds of times as many as the requests
/// that one instance has at once, and are in all failure domains.
const MIN_HELD_UPSTREAMS: usize = 256;
/// Number of upstreams from which a service is large.
const MIN_LARGE_UPSTREAMS: usize = 2 * MIN_HELD_UPSTREAMS;
/// A large service stays large until it has fewer upstreams than this, so that a few that come and
/// go change nothing.
const MIN_STILL_LARGE_UPSTREAMS: usize = MIN_LARGE_UPSTREAMS - MIN_LARGE_UPSTREAMS / 4;

/// The fraction of the large services' upstreams that an instance holds, as the number of times
/// that the whole is halved.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Share(u8);

impl Share {
    /// All upstreams.
    pub const ALL: Share = Share(0);

    /// Returns the smallest share of a service with so many upstreams that still leaves the
    /// instance enough of the upstreams, and each upstream enough of the instances.
    pub fn of(upstreams: usize, instances: usize) -> Share {
        let halvings = |wanted: usize| wanted.max(1).ilog2() as u8;
        Share(halvings(upstreams / MIN_HELD_UPSTREAMS).min(halvings(instances / MIN_HOLDERS)))
    }

    /// Creates a share from a number of halvings.
    pub fn from_halvings(halvings: u8) -> Share {
        Share(halvings.min(63))
    }

    /// Returns how often the whole is halved.
    pub fn halvings(self) -> u8 {
        self.0
    }

    /// Returns whether this is the whole.
    pub fn is_all(self) -> bool {
        self == Share::ALL
    }

    /// Returns twice this share, and at most the whole.
    pub fn wider(self) -> Share {
        Share(self.0.saturating_sub(1))
    }

    /// Returns half of this share.
    pub fn narrower(self) -> Share {
        Share::from_halvings(self.0 + 1)
    }

    /// Returns how many of `instances` hold an upstream on average if all have this share; at least
    /// 1.
    pub fn holders(self, instances: u32) -> u32 {
        instances.checked_shr(u32::from(self.0)).unwrap_or(0).max(1)
    }
}

/// Decides which upstreams of large services an instance holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceSubset {
    seed: u64,
}

impl InstanceSubset {
    /// Returns the subset of an instance, given its id.
    pub fn new(instance: &str) -> InstanceSubset {
        InstanceSubset { seed: xxh3_64(instance.as_bytes()) }
    }

    /// Returns whether the instance holds an upstream of a large service with this share.
    pub fn holds(self, upstream: &str, share: Share) -> bool {
        let hash = xxh3_64_with_seed(upstream.as_bytes(), self.seed);
        share.is_all() || hash >> (64 - u32::from(share.0)) == 0
    }
}

/// Returns the services that are too large for every instance to hold whole, given those that were
/// before.
pub fn large_services<'a>(
    services: impl Iterator<Item = &'a Arc<str>>,
    previously_large: &BTreeSet<Arc<str>>,
) -> BTreeSet<Arc<str>> {
    let counts = count_by_service(services);
    let is_large = |service: &Arc<str>, count: usize| {
        count
            >= if previously_large.contains(service) {
                MIN_STILL_LARGE_UPSTREAMS
            } else {
                MIN_LARGE_UPSTREAMS
            }
    };
    let large = counts.into_iter().filter(|(service, count)| is_large(service, *count));
    large.map(|(service, _)| Arc::clone(service)).collect()
}

/// Returns the share that suits the large services and a number of instances. `held` yields the
/// service of each upstream of a large service that this instance holds by its `own` share.
pub fn suitable_share<'a>(
    held: impl Iterator<Item = &'a Arc<str>>,
    own: Share,
    instances: usize,
) -> Share {
    let all = count_by_service(held).into_values().map(|held| held << own.0);
    all.map(|count| Share::of(count, instances)).min().unwrap_or(Share::ALL)
}

/// Returns the share for an instance that starts, given the number of instances that the sender of
/// the list knows. `all` yields the service of each upstream of the large services. The share is the
/// narrowest that needn't be widened at once. A sender that knows few instances has just started
/// itself, as in a fleet that starts together, and many are assumed.
pub fn initial_share<'a>(all: impl Iterator<Item = &'a Arc<str>>, instances: usize) -> Share {
    let narrowest = suitable_share(all, Share::ALL, usize::MAX);
    if instances < MIN_HOLDERS { narrowest } else { widened(narrowest, instances) }
}

/// Returns whether so few instances are left that this share leaves upstreams without any instance.
pub fn is_too_narrow(share: Share, instances: usize) -> bool {
    share.0 > 0 && instances >> share.0 < MIN_STILL_HOLDERS
}

/// Returns the narrowest share, at least as wide as this one, that is not too narrow.
pub fn widened(share: Share, instances: usize) -> Share {
    let mut share = share;
    while is_too_narrow(share, instances) {
        share = share.wider();
    }
    share
}

fn count_by_service<'a>(
    services: impl Iterator<Item = &'a Arc<str>>,
) -> BTreeMap<&'a Arc<str>, usize> {
    let mut counts = BTreeMap::new();
    for service in services {
        *counts.entry(service).or_insert(0) += 1;
    }
    counts
}
