//! A holder's records: who may run a request, how far it got and how it ended.
//!
//! The ledger is a pure decision ([`Decide`]). It never lets two runs of one key both be granted
//! by a majority, refuses owners of older terms, and after a change of the table answers only for
//! keys whose older claims it can know ([docs/DESIGN.md](../docs/DESIGN.md#claims)).

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::decide::{Decide, Random};
use crate::evidence::{self, Heard};
use crate::journal::Journal;
use crate::membership::{self, Member, Roster, Table};
use crate::record::{Identity, Kind, Op, Outcome, Owner, Record, Reply, Request, Stream};

/// How long a new holder waits for the records of earlier ones.
const SYNC_TIMEOUT_MS: u64 = 1_500;
/// How many epochs a holder remembers to have answered in, as many as the table does.
const ANSWERED_EPOCHS: usize = 64;
/// How many epochs back earlier holders are asked; a majority of one of them nearly always covers
/// the rest.
const SOURCE_EPOCHS: usize = 12;
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
    /// The sender's epoch; it answers in no earlier one any more.
    pub epoch: u64,
    /// What the sender knows of each slot that it was asked for.
    pub slots: Vec<SlotWord>,
    /// The records of those slots.
    pub records: Vec<Record>,
}

/// What an earlier holder knows of one slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotWord {
    /// Which slot.
    pub slot: u16,
    /// The epochs in which it answered for the slot.
    pub answered: Vec<u64>,
    /// For how long it refuses calls, since it could not know all earlier claims.
    pub barred_ms: u64,
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
        /// The asker's epoch.
        epoch: u64,
        /// The slots that it asks for.
        slots: Vec<u16>,
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
        /// For which slots.
        slots: Vec<u16>,
    },
}

/// The records and what is known about older ones.
#[derive(Debug)]
pub struct Ledger {
    me: Member,
    limits: Limits,
    table: Arc<Table>,
    records: HashMap<Arc<str>, Record>,
    slots: BTreeMap<u16, Slot>,
    adopted_ms: u64,
    asked_ms: u64,
    held_bytes: BTreeMap<Arc<str>, usize>,
    ignored_events: u64,
}

/// What this instance knows of a slot that it holds or held.
#[derive(Debug, Default)]
struct Slot {
    /// The epochs in which it answered.
    answered: Vec<u64>,
    /// Until when it refuses calls.
    barred_until_ms: u64,
    /// What it hears before it answers in the epoch in force.
    sync: Option<Sync>,
}

#[derive(Debug)]
struct Sync {
    sources: Vec<Member>,
    heard: Vec<Heard>,
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

impl Ledger {
    /// An empty ledger of the instance `me`.
    pub fn new(me: Member, limits: Limits) -> Ledger {
        Ledger {
            me,
            limits,
            table: Arc::default(),
            records: HashMap::new(),
            slots: BTreeMap::new(),
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

    /// Whether this holder answers for all of its slots in the epoch in force.
    pub fn is_ready(&self) -> bool {
        self.table.epoch() > 0 && self.slots.values().all(|slot| slot.sync.is_none())
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
        self.adopted_ms = now_ms;
        let earlier: Vec<_> = self.table.earlier().collect();
        let epoch = self.table.epoch();
        for number in 0..membership::SLOTS {
            if !self.table.roster.holds(&self.me, number) {
                if let Some(slot) = self.slots.get_mut(&number) {
                    slot.sync = None;
                }
                continue;
            }
            let slot = self.slots.entry(number).or_default();
            let last = slot.answered.last().copied().unwrap_or(0);
            if stays(&self.table, &earlier, &self.me, number, last) {
                slot.begin(epoch);
                continue;
            }
            let sources = sources(&earlier, &self.me, number);
            let mine = Heard { member: self.me.clone(), answered: slot.answered.clone() };
            slot.sync = Some(Sync { sources, heard: vec![mine] });
        }
        self.conclude(now_ms);
        self.ask_missing(now_ms, out);
    }

    fn ask_missing(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        self.asked_ms = now_ms;
        let mut asked: Vec<Action> = Vec::new();
        for (number, slot) in &self.slots {
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

    /// Ends the questions about each slot once enough have answered, or time is up.
    fn conclude(&mut self, now_ms: u64) {
        let epoch = self.table.epoch();
        let is_late = now_ms.saturating_sub(self.adopted_ms) >= SYNC_TIMEOUT_MS;
        for (number, slot) in &mut self.slots {
            let Some(sync) = &slot.sync else { continue };
            let is_covered = evidence::covers(&self.table, *number, &sync.heard);
            let is_over = is_late || sync.missing().next().is_none();
            if is_covered {
                slot.begin(epoch);
            } else if is_over {
                slot.barred_until_ms = now_ms + self.limits.horizon_ms;
                slot.begin(epoch);
            }
        }
    }

    fn hand_over(&self, slots: &[u16], now_ms: u64) -> Handover {
        let word = |number: &u16| {
            let slot = self.slots.get(number);
            let barred_until_ms = slot.map_or(0, |slot| slot.barred_until_ms);
            SlotWord {
                slot: *number,
                answered: slot.map(|slot| slot.answered.clone()).unwrap_or_default(),
                barred_ms: barred_until_ms.saturating_sub(now_ms),
            }
        };
        let is_wanted =
            |record: &&Record| slots.contains(&membership::slot_of(&record.identity.key));
        let travelling = |record: &Record| {
            let mut record = record.clone();
            record.claimed_ms = now_ms.saturating_sub(record.claimed_ms);
            record
        };
        Handover {
            from: self.me.clone(),
            epoch: self.table.epoch(),
            slots: slots.iter().map(word).collect(),
            records: self.records.values().filter(is_wanted).map(travelling).collect(),
        }
    }

    fn take_handover(&mut self, handover: Handover, now_ms: u64) {
        let Handover { from, epoch, slots, records } = handover;
        let mut is_news = false;
        for word in slots.into_iter().filter(|_| epoch == self.table.epoch()) {
            let Some(slot) = self.slots.get_mut(&word.slot) else { continue };
            let Some(sync) = &mut slot.sync else { continue };
            let is_missing = sync.missing().any(|source| source.is_same(&from));
            if is_missing {
                is_news = true;
                sync.heard.push(Heard { member: from.clone(), answered: word.answered });
                slot.barred_until_ms = slot.barred_until_ms.max(now_ms + word.barred_ms);
            }
        }
        if !is_news {
            self.ignored_events += 1;
            return;
        }
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
        let slot = self.slots.get(&membership::slot_of(&request.op.identity().key));
        if !slot.is_some_and(|slot| slot.answers_in(self.table.epoch())) {
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
        let slot = self.slots.get(&membership::slot_of(&identity.key));
        let barred_until_ms = slot.map_or(0, |slot| slot.barred_until_ms);
        if identity.kind == Kind::Call && barred_until_ms > now_ms {
            return Reply::Quarantined { left_ms: barred_until_ms - now_ms };
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
        let new = || Record::new(identity, owner.clone(), term, now_ms);
        let record = self.records.entry(key).or_insert_with(new);
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
        self.conclude(now_ms);
        if !self.is_ready() && now_ms.saturating_sub(self.asked_ms) >= SYNC_RETRY_MS {
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

impl Sync {
    fn missing(&self) -> impl Iterator<Item = &Member> {
        let is_heard = |source: &&Member| self.heard.iter().any(|h| h.member.is_same(source));
        self.sources.iter().filter(move |source| !is_heard(source))
    }
}

/// Whether `me`, which last answered for the slot in `last`, has held it ever since.
fn stays(table: &Table, earlier: &[Roster], me: &Member, slot: u16, last: u64) -> bool {
    let mut newer = &table.roster;
    for older in earlier.iter().take_while(|roster| roster.epoch >= last) {
        if !older.holds(me, slot) || !evidence::may_stay(older, newer, slot) {
            return false;
        }
        newer = older;
    }
    last > 0 && newer.epoch == last
}

/// Everyone else who held the slot lately.
fn sources(earlier: &[Roster], me: &Member, slot: u16) -> Vec<Member> {
    let mut sources: Vec<Member> = Vec::new();
    let lately = earlier.iter().take(SOURCE_EPOCHS);
    for member in lately.flat_map(|roster| roster.slot_holders(slot)) {
        let is_known = member.is_same(me) || sources.iter().any(|other| other.is_same(member));
        if !is_known {
            sources.push(member.clone());
        }
    }
    sources
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
            Event::AskHandover { batch, epoch, slots } => {
                let is_known = self.table.epoch() >= epoch;
                let handover = is_known.then(|| self.hand_over(&slots, now_ms));
                out.push(Action::Answer { batch, handover });
            }
            Event::Handover(handover) => self.take_handover(handover, now_ms),
            Event::Tick => self.tick(now_ms, out),
        }
    }
}
