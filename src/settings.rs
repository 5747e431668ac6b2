//! The settings of an instance: flags, then environment variables, checked together at start.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::error::{Kind, Result};
use crate::gateway::policy::caller_limits::Machine;
use crate::machine;

/// The help of `siskinrock router`.
pub const HELP: &str = "\
siskinrock router: serve callers, operators and peers

USAGE: siskinrock router [FLAGS]      (siskinrock check [FLAGS] only checks them)

Each flag can also be set by the environment variable beside it; the flag wins.

  --id NAME             SISKINROCK_ID             unique name of this instance (required)
  --domain NAME         SISKINROCK_DOMAIN         its failure domain (required)
  --listen IP:PORT      SISKINROCK_LISTEN         where to listen [127.0.0.1:7400]
  --advertise IP:PORT   SISKINROCK_ADVERTISE      where others reach it [the --listen address]
  --store URL           SISKINROCK_STORE          the platform's service, http://IP:PORT (required)
  --seeds ADDRS         SISKINROCK_SEEDS          peers to ask while the store is down, with commas
  --peer-key KEY        SISKINROCK_PEER_KEY       shared by all instances (required)
  --operator-key KEY    SISKINROCK_OPERATOR_KEY   shared by the operators (required)
  --tick-ms N           SISKINROCK_TICK_MS        period of peer exchanges and load polls [500]
  --horizon-ms N        SISKINROCK_HORIZON_MS     how long callers may retry with one key [600000]
  --keep-ms N           SISKINROCK_KEEP_MS        how long callers keep an address [5000]
  --threads N           SISKINROCK_THREADS        threads each for calls and for streams [2]
  --answer-mb N         SISKINROCK_ANSWER_MB      kept answers of one organisation [64]
  --memory-mb N         SISKINROCK_MEMORY_MB      the memory that it may use; callers get parts of it [256]
  --max-fds N           SISKINROCK_MAX_FDS        the descriptors that it may open [the limit of the process]
  --statsd IP:PORT      SISKINROCK_STATSD         where to send metrics [nowhere]
  --log LEVEL           SISKINROCK_LOG            error, warning, info or debug [info]
";

/// The settings of an instance, checked.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its unique name.
    pub id: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where callers and peers reach it.
    pub advertise: SocketAddr,
    /// The base address of the platform's service.
    pub store: String,
    /// Peers to ask while the store is down.
    pub seeds: Vec<Arc<str>>,
    /// What instances show each other.
    pub peer_key: String,
    /// What operators show.
    pub operator_key: String,
    /// The period of exchanges with peers and of load polls.
    pub tick_ms: u64,
    /// How long callers may retry with one key.
    pub horizon_ms: u64,
    /// How long callers keep an address.
    pub keep_ms: u64,
    /// Threads for calls, and as many again for streams.
    pub threads: usize,
    /// Bytes of kept answers of one organisation.
    pub organisation_bytes: usize,
    /// The memory and the descriptors that it may use.
    pub machine: Machine,
    /// Where metrics go.
    pub statsd: Option<SocketAddr>,
    /// The least severe log records that are written.
    pub log: slog::Level,
}

/// Looks up an environment variable.
pub type Environment<'a> = &'a dyn Fn(&str) -> Option<String>;

impl Settings {
    /// Reads and checks all settings.
    ///
    /// # Errors
    ///
    /// One error that lists every fault, each with its remedy.
    pub fn read(arguments: Vec<OsString>, environment: Environment<'_>) -> Result<Settings> {
        let mut reader = Reader::new(arguments, environment, "router", HELP);
        let settings = reader.settings();
        reader.finish(settings)
    }
}

/// Reads flags and environment variables, and gathers every fault.
pub(crate) struct Reader<'a> {
    arguments: pico_args::Arguments,
    environment: Environment<'a>,
    command: &'static str,
    help: &'static str,
    faults: Vec<String>,
}

impl<'a> Reader<'a> {
    /// A reader of the flags of a command, which its help names.
    pub(crate) fn new(
        arguments: Vec<OsString>,
        environment: Environment<'a>,
        command: &'static str,
        help: &'static str,
    ) -> Reader<'a> {
        let arguments = pico_args::Arguments::from_vec(arguments);
        Reader { arguments, environment, command, help, faults: Vec::new() }
    }

    /// The settings, if there was no fault.
    pub(crate) fn finish<T>(mut self, settings: Option<T>) -> Result<T> {
        self.refuse_rest();
        match settings {
            Some(settings) if self.faults.is_empty() => Ok(settings),
            _ => Err(Kind::Settings { faults: self.faults }.into()),
        }
    }

    fn settings(&mut self) -> Option<Settings> {
        let id = self.name("--id");
        let domain = self.name("--domain");
        let listen = self.parsed("--listen", "127.0.0.1:7400", "an address such as 10.0.0.5:7400");
        let advertise = self.optional("--advertise", "an address such as 10.0.0.5:7400");
        let store = self.store();
        let seeds = self.value("--seeds").unwrap_or_default();
        let peer_key = self.secret("--peer-key");
        let operator_key = self.secret("--operator-key");
        let tick_ms = self.within("--tick-ms", 500, 50, 10_000);
        let horizon_ms = self.within("--horizon-ms", 600_000, 1_000, 86_400_000);
        let keep_ms = self.within("--keep-ms", 5_000, 100, 600_000);
        let threads = self.within("--threads", 2, 1, 256);
        let answer_mb = self.within("--answer-mb", 64, 1, 65_536);
        let machine = self.machine();
        let statsd = self.optional("--statsd", "an address such as 10.0.0.9:8125");
        let log = self.parsed("--log", "info", "error, warning, info or debug");
        let listen = listen?;
        Some(Settings {
            id: id?,
            domain: domain?,
            listen,
            advertise: advertise.unwrap_or(listen),
            store: store?,
            seeds: seeds.split(',').filter(|seed| !seed.is_empty()).map(Arc::from).collect(),
            peer_key: peer_key?,
            operator_key: operator_key?,
            tick_ms: tick_ms?,
            horizon_ms: horizon_ms?,
            keep_ms: keep_ms?,
            threads: threads? as usize,
            organisation_bytes: (answer_mb? as usize) << 20,
            machine: machine?,
            statsd,
            log: log?,
        })
    }

    /// The memory and the descriptors that the process may use.
    pub(crate) fn machine(&mut self) -> Option<Machine> {
        let usual = machine::usual();
        let memory_mb = self.within("--memory-mb", (usual.memory_bytes >> 20) as u64, 32, 1 << 20);
        let max_fds = self.within("--max-fds", usual.descriptors as u64, 64, 1 << 20);
        Some(Machine { memory_bytes: (memory_mb? as usize) << 20, descriptors: max_fds? as usize })
    }

    fn value(&mut self, flag: &'static str) -> Option<String> {
        match self.arguments.opt_value_from_str::<_, String>(flag) {
            Ok(Some(value)) => Some(value),
            Ok(None) => (self.environment)(&variable(flag)),
            Err(_) => {
                self.faults.push(format!("{flag} has no value; write one after it"));
                None
            }
        }
    }

    pub(crate) fn required(&mut self, flag: &'static str) -> Option<String> {
        let value = self.value(flag).filter(|value| !value.is_empty());
        if value.is_none() {
            self.faults.push(format!("{flag} is missing; give it, or set {}", variable(flag)));
        }
        value
    }

    pub(crate) fn name(&mut self, flag: &'static str) -> Option<Arc<str>> {
        let name = self.required(flag)?;
        let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_' || c == '.';
        if name.chars().all(is_plain) {
            return Some(Arc::from(name));
        }
        self.faults.push(format!("{flag} {name:?} is no name; use letters, digits, '-', '_', '.'"));
        None
    }

    fn secret(&mut self, flag: &'static str) -> Option<String> {
        const SHORTEST: usize = 16;
        let key = self.required(flag)?;
        if key.len() >= SHORTEST {
            return Some(key);
        }
        self.faults.push(format!("{flag} is short; use at least {SHORTEST} random characters"));
        None
    }

    fn store(&mut self) -> Option<String> {
        let url = self.required("--store")?;
        if url.starts_with("http://") {
            return Some(url.trim_end_matches('/').to_owned());
        }
        self.faults.push(format!("--store {url:?} is no address; write http://IP:PORT"));
        None
    }

    pub(crate) fn parsed<T: std::str::FromStr>(
        &mut self,
        flag: &'static str,
        default: &str,
        form: &str,
    ) -> Option<T> {
        let value = self.value(flag).unwrap_or_else(|| default.to_owned());
        let parsed = value.parse().ok();
        if parsed.is_none() {
            self.faults.push(format!("{flag} {value:?} can't be read; write {form}"));
        }
        parsed
    }

    pub(crate) fn optional<T: std::str::FromStr>(
        &mut self,
        flag: &'static str,
        form: &str,
    ) -> Option<T> {
        let value = self.value(flag)?;
        let parsed = value.parse().ok();
        if parsed.is_none() {
            self.faults.push(format!("{flag} {value:?} can't be read; write {form}"));
        }
        parsed
    }

    pub(crate) fn within(
        &mut self,
        flag: &'static str,
        default: u64,
        least: u64,
        most: u64,
    ) -> Option<u64> {
        let value = self.value(flag).unwrap_or_else(|| default.to_string());
        match value.parse::<u64>() {
            Ok(number) if (least..=most).contains(&number) => Some(number),
            _ => {
                let fault = format!("{flag} {value:?} is out of range; use {least} to {most}");
                self.faults.push(fault);
                None
            }
        }
    }

    /// Addresses with commas between them.
    pub(crate) fn addresses(&mut self, flag: &'static str) -> Vec<SocketAddr> {
        let value = self.value(flag).unwrap_or_default();
        let mut addresses = Vec::new();
        for part in value.split(',').filter(|part| !part.is_empty()) {
            match part.parse() {
                Ok(address) => addresses.push(address),
                Err(_) => {
                    self.faults.push(format!("{flag} {part:?} is no address; write IP:PORT"));
                }
            }
        }
        addresses
    }

    fn refuse_rest(&mut self) {
        let rest = std::mem::replace(&mut self.arguments, pico_args::Arguments::from_vec(vec![]));
        let command = self.command;
        for argument in rest.finish() {
            let argument = argument.to_string_lossy().into_owned();
            let known = self.help.split_whitespace().filter(|word| word.starts_with("--"));
            let hint = crate::error::did_you_mean(&argument, known);
            self.faults
                .push(format!("{argument:?} is no flag{hint}; see siskinrock {command} --help"));
        }
    }
}

fn variable(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_").to_uppercase();
    format!("SISKINROCK_{name}")
}
