//! The settings of a gateway, checked, whoever they come from.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use super::policy::caller_limits::Machine;

/// What its addresses are called where they are set, for whoever mends one.
#[derive(Debug, Clone, Copy)]
pub struct AddressKeys {
    /// The key of [`Settings::front`].
    pub front: &'static str,
    /// The key of [`Settings::readiness`].
    pub readiness: &'static str,
    /// The key of [`Settings::directory`].
    pub directory: &'static str,
    /// The key of [`Settings::peer`].
    pub peer: &'static str,
    /// The key of [`Settings::upstream_source`].
    pub upstream_source: &'static str,
    /// The key of [`Settings::metrics`].
    pub metrics: &'static str,
}

/// What one gateway needs to know to start.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Its unique name.
    pub id: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// The keys that its addresses have where they are set.
    pub keys: AddressKeys,
    /// Where callers send requests.
    pub front: SocketAddr,
    /// Where it says whether it is ready.
    pub readiness: Option<SocketAddr>,
    /// Where callers ask for addresses.
    pub directory: Option<SocketAddr>,
    /// Where peers talk to it, over TCP and UDP.
    pub peer: SocketAddr,
    /// The address from which it connects to upstreams; the system chooses one if there is none.
    pub upstream_source: Option<IpAddr>,
    /// Where its metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Where the directory is, and where calls of duties go: no upstream is there.
    pub directory_addrs: Vec<SocketAddr>,
    /// The speed of its link, by which the instances that others fetch from are chosen; 0 if not known.
    pub link_mbps: u32,
    /// The memory and the descriptors that it may use.
    pub machine: Machine,
    /// Peers to begin with.
    pub seeds: Vec<SocketAddr>,
    /// How long callers may keep an address.
    pub keep_ms: u64,
    /// How long a planned stop may take.
    pub grace_ms: u64,
    /// Whether the requests of each organisation are counted, for a report of usage.
    pub reports_usage: bool,
    /// Repeats for each request of a service, over all instances.
    pub repeat_ratio: f64,
    /// Repeats beyond the ratio, over all instances.
    pub repeat_slack: f64,
    /// The window in which repeats are counted.
    pub repeat_window_ms: u64,
    /// The least severe log records that are written.
    pub log: slog::Level,
}
