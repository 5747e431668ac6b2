//! Drives a generation that this instance owns: carries out what [`Generation`] decides.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;

use crate::control::blackboard::{Late, Snapshot};
use crate::control::health::Observation;
use crate::control::membership::Member;
use crate::decide::Decide;
use crate::error::Kind;
use crate::metrics::Sample;
use crate::node::Node;
use crate::operators::document::{Service, ServiceKind};
use crate::peer::Holders;
use crate::records::copies::Copied;
use crate::records::record::{Op, Request, Stream};
use crate::request::admission_task::Permit;
use crate::request::attempt::Job;
use crate::request::engine::Start;
use crate::request::generation::{Action, Attempt, Event, Generation, Policy};
use crate::request::generation_request::GenerationRequest;
use crate::request::registry::Note;
use crate::request::shared::{Shared, State};

/// How often a running generation checks its timeouts.
const TICK_MS: u64 = 50;
/// The priority of new work at an engine.
const PRIORITY_NEW: u8 = 1;
/// The priority of resumed work at an engine.
const PRIORITY_RESUMED: u8 = 9;
/// The buffer for an attempt's events; when it is full, reading from the upstream pauses.
const EVENT_BUFFER: usize = 256;

/// The policy of a service's generations, with a deadline that counts from now.
pub fn policy_of(node: &Node, service: &str) -> Policy {
    let snapshot = node.snapshot();
    let default = Service::new(ServiceKind::Generation);
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

/// Drives one generation that this instance owns.
pub struct Runner {
    node: Arc<Node>,
    generation_request: GenerationRequest,
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

type Copying = FuturesUnordered<futures_util::future::BoxFuture<'static, Event>>;

impl Runner {
    /// A runner of `generation`, whose request arrived at `since_ms`.
    pub fn new(
        node: Arc<Node>,
        generation_request: GenerationRequest,
        shared: Arc<Shared>,
        generation: Generation,
        since_ms: u64,
    ) -> Runner {
        let (events, inbox) = mpsc::channel(EVENT_BUFFER);
        Runner {
            node,
            generation_request,
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
        self.update_late(&snapshot);
        let tokens = self.generation.journal().len();
        if tokens != self.noted_tokens {
            self.noted_tokens = tokens;
            self.node.registry.note(self.shared.nonce, Note::Tokens(tokens));
        }
        Event::Tick { is_likely_local_fault: snapshot.is_likely_local_fault() }
    }

    fn update_late(&mut self, snapshot: &Snapshot) {
        let limit_ms = policy_of(&self.node, &self.generation_request.service).gap_floor_ms;
        let silence = self.generation.silence(self.node.clock.now_ms());
        let silent = silence.filter(|silence| silence.since_ms >= limit_ms);
        self.late = silent.and_then(|silence| {
            let entry = snapshot.upstream(&silence.upstream)?;
            Some(Late::new(&entry.counters))
        });
    }

    /// Passes an event to the decision; the outcome's name once the generation has ended here.
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
            "request" => &*self.generation_request.claim_request.key, "attempt" => attempt,
            "organisation" => &*self.generation_request.organisation, "upstream" => &*stream.upstream);
    }

    fn act(&mut self, action: Action, copying: &mut Copying) -> Option<&'static str> {
        match action {
            Action::Begin(attempt) => self.begin(attempt),
            Action::Cancel { attempt } => self.cancel(attempt),
            Action::Suspect { upstream } => {
                self.node.report_observation(&upstream, Observation::Silent)
            }
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
                "request" => &*self.generation_request.claim_request.key, "attempt" => number,
                "organisation" => &*self.generation_request.organisation, "from" => attempt.from);
        }
        let job = Job {
            node: Arc::clone(&self.node),
            start: Start {
                stream_id: Arc::from(""),
                model: Arc::clone(&self.generation_request.model),
                prompt: Arc::clone(&self.generation_request.prompt),
                max_tokens: self.generation_request.max_tokens,
                priority: if attempt.is_resumed { PRIORITY_RESUMED } else { PRIORITY_NEW },
                prefix: self.generation.journal().since(0).map(str::to_owned).collect(),
            },
            service: Arc::clone(&self.generation_request.service),
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
        let overhead = self.generation.overhead();
        let total_ms = self.node.clock.now_ms().saturating_sub(self.since_ms);
        let sample = Sample {
            first_ms: self.first_ms,
            tokens: self.generation.journal().len(),
            extra_attempts: overhead.attempts,
            resume_ms: overhead.longest_resume_ms,
            ..self.generation_request.sample(outcome, total_ms)
        };
        slog::info!(self.node.log, "a generation has ended";
            "request" => &*self.generation_request.claim_request.key, "organisation" => &*self.generation_request.organisation,
            "outcome" => outcome, "tokens" => sample.tokens, "total_ms" => total_ms,
            "extra_attempts" => overhead.attempts, "resume_ms" => overhead.longest_resume_ms);
        self.node.registry.end(self.shared.nonce, sample);
    }
}

async fn copy(holders: Arc<dyn Holders>, epoch: u64, member: Member, op: Op) -> Event {
    let is_end = matches!(op, Op::Settle { .. });
    let reply = holders.ask(&member, Request { epoch, op }).await;
    let copied = Copied { epoch, member, reply };
    if is_end { Event::Settled(copied) } else { Event::Appended(copied) }
}
