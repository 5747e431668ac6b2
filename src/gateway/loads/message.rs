//! The messages about traffic.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::super::fleet::Delta;
use super::super::policy::subset::Share;
use super::own::{Held, Sent};

/// What an instance tells its failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNews {
    /// Who sends it.
    pub id: Arc<str>,
    /// Its incarnation.
    pub incarnation: u64,
    /// Grows with each of its messages.
    pub count: u64,
    /// Whether what it doesn't name is nothing.
    pub is_whole: bool,
    /// What it has running.
    pub held: Vec<Held>,
    /// What it sent lately, if that changed.
    pub sent: Option<Vec<Sent>>,
    /// What instances of its failure domain sent that have ended since.
    pub sent_by_ended: Vec<Sent>,
    /// Which engine read a part of a prompt.
    pub places: Vec<(u64, Arc<str>)>,
}

/// What all instances of a failure domain have, for the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The failure domain.
    pub domain: Arc<str>,
    /// What they have at upstreams where that changed lately, and at some others.
    pub held: Vec<Held>,
    /// What they sent lately.
    pub sent: Vec<Sent>,
    /// Which engine read a part of a prompt, as far as it is new.
    pub places: Vec<(u64, Arc<str>)>,
    /// Whether its receiver passes it on to its failure domain.
    pub is_passed_on: bool,
}

/// What changed in what all have to know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Who sends it.
    pub from: Arc<str>,
    /// The version of the configuration that the sender has.
    pub config: u64,
    /// The revision after which `fleet` holds all changes.
    pub since: u64,
    /// What changed in the list of upstreams.
    pub fleet: Delta,
    /// An instance that holds the whole list, for those that have none.
    pub holder: Option<SocketAddr>,
    /// If `fleet` holds only what the receiver holds of large services, these.
    pub part: Option<Part>,
}

/// Which part of the list of upstreams a message holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The share of the large services.
    pub share: Share,
    /// The services that are too large to be held whole.
    pub large: BTreeSet<Arc<str>>,
}
