//! A request on its way through this instance: what the caller wants, and by when.

use std::cell::Cell;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request};

use super::dialect::{Demand, Dialect, Dispatch};
use super::fingerprint::Fingerprint;
use super::metrics::{Metrics, Time};
use super::route::Route;

/// A request on its way through this instance.
#[derive(Debug)]
pub struct Job {
    /// What the caller says of it.
    pub demand: Demand,
    /// Where it goes.
    pub route: Arc<Route>,
    /// The service that takes it.
    pub service: Arc<str>,
    /// Whose it is, where the caller showed a key.
    pub organisation: Option<Arc<str>>,
    /// The rank of the organisation or the route.
    pub priority: u8,
    /// When it arrived.
    pub since_ms: u64,
    /// When the caller must have its answer: its deadline or the route's bound.
    pub until_ms: u64,
    /// The method that the caller used.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The headers that go to the upstream.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
    /// Whether it is known to have begun to run.
    pub has_begun: Cell<bool>,
}

impl Job {
    /// The caller's name for it, for logs.
    pub fn id(&self) -> &str {
        self.demand.id.as_deref().unwrap_or("-")
    }

    /// What it is, whatever its id.
    pub fn fingerprint(&self) -> Fingerprint {
        let Job { method, route, target, organisation, body, .. } = self;
        Fingerprint::of(method, &route.host, target, organisation.as_ref(), body)
    }

    /// How much time an upstream has from now on.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.until_ms.saturating_sub(now_ms).max(1)
    }

    /// The request as an upstream gets it.
    pub fn request(&self, dialect: &dyn Dialect, dispatch: &Dispatch) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        // The target was read as one, so it can be read again.
        *request.uri_mut() = self.target.parse().unwrap_or_default();
        *request.headers_mut() = self.headers.clone();
        dialect.dispatch(request.headers_mut(), dispatch);
        request
    }

    /// Records a time under its organisation and route.
    pub fn record_time(&self, metrics: &Metrics, time: Time, value_ms: u64) {
        let nobody: Arc<str> = Arc::from("-");
        let organisation = self.organisation.as_ref().unwrap_or(&nobody);
        metrics.record(time, organisation, &self.route.name, value_ms);
    }

    /// Records how long it took.
    pub fn record(&self, metrics: &Metrics, whole_ms: u64, first_ms: Option<u64>) {
        self.record_time(metrics, Time::Whole, whole_ms);
        if let Some(first_ms) = first_ms {
            self.record_time(metrics, Time::First, first_ms);
        }
        metrics.count("answered");
    }
}
