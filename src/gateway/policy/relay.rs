//! Choice of the instance that serves a request for one that is cut off from all upstreams.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::decide::Random;

/// Number of instances that are tried for one request. The first may be cut off as well and not
/// know it yet; two in different failure domains hardly ever are.
pub const MAX_TRIED: usize = 3;

/// This failure domain is preferred if it has at least one in this many of the instances.
const MIN_NEAR_DIVISOR: usize = 6;

/// An instance that accepts requests and is not known to be cut off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Where it accepts callers' requests.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it did not take a request a moment ago.
    pub is_avoided: bool,
}

/// Chooses an instance that was not tried yet: in this failure domain, since traffic between
/// domains is billed, unless few instances are left there, which all the others would overload; but
/// in another domain than those that were tried, which may share their fault.
pub fn choose(
    candidates: &[Candidate],
    own_domain: &str,
    tried: &[SocketAddr],
    random: &mut dyn Random,
) -> Option<SocketAddr> {
    if tried.len() >= MAX_TRIED {
        return None;
    }
    let is_tried_domain = |domain: &Arc<str>| {
        candidates.iter().any(|other| other.domain == *domain && tried.contains(&other.addr))
    };
    let near = candidates.iter().filter(|candidate| *candidate.domain == *own_domain).count();
    let prefers_near = near * MIN_NEAR_DIVISOR >= candidates.len();
    let cost = |candidate: &Candidate| {
        let is_remote = prefers_near && *candidate.domain != *own_domain;
        (candidate.is_avoided, is_tried_domain(&candidate.domain), is_remote)
    };
    let open: Vec<&Candidate> =
        candidates.iter().filter(|candidate| !tried.contains(&candidate.addr)).collect();
    let least = open.iter().map(|candidate| cost(candidate)).min()?;
    let best: Vec<&&Candidate> = open.iter().filter(|candidate| cost(candidate) == least).collect();
    let index = random.below(best.len() as u64) as usize;
    best.get(index).map(|candidate| candidate.addr)
}
