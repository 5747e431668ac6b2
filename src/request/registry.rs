//! The task that lists every request of this instance, for peers and operators.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::clock;
use crate::metrics::{Metrics, Points, Sample};
use crate::request::shared::Shared;
use crate::supervisor::Supervisor;
use crate::wire::RunState;

/// How many ended requests are kept for queries.
const ENDED: usize = 500;
/// How many abandoned runs are kept: enough for the time that a claim may stay with a holder.
const ABANDONED: usize = 20_000;

/// A request in the operators' listing.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Row {
    /// `ORGANISATION/IDEMPOTENCY-KEY`.
    pub key: Arc<str>,
    /// The nonce of its run.
    pub nonce: u64,
    /// The organisation that sent it.
    pub organisation: Arc<str>,
    /// The service it goes to.
    pub service: Arc<str>,
    /// Its state: `waiting`, `running` or its outcome.
    pub state: Arc<str>,
    /// The upstream that runs it.
    pub upstream: Arc<str>,
    /// Attempts so far.
    pub attempts: u32,
    /// Tokens so far.
    pub tokens: u32,
    /// When it arrived, in milliseconds since 1970.
    pub since_ms: u64,
    /// Its events, oldest first.
    pub events: Vec<Arc<str>>,
}

impl Row {
    /// A request that has just arrived.
    pub fn new(key: &Arc<str>, nonce: u64, organisation: &Arc<str>, service: &Arc<str>) -> Row {
        Row {
            key: Arc::clone(key),
            nonce,
            organisation: Arc::clone(organisation),
            service: Arc::clone(service),
            state: Arc::from("waiting"),
            upstream: Arc::from(""),
            attempts: 0,
            tokens: 0,
            since_ms: clock::wall_ms(),
            events: Vec::new(),
        }
    }
}

enum Message {
    Begin(Box<Row>, Option<Arc<Shared>>),
    Note(u64, Note),
    Record(Sample),
    Close(u64, Arc<str>, u32),
    Claiming(u64),
    Abandon(u64),
    Find(Arc<str>, oneshot::Sender<Option<Arc<Shared>>>),
    State(u64, oneshot::Sender<RunState>),
    Rows(oneshot::Sender<Vec<Row>>),
    Points(oneshot::Sender<Vec<Points>>),
    Active(oneshot::Sender<usize>),
}

/// A change of a request.
#[derive(Debug, Clone)]
pub enum Note {
    /// It was sent to an upstream.
    Placed {
        /// Which upstream.
        upstream: Arc<str>,
        /// Which attempt.
        attempt: u32,
    },
    /// It got this many tokens.
    Tokens(u32),
    /// Another event for the listing.
    Event(Arc<str>),
}

/// A handle to the registry task.
#[derive(Clone)]
pub struct Registry {
    messages: mpsc::UnboundedSender<Message>,
}

impl Registry {
    /// Starts the task on the current runtime.
    pub fn spawn(metrics: Metrics, supervisor: &Supervisor) -> Registry {
        let (messages, inbox) = mpsc::unbounded_channel();
        supervisor.spawn("requests", Task::new(metrics).run(inbox));
        Registry { messages }
    }

    /// Adds a request; its generation can be found by its key.
    pub fn begin(&self, row: Row, shared: Option<Arc<Shared>>) {
        self.tell(Message::Begin(Box::new(row), shared));
    }

    /// Records a change of a request.
    pub fn note(&self, nonce: u64, note: Note) {
        self.tell(Message::Note(nonce, note));
    }

    /// Marks a request as ended and adds it to the histograms.
    pub fn end(&self, nonce: u64, sample: Sample) {
        self.close(nonce, sample.outcome, sample.tokens);
        self.record(sample);
    }

    /// Adds a request to the histograms.
    pub fn record(&self, sample: Sample) {
        self.tell(Message::Record(sample));
    }

    /// Marks a run as ended.
    pub fn close(&self, nonce: u64, outcome: &str, tokens: u32) {
        self.tell(Message::Close(nonce, Arc::from(outcome), tokens));
    }

    /// Records that a run is being claimed, so that peers that see its claim don't treat it as lost.
    pub fn claiming(&self, nonce: u64) {
        self.tell(Message::Claiming(nonce));
    }

    /// Records that a run was abandoned before anything was sent.
    pub fn abandon(&self, nonce: u64) {
        self.tell(Message::Abandon(nonce));
    }

    /// The generation with this key, if it is served here.
    pub async fn find(&self, key: &str) -> Option<Arc<Shared>> {
        self.ask(|reply| Message::Find(Arc::from(key), reply)).await.flatten()
    }

    /// The state of a run.
    pub async fn state(&self, nonce: u64) -> RunState {
        self.ask(|reply| Message::State(nonce, reply)).await.unwrap_or(RunState::Unknown)
    }

    /// All requests, running ones first.
    pub async fn rows(&self) -> Vec<Row> {
        self.ask(Message::Rows).await.unwrap_or_default()
    }

    /// The values of all histograms.
    pub async fn points(&self) -> Vec<Points> {
        self.ask(Message::Points).await.unwrap_or_default()
    }

    /// How many requests run.
    pub async fn active(&self) -> usize {
        self.ask(Message::Active).await.unwrap_or(0)
    }

    fn tell(&self, message: Message) {
        let _ = self.messages.send(message);
    }

    async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (reply, answered) = oneshot::channel();
        self.messages.send(message(reply)).ok()?;
        answered.await.ok()
    }
}

struct Task {
    metrics: Metrics,
    active: BTreeMap<u64, Row>,
    claiming: HashSet<u64>,
    ended: VecDeque<Row>,
    abandoned: VecDeque<u64>,
    generations: HashMap<Arc<str>, Arc<Shared>>,
}

impl Task {
    fn new(metrics: Metrics) -> Task {
        Task {
            metrics,
            active: BTreeMap::new(),
            claiming: HashSet::new(),
            ended: VecDeque::new(),
            abandoned: VecDeque::new(),
            generations: HashMap::new(),
        }
    }

    async fn run(mut self, mut inbox: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = inbox.recv().await {
            self.take(message);
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Begin(row, shared) => {
                if let Some(shared) = shared {
                    self.generations.insert(Arc::clone(&row.key), shared);
                }
                self.claiming.remove(&row.nonce);
                self.active.insert(row.nonce, *row);
            }
            Message::Note(nonce, note) => self.note(nonce, note),
            Message::Record(sample) => self.metrics.record(&sample),
            Message::Close(nonce, outcome, tokens) => self.close(nonce, &outcome, tokens),
            Message::Claiming(nonce) => drop(self.claiming.insert(nonce)),
            Message::Abandon(nonce) => {
                self.claiming.remove(&nonce);
                self.abandoned.push_back(nonce);
                let surplus = self.abandoned.len().saturating_sub(ABANDONED);
                self.abandoned.drain(..surplus);
            }
            Message::Find(key, reply) => drop(reply.send(self.generations.get(&key).cloned())),
            Message::State(nonce, reply) => drop(reply.send(self.state(nonce))),
            Message::Rows(reply) => {
                let rows = self.active.values().chain(self.ended.iter().rev());
                let _ = reply.send(rows.cloned().collect());
            }
            Message::Points(reply) => drop(reply.send(self.metrics.points())),
            Message::Active(reply) => drop(reply.send(self.active.len())),
        }
    }

    fn state(&self, nonce: u64) -> RunState {
        if self.abandoned.contains(&nonce) {
            RunState::Abandoned
        } else if self.active.contains_key(&nonce) || self.claiming.contains(&nonce) {
            RunState::Active
        } else {
            RunState::Unknown
        }
    }

    fn note(&mut self, nonce: u64, note: Note) {
        let Some(row) = self.active.get_mut(&nonce) else { return };
        let at_ms = clock::wall_ms().saturating_sub(row.since_ms);
        match note {
            Note::Placed { upstream, attempt } => {
                let event = format!("+{at_ms} ms: attempt {attempt} on {upstream}");
                row.events.push(Arc::from(event));
                row.upstream = upstream;
                row.attempts = row.attempts.max(attempt);
                row.state = Arc::from("running");
            }
            Note::Tokens(tokens) => row.tokens = tokens,
            Note::Event(event) => row.events.push(Arc::from(format!("+{at_ms} ms: {event}"))),
        }
    }

    fn close(&mut self, nonce: u64, outcome: &Arc<str>, tokens: u32) {
        let Some(mut row) = self.active.remove(&nonce) else { return };
        let is_same = |shared: &Arc<Shared>| shared.nonce == nonce;
        if self.generations.get(&row.key).is_some_and(is_same) {
            self.generations.remove(&row.key);
        }
        let ran_ms = clock::wall_ms().saturating_sub(row.since_ms);
        row.state = Arc::clone(outcome);
        row.tokens = tokens;
        row.events.push(Arc::from(format!("+{ran_ms} ms: {outcome}")));
        self.ended.push_back(row);
        let surplus = self.ended.len().saturating_sub(ENDED);
        self.ended.drain(..surplus);
    }
}
