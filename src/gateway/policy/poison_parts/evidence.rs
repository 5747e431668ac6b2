//! When a part is banned.

use std::sync::Arc;

/// Points of the crashes, each of a run that had just begun counting 2, at which a part is banned.
const BAN_POINTS: u32 = 8;
/// Number of crashes at which it is banned, however far the runs had come.
const BAN_CRASHES: usize = 5;
/// Minimum number of different requests: a single one may be what crashes upstreams, with all its
/// parts sound.
const MIN_REQUESTS: usize = 2;
/// Points of one more crash at the most.
const MAX_CRASH_POINTS: u32 = 2;

/// Maximum number of characters of a part's name that is recorded: callers choose it, and operators
/// only have to recognise it.
const MAX_LABEL_CHARS: usize = 64;

/// The beginning of a part's name, for records and operators.
pub fn label(name: &Arc<str>) -> Arc<str> {
    match name.char_indices().nth(MAX_LABEL_CHARS) {
        Some((end, _)) => Arc::from(&name[..end]),
        None => Arc::clone(name),
    }
}

/// The evidence against a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Points of the crashes.
    pub points: u32,
    /// Number of upstreams that ended.
    pub crashes: usize,
    /// Number of different requests with the part under which they ended.
    pub requests: usize,
}

impl Evidence {
    /// Whether the part is banned.
    pub fn is_enough(self) -> bool {
        let has_crashes = self.points >= BAN_POINTS || self.crashes >= BAN_CRASHES;
        has_crashes && self.requests >= MIN_REQUESTS
    }
}

/// Whether one more crash may ban a part, given the points and the number of its crashes, with those
/// that are not judged yet.
pub fn may_ban(points: u32, crashes: usize) -> bool {
    points + MAX_CRASH_POINTS >= BAN_POINTS || crashes + 1 >= BAN_CRASHES
}

/// Whether a banned part explains the crashes that another suspect shares with it: if both were met
/// in equally many crashes, nothing tells which of them is the cause.
pub fn is_explained(crashes: usize, crashes_of_banned: usize) -> bool {
    crashes_of_banned > crashes
}
