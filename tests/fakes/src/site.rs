//! A small site: a store, engines and services in three zones, and settings files for gateways.

use std::net::{Ipv4Addr, SocketAddr};

use serde_json::{Value, json};

use crate::engine::EngineFake;
use crate::links::Cut;
use crate::service::ServiceFake;
use crate::store::Store;

/// The zones.
pub const ZONES: [&str; 3] = ["ranong-hall", "phuket-hall", "krabi-hall"];
/// The host of all routes.
pub const HOST: &str = "ficu95.example";
/// The key of the first organisation.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";
/// A key that later configurations take away.
pub const SECOND_KEY: &str = "wsjnbanfqasnmgkcuyj8";

/// A running site.
pub struct Site {
    /// Its store.
    pub store: Store,
    /// Model engines, two a zone.
    pub engines: Vec<EngineFake>,
    /// Plain services, one a zone.
    pub services: Vec<ServiceFake>,
}

impl Site {
    /// Starts everything and lists it in the store.
    pub async fn start(engines_a_zone: usize, step_ms: u64) -> Site {
        let store = Store::start("127.0.0.1:0").await;
        let mut engines = Vec::new();
        let mut services = Vec::new();
        for zone in ZONES {
            for number in 0..engines_a_zone {
                engines.push(EngineFake::start(&format!("i-{zone}-{number}"), step_ms).await);
            }
            services.push(ServiceFake::start(&format!("s-{zone}")).await);
        }
        for engine in &engines {
            engine.meet(&engines);
        }
        let site = Site { store, engines, services };
        site.store.put("op/config", &config(2, &[KEY, SECOND_KEY], &[]));
        for index in 0..site.engines.len() {
            site.list_engine(index, "ready");
        }
        for index in 0..site.services.len() {
            site.list_service(index, "ready");
        }
        site
    }

    /// The zone of an engine.
    pub fn engine_zone(&self, index: usize) -> &'static str {
        ZONES[index * ZONES.len() / self.engines.len()]
    }

    /// Cuts the links between all upstreams and these addresses, and joins all others.
    pub fn cut_from(&self, sources: &[Ipv4Addr], how: Cut) {
        let engines = self.engines.iter().map(|engine| &engine.process);
        let services = self.services.iter().map(|service| &service.process);
        engines.chain(services).for_each(|process| process.cut_from(sources, how));
    }

    /// Writes an engine's entry.
    pub fn list_engine(&self, index: usize, state: &str) {
        let engine = &self.engines[index];
        let mut entry = server_entry("plan-llm", self.engine_zone(index), state, engine.addr);
        entry["version"] = json!(engine.version());
        self.store.put(&format!("servers/{}", engine.current_id()), &entry);
    }

    /// Writes a service's entry.
    pub fn list_service(&self, index: usize, state: &str) {
        let service = &self.services[index];
        let entry = server_entry("booking-app", ZONES[index], state, service.addr);
        self.store.put(&format!("servers/{}", service.current_id()), &entry);
    }
}

/// What a server writes about itself in the store.
pub fn server_entry(service: &str, zone: &str, state: &str, addr: SocketAddr) -> Value {
    json!({"backend": service, "address": addr.to_string(), "zone": zone, "version": "v1",
        "slots": 8, "state": state, "cold-remaining-ms": 0, "sequence": 1})
}

/// A configuration with the usual routes and some further ones.
pub fn config(version: u64, keys: &[&str], more: &[&str]) -> Value {
    let route =
        |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32, timeout: u64| {
            json!({"name": name, "hostname": HOST, "path-prefix": prefix, "kind": kind,
            "timeout-ms": timeout, "target-latency-ms": 150, "priority": 1, "backend": service,
            "max-attempts": attempts, "allow-anonymous": false})
        };
    let mut plan = route("plan", "/plan/", "streaming", "plan-llm", 5, 20_000);
    plan["stream-resume"] = json!(true);
    plan["target-gap-ms"] = json!(700);
    let mut routes = vec![
        plan,
        route("once", "/plan/once/", "streaming", "plan-llm", 5, 20_000),
        route("book", "/book/", "non_idempotent", "booking-app", 1, 1_200),
        route("look", "/look/", "idempotent", "booking-app", 2, 1_200),
    ];
    for name in more {
        routes.push(route(name, &format!("/{name}/"), "idempotent", "booking-app", 2, 1_200));
    }
    json!({"version": version, "routes": routes,
        "backends": [
            {"name": "plan-llm", "health-check-path": "/healthz", "max-connections": 210,
                "protocol": "h1", "tls": false,
                "engine": {"slots": 24, "kv-capacity": 55000, "moves": true, "backups": true,
                    "handle-s": 4.0, "models": [{"name": "m"}]}},
            {"name": "booking-app", "health-check-path": "/healthz", "max-connections": 110,
                "protocol": "h1", "tls": false}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 100_000,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": "huka270", "api-keys": keys, "priority": 1}]})
}

/// Where the gateways of a site listen; no two sites that run at once share a network.
#[derive(Debug, Clone, Copy)]
pub struct Place {
    /// The first three numbers of all addresses.
    pub network: [u8; 3],
    /// The port for callers; others follow from it.
    pub base_port: u16,
    /// What the machine of each gateway has, if the settings say it.
    pub limits: Option<Limits>,
}

/// What the machine of a gateway has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Its memory.
    pub memory_mb: u64,
    /// The descriptors that a process may open.
    pub descriptors: u64,
}

/// A machine of the platform.
pub const MACHINE: Limits = Limits { memory_mb: 260, descriptors: 4_100 };

impl Place {
    /// The address of a gateway.
    pub fn ip(&self, number: u8) -> std::net::Ipv4Addr {
        let [a, b, c] = self.network;
        std::net::Ipv4Addr::new(a, b, c, number + 1)
    }
}

/// The settings file of one gateway, which listens on an address of its own.
pub fn boot(place: Place, number: u8, store: SocketAddr, seeds: &[u8], grace_s: f64) -> String {
    let base_port = place.base_port;
    let ip = place.ip(number);
    let seeds: Vec<String> =
        seeds.iter().map(|seed| format!("\"{}:{}\"", place.ip(*seed), base_port + 8)).collect();
    let zone = ZONES[usize::from(number) % ZONES.len()];
    let limits = place.limits.map_or(String::new(), |Limits { memory_mb, descriptors }| {
        format!("[limits]\nmemory-mb = {memory_mb}\nmax-fds = {descriptors}\n")
    });
    format!(
        r#"node-name = "edge-{number}"
zone = "{zone}"
ip = "{ip}"
port-range = [{}, {}]
seeds = [{}]
[listen]
front = "{ip}:{base_port}"
readiness = "{ip}:{}"
control = "{ip}:{}"
directory = "{ip}:{}"
upstream-source = "{ip}"
[bounds]
grace-s = {grace_s:.1}
retry-budget-ratio = 0.8
budget-window-s = 10
retry-slack = 150
ttl_max_s = 5
{limits}[provider]
address = "{store}"
"#,
        base_port + 20,
        base_port + 35,
        seeds.join(","),
        base_port + 9,
        base_port + 8,
        base_port + 6,
    )
}
