//! The task around a decision that takes messages by a channel: the one loop that admission and
//! ledger share.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{self, MissedTickBehavior};

use crate::decide::Decide;

/// The shell of one decision: what to feed it, and how to carry out its actions.
pub trait Driver {
    /// The decision.
    type Decision: Decide;
    /// What can be asked of the task.
    type Message;

    /// The decision, and the time for its next step.
    fn decision(&mut self) -> (&mut Self::Decision, u64);

    /// The event that says that time has passed.
    fn tick() -> <Self::Decision as Decide>::Event;

    /// Takes in a message.
    fn take(&mut self, message: Self::Message);

    /// Carries out an action.
    fn act(&mut self, action: <Self::Decision as Decide>::Action);

    /// Feeds the decision one event and carries out what it wants.
    fn step(&mut self, event: <Self::Decision as Decide>::Event) {
        let mut actions = Vec::new();
        let (decision, now_ms) = self.decision();
        decision.step(event, now_ms, &mut fastrand::Rng::new(), &mut actions);
        for action in actions {
            self.act(action);
        }
    }
}

/// Runs until all senders of messages have gone.
pub async fn run<D: Driver>(
    mut driver: D,
    mut inbox: mpsc::UnboundedReceiver<D::Message>,
    tick_ms: u64,
) {
    let mut ticks = time::interval(Duration::from_millis(tick_ms));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            message = inbox.recv() => match message {
                Some(message) => driver.take(message),
                None => return,
            },
            _ = ticks.tick() => driver.step(D::tick()),
        }
    }
}
