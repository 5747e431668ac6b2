//! The version of the software that an upstream runs, as its entry in the directory states it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The version of an upstream's software, which is not that of its models' weights.
///
/// Versions have no order: two of them are the same or they are not. Runs don't cross from one
/// version to another, see [docs/design/stream-versions.md](../../../docs/design/stream-versions.md).
#[derive(
    Debug,
    Clone,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
pub enum SoftwareVersion {
    /// Its entry states none, as where an operator doesn't tell versions apart.
    #[default]
    #[display("none")]
    Unversioned,
    /// Its entry states this one.
    #[display("{_0}")]
    Named(Arc<str>),
    /// What it runs is not known: its entry can't be read, or it was found without one.
    #[display("unknown")]
    Unknown,
}

impl SoftwareVersion {
    /// The memory that it takes beside its own size.
    pub fn name_bytes(&self) -> usize {
        match self {
            SoftwareVersion::Named(name) => name.len(),
            SoftwareVersion::Unversioned | SoftwareVersion::Unknown => 0,
        }
    }

    /// The version with a name.
    pub fn named(name: &str) -> SoftwareVersion {
        SoftwareVersion::Named(Arc::from(name))
    }

    /// Whether what both write fits together for certain.
    pub fn fits(&self, other: &SoftwareVersion) -> bool {
        *self != SoftwareVersion::Unknown && self == other
    }
}
