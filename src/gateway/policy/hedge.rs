//! Delay after which a repeatable call is hedged: a second attempt starts while the first one is
//! still unanswered.
//!
//! An answer can be lost without a connection reset, and the caller would then wait until its
//! timeout for work that takes a few milliseconds. A second attempt at another upstream costs one
//! run. It starts early enough to meet the route's objective, and only for the slowest few calls:
//! of a service that is slow for everybody, at most one call in twenty is sent twice.

use super::latency::Latencies;

/// No call is hedged before this percentile of the latencies, so that at most one call in twenty is
/// sent twice, however slow all are.
const DELAY_PERCENTILE: f64 = 0.95;
/// Percentile of the latencies that is allowed for the hedge itself, so that it meets the objective
/// in this fraction of the cases.
const LATENCY_PERCENTILE: f64 = 0.75;

/// How long after its first attempt a call is hedged; `None` if it is not.
///
/// The hedge starts as late as the objective permits, but not before nearly all answers have
/// arrived. While too few latencies are known, only a call that has already missed its objective is
/// hedged.
pub fn delay_ms(latencies: &Latencies, objective_ms: u64) -> Option<u64> {
    let (Some(min_delay_ms), Some(latency_ms)) =
        (latencies.quantile(DELAY_PERCENTILE), latencies.quantile(LATENCY_PERCENTILE))
    else {
        return (objective_ms > 0).then_some(objective_ms);
    };
    Some(min_delay_ms.max(objective_ms.saturating_sub(latency_ms)))
}
