//! Recent losses of upstreams, and the suspicion that they cast on their failure domains.

use std::collections::BTreeMap;
use std::sync::Arc;

/// How long a loss counts for its upstream and is reported to peers: the list of upstreams drops a
/// lost one within this time.
const LOSS_RETENTION_MS: u64 = 4_000;
/// How long a loss casts suspicion on its failure domain. When a whole domain fails, the engines
/// with work there are all detected as lost within 400 ms. One that nobody has detected as lost
/// after twice that time is alive, or has no work and is checked by the next request.
const DOMAIN_SUSPICION_MS: u64 = 800;
/// Minimum number of lost upstreams of a service in one failure domain that makes the others there
/// suspected; fewer fail independently on an ordinary day.
const MIN_CORRELATED_LOSSES: usize = 3;

/// The loss of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    /// Service of the upstream.
    pub service: Arc<str>,
    /// Failure domain of the upstream.
    pub domain: Arc<str>,
    /// When this instance detected the loss or received the report of it.
    pub at_ms: u64,
    /// Whether this instance detected the loss, rather than a peer.
    pub is_own: bool,
}

/// An upstream whose state is queried.
#[derive(Debug, Clone, Copy)]
pub struct QueriedUpstream<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its service.
    pub service: &'a str,
    /// Its failure domain.
    pub domain: &'a str,
    /// When it was last known to be alive.
    pub alive_ms: u64,
}

/// Recent losses by upstream id.
#[derive(Debug, Default)]
pub struct Losses {
    known: BTreeMap<Arc<str>, Loss>,
}

impl Losses {
    /// Records a loss that this instance detected; it replaces one that a peer reported.
    pub fn note(&mut self, id: &Arc<str>, loss: Loss) {
        self.known.insert(Arc::clone(id), loss);
    }

    /// Records a loss that a peer reported; a repeated report does not renew it.
    pub fn note_reported(&mut self, id: &Arc<str>, loss: Loss) {
        self.known.entry(Arc::clone(id)).or_insert(loss);
    }

    /// Drops the loss of an upstream that answers again.
    pub fn forget(&mut self, id: &str) {
        self.known.remove(id);
    }

    /// Drops the losses that peers reported and no longer report.
    pub fn forget_reported_except(&mut self, reported: &[Arc<str>]) {
        self.known.retain(|id, loss| loss.is_own || reported.contains(id));
    }

    /// Drops the losses that this instance detected since a time, when it could reach no upstream.
    pub fn forget_own_since(&mut self, since_ms: u64) {
        self.known.retain(|_, loss| !loss.is_own || loss.at_ms < since_ms);
    }

    /// Drops expired losses, except those that `is_final` marks as permanent.
    pub fn expire(&mut self, now_ms: u64, is_final: impl Fn(&str) -> bool) {
        self.known.retain(|id, loss| loss.at_ms + LOSS_RETENTION_MS > now_ms || is_final(id));
    }

    /// Returns the upstreams whose loss this instance detected itself, for reports to peers.
    pub fn own(&self) -> Vec<Arc<str>> {
        let own = self.known.iter().filter(|(_, loss)| loss.is_own);
        own.map(|(id, _)| Arc::clone(id)).collect()
    }

    /// Whether an upstream was lost since it was last known to be alive.
    pub fn is_lost(&self, upstream: QueriedUpstream<'_>) -> bool {
        self.known.get(upstream.id).is_some_and(|loss| loss.at_ms >= upstream.alive_ms)
    }

    /// Whether so many upstreams of the same service and failure domain were lost a moment ago,
    /// and since this one was last known to be alive, that it is probably lost too.
    pub fn has_correlated_losses(&self, upstream: QueriedUpstream<'_>, now_ms: u64) -> bool {
        let casts_suspicion = |loss: &&Loss| {
            *loss.domain == *upstream.domain
                && *loss.service == *upstream.service
                && loss.at_ms >= upstream.alive_ms
                && loss.at_ms + DOMAIN_SUSPICION_MS > now_ms
        };
        self.known.values().filter(casts_suspicion).count() >= MIN_CORRELATED_LOSSES
    }
}
