//! Which engine read a prompt, so that whoever comes back finds it in memory.

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

/// How long it is known which engine read a prompt: its memory keeps the prompt for about as long.
const PLACE_MS: u64 = 12_000;
/// How many times smaller than its prompt a shared part may be to be worth finding: what is smaller
/// saves less time than its news would cost.
const LEAST_SHARED: u64 = 8;
/// How long after its start an instance may ask engines what they keep: callers that come back
/// later than that have waited too long anyway.
const RECALL_WITHIN_MS: u64 = 8_000;
/// How long a caller that goes on waits for the address of the engine that holds its prompt: a few round
/// trips between failure domains.
const FIND_MS: u64 = 100;
/// How often a caller that waits for the place of its prompt looks: a few times in a round trip
/// between failure domains and the news that follows it.
const LOOK_MS: u64 = 10;

/// Where a prompt was read.
#[derive(Debug, Clone)]
pub(super) struct Place {
    pub(super) upstream: Arc<str>,
    pub(super) until_ms: u64,
}

impl Traffic {
    /// Notes that an engine reads or holds a part of a prompt.
    fn note_place(&self, part: u64, worker: &Worker) {
        let until_ms = self.now_ms() + PLACE_MS;
        let upstream = Arc::clone(&worker.upstream.id);
        let mut places = self.places.borrow_mut();
        let known = places.entry(part).or_default();
        known.retain(|place| place.upstream != upstream);
        known.push(Place { upstream, until_ms });
    }

    /// Notes that an engine reads a prompt: its last part, by which its caller finds it again, and
    /// the shared ones that are worth finding for others.
    pub fn note_prompt(&self, demand: &Demand, worker: &Worker) {
        let Some((last, shared)) = demand.prompt_parts.split_last() else { return };
        let is_worth = |part: &&PromptPart| part.tokens * LEAST_SHARED >= demand.prompt_tokens;
        for part in shared.iter().filter(is_worth).chain([last]) {
            self.note_place(part.hash, worker);
        }
    }

    /// Forgets places.
    pub(super) fn forget_places(&self, is_over: impl Fn(&Place) -> bool) {
        self.places.borrow_mut().retain(|_, places| {
            places.retain(|place| !is_over(place));
            !places.is_empty()
        });
    }

    /// The engine that held a prompt last, as far as this instance or a peer knows.
    pub fn place_of(&self, part: u64) -> Option<Rc<Worker>> {
        let view = self.shared.view.load();
        let id = self.places_of(part, &view).pop()?;
        self.worker(&id)
    }

    /// Waits a moment for an engine that held a prompt last, where this instance knows only its id since
    /// it holds a part of its service: it asks for the rest.
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

    /// The engines that read a part of a prompt; the last one that this instance knows of is last.
    fn places_of(&self, part: u64, view: &View) -> Vec<Arc<str>> {
        let mut engines: Vec<Arc<str>> = view.places.engines_of(part).cloned().collect();
        if let Some(own) = self.places.borrow().get(&part) {
            engines.extend(own.iter().map(|place| Arc::clone(&place.upstream)));
        }
        engines
    }

    /// How many tokens of a prompt each engine keeps, as far as known. A part counts only if those
    /// before it are kept there too; parts too small to be told don't count and break nothing.
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

    /// How many tokens of a prompt one engine keeps, as far as known.
    pub fn kept_tokens(&self, demand: &Demand, worker: &Worker) -> u64 {
        let view = self.shared.view.load();
        let kept = self.kept(&demand.prompt_parts, &view);
        kept.get(&worker.upstream.id).copied().unwrap_or(0)
    }

    /// Whether this instance has started lately and nobody knows which engine holds a prompt: all
    /// instances were lost at once. That others have told of prompts says nothing of this one, since
    /// they read new ones meanwhile.
    pub fn has_forgotten(&self, part: u64) -> bool {
        self.now_ms() <= RECALL_WITHIN_MS && self.place_of(part).is_none()
    }

    /// Waits a moment until it is known which engine holds a prompt, and asks engines meanwhile.
    pub async fn recall(self: &Rc<Traffic>, service: &str, part: u64) {
        let started_ms = self.now_ms();
        let is_asked = self.recalled.borrow().contains(service);
        if !is_asked {
            self.recalled.borrow_mut().insert(Arc::from(service));
            tokio::task::spawn_local(Rc::clone(self).ask_kept(Arc::from(service)));
        }
        let until_ms = started_ms + cache_lookup::MAX_WAIT_MS;
        while self.place_of(part).is_none() && self.now_ms() < until_ms {
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }

    /// Asks this instance's share of the engines of a service what they keep, and tells peers.
    async fn ask_kept(self: Rc<Traffic>, service: Arc<str>) {
        let instances = self.shared.view.load().holders(&service);
        let now_ms = self.now_ms();
        let mut random = fastrand::Rng::new();
        let workers = self.workers.borrow().values().map(Rc::clone).collect::<Vec<_>>();
        let fitting = workers
            .into_iter()
            .filter(|worker| worker.upstream.service == service && !worker.is_throttled(now_ms))
            .filter(|_| cache_lookup::should_ask(instances, &mut random));
        let path = self.dialect.kept_path();
        let mut asked: FuturesUnordered<_> = fitting
            .map(|worker| {
                let traffic = Rc::clone(&self);
                async move {
                    let asked = traffic.ask(&worker, Method::GET, path, Bytes::new());
                    let limit = Duration::from_millis(cache_lookup::MAX_WAIT_MS);
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
        slog::info!(self.log, "asked engines what they keep"; "service" => &*service,
            "parts" => parts);
        self.tell_peers();
    }
}
