//! When a second attempt of a repeatable call starts while the first one is silent.
//!
//! An answer can be lost without a reset, and its caller then waits until its time is over for work
//! that takes a few milliseconds. A second attempt at another upstream costs one run. It is made
//! in time for the caller's objective, and only for the slowest few: a service that is slow for
//! everybody gets no more than one call in twenty twice.

use super::latency::Latencies;

/// The part of the answers that come before a second attempt is due, so that at most one in twenty
/// calls is sent twice, however slow all are.
const USUAL: f64 = 0.95;
/// The second attempt itself should make the objective in so many of the cases.
const LIKELY: f64 = 0.75;

/// How long after the first attempt of a call a second one starts; `None` if none does.
///
/// It starts so late that the objective can still be met, and not before nearly all answers have
/// come. Before enough is known, only a call that has lost its objective gets one.
pub fn after_ms(known: &Latencies, objective_ms: u64) -> Option<u64> {
    let (Some(usual_ms), Some(likely_ms)) = (known.quantile(USUAL), known.quantile(LIKELY)) else {
        return (objective_ms > 0).then_some(objective_ms);
    };
    Some(usual_ms.max(objective_ms.saturating_sub(likely_ms)))
}
