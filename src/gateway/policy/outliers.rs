//! Ejection of outliers: upstreams that fail requests while the others of their service do not.
//!
//! Such an upstream draws work, because requests that fail at once leave it idle. Each instance
//! decides alone, from the outcomes of its own requests and those that the others report. An ejected
//! upstream is a last resort. It returns after a good answer to a request that can be repeated, with
//! a share of the work that grows. See
//! [docs/design/outlier-ejection.md](../../../docs/design/outlier-ejection.md).

use std::collections::BTreeMap;
use std::sync::Arc;

use super::latency::Latencies;
use super::outcomes::{Outcome, OutcomeWindow, Outcomes, WINDOW_MS};

/// Probability below which failures in a row are not put down to the failure rate of the other
/// upstreams. It is tested after each request, so it must be far below one over the number of
/// requests.
const MAX_CHANCE: f64 = 1e-6;
/// Lower bound on the failure rate that is assumed for healthy upstreams. It keeps a single failure
/// from ejecting one.
const MIN_ASSUMED_RATE: f64 = 0.01;
/// Number of standard deviations by which a number of failures or slow answers must exceed what the
/// rate of the other upstreams predicts.
const MIN_DEVIATIONS: f64 = 4.0;
/// Number of failures or slow answers by which they must exceed it in addition, so that a few requests never suffice.
const MIN_EXCESS: f64 = 3.0;
/// Difference to the rate of the other upstreams that is worth an ejection. Below it, the upstream
/// does most of its work and its capacity is worth more.
const MIN_EXCESS_RATE: f64 = 0.2;
/// Failures assumed at each upstream in addition to the known ones, among [`PRIOR_SAMPLES`]
/// requests: a few requests then don't tell upstreams apart.
const PRIOR_FAILURES: f64 = 1.0;
/// Number of requests that are assumed in addition to the known ones.
const PRIOR_SAMPLES: f64 = 10.0;
/// Failure rate that is assumed for the other upstreams while all of them fail requests.
const TROUBLED_RATE: f64 = 0.5;
/// Minimum number of requests for the failure rate of an upstream to count in placement.
const MIN_RATE_SAMPLES: u32 = 5;
/// Minimum number of this instance's requests to other upstreams by which it judges itself.
const MIN_OWN_SAMPLES: u32 = 4;
/// Multiple of the service's median time from which an answer counts as slow.
const SLOW_FACTOR: u64 = 4;

/// Duration of the first ejection, in milliseconds; each repetition doubles it.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Maximum duration of an ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 8_000;
/// Time after a return after which the next ejection is a first one again, in milliseconds.
const REPETITION_MS: u64 = 30_000;
/// Time in which the share of a returning upstream grows to the whole, in milliseconds.
const SLOW_START_MS: u64 = 2_000;
/// Interval between two probes of one instance, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 500;
/// Time after which an upstream returns without a probe, in milliseconds. It applies to services
/// whose requests can't be repeated, which would otherwise never get it back.
const MAX_PROBE_WAIT_MS: u64 = 10_000;
/// Number of other instances whose failures end a return.
const MIN_REPORTS: u32 = 2;
/// How long an unexplained failure keeps requests away that can't be repeated, in milliseconds.
const DOUBT_MS: u64 = 1_000;

/// At most one in this many upstreams of a service is ejected, so there is always one left. Those
/// that fail everything contribute nothing, so their ejection costs no capacity.
const USELESS_DIVISOR: usize = 2;
/// At most one in this many is ejected while it still does a part of its work. Of three upstreams,
/// none is: a third of the capacity is worth more than the requests that it fails.
const IMPAIRED_DIVISOR: usize = 4;

/// Why an upstream is ejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// It failed many requests in a row.
    FailedInARow,
    /// It failed again during its return.
    FailedOnReturn,
    /// It fails far more requests than the others.
    FailureRate,
    /// It answers far more slowly than the others.
    Slow,
}

impl Cause {
    /// The cause in words, for logs and operators.
    pub fn as_str(self) -> &'static str {
        match self {
            Cause::FailedInARow => "it failed requests in a row",
            Cause::FailedOnReturn => "it failed again on its return",
            Cause::FailureRate => "it fails more requests than the others",
            Cause::Slow => "it is slower than the others",
        }
    }

    /// Maximum number of ejected upstreams, of this many that accept work.
    fn max_ejected(self, usable: usize) -> usize {
        match self {
            Cause::FailedInARow | Cause::FailedOnReturn => usable / USELESS_DIVISOR,
            Cause::FailureRate | Cause::Slow => usable / IMPAIRED_DIVISOR,
        }
    }
}

/// An upstream whose standing is decided.
#[derive(Debug, Clone)]
pub struct UpstreamEvidence {
    /// Its id.
    pub id: Arc<str>,
    /// The outcomes that the other instances report, as of now.
    pub others: Outcomes,
    /// Whether it accepts work otherwise.
    pub is_usable: bool,
    /// Whether it has so many requests that one more would wait for others, as far as known.
    pub is_full: bool,
}

/// How placement treats an upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Standing {
    /// Like any other.
    #[default]
    Normal,
    /// As a last resort.
    Ejected,
    /// As a last resort, but a request that can be repeated may probe it.
    Probing,
    /// With a share of the work that grows from 0 to 1.
    Returning {
        /// The share.
        share: f64,
    },
}

/// What placement takes into account of an upstream's recent outcomes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Status {
    /// Whether it is ejected or returning.
    pub standing: Standing,
    /// Whether it failed a request just now for no known reason, which most others didn't.
    pub is_doubtful: bool,
    /// Whether it has so many requests that one more would wait for others, as far as known.
    pub is_full: bool,
    /// By how much its failure rate exceeds that of the others.
    pub excess_failure_rate: f64,
}

/// A change of an upstream's standing, to be logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Transition {
    /// The upstream.
    pub id: Arc<str>,
    /// Why it was ejected, and for how long in milliseconds; `None` if it returns.
    pub ejected: Option<(Cause, u64)>,
    /// The evidence.
    pub evidence: Outcomes,
}

/// An ejection, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ejection {
    /// The upstream.
    pub id: Arc<str>,
    /// Why it was ejected.
    pub cause: Cause,
    /// The evidence at that time.
    pub evidence: Outcomes,
    /// Time until it is probed, in milliseconds; 0 while it waits for a probe.
    pub left_ms: u64,
    /// Number of ejections in a row.
    pub times: u32,
}

#[derive(Debug, Clone, Copy)]
enum Phase {
    Ejected { until_ms: u64 },
    Probing { since_ms: u64, probed_ms: Option<u64> },
    Returning { since_ms: u64 },
    Returned { since_ms: u64 },
}

#[derive(Debug, Clone)]
struct Record {
    phase: Phase,
    ejected_ms: u64,
    times: u32,
    cause: Cause,
    evidence: Outcomes,
}

impl Record {
    fn is_ejected(&self) -> bool {
        matches!(self.phase, Phase::Ejected { .. } | Phase::Probing { .. })
    }

    fn duration_ms(&self) -> u64 {
        ejection_ms(self.times)
    }
}

/// Duration of an ejection, by its number in a row.
fn ejection_ms(times: u32) -> u64 {
    let doublings = times.saturating_sub(1).min(u64::BITS - 1);
    FIRST_EJECTION_MS.saturating_mul(1 << doublings).min(MAX_EJECTION_MS)
}

/// Outcomes and ejections of one instance.
#[derive(Debug, Default)]
pub struct Outliers {
    windows: BTreeMap<Arc<str>, OutcomeWindow>,
    /// Times of good answers, by service.
    times: BTreeMap<Arc<str>, Latencies>,
    records: BTreeMap<Arc<str>, Record>,
    statuses: BTreeMap<Arc<str>, Status>,
}

impl Outliers {
    /// Records that an upstream of a service answered well.
    pub fn note_answer(&mut self, service: &Arc<str>, id: &Arc<str>, after_ms: u64, now_ms: u64) {
        let times = self.times.entry(Arc::clone(service)).or_default();
        let usual_ms = times.quantile(0.5);
        times.record(after_ms);
        let is_slow = usual_ms.is_some_and(|usual_ms| after_ms > SLOW_FACTOR * usual_ms.max(1));
        self.note(id, Outcome::Answered { is_slow }, now_ms);
    }

    /// Records how a request to an upstream ended.
    pub fn note(&mut self, id: &Arc<str>, outcome: Outcome, now_ms: u64) {
        self.windows.entry(Arc::clone(id)).or_default().note(outcome, now_ms);
    }

    /// Drops all that is known of an upstream, which restarted under its id.
    pub fn forget(&mut self, id: &str) {
        self.windows.remove(id);
        self.records.remove(id);
        self.statuses.remove(id);
    }

    /// Drops what concerns upstreams that are gone, and outcomes that no longer count.
    pub fn expire(&mut self, now_ms: u64, is_known: impl Fn(&str) -> bool) {
        self.windows.retain(|id, window| is_known(id) && window.remove_expired(now_ms));
        self.records.retain(|id, _| is_known(id));
        self.statuses.retain(|id, _| is_known(id));
    }

    /// The outcomes to report of the upstreams of one service.
    pub fn report(&self, ids: &[Arc<str>], now_ms: u64) -> Vec<(Arc<str>, Outcomes)> {
        let own = self.own(ids, now_ms).into_iter().map(Outcomes::as_reported);
        let all = ids.iter().cloned().zip(own);
        all.filter(|(_, outcomes)| outcomes.total() > 0).collect()
    }

    /// The outcomes of this instance's requests to the upstreams of one service. The failures at an
    /// upstream are left out if the requests to the others fail as well: the fault is then probably
    /// this instance's own, or the whole service's.
    fn own(&self, ids: &[Arc<str>], now_ms: u64) -> Vec<Outcomes> {
        let of = |id: &Arc<str>| {
            self.windows.get(id).map_or(Outcomes::default(), |window| window.outcomes(now_ms))
        };
        let all: Vec<Outcomes> = ids.iter().map(of).collect();
        let sum = |count: fn(&Outcomes) -> u32| all.iter().map(count).fold(0, u32::saturating_add);
        let failed = sum(|outcomes| outcomes.failed);
        let total = sum(Outcomes::total);
        let judged = |(id, outcomes): (&Arc<str>, &Outcomes)| {
            let others_failed = failed.saturating_sub(outcomes.failed);
            let others_total = total.saturating_sub(outcomes.total());
            if others_total >= MIN_OWN_SAMPLES && others_failed.saturating_mul(2) >= others_total {
                outcomes.without_failures()
            } else if self.is_well_elsewhere(id, ids) {
                *outcomes
            } else {
                // Perhaps nothing reaches this instance any more.
                outcomes.as_reported()
            }
        };
        ids.iter().zip(&all).map(judged).collect()
    }

    /// Whether another upstream answered this instance well since this one began to fail.
    fn is_well_elsewhere(&self, id: &Arc<str>, ids: &[Arc<str>]) -> bool {
        let Some(failing) = self.windows.get(id) else { return true };
        let others = ids.iter().filter(|other| *other != id);
        let mut windows = others.filter_map(|other| self.windows.get(other));
        windows.any(|window| window.has_answered_since_failures_of(failing))
    }

    /// Decides the standing of all upstreams of one service. Returns the changes.
    pub fn evaluate(&mut self, upstreams: &[UpstreamEvidence], now_ms: u64) -> Vec<Transition> {
        let ids: Vec<Arc<str>> =
            upstreams.iter().map(|upstream| Arc::clone(&upstream.id)).collect();
        let own = self.own(&ids, now_ms);
        let with_others =
            |(own, upstream): (&Outcomes, &UpstreamEvidence)| own.plus(upstream.others);
        let mut evidence: Vec<Outcomes> = own.iter().zip(upstreams).map(with_others).collect();
        let rates = Rates::of(&evidence);
        let mut transitions = Vec::new();
        let mut outliers: Vec<(Cause, usize)> = Vec::new();
        for (index, upstream) in upstreams.iter().enumerate() {
            let step = self.advance(&upstream.id, &own[index], &upstream.others, now_ms);
            if step == Step::Return {
                let evidence = evidence[index];
                transitions.push(Transition {
                    id: Arc::clone(&upstream.id),
                    ejected: None,
                    evidence,
                });
            }
            let is_again = step == Step::FailedAgain;
            if !upstream.is_usable || (self.is_ejected(&upstream.id) && !is_again) {
                continue;
            }
            let cause = is_again.then_some(Cause::FailedOnReturn);
            let is_settled = self.is_settled(&upstream.id, now_ms);
            self.reset_failures_in_a_row(&upstream.id, &mut evidence[index], now_ms);
            let cause = cause.or_else(|| cause_of(index, upstreams, &evidence, &rates, is_settled));
            outliers.extend(cause.map(|cause| (cause, index)));
        }
        outliers.sort_by_key(|(cause, index)| {
            (*cause, std::cmp::Reverse(evidence[*index].failed_in_a_row))
        });
        let usable = upstreams.iter().filter(|upstream| upstream.is_usable);
        let usable_count = usable.clone().count();
        let mut ejected = usable.filter(|upstream| self.is_ejected(&upstream.id)).count();
        for (cause, index) in outliers {
            let id = &upstreams[index].id;
            // One that failed a probe is among the ejected already.
            let others = ejected - usize::from(self.is_ejected(id));
            if others >= cause.max_ejected(usable_count) {
                continue;
            }
            ejected = others + 1;
            transitions.push(self.eject(id, cause, evidence[index], now_ms));
        }
        self.set_statuses(upstreams, &evidence, &rates);
        transitions
    }

    fn set_statuses(
        &mut self,
        upstreams: &[UpstreamEvidence],
        evidence: &[Outcomes],
        rates: &Rates,
    ) {
        let is_doubtful =
            |outcomes: &Outcomes| outcomes.unexplained_age_ms.is_some_and(|age| age < DOUBT_MS);
        let doubtful = evidence.iter().filter(|outcomes| is_doubtful(outcomes)).count();
        // What happens at half of the upstreams tells them not apart.
        let has_meaning = doubtful * 2 < upstreams.len();
        for (index, upstream) in upstreams.iter().enumerate() {
            let usual = rates.failure.usual_of_others(index);
            let excess = match evidence[index].total() {
                total if total >= MIN_RATE_SAMPLES => evidence[index].failure_rate() - usual,
                _ => 0.0,
            };
            let status = Status {
                standing: Standing::Normal,
                is_doubtful: has_meaning && is_doubtful(&evidence[index]),
                is_full: upstream.is_full,
                excess_failure_rate: excess.max(0.0),
            };
            self.statuses.insert(Arc::clone(&upstream.id), status);
        }
    }

    fn is_ejected(&self, id: &str) -> bool {
        self.records.get(id).is_some_and(Record::is_ejected)
    }

    /// Drops the failures in a row before a return, which has answered for them.
    fn reset_failures_in_a_row(&self, id: &str, evidence: &mut Outcomes, now_ms: u64) {
        let Some(record) = self.records.get(id) else { return };
        if let Phase::Returning { since_ms } | Phase::Returned { since_ms } = record.phase {
            let since_age_ms = now_ms.saturating_sub(since_ms);
            if evidence.failed_age_ms.is_some_and(|age_ms| age_ms >= since_age_ms) {
                evidence.failed_in_a_row = 0;
            }
        }
    }

    /// Whether the window holds no outcomes from before an ejection.
    fn is_settled(&self, id: &str, now_ms: u64) -> bool {
        match self.records.get(id).map(|record| record.phase) {
            Some(Phase::Returning { since_ms } | Phase::Returned { since_ms }) => {
                now_ms >= since_ms + WINDOW_MS
            }
            _ => true,
        }
    }

    fn eject(
        &mut self,
        id: &Arc<str>,
        cause: Cause,
        evidence: Outcomes,
        now_ms: u64,
    ) -> Transition {
        let times = self.records.get(id).map_or(0, |record| record.times) + 1;
        let duration_ms = ejection_ms(times);
        let phase = Phase::Ejected { until_ms: now_ms + duration_ms };
        let record = Record { phase, ejected_ms: now_ms, times, cause, evidence };
        self.records.insert(Arc::clone(id), record);
        Transition { id: Arc::clone(id), ejected: Some((cause, duration_ms)), evidence }
    }

    /// Moves an ejected or returning upstream on.
    fn advance(&mut self, id: &Arc<str>, own: &Outcomes, others: &Outcomes, now_ms: u64) -> Step {
        let Some(record) = self.records.get_mut(id) else { return Step::Stay };
        let evidence = own.plus(*others);
        let at = |age_ms: Option<u64>| age_ms.map(|age_ms| now_ms.saturating_sub(age_ms));
        let failed_ms = at(evidence.failed_age_ms);
        let answered_ms = at(evidence.answered_age_ms);
        // The failure of one other instance may be due to its link.
        let confirmed = if others.failed_in_a_row >= MIN_REPORTS { evidence } else { *own };
        let is_after = |at_ms: Option<u64>, since_ms| at_ms.is_some_and(|at_ms| at_ms > since_ms);
        if let Phase::Ejected { mut until_ms } = record.phase {
            // A probe of another instance failed, so this one need not probe so soon.
            let is_news =
                |failed_ms: &u64| *failed_ms > record.ejected_ms && answered_ms <= Some(*failed_ms);
            if let Some(failed_ms) = failed_ms.filter(is_news) {
                let latest_ms = record.ejected_ms + MAX_EJECTION_MS;
                until_ms = until_ms.max(failed_ms + record.duration_ms()).min(latest_ms);
            }
            // Outcomes since then count, however late this instance looks.
            record.phase = match now_ms >= until_ms {
                true => Phase::Probing { since_ms: until_ms, probed_ms: None },
                false => Phase::Ejected { until_ms },
            };
        }
        match record.phase {
            Phase::Ejected { .. } => Step::Stay,
            Phase::Probing { since_ms, probed_ms } => {
                let failed_ms = at(confirmed.failed_age_ms);
                let has_failed = is_after(failed_ms, since_ms);
                let is_well =
                    is_after(answered_ms, since_ms) && (!has_failed || answered_ms > failed_ms);
                let is_overdue = now_ms >= probed_ms.unwrap_or(since_ms) + MAX_PROBE_WAIT_MS;
                if is_well || is_overdue {
                    record.phase = Phase::Returning { since_ms: now_ms };
                    return Step::Return;
                }
                if has_failed {
                    return Step::FailedAgain;
                }
                Step::Stay
            }
            Phase::Returning { since_ms } => {
                if is_after(at(confirmed.unexplained_age_ms), since_ms) {
                    return Step::FailedAgain;
                }
                if now_ms >= since_ms + SLOW_START_MS {
                    record.phase = Phase::Returned { since_ms };
                }
                Step::Stay
            }
            Phase::Returned { since_ms } => {
                if now_ms >= since_ms + REPETITION_MS {
                    self.records.remove(id);
                }
                Step::Stay
            }
        }
    }

    /// How placement treats an upstream now, as of the last evaluation.
    pub fn status(&self, id: &str, now_ms: u64) -> Status {
        let status = self.statuses.get(id).copied().unwrap_or_default();
        let standing = match self.records.get(id).map(|record| record.phase) {
            None | Some(Phase::Returned { .. }) => Standing::Normal,
            Some(Phase::Probing { probed_ms, .. })
                if probed_ms.is_none_or(|at_ms| now_ms >= at_ms + PROBE_INTERVAL_MS) =>
            {
                Standing::Probing
            }
            Some(Phase::Ejected { .. } | Phase::Probing { .. }) => Standing::Ejected,
            Some(Phase::Returning { since_ms }) => {
                let passed_ms = now_ms.saturating_sub(since_ms) as f64;
                Standing::Returning { share: (passed_ms / SLOW_START_MS as f64).min(1.0) }
            }
        };
        Status { standing, ..status }
    }

    /// Records that a request was sent to an upstream as a probe.
    pub fn note_probe(&mut self, id: &str, now_ms: u64) {
        let record = self.records.get_mut(id);
        if let Some(Phase::Probing { probed_ms, .. }) = record.map(|record| &mut record.phase) {
            *probed_ms = Some(now_ms);
        }
    }

    /// The ejected upstreams, for operators.
    pub fn ejections(&self, now_ms: u64) -> Vec<Ejection> {
        let ejected = self.records.iter().filter(|(_, record)| record.is_ejected());
        let described = ejected.map(|(id, record)| Ejection {
            id: Arc::clone(id),
            cause: record.cause,
            evidence: record.evidence,
            left_ms: match record.phase {
                Phase::Ejected { until_ms } => until_ms.saturating_sub(now_ms),
                _ => 0,
            },
            times: record.times,
        });
        described.collect()
    }

    /// Ends the ejection of an upstream; it returns with a growing share. Returns whether it was
    /// ejected.
    pub fn clear(&mut self, id: &str, now_ms: u64) -> bool {
        let Some(record) = self.records.get_mut(id).filter(|record| record.is_ejected()) else {
            return false;
        };
        record.phase = Phase::Returning { since_ms: now_ms };
        record.times = 0;
        // Its failures before this time no longer count here.
        self.windows.remove(id);
        true
    }
}

/// What the evidence means for an ejected or returning upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Stay,
    Return,
    FailedAgain,
}

/// Why an upstream should be ejected, if it should. `is_settled` tells that the window holds no
/// outcomes from before its last ejection.
fn cause_of(
    index: usize,
    upstreams: &[UpstreamEvidence],
    evidence: &[Outcomes],
    rates: &Rates,
    is_settled: bool,
) -> Option<Cause> {
    let outcomes = &evidence[index];
    let usual = rates.failure.usual_of_others(index);
    let others: Vec<(&UpstreamEvidence, &Outcomes)> = upstreams
        .iter()
        .zip(evidence)
        .enumerate()
        .filter(|(other, (upstream, _))| *other != index && upstream.is_usable)
        .map(|(_, other)| other)
        .collect();
    let min_in_a_row = min_in_a_row(usual.max(recent_rate(&others)));
    let is_recent = outcomes.failed_age_ms.is_some_and(|age_ms| age_ms < DOUBT_MS);
    if outcomes.failed_in_a_row >= min_in_a_row
        && is_recent
        && !is_service_in_doubt(&others)
        && most_answer_since(outcomes, &others)
    {
        return Some(Cause::FailedInARow);
    }
    let full = others.iter().filter(|(upstream, _)| upstream.is_full).count();
    // While most others are full, the work that an impaired upstream does has no other place.
    if !is_settled || full * 2 > others.len() {
        return None;
    }
    let is_service_in_doubt = is_service_in_doubt(&others);
    // An upstream that fails a part of its requests fails some all the time. Older failures are from
    // before a recovery.
    if is_recent && !is_service_in_doubt && stands_out(outcomes.failed, outcomes.total(), usual) {
        return Some(Cause::FailureRate);
    }
    let usual = rates.slow.usual_of_others(index);
    stands_out(outcomes.slow, outcomes.answered, usual).then_some(Cause::Slow)
}

/// Failure rate to assume because of the other upstreams that failed requests just now: the service
/// may be failing as a whole, which their rates show only later.
fn recent_rate(others: &[(&UpstreamEvidence, &Outcomes)]) -> f64 {
    let has_failed = |(_, outcomes): &&(&UpstreamEvidence, &Outcomes)| {
        outcomes.failed_age_ms.is_some_and(|age_ms| age_ms < DOUBT_MS)
    };
    let failed = others.iter().filter(has_failed).count();
    TROUBLED_RATE * failed as f64 / others.len().max(1) as f64
}

/// Whether most of the other upstreams failed for no known reason just now. The failures of one then
/// tell nothing: resets take less time than answers, so they come in bursts.
fn is_service_in_doubt(others: &[(&UpstreamEvidence, &Outcomes)]) -> bool {
    let is_doubtful = |(_, outcomes): &&(&UpstreamEvidence, &Outcomes)| {
        outcomes.unexplained_age_ms.is_some_and(|age_ms| age_ms < DOUBT_MS)
    };
    others.iter().filter(is_doubtful).count() * 2 > others.len()
}

/// Whether at least half of the other upstreams answered well since this one last did.
fn most_answer_since(outcomes: &Outcomes, others: &[(&UpstreamEvidence, &Outcomes)]) -> bool {
    let answered_age_ms = outcomes.answered_age_ms.unwrap_or(u64::MAX);
    let answers = |(_, other): &&(&UpstreamEvidence, &Outcomes)| {
        let is_newer = other.answered_age_ms.is_some_and(|age_ms| age_ms < answered_age_ms);
        is_newer && other.failed_in_a_row == 0
    };
    others.iter().filter(answers).count() * 2 >= others.len()
}

/// Rates of all upstreams of a service.
struct Rates {
    failure: SortedRates,
    slow: SortedRates,
}

impl Rates {
    fn of(evidence: &[Outcomes]) -> Rates {
        Rates {
            failure: SortedRates::of(evidence, Outcomes::total, Outcomes::failure_rate),
            slow: SortedRates::of(evidence, |outcomes| outcomes.answered, Outcomes::slow_rate),
        }
    }
}

/// One rate of each upstream, drawn towards that of an upstream of which little is known.
struct SortedRates {
    by_index: Vec<f64>,
    sorted: Vec<f64>,
}

impl SortedRates {
    fn of(
        evidence: &[Outcomes],
        samples: impl Fn(&Outcomes) -> u32,
        rate: impl Fn(&Outcomes) -> f64,
    ) -> SortedRates {
        let drawn = |outcomes: &Outcomes| {
            let samples = f64::from(samples(outcomes));
            (rate(outcomes) * samples + PRIOR_FAILURES) / (samples + PRIOR_SAMPLES)
        };
        let by_index: Vec<f64> = evidence.iter().map(drawn).collect();
        let mut sorted = by_index.clone();
        sorted.sort_by(f64::total_cmp);
        SortedRates { by_index, sorted }
    }

    /// Median rate of the other upstreams, the lower one of two.
    fn usual_of_others(&self, index: usize) -> f64 {
        let position = self.sorted.partition_point(|rate| *rate < self.by_index[index]);
        let middle = self.sorted.len().saturating_sub(2) / 2;
        let middle = if position <= middle { middle + 1 } else { middle };
        self.sorted.get(middle).copied().unwrap_or(PRIOR_FAILURES / PRIOR_SAMPLES)
    }
}

/// Number of failures in a row that chance doesn't explain at this failure rate.
fn min_in_a_row(usual_rate: f64) -> u32 {
    let rate = usual_rate.max(MIN_ASSUMED_RATE);
    if rate >= 1.0 {
        return u32::MAX;
    }
    // The division of two logarithms may end just above a whole number.
    (MAX_CHANCE.ln() / rate.ln() - 1e-9).ceil() as u32
}

/// Whether a number of failures or slow answers is far above what the rate of the others predicts.
fn stands_out(count: u32, total: u32, usual_rate: f64) -> bool {
    let rate = usual_rate.clamp(MIN_ASSUMED_RATE, 1.0);
    let (count, total) = (f64::from(count), f64::from(total));
    let expected = total * rate;
    let deviation = (expected * (1.0 - rate)).sqrt();
    count >= expected + MIN_DEVIATIONS * deviation + MIN_EXCESS
        && count >= total * (usual_rate + MIN_EXCESS_RATE)
}
