//! A caller's socket, watched for when its next request begins.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

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
}

/// A socket that notes when a request begins to arrive.
pub struct Watched {
    stream: Rc<TcpStream>,
    stage: Rc<Cell<Stage>>,
    clock: Clock,
}

impl Watched {
    /// Watches a socket; `stage` is set to [`Stage::Head`] by the first byte after an idle time.
    pub fn new(stream: Rc<TcpStream>, stage: Rc<Cell<Stage>>, clock: Clock) -> Watched {
        Watched { stream, stage, clock }
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
        loop {
            std::task::ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Ok(read) => {
                    buffer.advance(read);
                    if read > 0 && matches!(self.stage.get(), Stage::Idle(_)) {
                        self.stage.set(Stage::Head(self.clock.now_ms()));
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
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(socket2::SockRef::from(&*self.stream).shutdown(std::net::Shutdown::Write))
    }
}
