//! Exchange of traffic data between instances; each piece is sent only to the instances that use it.
//!
//! Instances of the same failure domain that place requests receive the sender's load at once. Other
//! failure domains receive a digest of the whole domain a few times a second: its instances take
//! turns in sending it to one instance of each other domain, which forwards it there. So neither the
//! messages of one instance nor the traffic between domains grow with the fleet. The time to apply a
//! message depends on its own length. See [docs/DESIGN.md](../../../docs/DESIGN.md).

mod cache_locations;
mod local_traffic;
mod message;
mod observations;
mod peer_loads;
mod queues;
mod sent_ledger;

pub use self::cache_locations::CacheLocations;
pub use self::local_traffic::{LocalTraffic, ReportedTraffic, SentRequests, UpstreamLoad};
pub use self::message::{Changes, Digest, LoadUpdate, UpstreamSubset};
pub use self::observations::{Aged, Observations, ReportedLoad, UpstreamObservation};
pub use self::peer_loads::{DIGEST_INTERVAL_MS, PeerLoads};
pub use self::queues::{
    OtherQueues, ServedTokens, ServiceQueue, WaitingEntry, add_served, most_urgent,
};
pub use self::sent_ledger::{LedgerReport, SentEntry};
