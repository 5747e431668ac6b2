//! Reads the bodies of callers' requests, within what each and all of them together may hold, and drops
//! those that are refused.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, EXPECT};

use super::caller::Progress;
use super::failure::Failure;
use super::policy::request_memory::{NoRoom, RequestMemory};
use super::policy::yielding::Pace;
use super::route::Limits;
use super::traffic::Traffic;
use crate::assembly::Assembly;

/// How much of a refused body is read, so that its caller gets the answer instead of a reset.
const MAX_DROPPED_BYTES: usize = 8 << 20;
/// How often a body that finds no room looks again after others were asked to yield.
const ROOM_TRIES: usize = 3;

/// What the body of a request holds, until it is dropped.
#[derive(Debug)]
pub struct HeldRequest {
    memory: Rc<RefCell<RequestMemory>>,
    bytes: usize,
}

impl HeldRequest {
    /// Nothing is held yet.
    pub fn new(memory: &Rc<RefCell<RequestMemory>>) -> HeldRequest {
        HeldRequest { memory: Rc::clone(memory), bytes: 0 }
    }

    fn grow(&mut self, bytes: usize, max_bytes: usize) -> Result<(), NoRoom> {
        if bytes > self.bytes {
            self.memory.borrow_mut().grow(self.bytes, bytes, max_bytes)?;
            self.bytes = bytes;
        }
        Ok(())
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.memory.borrow_mut().free(self.bytes);
    }
}

/// A body that was read, and its room.
#[derive(Debug)]
pub struct RequestBody {
    /// The body.
    pub bytes: Bytes,
    /// What it holds.
    pub held: HeldRequest,
}

/// Reads the body of a request.
///
/// # Errors
///
/// Fails if it is too long or too late, is malformed, or finds no room. The rest of it is still to be
/// read.
pub async fn read(
    traffic: &Traffic,
    progress: &Progress,
    body: &mut Incoming,
    headers: &HeaderMap,
    limits: Limits,
) -> Result<RequestBody, Failure> {
    let announced_bytes = announced_bytes(headers);
    if announced_bytes.is_some_and(|bytes| bytes > limits.body_bytes as u64) {
        return Err(Failure::TooLarge { limit_bytes: limits.body_bytes });
    }
    let reading = Reading {
        traffic,
        progress,
        limits,
        assembly: Assembly::new(announced_bytes.map(|bytes| bytes as usize), limits.body_bytes),
        pace: Pace::start(traffic.now_ms()),
        held: HeldRequest::new(&traffic.request_memory),
    };
    let timeout_ms = limits.idle_timeout_ms;
    let read = tokio::select! {
        read = tokio::time::timeout(Duration::from_millis(timeout_ms), reading.run(body)) => {
            read.unwrap_or(Err(Failure::TooSlow { timeout_ms }))
        }
        () = progress.yielded() => Err(Failure::Crowded),
    };
    progress.body_arriving(None);
    read
}

fn announced_bytes(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// The reading of one body.
struct Reading<'a> {
    traffic: &'a Traffic,
    progress: &'a Progress,
    limits: Limits,
    assembly: Assembly,
    pace: Pace,
    held: HeldRequest,
}

impl Reading<'_> {
    async fn run(mut self, body: &mut Incoming) -> Result<RequestBody, Failure> {
        self.note(0);
        while let Some(frame) = body.frame().await {
            let malformed = |error: hyper::Error| Failure::Malformed { detail: error.to_string() };
            // Trailers hold nothing that matters here.
            let Ok(data) = frame.map_err(malformed)?.into_data() else { continue };
            let more_bytes = data.len();
            let too_large = Failure::TooLarge { limit_bytes: self.limits.body_bytes };
            let bytes = self.assembly.bytes_with(more_bytes).ok_or(too_large)?;
            self.hold(bytes).await?;
            self.assembly.push(data);
            self.note(more_bytes);
        }
        Ok(RequestBody { bytes: self.assembly.finish(), held: self.held })
    }

    /// Records that more has come.
    fn note(&mut self, more_bytes: usize) {
        self.pace = self.pace.moved(more_bytes, self.traffic.now_ms());
        self.progress.body_arriving(Some((self.pace, self.held.bytes)));
    }

    /// Holds so many bytes; others may have to yield.
    async fn hold(&mut self, bytes: usize) -> Result<(), Failure> {
        let max_bytes = self.traffic.settings.machine.request_bytes(&self.limits);
        for _ in 0..ROOM_TRIES {
            let Err(no_room) = self.held.grow(bytes, max_bytes) else { return Ok(()) };
            if !self.traffic.free_for_body(bytes, no_room.missing_bytes) {
                break;
            }
            // Those that yield run before this task does.
            tokio::task::yield_now().await;
        }
        self.traffic.metrics.count("requests_without_room");
        Err(Failure::Crowded)
    }
}

/// Reads and drops the rest of a refused body while its caller reads the answer. Closing a connection
/// with unread bytes would reset it.
pub async fn drop_rest(mut body: Incoming, limits: Limits) {
    let mut left_bytes = MAX_DROPPED_BYTES;
    let dropping = async {
        while let Some(Ok(frame)) = body.frame().await {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest_bytes) = left_bytes.checked_sub(bytes) else { return };
            left_bytes = rest_bytes;
        }
    };
    let _ = tokio::time::timeout(Duration::from_millis(limits.head_timeout_ms), dropping).await;
}

/// Whether a caller waits for leave before it sends the body.
pub fn waits_for_leave(headers: &HeaderMap) -> bool {
    headers.contains_key(EXPECT)
}
