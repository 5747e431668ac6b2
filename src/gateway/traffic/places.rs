//! Which engine read a prompt, so that whoever comes back finds it in memory.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::Method;
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use super::super::worker::Worker;
use super::Traffic;

/// How long it is known which engine read a prompt: its memory keeps the prompt for about as long.
const PLACE_MS: u64 = 12_000;
/// How long after its start an instance may ask engines what they keep: callers that come back
/// later than that have waited too long anyway.
const RECALL_WITHIN_MS: u64 = 8_000;
/// How long that may take: a list comes in a round trip, and reading a prompt anew takes a second.
const RECALL_TIMEOUT_MS: u64 = 150;

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

    /// Asks the engines of a service which prompts they keep, if this instance and its peers have
    /// forgotten: when all instances were lost at once, callers come back and nobody else knows.
    pub async fn recall(self: &Rc<Traffic>, service: &str) {
        let now_ms = self.now_ms();
        let is_known = !self.shared.view.load().places.is_empty();
        if is_known || now_ms > RECALL_WITHIN_MS {
            return;
        }
        let mut recalled = self.recalled.borrow().get(service).cloned();
        if recalled.is_none() {
            let (tell, done) = watch::channel(false);
            self.recalled.borrow_mut().insert(Arc::from(service), done.clone());
            tokio::task::spawn_local(Rc::clone(self).ask_kept(Arc::from(service), tell));
            recalled = Some(done);
        }
        if let Some(mut done) = recalled {
            let limit = Duration::from_millis(RECALL_TIMEOUT_MS);
            // Without an answer in time, the prompt is read anew.
            let _ = tokio::time::timeout(limit, done.wait_for(|done| *done)).await;
        }
    }

    pub(super) async fn ask_kept(self: Rc<Traffic>, service: Arc<str>, tell: watch::Sender<bool>) {
        let workers = self.workers.borrow().values().map(Rc::clone).collect::<Vec<_>>();
        let fitting = workers.into_iter().filter(|worker| worker.upstream.service == service);
        let path = self.dialect.kept_path();
        let mut asked: FuturesUnordered<_> = fitting
            .map(|worker| {
                let traffic = Rc::clone(&self);
                async move {
                    let asked = traffic.ask(&worker, Method::GET, path, Bytes::new());
                    let limit = Duration::from_millis(RECALL_TIMEOUT_MS);
                    let answered = tokio::time::timeout(limit, asked).await.ok().flatten();
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
        tell.send_replace(true);
    }
}
