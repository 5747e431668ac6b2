//! The state of one generation that its connections share: the released tokens and the progress.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

use crate::error::Body;
use crate::records::journal::Journal;

/// The state of a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum State {
    /// It waits for admission.
    Waiting,
    /// It has been admitted, or is relayed from another owner.
    Running,
    /// It is complete.
    Finished {
        /// Why the engine stopped.
        reason: Arc<str>,
    },
    /// It ended here incomplete.
    Failed(Arc<Failed>),
}

/// The error that its callers get.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failed {
    /// The HTTP status.
    pub status: u16,
    /// The error as callers read it.
    pub body: Body,
}

/// The progress of a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Progress {
    /// How many tokens callers may receive.
    pub released: u32,
    /// Its state.
    pub state: State,
}

/// A generation that this instance owns or relays.
#[derive(Debug)]
pub struct Shared {
    /// The nonce of its run.
    pub nonce: u64,
    /// The hash of the request's body.
    pub body_hash: u64,
    journal: Mutex<Journal>,
    progress: watch::Sender<Progress>,
}

impl Shared {
    /// A generation that waits for admission.
    pub fn new(nonce: u64, body_hash: u64) -> Shared {
        let progress = Progress { released: 0, state: State::Waiting };
        let progress = watch::Sender::new(progress);
        Shared { nonce, body_hash, journal: Mutex::default(), progress }
    }

    /// Releases the tokens of `source` up to `to` to callers.
    pub fn release(&self, source: &Journal, to: u32) {
        let mut journal = self.lock();
        for token in source.slice(journal.len(), to).since(0) {
            journal.push(token);
        }
        let released = journal.len();
        drop(journal);
        self.progress.send_modify(|progress| progress.released = released);
    }

    /// Releases one more token, if it is the next one; `false` if it isn't.
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

    /// Sets its state.
    pub fn set(&self, state: State) {
        self.progress.send_modify(|progress| progress.state = state);
    }

    /// Ends it with an error.
    pub fn fail(&self, error: &crate::error::Error) {
        let failed = Failed { status: error.status(), body: error.body() };
        self.set(State::Failed(Arc::new(failed)));
    }

    /// Subscribes to its progress.
    pub fn watch(&self) -> watch::Receiver<Progress> {
        self.progress.subscribe()
    }

    /// How many tokens are released.
    pub fn released(&self) -> u32 {
        self.progress.borrow().released
    }

    /// The released tokens from `from` on.
    pub fn tokens(&self, from: u32) -> Journal {
        let journal = self.lock();
        journal.slice(from, journal.len())
    }

    fn lock(&self) -> MutexGuard<'_, Journal> {
        // Each push leaves the journal consistent, so a poisoned lock is safe to use.
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
