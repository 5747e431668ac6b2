//! Estimate of the present load of a service's workers from reports of the past, and the choice of a
//! worker by it.

use crate::decide::Random;

/// Upper bound on the calls that a report is believed to show, in multiples of the slots. With more
/// no call there would be answered in time anyway.
pub(super) const MAX_CREDIBLE_CALLS_PER_SLOT: f64 = 64.0;
/// Fraction of its limit at which a worker's load is held under overload. The rest is for what the
/// instances admit while none sees the others' calls.
pub(super) const TARGET_FRACTION: f64 = 0.6;
/// Upper bound on the limit of a worker, in multiples of the slots: below the calls that a report is
/// believed to show, or no worker would ever count as full.
const MAX_LIMIT_CALLS_PER_SLOT: f64 = MAX_CREDIBLE_CALLS_PER_SLOT / 2.0;
/// Upper bound on the slots that a worker is believed to have, in multiples of the median.
const MAX_CREDIBLE_SLOTS_FACTOR: f64 = 4.0;
/// Time in which half of a reported slowness is forgotten, in milliseconds: slowdowns end without
/// notice.
const SLOWNESS_HALF_LIFE_MS: f64 = 1_000.0;

/// What a worker reported of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Number of calls that it runs.
    pub running: u32,
    /// Number of calls that wait there.
    pub waiting: u32,
    /// Number of calls that it can run at once.
    pub slots: u32,
    /// How long work takes there, in percent of the usual time.
    pub slowness_percent: Option<u32>,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// What is known of a worker.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerState {
    /// Its newest report to any instance.
    pub report: Option<Report>,
    /// Number of calls that this instance sent it since that report.
    pub sent_since: u32,
    /// Number of calls that run there by what instances tell each other; counts without a report.
    pub known_runs: u32,
    /// Disadvantage in the choice, in calls.
    pub penalty_calls: f64,
    /// Whether it is suspected to be lost; it is then a last resort.
    pub is_suspect: bool,
}

/// What is known of a service apart from its workers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Conditions {
    /// How long a worker at its usual speed works on a call, in milliseconds.
    pub work_ms: f64,
    /// Calls that arrive at all instances, per millisecond.
    pub demand_per_ms: f64,
    /// Fraction of these calls that arrive at other instances.
    pub others_fraction: f64,
    /// How long a call may take at a worker, in milliseconds.
    pub limit_ms: f64,
}

/// Estimated state of one worker.
#[derive(Debug, Clone, PartialEq)]
struct WorkerEstimate {
    /// Calls that run or wait there.
    calls: f64,
    slots: f64,
    /// How long it works on a call at present, in milliseconds.
    work_ms: f64,
    /// Calls up to which one more is answered within the limit.
    limit: f64,
    penalty_calls: f64,
    is_available: bool,
}

impl WorkerEstimate {
    fn rate_per_ms(&self) -> f64 {
        self.slots / self.work_ms
    }

    /// Expected time to the answer of one more call.
    fn expected_ms(&self) -> f64 {
        self.work_ms * ((self.calls + 1.0) / self.slots).max(1.0)
    }

    fn has_place(&self) -> bool {
        self.is_available && self.calls + 1.0 <= self.limit
    }

    fn has_free_slot(&self) -> bool {
        self.is_available && self.calls + 1.0 <= self.slots
    }

    /// Cost of one more call. Free slots don't differ in the expected time, so use counts as well;
    /// each call then adds the same, whether it runs or waits.
    fn cost_ms(&self) -> f64 {
        self.work_ms * (1.0 + (self.calls + 1.0 + self.penalty_calls) / self.slots)
    }
}

/// Whether calls to a service are limited: none of them has a prompt, whose length would decide how
/// long it takes, and its workers report how slow they are. Other services are served as before.
pub fn is_limited(reads_prompts: bool, workers: &[WorkerState]) -> bool {
    let mut reports = workers.iter().filter_map(|worker| worker.report.as_ref());
    !reads_prompts && reports.any(|report| report.slowness_percent.is_some())
}

/// What a call needs of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Needed {
    /// A slot that no other call uses.
    FreeSlot,
    /// A place from which it is answered within the limit.
    Place,
    /// A place if there is one, else the lowest cost.
    Any,
}

/// Estimated state of all workers of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadEstimate {
    workers: Vec<WorkerEstimate>,
    pub(super) conditions: Conditions,
    /// Calls that all available workers finish while all slots are in use, per millisecond.
    capacity_per_ms: f64,
    /// How long it takes until a call that was sent shows in the reports, in milliseconds.
    pub(super) lag_ms: f64,
}

impl LoadEstimate {
    /// Estimates the present state from reports of the past.
    pub fn new(workers: &[WorkerState], conditions: Conditions) -> LoadEstimate {
        let median_slots = median_slots(workers);
        let has_unsuspected = workers.iter().any(|worker| !worker.is_suspect);
        let estimates: Vec<WorkerEstimate> = workers
            .iter()
            .map(|worker| estimate_worker(worker, &conditions, median_slots, has_unsuspected))
            .collect();
        let available = estimates.iter().filter(|worker| worker.is_available);
        let capacity_per_ms = available.map(WorkerEstimate::rate_per_ms).sum();
        let lag_ms = conditions.work_ms + mean_age_ms(workers, &estimates);
        let mut estimate = LoadEstimate { workers: estimates, conditions, capacity_per_ms, lag_ms };
        estimate.forecast(workers);
        estimate
    }

    /// Calls of other instances that reach the workers, per millisecond; what is not admitted
    /// reaches none.
    fn others_per_ms(&self) -> f64 {
        self.conditions.others_fraction * self.conditions.demand_per_ms.min(self.capacity_per_ms)
    }

    /// Adds what happened since the reports. The other instances saw the same reports, so most of
    /// their calls went to the workers that had the lowest costs then.
    fn forecast(&mut self, workers: &[WorkerState]) {
        let sorted = self.by_cost(self.allowed(&[], |worker| worker.is_available));
        let weights = self.weights(&sorted);
        let total = weights.iter().sum::<f64>();
        let mut inflow_per_ms = vec![0.0; workers.len()];
        for (index, weight) in sorted.into_iter().zip(weights) {
            inflow_per_ms[index] =
                if total > 0.0 { self.others_per_ms() * weight / total } else { 0.0 };
        }
        for ((known, worker), inflow_per_ms) in
            self.workers.iter_mut().zip(workers).zip(inflow_per_ms)
        {
            if let Some(report) = &worker.report {
                forecast(known, inflow_per_ms, report.age_ms as f64);
            }
            known.calls += f64::from(worker.sent_since);
        }
    }

    /// Expected time from sending a call to a worker until its answer, in milliseconds.
    pub fn expected_ms(&self, index: usize) -> f64 {
        self.workers[index].expected_ms()
    }

    /// Upper bound on the calls at all available workers together.
    pub fn limit(&self) -> f64 {
        self.available().map(|worker| worker.limit).sum()
    }

    /// Number of calls that the workers can still take within their limits.
    pub fn places(&self) -> usize {
        self.available().map(|worker| (worker.limit - worker.calls).max(0.0) as usize).sum()
    }

    /// Whether more calls arrive than the workers can serve.
    pub fn is_overloaded(&self) -> bool {
        self.conditions.demand_per_ms > self.capacity_per_ms
    }

    fn available(&self) -> impl Iterator<Item = &WorkerEstimate> {
        self.workers.iter().filter(|worker| worker.is_available)
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.workers.iter().any(WorkerEstimate::has_free_slot)
    }

    /// Calls at all workers beyond those that are aimed at; negative if there are fewer.
    fn excess(&self) -> f64 {
        let target = |worker: &WorkerEstimate| {
            worker.slots.max(TARGET_FRACTION * worker.limit) - worker.calls
        };
        -self.available().map(target).sum::<f64>()
    }

    /// Fraction of the arriving calls that is admitted.
    ///
    /// All instances see about the same workers, so if each admitted what finds room in its own
    /// estimate, all would admit together and then refuse together. Where more calls arrive than the
    /// workers can serve, each instance admits the same fraction of its own calls instead: capacity
    /// over demand. These fractions add up to the capacity, however the calls are distributed. An
    /// excess of calls at the workers is taken back within the time in which its decrease shows; a
    /// faster correction would be made twice.
    pub fn admitted_fraction(&self) -> f64 {
        let admitted_per_ms = self.capacity_per_ms - self.excess() / self.lag_ms;
        (admitted_per_ms / self.conditions.demand_per_ms).clamp(0.0, 1.0)
    }

    /// Time until a worker has a place, in milliseconds, if no more calls are sent.
    pub fn place_in_ms(&self) -> f64 {
        let wait = |worker: &WorkerEstimate| {
            ((worker.calls + 1.0 - worker.limit) / worker.rate_per_ms()).max(0.0)
        };
        self.available().map(wait).min_by(f64::total_cmp).unwrap_or(f64::INFINITY)
    }

    /// Time until the calls at the workers are back at what is aimed at, in milliseconds, if no more
    /// are sent.
    pub(super) fn relief_in_ms(&self) -> f64 {
        self.excess().max(0.0) / self.capacity_per_ms
    }

    /// Time between two returns of refused callers that this instance may promise, in milliseconds,
    /// if the capacity is shared out by the calls that arrive.
    pub(super) fn return_spacing_ms(&self) -> f64 {
        let own_per_ms = self.capacity_per_ms * (1.0 - self.conditions.others_fraction);
        if own_per_ms > 0.0 { 1.0 / own_per_ms } else { f64::INFINITY }
    }

    /// Chooses a worker, none of the excluded ones, that has what the call needs.
    ///
    /// The choice is random, with the fractions that even out the costs of all workers once the calls
    /// are placed that other instances place on the same estimate. An instance that is alone chooses
    /// the worker with the lowest cost.
    pub fn choose(
        &self,
        excluded: &[usize],
        needed: Needed,
        random: &mut dyn Random,
    ) -> Option<usize> {
        let mut best = match needed {
            Needed::FreeSlot => self.allowed(excluded, WorkerEstimate::has_free_slot),
            Needed::Place | Needed::Any => self.allowed(excluded, WorkerEstimate::has_place),
        };
        if best.is_empty() && needed == Needed::Any {
            best = self.allowed(excluded, |worker| worker.is_available);
        }
        if best.is_empty() && needed == Needed::Any {
            best = self.allowed(excluded, |_| true);
        }
        let best = self.by_cost(best);
        let weights = self.weights(&best);
        weighted(&best, &weights, random)
    }

    fn allowed(&self, excluded: &[usize], matches: impl Fn(&WorkerEstimate) -> bool) -> Vec<usize> {
        let is_allowed =
            |index: &usize| !excluded.contains(index) && matches(&self.workers[*index]);
        (0..self.workers.len()).filter(is_allowed).collect()
    }

    fn by_cost(&self, mut indices: Vec<usize>) -> Vec<usize> {
        indices.sort_by(|a, b| self.workers[*a].cost_ms().total_cmp(&self.workers[*b].cost_ms()));
        indices
    }

    /// How many of the calls that nobody sees yet, with this one, each worker should take, for
    /// workers in the order of their cost.
    fn weights(&self, sorted: &[usize]) -> Vec<f64> {
        let unseen = self.others_per_ms() * self.lag_ms;
        let mut level_ms = 0.0;
        let (mut rate_per_ms, mut weighted_cost) = (0.0, 0.0);
        for index in sorted {
            let worker = &self.workers[*index];
            if rate_per_ms > 0.0 && worker.cost_ms() >= level_ms {
                break;
            }
            rate_per_ms += worker.rate_per_ms();
            weighted_cost += worker.rate_per_ms() * worker.cost_ms();
            level_ms = (unseen + weighted_cost) / rate_per_ms;
        }
        let weight = |index: &usize| {
            let worker = &self.workers[*index];
            (level_ms - worker.cost_ms()).max(0.0) * worker.rate_per_ms()
        };
        sorted.iter().map(weight).collect()
    }
}

/// Draws one of the items; the first one if all weights are zero.
fn weighted(items: &[usize], weights: &[f64], random: &mut dyn Random) -> Option<usize> {
    let mut remaining = weights.iter().sum::<f64>() * unit(random);
    for (item, weight) in items.iter().zip(weights) {
        if remaining < *weight {
            return Some(*item);
        }
        remaining -= weight;
    }
    items.first().copied()
}

/// A random number from 0 to 1.
pub(super) fn unit(random: &mut dyn Random) -> f64 {
    const STEPS: u64 = 1 << 32;
    random.below(STEPS) as f64 / STEPS as f64
}

/// Median of the slots that the workers report; 1 if none does.
fn median_slots(workers: &[WorkerState]) -> f64 {
    let reports = workers.iter().filter_map(|worker| worker.report.as_ref());
    let mut slots: Vec<u32> =
        reports.map(|report| report.slots).filter(|slots| *slots > 0).collect();
    slots.sort_unstable();
    slots.get(slots.len() / 2).map_or(1.0, |slots| f64::from(*slots))
}

/// Mean age of the reports of the available workers.
fn mean_age_ms(workers: &[WorkerState], estimates: &[WorkerEstimate]) -> f64 {
    let available = workers.iter().zip(estimates).filter(|(_, known)| known.is_available);
    let reports = available.filter_map(|(worker, _)| worker.report.as_ref());
    let ages: Vec<f64> = reports.map(|report| report.age_ms as f64).collect();
    ages.iter().sum::<f64>() / ages.len().max(1) as f64
}

/// The state of a worker at the time of its report.
fn estimate_worker(
    worker: &WorkerState,
    conditions: &Conditions,
    median_slots: f64,
    has_unsuspected: bool,
) -> WorkerEstimate {
    let report = worker.report.as_ref().filter(|report| report.slots > 0);
    let slots = report.map_or(median_slots, |report| f64::from(report.slots));
    let slots = slots.min(MAX_CREDIBLE_SLOTS_FACTOR * median_slots);
    let calls = match report {
        Some(report) => f64::from(report.running) + f64::from(report.waiting),
        None => f64::from(worker.known_runs),
    };
    let work_ms = (conditions.work_ms * slowness(report)).max(1.0);
    WorkerEstimate {
        calls: calls.min(MAX_CREDIBLE_CALLS_PER_SLOT * slots),
        slots,
        work_ms,
        limit: slots * (conditions.limit_ms / work_ms).clamp(1.0, MAX_LIMIT_CALLS_PER_SLOT),
        penalty_calls: worker.penalty_calls,
        is_available: !(worker.is_suspect && has_unsuspected),
    }
}

fn slowness(report: Option<&Report>) -> f64 {
    let Some(report) = report else { return 1.0 };
    let reported = f64::from(report.slowness_percent.unwrap_or(100)) / 100.0;
    1.0 + (reported - 1.0) * (-(report.age_ms as f64) / SLOWNESS_HALF_LIFE_MS).exp2()
}

/// Advances a worker's load by the calls that it finished and got since its report. While all slots
/// are in use it finishes calls at a constant rate, else in proportion to the calls that run.
fn forecast(worker: &mut WorkerEstimate, inflow_per_ms: f64, age_ms: f64) {
    let growth_per_ms = inflow_per_ms - worker.rate_per_ms();
    let mut left_ms = age_ms;
    if worker.calls > worker.slots {
        let drained_in_ms = (worker.calls - worker.slots) / -growth_per_ms;
        if growth_per_ms >= 0.0 || drained_in_ms >= left_ms {
            worker.calls += growth_per_ms * left_ms;
            return;
        }
        worker.calls = worker.slots;
        left_ms -= drained_in_ms;
    }
    let steady_calls = inflow_per_ms * worker.work_ms;
    if steady_calls > worker.slots {
        let missing = (steady_calls - worker.calls) / (steady_calls - worker.slots);
        let filled_in_ms = worker.work_ms * missing.ln();
        if filled_in_ms < left_ms {
            worker.calls = worker.slots + growth_per_ms * (left_ms - filled_in_ms);
            return;
        }
    }
    let remaining = (-left_ms / worker.work_ms).exp();
    worker.calls = steady_calls + (worker.calls - steady_calls) * remaining;
}
