//! Small questions to this instance, each answered at once: addresses, readiness, metrics.

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

/// Serves small questions on a listener of their own, each answered by `reply`.
pub async fn serve<F, R>(listener: TcpListener, reply: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Answer> + 'static,
{
    let unlimited = Limit { connections: usize::MAX, each_ms: u64::MAX };
    serve_within(listener, unlimited, reply).await;
}

/// Serves questions within a limit.
pub async fn serve_within<F, R>(listener: TcpListener, limit: Limit, reply: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
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
        let reply = reply.clone();
        tokio::task::spawn_local(async move {
            let _place = place;
            let _ = stream.set_nodelay(true);
            let service = service_fn(move |request| {
                let answer = reply(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            let served = http1::Builder::new()
                .max_buf_size(connection::LEAST_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            // A broken connection concerns its asker only.
            let _ = tokio::time::timeout(Duration::from_millis(limit.each_ms), served).await;
        });
    }
}
