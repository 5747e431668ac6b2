//! The events of a stream that wait for its caller, bounded in number and in bytes.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::sync::{Notify, mpsc};

use super::answer::{BodyChunk, Truncated};
use super::body::HeldMemory;

/// Maximum number of events that wait for a slow caller before backpressure slows its engine.
const MAX_EVENTS: usize = 16;
/// Maximum size of all events that wait; a single one may be longer.
const MAX_BYTES: usize = 16 << 10;

/// What the events of a stream hold, from their first byte until its caller has taken them. The run and
/// the body of its answer share it; it is empty once the body has ended.
pub type HeldEvents = Rc<RefCell<Option<HeldMemory>>>;

/// The end of a queue at which events come in.
#[derive(Debug)]
pub struct EventSender {
    events: mpsc::Sender<BodyChunk>,
    waiting: Arc<Waiting>,
}

#[derive(Debug, Default)]
struct Waiting {
    bytes: AtomicUsize,
    taken: Notify,
}

/// An event that waits until it is dropped: it was written then.
struct WaitingEvent {
    bytes: Bytes,
    waiting: Arc<Waiting>,
}

impl AsRef<[u8]> for WaitingEvent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for WaitingEvent {
    fn drop(&mut self) {
        self.waiting.bytes.fetch_sub(self.bytes.len(), Ordering::Relaxed);
        self.waiting.taken.notify_one();
    }
}

/// The caller has closed its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Disconnected;

/// An empty queue.
pub fn new() -> (EventSender, mpsc::Receiver<BodyChunk>) {
    let (events, receiver) = mpsc::channel(MAX_EVENTS);
    (EventSender { events, waiting: Arc::default() }, receiver)
}

impl EventSender {
    /// The bytes that wait.
    pub fn bytes(&self) -> usize {
        self.waiting.bytes.load(Ordering::Relaxed)
    }

    /// Whether the next event has to wait until the caller has taken an earlier one.
    pub fn is_full(&self) -> bool {
        self.events.capacity() == 0 || self.bytes() >= MAX_BYTES
    }

    fn has_room(&self, bytes: usize) -> bool {
        let waiting_bytes = self.bytes();
        waiting_bytes == 0 || waiting_bytes + bytes <= MAX_BYTES
    }

    /// Adds an event once there is room.
    ///
    /// # Errors
    ///
    /// Fails if the caller has closed its connection.
    pub async fn send(&self, event: Bytes) -> Result<(), Disconnected> {
        while !self.has_room(event.len()) {
            tokio::select! {
                () = self.waiting.taken.notified() => {}
                () = self.events.closed() => return Err(Disconnected),
            }
        }
        self.waiting.bytes.fetch_add(event.len(), Ordering::Relaxed);
        let waiting = Arc::clone(&self.waiting);
        let event = Bytes::from_owner(WaitingEvent { bytes: event, waiting });
        self.events.send(Ok(event)).await.map_err(|_| Disconnected)
    }

    /// Ends the answer so that its caller sees that it isn't complete.
    pub async fn truncate(self) {
        // A caller that has disconnected needs no end.
        let _ = self.events.send(Err(Truncated)).await;
    }

    /// Completes when the caller has closed its connection.
    pub async fn closed(&self) {
        self.events.closed().await;
    }
}
