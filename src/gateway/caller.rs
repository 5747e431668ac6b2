//! A caller's socket, watched for when its next request begins and when an answer is written.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::failure::Failure;
use crate::clock::Clock;

/// Where a connection stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It waits for a request, since then.
    Idle(u64),
    /// A request began to arrive at that time, and its head isn't whole.
    Head(u64),
    /// A request is served.
    Serving,
    /// Its answer is being made.
    Answering,
    /// The answer was made, and a part of it isn't written.
    Flushing,
}

/// Follows a connection from stage to stage.
pub struct Progress {
    clock: Clock,
    stage: Cell<Stage>,
    /// Bytes of the next request came before the answer was written.
    has_next: Cell<bool>,
}

impl Progress {
    /// Of a connection that was just accepted.
    pub fn new(clock: Clock) -> Progress {
        let stage = Cell::new(Stage::Idle(clock.now_ms()));
        Progress { clock, stage, has_next: Cell::new(false) }
    }

    /// Where it stands.
    pub fn stage(&self) -> Stage {
        self.stage.get()
    }

    /// Notes that the head of a request is whole.
    pub fn begin(&self) {
        self.has_next.set(false);
        self.stage.set(Stage::Serving);
    }

    /// Notes that the head of the answer is there.
    pub fn answer(&self) {
        self.stage.set(Stage::Answering);
    }

    /// Notes that the body of the answer has ended.
    pub fn body_ended(&self) {
        if self.stage.get() == Stage::Answering {
            self.stage.set(Stage::Flushing);
        }
    }

    /// Notes that all bytes of answers are written. The times of the next request begin here, not
    /// with the head of an answer that may take many times as long.
    fn flushed(&self) {
        if self.stage.get() != Stage::Flushing {
            return;
        }
        let now_ms = self.clock.now_ms();
        let has_next = self.has_next.take();
        self.stage.set(if has_next { Stage::Head(now_ms) } else { Stage::Idle(now_ms) });
    }

    /// Notes that bytes were read.
    fn read(&self) {
        match self.stage.get() {
            Stage::Idle(_) => self.stage.set(Stage::Head(self.clock.now_ms())),
            Stage::Answering | Stage::Flushing => self.has_next.set(true),
            // Of the head, or of the body of the request that is served.
            Stage::Head(_) | Stage::Serving => {}
        }
    }
}

/// A socket that notes when a request begins to arrive and when an answer is written.
pub struct Watched {
    stream: Rc<TcpStream>,
    progress: Rc<Progress>,
    /// Bytes that were read from the socket already, and come before what it still holds.
    ahead: Bytes,
}

impl Watched {
    /// Watches a socket.
    pub fn new(stream: Rc<TcpStream>, progress: Rc<Progress>) -> Watched {
        Watched { stream, progress, ahead: Bytes::new() }
    }

    /// Puts back what was read from the socket and not used; it is read again first.
    pub fn put_back(&mut self, unused: Bytes) {
        self.ahead = unused;
    }
}

/// Tells a caller on its bare socket why its connection ends, before any request was read.
pub fn tell(stream: &TcpStream, failure: &Failure) {
    let status = failure.status();
    let body = failure.body();
    let head = format!(
        "HTTP/1.1 {status} Request Timeout\r\nConnection: close\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    // A caller whose socket takes nothing more is told by the end of the connection.
    let _ = stream.try_write(&[head.as_bytes(), &body].concat());
}

impl AsyncRead for Watched {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if !this.ahead.is_empty() {
            let length = this.ahead.len().min(buffer.remaining());
            buffer.put_slice(&this.ahead.split_to(length));
            this.progress.read();
            return Poll::Ready(Ok(()));
        }
        loop {
            std::task::ready!(this.stream.poll_read_ready(context))?;
            match this.stream.try_read(buffer.initialize_unfilled()) {
                Ok(read) => {
                    buffer.advance(read);
                    if read > 0 {
                        this.progress.read();
                    }
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for Watched {
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
            std::task::ready!(self.stream.poll_write_ready(context))?;
            match self.stream.try_write_vectored(parts) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the socket once its own buffer is empty.
        self.progress.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}
