//! A gateway as a separate process, on a loopback address of its own.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::caller::{self, Call};
use crate::output::{Output, Reading};
use crate::site::{self, Place};

/// A condition that doesn't come true within this time fails its test.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long a gateway may take for a planned stop, as its settings say.
pub const GRACE: Duration = Duration::from_secs(4);
/// The pause between two looks.
const LOOK: Duration = Duration::from_millis(10);

/// The port of the metrics, the same for all.
const METRICS_PORT: u16 = 9_464;

/// How a settings file is not whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Spoilt {
    /// There is none.
    Missing,
    /// It is empty.
    Empty,
    /// It has only so many hundredths of its bytes.
    Cut(u8),
}

/// What a gateway listens for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// Callers.
    Front,
    /// Callers that ask for addresses.
    Directory,
    /// Peers.
    Control,
    /// Who asks whether it is ready.
    Readiness,
    /// Who asks for its metrics.
    Metrics,
}

/// A port that another holds.
#[allow(dead_code, reason = "they are held, not used")]
pub struct Taken(Option<TcpListener>, Option<UdpSocket>);

/// A gateway's process.
pub struct Process {
    /// Its number, which its address and zone follow from.
    pub number: u8,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where callers ask for addresses.
    pub directory: SocketAddr,
    /// Where peers reach it.
    pub control: SocketAddr,
    readiness: SocketAddr,
    binary: PathBuf,
    settings: PathBuf,
    /// The settings when they are whole.
    whole: Mutex<String>,
    /// What it logs.
    pub log: PathBuf,
    /// The descriptors that it may open, if its settings say it.
    descriptors: Option<u64>,
    /// The pipe that it writes to, if it doesn't write to its log itself.
    output: Option<Output>,
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
        let mut process = Process::new(binary, folder, number, place, store, seeds);
        process.restart();
        process
    }

    /// Writes the settings file of a gateway.
    pub fn new(
        binary: &Path,
        folder: &Path,
        number: u8,
        place: Place,
        store: SocketAddr,
        seeds: &[u8],
    ) -> Process {
        let settings = folder.join(format!("node-{number}.toml"));
        let text = site::boot(place, number, store, seeds, GRACE.as_secs_f64());
        std::fs::write(&settings, &text).expect("the folder can be written");
        let Place { base_port, limits, .. } = place;
        let ip = place.ip(number);
        Process {
            number,
            front: SocketAddr::from((ip, base_port)),
            directory: SocketAddr::from((ip, base_port + 6)),
            control: SocketAddr::from((ip, base_port + 8)),
            readiness: SocketAddr::from((ip, base_port + 9)),
            binary: binary.to_owned(),
            settings,
            whole: Mutex::new(text),
            log: folder.join(format!("node-{number}.log")),
            descriptors: limits.map(|limits| limits.descriptors),
            output: None,
            child: None,
        }
    }

    /// Has it write to a pipe from its next start on, whose reader writes the log.
    pub fn pipe_output(&mut self) {
        self.output = Some(Output::start(self.log.with_extension("pipe"), &self.log));
    }

    /// Has the reader of its output do this from now on; without one, its log can't grow meanwhile.
    pub fn set_reading(&self, reading: Reading) {
        match (&self.output, &self.child) {
            (Some(output), _) => output.set(reading),
            (None, Some(child)) => {
                let most = if reading == Reading::Reads { libc::RLIM_INFINITY } else { 0 };
                let limit = libc::rlimit { rlim_cur: most, rlim_max: libc::RLIM_INFINITY };
                set_limit(child.id(), libc::RLIMIT_FSIZE, limit);
            }
            (None, None) => {}
        }
    }

    /// Leaves its settings file as one that is being written.
    pub fn spoil_settings(&self, spoilt: Spoilt) {
        let whole = self.whole.lock().expect("no holder panics");
        std::fs::write(self.whole_copy(), &*whole).expect("the folder can be written");
        let kept_bytes = match spoilt {
            Spoilt::Missing => {
                // It may be missing already.
                let _ = std::fs::remove_file(&self.settings);
                return;
            }
            Spoilt::Empty => 0,
            Spoilt::Cut(hundredths) => whole.len() * usize::from(hundredths) / 100,
        };
        let kept = &whole.as_bytes()[..kept_bytes];
        std::fs::write(&self.settings, kept).expect("the folder can be written");
    }

    /// Has its settings file whole again, at once: a disk may stand still in the middle of a write.
    pub fn mend_settings(&self) {
        let _whole = self.whole.lock().expect("no holder panics");
        // Another may have mended it.
        let _ = std::fs::rename(self.whole_copy(), &self.settings);
    }

    fn whole_copy(&self) -> PathBuf {
        self.settings.with_extension("whole")
    }

    /// Takes one of its ports, if it is free.
    pub fn take_port(&self, port: Port) -> Taken {
        let addr = match port {
            Port::Front => self.front,
            Port::Directory => self.directory,
            Port::Control => self.control,
            Port::Readiness => self.readiness,
            Port::Metrics => SocketAddr::new(self.front.ip(), METRICS_PORT),
        };
        let udp = (port == Port::Control).then(|| UdpSocket::bind(addr).ok()).flatten();
        Taken(TcpListener::bind(addr).ok(), udp)
    }

    /// Changes a line of its settings file, which it reads when it starts again.
    pub fn set(&self, from: &str, to: &str) {
        let mut whole = self.whole.lock().expect("no holder panics");
        assert!(whole.contains(from), "the settings have no {from}");
        *whole = whole.replace(from, to);
        std::fs::write(&self.settings, &*whole).expect("the folder can be written");
    }

    /// Starts it again, if it has ended.
    pub fn restart(&mut self) {
        let log = || {
            let log = std::fs::File::options().create(true).append(true).open(&self.log);
            Stdio::from(log.expect("the folder can be written"))
        };
        let child = Command::new(&self.binary)
            .arg("gateway")
            .env("SISKINROCK_BOOT", &self.settings)
            .stdout(self.output.as_ref().map_or_else(log, Output::writer))
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
        let addr = SocketAddr::new(self.front.ip(), METRICS_PORT);
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
    set_limit(pid, libc::RLIMIT_NOFILE, libc::rlimit { rlim_cur: count, rlim_max: count });
}

fn set_limit(pid: u32, resource: libc::__rlimit_resource_t, limit: libc::rlimit) {
    // SAFETY: the limit outlives the call, and nothing is written back.
    unsafe { libc::prlimit(pid as i32, resource, &limit, std::ptr::null_mut()) };
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
