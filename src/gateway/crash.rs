//! Crashes of upstreams under requests, and of the parts of prompts that requests share, as reported by request handling to the control thread and
//! between instances.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::fingerprint::Fingerprint;
use super::fleet::Upstream;

/// How far a request had progressed when its upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// It was queued, or its prompt was being processed.
    Waiting,
    /// Its run had started a moment before.
    Begun,
}

/// The end of an upstream's process under a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Crash {
    /// What is suspected: the request, or a part of its prompt.
    pub fingerprint: Fingerprint,
    /// The name of the part, if that is suspected.
    pub part: Option<Arc<str>>,
    /// The request under which it ended.
    pub request: Fingerprint,
    /// The upstream.
    pub upstream: Upstream,
    /// How far the request had progressed.
    pub stage: Stage,
    /// Last event delivered to the caller.
    pub event: u64,
    /// When the connection ended.
    pub at_ms: u64,
}

/// An early crash: the end of an upstream under a run that had just started, as instances report it
/// to each other before it is judged.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EarlyCrash {
    /// The upstream.
    pub upstream: Arc<str>,
    /// The request.
    pub fingerprint: Fingerprint,
}

/// The crash record of a request, as instances send it to each other. Times are as of sending.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The name of the part of prompts that is suspected, if it isn't a request.
    #[serde(default)]
    pub part: Option<Arc<str>>,
    /// The requests under which upstreams ended; some of them if there are many.
    #[serde(default)]
    pub requests: Vec<Fingerprint>,
    /// Incremented each time the request is cleared; reports from a lower epoch are obsolete.
    pub epoch: u64,
    /// The upstreams that ended under it, with its stage at each.
    pub crashes: Vec<(Arc<str>, Stage)>,
    /// Highest of the last events that were delivered to the caller before each crash.
    pub event: u64,
    /// Remaining time of the quarantine; `None` if the request isn't quarantined.
    pub left_ms: Option<u64>,
    /// Time since the record last changed.
    pub age_ms: u64,
}
