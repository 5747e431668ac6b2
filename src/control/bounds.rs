//! A bound on the numbers that only grow, as other instances and the store tell them.
//!
//! One that was damaged on its way and were taken for the newest could never be followed by a newer one.

use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// The highest epoch or version that is believed; what counts changes or milliseconds never gets there.
const MAX_VERSION: u64 = 1 << 62;

/// Reads an epoch or a version; a message with one that isn't believed is refused as a whole.
pub fn version<'de, D: Deserializer<'de>>(from: D) -> Result<u64, D::Error> {
    let version = u64::deserialize(from)?;
    if version > MAX_VERSION {
        return Err(D::Error::custom(format_args!("{version} is no epoch or version")));
    }
    Ok(version)
}
