//! Starting, running and stopping an instance.

use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use arc_swap::ArcSwap;
use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use tokio::net::TcpListener;
use tokio::runtime::{Handle, Runtime};
use tokio::sync::{mpsc, watch};

use crate::binds::Binds;
use crate::clock::Clock;
use crate::control::blackboard::{Board, Entry, Snapshot};
use crate::control::control_loop::{self, Parts};
use crate::control::membership::{Member, Table};
use crate::control::{self, Control};
use crate::error::{Error, Result};
use crate::gateway::connection;
use crate::gateway::route::Limits;
use crate::metrics::Metrics;
use crate::node::{AllHolders, Node};
use crate::operators::document::ServiceKind;
use crate::operators::query;
use crate::peer;
use crate::records::ledger::{self, Ledger};
use crate::records::ledger_task::LedgerTask;
use crate::request::admission_task::AdmissionTask;
use crate::request::budget::RetryBudget;
use crate::request::callers::Callers;
use crate::request::connections::{PartialRequests, WatchedAcceptor};
use crate::request::engine::HttpEngine;
use crate::request::intake;
use crate::request::placement;
use crate::request::registry::Registry;
use crate::request::server;
use crate::settings::Settings;
use crate::store::HttpStore;
use crate::supervisor::Supervisor;
use crate::wire::Status;

/// How long a connection to another process may take to open.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// How long an unused connection is kept.
const IDLE_MS: u64 = 30_000;
/// The same for connections to peers: most peers are drawn at random and not soon asked again.
const PEER_IDLE_MS: u64 = 3_000;
/// How long an unused connection to a plain service is kept: far shorter than services keep
/// theirs, so that the two ends rarely close and use it at the same moment.
const CALL_IDLE_MS: u64 = 1_000;
/// The longest head of a request, and what is read of a connection ahead of it.
const HEAD_LIMIT_BYTES: usize = 16 << 10;
/// How often admission limits follow the reported load.
const LIMITS_MS: u64 = 100;
/// How many repeats may be made in a burst.
const REPEATS: u64 = 50;
/// How often a stopping instance looks whether it is done.
const STOP_STEP_MS: u64 = 50;
/// How long a stopping instance waits for the others to take over its records.
const HAND_OVER_MS: u64 = 15_000;
/// How long a start waits for its address: the instance before may hold it until its stop is over.
const ADDRESS_BOUND_MS: u64 = HAND_OVER_MS + LAST_CONNECTIONS_MS;
/// How long connections with a half-sent request or a half-read answer hold up a stop in which no
/// request is open.
const LAST_CONNECTIONS_MS: u64 = 5_000;

/// A running instance.
pub struct Router {
    node: Arc<Node>,
    supervisor: Supervisor,
    partial_requests: PartialRequests,
    server: ServerHandle,
    serving: tokio::task::JoinHandle<()>,
    streams: Option<Runtime>,
}

impl Drop for Router {
    fn drop(&mut self) {
        // A runtime can't be dropped from within another without this.
        if let Some(streams) = self.streams.take() {
            streams.shutdown_background();
        }
    }
}

impl Router {
    /// Starts an instance on the current runtime, and its control thread.
    ///
    /// # Errors
    ///
    /// If the address can't be listened on, or a thread can't be started.
    pub async fn start(settings: Settings, log: slog::Logger) -> Result<Router> {
        let clock = Clock::start();
        let binds = Binds::new(clock, ADDRESS_BOUND_MS, log.clone());
        let listener = binds.tcp("--listen", settings.listen).await?;
        let me = Member {
            id: Arc::clone(&settings.id),
            incarnation: fastrand::u64(1..1 << 53),
            addr: Arc::from(settings.advertise.to_string()),
            domain: Arc::clone(&settings.domain),
        };
        let log = log.new(slog::o!("instance" => me.id.to_string()));
        let supervisor = Supervisor::new(log.clone());
        let (control, inbox) = mpsc::unbounded_channel();
        // The control thread has connections of its own, so that traffic can't hold them up.
        let own = client(PEER_IDLE_MS)?;
        let control_peers = peer::Client::new(own.clone(), &settings.peer_key);
        let traffic = Arc::clone(control_peers.traffic());
        let streams = stream_threads(settings.threads)?;
        let running = streams.handle().clone();
        let parts = NodeParts { clock, me, control, control_traffic: traffic, streams: running };
        let node = Arc::new(build_node(settings, &log, parts, &supervisor)?);
        start_control(&node, inbox, own, control_peers, &supervisor)?;
        let followed = Arc::clone(&node);
        supervisor.keep_running("load", move || follow_load(Arc::clone(&followed)));
        let partial_requests = PartialRequests::default();
        connection::limit_receive_buffers(&listener);
        let callers = Arc::clone(&node.callers);
        let watching = WatchedAcceptor::new(acceptor(listener)?, partial_requests.clone(), callers);
        let mut server = salvo::Server::new(watching);
        server.http1_mut().max_buf_size(HEAD_LIMIT_BYTES);
        let handle = server.handle();
        let paths = server::router(Arc::clone(&node));
        let serving = supervisor.spawn("server", server.serve(paths));
        slog::info!(log, "listening"; "address" => &*node.me.addr, "domain" => &*node.me.domain);
        Ok(Router {
            node,
            supervisor,
            partial_requests,
            server: handle,
            serving,
            streams: Some(streams),
        })
    }

    /// What its parts share.
    pub fn node(&self) -> &Arc<Node> {
        &self.node
    }

    /// Waits until an operator's command stops it.
    pub async fn wait_for_stop(&self) {
        loop {
            if self.node.snapshot().is_stopping {
                return;
            }
            tokio::time::sleep(Duration::from_millis(STOP_STEP_MS)).await;
        }
    }

    /// What watches its parts. A router one of whose parts has failed must end: its records are held by
    /// others, which take over what it runs.
    pub fn supervisor(&self) -> &Supervisor {
        &self.supervisor
    }

    /// Stops without cutting a request: the address is withdrawn, callers that keep it are served
    /// for as long as they may, the records are handed over, and every request ends first.
    pub async fn stop(mut self) {
        let node = Arc::clone(&self.node);
        slog::info!(node.log, "stopping: no new callers are sent here");
        node.tell(control::Event::Stop);
        wait_until_left(&node).await;
        tokio::time::sleep(Duration::from_millis(node.settings.keep_ms)).await;
        self.end_requests(&node).await;
        self.server.stop_graceful(None);
        self.end_connections(&node).await;
        slog::info!(node.log, "stopped");
    }

    /// Waits until no request is open, and none has begun to arrive on a kept connection, which the
    /// server would close with the bytes that it has; one that never comes whole holds up nothing.
    async fn end_requests(&self, node: &Node) {
        let mut arriving_ms = 0;
        while arriving_ms < LAST_CONNECTIONS_MS {
            let is_busy = is_busy(node).await;
            if !is_busy && !self.partial_requests.is_any() {
                return;
            }
            arriving_ms = if is_busy { 0 } else { arriving_ms + STOP_STEP_MS };
            tokio::time::sleep(Duration::from_millis(STOP_STEP_MS)).await;
        }
    }

    /// Waits for the end of the last connection. The count of open requests misses heads that are
    /// arriving and answers that are being written; connections that are idle close at once.
    async fn end_connections(&mut self, node: &Node) {
        let mut idle_ms = 0;
        while idle_ms < LAST_CONNECTIONS_MS {
            let step = Duration::from_millis(STOP_STEP_MS);
            if tokio::time::timeout(step, &mut self.serving).await.is_ok() {
                return;
            }
            idle_ms = if is_busy(node).await { 0 } else { idle_ms + STOP_STEP_MS };
        }
        slog::warn!(node.log, "connections are cut that did not end in time";
            "timeout_ms" => LAST_CONNECTIONS_MS);
    }
}

/// Whether a request is open or a run goes on.
async fn is_busy(node: &Node) -> bool {
    node.registry.active().await > 0 || node.open.load(Ordering::SeqCst) > 0
}

fn stream_threads(threads: usize) -> Result<Runtime> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name("streams")
        .enable_all()
        .build();
    runtime.map_err(Error::internal)
}

fn acceptor(listener: TcpListener) -> Result<TcpAcceptor> {
    TcpAcceptor::try_from(listener).map_err(Error::internal)
}

fn client(idle_ms: u64) -> Result<reqwest::Client> {
    let client = reqwest::Client::builder()
        .connect_timeout(Duration::from_millis(CONNECT_TIMEOUT_MS))
        .pool_idle_timeout(Duration::from_millis(idle_ms))
        .no_proxy()
        .build();
    client.map_err(Error::internal)
}

/// What a node gets from the start of its instance.
struct NodeParts {
    clock: Clock,
    me: Member,
    control: mpsc::UnboundedSender<control_loop::Message>,
    control_traffic: Arc<peer::Traffic>,
    streams: Handle,
}

fn build_node(
    settings: Settings,
    log: &slog::Logger,
    parts: NodeParts,
    supervisor: &Supervisor,
) -> Result<Node> {
    let NodeParts { clock, me, control, control_traffic, streams } = parts;
    let calls = client(CALL_IDLE_MS)?;
    let peers = peer::Client::new(client(PEER_IDLE_MS)?, &settings.peer_key);
    let limits = ledger::Limits {
        horizon_ms: settings.horizon_ms,
        organisation_bytes: settings.organisation_bytes,
    };
    let ledger =
        LedgerTask::spawn(Ledger::new(me.clone(), limits), clock, peers.clone(), supervisor);
    let holders = |client| AllHolders {
        me: me.clone(),
        ledger: ledger.clone(),
        remote: peer::RemoteHolders::new(client),
    };
    let copiers = Arc::new(holders(peers.over(client(PEER_IDLE_MS)?)));
    let holders = Arc::new(holders(peers.clone()));
    let metrics = Metrics::new(settings.statsd);
    let first = Board::new(me.clone()).snapshot(0);
    Ok(Node {
        clock,
        log: log.clone(),
        snapshot: ArcSwap::from_pointee(first),
        tables: watch::Sender::new(Arc::default()),
        control,
        ledger,
        holders,
        copiers,
        streams,
        engine: Arc::new(HttpEngine::new(client(IDLE_MS)?)),
        store: Arc::new(HttpStore::new(client(IDLE_MS)?, settings.store.clone())),
        admission: AdmissionTask::spawn(clock, supervisor),
        registry: Registry::spawn(metrics, supervisor),
        peers,
        control_traffic,
        calls,
        budget: Mutex::new(RetryBudget::new(REPEATS)),
        open: Arc::default(),
        callers: Callers::new(clock, settings.machine, caller_limits(), log.clone()),
        me,
        settings,
    })
}

/// The limits on callers, as far as what all of them may hold follows from them.
fn caller_limits() -> Limits {
    let body_bytes = intake::BODY_LIMIT_BYTES;
    Limits { head_bytes: HEAD_LIMIT_BYTES, body_bytes, ..Limits::default() }
}

fn start_control(
    node: &Arc<Node>,
    inbox: mpsc::UnboundedReceiver<control_loop::Message>,
    own: reqwest::Client,
    peers: peer::Client,
    supervisor: &Supervisor,
) -> Result<()> {
    let published = Arc::downgrade(node);
    let adopted = Arc::downgrade(node);
    let parts = Parts {
        inbox,
        supervisor: supervisor.clone(),
        events: node.control.clone(),
        control: Control::new(node.me.clone()),
        clock: node.clock,
        tick_ms: node.settings.tick_ms,
        seeds: node.settings.seeds.clone(),
        store: Arc::new(HttpStore::new(own.clone(), node.settings.store.clone())),
        engine: Arc::new(HttpEngine::counted(own, Arc::clone(&node.control_traffic))),
        peers,
        publish: Box::new(move |snapshot| {
            if let Some(node) = published.upgrade() {
                node.snapshot.store(snapshot);
            }
        }),
        adopt: Box::new(move |table| {
            if let Some(node) = adopted.upgrade() {
                node.ledger.adopt(Arc::clone(&table));
                node.tables.send_replace(table);
            }
        }),
        log: node.log.clone(),
    };
    let thread = thread::Builder::new().name("control".to_owned());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(Error::internal)?;
    let watched = supervisor.clone().watch("control", control_loop::run(parts));
    let started = thread.spawn(move || runtime.block_on(watched));
    started.map(drop).map_err(Error::internal)
}

/// Keeps the admission limits in step with the configuration and the reported load.
async fn follow_load(node: Arc<Node>) {
    loop {
        let snapshot = node.snapshot();
        for (name, service) in &snapshot.document.services {
            let slots = match service.kind {
                ServiceKind::Plain => service.concurrency as usize,
                ServiceKind::Generation => generation_slots(&node, &snapshot, name).await,
            };
            node.admission.limit(name, slots, service.queue as usize);
        }
        tokio::time::sleep(Duration::from_millis(LIMITS_MS)).await;
    }
}

async fn generation_slots(node: &Node, snapshot: &Snapshot, name: &Arc<str>) -> usize {
    let live = || snapshot.live(name, None);
    let free: u64 = live().map(Entry::free_slots).sum();
    let slots: u64 = live().map(|entry| u64::from(entry.report.load.slots)).sum();
    let instances = snapshot.table.roster.members.len() as u64;
    let share = placement::share(free, slots, instances, &mut fastrand::Rng::new());
    node.admission.depth(name).await.running + share as usize
}

/// Waits until the table no longer lists this instance and the others hold its records.
async fn wait_until_left(node: &Arc<Node>) {
    let give_up_ms = node.clock.now_ms() + HAND_OVER_MS;
    while node.clock.now_ms() < give_up_ms {
        let table: Arc<Table> = node.tables.borrow().clone();
        let is_gone = !table.roster.contains(&node.me);
        if is_gone {
            let asked = query::ask_all::<Status>(node, "/peer/status").await;
            let is_ready = |status: &Status| status.is_ready && status.epoch >= table.epoch();
            if asked.iter().all(|(_, status)| status.as_ref().is_some_and(is_ready)) {
                return;
            }
        }
        tokio::time::sleep(Duration::from_millis(STOP_STEP_MS)).await;
    }
    slog::warn!(node.log, "the table still lists this instance; the others will notice its end");
}
