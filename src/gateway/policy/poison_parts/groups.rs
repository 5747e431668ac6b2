//! Banned parts that were met in the same crashes, so that nothing tells which of them is the cause.

use std::collections::BTreeMap;
use std::sync::Arc;

use xxhash_rust::xxh3::Xxh3;

/// The group of a banned part. A request is refused if it has all parts of a group: with only some of
/// them it may be sound, and its outcome tells the parts apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Group {
    /// Identifies the crashes.
    pub id: u64,
    /// Number of parts that were met in all of them.
    pub size: usize,
}

/// Identifies a set of crashes by the upstreams that ended, in their order.
pub fn crashes_id<'a>(upstreams: impl Iterator<Item = &'a Arc<str>>) -> u64 {
    let mut hash = Xxh3::new();
    for upstream in upstreams {
        hash.update(upstream.as_bytes());
        hash.update(b"\n");
    }
    hash.digest()
}

/// The groups of which a request has all parts, given the group of each of its banned parts.
pub fn complete_groups(groups: impl Iterator<Item = Group>) -> Vec<u64> {
    let mut counts: BTreeMap<u64, (usize, usize)> = BTreeMap::new();
    for Group { id, size } in groups {
        counts.entry(id).or_insert((0, size)).0 += 1;
    }
    let complete = counts.into_iter().filter(|(_, (count, size))| count >= size);
    complete.map(|(id, _)| id).collect()
}
