//! Bodies of upstreams' answers, and the standing of upstreams that send bytes without end.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::{Body, Incoming};

use super::super::body::{self, Fault, HeldBody, HeldMemory};
use super::super::event_queue::HeldEvents;
use super::super::policy::body_limit::Exceeded;
use super::super::worker::{Lease, Worker};
use super::Traffic;
use super::losses;

/// How often an answer that finds no room looks again.
const ROOM_CHECK_MS: u64 = 20;

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
    ) -> Result<HeldBody, Fault> {
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
    ) -> Result<HeldBody, Fault> {
        let mut held = HeldMemory::new(&self.answer_memory, max_bytes);
        if let Some(bytes) = body.size_hint().exact() {
            self.hold_announced(&mut held, bytes, until_ms).await?;
        }
        body::read(body, until_ms.saturating_sub(self.now_ms()), held).await
    }

    /// Holds the memory for a body whose length is known. If there is none it waits: callers who don't
    /// take their answers yield, and others take theirs.
    async fn hold_announced(
        &self,
        held: &mut HeldMemory,
        bytes: u64,
        until_ms: u64,
    ) -> Result<(), Fault> {
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        loop {
            match held.cover(bytes) {
                Err(Exceeded::Shared) if self.now_ms() < until_ms => self.free_for_answer(bytes),
                covered => return covered.map_err(Fault::TooLong),
            }
            tokio::time::sleep(Duration::from_millis(ROOM_CHECK_MS)).await;
        }
    }

    /// What the events of a stream hold before the first one.
    pub fn hold_no_events(&self) -> HeldEvents {
        let held = HeldMemory::new(&self.answer_memory, usize::MAX);
        Rc::new(RefCell::new(Some(held)))
    }

    /// Has the events of a stream hold exactly so many bytes. If there is no room, callers who don't take
    /// their answers yield.
    ///
    /// # Errors
    ///
    /// Fails if there is no room.
    pub fn hold_events(&self, held: &HeldEvents, bytes: usize) -> Result<(), Exceeded> {
        // The caller that has disconnected needs no room.
        let Some(held) = &mut *held.borrow_mut() else { return Ok(()) };
        held.settle(bytes).inspect_err(|_| {
            self.metrics.count("events_without_room");
            self.free_for_answer(bytes);
        })
    }

    /// Notes it if the head of an upstream's answer didn't end.
    pub fn note_if_flooded(&self, worker: &Rc<Worker>, lease: &Lease) {
        if lease.channel.is_flooded() {
            self.mark_endless(worker);
        }
    }

    /// Notes it if an upstream's answer was refused since its head is spoilt, or what follows it. That
    /// is evidence against the upstream, as any failure; by itself it keeps no requests from it.
    pub fn note_if_spoilt(&self, worker: &Worker, lease: &Lease) {
        let Some(spoilt) = lease.channel.spoilt() else { return };
        self.metrics.count(spoilt.counter());
        slog::warn!(self.log, "answer refused as spoilt"; "reason" => %spoilt,
            "upstream" => &*worker.upstream.id, "service" => &*worker.upstream.service,
            "domain" => &*worker.upstream.domain);
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
