//! The configuration of a gateway: routes, services, organisations and limits.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// One accepted version of everything that operators set.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Config {
    /// Grows with every accepted change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// The services that routes lead to.
    pub services: BTreeMap<Arc<str>, Service>,
    /// What callers may send.
    pub limits: Limits,
    /// The organisation of each key; `None` where callers need no key at all.
    pub keys: Option<BTreeMap<Arc<str>, Organisation>>,
}

/// Where requests of a host and path go, and how they may be tried.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: Arc<str>,
    /// What the path begins with; ends with a slash.
    pub path_prefix: Arc<str>,
    /// The services, by weight.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub repeat: Repeat,
    /// How many upstreams one request may be sent to.
    pub max_attempts: u32,
    /// The longest that a caller is kept waiting.
    pub timeout_ms: u64,
    /// The time within which an answer, or its first event, is on time.
    pub target_latency_ms: u64,
    /// The longest pause between events that is still on time.
    pub target_gap_ms: u64,
    /// Its rank; 0 is the highest.
    pub priority: u8,
    /// Whether callers need no key here.
    pub is_open: bool,
}

/// A service that takes a part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: Arc<str>,
    /// Its part, against the sum of all.
    pub weight: u64,
}

/// What may be done again for one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Repeat {
    /// It may run more than once.
    Idempotent,
    /// It may run once at most.
    Never,
    /// A series of events that may go on elsewhere after the last one.
    Resumable,
    /// A series of events that may not.
    OneStream,
}

impl Repeat {
    /// Whether the answer is a series of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Repeat::Resumable | Repeat::OneStream)
    }

    /// Whether it may be sent again although it may have run.
    pub fn is_safe(self) -> bool {
        matches!(self, Repeat::Idempotent | Repeat::Resumable)
    }
}

/// A service and what its upstreams bear.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Channels that one upstream accepts from all instances together.
    pub max_channels: u32,
    /// The path that tells whether one of its upstreams is well, and which one it is.
    pub health_path: Arc<str>,
    /// What its model engines are, if it has any.
    pub engine: Option<Engine>,
    /// How many workers it may have, if that is ordered.
    pub scaling: Option<Scaling>,
}

/// The terms on which workers of a service are ordered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Scaling {
    /// The fewest workers of a failure domain, of both kinds together.
    pub least: u32,
    /// The most.
    pub most: u32,
    /// How long a worker takes to start.
    pub boot_ms: u64,
    /// What a worker that may be reclaimed costs, against an ordinary one; 1 where there are none.
    pub spot_price: f64,
    /// What a worker costs, by failure domain.
    pub prices: BTreeMap<Arc<str>, f64>,
}

impl Scaling {
    /// Whether the terms make sense; by others, nothing is ordered.
    pub fn is_sound(&self) -> bool {
        let has_prices = !self.prices.is_empty() && self.prices.values().all(|price| *price >= 0.0);
        self.least <= self.most && self.most > 0 && self.spot_price >= 0.0 && has_prices
    }
}

/// The bounds of the model engines of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Engine {
    /// Whether a run's memory can be copied to another engine while it grows.
    pub can_copy: bool,
    /// Whether a run's memory can be moved by a call.
    pub can_move: bool,
    /// How long a moved copy is kept for use.
    pub copy_kept_ms: u64,
    /// The models that its engines may have.
    pub models: Vec<Arc<str>>,
    /// The tokens that fit into one engine's memory, if that is announced.
    pub memory_tokens: Option<u64>,
    /// The requests that one engine runs at once, if that is announced.
    pub slots: Option<u32>,
    /// The tokens of one event, if that is announced.
    pub event_tokens: Option<u64>,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The longest head of a request.
    pub head_bytes: usize,
    /// The longest body.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub head_timeout_ms: u64,
    /// How long a connection may be kept without a request.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// The bounds until a configuration is known: common defaults of HTTP servers.
    fn default() -> Limits {
        Limits {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// Who holds a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// Its name.
    pub name: Arc<str>,
    /// Its rank, which goes before the route's.
    pub priority: Option<u8>,
}

impl Config {
    /// The route of a request: of its host, the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = without_port(host);
        let fits = |route: &&Arc<Route>| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&*route.path_prefix)
        };
        self.routes.iter().filter(fits).max_by_key(|route| route.path_prefix.len())
    }

    /// Whether streams of different priority compete for the memory of a service's engines.
    pub fn has_competing_streams(&self, service: &str) -> bool {
        let engine = self.services.get(service).and_then(|service| service.engine.as_ref());
        if engine.is_none_or(|engine| engine.memory_tokens.is_none()) {
            return false;
        }
        let mut priorities = self.stream_priorities(service);
        let first = priorities.next();
        priorities.any(|priority| Some(priority) != first)
    }

    /// The priority of the most urgent streams to a service.
    pub fn most_urgent_stream(&self, service: &str) -> Option<u8> {
        self.stream_priorities(service).min()
    }

    fn stream_priorities(&self, service: &str) -> impl Iterator<Item = u8> {
        let leads_there = move |route: &&Arc<Route>| {
            let mut targets = route.targets.iter();
            route.repeat.is_stream() && targets.any(|target| *target.service == *service)
        };
        self.routes.iter().filter(leads_there).map(|route| route.priority)
    }
}

impl Route {
    /// The service that takes a request, by a number drawn for it.
    pub fn target(&self, draw: u64) -> Option<&Arc<str>> {
        let total: u64 = self.targets.iter().map(|target| target.weight).sum();
        let mut left = draw % total.max(1);
        for target in &self.targets {
            if left < target.weight {
                return Some(&target.service);
            }
            left -= target.weight;
        }
        self.targets.first().map(|target| &target.service)
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
