//! Callers' connections: reading requests within the limits, and passing each to its service.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
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
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::answer::{self, Answer};
use super::caller::{Stage, Watched};
use super::dialect::{Demand, Dispatch};
use super::failure::Failure;
use super::metrics::Time;
use super::route::{Config, Limits, Route};
use super::traffic::Traffic;
use super::{call, caller, stream};

/// The time that a caller has if it names none and the route has no bound either.
const DEFAULT_DEADLINE_MS: u64 = 30_000;
/// The least buffer that hyper accepts for a head.
const LEAST_BUFFER_BYTES: usize = 8 << 10;
/// The most of a refused body that is read, so that the caller sees the answer and not a reset.
const DISCARD_BYTES: usize = 8 << 20;
/// How often a connection that closes looks whether its request has come or ended.
const CLOSE_LOOK_MS: u64 = 10;
/// How long a new connection may be without a request before it is closed in a planned stop: its
/// caller opened it to send one, which is a round trip away.
const NEW_CONNECTION_MS: u64 = 100;

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

/// Accepts callers until `close` is set, those that came before it as well.
pub async fn accept(traffic: Rc<Traffic>, listener: TcpListener, mut close: watch::Receiver<bool>) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = close.wait_for(|close| *close) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let traffic = Rc::clone(&traffic);
                tokio::task::spawn_local(serve_connection(traffic, stream, close.clone()));
            }
            Err(error) => {
                // Out of descriptors: connections that end free some.
                slog::warn!(traffic.log, "can't accept"; "detail" => %error);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve_connection(
    traffic: Rc<Traffic>,
    stream: TcpStream,
    mut close: watch::Receiver<bool>,
) {
    let _ = stream.set_nodelay(true);
    let limits = limits(&traffic);
    let stage = Rc::new(Cell::new(Stage::Idle(traffic.now_ms())));
    let _connection = ConnectionGuard::new(&traffic);
    let requests = Rc::new(Cell::new(0));
    let service = {
        let requests = Rc::clone(&requests);
        let traffic = Rc::clone(&traffic);
        let stage = Rc::clone(&stage);
        service_fn(move |request: Request<Incoming>| {
            let traffic = Rc::clone(&traffic);
            let stage = Rc::clone(&stage);
            requests.set(requests.get() + 1);
            let number = requests.get();
            async move {
                stage.set(Stage::Serving);
                let demand = traffic.dialect.demand(request.headers());
                let open = OpenGuard::new(&traffic, demand.id.clone(), number);
                let answer = serve(&traffic, demand, request).await;
                open.answered();
                stage.set(Stage::Idle(traffic.now_ms()));
                Ok::<_, Infallible>(answer)
            }
        })
    };
    let stream = Rc::new(stream);
    let watched = Watched::new(Rc::clone(&stream), Rc::clone(&stage), traffic.clock);
    let connection = http1::Builder::new()
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER_BYTES))
        .serve_connection(TokioIo::new(watched), service);
    let mut connection = pin!(connection);
    let mut is_closing = false;
    let mut is_shut = false;
    loop {
        let patience_ms = if is_closing { CLOSE_LOOK_MS } else { limits.head_timeout_ms.max(1) };
        tokio::select! {
            // What has arrived is read before the connection is told to close.
            biased;
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    slog::debug!(traffic.log, "connection ended"; "detail" => %error);
                }
                return;
            }
            _ = close.wait_for(|close| *close), if !is_closing => is_closing = true,
            () = tokio::time::sleep(Duration::from_millis(patience_ms)) => {}
        }
        let now_ms = traffic.now_ms();
        match stage.get() {
            Stage::Head(since_ms) if now_ms >= since_ms + limits.head_timeout_ms => {
                let failure = Failure::TooSlow { timeout_ms: limits.head_timeout_ms };
                slog::warn!(traffic.log, "rejected"; "status" => failure.status(),
                    "why" => %failure);
                caller::tell(&stream, &failure);
                return;
            }
            // A head that has begun would be dropped; its connection closes with its answer.
            Stage::Head(_) => {}
            Stage::Serving if is_closing && !is_shut => {
                is_shut = true;
                connection.as_mut().graceful_shutdown();
            }
            Stage::Idle(since_ms) if !is_shut => {
                let is_new = requests.get() == 0 && now_ms < since_ms + NEW_CONNECTION_MS;
                let is_over = now_ms >= since_ms + limits.idle_timeout_ms;
                if is_over || (is_closing && !is_new) {
                    is_shut = true;
                    connection.as_mut().graceful_shutdown();
                }
            }
            Stage::Serving | Stage::Idle(_) => {}
        }
    }
}

fn limits(traffic: &Traffic) -> Limits {
    let view = traffic.shared.view.load();
    view.config.as_ref().map(|config| config.limits).unwrap_or_default()
}

/// Counts a caller's connection for as long as it lives.
struct ConnectionGuard(Rc<Traffic>);

impl ConnectionGuard {
    fn new(traffic: &Rc<Traffic>) -> ConnectionGuard {
        traffic.connections.set(traffic.connections.get() + 1);
        ConnectionGuard(Rc::clone(traffic))
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.set(self.0.connections.get() - 1);
    }
}

/// Counts a request as open for as long as it lives, and logs one that ends without an answer.
pub struct OpenGuard {
    traffic: Rc<Traffic>,
    id: Option<Arc<str>>,
    /// Which request of its connection it is, from one on.
    number: u32,
    since_ms: u64,
    is_answered: bool,
}

impl OpenGuard {
    /// Counts one more.
    pub fn new(traffic: &Rc<Traffic>, id: Option<Arc<str>>, number: u32) -> OpenGuard {
        traffic.open.set(traffic.open.get() + 1);
        let since_ms = traffic.now_ms();
        OpenGuard { traffic: Rc::clone(traffic), id, number, since_ms, is_answered: false }
    }

    /// Ends it with an answer.
    pub fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let traffic = &self.traffic;
        traffic.open.set(traffic.open.get() - 1);
        if !self.is_answered {
            traffic.metrics.count("unanswered");
            slog::info!(traffic.log, "unanswered: its caller left, or this instance ended";
                "request" => self.id.as_deref().unwrap_or("-"),
                "number_on_connection" => self.number,
                "ms" => traffic.now_ms() - self.since_ms,
                "is_stopping" => traffic.stop.get().is_some());
        }
    }
}

/// Serves a request; it has its answer before a planned stop ends, whichever it is.
async fn serve(traffic: &Rc<Traffic>, demand: Demand, request: Request<Incoming>) -> Answer {
    let id = demand.id.clone();
    let mut last_answers = traffic.last_answers.subscribe();
    let mut answer = tokio::select! {
        biased;
        answer = dispatch(traffic, demand, request) => answer,
        _ = last_answers.wait_for(|is_now| *is_now) => {
            let failure = Failure::Stopped;
            slog::warn!(traffic.log, "refused"; "request" => id.as_deref().unwrap_or("-"),
                "status" => failure.status(), "why" => %failure);
            traffic.metrics.count("refused");
            answer::failed(&failure, None)
        }
    };
    if traffic.stop.get().is_some() {
        // Callers open their next connection elsewhere.
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Reads a request and passes it to its service.
async fn dispatch(traffic: &Rc<Traffic>, demand: Demand, request: Request<Incoming>) -> Answer {
    match read(traffic, demand, request).await {
        Ok(job) if !traffic.takes(&job) => job.refuse(traffic, &Failure::Stopping, None),
        Ok(job) if job.route.repeat.is_stream() => stream::serve(traffic, job).await,
        Ok(job) => call::serve(traffic, &job).await,
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
                .max_buf_size(LEAST_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}
