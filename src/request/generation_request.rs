//! A caller's request for a generation.

use std::fmt;
use std::sync::Arc;

use crate::metrics::Sample;
use crate::request::claim::ClaimRequest;

/// A caller's request for a generation.
#[derive(Debug, Clone)]
pub struct GenerationRequest {
    /// The organisation that sent it.
    pub organisation: Arc<str>,
    /// The claim that it needs.
    pub claim_request: ClaimRequest,
    /// The service that serves the model.
    pub service: Arc<str>,
    /// The model in its active version, as `NAME@VERSION`.
    pub model: Arc<str>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The longest answer.
    pub max_tokens: u32,
    /// The last event that the caller received, when it resumes.
    pub last_event: Option<EventId>,
}

/// The id of a token event, which callers send back in `Last-Event-ID`.
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
    /// Parses `RUN.INDEX`.
    pub fn parse(text: &str) -> Option<EventId> {
        let (nonce, index) = text.split_once('.')?;
        Some(EventId { nonce: u64::from_str_radix(nonce, 16).ok()?, index: index.parse().ok()? })
    }
}

impl GenerationRequest {
    /// A metrics sample of this request without an answer.
    pub fn sample(&self, outcome: &'static str, total_ms: u64) -> Sample {
        Sample::without_answer(&self.organisation, &self.service, outcome, total_ms)
    }
}
