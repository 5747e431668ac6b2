//! Answers to callers: a whole body, or a body that grows.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};
use tokio::sync::mpsc;

use super::failure::Failure;

/// The answer ends here without being complete; the connection is cut so that callers notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("the answer could not be completed; the connection is cut")]
pub struct Cut;

/// A part of a growing body, or its end without being complete.
pub type Part = Result<Bytes, Cut>;

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it at once.
    Whole(Option<Bytes>),
    /// Parts as they come; complete once the sender is dropped.
    Growing(mpsc::Receiver<Part>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            AnswerBody::Whole(bytes) => Poll::Ready(bytes.take().map(|all| Ok(Frame::data(all)))),
            AnswerBody::Growing(parts) => {
                parts.poll_recv(context).map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            AnswerBody::Growing(_) => SizeHint::default(),
        }
    }
}

/// An answer to a caller.
pub type Answer = Response<AnswerBody>;

/// An answer with a whole body.
pub fn whole(status: u16, headers: HeaderMap, body: Bytes) -> Answer {
    build(status, headers, AnswerBody::Whole((!body.is_empty()).then_some(body)))
}

/// An answer whose body grows.
pub fn growing(status: u16, headers: HeaderMap, parts: mpsc::Receiver<Part>) -> Answer {
    build(status, headers, AnswerBody::Growing(parts))
}

/// An answer of this system's own that tells why there is none from an upstream.
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
