//! The decision of the control thread: it hands each event to the controllers, which read and
//! write the blackboard, and collects what they want done.

use std::sync::Arc;

use crate::blackboard::{Board, Load, Snapshot};
use crate::decide::{Decide, Random};
use crate::document::Document;
use crate::health::{Health, Listed, Sign};
use crate::membership::{Member, Table};
use crate::orders::{self, Lease, Orders};
use crate::peers::{self, Exchange, Peers, Route, Spread};

/// Instances that watch nothing read the store this often, as a safety net.
const SAFETY_READ_MS: u64 = 30_000;
/// An instance outside the table tries to join this often.
const JOIN_MS: u64 = 300;

/// A key of the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// The table of instances.
    Table,
    /// The operators' configuration.
    Document,
}

/// A value that the store answered.
#[derive(Debug, Clone)]
pub enum Value {
    /// No such key.
    Absent,
    /// The table.
    Table(Arc<Table>),
    /// The configuration.
    Document(Arc<Document>),
}

/// What happens to the control state.
#[derive(Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A read or watch of the store ended; `None` if it failed or nothing changed.
    Read {
        /// Which key.
        key: Key,
        /// The value and the store's revision of it.
        found: Option<Found>,
        /// Whether this ends a watch.
        was_watch: bool,
    },
    /// A write of the table ended.
    TableWritten {
        /// The table that was written.
        table: Arc<Table>,
        /// Whether it was applied; `None` if that isn't known.
        applied: Option<bool>,
        /// The store's revision of it.
        revision: u64,
    },
    /// A configuration was accepted through this instance.
    Accepted(Arc<Document>),
    /// A peer asks for an exchange.
    Asked {
        /// Names the question in the action that answers it.
        id: u64,
        /// What the peer says.
        exchange: Exchange,
    },
    /// An exchange ended.
    Answered {
        /// Whom it was with.
        from: Member,
        /// What the peer said, `None` if nothing in time.
        answer: Option<Exchange>,
    },
    /// A witness told whether it reaches a suspect.
    Witnessed {
        /// The suspect.
        suspect: Member,
        /// The witness's view, `None` if it did not answer.
        reaches: Option<bool>,
    },
    /// The platform's list arrived.
    Listed(Vec<Listed>),
    /// A poll of an upstream ended.
    Polled {
        /// Which upstream.
        addr: Arc<str>,
        /// Its load, `None` if it did not answer.
        load: Option<Load>,
        /// The wall clock, for versions that instances compare.
        wall_ms: u64,
    },
    /// Traffic noticed something about an upstream.
    Noticed {
        /// Which upstream.
        addr: Arc<str>,
        /// What.
        sign: Sign,
    },
    /// A try to take or renew the lease of orders ended.
    Leased(Option<Lease>),
    /// An order ended.
    Ordered {
        /// The upstream.
        addr: Arc<str>,
    },
    /// A peer goes by another epoch.
    Differs(Member),
    /// A planned stop begins.
    Stop,
}

/// A value with the store's revision.
#[derive(Debug, Clone)]
pub struct Found {
    /// The value.
    pub value: Value,
    /// The store's revision, 0 for an absent key.
    pub revision: u64,
}

/// What the control state wants done.
#[derive(Debug)]
pub enum Action {
    /// Show traffic this snapshot.
    Publish(Arc<Snapshot>),
    /// Read a key.
    Read(Key),
    /// Wait for a change of a key.
    Watch {
        /// Which key.
        key: Key,
        /// The revision that is known.
        after: u64,
    },
    /// Write the table if the store still has `expect`.
    WriteTable {
        /// The new table.
        table: Arc<Table>,
        /// The store's revision that it was made from.
        expect: u64,
    },
    /// Read the platform's list of upstreams.
    List,
    /// Ask an upstream for its load.
    Poll(Arc<str>),
    /// Send an exchange.
    Send {
        /// To whom.
        to: Member,
        /// What.
        exchange: Exchange,
    },
    /// Answer a peer's exchange.
    Answer {
        /// Which question.
        id: u64,
        /// What to say.
        exchange: Exchange,
    },
    /// Ask a seed for everything it knows.
    AskSeeds(Exchange),
    /// Ask a witness about a suspect.
    AskWitness {
        /// Whom to ask.
        witness: Member,
        /// About whom.
        suspect: Member,
    },
    /// Try to take the lease of orders.
    TakeLease,
    /// Renew it.
    RenewLease(Lease),
    /// Send an order to an upstream.
    Order(orders::Order),
    /// A newer table is in force.
    Adopted(Arc<Table>),
}

/// The control state and its controllers.
pub struct Control {
    board: Board,
    peers: Peers,
    health: Health,
    orders: Orders,
    store: StoreView,
}

/// What is known of the store.
#[derive(Debug, Default)]
struct StoreView {
    table_revision: u64,
    document_revision: u64,
    is_reading_table: bool,
    is_writing_table: bool,
    is_watching: [bool; 2],
    read_ms: u64,
    join_ms: u64,
}

impl Control {
    /// The control state of the instance `me`.
    pub fn new(me: Member) -> Control {
        Control {
            board: Board::new(me),
            peers: Peers::default(),
            health: Health::default(),
            orders: Orders::default(),
            store: StoreView::default(),
        }
    }

    /// The blackboard, for tests and queries.
    pub fn board(&self) -> &Board {
        &self.board
    }

    fn tick(&mut self, now_ms: u64, random: &mut dyn Random, out: &mut Vec<Action>) {
        self.health.follow_document(&mut self.board, now_ms);
        self.follow_store(now_ms, out);
        let mut wishes = Vec::new();
        self.peers.tick(&self.board, now_ms, random, &mut wishes);
        fulfil(wishes, out);
        let due = self.health.due_polls(&self.board, now_ms, random);
        out.extend(due.into_iter().map(Action::Poll));
        let mut wishes = Vec::new();
        self.orders.tick(&self.board, self.is_watcher(), now_ms, &mut wishes);
        out.extend(wishes.into_iter().map(|wish| match wish {
            orders::Wish::Take => Action::TakeLease,
            orders::Wish::Renew(lease) => Action::RenewLease(lease),
            orders::Wish::Send(order) => Action::Order(order),
        }));
        self.publish(now_ms, out);
    }

    fn follow_store(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let is_outside = !self.board.is_member() && !self.board.is_stopping;
        let wants_change = is_outside
            || !self.peers.removals.is_empty()
            || (self.board.is_stopping && self.board.is_member());
        let is_join_due = now_ms.saturating_sub(self.store.join_ms) >= JOIN_MS;
        if wants_change && is_join_due && !self.store.is_writing_table {
            self.store.join_ms = now_ms;
            self.read_table(out);
        }
        if is_outside {
            out.push(Action::Read(Key::Document));
            out.push(Action::AskSeeds(self.greeting()));
        }
        let is_safety_due = now_ms.saturating_sub(self.store.read_ms) >= SAFETY_READ_MS;
        if self.is_watcher() {
            out.push(Action::List);
            self.watch(Key::Table, self.store.table_revision, out);
            self.watch(Key::Document, self.store.document_revision, out);
        } else if is_safety_due {
            self.store.read_ms = now_ms;
            out.push(Action::Read(Key::Document));
            self.read_table(out);
        }
    }

    /// The first member of each failure domain watches the store, and tells the others.
    fn is_watcher(&self) -> bool {
        let me = &self.board.me;
        let members = &self.board.table.roster.members;
        let first = members.iter().find(|member| member.domain == me.domain);
        first.is_some_and(|member| member.is_same(me))
    }

    fn watch(&mut self, key: Key, after: u64, out: &mut Vec<Action>) {
        let is_watching = &mut self.store.is_watching[key as usize];
        if !*is_watching {
            *is_watching = true;
            out.push(Action::Watch { key, after });
        }
    }

    fn read_table(&mut self, out: &mut Vec<Action>) {
        if !self.store.is_reading_table {
            self.store.is_reading_table = true;
            out.push(Action::Read(Key::Table));
        }
    }

    fn greeting(&self) -> Exchange {
        Exchange {
            from: self.board.me.clone(),
            epoch: self.board.table.epoch(),
            revision: self.board.document.revision,
            table: None,
            document: None,
            reports: Vec::new(),
            briefs: Vec::new(),
            route: None,
        }
    }

    fn hear_read(
        &mut self,
        key: Key,
        found: Option<Found>,
        was_watch: bool,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        if was_watch {
            self.store.is_watching[key as usize] = false;
        } else if key == Key::Table {
            self.store.is_reading_table = false;
        }
        let Some(found) = found else { return };
        let route = was_watch.then(|| self.route_in_domain());
        match found.value {
            Value::Table(table) => {
                self.store.table_revision = self.store.table_revision.max(found.revision);
                self.adopt(Some(table), None, route, now_ms, out);
            }
            Value::Document(document) => {
                self.store.document_revision = self.store.document_revision.max(found.revision);
                self.adopt(None, Some(document), route, now_ms, out);
            }
            Value::Absent => {}
        }
        if key == Key::Table && !was_watch {
            self.write_table(found.revision, out);
        }
    }

    /// Writes the table that this instance wants, over the one just read.
    fn write_table(&mut self, expect: u64, out: &mut Vec<Action>) {
        let board = &self.board;
        let mut table = Table::clone(&board.table);
        let suspects = self.peers.removals.iter();
        let lost: Vec<_> = suspects.filter(|m| table.roster.contains(m)).cloned().collect();
        if !lost.is_empty() {
            table = table.without(&lost);
        }
        let is_listed = table.roster.contains(&board.me);
        if board.is_stopping && is_listed {
            table = table.without(std::slice::from_ref(&board.me));
        } else if !board.is_stopping && !is_listed {
            table = table.with(board.me.clone());
        }
        if table.epoch() == board.table.epoch() || self.store.is_writing_table {
            return;
        }
        self.store.is_writing_table = true;
        out.push(Action::WriteTable { table: Arc::new(table), expect });
    }

    fn hear_written(
        &mut self,
        table: Arc<Table>,
        applied: Option<bool>,
        revision: u64,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        self.store.is_writing_table = false;
        if applied == Some(true) {
            self.store.table_revision = revision;
            let route = self.route_from_here();
            self.adopt(Some(table), None, Some(route), now_ms, out);
        } else {
            // Another instance was first, or the reply was lost: what the store has now decides.
            self.read_table(out);
        }
    }

    fn route_from_here(&self) -> Route {
        Route { origin: Arc::clone(&self.board.me.id), domain: None }
    }

    /// The other watchers learn the same from the store, and tell their own failure domains.
    fn route_in_domain(&self) -> Route {
        Route { domain: Some(Arc::clone(&self.board.me.domain)), ..self.route_from_here() }
    }

    /// Takes on what is newer, and passes it on if it came by a route.
    fn adopt(
        &mut self,
        table: Option<Arc<Table>>,
        document: Option<Arc<Document>>,
        route: Option<Route>,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let board = &mut self.board;
        let newer_table = table.filter(|table| table.epoch() > board.table.epoch());
        let newer_document = document.filter(|d| d.revision > board.document.revision);
        let news = Spread { table: newer_table.is_some(), document: newer_document.is_some() };
        if news == Spread::default() {
            return;
        }
        if let Some(table) = newer_table {
            board.table = Arc::clone(&table);
            self.peers.forget_removed(board);
            out.push(Action::Adopted(table));
        }
        if let Some(document) = newer_document {
            board.document = document;
            let mine = format!("{}#{}", board.me.id, board.me.incarnation);
            board.is_stopping |= board.document.stopping.contains(&*mine);
            self.health.follow_document(board, now_ms);
        }
        self.spread(route, news, now_ms, out);
        self.publish(now_ms, out);
    }

    fn spread(&mut self, route: Option<Route>, news: Spread, now_ms: u64, out: &mut Vec<Action>) {
        let Some(route) = route else { return };
        let mut wishes = Vec::new();
        self.peers.spread(&self.board, &route, news, now_ms, &mut wishes);
        fulfil(wishes, out);
    }

    fn hear_exchange(&mut self, exchange: &Exchange, now_ms: u64, out: &mut Vec<Action>) {
        let leaving = self.leaving();
        self.health.hear_reports(&mut self.board, exchange.reports.clone(), now_ms);
        self.health.hear_briefs(&mut self.board, exchange.briefs.clone(), now_ms);
        let table = exchange.table.clone();
        let document = exchange.document.clone();
        self.adopt(table, document, exchange.route.clone(), now_ms, out);
        if self.leaving() > leaving {
            self.spread(exchange.route.clone(), Spread::default(), now_ms, out);
            self.publish(now_ms, out);
        }
    }

    fn leaving(&self) -> usize {
        let upstreams = self.board.upstreams.values();
        upstreams.filter(|upstream| upstream.report.load.leaving).count()
    }

    fn publish(&self, now_ms: u64, out: &mut Vec<Action>) {
        out.push(Action::Publish(Arc::new(self.board.snapshot(now_ms))));
    }

    fn notice(&mut self, addr: &str, sign: Sign, now_ms: u64, out: &mut Vec<Action>) {
        let leaving = self.leaving();
        self.health.hear_sign(&mut self.board, addr, sign, now_ms);
        if self.leaving() > leaving {
            // Peers have to know at once that an upstream takes no more work.
            let route = self.route_from_here();
            self.spread(Some(route), Spread::default(), now_ms, out);
        }
        self.publish(now_ms, out);
    }
}

fn fulfil(wishes: Vec<peers::Wish>, out: &mut Vec<Action>) {
    out.extend(wishes.into_iter().map(|wish| match wish {
        peers::Wish::Send(to, exchange) => Action::Send { to, exchange },
        peers::Wish::AskWitness { witness, suspect } => Action::AskWitness { witness, suspect },
    }));
}

impl Decide for Control {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, event: Event, now_ms: u64, random: &mut dyn Random, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now_ms, random, out),
            Event::Read { key, found, was_watch } => {
                self.hear_read(key, found, was_watch, now_ms, out);
            }
            Event::TableWritten { table, applied, revision } => {
                self.hear_written(table, applied, revision, now_ms, out);
            }
            Event::Accepted(document) => {
                let route = self.route_from_here();
                self.adopt(None, Some(document), Some(route), now_ms, out);
            }
            Event::Asked { id, exchange } => {
                self.hear_exchange(&exchange, now_ms, out);
                let answer = self.peers.answer(&self.board, &exchange);
                out.push(Action::Answer { id, exchange: answer });
            }
            Event::Answered { from, answer } => {
                let mut wishes = Vec::new();
                let heard = answer.as_ref();
                self.peers.hear_answer(&self.board, &from, heard, now_ms, random, &mut wishes);
                fulfil(wishes, out);
                if let Some(exchange) = answer {
                    self.hear_exchange(&exchange, now_ms, out);
                }
            }
            Event::Witnessed { suspect, reaches } => {
                self.peers.hear_witness(&suspect, reaches, now_ms);
            }
            Event::Listed(listed) => self.health.hear_list(&mut self.board, listed, now_ms),
            Event::Polled { addr, load, wall_ms } => {
                self.health.hear_load(&mut self.board, &addr, load, wall_ms, now_ms);
            }
            Event::Noticed { addr, sign } => self.notice(&addr, sign, now_ms, out),
            Event::Leased(lease) => self.orders.hear_lease(lease),
            Event::Ordered { addr } => self.orders.hear_done(&addr, now_ms),
            Event::Differs(member) => {
                let mut wishes = Vec::new();
                self.peers.catch_up(&self.board, &member, &mut wishes);
                fulfil(wishes, out);
            }
            Event::Stop => {
                self.board.is_stopping = true;
                self.publish(now_ms, out);
            }
        }
    }
}
