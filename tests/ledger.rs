//! The guards of a holder that random runs seldom need.

use std::sync::Arc;

use siskinrock::control::membership::{self, Member, Table};
use siskinrock::decide::Decide;
use siskinrock::records::ledger::{Action, Event, Handover, Ledger, Limits, SlotWord};
use siskinrock::records::record::{Identity, Kind, Op, Owner, Record, Reply, Request};

/// The epoch in which the newcomer has joined.
const EPOCH: u64 = 4;

fn member(name: &str) -> Member {
    Member {
        id: Arc::from(name),
        incarnation: 1,
        addr: Arc::from(""),
        domain: Arc::from(format!("hall-{name}")),
    }
}

fn identity(nonce: u64) -> Identity {
    Identity { key: key(), kind: Kind::Call, body_hash: 0, nonce }
}

fn owner() -> Owner {
    Owner { id: Arc::from("r"), addr: Arc::from("") }
}

fn record(nonce: u64) -> Record {
    Record::new(identity(nonce), owner(), 1, 0)
}

/// Three instances, and a fourth that has just joined.
fn table() -> Table {
    let three = Table::default().with(member("a")).with(member("b")).with(member("c"));
    three.with(member("d"))
}

/// A key that the newcomer holds.
fn key() -> Arc<str> {
    let keys = (0..).map(|number| Arc::from(format!("org/seat-{number}")));
    let held = |key: &Arc<str>| table().roster.holds(&member("d"), membership::slot_of(key));
    keys.into_iter().find(held).expect("some key is held by each")
}

struct Holder(Ledger);

impl Holder {
    /// The newcomer, before it has heard anything.
    fn joined() -> Holder {
        let limits = Limits { horizon_ms: 60_000, organisation_bytes: 1 << 20 };
        let mut holder = Holder(Ledger::new(member("d"), limits));
        holder.step(Event::Table(Arc::new(table())), 1);
        holder
    }

    fn step(&mut self, event: Event, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.0.step(event, now_ms, &mut fastrand::Rng::with_seed(1), &mut actions);
        actions
    }

    fn ask(&mut self, epoch: u64, op: Op) -> Reply {
        let requests = vec![Request { epoch, op }];
        let actions = self.step(Event::Batch { batch: 1, requests }, 10);
        let reply = actions.into_iter().find_map(|action| match action {
            Action::Reply { mut replies, .. } => replies.pop(),
            _ => None,
        });
        reply.expect("a batch is answered")
    }

    fn claim(&mut self, nonce: u64) -> Reply {
        self.ask(EPOCH, Op::Claim { identity: identity(nonce), owner: owner() })
    }

    /// An earlier holder hands over the claim of `nonce`.
    fn hear(&mut self, from: &str, epoch: u64, nonce: u64) {
        let slot = membership::slot_of(&key());
        let word = SlotWord { slot, answered: vec![EPOCH - 1], barred_ms: 0 };
        let handover =
            Handover { from: member(from), epoch, slots: vec![word], records: vec![record(nonce)] };
        self.step(Event::Handover(handover), 5);
    }
}

#[test]
fn a_newcomer_answers_only_after_it_has_heard() {
    let mut holder = Holder::joined();
    assert_eq!(holder.claim(9), Reply::NotReady);
    holder.hear("a", EPOCH, 1);
    assert_eq!(holder.claim(9), Reply::NotReady, "the two others may have granted a claim");
    holder.hear("b", EPOCH, 1);
    assert!(matches!(holder.claim(9), Reply::Held(_)));
}

#[test]
fn a_handover_of_another_epoch_is_ignored() {
    let mut holder = Holder::joined();
    holder.hear("a", EPOCH - 1, 1);
    holder.hear("b", EPOCH + 1, 1);
    holder.hear("stranger", EPOCH, 1);
    assert_eq!((holder.claim(9), holder.0.ignored_events()), (Reply::NotReady, 3));
}

#[test]
fn an_operation_of_another_epoch_is_refused() {
    let mut holder = Holder::joined();
    holder.hear("a", EPOCH, 1);
    holder.hear("b", EPOCH, 1);
    for epoch in [EPOCH - 1, EPOCH + 1] {
        let op = Op::Claim { identity: identity(1), owner: owner() };
        assert_eq!(holder.ask(epoch, op), Reply::Stale { epoch: EPOCH });
    }
}

#[test]
fn a_release_of_one_of_two_runs_proves_nothing() {
    let mut holder = Holder::joined();
    holder.hear("a", EPOCH, 1);
    holder.hear("b", EPOCH, 2);
    holder.ask(EPOCH, Op::Release { identity: identity(1) });
    holder.ask(EPOCH, Op::Release { identity: identity(2) });
    assert!(matches!(holder.claim(9), Reply::Held(_)));
}

#[test]
fn what_can_not_be_known_is_refused_for_the_horizon() {
    let mut holder = Holder::joined();
    holder.step(Event::Tick, 2_000);
    assert!(matches!(holder.claim(9), Reply::Quarantined { left_ms } if left_ms > 55_000));
    // Generations may begin: a run of theirs can't be mixed with an older one.
    let identity = Identity { kind: Kind::Generation, ..identity(9) };
    let op = Op::Claim { identity, owner: owner() };
    assert!(matches!(holder.ask(EPOCH, op), Reply::Granted(_)));
}
