//! The rate limits that upstreams advertised to any instance, so that the others keep to them
//! before they receive one in a response themselves. Pure bookkeeping without I/O.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::rate::{NamedRate, Rate};

/// How long an advertised rate is kept. An instance that keeps to it requests permits from the
/// owner of the bucket, and learns from the upstream's next response whether the limit still
/// applies.
const KEPT_MS: u64 = 30_000;
/// Interval after which an unchanged rate counts as new again.
const NEWS_MS: u64 = 10_000;

/// A rate limit that an upstream advertised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Named {
    /// The rate.
    pub rate: Rate,
    /// When it was advertised, on this instance's clock.
    pub at_ms: u64,
}

/// Advertised rate limits by upstream; clones share the data.
#[derive(Debug, Clone, Default)]
pub struct NamedRates {
    known: Arc<BTreeMap<Arc<str>, Named>>,
}

impl NamedRates {
    /// Records a rate that an upstream advertised to this instance or a peer. Returns whether it is
    /// new.
    pub fn note(&mut self, told: &NamedRate, now_ms: u64) -> bool {
        let NamedRate { upstream, rate, age_ms } = told;
        let named = Named { rate: *rate, at_ms: now_ms.saturating_sub(*age_ms) };
        let is_news = match self.known.get(upstream) {
            Some(before) if before.rate == named.rate => before.at_ms + NEWS_MS <= named.at_ms,
            Some(before) => before.at_ms < named.at_ms,
            None => *age_ms < KEPT_MS,
        };
        if is_news {
            Arc::make_mut(&mut self.known).insert(Arc::clone(upstream), named);
        }
        is_news
    }

    /// Removes expired rates.
    pub fn forget(&mut self, now_ms: u64) {
        let is_old = |named: &Named| named.at_ms + KEPT_MS <= now_ms;
        if self.known.values().any(is_old) {
            Arc::make_mut(&mut self.known).retain(|_, named| !is_old(named));
        }
    }

    /// Returns the rate that an upstream advertised.
    pub fn of(&self, upstream: &str) -> Option<Named> {
        self.known.get(upstream).copied()
    }

    /// Returns all rates in the form that peers receive.
    pub fn all(&self, now_ms: u64) -> Vec<NamedRate> {
        let told = |(upstream, named): (&Arc<str>, &Named)| NamedRate {
            upstream: Arc::clone(upstream),
            rate: named.rate,
            age_ms: now_ms.saturating_sub(named.at_ms),
        };
        self.known.iter().map(told).collect()
    }
}
