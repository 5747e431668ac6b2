//! Counts callers' open requests.
//!
//! A request is open until its whole answer has been handed to hyper for writing.

use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::answer::{AnswerBody, Truncated};
use super::caller::Progress;
use super::traffic::Traffic;

/// Counts a request as open until it is dropped, and logs it if it ends without a whole answer.
pub struct OpenRequestGuard {
    traffic: Rc<Traffic>,
    id: Option<Arc<str>>,
    /// The number of the request on its connection, from 1.
    number: u32,
    since_ms: u64,
    is_answered: bool,
}

impl OpenRequestGuard {
    /// Counts a request as open.
    pub fn new(traffic: &Rc<Traffic>, id: Option<Arc<str>>, number: u32) -> OpenRequestGuard {
        traffic.open_requests.set(traffic.open_requests.get() + 1);
        let since_ms = traffic.now_ms();
        OpenRequestGuard { traffic: Rc::clone(traffic), id, number, since_ms, is_answered: false }
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let traffic = &self.traffic;
        traffic.open_requests.set(traffic.open_requests.get() - 1);
        if self.is_answered {
            return;
        }
        let is_stopping = traffic.stop.get().is_some();
        traffic.metrics.count(if is_stopping { "unanswered_stopping" } else { "unanswered" });
        slog::info!(traffic.log, "request not fully answered: caller disconnected or instance ended";
            "request" => self.id.as_deref().unwrap_or("-"),
            "number_on_connection" => self.number,
            "ms" => traffic.now_ms() - self.since_ms, "is_stopping" => is_stopping,
            "stop_left_ms" => traffic.stop_left_ms());
    }
}

/// The body of an answer that is being written to a caller; keeps its request open until it ends.
pub struct DeliveredBody {
    body: AnswerBody,
    open: OpenRequestGuard,
    progress: Rc<Progress>,
}

impl DeliveredBody {
    /// Wraps a body and the guard of its request.
    pub fn new(
        body: AnswerBody,
        mut open: OpenRequestGuard,
        progress: Rc<Progress>,
    ) -> DeliveredBody {
        // hyper takes a whole body together with the head, and may never poll for its end.
        open.is_answered = matches!(body, AnswerBody::Whole(..));
        DeliveredBody { body, open, progress }
    }
}

impl Body for DeliveredBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
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

impl Drop for DeliveredBody {
    fn drop(&mut self) {
        let memory = match &mut self.body {
            AnswerBody::Whole(_, held) => held.take(),
            AnswerBody::Streaming(_, held) => held.take(),
        };
        self.progress.body_ended(memory);
    }
}
