//! Real processes of the binary before stand-ins that run in the test itself.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::path::PathBuf;
use std::process::{Child, Command, Output};
use std::sync::Arc;
use std::time::{Duration, Instant};

use siskinrock_standin::caller::Plan;
use siskinrock_standin::engine;
use siskinrock_standin::fault::Order;
use siskinrock_standin::host::{self, Host};
use siskinrock_standin::platform::{self, Listed};
use siskinrock_standin::seats;

pub const PEER_KEY: &str = "peer-key-0123456789";
pub const OPERATOR_KEY: &str = "operator-key-0123456789";
pub const HARBOUR_KEY: &str = "harbour-key-0123456789";
pub const DOMAINS: [&str; 3] = ["ranong-hall", "phuket-hall", "krabi-hall"];

/// A condition that doesn't come true within this time fails its test.
const PATIENCE: Duration = Duration::from_secs(30);
/// Lines of a router's log that a failed start shows.
const SHOWN_LINES: usize = 20;

pub struct RouterProcess {
    pub id: String,
    pub addr: String,
    log: PathBuf,
    child: Child,
}

impl RouterProcess {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started by this test and has not been waited for.
        unsafe { libc::kill(self.child.id() as i32, signal) };
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn pause(&self) {
        self.signal(libc::SIGSTOP);
    }

    pub fn go_on(&self) {
        self.signal(libc::SIGCONT);
    }

    /// Waits for the end after a planned stop.
    pub fn wait(&mut self) -> i32 {
        let child = &mut self.child;
        let mut status = None;
        wait_for_blocking("the process has ended", || {
            status = child.try_wait().ok().flatten();
            status.is_some()
        });
        status.and_then(|status| status.code()).unwrap_or(-1)
    }
}

impl RouterProcess {
    /// Fails the test, with what it logged last, if the process has ended.
    fn assert_runs(&mut self) {
        if let Ok(Some(status)) = self.child.try_wait() {
            panic!(
                "{} at {} ended with {status}; its last lines:\n{}",
                self.id,
                self.addr,
                self.last_lines()
            );
        }
    }

    fn last_lines(&self) -> String {
        let log = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<_> = log.lines().collect();
        lines[lines.len().saturating_sub(SHOWN_LINES)..].join("\n")
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        self.go_on();
        self.kill();
        let _ = std::fs::remove_file(&self.log);
    }
}

pub struct Cluster {
    pub platform: Host,
    pub engines: Vec<Host>,
    pub seats: Vec<Host>,
    pub routers: Vec<RouterProcess>,
    pub http: reqwest::Client,
    environment: Vec<(&'static str, &'static str)>,
}

pub struct Shape {
    pub routers: usize,
    pub engines: usize,
    pub engine: engine::Settings,
    pub horizon_ms: u64,
    /// Variables of the routers' environment.
    pub environment: Vec<(&'static str, &'static str)>,
}

/// An address that a stand-in can be started at again: no outgoing connection is given its port.
fn free_addr() -> String {
    format!("127.0.0.1:{}", host::free_port())
}

impl Default for Shape {
    fn default() -> Shape {
        let engine = engine::Settings { load_lag_ms: 100, ..engine::Settings::default() };
        Shape { routers: 3, engines: 3, engine, horizon_ms: 60_000, environment: Vec::new() }
    }
}

impl Cluster {
    /// Brings everything up and configures it through the operators' command line.
    pub async fn start(shape: Shape) -> Cluster {
        let platform = platform::start("127.0.0.1:0");
        let start_engine = |_| engine::start(&free_addr(), shape.engine.clone());
        let engines: Vec<_> = (0..shape.engines).map(start_engine).collect();
        let books = Arc::new(seats::Seats::default());
        let start_seats = |_| seats::start(&free_addr(), Arc::clone(&books));
        let seats: Vec<_> = (0..2).map(start_seats).collect();
        let http = siskinrock_standin::caller::client();
        let environment = shape.environment;
        let mut cluster =
            Cluster { platform, engines, seats, routers: Vec::new(), http, environment };
        for number in 0..shape.routers {
            cluster.add_router(number, shape.horizon_ms);
        }
        cluster.wait_ready(shape.routers).await;
        cluster.configure();
        cluster.wait_live().await;
        cluster
    }

    pub fn add_router(&mut self, number: usize, horizon_ms: u64) {
        let domain = DOMAINS[number % DOMAINS.len()];
        let id = format!("{domain}-{}", number / DOMAINS.len());
        let addr = free_addr();
        let seeds: Vec<_> = self.routers.iter().map(|router| router.addr.as_str()).collect();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let log = folder.join(format!("{id}-{}.log", addr.replace(':', "-")));
        let stderr = std::fs::File::create(&log).expect("the log file can be made");
        let child = Command::new(env!("CARGO_BIN_EXE_siskinrock"))
            .args(["router", "--id", &id, "--domain", domain, "--listen", &addr])
            .args(["--store", &format!("http://{}", self.platform.addr)])
            .args(["--peer-key", PEER_KEY, "--operator-key", OPERATOR_KEY])
            .args(["--tick-ms", "200", "--keep-ms", "500", "--log", "debug"])
            .args(["--horizon-ms", &horizon_ms.to_string()])
            .args(["--seeds", &seeds.join(",")])
            .envs(self.environment.iter().copied())
            .stderr(stderr)
            .spawn()
            .expect("the binary starts");
        self.routers.push(RouterProcess { id, addr, log, child });
    }

    fn configure(&self) {
        self.ctl_ok("add service planning kind = generation gap_floor_ms = 250");
        self.ctl_ok("add service booking kind = plain repeat = never");
        self.ctl_ok("add model plan-1 service = planning version = 1");
        self.ctl_ok(&format!("add organisation harbour-a key = {HARBOUR_KEY}"));
        for (number, engine) in self.engines.iter().enumerate() {
            let domain = DOMAINS[number % DOMAINS.len()];
            let addr = engine.addr;
            self.ctl_ok(&format!("add upstream {addr} service = planning domain = {domain}"));
        }
        for seats in &self.seats {
            let addr = seats.addr;
            self.ctl_ok(&format!("add upstream {addr} service = booking domain = ranong-hall"));
        }
    }

    pub fn ctl(&self, command: &str) -> Output {
        self.ctl_through(0, &[], command)
    }

    pub fn ctl_through(&self, router: usize, flags: &[&str], command: &str) -> Output {
        Command::new(env!("CARGO_BIN_EXE_siskinrock"))
            .args(["ctl", "--router", &self.routers[router].addr])
            .args(["--operator-key", OPERATOR_KEY])
            .args(flags)
            .arg(command)
            .output()
            .expect("the binary starts")
    }

    pub fn ctl_ok(&self, command: &str) -> String {
        let output = self.ctl(command);
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{command}: {text} {errors}");
        text
    }

    pub async fn wait_ready(&mut self, routers: usize) {
        let start = Instant::now();
        loop {
            self.routers.iter_mut().for_each(RouterProcess::assert_runs);
            let shown = self.ctl("show routers");
            let shown = String::from_utf8_lossy(&shown.stdout).into_owned();
            if shown.matches(" ready").count() == routers {
                return;
            }
            assert!(start.elapsed() < PATIENCE, "not all of {routers} are ready:\n{shown}");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// Every router sees every upstream alive.
    pub async fn wait_live(&self) {
        let wanted = self.engines.len() + self.seats.len();
        for router in 0..self.routers.len() {
            wait_for_blocking("every upstream is live", || {
                let shown = self.ctl_through(router, &[], "show upstreams where state = live");
                String::from_utf8_lossy(&shown.stdout).lines().count() == wanted + 1
            });
        }
    }

    pub fn addresses(&self) -> Vec<String> {
        self.routers.iter().map(|router| router.addr.clone()).collect()
    }

    pub fn plan(&self, key: &str, max_tokens: usize) -> Plan {
        Plan {
            addresses: self.addresses(),
            organisation_key: HARBOUR_KEY.to_owned(),
            idempotency_key: key.to_owned(),
            model: "plan-1".to_owned(),
            prompt: siskinrock_standin::VOYAGE.to_owned(),
            max_tokens,
            patience_ms: 60_000,
        }
    }

    /// Sends a booking to one router.
    pub async fn book(&self, router: usize, key: &str, work_ms: u64) -> Reply {
        book(self.http.clone(), self.routers[router].addr.clone(), key.to_owned(), work_ms).await
    }

    /// How often the booking with this key ran.
    pub async fn runs(&self, key: &str) -> u64 {
        let url = format!("http://{}/runs", self.seats[0].addr);
        let counted: serde_json::Value =
            self.http.get(url).send().await.unwrap().json().await.unwrap();
        counted[format!("harbour-a/{key}")].as_u64().unwrap_or(0)
    }

    pub async fn engine_stats(&self, engine: usize) -> engine::Stats {
        let url = format!("http://{}/stats", self.engines[engine].addr);
        self.http.get(url).send().await.unwrap().json().await.unwrap()
    }

    /// The number of the engine that runs a stream now.
    pub async fn busy_engine(&self) -> usize {
        let mut found = None;
        wait_for("an engine runs a stream", || async {
            for engine in 0..self.engines.len() {
                if self.engine_is_busy(engine).await {
                    return Some(engine);
                }
            }
            None
        })
        .await
        .inspect(|engine| found = Some(*engine));
        found.expect("waited for")
    }

    async fn engine_is_busy(&self, engine: usize) -> bool {
        let addr = self.engines[engine].addr;
        let shown =
            self.ctl_ok(&format!("show requests where state = running and upstream = {addr}"));
        shown.lines().count() > 1
    }

    pub fn fault_platform(&self, order: &Order) {
        self.platform.fault(order);
    }

    pub async fn list_upstreams(&self, listed: &[Listed]) {
        let url = format!("http://{}/upstreams", self.platform.addr);
        self.http.put(url).json(listed).send().await.unwrap();
    }
}

/// What a booking got.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub code: String,
    pub ran: String,
    pub retry_after: Option<String>,
    pub body: serde_json::Value,
}

pub async fn book(http: reqwest::Client, addr: String, key: String, work_ms: u64) -> Reply {
    let body = serde_json::json!({ "seat": "K3-07", "who": "harbour-a", "work_ms": work_ms });
    let request = http.post(format!("http://{addr}/v1/services/booking/book"));
    let request = request.bearer_auth(HARBOUR_KEY).header("idempotency-key", key).json(&body);
    let Ok(response) = request.timeout(Duration::from_secs(15)).send().await else {
        let none = String::new();
        return Reply { status: 0, code: none.clone(), ran: none, retry_after: None, body };
    };
    let status = response.status().as_u16();
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.and_then(|value| value.to_str().ok()).map(str::to_owned);
    let body: serde_json::Value = response.json().await.unwrap_or_default();
    let word = |name: &str| body["error"][name].as_str().unwrap_or_default().to_owned();
    Reply { status, code: word("code"), ran: word("ran"), retry_after, body }
}

/// Waits until `condition` gives a value.
pub async fn wait_for<T, F, W>(what: &str, mut condition: F) -> Option<T>
where
    F: FnMut() -> W,
    W: Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = condition().await {
            return Some(value);
        }
        assert!(start.elapsed() < PATIENCE, "waited in vain: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

pub fn wait_for_blocking(what: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}
