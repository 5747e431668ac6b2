//! Small questions to this instance, each answered at once: addresses, readiness, metrics.

use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;

use super::answer::Answer;
use super::connection;

/// How long a connection for small questions may last; whoever still asks then opens another.
const CONNECTION_MS: u64 = 60_000;
/// The delay after a failed accept; connections that end meanwhile free file descriptors.
const ACCEPT_RETRY_DELAY_MS: u64 = 20;

/// How much a listener serves at once.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// Connections.
    pub connections: usize,
    /// How long each may last: one whose asker lost power would hold its place.
    pub each_ms: u64,
    /// Which connection is closed for want of a place.
    pub closes: Closes,
}

/// Which connection a listener closes that has all that it may.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Closes {
    /// The new one: its asker can go elsewhere.
    New,
    /// The oldest one: an ordinary question has been answered by then.
    Oldest,
}

/// A bounded number of places; cloning shares them.
#[derive(Debug, Clone)]
pub struct Places(Rc<Cell<usize>>);

/// One of them, which is free again when it is dropped.
#[derive(Debug)]
pub struct Place(Rc<Cell<usize>>);

impl Places {
    /// So many places, all free.
    pub fn new(count: usize) -> Places {
        Places(Rc::new(Cell::new(count)))
    }

    /// A free place, if there is one.
    pub fn take(&self) -> Option<Place> {
        let left = self.0.get().checked_sub(1)?;
        self.0.set(left);
        Some(Place(Rc::clone(&self.0)))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

/// Serves small questions on a listener of their own, each answered by `reply`, on so many connections;
/// says when one is closed for want of a place.
pub async fn serve<F, R>(listener: TcpListener, connections: usize, closed: impl Fn(), reply: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Answer> + 'static,
{
    let limit = Limit { connections, each_ms: CONNECTION_MS, closes: Closes::Oldest };
    serve_within(listener, limit, closed, || reply.clone()).await;
}

/// Serves questions within a limit, those of each connection by a reply of its own; says when one is
/// closed for want of a place.
pub async fn serve_within<M, F, R>(
    listener: TcpListener,
    limit: Limit,
    closed: impl Fn(),
    reply_of: M,
) where
    M: Fn() -> F,
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Answer> + 'static,
{
    let mut open: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            continue;
        };
        open.retain(|connection| !connection.is_finished());
        if open.len() >= limit.connections {
            closed();
            match limit.closes {
                Closes::New => continue,
                Closes::Oldest => open.pop_front().iter().for_each(AbortHandle::abort),
            }
        }
        let reply = reply_of();
        let serving = tokio::task::spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let service = service_fn(move |request| {
                let answer = reply(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let served = http1::Builder::new()
                .max_buf_size(connection::MIN_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            // A broken connection concerns its asker only.
            let _ = tokio::time::timeout(Duration::from_millis(limit.each_ms), served).await;
        });
        open.push_back(serving.abort_handle());
        // The one that was closed frees its descriptor before the next one is accepted.
        tokio::task::yield_now().await;
    }
}
