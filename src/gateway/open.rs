//! What is open: callers' connections, and requests until the whole answer was taken for writing.

use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::answer::{AnswerBody, Cut};
use super::caller::Progress;
use super::traffic::Traffic;

/// Counts a caller's connection for as long as it lives.
pub struct ConnectionGuard(Rc<Traffic>);

impl ConnectionGuard {
    /// Counts one more.
    pub fn new(traffic: &Rc<Traffic>) -> ConnectionGuard {
        traffic.connections.set(traffic.connections.get() + 1);
        ConnectionGuard(Rc::clone(traffic))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Counts a request as open for as long as it lives, and logs one that ends without a whole answer.
pub struct OpenGuard {
    traffic: Rc<Traffic>,
    id: Option<Arc<str>>,
    /// Which request of its connection it is, from one on.
    number: u32,
    since_ms: u64,
    is_answered: bool,
}

impl OpenGuard {
    /// Counts one more.
    pub fn new(traffic: &Rc<Traffic>, id: Option<Arc<str>>, number: u32) -> OpenGuard {
        traffic.open_requests.set(traffic.open_requests.get() + 1);
        let since_ms = traffic.now_ms();
        OpenGuard { traffic: Rc::clone(traffic), id, number, since_ms, is_answered: false }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let traffic = &self.traffic;
        traffic.open_requests.set(traffic.open_requests.get() - 1);
        if self.is_answered {
            return;
        }
        let is_stopping = traffic.stop.get().is_some();
        traffic.metrics.count(if is_stopping { "unanswered_stopping" } else { "unanswered" });
        slog::info!(traffic.log, "unanswered: its caller left, or this instance ended";
            "request" => self.id.as_deref().unwrap_or("-"),
            "number_on_connection" => self.number,
            "ms" => traffic.now_ms() - self.since_ms, "is_stopping" => is_stopping);
    }
}

/// The body of an answer on its way to a caller; its request is open until it ends.
pub struct Delivery {
    body: AnswerBody,
    open: OpenGuard,
    progress: Rc<Progress>,
}

impl Delivery {
    /// Takes over a body and its request.
    pub fn new(body: AnswerBody, mut open: OpenGuard, progress: Rc<Progress>) -> Delivery {
        // A whole body is handed over with its head, and may never be polled.
        open.is_answered = matches!(body, AnswerBody::Whole(_));
        Delivery { body, open, progress }
    }
}

impl Body for Delivery {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let frame = std::task::ready!(Pin::new(&mut self.body).poll_frame(context));
        if frame.is_none() {
            self.open.is_answered = true;
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        self.progress.body_ended();
    }
}
