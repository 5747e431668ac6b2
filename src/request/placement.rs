//! Chooses the upstream for a request.
//!
//! Load reports lag, so an instance counts its own requests itself and takes only the requests of
//! others from the report. Two candidates are compared: the one that rendezvous hashing of the
//! prompt prefix gives on every instance, which makes prefix cache hits likely without an exchange
//! of cache events, and one drawn at random. The first is chosen unless its load is higher by more
//! than a cache hit saves
//! ([docs/DESIGN.md](../../docs/DESIGN.md#placement)).

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::decide::Random;

/// By how many percentage points the load of the preferred upstream may exceed the other's.
const AFFINITY_PER_CENT: u64 = 20;
/// Free slots aren't rationed while they are at least one in this many of all slots.
const PLENTY_PART: u64 = 4;
/// How many times the free slots all instances together may fill when free slots are rationed.
const OVERBOOKING: u64 = 2;
/// The length of the prompt prefix that is hashed.
const PREFIX_BYTES: usize = 1024;

/// An upstream that can serve the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its address.
    pub addr: Arc<str>,
    /// How many requests of other instances it runs, by the last load report.
    pub others: u64,
    /// How many requests it runs at once.
    pub slots: u64,
    /// How many requests of this instance it runs.
    pub in_flight: u64,
}

impl Candidate {
    fn load_per_cent(&self) -> u64 {
        (self.others + self.in_flight) * 100 / self.slots.max(1)
    }
}

/// Chooses among `candidates`, in any order; those in `avoid` only if there are no others.
pub fn choose(
    candidates: &[Candidate],
    prefix: &str,
    avoid: &[Arc<str>],
    random: &mut dyn Random,
) -> Option<Arc<str>> {
    let fresh: Vec<_> = candidates.iter().filter(|c| !avoid.contains(&c.addr)).collect();
    let pool = if fresh.is_empty() { candidates.iter().collect() } else { fresh };
    let prefix = &prefix.as_bytes()[..prefix.len().min(PREFIX_BYTES)];
    let score = |c: &&Candidate| xxh3_64_with_seed(c.addr.as_bytes(), xxh3_64_with_seed(prefix, 0));
    let preferred = pool.iter().copied().max_by_key(score)?;
    let others: Vec<_> = pool.iter().copied().filter(|c| c.addr != preferred.addr).collect();
    if others.is_empty() {
        return Some(Arc::clone(&preferred.addr));
    }
    let other = others[random.below(others.len() as u64) as usize];
    let limit = other.load_per_cent() + AFFINITY_PER_CENT;
    let chosen = if preferred.load_per_cent() > limit { other } else { preferred };
    Some(Arc::clone(&chosen.addr))
}

/// How many more requests one of `instances` may send when `free` of `slots` are free.
///
/// While many slots are free, an instance may fill all that it sees: the engines' own queues absorb
/// the rare excess. When few are free, all instances would send to the same ones, so each gets an
/// equal share of twice the free slots, rounded at random.
pub fn share(free: u64, slots: u64, instances: u64, random: &mut dyn Random) -> u64 {
    if free * PLENTY_PART >= slots || instances <= OVERBOOKING {
        return free;
    }
    let parts = free * OVERBOOKING;
    parts / instances + u64::from(random.below(instances) < parts % instances)
}
