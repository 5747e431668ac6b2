//! Small questions to this instance, each answered at once: addresses, readiness, metrics.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::answer::Answer;
use super::connection;

/// Serves small questions on a listener of their own, each answered by `reply`.
pub async fn serve<F, R>(listener: TcpListener, reply: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Answer> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let reply = reply.clone();
        tokio::task::spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let service = service_fn(move |request| {
                let answer = reply(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            // A broken connection concerns its asker only.
            let _ = http1::Builder::new()
                .max_buf_size(connection::LEAST_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
