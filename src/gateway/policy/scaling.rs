//! How many workers of a service are wanted in each failure domain, and of which kind: pure steps.
//!
//! The total follows the demand that is measured, never below what was there before any demand was
//! seen for long enough. Workers that may be reclaimed and cost less take the place of the others once
//! they are there; where they are reclaimed, or none can be had, ordinary ones are wanted again. An order
//! states a number, and is repeated while its effect is not seen: one that was lost may still be carried
//! out after newer ones. See [docs/design/duties.md](../../../docs/design/duties.md).

use std::collections::BTreeMap;
use std::sync::Arc;

use super::super::route::Scaling;

/// The part of the workers' places that demand may take: a failure domain of four may be lost, and each
/// run has a copy.
const TARGET_PART: f64 = 0.45;
/// The part of what is wanted below which fewer are ordered, so that a dip changes nothing.
const FEWER_PART: f64 = 0.6;
/// How long demand must have been that low.
const FEWER_AFTER_MS: u64 = 20_000;
/// How long a worker counts as there after it was last seen: one that crashes is back within seconds.
const SEEN_MS: u64 = 6_000;
/// How long an order that was refused since none can be had is not repeated.
const NONE_LEFT_MS: u64 = 3_000;
/// How long after an order its effect may take, beyond a worker's start.
const EFFECT_MS: u64 = 4_000;

/// Workers that a failure domain has of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Seen {
    /// Those that take work.
    pub ready: u32,
    /// Those that said that they leave.
    pub leaving: u32,
}

/// Which workers an order is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Subject {
    /// The service.
    pub service: Arc<str>,
    /// The failure domain.
    pub domain: Arc<str>,
    /// Whether they may be reclaimed.
    pub is_spot: bool,
}

/// An order: so many workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Which.
    pub subject: Subject,
    /// How many.
    pub desired: u32,
}

/// What is known of a service.
#[derive(Debug, Clone)]
pub struct Known<'a> {
    /// The service.
    pub service: &'a Arc<str>,
    /// What was agreed on.
    pub terms: &'a Scaling,
    /// Its workers, by failure domain and whether they may be reclaimed.
    pub workers: &'a BTreeMap<(Arc<str>, bool), Seen>,
    /// The workers that all requests and copies fill, if each is filled to the brim.
    pub filled: f64,
}

impl Known<'_> {
    /// The workers that the failure domain with most of them has, where one kind takes the place of the
    /// other: a holder that has just taken over can't tell how many were wanted, and one domain may have
    /// lost all of its workers.
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

/// What the holder of the duty has ordered and seen.
#[derive(Debug, Default)]
pub struct Scaler {
    present: BTreeMap<Subject, Presence>,
    ordered: BTreeMap<Subject, Ordered>,
    totals: BTreeMap<Arc<str>, u32>,
    low_since_ms: BTreeMap<Arc<str>, u64>,
}

impl Scaler {
    /// The orders to be sent now.
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

    /// How many are wanted of each kind in a failure domain.
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
        // The bounds are for both kinds together.
        let spot = (wanted - kept).min(most.saturating_sub(ordinary));
        (ordinary, spot)
    }

    /// Workers that are there, or were a moment ago and haven't said that they leave.
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

    /// How many are wanted in all failure domains.
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

    /// Notes that an order was sent, and whether it was taken.
    pub fn note_sent(&mut self, order: &Order, is_acknowledged: bool, now_ms: u64) {
        let ordered = Ordered {
            desired: order.desired,
            at_ms: now_ms,
            is_acknowledged,
            none_left_until_ms: 0,
        };
        self.ordered.insert(order.subject.clone(), ordered);
    }

    /// Notes that none can be had for an order.
    pub fn note_none_left(&mut self, order: &Order, now_ms: u64) {
        self.note_sent(order, false, now_ms);
        if let Some(ordered) = self.ordered.get_mut(&order.subject) {
            ordered.none_left_until_ms = now_ms + NONE_LEFT_MS;
        }
    }

    /// Forgets everything, when the duty has gone to another.
    pub fn clear(&mut self) {
        *self = Scaler::default();
    }
}
