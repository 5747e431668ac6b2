//! The traffic of this instance, and what of it was reported to others.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::super::policy::bounds;
use super::observations::UpstreamObservation;
use super::queues::ServiceQueue;

/// The load at one upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamLoad {
    /// Id of the upstream.
    pub upstream: Arc<str>,
    /// Number of requests that run there.
    #[serde(deserialize_with = "bounds::count")]
    pub runs: u32,
    /// Number of copies of a run's KV cache that are stored there.
    #[serde(deserialize_with = "bounds::count")]
    pub copies: u32,
    /// Number of prompts that it is reading (prefill).
    #[serde(deserialize_with = "bounds::count")]
    pub reading: u32,
    /// Tokens of those prompts.
    #[serde(deserialize_with = "bounds::tokens")]
    pub pending_tokens: u64,
    /// Tokens of KV cache that the runs and copies occupy by their end.
    #[serde(deserialize_with = "bounds::tokens")]
    pub reserved_tokens: u64,
}

impl UpstreamLoad {
    /// No load at an upstream.
    pub fn empty(upstream: Arc<str>) -> UpstreamLoad {
        UpstreamLoad {
            upstream,
            runs: 0,
            copies: 0,
            reading: 0,
            pending_tokens: 0,
            reserved_tokens: 0,
        }
    }

    /// Whether there is no load.
    pub fn is_empty(&self) -> bool {
        [self.runs, self.copies, self.reading].iter().all(|count| *count == 0)
    }

    /// Adds another load at the same upstream.
    pub fn add(&mut self, other: &UpstreamLoad) {
        self.runs = self.runs.saturating_add(other.runs);
        self.copies = self.copies.saturating_add(other.copies);
        self.reading = self.reading.saturating_add(other.reading);
        self.pending_tokens = self.pending_tokens.saturating_add(other.pending_tokens);
        self.reserved_tokens = self.reserved_tokens.saturating_add(other.reserved_tokens);
    }

    /// Subtracts a load that was added before.
    pub fn subtract(&mut self, other: &UpstreamLoad) {
        self.runs = self.runs.saturating_sub(other.runs);
        self.copies = self.copies.saturating_sub(other.copies);
        self.reading = self.reading.saturating_sub(other.reading);
        self.pending_tokens = self.pending_tokens.saturating_sub(other.pending_tokens);
        self.reserved_tokens = self.reserved_tokens.saturating_sub(other.reserved_tokens);
    }
}

/// Number of requests sent to a service within the window of the retry budget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SentRequests {
    /// Name of the service.
    pub service: Arc<str>,
    /// Requests from callers.
    #[serde(deserialize_with = "bounds::requests")]
    pub requests: u64,
    /// Repeats of requests.
    #[serde(deserialize_with = "bounds::requests")]
    pub repeats: u64,
}

/// All that an instance reports about its traffic.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LocalTraffic {
    /// Its load at upstreams.
    pub loads: Vec<UpstreamLoad>,
    /// The requests it sent recently.
    pub sent: Vec<SentRequests>,
    /// Upstreams that it lost recently.
    pub lost: Vec<Arc<str>>,
    /// Engines that read a prompt prefix, by the hash of the prefix. A caller whose instance died
    /// continues at another one, which sends it to the engine that still has the prompt cached.
    pub cache_locations: Vec<(u64, Arc<str>)>,
    /// What it observed of upstreams.
    pub observations: Vec<UpstreamObservation>,
    /// Its admission queues.
    pub queues: Vec<ServiceQueue>,
}

/// What changed since the last report.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TrafficChange {
    /// The load at upstreams where it changed.
    pub loads: Vec<UpstreamLoad>,
    /// The requests it sent recently, if their number changed.
    pub sent: Option<Vec<SentRequests>>,
    /// Upstreams that it lost since.
    pub lost: Vec<Arc<str>>,
    /// Engines that read a prompt prefix, as far as this is new.
    pub cache_locations: Vec<(u64, Arc<str>)>,
    /// All that it observed of upstreams.
    pub observations: Vec<UpstreamObservation>,
    /// Its admission queues.
    pub queues: Vec<ServiceQueue>,
}

/// What was reported so far.
#[derive(Debug, Clone, Default)]
pub struct ReportedTraffic {
    last: LocalTraffic,
}

impl ReportedTraffic {
    /// Returns what has to be reported now, if anything, and records it as reported. A change in the
    /// number of sent requests alone is not reported, because each request changes it.
    pub fn take_changes(&mut self, own: LocalTraffic) -> Option<TrafficChange> {
        let change = self.change(&own);
        let has_same_queues = has_same_requests(&own.queues, &self.last.queues);
        let is_empty =
            change.loads.is_empty() && change.lost.is_empty() && change.cache_locations.is_empty();
        if is_empty && has_same_queues && !self.has_new_failures(&own) {
            return None;
        }
        self.last = own;
        Some(change)
    }

    /// Whether more requests failed at an upstream than were reported. Each may cost another request
    /// until peers learn of it.
    fn has_new_failures(&self, own: &LocalTraffic) -> bool {
        own.observations.iter().any(|observation| {
            failures(observation) > failures_at(&self.last.observations, &observation.upstream)
        })
    }

    fn change(&self, own: &LocalTraffic) -> TrafficChange {
        let is_changed = |load: &&UpstreamLoad| !self.last.loads.contains(load);
        let mut loads: Vec<UpstreamLoad> = own.loads.iter().filter(is_changed).cloned().collect();
        let is_gone =
            |before: &&UpstreamLoad| !own.loads.iter().any(|load| load.upstream == before.upstream);
        let now_empty = self.last.loads.iter().filter(is_gone);
        loads.extend(now_empty.map(|before| UpstreamLoad::empty(Arc::clone(&before.upstream))));
        let is_new_loss = |id: &&Arc<str>| !self.last.lost.contains(id);
        let is_new_location =
            |location: &&(u64, Arc<str>)| !self.last.cache_locations.contains(location);
        TrafficChange {
            loads,
            sent: (own.sent != self.last.sent).then(|| own.sent.clone()),
            lost: own.lost.iter().filter(is_new_loss).cloned().collect(),
            cache_locations: own.cache_locations.iter().filter(is_new_location).cloned().collect(),
            observations: own.observations.clone(),
            queues: own.queues.clone(),
        }
    }
}

/// Whether the same requests wait in both.
fn has_same_requests(one: &[ServiceQueue], other: &[ServiceQueue]) -> bool {
    fn ids(queues: &[ServiceQueue]) -> impl Iterator<Item = u64> {
        queues.iter().flat_map(|queue| queue.waiting.iter().map(|entry| entry.id))
    }
    ids(one).eq(ids(other))
}

fn failures_at(observations: &[UpstreamObservation], upstream: &str) -> u32 {
    let known = observations.iter().find(|observation| *observation.upstream == *upstream);
    known.map_or(0, failures)
}

fn failures(observation: &UpstreamObservation) -> u32 {
    observation.outcomes.map_or(0, |outcomes| outcomes.value.failed)
}
