//! The owner's decisions about one generation: which tokens are accepted, when they may be
//! released, and when to continue on another upstream.
//!
//! A token is accepted only from a current attempt and only at the journal's end, so that a late
//! token of an older attempt never reaches the caller. Each new attempt continues from the accepted prefix.
//! See [docs/DESIGN.md](../../../docs/DESIGN.md#generations).

mod message;
mod silence_timeout;

use std::sync::Arc;

use crate::control::membership::Roster;
use crate::decide::{Decide, Random};
use crate::records::copies::{Copies, Due};
use crate::records::journal::Journal;
use crate::records::record::{Identity, Op, Outcome, Owner, Stream};

pub use message::{Action, Attempt, Event, Policy};

use silence_timeout::SilenceTimeout;

/// Two ticks that are further apart than this mean that this process itself was paused.
const LOCAL_PAUSE_MS: u64 = 400;
/// The longest backoff while no upstream accepts the work.
const MAX_BACKOFF_MS: u64 = 1_000;
/// The first backoff.
const MIN_BACKOFF_MS: u64 = 20;

/// An attempt that may still send tokens.
#[derive(Debug)]
struct LiveAttempt {
    number: u32,
    stream: Option<Stream>,
    last_event_ms: u64,
    is_resumed: bool,
    has_token: bool,
    was_attached: bool,
}

/// The overhead compared with a run without failures.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Overhead {
    /// Attempts after the first.
    pub attempts: u32,
    /// Tokens that came from attempts that were no longer current, or twice.
    pub dropped_tokens: u32,
    /// The longest time without an accepted token after a loss.
    pub longest_resume_ms: u64,
}

/// What a lost owner's generation had reached, according to its holders.
#[derive(Debug, Clone, Default)]
pub struct Prefix {
    /// The accepted tokens.
    pub journal: Journal,
    /// The stream that may still run.
    pub stream: Option<Stream>,
}

/// The silence of the upstream whose next token is awaited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Silence {
    /// The upstream.
    pub upstream: Arc<str>,
    /// For how long.
    pub since_ms: u64,
}

/// One generation at its owner.
#[derive(Debug)]
pub struct Generation {
    identity: Identity,
    owner: Owner,
    term: u64,
    policy: Policy,
    journal: Journal,
    copies: Copies,
    live: Vec<LiveAttempt>,
    next_attempt: u32,
    avoid: Vec<Arc<str>>,
    attach: Option<Stream>,
    retry_at_ms: Option<u64>,
    backoff_ms: u64,
    silence_timeout: SilenceTimeout,
    last_token_ms: u64,
    lost_at_ms: Option<u64>,
    last_tick_ms: u64,
    ending: Option<Arc<str>>,
    released: u32,
    closed: bool,
    overhead: Overhead,
}

impl Generation {
    /// A new generation, owned under the first term.
    pub fn new(identity: Identity, owner: Owner, policy: Policy) -> Generation {
        Generation {
            identity,
            owner,
            term: 1,
            policy,
            journal: Journal::default(),
            copies: Copies::default(),
            live: Vec::new(),
            next_attempt: 1,
            avoid: Vec::new(),
            attach: None,
            retry_at_ms: None,
            backoff_ms: MIN_BACKOFF_MS,
            silence_timeout: SilenceTimeout::default(),
            last_token_ms: 0,
            lost_at_ms: None,
            last_tick_ms: 0,
            ending: None,
            released: 0,
            closed: false,
            overhead: Overhead::default(),
        }
    }

    /// A generation that is taken over under `term` and continues from `prefix`.
    pub fn resume(
        identity: Identity,
        owner: Owner,
        policy: Policy,
        term: u64,
        prefix: Prefix,
    ) -> Generation {
        let mut generation = Generation::new(identity, owner, policy);
        generation.term = term;
        generation.journal = prefix.journal;
        generation.attach = prefix.stream;
        generation
    }

    /// Records the journal that a holder reported at a take-over, so that only the rest is sent to it.
    pub fn note_prefix(&mut self, roster: &Roster, id: &str, theirs: &Journal) {
        self.copies.adopt(roster, &self.identity.key);
        self.copies.note_prefix(id, theirs, &self.journal);
    }

    /// The accepted tokens.
    pub fn journal(&self) -> &Journal {
        &self.journal
    }

    /// The overhead compared with a run without failures.
    pub fn overhead(&self) -> Overhead {
        self.overhead
    }

    /// How long the current stream has been silent, if it has sent a token.
    pub fn silence(&self, now_ms: u64) -> Option<Silence> {
        let live = self.live.first().filter(|live| live.has_token && self.ending.is_none())?;
        let upstream = Arc::clone(&live.stream.as_ref()?.upstream);
        Some(Silence { upstream, since_ms: now_ms.saturating_sub(live.last_event_ms) })
    }

    fn begin(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let number = self.next_attempt;
        self.next_attempt += 1;
        self.retry_at_ms = None;
        let attach = self.attach.take();
        let is_resumed = number > 1 || self.term > 1;
        if number > 1 {
            self.overhead.attempts += 1;
        }
        self.live.push(LiveAttempt {
            number,
            stream: None,
            last_event_ms: now_ms,
            is_resumed,
            has_token: false,
            was_attached: attach.is_some(),
        });
        out.push(Action::Begin(Attempt {
            number,
            from: self.journal.len(),
            attach,
            avoid: self.avoid.clone(),
            is_resumed,
        }));
    }

    fn position(&self, attempt: u32) -> Option<usize> {
        self.live.iter().position(|live| live.number == attempt)
    }

    fn take_token(
        &mut self,
        attempt: u32,
        index: u32,
        text: &str,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let position = self.position(attempt).filter(|_| self.ending.is_none());
        let Some(at) = position.filter(|_| index == self.journal.len()) else {
            self.overhead.dropped_tokens += 1;
            return;
        };
        self.keep_only(at, out);
        let live = &mut self.live[0];
        if live.has_token {
            let gap_ms = now_ms.saturating_sub(live.last_event_ms);
            self.silence_timeout.record_gap(gap_ms);
        }
        live.last_event_ms = now_ms;
        live.has_token = true;
        self.journal.push(text);
        self.last_token_ms = now_ms;
        self.backoff_ms = MIN_BACKOFF_MS;
        self.avoid.clear();
        if let Some(lost_at_ms) = self.lost_at_ms.take() {
            let waited_ms = now_ms.saturating_sub(lost_at_ms);
            self.overhead.longest_resume_ms = self.overhead.longest_resume_ms.max(waited_ms);
        }
        self.copy(now_ms, out);
    }

    /// The first accepted token decides between two attempts; the other is cancelled.
    fn keep_only(&mut self, at: usize, out: &mut Vec<Action>) {
        if self.live.len() == 1 {
            return;
        }
        let kept = self.live.swap_remove(at);
        for other in self.live.drain(..) {
            out.push(Action::Cancel { attempt: other.number });
        }
        self.live.push(kept);
    }

    fn take_end(
        &mut self,
        attempt: u32,
        tokens: u32,
        reason: Arc<str>,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(at) = self.position(attempt).filter(|_| self.ending.is_none()) else { return };
        if tokens != self.journal.len() {
            // Tokens were lost in transit: the accepted ones stand, the rest is generated again.
            self.lose_attempt(attempt, true, now_ms, out);
            return;
        }
        self.keep_only(at, out);
        self.ending = Some(reason);
        self.copy(now_ms, out);
    }

    fn lose_attempt(&mut self, attempt: u32, was_placed: bool, now_ms: u64, out: &mut Vec<Action>) {
        let Some(at) = self.position(attempt).filter(|_| self.ending.is_none()) else { return };
        let lost = self.live.swap_remove(at);
        if let Some(stream) = &lost.stream {
            self.avoid_upstream(stream);
        }
        if !self.live.is_empty() {
            return;
        }
        self.lost_at_ms.get_or_insert(lost.last_event_ms);
        if was_placed && (lost.has_token || lost.was_attached) {
            self.begin(now_ms, out);
        } else {
            self.retry_at_ms = Some(now_ms + self.backoff_ms);
            self.backoff_ms = (self.backoff_ms * 2).min(MAX_BACKOFF_MS);
        }
    }

    fn avoid_upstream(&mut self, stream: &Stream) {
        if !self.avoid.contains(&stream.upstream) {
            self.avoid.push(Arc::clone(&stream.upstream));
        }
    }

    fn tick(&mut self, is_likely_local_fault: bool, now_ms: u64, out: &mut Vec<Action>) {
        let paused_ms = now_ms.saturating_sub(self.last_tick_ms);
        if self.last_tick_ms > 0 && paused_ms > LOCAL_PAUSE_MS {
            // Tokens that arrived during the pause are still unread in the sockets.
            self.live.iter_mut().for_each(|live| live.last_event_ms = now_ms);
        }
        self.last_tick_ms = now_ms;
        if self.ending.is_none() {
            if now_ms >= self.policy.deadline_ms {
                self.close(Action::GiveUp, out);
                return;
            }
            self.suspect(is_likely_local_fault, now_ms, out);
        }
        if self.retry_at_ms.is_some_and(|retry_at_ms| retry_at_ms <= now_ms) {
            self.begin(now_ms, out);
        }
        self.copy(now_ms, out);
    }

    fn suspect(&mut self, is_likely_local_fault: bool, now_ms: u64, out: &mut Vec<Action>) {
        let is_silent = |live: &LiveAttempt| {
            let silent_ms = now_ms.saturating_sub(live.last_event_ms);
            silent_ms > self.silence_timeout.limit_ms(&self.policy, live, is_likely_local_fault)
        };
        if self.live.is_empty() || !self.live.iter().all(is_silent) {
            return;
        }
        let silent = self.live.remove(0);
        self.lost_at_ms.get_or_insert(silent.last_event_ms);
        if let Some(stream) = &silent.stream {
            self.avoid_upstream(stream);
            out.push(Action::Suspect { upstream: Arc::clone(&stream.upstream) });
        }
        if self.policy.hedge && self.live.is_empty() {
            // The silent attempt keeps running and may still send the next token first.
            self.live.push(silent);
        } else {
            out.push(Action::Cancel { attempt: silent.number });
        }
        self.begin(now_ms, out);
    }

    fn close(&mut self, last: Action, out: &mut Vec<Action>) {
        for live in self.live.drain(..) {
            out.push(Action::Cancel { attempt: live.number });
        }
        self.closed = true;
        out.push(last);
    }

    fn take_copied(&mut self, is_open: bool, now_ms: u64, out: &mut Vec<Action>) {
        if !is_open {
            // The new owner attaches to the stream, so it must not be cancelled here.
            self.live.clear();
            self.close(Action::Yield, out);
            return;
        }
        let committed = self.copies.committed();
        if committed > self.released {
            self.released = committed;
            out.push(Action::Release { to: committed });
        }
        self.copy(now_ms, out);
        self.finish_if_settled(out);
    }

    fn finish_if_settled(&mut self, out: &mut Vec<Action>) {
        if let Some(reason) = self.ending.clone().filter(|_| self.copies.is_settled()) {
            self.closed = true;
            out.push(Action::Finish { tokens: self.journal.len(), reason });
        }
    }

    fn copy(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let mut due = Vec::new();
        let ended = self.ending.is_some() && self.released == self.journal.len();
        self.copies.collect_due(self.journal.len(), ended, now_ms, &mut due);
        for due in due {
            let op = if due.settle { self.settle_op() } else { self.append_op(&due) };
            out.push(Action::Copy { epoch: self.copies.epoch(), member: due.member, op });
        }
    }

    fn append_op(&self, due: &Due) -> Op {
        Op::Append {
            identity: self.identity.clone(),
            owner: self.owner.clone(),
            term: self.term,
            from: due.from,
            tokens: self.journal.slice(due.from, self.journal.len()),
            stream: self.live.first().and_then(|live| live.stream.clone()),
        }
    }

    fn settle_op(&self) -> Op {
        let reason = self.ending.clone().unwrap_or_default();
        Op::Settle {
            identity: self.identity.clone(),
            owner: self.owner.clone(),
            term: self.term,
            outcome: Outcome::Finished { tokens: self.journal.len(), reason },
        }
    }
}

impl Decide for Generation {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, event: Event, now_ms: u64, _random: &mut dyn Random, out: &mut Vec<Action>) {
        if self.closed {
            return;
        }
        match event {
            Event::Roster(roster) => {
                self.copies.adopt(&roster, &self.identity.key);
                if self.next_attempt == 1 {
                    self.begin(now_ms, out);
                }
                self.copy(now_ms, out);
            }
            Event::Placed { attempt, stream } => {
                if let Some(at) = self.position(attempt) {
                    self.live[at].stream = Some(stream);
                }
            }
            Event::Token { attempt, index, text } => {
                self.take_token(attempt, index, &text, now_ms, out);
            }
            Event::End { attempt, tokens, reason } => {
                self.take_end(attempt, tokens, reason, now_ms, out);
            }
            Event::Lost { attempt, was_placed } => {
                self.lose_attempt(attempt, was_placed, now_ms, out)
            }
            Event::Appended(copied) => {
                let is_open = self.copies.take(&copied, false, now_ms);
                self.take_copied(is_open, now_ms, out);
            }
            Event::Settled(copied) => {
                let is_open = self.copies.take(&copied, true, now_ms);
                self.take_copied(is_open, now_ms, out);
            }
            Event::Tick { is_likely_local_fault } => self.tick(is_likely_local_fault, now_ms, out),
        }
    }
}
