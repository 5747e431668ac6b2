//! One instance as the directory and its peers know it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// What an instance writes into the directory so that others find it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// Its unique name.
    pub id: Arc<str>,
    /// Drawn at each start.
    pub incarnation: u64,
    /// Where peers reach it.
    pub peer_addr: SocketAddr,
    /// Where callers reach it.
    pub front_addr: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
}
