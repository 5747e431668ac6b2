//! Whether this instance is cut off from all upstreams, or some upstreams are ill.
//!
//! An upstream that can't be reached says nothing about the instance's own links, and a cut link
//! nothing about the upstream. Connections to many upstreams, of different services and failure
//! domains, tell them apart: a single one that is opened shows that the links work. Answers over
//! connections that were opened earlier show nothing, because these may live on while no new one is
//! accepted.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::decide::Random;

/// Number of upstreams that must be out of reach, if there are as many.
const MIN_UNREACHED: usize = 4;
/// Number of services whose upstreams must be among them, if there are as many: all engines of one may
/// crash at once.
const MIN_SERVICES: usize = 3;
/// Minimum number of known upstreams for the decision: a single one may be ill as well.
const MIN_KNOWN: usize = 2;
/// Upstreams that are checked at once after a first one was out of reach. Most often only that one
/// is ill, and new connections are expensive.
const FIRST_CHECKS: usize = 1;
/// Upstreams that are checked at once after that.
const CHECKS: usize = 3;
/// Upstreams that are checked at once for the end of a cut.
const RECOVERY_CHECKS: usize = 2;
/// How long an upstream counts as out of reach. Without further ones, it alone is ill.
const EVIDENCE_TTL_MS: u64 = 3_000;

/// Whether upstreams can be reached.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Reach {
    /// They can, as far as known.
    #[default]
    Normal,
    /// Some can't, and no connection was opened since.
    Doubtful,
    /// None can.
    CutOff,
}

/// An upstream that accepts work as far as known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Known {
    /// Its id.
    pub id: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
}

/// Evidence for and against being cut off.
#[derive(Debug, Default)]
pub struct Isolation {
    /// Upstreams out of reach since the last connection was opened, and since when.
    unreached: BTreeMap<Arc<str>, u64>,
    reached_ms: Option<u64>,
    cut_off_since_ms: Option<u64>,
}

impl Isolation {
    /// Records that a connection to any upstream was opened. Returns the time since which this
    /// instance was cut off, if it was.
    pub fn note_reached(&mut self, now_ms: u64) -> Option<u64> {
        self.unreached.clear();
        self.reached_ms = Some(now_ms);
        self.cut_off_since_ms.take()
    }

    /// Records that an upstream could not be reached by an attempt that began at a time. `known`
    /// are all upstreams.
    pub fn note_unreached(&mut self, id: &Arc<str>, began_ms: u64, known: &[Known], now_ms: u64) {
        let is_refuted = self.reached_ms.is_some_and(|reached_ms| reached_ms >= began_ms);
        if is_refuted || known.len() < MIN_KNOWN {
            return;
        }
        self.expire(now_ms);
        self.unreached.entry(Arc::clone(id)).or_insert(began_ms);
        if self.cut_off_since_ms.is_none() && self.is_evidence_sufficient(known) {
            self.cut_off_since_ms = self.unreached.values().copied().min();
        }
    }

    fn is_evidence_sufficient(&self, known: &[Known]) -> bool {
        let unreached = || known.iter().filter(|known| self.unreached.contains_key(&known.id));
        let services: BTreeSet<&str> = known.iter().map(|known| &*known.service).collect();
        let unreached_services: BTreeSet<&str> = unreached().map(|known| &*known.service).collect();
        unreached().count() >= MIN_UNREACHED.min(known.len())
            && unreached_services.len() >= MIN_SERVICES.min(services.len())
    }

    /// Drops evidence that is too old. Returns whether upstreams can be reached.
    pub fn expire(&mut self, now_ms: u64) -> Reach {
        if self.cut_off_since_ms.is_none() {
            self.unreached.retain(|_, since_ms| *since_ms + EVIDENCE_TTL_MS > now_ms);
        }
        self.reach()
    }

    /// Drops all evidence, because no upstream is left that could be checked.
    pub fn dismiss(&mut self) {
        self.unreached.clear();
    }

    /// Whether upstreams can be reached.
    pub fn reach(&self) -> Reach {
        match self.cut_off_since_ms {
            Some(_) => Reach::CutOff,
            None if self.unreached.is_empty() => Reach::Normal,
            None => Reach::Doubtful,
        }
    }

    /// The upstreams to connect to now: while in doubt, those that were not tried yet; while cut
    /// off, any. They are of different services and failure domains as far as possible.
    pub fn checks(&self, known: &[Known], random: &mut dyn Random) -> Vec<Arc<str>> {
        let count = match (self.reach(), self.unreached.len()) {
            (Reach::Normal, _) => 0,
            (Reach::CutOff, _) => RECOVERY_CHECKS,
            (Reach::Doubtful, 1) => FIRST_CHECKS,
            (Reach::Doubtful, _) => CHECKS,
        };
        let is_tried = |known: &Known| {
            self.reach() == Reach::Doubtful && self.unreached.contains_key(&known.id)
        };
        let (mut tried, mut open): (Vec<&Known>, Vec<&Known>) =
            known.iter().partition(|known| is_tried(known));
        let mut chosen = Vec::new();
        while chosen.len() < count && !open.is_empty() {
            let likeness = |candidate: &Known| {
                let of_service = tried.iter().filter(|other| other.service == candidate.service);
                let of_domain = tried.iter().filter(|other| other.domain == candidate.domain);
                (of_service.count(), of_domain.count())
            };
            let start = random.below(open.len() as u64) as usize;
            open.rotate_left(start);
            let best = open.iter().enumerate().min_by_key(|(_, candidate)| likeness(candidate));
            let Some(best) = best.map(|(index, _)| index) else { break };
            let best = open.swap_remove(best);
            tried.push(best);
            chosen.push(Arc::clone(&best.id));
        }
        chosen
    }
}
