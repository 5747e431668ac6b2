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
use super::super::policy::recall;
use super::super::view::{Signal, View};
use super::super::worker::Worker;
use super::Traffic;

/// How long a cache location is remembered; engines keep a prompt in memory for about as long.
const PLACE_MS: u64 = 12_000;
/// How many times smaller than its prompt a shared prefix may be for its cache location to be
/// recorded. Smaller ones save less time than the updates to peers would cost.
const LEAST_SHARED: u64 = 8;
/// How long after its start an instance may query engines for cached prompts. Callers that
/// reconnect later than that have waited too long already.
const RECALL_WITHIN_MS: u64 = 8_000;
/// How long a reconnecting caller's request waits for the address of the engine that has its prompt
/// cached: a few round trips between failure domains.
const FIND_MS: u64 = 100;
/// Poll interval of a request that waits for a cache location: a few polls in a round trip between
/// failure domains and the update that follows it.
const LOOK_MS: u64 = 10;

/// An engine that holds a prompt prefix.
#[derive(Debug, Clone)]
pub(super) struct Place {
    pub(super) upstream: Arc<str>,
    pub(super) until_ms: u64,
}

impl Traffic {
    /// Records that an engine processes or holds a prompt prefix.
    fn note_place(&self, part: u64, worker: &Worker) {
        let until_ms = self.now_ms() + PLACE_MS;
        let upstream = Arc::clone(&worker.upstream.id);
        let mut places = self.places.borrow_mut();
        let known = places.entry(part).or_default();
        known.retain(|place| place.upstream != upstream);
        known.push(Place { upstream, until_ms });
    }

    /// Records that an engine processes a prompt: its last prefix, by which a reconnecting caller
    /// finds the engine again, and those shared prefixes that are large enough to help other
    /// requests.
    pub fn note_prompt(&self, demand: &Demand, worker: &Worker) {
        let Some((last, shared)) = demand.prompt_parts.split_last() else { return };
        let is_worth = |part: &&PromptPart| part.tokens * LEAST_SHARED >= demand.prompt_tokens;
        for part in shared.iter().filter(is_worth).chain([last]) {
            self.note_place(part.hash, worker);
        }
    }

    /// Removes the cache locations for which `is_over` holds.
    pub(super) fn forget_places(&self, is_over: impl Fn(&Place) -> bool) {
        self.places.borrow_mut().retain(|_, places| {
            places.retain(|place| !is_over(place));
            !places.is_empty()
        });
    }

    /// The engine that last held a prompt prefix, as far as this instance or a peer knows.
    pub fn place_of(&self, part: u64) -> Option<Rc<Worker>> {
        let view = self.shared.view.load();
        let id = self.places_of(part, &view).pop()?;
        self.worker(&id)
    }

    /// Waits briefly for the entry of the engine that last held a prompt prefix. An instance that
    /// holds only a part of a large service's upstreams may know just the engine's id; it requests
    /// the entry.
    pub async fn find_place(&self, service: &str, part: u64) {
        let view = self.shared.view.load();
        let last = self.places_of(part, &view).pop();
        let Some(id) = last.filter(|id| view.large.contains(service) && self.worker(id).is_none())
        else {
            return;
        };
        drop(view);
        self.shared.signal(Signal::UpstreamWanted(Arc::clone(&id)));
        let until_ms = self.now_ms() + FIND_MS;
        while self.now_ms() < until_ms {
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
            self.view();
            if self.worker(&id).is_some() {
                return;
            }
        }
    }

    /// The engines that hold a prompt prefix: those that peers reported, then those recorded here,
    /// each in the order of the records.
    fn places_of(&self, part: u64, view: &View) -> Vec<Arc<str>> {
        let mut engines: Vec<Arc<str>> = view.places.of(part).cloned().collect();
        if let Some(own) = self.places.borrow().get(&part) {
            engines.extend(own.iter().map(|place| Arc::clone(&place.upstream)));
        }
        engines
    }

    /// How many tokens of a prompt each engine has cached, as far as known. A part of the prompt
    /// counts only if those before it are cached at the same engine; parts too small to be reported
    /// are skipped.
    pub(super) fn kept(&self, prompt: &[PromptPart], view: &View) -> BTreeMap<Arc<str>, u64> {
        let mut kept: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        let mut is_first = true;
        for part in prompt {
            let engines = self.places_of(part.hash, view);
            if engines.is_empty() {
                continue;
            }
            if is_first {
                kept = engines.into_iter().map(|id| (id, part.tokens)).collect();
                is_first = false;
                continue;
            }
            for id in engines {
                if let Some(tokens) = kept.get_mut(&id) {
                    *tokens += part.tokens;
                }
            }
        }
        kept
    }

    /// How many tokens of a prompt one engine has cached, as far as known.
    pub fn kept_tokens(&self, demand: &Demand, worker: &Worker) -> u64 {
        let view = self.shared.view.load();
        let kept = self.kept(&demand.prompt_parts, &view);
        kept.get(&worker.upstream.id).copied().unwrap_or(0)
    }

    /// Whether this instance has started recently and nobody knows which engine holds a prompt,
    /// which means that all instances were lost at once. Cache locations of other prompts that
    /// peers report don't count, since peers have new prompts processed meanwhile.
    pub fn has_forgotten(&self, part: u64) -> bool {
        self.now_ms() <= RECALL_WITHIN_MS && self.place_of(part).is_none()
    }

    /// Waits briefly until it is known which engine holds a prompt, and queries engines meanwhile.
    pub async fn recall(self: &Rc<Traffic>, service: &str, part: u64) {
        let started_ms = self.now_ms();
        let is_asked = self.recalled.borrow().contains(service);
        if !is_asked {
            self.recalled.borrow_mut().insert(Arc::from(service));
            tokio::task::spawn_local(Rc::clone(self).ask_kept(Arc::from(service)));
        }
        let until_ms = started_ms + recall::WAIT_MS;
        while self.place_of(part).is_none() && self.now_ms() < until_ms {
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }

    /// Queries this instance's share of a service's engines for the prompts they have cached, and
    /// sends peers the result.
    async fn ask_kept(self: Rc<Traffic>, service: Arc<str>) {
        let instances = self.shared.view.load().holders(&service);
        let now_ms = self.now_ms();
        let mut random = fastrand::Rng::new();
        let workers = self.workers.borrow().values().map(Rc::clone).collect::<Vec<_>>();
        let fitting = workers
            .into_iter()
            .filter(|worker| worker.upstream.service == service && !worker.is_throttled(now_ms))
            .filter(|_| recall::asks(instances, &mut random));
        let path = self.dialect.kept_path();
        let mut asked: FuturesUnordered<_> = fitting
            .map(|worker| {
                let traffic = Rc::clone(&self);
                async move {
                    let asked = traffic.ask(&worker, Method::GET, path, Bytes::new());
                    let limit = Duration::from_millis(recall::WAIT_MS);
                    let answered =
                        tokio::time::timeout(limit, asked).await.ok().and_then(Result::ok);
                    (worker, answered)
                }
            })
            .collect();
        let mut parts = 0;
        while let Some((worker, answered)) = asked.next().await {
            let Some((200, body)) = answered else { continue };
            for part in self.dialect.kept_parts(&body) {
                parts += 1;
                self.note_place(PromptPart::hash(&part), &worker);
            }
        }
        slog::info!(self.log, "queried engines for cached prompts"; "service" => &*service,
            "parts" => parts);
        self.tell_peers();
    }
}
