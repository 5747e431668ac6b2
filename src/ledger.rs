//! A holder's records: who may run a request, how far it got and how it ended.
//!
//! The ledger is a pure decision ([`Decide`]). It never lets two runs of one key both be granted
//! by a majority, refuses owners of older terms, and after a change of the table answers only for
//! keys whose older claims it can know ([docs/DESIGN.md](../docs/DESIGN.md#claims)).

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decide::{Decide, Random};
use crate::evidence::{Doubt, Evidence, Heard};
use crate::journal::Journal;
use crate::membership::{Member, Roster, Table};
use crate::record::{Identity, Kind, Op, Outcome, Owner, Record, Reply, Request, Stream};

/// How long a new holder waits for the records of earlier ones.
const SYNC_TIMEOUT_MS: u64 = 1_500;
/// How often a holder that has not answered is asked again.
const SYNC_RETRY_MS: u64 = 200;

/// What the ledger needs to know from the settings.
#[derive(Debug, Clone)]
pub struct Limits {
    /// How long a caller may retry with the same key; records are kept for as long.
    pub horizon_ms: u64,
    /// How many bytes of answers are kept for one organisation.
    pub organisation_bytes: usize,
}

/// The records that an earlier holder hands to a new one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Handover {
    /// Who sends it.
    pub from: Member,
    /// The epoch under which the records were chosen.
    pub epoch: u64,
    /// The epochs in which the sender answered claims.
    pub complete_epochs: Vec<u64>,
    /// The records of which the receiver is a holder now.
    pub records: Vec<Record>,
    /// What the sender could not know.
    pub doubts: Vec<Doubt>,
}

/// What happens to a ledger.
#[derive(Debug)]
pub enum Event {
    /// A newer table is in force.
    Table(Arc<Table>),
    /// A batch from one sender; the replies carry `batch`.
    Batch {
        /// Names the batch in the action that answers it.
        batch: u64,
        /// The requests, in order.
        requests: Vec<Request>,
    },
    /// A new holder asks for records under a table that the caller has put into force here first.
    AskHandover {
        /// Names the question in the action that answers it.
        batch: u64,
        /// Who asks.
        to: Member,
        /// The asker's epoch.
        epoch: u64,
    },
    /// An earlier holder sent its records.
    Handover(Handover),
    /// Time has passed.
    Tick,
}

/// What a ledger wants done.
#[derive(Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer a batch.
    Reply {
        /// Which batch.
        batch: u64,
        /// One reply a request.
        replies: Vec<Reply>,
    },
    /// Answer a question for records; `None` tells the asker that this holder's epoch is older.
    Answer {
        /// Which question.
        batch: u64,
        /// The records.
        handover: Option<Handover>,
    },
    /// Ask an earlier holder for its records.
    Ask {
        /// Whom to ask.
        member: Member,
        /// Under which epoch.
        epoch: u64,
    },
}

/// The records and what is known about older ones.
#[derive(Debug)]
pub struct Ledger {
    me: Member,
    limits: Limits,
    table: Arc<Table>,
    complete_epochs: Vec<u64>,
    records: HashMap<Arc<str>, Record>,
    evidence: Evidence,
    doubts: Vec<Barred>,
    adopted_ms: u64,
    asked_ms: u64,
    held_bytes: BTreeMap<Arc<str>, usize>,
    ignored_events: u64,
}

#[derive(Debug)]
struct Barred {
    doubt: Doubt,
    until_ms: u64,
}

impl Ledger {
    /// An empty ledger of the instance `me`.
    pub fn new(me: Member, limits: Limits) -> Ledger {
        Ledger {
            me,
            limits,
            table: Arc::default(),
            complete_epochs: Vec::new(),
            records: HashMap::new(),
            evidence: Evidence::default(),
            doubts: Vec::new(),
            adopted_ms: 0,
            asked_ms: 0,
            held_bytes: BTreeMap::new(),
            ignored_events: 0,
        }
    }

    /// The instance that keeps it.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Whether this holder answers claims in the epoch in force.
    pub fn is_ready(&self) -> bool {
        self.complete_epochs.contains(&self.table.epoch())
    }

    /// How many events came late, twice or from strangers.
    pub fn ignored_events(&self) -> u64 {
        self.ignored_events
    }

    /// How many records are kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The record of `key`, if this instance holds one.
    pub fn record(&self, key: &str) -> Option<&Record> {
        self.records.get(key)
    }

    fn adopt(&mut self, table: Arc<Table>, now_ms: u64, out: &mut Vec<Action>) {
        if table.epoch() <= self.table.epoch() {
            self.ignored_events += 1;
            return;
        }
        self.table = table;
        self.evidence = Evidence { past: self.table.past.clone(), heard: Vec::new() };
        self.adopted_ms = now_ms;
        self.hear_myself();
        self.conclude(now_ms);
        self.ask_missing(now_ms, out);
    }

    /// This instance's own records count as heard.
    fn hear_myself(&mut self) {
        let complete_epochs = self.complete_epochs.clone();
        self.evidence.heard.push(Heard { member: self.me.clone(), complete_epochs });
    }

    fn ask_missing(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        if self.is_ready() {
            return;
        }
        self.asked_ms = now_ms;
        let epoch = self.table.epoch();
        for member in self.sources() {
            let is_heard = self.evidence.heard.iter().any(|heard| heard.member.is_same(&member));
            if !is_heard {
                out.push(Action::Ask { member, epoch });
            }
        }
    }

    /// Whoever may have records: the members just before, and those now that were members earlier.
    fn sources(&self) -> Vec<Member> {
        let Some(last) = self.table.past.first() else { return Vec::new() };
        let mut sources = last.members.clone();
        for member in &self.table.roster.members {
            let was_member = self.table.past.iter().any(|roster| roster.contains(member));
            if was_member && !last.contains(member) {
                sources.push(member.clone());
            }
        }
        sources.retain(|member| !member.is_same(&self.me));
        sources
    }

    /// Ends the questions once enough have answered, or time is up.
    fn conclude(&mut self, now_ms: u64) {
        if self.is_ready() {
            return;
        }
        let heard = |member: &Member| self.evidence.heard.iter().any(|h| h.member.is_same(member));
        let is_enough = self.evidence.covers_all();
        let all_heard = self.sources().iter().all(heard);
        let is_late = now_ms.saturating_sub(self.adopted_ms) >= SYNC_TIMEOUT_MS;
        if !is_enough && !all_heard && !is_late {
            return;
        }
        self.complete_epochs.push(self.table.epoch());
        if !is_enough {
            let doubt = Doubt {
                holder: self.me.clone(),
                roster: self.table.roster.clone(),
                evidence: self.evidence.clone(),
                left_ms: self.limits.horizon_ms,
            };
            self.bar(doubt, now_ms);
        }
    }

    fn bar(&mut self, doubt: Doubt, now_ms: u64) {
        let is_known = self.doubts.iter().any(|barred| {
            barred.doubt.holder == doubt.holder && barred.doubt.roster.epoch == doubt.roster.epoch
        });
        if !is_known {
            let until_ms = now_ms + doubt.left_ms;
            self.doubts.push(Barred { doubt, until_ms });
        }
    }

    fn quarantine_left_ms(&self, key: &str, now_ms: u64) -> Option<u64> {
        let barring = self.doubts.iter().filter(|barred| barred.doubt.bars(key));
        barring.map(|barred| barred.until_ms.saturating_sub(now_ms)).max()
    }

    fn hand_over(&self, to: &Member, now_ms: u64) -> Handover {
        let is_wanted = |record: &&Record| is_holder(&self.table.roster, to, &record.identity.key);
        let travelling = |record: &Record| {
            let mut record = record.clone();
            record.claimed_ms = now_ms.saturating_sub(record.claimed_ms);
            record
        };
        let doubts = self.doubts.iter().map(|barred| {
            let left_ms = barred.until_ms.saturating_sub(now_ms);
            Doubt { left_ms, ..barred.doubt.clone() }
        });
        Handover {
            from: self.me.clone(),
            epoch: self.table.epoch(),
            complete_epochs: self.complete_epochs.clone(),
            records: self.records.values().filter(is_wanted).map(travelling).collect(),
            doubts: doubts.collect(),
        }
    }

    fn take_handover(&mut self, handover: Handover, now_ms: u64) {
        let is_source = self.sources().iter().any(|member| member.is_same(&handover.from));
        let is_repeated = self.evidence.heard.iter().any(|h| h.member.is_same(&handover.from));
        let is_current = handover.epoch == self.table.epoch();
        if !is_current || !is_source || is_repeated {
            self.ignored_events += 1;
            return;
        }
        let Handover { from, complete_epochs, records, doubts, .. } = handover;
        self.evidence.heard.push(Heard { member: from, complete_epochs });
        doubts.into_iter().for_each(|doubt| self.bar(doubt, now_ms));
        for mut record in records {
            record.claimed_ms = now_ms.saturating_sub(record.claimed_ms);
            self.merge(record);
        }
        self.conclude(now_ms);
    }

    /// Keeps whichever of two records of a key says more.
    fn merge(&mut self, record: Record) {
        let key = Arc::clone(&record.identity.key);
        let Some(mine) = self.records.get_mut(&key) else {
            self.count_bytes(&record, true);
            self.records.insert(key, record);
            return;
        };
        let contested =
            mine.contested || record.contested || mine.identity.nonce != record.identity.nonce;
        mine.contested = contested;
        let newer_term = record.term > mine.term;
        let is_better = record.progress() > mine.progress();
        if !is_better && !newer_term {
            return;
        }
        let before = mine.clone();
        if is_better {
            let term = mine.term.max(record.term);
            *mine = Record { term, contested, ..record };
        } else {
            mine.term = record.term;
            mine.owner = record.owner;
        }
        let after = mine.clone();
        self.count_bytes(&before, false);
        self.count_bytes(&after, true);
    }

    fn answer(&mut self, request: Request, now_ms: u64) -> Reply {
        if request.epoch != self.table.epoch() {
            return Reply::Stale { epoch: self.table.epoch() };
        }
        if !self.is_ready() {
            return Reply::NotReady;
        }
        match request.op {
            Op::Claim { identity, owner } => self.claim(identity, owner, now_ms),
            Op::Release { identity } => self.release(&identity),
            Op::Append { identity, owner, term, from, tokens, stream } => {
                if let Some(reply) = self.refuse(&identity, term) {
                    return reply;
                }
                self.upsert(identity.clone(), owner, term, now_ms);
                let append = Append { term, from, tokens, stream };
                self.change(&identity.key, |record| append.apply(record))
            }
            Op::Settle { identity, owner, term, outcome } => {
                if let Some(reply) = self.refuse(&identity, term) {
                    return reply;
                }
                self.upsert(identity.clone(), owner, term, now_ms);
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
        if identity.kind == Kind::Call
            && let Some(left_ms) = self.quarantine_left_ms(&identity.key, now_ms)
        {
            return Reply::Quarantined { left_ms };
        }
        let key = Arc::clone(&identity.key);
        self.upsert(identity, owner, 1, now_ms);
        Reply::Granted(Box::new(self.records[&key].clone()))
    }

    fn release(&mut self, identity: &Identity) -> Reply {
        let Some(record) = self.records.get(&identity.key) else { return Reply::Absent };
        let is_claim_only = record.identity.nonce == identity.nonce
            && record.term == 1
            && record.journal.is_empty()
            && record.outcome.is_none()
            && !record.contested;
        if is_claim_only {
            self.records.remove(&identity.key);
        }
        Reply::Absent
    }

    /// Refuses messages of another run or of an owner that was fenced off.
    fn refuse(&self, identity: &Identity, term: u64) -> Option<Reply> {
        let record = self.records.get(&identity.key)?;
        let is_other_run = record.identity.nonce != identity.nonce;
        let is_fenced = is_other_run || term < record.term;
        is_fenced.then_some(Reply::Fenced { term: record.term })
    }

    fn upsert(&mut self, identity: Identity, owner: Owner, term: u64, now_ms: u64) {
        let key = Arc::clone(&identity.key);
        let record = self.records.entry(key).or_insert_with(|| Record {
            identity,
            owner: owner.clone(),
            term,
            journal_term: term,
            journal: Journal::default(),
            stream: None,
            outcome: None,
            contested: false,
            claimed_ms: now_ms,
        });
        if term > record.term {
            record.term = term;
            record.owner = owner;
        }
    }

    fn settle(&mut self, key: &str, outcome: Outcome) -> Reply {
        self.change(key, |record| {
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

    fn change(&mut self, key: &str, change: impl FnOnce(&mut Record) -> Reply) -> Reply {
        let Some(record) = self.records.get_mut(key) else { return Reply::Absent };
        let before = record.answer_bytes();
        let reply = change(record);
        let after = record.answer_bytes();
        let organisation = Arc::from(record.organisation());
        let held = self.held_bytes.entry(Arc::clone(&organisation)).or_insert(0);
        *held = (*held + after).saturating_sub(before);
        if *held > self.limits.organisation_bytes {
            self.evict(&organisation, key);
        }
        reply
    }

    /// Drops the oldest whole answers of an organisation; that they ran is kept.
    fn evict(&mut self, organisation: &Arc<str>, except: &str) {
        let is_whole = |record: &&mut Record| {
            record.outcome.is_some()
                && record.answer_bytes() > 0
                && record.organisation() == &**organisation
                && &*record.identity.key != except
        };
        let mut whole: Vec<_> = self.records.values_mut().filter(is_whole).collect();
        whole.sort_by_key(|record| record.claimed_ms);
        let held = self.held_bytes.entry(Arc::clone(organisation)).or_insert(0);
        for record in whole {
            if *held <= self.limits.organisation_bytes {
                return;
            }
            *held = held.saturating_sub(record.answer_bytes());
            record.journal = Journal::default();
            record.outcome = Some(Outcome::Evicted);
        }
    }

    fn count_bytes(&mut self, record: &Record, is_added: bool) {
        let held = self.held_bytes.entry(Arc::from(record.organisation())).or_insert(0);
        let bytes = record.answer_bytes();
        *held = if is_added { *held + bytes } else { held.saturating_sub(bytes) };
    }

    fn tick(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        self.doubts.retain(|barred| barred.until_ms > now_ms);
        self.conclude(now_ms);
        if now_ms.saturating_sub(self.asked_ms) >= SYNC_RETRY_MS {
            self.ask_missing(now_ms, out);
        }
        self.forget_old(now_ms);
    }

    fn forget_old(&mut self, now_ms: u64) {
        let horizon_ms = self.limits.horizon_ms;
        let is_old = |record: &Record| now_ms.saturating_sub(record.claimed_ms) > horizon_ms;
        let old = self.records.values().filter(|record| is_old(record));
        let keys: Vec<_> = old.map(|record| Arc::clone(&record.identity.key)).collect();
        for key in keys {
            if let Some(record) = self.records.remove(&key) {
                self.count_bytes(&record, false);
            }
        }
    }
}

/// An append that passed the fence.
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
            // The rest was never released under the older term.
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

fn is_holder(roster: &Roster, member: &Member, key: &str) -> bool {
    roster.holders(key).iter().any(|holder| holder.is_same(member))
}

impl Decide for Ledger {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, event: Event, now_ms: u64, _random: &mut dyn Random, out: &mut Vec<Action>) {
        match event {
            Event::Table(table) => self.adopt(table, now_ms, out),
            Event::Batch { batch, requests } => {
                let answer = |request| self.answer(request, now_ms);
                let replies = requests.into_iter().map(answer).collect();
                out.push(Action::Reply { batch, replies });
            }
            Event::AskHandover { batch, to, epoch } => {
                let is_known = self.table.epoch() >= epoch;
                let handover = is_known.then(|| self.hand_over(&to, now_ms));
                out.push(Action::Answer { batch, handover });
            }
            Event::Handover(handover) => self.take_handover(handover, now_ms),
            Event::Tick => self.tick(now_ms, out),
        }
    }
}
