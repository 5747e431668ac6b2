//! What a caller wants generated.

use std::fmt;
use std::sync::Arc;

use crate::metrics::Sample;
use crate::request::claim::Ask;

/// A caller's request for a generation.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// Whose it is.
    pub organisation: Arc<str>,
    /// What to claim.
    pub ask: Ask,
    /// The service that serves the model.
    pub service: Arc<str>,
    /// The model in the version that is in force, as `NAME@VERSION`.
    pub model: Arc<str>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Where the answer ends at the latest.
    pub max_tokens: u32,
    /// The event that the caller saw last.
    pub last_event: Option<EventId>,
}

/// The name of a token event, as callers send it back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventId {
    /// The run that the token belongs to.
    pub nonce: u64,
    /// The token's index.
    pub index: u32,
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}", self.nonce, self.index)
    }
}

impl EventId {
    /// Reads `RUN.INDEX`.
    pub fn parse(text: &str) -> Option<EventId> {
        let (nonce, index) = text.split_once('.')?;
        Some(EventId { nonce: u64::from_str_radix(nonce, 16).ok()?, index: index.parse().ok()? })
    }
}

impl Wanted {
    /// A sample of this request as one that got nothing.
    pub fn sample(&self, outcome: &'static str, total_ms: u64) -> Sample {
        Sample::without_answer(&self.organisation, &self.service, outcome, total_ms)
    }
}
