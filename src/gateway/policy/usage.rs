//! How many requests of each organisation began to run, in windows of true time: pure steps.
//!
//! Each instance counts in slots of its own steady clock and repeats the last seconds of them to a few
//! others. A slot's count only grows, and of two reports of it the larger one holds, so that a message
//! that comes twice, late or not at all changes nothing in the end. What an instance that ended had told
//! stays known, under its incarnation. Windows are those of true time, which is the median of what the
//! clocks of all instances say. See [docs/design/duties.md](../../../docs/design/duties.md).

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The length of a slot: at the edges of a window of seconds, some parts in a hundred of it.
pub const SLOT_MS: u64 = 100;
/// How long a slot is repeated: a call is known to have run only when it is answered.
const REPEATED_MS: u64 = 4_000;
/// How long what others told is kept: until the report of its window can't be due any more.
const KEPT_MS: u64 = 60_000;
/// How long what a clock said counts.
const CLOCK_MS: u64 = 15_000;

/// Requests that began, by organisation.
pub type Counts = BTreeMap<Arc<str>, u64>;

/// What an instance tells of what it counted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageNews {
    /// Who counted.
    pub id: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// What its steady clock said when it sent this.
    pub steady_ms: u64,
    /// What its clock said of the time of day then.
    pub wall_ms: u64,
    /// Its counts by slot of its steady clock.
    pub slots: BTreeMap<u64, Counts>,
}

/// What one instance counts.
#[derive(Debug, Default)]
pub struct Counter {
    slots: BTreeMap<u64, Counts>,
}

impl Counter {
    /// Counts a request that began at a time of the steady clock.
    pub fn count(&mut self, organisation: Arc<str>, began_ms: u64) {
        let slot = self.slots.entry(began_ms / SLOT_MS).or_default();
        *slot.entry(organisation).or_insert(0) += 1;
    }

    /// The slots that are told now.
    pub fn told(&mut self, now_ms: u64) -> BTreeMap<u64, Counts> {
        let first = now_ms.saturating_sub(REPEATED_MS) / SLOT_MS;
        self.slots = self.slots.split_off(&first);
        self.slots.clone()
    }
}

#[derive(Debug)]
struct Origin {
    /// Slots with the true time of their middle.
    slots: BTreeMap<u64, (u64, Counts)>,
    heard_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Clock {
    /// What its time of day is ahead of this instance's steady clock.
    ahead_ms: u64,
    heard_ms: u64,
}

/// What all instances counted, as one of them knows.
#[derive(Debug, Default)]
pub struct Usage {
    origins: BTreeMap<(Arc<str>, u64), Origin>,
    clocks: BTreeMap<Arc<str>, Clock>,
}

impl Usage {
    /// Takes in what an instance tells; this one hears itself in the same way.
    pub fn hear(&mut self, news: UsageNews, now_ms: u64) {
        let clock = Clock { ahead_ms: news.wall_ms.saturating_sub(now_ms), heard_ms: now_ms };
        self.clocks.insert(Arc::clone(&news.id), clock);
        self.forget(now_ms);
        let true_now_ms = self.true_ms(now_ms);
        let origin = self
            .origins
            .entry((news.id, news.incarnation))
            .or_insert_with(|| Origin { slots: BTreeMap::new(), heard_ms: now_ms });
        origin.heard_ms = now_ms;
        for (slot, counts) in news.slots {
            let middle_ms = slot * SLOT_MS + SLOT_MS / 2;
            let age_ms = news.steady_ms.saturating_sub(middle_ms);
            let at_ms = true_now_ms.saturating_sub(age_ms);
            let known = origin.slots.entry(slot).or_insert_with(|| (at_ms, Counts::new()));
            for (organisation, count) in counts {
                let kept = known.1.entry(organisation).or_insert(0);
                *kept = count.max(*kept);
            }
        }
    }

    /// The true time of day at a time of this instance's steady clock, as the clocks of most say.
    pub fn true_ms(&self, now_ms: u64) -> u64 {
        let mut ahead_ms: Vec<u64> = self.clocks.values().map(|clock| clock.ahead_ms).collect();
        ahead_ms.sort_unstable();
        now_ms + ahead_ms.get(ahead_ms.len() / 2).copied().unwrap_or(0)
    }

    /// What all counted in a window of true time.
    pub fn counted(&self, window: Window) -> Counts {
        let slots = self.origins.values().flat_map(|origin| origin.slots.values());
        let inside = slots.filter(|(at_ms, _)| window.holds(*at_ms));
        let mut sums = Counts::new();
        for (organisation, count) in inside.flat_map(|(_, counts)| counts) {
            *sums.entry(Arc::clone(organisation)).or_insert(0) += count;
        }
        sums
    }

    fn forget(&mut self, now_ms: u64) {
        self.clocks.retain(|_, clock| clock.heard_ms + CLOCK_MS > now_ms);
        self.origins.retain(|_, origin| origin.heard_ms + KEPT_MS > now_ms);
        for origin in self.origins.values_mut() {
            while origin.slots.len() as u64 > KEPT_MS / SLOT_MS {
                origin.slots.pop_first();
            }
        }
    }
}

/// A window of true time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Window {
    /// Its number: so many windows began before it since 1970.
    pub number: u64,
    /// The length of all windows.
    pub length_ms: u64,
}

impl Window {
    /// The window that holds a time.
    pub fn at(true_ms: u64, length_ms: u64) -> Window {
        Window { number: true_ms / length_ms, length_ms }
    }

    /// When it ends.
    pub fn end_ms(self) -> u64 {
        (self.number + 1) * self.length_ms
    }

    fn holds(self, true_ms: u64) -> bool {
        Window::at(true_ms, self.length_ms) == self
    }
}

/// Which windows are to be reported: each from a moment after its end, when the last counts are known,
/// until it isn't taken any more.
#[derive(Debug, Clone, Copy)]
pub struct Schedule {
    /// The length of a window.
    pub window_ms: u64,
    /// How long after its end a report is taken.
    pub late_ms: u64,
}

impl Schedule {
    /// How long after a window's end its report is made: a part of the time in which it is due, so that a
    /// next holder can still send it.
    fn settle_ms(self) -> u64 {
        self.late_ms / 4
    }

    /// The windows that may be reported at a true time, the oldest first.
    pub fn due(self, true_ms: u64) -> impl Iterator<Item = Window> {
        let Schedule { window_ms, late_ms } = self;
        let newest = true_ms.saturating_sub(self.settle_ms()) / window_ms;
        let oldest = (true_ms.saturating_sub(late_ms) / window_ms).max(1);
        (oldest.saturating_sub(1)..newest)
            .map(move |number| Window { number, length_ms: window_ms })
    }
}
