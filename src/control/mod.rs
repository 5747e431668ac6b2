//! The decision of the control thread: it passes each event to the controllers, which read and
//! write the blackboard, and collects their actions.

pub mod blackboard;
pub mod bounds;
pub mod control_loop;
pub mod health;
pub mod membership;
pub mod orders;
pub mod peers;

mod message;
mod store_view;

use std::sync::Arc;

use crate::control::blackboard::Board;
use crate::control::health::{Health, Observation};
use crate::control::membership::{Member, Table};
use crate::control::orders::Orders;
use crate::control::peers::{Exchange, Peers, Route, Spread};
use crate::decide::{Decide, Random};
use crate::operators::document::Document;

pub use message::{Action, Event, Found, Key, Value};

use store_view::StoreView;

/// The control state and its controllers.
pub struct Control {
    board: Board,
    peers: Peers,
    health: Health,
    orders: Orders,
    store: StoreView,
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
        let mut commands = Vec::new();
        self.peers.tick(&self.board, now_ms, random, &mut commands);
        push_commands(commands, out);
        let due = self.health.due_polls(&self.board, now_ms, random);
        out.extend(due.into_iter().map(Action::Poll));
        let mut commands = Vec::new();
        self.orders.tick(&self.board, self.is_watcher(), now_ms, &mut commands);
        out.extend(commands.into_iter().map(|command| match command {
            orders::Command::Take => Action::TakeLease,
            orders::Command::Renew(lease) => Action::RenewLease(lease),
            orders::Command::Send(order) => Action::Order(order),
        }));
        self.publish(now_ms, out);
    }

    fn follow_store(&mut self, now_ms: u64, out: &mut Vec<Action>) {
        let is_outside = !self.board.is_member() && !self.board.is_stopping;
        let wants_change = is_outside
            || !self.peers.removals.is_empty()
            || (self.board.is_stopping && self.board.is_member());
        if wants_change {
            self.store.read_to_change(now_ms, out);
        }
        if is_outside {
            out.push(Action::Read(Key::Document));
            out.push(Action::AskSeeds(self.empty_exchange()));
        }
        if self.is_watcher() {
            out.push(Action::List);
            self.store.watch_all(out);
        } else {
            self.store.read_periodically(now_ms, out);
        }
    }

    /// The first member of each failure domain watches the store and sends changes to the others.
    fn is_watcher(&self) -> bool {
        let me = &self.board.me;
        let members = &self.board.table.roster.members;
        let first = members.iter().find(|member| member.domain == me.domain);
        first.is_some_and(|member| member.is_same(me))
    }

    fn empty_exchange(&self) -> Exchange {
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

    fn handle_read(
        &mut self,
        key: Key,
        found: Option<Found>,
        was_watch: bool,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        self.store.handle_read_end(key, was_watch);
        let Some(found) = found else { return };
        let route = was_watch.then(|| self.route_in_domain());
        match found.value {
            Value::Table(table) => {
                self.store.record_revision(Key::Table, found.revision);
                self.adopt(Some(table), None, route, now_ms, out);
            }
            Value::Document(document) => {
                self.store.record_revision(Key::Document, found.revision);
                self.adopt(None, Some(document), route, now_ms, out);
            }
            Value::Absent => {}
        }
        if key == Key::Table && !was_watch {
            self.write_table(found.revision, out);
        }
    }

    /// Writes the table with this instance's changes, if any, over the one just read.
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
        let is_changed = table.epoch() != board.table.epoch();
        if is_changed && self.store.begin_write() {
            out.push(Action::WriteTable { table: Arc::new(table), expect });
        }
    }

    fn handle_written(
        &mut self,
        table: Arc<Table>,
        applied: Option<bool>,
        revision: u64,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let is_applied = applied == Some(true);
        self.store.handle_written(is_applied.then_some(revision));
        if is_applied {
            let route = self.route_from_here();
            self.adopt(Some(table), None, Some(route), now_ms, out);
        } else {
            // Another instance's write won, or the reply was lost: read what the store has.
            self.store.read_table(out);
        }
    }

    fn route_from_here(&self) -> Route {
        Route { origin: Arc::clone(&self.board.me.id), domain: None }
    }

    /// The watchers of other failure domains read the same change and send it within their own.
    fn route_in_domain(&self) -> Route {
        Route { domain: Some(Arc::clone(&self.board.me.domain)), ..self.route_from_here() }
    }

    /// Adopts a newer table or configuration, and forwards it if it came with a route.
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
        let newer = Spread { table: newer_table.is_some(), document: newer_document.is_some() };
        if newer == Spread::default() {
            return;
        }
        if let Some(table) = newer_table {
            board.table = Arc::clone(&table);
            self.peers.drop_stale_removals(board);
            out.push(Action::Adopted(table));
        }
        if let Some(document) = newer_document {
            board.document = document;
            let mine = format!("{}#{}", board.me.id, board.me.incarnation);
            board.is_stopping |= board.document.stopping.contains(&*mine);
            self.health.follow_document(board, now_ms);
        }
        self.spread(route, newer, now_ms, out);
        self.publish(now_ms, out);
    }

    fn spread(&mut self, route: Option<Route>, newer: Spread, now_ms: u64, out: &mut Vec<Action>) {
        let Some(route) = route else { return };
        let mut commands = Vec::new();
        self.peers.spread(&self.board, &route, newer, now_ms, &mut commands);
        push_commands(commands, out);
    }

    fn handle_exchange(&mut self, exchange: &Exchange, now_ms: u64, out: &mut Vec<Action>) {
        let leaving = self.leaving();
        self.health.handle_reports(&mut self.board, exchange.reports.clone(), now_ms);
        self.health.handle_briefs(&mut self.board, exchange.briefs.clone(), now_ms);
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

    fn report_observation(
        &mut self,
        addr: &str,
        observation: Observation,
        now_ms: u64,
        out: &mut Vec<Action>,
    ) {
        let leaving = self.leaving();
        self.health.handle_observation(&mut self.board, addr, observation, now_ms);
        if self.leaving() > leaving {
            // Peers must learn at once that an upstream accepts no more work.
            let route = self.route_from_here();
            self.spread(Some(route), Spread::default(), now_ms, out);
        }
        self.publish(now_ms, out);
    }
}

fn push_commands(commands: Vec<peers::Command>, out: &mut Vec<Action>) {
    out.extend(commands.into_iter().map(|command| match command {
        peers::Command::Send(to, exchange) => Action::Send { to, exchange },
        peers::Command::AskWitness { witness, suspect } => Action::AskWitness { witness, suspect },
    }));
}

impl Decide for Control {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, event: Event, now_ms: u64, random: &mut dyn Random, out: &mut Vec<Action>) {
        match event {
            Event::Tick => self.tick(now_ms, random, out),
            Event::Read { key, found, was_watch } => {
                self.handle_read(key, found, was_watch, now_ms, out);
            }
            Event::TableWritten { table, applied, revision } => {
                self.handle_written(table, applied, revision, now_ms, out);
            }
            Event::Accepted(document) => {
                let route = self.route_from_here();
                self.adopt(None, Some(document), Some(route), now_ms, out);
            }
            Event::Asked { id, exchange } => {
                self.handle_exchange(&exchange, now_ms, out);
                let answer = self.peers.answer(&self.board, &exchange);
                out.push(Action::Answer { id, exchange: answer });
            }
            Event::Answered { from, answer } => {
                let mut commands = Vec::new();
                let received = answer.as_ref();
                self.peers.handle_answer(
                    &self.board,
                    &from,
                    received,
                    now_ms,
                    random,
                    &mut commands,
                );
                push_commands(commands, out);
                if let Some(exchange) = answer {
                    self.handle_exchange(&exchange, now_ms, out);
                }
            }
            Event::Witnessed { suspect, reaches } => {
                self.peers.handle_witness(&suspect, reaches, now_ms);
            }
            Event::Listed(listed) => self.health.handle_list(&mut self.board, listed, now_ms),
            Event::Polled { addr, load, wall_ms } => {
                self.health.handle_load(&mut self.board, &addr, load, wall_ms, now_ms);
            }
            Event::Observed { addr, observation } => {
                self.report_observation(&addr, observation, now_ms, out)
            }
            Event::Leased(lease) => self.orders.handle_lease(lease),
            Event::Ordered { addr } => self.orders.handle_order_end(&addr, now_ms),
            Event::Differs(member) => {
                let mut commands = Vec::new();
                self.peers.catch_up(&self.board, &member, &mut commands);
                push_commands(commands, out);
            }
            Event::Stop => {
                self.board.is_stopping = true;
                self.publish(now_ms, out);
            }
        }
    }
}
