//! Cache locations: which engines hold a prompt in memory, so that a caller that reconnects is sent
//! to one of them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::Method;

use super::super::dialect::{Demand, PromptPart};
use super::super::policy::cache_lookup;
use super::super::view::{Signal, View};
use super::super::worker::Worker;
use super::Traffic;

/// How long a cache location is remembered; engines keep a prompt in memory for about as long.
const CACHE_LOCATION_TTL_MS: u64 = 12_000;
/// How many times smaller than its prompt a shared prefix may be for its cache location to be
/// recorded. Smaller ones save less time than the updates to peers would cost.
const MAX_PROMPT_TO_PREFIX_RATIO: u64 = 8;
/// How long after its start an instance may query engines for cached prompts. Callers that
/// reconnect later than that have waited too long already.
const CACHE_LOOKUP_WINDOW_MS: u64 = 8_000;
/// How long a reconnecting caller's request waits for the address of the engine that has its prompt
/// cached: a few round trips between failure domains.
const MAX_ENTRY_WAIT_MS: u64 = 100;
/// Poll interval of a request that waits for a cache location: a few polls in a round trip between
/// failure domains and the update that follows it.
const POLL_INTERVAL_MS: u64 = 10;

/// An engine that holds a prompt prefix.
#[derive(Debug, Clone)]
pub(super) struct CacheLocation {
    pub(super) upstream: Arc<str>,
    pub(super) until_ms: u64,
}

impl Traffic {
    /// Records that an engine processes or holds a prompt prefix.
    fn note_cache_location(&self, prefix: u64, worker: &Worker) {
        let until_ms = self.now_ms() + CACHE_LOCATION_TTL_MS;
        let upstream = Arc::clone(&worker.upstream.id);
        let mut locations = self.cache_locations.borrow_mut();
        let known = locations.entry(prefix).or_default();
        known.retain(|location| location.upstream != upstream);
        known.push(CacheLocation { upstream, until_ms });
    }

    /// Records that an engine processes a prompt: its last prefix, by which a reconnecting caller
    /// finds the engine again, and those shared prefixes that are large enough to help other
    /// requests.
    pub fn note_prompt_locations(&self, demand: &Demand, worker: &Worker) {
        let Some((last, shared)) = demand.prompt_parts.split_last() else { return };
        let is_worth_reporting =
            |part: &&PromptPart| part.tokens * MAX_PROMPT_TO_PREFIX_RATIO >= demand.prompt_tokens;
        for part in shared.iter().filter(is_worth_reporting).chain([last]) {
            self.note_cache_location(part.hash, worker);
        }
    }

    /// Removes the cache locations for which `is_obsolete` holds.
    pub(super) fn forget_cache_locations(&self, is_obsolete: impl Fn(&CacheLocation) -> bool) {
        self.cache_locations.borrow_mut().retain(|_, locations| {
            locations.retain(|location| !is_obsolete(location));
            !locations.is_empty()
        });
    }

    /// The engine that last held a prompt prefix, as far as this instance or a peer knows.
    pub fn cache_location(&self, prefix: u64) -> Option<Rc<Worker>> {
        let view = self.shared.view.load();
        let id = self.cache_locations_of(prefix, &view).pop()?;
        self.worker(&id)
    }

    /// Waits briefly for the entry of the engine that last held a prompt prefix. An instance that
    /// holds only a part of a large service's upstreams may know just the engine's id; it requests
    /// the entry.
    pub async fn resolve_cache_location(&self, service: &str, prefix: u64) {
        let view = self.shared.view.load();
        let last = self.cache_locations_of(prefix, &view).pop();
        let Some(id) = last.filter(|id| view.large.contains(service) && self.worker(id).is_none())
        else {
            return;
        };
        drop(view);
        self.shared.signal(Signal::UpstreamWanted(Arc::clone(&id)));
        let until_ms = self.now_ms() + MAX_ENTRY_WAIT_MS;
        while self.now_ms() < until_ms {
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
            self.view();
            if self.worker(&id).is_some() {
                return;
            }
        }
    }

    /// The engines that hold a prompt prefix: those that peers reported, then those recorded here,
    /// each with the most recent one last.
    fn cache_locations_of(&self, prefix: u64, view: &View) -> Vec<Arc<str>> {
        let mut engines: Vec<Arc<str>> = view.places.engines_of(prefix).cloned().collect();
        if let Some(own) = self.cache_locations.borrow().get(&prefix) {
            engines.extend(own.iter().map(|location| Arc::clone(&location.upstream)));
        }
        engines
    }

    /// How many tokens of a prompt each engine has cached, as far as known. A part of the prompt
    /// counts only at engines that also hold the first part with a known location; parts too small
    /// to be reported are skipped.
    pub(super) fn cached_tokens(
        &self,
        prompt: &[PromptPart],
        view: &View,
    ) -> BTreeMap<Arc<str>, u64> {
        let mut cached: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        let mut is_first = true;
        for part in prompt {
            let engines = self.cache_locations_of(part.hash, view);
            if engines.is_empty() {
                continue;
            }
            if is_first {
                cached = engines.into_iter().map(|id| (id, part.tokens)).collect();
                is_first = false;
                continue;
            }
            for id in engines {
                if let Some(tokens) = cached.get_mut(&id) {
                    *tokens += part.tokens;
                }
            }
        }
        cached
    }

    /// How many tokens of a prompt one engine has cached, as far as known.
    pub fn cached_tokens_at(&self, demand: &Demand, worker: &Worker) -> u64 {
        let view = self.shared.view.load();
        let cached = self.cached_tokens(&demand.prompt_parts, &view);
        cached.get(&worker.upstream.id).copied().unwrap_or(0)
    }

    /// Whether this instance has started recently and nobody knows which engine holds a prompt,
    /// which means that all instances were lost at once. Cache locations of other prompts that
    /// peers report don't count, since peers have new prompts processed meanwhile.
    pub fn needs_cache_lookup(&self, prefix: u64) -> bool {
        self.now_ms() <= CACHE_LOOKUP_WINDOW_MS && self.cache_location(prefix).is_none()
    }

    /// Waits briefly until it is known which engine holds a prompt, and queries engines meanwhile.
    pub async fn look_up_cache(self: &Rc<Traffic>, service: &str, prefix: u64) {
        let started_ms = self.now_ms();
        let is_queried = self.cache_queried.borrow().contains(service);
        if !is_queried {
            self.cache_queried.borrow_mut().insert(Arc::from(service));
            tokio::task::spawn_local(Rc::clone(self).query_cached_prompts(Arc::from(service)));
        }
        let until_ms = started_ms + cache_lookup::MAX_WAIT_MS;
        while self.cache_location(prefix).is_none() && self.now_ms() < until_ms {
            tokio::time::sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    /// Queries this instance's share of a service's engines for the prompts they have cached, and
    /// sends peers the result.
    async fn query_cached_prompts(self: Rc<Traffic>, service: Arc<str>) {
        let instances = self.shared.view.load().holders(&service);
        let now_ms = self.now_ms();
        let mut random = fastrand::Rng::new();
        let workers = self.workers.borrow().values().map(Rc::clone).collect::<Vec<_>>();
        let eligible = workers
            .into_iter()
            .filter(|worker| worker.upstream.service == service && !worker.is_throttled(now_ms))
            .filter(|_| cache_lookup::should_ask(instances, &mut random));
        let path = self.dialect.kept_path();
        let mut queries: FuturesUnordered<_> = eligible
            .map(|worker| {
                let traffic = Rc::clone(&self);
                async move {
                    let query = traffic.call_engine(&worker, Method::GET, path, Bytes::new());
                    let limit = Duration::from_millis(cache_lookup::MAX_WAIT_MS);
                    let answered =
                        tokio::time::timeout(limit, query).await.ok().and_then(Result::ok);
                    (worker, answered)
                }
            })
            .collect();
        let mut prefixes = 0;
        while let Some((worker, answered)) = queries.next().await {
            let Some((200, body)) = answered else { continue };
            for prefix in self.dialect.kept_parts(&body) {
                prefixes += 1;
                self.note_cache_location(PromptPart::hash(&prefix), &worker);
            }
        }
        slog::info!(self.log, "queried engines for cached prompts"; "service" => &*service,
            "parts" => prefixes);
        self.notify_peers();
    }
}
