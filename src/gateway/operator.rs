//! What operators ask of one instance, on the address of its metrics: counters, and the quarantine.

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method};
use serde::{Deserialize, Serialize};

use super::answer::{self, Answer};
use super::fingerprint::Fingerprint;
use super::metrics::Metrics;
use super::view::{Report, Shared};

/// The path of the quarantine; with a fingerprint behind it, of one request there.
pub const QUARANTINE_PATH: &str = "/quarantine";

/// The path of the duties that one instance at a time has.
pub const DUTIES_PATH: &str = "/duties";

/// A request that crashed upstreams, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: String,
    /// The upstreams that ended under it.
    pub crashes: usize,
    /// For how long it is still quarantined; nothing while its crashes are too few.
    pub quarantined_ms: Option<u64>,
}

/// Answers an operator.
pub fn reply(
    method: &Method,
    path: &str,
    shared: &Shared,
    metrics: &Metrics,
    now_ms: u64,
) -> Answer {
    let one = path.strip_prefix(QUARANTINE_PATH).and_then(|rest| rest.strip_prefix('/'));
    match (method, one) {
        (&Method::DELETE, Some(fingerprint)) => lift(fingerprint, shared),
        (&Method::GET, None) if path == QUARANTINE_PATH => list(shared, now_ms),
        (&Method::GET, None) if path == DUTIES_PATH => {
            // Names and numbers always serialize.
            let duties = serde_json::to_string(&shared.duties()).unwrap_or_default();
            text(200, "application/json", duties)
        }
        _ => text(200, "text/plain; version=0.0.4", metrics.render()),
    }
}

fn list(shared: &Shared, now_ms: u64) -> Answer {
    let view = shared.view.load();
    let suspects = view.quarantine.iter().map(|(fingerprint, standing)| QuarantineEntry {
        fingerprint: fingerprint.to_string(),
        crashes: standing.crashes,
        quarantined_ms: standing.until_ms.map(|until_ms| until_ms.saturating_sub(now_ms)),
    });
    let suspects: Vec<QuarantineEntry> = suspects.collect();
    // Texts and numbers always serialize.
    text(200, "application/json", serde_json::to_string(&suspects).unwrap_or_default())
}

/// Lifts a quarantine here; all instances hear of it.
fn lift(fingerprint: &str, shared: &Shared) -> Answer {
    let Some(fingerprint) = Fingerprint::parse(fingerprint) else {
        let error = "this is no fingerprint; send one as GET /quarantine names it\n";
        return text(400, "text/plain", error.to_owned());
    };
    if !shared.view.load().quarantine.contains_key(&fingerprint) {
        let error = "nothing is known of this request; GET /quarantine names all\n";
        return text(404, "text/plain", error.to_owned());
    }
    shared.report(Report::Lift(fingerprint));
    text(200, "text/plain", "lifted; all instances hear of it\n".to_owned())
}

fn text(status: u16, kind: &'static str, text: String) -> Answer {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    answer::whole(status, headers, Bytes::from(text))
}
