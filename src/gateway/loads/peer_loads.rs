//! The load of the other instances at upstreams, updated message by message.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::cache_locations::CacheLocations;
use super::local_traffic::{LocalTraffic, SentRequests, UpstreamLoad};
use super::message::{Digest, LoadUpdate};
use super::observations::{Observations, UpstreamObservation};
use super::queues::{self, OtherQueues, ReceivedQueues, ServiceQueue};
use super::sent_ledger::{LedgerReport, SentEntry, SentLedger, add_sent, aged};
use crate::decide::Random;

/// Average interval between two digests of a failure domain at each of the others, in milliseconds.
/// Loads of that age still show which of a hundred engines are busy, because a request runs for
/// seconds.
pub const DIGEST_INTERVAL_MS: u64 = 150;
/// How long digests repeat a change, in milliseconds. They are sent every [`DIGEST_INTERVAL_MS`] on
/// average, at random times, so one in fifty changes is in none of them; the unchanged upstreams that
/// digests also repeat make up for it.
const CHANGE_REPEAT_MS: u64 = 600;
/// Number of upstreams that a digest repeats without a change, so that each is repeated within a
/// second or two.
const UNCHANGED_PER_DIGEST: usize = 12;
/// How long another failure domain's load at an upstream counts unless it is repeated, in
/// milliseconds.
const REMOTE_LOAD_TTL_MS: u64 = 4_000;

/// How long the admission queues of an instance count unless it repeats them, in milliseconds. It
/// repeats them to a few peers each round, so that each hears of them within some seconds.
const PEER_QUEUES_TTL_MS: u64 = 12_000;
/// Interval at which the observations of all instances are merged anew, in milliseconds; they
/// arrive some hundred times a second.
const OBSERVATIONS_REFRESH_MS: u64 = 50;

/// Another instance of this failure domain.
#[derive(Debug)]
struct Peer {
    incarnation: u64,
    /// Sequence number of its last update.
    sequence: u64,
    /// Its load, by upstream id; an empty load has no entry.
    loads: BTreeMap<Arc<str>, UpstreamLoad>,
    /// What it observed of upstreams, as of its last update with observations.
    observations: Observed,
    /// Its admission queues.
    queues: ReceivedQueues,
}

/// Another failure domain.
#[derive(Debug, Default)]
struct RemoteDomain {
    /// The load of its instances and when it was last received, by upstream id; an empty load has no
    /// entry.
    loads: BTreeMap<Arc<str>, (UpstreamLoad, u64)>,
    /// The requests its instances sent within the window.
    sent: RemoteSent,
    /// What its instances observed of upstreams.
    observations: Observed,
    /// The admission queues of its instances.
    queues: ReceivedQueues,
}

/// The requests that another failure domain sent within the window, by service.
#[derive(Debug, Default)]
struct RemoteSent {
    by_service: BTreeMap<Arc<str>, SentRequests>,
    received_ms: u64,
}

impl RemoteSent {
    /// What is left of them now.
    fn aged(&self, now_ms: u64, window_ms: u64) -> BTreeMap<Arc<str>, SentRequests> {
        let age_ms = now_ms.saturating_sub(self.received_ms);
        let left = self.by_service.iter();
        left.map(|(service, sent)| (Arc::clone(service), aged(sent, age_ms, window_ms))).collect()
    }

    /// Takes in a digest. The sender of an incomplete one has just started and has received few reports, so
    /// what it doesn't know is taken from earlier digests.
    fn take(&mut self, digest: &Digest, now_ms: u64, window_ms: u64) {
        let mut by_service = BTreeMap::new();
        digest.sent.iter().for_each(|sent| add_sent(&mut by_service, sent));
        if !digest.is_sent_complete {
            for (service, before) in self.aged(now_ms, window_ms) {
                let known = by_service.entry(service).or_insert_with(|| before.clone());
                known.requests = known.requests.max(before.requests);
                known.repeats = known.repeats.max(before.repeats);
            }
        }
        *self = RemoteSent { by_service, received_ms: now_ms };
    }
}

/// Observations that one message brought.
#[derive(Debug, Default)]
struct Observed {
    by_upstream: Observations,
    received_ms: u64,
}

impl Observed {
    fn new(observations: Vec<UpstreamObservation>, received_ms: u64) -> Observed {
        let by_upstream = observations
            .into_iter()
            .map(|observation| (Arc::clone(&observation.upstream), observation));
        Observed { by_upstream: by_upstream.collect(), received_ms }
    }

    /// Adds these observations, as old as they are now, to others.
    fn add_to(&self, all: &mut Observations, now_ms: u64) {
        let by_ms = now_ms.saturating_sub(self.received_ms);
        for (id, observation) in &self.by_upstream {
            let aged = observation.aged(by_ms);
            if aged.is_empty() {
                continue;
            }
            match all.get_mut(id) {
                Some(known) => known.merge(&aged),
                None => {
                    all.insert(Arc::clone(id), aged);
                }
            }
        }
    }
}

/// The traffic of the other instances, as far as it is known.
#[derive(Debug)]
pub struct PeerLoads {
    /// The failure domain of this instance.
    domain: Arc<str>,
    /// Window of the retry budget, in which sent requests count.
    window_ms: u64,
    /// The other instances of this failure domain, by instance id.
    peers: BTreeMap<Arc<str>, Peer>,
    /// The sum of the loads of `peers`, by upstream id.
    domain_total: BTreeMap<Arc<str>, UpstreamLoad>,
    /// The other failure domains, by name.
    remote_domains: BTreeMap<Arc<str>, RemoteDomain>,
    /// The sum of the loads of `peers` and `remote_domains`, by upstream id.
    total: Arc<BTreeMap<Arc<str>, UpstreamLoad>>,
    /// This instance's own load, by upstream id.
    own_loads: BTreeMap<Arc<str>, UpstreamLoad>,
    /// When the load of this failure domain last changed, by upstream id; digests repeat these loads
    /// for [`CHANGE_REPEAT_MS`].
    changed_at_ms: BTreeMap<Arc<str>, u64>,
    /// What the other instances observed of upstreams, as last merged.
    observations: Arc<Observations>,
    observations_merged_ms: u64,
    /// The requests that the other instances of this failure domain sent within the window.
    sent: SentLedger,
    /// The engines that read prompt prefixes, as other instances reported.
    cache_locations: CacheLocations,
    /// The cache locations that this failure domain reported recently, which digests repeat for
    /// [`CHANGE_REPEAT_MS`]: hash of the prefix, upstream id, and when this instance recorded it.
    recent_cache_locations: Vec<(u64, Arc<str>, u64)>,
}

impl PeerLoads {
    /// Creates the state of an instance of a failure domain that has received nothing yet.
    pub fn new(domain: Arc<str>, window_ms: u64) -> PeerLoads {
        PeerLoads {
            domain,
            window_ms,
            peers: BTreeMap::new(),
            domain_total: BTreeMap::new(),
            remote_domains: BTreeMap::new(),
            total: Arc::default(),
            own_loads: BTreeMap::new(),
            changed_at_ms: BTreeMap::new(),
            observations: Arc::default(),
            observations_merged_ms: 0,
            sent: SentLedger::new(window_ms),
            cache_locations: CacheLocations::default(),
            recent_cache_locations: Vec::new(),
        }
    }

    /// The load of all other instances, by upstream.
    pub fn by_upstream(&self) -> Arc<BTreeMap<Arc<str>, UpstreamLoad>> {
        Arc::clone(&self.total)
    }

    /// The engines that read prompt prefixes.
    pub fn cache_locations(&self) -> CacheLocations {
        self.cache_locations.clone()
    }

    /// Applies an update from an instance of this failure domain. Returns `false` if it is outdated.
    pub fn apply_update(&mut self, update: LoadUpdate, now_ms: u64) -> bool {
        let known = self.peers.get(&update.id);
        if known.is_some_and(|known| known.incarnation != update.incarnation) {
            self.remove(&update.id, now_ms);
        }
        let new = || Peer {
            incarnation: update.incarnation,
            sequence: 0,
            loads: BTreeMap::new(),
            observations: Observed::default(),
            queues: ReceivedQueues::default(),
        };
        let peer = self.peers.entry(Arc::clone(&update.id)).or_insert_with(new);
        if update.sequence <= peer.sequence {
            return false;
        }
        peer.sequence = update.sequence;
        let mut loads = update.loads;
        if update.is_complete {
            let is_gone = |id: &&Arc<str>| !loads.iter().any(|load| load.upstream == **id);
            let now_empty: Vec<Arc<str>> = peer.loads.keys().filter(is_gone).cloned().collect();
            loads.extend(now_empty.into_iter().map(UpstreamLoad::empty));
        }
        if let Some(sent) = update.sent {
            let LoadUpdate { incarnation, sequence, .. } = update;
            let id = Arc::clone(&update.id);
            self.sent.add(SentEntry { id, incarnation, sequence, age_ms: 0, sent }, now_ms);
        }
        if let Some(report) = update.sent_by_others {
            self.sent.merge(report, now_ms);
        }
        peer.observations = Observed::new(update.observations, now_ms);
        peer.queues = ReceivedQueues { queues: update.queues, received_ms: now_ms };
        for load in loads {
            self.set_peer_load(&update.id, load, now_ms);
        }
        for (prefix, upstream) in update.cache_locations {
            self.cache_locations.add(prefix, Arc::clone(&upstream), now_ms);
            self.recent_cache_locations.push((prefix, upstream, now_ms));
        }
        true
    }

    fn set_peer_load(&mut self, id: &Arc<str>, load: UpstreamLoad, now_ms: u64) {
        let upstream = Arc::clone(&load.upstream);
        let Some(peer) = self.peers.get_mut(id) else { return };
        let before = if load.is_empty() {
            peer.loads.remove(&upstream)
        } else {
            peer.loads.insert(Arc::clone(&upstream), load.clone())
        };
        if before.as_ref() == Some(&load) || (before.is_none() && load.is_empty()) {
            return;
        }
        replace_load(&mut self.domain_total, before.as_ref(), &load);
        replace_load(Arc::make_mut(&mut self.total), before.as_ref(), &load);
        self.changed_at_ms.insert(upstream, now_ms);
    }

    /// Removes the load of an instance that has ended. The requests that it sent count for the rest of
    /// the window.
    pub fn remove(&mut self, id: &str, now_ms: u64) {
        let Some(peer) = self.peers.remove(id) else { return };
        for before in peer.loads.values() {
            let empty = UpstreamLoad::empty(Arc::clone(&before.upstream));
            replace_load(&mut self.domain_total, Some(before), &empty);
            replace_load(Arc::make_mut(&mut self.total), Some(before), &empty);
            self.changed_at_ms.insert(Arc::clone(&before.upstream), now_ms);
        }
    }

    /// Records this instance's own load, for the digest of its failure domain.
    pub fn set_own_loads(&mut self, own: &LocalTraffic, now_ms: u64) {
        let own_loads = own.loads.iter().map(|load| (Arc::clone(&load.upstream), load.clone()));
        let own_loads: BTreeMap<Arc<str>, UpstreamLoad> = own_loads.collect();
        let before = std::mem::take(&mut self.own_loads);
        for id in before.keys().chain(own_loads.keys()) {
            if before.get(id) != own_loads.get(id) {
                self.changed_at_ms.insert(Arc::clone(id), now_ms);
            }
        }
        self.own_loads = own_loads;
    }

    /// Records cache locations that this instance itself reported, for the digest of its failure
    /// domain.
    pub fn add_own_cache_locations(&mut self, cache_locations: &[(u64, Arc<str>)], now_ms: u64) {
        let new = cache_locations
            .iter()
            .map(|(prefix, upstream)| (*prefix, Arc::clone(upstream), now_ms));
        self.recent_cache_locations.extend(new);
    }

    /// Summarises the traffic of all instances of this failure domain, for the other domains.
    pub fn digest(&mut self, own: &LocalTraffic, now_ms: u64, random: &mut dyn Random) -> Digest {
        self.changed_at_ms.retain(|_, at_ms| *at_ms + CHANGE_REPEAT_MS > now_ms);
        self.recent_cache_locations.retain(|(_, _, at_ms)| at_ms + CHANGE_REPEAT_MS > now_ms);
        let mut reported: Vec<Arc<str>> = self.changed_at_ms.keys().cloned().collect();
        let all: Vec<&Arc<str>> = self.domain_total.keys().chain(self.own_loads.keys()).collect();
        let start = random.below(all.len().max(1) as u64) as usize;
        let repeated = all.iter().cycle().skip(start).take(UNCHANGED_PER_DIGEST.min(all.len()));
        reported.extend(repeated.map(|id| Arc::clone(id)));
        reported.sort_unstable();
        reported.dedup();
        let cache_locations = self.recent_cache_locations.iter();
        let cache_locations =
            cache_locations.map(|(prefix, upstream, _)| (*prefix, Arc::clone(upstream)));
        Digest {
            domain: Arc::clone(&self.domain),
            loads: reported.into_iter().map(|id| self.domain_load(id)).collect(),
            sent: self.sent_in_domain(own, now_ms),
            is_sent_complete: self.sent.is_complete(now_ms),
            cache_locations: cache_locations.collect(),
            observations: self.observations_in_domain(own, now_ms),
            queues: self.queues_in_domain(own, now_ms),
            must_forward: true,
        }
    }

    fn observations_in_domain(&self, own: &LocalTraffic, now_ms: u64) -> Vec<UpstreamObservation> {
        let mut all = Observations::new();
        Observed::new(own.observations.clone(), now_ms).add_to(&mut all, now_ms);
        self.peers.values().for_each(|peer| peer.observations.add_to(&mut all, now_ms));
        all.into_values().collect()
    }

    fn queues_in_domain(&self, own: &LocalTraffic, now_ms: u64) -> Vec<ServiceQueue> {
        let own = ReceivedQueues { queues: own.queues.clone(), received_ms: now_ms };
        let peers = self.peers.values().map(|peer| &peer.queues);
        queues::merge(peers.chain([&own]), now_ms)
    }

    /// The admission queues of the other instances, by service.
    pub fn queues(&self, now_ms: u64) -> BTreeMap<Arc<str>, OtherQueues> {
        let peers = self.peers.values().map(|peer| &peer.queues);
        let peers = peers.filter(|queues| queues.received_ms + PEER_QUEUES_TTL_MS > now_ms);
        let remote = self.remote_domains.values().map(|remote| &remote.queues);
        let recent = remote.filter(|queues| queues.received_ms + REMOTE_LOAD_TTL_MS > now_ms);
        let mut all = BTreeMap::new();
        peers.chain(recent).for_each(|received| queues::add(&mut all, received));
        all
    }

    /// What the other instances observed of upstreams, at most [`OBSERVATIONS_REFRESH_MS`] ago.
    pub fn observations(&mut self, now_ms: u64) -> Arc<Observations> {
        if now_ms >= self.observations_merged_ms + OBSERVATIONS_REFRESH_MS {
            self.observations_merged_ms = now_ms;
            self.observations = Arc::new(self.merged_observations(now_ms));
        }
        Arc::clone(&self.observations)
    }

    fn merged_observations(&self, now_ms: u64) -> Observations {
        let mut all = Observations::new();
        let peers = self.peers.values().map(|peer| &peer.observations);
        let remote = self.remote_domains.values().map(|remote| &remote.observations);
        peers.chain(remote).for_each(|observed| observed.add_to(&mut all, now_ms));
        all
    }

    fn domain_load(&self, id: Arc<str>) -> UpstreamLoad {
        let mut load = self
            .domain_total
            .get(&id)
            .cloned()
            .unwrap_or_else(|| UpstreamLoad::empty(Arc::clone(&id)));
        if let Some(own_load) = self.own_loads.get(&id) {
            load.add(own_load);
        }
        load
    }

    /// Applies the digest of another failure domain. Ignores a digest of this instance's own failure
    /// domain and returns `false`.
    pub fn apply_digest(&mut self, digest: Digest, now_ms: u64) -> bool {
        if digest.domain == self.domain {
            return false;
        }
        let remote = self.remote_domains.entry(Arc::clone(&digest.domain)).or_default();
        remote.sent.take(&digest, now_ms, self.window_ms);
        remote.observations = Observed::new(digest.observations, now_ms);
        remote.queues = ReceivedQueues { queues: digest.queues, received_ms: now_ms };
        for load in digest.loads {
            let before = if load.is_empty() {
                remote.loads.remove(&load.upstream)
            } else {
                remote.loads.insert(Arc::clone(&load.upstream), (load.clone(), now_ms))
            };
            let before = before.map(|(before, _)| before);
            if before.as_ref() != Some(&load) {
                replace_load(Arc::make_mut(&mut self.total), before.as_ref(), &load);
            }
        }
        for (prefix, upstream) in digest.cache_locations {
            self.cache_locations.add(prefix, upstream, now_ms);
        }
        true
    }

    /// Removes what has not been repeated for too long. Returns whether that was any load.
    pub fn remove_expired(&mut self, now_ms: u64) -> bool {
        self.sent.remove_expired(now_ms);
        self.cache_locations.remove_expired(now_ms);
        let total = &mut self.total;
        let mut has_removed = false;
        for remote in self.remote_domains.values_mut() {
            remote.loads.retain(|_, (load, received_ms)| {
                let is_kept = *received_ms + REMOTE_LOAD_TTL_MS > now_ms;
                if !is_kept {
                    let empty = UpstreamLoad::empty(Arc::clone(&load.upstream));
                    replace_load(Arc::make_mut(total), Some(load), &empty);
                    has_removed = true;
                }
                is_kept
            });
        }
        has_removed
    }

    /// The requests that the other instances sent to each service within the window. Instances that
    /// have ended since are included, because the upstreams received their requests.
    pub fn sent(&self, now_ms: u64) -> BTreeMap<Arc<str>, SentRequests> {
        let mut totals = self.sent_by_peers(now_ms);
        let is_recent = |sent: &&RemoteSent| sent.received_ms + self.window_ms > now_ms;
        let remote = self.remote_domains.values().map(|remote| &remote.sent).filter(is_recent);
        let remote = remote.flat_map(|sent| sent.by_service.values());
        remote.for_each(|sent| add_sent(&mut totals, sent));
        totals
    }

    /// The requests that the other instances of this failure domain sent within the window.
    fn sent_by_peers(&self, now_ms: u64) -> BTreeMap<Arc<str>, SentRequests> {
        self.sent.totals(now_ms, |id, incarnation| {
            self.peers.get(id).is_some_and(|peer| peer.incarnation == incarnation)
        })
    }

    /// What the other instances of this failure domain sent, for another instance.
    pub fn sent_by_others(&self, now_ms: u64) -> LedgerReport {
        self.sent.report(now_ms)
    }

    fn sent_in_domain(&self, own: &LocalTraffic, now_ms: u64) -> Vec<SentRequests> {
        let mut totals = self.sent_by_peers(now_ms);
        own.sent.iter().for_each(|sent| add_sent(&mut totals, sent));
        totals.into_values().collect()
    }
}

/// Replaces the load of one instance or failure domain at an upstream within a total.
fn replace_load(
    totals: &mut BTreeMap<Arc<str>, UpstreamLoad>,
    before: Option<&UpstreamLoad>,
    now: &UpstreamLoad,
) {
    let id = Arc::clone(&now.upstream);
    let total =
        totals.entry(Arc::clone(&id)).or_insert_with(|| UpstreamLoad::empty(Arc::clone(&id)));
    if let Some(before) = before {
        total.subtract(before);
    }
    total.add(now);
    if total.is_empty() {
        totals.remove(&id);
    }
}
