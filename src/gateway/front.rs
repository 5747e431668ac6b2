//! Callers' connections: reading requests within the limits, and passing each to its service.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use super::answer::{self, Answer};
use super::dialect::{Demand, Dispatch};
use super::failure::Failure;
use super::metrics::Time;
use super::route::{Config, Limits, Route};
use super::traffic::Traffic;
use super::{call, connection, stream};

/// The time that a caller has if it names none and the route has no bound either.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// The most of a refused body that is read, so that the caller sees the answer and not a reset.
const DISCARD_BYTES: usize = 8 << 20;
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
    method: Method,
    target: String,
    headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

impl Job {
    /// The caller's name for it, for logs.
    pub fn id(&self) -> &str {
        self.demand.id.as_deref().unwrap_or("-")
    }

    /// How much time an upstream has from now on.
    pub fn left_ms(&self, now_ms: u64) -> u64 {
        self.until_ms.saturating_sub(now_ms).max(1)
    }

    /// The request as an upstream gets it.
    pub fn request(&self, traffic: &Traffic, dispatch: &Dispatch) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        // The target was read as one, so it can be read again.
        *request.uri_mut() = self.target.parse().unwrap_or_default();
        *request.headers_mut() = self.headers.clone();
        traffic.dialect.dispatch(request.headers_mut(), dispatch);
        request
    }

    /// Records a time under its organisation and route.
    pub fn record_time(&self, traffic: &Traffic, time: Time, value_ms: u64) {
        let nobody: Arc<str> = Arc::from("-");
        let organisation = self.organisation.as_ref().unwrap_or(&nobody);
        traffic.metrics.record(time, organisation, &self.route.name, value_ms);
    }

    /// Records how long it took.
    pub fn record(&self, traffic: &Traffic, whole_ms: u64, first_ms: Option<u64>) {
        self.record_time(traffic, Time::Whole, whole_ms);
        if let Some(first_ms) = first_ms {
            self.record_time(traffic, Time::First, first_ms);
        }
        traffic.metrics.count("answered");
    }

    /// When to come back after a failure, where that follows from how its service stands.
    pub fn retry_after_ms(&self, traffic: &Traffic, failure: &Failure) -> Option<u64> {
        let now_ms = traffic.now_ms();
        let is_down = *failure == Failure::NoUpstream;
        is_down.then(|| traffic.retry_after_ms(&self.service, self.left_ms(now_ms))).flatten()
    }

    /// Ends it with a failure.
    pub fn refuse(&self, traffic: &Traffic, failure: &Failure, after_ms: Option<u64>) -> Answer {
        slog::warn!(traffic.log, "refused"; "request" => self.id(), "route" => &*self.route.name,
            "status" => failure.status(), "why" => %failure,
            "ms" => traffic.now_ms() - self.since_ms);
        traffic.metrics.count("refused");
        answer::failed(failure, after_ms)
    }
}

/// Serves a request; it has its answer before a planned stop ends, whichever it is.
pub async fn serve(traffic: &Rc<Traffic>, demand: Demand, request: Request<Incoming>) -> Answer {
    let mut answer = dispatch(traffic, demand, request).await;
    if traffic.stop.get().is_some() {
        // Callers open their next connection elsewhere.
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Reads a request and passes it to its service.
async fn dispatch(traffic: &Rc<Traffic>, demand: Demand, request: Request<Incoming>) -> Answer {
    let id = demand.id.clone();
    let (host, path) =
        (host(request.headers(), request.uri()).to_owned(), request.uri().path().to_owned());
    let read = tokio::select! {
        biased;
        read = read(traffic, demand, request) => read,
        // Nothing of it was sent anywhere, nor will be.
        () = traffic.gives_last_answers() => {
            let failure = Failure::Stopping;
            Err(Rejected { failure, id, host, path, config_version: 0 })
        }
    };
    match read {
        Ok(job) if !traffic.takes(&job) => job.refuse(traffic, &Failure::Stopping, None),
        Ok(job) if job.route.repeat.is_stream() => stream::serve(traffic, job).await,
        Ok(job) => tokio::select! {
            biased;
            answer = call::serve(traffic, &job) => answer,
            () = traffic.gives_last_answers() => job.refuse(traffic, &Failure::Stopped, None),
        },
        Err(rejected) => {
            traffic.metrics.count("rejected");
            rejected.log(traffic);
            answer::failed(&rejected.failure, None)
        }
    }
}

/// A request that never reached a service, with what decided that.
struct Rejected {
    failure: Failure,
    id: Option<Arc<str>>,
    host: String,
    path: String,
    config_version: u64,
}

impl Rejected {
    fn log(&self, traffic: &Traffic) {
        slog::warn!(traffic.log, "rejected"; "request" => self.id.as_deref().unwrap_or("-"),
            "status" => self.failure.status(), "why" => %self.failure, "host" => &self.host,
            "path" => &self.path, "config_version" => self.config_version);
    }
}

/// Reads a request to its end, finds its route and checks its key.
async fn read(
    traffic: &Traffic,
    demand: Demand,
    request: Request<Incoming>,
) -> Result<Job, Rejected> {
    let since_ms = traffic.now_ms();
    let view = traffic.view();
    let (head, body) = request.into_parts();
    let host = host(&head.headers, &head.uri).to_owned();
    let reject = |failure| Rejected {
        failure,
        id: demand.id.clone(),
        host: host.clone(),
        path: head.uri.path().to_owned(),
        config_version: view.config.as_ref().map_or(0, |config| config.version),
    };
    let Some(config) = view.config.as_ref() else { return Err(reject(Failure::Starting)) };
    let admitted = admit(config, &demand, &head.headers, &host, head.uri.path());
    let (route, organisation) = match admitted {
        Ok(admitted) => admitted,
        Err(failure) => {
            discard(body, config.limits).await;
            return Err(reject(failure));
        }
    };
    let body = read_body(body, &head.headers, config.limits).await.map_err(reject)?;
    let service = route.target(fastrand::u64(..));
    let service = service.ok_or_else(|| reject(Failure::NoUpstream))?;
    traffic.note_request(service);
    let priority = organisation.as_ref().and_then(|known| known.priority);
    let patience_ms = demand.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
    let bound_ms = if route.timeout_ms > 0 { route.timeout_ms } else { DEFAULT_DEADLINE_MS };
    let mut headers = end_to_end(head.headers);
    traffic.dialect.strip(&mut headers);
    headers.remove(CONTENT_LENGTH);
    Ok(Job {
        target: head.uri.path_and_query().map_or("/".to_owned(), ToString::to_string),
        method: head.method,
        headers,
        service: Arc::clone(service),
        organisation: organisation.map(|known| known.name),
        priority: priority.unwrap_or(route.priority),
        since_ms,
        until_ms: since_ms + patience_ms.min(bound_ms),
        route,
        demand,
        body,
    })
}

/// The host that a request names.
fn host<'a>(headers: &'a HeaderMap, uri: &'a hyper::Uri) -> &'a str {
    let named = headers.get(HOST).and_then(|host| host.to_str().ok());
    named.or(uri.host()).unwrap_or_default()
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

async fn read_body(body: Incoming, headers: &HeaderMap, limits: Limits) -> Result<Bytes, Failure> {
    let too_large = Failure::TooLarge { limit_bytes: limits.body_bytes };
    let announced = headers.get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let announced = announced.and_then(|value| value.parse::<u64>().ok()).unwrap_or(0);
    if announced > limits.body_bytes as u64 {
        discard(body, limits).await;
        return Err(too_large);
    }
    let timeout_ms = limits.idle_timeout_ms;
    let read = Limited::new(body, limits.body_bytes).collect();
    match tokio::time::timeout(Duration::from_millis(timeout_ms), read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large),
        Ok(Err(error)) => Err(Failure::Malformed { detail: error.to_string() }),
        Err(_) => Err(Failure::TooSlow { timeout_ms }),
    }
}

/// Reads a body and drops it, since a connection closed with unread bytes is reset, and the caller
/// would not see the answer.
async fn discard(body: Incoming, limits: Limits) {
    let read = Limited::new(body, DISCARD_BYTES).collect();
    let _ = tokio::time::timeout(Duration::from_millis(limits.head_timeout_ms), read).await;
}

/// The headers without those that concern one connection only.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    let mut named: Vec<HeaderName> = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let words = value.to_str().unwrap_or_default().split(',');
        named.extend(words.filter_map(|word| word.trim().parse().ok()));
    }
    let kept_alive = HeaderName::from_static("keep-alive");
    let of_proxies = HeaderName::from_static("proxy-connection");
    for name in [CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE, kept_alive, of_proxies] {
        headers.remove(name);
    }
    for name in named {
        headers.remove(name);
    }
    headers
}

/// Serves small questions on a listener of their own, each answered by `reply`.
pub async fn serve_questions<F, R>(listener: TcpListener, reply: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + 'static,
    R: Future<Output = Answer> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let reply = reply.clone();
        tokio::task::spawn_local(async move {
            let _ = stream.set_nodelay(true);
            let service = service_fn(move |request| {
                let answer = reply(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            // A broken connection concerns its asker only.
            let _ = http1::Builder::new()
                .max_buf_size(connection::LEAST_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
