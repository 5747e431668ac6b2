//! A gateway before one engine and one plain service, by its own configuration file.

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use siskinrock::gateway::membership::Phase;
use siskinrock::gateway::native::{self, file, wire};
use siskinrock::gateway::server::Gateway;
use siskinrock::gateway::settings::Settings;
use siskinrock::log;

/// A running gateway; its configuration file goes with it.
pub struct Forwarder {
    /// Where callers reach it.
    pub addr: SocketAddr,
    _gateway: Gateway,
    config: PathBuf,
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        // A file that stays in the temporary folder harms nobody.
        let _ = std::fs::remove_file(&self.config);
    }
}

/// Starts one, and waits until it is ready.
pub async fn start(engine: SocketAddr, seats: SocketAddr) -> Forwarder {
    let (addr, peer) = (free(), free());
    let config = std::env::temp_dir().join(format!("siskinrock-bench-{}.toml", addr.port()));
    std::fs::write(&config, configuration(engine, seats)).expect("the file can be written");
    let settings = Settings {
        id: Arc::from("forwarder"),
        domain: Arc::from("hall"),
        keys: native::settings::KEYS,
        front: addr,
        readiness: None,
        directory: None,
        peer,
        upstream_source: None,
        metrics: None,
        directory_addrs: Vec::new(),
        link_mbps: 0,
        machine: siskinrock::machine::usual(),
        reports_usage: false,
        seeds: Vec::new(),
        keep_ms: 5_000,
        grace_ms: 1_000,
        repeat_ratio: 0.2,
        repeat_slack: 20.0,
        repeat_window_ms: 10_000,
        log: slog::Level::Warning,
    };
    let path = config.clone();
    let make = Box::new(move || {
        let directory: Box<dyn siskinrock::gateway::directory::Directory> =
            Box::new(file::File::new(path));
        directory
    });
    let gateway = Gateway::start(settings, Arc::new(wire::Wire), make, log::discard());
    let gateway = gateway.expect("a gateway starts");
    while gateway.shared.view.load().phase != Phase::Ready {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    Forwarder { addr, _gateway: gateway, config }
}

fn free() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    listener.local_addr().expect("a listener has an address")
}

fn configuration(engine: SocketAddr, seats: SocketAddr) -> String {
    let ip = engine.ip();
    format!(
        r#"version = 1
[[service]]
name = "planning"
[[service]]
name = "booking"
[[route]]
name = "plans"
host = "{ip}"
path_prefix = "/v1/"
service = "planning"
repeat = "stream"
[[route]]
name = "seats"
host = "{ip}"
path_prefix = "/"
service = "booking"
repeat = "never"
[[upstream]]
id = "engine"
service = "planning"
address = "{engine}"
domain = "hall"
[[upstream]]
id = "seats"
service = "booking"
address = "{seats}"
domain = "hall"
"#
    )
}
