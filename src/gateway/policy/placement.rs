//! Choice of the upstream for a request, from what is known of each.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use super::super::fleet::Upstream;
use super::engine::{Load, Need};
use super::outliers::{Standing, Status};
use super::spread;
use super::stream_versions::Binding;
use crate::decide::Random;

/// Cost of an upstream outside the preferred failure domain, in units of one request's load:
/// traffic between domains is paid for, but a busier engine slows every run on it.
const CROSS_DOMAIN_COST: f64 = 0.75;
/// Cost of an upstream that failed every recent request, in requests.
const FAILURE_COST: f64 = 24.0;
/// Cost of an upstream at the beginning of its return from an ejection, in requests: about what the
/// others have waiting when they are busy, so that it gets little at first.
const RETURN_COST: f64 = 8.0;

/// What the choice knows of an upstream.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// Its id.
    pub id: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its known load.
    pub load: Load,
    /// Fraction of its recent requests that failed, 0 to 1.
    pub failure_rate: f64,
    /// Whether it is suspected to be lost.
    pub is_suspect: bool,
    /// How it stands out by its recent outcomes.
    pub status: Status,
}

impl Candidate {
    /// Whether a request that can't be repeated is safe here and finds a place.
    fn is_sound(&self) -> bool {
        let Status { standing, is_doubtful, is_full, .. } = self.status;
        let is_normal = matches!(standing, Standing::Normal | Standing::Returning { .. });
        is_normal && !is_doubtful && !is_full && !self.is_suspect
    }
}

/// Requirements and preferences for the choice.
#[derive(Debug, Clone, Default)]
pub struct Constraints {
    /// Resources that the request needs on an engine.
    pub need: Need,
    /// Upstreams that must not be chosen.
    pub excluded: Vec<Arc<str>>,
    /// Failure domains to avoid as long as others have a candidate.
    pub avoided_domains: Vec<Arc<str>>,
    /// Failure domain of the run whose copy is placed: a copy there would be lost together with the
    /// run.
    pub apart_from: Option<Arc<str>>,
    /// Failure domain with the lowest traffic cost.
    pub preferred_domain: Option<Arc<str>>,
    /// Whether the request can be sent to another upstream if it fails, so that it may probe an
    /// ejected one.
    pub can_repeat: bool,
    /// The software version that a run may go on at.
    pub binding: Binding,
}

/// Returns the upstreams at whose address another one of their service was listed later, so that they
/// probably no longer exist.
///
/// An engine that crashes is back within a second or two under a new id, while its old entry lapses
/// only after several missed heartbeats. Each request sent to the old entry is refused. But any writer
/// may name an address that an upstream still has, so only an entry counts that requests are sent to:
/// the first one shows who is there.
pub fn superseded<'a>(upstreams: impl Iterator<Item = &'a Upstream> + Clone) -> BTreeSet<Arc<str>> {
    let mut youngest: BTreeMap<(SocketAddr, &str), u64> = BTreeMap::new();
    for upstream in upstreams.clone().filter(|upstream| !upstream.is_leaving) {
        let listed_at = youngest.entry((upstream.addr, &*upstream.service)).or_default();
        *listed_at = upstream.listed_at.max(*listed_at);
    }
    let is_superseded = |known: &&Upstream| {
        let youngest = youngest.get(&(known.addr, &*known.service));
        youngest.is_some_and(|youngest| known.listed_at < *youngest)
    };
    upstreams.filter(is_superseded).map(|known| Arc::clone(&known.id)).collect()
}

/// Chooses a good candidate and returns its index; suspected ones are chosen only if no other is
/// left.
///
/// The choice is weighted at random, with the best candidate most likely, so that instances with
/// the same information do not all choose the same one. The more requests to the service other
/// instances place before this one receives their reports (`unseen`), the more even the weights.
pub fn choose(
    candidates: &[Candidate],
    constraints: &Constraints,
    unseen: f64,
    random: &mut dyn Random,
) -> Option<usize> {
    let fits = |candidate: &Candidate| !constraints.excluded.contains(&candidate.id);
    let fitting = candidates.iter().enumerate().filter(|(_, candidate)| fits(candidate));
    let avoids_doubtful = avoids_doubtful(candidates, constraints);
    let (indices, costs): (Vec<usize>, Vec<f64>) = fitting
        .map(|(index, candidate)| {
            let outlier_cost = outlier_cost(candidate, constraints, avoids_doubtful);
            (index, cost(candidate, constraints) + outlier_cost)
        })
        .unzip();
    let min_cost = costs.iter().copied().min_by(f64::total_cmp)?;
    let good: Vec<f64> =
        costs.iter().copied().filter(|cost| cost - min_cost < LAST_RESORT_COST).collect();
    let spread = spread::spread(&good, unseen);
    let weight = |cost: &f64| (WEIGHT_UNIT * spread::weight(cost - min_cost, spread)) as u64;
    let total: u64 = costs.iter().map(weight).sum();
    let mut remaining = random.below(total.max(1));
    for (index, cost) in indices.into_iter().zip(&costs) {
        let weight = weight(cost);
        if remaining < weight {
            return Some(index);
        }
        remaining -= weight;
    }
    None
}

/// Scale that turns weights into whole numbers; the best candidate has this weight.
const WEIGHT_UNIT: f64 = 1e6;

/// Exceeds the cost of any real load, so that candidates with this cost are a last resort.
pub const LAST_RESORT_COST: f64 = 1e6;

/// Cost of a candidate apart from its load, in requests: for its failures, and for traffic between
/// failure domains.
pub fn penalty(candidate: &Candidate, constraints: &Constraints) -> f64 {
    let is_preferred = |domain: &Arc<str>| *domain == candidate.domain;
    let is_elsewhere = !constraints.preferred_domain.as_ref().is_none_or(is_preferred);
    let domain_cost = if is_elsewhere { CROSS_DOMAIN_COST } else { 0.0 };
    FAILURE_COST * candidate.failure_rate + domain_cost
}

fn cost(candidate: &Candidate, constraints: &Constraints) -> f64 {
    let mut cost = candidate.load.cost(constraints.need) + penalty(candidate, constraints);
    if constraints.avoided_domains.contains(&candidate.domain) {
        cost += LAST_RESORT_COST;
    }
    if constraints.apart_from.as_ref() == Some(&candidate.domain) {
        cost += 2.0 * LAST_RESORT_COST;
    }
    if candidate.is_suspect {
        cost += 4.0 * LAST_RESORT_COST;
    }
    cost
}

/// Whether doubtful candidates are avoided: the request can't be repeated, and another candidate has
/// a place for it.
pub fn avoids_doubtful(candidates: &[Candidate], constraints: &Constraints) -> bool {
    let is_sound_place = |candidate: &Candidate| {
        !constraints.excluded.contains(&candidate.id) && candidate.is_sound()
    };
    !constraints.can_repeat && candidates.iter().any(is_sound_place)
}

/// Cost of an upstream that fails more than the others: while it is ejected, and for a request that
/// can't be repeated also while there is doubt and another one has a place.
pub fn outlier_cost(
    candidate: &Candidate,
    constraints: &Constraints,
    avoids_doubtful: bool,
) -> f64 {
    let is_avoided = avoids_doubtful && candidate.status.is_doubtful;
    let doubt_cost = if is_avoided { 2.0 * LAST_RESORT_COST } else { 0.0 };
    let standing_cost = match candidate.status.standing {
        Standing::Normal => 0.0,
        Standing::Probing if constraints.can_repeat => 0.0,
        Standing::Ejected | Standing::Probing => 3.0 * LAST_RESORT_COST,
        Standing::Returning { share } => RETURN_COST * (1.0 - share),
    };
    doubt_cost + standing_cost
}
