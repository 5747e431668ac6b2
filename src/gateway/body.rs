//! Reads the bodies of answers within a size and a time.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::channel;
use super::policy::body_limit::{Exceeded, Held, SharedMemory};
use crate::assembly::Assembly;

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

/// What the body of an answer holds of the memory that all share, until it is dropped.
#[derive(Debug)]
pub struct HeldMemory {
    memory: Rc<RefCell<SharedMemory>>,
    held: Held,
}

impl HeldMemory {
    /// The memory of a body that may have so many bytes, of which none were read.
    pub fn new(memory: &Rc<RefCell<SharedMemory>>, max_bytes: usize) -> HeldMemory {
        HeldMemory { memory: Rc::clone(memory), held: Held::new(max_bytes) }
    }

    /// Memory that is shared with no other body.
    pub fn unshared(max_bytes: usize) -> HeldMemory {
        HeldMemory::new(&Rc::default(), max_bytes)
    }

    /// What it holds of the shared memory.
    pub fn shared_bytes(&self) -> usize {
        self.held.shared_bytes()
    }

    fn limit_exceeded(&self) -> Exceeded {
        Exceeded::Limit { max_bytes: self.held.max_bytes() }
    }

    /// Holds at least so many bytes.
    ///
    /// # Errors
    ///
    /// Fails if it may not; it holds what it did then.
    pub fn cover(&mut self, bytes: usize) -> Result<(), Exceeded> {
        let more_bytes = bytes.saturating_sub(self.held.bytes());
        self.memory.borrow_mut().grow(&mut self.held, more_bytes)
    }

    /// Holds exactly so many bytes.
    ///
    /// # Errors
    ///
    /// Fails if it may not hold more; it holds what it did then.
    pub fn settle(&mut self, bytes: usize) -> Result<(), Exceeded> {
        self.memory.borrow_mut().settle(&mut self.held, bytes)
    }
}

impl Drop for HeldMemory {
    fn drop(&mut self) {
        self.memory.borrow_mut().free(self.held);
    }
}

/// A body that was read, and what it holds.
#[derive(Debug)]
pub struct HeldBody {
    /// The body.
    pub bytes: Bytes,
    /// What it holds.
    pub held: HeldMemory,
}

/// Reads a whole body, in memory that it holds.
///
/// # Errors
///
/// Fails if it is too long, late or broken off; its channel can't be used again.
pub async fn read(body: Incoming, timeout_ms: u64, held: HeldMemory) -> Result<HeldBody, Fault> {
    let reading = read_frames(body, held);
    match tokio::time::timeout(Duration::from_millis(timeout_ms), reading).await {
        Ok(read) => read,
        Err(_) => Err(Fault::Late { timeout_ms }),
    }
}

async fn read_frames(mut body: Incoming, mut held: HeldMemory) -> Result<HeldBody, Fault> {
    let announced_bytes = body.size_hint().exact().map(|bytes| bytes as usize);
    let mut assembly = Assembly::new(announced_bytes, held.held.max_bytes());
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| match channel::is_flooded_body(&error) {
            true => Fault::TooLong(held.limit_exceeded()),
            false => Fault::Broken { detail: channel::error_with_cause(&error) },
        })?;
        // Trailers hold nothing that matters here.
        let Ok(data) = frame.into_data() else { continue };
        let bytes = assembly.bytes_with(data.len());
        let bytes = bytes.ok_or_else(|| Fault::TooLong(held.limit_exceeded()))?;
        held.cover(bytes).map_err(Fault::TooLong)?;
        assembly.push(data);
    }
    Ok(HeldBody { bytes: assembly.finish(), held })
}
