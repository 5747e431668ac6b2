//! The operators' configuration: one versioned document in the platform's store.
//!
//! It changes only by compare-and-swap, and instances take on only growing revisions, so that an
//! accepted change never reverts ([docs/DESIGN.md](../../docs/DESIGN.md#configuration)).

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// How many changes are remembered, to answer 'what changed' and whether a command was applied.
pub const HISTORY: usize = 200;

/// Everything that operators configure.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Grows by one with each accepted command.
    pub revision: u64,
    /// By name.
    pub services: BTreeMap<Arc<str>, Service>,
    /// By name.
    pub organisations: BTreeMap<Arc<str>, Organisation>,
    /// By name.
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

/// What kind of answers a service gives.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServiceKind {
    /// Long generations on model engines.
    Generation,
    /// Quick calls to a plain service.
    Plain,
}

/// A service behind the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// What it serves.
    pub kind: ServiceKind,
    /// Whether its calls may be run more than once.
    pub repeat: bool,
    /// Whether a suspicious silence starts a second attempt beside the first.
    pub hedge: bool,
    /// Whether its upstreams refuse orders with an old fencing number.
    pub checks_fencing: bool,
    /// How many requests may wait on one instance.
    pub queue: u32,
    /// How many plain calls one instance runs at once; for generations the engines' slots decide.
    pub concurrency: u32,
    /// How long a caller waits at most.
    pub deadline_ms: u64,
    /// How long new work may wait for its first token.
    pub first_token_ms: u64,
    /// How long resumed work may wait for its first token.
    pub resumed_token_ms: u64,
    /// The shortest silence between tokens that is suspicious.
    pub gap_floor_ms: u64,
    /// The longest silence between tokens that is not.
    pub gap_ceiling_ms: u64,
}

impl Service {
    /// The settings that a new service of this kind starts with.
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

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Organisation {
    /// The SHA-256 of its key, in hex; the key itself is kept nowhere.
    pub key_sha256: Arc<str>,
    /// Its share against others.
    pub weight: u32,
    /// How many of its requests may wait on one instance.
    pub queue: u32,
}

/// A model in its wanted version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// The service whose upstreams load it.
    pub service: Arc<str>,
    /// The version that has to be loaded.
    pub version: Arc<str>,
    /// Adapters that have to be loaded with it.
    pub adapters: BTreeSet<Arc<str>>,
    /// The failure domains that load it; empty for all.
    pub domains: BTreeSet<Arc<str>>,
}

/// An upstream that an operator added beside the platform's list.
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
    /// The unique name that its sender gave it.
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
    /// The change that a command made, if it is remembered.
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

    /// Notes an accepted command as the next revision.
    pub fn record(&mut self, mut change: Change) {
        self.revision += 1;
        change.revision = self.revision;
        self.history.push(change);
        let surplus = self.history.len().saturating_sub(HISTORY);
        self.history.drain(..surplus);
    }

    /// The models, as `NAME@VERSION` and `NAME@VERSION+ADAPTER`, that an upstream has to load.
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
