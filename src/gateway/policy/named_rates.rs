//! The rates that upstreams named to any instance, so that the others keep to them before they have
//! heard of them in an answer: pure bookkeeping.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::rate::{NamedRate, Rate};

/// How long a rate counts that was named to others: whoever keeps to it asks the owner of the bucket, and
/// learns by its next answer when it is over.
const KEPT_MS: u64 = 30_000;
/// After which time the same rate is news again.
const NEWS_MS: u64 = 10_000;

/// A rate that an upstream named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Named {
    /// The rate.
    pub rate: Rate,
    /// When it was named, on this instance's clock.
    pub at_ms: u64,
}

/// The rates by upstream; cloning shares them.
#[derive(Debug, Clone, Default)]
pub struct NamedRates {
    known: Arc<BTreeMap<Arc<str>, Named>>,
}

impl NamedRates {
    /// Takes in a rate that an upstream named to this instance or a peer. Returns whether it is news.
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

    /// Forgets what was heard too long ago.
    pub fn forget(&mut self, now_ms: u64) {
        let is_old = |named: &Named| named.at_ms + KEPT_MS <= now_ms;
        if self.known.values().any(is_old) {
            Arc::make_mut(&mut self.known).retain(|_, named| !is_old(named));
        }
    }

    /// The rate that an upstream named.
    pub fn of(&self, upstream: &str) -> Option<Named> {
        self.known.get(upstream).copied()
    }

    /// All of them, to be told.
    pub fn all(&self, now_ms: u64) -> Vec<NamedRate> {
        let told = |(upstream, named): (&Arc<str>, &Named)| NamedRate {
            upstream: Arc::clone(upstream),
            rate: named.rate,
            age_ms: now_ms.saturating_sub(named.at_ms),
        };
        self.known.iter().map(told).collect()
    }
}
