//! One upstream, as its entry in the directory states it.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::SoftwareVersion;

/// The longest name of a service, a failure domain or a version that is taken in, in bytes: as long as the
/// directory's keys may be.
pub const MAX_NAME_BYTES: usize = 200;

/// One incarnation of a server of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its name; a restart has another one, or the same with another birth.
    pub id: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// Where it listens; another service may have the address later.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Whether it said that it is leaving.
    pub is_leaving: bool,
    /// When its process started, as it says itself: under the same id, another birth is another
    /// incarnation, which holds nothing of what was sent before.
    #[serde(default)]
    pub born_ms: Option<u64>,
    /// The directory's revision at which its entry was created. Of several entries with one
    /// address, the youngest names who is there. One that was found has that of the entry it
    /// stands for.
    #[serde(default)]
    pub listed_at: u64,
    /// The position at which the directory was seen to state that it is leaving, or isn't; 0 if only
    /// a list named it as ready.
    #[serde(default)]
    pub stated_at: u64,
    /// Whether it may be reclaimed at any time by whoever runs it.
    #[serde(default)]
    pub is_spot: bool,
    /// The version of its software.
    #[serde(default)]
    pub version: SoftwareVersion,
}

impl Upstream {
    /// The memory that it takes.
    pub fn held_bytes(&self) -> usize {
        let names_bytes = self.id.len() + self.service.len() + self.domain.len();
        size_of::<Upstream>() + names_bytes + self.version.name_bytes()
    }

    /// Whether both name the same incarnation at the same place.
    pub fn is_same_life(&self, other: &Upstream) -> bool {
        let is_reborn = matches!((self.born_ms, other.born_ms), (Some(a), Some(b)) if a != b);
        // A process runs one version, which may be learnt later than its entry.
        let is_changed = matches!(
            (&self.version, &other.version),
            (SoftwareVersion::Named(a), SoftwareVersion::Named(b)) if a != b
        );
        self.id == other.id && self.addr == other.addr && !is_reborn && !is_changed
    }
}

/// An incarnation of an upstream that said that it leaves.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Departure {
    /// The upstream.
    pub upstream: Arc<str>,
    /// When its process started, as far as that is listed.
    pub born_ms: Option<u64>,
}

impl Departure {
    /// That of an upstream.
    pub fn of(upstream: &Upstream) -> Departure {
        Departure { upstream: Arc::clone(&upstream.id), born_ms: upstream.born_ms }
    }
}
