//! Which upstream takes a request.
//!
//! Reported load lags, so what runs from here is counted here, and the report tells only what
//! others run. Of two
//! candidates, one is the upstream that every instance prefers for this prompt prefix, which
//! makes cache hits likely without any exchange of cache events; the other is drawn at random.
//! The preferred one loses its preference when it is busier by more than a hit is worth
//! ([docs/DESIGN.md](../../docs/DESIGN.md#placement)).

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::decide::Random;

/// How many per cent more load a likely cache hit is worth.
const AFFINITY_PER_CENT: u64 = 20;
/// One part in this many free slots is plenty.
const PLENTY_PART: u64 = 4;
/// How many times the free slots all instances may send in sum when little is free.
const OVERBOOKING: u64 = 2;
/// How much of a prompt decides the preferred upstream.
const PREFIX_BYTES: usize = 1024;

/// An upstream that could take the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its address.
    pub addr: Arc<str>,
    /// What others run there, as far as the last report tells.
    pub others: u64,
    /// How many it runs at once.
    pub slots: u64,
    /// What runs there from here.
    pub in_flight: u64,
}

impl Candidate {
    fn load_per_cent(&self) -> u64 {
        (self.others + self.in_flight) * 100 / self.slots.max(1)
    }
}

/// Chooses among `candidates`, whose order doesn't matter, avoiding those in `avoid` if it can.
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
/// While there is plenty, an instance may fill what it sees: the engines' own queues take the rare
/// excess. When little is free, all instances that see the same free slots would send to them, so
/// each takes a share that makes twice the free slots in sum, rounded at random.
pub fn share(free: u64, slots: u64, instances: u64, random: &mut dyn Random) -> u64 {
    if free * PLENTY_PART >= slots || instances <= OVERBOOKING {
        return free;
    }
    let parts = free * OVERBOOKING;
    parts / instances + u64::from(random.below(instances) < parts % instances)
}
