//! The operators' configuration: one versioned document in the platform's store.
//!
//! It changes only by compare-and-swap, and instances adopt only higher revisions, so that an
//! accepted change is never reverted ([docs/DESIGN.md](../../docs/DESIGN.md#configuration)).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// How many changes are kept, for the history and to detect a command that was applied before.
pub const HISTORY: usize = 200;

/// The whole configuration of the operators.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Grows by one with each accepted command.
    pub revision: u64,
    /// The services, by name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// The organisations, by name.
    pub organisations: BTreeMap<Arc<str>, Organisation>,
    /// The models, by name.
    pub models: BTreeMap<Arc<str>, Model>,
    /// Upstreams that operators added, by address.
    pub upstreams: BTreeMap<Arc<str>, AddedUpstream>,
    /// The addresses of drained upstreams.
    pub drained: BTreeSet<Arc<str>>,
    /// Instances that were told to stop, as `ID#INCARNATION`.
    pub stopping: BTreeSet<Arc<str>>,
    /// The newest changes, oldest first.
    pub history: Vec<Change>,
}

/// The kind of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// Long generations on model engines.
    Generation,
    /// Short calls to a plain service.
    Plain,
}

/// A service behind the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Its kind.
    pub kind: ServiceKind,
    /// Whether its calls may be run more than once.
    pub repeat: bool,
    /// Whether a silence timeout starts a second attempt beside the first.
    pub hedge: bool,
    /// Whether its upstreams refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// How many requests may wait on one instance.
    pub queue: u32,
    /// How many plain calls one instance runs at once; for generations the engines' slots decide.
    pub concurrency: u32,
    /// The deadline of a request, from its arrival.
    pub deadline_ms: u64,
    /// The timeout for the first token of new work.
    pub first_token_ms: u64,
    /// The timeout for the first token of resumed work.
    pub resumed_token_ms: u64,
    /// The lower bound of the silence timeout between tokens.
    pub gap_floor_ms: u64,
    /// The upper bound of the silence timeout between tokens.
    pub gap_ceiling_ms: u64,
}

impl Service {
    /// A service of this kind with the default settings.
    pub fn new(kind: ServiceKind) -> Service {
        let is_generation = kind == ServiceKind::Generation;
        Service {
            kind,
            repeat: true,
            hedge: false,
            checks_fencing: true,
            queue: 200,
            concurrency: 64,
            deadline_ms: if is_generation { 1_800_000 } else { 5_000 },
            first_token_ms: 10_000,
            resumed_token_ms: 2_000,
            gap_floor_ms: 250,
            gap_ceiling_ms: 2_000,
        }
    }
}

/// A customer of the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// The SHA-256 of its key, in hex; the key itself is not stored.
    pub key_sha256: Arc<str>,
    /// Its weight in fair queueing.
    pub weight: u32,
    /// How many of its requests may wait on one instance.
    pub queue: u32,
}

/// A model and the version that must be loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The service whose upstreams load it.
    pub service: Arc<str>,
    /// The version that must be loaded.
    pub version: Arc<str>,
    /// Adapters that must be loaded with it.
    pub adapters: BTreeSet<Arc<str>>,
    /// The failure domains that load it; empty for all.
    pub domains: BTreeSet<Arc<str>>,
}

/// An upstream that an operator added, beside those of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddedUpstream {
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
}

/// One accepted command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The revision that it made.
    pub revision: u64,
    /// The unique id that its sender chose.
    pub command_id: Arc<str>,
    /// What it changed, such as `service booking`.
    pub subject: Arc<str>,
    /// The command, with keys left out.
    pub command: Arc<str>,
    /// Who sent it.
    pub operator: Arc<str>,
    /// When it was accepted, in milliseconds since 1970.
    pub at_ms: u64,
}

impl Document {
    /// The change that a command made, if the history still has it.
    pub fn change_by(&self, command_id: &str) -> Option<&Change> {
        self.history.iter().rev().find(|change| &*change.command_id == command_id)
    }

    /// The newest change of `subject` after `revision`.
    pub fn change_since(&self, revision: u64, subject: &str) -> Option<&Change> {
        let newest_first = self.history.iter().rev();
        newest_first
            .take_while(|change| change.revision > revision)
            .find(|change| &*change.subject == subject)
    }

    /// Records an accepted command as the next revision.
    pub fn record(&mut self, mut change: Change) {
        self.revision += 1;
        change.revision = self.revision;
        self.history.push(change);
        let surplus = self.history.len().saturating_sub(HISTORY);
        self.history.drain(..surplus);
    }

    /// The models, as `NAME@VERSION` and `NAME@VERSION+ADAPTER`, that an upstream must load.
    pub fn wanted_models(&self, service: &str, domain: &str) -> BTreeSet<Arc<str>> {
        let mut wanted = BTreeSet::new();
        for (name, model) in &self.models {
            let is_bound = model.domains.is_empty() || model.domains.contains(domain);
            if *model.service != *service || !is_bound {
                continue;
            }
            let plain = format!("{name}@{}", model.version);
            wanted.extend(model.adapters.iter().map(|a| Arc::from(format!("{plain}+{a}"))));
            wanted.insert(Arc::from(plain));
        }
        wanted
    }
}
