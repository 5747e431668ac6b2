//! A gateway as a separate process, on a loopback address of its own.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use crate::caller::{self, Call};
use crate::site::{self, Place};

/// A condition that doesn't come true within this time fails its test.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long a gateway may take for a planned stop, as its settings say.
pub const GRACE: Duration = Duration::from_secs(4);
/// The pause between two looks.
const LOOK: Duration = Duration::from_millis(10);

/// A gateway's process.
pub struct Process {
    /// Its number, which its address and zone follow from.
    pub number: u8,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where callers ask for addresses.
    pub directory: SocketAddr,
    readiness: SocketAddr,
    binary: PathBuf,
    settings: PathBuf,
    /// What it logs.
    pub log: PathBuf,
    /// The descriptors that it may open, if its settings say it.
    descriptors: Option<u64>,
    child: Option<Child>,
}

impl Process {
    /// Writes the settings file of a gateway and starts it.
    pub fn start(
        binary: &Path,
        folder: &Path,
        number: u8,
        place: Place,
        store: SocketAddr,
        seeds: &[u8],
    ) -> Process {
        let settings = folder.join(format!("node-{number}.toml"));
        let text = site::boot(place, number, store, seeds, GRACE.as_secs_f64());
        std::fs::write(&settings, text).expect("the folder can be written");
        let Place { base_port, limits, .. } = place;
        let ip = place.ip(number);
        let mut process = Process {
            number,
            front: SocketAddr::from((ip, base_port)),
            directory: SocketAddr::from((ip, base_port + 6)),
            readiness: SocketAddr::from((ip, base_port + 9)),
            binary: binary.to_owned(),
            settings,
            log: folder.join(format!("node-{number}.log")),
            descriptors: limits.map(|limits| limits.descriptors),
            child: None,
        };
        process.restart();
        process
    }

    /// Changes a line of its settings file, which it reads when it starts again.
    pub fn set(&self, from: &str, to: &str) {
        let text = std::fs::read_to_string(&self.settings).expect("it was written");
        assert!(text.contains(from), "the settings have no {from}");
        std::fs::write(&self.settings, text.replace(from, to)).expect("the folder can be written");
    }

    /// Starts it again, if it has ended.
    pub fn restart(&mut self) {
        let log = std::fs::File::options().create(true).append(true).open(&self.log);
        let child = Command::new(&self.binary)
            .arg("gateway")
            .env("SISKINROCK_BOOT", &self.settings)
            .stdout(log.expect("the folder can be written"))
            .stdin(Stdio::null())
            .spawn();
        self.child = Some(child.expect("the binary was built"));
        if let Some(count) = self.descriptors {
            self.limit_descriptors(count);
        }
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            // SAFETY: the process was started here and has not been waited for.
            unsafe { libc::kill(child.id() as i32, signal) };
        }
    }

    /// Lets it open so many descriptors from now on.
    pub fn limit_descriptors(&self, count: u64) {
        if let Some(child) = &self.child {
            limit_descriptors(child.id(), count);
        }
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether it has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.take_end();
        self.child.is_none()
    }

    /// How it ended by itself, the first time that this is asked after its end.
    pub fn take_end(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok().flatten()?;
        self.child = None;
        Some(status)
    }

    /// Its process id, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// What it logged.
    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Whether it says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let call = question("/siskinrock/readyz".to_owned());
        let asked = tokio::time::timeout(PATIENCE, caller::send(self.readiness, &call)).await;
        asked.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status() == 200))
    }

    /// The addresses that it tells callers of a zone.
    pub async fn addresses(&self, zone: &str) -> Vec<SocketAddr> {
        let target = format!("/siskinrock/resolve?name={}&region=r&zone={zone}", site::HOST);
        let Ok(answer) = caller::send(self.directory, &question(target)).await else {
            return Vec::new();
        };
        let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
        let addresses = body["addresses"].as_array().cloned().unwrap_or_default();
        addresses.iter().filter_map(|addr| addr.as_str()?.parse().ok()).collect()
    }

    /// Its metrics as text.
    pub async fn metrics(&self) -> String {
        let addr = SocketAddr::new(self.front.ip(), 9_464);
        let answer = caller::send(addr, &question("/metrics".to_owned())).await;
        answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned()).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Lets a process open so many descriptors from now on.
pub fn limit_descriptors(pid: u32, count: u64) {
    let limit = libc::rlimit { rlim_cur: count, rlim_max: count };
    // SAFETY: the limit outlives the call, and nothing is written back.
    unsafe { libc::prlimit(pid as i32, libc::RLIMIT_NOFILE, &limit, std::ptr::null_mut()) };
}

fn question(target: String) -> Call {
    Call {
        method: "GET",
        path: target,
        host: site::HOST.to_owned(),
        id: "question".to_owned(),
        key: None,
        deadline_ms: 1_000,
        last_event: None,
        resumes: None,
        shared_parts: Vec::new(),
        part: None,
        body: Vec::new(),
    }
}

/// Waits until a condition holds.
///
/// # Panics
///
/// If it doesn't within the patience.
pub async fn wait_for(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let since = Instant::now();
    while !holds().await {
        assert!(since.elapsed() < PATIENCE, "waited in vain until {what}");
        tokio::time::sleep(LOOK).await;
    }
}
