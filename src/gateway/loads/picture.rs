//! The load of the other instances at upstreams, updated message by message.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::message::{Digest, LoadUpdate};
use super::own::{LocalTraffic, SentRequests, UpstreamLoad};
use super::places::CacheLocations;
use crate::decide::Random;

/// Average interval between two digests of a failure domain at each of the others, in milliseconds.
/// Loads of that age still show which of a hundred engines are busy, because a request runs for
/// seconds.
pub const DIGEST_INTERVAL_MS: u64 = 150;
/// How long digests repeat a change, in milliseconds. They are sent every [`DIGEST_INTERVAL_MS`] on average,
/// at random times, so one in fifty changes is in none of them; the unchanged upstreams that digests
/// also repeat make up for it.
const CHANGE_REPEAT_MS: u64 = 600;
/// Number of upstreams that a digest repeats without a change, so that each is repeated within a
/// second or two.
const UNCHANGED_PER_DIGEST: usize = 12;
/// How long another failure domain's load at an upstream counts unless it is repeated, in
/// milliseconds.
const REMOTE_LOAD_TTL_MS: u64 = 4_000;

/// Another instance of this failure domain.
#[derive(Debug)]
struct Origin {
    incarnation: u64,
    count: u64,
    held: BTreeMap<Arc<str>, UpstreamLoad>,
    sent: Vec<SentRequests>,
    heard_ms: u64,
}

/// Another failure domain.
#[derive(Debug, Default)]
struct Far {
    held: BTreeMap<Arc<str>, (UpstreamLoad, u64)>,
    sent: Vec<SentRequests>,
    heard_ms: u64,
}

/// The requests sent by an instance that has ended, or by several.
#[derive(Debug)]
struct Ended {
    sent: Vec<SentRequests>,
    heard_ms: u64,
}

/// The traffic of the other instances, as far as it is known.
#[derive(Debug)]
pub struct PeerLoads {
    domain: Arc<str>,
    /// Window of the retry budget, in which sent requests count.
    window_ms: u64,
    near: BTreeMap<Arc<str>, Origin>,
    near_sum: BTreeMap<Arc<str>, UpstreamLoad>,
    far: BTreeMap<Arc<str>, Far>,
    sum: Arc<BTreeMap<Arc<str>, UpstreamLoad>>,
    mine: BTreeMap<Arc<str>, UpstreamLoad>,
    changed_ms: BTreeMap<Arc<str>, u64>,
    ended: Vec<Ended>,
    /// What peers reported about ended instances; an instance that has just started has seen none of
    /// them end.
    told_of_ended: Option<Ended>,
    places: CacheLocations,
    new_places: Vec<(u64, Arc<str>, u64)>,
}

impl PeerLoads {
    /// Creates the state of an instance of a failure domain that has received nothing yet.
    pub fn new(domain: Arc<str>, window_ms: u64) -> PeerLoads {
        PeerLoads {
            domain,
            window_ms,
            near: BTreeMap::new(),
            near_sum: BTreeMap::new(),
            far: BTreeMap::new(),
            sum: Arc::default(),
            mine: BTreeMap::new(),
            changed_ms: BTreeMap::new(),
            ended: Vec::new(),
            told_of_ended: None,
            places: CacheLocations::default(),
            new_places: Vec::new(),
        }
    }

    /// The load of all other instances, by upstream.
    pub fn held(&self) -> Arc<BTreeMap<Arc<str>, UpstreamLoad>> {
        Arc::clone(&self.sum)
    }

    /// The engines that read prompt prefixes.
    pub fn places(&self) -> CacheLocations {
        self.places.clone()
    }

    /// Applies an update from an instance of this failure domain. Returns `false` if it is outdated.
    pub fn hear(&mut self, news: LoadUpdate, now_ms: u64) -> bool {
        let known = self.near.get(&news.id);
        if known.is_some_and(|known| known.incarnation != news.incarnation) {
            self.remove(&news.id, now_ms);
        }
        let new = || Origin {
            incarnation: news.incarnation,
            count: 0,
            held: BTreeMap::new(),
            sent: Vec::new(),
            heard_ms: now_ms,
        };
        let origin = self.near.entry(Arc::clone(&news.id)).or_insert_with(new);
        if news.count <= origin.count {
            return false;
        }
        origin.count = news.count;
        origin.heard_ms = now_ms;
        let mut held = news.held;
        if news.is_whole {
            let is_left = |id: &&Arc<str>| !held.iter().any(|held| held.upstream == **id);
            let emptied: Vec<Arc<str>> = origin.held.keys().filter(is_left).cloned().collect();
            held.extend(emptied.into_iter().map(UpstreamLoad::empty));
        }
        if let Some(sent) = news.sent {
            origin.sent = sent;
        }
        for held in held {
            self.set_near(&news.id, held, now_ms);
        }
        for (part, upstream) in news.places {
            self.places.add(part, Arc::clone(&upstream), now_ms);
            self.new_places.push((part, upstream, now_ms));
        }
        if !news.sent_by_ended.is_empty() {
            self.told_of_ended = Some(Ended { sent: news.sent_by_ended, heard_ms: now_ms });
        }
        true
    }

    fn set_near(&mut self, id: &Arc<str>, held: UpstreamLoad, now_ms: u64) {
        let upstream = Arc::clone(&held.upstream);
        let Some(origin) = self.near.get_mut(id) else { return };
        let before = if held.is_empty() {
            origin.held.remove(&upstream)
        } else {
            origin.held.insert(Arc::clone(&upstream), held.clone())
        };
        if before.as_ref() == Some(&held) || (before.is_none() && held.is_empty()) {
            return;
        }
        change(&mut self.near_sum, before.as_ref(), &held);
        change(Arc::make_mut(&mut self.sum), before.as_ref(), &held);
        self.changed_ms.insert(upstream, now_ms);
    }

    /// Removes the load of an instance that has ended; its sent requests count for the rest of the
    /// window.
    pub fn remove(&mut self, id: &str, now_ms: u64) {
        let Some(origin) = self.near.remove(id) else { return };
        for before in origin.held.values() {
            let empty = UpstreamLoad::empty(Arc::clone(&before.upstream));
            change(&mut self.near_sum, Some(before), &empty);
            change(Arc::make_mut(&mut self.sum), Some(before), &empty);
            self.changed_ms.insert(Arc::clone(&before.upstream), now_ms);
        }
        self.ended.push(Ended { sent: origin.sent, heard_ms: origin.heard_ms });
    }

    /// Records this instance's own load, for the digest of its failure domain.
    pub fn note_own(&mut self, own: &LocalTraffic, now_ms: u64) {
        let mine = own.held.iter().map(|held| (Arc::clone(&held.upstream), held.clone()));
        let mine: BTreeMap<Arc<str>, UpstreamLoad> = mine.collect();
        let before = std::mem::take(&mut self.mine);
        for id in before.keys().chain(mine.keys()) {
            if before.get(id) != mine.get(id) {
                self.changed_ms.insert(Arc::clone(id), now_ms);
            }
        }
        self.mine = mine;
    }

    /// Records cache locations that this instance itself reported, for the digest of its failure
    /// domain.
    pub fn note_places(&mut self, places: &[(u64, Arc<str>)], now_ms: u64) {
        let new = places.iter().map(|(part, upstream)| (*part, Arc::clone(upstream), now_ms));
        self.new_places.extend(new);
    }

    /// Summarises the traffic of all instances of this failure domain, for the other domains.
    pub fn digest(&mut self, own: &LocalTraffic, now_ms: u64, random: &mut dyn Random) -> Digest {
        self.changed_ms.retain(|_, at_ms| *at_ms + CHANGE_REPEAT_MS > now_ms);
        self.new_places.retain(|(_, _, at_ms)| at_ms + CHANGE_REPEAT_MS > now_ms);
        let mut told: Vec<Arc<str>> = self.changed_ms.keys().cloned().collect();
        let all: Vec<&Arc<str>> = self.near_sum.keys().chain(self.mine.keys()).collect();
        let start = random.below(all.len().max(1) as u64) as usize;
        let repeated = all.iter().cycle().skip(start).take(UNCHANGED_PER_DIGEST.min(all.len()));
        told.extend(repeated.map(|id| Arc::clone(id)));
        told.sort_unstable();
        told.dedup();
        let places = self.new_places.iter();
        let places = places.map(|(part, upstream, _)| (*part, Arc::clone(upstream)));
        Digest {
            domain: Arc::clone(&self.domain),
            held: told.into_iter().map(|id| self.of_domain(id)).collect(),
            sent: self.sent_near(own, now_ms),
            places: places.collect(),
            must_forward: true,
        }
    }

    fn of_domain(&self, id: Arc<str>) -> UpstreamLoad {
        let mut held =
            self.near_sum.get(&id).cloned().unwrap_or_else(|| UpstreamLoad::empty(Arc::clone(&id)));
        if let Some(mine) = self.mine.get(&id) {
            held.add(mine);
        }
        held
    }

    /// Applies the digest of another failure domain. Returns `false` if it is of this instance's own.
    pub fn hear_digest(&mut self, digest: Digest, now_ms: u64) -> bool {
        if digest.domain == self.domain {
            return false;
        }
        let far = self.far.entry(Arc::clone(&digest.domain)).or_default();
        far.heard_ms = now_ms;
        far.sent = digest.sent;
        for held in digest.held {
            let before = if held.is_empty() {
                far.held.remove(&held.upstream)
            } else {
                far.held.insert(Arc::clone(&held.upstream), (held.clone(), now_ms))
            };
            let before = before.map(|(before, _)| before);
            if before.as_ref() != Some(&held) {
                change(Arc::make_mut(&mut self.sum), before.as_ref(), &held);
            }
        }
        for (part, upstream) in digest.places {
            self.places.add(part, upstream, now_ms);
        }
        true
    }

    /// Removes what has not been repeated for too long. Returns whether that was any load.
    pub fn forget(&mut self, now_ms: u64) -> bool {
        let window_ms = self.window_ms;
        self.ended.retain(|ended| ended.heard_ms + window_ms > now_ms);
        self.places.forget(now_ms);
        let sum = &mut self.sum;
        let mut is_any = false;
        for far in self.far.values_mut() {
            far.held.retain(|_, (held, told_ms)| {
                let is_kept = *told_ms + REMOTE_LOAD_TTL_MS > now_ms;
                if !is_kept {
                    let empty = UpstreamLoad::empty(Arc::clone(&held.upstream));
                    change(Arc::make_mut(sum), Some(held), &empty);
                    is_any = true;
                }
                is_kept
            });
        }
        is_any
    }

    /// The requests that the other instances sent to each service within the window. Instances that
    /// have ended since are included, because the upstreams received their requests.
    pub fn sent(&self, now_ms: u64) -> BTreeMap<Arc<str>, SentRequests> {
        let far = self.far.values().filter(|far| far.heard_ms + self.window_ms > now_ms);
        let far = far.flat_map(|far| &far.sent);
        let near = self.near.values().flat_map(|origin| &origin.sent);
        let mut sums = sum(near.chain(far));
        for ended in self.sent_by_ended(now_ms) {
            add(&mut sums, &ended);
        }
        sums
    }

    /// The requests that other instances of this failure domain sent within the window and that have
    /// ended since: for each service, the larger of what this instance saw and what its peers
    /// reported.
    fn sent_by_ended(&self, now_ms: u64) -> Vec<SentRequests> {
        let mut seen = sum(self.own_ended(now_ms).iter());
        let told = self.told_of_ended.as_ref();
        let told = told.filter(|told| told.heard_ms + self.window_ms > now_ms);
        for sent in told.into_iter().flat_map(|told| &told.sent) {
            let known = seen.entry(Arc::clone(&sent.service)).or_insert_with(|| sent.clone());
            known.requests = known.requests.max(sent.requests);
            known.repeats = known.repeats.max(sent.repeats);
        }
        seen.into_values().collect()
    }

    /// The same as this instance saw it itself, which is what it reports to its peers.
    pub fn own_ended(&self, now_ms: u64) -> Vec<SentRequests> {
        let ended = self.ended.iter().filter(|ended| ended.heard_ms + self.window_ms > now_ms);
        sum(ended.flat_map(|ended| &ended.sent)).into_values().collect()
    }

    fn sent_near(&self, own: &LocalTraffic, now_ms: u64) -> Vec<SentRequests> {
        let near = self.near.values().flat_map(|origin| &origin.sent).chain(&own.sent);
        let mut sums = sum(near);
        for ended in self.sent_by_ended(now_ms) {
            add(&mut sums, &ended);
        }
        sums.into_values().collect()
    }
}

/// Replaces one instance's load at an upstream within a total.
fn change(
    sums: &mut BTreeMap<Arc<str>, UpstreamLoad>,
    before: Option<&UpstreamLoad>,
    now: &UpstreamLoad,
) {
    let id = Arc::clone(&now.upstream);
    let sum = sums.entry(Arc::clone(&id)).or_insert_with(|| UpstreamLoad::empty(Arc::clone(&id)));
    if let Some(before) = before {
        sum.take_away(before);
    }
    sum.add(now);
    if sum.is_empty() {
        sums.remove(&id);
    }
}

fn sum<'a>(all: impl Iterator<Item = &'a SentRequests>) -> BTreeMap<Arc<str>, SentRequests> {
    let mut sums = BTreeMap::new();
    for sent in all {
        add(&mut sums, sent);
    }
    sums
}

fn add(sums: &mut BTreeMap<Arc<str>, SentRequests>, sent: &SentRequests) {
    let service = Arc::clone(&sent.service);
    let empty = || SentRequests { service, requests: 0, repeats: 0 };
    let sum = sums.entry(Arc::clone(&sent.service)).or_insert_with(empty);
    sum.requests += sent.requests;
    sum.repeats += sent.repeats;
}
