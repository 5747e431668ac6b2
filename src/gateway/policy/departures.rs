//! Records upstreams that announced in a response to any instance that they are leaving.
//!
//! The directory may be unreachable for seconds, and some upstreams never report to it that they
//! are leaving.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::fleet::{Departure, Upstream};

/// How long an announcement is remembered: longer than any planned stop of an upstream takes.
const RETENTION_MS: u64 = 60_000;

/// The upstreams that are leaving; clones share the data.
#[derive(Debug, Clone, Default)]
pub struct Departures {
    known: Arc<BTreeMap<Departure, u64>>,
}

impl Departures {
    /// Records an announcement that was made to this instance or a peer. Returns whether it was
    /// unknown.
    pub fn note(&mut self, departure: &Departure, now_ms: u64) -> bool {
        let is_new = !self.known.contains_key(departure);
        if is_new {
            Arc::make_mut(&mut self.known).insert(departure.clone(), now_ms + RETENTION_MS);
        }
        is_new
    }

    /// Drops expired announcements.
    pub fn expire(&mut self, now_ms: u64) {
        if self.known.values().any(|until_ms| *until_ms <= now_ms) {
            Arc::make_mut(&mut self.known).retain(|_, until_ms| *until_ms > now_ms);
        }
    }

    /// Whether this incarnation of an upstream announced that it is leaving.
    pub fn contains(&self, upstream: &Upstream) -> bool {
        !self.known.is_empty() && self.known.contains_key(&Departure::of(upstream))
    }

    /// Whether both share the same data, so that neither has changed since one was cloned from the
    /// other.
    pub fn is_same_data(&self, other: &Departures) -> bool {
        Arc::ptr_eq(&self.known, &other.known)
    }

    /// Returns all announcements, for a message to peers.
    pub fn to_vec(&self) -> Vec<Departure> {
        self.known.keys().cloned().collect()
    }
}
