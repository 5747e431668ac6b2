//! What instances know of each other.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::super::instance::Registration;
use super::super::policy::subset::Share;
use super::super::policy::watchers::{self, Rank};

/// Whether an instance takes callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It doesn't know enough yet.
    #[default]
    #[serde(rename = "a")]
    Starting,
    /// It does.
    #[serde(rename = "r")]
    Ready,
    /// A planned stop is under way.
    #[serde(rename = "t")]
    Stopping,
}

/// What an instance knows, by versions that only grow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// The version of the configuration in force.
    pub config: u64,
    /// The revision of the list of upstreams.
    pub fleet: u64,
}

/// What an instance says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Card {
    /// Who it is.
    pub registration: Registration,
    /// Raised by the instance alone, with each change and to refute a suspicion; the highest counts.
    pub version: u64,
    /// Whether it takes callers.
    pub phase: Phase,
    /// Whether the directory answers it, so that it hears of changes by itself.
    pub is_first_hand: bool,
    /// The speed of its link; 0 if that is not known.
    pub link_mbps: u32,
    /// The share of the large services that it holds.
    pub share: Share,
}

impl Card {
    /// Its place in the order of the fleet.
    pub fn rank(&self) -> Rank {
        watchers::rank(&self.registration.id, self.link_mbps)
    }
}

/// Whether an instance is thought to live. Of one version, a later variant counts more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// It lives.
    #[serde(rename = "a")]
    Alive,
    /// It did not answer one of its observers.
    #[serde(rename = "s")]
    Suspect,
    /// It is gone.
    #[serde(rename = "d")]
    Dead,
}

/// Another instance as it is known here.
#[derive(Debug, Clone)]
pub struct Member {
    /// What it last said of itself.
    pub card: Card,
    /// What it knew when it was last heard directly.
    pub versions: Versions,
    /// Whether it is thought to live.
    pub standing: Standing,
    /// When its standing last changed.
    pub since_ms: u64,
    /// Who suspects its present version.
    pub(super) suspected_by: BTreeSet<Arc<str>>,
}

impl Member {
    /// Whether it is not known to be gone.
    pub fn is_alive(&self) -> bool {
        self.standing != Standing::Dead
    }
}
