//! The decision on a call: send it, keep it for a while, or refuse it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::super::latency::Latencies;
use super::arrivals::{ARRIVAL_STEP_MS, Arrivals, RECENT_STEPS};
use super::estimate::{
    Conditions, LoadEstimate, MAX_CREDIBLE_CALLS_PER_SLOT, Needed, Report, TARGET_FRACTION, unit,
};
use crate::decide::Random;

/// Fraction of the objective that calls may take at a worker at first, and the most that it grows to.
const MAX_LIMIT_FRACTION: f64 = 0.8;
/// The least that this fraction shrinks to, so that answers keep coming from which it can grow
/// again.
const MIN_LIMIT_FRACTION: f64 = 0.2;
/// Factor by which it shrinks with a late answer or a rejection.
const LIMIT_DECREASE: f64 = 0.9;
/// How much it grows with each answer in time: much less than it shrinks (additive increase,
/// multiplicative decrease).
const LIMIT_INCREASE: f64 = 0.003;
/// Quantile of the observed times that counts as the time of the work itself.
const WORK_QUANTILE: f64 = 0.5;
/// Upper bound on the calls that wait in an instance; more would wait longer than an objective allows.
const MAX_WAITING: usize = 64;
/// Upper bound on the refused callers that are remembered.
const MAX_RETURNS: usize = 1_024;
/// How long a refused caller is remembered after the time at which it was told to return.
const RETURN_TTL_MS: u64 = 500;
/// Callers accept a retry time of up to the time that they have left, divided by this.
const MAX_RETRY_DIVISOR: u64 = 3;
/// The shortest time for which a call waits before it looks again, in milliseconds.
const MIN_WAIT_MS: u64 = 5;
/// The longest time for which a call waits before it looks again, in milliseconds: places may become
/// free earlier than expected, and calls behind it are refused until it takes one.
const MAX_WAIT_MS: u64 = 20;

/// A call for which a worker is chosen.
#[derive(Debug, Clone)]
pub struct Call {
    /// The caller's id of the request, by which it is recognised when it returns.
    pub id: Option<Arc<str>>,
    /// Its place among the waiting calls.
    pub ticket: Ticket,
    /// Whether it already waits here.
    pub is_waiting: bool,
    /// Time left until the objective, in milliseconds.
    pub objective_left_ms: u64,
    /// Time within which it may return if it is refused, in milliseconds: what is left until its
    /// deadline, at most the shortest time limit of its service.
    pub left_ms: u64,
}

/// Place of a call among those that wait: by priority, then by deadline, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket {
    /// The priority; the lowest number goes first.
    pub priority: u8,
    /// The deadline.
    pub until_ms: u64,
    /// Tells apart calls that are equal otherwise.
    pub number: u64,
}

/// What to do with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Send it to the worker with this index.
    Send(usize),
    /// Keep it and decide again after this time.
    Wait {
        /// The time, in milliseconds.
        for_ms: u64,
    },
    /// Refuse it.
    Refuse {
        /// When the caller should return, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What an instance learned of the calls to one service, and the calls that wait here.
#[derive(Debug)]
pub struct Concurrency {
    work: Latencies,
    arrivals: Arrivals,
    /// Refused callers that returned when they were told to.
    returned: Arrivals,
    limit_fraction: f64,
    decreased_ms: Option<u64>,
    waiting: BTreeSet<Ticket>,
    /// When refused callers were told to return, by request id.
    returns: BTreeMap<Arc<str>, u64>,
    last_return_ms: u64,
}

impl Default for Concurrency {
    fn default() -> Concurrency {
        Concurrency {
            work: Latencies::default(),
            arrivals: Arrivals::default(),
            returned: Arrivals::default(),
            limit_fraction: MAX_LIMIT_FRACTION,
            decreased_ms: None,
            waiting: BTreeSet::new(),
            returns: BTreeMap::new(),
            last_return_ms: 0,
        }
    }
}

impl Concurrency {
    /// Records that a call arrived here.
    pub fn note_arrival(&mut self, window_ms: u64, now_ms: u64) {
        self.arrivals.count(now_ms, window_ms);
    }

    /// Records an answer with the worker's report in it, and how long it took from sending.
    pub fn note_answer(&mut self, report: &Report, took_ms: u64, objective_ms: u64, now_ms: u64) {
        if report.slots > 0 && f64::from(report.waiting) <= MAX_CREDIBLE_CALLS_PER_SLOT {
            // About as many calls waited before this one as wait now; without these and the
            // slowness, what is left is the work itself.
            let queue = 1.0 + f64::from(report.waiting) / f64::from(report.slots);
            let slowness = f64::from(report.slowness_percent.unwrap_or(100)).max(1.0) / 100.0;
            self.work.record((took_ms as f64 / queue / slowness) as u64);
        }
        if objective_ms > 0 && took_ms > objective_ms {
            self.decrease_limit(objective_ms, now_ms);
        } else {
            self.limit_fraction = (self.limit_fraction + LIMIT_INCREASE).min(MAX_LIMIT_FRACTION);
        }
    }

    /// Records that a worker rejected a call.
    pub fn note_rejection(&mut self, objective_ms: u64, now_ms: u64) {
        self.decrease_limit(objective_ms, now_ms);
    }

    /// Lowers the limit, at most once for the calls that were sent under the same limit.
    fn decrease_limit(&mut self, objective_ms: u64, now_ms: u64) {
        if self.decreased_ms.is_some_and(|at_ms| now_ms < at_ms + objective_ms) {
            return;
        }
        self.decreased_ms = Some(now_ms);
        self.limit_fraction = (self.limit_fraction * LIMIT_DECREASE).max(MIN_LIMIT_FRACTION);
    }

    /// Conditions for calls with an objective; `None` while too few answers were seen.
    pub fn conditions(
        &self,
        objective_ms: u64,
        others_requests: u64,
        window_ms: u64,
        now_ms: u64,
    ) -> Option<Conditions> {
        let work_ms = self.work.quantile(WORK_QUANTILE)? as f64;
        let (demand_per_ms, others_fraction) =
            self.arrivals.demand_per_ms(others_requests, window_ms, now_ms);
        let limit_ms = self.limit_fraction * objective_ms as f64;
        Some(Conditions { work_ms, demand_per_ms, others_fraction, limit_ms })
    }

    /// Decides on a call that has not been sent yet.
    pub fn decide(
        &mut self,
        call: &Call,
        estimate: &LoadEstimate,
        now_ms: u64,
        random: &mut dyn Random,
    ) -> Decision {
        let is_admitted = call.is_waiting
            || estimate.has_free_slot()
            || self.admits(call, estimate, now_ms, random);
        let rank = self.waiting.range(..call.ticket).count();
        if is_admitted
            && estimate.places() > rank
            && let Some(index) = estimate.choose(&[], Needed::Place, random)
        {
            return Decision::Send(index);
        }
        let can_wait = call.is_waiting || self.waiting.len() < MAX_WAITING;
        // The first place to become free is the last one within a worker's limit.
        let (wait_ms, limit_fraction) = if is_admitted {
            (estimate.place_in_ms(), 1.0)
        } else {
            (estimate.relief_in_ms(), TARGET_FRACTION)
        };
        let Conditions { work_ms, limit_ms, .. } = estimate.conditions;
        let answered_in_ms = wait_ms + (limit_fraction * limit_ms).max(work_ms);
        // Where too many calls arrive, a call that waits only displaces a later one.
        let is_passing = is_admitted || !estimate.is_overloaded();
        if can_wait && is_passing && answered_in_ms <= call.objective_left_ms as f64 {
            return Decision::Wait { for_ms: (wait_ms as u64).clamp(MIN_WAIT_MS, MAX_WAIT_MS) };
        }
        self.refuse(call, estimate, now_ms, random)
    }

    /// Whether a call is admitted although all slots are in use. A caller that returns when it was
    /// told is; one that returns earlier is not.
    fn admits(
        &mut self,
        call: &Call,
        estimate: &LoadEstimate,
        now_ms: u64,
        random: &mut dyn Random,
    ) -> bool {
        let due_ms = call.id.as_ref().and_then(|id| self.returns.get(id)).copied();
        if let Some(due_ms) = due_ms.filter(|due_ms| now_ms < due_ms + RETURN_TTL_MS) {
            let has_waited = now_ms >= due_ms;
            if has_waited {
                self.returned.count(now_ms, RECENT_STEPS * ARRIVAL_STEP_MS);
                call.id.as_ref().and_then(|id| self.returns.remove(id));
            }
            return has_waited;
        }
        // Those who were told to return are among the calls to be admitted.
        let arrivals = self.arrivals.recent(now_ms).max(1.0);
        let returned = (self.returned.recent(now_ms) / arrivals).min(1.0);
        let admitted = estimate.admitted_fraction();
        unit(random) * (1.0 - returned) < admitted - returned
    }

    fn refuse(
        &mut self,
        call: &Call,
        estimate: &LoadEstimate,
        now_ms: u64,
        random: &mut dyn Random,
    ) -> Decision {
        let (id, left_ms) = (call.id.as_ref(), call.left_ms);
        let retry_after_ms = self.retry_after_ms(id, left_ms, estimate, now_ms, random);
        Decision::Refuse { retry_after_ms }
    }

    /// When the caller of a refused call should return. Callers are told to return one after
    /// another, each when this instance's share of the capacity allows one more call.
    pub fn retry_after_ms(
        &mut self,
        id: Option<&Arc<str>>,
        left_ms: u64,
        estimate: &LoadEstimate,
        now_ms: u64,
        random: &mut dyn Random,
    ) -> u64 {
        self.returns.retain(|_, due_ms| now_ms < *due_ms + RETURN_TTL_MS);
        let max_ms = (left_ms / MAX_RETRY_DIVISOR).max(1);
        let known_ms = id.and_then(|id| self.returns.get(id)).copied();
        if let Some(due_ms) = known_ms.filter(|due_ms| now_ms < *due_ms) {
            return (due_ms - now_ms).min(max_ms);
        }
        let spacing_ms = estimate.return_spacing_ms().min(max_ms as f64) as u64;
        let relief_ms = (estimate.lag_ms + estimate.relief_in_ms()).min(max_ms as f64) as u64;
        let earliest_ms = now_ms + (relief_ms + random.below(spacing_ms + 1)).min(max_ms);
        let due_ms = earliest_ms.max(self.last_return_ms + spacing_ms);
        // A caller may come one return too early, since few returns fit into the time.
        if due_ms > now_ms + max_ms + spacing_ms {
            // The capacity until then is promised already; there may be more than expected.
            return max_ms - random.below(max_ms / 2 + 1);
        }
        self.last_return_ms = due_ms;
        let due_ms = due_ms.min(now_ms + max_ms);
        if let Some(id) = id.filter(|_| self.returns.len() < MAX_RETURNS) {
            self.returns.insert(Arc::clone(id), due_ms);
        }
        (due_ms - now_ms).max(1)
    }

    /// Adds a call to those that wait.
    pub fn enqueue(&mut self, ticket: Ticket) {
        self.waiting.insert(ticket);
    }

    /// Removes a call that no longer waits.
    pub fn dequeue(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }
}
