//! Accepts callers' connections, serves the requests on each in turn, and closes them.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::caller::{self, Progress, Stage, Watched};
use super::failure::Failure;
use super::front;
use super::open::{ConnectionGuard, Delivery, OpenGuard};
use super::route::Limits;
use super::traffic::Traffic;

/// The smallest buffer for a head that hyper accepts.
pub(super) const LEAST_BUFFER_BYTES: usize = 8 << 10;
/// The delay after a failed accept; connections that end meanwhile free file descriptors.
const ACCEPT_AGAIN_MS: u64 = 20;
/// How often a connection that is to close checks whether its request has arrived or ended. With 300
/// connections the checks take 8 % of a core.
const CLOSE_LOOK_MS: u64 = 10;
/// How long a planned stop waits for the first request on a new connection. Its caller opened it to
/// send one, which arrives a round trip later.
const NEW_CONNECTION_MS: u64 = 100;

/// Accepts connections until `close` is set, and then those that are still in the listener's queue.
pub async fn accept(traffic: Rc<Traffic>, listener: TcpListener, mut close: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = close.wait_for(|close| *close) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                // Counted before its task first runs, so that the count never misses it.
                let guard = ConnectionGuard::new(&traffic);
                let serving = serve(Rc::clone(&traffic), stream, close.clone());
                tokio::task::spawn_local(async move {
                    serving.await;
                    drop(guard);
                });
            }
            Err(error) => {
                slog::warn!(traffic.log, "can't accept"; "detail" => %error);
                if *close.borrow() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(ACCEPT_AGAIN_MS)).await;
            }
        }
    }
}

/// What is to be done with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Keep serving it.
    GoOn,
    /// Close it after the request in progress, or at once if there is none.
    Close,
    /// Reject it: the head of a request did not arrive within its timeout.
    TooSlow,
}

/// Decides what is to be done with a connection at this stage.
///
/// `is_closing`: a planned stop is closing all connections. `is_new`: no request has arrived on this
/// one yet.
pub fn next(stage: Stage, is_closing: bool, is_new: bool, limits: &Limits, now_ms: u64) -> Next {
    match stage {
        Stage::Head(since_ms) if now_ms >= since_ms + limits.head_timeout_ms => Next::TooSlow,
        // hyper would drop the bytes of the incomplete head. The connection closes after the answer
        // to this request instead.
        Stage::Head(_) => Next::GoOn,
        Stage::Idle(since_ms) => {
            let is_over = now_ms >= since_ms + limits.idle_timeout_ms;
            let is_awaited = is_new && now_ms < since_ms + NEW_CONNECTION_MS;
            if is_over || (is_closing && !is_awaited) { Next::Close } else { Next::GoOn }
        }
        Stage::Serving | Stage::Answering | Stage::Flushing if is_closing => Next::Close,
        Stage::Serving | Stage::Answering | Stage::Flushing => Next::GoOn,
    }
}

async fn serve(traffic: Rc<Traffic>, stream: TcpStream, mut close: watch::Receiver<bool>) {
    let _ = stream.set_nodelay(true);
    let view = traffic.shared.view.load_full();
    let limits = view.config.as_ref().map(|config| config.limits).unwrap_or_default();
    let progress = Rc::new(Progress::new(traffic.clock));
    let requests = Rc::new(Cell::new(0));
    let service = {
        let requests = Rc::clone(&requests);
        let traffic = Rc::clone(&traffic);
        let progress = Rc::clone(&progress);
        service_fn(move |request: Request<Incoming>| {
            requests.set(requests.get() + 1);
            progress.begin();
            let traffic = Rc::clone(&traffic);
            let progress = Rc::clone(&progress);
            let number = requests.get();
            async move {
                let demand = traffic.dialect.demand(request.headers());
                let open = OpenGuard::new(&traffic, demand.id.clone(), number);
                let answer = front::serve(&traffic, demand, request).await;
                progress.answer();
                Ok::<_, Infallible>(answer.map(|body| Delivery::new(body, open, progress)))
            }
        })
    };
    let stream = Rc::new(stream);
    let watched = Watched::new(Rc::clone(&stream), Rc::clone(&progress));
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.head_bytes.max(LEAST_BUFFER_BYTES));
    let mut connection = builder.serve_connection(TokioIo::new(watched), service);
    let mut is_closing = false;
    let mut has_closed = false;
    loop {
        let is_looking = is_closing && !has_closed;
        let patience_ms = if is_looking { CLOSE_LOOK_MS } else { limits.head_timeout_ms.max(1) };
        tokio::select! {
            // Bytes that have arrived are read before the connection is closed.
            biased;
            ended = &mut connection => {
                if let Err(error) = ended {
                    slog::debug!(traffic.log, "connection ended"; "detail" => %error);
                }
                return;
            }
            _ = close.wait_for(|close| *close), if !is_closing => is_closing = true,
            () = tokio::time::sleep(Duration::from_millis(patience_ms)) => {}
        }
        let is_new = requests.get() == 0;
        let stage = progress.stage();
        match next(stage, is_closing, is_new, &limits, traffic.now_ms()) {
            Next::Close if matches!(stage, Stage::Idle(_)) => {
                let idle = connection.into_parts();
                if idle.read_buf.is_empty() {
                    return;
                }
                // The start of the next head was read together with the request before it.
                let mut watched = idle.io.into_inner();
                watched.put_back(idle.read_buf);
                connection = builder.serve_connection(TokioIo::new(watched), idle.service);
            }
            Next::Close if !has_closed => {
                has_closed = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
            Next::TooSlow => {
                let failure = Failure::TooSlow { timeout_ms: limits.head_timeout_ms };
                slog::warn!(traffic.log, "rejected"; "status" => failure.status(),
                    "why" => %failure);
                return caller::tell(&stream, &failure);
            }
            Next::Close | Next::GoOn => {}
        }
    }
}
