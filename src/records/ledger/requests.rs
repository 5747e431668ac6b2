//! A holder's answers to owners: claims, releases, appends, settles and take-overs.

use crate::records::journal::Journal;
use crate::records::ledger::Ledger;
use crate::records::record::{Identity, Kind, Op, Outcome, Owner, Record, Reply, Request, Stream};

impl Ledger {
    /// Answers one request of an owner.
    pub(super) fn answer(&mut self, request: Request, now_ms: u64) -> Reply {
        if request.epoch != self.slots.epoch() {
            return Reply::Stale { epoch: self.slots.epoch() };
        }
        if !self.slots.answers_for(&request.op.identity().key) {
            return Reply::NotReady;
        }
        match request.op {
            Op::Claim { identity, owner } => self.claim(identity, owner, now_ms),
            Op::Release { identity } => self.release(&identity),
            Op::Append { identity, owner, term, from, tokens, stream } => {
                if let Some(reply) = self.refuse(&identity, term) {
                    return reply;
                }
                self.records.upsert(identity.clone(), owner, term, now_ms);
                let append = Append { term, from, tokens, stream };
                self.records.change(&identity.key, |record| append.apply(record))
            }
            Op::Settle { identity, owner, term, outcome } => {
                if let Some(reply) = self.refuse(&identity, term) {
                    return reply;
                }
                self.records.upsert(identity.clone(), owner, term, now_ms);
                self.settle(&identity.key, outcome)
            }
            Op::TakeOver { identity, owner, term } => self.take_over(&identity, owner, term),
        }
    }

    fn claim(&mut self, identity: Identity, owner: Owner, now_ms: u64) -> Reply {
        if let Some(record) = self.records.get(&identity.key) {
            if record.identity.body_hash != identity.body_hash {
                return Reply::Conflict;
            }
            let record = Box::new(record.clone());
            let is_mine = record.identity.nonce == identity.nonce;
            return if is_mine { Reply::Granted(record) } else { Reply::Held(record) };
        }
        let refused_until_ms = self.slots.refused_until_ms(&identity.key);
        if identity.kind == Kind::Call && refused_until_ms > now_ms {
            return Reply::Quarantined { left_ms: refused_until_ms - now_ms };
        }
        let record = self.records.upsert(identity, owner, 1, now_ms);
        Reply::Granted(Box::new(record.clone()))
    }

    fn release(&mut self, identity: &Identity) -> Reply {
        let Some(record) = self.records.get(&identity.key) else { return Reply::Absent };
        let is_claim_only = record.identity.nonce == identity.nonce
            && record.term == 1
            && record.journal.is_empty()
            && record.outcome.is_none()
            && !record.contested;
        if is_claim_only {
            self.records.remove_claim(&identity.key);
        }
        Reply::Absent
    }

    /// Refuses messages of another run or of an older term.
    fn refuse(&self, identity: &Identity, term: u64) -> Option<Reply> {
        let record = self.records.get(&identity.key)?;
        let is_other_run = record.identity.nonce != identity.nonce;
        let is_fenced = is_other_run || term < record.term;
        is_fenced.then_some(Reply::Fenced { term: record.term })
    }

    fn settle(&mut self, key: &str, outcome: Outcome) -> Reply {
        self.records.change(key, |record| {
            let have = record.journal.len();
            if let Outcome::Finished { tokens, .. } = outcome
                && (have != tokens || record.journal_term != record.term)
            {
                return Reply::Gap { have };
            }
            record.outcome.get_or_insert(outcome);
            Reply::Accepted { have }
        })
    }

    fn take_over(&mut self, identity: &Identity, owner: Owner, term: u64) -> Reply {
        let Some(record) = self.records.get_mut(&identity.key) else { return Reply::Absent };
        if record.identity.nonce != identity.nonce {
            return Reply::Held(Box::new(record.clone()));
        }
        let is_renewed = term == record.term && record.owner == owner;
        if record.outcome.is_none() && !is_renewed {
            if term <= record.term {
                return Reply::Fenced { term: record.term };
            }
            record.term = term;
            record.owner = owner;
        }
        Reply::Granted(Box::new(record.clone()))
    }
}

/// An append whose run and term have been checked.
struct Append {
    term: u64,
    from: u32,
    tokens: Journal,
    stream: Option<Stream>,
}

impl Append {
    fn apply(self, record: &mut Record) -> Reply {
        if record.outcome.is_some() {
            return Reply::Accepted { have: record.journal.len() };
        }
        let have = record.journal.len();
        if self.from > have {
            return Reply::Gap { have };
        }
        if self.term > record.journal_term {
            // The tokens after `from` were never released under the older term.
            record.journal.truncate(self.from);
            record.journal_term = self.term;
        }
        let known = record.journal.len() - self.from.min(record.journal.len());
        for token in self.tokens.since(known) {
            record.journal.push(token);
        }
        record.stream = self.stream.or(record.stream.take());
        Reply::Accepted { have: record.journal.len() }
    }
}
