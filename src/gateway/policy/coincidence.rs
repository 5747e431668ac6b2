//! Records upstreams whose processes ended recently, and decides whether a crash under a request
//! has a common cause with the ends of other upstreams.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use super::super::crash::Crash;
use super::super::fingerprint::Fingerprint;
use super::super::fleet::Upstream;

/// Delay between a crash and its judgement, in which peers report the other upstreams that ended.
pub const JUDGEMENT_DELAY_MS: u64 = 350;
/// The end of another upstream up to this long before a crash counts as having the same cause.
const COMMON_CAUSE_WINDOW_MS: u64 = 150;
/// Minimum number of other upstreams that must have ended for a common cause.
const MIN_COMMON_CAUSE_ENDS: usize = 2;
/// A common cause within a failure domain requires that at least one in this many of the domain's
/// upstreams of the service ended.
const DOMAIN_DIVISOR: usize = 3;
/// A common cause for the whole service requires that at least one in this many of its upstreams
/// ended.
const SERVICE_DIVISOR: usize = 2;
/// How long an end is remembered. Peers repeat the rumor of an end for a second or two, and only
/// its first arrival counts.
const END_RETENTION_MS: u64 = 10_000;
/// Upper bound on the ends that are remembered.
const MAX_ENDS: usize = 1_024;

/// An upstream whose process has ended.
#[derive(Debug, Clone)]
struct End {
    upstream: Upstream,
    at_ms: u64,
    /// Requests whose runs had just started there, as far as instances reported them.
    requests: BTreeSet<Fingerprint>,
}

/// The upstreams that ended recently, as observed by this instance and its peers.
#[derive(Debug, Default)]
pub struct RecentEnds {
    known: VecDeque<End>,
}

impl RecentEnds {
    /// Records that an upstream has ended, whatever ran there.
    pub fn note(&mut self, upstream: &Upstream, now_ms: u64) {
        let end = self.entry(upstream, now_ms);
        // Another incarnation with the same id may end later.
        if end.at_ms + JUDGEMENT_DELAY_MS + COMMON_CAUSE_WINDOW_MS < now_ms {
            end.at_ms = now_ms;
            end.requests.clear();
        }
    }

    /// Records that an upstream ended under a run that had just started. Returns whether this was
    /// unknown.
    pub fn note_under_request(
        &mut self,
        upstream: &Upstream,
        fingerprint: Fingerprint,
        now_ms: u64,
    ) -> bool {
        self.entry(upstream, now_ms).requests.insert(fingerprint)
    }

    fn entry(&mut self, upstream: &Upstream, now_ms: u64) -> &mut End {
        let is_expired = |end: &End| end.at_ms + END_RETENTION_MS < now_ms;
        while self.known.front().is_some_and(is_expired) || self.known.len() > MAX_ENDS {
            self.known.pop_front();
        }
        let known = self.known.iter().position(|end| end.upstream.id == upstream.id);
        let index = known.unwrap_or_else(|| {
            let end = End { upstream: upstream.clone(), at_ms: now_ms, requests: BTreeSet::new() };
            self.known.push_back(end);
            self.known.len() - 1
        });
        &mut self.known[index]
    }

    /// Whether a crash has a common cause with other ends, such as a power failure of a domain or a
    /// fault of the whole service. Upstreams for which `is_own` holds, and those that ended under
    /// the same request, do not count as others.
    pub fn has_common_cause(
        &self,
        crash: &Crash,
        is_own: impl Fn(&str) -> bool,
        upstreams: &BTreeMap<Arc<str>, Upstream>,
    ) -> bool {
        let Upstream { id, service, domain, .. } = &crash.upstream;
        let is_other = |end: &&End| {
            end.upstream.service == *service
                && end.upstream.id != *id
                && end.at_ms + COMMON_CAUSE_WINDOW_MS >= crash.at_ms
                && end.at_ms <= crash.at_ms + JUDGEMENT_DELAY_MS
                && !end.requests.contains(&crash.fingerprint)
                && !is_own(&end.upstream.id)
        };
        let others: Vec<&End> = self.known.iter().filter(is_other).collect();
        let in_domain = others.iter().filter(|end| end.upstream.domain == *domain).count();
        let all = upstreams.values().filter(|other| other.service == *service);
        let (same_domain, other_domains): (Vec<&Upstream>, Vec<&Upstream>) =
            all.partition(|other| other.domain == *domain);
        let domain_bound = same_domain.len().div_ceil(DOMAIN_DIVISOR).max(MIN_COMMON_CAUSE_ENDS);
        let service_bound = (same_domain.len() + other_domains.len())
            .div_ceil(SERVICE_DIVISOR)
            .max(MIN_COMMON_CAUSE_ENDS);
        in_domain >= domain_bound || others.len() >= service_bound
    }
}
