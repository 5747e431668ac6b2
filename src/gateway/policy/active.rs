//! Selection of the instances of a failure domain that receive callers, and so place requests.
//!
//! An instance that places requests must receive load updates from all others that do, as soon as
//! loads change, and keeps connections to upstreams. In a failure domain with hundreds of
//! instances, callers are therefore sent to only some of them. All instances compute the same set;
//! others take over when members of the set end.

use super::watchers::{self, Rank};

/// Upper bound on the instances of a failure domain that callers are sent to, and so on the
/// addresses of the domain that a caller is given.
const MAX_ACTIVE_INSTANCES: usize = 64;

/// Callers are sent to the instances that are not cut off if these are at least one in this many: fewer
/// would be overloaded by connections that the others can relay.
const MIN_JOINED_DIVISOR: usize = 3;

/// Selects the instances that callers are sent to, from those of one failure domain that accept
/// callers.
pub fn active_instances<T>(ready: impl Iterator<Item = (Rank, T)>) -> Vec<T> {
    watchers::first_in_rank(MAX_ACTIVE_INSTANCES, ready)
}

/// The instances that are not cut off from all upstreams, to which callers are sent; all of them, if
/// too few are left to send callers elsewhere.
pub fn not_cut_off<T: Copy>(ready: Vec<T>, is_cut_off: impl Fn(T) -> bool) -> Vec<T> {
    let joined: Vec<T> = ready.iter().copied().filter(|other| !is_cut_off(*other)).collect();
    if joined.len() * MIN_JOINED_DIVISOR >= ready.len() { joined } else { ready }
}
