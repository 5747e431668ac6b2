//! The configuration file of a gateway: routes, services, upstreams and organisations as TOML.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use serde::Deserialize;

use crate::error::{Kind, Result};
use crate::gateway::fleet::{SoftwareVersion, Upstream};
use crate::gateway::route::{Config, Engine, Limits, Organisation, Repeat, Route, Service, Target};

/// The path that tells whether an upstream is well, where the file names none: the usual one.
const HEALTH_PATH: &str = "/healthz";

/// Everything that the file says, checked.
#[derive(Debug, Clone)]
pub struct Document {
    /// The configuration.
    pub config: Arc<Config>,
    /// The upstreams; their list has the version of the configuration as its revision.
    pub upstreams: Vec<Upstream>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    version: u64,
    #[serde(default)]
    limits: LimitsEntry,
    #[serde(default)]
    service: Vec<ServiceEntry>,
    #[serde(default)]
    route: Vec<RouteEntry>,
    #[serde(default)]
    upstream: Vec<UpstreamEntry>,
    organisation: Option<Vec<OrganisationEntry>>,
}

#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct LimitsEntry {
    head_bytes: usize,
    body_bytes: usize,
    head_timeout_ms: u64,
    idle_timeout_ms: u64,
}

impl Default for LimitsEntry {
    fn default() -> LimitsEntry {
        let Limits { head_bytes, body_bytes, head_timeout_ms, idle_timeout_ms } = Limits::default();
        LimitsEntry { head_bytes, body_bytes, head_timeout_ms, idle_timeout_ms }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceEntry {
    name: Arc<str>,
    max_channels: Option<u32>,
    health_path: Option<Arc<str>>,
    engine: Option<EngineEntry>,
}

#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
#[derive(Default)]
struct EngineEntry {
    can_copy: bool,
    can_move: bool,
    copy_kept_ms: u64,
    models: Vec<Arc<str>>,
    memory_tokens: Option<u64>,
    slots: Option<u32>,
    event_tokens: Option<u64>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RouteEntry {
    name: Arc<str>,
    host: Arc<str>,
    path_prefix: Arc<str>,
    service: Option<Arc<str>>,
    #[serde(default)]
    targets: Vec<TargetEntry>,
    repeat: RepeatEntry,
    #[serde(default = "once")]
    max_attempts: u32,
    #[serde(default)]
    timeout_ms: u64,
    #[serde(default)]
    target_latency_ms: u64,
    #[serde(default)]
    target_gap_ms: u64,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    open: bool,
}

fn once() -> u32 {
    1
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct TargetEntry {
    service: Arc<str>,
    weight: u64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RepeatEntry {
    Never,
    Idempotent,
    ResumableStream,
    Stream,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct UpstreamEntry {
    id: Arc<str>,
    service: Arc<str>,
    address: SocketAddr,
    domain: Arc<str>,
    #[serde(default)]
    leaving: bool,
    /// The version of its software, if the operator tells versions apart.
    version: Option<Arc<str>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OrganisationEntry {
    name: Arc<str>,
    keys: Vec<Arc<str>>,
    priority: Option<u8>,
}

/// How the reader begins its message about a key that isn't there.
const MISSING: &str = "missing field";

/// Reads a configuration file.
///
/// # Errors
///
/// One error that lists every fault, each with its remedy.
pub fn read(path: &Path) -> Result<Document> {
    let shown = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|error| not_whole(format!("{shown} can't be read ({error}); check the path")))?;
    parse(&text)
}

/// Reads the text of a configuration file.
///
/// # Errors
///
/// As [`read`].
pub fn parse(text: &str) -> Result<Document> {
    let unreadable =
        |error: &toml::de::Error| format!("{}; mend the configuration file", error.message());
    let table: toml::Table = toml::from_str(text).map_err(|error| not_whole(unreadable(&error)))?;
    let file: File = table.try_into().map_err(|error: toml::de::Error| {
        // A file that is cut behind a line lacks what would follow.
        let is_cut = error.message().starts_with(MISSING);
        let fault = unreadable(&error);
        if is_cut { not_whole(fault) } else { self::fault(fault) }
    })?;
    let faults = check(&file);
    let missing = missing(&file);
    match (missing.is_empty(), faults.is_empty()) {
        (true, true) => Ok(document(file)),
        (true, false) => Err(Kind::Settings { faults }.into()),
        // What is missing may stand in what is still to be written, and is told beside the rest.
        (false, _) => {
            let faults = missing.into_iter().chain(faults).collect();
            Err(Kind::SettingsNotWhole { faults }.into())
        }
    }
}

fn not_whole(fault: String) -> crate::error::Error {
    Kind::SettingsNotWhole { faults: vec![fault] }.into()
}

fn fault(fault: String) -> crate::error::Error {
    Kind::Settings { faults: vec![fault] }.into()
}

/// A fault for each thing that isn't there, as in a file that is cut behind a line.
fn missing(file: &File) -> Vec<String> {
    let mut faults = Vec::new();
    let services: BTreeSet<&str> = file.service.iter().map(|service| &*service.name).collect();
    let mut check_service = |what: String, service: &str| {
        if !services.contains(service) {
            faults.push(format!("{what} names the service {service:?}; add it, or name another"));
        }
    };
    for route in &file.route {
        let targets = route.targets.iter().map(|target| &target.service);
        for service in route.service.iter().chain(targets) {
            check_service(format!("route {:?}", route.name), service);
        }
    }
    for upstream in &file.upstream {
        check_service(format!("upstream {:?}", upstream.id), &upstream.service);
    }
    let lost =
        file.route.iter().filter(|route| route.service.is_none() && route.targets.is_empty());
    faults.extend(lost.map(|route| {
        format!("route {:?} has neither service nor targets; give it one of them", route.name)
    }));
    faults
}

/// A fault for each thing that is never right.
fn check(file: &File) -> Vec<String> {
    let mut faults = Vec::new();
    for service in &file.service {
        faults.extend(check_engine(service));
    }
    for route in &file.route {
        faults.extend(check_route(route));
    }
    let names = file.service.iter().map(|service| &service.name);
    faults.extend(doubled("service", names));
    faults.extend(doubled("route", file.route.iter().map(|route| &route.name)));
    faults.extend(doubled("upstream", file.upstream.iter().map(|upstream| &upstream.id)));
    let keys = file.organisation.iter().flatten().flat_map(|organisation| &organisation.keys);
    if doubled("key", keys).next().is_some() {
        faults.push("a key belongs to two organisations; give each its own".to_owned());
    }
    faults
}

fn check_engine(service: &ServiceEntry) -> Vec<String> {
    let Some(engine) = &service.engine else { return Vec::new() };
    let numbers = [
        ("memory_tokens", engine.memory_tokens),
        ("slots", engine.slots.map(u64::from)),
        ("event_tokens", engine.event_tokens),
    ];
    let nothing = numbers.into_iter().filter(|(_, number)| *number == Some(0));
    let name = &service.name;
    let fault = |(field, _)| {
        format!("service {name:?} has an engine with {field} = 0; use 1 or more, or leave it out")
    };
    nothing.map(fault).collect()
}

fn check_route(route: &RouteEntry) -> Vec<String> {
    let mut faults = Vec::new();
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        faults.push(format!(
            "route {:?} has the prefix {prefix:?}; begin and end it with a slash",
            route.name
        ));
    }
    if route.service.is_some() && !route.targets.is_empty() {
        faults.push(format!("route {:?} has service and targets; keep one of them", route.name));
    }
    if route.max_attempts == 0 {
        faults.push(format!("route {:?} has no attempt; use 1 or more", route.name));
    }
    faults
}

/// A fault for each name that stands twice.
fn doubled<'a>(
    what: &'a str,
    names: impl Iterator<Item = &'a Arc<str>>,
) -> impl Iterator<Item = String> {
    let mut seen = BTreeSet::new();
    names
        .filter(move |name| !seen.insert(Arc::clone(name)))
        .map(move |name| format!("{what} {name:?} stands twice; rename one"))
}

fn document(file: File) -> Document {
    let LimitsEntry { head_bytes, body_bytes, head_timeout_ms, idle_timeout_ms } = file.limits;
    let services = file.service.into_iter().map(|entry| (entry.name.clone(), service(entry)));
    let config = Config {
        version: file.version,
        routes: file.route.into_iter().map(|entry| Arc::new(route(entry))).collect(),
        services: services.collect(),
        limits: Limits { head_bytes, body_bytes, head_timeout_ms, idle_timeout_ms },
        keys: file.organisation.map(keys),
    };
    let upstreams = file.upstream.into_iter().map(|entry| Upstream {
        id: entry.id,
        service: entry.service,
        addr: entry.address,
        domain: entry.domain,
        is_leaving: entry.leaving,
        born_ms: None,
        listed_at: 0,
        stated_at: 0,
        is_spot: false,
        version: entry.version.map_or(SoftwareVersion::Unversioned, SoftwareVersion::Named),
    });
    Document { config: Arc::new(config), upstreams: upstreams.collect() }
}

fn service(entry: ServiceEntry) -> Service {
    let engine = entry.engine.map(|engine| Engine {
        can_copy: engine.can_copy,
        can_move: engine.can_move,
        copy_kept_ms: engine.copy_kept_ms,
        models: engine.models,
        memory_tokens: engine.memory_tokens,
        slots: engine.slots,
        event_tokens: engine.event_tokens,
    });
    Service {
        max_channels: entry.max_channels.unwrap_or(u32::MAX),
        health_path: entry.health_path.unwrap_or_else(|| Arc::from(HEALTH_PATH)),
        engine,
        scaling: None,
    }
}

fn route(entry: RouteEntry) -> Route {
    let only = entry.service.map(|service| Target { service, weight: 1 });
    let targets =
        entry.targets.into_iter().map(|TargetEntry { service, weight }| Target { service, weight });
    Route {
        name: entry.name,
        host: entry.host,
        path_prefix: entry.path_prefix,
        targets: only.into_iter().chain(targets).collect(),
        repeat: match entry.repeat {
            RepeatEntry::Never => Repeat::Never,
            RepeatEntry::Idempotent => Repeat::Idempotent,
            RepeatEntry::ResumableStream => Repeat::Resumable,
            RepeatEntry::Stream => Repeat::OneStream,
        },
        max_attempts: entry.max_attempts,
        timeout_ms: entry.timeout_ms,
        target_latency_ms: entry.target_latency_ms,
        target_gap_ms: entry.target_gap_ms,
        priority: entry.priority,
        is_open: entry.open,
    }
}

fn keys(organisations: Vec<OrganisationEntry>) -> BTreeMap<Arc<str>, Organisation> {
    let mut keys = BTreeMap::new();
    for OrganisationEntry { name, keys: own, priority } in organisations {
        let organisation = Organisation { name, priority };
        keys.extend(own.into_iter().map(|key| (key, organisation.clone())));
    }
    keys
}
