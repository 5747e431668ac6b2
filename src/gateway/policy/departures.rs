//! Upstreams that said in an answer to any instance that they leave: pure bookkeeping.
//!
//! The directory may be silent for seconds, and some upstreams never report to it that they leave.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::fleet::{Departure, Upstream};

/// How long what an upstream said is remembered: longer than any planned stop of one lasts.
const KEPT_MS: u64 = 60_000;

/// The upstreams that leave; cloning shares them.
#[derive(Debug, Clone, Default)]
pub struct Departures {
    known: Arc<BTreeMap<Departure, u64>>,
}

impl Departures {
    /// Notes what an upstream said to this instance or a peer. Returns whether it is news.
    pub fn note(&mut self, departure: &Departure, now_ms: u64) -> bool {
        let is_news = !self.known.contains_key(departure);
        if is_news {
            Arc::make_mut(&mut self.known).insert(departure.clone(), now_ms + KEPT_MS);
        }
        is_news
    }

    /// Forgets those that are gone for long.
    pub fn forget(&mut self, now_ms: u64) {
        if self.known.values().any(|until_ms| *until_ms <= now_ms) {
            Arc::make_mut(&mut self.known).retain(|_, until_ms| *until_ms > now_ms);
        }
    }

    /// Whether an upstream said that it leaves; a later incarnation under its id did not.
    pub fn holds(&self, upstream: &Upstream) -> bool {
        !self.known.is_empty() && self.known.contains_key(&Departure::of(upstream))
    }

    /// Whether these are the same as others, told at once.
    pub fn is_same(&self, other: &Departures) -> bool {
        Arc::ptr_eq(&self.known, &other.known)
    }

    /// All of them, to be told.
    pub fn all(&self) -> Vec<Departure> {
        self.known.keys().cloned().collect()
    }
}
