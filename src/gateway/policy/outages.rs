//! Durations of outages in which a service had no upstream, and the retry times that callers are
//! given.
//!
//! A refused caller loses the whole retry time that it is given, even if the upstreams are back
//! earlier. It retries only once or a few times, so a retry time that ends before they are back
//! loses the request. When all upstreams of a service fail together, the cause is larger than what
//! makes a single one fail, so only earlier outages of the whole service indicate how long this one
//! may last.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use crate::decide::Random;

/// Expected duration of an outage while the service has had none: engines that all crashed at once
/// were back after 5.0 s in two deployments, single ones after 1.2 s.
const DEFAULT_OUTAGE_MS: u64 = 5_000;
/// Minimum delay after the expected end of an outage: upstreams that are back are listed within
/// this time. It is also the shortest retry time that is given.
const MIN_RETRY_AFTER_MS: u64 = 300;
/// Interval over which the callers of an outage are spread. Of 24 engines that are back, one to
/// three are listed at once and the others within 0.9 s; callers that arrive earlier all go to
/// those few.
const RETRY_SPREAD_MS: u64 = 1_000;
/// Callers accept a retry time of up to the time that they have left, divided by this.
const MAX_RETRY_DIVISOR: u64 = 3;
/// Maximum age of the last loss for it to count as the beginning of an outage: as long as a lost
/// upstream is kept out. After a longer time, the upstreams left for another reason.
const MAX_LOSS_AGE_MS: u64 = 5_000;
/// Upper bound on the outages remembered for each service; the longest of them counts.
const MAX_REMEMBERED_OUTAGES: usize = 4;

/// Expected time until upstreams are listed of a service of which this instance has seen none since
/// it started: entries that lapsed in an outage of the directory are back within two seconds of its
/// return.
const TYPICAL_LISTING_MS: u64 = 2_000;
/// An instance that started while the directory is unreachable tells its callers to retry after the
/// time that they have left, divided by this. Nothing indicates how long the outage will last, and
/// callers retry only once or a few times. A tenth leaves most callers enough time for a useful
/// answer, and outlasts an outage of a few seconds, for which a fixed half second was too short.
const STARTING_RETRY_DIVISOR: u64 = 10;
/// Minimum of that retry time, for callers with little time left, as far as they accept it.
const MIN_STARTING_RETRY_MS: u64 = 800;

/// Callers of full engines are told to retry after the time that they have left, divided by this.
/// With 25 s left this is 4 to 6 s, in which about half of the running requests end, and enough
/// time is left for a whole answer.
const FULL_RETRY_DIVISOR: u64 = 6;
/// An instance that has just started holds a request until a configuration arrives, for at most the
/// caller's time divided by this. Callers whose connections broke when all instances ended return
/// within a second and have no further retry; a refusal loses what they have of an answer. Of 25 s
/// this is 3.1 s, in which the store or a peer has usually sent a configuration; of 2.5 s it is a
/// third of a second. Where the store came back 1.3 s after 75 instances, holding for a twentieth
/// refused 236 of 1,788 streams, and an eighth refused 40. A quarter serves some more calls, but
/// releases so many callers at once that about 50 fewer streams are on time.
const STARTUP_HOLD_DIVISOR: u64 = 8;

/// How long an instance that has just started holds a request of a caller that has `left_ms`,
/// before it refuses the request for lack of a configuration.
pub fn startup_hold_ms(left_ms: u64) -> u64 {
    left_ms / STARTUP_HOLD_DIVISOR
}

/// Retry time for a caller that has `left_ms`, from an instance that has no configuration yet and
/// can't reach the directory.
pub fn starting_retry_after_ms(left_ms: u64, random: &mut dyn Random) -> u64 {
    let wait_ms = (left_ms / STARTING_RETRY_DIVISOR).max(MIN_STARTING_RETRY_MS);
    let spread_ms = random.below(wait_ms / 4 + 1);
    (wait_ms + spread_ms).min(left_ms / MAX_RETRY_DIVISOR)
}

/// Retry time for a caller that has `left_ms`, from a service whose engines are full. Requests run
/// for seconds, so capacity is free only after some have ended, and callers retry only once.
pub fn full_retry_after_ms(left_ms: u64, random: &mut dyn Random) -> u64 {
    let wait_ms = (left_ms / FULL_RETRY_DIVISOR).max(MIN_RETRY_AFTER_MS);
    let spread_ms = random.below(wait_ms / 2 + 1);
    (wait_ms + spread_ms).min((left_ms / MAX_RETRY_DIVISOR).max(MIN_RETRY_AFTER_MS))
}

/// The outages of all services.
#[derive(Debug, Default)]
pub struct Outages {
    services: BTreeMap<Arc<str>, ServiceOutages>,
}

#[derive(Debug, Default)]
struct ServiceOutages {
    last_lost_ms: Option<u64>,
    down_since_ms: Option<u64>,
    /// Whether an upstream of the service was ever known here.
    was_seen: bool,
    durations_ms: VecDeque<u64>,
}

impl Outages {
    /// Records that an upstream of a service was lost.
    pub fn note_lost(&mut self, service: &Arc<str>, now_ms: u64) {
        let known = self.services.entry(Arc::clone(service)).or_default();
        known.last_lost_ms = Some(now_ms);
        known.was_seen = true;
    }

    /// Records that a service has no upstream left; the outage began with the last loss.
    pub fn note_down(&mut self, service: &Arc<str>, now_ms: u64) {
        let known = self.services.entry(Arc::clone(service)).or_default();
        let is_recent = |lost_ms: &u64| lost_ms + MAX_LOSS_AGE_MS >= now_ms;
        let began_ms = known.last_lost_ms.filter(is_recent).unwrap_or(now_ms);
        known.down_since_ms.get_or_insert(began_ms);
    }

    /// Records when an upstream of a service was known to be alive, which ends an outage that began
    /// before.
    pub fn note_alive(&mut self, service: &str, alive_ms: u64) {
        let Some(known) = self.services.get_mut(service) else {
            let known = ServiceOutages { was_seen: true, ..ServiceOutages::default() };
            self.services.insert(Arc::from(service), known);
            return;
        };
        known.was_seen = true;
        let Some(since_ms) = known.down_since_ms.filter(|since_ms| *since_ms < alive_ms) else {
            return;
        };
        known.down_since_ms = None;
        known.durations_ms.push_back(alive_ms - since_ms);
        if known.durations_ms.len() > MAX_REMEMBERED_OUTAGES {
            known.durations_ms.pop_front();
        }
    }

    /// Retry time for a caller that has `left_ms`, if the service has no upstream.
    pub fn retry_after_ms(
        &self,
        service: &str,
        left_ms: u64,
        now_ms: u64,
        random: &mut dyn Random,
    ) -> Option<u64> {
        let known = self.services.get(service)?;
        let elapsed_ms = now_ms.saturating_sub(known.down_since_ms?);
        let expected_ms = known.durations_ms.iter().max().copied();
        let default_ms = if known.was_seen { DEFAULT_OUTAGE_MS } else { TYPICAL_LISTING_MS };
        let expected_ms = expected_ms.unwrap_or(default_ms);
        // An outage longer than all earlier ones is expected to last half as long again as it
        // already has.
        let remaining_ms = expected_ms.checked_sub(elapsed_ms).unwrap_or(elapsed_ms / 2);
        let max_retry_ms = (left_ms / MAX_RETRY_DIVISOR).max(MIN_RETRY_AFTER_MS);
        Some(
            (remaining_ms + MIN_RETRY_AFTER_MS + random.below(RETRY_SPREAD_MS))
                .clamp(MIN_RETRY_AFTER_MS, max_retry_ms),
        )
    }
}
