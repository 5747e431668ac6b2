//! Starting and stopping a gateway: one thread for control, one for traffic.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Collected, Limited};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{HeaderMap, Request};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::LocalSet;

use super::answer::{self, Answer};
use super::control::Control;
use super::control::fetch::{CONFIG_PATH, ConfigRequest, FETCH_TIMEOUT_MS, LIST_PATH, ListRequest};
use super::dialect::{Dialect, Question};
use super::directory::Directory;
use super::membership::Phase;
use super::metrics::Metrics;
use super::policy::start;
use super::policy::stop::Stop;
use super::questions::{Closes, Limit, Place, Places};
use super::settings::Settings;
use super::traffic::Traffic;
use super::view::{Shared, View};
use super::{connection, drain, operator, questions, tasks};
use crate::binds::Binds;
use crate::clock::Clock;
use crate::error::{Error, Result};

/// How often idle channels are closed and peers are told what runs here.
const SWEEP_MS: u64 = 100;
/// Peers that may fetch a page of the list at once: so few get it in time over a slow link; those turned
/// away ask others.
const LISTS_AT_ONCE: usize = 4;
/// Connections of peers; a configuration is sent to as many as ask for it.
const PEERS_AT_ONCE: usize = 64;
/// The longest question of a peer: a few names and numbers.
const LONGEST_ASK_BYTES: usize = 4 << 10;
/// The stack of a thread; its futures live on the heap.
const STACK_BYTES: usize = 512 << 10;

/// Makes the directory on the thread that uses it.
pub type MakeDirectory = Box<dyn FnOnce() -> Box<dyn Directory> + Send>;

/// A running gateway.
pub struct Gateway {
    /// Takes the time of an order to stop.
    stop: mpsc::UnboundedSender<u64>,
    clock: Clock,
    ended: oneshot::Receiver<Result<()>>,
    /// What its threads share.
    pub shared: Arc<Shared>,
    /// Its counters.
    pub metrics: Arc<Metrics>,
}

impl Gateway {
    /// Starts both threads.
    ///
    /// # Errors
    ///
    /// If a thread can't be started.
    pub fn start(
        settings: Settings,
        dialect: Arc<dyn Dialect>,
        make_directory: MakeDirectory,
        log: slog::Logger,
    ) -> Result<Gateway> {
        let shared = Shared::new();
        let metrics = Arc::new(Metrics::default());
        let clock = Clock::start();
        let (stop, stopping) = mpsc::unbounded_channel();
        let (tell_end, ended) = oneshot::channel();
        let binds = Binds::new(clock, start::address_bound_ms(settings.grace_ms), log.clone());
        let parts = Parts {
            settings,
            dialect,
            shared: Arc::clone(&shared),
            metrics: Arc::clone(&metrics),
            clock,
            binds,
            log,
        };
        spawn("control", move || {
            let result = run_control(parts, make_directory, stopping);
            // Whoever started the gateway may have stopped waiting.
            let _ = tell_end.send(result);
        })?;
        Ok(Gateway { stop, clock, ended, shared, metrics })
    }

    /// Begins a planned stop; a second call changes nothing.
    pub fn stop(&self) {
        // A gateway that has ended needs no order.
        let _ = self.stop.send(self.clock.now_ms());
    }

    /// Waits until it has stopped.
    ///
    /// # Errors
    ///
    /// If an address can't be listened on, or a thread ended in a panic.
    pub async fn ended(&mut self) -> Result<()> {
        (&mut self.ended).await.unwrap_or_else(|_| Err(Error::from_panic("control")))
    }
}

#[derive(Clone)]
struct Parts {
    settings: Settings,
    dialect: Arc<dyn Dialect>,
    shared: Arc<Shared>,
    metrics: Arc<Metrics>,
    clock: Clock,
    binds: Binds,
    log: slog::Logger,
}

fn spawn<T: Send + 'static>(
    name: &str,
    run: impl FnOnce() -> T + Send + 'static,
) -> Result<thread::JoinHandle<T>> {
    let thread = thread::Builder::new().name(name.to_owned()).stack_size(STACK_BYTES);
    thread.spawn(run).map_err(Error::internal)
}

fn runtime() -> Result<tokio::runtime::Runtime> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(Error::internal)
}

fn run_control(
    parts: Parts,
    make_directory: MakeDirectory,
    mut stop: mpsc::UnboundedReceiver<u64>,
) -> Result<()> {
    let runtime = runtime()?;
    let (stop_traffic, stopping) = watch::channel(None);
    let traffic_parts = parts.clone();
    let (listening, traffic_state) = watch::channel(false);
    // The sender is dropped with the traffic thread, however it ends, which the receiver notices.
    let traffic = spawn("traffic", move || run_traffic(traffic_parts, stopping, listening))?;
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let control = Control::new(
            parts.settings.clone(),
            make_directory(),
            Arc::clone(&parts.dialect),
            Arc::clone(&parts.shared),
            Arc::clone(&parts.metrics),
            parts.clock,
            parts.log.clone(),
        );
        let mut front_state = traffic_state.clone();
        let listening = async {
            let socket = use_addresses(&parts, &control).await?;
            // An instance that says it is ready before it listens has its first callers refused.
            let is_listening = front_state.wait_for(|is_listening| *is_listening).await.is_ok();
            Ok::<_, Error>(is_listening.then_some(socket))
        };
        let started = tokio::select! {
            listening = listening => listening,
            // Its front can't be used, as its own error says.
            () = ended(traffic_state.clone()) => Ok(None),
            _ = stop.recv() => {
                slog::info!(parts.log, "stopped before the start was over");
                Ok(None)
            }
        };
        let Ok(Some(socket)) = started else {
            // The front may listen already: callers that it took get their answers.
            let since_ms = parts.clock.now_ms();
            let stop = Stop { since_ms, keep_ms: 0, grace_ms: parts.settings.grace_ms };
            let _ = stop_traffic.send(Some(stop));
            ended(traffic_state).await;
            let joined = traffic.join().unwrap_or_else(|_| Err(Error::from_panic("traffic")));
            return started.map(drop).and(joined);
        };
        control.start(socket);
        slog::info!(parts.log, "started"; "instance" => &*parts.settings.id,
            "domain" => &*parts.settings.domain, "front" => %parts.settings.front);
        // The grace runs from the order, however long it waited here.
        let ordered_ms = tokio::select! {
            ordered_ms = stop.recv() => {
                slog::info!(parts.log, "stopping: no new callers are sent here");
                ordered_ms
            }
            // Without it, callers would be told to come and find nobody.
            () = ended(traffic_state.clone()) => {
                slog::error!(parts.log, "traffic ended by itself");
                None
            }
        };
        control.stop();
        let stop = Stop {
            since_ms: ordered_ms.unwrap_or_else(|| parts.clock.now_ms()),
            keep_ms: parts.settings.keep_ms,
            grace_ms: parts.settings.grace_ms,
        };
        // Traffic hears of it before the directory is called, which may take a second to answer. The
        // send fails only if the traffic thread has ended.
        let _ = stop_traffic.send(Some(stop));
        let _ = tokio::join!(control.remove_registration(), ended(traffic_state));
        control.leave();
        slog::info!(parts.log, "stopped");
        traffic.join().unwrap_or_else(|_| Err(Error::from_panic("traffic")))
    })
}

fn run_traffic(
    parts: Parts,
    mut stopping: watch::Receiver<Option<Stop>>,
    listening: watch::Sender<bool>,
) -> Result<()> {
    let runtime = runtime()?;
    let local = LocalSet::new();
    local.block_on(&runtime, async move {
        let listener = tokio::select! {
            listener = parts.binds.tcp(parts.settings.keys.front, parts.settings.front) => listener?,
            // The start was given up.
            _ = stopping.changed() => return Ok(()),
        };
        connection::limit_receive_buffers(&listener);
        listening.send_replace(true);
        let traffic = Traffic::new(
            parts.settings,
            parts.dialect,
            parts.shared,
            parts.clock,
            parts.log,
            parts.metrics,
        );
        let (close, closing) = watch::channel(false);
        let listener = Rc::new(listener);
        let (log, metrics) = (traffic.log.clone(), Arc::clone(&traffic.metrics));
        let accepting = {
            let traffic = Rc::clone(&traffic);
            tasks::keep_running("accept", log.clone(), Arc::clone(&metrics), move || {
                let (traffic, listener) = (Rc::clone(&traffic), Rc::clone(&listener));
                connection::accept(traffic, listener, closing.clone())
            })
        };
        let swept = Rc::clone(&traffic);
        tasks::keep_running("sweep", log, metrics, move || sweep(Rc::clone(&swept)));
        // The control thread keeps the sender for as long as it lives.
        let ordered = stopping.wait_for(Option::is_some).await.ok().and_then(|stop| *stop);
        if let Some(stop) = ordered {
            drain::drain(&traffic, stop, &close, accepting).await;
        }
        Ok(())
    })
}

async fn sweep(traffic: Rc<Traffic>) {
    loop {
        tokio::time::sleep(Duration::from_millis(SWEEP_MS)).await;
        traffic.sweep();
    }
}

/// Returns once a thread has ended that tells its state.
async fn ended(mut state: watch::Receiver<bool>) {
    while state.changed().await.is_ok() {}
}

/// Uses each address but the front's as soon as it can be used; one that never can is told at once, whatever
/// the others wait for. Returns the socket for datagrams of peers.
async fn use_addresses(parts: &Parts, control: &Rc<Control>) -> Result<UdpSocket> {
    let Settings { keys, peer, readiness, directory, .. } = parts.settings;
    serve_metrics(parts);
    // Readiness and directory may be one address.
    let directory = directory.filter(|_| directory != readiness);
    let (socket, (), (), (), ()) = tokio::try_join!(
        parts.binds.udp(keys.peer, peer),
        serve_peers(parts, control),
        serve_questions(parts, keys.readiness, readiness),
        serve_questions(parts, keys.directory, directory),
        find_source(parts),
    )?;
    Ok(socket)
}

/// Waits until upstreams can be connected to from the address that is set for that.
async fn find_source(parts: &Parts) -> Result<()> {
    match parts.settings.upstream_source {
        Some(ip) => parts.binds.source(parts.settings.keys.upstream_source, ip).await,
        None => Ok(()),
    }
}

async fn serve_peers(parts: &Parts, control: &Rc<Control>) -> Result<()> {
    let addr = parts.settings.peer;
    let closed = note_closed(parts, addr);
    let listener = parts.binds.tcp(parts.settings.keys.peer, addr).await?;
    let control = Rc::clone(control);
    let places = Places::new(LISTS_AT_ONCE);
    let reply_of = move || {
        let (control, places) = (Rc::clone(&control), places.clone());
        // A connection that asked for a list holds its place until it ends: the answer takes as long.
        let place: Rc<OnceCell<Place>> = Rc::default();
        move |request: Request<Incoming>| {
            if request.uri().path() == LIST_PATH && place.get().is_none() {
                places.take().map(|taken| place.set(taken));
            }
            let has_place = place.get().is_some();
            peer_reply(Rc::clone(&control), request, has_place)
        }
    };
    let (connections, each_ms) = (PEERS_AT_ONCE, FETCH_TIMEOUT_MS);
    let limit = Limit { connections, each_ms, closes: Closes::New };
    tokio::task::spawn_local(questions::serve_within(listener, limit, closed, reply_of));
    Ok(())
}

/// Answers a peer; one that asks for a list and found no place is to ask another instance.
async fn peer_reply(control: Rc<Control>, request: Request<Incoming>, has_place: bool) -> Answer {
    let refused = |status| answer::whole(status, HeaderMap::new(), Bytes::new());
    let path = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), LONGEST_ASK_BYTES).collect().await;
    let Ok(body) = body.map(Collected::to_bytes) else { return refused(400) };
    let answered = match &*path {
        CONFIG_PATH => rmp_serde::from_slice::<ConfigRequest>(&body)
            .map(|asked| rmp_serde::to_vec(&control.config_for(asked)).ok()),
        LIST_PATH if !has_place => return refused(503),
        LIST_PATH => rmp_serde::from_slice::<ListRequest>(&body).map(|asked| {
            control.list_for(&asked).and_then(|listed| rmp_serde::to_vec(&listed).ok())
        }),
        _ => return refused(404),
    };
    match answered {
        Ok(Some(body)) => answer::whole(200, HeaderMap::new(), Bytes::from(body)),
        Ok(None) => refused(503),
        Err(_) => refused(400),
    }
}

/// Notes that a connection to an address was closed for want of a place.
fn note_closed(parts: &Parts, addr: SocketAddr) -> impl Fn() + 'static {
    let (metrics, log) = (Arc::clone(&parts.metrics), parts.log.clone());
    move || {
        metrics.count("questions_closed");
        slog::warn!(log, "a connection is closed: its listener has as many as it may"; "addr" => %addr);
    }
}

/// Serves callers' questions or the readiness, if they have an address.
async fn serve_questions(parts: &Parts, key: &str, addr: Option<SocketAddr>) -> Result<()> {
    if let Some(addr) = addr {
        let listener = parts.binds.tcp(key, addr).await?;
        serve_question_listener(parts.clone(), addr, listener);
    }
    Ok(())
}

/// Serves the metrics as soon as their address can be used, unless it serves questions.
fn serve_metrics(parts: &Parts) {
    let Settings { keys, readiness, directory, metrics, .. } = parts.settings;
    let Some(addr) = metrics.filter(|_| metrics != readiness && metrics != directory) else {
        return;
    };
    let parts = parts.clone();
    tokio::task::spawn_local(async move {
        let listener = parts.binds.metrics(keys.metrics, addr).await;
        serve_question_listener(parts, addr, listener);
    });
}

/// Serves what is asked on one address.
fn serve_question_listener(parts: Parts, addr: SocketAddr, listener: TcpListener) {
    connection::limit_receive_buffers(&listener);
    let connections = parts.settings.machine.questions();
    let is_metrics = Some(addr) == parts.settings.metrics;
    let closed = note_closed(&parts, addr);
    let reply = move |request: Request<Incoming>| {
        let answer = if is_metrics {
            let (path, now_ms) = (request.uri().path(), parts.clock.now_ms());
            operator::reply(request.method(), path, &parts.shared, &parts.metrics, now_ms)
        } else {
            question(&parts, request.uri().path(), request.uri().query())
        };
        std::future::ready(answer)
    };
    tokio::task::spawn_local(questions::serve(listener, connections, closed, reply));
}

fn question(parts: &Parts, path: &str, query: Option<&str>) -> Answer {
    let view = parts.shared.view.load();
    let nothing = |status| answer::whole(status, HeaderMap::new(), Bytes::new());
    match parts.dialect.question(path, query) {
        Question::Ready if view.phase == Phase::Ready => nothing(200),
        Question::Ready => nothing(503),
        Question::Addresses { domain } => {
            let addrs = addresses(&view, domain.as_deref());
            if addrs.is_empty() {
                return nothing(503);
            }
            let mut headers = HeaderMap::new();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            answer::whole(200, headers, parts.dialect.addresses(&addrs, parts.settings.keep_ms))
        }
        Question::Unknown => nothing(404),
    }
}

/// The addresses for a caller: those of its failure domain, where at least two take callers.
fn addresses(view: &View, domain: Option<&str>) -> Vec<SocketAddr> {
    /// With fewer, the loss of one would leave callers without any for as long as they keep these.
    const ENOUGH_NEAR: usize = 2;
    let near: Vec<SocketAddr> = view
        .fronts
        .iter()
        .filter(|front| Some(&*front.domain) == domain)
        .map(|front| front.addr)
        .collect();
    if near.len() >= ENOUGH_NEAR {
        return near;
    }
    view.fronts.iter().map(|front| front.addr).collect()
}
