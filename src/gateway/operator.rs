//! What operators ask of one instance, on the address of its metrics: counters, the quarantine, the
//! duties, and the admission queues.

use std::sync::Arc;

use bytes::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Method};
use serde::{Deserialize, Serialize};

use super::answer::{self, Answer};
use super::fingerprint::Fingerprint;
use super::footprint;
use super::metrics::Metrics;
use super::view::{QueueOrder, QueueView, Report, Shared};
use crate::log;

/// The path of the quarantine; with a fingerprint behind it, of one request there.
pub const QUARANTINE_PATH: &str = "/quarantine";

/// The path of the duties that one instance at a time has.
pub const DUTIES_PATH: &str = "/duties";

/// The path of the admission queues. Behind it, an order: `/close/CLASS/SECONDS/SERVICE`,
/// `/open/CLASS/SERVICE` or `/empty/CLASS/SERVICE`, where `all` stands for all classes.
pub const QUEUE_PATH: &str = "/queue";

/// The longest time for which an order closes a class: one that is forgotten has to expire.
pub const MAX_CLOSED_S: u64 = 3_600;

/// The word for all classes in the path of an order.
pub const ALL_CLASSES: &str = "all";

/// A request that crashed upstreams, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: String,
    /// The part of prompts that it stands for, if it isn't a request.
    #[serde(default)]
    pub part: Option<Arc<str>>,
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
        (&Method::GET, None) if path == QUEUE_PATH => {
            // Names and numbers always serialize.
            let queues = serde_json::to_string(&*shared.queues()).unwrap_or_default();
            text(200, "application/json", queues)
        }
        (&Method::POST, None) if path.starts_with(QUEUE_PATH) => order(path, shared, metrics),
        _ => {
            read_process(metrics);
            text(200, "text/plain; version=0.0.4", metrics.render())
        }
    }
}

/// Sets the gauges of the process itself.
fn read_process(metrics: &Metrics) {
    if let Some(footprint) = footprint::read() {
        metrics.gauge("resident_bytes", footprint.resident_bytes);
        metrics.gauge("resident_peak_bytes", footprint.peak_bytes);
    }
    metrics.gauge("log_records_lost", log::lost());
}

fn list(shared: &Shared, now_ms: u64) -> Answer {
    let view = shared.view.load();
    let suspects = view.quarantine.iter().map(|(fingerprint, standing)| QuarantineEntry {
        fingerprint: fingerprint.to_string(),
        part: standing.part.clone(),
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

/// Hands an order about a queue to the traffic thread.
fn order(path: &str, shared: &Shared, metrics: &Metrics) -> Answer {
    let refuse = |status, error: String| text(status, "text/plain", error);
    let Some(order) = parse_order(path) else {
        let error = "this is no order about a queue; 'siskinrock queue --help' lists them\n";
        return refuse(400, error.to_owned());
    };
    let queues = shared.queues();
    let Some(queue) = queues.iter().find(|queue| queue.service == *order.service()) else {
        return refuse(404, unknown_queue(order.service(), &queues));
    };
    let accepted = describe(&order, queue);
    if !shared.order(order) {
        let error = "too many orders wait for this instance; give this one again in a second\n";
        return refuse(503, error.to_owned());
    }
    metrics.count("queue_orders");
    text(202, "text/plain", accepted)
}

fn parse_order(path: &str) -> Option<QueueOrder> {
    let order = path.strip_prefix(QUEUE_PATH)?.strip_prefix('/')?;
    let (action, rest) = order.split_once('/')?;
    let (class, rest) = rest.split_once('/')?;
    match action {
        "close" => {
            let (for_s, service) = rest.split_once('/')?;
            let for_s = for_s.parse().ok().filter(|for_s| (1..=MAX_CLOSED_S).contains(for_s))?;
            let (service, class) = (Arc::from(service), class.parse().ok()?);
            Some(QueueOrder::Close { service, class, for_ms: for_s * 1_000 })
        }
        "open" => Some(QueueOrder::Open { service: Arc::from(rest), class: class.parse().ok()? }),
        "empty" => {
            let class = if class == ALL_CLASSES { None } else { Some(class.parse().ok()?) };
            Some(QueueOrder::Empty { service: Arc::from(rest), class })
        }
        _ => None,
    }
}

fn unknown_queue(service: &str, queues: &[QueueView]) -> String {
    let known: Vec<&str> = queues.iter().map(|queue| &*queue.service).collect();
    if known.is_empty() {
        return format!("{service} has no queue here, and no other service has one\n");
    }
    format!("{service} has no queue here; there are queues of {}\n", known.join(", "))
}

/// What an accepted order does once the traffic thread has taken it.
fn describe(order: &QueueOrder, queue: &QueueView) -> String {
    let service = &queue.service;
    let change = match order {
        QueueOrder::Close { class, for_ms, .. } => {
            format!("class {class} of {service} refuses new requests for {} s", for_ms / 1_000)
        }
        QueueOrder::Open { class, .. } => {
            format!("class {class} of {service} accepts new requests")
        }
        QueueOrder::Empty { class, .. } => {
            let is_meant = |of: u8| class.is_none_or(|class| class == of);
            let meant = queue.classes.iter().filter(|queued| is_meant(queued.class));
            let waiting: usize = meant.map(|queued| queued.waiting).sum();
            let of_class = class.map_or_else(String::new, |class| format!(" in class {class}"));
            format!("what waits for {service}{of_class} is refused, about {waiting} requests")
        }
    };
    format!("ordered at this instance: {change}; 'siskinrock queue' shows the effect\n")
}

fn text(status: u16, kind: &'static str, text: String) -> Answer {
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    answer::whole(status, headers, Bytes::from(text))
}
