//! What is known of crashes under requests, as it passes from traffic to control and between instances.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use super::fleet::Upstream;

/// How far a request had come when its upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// It waited, or its prompt was read.
    Waiting,
    /// Its run had begun a moment before.
    Begun,
}

/// An upstream's process that ended under a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The upstream.
    pub upstream: Upstream,
    /// How far the request had come.
    pub stage: Stage,
    /// The last event that its caller had.
    pub event: u64,
    /// When the connection ended.
    pub at_ms: u64,
}

/// An upstream that ended under a run that had just begun, as instances tell it before it is judged.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EndedUnder {
    /// The upstream.
    pub upstream: Arc<str>,
    /// The request.
    pub fingerprint: Fingerprint,
}

/// A record as instances tell it to each other, with times as they are at the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Grows each time the request is cleared; what was told of an earlier one is void.
    pub epoch: u64,
    /// The upstreams that ended under it.
    pub crashes: Vec<(Arc<str>, Stage)>,
    /// The last event before any of them.
    pub event: u64,
    /// For how long it is still quarantined.
    pub left_ms: Option<u64>,
    /// How long ago it last changed.
    pub age_ms: u64,
}
