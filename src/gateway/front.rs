//! Reads callers' requests within the limits, finds their routes, and passes them to their services.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request};

use super::ablation::Mechanism;
use super::answer::{self, Answer};
use super::caller::Progress;
use super::dialect::Demand;
use super::failure::Failure;
use super::headers;
use super::intake;
use super::job::Job;
use super::policy::{caller_time, outages};
use super::route::{Config, Route};
use super::traffic::Traffic;
use super::{call, stream};

/// The deadline of a request if the caller sets none, and the timeout of a route that sets none.
const DEFAULT_DEADLINE_MS: u64 = 30_000;

/// Serves a request. If a planned stop is under way, it is answered or refused before the stop ends.
pub async fn serve(
    traffic: &Rc<Traffic>,
    progress: &Progress,
    demand: Demand,
    request: Request<Incoming>,
) -> Answer {
    let (head, mut body) = request.into_parts();
    let waits_for_leave = intake::waits_for_leave(&head.headers);
    let mut answer = dispatch(traffic, progress, demand, head, &mut body).await;
    let is_body_left = !body.is_end_stream();
    if is_body_left && !waits_for_leave && !progress.must_yield() {
        progress.rest_dropped();
        tokio::task::spawn_local(intake::drop_rest(body, traffic.limits()));
    }
    if is_body_left || traffic.stop.get().is_some() {
        // After a stop, the caller's next connection then goes to another instance.
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Reads a request, and refuses it or passes it to its service.
async fn dispatch(
    traffic: &Rc<Traffic>,
    progress: &Progress,
    demand: Demand,
    head: Parts,
    body: &mut Incoming,
) -> Answer {
    let id = demand.id.clone();
    let is_relayed = headers::is_relayed(&head.headers);
    let (host, path) = (host(&head.headers, &head.uri).to_owned(), head.uri.path().to_owned());
    let read = tokio::select! {
        biased;
        read = read_request(traffic, progress, demand, head, body) => read,
        // No part of it was sent to an upstream or will be.
        () = traffic.wait_for_final_responses() => {
            let failure = Failure::Stopping;
            Err(Rejected { failure, id, host, path, config_version: 0, retry_after_ms: None })
        }
    };
    match read {
        Ok(job) if !traffic.accepts(&job) => traffic.refuse(&job, &Failure::Stopping, None),
        Ok(job) if traffic.quarantine_left_ms(&job).is_some() => traffic.refuse_quarantined(&job),
        Ok(job) if job.route.repeat.is_stream() => stream::serve(traffic, job).await,
        Ok(job) => tokio::select! {
            biased;
            answer = call::serve(traffic, &job) => answer,
            () = traffic.wait_until_turned_away(&job) => {
                traffic.refuse(&job, &Failure::Stopping, None)
            }
            () = traffic.wait_for_final_responses() => {
                let failure = if job.may_have_run() { Failure::Stopped } else { Failure::Stopping };
                traffic.refuse(&job, &failure, None)
            }
            // An upstream may be running it, and may crash from it.
            () = traffic.wait_until_quarantined(&job) => {
                let failure = traffic.poison_failure(&job);
                let retry_after_ms = traffic.retry_after_ms(&job, &failure);
                traffic.refuse(&job, &failure, retry_after_ms)
            }
        },
        Err(rejected) => {
            traffic.metrics.count("rejected");
            rejected.log(traffic);
            let mut answer = answer::failed(&rejected.failure, rejected.retry_after_ms);
            if is_relayed && rejected.failure.is_of_instance() {
                headers::mark_not_taken(answer.headers_mut());
            }
            answer
        }
    }
}

/// A request that was refused before it reached a service, with the reason and details for the log.
struct Rejected {
    failure: Failure,
    id: Option<Arc<str>>,
    host: String,
    path: String,
    config_version: u64,
    /// When the caller should retry, if the state of this instance determines it.
    retry_after_ms: Option<u64>,
}

impl Rejected {
    fn log(&self, traffic: &Traffic) {
        slog::warn!(traffic.log, "rejected"; "request" => self.id.as_deref().unwrap_or("-"),
            "status" => self.failure.status(), "why" => %self.failure, "host" => &self.host,
            "path" => &self.path, "config_version" => self.config_version);
    }
}

/// Waits for a configuration if this instance has none yet, for a part of the time that the caller
/// has.
async fn wait_for_configuration(traffic: &Traffic, demand: &Demand) {
    if *traffic.shared.is_configured.borrow() || !Mechanism::KeptAtStart.is_on() {
        return;
    }
    let hold_ms = outages::startup_hold_ms(demand.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS));
    let mut is_configured = traffic.shared.is_configured.subscribe();
    let configured = is_configured.wait_for(|is_configured| *is_configured);
    // If none arrives in time, `read_request` refuses the request.
    let _ = tokio::time::timeout(Duration::from_millis(hold_ms), configured).await;
}

/// Finds the route of a request, checks its key and reads its body.
async fn read_request(
    traffic: &Traffic,
    progress: &Progress,
    demand: Demand,
    head: Parts,
    body: &mut Incoming,
) -> Result<Job, Rejected> {
    let since_ms = traffic.now_ms();
    wait_for_configuration(traffic, &demand).await;
    let view = traffic.view();
    let host = host(&head.headers, &head.uri).to_owned();
    let reject = |failure| Rejected {
        failure,
        id: demand.id.clone(),
        host: host.clone(),
        path: head.uri.path().to_owned(),
        config_version: view.config.as_ref().map_or(0, |config| config.version),
        retry_after_ms: None,
    };
    let Some(config) = view.config.as_ref() else {
        let is_silent = view.is_directory_silent && Mechanism::RetryAfter.is_on();
        let retry_after_ms = is_silent.then(|| {
            let left_ms = demand.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
            outages::starting_retry_after_ms(left_ms, &mut fastrand::Rng::new())
        });
        return Err(Rejected { retry_after_ms, ..reject(Failure::Starting) });
    };
    let admitted = admit(config, &demand, &head.headers, &host, head.uri.path());
    let (route, organisation) = admitted.map_err(reject)?;
    let read = intake::read(traffic, progress, body, &head.headers, config.limits).await;
    let intake::RequestBody { bytes: body, held } = read.map_err(reject)?;
    let service = route.target(fastrand::u64(..));
    let service = service.ok_or_else(|| reject(Failure::NoUpstream))?;
    let stated_version = headers::stream_version(&head.headers);
    let mut headers = headers::end_to_end(head.headers);
    let is_relayed = headers::take_relayed(&mut headers);
    // The instance that a caller sent it to has counted it.
    if !is_relayed {
        traffic.note_request(service);
    }
    let priority = organisation.as_ref().and_then(|organisation| organisation.priority);
    let caller_timeout_ms = demand.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let route_timeout_ms =
        if route.timeout_ms > 0 { route.timeout_ms } else { DEFAULT_DEADLINE_MS };
    traffic.dialect.strip(&mut headers);
    headers.remove(CONTENT_LENGTH);
    Ok(Job {
        target: head.uri.path_and_query().map_or("/".to_owned(), ToString::to_string),
        method: head.method,
        headers,
        service: Arc::clone(service),
        organisation: organisation.map(|organisation| organisation.name),
        priority: priority.unwrap_or(route.priority),
        since_ms,
        until_ms: caller_time::end_ms(since_ms, caller_timeout_ms.min(route_timeout_ms)),
        route,
        demand,
        body,
        held,
        is_relayed,
        relayed_version: stated_version.filter(|_| is_relayed),
        has_begun: Cell::new(false),
        passed_on: Cell::new(0),
    })
}

/// The host from the `Host` header, else from the URI.
fn host<'a>(headers: &'a HeaderMap, uri: &'a hyper::Uri) -> &'a str {
    let from_header = headers.get(HOST).and_then(|host| host.to_str().ok());
    from_header.or(uri.host()).unwrap_or_default()
}

type Admitted = (Arc<Route>, Option<super::route::Organisation>);

fn admit(
    config: &Config,
    demand: &Demand,
    headers: &HeaderMap,
    host: &str,
    path: &str,
) -> Result<Admitted, Failure> {
    if headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH) {
        let detail = "it has a length and is chunked".to_owned();
        return Err(Failure::Malformed { detail });
    }
    let route = config.route(host, path).ok_or(Failure::NoRoute)?;
    let Some(keys) = &config.keys else { return Ok((Arc::clone(route), None)) };
    let organisation = demand.key.as_ref().and_then(|key| keys.get(key)).cloned();
    if organisation.is_none() && !route.is_open {
        return Err(Failure::WrongKey);
    }
    Ok((Arc::clone(route), organisation))
}
