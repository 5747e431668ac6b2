//! Which slots a holder answers for, and its sync with their earlier holders before that.
//!
//! After a change of the table a new holder answers only once it knows every granted claim
//! ([docs/DESIGN.md](../../../docs/DESIGN.md#claims)).

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::control::membership::{self, Member, Roster, Table};
use crate::records::evidence::{self, HolderReport};
use crate::records::ledger::{Action, SlotWord};

/// The timeout of a new holder's sync with earlier ones.
const SYNC_TIMEOUT_MS: u64 = 1_500;
/// How many of the epochs in which it answered a holder keeps: as many as the table does.
const ANSWERED_EPOCHS: usize = 64;
/// How many epochs back earlier holders are asked; a majority of one of them nearly always covers
/// the rest.
const SOURCE_EPOCHS: usize = 12;
/// The retry interval for a holder that has not answered.
const SYNC_RETRY_MS: u64 = 200;

/// The slots that this instance holds or held, under the current table.
#[derive(Debug)]
pub(super) struct Slots {
    me: Member,
    table: Arc<Table>,
    horizon_ms: u64,
    by_number: BTreeMap<u16, Slot>,
    adopted_ms: u64,
    asked_ms: u64,
}

/// The state of a slot that this instance holds or held.
#[derive(Debug, Default)]
struct Slot {
    /// The epochs in which it answered.
    answered: Vec<u64>,
    /// Until when it refuses calls, since it may lack earlier claims.
    refused_until_ms: u64,
    /// The sync that must end before it answers in the current epoch.
    sync: Option<Sync>,
}

/// A new holder's sync: whom it asked, and what they answered.
#[derive(Debug)]
struct Sync {
    sources: Vec<Member>,
    reports: Vec<HolderReport>,
}

impl Slot {
    fn answers_in(&self, epoch: u64) -> bool {
        self.answered.last() == Some(&epoch)
    }

    fn begin(&mut self, epoch: u64) {
        self.sync = None;
        self.answered.push(epoch);
        let surplus = self.answered.len().saturating_sub(ANSWERED_EPOCHS);
        self.answered.drain(..surplus);
    }
}

impl Slots {
    pub(super) fn new(me: Member, horizon_ms: u64) -> Slots {
        Slots {
            me,
            table: Arc::default(),
            horizon_ms,
            by_number: BTreeMap::new(),
            adopted_ms: 0,
            asked_ms: 0,
        }
    }

    pub(super) fn me(&self) -> &Member {
        &self.me
    }

    /// The epoch of the current table.
    pub(super) fn epoch(&self) -> u64 {
        self.table.epoch()
    }

    /// Whether there is a table and no slot is waiting for its sync.
    pub(super) fn is_ready(&self) -> bool {
        self.epoch() > 0 && self.by_number.values().all(|slot| slot.sync.is_none())
    }

    /// Whether this instance answers for `key` in the current epoch.
    pub(super) fn answers_for(&self, key: &str) -> bool {
        self.slot(key).is_some_and(|slot| slot.answers_in(self.epoch()))
    }

    /// Until when calls of `key` are refused; 0 if they are not.
    pub(super) fn refused_until_ms(&self, key: &str) -> u64 {
        self.slot(key).map_or(0, |slot| slot.refused_until_ms)
    }

    fn slot(&self, key: &str) -> Option<&Slot> {
        self.by_number.get(&membership::slot_of(key))
    }

    /// Ends syncs that are complete or have timed out, and repeats unanswered requests.
    pub(super) fn tick(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        self.conclude(now_ms);
        if !self.is_ready() && now_ms.saturating_sub(self.asked_ms) >= SYNC_RETRY_MS {
            self.ask_missing(now_ms, out);
        }
    }

    /// Adopts a newer table; `false` if it isn't newer.
    pub(super) fn adopt(&mut self, table: Arc<Table>, now_ms: u64, out: &mut Vec<Action>) -> bool {
        if table.epoch() <= self.table.epoch() {
            return false;
        }
        self.table = table;
        self.adopted_ms = now_ms;
        let earlier: Vec<_> = self.table.earlier().collect();
        let epoch = self.table.epoch();
        for number in 0..membership::SLOTS {
            if !self.table.roster.holds(&self.me, number) {
                if let Some(slot) = self.by_number.get_mut(&number) {
                    slot.sync = None;
                }
                continue;
            }
            let slot = self.by_number.entry(number).or_default();
            let last = slot.answered.last().copied().unwrap_or(0);
            if held_since(&self.table, &earlier, &self.me, number, last) {
                slot.begin(epoch);
                continue;
            }
            let sources = sources(&earlier, &self.me, number);
            let mine = HolderReport { member: self.me.clone(), answered: slot.answered.clone() };
            slot.sync = Some(Sync { sources, reports: vec![mine] });
        }
        self.conclude(now_ms);
        self.ask_missing(now_ms, out);
        true
    }

    /// Sends each earlier holder one request for all slots that it has not answered about.
    fn ask_missing(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        self.asked_ms = now_ms;
        let mut asked: Vec<Action> = Vec::new();
        for (number, slot) in &self.by_number {
            let Some(sync) = &slot.sync else { continue };
            for source in sync.missing() {
                let known = asked.iter_mut().find_map(|action| match action {
                    Action::Ask { member, slots, .. } if member.is_same(source) => Some(slots),
                    _ => None,
                });
                match known {
                    Some(slots) => slots.push(*number),
                    None => asked.push(Action::Ask {
                        member: source.clone(),
                        epoch: self.table.epoch(),
                        slots: vec![*number],
                    }),
                }
            }
        }
        out.append(&mut asked);
    }

    /// Ends the sync of each slot once enough holders have answered or the timeout has passed.
    pub(super) fn conclude(&mut self, now_ms: u64) {
        let epoch = self.table.epoch();
        let is_late = now_ms.saturating_sub(self.adopted_ms) >= SYNC_TIMEOUT_MS;
        for (number, slot) in &mut self.by_number {
            let Some(sync) = &slot.sync else { continue };
            let is_covered = evidence::covers(&self.table, *number, &sync.reports);
            let is_over = is_late || sync.missing().next().is_none();
            if is_covered {
                slot.begin(epoch);
            } else if is_over {
                slot.refused_until_ms = now_ms + self.horizon_ms;
                slot.begin(epoch);
            }
        }
    }

    /// The state of one slot, for its new holder.
    pub(super) fn slot_state(&self, number: u16, now_ms: u64) -> SlotWord {
        let slot = self.by_number.get(&number);
        let refused_until_ms = slot.map_or(0, |slot| slot.refused_until_ms);
        SlotWord {
            slot: number,
            answered: slot.map(|slot| slot.answered.clone()).unwrap_or_default(),
            barred_ms: refused_until_ms.saturating_sub(now_ms),
        }
    }

    /// Records an earlier holder's answer; `false` if it was not asked or has answered already.
    pub(super) fn record_report(
        &mut self,
        from: &Member,
        slot_state: SlotWord,
        now_ms: u64,
    ) -> bool {
        let Some(slot) = self.by_number.get_mut(&slot_state.slot) else { return false };
        let Some(sync) = &mut slot.sync else { return false };
        let is_missing = sync.missing().any(|source| source.is_same(from));
        if is_missing {
            sync.reports.push(HolderReport { member: from.clone(), answered: slot_state.answered });
            slot.refused_until_ms = slot.refused_until_ms.max(now_ms + slot_state.barred_ms);
        }
        is_missing
    }
}

impl Sync {
    fn missing(&self) -> impl Iterator<Item = &Member> {
        let has_reported = |source: &&Member| self.reports.iter().any(|r| r.member.is_same(source));
        self.sources.iter().filter(move |source| !has_reported(source))
    }
}

/// Whether `me`, which last answered for the slot in epoch `last`, has held it ever since.
fn held_since(table: &Table, earlier: &[Roster], me: &Member, slot: u16, last: u64) -> bool {
    let mut newer = &table.roster;
    for older in earlier.iter().take_while(|roster| roster.epoch >= last) {
        if !older.holds(me, slot) || !evidence::may_keep_answering(older, newer, slot) {
            return false;
        }
        newer = older;
    }
    last > 0 && newer.epoch == last
}

/// All other members that held the slot in the last epochs.
fn sources(earlier: &[Roster], me: &Member, slot: u16) -> Vec<Member> {
    let mut sources: Vec<Member> = Vec::new();
    let recent = earlier.iter().take(SOURCE_EPOCHS);
    for member in recent.flat_map(|roster| roster.slot_holders(slot)) {
        let is_known = member.is_same(me) || sources.iter().any(|other| other.is_same(member));
        if !is_known {
            sources.push(member.clone());
        }
    }
    sources
}
