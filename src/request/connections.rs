//! Callers' connections to a router, watched for partially received requests.
//!
//! On shutdown the server closes idle keep-alive connections, and a connection counts as idle until
//! a request head is complete. A planned stop waits for such heads first, so that none is cut off.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use salvo::conn::tcp::{TcpAcceptor, TcpCoupler};
use salvo::conn::{Accepted, Acceptor, Holding};
use salvo::fuse::ArcFusePolicy;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::request::callers::{Callers, Registered};

/// The number of connections that have received bytes since the last answer was written.
#[derive(Debug, Clone, Default)]
pub struct PartialRequests(Arc<AtomicUsize>);

impl PartialRequests {
    /// Whether there is any such connection.
    pub fn is_any(&self) -> bool {
        self.0.load(Ordering::SeqCst) > 0
    }
}

/// An acceptor that wraps each connection in a [`WatchedConnection`].
pub struct WatchedAcceptor {
    acceptor: TcpAcceptor,
    partial_requests: PartialRequests,
    callers: Arc<Callers>,
}

impl WatchedAcceptor {
    /// Counts the connections of `acceptor` in `partial_requests`, and registers them with `callers`.
    pub fn new(
        acceptor: TcpAcceptor,
        partial_requests: PartialRequests,
        callers: Arc<Callers>,
    ) -> WatchedAcceptor {
        WatchedAcceptor { acceptor, partial_requests, callers }
    }

    /// Accepts a connection that finds room; others are closed at once.
    async fn accept_registered(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<(Accepted<TcpCoupler<Stream>, Stream>, Option<Registered>)> {
        loop {
            let accepted = self.acceptor.accept(fuse_policy.clone()).await?;
            let Some(addr) = accepted.remote_addr.clone().into_std() else {
                return Ok((accepted, None));
            };
            let registered = self.callers.register(addr);
            // Those that yield to it close before the next one is accepted.
            tokio::task::yield_now().await;
            if registered.is_some() {
                return Ok((accepted, registered));
            }
        }
    }
}

type Stream = <TcpAcceptor as Acceptor>::Stream;

impl Acceptor for WatchedAcceptor {
    type Coupler = TcpCoupler<WatchedConnection>;
    type Stream = WatchedConnection;

    fn holdings(&self) -> &[Holding] {
        self.acceptor.holdings()
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let (accepted, registered) = self.accept_registered(fuse_policy).await?;
        Ok(Accepted {
            coupler: TcpCoupler::new(),
            stream: WatchedConnection {
                stream: accepted.stream,
                partial_requests: self.partial_requests.clone(),
                is_counted: false,
                registered,
            },
            fuse_config: accepted.fuse_config,
            conn_ctrl: accepted.conn_ctrl,
            local_addr: accepted.local_addr,
            remote_addr: accepted.remote_addr,
            http_scheme: accepted.http_scheme,
        })
    }
}

/// A connection that is counted from the first bytes of a request to the first bytes of its answer.
pub struct WatchedConnection {
    stream: Stream,
    partial_requests: PartialRequests,
    is_counted: bool,
    registered: Option<Registered>,
}

impl WatchedConnection {
    /// Whether it has to be closed now, to make room for another one.
    fn yields(&self, context: &Context<'_>) -> bool {
        self.registered.as_ref().is_some_and(|registered| registered.caller.poll_closed(context))
    }

    fn note_written(&self) {
        if let Some(registered) = &self.registered {
            registered.caller.bytes_written();
        }
    }

    fn count(&mut self) {
        if !std::mem::replace(&mut self.is_counted, true) {
            self.partial_requests.0.fetch_add(1, Ordering::SeqCst);
        }
    }

    fn uncount(&mut self) {
        if std::mem::take(&mut self.is_counted) {
            self.partial_requests.0.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

impl Drop for WatchedConnection {
    fn drop(&mut self) {
        self.uncount();
    }
}

impl AsyncRead for WatchedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.yields(context) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.count();
            if let Some(registered) = &self.registered {
                registered.caller.bytes_read();
            }
        }
        polled
    }
}

impl AsyncWrite for WatchedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.uncount();
        self.note_written();
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.uncount();
        self.note_written();
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
