//! What instances know about each other.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::super::instance::Registration;
use super::super::policy::subset::Share;
use super::super::policy::watchers::{self, Rank};

/// Whether an instance accepts requests from callers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// It still lacks the configuration or the list of upstreams.
    #[default]
    #[serde(rename = "a")]
    Starting,
    /// It accepts requests.
    #[serde(rename = "r")]
    Ready,
    /// It is shutting down as planned.
    #[serde(rename = "t")]
    Stopping,
}

/// The versions of the shared data that an instance has; they only grow.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Versions {
    /// Version of the configuration in force.
    pub config: u64,
    /// Revision of the directory's list of upstreams.
    pub fleet: u64,
}

/// What an instance publishes about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceDescriptor {
    /// Its id and addresses.
    pub registration: Registration,
    /// Raised only by the instance itself, with each change and to refute a suspicion; the highest
    /// version wins.
    pub version: u64,
    /// Whether it accepts requests from callers.
    pub phase: Phase,
    /// Whether the directory answers it, so that it receives changes directly and not through peers.
    pub is_watching_directory: bool,
    /// Bandwidth of its network link in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
    /// The share of the large services that it holds.
    pub share: Share,
    /// Whether it reaches no upstream, so that callers and other instances send it no requests.
    pub is_cut_off: bool,
}

impl InstanceDescriptor {
    /// Its rank in the fleet.
    pub fn rank(&self) -> Rank {
        watchers::rank(&self.registration.id, self.link_mbps)
    }
}

/// Whether an instance is believed to be alive. Within one version, a later variant overrides an
/// earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum MemberState {
    /// It is alive.
    #[serde(rename = "a")]
    Alive,
    /// It did not answer one of its observers.
    #[serde(rename = "s")]
    Suspect,
    /// It is declared dead.
    #[serde(rename = "d")]
    Dead,
}

/// Another instance, as this one knows it.
#[derive(Debug, Clone)]
pub struct Member {
    /// What it last published about itself.
    pub descriptor: InstanceDescriptor,
    /// The versions that it last reported directly.
    pub versions: Versions,
    /// Whether it is believed to be alive.
    pub state: MemberState,
    /// Time of the last change of `state`.
    pub state_since_ms: u64,
    /// Ids of the instances that suspect its current version.
    pub(super) suspected_by: BTreeSet<Arc<str>>,
}

impl Member {
    /// The number that it drew when it started.
    pub fn incarnation(&self) -> u64 {
        self.descriptor.registration.incarnation
    }

    /// Whether it is not declared dead.
    pub fn is_alive(&self) -> bool {
        self.state != MemberState::Dead
    }
}
