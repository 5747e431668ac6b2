//! What instances observe of upstreams, shared so that each instance need not learn it by itself.
//!
//! Each part of an observation is optional and has its own age. Within a failure domain every
//! instance sends its own observations with its load; the digest of a failure domain holds them
//! merged.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::super::dialect::Load;
use super::super::policy::outcomes::Outcomes;
use super::super::policy::speed::LearnedSpeed;

/// How long an observation counts after it was made, in milliseconds.
const OBSERVATION_TTL_MS: u64 = 4_000;

/// Observations of one upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamObservation {
    /// Id of the upstream.
    pub upstream: Arc<str>,
    /// The load that it last reported.
    pub reported: Option<Aged<ReportedLoad>>,
    /// Its speed, from the samples of those who observed it.
    pub speed: Option<Aged<LearnedSpeed>>,
    /// How recent requests to it ended, summed over the instances that report it.
    pub outcomes: Option<Aged<Outcomes>>,
}

/// A value with the time since it was observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Aged<T> {
    /// The value.
    pub value: T,
    /// The time since it was observed, in milliseconds.
    pub age_ms: u64,
}

/// The load that an upstream reported in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Number of requests that it runs.
    pub running: u32,
    /// Number of requests that wait there.
    pub waiting: u32,
    /// Number of requests that it can run at once.
    pub slots: u32,
    /// How long work takes there at the moment, in percent of the usual time.
    pub slowness_percent: Option<u32>,
}

impl From<Load> for ReportedLoad {
    fn from(load: Load) -> ReportedLoad {
        let Load { running, waiting, slots, slowness_percent } = load;
        ReportedLoad { running, waiting, slots, slowness_percent }
    }
}

/// Observations of all upstreams, by id.
pub type Observations = BTreeMap<Arc<str>, UpstreamObservation>;

impl UpstreamObservation {
    /// Nothing observed of an upstream.
    pub fn empty(upstream: Arc<str>) -> UpstreamObservation {
        UpstreamObservation { upstream, reported: None, speed: None, outcomes: None }
    }

    /// Whether it says nothing.
    pub fn is_empty(&self) -> bool {
        self.reported.is_none() && self.speed.is_none() && self.outcomes.is_none()
    }

    /// Adds what another instance or failure domain observed.
    pub fn merge(&mut self, other: &UpstreamObservation) {
        self.reported = newest(self.reported, other.reported);
        self.speed = merged_speed(self.speed, other.speed);
        self.outcomes = summed(self.outcomes, other.outcomes);
    }

    /// The same observation some time later, without the parts that no longer count.
    pub fn aged(&self, by_ms: u64) -> UpstreamObservation {
        UpstreamObservation {
            upstream: Arc::clone(&self.upstream),
            reported: self.reported.and_then(|reported| reported.later(by_ms)),
            speed: self.speed.and_then(|speed| {
                let value = speed.value.aged(by_ms);
                Aged { value, ..speed }.later(by_ms)
            }),
            outcomes: self.outcomes.and_then(|outcomes| outcomes.later(by_ms)),
        }
    }
}

impl Aged<Outcomes> {
    /// The outcomes with their ages as of now.
    pub fn now(self) -> Outcomes {
        self.value.later(self.age_ms)
    }
}

impl<T> Aged<T> {
    /// The same value some time later; `None` once it no longer counts.
    pub fn later(self, by_ms: u64) -> Option<Aged<T>> {
        let age_ms = self.age_ms.saturating_add(by_ms);
        (age_ms < OBSERVATION_TTL_MS).then_some(Aged { age_ms, ..self })
    }
}

fn newest<T>(one: Option<Aged<T>>, other: Option<Aged<T>>) -> Option<Aged<T>> {
    match (one, other) {
        (Some(one), Some(other)) => Some(if other.age_ms < one.age_ms { other } else { one }),
        (one, other) => one.or(other),
    }
}

/// Samples of different instances add up; the newest of them tells the age.
fn merged_speed(
    one: Option<Aged<LearnedSpeed>>,
    other: Option<Aged<LearnedSpeed>>,
) -> Option<Aged<LearnedSpeed>> {
    let (Some(one), Some(other)) = (one, other) else { return one.or(other) };
    let mut value = one.value;
    value.merge(&other.value);
    Some(Aged { value, age_ms: one.age_ms.min(other.age_ms) })
}

/// The sum of outcomes that different instances observed, as old as the younger of the two.
fn summed(one: Option<Aged<Outcomes>>, other: Option<Aged<Outcomes>>) -> Option<Aged<Outcomes>> {
    let (Some(one), Some(other)) = (one, other) else { return one.or(other) };
    let age_ms = one.age_ms.min(other.age_ms);
    let as_of_then = |outcomes: Aged<Outcomes>| outcomes.value.later(outcomes.age_ms - age_ms);
    Some(Aged { value: as_of_then(one).plus(as_of_then(other)), age_ms })
}
