//! What spreads from instance to instance, each piece a bounded number of times.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::super::crash::{CrashRecord, EarlyCrash};
use super::super::fingerprint::Fingerprint;
use super::super::fleet::Upstream;
use super::card::{Card, Standing};

/// The pause between two rounds of telling the same rumor: long enough for those who heard the first
/// one to have told others.
pub const GOSSIP_MS: u64 = 60;
/// Instances that are told in one round.
pub(super) const FANOUT: usize = 4;
/// The most rumors in one message, so that it stays under 4 KB.
const MOST_IN_MESSAGE: usize = 32;
/// The most arrivals that are told at once: in a start of the whole fleet, each instance would repeat the
/// arrival of all others many times. Those left out come to light when members compare what they know.
const MOST_ARRIVALS: usize = 2 * MOST_IN_MESSAGE;

/// A piece of news that all instances should have soon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rumor {
    /// How an instance stands.
    #[serde(rename = "m")]
    Member {
        /// What it said of itself.
        card: Card,
        /// Whether it is thought to live.
        standing: Standing,
        /// Who says so, of a suspicion.
        by: Arc<str>,
    },
    /// An upstream was lost.
    Lost(Arc<str>),
    /// An engine was found at its address while the directory is silent.
    Found(Upstream),
    /// An upstream ended under a run that had just begun.
    Ended(EarlyCrash),
    /// A request crashed upstreams, or was cleared.
    Crashes(CrashRecord),
}

/// What a rumor is about; a newer one about the same replaces it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Member(Arc<str>),
    Lost(Arc<str>),
    Found(Arc<str>),
    Ended(EarlyCrash),
    Crashes(Fingerprint),
}

impl Rumor {
    fn subject(&self) -> Subject {
        match self {
            Rumor::Member { card, .. } => Subject::Member(Arc::clone(&card.registration.id)),
            Rumor::Lost(id) => Subject::Lost(Arc::clone(id)),
            Rumor::Found(upstream) => Subject::Found(Arc::clone(&upstream.id)),
            Rumor::Ended(end) => Subject::Ended(end.clone()),
            Rumor::Crashes(told) => Subject::Crashes(told.fingerprint),
        }
    }
}

#[derive(Debug)]
struct Pending {
    rumor: Rumor,
    rounds_left: u32,
    is_arrival: bool,
}

/// The rumors that this instance still tells.
#[derive(Debug, Default)]
pub struct Rumors {
    pending: BTreeMap<Subject, Pending>,
}

impl Rumors {
    /// Takes up a rumor, to be told in so many rounds that all of a fleet have very likely heard it.
    pub fn add(&mut self, rumor: Rumor, instances: usize) {
        let rounds_left = rounds(instances);
        self.pending.insert(rumor.subject(), Pending { rumor, rounds_left, is_arrival: false });
    }

    /// Takes up the rumor that an instance lives, unless there are too many of the kind.
    pub fn add_arrival(&mut self, rumor: Rumor, instances: usize) {
        let subject = rumor.subject();
        let arrivals = self.pending.values().filter(|pending| pending.is_arrival).count();
        if arrivals < MOST_ARRIVALS || self.pending.contains_key(&subject) {
            let rounds_left = rounds(instances);
            self.pending.insert(subject, Pending { rumor, rounds_left, is_arrival: true });
        }
    }

    /// Notes that another instance told the same: it need not be told as often from here.
    pub fn heard(&mut self, rumor: &Rumor) {
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

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// What is told in the next round: those told least often first.
    pub fn round(&mut self) -> Vec<Rumor> {
        let mut due: Vec<&mut Pending> = self.pending.values_mut().collect();
        due.sort_by_key(|pending| std::cmp::Reverse(pending.rounds_left));
        let mut told = Vec::new();
        for pending in due.into_iter().take(MOST_IN_MESSAGE) {
            pending.rounds_left -= 1;
            told.push(pending.rumor.clone());
        }
        self.pending.retain(|_, pending| pending.rounds_left > 0);
        told
    }
}

/// Rounds until everyone has heard, if each tells so many others in each, and one for those that
/// were lost on the way.
fn rounds(instances: usize) -> u32 {
    let mut heard = 1;
    let mut rounds = 1;
    while heard < instances {
        heard *= FANOUT + 1;
        rounds += 1;
    }
    rounds
}
