//! Which instances of a failure domain callers are sent to, and so place requests: a pure step.
//!
//! Whoever places requests has to hear of the loads of all others that do, as soon as they change, and
//! keeps connections to upstreams. So in a failure domain of hundreds of instances callers are sent to
//! some of them, the same in the eyes of all; the others take over as these end.

use super::watchers::{self, Rank};

/// The most instances of a failure domain that callers are sent to: as many as an answer names.
const MOST_ACTIVE: usize = 64;

/// The instances that callers are sent to, of those of one failure domain that take callers.
pub fn active<T>(ready: impl Iterator<Item = (Rank, T)>) -> Vec<T> {
    watchers::first_in_rank(MOST_ACTIVE, ready)
}
