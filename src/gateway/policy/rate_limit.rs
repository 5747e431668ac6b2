//! Token buckets by which all instances together keep to the rate limit of an upstream. Pure types
//! and steps without I/O.
//!
//! One instance, the same in the view of all, owns the token bucket of an upstream that limits its
//! rate, and the others request a permit from it before each request. Fixed shares per instance
//! would either go unused or, with hundreds of instances, add up to a burst. See
//! [docs/DESIGN.md](../../../docs/DESIGN.md).

use std::collections::BTreeMap;
use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::super::rate::{Permit, Rate};

/// Capacity of a bucket, in seconds of its rate; at least one request.
const BURST_S: f64 = 0.25;
/// Minimum rate: only a response shows that a limit has been lifted, so a request must still pass
/// now and then.
const MIN_RATE_PER_S: f64 = 0.1;
/// How long the lowest rate known to requesters takes precedence: some have not received a lower
/// rate yet.
const LOWEST_RATE_KEPT_MS: u64 = 1_000;
/// Maximum wait in an answer: the limit may change while the requester waits.
const MAX_WAIT_MS: u64 = 2_000;
/// How long a bucket is kept after the last request.
const IDLE_BUCKET_KEPT_MS: u64 = 60_000;
/// Minimum time since its start before an instance grants permits: one that has just started may
/// not know of any other instance.
const MIN_UPTIME_MS: u64 = 1_500;

/// Returns the instance that owns an upstream's bucket: the highest by rendezvous hashing, so that
/// only the buckets of an instance that comes or goes change owners.
pub fn bucket_owner<'a>(
    upstream: &str,
    instances: impl Iterator<Item = &'a Arc<str>>,
) -> Option<&'a Arc<str>> {
    let seed = xxh3_64(upstream.as_bytes());
    instances.max_by_key(|id| xxh3_64_with_seed(id.as_bytes(), seed))
}

/// How many instances this one considers alive. Those that stopped responding a moment ago may
/// still run beyond a network partition, where another owner grants permits at the same rate.
#[derive(Debug, Clone, Copy)]
pub struct Liveness {
    /// Instances that are alive, including this one.
    pub alive: usize,
    /// Other instances that stopped responding recently.
    pub silent: usize,
}

impl Liveness {
    fn alive_fraction(self) -> f64 {
        self.alive as f64 / (self.alive + self.silent).max(1) as f64
    }
}

/// The buckets that this instance owns.
#[derive(Debug, Default)]
pub struct Limiter {
    buckets: BTreeMap<Arc<str>, Bucket>,
}

impl Limiter {
    /// Answers a request for a permit to send to an upstream, given the rate limit that the
    /// requester knows.
    pub fn request_permit(
        &mut self,
        upstream: &Arc<str>,
        rate: Rate,
        liveness: Liveness,
        now_ms: u64,
    ) -> Permit {
        if now_ms < MIN_UPTIME_MS {
            return Permit::Wait { after_ms: MIN_UPTIME_MS - now_ms };
        }
        self.buckets.retain(|_, bucket| bucket.refilled_ms + IDLE_BUCKET_KEPT_MS > now_ms);
        let bucket = self.buckets.entry(Arc::clone(upstream));
        let bucket = bucket.or_insert_with(|| Bucket::empty(rate, now_ms));
        bucket.note_rate(rate, now_ms);
        bucket.take(liveness.alive_fraction(), now_ms)
    }
}

#[derive(Debug)]
struct Bucket {
    rate: Rate,
    /// When a requester last reported this rate.
    rate_reported_ms: u64,
    tokens: f64,
    refilled_ms: u64,
    /// Time of the last turn that was assigned to a requester.
    last_turn_ms: u64,
}

impl Bucket {
    /// Creates an empty bucket: its previous owner may just have granted a burst.
    fn empty(rate: Rate, now_ms: u64) -> Bucket {
        Bucket {
            rate,
            rate_reported_ms: now_ms,
            tokens: 0.0,
            refilled_ms: now_ms,
            last_turn_ms: now_ms,
        }
    }

    fn note_rate(&mut self, rate: Rate, now_ms: u64) {
        if rate <= self.rate || self.rate_reported_ms + LOWEST_RATE_KEPT_MS <= now_ms {
            self.rate = rate;
            self.rate_reported_ms = now_ms;
        }
    }

    fn take(&mut self, alive_fraction: f64, now_ms: u64) -> Permit {
        let per_s = (self.rate.as_per_s() * alive_fraction).max(MIN_RATE_PER_S);
        let per_ms = per_s / 1_000.0;
        let capacity = (per_s * BURST_S).max(1.0);
        let since_ms = now_ms.saturating_sub(self.refilled_ms);
        self.tokens = (self.tokens + per_ms * since_ms as f64).min(capacity);
        self.refilled_ms = now_ms;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Permit::Granted;
        }
        let next_ms = now_ms + ((1.0 - self.tokens) / per_ms) as u64;
        let turn_ms = next_ms.max(self.last_turn_ms + (1.0 / per_ms) as u64);
        self.last_turn_ms = turn_ms.min(now_ms + MAX_WAIT_MS);
        Permit::Wait { after_ms: (self.last_turn_ms - now_ms).max(1) }
    }
}
