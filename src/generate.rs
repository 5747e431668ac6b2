//! Serving a generation: the shell around the owner's decision.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;

use crate::blackboard::{Counters, Snapshot};
use crate::claim::{self, Ask, Claimed};
use crate::copies::Copied;
use crate::decide::Decide;
use crate::door::Permit;
use crate::engine::{self, Failure, Start};
use crate::error::{Error, Kind, Result};
use crate::follow;
use crate::generation::{Action, Attempt, Event, Generation, Policy};
use crate::health::Sign;
use crate::membership::Member;
use crate::metrics::Sample;
use crate::node::Node;
use crate::placement;
use crate::record::{Identity, Op, Outcome, Record, Request, Stream};
use crate::registry::{Note, Row};
use crate::shared::{Shared, State};

/// How often a running generation is looked at.
const TICK_MS: u64 = 50;
/// How many upstreams one attempt asks.
const UPSTREAMS_PER_ATTEMPT: usize = 3;
/// What an engine is told of new work.
const PRIORITY_NEW: u8 = 1;
/// What an engine is told of resumed work.
const PRIORITY_RESUMED: u8 = 9;
/// Events that wait for the decision, after which an upstream is slowed down.
const EVENT_BUFFER: usize = 256;

/// A caller's request for a generation.
#[derive(Debug, Clone)]
pub struct Wanted {
    /// Whose it is.
    pub organisation: Arc<str>,
    /// What to claim.
    pub ask: Ask,
    /// The service that serves the model.
    pub service: Arc<str>,
    /// The model in the version that is in force, as `NAME@VERSION`.
    pub model: Arc<str>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// Where the answer ends at the latest.
    pub max_tokens: u32,
    /// The event that the caller saw last.
    pub last_event: Option<EventId>,
}

/// The name of a token event, as callers send it back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventId {
    /// The run that the token belongs to.
    pub nonce: u64,
    /// The token's index.
    pub index: u32,
}

impl fmt::Display for EventId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}.{}", self.nonce, self.index)
    }
}

impl EventId {
    /// Reads `RUN.INDEX`.
    pub fn parse(text: &str) -> Option<EventId> {
        let (nonce, index) = text.split_once('.')?;
        Some(EventId { nonce: u64::from_str_radix(nonce, 16).ok()?, index: index.parse().ok()? })
    }
}

/// Finds or starts the generation that a caller asks for.
///
/// # Errors
///
/// `key_reused`, `claim_unavailable`, `answer_expired` or `answer_lost`.
pub async fn open(node: &Arc<Node>, wanted: Wanted) -> Result<Arc<Shared>> {
    if let Some(shared) = node.registry.find(&wanted.ask.key).await {
        if shared.body_hash != wanted.ask.body_hash {
            return Err(Kind::KeyReused.into());
        }
        check_event(&wanted, shared.nonce)?;
        return Ok(shared);
    }
    match claim::take(node, &wanted.ask).await? {
        Claimed::Granted(identity) => start(node, wanted, identity).await,
        Claimed::Held(record) => join(node, wanted, *record),
    }
}

/// A caller may go on only with the run that it has seen tokens of.
fn check_event(wanted: &Wanted, nonce: u64) -> Result<()> {
    match wanted.last_event {
        Some(event) if event.nonce != nonce => Err(Kind::AnswerLost.into()),
        _ => Ok(()),
    }
}

async fn start(node: &Arc<Node>, wanted: Wanted, identity: Identity) -> Result<Arc<Shared>> {
    if wanted.last_event.is_some() {
        claim::give_back(node, identity).await;
        return Err(Kind::AnswerLost.into());
    }
    let shared = Arc::new(Shared::new(identity.nonce, identity.body_hash));
    register(node, &wanted, &shared);
    let node = Arc::clone(node);
    let for_task = Arc::clone(&shared);
    let streams = node.streams.clone();
    streams.spawn(wait_and_run(node, wanted, identity, for_task));
    Ok(shared)
}

fn join(node: &Arc<Node>, wanted: Wanted, record: Record) -> Result<Arc<Shared>> {
    check_event(&wanted, record.identity.nonce)?;
    let shared = Arc::new(Shared::new(record.identity.nonce, record.identity.body_hash));
    match record.outcome {
        Some(Outcome::Finished { tokens, reason }) => {
            shared.release(&record.journal, tokens);
            shared.set(State::Finished { reason });
        }
        Some(_) => return Err(Kind::AnswerExpired.into()),
        None => {
            register(node, &wanted, &shared);
            let follower = follow::Follower::new(Arc::clone(node), wanted, Arc::clone(&shared));
            node.streams.spawn(follower.run(record));
        }
    }
    Ok(shared)
}

/// Makes the generation known to peers, operators and further callers with the same key.
fn register(node: &Node, wanted: &Wanted, shared: &Arc<Shared>) {
    let Wanted { ask, organisation, service, .. } = wanted;
    let row = Row::new(&ask.key, shared.nonce, organisation, service);
    node.registry.begin(row, Some(Arc::clone(shared)));
}

async fn wait_and_run(node: Arc<Node>, wanted: Wanted, identity: Identity, shared: Arc<Shared>) {
    let since_ms = node.clock.now_ms();
    let policy = policy_of(&node, &wanted.service);
    match node.enter(&wanted.service, &wanted.organisation, policy.deadline_ms).await {
        Ok(permit) => {
            let generation = Generation::new(identity, node.owner(), policy);
            Runner::new(node, wanted, shared, generation, since_ms).run(Some(permit)).await;
        }
        Err(error) => {
            claim::give_back(&node, identity).await;
            shared.fail(&error);
            let sample = sample(&wanted, "refused", node.clock.now_ms() - since_ms);
            node.registry.end(shared.nonce, sample);
        }
    }
}

/// How a service wants its generations treated from now on.
pub fn policy_of(node: &Node, service: &str) -> Policy {
    let snapshot = node.snapshot();
    let kind = crate::document::ServiceKind::Generation;
    let default = crate::document::Service::new(kind);
    let service = snapshot.service(service).unwrap_or(&default);
    Policy {
        hedge: service.hedge,
        gap_floor_ms: service.gap_floor_ms,
        gap_ceiling_ms: service.gap_ceiling_ms,
        first_token_ms: service.first_token_ms,
        resumed_token_ms: service.resumed_token_ms,
        deadline_ms: node.clock.now_ms() + service.deadline_ms,
    }
}

/// A sample of a request that got nothing.
pub fn sample(wanted: &Wanted, outcome: &'static str, total_ms: u64) -> Sample {
    Sample {
        organisation: Arc::clone(&wanted.organisation),
        service: Arc::clone(&wanted.service),
        outcome,
        first_ms: None,
        total_ms,
        tokens: 0,
        extra_attempts: 0,
        resume_ms: 0,
    }
}

/// Drives one generation that this instance owns.
pub struct Runner {
    node: Arc<Node>,
    wanted: Wanted,
    shared: Arc<Shared>,
    generation: Generation,
    since_ms: u64,
    first_ms: Option<u64>,
    events: mpsc::Sender<Event>,
    inbox: mpsc::Receiver<Event>,
    attempts: HashMap<u32, Running>,
    late: Option<Late>,
    noted_tokens: u32,
}

struct Running {
    task: tokio::task::AbortHandle,
    stream: Option<Stream>,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Counts an upstream as late for as long as it lives.
struct Late(Arc<Counters>);

impl Late {
    fn new(counters: &Arc<Counters>) -> Late {
        counters.late.fetch_add(1, Ordering::Relaxed);
        Late(Arc::clone(counters))
    }
}

impl Drop for Late {
    fn drop(&mut self) {
        self.0.late.fetch_sub(1, Ordering::Relaxed);
    }
}

type Copying = FuturesUnordered<futures_util::future::BoxFuture<'static, Event>>;

impl Runner {
    /// A runner of `generation`, whose caller came at `since_ms`.
    pub fn new(
        node: Arc<Node>,
        wanted: Wanted,
        shared: Arc<Shared>,
        generation: Generation,
        since_ms: u64,
    ) -> Runner {
        let (events, inbox) = mpsc::channel(EVENT_BUFFER);
        Runner {
            node,
            wanted,
            shared,
            generation,
            since_ms,
            first_ms: None,
            events,
            inbox,
            attempts: HashMap::new(),
            late: None,
            noted_tokens: 0,
        }
    }

    /// Runs to the end; the permit is held until then.
    pub async fn run(mut self, permit: Option<Permit>) {
        self.shared.set(State::Running);
        let mut tables = self.node.tables.subscribe();
        let mut ticks = tokio::time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut copying = Copying::new();
        let roster = Arc::new(tables.borrow_and_update().roster.clone());
        let mut ended = self.step(Event::Roster(roster), &mut copying);
        while ended.is_none() {
            let event = tokio::select! {
                Some(event) = self.inbox.recv() => event,
                Some(event) = copying.next() => event,
                _ = ticks.tick() => self.tick(),
                Ok(()) = tables.changed() => {
                    Event::Roster(Arc::new(tables.borrow_and_update().roster.clone()))
                }
            };
            ended = self.step(event, &mut copying);
        }
        drop(permit);
        self.close(ended.unwrap_or("ended"));
    }

    fn tick(&mut self) -> Event {
        let snapshot = self.node.snapshot();
        self.mark_late(&snapshot);
        let tokens = self.generation.journal().len();
        if tokens != self.noted_tokens {
            self.noted_tokens = tokens;
            self.node.registry.note(self.shared.nonce, Note::Tokens(tokens));
        }
        Event::Tick { suspect_ourselves: snapshot.suspects_itself() }
    }

    fn mark_late(&mut self, snapshot: &Snapshot) {
        let limit_ms = policy_of(&self.node, &self.wanted.service).gap_floor_ms;
        let silence = self.generation.silence(self.node.clock.now_ms());
        let silent = silence.filter(|silence| silence.since_ms >= limit_ms);
        self.late = silent.and_then(|silence| {
            let entry = snapshot.upstream(&silence.upstream)?;
            Some(Late::new(&entry.counters))
        });
    }

    /// Feeds the decision; the outcome's name once the generation has ended here.
    fn step(&mut self, event: Event, copying: &mut Copying) -> Option<&'static str> {
        if let Event::Placed { attempt, stream } = &event {
            self.note_placed(*attempt, stream);
        }
        let mut actions = Vec::new();
        let now_ms = self.node.clock.now_ms();
        self.generation.step(event, now_ms, &mut fastrand::Rng::new(), &mut actions);
        let mut ended = None;
        for action in actions {
            ended = self.act(action, copying).or(ended);
        }
        ended
    }

    fn note_placed(&mut self, attempt: u32, stream: &Stream) {
        if let Some(running) = self.attempts.get_mut(&attempt) {
            running.stream = Some(stream.clone());
        }
        let upstream = Arc::clone(&stream.upstream);
        self.node.registry.note(self.shared.nonce, Note::Placed { upstream, attempt });
        slog::debug!(self.node.log, "an attempt was placed";
            "request" => &*self.wanted.ask.key, "attempt" => attempt,
            "organisation" => &*self.wanted.organisation, "upstream" => &*stream.upstream);
    }

    fn act(&mut self, action: Action, copying: &mut Copying) -> Option<&'static str> {
        match action {
            Action::Begin(attempt) => self.begin(attempt),
            Action::Cancel { attempt } => self.cancel(attempt),
            Action::Suspect { upstream } => self.node.notice(&upstream, Sign::Silent),
            Action::Copy { epoch, member, op } => {
                let holders = Arc::clone(&self.node.copiers);
                copying.push(Box::pin(copy(holders, epoch, member, op)));
            }
            Action::Release { to } => {
                let now_ms = self.node.clock.now_ms();
                self.first_ms.get_or_insert(now_ms.saturating_sub(self.since_ms));
                self.shared.release(self.generation.journal(), to);
            }
            Action::Finish { tokens: _, reason } => {
                self.shared.set(State::Finished { reason });
                return Some("done");
            }
            Action::Yield => {
                self.shared.fail(&Kind::Moved.into());
                return Some("moved");
            }
            Action::GiveUp => {
                let deadline_ms = self.node.clock.now_ms() - self.since_ms;
                self.shared.fail(&Kind::DeadlinePassed { deadline_ms }.into());
                return Some("late");
            }
        }
        None
    }

    fn begin(&mut self, attempt: Attempt) {
        let number = attempt.number;
        if number > 1 {
            slog::info!(self.node.log, "going on with another attempt";
                "request" => &*self.wanted.ask.key, "attempt" => number,
                "organisation" => &*self.wanted.organisation, "from" => attempt.from);
        }
        let job = Job {
            node: Arc::clone(&self.node),
            start: Start {
                stream_id: Arc::from(""),
                model: Arc::clone(&self.wanted.model),
                prompt: Arc::clone(&self.wanted.prompt),
                max_tokens: self.wanted.max_tokens,
                priority: if attempt.is_resumed { PRIORITY_RESUMED } else { PRIORITY_NEW },
                prefix: self.generation.journal().since(0).map(str::to_owned).collect(),
            },
            service: Arc::clone(&self.wanted.service),
            nonce: self.shared.nonce,
            attempt,
            events: self.events.clone(),
        };
        let task = tokio::spawn(job.run()).abort_handle();
        self.attempts.insert(number, Running { task, stream: None });
    }

    fn cancel(&mut self, attempt: u32) {
        let Some(mut running) = self.attempts.remove(&attempt) else { return };
        if let Some(stream) = running.stream.take() {
            let engine = Arc::clone(&self.node.engine);
            tokio::spawn(async move { engine.cancel(&stream.upstream, &stream.stream_id).await });
        }
    }

    fn close(&mut self, outcome: &'static str) {
        let extra = self.generation.extra();
        let total_ms = self.node.clock.now_ms().saturating_sub(self.since_ms);
        let sample = Sample {
            first_ms: self.first_ms,
            tokens: self.generation.journal().len(),
            extra_attempts: extra.attempts,
            resume_ms: extra.longest_resume_ms,
            ..sample(&self.wanted, outcome, total_ms)
        };
        slog::info!(self.node.log, "a generation has ended";
            "request" => &*self.wanted.ask.key, "organisation" => &*self.wanted.organisation,
            "outcome" => outcome, "tokens" => sample.tokens, "total_ms" => total_ms,
            "extra_attempts" => extra.attempts, "resume_ms" => extra.longest_resume_ms);
        self.node.registry.end(self.shared.nonce, sample);
    }
}

async fn copy(holders: Arc<dyn crate::peer::Holders>, epoch: u64, member: Member, op: Op) -> Event {
    let is_end = matches!(op, Op::Settle { .. });
    let reply = holders.ask(&member, Request { epoch, op }).await;
    let copied = Copied { epoch, member, reply };
    if is_end { Event::Settled(copied) } else { Event::Appended(copied) }
}

/// Work on one attempt.
struct Job {
    node: Arc<Node>,
    start: Start,
    service: Arc<str>,
    nonce: u64,
    attempt: Attempt,
    events: mpsc::Sender<Event>,
}

/// Counts a request as running on an upstream for as long as it lives.
pub struct InFlight(Arc<Counters>);

impl InFlight {
    /// Counts one more.
    pub fn new(counters: &Arc<Counters>) -> InFlight {
        let in_flight = counters.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        counters.peak.fetch_max(in_flight, Ordering::Relaxed);
        InFlight(Arc::clone(counters))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Job {
    async fn run(mut self) {
        let was_placed = self.attach().await || self.place().await;
        let number = self.attempt.number;
        let _ = self.events.send(Event::Lost { attempt: number, was_placed }).await;
    }

    /// Attaches to a stream that may still run; `true` if that worked.
    async fn attach(&mut self) -> bool {
        let Some(stream) = self.attempt.attach.take() else { return false };
        self.send(Event::Placed { attempt: self.attempt.number, stream: stream.clone() }).await;
        let engine = Arc::clone(&self.node.engine);
        let from = self.attempt.from;
        match engine.attach(&stream.upstream, &stream.stream_id, from).await {
            Ok(events) => {
                self.pass_on(&stream.upstream, events).await;
                true
            }
            Err(_) => false,
        }
    }

    /// Asks upstreams until one takes the work; `true` if one did.
    async fn place(&mut self) -> bool {
        let mut avoid = std::mem::take(&mut self.attempt.avoid);
        for again in 0..UPSTREAMS_PER_ATTEMPT {
            let Some(addr) = self.choose(&avoid) else { return false };
            let name =
                format!("{:x}-{}-{again}-{:x}", self.nonce, self.attempt.number, fastrand::u32(..));
            self.start.stream_id = Arc::from(name);
            let stream = Stream {
                upstream: Arc::clone(&addr),
                stream_id: Arc::clone(&self.start.stream_id),
                model: Arc::clone(&self.start.model),
            };
            self.send(Event::Placed { attempt: self.attempt.number, stream }).await;
            let engine = Arc::clone(&self.node.engine);
            match engine.start(&addr, &self.start).await {
                Ok(events) => {
                    self.pass_on(&addr, events).await;
                    return true;
                }
                Err(Failure::Leaving) => self.node.notice(&addr, Sign::Leaving),
                Err(_) => self.node.notice(&addr, Sign::Refused),
            }
            avoid.push(addr);
        }
        false
    }

    fn choose(&self, avoid: &[Arc<str>]) -> Option<Arc<str>> {
        let snapshot = self.node.snapshot();
        let live = snapshot.live(&self.service, Some(&self.start.model));
        let candidates: Vec<_> = live.map(|entry| entry.candidate()).collect();
        placement::choose(&candidates, &self.start.prompt, avoid, &mut fastrand::Rng::new())
    }

    async fn pass_on(&self, upstream: &str, mut events: engine::Events) {
        let snapshot = self.node.snapshot();
        let _in_flight = snapshot.upstream(upstream).map(|entry| InFlight::new(&entry.counters));
        let attempt = self.attempt.number;
        while let Some(event) = events.next().await {
            let event = match event {
                engine::Event::Token { index, text } => Event::Token { attempt, index, text },
                engine::Event::End { tokens, reason } => {
                    Event::End { attempt, tokens, reason: Arc::from(reason) }
                }
            };
            self.send(event).await;
        }
    }

    async fn send(&self, event: Event) {
        // The receiver goes only after the generation has ended.
        let _ = self.events.send(event).await;
    }
}

/// The error of a model that has no version in force.
pub fn no_model(snapshot: &Snapshot, name: &str) -> Error {
    let known = snapshot.document.models.keys().map(|key| &**key);
    let hint = crate::error::did_you_mean(name, known);
    Kind::NoModel { name: name.to_owned(), hint }.into()
}
