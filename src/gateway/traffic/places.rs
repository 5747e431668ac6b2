//! Which engine read a prompt, so that whoever comes back finds it in memory.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::Method;
use xxhash_rust::xxh3::xxh3_64;

use super::super::policy::recall;
use super::super::worker::Worker;
use super::Traffic;

/// How long it is known which engine read a prompt: its memory keeps the prompt for about as long.
const PLACE_MS: u64 = 12_000;
/// How long after its start an instance may ask engines what they keep: callers that come back
/// later than that have waited too long anyway.
const RECALL_WITHIN_MS: u64 = 8_000;
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
    /// Notes that an engine reads or holds a prompt, by its last part.
    pub fn note_place(&self, part: u64, worker: &Worker) {
        let until_ms = self.now_ms() + PLACE_MS;
        let upstream = Arc::clone(&worker.upstream.id);
        self.places.borrow_mut().insert(part, Place { upstream, until_ms });
    }

    /// The engine that holds a prompt, as far as this instance or a peer knows.
    pub fn place_of(&self, part: u64) -> Option<Rc<Worker>> {
        let own = self.places.borrow().get(&part).map(|place| Arc::clone(&place.upstream));
        let id = own.or_else(|| self.shared.view.load().places.get(&part).map(Arc::clone))?;
        self.worker(&id)
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
        let until_ms = started_ms + recall::WAIT_MS;
        while self.place_of(part).is_none() && self.now_ms() < until_ms {
            tokio::time::sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }

    /// Asks this instance's share of the engines of a service what they keep, and tells peers.
    async fn ask_kept(self: Rc<Traffic>, service: Arc<str>) {
        let instances = self.shared.view.load().instances;
        let mut random = fastrand::Rng::new();
        let workers = self.workers.borrow().values().map(Rc::clone).collect::<Vec<_>>();
        let fitting = workers
            .into_iter()
            .filter(|worker| worker.upstream.service == service)
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
                self.note_place(xxh3_64(part.as_bytes()), &worker);
            }
        }
        slog::info!(self.log, "asked engines what they keep"; "service" => &*service,
            "parts" => parts);
        self.tell_peers();
    }
}
