//! Answers to callers, with a whole or a streamed body.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};
use tokio::sync::mpsc;

use super::body::{HeldBody, HeldMemory};
use super::event_queue::HeldEvents;
use super::failure::Failure;

/// The answer ends without being complete. The connection is closed without a regular end of the
/// body, so that the caller notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the answer could not be completed; the connection is closed")]
pub struct Truncated;

/// A chunk of a streamed body, or the error that truncates it.
pub type BodyChunk = Result<Bytes, Truncated>;

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// The whole body; `None` if it is empty or was passed on; and what it holds.
    Whole(Option<Bytes>, Option<HeldMemory>),
    /// Chunks as they arrive, and what they hold; the body is complete once the sender is dropped.
    Streaming(mpsc::Receiver<BodyChunk>, HeldEvents),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes, _) => {
                Poll::Ready(bytes.take().map(|all| Ok(Frame::data(all))))
            }
            AnswerBody::Streaming(chunks, _) => {
                chunks.poll_recv(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None, _))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes, _) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            AnswerBody::Streaming(..) => SizeHint::default(),
        }
    }
}

/// An answer to a caller.
pub type Answer = Response<AnswerBody>;

/// Builds an answer with a whole body.
pub fn whole(status: u16, headers: HeaderMap, body: Bytes) -> Answer {
    build(status, headers, AnswerBody::Whole((!body.is_empty()).then_some(body), None))
}

/// Builds an answer with a whole body, which holds memory until its caller has taken it.
pub fn held(status: u16, headers: HeaderMap, body: HeldBody) -> Answer {
    let HeldBody { bytes, held } = body;
    build(status, headers, AnswerBody::Whole((!bytes.is_empty()).then_some(bytes), Some(held)))
}

/// Builds an answer with a streamed body.
pub fn streaming(
    status: u16,
    headers: HeaderMap,
    chunks: mpsc::Receiver<BodyChunk>,
    held: HeldEvents,
) -> Answer {
    build(status, headers, AnswerBody::Streaming(chunks, held))
}

/// Builds the answer that tells a caller why its request has no answer from an upstream.
pub fn failed(failure: &Failure, retry_after_ms: Option<u64>) -> Answer {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after_ms) = retry_after_ms.or_else(|| failure.retry_after_ms()) {
        let seconds = format!("{}.{:03}", after_ms / 1_000, after_ms % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(RETRY_AFTER, value);
        }
    }
    whole(failure.status(), headers, failure.body())
}

fn build(status: u16, headers: HeaderMap, body: AnswerBody) -> Answer {
    let mut answer = Response::new(body);
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *answer.headers_mut() = headers;
    answer
}
