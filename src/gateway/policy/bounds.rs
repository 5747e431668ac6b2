//! Bounds on the numbers that callers, upstreams and other instances tell, so that no sum of them overflows.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer};

use super::usage::Counts;

/// The most requests, copies or prompts of one report at an upstream; no instance has descriptors for more.
const MAX_COUNT: u32 = 1 << 20;
/// The most tokens of one prompt, answer or report at an upstream.
const MAX_TOKENS: u64 = 1 << 40;
/// The most requests of one report within a window.
const MAX_REQUESTS: u64 = 1 << 32;
/// The longest time that is reckoned with: a year.
const MAX_MS: u64 = 365 * 24 * 3_600 * 1_000;
/// The latest time of a clock, in milliseconds since 1970 or its start: some thousands of years.
const MAX_CLOCK_MS: u64 = 1 << 48;

/// A number of tokens.
pub fn tokens_of(tokens: u64) -> u64 {
    tokens.min(MAX_TOKENS)
}

/// A length of time.
pub fn time_ms_of(time_ms: u64) -> u64 {
    time_ms.min(MAX_MS)
}

/// Reads a count.
pub fn count<'de, D: Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    u32::deserialize(from).map(|count| count.min(MAX_COUNT))
}

/// Reads a number of tokens.
pub fn tokens<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    u64::deserialize(from).map(tokens_of)
}

/// Reads a number of requests.
pub fn requests<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    u64::deserialize(from).map(|requests| requests.min(MAX_REQUESTS))
}

/// Reads a time of a clock.
pub fn clock_ms<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    u64::deserialize(from).map(|clock_ms| clock_ms.min(MAX_CLOCK_MS))
}

/// Reads numbers of requests by organisation, in slots of a clock; a slot of no clock is dropped.
pub fn slots<'de, D: Deserializer<'de>>(from: D) -> Result<BTreeMap<u64, Counts>, D::Error> {
    let mut slots = BTreeMap::<u64, Counts>::deserialize(from)?;
    slots.retain(|slot, _| *slot < MAX_CLOCK_MS);
    for count in slots.values_mut().flat_map(BTreeMap::values_mut) {
        *count = MAX_REQUESTS.min(*count);
    }
    Ok(slots)
}
