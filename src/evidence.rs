//! Whether an instance knows enough of earlier epochs to answer for a key.
//!
//! A claim counts once a majority of the key's holders has it. After a change of the table, a new
//! holder asks the members of earlier tables for their records. It may answer for a key only if
//! what it heard covers every majority that could have granted a claim; else it refuses until the
//! retry horizon has passed, rather than guess ([docs/DESIGN.md](../docs/DESIGN.md#claims)).

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::membership::{self, Member, Roster};

/// A member that sent its records.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heard {
    /// Who it was.
    pub member: Member,
    /// The epochs in which it answered claims; it has answered none in any other.
    pub complete_epochs: Vec<u64>,
}

impl Heard {
    fn answered_in(&self, epoch: u64) -> bool {
        self.complete_epochs.contains(&epoch)
    }
}

/// What was heard of the epochs before one change of the table.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// The rosters before the change, newest first.
    pub past: Vec<Roster>,
    /// Who has answered.
    pub heard: Vec<Heard>,
}

impl Evidence {
    /// Whether no granted claim on `key` can be unknown.
    pub fn covers(&self, key: &str) -> bool {
        for roster in &self.past {
            let holders = roster.holders(key);
            let needed = membership::quorum(holders.len());
            let heard: Vec<_> = holders.iter().filter_map(|member| self.find(member)).collect();
            let complete = heard.iter().filter(|h| h.answered_in(roster.epoch)).count();
            // Any majority that granted a claim shares a member with those heard.
            if complete + needed > holders.len() {
                return true;
            }
            let possible_voters = holders.len() - (heard.len() - complete);
            if possible_voters >= needed {
                return false;
            }
            // Nothing was granted in this epoch: the one before decides.
        }
        // With no earlier epoch there was no earlier claim; with the list cut short, it's unknown.
        self.past.last().is_none_or(|oldest| oldest.epoch <= 1)
    }

    /// Whether no claim on any key can be unknown, so that nothing more has to be waited for.
    ///
    /// Holds if the members that are missing can't make up a majority of any key's holders: there
    /// is at most one, or all are of one failure domain and holders are of different ones.
    pub fn covers_all(&self) -> bool {
        let Some(roster) = self.past.first() else { return true };
        let is_missing = |member: &&Member| {
            !self.find(member).is_some_and(|heard| heard.answered_in(roster.epoch))
        };
        let missing: Vec<_> = roster.members.iter().filter(is_missing).collect();
        let domains: BTreeSet<_> = roster.members.iter().map(|member| &member.domain).collect();
        let are_of_one_domain = missing.windows(2).all(|pair| pair[0].domain == pair[1].domain);
        match missing.len() {
            0 => true,
            1 => roster.members.len() > 1,
            _ => are_of_one_domain && domains.len() >= membership::HOLDERS,
        }
    }

    fn find(&self, member: &Member) -> Option<&Heard> {
        self.heard.iter().find(|heard| heard.member.is_same(member))
    }
}

/// A holder's incomplete evidence, which bars the keys that it leaves open.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Doubt {
    /// The holder that asked.
    pub holder: Member,
    /// The roster in whose epoch it answers.
    pub roster: Roster,
    /// What it heard.
    pub evidence: Evidence,
    /// How long the doubt lasts from now on: then all older claims are past the retry horizon.
    pub left_ms: u64,
}

impl Doubt {
    /// Whether a claim on `key` may be unknown because of this doubt.
    pub fn bars(&self, key: &str) -> bool {
        let holders = self.roster.holders(key);
        let is_holder = holders.iter().any(|member| member.is_same(&self.holder));
        is_holder && !self.evidence.covers(key)
    }
}
