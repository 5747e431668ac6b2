//! Which upstream takes a request: a pure choice over what is known of each.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::super::fleet::Upstream;
use super::engine::{Load, Need};
use super::spread;
use crate::decide::Random;

/// By how many requests a slot's worth of load another failure domain must be better: bytes
/// between domains are paid for, a busier engine slows every run on it.
const DOMAIN_BONUS: f64 = 0.75;
/// What an upstream that failed every request lately weighs, in requests.
const FAILING_WEIGHT: f64 = 24.0;

/// An upstream as the choice sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Its id.
    pub id: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// What it has to do.
    pub load: Load,
    /// The part of the last requests that failed, 0 to 1.
    pub failing: f64,
    /// Whether it was found silent or refusing a moment ago.
    pub is_suspect: bool,
}

/// What the choice must and should keep to.
#[derive(Debug, Clone, Default)]
pub struct Constraints {
    /// What the request needs of an engine.
    pub need: Need,
    /// Upstreams that must not be chosen.
    pub not: Vec<Arc<str>>,
    /// Failure domains to keep away from, if others can take it.
    pub not_domains: Vec<Arc<str>>,
    /// The failure domain of a run whose copy is placed: there, the copy falls with the run.
    pub apart_from: Option<Arc<str>>,
    /// The failure domain that costs least.
    pub near: Option<Arc<str>>,
}

/// Upstreams at whose address another one was listed later, so that they are no more.
///
/// An engine that crashes is back within a second or two under a new id, while its old entry
/// lapses only after several missed heartbeats: each request sent to the old one is refused.
pub fn superseded<'a>(upstreams: impl Iterator<Item = &'a Upstream> + Clone) -> Vec<Arc<str>> {
    let mut youngest: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    for upstream in upstreams.clone() {
        let listed_at = youngest.entry(upstream.addr).or_default();
        *listed_at = upstream.listed_at.max(*listed_at);
    }
    let is_superseded = |known: &&Upstream| known.listed_at < youngest[&known.addr];
    upstreams.filter(is_superseded).map(|known| Arc::clone(&known.id)).collect()
}

/// The index of a good candidate; suspects only if nothing else is left.
///
/// The best one is likely and not certain, so that instances with the same picture don't meet; the less
/// so, the more requests to the service others place `unseen`, before this instance hears of them.
pub fn choose(
    candidates: &[Candidate],
    constraints: &Constraints,
    unseen: f64,
    random: &mut dyn Random,
) -> Option<usize> {
    let fits = |candidate: &Candidate| !constraints.not.contains(&candidate.id);
    let fitting = candidates.iter().enumerate().filter(|(_, candidate)| fits(candidate));
    let (indices, costs): (Vec<usize>, Vec<f64>) =
        fitting.map(|(index, candidate)| (index, cost(candidate, constraints))).unzip();
    let least = costs.iter().copied().min_by(f64::total_cmp)?;
    let good: Vec<f64> = costs.iter().copied().filter(|cost| cost - least < LAST_RESORT).collect();
    let spread = spread::spread(&good, unseen);
    let weight = |cost: &f64| (WEIGHT_UNIT * spread::weight(cost - least, spread)) as u64;
    let total: u64 = costs.iter().map(weight).sum();
    let mut left = random.below(total.max(1));
    for (index, cost) in indices.into_iter().zip(&costs) {
        let weight = weight(cost);
        if left < weight {
            return Some(index);
        }
        left -= weight;
    }
    None
}

/// The weight of the best candidate, as a whole number.
const WEIGHT_UNIT: f64 = 1e6;

/// Over any real load, so that such candidates are a last resort.
const LAST_RESORT: f64 = 1e6;

fn cost(candidate: &Candidate, constraints: &Constraints) -> f64 {
    let mut cost = candidate.load.cost(constraints.need) + FAILING_WEIGHT * candidate.failing;
    if constraints.near.as_ref().is_some_and(|near| *near != candidate.domain) {
        cost += DOMAIN_BONUS;
    }
    if constraints.not_domains.contains(&candidate.domain) {
        cost += LAST_RESORT;
    }
    if constraints.apart_from.as_ref() == Some(&candidate.domain) {
        cost += 2.0 * LAST_RESORT;
    }
    if candidate.is_suspect {
        cost += 4.0 * LAST_RESORT;
    }
    cost
}
