//! Tasks that run for as long as their thread: one that panics is started again.

use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::task::JoinHandle;

use super::metrics::Metrics;

/// The pause before a task is started again; one that always panics must not take the processor.
const RESTART_PAUSE_MS: u64 = 100;

/// Runs a task on the current local set. After a panic it is made again, since the others rely on it:
/// an instance whose task has ended would stand half-dead among them. What the panic says is in the log.
pub fn keep_running<F>(
    name: &'static str,
    log: slog::Logger,
    metrics: Arc<Metrics>,
    make: impl Fn() -> F + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + 'static,
{
    tokio::task::spawn_local(async move {
        while AssertUnwindSafe(make()).catch_unwind().await.is_err() {
            metrics.count("tasks_restarted");
            slog::error!(log, "a task panicked and is started again"; "task" => name,
                "pause_ms" => RESTART_PAUSE_MS);
            tokio::time::sleep(Duration::from_millis(RESTART_PAUSE_MS)).await;
        }
    })
}
