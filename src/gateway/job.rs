//! A request that this instance is serving.

use std::cell::Cell;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Method, Request};

use super::dialect::{Demand, Dialect, Dispatch};
use super::fingerprint::Fingerprint;
use super::fleet::SoftwareVersion;
use super::headers;
use super::intake::HeldRequest;
use super::metrics::{Metrics, Time};
use super::policy::answer_match::Message;
use super::policy::caller_time;
use super::policy::stream_versions::StreamKey;
use super::route::Route;

/// Number of priorities that are told apart within a route.
pub const PRIORITIES: u8 = 10;

/// A request that was read and admitted, with its route and its deadline.
#[derive(Debug)]
pub struct Job {
    /// What the caller's headers ask for.
    pub demand: Demand,
    /// The route that it matches.
    pub route: Arc<Route>,
    /// The service to which it is sent.
    pub service: Arc<str>,
    /// The organisation of the caller's key, if it sent one that is known.
    pub organisation: Option<Arc<str>>,
    /// The priority of the organisation, else of the route.
    pub priority: u8,
    /// When it arrived.
    pub since_ms: u64,
    /// The time by which the caller must have its answer: its own deadline or the route's timeout,
    /// whichever is earlier.
    pub until_ms: u64,
    pub method: Method,
    /// Path and query of the request.
    pub target: String,
    /// The headers to pass to the upstream.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// What the body holds until the request has ended.
    pub held: HeldRequest,
    /// Whether another instance sent it here for its caller.
    pub is_relayed: bool,
    /// The software version that began its stream, as the instance that relays it states.
    pub relayed_version: Option<SoftwareVersion>,
    /// Whether it is known to have started to run at an upstream.
    pub has_begun: Cell<bool>,
    /// How often it was passed on without being known not to have run there.
    pub passed_on: Cell<u32>,
}

impl Job {
    /// The caller's id of the request, or "-", for logs.
    pub fn id(&self) -> &str {
        self.demand.id.as_deref().unwrap_or("-")
    }

    /// Records that it is passed on to an upstream or another instance.
    pub fn note_passed_on(&self) {
        self.passed_on.set(self.passed_on.get() + 1);
    }

    /// Records that it has not run where it was passed on to.
    pub fn note_not_run(&self) {
        self.passed_on.set(self.passed_on.get().saturating_sub(1));
    }

    /// Whether it may have run, or may run now.
    pub fn may_have_run(&self) -> bool {
        self.passed_on.get() > 0
    }

    /// What it is on a channel to an upstream, as far as its answer can be matched.
    pub fn message(&self) -> Message {
        if self.demand.id.is_some() { Message::Named } else { Message::Nameless }
    }

    /// The fingerprint of the request's content, which doesn't depend on its id.
    pub fn fingerprint(&self) -> Fingerprint {
        let Job { method, route, target, organisation, body, .. } = self;
        Fingerprint::of(method, &route.host, target, organisation.as_ref(), body)
    }

    /// The key of its stream, over all tries of its caller; `None` if the caller names nothing that
    /// tells it from others.
    pub fn stream_key(&self) -> Option<StreamKey> {
        let resumed = self.demand.resumes.as_deref().filter(|_| self.demand.takes_up_stream());
        let attempt = resumed.or(self.demand.id.as_deref())?;
        Some(StreamKey::of(attempt, self.organisation.as_deref(), &self.service))
    }

    /// Its class where routes of different priority compete for one service: the route's priority
    /// first, then the organisation's. Lower goes first.
    pub fn class(&self) -> u8 {
        let of_organisation = self.priority.min(PRIORITIES - 1);
        self.route.priority.saturating_mul(PRIORITIES).saturating_add(of_organisation)
    }

    /// The least urgent class of a route's priority.
    pub fn last_class(of_route: u8) -> u8 {
        of_route.saturating_mul(PRIORITIES).saturating_add(PRIORITIES - 1)
    }

    /// The time left until the deadline, at least 1 ms.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        caller_time::left_ms(self.until_ms, now_ms)
    }

    /// Builds the request to send to an upstream.
    pub fn request(&self, dialect: &dyn Dialect, dispatch: &Dispatch) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        // The target was parsed from the caller's request, so it can be parsed again.
        *request.uri_mut() = self.target.parse().unwrap_or_default();
        *request.headers_mut() = self.headers.clone();
        dialect.dispatch(request.headers_mut(), dispatch);
        request
    }

    /// Builds the request to send to another instance, as the caller would send it.
    pub fn relayed_request(
        &self,
        dialect: &dyn Dialect,
        last_event: Option<u64>,
        version: Option<&SoftwareVersion>,
        now_ms: u64,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.parse().unwrap_or_default();
        *request.headers_mut() = self.headers.clone();
        let demand =
            Demand { deadline_ms: Some(self.left_ms(now_ms)), last_event, ..self.demand.clone() };
        dialect.restore(request.headers_mut(), &demand);
        headers::mark_relayed(request.headers_mut());
        if let Some(version) = version {
            headers::set_stream_version(request.headers_mut(), version);
        }
        request
    }

    /// Records a duration under the request's organisation and route.
    pub fn record_time(&self, metrics: &Metrics, time: Time, duration_ms: u64) {
        let no_organisation: Arc<str> = Arc::from("-");
        let organisation = self.organisation.as_ref().unwrap_or(&no_organisation);
        metrics.record(time, organisation, &self.route.name, duration_ms);
    }

    /// Records an answered request, with the time to its whole answer and to its first token.
    pub fn record(&self, metrics: &Metrics, whole_ms: u64, first_ms: Option<u64>) {
        self.record_time(metrics, Time::Whole, whole_ms);
        if let Some(first_ms) = first_ms {
            self.record_time(metrics, Time::First, first_ms);
        }
        metrics.count("answered");
    }
}
