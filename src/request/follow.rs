//! Relays a generation that another instance owns, and takes it over if that instance is lost.

use std::sync::Arc;
use std::time::Duration;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use serde::{Deserialize, Serialize};

use crate::error::Kind;
use crate::node::Node;
use crate::records::record::{Identity, Op, Outcome, Record};
use crate::records::vote::{self, Grant, Verdict};
use crate::request::claim::{self, Claimed};
use crate::request::generation::{Generation, Prefix};
use crate::request::generation_request::GenerationRequest;
use crate::request::registry::Note;
use crate::request::runner::{self, Runner};
use crate::request::shared::{Shared, State};

/// An owner that sends nothing for this long counts as lost; it pings every [`PING_INTERVAL_MS`].
const OWNER_TIMEOUT_MS: u64 = 1_200;
/// How often an owner sends a ping when it has nothing else to send.
pub const PING_INTERVAL_MS: u64 = 300;

/// A message of an owner to an instance that relays its generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayMessage {
    /// The owner is alive.
    Ping,
    /// The next token.
    Token {
        /// Its index.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The explicit end.
    End {
        /// How many tokens there are.
        tokens: u32,
        /// Why the engine stopped.
        reason: Arc<str>,
    },
}

/// Relays one generation to its callers.
pub struct Follower {
    node: Arc<Node>,
    generation_request: GenerationRequest,
    shared: Arc<Shared>,
    since_ms: u64,
}

/// What a follower does after its owner was lost or has ended.
enum NextStep {
    /// The generation has ended.
    Ended,
    /// Another instance owns it: relay from there.
    Follow(Box<Record>),
    /// This instance has become its owner and must continue with this model version.
    Own(Box<Generation>, Arc<str>),
    /// No record of it is left, and its callers have seen no token.
    StartOver,
    /// The holders can't be reached now.
    Wait,
}

impl Follower {
    /// A follower that writes to `shared`.
    pub fn new(
        node: Arc<Node>,
        generation_request: GenerationRequest,
        shared: Arc<Shared>,
    ) -> Follower {
        let since_ms = node.clock.now_ms();
        Follower { node, generation_request, shared, since_ms }
    }

    /// Relays the generation until it ends, at this instance or another.
    pub async fn run(self, record: Record) {
        let mut record = record;
        let deadline_ms =
            runner::policy_of(&self.node, &self.generation_request.service).deadline_ms;
        while self.node.clock.now_ms() < deadline_ms {
            let is_elsewhere = record.owner.id != self.node.me.id;
            if is_elsewhere && self.relay(&record).await {
                return self.end("passed_on");
            }
            match self.take_over(&record).await {
                NextStep::Ended => return self.end("passed_on"),
                NextStep::Follow(newer) => record = *newer,
                NextStep::Own(generation, model) => {
                    let node = Arc::clone(&self.node);
                    let shared = Arc::clone(&self.shared);
                    let generation_request = GenerationRequest { model, ..self.generation_request };
                    let runner =
                        Runner::new(node, generation_request, shared, *generation, self.since_ms);
                    return runner.run(None).await;
                }
                NextStep::StartOver => {
                    // Its owner released the claim before it ran, so the caller may retry.
                    self.shared.fail(&Kind::ClaimUnavailable { retry_after_ms: 100 }.into());
                    return self.end("refused");
                }
                NextStep::Wait => claim::back_off().await,
            }
        }
        let deadline_ms = self.node.clock.now_ms() - self.since_ms;
        self.shared.fail(&Kind::DeadlinePassed { deadline_ms }.into());
        self.end("late");
    }

    fn end(&self, outcome: &'static str) {
        let total_ms = self.node.clock.now_ms().saturating_sub(self.since_ms);
        let sample = self.generation_request.sample(outcome, total_ms);
        self.node.registry.end(self.shared.nonce, sample);
    }

    /// Relays the owner's stream; `true` if it reached the explicit end.
    async fn relay(&self, record: &Record) -> bool {
        let key = &record.identity.key;
        let from = self.shared.released();
        let opening = self.node.peers.follow(&record.owner.addr, key, from);
        let silence_timeout = Duration::from_millis(OWNER_TIMEOUT_MS);
        let Ok(Some(response)) = tokio::time::timeout(silence_timeout, opening).await else {
            return false;
        };
        self.shared.set(State::Running);
        let mut events = response.bytes_stream().eventsource();
        while let Ok(Some(Ok(event))) = tokio::time::timeout(silence_timeout, events.next()).await {
            match serde_json::from_str(&event.data) {
                Ok(RelayMessage::Ping) => {}
                Ok(RelayMessage::Token { index, text })
                    if self.shared.release_next(index, &text) => {}
                Ok(RelayMessage::End { tokens, reason }) if tokens == self.shared.released() => {
                    self.shared.set(State::Finished { reason });
                    return true;
                }
                _ => return false,
            }
        }
        false
    }

    /// Asks the holders for the next term, which makes this instance the owner.
    async fn take_over(&self, record: &Record) -> NextStep {
        let identity = record.identity.clone();
        let term = record.term + 1;
        let op = Op::TakeOver { identity: identity.clone(), owner: self.node.owner(), term };
        match self.node.vote(&op).await {
            Verdict::Granted(grants) => self.resume_from(identity, term, grants),
            Verdict::Fenced { .. } | Verdict::Held(_) => self.find_owner(&identity).await,
            Verdict::Absent if self.shared.released() == 0 => NextStep::StartOver,
            Verdict::Absent => {
                self.shared.fail(&Kind::AnswerLost.into());
                NextStep::Ended
            }
            _ => NextStep::Wait,
        }
    }

    fn resume_from(&self, identity: Identity, term: u64, grants: Vec<Grant>) -> NextStep {
        let Some(best) = vote::best(&grants) else { return NextStep::Wait };
        match &best.outcome {
            Some(Outcome::Finished { tokens, reason }) => {
                self.shared.release(&best.journal, *tokens);
                self.shared.set(State::Finished { reason: Arc::clone(reason) });
                return NextStep::Ended;
            }
            Some(_) => {
                self.shared.fail(&Kind::AnswerExpired.into());
                return NextStep::Ended;
            }
            None => {}
        }
        slog::warn!(self.node.log, "taking over a generation"; "request" => &*identity.key,
            "from" => &*best.owner.id, "term" => term, "tokens" => best.journal.len());
        let event = format!("taken over by {} in term {term}", self.node.me.id);
        self.node.registry.note(self.shared.nonce, Note::Event(Arc::from(event)));
        let prefix = Prefix { journal: best.journal.clone(), stream: best.stream.clone() };
        let policy = runner::policy_of(&self.node, &self.generation_request.service);
        let owner = self.node.owner();
        let mut generation = Generation::resume(identity, owner, policy, term, prefix);
        let table = self.node.tables.borrow().clone();
        for grant in &grants {
            generation.note_prefix(&table.roster, &grant.holder, &grant.record.journal);
        }
        let model =
            best.stream.as_ref().map_or(&self.generation_request.model, |stream| &stream.model);
        NextStep::Own(Box::new(generation), Arc::clone(model))
    }

    async fn find_owner(&self, identity: &Identity) -> NextStep {
        claim::back_off().await;
        match claim::acquire(&self.node, &self.generation_request.claim_request).await {
            Ok(Claimed::Held(record)) if record.identity.nonce == identity.nonce => {
                NextStep::Follow(record)
            }
            Ok(Claimed::Granted(granted)) => {
                claim::release(&self.node, granted).await;
                NextStep::StartOver
            }
            Ok(Claimed::Held(_)) => {
                self.shared.fail(&Kind::AnswerLost.into());
                NextStep::Ended
            }
            Err(_) => NextStep::Wait,
        }
    }
}
