//! One generation as the connections to it see it: the released tokens and the state.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use crate::error::Body;
use crate::records::journal::Journal;

/// Where a generation stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum State {
    /// It waits for its turn.
    Waiting,
    /// It has been admitted, or goes on elsewhere and is passed on from there.
    Running,
    /// It is whole.
    Finished {
        /// Why the engine stopped.
        reason: Arc<str>,
    },
    /// It ended here without being whole.
    Failed(Arc<Failed>),
}

/// What its callers are told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failed {
    /// The HTTP status.
    pub status: u16,
    /// The error as callers read it.
    pub body: Body,
}

/// How far a generation is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    /// How many tokens may be shown.
    pub released: u32,
    /// Where it stands.
    pub state: State,
}

/// A generation that this instance serves or passes on.
#[derive(Debug)]
pub struct Shared {
    /// The run that it is.
    pub nonce: u64,
    /// The hash of the request's body.
    pub body_hash: u64,
    journal: Mutex<Journal>,
    progress: watch::Sender<Progress>,
}

impl Shared {
    /// A generation that waits.
    pub fn new(nonce: u64, body_hash: u64) -> Shared {
        let progress = Progress { released: 0, state: State::Waiting };
        let progress = watch::Sender::new(progress);
        Shared { nonce, body_hash, journal: Mutex::default(), progress }
    }

    /// Shows the tokens of `source` up to `to`.
    pub fn release(&self, source: &Journal, to: u32) {
        let mut journal = self.lock();
        for token in source.slice(journal.len(), to).since(0) {
            journal.push(token);
        }
        let released = journal.len();
        drop(journal);
        self.progress.send_modify(|progress| progress.released = released);
    }

    /// Shows one more token, if it is the next one.
    pub fn release_next(&self, index: u32, token: &str) -> bool {
        let mut journal = self.lock();
        let is_next = index == journal.len();
        if is_next {
            journal.push(token);
        }
        let released = journal.len();
        drop(journal);
        self.progress.send_modify(|progress| progress.released = released);
        is_next
    }

    /// Changes where it stands.
    pub fn set(&self, state: State) {
        self.progress.send_modify(|progress| progress.state = state);
    }

    /// Ends it with an error.
    pub fn fail(&self, error: &crate::error::Error) {
        let failed = Failed { status: error.status(), body: error.body() };
        self.set(State::Failed(Arc::new(failed)));
    }

    /// Watches how far it is.
    pub fn watch(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// How many tokens are shown.
    pub fn released(&self) -> u32 {
        self.progress.borrow().released
    }

    /// The shown tokens from `from` on.
    pub fn tokens(&self, from: u32) -> Journal {
        let journal = self.lock();
        journal.slice(from, journal.len())
    }

    fn lock(&self) -> MutexGuard<'_, Journal> {
        // A journal is whole after each push, also when a holder of the lock panicked.
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
