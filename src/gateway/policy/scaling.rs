//! Decides how many workers of a service each failure domain should have, and how many of each
//! kind: on-demand or spot. Pure state machine without I/O.
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

/// Target utilization of the workers: one of four failure domains may be lost, and each run has a
/// copy of its KV cache at a second worker.
const TARGET_UTILIZATION: f64 = 0.45;
/// Fewer workers are ordered only if demand needs less than this fraction of the total, so that a
/// dip changes nothing.
const SCALE_DOWN_FRACTION: f64 = 0.6;
/// How long demand must have been that low.
const SCALE_DOWN_DELAY_MS: u64 = 20_000;
/// How long a worker counts as running after it was last seen: one that crashes is back within
/// seconds.
const MAX_UNSEEN_MS: u64 = 6_000;
/// How long an order that was refused for lack of capacity is not repeated.
const NO_CAPACITY_PAUSE_MS: u64 = 3_000;
/// How long an order may take to have an effect, in addition to a worker's start time.
const MAX_EFFECT_DELAY_MS: u64 = 4_000;

/// Number of workers of one kind in a failure domain.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerCounts {
    /// Workers that accept requests.
    pub ready: u32,
    /// Workers that have announced that they are leaving.
    pub leaving: u32,
}

/// The workers that an order is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerGroup {
    /// The service.
    pub service: Arc<str>,
    /// The failure domain.
    pub domain: Arc<str>,
    /// Whether they are spot workers.
    pub is_spot: bool,
}

/// An order to the platform: the number of workers that a group should have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerOrder {
    /// The group.
    pub group: WorkerGroup,
    /// The number of workers that it should have.
    pub desired: u32,
}

/// Observed state of a service.
#[derive(Debug, Clone)]
pub struct ServiceState<'a> {
    /// The service.
    pub service: &'a Arc<str>,
    /// Scaling policy of the service.
    pub policy: &'a Scaling,
    /// Its workers, by failure domain and whether they are spot workers.
    pub workers: &'a BTreeMap<(Arc<str>, bool), WorkerCounts>,
    /// Demand of all requests and KV cache copies, as the number of workers that they would fill
    /// completely.
    pub demand_workers: f64,
}

impl ServiceState<'_> {
    /// Returns the number of workers in the failure domain that has the most, counting a spot
    /// worker and the on-demand worker that it replaces once. A holder that has just taken over
    /// can't know how many were wanted, and one domain may have lost all of its workers.
    fn workers_in_fullest_domain(&self) -> u32 {
        let ready = |domain: &Arc<str>, is_spot: bool| {
            self.workers.get(&(Arc::clone(domain), is_spot)).map_or(0, |counts| counts.ready)
        };
        let in_domain = |domain: &Arc<str>| {
            let (on_demand, spot) = (ready(domain, false), ready(domain, true));
            on_demand.max(spot + on_demand.min(self.policy.least))
        };
        self.policy.prices.keys().map(in_domain).max().unwrap_or(0)
    }
}

#[derive(Debug, Default)]
struct ObservedCount {
    count: u32,
    since_ms: u64,
}

#[derive(Debug)]
struct SentOrder {
    desired: u32,
    at_ms: u64,
    is_acknowledged: bool,
    no_capacity_until_ms: u64,
}

/// Orders sent and workers observed by the holder of the duty lease.
#[derive(Debug, Default)]
pub struct Scaler {
    observed: BTreeMap<WorkerGroup, ObservedCount>,
    sent: BTreeMap<WorkerGroup, SentOrder>,
    totals: BTreeMap<Arc<str>, u32>,
    low_since_ms: BTreeMap<Arc<str>, u64>,
}

impl Scaler {
    /// Returns the orders to send now.
    pub fn step(&mut self, state: &ServiceState<'_>, now_ms: u64) -> Vec<WorkerOrder> {
        if !state.policy.is_sound() {
            return Vec::new();
        }
        let total_wanted = self.total_wanted(state, now_ms);
        let domains: Vec<&Arc<str>> = state.policy.prices.keys().collect();
        let mut orders = Vec::new();
        for (index, domain) in domains.iter().enumerate() {
            let extra = u32::from(index < total_wanted as usize % domains.len());
            let wanted = (total_wanted / domains.len() as u32 + extra)
                .clamp(state.policy.least, state.policy.most);
            let (on_demand, spot) = self.split_by_kind(state, domain, wanted, now_ms);
            for (is_spot, desired) in [(true, spot), (false, on_demand)] {
                let service = Arc::clone(state.service);
                let group = WorkerGroup { service, domain: Arc::clone(domain), is_spot };
                if self.is_due(state, &group, desired, now_ms) {
                    orders.push(WorkerOrder { group, desired });
                }
            }
        }
        orders
    }

    /// Returns the wanted number of on-demand and of spot workers in a failure domain.
    fn split_by_kind(
        &mut self,
        state: &ServiceState<'_>,
        domain: &Arc<str>,
        wanted: u32,
        now_ms: u64,
    ) -> (u32, u32) {
        let Scaling { spot_price, least, most, .. } = *state.policy;
        if spot_price >= 1.0 {
            return (wanted, 0);
        }
        let service = Arc::clone(state.service);
        let group = WorkerGroup { service, domain: Arc::clone(domain), is_spot: true };
        let current = self.observed(state, &group, now_ms);
        let min_on_demand = least.min(wanted);
        let on_demand = min_on_demand + (wanted - min_on_demand).saturating_sub(current);
        // The limits apply to both kinds together.
        let spot = (wanted - min_on_demand).min(most.saturating_sub(on_demand));
        (on_demand, spot)
    }

    /// Returns the number of workers that are running, or were a moment ago and have not announced
    /// that they are leaving.
    fn observed(&mut self, state: &ServiceState<'_>, group: &WorkerGroup, now_ms: u64) -> u32 {
        let key = (Arc::clone(&group.domain), group.is_spot);
        let counts = state.workers.get(&key).copied().unwrap_or_default();
        let observed = self.observed.entry(group.clone()).or_default();
        let is_over = now_ms >= observed.since_ms + MAX_UNSEEN_MS;
        if counts.ready >= observed.count || counts.leaving > 0 || is_over {
            *observed = ObservedCount { count: counts.ready, since_ms: now_ms };
        }
        observed.count
    }

    /// Returns the number of workers wanted in all failure domains together.
    fn total_wanted(&mut self, state: &ServiceState<'_>, now_ms: u64) -> u32 {
        let current = state.workers_in_fullest_domain() * state.policy.prices.len() as u32;
        let needed = (state.demand_workers / TARGET_UTILIZATION).ceil() as u32;
        let previous = *self.totals.entry(Arc::clone(state.service)).or_insert(current);
        let is_low = f64::from(needed) < f64::from(previous) * SCALE_DOWN_FRACTION;
        let low_since_ms = self.low_since_ms.entry(Arc::clone(state.service)).or_insert(now_ms);
        if !is_low || state.demand_workers == 0.0 {
            *low_since_ms = now_ms;
        }
        let total_wanted = if needed > previous || now_ms >= *low_since_ms + SCALE_DOWN_DELAY_MS {
            *low_since_ms = now_ms;
            needed
        } else {
            previous
        };
        self.totals.insert(Arc::clone(state.service), total_wanted);
        total_wanted
    }

    fn is_due(
        &mut self,
        state: &ServiceState<'_>,
        group: &WorkerGroup,
        desired: u32,
        now_ms: u64,
    ) -> bool {
        let current = self.observed(state, group, now_ms);
        let Some(sent) = self.sent.get(group) else { return current != desired };
        if sent.no_capacity_until_ms > now_ms {
            return false;
        }
        let is_overdue = now_ms >= sent.at_ms + state.policy.boot_ms + MAX_EFFECT_DELAY_MS;
        sent.desired != desired || !sent.is_acknowledged || (is_overdue && current != desired)
    }

    /// Records that an order was sent, and whether the platform acknowledged it.
    pub fn note_sent(&mut self, order: &WorkerOrder, is_acknowledged: bool, now_ms: u64) {
        let sent = SentOrder {
            desired: order.desired,
            at_ms: now_ms,
            is_acknowledged,
            no_capacity_until_ms: 0,
        };
        self.sent.insert(order.group.clone(), sent);
    }

    /// Records that the platform has no capacity for an order.
    pub fn note_no_capacity(&mut self, order: &WorkerOrder, now_ms: u64) {
        self.note_sent(order, false, now_ms);
        if let Some(sent) = self.sent.get_mut(&order.group) {
            sent.no_capacity_until_ms = now_ms + NO_CAPACITY_PAUSE_MS;
        }
    }

    /// Resets all state, when another instance has taken over the duty.
    pub fn clear(&mut self) {
        *self = Scaler::default();
    }
}
