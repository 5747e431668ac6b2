//! Reads the bodies of callers' requests, and drops those that are refused.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, EXPECT};

use super::failure::Failure;
use super::route::Limits;

/// How much of a refused body is read, so that its caller gets the answer instead of a reset.
const MAX_DROPPED_BYTES: usize = 8 << 20;
/// The smallest buffer of a body that doesn't arrive at once.
const MIN_BUFFER_BYTES: usize = 4 << 10;
/// The longest body whose buffer has its announced size from the beginning.
const MAX_EXPECTED_BYTES: usize = 64 << 10;

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
    let announced_bytes = announced_bytes(headers);
    if announced_bytes.is_some_and(|bytes| bytes > limits.body_bytes as u64) {
        return Err(Failure::TooLarge { limit_bytes: limits.body_bytes });
    }
    let reading = Reading { limits, announced_bytes: announced_bytes.map(|bytes| bytes as usize) };
    let timeout_ms = limits.idle_timeout_ms;
    let read = tokio::time::timeout(Duration::from_millis(timeout_ms), reading.run(body)).await;
    read.unwrap_or(Err(Failure::TooSlow { timeout_ms }))
}

fn announced_bytes(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// The reading of one body.
struct Reading {
    limits: Limits,
    announced_bytes: Option<usize>,
}

impl Reading {
    /// Reads to the end. A frame may hold far more memory than it has bytes, since it shares the buffer
    /// that it was read into: only the first one is kept as it is, if the whole body arrives with it.
    async fn run(self, body: &mut Incoming) -> Result<Bytes, Failure> {
        let mut first = Bytes::new();
        let mut all: Vec<u8> = Vec::new();
        while let Some(frame) = body.frame().await {
            let malformed = |error: hyper::Error| Failure::Malformed { detail: error.to_string() };
            // Trailers hold nothing that matters here.
            let Ok(data) = frame.map_err(malformed)?.into_data() else { continue };
            let length = first.len() + all.len() + data.len();
            if length > self.limits.body_bytes {
                return Err(Failure::TooLarge { limit_bytes: self.limits.body_bytes });
            }
            if first.is_empty() && all.is_empty() {
                first = data;
                continue;
            }
            if length > all.capacity() {
                all.reserve_exact(self.capacity(length) - all.len());
            }
            all.extend_from_slice(&std::mem::take(&mut first));
            all.extend_from_slice(&data);
        }
        Ok(if all.is_empty() { first } else { Bytes::from(all) })
    }

    /// The size of the buffer for so many bytes: what was announced, but not much more than has come.
    fn capacity(&self, length: usize) -> usize {
        let longest = self.announced_bytes.unwrap_or(self.limits.body_bytes);
        let is_expected = self.announced_bytes.is_some_and(|bytes| bytes <= MAX_EXPECTED_BYTES);
        let doubled = length.saturating_mul(2).max(MIN_BUFFER_BYTES);
        let wanted = if is_expected { longest } else { doubled.min(longest) };
        wanted.max(length)
    }
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
