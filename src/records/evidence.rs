//! Whether a new holder of a slot knows enough about earlier epochs to answer for its keys.
//!
//! A claim counts once a majority of the slot's holders has it. After a change of the table, a new
//! holder asks the earlier ones for their records. It may answer only if the replies cover every
//! majority that could have granted a claim; else it refuses calls until the retry horizon has
//! passed, since a call could run twice ([docs/DESIGN.md](../../docs/DESIGN.md#claims)).

use crate::control::membership::{self, Member, Roster, Table};

/// An earlier holder that sent its records of a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HolderReport {
    /// The holder.
    pub member: Member,
    /// The epochs in which it answered for the slot. It answered in no other, and never will.
    pub answered: Vec<u64>,
}

/// Whether a new holder that received `reports` knows every granted claim of a slot.
pub fn covers(table: &Table, slot: u16, reports: &[HolderReport]) -> bool {
    let mut oldest_epoch = table.epoch();
    for roster in table.earlier() {
        oldest_epoch = roster.epoch;
        match coverage_of(&roster, slot, reports) {
            Coverage::Covers => return true,
            Coverage::Open => return false,
            Coverage::Older => {}
        }
    }
    // There were no claims before epoch 1. If the table's history starts later, they are unknown.
    oldest_epoch <= 1
}

/// What is known about the claims of one epoch.
enum Coverage {
    /// Its claims and all older ones are known.
    Covers,
    /// Its claims are known; older epochs must be checked for the rest.
    Older,
    /// A majority of holders that sent nothing may have granted a claim.
    Open,
}

fn coverage_of(roster: &Roster, slot: u16, reports: &[HolderReport]) -> Coverage {
    let holders = roster.slot_holders(slot);
    let needed = membership::quorum(holders.len());
    let find = |member: &&&Member| reports.iter().find(|report| report.member.is_same(member));
    let known: Vec<_> = holders.iter().filter_map(|member| find(&member)).collect();
    let answered = known.iter().filter(|report| report.answered.contains(&roster.epoch)).count();
    // Any majority of this epoch includes a holder that answered in it and knows each older claim.
    if answered + needed > holders.len() {
        return Coverage::Covers;
    }
    let missing = holders.len() - known.len();
    if missing >= needed { Coverage::Open } else { Coverage::Older }
}

/// Whether a holder in both rosters may keep answering without asking others first: each majority
/// of the newer one then shares a member with each majority of the older one.
pub fn may_keep_answering(older: &Roster, newer: &Roster, slot: u16) -> bool {
    let before = older.slot_holders(slot).len();
    let after = newer.slot_holders(slot).len();
    membership::quorum(after) + membership::quorum(before) > before
}
