//! Small questions to this instance, each answered at once: addresses, readiness, metrics.

use std::cell::Cell;
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

use super::answer::Answer;
use super::connection;

/// How much a listener serves at once.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// Connections; further ones are closed at once, so that whoever asks can go elsewhere.
    pub connections: usize,
    /// How long each may last: one whose asker lost power would hold its place.
    pub each_ms: u64,
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

/// Serves small questions on a listener of their own, each answered by `reply`.
pub async fn serve<F, R>(listener: TcpListener, reply: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Answer> + 'static,
{
    let unlimited = Limit { connections: usize::MAX, each_ms: u64::MAX };
    serve_within(listener, unlimited, || reply.clone()).await;
}

/// Serves questions within a limit, those of each connection by a reply of its own.
pub async fn serve_within<M, F, R>(listener: TcpListener, limit: Limit, reply_of: M)
where
    M: Fn() -> F,
    F: Fn(Request<Incoming>) -> R + 'static,
    R: Future<Output = Answer> + 'static,
{
    let open = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        if Rc::strong_count(&open) > limit.connections {
            continue;
        }
        let place = Rc::clone(&open);
        let reply = reply_of();
        tokio::task::spawn_local(async move {
            let _place = place;
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
    }
}
