//! Whether a new holder of a slot knows enough of earlier epochs to answer for its keys.
//!
//! A claim counts once a majority of the slot's holders has it. After a change of the table, a new
//! holder asks the earlier ones for their records. It may answer only if what it heard covers every
//! majority that could have granted a claim; else it refuses calls until the retry horizon has
//! passed, rather than guess ([docs/DESIGN.md](../../docs/DESIGN.md#claims)).

use crate::control::membership::{self, Member, Roster, Table};

/// An earlier holder that sent its records of a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heard {
    /// Who it was.
    pub member: Member,
    /// The epochs in which it answered for the slot; it has answered in no other, and will not.
    pub answered: Vec<u64>,
}

/// Whether no granted claim of a slot can be unknown to one that heard `heard`.
pub fn covers(table: &Table, slot: u16, heard: &[Heard]) -> bool {
    let mut oldest_epoch = table.epoch();
    for roster in table.earlier() {
        oldest_epoch = roster.epoch;
        match look(&roster, slot, heard) {
            Look::Covers => return true,
            Look::Open => return false,
            Look::Older => {}
        }
    }
    // Before the first epoch there were no claims; with the history cut short, it's unknown.
    oldest_epoch <= 1
}

/// What one epoch tells.
enum Look {
    /// Its claims and all older ones are known.
    Covers,
    /// Its claims are known, and older epochs have to tell the rest.
    Older,
    /// A majority may have granted a claim that nobody heard has.
    Open,
}

fn look(roster: &Roster, slot: u16, heard: &[Heard]) -> Look {
    let holders = roster.slot_holders(slot);
    let needed = membership::quorum(holders.len());
    let find = |member: &&&Member| heard.iter().find(|heard| heard.member.is_same(member));
    let known: Vec<_> = holders.iter().filter_map(|member| find(&member)).collect();
    let answered = known.iter().filter(|heard| heard.answered.contains(&roster.epoch)).count();
    // Two that may answer always include one that knows each older claim.
    if answered + needed > holders.len() {
        return Look::Covers;
    }
    let missing = holders.len() - known.len();
    if missing >= needed { Look::Open } else { Look::Older }
}

/// Whether a holder that stays from one roster to the next may go on answering without asking:
/// each majority among those that stay then shares a member with each earlier majority.
pub fn may_stay(older: &Roster, newer: &Roster, slot: u16) -> bool {
    let before = older.slot_holders(slot).len();
    let after = newer.slot_holders(slot).len();
    membership::quorum(after) + membership::quorum(before) > before
}
