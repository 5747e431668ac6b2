//! The rate limits that upstreams advertised to any instance, so that the others keep to them
//! before they receive one in a response themselves. Pure bookkeeping without I/O.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::rate::{AdvertisedRate, Rate};

/// How long an advertised rate is kept. An instance that keeps to it requests permits from the
/// owner of the bucket, and learns from the upstream's next response whether the limit still
/// applies.
const RETENTION_MS: u64 = 30_000;
/// Interval after which an unchanged rate counts as new again.
const REPEAT_AFTER_MS: u64 = 10_000;

/// A rate limit that an upstream advertised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Advertised {
    /// The rate.
    pub rate: Rate,
    /// When it was advertised, on this instance's clock.
    pub at_ms: u64,
}

/// Advertised rate limits by upstream; clones share the data.
#[derive(Debug, Clone, Default)]
pub struct AdvertisedRates {
    known: Arc<BTreeMap<Arc<str>, Advertised>>,
}

impl AdvertisedRates {
    /// Records a rate that an upstream advertised to this instance or a peer. Returns whether it is
    /// new.
    pub fn note(&mut self, received: &AdvertisedRate, now_ms: u64) -> bool {
        let AdvertisedRate { upstream, rate, age_ms } = received;
        let advertised = Advertised { rate: *rate, at_ms: now_ms.saturating_sub(*age_ms) };
        let is_new = match self.known.get(upstream) {
            Some(before) if before.rate == advertised.rate => {
                before.at_ms + REPEAT_AFTER_MS <= advertised.at_ms
            }
            Some(before) => before.at_ms < advertised.at_ms,
            None => *age_ms < RETENTION_MS,
        };
        if is_new {
            Arc::make_mut(&mut self.known).insert(Arc::clone(upstream), advertised);
        }
        is_new
    }

    /// Removes expired rates.
    pub fn forget(&mut self, now_ms: u64) {
        let is_old = |advertised: &Advertised| advertised.at_ms + RETENTION_MS <= now_ms;
        if self.known.values().any(is_old) {
            Arc::make_mut(&mut self.known).retain(|_, advertised| !is_old(advertised));
        }
    }

    /// Returns the rate that an upstream advertised.
    pub fn of(&self, upstream: &str) -> Option<Advertised> {
        self.known.get(upstream).copied()
    }

    /// Returns all rates in the form that peers receive.
    pub fn all(&self, now_ms: u64) -> Vec<AdvertisedRate> {
        let message = |(upstream, advertised): (&Arc<str>, &Advertised)| AdvertisedRate {
            upstream: Arc::clone(upstream),
            rate: advertised.rate,
            age_ms: now_ms.saturating_sub(advertised.at_ms),
        };
        self.known.iter().map(message).collect()
    }
}
