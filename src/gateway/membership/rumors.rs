//! The queue of rumors: updates that spread from instance to instance, each sent a bounded number of
//! times.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::super::crash::{CrashRecord, EarlyCrash};
use super::super::fingerprint::Fingerprint;
use super::super::fleet::Upstream;
use super::descriptor::{InstanceDescriptor, MemberState};

/// Interval between two rounds that send the same rumor, in milliseconds: long enough for the
/// receivers of one round to have passed it on.
pub const GOSSIP_INTERVAL_MS: u64 = 60;
/// Maximum number of instances of the same failure domain that one gossip round is sent to.
pub(super) const GOSSIP_FANOUT: usize = 4;
/// Maximum number of rumors in one message, which keeps it below 4 KB.
const MAX_RUMORS_PER_MESSAGE: usize = 32;
/// Maximum number of queued rumors about arrivals. When the whole fleet starts at once, each instance
/// would otherwise repeat the arrival of all others many times. Members find those left out by
/// comparing what they know.
const MAX_QUEUED_ARRIVALS: usize = 2 * MAX_RUMORS_PER_MESSAGE;

/// An update that all instances should receive soon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rumor {
    /// The state of an instance.
    #[serde(rename = "m")]
    Member {
        /// What the instance last published about itself.
        descriptor: InstanceDescriptor,
        /// Whether it is believed to be alive.
        state: MemberState,
        /// Id of the instance that reports this; used only for a suspicion.
        reporter: Arc<str>,
    },
    /// An upstream was lost.
    Lost(Arc<str>),
    /// An engine was rediscovered at its address under another incarnation, while the directory did
    /// not answer.
    #[serde(rename = "Found")]
    Rediscovered(Upstream),
    /// An upstream ended while it ran a request that it had just begun.
    Ended(EarlyCrash),
    /// A request crashed upstreams, or was cleared of that.
    Crashes(CrashRecord),
}

/// What a rumor is about; a newer rumor replaces the queued one about the same subject.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Member(Arc<str>),
    Lost(Arc<str>),
    Rediscovered(Arc<str>),
    Ended(EarlyCrash),
    Crashes(Fingerprint),
}

impl Rumor {
    fn subject(&self) -> Subject {
        match self {
            Rumor::Member { descriptor, .. } => {
                Subject::Member(Arc::clone(&descriptor.registration.id))
            }
            Rumor::Lost(id) => Subject::Lost(Arc::clone(id)),
            Rumor::Rediscovered(upstream) => Subject::Rediscovered(Arc::clone(&upstream.id)),
            Rumor::Ended(end) => Subject::Ended(end.clone()),
            Rumor::Crashes(record) => Subject::Crashes(record.fingerprint),
        }
    }
}

#[derive(Debug)]
struct QueuedRumor {
    rumor: Rumor,
    rounds_left: u32,
    is_arrival: bool,
}

/// The rumors that this instance still sends.
#[derive(Debug, Default)]
pub struct RumorQueue {
    pending: BTreeMap<Subject, QueuedRumor>,
}

impl RumorQueue {
    /// Queues a rumor for as many rounds as it takes to reach all instances of a fleet with high
    /// probability.
    pub fn add(&mut self, rumor: Rumor, instances: usize) {
        let rounds_left = rounds_for(instances);
        self.pending.insert(rumor.subject(), QueuedRumor { rumor, rounds_left, is_arrival: false });
    }

    /// Queues a rumor that an instance is alive, unless too many of this kind are queued.
    pub fn add_arrival(&mut self, rumor: Rumor, instances: usize) {
        let subject = rumor.subject();
        let arrivals = self.pending.values().filter(|pending| pending.is_arrival).count();
        if arrivals < MAX_QUEUED_ARRIVALS || self.pending.contains_key(&subject) {
            let rounds_left = rounds_for(instances);
            self.pending.insert(subject, QueuedRumor { rumor, rounds_left, is_arrival: true });
        }
    }

    /// Records that another instance sent the same rumor, so that this one sends it in one round
    /// less.
    pub fn note_duplicate(&mut self, rumor: &Rumor) {
        let subject = rumor.subject();
        let Some(pending) = self.pending.get_mut(&subject) else { return };
        if pending.rumor != *rumor {
            return;
        }
        pending.rounds_left -= 1;
        if pending.rounds_left == 0 {
            self.pending.remove(&subject);
        }
    }

    /// Whether no rumor is queued.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// The rumors for the next round; those sent least often come first.
    pub fn next_round(&mut self) -> Vec<Rumor> {
        let mut due: Vec<&mut QueuedRumor> = self.pending.values_mut().collect();
        due.sort_by_key(|pending| std::cmp::Reverse(pending.rounds_left));
        let mut sent = Vec::new();
        for pending in due.into_iter().take(MAX_RUMORS_PER_MESSAGE) {
            pending.rounds_left -= 1;
            sent.push(pending.rumor.clone());
        }
        self.pending.retain(|_, pending| pending.rounds_left > 0);
        sent
    }
}

/// Number of rounds until a rumor has reached all instances if each sends it to [`GOSSIP_FANOUT`]
/// others per round, and one more round for lost messages.
fn rounds_for(instances: usize) -> u32 {
    let mut reached = 1;
    let mut rounds = 1;
    while reached < instances {
        reached *= GOSSIP_FANOUT + 1;
        rounds += 1;
    }
    rounds
}
