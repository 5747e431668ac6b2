//! A site with gateways for one test.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};

use siskinrock_fakes::caller::{self, Call, Stream};
use siskinrock_fakes::engine::{EVENTS, event};
use siskinrock_fakes::process::{Process, wait_for};
use siskinrock_fakes::site::{self, Place, Site};

/// Each test of the run has ports and addresses of its own.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);
static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// The most addresses that callers are told.
const MOST_ADDRESSES: usize = 64;

/// A running site, its gateways and the folder of their files.
pub struct Running {
    pub site: Site,
    pub gateways: Vec<Process>,
    pub folder: PathBuf,
    pub place: Place,
}

/// Starts a site with so many gateways, and waits until all are ready.
pub async fn start(gateways: u8) -> Running {
    start_site(Site::start(2, 15).await, gateways).await
}

pub async fn start_site(site: Site, gateways: u8) -> Running {
    let number = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    // A network for each test of each run, below the ephemeral ports.
    let run = (std::process::id() % 100) as u8;
    let place = Place { network: [127, 1 + run, number as u8], base_port: 20_000, limits: None };
    let folder = std::env::temp_dir().join(format!("siskinrock-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
    let mut running = Running { site, gateways: Vec::new(), folder, place };
    for gateway in 0..gateways {
        running.add(gateway);
    }
    running.wait_until_ready().await;
    running
}

impl Running {
    /// Starts one more gateway.
    pub fn add(&mut self, number: u8) {
        self.add_before(number, self.site.store.addr);
    }

    /// Starts one more gateway, which reaches the store at an address.
    pub fn add_before(&mut self, number: u8, store: SocketAddr) {
        let binary = Path::new(env!("CARGO_BIN_EXE_siskinrock"));
        let seeds = [0, 1, 2];
        let process = Process::start(binary, &self.folder, number, self.place, store, &seeds);
        self.gateways.push(process);
    }

    /// Waits until all are ready and know of each other.
    pub async fn wait_until_ready(&self) {
        let all = self.gateways.len().min(MOST_ADDRESSES);
        for gateway in &self.gateways {
            wait_for("a gateway is ready and knows the others", async || {
                gateway.is_ready().await && gateway.addresses("-").await.len() == all
            })
            .await;
        }
    }

    /// Reads a stream from the first gateway while the test goes on.
    pub fn read_stream(&self, sent: &Call) -> tokio::task::JoinHandle<std::io::Result<Stream>> {
        let front = self.front(0);
        let sent = sent.clone();
        tokio::spawn(async move { caller::stream(front, &sent).await })
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        self.gateways[index].front
    }

    /// How often a request has run anywhere.
    pub fn runs_of(&self, id: &str) -> usize {
        let engines = self.site.engines.iter().flat_map(|engine| engine.seen());
        let services = self.site.services.iter().flat_map(|service| service.seen());
        let seen = engines.chain(services);
        seen.filter(|seen| seen.ran && seen.request.header("x-request-id") == Some(id)).count()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.gateways.clear();
        if std::thread::panicking() {
            eprintln!("the logs are kept in {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A name that no other request has.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::Relaxed))
}

/// A call on one of the usual routes.
pub fn call(method: &'static str, path: &str) -> Call {
    Call {
        method,
        path: path.to_owned(),
        host: site::HOST.to_owned(),
        id: new_id(),
        key: Some(site::KEY.to_owned()),
        deadline_ms: 5_000,
        last_event: None,
        resumes: None,
        shared_parts: Vec::new(),
        part: None,
        body: if method == "POST" { b"a body".to_vec() } else { Vec::new() },
    }
}

/// A stream on the route for plans.
pub fn plan() -> Call {
    let id = new_id();
    Call { part: Some(id.clone()), deadline_ms: 20_000, ..call("POST", "/plan/voyage") }
}

/// The whole text of a stream from after an event on.
pub fn whole_text(call: &Call, after: u64) -> String {
    let part = call.part.as_deref().unwrap_or_default();
    (after + 1..=EVENTS).map(|id| event(part, id)).collect()
}

/// The index of the engine that works on something.
pub async fn working_engine(running: &Running) -> usize {
    let engines = &running.site.engines;
    wait_for("an engine works", async || engines.iter().any(|engine| engine.working() > 0)).await;
    engines.iter().position(|engine| engine.working() > 0).unwrap()
}

/// Returns what the command line prints, whether it succeeds or fails.
pub async fn siskinrock(arguments: &[&str]) -> String {
    let binary = env!("CARGO_BIN_EXE_siskinrock");
    let output = tokio::process::Command::new(binary).args(arguments).output().await.unwrap();
    let text = [output.stdout, output.stderr].concat();
    String::from_utf8_lossy(&text).into_owned()
}
