//! A planned stop of the traffic thread: it serves on until nothing is open or the grace is nearly
//! over, and ends once all that it took has an answer. See [`Stop`] for the times.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::policy::stop::{Phase, Stop};
use super::traffic::Traffic;

/// How often a planned stop looks whether all requests have ended.
const STEP_MS: u64 = 25;

/// Serves on after the order to stop, until nothing is open or the grace is nearly over.
///
/// A request counts from its first byte until its answer is written, which only the end of its
/// connection shows: a look at the requests that are being served misses what is in a socket, in a
/// half-read head or in an answer that its caller takes slowly. So the last look is at the
/// connections, after the listener has closed and none can come any more.
pub async fn drain(
    traffic: &Rc<Traffic>,
    stop: Stop,
    close: &watch::Sender<bool>,
    accepting: JoinHandle<()>,
) {
    traffic.stop.set(Some(stop));
    let mut steps = Steps { traffic, late_ms: 0, is_behind: false };
    let begun_ms = traffic.now_ms();
    let is_idle = || traffic.open_requests.get() == 0 && traffic.now_ms() >= stop.earliest_end_ms();
    steps.wait_until(stop.early_end_ms(), is_idle).await;
    if traffic.now_ms() >= stop.early_end_ms() {
        traffic.stop_phase.send_replace(Phase::Refusing);
    }
    steps.wait_until(stop.final_answers_ms(), is_idle).await;
    steps.catch_up().await;
    slog::info!(traffic.log, "closing to callers"; "open" => traffic.open_requests.get(),
        "connections" => traffic.callers.count(), "begun_after_ms" => begun_ms - stop.since_ms,
        "after_ms" => traffic.now_ms() - stop.since_ms, "late_ms" => steps.late_ms);
    // An error means that there is neither a listener nor a connection.
    let _ = close.send(true);
    // The listener takes in those that came before; a panic there leaves it closed as well.
    let _ = accepting.await;
    let is_left = || traffic.callers.count() == 0;
    steps.wait_until(stop.final_answers_ms(), is_left).await;
    let given_ms = traffic.now_ms();
    let open = traffic.open_requests.get();
    traffic.stop_phase.send_replace(Phase::LastAnswers);
    steps.wait_until(stop.end_ms(given_ms, steps.late_ms), is_left).await;
    slog::info!(traffic.log, "requests ended"; "answered_last" => open,
        "cut" => traffic.open_requests.get(), "connections" => traffic.callers.count(),
        "last_answers_after_ms" => given_ms - stop.since_ms,
        "after_ms" => traffic.now_ms() - stop.since_ms, "late_ms" => steps.late_ms);
}

/// The steps of a stop.
struct Steps<'a> {
    traffic: &'a Traffic,
    /// How late the latest of its timers was.
    late_ms: u64,
    /// Whether the last one was late by more than a step.
    is_behind: bool,
}

impl Steps<'_> {
    /// Waits until a condition holds, at most until a time.
    async fn wait_until(&mut self, until_ms: u64, holds: impl Fn() -> bool) {
        while !holds() && self.traffic.now_ms() < until_ms {
            self.step().await;
        }
    }

    /// Has what came while the process stood still be read: after a suspension, timers fire before
    /// sockets are looked at, and connections with a request in their sockets count as idle.
    async fn catch_up(&mut self) {
        if self.is_behind {
            self.step().await;
        }
    }

    async fn step(&mut self) {
        let due_ms = self.traffic.now_ms() + STEP_MS;
        tokio::time::sleep(Duration::from_millis(STEP_MS)).await;
        let late_ms = self.traffic.now_ms().saturating_sub(due_ms);
        self.is_behind = late_ms > STEP_MS;
        self.late_ms = self.late_ms.max(late_ms);
    }
}
