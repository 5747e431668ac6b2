//! An instance that was removed and joined again was removed a second time for the same silence.

use std::sync::Arc;

use siskinrock::control::membership::{Member, Table};
use siskinrock::control::{Action, Control, Event, Found, Key, Value};
use siskinrock::decide::Decide;

fn member(id: &str) -> Member {
    Member {
        id: Arc::from(id),
        incarnation: 1,
        addr: Arc::from(id),
        domain: Arc::from(format!("hall-{id}")),
    }
}

struct Driver(Control);

impl Driver {
    fn step(&mut self, event: Event, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.0.step(event, now_ms, &mut fastrand::Rng::with_seed(1), &mut actions);
        actions
    }

    fn read(&mut self, table: &Table, now_ms: u64) -> bool {
        let found = Found { value: Value::Table(Arc::new(table.clone())), revision: table.epoch() };
        let event = Event::Read { key: Key::Table, found: Some(found), was_watch: false };
        let actions = self.step(event, now_ms);
        actions.iter().any(|action| matches!(action, Action::WriteTable { .. }))
    }
}

#[test]
fn one_silence_removes_once() {
    let suspect = member("b");
    let two = Table::default().with(member("a")).with(suspect.clone());
    let mut driver = Driver(Control::new(member("a")));
    driver.read(&two, 1);
    for tick in 1..=3 {
        driver.step(Event::Tick, tick * 500);
        driver.step(Event::Answered { from: suspect.clone(), answer: None }, tick * 500 + 100);
    }
    // With nobody else to ask, the silent one is taken out.
    assert!(driver.read(&two, 2_000));
    let without = two.without(std::slice::from_ref(&suspect));
    let applied =
        Event::TableWritten { table: Arc::new(without.clone()), applied: Some(true), revision: 3 };
    driver.step(applied, 2_010);
    // It was alive, and joins again before the next tick.
    let again = without.with(suspect);
    assert!(!driver.read(&again, 2_020), "removed for the same silence");
}
