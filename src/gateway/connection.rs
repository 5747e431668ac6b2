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
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::caller::{self, ObservedStream, Progress, Stage};
use super::failure::Failure;
use super::front;
use super::open::{DeliveredBody, OpenRequestGuard};
use super::route::Limits;
use super::traffic::Traffic;

/// The smallest buffer for a head that hyper accepts.
pub(super) const MIN_BUFFER_BYTES: usize = 8 << 10;
/// What the system may receive on a connection ahead of its reading.
const RECEIVE_BUFFER_BYTES: usize = 64 << 10;
/// The delay after a failed accept; connections that end meanwhile free file descriptors.
const ACCEPT_RETRY_DELAY_MS: u64 = 20;
/// How often a connection that is to close checks whether its request has arrived or ended. With 300
/// connections the checks take 8 % of a core.
const CLOSE_CHECK_INTERVAL_MS: u64 = 10;
/// How long a planned stop waits for the first request on a new connection. Its caller opened it to
/// send one, which arrives a round trip later.
const FIRST_REQUEST_TIMEOUT_MS: u64 = 100;

/// Bounds what waits in the system to be read of each connection, which counts as memory of this
/// process as well.
pub fn limit_receive_buffers(listener: &TcpListener) {
    // If it fails, the system keeps to its own bounds.
    let _ = SockRef::from(listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
}

/// Accepts connections until `close` is set, and then those that are still in the listener's queue.
pub async fn accept(
    traffic: Rc<Traffic>,
    listener: Rc<TcpListener>,
    mut close: watch::Receiver<bool>,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = close.wait_for(|close| *close) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                if !traffic.takes_connection() {
                    caller::write_failure(&stream, &Failure::Crowded);
                    continue;
                }
                // Counted before its task first runs, so that the count never misses it.
                let progress = Rc::new(Progress::new(traffic.clock));
                let registered = traffic.callers.register(Rc::clone(&progress));
                let serving = serve(Rc::clone(&traffic), stream, progress, close.clone());
                tokio::task::spawn_local(async move {
                    serving.await;
                    drop(registered);
                });
                // Those that yield to it close before the next one is accepted.
                tokio::task::yield_now().await;
            }
            Err(error) => {
                slog::warn!(traffic.log, "can't accept"; "detail" => %error);
                if *close.borrow() {
                    return;
                }
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_DELAY_MS)).await;
            }
        }
    }
}

/// What is to be done with a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextAction {
    /// Keep serving it.
    KeepServing,
    /// Close it after the request in progress, or at once if there is none.
    Close,
    /// Close it at once, with what has arrived on it.
    Drop,
    /// Reject it: the head of a request did not arrive within its timeout.
    TooSlow,
}

/// Decides what is to be done with a connection at this stage.
///
/// `is_closing`: a planned stop is closing all connections. `is_new`: no request has arrived on this
/// one yet.
pub fn next_action(
    stage: Stage,
    is_closing: bool,
    is_new: bool,
    limits: &Limits,
    now_ms: u64,
) -> NextAction {
    match stage {
        Stage::Head(since_ms) if now_ms >= since_ms + limits.head_timeout_ms => NextAction::TooSlow,
        // hyper would drop the bytes of the incomplete head. The connection closes after the answer
        // to this request instead.
        Stage::Head(_) => NextAction::KeepServing,
        Stage::Idle(since_ms) => {
            let is_expired = now_ms >= since_ms + limits.idle_timeout_ms;
            let awaits_first = is_new && now_ms < since_ms + FIRST_REQUEST_TIMEOUT_MS;
            if is_expired || (is_closing && !awaits_first) {
                NextAction::Close
            } else {
                NextAction::KeepServing
            }
        }
        // Whatever else comes is dropped.
        Stage::Dropping(_) if is_closing => NextAction::Drop,
        Stage::Dropping(_) => NextAction::KeepServing,
        Stage::Serving | Stage::Answering | Stage::Flushing if is_closing => NextAction::Close,
        Stage::Serving | Stage::Answering | Stage::Flushing => NextAction::KeepServing,
    }
}

async fn serve(
    traffic: Rc<Traffic>,
    stream: TcpStream,
    progress: Rc<Progress>,
    mut close: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let limits = traffic.limits();
    let requests = Rc::new(Cell::new(0));
    let service = {
        let requests = Rc::clone(&requests);
        let traffic = Rc::clone(&traffic);
        let progress = Rc::clone(&progress);
        service_fn(move |request: Request<Incoming>| {
            requests.set(requests.get() + 1);
            progress.head_received();
            let traffic = Rc::clone(&traffic);
            let progress = Rc::clone(&progress);
            let number = requests.get();
            async move {
                let demand = traffic.dialect.demand(request.headers());
                let open = OpenRequestGuard::new(&traffic, demand.id.clone(), number);
                let answer = front::serve(&traffic, &progress, demand, request).await;
                progress.answer_started();
                Ok::<_, Infallible>(answer.map(|body| DeliveredBody::new(body, open, progress)))
            }
        })
    };
    let stream = Rc::new(stream);
    let observed = ObservedStream::new(Rc::clone(&stream), Rc::clone(&progress));
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES));
    let mut connection = builder.serve_connection(TokioIo::new(observed), service);
    let mut is_closing = false;
    let mut has_closed = false;
    let mut has_yielded = false;
    loop {
        let is_checking = is_closing && !has_closed;
        let wait_ms =
            if is_checking { CLOSE_CHECK_INTERVAL_MS } else { limits.head_timeout_ms.max(1) };
        tokio::select! {
            // Bytes that have arrived are read before the connection is closed.
            biased;
            ended = &mut connection => {
                if let Err(error) = ended {
                    slog::debug!(traffic.log, "connection ended"; "detail" => %error);
                }
                return;
            }
            () = progress.yielded(), if !has_yielded => {
                if progress.stage() != Stage::Serving {
                    return;
                }
                // The request is refused, or it became whole in this moment and is served.
                has_yielded = true;
                has_closed = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
            _ = close.wait_for(|close| *close), if !is_closing => is_closing = true,
            () = tokio::time::sleep(Duration::from_millis(wait_ms)) => {}
        }
        let is_new = requests.get() == 0;
        let stage = progress.stage();
        match next_action(stage, is_closing, is_new, &limits, traffic.now_ms()) {
            NextAction::Close if matches!(stage, Stage::Idle(_)) => {
                let idle = connection.into_parts();
                if idle.read_buf.is_empty() {
                    return;
                }
                // The start of the next head was read together with the request before it.
                let mut observed = idle.io.into_inner();
                observed.put_back(idle.read_buf);
                connection = builder.serve_connection(TokioIo::new(observed), idle.service);
            }
            NextAction::Close if !has_closed => {
                has_closed = true;
                Pin::new(&mut connection).graceful_shutdown();
            }
            NextAction::TooSlow => {
                let failure = Failure::TooSlow { timeout_ms: limits.head_timeout_ms };
                slog::warn!(traffic.log, "rejected"; "status" => failure.status(),
                    "why" => %failure);
                return caller::write_failure(&stream, &failure);
            }
            NextAction::Drop => return,
            NextAction::Close | NextAction::KeepServing => {}
        }
    }
}
