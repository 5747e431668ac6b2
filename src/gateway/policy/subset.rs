//! Which upstreams an instance holds, where a service has too many for all instances to hold them all:
//! pure steps.
//!
//! A hash of the two names says whether an instance holds an upstream, so whoever knows all upstreams
//! knows who holds which, without asking and without a table. The parts are nested: an instance that
//! needs more halves its share one time less and keeps what it has. Published ways of subsetting
//! (Beyer et al.: "Site Reliability Engineering", O'Reilly 2016, chapter 20) deal upstreams out in rounds,
//! which needs numbers of all instances; a hash needs none, and moves nothing when others come or go. See
//! [docs/design/whole-fleet.md](../../../docs/design/whole-fleet.md).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Instances that hold an upstream at the least, on average: fewer might all be lost, or leave it idle.
const LEAST_HOLDERS: usize = 16;
/// Upstreams of a large service that an instance holds at the least. With so many, its choice is as good
/// as among all: hundreds of times the requests that one instance has at once, in all failure domains.
const LEAST_HELD: usize = 256;
/// A service is large from so many upstreams on.
const LARGE: usize = 2 * LEAST_HELD;
/// A large one is so until it has fewer than this, so that a few that come and go change nothing.
const STILL_LARGE: usize = LARGE - LARGE / 4;

/// The part of the large services that an instance holds, as how often it is halved.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Share(u8);

impl Share {
    /// Everything.
    pub const ALL: Share = Share(0);

    /// The share of a service of so many upstreams that still has enough of them, and leaves each with
    /// enough of so many instances.
    pub fn of(upstreams: usize, instances: usize) -> Share {
        let halvings = |wanted: usize| wanted.max(1).ilog2() as u8;
        Share(halvings(upstreams / LEAST_HELD).min(halvings(instances / LEAST_HOLDERS)))
    }

    /// Reads a share as a number of halvings.
    pub fn from_halvings(halvings: u8) -> Share {
        Share(halvings.min(63))
    }

    /// How often it is halved.
    pub fn halvings(self) -> u8 {
        self.0
    }

    /// Whether it is everything.
    pub fn is_all(self) -> bool {
        self == Share::ALL
    }

    /// Twice as much.
    pub fn wider(self) -> Share {
        Share(self.0.saturating_sub(1))
    }

    /// Half as much.
    pub fn narrower(self) -> Share {
        Share::from_halvings(self.0 + 1)
    }

    /// How many of so many instances hold an upstream, if their shares are like this one.
    pub fn holders(self, instances: u32) -> u32 {
        instances.checked_shr(u32::from(self.0)).unwrap_or(0).max(1)
    }
}

/// An instance that holds upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    seed: u64,
}

impl Holder {
    /// The instance of a name.
    pub fn new(instance: &str) -> Holder {
        Holder { seed: xxh3_64(instance.as_bytes()) }
    }

    /// Whether an upstream of a large service is in a share of it.
    pub fn holds(self, upstream: &str, share: Share) -> bool {
        let hash = xxh3_64_with_seed(upstream.as_bytes(), self.seed);
        share.is_all() || hash >> (64 - u32::from(share.0)) == 0
    }
}

/// The services that are too large to be held whole, given those that were.
pub fn large<'a>(
    services: impl Iterator<Item = &'a Arc<str>>,
    before: &BTreeSet<Arc<str>>,
) -> BTreeSet<Arc<str>> {
    let counts = counts(services);
    let is_large = |service: &Arc<str>, count: usize| {
        count >= if before.contains(service) { STILL_LARGE } else { LARGE }
    };
    let large = counts.into_iter().filter(|(service, count)| is_large(service, *count));
    large.map(|(service, _)| Arc::clone(service)).collect()
}

/// The share that suits large services, of which an instance holds the upstreams named here by its own
/// share, and a number of instances.
pub fn share<'a>(held: impl Iterator<Item = &'a Arc<str>>, own: Share, instances: usize) -> Share {
    let all = counts(held).into_values().map(|held| held << own.0);
    all.map(|count| Share::of(count, instances)).min().unwrap_or(Share::ALL)
}

/// The share for an instance that starts, of large services of which these are all upstreams: in a fleet
/// that starts together nobody knows yet how many instances there are.
pub fn first_share<'a>(all: impl Iterator<Item = &'a Arc<str>>) -> Share {
    share(all, Share::ALL, usize::MAX)
}

/// Whether so few instances are left that this share leaves upstreams without any.
pub fn is_too_narrow(share: Share, instances: usize) -> bool {
    share.0 > 0 && instances >> share.0 < LEAST_HOLDERS / 2
}

fn counts<'a>(services: impl Iterator<Item = &'a Arc<str>>) -> BTreeMap<&'a Arc<str>, usize> {
    let mut counts = BTreeMap::new();
    for service in services {
        *counts.entry(service).or_insert(0) += 1;
    }
    counts
}
