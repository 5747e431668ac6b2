//! Decides how many workers of a service each failure domain should have, and how many of them on
//! demand or spot. Pure state machine without I/O.
//!
//! The total follows the measured demand, but doesn't drop below the number of workers found at the
//! start until demand has been observed for long enough. Spot workers cost less and may be
//! reclaimed by the platform at any time. They replace on-demand workers once they are running;
//! where they are reclaimed or unavailable, on-demand workers are ordered again. An order states an
//! absolute number, and is repeated until its effect is visible: one that seemed lost may still be
//! executed after newer ones. See [docs/design/duties.md](../../../docs/design/duties.md).

use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::route::Scaling;

/// Target utilization of the workers: it leaves room for the loss of one of four failure domains,
/// and for a copy of each run's KV cache at a second worker.
const TARGET_PART: f64 = 0.45;
/// Fewer workers are ordered only if demand needs less than this fraction of the total, so that a
/// dip changes nothing.
const FEWER_PART: f64 = 0.6;
/// How long demand must have been that low.
const FEWER_AFTER_MS: u64 = 20_000;
/// How long a worker counts as running after it was last seen: one that crashes is back within
/// seconds.
const SEEN_MS: u64 = 6_000;
/// How long an order that was refused for lack of capacity is not repeated.
const NONE_LEFT_MS: u64 = 3_000;
/// How long an order may take to have an effect, in addition to a worker's start time.
const EFFECT_MS: u64 = 4_000;

/// Number of workers of one kind in a failure domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Seen {
    /// Workers that accept requests.
    pub ready: u32,
    /// Workers that have announced that they are leaving.
    pub leaving: u32,
}

/// The workers that an order is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Subject {
    /// The service.
    pub service: Arc<str>,
    /// The failure domain.
    pub domain: Arc<str>,
    /// Whether they are spot workers.
    pub is_spot: bool,
}

/// An order to the platform: the number of workers that a group should have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The group.
    pub subject: Subject,
    /// The number of workers.
    pub desired: u32,
}

/// Observed state of a service.
#[derive(Debug, Clone)]
pub struct Known<'a> {
    /// The service.
    pub service: &'a Arc<str>,
    /// Scaling policy of the service.
    pub terms: &'a Scaling,
    /// Its workers, by failure domain and whether they are spot workers.
    pub workers: &'a BTreeMap<(Arc<str>, bool), Seen>,
    /// Demand of all requests and KV cache copies, as the number of workers that they would fill
    /// completely.
    pub filled: f64,
}

impl Known<'_> {
    /// Returns the number of workers in the failure domain that has the most, counting a spot
    /// worker and the on-demand worker that it replaces once. A holder that has just taken over
    /// can't know how many were wanted, and one domain may have lost all of its workers.
    fn in_fullest_domain(&self) -> u32 {
        let ready = |domain: &Arc<str>, is_spot: bool| {
            self.workers.get(&(Arc::clone(domain), is_spot)).map_or(0, |seen| seen.ready)
        };
        let in_domain = |domain: &Arc<str>| {
            let (ordinary, spot) = (ready(domain, false), ready(domain, true));
            ordinary.max(spot + ordinary.min(self.terms.least))
        };
        self.terms.prices.keys().map(in_domain).max().unwrap_or(0)
    }
}

#[derive(Debug, Default)]
struct Presence {
    count: u32,
    since_ms: u64,
}

#[derive(Debug)]
struct Ordered {
    desired: u32,
    at_ms: u64,
    is_acknowledged: bool,
    none_left_until_ms: u64,
}

/// Orders sent and workers observed by the holder of the duty lease.
#[derive(Debug, Default)]
pub struct Scaler {
    present: BTreeMap<Subject, Presence>,
    ordered: BTreeMap<Subject, Ordered>,
    totals: BTreeMap<Arc<str>, u32>,
    low_since_ms: BTreeMap<Arc<str>, u64>,
}

impl Scaler {
    /// Returns the orders to send now.
    pub fn step(&mut self, known: &Known<'_>, now_ms: u64) -> Vec<Order> {
        if !known.terms.is_sound() {
            return Vec::new();
        }
        let total = self.total(known, now_ms);
        let domains: Vec<&Arc<str>> = known.terms.prices.keys().collect();
        let mut orders = Vec::new();
        for (index, domain) in domains.iter().enumerate() {
            let extra = u32::from(index < total as usize % domains.len());
            let wanted =
                (total / domains.len() as u32 + extra).clamp(known.terms.least, known.terms.most);
            let (ordinary, spot) = self.kinds(known, domain, wanted, now_ms);
            for (is_spot, desired) in [(true, spot), (false, ordinary)] {
                let service = Arc::clone(known.service);
                let subject = Subject { service, domain: Arc::clone(domain), is_spot };
                if self.is_due(known, &subject, desired, now_ms) {
                    orders.push(Order { subject, desired });
                }
            }
        }
        orders
    }

    /// Returns the wanted number of on-demand and of spot workers in a failure domain.
    fn kinds(
        &mut self,
        known: &Known<'_>,
        domain: &Arc<str>,
        wanted: u32,
        now_ms: u64,
    ) -> (u32, u32) {
        let Scaling { spot_price, least, most, .. } = *known.terms;
        if spot_price >= 1.0 {
            return (wanted, 0);
        }
        let service = Arc::clone(known.service);
        let subject = Subject { service, domain: Arc::clone(domain), is_spot: true };
        let there = self.present(known, &subject, now_ms);
        let kept = least.min(wanted);
        let ordinary = kept + (wanted - kept).saturating_sub(there);
        // The limits apply to both kinds together.
        let spot = (wanted - kept).min(most.saturating_sub(ordinary));
        (ordinary, spot)
    }

    /// Returns the number of workers that are running, or were a moment ago and have not announced
    /// that they are leaving.
    fn present(&mut self, known: &Known<'_>, subject: &Subject, now_ms: u64) -> u32 {
        let key = (Arc::clone(&subject.domain), subject.is_spot);
        let seen = known.workers.get(&key).copied().unwrap_or_default();
        let present = self.present.entry(subject.clone()).or_default();
        let is_over = now_ms >= present.since_ms + SEEN_MS;
        if seen.ready >= present.count || seen.leaving > 0 || is_over {
            *present = Presence { count: seen.ready, since_ms: now_ms };
        }
        present.count
    }

    /// Returns the number of workers wanted in all failure domains together.
    fn total(&mut self, known: &Known<'_>, now_ms: u64) -> u32 {
        let there = known.in_fullest_domain() * known.terms.prices.len() as u32;
        let needed = (known.filled / TARGET_PART).ceil() as u32;
        let before = *self.totals.entry(Arc::clone(known.service)).or_insert(there);
        let is_low = f64::from(needed) < f64::from(before) * FEWER_PART;
        let low_since_ms = self.low_since_ms.entry(Arc::clone(known.service)).or_insert(now_ms);
        if !is_low || known.filled == 0.0 {
            *low_since_ms = now_ms;
        }
        let total = if needed > before || now_ms >= *low_since_ms + FEWER_AFTER_MS {
            *low_since_ms = now_ms;
            needed
        } else {
            before
        };
        self.totals.insert(Arc::clone(known.service), total);
        total
    }

    fn is_due(&mut self, known: &Known<'_>, subject: &Subject, desired: u32, now_ms: u64) -> bool {
        let there = self.present(known, subject, now_ms);
        let Some(ordered) = self.ordered.get(subject) else { return there != desired };
        if ordered.none_left_until_ms > now_ms {
            return false;
        }
        let is_late = now_ms >= ordered.at_ms + known.terms.boot_ms + EFFECT_MS;
        ordered.desired != desired || !ordered.is_acknowledged || (is_late && there != desired)
    }

    /// Records that an order was sent, and whether the platform acknowledged it.
    pub fn note_sent(&mut self, order: &Order, is_acknowledged: bool, now_ms: u64) {
        let ordered = Ordered {
            desired: order.desired,
            at_ms: now_ms,
            is_acknowledged,
            none_left_until_ms: 0,
        };
        self.ordered.insert(order.subject.clone(), ordered);
    }

    /// Records that the platform has no capacity for an order.
    pub fn note_none_left(&mut self, order: &Order, now_ms: u64) {
        self.note_sent(order, false, now_ms);
        if let Some(ordered) = self.ordered.get_mut(&order.subject) {
            ordered.none_left_until_ms = now_ms + NONE_LEFT_MS;
        }
    }

    /// Resets all state, when another instance has taken over the duty.
    pub fn clear(&mut self) {
        *self = Scaler::default();
    }
}
