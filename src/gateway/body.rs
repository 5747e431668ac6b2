//! Reads the bodies of answers within a size and a time.

use std::cell::RefCell;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::channel;
use super::policy::body_limit::{Exceeded, Held, SharedMemory};

/// Why a body could not be read to its end.
#[derive(Debug, Clone, PartialEq, Eq, derive_more::Display, derive_more::Error)]
pub enum Fault {
    /// It is too long.
    #[display("{_0}")]
    TooLong(#[error(not(source))] Exceeded),
    /// Its end didn't come in time.
    #[display("its body did not end within {timeout_ms} ms")]
    Late {
        /// The timeout.
        timeout_ms: u64,
    },
    /// Its channel broke.
    #[display("{detail}")]
    Broken {
        /// The underlying error.
        detail: String,
    },
}

/// The size and the time within which a body has to end.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    pub max_bytes: usize,
    pub timeout_ms: u64,
}

/// Frees the memory of a body that is read, or no longer.
struct HeldGuard<'a> {
    memory: &'a RefCell<SharedMemory>,
    held: Held,
}

impl Drop for HeldGuard<'_> {
    fn drop(&mut self) {
        self.memory.borrow_mut().free(self.held);
    }
}

/// Reads a whole body, in memory that is shared with others until it ends.
///
/// # Errors
///
/// Fails if it is too long, late or broken off; its channel can't be used again.
pub async fn read(
    body: Incoming,
    limit: Limit,
    memory: &RefCell<SharedMemory>,
) -> Result<Bytes, Fault> {
    let Limit { max_bytes, timeout_ms } = limit;
    let reading = read_frames(body, max_bytes, memory);
    match tokio::time::timeout(Duration::from_millis(timeout_ms), reading).await {
        Ok(read) => read,
        Err(_) => Err(Fault::Late { timeout_ms }),
    }
}

async fn read_frames(
    mut body: Incoming,
    max_bytes: usize,
    memory: &RefCell<SharedMemory>,
) -> Result<Bytes, Fault> {
    let mut guard = HeldGuard { memory, held: Held::new(max_bytes) };
    let mut first = Bytes::new();
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match channel::is_flooded_body(&error) {
            true => Fault::TooLong(Exceeded::Limit { max_bytes }),
            false => Fault::Broken { detail: channel::error_with_cause(&error) },
        })?;
        // Trailers hold nothing that matters here.
        let Ok(data) = frame.into_data() else { continue };
        memory.borrow_mut().grow(&mut guard.held, data.len()).map_err(Fault::TooLong)?;
        if first.is_empty() && all.is_empty() {
            first = data;
            continue;
        }
        all.extend_from_slice(&std::mem::take(&mut first));
        all.extend_from_slice(&data);
    }
    Ok(if all.is_empty() { first } else { all.freeze() })
}
