//! The connections of callers and peers to a router, what their bodies hold, and who yields.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::task::AtomicWaker;
use tokio::sync::Notify;

use crate::clock::Clock;
use crate::gateway::policy::caller_limits::Machine;
use crate::gateway::policy::request_memory::RequestMemory;
use crate::gateway::policy::yielding::{self, Pace, Wait};
use crate::gateway::route::Limits;

/// How long a connection is taken to be in use after bytes were last read or written. Streams write
/// more often than that.
const IN_USE_MS: u64 = 2_000;
/// How often a body that finds no room looks again after others were asked to yield.
const ROOM_TRIES: usize = 3;

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// For a request or the rest of one whose answer is out, since then.
    Head { since_ms: u64 },
    /// For the rest of a body, at a pace, which holds so many bytes.
    Body { pace: Pace, held_bytes: usize },
    /// For this instance or an upstream.
    Serving,
    /// For its caller to take the answer, or to send the next request; bytes last moved then.
    Answered { moved_ms: u64 },
}

/// A connection of a caller or a peer.
pub struct Caller {
    clock: Clock,
    stage: Mutex<Stage>,
    must_yield: AtomicBool,
    yielding: Notify,
    reading: AtomicWaker,
}

impl Caller {
    fn new(clock: Clock) -> Caller {
        Caller {
            clock,
            stage: Mutex::new(Stage::Head { since_ms: clock.now_ms() }),
            must_yield: AtomicBool::new(false),
            yielding: Notify::new(),
            reading: AtomicWaker::new(),
        }
    }

    fn stage(&self) -> MutexGuard<'_, Stage> {
        self.stage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait(&self) -> Wait {
        match *self.stage() {
            Stage::Head { since_ms } => Wait::NewRequest { since_ms },
            Stage::Body { pace, held_bytes } => Wait::Body { pace, held_bytes },
            Stage::Answered { moved_ms } if self.clock.now_ms() >= moved_ms + IN_USE_MS => {
                Wait::NextRequest { since_ms: moved_ms }
            }
            Stage::Serving | Stage::Answered { .. } => Wait::Others,
        }
    }

    /// Records that bytes were read.
    pub fn bytes_read(&self) {
        let mut stage = self.stage();
        if matches!(*stage, Stage::Answered { .. }) {
            *stage = Stage::Head { since_ms: self.clock.now_ms() };
        }
    }

    /// Records that bytes were written.
    pub fn bytes_written(&self) {
        let mut stage = self.stage();
        if matches!(*stage, Stage::Answered { .. }) {
            *stage = Stage::Answered { moved_ms: self.clock.now_ms() };
        }
    }

    /// Records that the head of a request is complete.
    pub fn request_begun(&self) {
        *self.stage() = Stage::Serving;
    }

    /// Records that a request is whole: from now on it is answered, whatever others need.
    pub fn request_whole(&self) {
        self.request_begun();
        self.must_yield.store(false, Ordering::SeqCst);
    }

    /// Records how a request's body arrives.
    pub fn body_arriving(&self, pace: Pace, held_bytes: usize) {
        *self.stage() = Stage::Body { pace, held_bytes };
    }

    /// Records that the answer is there.
    pub fn answered(&self) {
        *self.stage() = Stage::Answered { moved_ms: self.clock.now_ms() };
    }

    /// Records that the rest of a refused body is dropped.
    pub fn rest_dropped(&self) {
        *self.stage() = Stage::Head { since_ms: self.clock.now_ms() };
    }

    fn yield_now(&self) {
        self.must_yield.store(true, Ordering::SeqCst);
        self.yielding.notify_waiters();
        self.reading.wake();
    }

    /// Whether it has to yield to another one.
    pub fn must_yield(&self) -> bool {
        self.must_yield.load(Ordering::SeqCst)
    }

    /// Waits until it has to yield.
    pub async fn yielded(&self) {
        let notified = self.yielding.notified();
        if !self.must_yield() {
            notified.await;
        }
    }

    /// Whether its connection is to be closed now; wakes the task that reads from it once it is.
    pub fn poll_closed(&self, context: &std::task::Context<'_>) -> bool {
        self.reading.register(context.waker());
        let is_refused_first = matches!(*self.stage(), Stage::Body { .. } | Stage::Serving);
        self.must_yield() && !is_refused_first
    }
}

/// All connections of callers and peers.
pub struct Callers {
    clock: Clock,
    log: slog::Logger,
    machine: Machine,
    limits: Limits,
    open: Mutex<BTreeMap<SocketAddr, Arc<Caller>>>,
    memory: Mutex<RequestMemory>,
}

/// Keeps a connection among the open ones until it is dropped.
pub struct Registered {
    callers: Arc<Callers>,
    addr: SocketAddr,
    /// The connection.
    pub caller: Arc<Caller>,
}

impl Drop for Registered {
    fn drop(&mut self) {
        let mut open = self.callers.lock_open();
        // Another connection may have its address by now.
        if open.get(&self.addr).is_some_and(|caller| Arc::ptr_eq(caller, &self.caller)) {
            open.remove(&self.addr);
        }
    }
}

impl Callers {
    /// None are open.
    pub fn new(clock: Clock, machine: Machine, limits: Limits, log: slog::Logger) -> Arc<Callers> {
        let (open, memory) = (Mutex::default(), Mutex::default());
        Arc::new(Callers { clock, log, machine, limits, open, memory })
    }

    fn lock_open(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Arc<Caller>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_memory(&self) -> MutexGuard<'_, RequestMemory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in a connection, to which another one may have to yield; `None` if there is no room.
    pub fn register(self: &Arc<Callers>, addr: SocketAddr) -> Option<Registered> {
        let mut open = self.lock_open();
        if open.len() >= self.machine.connections(&self.limits) {
            let yielding = yielding::connection(waits(&open), self.clock.now_ms());
            slog::warn!(self.log, "all connections of callers are taken";
                "connections" => open.len(), "yields" => yielding.is_some());
            yielding?.yield_now();
        }
        let caller = Arc::new(Caller::new(self.clock));
        open.insert(addr, Arc::clone(&caller));
        Some(Registered { callers: Arc::clone(self), addr, caller })
    }

    /// The connection from an address.
    pub fn caller(&self, addr: SocketAddr) -> Option<Arc<Caller>> {
        self.lock_open().get(&addr).cloned()
    }

    /// Has callers yield so that a body may grow. Returns whether any does.
    fn free_for_body(&self, bytes: usize, missing_bytes: usize) -> bool {
        let open = self.lock_open();
        let now_ms = self.clock.now_ms();
        let yielding = yielding::for_body(waits(&open), bytes, missing_bytes, now_ms);
        yielding.iter().for_each(|caller| caller.yield_now());
        slog::warn!(self.log, "no room for a body"; "to_bytes" => bytes,
            "missing_bytes" => missing_bytes, "yielding" => yielding.len());
        !yielding.is_empty()
    }
}

/// What each connection that doesn't yield already waits for.
fn waits(open: &BTreeMap<SocketAddr, Arc<Caller>>) -> impl Iterator<Item = (&Arc<Caller>, Wait)> {
    let staying = open.values().filter(|caller| !caller.must_yield());
    staying.map(|caller| (caller, caller.wait()))
}

/// What the body of a request holds, until it is dropped.
pub struct HeldRequest {
    callers: Arc<Callers>,
    bytes: usize,
}

impl HeldRequest {
    /// Nothing is held yet.
    pub fn new(callers: &Arc<Callers>) -> HeldRequest {
        HeldRequest { callers: Arc::clone(callers), bytes: 0 }
    }

    /// What is held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Holds at least so many bytes; others may have to yield. Returns whether there is room.
    pub async fn cover(&mut self, bytes: usize) -> bool {
        let max_bytes = self.callers.machine.request_bytes(&self.callers.limits);
        for _ in 0..ROOM_TRIES {
            if bytes <= self.bytes {
                return true;
            }
            let grown = self.callers.lock_memory().grow(self.bytes, bytes, max_bytes);
            let Err(no_room) = grown else {
                self.bytes = bytes;
                return true;
            };
            if !self.callers.free_for_body(bytes, no_room.missing_bytes) {
                return false;
            }
            // Those that yield free their room meanwhile.
            tokio::time::sleep(std::time::Duration::from_millis(1)).await;
        }
        false
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.callers.lock_memory().free(self.bytes);
    }
}
