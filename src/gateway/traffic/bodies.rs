//! Bodies of upstreams' answers, and the standing of upstreams that send bytes without end.

use std::rc::Rc;

use bytes::Bytes;
use hyper::body::Incoming;

use super::super::body::{self, Fault, Limit};
use super::super::policy::body_limit::Exceeded;
use super::super::worker::{Lease, Worker};
use super::Traffic;
use super::losses;

impl Traffic {
    /// Reads the whole body of an upstream's answer, until a time. An upstream whose body is too long
    /// gets no requests for a while.
    ///
    /// # Errors
    ///
    /// Fails if it is too long, late or broken off.
    pub async fn read_body(
        &self,
        worker: &Rc<Worker>,
        body: Incoming,
        max_bytes: usize,
        until_ms: u64,
    ) -> Result<Bytes, Fault> {
        let read = self.read_peer_body(body, max_bytes, until_ms).await;
        if matches!(read, Err(Fault::TooLong(Exceeded::Limit { .. }))) {
            self.mark_endless(worker);
        }
        read
    }

    /// Reads the whole body of another instance's answer, until a time.
    ///
    /// # Errors
    ///
    /// Fails if it is too long, late or broken off.
    pub async fn read_peer_body(
        &self,
        body: Incoming,
        max_bytes: usize,
        until_ms: u64,
    ) -> Result<Bytes, Fault> {
        let timeout_ms = until_ms.saturating_sub(self.now_ms());
        body::read(body, Limit { max_bytes, timeout_ms }, &self.body_memory).await
    }

    /// Notes it if the head of an upstream's answer didn't end.
    pub fn note_if_flooded(&self, worker: &Rc<Worker>, lease: &Lease) {
        if lease.channel.is_flooded() {
            self.mark_endless(worker);
        }
    }

    /// Notes that an upstream sends bytes without end where its answer is due. It is alive, so its runs
    /// stay there, but it fails new requests fast and would look free.
    pub fn mark_endless(&self, worker: &Rc<Worker>) {
        let now_ms = self.now_ms();
        worker.avoid(now_ms);
        let loss = losses::new_loss(worker, now_ms, true);
        self.losses.borrow_mut().note(&worker.upstream.id, loss);
        self.notify_peers();
        self.metrics.count("endless_answers");
        slog::warn!(self.log, "upstream sends bytes without end";
            "upstream" => &*worker.upstream.id, "service" => &*worker.upstream.service,
            "domain" => &*worker.upstream.domain);
    }
}
