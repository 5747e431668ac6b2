//! Which upstream takes a request: a pure choice over what is known of each.

use std::sync::Arc;

use crate::decide::Random;

/// By how many requests a slot's worth of load another failure domain must be better: bytes
/// between domains are paid for, a busier engine slows every run on it.
const DOMAIN_BONUS: f64 = 0.75;
/// What a copy weighs against a run: it holds as much memory and no steps.
const COPY_WEIGHT: f64 = 0.3;
/// What a prompt being read weighs beside a run: it slows every run's tokens while it lasts.
const READING_WEIGHT: f64 = 1.0;
/// What an upstream that failed every request lately weighs, in requests.
const FAILING_WEIGHT: f64 = 24.0;

/// An upstream as the choice sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Its id.
    pub id: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Requests that run there or wait.
    pub runs: f64,
    /// Copies that lie there.
    pub copies: f64,
    /// Prompts that are being read there, as far as known.
    pub reading: f64,
    /// The part of the last requests that failed, 0 to 1.
    pub failing: f64,
    /// Whether it was found silent or refusing a moment ago.
    pub is_suspect: bool,
}

/// What the choice must and should keep to.
#[derive(Debug, Clone, Default)]
pub struct Wish {
    /// Upstreams that must not be chosen.
    pub not: Vec<Arc<str>>,
    /// Failure domains to keep away from, if others can take it.
    pub not_domains: Vec<Arc<str>>,
    /// The failure domain that costs least.
    pub near: Option<Arc<str>>,
}

/// The index of the best candidate; suspects only if nothing else is left.
pub fn choose(candidates: &[Candidate], wish: &Wish, random: &mut dyn Random) -> Option<usize> {
    let mut best: Option<(usize, f64)> = None;
    let mut ties = 0;
    for (index, candidate) in candidates.iter().enumerate() {
        if wish.not.contains(&candidate.id) {
            continue;
        }
        let cost = cost(candidate, wish);
        match best {
            Some((_, least)) if cost > least => {}
            Some((_, least)) if cost == least => {
                ties += 1;
                if random.below(ties) == 0 {
                    best = Some((index, cost));
                }
            }
            _ => {
                ties = 1;
                best = Some((index, cost));
            }
        }
    }
    best.map(|(index, _)| index)
}

/// Over any real load, so that such candidates are a last resort.
const LAST_RESORT: f64 = 1e6;

fn cost(candidate: &Candidate, wish: &Wish) -> f64 {
    let mut cost = candidate.runs
        + COPY_WEIGHT * candidate.copies
        + READING_WEIGHT * candidate.reading
        + FAILING_WEIGHT * candidate.failing;
    if wish.near.as_ref().is_some_and(|near| *near != candidate.domain) {
        cost += DOMAIN_BONUS;
    }
    if wish.not_domains.contains(&candidate.domain) {
        cost += LAST_RESORT;
    }
    if candidate.is_suspect {
        cost += 2.0 * LAST_RESORT;
    }
    cost
}
