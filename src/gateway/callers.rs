//! All open connections of callers, and who of them yields where room is short.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use super::caller::Progress;
use super::policy::yielding::{self, Wait};

/// The open connections of callers.
#[derive(Default)]
pub struct Callers {
    open: RefCell<BTreeMap<u64, Rc<Progress>>>,
    last_number: Cell<u64>,
}

/// Keeps a connection among the open ones until it is dropped.
pub struct Registered {
    callers: Rc<Callers>,
    number: u64,
}

impl Callers {
    /// How many there are.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Adds a connection.
    pub fn register(self: &Rc<Callers>, progress: Rc<Progress>) -> Registered {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        self.open.borrow_mut().insert(number, progress);
        Registered { callers: Rc::clone(self), number }
    }

    /// Has a connection yield to a new one. Returns whether one does.
    pub fn free_connection(&self, now_ms: u64) -> bool {
        let open = self.open.borrow();
        let yielding = yielding::connection(waits(&open), now_ms);
        yielding.inspect(|progress| progress.yield_now()).is_some()
    }

    /// Has callers yield so that a body may grow to `bytes`. Returns how many do.
    pub fn free_for_body(&self, bytes: usize, missing_bytes: usize, now_ms: u64) -> usize {
        let open = self.open.borrow();
        let yielding = yielding::for_body(waits(&open), bytes, missing_bytes, now_ms);
        yielding.iter().for_each(|progress| progress.yield_now());
        yielding.len()
    }

    /// Has callers yield so that an answer may be read. Returns how many do.
    pub fn free_for_answer(&self, missing_bytes: usize, now_ms: u64) -> usize {
        let open = self.open.borrow();
        let yielding = yielding::for_answer(waits(&open), missing_bytes, now_ms);
        yielding.iter().for_each(|progress| progress.yield_now());
        yielding.len()
    }
}

/// What each caller that doesn't yield already waits for.
fn waits(open: &BTreeMap<u64, Rc<Progress>>) -> impl Iterator<Item = (&Rc<Progress>, Wait)> {
    let staying = open.values().filter(|progress| !progress.must_yield());
    staying.map(|progress| (progress, progress.wait()))
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.callers.open.borrow_mut().remove(&self.number);
    }
}
