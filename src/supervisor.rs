//! Notices when a part of an instance has panicked that the others can't do without.
//!
//! An instance whose control, records or admission have ended stands half-dead among the others: it
//! answers, with an old view or not at all. Its end is told to whoever runs it, and the others take over
//! as from any instance that is lost. See [docs/design/starts.md](../docs/design/starts.md).

use std::panic::AssertUnwindSafe;
use std::pin::pin;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::error::{Error, Result};

/// The pause before a part is made again; one that always panics must not take the processor.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Watches the parts of an instance.
#[derive(Debug, Clone)]
pub struct Supervisor {
    failed: watch::Sender<Option<&'static str>>,
    log: slog::Logger,
}

impl Supervisor {
    /// A supervisor of parts that all run.
    pub fn new(log: slog::Logger) -> Supervisor {
        Supervisor { failed: watch::Sender::new(None), log }
    }

    /// Runs a part that the others can't do without. A panic ends it, and is told by
    /// [`Supervisor::failure`].
    pub async fn watch(self, part: &'static str, work: impl Future<Output = ()>) {
        if AssertUnwindSafe(work).catch_unwind().await.is_err() {
            slog::crit!(self.log, "a part panicked that can't be done without"; "part" => part);
            self.failed.send_replace(Some(part));
        }
    }

    /// The same as a task of its own.
    pub fn spawn(
        &self,
        part: &'static str,
        work: impl Future<Output = ()> + Send + 'static,
    ) -> JoinHandle<()> {
        tokio::spawn(self.clone().watch(part, work))
    }

    /// Runs one try of what is tried again by itself. A panic ends that try alone.
    pub fn attempt(&self, part: &'static str, work: impl Future<Output = ()> + Send + 'static) {
        let log = self.log.clone();
        tokio::spawn(async move {
            if AssertUnwindSafe(work).catch_unwind().await.is_err() {
                slog::error!(log, "a try panicked; the next one is made as usual"; "task" => part);
            }
        });
    }

    /// Runs a part that keeps nothing. It is made again after a panic.
    pub fn keep_running<F>(&self, part: &'static str, make: impl Fn() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let log = self.log.clone();
        tokio::spawn(async move {
            while AssertUnwindSafe(make()).catch_unwind().await.is_err() {
                slog::error!(log, "a task panicked and is started again"; "task" => part,
                    "pause_ms" => RESTART_PAUSE.as_millis() as u64);
                tokio::time::sleep(RESTART_PAUSE).await;
            }
        });
    }

    /// Ends an instance by its planned stop, so that requests in progress end first. One whose part has
    /// panicked gets only so long for that, since the stop may need the part.
    ///
    /// # Errors
    ///
    /// If a part has panicked.
    pub async fn end(&self, stop: impl Future<Output = ()>, last_answers: Duration) -> Result<()> {
        let mut stop = pin!(stop);
        tokio::select! {
            () = &mut stop => match *self.failed.borrow() {
                Some(part) => Err(Error::from_failed_part(part)),
                None => Ok(()),
            },
            failure = self.failure() => {
                let _ = tokio::time::timeout(last_answers, stop).await;
                Err(failure)
            }
        }
    }

    /// Waits until a part has panicked.
    pub async fn failure(&self) -> Error {
        let mut failed = self.failed.subscribe();
        match failed.wait_for(Option::is_some).await.map(|part| *part) {
            Ok(Some(part)) => Error::from_failed_part(part),
            // The sender lives as long as `self`.
            _ => std::future::pending().await,
        }
    }
}
