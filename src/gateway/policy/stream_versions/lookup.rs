//! The search for the version of a stream that another instance began.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::super::super::fleet::SoftwareVersion;
use super::records::StreamKey;

/// How long the version of a stream is searched for: a few round trips, also on a busy machine.
pub const MAX_LOOKUP_MS: u64 = 800;
/// The interval between two rounds of questions.
pub const LOOKUP_INTERVAL_MS: u64 = 100;
/// Number of instances that are asked: those that hold the record, and as many that would be next; they
/// held it before others came or went.
pub const MAX_ASKED: usize = 2 * super::records::REPLICAS;

/// Asks an instance for the version of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamQuery {
    /// Number of the query at its sender; the answer repeats it.
    pub number: u64,
    /// The stream, if its caller names it.
    pub stream: Option<StreamKey>,
    pub service: Arc<str>,
}

/// What an instance knows of a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamAnswer {
    /// Number of the query.
    pub number: u64,
    /// The version that began the stream, if it is known.
    pub version: Option<SoftwareVersion>,
    /// The versions of its service that the instance saw in the last minute.
    pub service_versions: BTreeSet<SoftwareVersion>,
    /// Whether these are all that there were.
    pub knows_all: bool,
}

/// The answers to a search so far.
#[derive(Debug, Default)]
pub struct Lookup {
    service_versions: BTreeSet<SoftwareVersion>,
    knows_all: bool,
    answered: BTreeSet<Arc<str>>,
}

impl Lookup {
    /// Takes in what an instance knows, this one included. Returns the stream's version once it is
    /// certain: by a record, or since its service had one version alone.
    pub fn note(&mut self, from: Arc<str>, answer: StreamAnswer) -> Option<SoftwareVersion> {
        self.answered.insert(from);
        if answer.version.is_some() {
            return answer.version;
        }
        self.service_versions.extend(answer.service_versions);
        self.knows_all |= answer.knows_all;
        let mut versions = self.service_versions.iter();
        match (versions.next(), versions.next()) {
            (Some(only), None) if self.knows_all && *only != SoftwareVersion::Unknown => {
                Some(only.clone())
            }
            _ => None,
        }
    }

    /// Whether an instance has answered.
    pub fn has_answered(&self, instance: &str) -> bool {
        self.answered.contains(instance)
    }
}
