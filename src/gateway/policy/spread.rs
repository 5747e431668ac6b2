//! How far a choice spreads over good candidates: a pure step.
//!
//! All instances see nearly the same loads, and what each of them places is known to the others
//! only a moment later. If every choice went to the best candidate, all that come within this moment
//! would meet there, and wait for seconds while others idle. See
//! [docs/design/shifted-work.md](../../../docs/design/shifted-work.md).

/// Pairs of requests placed unseen that may meet at one candidate, on average: each pair costs one of
/// them the time that the other's prompt takes.
const MEETING_PAIRS: f64 = 1.0;
/// The part of the candidates that shares a choice at the most: beyond it, load would decide nothing.
const MOST_SHARING_PART: f64 = 0.5;
/// The least spread, in requests: what is known of load is never better than to a part of a request.
const LEAST_SPREAD: f64 = 0.4;
/// The greatest spread, in requests: a candidate that is worse by far more than an engine's usual
/// load stays a bad choice, however little is known.
const MOST_SPREAD: f64 = 4.0;
/// How often the interval between the two is halved; the spread is then known to a hundredth.
const HALVINGS: u32 = 9;

/// Within how many requests of the best cost a candidate is about as good, where other instances
/// place `unseen` requests before this one hears of it.
///
/// A candidate that is worse by the spread is chosen 2.7 times less often than the best. The spread
/// is the least one at which enough candidates share the choice, each counted by its weight: of
/// `unseen` requests at random among `n` candidates, `unseen² / 2n` pairs meet.
pub fn spread(costs: &[f64], unseen: f64) -> f64 {
    let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
    let most_sharing = costs.len() as f64 * MOST_SHARING_PART;
    let wanted = (unseen * unseen / (2.0 * MEETING_PAIRS)).min(most_sharing);
    let sharing = |spread: f64| costs.iter().map(|cost| weight(cost - least, spread)).sum::<f64>();
    // The best one alone counts as one.
    if wanted <= 1.0 || sharing(LEAST_SPREAD) >= wanted {
        return LEAST_SPREAD;
    }
    let (mut low, mut high) = (LEAST_SPREAD, MOST_SPREAD);
    for _ in 0..HALVINGS {
        let middle = f64::midpoint(low, high);
        if sharing(middle) < wanted {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// The weight of a candidate that is worse than the best by an excess, from 0 to 1.
pub fn weight(excess: f64, spread: f64) -> f64 {
    (-excess / spread).exp()
}
