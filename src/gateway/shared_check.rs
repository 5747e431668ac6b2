//! Checks of one thing that many ask for at once, each of whom needs one that began later.

use std::cell::Cell;

use tokio::sync::Mutex;

/// Runs one check at a time. Whoever asks gets the result of a check that began after it asked,
/// which it may share with others.
#[derive(Debug)]
pub struct SharedCheck<T> {
    /// The number of checks that have begun.
    begun: Cell<u64>,
    /// The last check that ended: its number and its result.
    last: Mutex<Option<(u64, T)>>,
}

impl<T> Default for SharedCheck<T> {
    fn default() -> SharedCheck<T> {
        SharedCheck { begun: Cell::new(0), last: Mutex::new(None) }
    }
}

impl<T: Copy> SharedCheck<T> {
    /// Returns the result of a check that begins after this call; runs it, unless another one does.
    pub async fn share(&self, check: impl AsyncFnOnce() -> T) -> T {
        let asked_after = self.begun.get();
        let mut last = self.last.lock().await;
        if let Some((number, result)) = *last
            && number > asked_after
        {
            return result;
        }
        let number = self.begun.get() + 1;
        self.begun.set(number);
        let result = check().await;
        *last = Some((number, result));
        result
    }
}
