//! Reads the bodies of callers' requests, and drops those that are refused.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, EXPECT};

use super::failure::Failure;
use super::route::Limits;

/// How much of a refused body is read, so that its caller gets the answer instead of a reset.
const MAX_DROPPED_BYTES: usize = 8 << 20;

/// Reads the body of a request.
///
/// # Errors
///
/// Fails if it is too long or too late, or malformed. The rest of it is still to be read.
pub async fn read(
    body: &mut Incoming,
    headers: &HeaderMap,
    limits: Limits,
) -> Result<Bytes, Failure> {
    let too_large = Failure::TooLarge { limit_bytes: limits.body_bytes };
    if announced_bytes(headers).is_some_and(|bytes| bytes > limits.body_bytes as u64) {
        return Err(too_large);
    }
    let timeout_ms = limits.idle_timeout_ms;
    let read = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(Duration::from_millis(timeout_ms), read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large),
        Ok(Err(error)) => Err(Failure::Malformed { detail: error.to_string() }),
        Err(_) => Err(Failure::TooSlow { timeout_ms }),
    }
}

fn announced_bytes(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Reads and drops the rest of a refused body while its caller reads the answer. Closing a connection
/// with unread bytes would reset it.
pub async fn drop_rest(mut body: Incoming, limits: Limits) {
    let mut left_bytes = MAX_DROPPED_BYTES;
    let dropping = async {
        while let Some(Ok(frame)) = body.frame().await {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest_bytes) = left_bytes.checked_sub(bytes) else { return };
            left_bytes = rest_bytes;
        }
    };
    let _ = tokio::time::timeout(Duration::from_millis(limits.head_timeout_ms), dropping).await;
}

/// Whether a caller waits for leave before it sends the body.
pub fn waits_for_leave(headers: &HeaderMap) -> bool {
    headers.contains_key(EXPECT)
}
