//! The task that owns an instance's admission queues, and the handle to it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;
use crate::driver::{self, Driver};
use crate::error::{Error, Kind, Result};
use crate::request::admission::{Action, Admission, Arrival, Depth, Event, Reason};
use crate::supervisor::Supervisor;

/// How often waiting requests are checked against their deadlines.
const TICK_MS: u64 = 100;

enum Message {
    Enter(Arrival, oneshot::Sender<Result<Permit>>),
    Event(Event),
    Depth(Arc<str>, oneshot::Sender<Depth>),
}

/// A handle to the admission task.
#[derive(Clone)]
pub struct AdmissionTask {
    messages: mpsc::UnboundedSender<Message>,
    next_id: Arc<AtomicU64>,
    clock: Clock,
}

/// The permit to run one request; dropping it frees its slot for the next one.
pub struct Permit {
    handle: AdmissionTask,
    service: Arc<str>,
    since_ms: u64,
}

impl Drop for Permit {
    fn drop(&mut self) {
        let ran_ms = self.handle.clock.now_ms().saturating_sub(self.since_ms);
        let service = Arc::clone(&self.service);
        self.handle.tell(Event::Done { service, ran_ms });
    }
}

/// Reports a caller that disconnects while it waits, when dropped.
struct CancelOnDrop {
    handle: AdmissionTask,
    id: u64,
    is_answered: bool,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if !self.is_answered {
            self.handle.tell(Event::Disconnected { id: self.id });
        }
    }
}

impl AdmissionTask {
    /// Starts the task on the current runtime.
    pub fn spawn(clock: Clock, supervisor: &Supervisor) -> AdmissionTask {
        let (messages, inbox) = mpsc::unbounded_channel();
        let handle = AdmissionTask { messages, next_id: Arc::default(), clock };
        let task = Task {
            admission: Admission::default(),
            clock,
            waiting: HashMap::new(),
            handle: handle.clone(),
        };
        supervisor.spawn("admission", driver::run(task, inbox, TICK_MS));
        handle
    }

    /// Waits until the request may run; its `id` is set here.
    ///
    /// # Errors
    ///
    /// `queue_full` and `too_late`, with the time after which to retry; the request has not run.
    pub async fn enter(&self, mut arrival: Arrival) -> Result<Permit> {
        arrival.id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let mut waiting = CancelOnDrop { handle: self.clone(), id: arrival.id, is_answered: false };
        let (reply, answered) = oneshot::channel();
        let ended = || Error::internal("the admission task has ended; restart this instance");
        self.messages.send(Message::Enter(arrival, reply)).map_err(|_| ended())?;
        let answer = answered.await.map_err(|_| ended())?;
        waiting.is_answered = true;
        answer
    }

    /// Sets a service's limits.
    pub fn limit(&self, service: &Arc<str>, slots: usize, queue: usize) {
        self.tell(Event::Limits { service: Arc::clone(service), slots, queue });
    }

    /// How many requests of a service run and wait.
    pub async fn depth(&self, service: &Arc<str>) -> Depth {
        let (reply, answered) = oneshot::channel();
        let _ = self.messages.send(Message::Depth(Arc::clone(service), reply));
        answered.await.unwrap_or_default()
    }

    fn tell(&self, event: Event) {
        let _ = self.messages.send(Message::Event(event));
    }
}

struct Task {
    admission: Admission,
    clock: Clock,
    waiting: HashMap<u64, Caller>,
    handle: AdmissionTask,
}

struct Caller {
    service: Arc<str>,
    reply: oneshot::Sender<Result<Permit>>,
}

impl Driver for Task {
    type Decision = Admission;
    type Message = Message;

    fn decision(&mut self) -> (&mut Admission, u64) {
        (&mut self.admission, self.clock.now_ms())
    }

    fn tick() -> Event {
        Event::Tick
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Enter(arrival, reply) => {
                let service = Arc::clone(&arrival.service);
                self.waiting.insert(arrival.id, Caller { service, reply });
                self.step(Event::Arrive(arrival));
            }
            Message::Event(event) => {
                if let Event::Disconnected { id } = event {
                    self.waiting.remove(&id);
                }
                self.step(event);
            }
            Message::Depth(service, reply) => {
                let _ = reply.send(self.admission.depth(&service));
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Admit { id } => {
                let Some(caller) = self.waiting.remove(&id) else { return };
                let since_ms = self.clock.now_ms();
                let handle = self.handle.clone();
                let permit = Permit { handle, service: caller.service, since_ms };
                // If the caller has disconnected, the permit is dropped, which frees the slot.
                let _ = caller.reply.send(Ok(permit));
            }
            Action::Refuse { id, reason, retry_after_ms } => {
                let Some(caller) = self.waiting.remove(&id) else { return };
                let kind = match reason {
                    Reason::QueueFull => Kind::QueueFull { retry_after_ms },
                    Reason::TooLate => Kind::TooLate { retry_after_ms },
                };
                let _ = caller.reply.send(Err(kind.into()));
            }
        }
    }
}
