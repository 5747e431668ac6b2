//! Messages about traffic, and about changes to the list of upstreams.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::super::fleet::Delta;
use super::super::policy::subset::Share;
use super::local_traffic::{SentRequests, UpstreamLoad};
use super::observations::UpstreamObservation;
use super::queues::ServiceQueue;
use super::sent_ledger::LedgerReport;

/// The traffic of one instance, for the other instances of its failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Id of the sender.
    pub id: Arc<str>,
    /// Incarnation of the sender.
    pub incarnation: u64,
    /// Sequence number of the message at its sender.
    pub sequence: u64,
    /// Whether the sender has no load at the upstreams that are not listed here.
    pub is_complete: bool,
    /// The sender's load at upstreams.
    pub loads: Vec<UpstreamLoad>,
    /// The requests it sent recently, if their number changed.
    pub sent: Option<Vec<SentRequests>>,
    /// The requests that the other instances of its failure domain sent, unless the receiver gets them from
    /// another one.
    pub sent_by_others: Option<LedgerReport>,
    /// Engines that read a prompt prefix, by the hash of the prefix.
    pub cache_locations: Vec<(u64, Arc<str>)>,
    /// What the sender observed of upstreams.
    pub observations: Vec<UpstreamObservation>,
    /// The sender's admission queues.
    pub queues: Vec<ServiceQueue>,
}

/// Summary of the traffic of all instances of a failure domain, for the other domains.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The failure domain of these instances.
    pub domain: Arc<str>,
    /// Their load at upstreams where it changed recently, and at some others.
    pub loads: Vec<UpstreamLoad>,
    /// The requests they sent recently.
    pub sent: Vec<SentRequests>,
    /// Whether that is everything they sent within the window, as far as it is known anywhere.
    pub is_sent_complete: bool,
    /// Engines that read a prompt prefix, as far as this is new.
    pub cache_locations: Vec<(u64, Arc<str>)>,
    /// What its instances observed of upstreams.
    pub observations: Vec<UpstreamObservation>,
    /// The admission queues of its instances, one for each service.
    pub queues: Vec<ServiceQueue>,
    /// Whether the receiver forwards it within its failure domain.
    pub must_forward: bool,
}

/// Changes to the data that all instances need.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Id of the sender.
    pub from: Arc<str>,
    /// Version of the configuration that the sender has.
    pub config: u64,
    /// Revision since which `fleet` contains all changes; `u64::MAX` if it leaves them out.
    pub since: u64,
    /// Changes to the list of upstreams.
    pub fleet: Delta,
    /// Address of an instance that holds the whole list, for instances that have none.
    pub holder: Option<SocketAddr>,
    /// The receiver's subset of the list, if `fleet` covers only this.
    pub subset: Option<UpstreamSubset>,
}

/// The subset of the list of upstreams that an instance holds or a message covers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSubset {
    /// The share of the large services.
    pub share: Share,
    /// The services that are too large for each instance to hold all their upstreams.
    pub large: BTreeSet<Arc<str>>,
}
