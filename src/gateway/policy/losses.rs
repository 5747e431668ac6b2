//! Lost upstreams, as signs for themselves and for their failure domains: pure bookkeeping.

use std::collections::BTreeMap;
use std::sync::Arc;

/// How long a loss counts for its upstream, and peers are told of it: the list of upstreams drops
/// what is gone within this time.
const LOSS_COUNTS_MS: u64 = 4_000;
/// How long a loss is a sign for its failure domain. When a whole domain falls, the engines that
/// have work there are all found lost within 400 ms; one that nobody has found lost after twice
/// that time lives, or has no work and is found by the next request.
const DOMAIN_SIGN_MS: u64 = 800;
/// So many upstreams of a service lost in one failure domain make the others there doubtful; fewer
/// fail by themselves on an ordinary day.
const DOMAIN_LOSSES: usize = 3;

/// An upstream that was lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    /// Its service.
    pub service: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// When this instance lost it or heard of it.
    pub at_ms: u64,
    /// Whether this instance found it lost, and not a peer.
    pub is_own: bool,
}

/// An upstream that is asked about.
#[derive(Debug, Clone, Copy)]
pub struct Subject<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its service.
    pub service: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// When it last showed that it lives.
    pub alive_ms: u64,
}

/// The losses of the last moments.
#[derive(Debug, Default)]
pub struct Losses {
    known: BTreeMap<Arc<str>, Loss>,
}

impl Losses {
    /// Notes a loss of this instance's own; it replaces what peers told.
    pub fn note(&mut self, id: &Arc<str>, loss: Loss) {
        self.known.insert(Arc::clone(id), loss);
    }

    /// Notes a loss that a peer told; told again, it is no newer.
    pub fn hear(&mut self, id: &Arc<str>, loss: Loss) {
        self.known.entry(Arc::clone(id)).or_insert(loss);
    }

    /// Forgets what is too old, except upstreams for which `is_final` holds.
    pub fn forget(&mut self, now_ms: u64, is_final: impl Fn(&str) -> bool) {
        self.known.retain(|id, loss| loss.at_ms + LOSS_COUNTS_MS > now_ms || is_final(id));
    }

    /// The upstreams that this instance itself lost, for its peers.
    pub fn own(&self) -> Vec<Arc<str>> {
        let own = self.known.iter().filter(|(_, loss)| loss.is_own);
        own.map(|(id, _)| Arc::clone(id)).collect()
    }

    /// Whether an upstream was lost since it last showed that it lives.
    pub fn is_lost(&self, subject: Subject<'_>) -> bool {
        self.known.get(subject.id).is_some_and(|loss| loss.at_ms >= subject.alive_ms)
    }

    /// Whether so much of an upstream's failure domain was lost a moment ago, and since it last
    /// showed that it lives, that it is likely lost too.
    pub fn is_domain_falling(&self, subject: Subject<'_>, now_ms: u64) -> bool {
        let is_sign = |loss: &&Loss| {
            *loss.domain == *subject.domain
                && *loss.service == *subject.service
                && loss.at_ms >= subject.alive_ms
                && loss.at_ms + DOMAIN_SIGN_MS > now_ms
        };
        self.known.values().filter(is_sign).count() >= DOMAIN_LOSSES
    }
}
