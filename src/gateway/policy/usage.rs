//! Counts how many requests of each organisation started to run, per window of cluster time. Pure
//! state machine without I/O.
//!
//! Each instance counts in slots of its own monotonic clock and repeatedly sends the slots of the
//! last seconds to a few others. The count of a slot only grows, and the larger of two reported
//! counts wins, so duplicate, delayed or lost messages don't affect the final result. What an
//! instance had sent before it ended is kept under its incarnation. Windows are defined by cluster
//! time, the median of the wall clocks of all instances. See
//! [docs/design/duties.md](../../../docs/design/duties.md).

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::bounds;

/// Length of a slot. A slot belongs to one window as a whole, so the error at the edges of a window
/// of several seconds is a few percent.
pub const SLOT_MS: u64 = 100;
/// How long a slot is sent again: a call is known to have run only once its response arrives.
const RESENT_FOR_MS: u64 = 4_000;
/// How long counts received from others are kept: until the report of their window can no longer be
/// due.
const RETENTION_MS: u64 = 60_000;
/// How long the clock reading of an instance is used.
const CLOCK_VALID_MS: u64 = 15_000;

/// Number of requests that started, by organisation.
pub type Counts = BTreeMap<Arc<str>, u64>;

/// Counts that an instance sends to others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageUpdate {
    /// The instance that counted.
    pub id: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its monotonic clock when it sent this update.
    #[serde(deserialize_with = "bounds::clock_ms")]
    pub monotonic_ms: u64,
    /// Its wall clock when it sent this update.
    #[serde(deserialize_with = "bounds::clock_ms")]
    pub wall_ms: u64,
    /// Its counts, by slot of its monotonic clock.
    #[serde(deserialize_with = "bounds::slots")]
    pub slots: BTreeMap<u64, Counts>,
}

/// Counts of one instance.
#[derive(Debug, Default)]
pub struct Counter {
    slots: BTreeMap<u64, Counts>,
}

impl Counter {
    /// Counts a request that started at a time of the monotonic clock.
    pub fn count(&mut self, organisation: Arc<str>, started_ms: u64) {
        let slot = self.slots.entry(started_ms / SLOT_MS).or_default();
        *slot.entry(organisation).or_insert(0) += 1;
    }

    /// Returns the slots to send now, and drops older ones.
    pub fn recent_slots(&mut self, now_ms: u64) -> BTreeMap<u64, Counts> {
        let first = now_ms.saturating_sub(RESENT_FOR_MS) / SLOT_MS;
        self.slots = self.slots.split_off(&first);
        self.slots.clone()
    }
}

#[derive(Debug)]
struct Origin {
    /// Each slot with the cluster time of its middle.
    slots: BTreeMap<u64, (u64, Counts)>,
    received_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Clock {
    /// The instance's wall clock minus this instance's monotonic clock.
    offset_ms: u64,
    received_ms: u64,
}

/// Counts of all instances, as known to one of them.
#[derive(Debug, Default)]
pub struct Usage {
    origins: BTreeMap<(Arc<str>, u64), Origin>,
    clocks: BTreeMap<Arc<str>, Clock>,
}

impl Usage {
    /// Applies an update from an instance; this instance applies its own updates in the same way.
    pub fn apply(&mut self, update: UsageUpdate, now_ms: u64) {
        let clock = Clock { offset_ms: update.wall_ms.saturating_sub(now_ms), received_ms: now_ms };
        self.clocks.insert(Arc::clone(&update.id), clock);
        self.forget(now_ms);
        let cluster_now_ms = self.cluster_ms(now_ms);
        let origin = self
            .origins
            .entry((update.id, update.incarnation))
            .or_insert_with(|| Origin { slots: BTreeMap::new(), received_ms: now_ms });
        origin.received_ms = now_ms;
        for (slot, counts) in update.slots {
            let middle_ms = slot * SLOT_MS + SLOT_MS / 2;
            let age_ms = update.monotonic_ms.saturating_sub(middle_ms);
            let at_ms = cluster_now_ms.saturating_sub(age_ms);
            let known = origin.slots.entry(slot).or_insert_with(|| (at_ms, Counts::new()));
            for (organisation, count) in counts {
                let kept = known.1.entry(organisation).or_insert(0);
                *kept = count.max(*kept);
            }
        }
    }

    /// Converts a time of this instance's monotonic clock to cluster time.
    pub fn cluster_ms(&self, now_ms: u64) -> u64 {
        let mut offset_ms: Vec<u64> = self.clocks.values().map(|clock| clock.offset_ms).collect();
        offset_ms.sort_unstable();
        now_ms + offset_ms.get(offset_ms.len() / 2).copied().unwrap_or(0)
    }

    /// Returns the counts of all instances in a window.
    pub fn counts_in(&self, window: Window) -> Counts {
        let slots = self.origins.values().flat_map(|origin| origin.slots.values());
        let inside = slots.filter(|(at_ms, _)| window.contains(*at_ms));
        let mut sums = Counts::new();
        for (organisation, count) in inside.flat_map(|(_, counts)| counts) {
            *sums.entry(Arc::clone(organisation)).or_insert(0) += count;
        }
        sums
    }

    fn forget(&mut self, now_ms: u64) {
        self.clocks.retain(|_, clock| clock.received_ms + CLOCK_VALID_MS > now_ms);
        self.origins.retain(|_, origin| origin.received_ms + RETENTION_MS > now_ms);
        for origin in self.origins.values_mut() {
            while origin.slots.len() as u64 > RETENTION_MS / SLOT_MS {
                origin.slots.pop_first();
            }
        }
    }
}

/// A window of cluster time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// Number of windows that started before it since 1970.
    pub number: u64,
    /// Length of every window.
    pub length_ms: u64,
}

impl Window {
    /// Returns the window that contains a time.
    pub fn containing(cluster_ms: u64, length_ms: u64) -> Window {
        Window { number: cluster_ms / length_ms, length_ms }
    }

    /// Returns when it ends.
    pub fn end_ms(self) -> u64 {
        (self.number + 1) * self.length_ms
    }

    fn contains(self, cluster_ms: u64) -> bool {
        Window::containing(cluster_ms, self.length_ms) == self
    }
}

/// Determines which windows are due for a report: from a moment after a window's end, when its last
/// counts are known, until its report is no longer accepted.
#[derive(Debug, Clone, Copy)]
pub struct Schedule {
    /// Length of a window.
    pub window_ms: u64,
    /// How long after a window's end its report is accepted.
    pub max_delay_ms: u64,
}

impl Schedule {
    /// Returns how long after a window's end its report is made: a fraction of the time in which it
    /// is accepted, so that the next lease holder can still send it.
    fn report_delay_ms(self) -> u64 {
        self.max_delay_ms / 4
    }

    /// Returns the windows that may be reported at a cluster time, oldest first.
    pub fn due(self, cluster_ms: u64) -> impl Iterator<Item = Window> {
        let Schedule { window_ms, max_delay_ms } = self;
        let newest = cluster_ms.saturating_sub(self.report_delay_ms()) / window_ms;
        let oldest = (cluster_ms.saturating_sub(max_delay_ms) / window_ms).max(1);
        (oldest.saturating_sub(1)..newest)
            .map(move |number| Window { number, length_ms: window_ms })
    }
}
