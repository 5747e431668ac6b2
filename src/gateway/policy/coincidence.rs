//! Upstreams that ended lately, and whether one that ended under a request has a common cause with them:
//! pure bookkeeping.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::super::crash::Crash;
use super::super::fingerprint::Fingerprint;
use super::super::fleet::Upstream;

/// How long after a crash it is judged, when peers have told which other upstreams ended meanwhile.
pub const SETTLE_MS: u64 = 350;
/// How long before a crash the end of another upstream has the same cause.
const COINCIDENT_MS: u64 = 150;
/// Other upstreams whose ends have a common cause with a crash, at the least.
const COINCIDENT_LEAST: usize = 2;
/// The part of a failure domain's upstreams, one in so many, that ends for a common cause.
const DOMAIN_PART: usize = 3;
/// The part of a whole service's upstreams, one in so many, that does.
const SERVICE_PART: usize = 2;
/// How long an end is remembered: a rumor of it is heard for a second or two, and is news only once.
const END_KEPT_MS: u64 = 10_000;
/// Ends that are remembered at the most.
const MOST_ENDS: usize = 1_024;

/// An upstream that has ended.
#[derive(Debug, Clone)]
struct End {
    upstream: Upstream,
    at_ms: u64,
    /// Requests whose runs had just begun there, as far as instances told.
    under: BTreeSet<Fingerprint>,
}

/// The upstreams that ended lately, as this instance and its peers saw it.
#[derive(Debug, Default)]
pub struct Ends {
    known: VecDeque<End>,
}

impl Ends {
    /// Notes that an upstream has ended, whatever ran there.
    pub fn note(&mut self, upstream: &Upstream, now_ms: u64) {
        let end = self.end_of(upstream, now_ms);
        // Under the same id, another incarnation of it may end later.
        if end.at_ms + SETTLE_MS + COINCIDENT_MS < now_ms {
            end.at_ms = now_ms;
            end.under.clear();
        }
    }

    /// Notes that an upstream ended under a run that had just begun. Whether it is new.
    pub fn note_under(
        &mut self,
        upstream: &Upstream,
        fingerprint: Fingerprint,
        now_ms: u64,
    ) -> bool {
        self.end_of(upstream, now_ms).under.insert(fingerprint)
    }

    fn end_of(&mut self, upstream: &Upstream, now_ms: u64) -> &mut End {
        let is_old = |end: &End| end.at_ms + END_KEPT_MS < now_ms;
        while self.known.front().is_some_and(is_old) || self.known.len() > MOST_ENDS {
            self.known.pop_front();
        }
        let known = self.known.iter().position(|end| end.upstream.id == upstream.id);
        let index = known.unwrap_or_else(|| {
            let end = End { upstream: upstream.clone(), at_ms: now_ms, under: BTreeSet::new() };
            self.known.push_back(end);
            self.known.len() - 1
        });
        &mut self.known[index]
    }

    /// Whether a crash has a common cause with other ends: a domain without power, a fault of the whole
    /// service. Those for which `is_own` holds, and those under the same request, don't count as others.
    pub fn is_coincident(
        &self,
        crash: &Crash,
        is_own: impl Fn(&str) -> bool,
        upstreams: &BTreeMap<Arc<str>, Upstream>,
    ) -> bool {
        let Upstream { id, service, domain, .. } = &crash.upstream;
        let is_other = |end: &&End| {
            end.upstream.service == *service
                && end.upstream.id != *id
                && end.at_ms + COINCIDENT_MS >= crash.at_ms
                && end.at_ms <= crash.at_ms + SETTLE_MS
                && !end.under.contains(&crash.fingerprint)
                && !is_own(&end.upstream.id)
        };
        let others: Vec<&End> = self.known.iter().filter(is_other).collect();
        let in_domain = others.iter().filter(|end| end.upstream.domain == *domain).count();
        let all = upstreams.values().filter(|other| other.service == *service);
        let (near, far): (Vec<&Upstream>, Vec<&Upstream>) =
            all.partition(|other| other.domain == *domain);
        let domain_bound = near.len().div_ceil(DOMAIN_PART).max(COINCIDENT_LEAST);
        let service_bound = (near.len() + far.len()).div_ceil(SERVICE_PART).max(COINCIDENT_LEAST);
        in_domain >= domain_bound || others.len() >= service_bound
    }
}
