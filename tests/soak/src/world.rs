//! One seed: a site behind proxies, gateways as processes, callers, and faults.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use siskinrock_fakes::caller::{self, Call};
use siskinrock_fakes::http::Connection;
use siskinrock_fakes::process::{Process, wait_for};
use siskinrock_fakes::proxy::{Harm, Proxy};
use siskinrock_fakes::site::{self, KEY, Place, SECOND_KEY, Site, config};
use siskinrock_fakes::{engine, service, store};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::checks::{self, Kind, Outcome, Report};
use crate::faults::{self, Fault, Sizes, Timed};

/// Callers of each kind.
const CALLERS: usize = 4;
/// The pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(25);
/// How long after the last fault everything must be served again: an engine that was lost is kept
/// out for five seconds unless it is asked.
const SETTLE: Duration = Duration::from_millis(6_000);
/// How long it is checked that everything is served.
const CALM: Duration = Duration::from_millis(1_500);
/// The longest that a caller waits.
const PATIENCE: Duration = Duration::from_secs(20);

struct World {
    site: Site,
    engine_links: Vec<Proxy>,
    store_link: Proxy,
    gateways: Mutex<Vec<Process>>,
    fronts: Vec<SocketAddr>,
    outcomes: Mutex<Vec<Outcome>>,
    next_id: AtomicU64,
    version: AtomicU64,
    is_calm: AtomicBool,
    is_over: AtomicBool,
}

/// Plays one seed.
pub async fn run(binary: &Path, seed: u64, length: Duration, gateways: u8) -> Report {
    let mut random = fastrand::Rng::with_seed(seed);
    let folder =
        std::env::temp_dir().join(format!("siskinrock-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
    let world = Arc::new(start(binary, seed, &folder, gateways).await);
    let sizes = Sizes {
        gateways: usize::from(gateways),
        engines: world.site.engines.len(),
        services: world.site.services.len(),
    };
    let faults = faults::draw(&mut random, sizes, length);
    let listed: String = faults.iter().map(|timed| format!("{timed:?}\n")).collect();
    std::fs::write(folder.join("faults.txt"), listed).expect("the folder can be written");
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        callers.spawn(call(Arc::clone(&world), "POST", "/book/a", Kind::Book, random.fork()));
        callers.spawn(call(Arc::clone(&world), "GET", "/look/a", Kind::Look, random.fork()));
        callers.spawn(plan(Arc::clone(&world), random.fork()));
    }
    play(&world, &faults).await;
    tokio::time::sleep(SETTLE).await;
    world.is_calm.store(true, Ordering::SeqCst);
    tokio::time::sleep(CALM).await;
    world.is_over.store(true, Ordering::SeqCst);
    while callers.join_next().await.is_some() {}
    judge(&world, folder)
}

async fn start(binary: &Path, seed: u64, folder: &Path, count: u8) -> World {
    let site = Site::start(2, 20).await;
    let mut engine_links = Vec::new();
    for (index, engine) in site.engines.iter().enumerate() {
        let link = Proxy::start(engine.addr).await;
        let entry = site::server_entry("plan-llm", site.engine_zone(index), "ready", link.addr);
        site.store.put(&format!("servers/{}", engine.id), &entry);
        engine_links.push(link);
    }
    // Copies name the address that is listed, so fakes have to know each other by it.
    for engine in &site.engines {
        let listed = site.engines.iter().zip(&engine_links);
        engine.meet(&listed.map(|(other, link)| other.at(link.addr)).collect::<Vec<_>>());
    }
    let store_link = Proxy::start(site.store.addr).await;
    let run = (std::process::id() % 100) as u8;
    let place = Place { network: [127, 101 + run, (seed % 256) as u8], base_port: 20_000 };
    let gateways: Vec<Process> = (0..count)
        .map(|number| Process::start(binary, folder, number, place, store_link.addr, &[0, 1, 2]))
        .collect();
    for gateway in &gateways {
        wait_for("a gateway is ready", async || gateway.is_ready().await).await;
    }
    let fronts = gateways.iter().map(|gateway| gateway.front).collect();
    World {
        site,
        engine_links,
        store_link,
        fronts,
        gateways: Mutex::new(gateways),
        outcomes: Mutex::default(),
        next_id: AtomicU64::new(1),
        version: AtomicU64::new(10),
        is_calm: AtomicBool::new(false),
        is_over: AtomicBool::new(false),
    }
}

/// Begins and ends each fault at its time; a fault may begin while others last.
async fn play(world: &Arc<World>, faults: &[Timed]) {
    let start = Instant::now();
    let mut playing = JoinSet::new();
    for timed in faults.iter().copied() {
        let world = Arc::clone(world);
        playing.spawn(async move {
            tokio::time::sleep_until(start + timed.at).await;
            world.begin(timed.fault);
            tokio::time::sleep_until(start + timed.at + timed.lasts).await;
            world.end(timed.fault).await;
        });
    }
    while playing.join_next().await.is_some() {}
}

impl World {
    fn begin(&self, fault: Fault) {
        let mut gateways = self.gateways.lock().expect("no holder panics");
        match fault {
            Fault::Kill(index) => gateways[index].kill(),
            Fault::KillAll => gateways.iter_mut().for_each(Process::kill),
            Fault::Stop(index) => gateways[index].signal(libc::SIGTERM),
            Fault::Pause(index) => gateways[index].signal(libc::SIGSTOP),
            Fault::Reload(index) => gateways[index].signal(libc::SIGHUP),
            Fault::EngineLink(index, harm) => self.engine_links[index].set(harm),
            Fault::StoreLink(harm) => self.store_link.set(harm),
            Fault::Engine(index, fault) => self.site.engines[index].fail(fault),
            Fault::Zone(zone, fault) => self.fail_zone(zone, fault),
            Fault::Crash(zone) => self.fail_zone(zone, engine::Fault::Torn),
            Fault::Service(index, fault) => self.site.services[index].fail(fault),
            Fault::Store(fault) => self.site.store.fail(fault),
            Fault::Forget => self.site.store.forget_history(),
            Fault::Configure => self.configure(),
            Fault::Leave(index) => self.list(index, "draining"),
        }
    }

    async fn end(&self, fault: Fault) {
        match fault {
            Fault::Kill(index) | Fault::Stop(index) => self.restart(index).await,
            Fault::KillAll => {
                for index in 0..self.fronts.len() {
                    self.restart(index).await;
                }
            }
            Fault::Pause(index) => {
                self.gateways.lock().expect("no holder panics")[index].signal(libc::SIGCONT);
            }
            Fault::EngineLink(index, _) => self.engine_links[index].set(Harm::None),
            Fault::StoreLink(_) => self.store_link.set(Harm::None),
            Fault::Engine(index, _) => self.site.engines[index].fail(engine::Fault::None),
            Fault::Zone(zone, _) => self.fail_zone(zone, engine::Fault::None),
            Fault::Crash(zone) => self.bring_back(zone),
            Fault::Service(index, _) => self.site.services[index].fail(service::Fault::None),
            Fault::Store(_) => self.site.store.fail(store::Fault::None),
            Fault::Leave(index) => self.list(index, "ready"),
            Fault::Reload(_) | Fault::Forget | Fault::Configure => {}
        }
    }

    fn fail_zone(&self, zone: usize, fault: engine::Fault) {
        for (index, engine) in self.site.engines.iter().enumerate() {
            if self.site.engine_zone(index) == site::ZONES[zone] {
                engine.fail(fault);
            }
        }
    }

    /// Starts the engines of a zone again, each as another incarnation at its address.
    fn bring_back(&self, zone: usize) {
        for (index, engine) in self.site.engines.iter().enumerate() {
            if self.site.engine_zone(index) == site::ZONES[zone] {
                self.site.store.remove(&format!("servers/{}", engine.current_id()));
                engine.come_back(&format!("{}-{}", engine.id, self.new_id()));
                self.list(index, "ready");
            }
        }
    }

    fn list(&self, index: usize, state: &str) {
        let engine = &self.site.engines[index];
        let addr = self.engine_links[index].addr;
        let entry = site::server_entry("plan-llm", self.site.engine_zone(index), state, addr);
        self.site.store.put(&format!("servers/{}", engine.current_id()), &entry);
    }

    fn configure(&self) {
        let version = self.version.fetch_add(3, Ordering::SeqCst);
        let name = format!("more-{version}");
        self.site.store.put("op/config", &config(version, &[KEY, SECOND_KEY], &[&name]));
    }

    /// Starts a gateway again once it has ended, also one that ends as planned.
    async fn restart(&self, index: usize) {
        let since = Instant::now();
        loop {
            {
                let mut gateways = self.gateways.lock().expect("no holder panics");
                let gateway = &mut gateways[index];
                gateway.signal(libc::SIGCONT);
                if gateway.has_ended() {
                    gateway.restart();
                    return;
                }
                // Another fault may have started it anew: then it runs, and stays.
                if since.elapsed() > Duration::from_secs(5) {
                    return;
                }
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn new_id(&self) -> String {
        format!("{:016x}", self.next_id.fetch_add(1, Ordering::SeqCst))
    }

    fn note(&self, outcome: Outcome) {
        self.outcomes.lock().expect("no holder panics").push(outcome);
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    fn is_calm(&self) -> bool {
        self.is_calm.load(Ordering::SeqCst)
    }
}

fn new_call(world: &World, method: &'static str, path: &str) -> Call {
    Call {
        method,
        path: path.to_owned(),
        host: site::HOST.to_owned(),
        id: world.new_id(),
        key: Some(KEY.to_owned()),
        deadline_ms: 3_000,
        last_event: None,
        part: None,
        body: if method == "POST" { b"a body".to_vec() } else { Vec::new() },
    }
}

/// Sends calls over a connection that is kept for as long as it lasts.
async fn call(
    world: Arc<World>,
    method: &'static str,
    path: &'static str,
    kind: Kind,
    mut random: fastrand::Rng,
) {
    let mut kept: Option<Connection> = None;
    while !world.is_over() {
        tokio::time::sleep(PAUSE).await;
        let front = world.fronts[random.usize(..world.fronts.len())];
        let is_calm = world.is_calm();
        let sent = new_call(&world, method, path);
        let exchange = async {
            let mut connection = match kept.take() {
                Some(connection) => connection,
                None => Connection::new(TcpStream::connect(front).await?),
            };
            connection.write(&sent.encode()).await?;
            let answer = connection.read_answer().await?;
            std::io::Result::Ok((connection, answer))
        };
        let answered = tokio::time::timeout(PATIENCE, exchange).await;
        let mut outcome = Outcome {
            id: sent.id.clone(),
            kind: kind.clone(),
            status: 0,
            text: String::new(),
            is_complete: false,
            is_calm,
        };
        if let Ok(Ok((connection, answer))) = answered {
            outcome.status = answer.status();
            outcome.text = String::from_utf8_lossy(&answer.body).into_owned();
            outcome.is_complete = true;
            let closes = answer.header("connection") == Some("close");
            kept = (!closes && random.u8(..10) > 0).then_some(connection);
        }
        world.note(outcome);
    }
}

/// Sends streams; one that was cut goes on once at another gateway, after its last event.
async fn plan(world: Arc<World>, mut random: fastrand::Rng) {
    while !world.is_over() {
        tokio::time::sleep(PAUSE).await;
        let part = world.new_id();
        let mut after = 0;
        for _ in 0..2 {
            let front = world.fronts[random.usize(..world.fronts.len())];
            let is_calm = world.is_calm();
            let sent = Call {
                part: Some(part.clone()),
                last_event: (after > 0).then_some(after),
                deadline_ms: 15_000,
                ..new_call(&world, "POST", "/plan/a")
            };
            let streamed = tokio::time::timeout(PATIENCE, caller::stream(front, &sent)).await;
            let stream = streamed.ok().and_then(Result::ok).unwrap_or_default();
            let text = stream.text;
            let came = text.matches("id: ").count() as u64;
            let outcome = Outcome {
                id: sent.id,
                kind: Kind::Plan(part.clone(), after),
                status: stream.head.status(),
                text,
                is_complete: stream.is_complete,
                is_calm,
            };
            let is_complete = outcome.is_complete;
            world.note(outcome);
            after += came;
            if is_complete || came == 0 {
                break;
            }
        }
    }
}

fn judge(world: &World, folder: PathBuf) -> Report {
    let mut report = Report { folder, ..Report::default() };
    let outcomes = world.outcomes.lock().expect("no holder panics").clone();
    let engines = world.site.engines.iter().flat_map(|engine| engine.seen());
    let services = world.site.services.iter().flat_map(|service| service.seen());
    let seen: Vec<engine::Seen> = engines.chain(services).collect();
    checks::check(&outcomes, &seen, &mut report);
    world.gateways.lock().expect("no holder panics").clear();
    if report.broken.is_empty() {
        let _ = std::fs::remove_dir_all(&report.folder);
    }
    report
}
