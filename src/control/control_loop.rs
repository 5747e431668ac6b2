//! The control thread: it owns the blackboard, passes events to the decision and carries out the
//! actions. Traffic threads never wait for it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};

use crate::clock::{self, Clock};
use crate::control::blackboard::Snapshot;
use crate::control::membership::{Member, Table};
use crate::control::orders::{self, Lease, Order};
use crate::control::peers::Exchange;
use crate::control::{Action, Control, Event, Found, Key, Value};
use crate::decide::Decide;
use crate::error::Result;
use crate::peer;
use crate::request::engine::{self, Engine};
use crate::store::{Entry, Store, Write, Written};
use crate::supervisor::Supervisor;
use crate::wire::Witness;

/// The store's key of the table.
pub const TABLE_KEY: &str = "siskinrock/table";
/// The store's key of the configuration.
pub const DOCUMENT_KEY: &str = "siskinrock/config";
/// The store's key of the lease of orders.
const ORDERS_KEY: &str = "siskinrock/orders";
/// The timeout of an exchange.
const EXCHANGE_TIMEOUT_MS: u64 = 600;
/// The timeout of a question to a witness.
const WITNESS_TIMEOUT_MS: u64 = 900;
/// How long one watch waits for a change.
const WATCH_MS: u64 = 10_000;
/// The least backoff after a failed watch.
const WATCH_BACK_OFF_MS: u64 = 1_000;

/// A message to the control thread.
pub enum Message {
    /// An event for the decision.
    Event(Event),
    /// A peer's exchange, to be answered.
    Exchange(Exchange, oneshot::Sender<Exchange>),
}

/// What the control thread needs to run.
pub struct Parts {
    /// Receives messages.
    pub inbox: mpsc::UnboundedReceiver<Message>,
    /// Notices a call whose event never comes, without which the decision waits for ever.
    pub supervisor: Supervisor,
    /// Its own tasks send their events here.
    pub events: mpsc::UnboundedSender<Message>,
    /// The decision.
    pub control: Control,
    /// The clock.
    pub clock: Clock,
    /// The interval of ticks.
    pub tick_ms: u64,
    /// Addresses of peers to ask while this instance isn't in the table.
    pub seeds: Vec<Arc<str>>,
    /// The platform's store.
    pub store: Arc<dyn Store>,
    /// The upstreams.
    pub engine: Arc<dyn Engine>,
    /// The client for calls to peers.
    pub peers: peer::Client,
    /// Receives each new snapshot.
    pub publish: Box<dyn Fn(Arc<Snapshot>) + Send>,
    /// Receives each new table.
    pub adopt: Box<dyn Fn(Arc<Table>) + Send>,
    /// The log.
    pub log: slog::Logger,
}

/// Runs until all senders of messages are dropped.
pub async fn run(parts: Parts) {
    let mut control_loop =
        ControlLoop { parts, questions: HashMap::new(), next: 0, random: fastrand::Rng::new() };
    control_loop.run().await;
}

struct ControlLoop {
    parts: Parts,
    questions: HashMap<u64, oneshot::Sender<Exchange>>,
    next: u64,
    random: fastrand::Rng,
}

impl ControlLoop {
    async fn run(&mut self) {
        let mut ticks = tokio::time::interval(Duration::from_millis(self.parts.tick_ms));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                message = self.parts.inbox.recv() => match message {
                    Some(Message::Event(event)) => self.step(event),
                    Some(Message::Exchange(exchange, reply)) => self.take_exchange(exchange, reply),
                    None => return,
                },
                _ = ticks.tick() => self.step(Event::Tick),
            }
        }
    }

    fn take_exchange(&mut self, exchange: Exchange, reply: oneshot::Sender<Exchange>) {
        self.next += 1;
        self.questions.insert(self.next, reply);
        self.step(Event::Asked { id: self.next, exchange });
    }

    fn step(&mut self, event: Event) {
        let mut actions = Vec::new();
        let now_ms = self.parts.clock.now_ms();
        self.parts.control.step(event, now_ms, &mut self.random, &mut actions);
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Publish(snapshot) => (self.parts.publish)(snapshot),
            Action::Adopted(table) => {
                slog::info!(self.parts.log, "a newer table is in force";
                    "epoch" => table.epoch(), "members" => table.roster.members.len());
                (self.parts.adopt)(table);
            }
            Action::Answer { id, exchange } => {
                if let Some(reply) = self.questions.remove(&id) {
                    let _ = reply.send(exchange);
                }
            }
            Action::Read(key) => self.spawn(read(Arc::clone(&self.parts.store), key)),
            Action::Watch { key, after } => {
                self.spawn(watch(Arc::clone(&self.parts.store), key, after));
            }
            Action::WriteTable { table, expect } => {
                self.spawn(write_table(Arc::clone(&self.parts.store), table, expect));
            }
            Action::List => self.list(),
            Action::Poll(addr) => self.spawn(poll(Arc::clone(&self.parts.engine), addr)),
            Action::Send { to, exchange } => {
                self.spawn(send(self.parts.peers.clone(), to, exchange));
            }
            Action::AskSeeds(exchange) => self.ask_seeds(&exchange),
            Action::AskWitness { witness, suspect } => {
                slog::warn!(self.parts.log, "a peer does not answer; asking a witness";
                    "peer" => &*suspect.id, "witness" => &*witness.id);
                self.spawn(ask_witness(self.parts.peers.clone(), witness, suspect));
            }
            Action::TakeLease => self.take_lease(),
            Action::RenewLease(lease) => self.renew_lease(lease),
            Action::Order(order) => self.order(order),
        }
    }

    fn spawn(&self, work: impl Future<Output = Event> + Send + 'static) {
        let events = self.parts.events.clone();
        self.parts.supervisor.spawn("calls of control", async move {
            let event = work.await;
            let _ = events.send(Message::Event(event));
        });
    }

    fn list(&self) {
        let store = Arc::clone(&self.parts.store);
        let events = self.parts.events.clone();
        self.parts.supervisor.attempt("list of upstreams", async move {
            if let Ok(listed) = store.list().await {
                let _ = events.send(Message::Event(Event::Listed(listed)));
            }
        });
    }

    fn ask_seeds(&self, exchange: &Exchange) {
        for seed in &self.parts.seeds {
            let member = Member {
                id: Arc::clone(seed),
                incarnation: 0,
                addr: Arc::clone(seed),
                domain: Arc::from(""),
            };
            self.spawn(send(self.parts.peers.clone(), member, exchange.clone()));
        }
    }

    fn take_lease(&self) {
        let store = Arc::clone(&self.parts.store);
        let clock = self.parts.clock;
        let me = self.parts.control.board().me.id.to_string();
        self.spawn(async move { Event::Leased(take_lease(&*store, clock, me).await) });
    }

    fn renew_lease(&self, lease: Lease) {
        let store = Arc::clone(&self.parts.store);
        let clock = self.parts.clock;
        self.spawn(async move {
            let until_ms = clock.now_ms() + orders::LEASE_MS;
            let renewed = store.renew_lease(lease.id).await.ok();
            Event::Leased(renewed.map(|()| Lease { until_ms, ..lease }))
        });
    }

    fn order(&self, order: Order) {
        slog::info!(self.parts.log, "ordering models"; "upstream" => &*order.addr,
            "models" => order.models.iter().map(|m| &**m).collect::<Vec<_>>().join(" "),
            "fencing" => order.fencing);
        let engine = Arc::clone(&self.parts.engine);
        let clock = self.parts.clock;
        self.spawn(async move {
            let message = engine::Order {
                fencing: order.fencing,
                models: order.models.into_iter().collect(),
                timeout_ms: orders::ORDER_TIMEOUT_MS,
            };
            // The process may have been paused since the decision.
            if clock.now_ms() < order.send_until_ms {
                engine.order(&order.addr, &message).await;
            }
            Event::Ordered { addr: order.addr }
        });
    }
}

fn name_of(key: Key) -> &'static str {
    match key {
        Key::Table => TABLE_KEY,
        Key::Document => DOCUMENT_KEY,
    }
}

async fn read(store: Arc<dyn Store>, key: Key) -> Event {
    let found = match store.read(name_of(key)).await {
        Ok(Some(entry)) => parse(key, &entry),
        Ok(None) => Some(Found { value: Value::Absent, revision: 0 }),
        Err(_) => None,
    };
    Event::Read { key, found, was_watch: false }
}

async fn watch(store: Arc<dyn Store>, key: Key, after: u64) -> Event {
    let found = match store.watch(name_of(key), after, WATCH_MS).await {
        Ok(entry) => entry.and_then(|entry| parse(key, &entry)),
        Err(_) => {
            let back_off_ms = WATCH_BACK_OFF_MS + fastrand::u64(..WATCH_BACK_OFF_MS);
            tokio::time::sleep(Duration::from_millis(back_off_ms)).await;
            None
        }
    };
    Event::Read { key, found, was_watch: true }
}

fn parse(key: Key, entry: &Entry) -> Option<Found> {
    let value = match key {
        Key::Table => Value::Table(Arc::new(decode(&entry.value).ok()?)),
        Key::Document => Value::Document(Arc::new(decode(&entry.value).ok()?)),
    };
    Some(Found { value, revision: entry.revision })
}

fn decode<T: DeserializeOwned>(text: &str) -> Result<T> {
    serde_json::from_str(text).map_err(crate::error::Error::internal)
}

async fn write_table(store: Arc<dyn Store>, table: Arc<Table>, expect: u64) -> Event {
    let value = serde_json::to_string(&*table).unwrap_or_default();
    let written = store.write(TABLE_KEY, Write { value, expect, lease: None }).await;
    let (applied, revision) = match written {
        Written::Applied { revision } => (Some(true), revision),
        Written::Refused(_) | Written::NotSent => (Some(false), 0),
        Written::Unknown => (None, 0),
    };
    Event::TableWritten { table, applied, revision }
}

async fn poll(engine: Arc<dyn Engine>, addr: Arc<str>) -> Event {
    let load = engine.load(&addr).await;
    Event::Polled { addr, load, wall_ms: clock::wall_ms() }
}

async fn send(peers: peer::Client, to: Member, exchange: Exchange) -> Event {
    let answer = peers.post(&to.addr, "/peer/exchange", &exchange, EXCHANGE_TIMEOUT_MS).await;
    Event::Answered { from: to, answer }
}

async fn ask_witness(peers: peer::Client, witness: Member, suspect: Member) -> Event {
    let question = Witness { suspect: suspect.clone(), reaches: false };
    let path = "/peer/witness";
    let answer: Option<Witness> =
        peers.post(&witness.addr, path, &question, WITNESS_TIMEOUT_MS).await;
    Event::Witnessed { suspect, reaches: answer.map(|answer| answer.reaches) }
}

async fn take_lease(store: &dyn Store, clock: Clock, me: String) -> Option<Lease> {
    // Counted from before the call, so that the holder's deadline is earlier than the store's.
    let until_ms = clock.now_ms() + orders::LEASE_MS;
    if store.read(ORDERS_KEY).await.ok()?.is_some() {
        return None;
    }
    let id = store.grant_lease(orders::LEASE_MS).await.ok()?;
    let write = Write { value: me, expect: 0, lease: Some(id) };
    match store.write(ORDERS_KEY, write).await {
        Written::Applied { revision } => Some(Lease { id, fencing: revision, until_ms }),
        _ => None,
    }
}
