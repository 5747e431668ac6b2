//! How evenly a choice is spread over good candidates.
//!
//! All instances see nearly the same loads, and each learns what the others place only a moment
//! later. If every choice went to the best candidate, all requests that arrive within this moment
//! would collide there and wait for seconds while other engines idle. See
//! [docs/design/shifted-work.md](../../../docs/design/shifted-work.md).

/// Accepted average number of pairs of unseen requests that collide at one candidate: each
/// collision delays one of the two by the time that the other's prompt takes.
const ACCEPTED_COLLISIONS: f64 = 1.0;
/// Upper bound on the fraction of the candidates that share a choice: beyond it, load would not
/// matter.
const MAX_SHARING_FRACTION: f64 = 0.5;
/// Minimum spread, in requests: load is never known more precisely than to a fraction of a request.
const MIN_SPREAD: f64 = 0.4;
/// Maximum spread, in requests: a candidate whose load exceeds the best by far more than an
/// engine's usual load remains a bad choice, however little is known.
const MAX_SPREAD: f64 = 4.0;
/// Number of bisection steps between the two bounds, which gives the spread to a hundredth.
const BISECTION_STEPS: u32 = 9;

/// Returns the excess cost, in requests, up to which a candidate counts as about as good as the
/// best, where other instances place `unseen` requests before this one receives their reports.
///
/// A candidate whose cost exceeds the best by the spread is chosen 2.7 times less often than the
/// best. The result is the smallest spread at which enough candidates share the choice, each
/// counted by its weight: of `unseen` requests at random among `n` candidates, `unseen² / 2n` pairs
/// collide.
pub fn spread(costs: &[f64], unseen: f64) -> f64 {
    let min_cost = costs.iter().copied().fold(f64::INFINITY, f64::min);
    let max_sharing = costs.len() as f64 * MAX_SHARING_FRACTION;
    let min_sharing = (unseen * unseen / (2.0 * ACCEPTED_COLLISIONS)).min(max_sharing);
    let sharing =
        |spread: f64| costs.iter().map(|cost| weight(cost - min_cost, spread)).sum::<f64>();
    // The best candidate alone counts as one.
    if min_sharing <= 1.0 || sharing(MIN_SPREAD) >= min_sharing {
        return MIN_SPREAD;
    }
    let (mut low, mut high) = (MIN_SPREAD, MAX_SPREAD);
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(low, high);
        if sharing(middle) < min_sharing {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// Weight of a candidate, from 0 to 1, by how far its cost exceeds the best.
pub fn weight(excess: f64, spread: f64) -> f64 {
    (-excess / spread).exp()
}
