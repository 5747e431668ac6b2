//! The task that owns an instance's ledger. Batches reach it through a channel, so that requests
//! don't contend for a lock.

use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::control::membership::{Member, Table};
use crate::driver::{self, Driver};
use crate::peer;
use crate::records::ledger::{Action, Event, Handover, Ledger};
use crate::records::record::{Record, Reply, Request};
use crate::supervisor::Supervisor;
use crate::wire::AskHandover;

/// How often the ledger checks its timeouts.
const TICK_MS: u64 = 100;
/// The timeout of a handover request.
const HANDOVER_TIMEOUT_MS: u64 = 1_000;

/// A message to the task.
enum Message {
    Table(Arc<Table>),
    Batch(Vec<Request>, oneshot::Sender<Vec<Reply>>),
    AskHandover(AskHandover, oneshot::Sender<Option<Handover>>),
    Handover(Handover),
    Record(Arc<str>, oneshot::Sender<Option<Record>>),
    Status(oneshot::Sender<Status>),
}

/// The status of the ledger.
#[derive(Debug, Clone, Copy)]
pub struct Status {
    /// Whether it answers claims in the current epoch.
    pub is_ready: bool,
    /// How many records it keeps.
    pub records: usize,
    /// Events that were late, repeated or from instances that aren't in the roster.
    pub ignored_events: u64,
}

/// A handle to the ledger task.
#[derive(Clone)]
pub struct LedgerTask {
    messages: mpsc::UnboundedSender<Message>,
}

impl LedgerTask {
    /// Starts the task on the current runtime.
    pub fn spawn(
        ledger: Ledger,
        clock: Clock,
        client: peer::Client,
        supervisor: &Supervisor,
    ) -> LedgerTask {
        let (messages, inbox) = mpsc::unbounded_channel();
        let handle = LedgerTask { messages };
        let task = Task {
            ledger,
            clock,
            client,
            table: Arc::default(),
            handle: handle.clone(),
            batches: HashMap::new(),
            questions: HashMap::new(),
            next: 0,
        };
        supervisor.spawn("records", driver::run(task, inbox, TICK_MS));
        handle
    }

    /// Adopts a newer table.
    pub fn adopt(&self, table: Arc<Table>) {
        let _ = self.messages.send(Message::Table(table));
    }

    /// Applies a batch; empty if the task has ended.
    pub async fn apply(&self, requests: Vec<Request>) -> Vec<Reply> {
        self.ask(|reply| Message::Batch(requests, reply)).await.unwrap_or_default()
    }

    /// The records that a new holder asks for.
    pub async fn hand_over(&self, question: AskHandover) -> Option<Handover> {
        self.ask(|reply| Message::AskHandover(question, reply)).await.flatten()
    }

    /// The record of a key, for operators.
    pub async fn record(&self, key: &str) -> Option<Record> {
        self.ask(|reply| Message::Record(Arc::from(key), reply)).await.flatten()
    }

    /// The status of the ledger; `None` if the task has ended.
    pub async fn status(&self) -> Option<Status> {
        self.ask(Message::Status).await
    }

    async fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> Option<T> {
        let (reply, answered) = oneshot::channel();
        self.messages.send(message(reply)).ok()?;
        answered.await.ok()
    }
}

struct Task {
    ledger: Ledger,
    clock: Clock,
    client: peer::Client,
    table: Arc<Table>,
    handle: LedgerTask,
    batches: HashMap<u64, oneshot::Sender<Vec<Reply>>>,
    questions: HashMap<u64, oneshot::Sender<Option<Handover>>>,
    next: u64,
}

impl Driver for Task {
    type Decision = Ledger;
    type Message = Message;

    fn decision(&mut self) -> (&mut Ledger, u64) {
        (&mut self.ledger, self.clock.now_ms())
    }

    fn tick() -> Event {
        Event::Tick
    }

    fn take(&mut self, message: Message) {
        self.next += 1;
        let batch = self.next;
        match message {
            Message::Table(table) => self.adopt(table),
            Message::Batch(requests, reply) => {
                self.batches.insert(batch, reply);
                self.step(Event::Batch { batch, requests });
            }
            Message::AskHandover(AskHandover { slots, table }, reply) => {
                let epoch = table.epoch();
                self.adopt(table);
                self.questions.insert(batch, reply);
                self.step(Event::AskHandover { batch, epoch, slots });
            }
            Message::Handover(handover) => self.step(Event::Handover(handover)),
            Message::Record(key, reply) => {
                let _ = reply.send(self.ledger.record(&key).cloned());
            }
            Message::Status(reply) => {
                let status = Status {
                    is_ready: self.ledger.is_ready(),
                    records: self.ledger.len(),
                    ignored_events: self.ledger.ignored_events(),
                };
                let _ = reply.send(status);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Reply { batch, replies } => {
                if let Some(reply) = self.batches.remove(&batch) {
                    let _ = reply.send(replies);
                }
            }
            Action::Answer { batch, handover } => {
                if let Some(reply) = self.questions.remove(&batch) {
                    let _ = reply.send(handover);
                }
            }
            Action::Ask { member, slots, .. } => {
                let table = Arc::clone(&self.table);
                let question = AskHandover { slots, table };
                tokio::spawn(ask(self.client.clone(), self.handle.clone(), member, question));
            }
        }
    }
}

impl Task {
    fn adopt(&mut self, table: Arc<Table>) {
        if table.epoch() > self.table.epoch() {
            self.table = Arc::clone(&table);
            self.step(Event::Table(table));
        }
    }
}

async fn ask(client: peer::Client, handle: LedgerTask, member: Member, question: AskHandover) {
    let path = "/peer/handover";
    let answer = client.post(&member.addr, path, &question, HANDOVER_TIMEOUT_MS).await;
    let handover: Option<Handover> = answer.flatten();
    if let Some(handover) = handover {
        let _ = handle.messages.send(Message::Handover(handover));
    }
}
