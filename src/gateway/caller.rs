//! A caller's connection: what it waits for, and a socket that records when the next request starts to
//! arrive and when an answer has been written.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::answer;
use super::body::HeldMemory;
use super::failure::Failure;
use super::policy::yielding::{Pace, Wait};
use crate::clock::Clock;

/// The stage of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Waiting for a request, since the given time in milliseconds.
    Idle(u64),
    /// The head of a request is incomplete; its first bytes arrived at the given time.
    Head(u64),
    /// The head of a request is complete, and the head of its answer isn't there yet.
    Serving,
    /// The body of the answer is being produced.
    Answering,
    /// The body of the answer has ended, but isn't fully written to the socket.
    Flushing,
    /// The answer is written, since the given time, and the rest of its request is read and dropped.
    Dropping(u64),
}

/// Tracks the stage of a connection.
pub struct Progress {
    clock: Clock,
    stage: Cell<Stage>,
    /// Whether a whole head has arrived.
    has_had_request: Cell<bool>,
    /// Whether bytes of the next request arrived before the answer was written.
    has_next_request: Cell<bool>,
    /// Whether the rest of the request's body is read and dropped.
    drops_rest: Cell<bool>,
    /// How fast the body arrives that is being read, and what it holds.
    arriving: Cell<Option<(Pace, usize)>>,
    /// How fast the caller takes its answer, since it first let one wait.
    taking: Cell<Option<Pace>>,
    /// The memory of the answer, until it is written.
    answer_memory: RefCell<Option<HeldMemory>>,
    /// Whether it has to yield to another caller.
    must_yield: Cell<bool>,
    yielding: Notify,
}

impl Progress {
    /// Starts to track a connection that was just accepted.
    pub fn new(clock: Clock) -> Progress {
        let stage = Cell::new(Stage::Idle(clock.now_ms()));
        Progress {
            clock,
            stage,
            has_had_request: Cell::default(),
            has_next_request: Cell::default(),
            drops_rest: Cell::default(),
            arriving: Cell::default(),
            taking: Cell::default(),
            answer_memory: RefCell::default(),
            must_yield: Cell::default(),
            yielding: Notify::new(),
        }
    }

    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// What this instance and the caller wait for.
    pub fn wait(&self) -> Wait {
        match self.stage.get() {
            Stage::Idle(since_ms) if self.has_had_request.get() => Wait::NextRequest { since_ms },
            Stage::Idle(since_ms) | Stage::Head(since_ms) | Stage::Dropping(since_ms) => {
                Wait::NewRequest { since_ms }
            }
            Stage::Serving => match self.arriving.get() {
                Some((pace, held_bytes)) => Wait::Body { pace, held_bytes },
                None => Wait::Others,
            },
            Stage::Answering | Stage::Flushing => match self.taking.get() {
                Some(pace) => Wait::Taking { pace, held_bytes: self.answer_bytes() },
                None => Wait::Others,
            },
        }
    }

    /// What the answer holds that is being written.
    fn answer_bytes(&self) -> usize {
        self.answer_memory.borrow().as_ref().map_or(0, HeldMemory::shared_bytes)
    }

    /// Has the caller yield to another one.
    pub fn yield_now(&self) {
        self.must_yield.set(true);
        self.yielding.notify_waiters();
    }

    /// Whether it has to yield.
    pub fn must_yield(&self) -> bool {
        self.must_yield.get()
    }

    /// Waits until it has to yield.
    pub async fn yielded(&self) {
        if !self.must_yield() {
            self.yielding.notified().await;
        }
    }

    /// Records how fast the body of the request arrives and what it holds; `None` once it is whole.
    pub fn body_arriving(&self, arriving: Option<(Pace, usize)>) {
        self.arriving.set(arriving);
    }

    /// Records that the head of a request is complete.
    pub fn head_received(&self) {
        self.has_had_request.set(true);
        self.has_next_request.set(false);
        self.stage.set(Stage::Serving);
    }

    /// Records that the rest of the request's body is read and dropped. The connection ends then.
    pub fn rest_dropped(&self) {
        self.drops_rest.set(true);
    }

    /// Records that the head of the answer is there.
    pub fn answer_started(&self) {
        self.stage.set(Stage::Answering);
    }

    /// Records that the body of the answer has ended, and the memory that it holds until it is written.
    pub fn body_ended(&self, memory: Option<HeldMemory>) {
        *self.answer_memory.borrow_mut() = memory;
        if self.stage.get() == Stage::Answering {
            self.stage.set(Stage::Flushing);
        }
    }

    /// Records that the answer is fully written. The idle and head timeouts of the next request start
    /// here and not at the head of the answer, whose body may take far longer than these timeouts.
    fn answer_written(&self) {
        self.taking.set(None);
        if self.stage.get() != Stage::Flushing {
            return;
        }
        *self.answer_memory.borrow_mut() = None;
        let now_ms = self.clock.now_ms();
        let has_next_request = self.has_next_request.take();
        self.stage.set(match has_next_request {
            _ if self.drops_rest.get() => Stage::Dropping(now_ms),
            true => Stage::Head(now_ms),
            false => Stage::Idle(now_ms),
        });
    }

    /// Records that the socket takes no more bytes.
    fn write_blocked(&self) {
        if self.taking.get().is_none() {
            self.taking.set(Some(Pace::start(self.clock.now_ms())));
        }
    }

    /// Records that the socket took bytes.
    fn bytes_written(&self, bytes: usize) {
        if let Some(pace) = self.taking.get() {
            self.taking.set(Some(pace.moved(bytes, self.clock.now_ms())));
        }
    }

    /// Records that bytes were read.
    fn bytes_read(&self) {
        match self.stage.get() {
            Stage::Idle(_) => self.stage.set(Stage::Head(self.clock.now_ms())),
            Stage::Answering | Stage::Flushing => self.has_next_request.set(true),
            // The bytes belong to the head, or to the body of the request.
            Stage::Head(_) | Stage::Serving | Stage::Dropping(_) => {}
        }
    }
}

/// A socket that records when a request starts to arrive and when an answer has been written.
pub struct ObservedStream {
    stream: Rc<TcpStream>,
    progress: Rc<Progress>,
    /// Bytes that were taken from the socket but not used; reads return them first.
    unread: Bytes,
}

impl ObservedStream {
    pub fn new(stream: Rc<TcpStream>, progress: Rc<Progress>) -> ObservedStream {
        ObservedStream { stream, progress, unread: Bytes::new() }
    }

    /// Puts back bytes that were read but not used; the next reads return them first.
    pub fn put_back(&mut self, unused: Bytes) {
        self.unread = unused;
    }
}

/// Writes an answer straight to the socket of a caller whose connection closes before hyper has read
/// a request to answer.
pub fn write_failure(stream: &TcpStream, failure: &Failure) {
    let answer = answer::failed(failure, None);
    let body = failure.body();
    let mut head = format!("HTTP/1.1 {}\r\nConnection: close\r\n", answer.status());
    for (name, value) in answer.headers() {
        head += &format!("{name}: {}\r\n", value.to_str().unwrap_or_default());
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    // If the socket's send buffer is full, the caller sees only that the connection closes.
    let _ = stream.try_write(&[head.as_bytes(), &body].concat());
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if !this.unread.is_empty() {
            let length = this.unread.len().min(buffer.remaining());
            buffer.put_slice(&this.unread.split_to(length));
            this.progress.bytes_read();
            return Poll::Ready(Ok(()));
        }
        loop {
            std::task::ready!(this.stream.poll_read_ready(context))?;
            match this.stream.try_read(buffer.initialize_unfilled()) {
                Ok(read) => {
                    buffer.advance(read);
                    if read > 0 {
                        this.progress.bytes_read();
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(context, &[io::IoSlice::new(bytes)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            let Poll::Ready(ready) = self.stream.poll_write_ready(context) else {
                self.progress.write_blocked();
                return Poll::Pending;
            };
            ready?;
            match self.stream.try_write_vectored(parts) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.progress.bytes_written(result.as_ref().map_or(0, |bytes| *bytes));
                    return Poll::Ready(result);
                }
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the socket once its own write buffer is empty.
        self.progress.answer_written();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}
