//! The settings of a gateway as flags and environment variables.

use std::ffi::OsString;
use std::path::PathBuf;

use crate::error::Result;
use crate::gateway::settings::{AddressKeys, Settings};
use crate::settings::{Environment, Reader};

/// The help of `siskinrock gateway`.
pub const HELP: &str = "\
siskinrock gateway: forward by routes, as a configuration file says

USAGE: siskinrock gateway [FLAGS]      (without flags, the platform's settings file is read)

Each flag can also be set by the environment variable beside it; the flag wins.

  --id NAME             SISKINROCK_ID             unique name of this instance (required)
  --domain NAME         SISKINROCK_DOMAIN         its failure domain (required)
  --config FILE         SISKINROCK_CONFIG         routes, services, upstreams, keys (required)
  --front IP:PORT       SISKINROCK_FRONT          where callers send requests [127.0.0.1:7410]
  --peer IP:PORT        SISKINROCK_PEER           where peers reach it, TCP and UDP [127.0.0.1:7411]
  --directory IP:PORT   SISKINROCK_DIRECTORY      where callers ask for addresses [nowhere]
  --upstream-source IP  SISKINROCK_UPSTREAM_SOURCE where it connects to upstreams from [chosen by the system]
  --metrics IP:PORT     SISKINROCK_METRICS        where its metrics are served [nowhere]
  --link-mbps N         SISKINROCK_LINK_MBPS      the speed of its link, 0 if not known [0]
  --memory-mb N         SISKINROCK_MEMORY_MB      the memory that it may use; callers get parts of it [256]
  --max-fds N           SISKINROCK_MAX_FDS        the descriptors that it may open [the limit of the process]
  --seeds ADDRS         SISKINROCK_SEEDS          peers to begin with, with commas
  --keep-ms N           SISKINROCK_KEEP_MS        how long callers keep an address [5000]
  --grace-ms N          SISKINROCK_GRACE_MS       how long a planned stop may take [30000]
  --repeat-percent N    SISKINROCK_REPEAT_PERCENT repeats for 100 requests of a service [20]
  --log LEVEL           SISKINROCK_LOG            error, warning, info or debug [info]
";

/// The flags of the addresses; the readiness is told where callers ask for addresses.
pub const KEYS: AddressKeys = AddressKeys {
    front: "--front",
    readiness: "--directory",
    directory: "--directory",
    peer: "--peer",
    upstream_source: "--upstream-source",
    metrics: "--metrics",
};
/// Repeats beyond the ratio, over all instances: a service with few requests may still repeat some.
const REPEAT_SLACK: f64 = 20.0;
/// The window in which repeats are counted: long enough for a crash to be worked off in it.
const REPEAT_WINDOW_MS: u64 = 10_000;

/// The settings of a gateway and where its configuration is.
#[derive(Debug, Clone)]
pub struct Native {
    /// What the gateway itself needs.
    pub gateway: Settings,
    /// The configuration file.
    pub config: PathBuf,
}

/// Reads and checks all settings.
///
/// # Errors
///
/// One error that lists every fault, each with its remedy.
pub fn read(arguments: Vec<OsString>, environment: Environment<'_>) -> Result<Native> {
    let mut reader = Reader::new(arguments, environment, "gateway", HELP);
    let settings = native(&mut reader);
    reader.finish(settings)
}

fn native(reader: &mut Reader<'_>) -> Option<Native> {
    const ADDRESS: &str = "an address such as 10.0.0.5:7410";
    let id = reader.name("--id");
    let domain = reader.name("--domain");
    let config = reader.required("--config");
    let front = reader.parsed("--front", "127.0.0.1:7410", ADDRESS);
    let peer = reader.parsed("--peer", "127.0.0.1:7411", ADDRESS);
    let directory = reader.optional("--directory", ADDRESS);
    let upstream_source = reader.optional("--upstream-source", "an address such as 10.0.0.5");
    let metrics = reader.optional("--metrics", ADDRESS);
    let link_mbps = reader.within("--link-mbps", 0, 0, 1_000_000);
    let machine = reader.machine();
    let seeds = reader.addresses("--seeds");
    let keep_ms = reader.within("--keep-ms", 5_000, 100, 600_000);
    let grace_ms = reader.within("--grace-ms", 30_000, 500, 600_000);
    let repeat_percent = reader.within("--repeat-percent", 20, 0, 1_000);
    let log = reader.parsed("--log", "info", "error, warning, info or debug");
    Some(Native {
        gateway: Settings {
            id: id?,
            domain: domain?,
            keys: KEYS,
            front: front?,
            readiness: directory,
            directory,
            peer: peer?,
            upstream_source,
            metrics,
            directory_addrs: Vec::new(),
            link_mbps: link_mbps? as u32,
            machine: machine?,
            reports_usage: false,
            seeds,
            keep_ms: keep_ms?,
            grace_ms: grace_ms?,
            repeat_ratio: repeat_percent? as f64 / 100.0,
            repeat_slack: REPEAT_SLACK,
            repeat_window_ms: REPEAT_WINDOW_MS,
            log: log?,
        },
        config: PathBuf::from(config?),
    })
}
