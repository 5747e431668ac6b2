//! Replication of a generation's journal: how far each holder is, and what may be released.
//!
//! A token is released to the caller only once a majority of the key's holders has it. The third
//! holder is on standby until one of the first two is late, which saves a third of the copying.

use crate::control::membership::{self, Member, Roster};
use crate::records::journal::Journal;
use crate::records::record::Reply;

/// A holder's answer.
#[derive(Debug, Clone)]
pub struct Copied {
    /// The epoch of the request.
    pub epoch: u64,
    /// The holder.
    pub member: Member,
    /// Its reply; `None` if none came in time.
    pub reply: Option<Reply>,
}

/// After this long without a reply from a holder, the standby holder is used too.
const STANDBY_AFTER_MS: u64 = 100;
/// The backoff after a holder failed.
const BACKOFF_MS: u64 = 100;

/// What to send to one holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Due {
    /// The receiver.
    pub member: Member,
    /// The index of the first token to send.
    pub from: u32,
    /// Whether to send the outcome; the holder has all tokens.
    pub settle: bool,
}

/// The replication state of one generation.
#[derive(Debug, Default)]
pub struct Copies {
    epoch: u64,
    holders: Vec<Holder>,
}

#[derive(Debug)]
struct Holder {
    member: Member,
    have: u32,
    sent_ms: Option<u64>,
    sent_to: u32,
    has_acked: bool,
    settled: bool,
    is_standby: bool,
    retry_at_ms: u64,
}

impl Copies {
    /// Switches to the holders of a newer roster; the state of those that remain is kept.
    pub fn adopt(&mut self, roster: &Roster, key: &str) {
        if roster.epoch <= self.epoch {
            return;
        }
        self.epoch = roster.epoch;
        let chosen = roster.holders(key);
        let needed = membership::quorum(chosen.len());
        let mut old = std::mem::take(&mut self.holders);
        for (rank, member) in chosen.into_iter().enumerate() {
            let kept = old.iter().position(|holder| holder.member.is_same(member));
            let mut holder = match kept {
                Some(at) => old.swap_remove(at),
                None => Holder::new(member.clone()),
            };
            holder.sent_ms = None;
            holder.retry_at_ms = 0;
            holder.is_standby = rank >= needed;
            self.holders.push(holder);
        }
    }

    /// The epoch whose roster is in use.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Records the journal that a holder reported at a take-over.
    pub fn note_prefix(&mut self, id: &str, theirs: &Journal, mine: &Journal) {
        if let Some(holder) = self.holders.iter_mut().find(|holder| *holder.member.id == *id) {
            holder.have = mine.common_len(theirs);
        }
    }

    /// How many tokens a majority holds.
    pub fn committed(&self) -> u32 {
        let mut have: Vec<_> =
            self.holders.iter().filter(|h| h.has_acked).map(|h| h.have).collect();
        have.sort_unstable_by(|one, other| other.cmp(one));
        let needed = membership::quorum(self.holders.len());
        have.get(needed - 1).copied().unwrap_or(0)
    }

    /// Whether a majority has recorded the outcome.
    pub fn is_settled(&self) -> bool {
        let settled = self.holders.iter().filter(|holder| holder.settled).count();
        !self.holders.is_empty() && settled >= membership::quorum(self.holders.len())
    }

    /// Appends to `out` what has to be sent now, and marks it as sent.
    pub fn collect_due(&mut self, len: u32, ended: bool, now_ms: u64, out: &mut Vec<Due>) {
        self.activate_standby(now_ms);
        for holder in &mut self.holders {
            let is_waiting = holder.sent_ms.is_some() || holder.retry_at_ms > now_ms;
            if holder.is_standby || is_waiting {
                continue;
            }
            let is_behind = holder.have < len || !holder.has_acked;
            let settle = ended && !is_behind && !holder.settled;
            if is_behind || settle {
                holder.sent_ms = Some(now_ms);
                holder.sent_to = len;
                let member = holder.member.clone();
                out.push(Due { member, from: holder.have, settle });
            }
        }
    }

    fn activate_standby(&mut self, now_ms: u64) {
        let is_late = |holder: &Holder| {
            let waits =
                holder.sent_ms.is_some_and(|sent| now_ms.saturating_sub(sent) >= STANDBY_AFTER_MS);
            waits || holder.retry_at_ms > now_ms
        };
        if self.holders.iter().any(is_late) {
            self.holders.iter_mut().for_each(|holder| holder.is_standby = false);
        }
    }

    /// Handles a holder's answer to an append or a settle; `false` if the sender was fenced off.
    pub fn take(&mut self, copied: &Copied, is_end: bool, now_ms: u64) -> bool {
        let is_from = |holder: &&mut Holder| holder.member.is_same(&copied.member);
        let known = self.holders.iter_mut().find(is_from);
        let Some(holder) = known.filter(|_| copied.epoch == self.epoch) else { return true };
        if holder.sent_ms.take().is_none() {
            return true;
        }
        match copied.reply {
            Some(Reply::Accepted { have }) => {
                holder.accept(have);
                holder.settled |= is_end;
            }
            Some(Reply::Gap { .. }) => holder.have = 0,
            Some(Reply::Fenced { .. }) => return false,
            _ => holder.retry_at_ms = now_ms + BACKOFF_MS,
        }
        true
    }
}

impl Holder {
    fn new(member: Member) -> Holder {
        Holder {
            member,
            have: 0,
            sent_ms: None,
            sent_to: 0,
            has_acked: false,
            settled: false,
            is_standby: false,
            retry_at_ms: 0,
        }
    }

    fn accept(&mut self, have: u32) {
        self.has_acked = true;
        self.have = self.have.max(have.min(self.sent_to));
    }
}
