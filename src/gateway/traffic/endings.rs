//! Checks whether the process of an upstream that closed a connection has exited.
//!
//! Only an exit may have been caused by a request, since a connection can also be reset by the
//! network or by an upstream that is full. And only a process that lived on beyond an answer that
//! ends with its channel has surely made all of it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use tokio::sync::watch;

use super::super::channel::Fault;
use super::super::dialect::{Dispatch, Marks};
use super::super::policy::answer_end::{Life, Reply};
use super::super::policy::answer_match::Message;
use super::super::policy::body_limit::MAX_QUESTION_BYTES;
use super::super::policy::identity::{self, Identity, Proofs};
use super::super::worker::{Lease, Worker};
use super::Traffic;

/// Connect timeout of the check. After an exit the connection is refused within a round trip; an
/// address that doesn't answer says nothing about the process.
const EXIT_CHECK_TIMEOUT_MS: u64 = 250;
/// How long an upstream may take to show that it lives on after an answer. Its question may wait
/// behind requests for a slot, as any other.
const LIFE_CHECK_TIMEOUT_MS: u64 = 600;
/// The pause before a question that came to nothing is asked again, doubled each time.
const MIN_LIFE_CHECK_PAUSE_MS: u64 = 10;

/// A check in progress, shared by all requests whose connections the upstream closed.
pub(super) type ExitCheck = watch::Receiver<Option<bool>>;

impl Traffic {
    /// Checks whether an upstream's process has exited, in which case nothing listens at its
    /// address.
    pub(in super::super) fn check_exit(self: &Rc<Traffic>, worker: &Rc<Worker>) -> ExitCheck {
        let id = &worker.upstream.id;
        if let Some(existing) = self.exit_checks.borrow().get(id) {
            return existing.clone();
        }
        let (result, check) = watch::channel(None);
        self.exit_checks.borrow_mut().insert(Arc::clone(id), check.clone());
        let traffic = Rc::clone(self);
        let worker = Rc::clone(worker);
        tokio::task::spawn_local(async move {
            let opened = worker.connect(EXIT_CHECK_TIMEOUT_MS).await;
            let has_exited = matches!(opened, Err(Fault::Refused));
            traffic.exit_checks.borrow_mut().remove(&worker.upstream.id);
            slog::info!(traffic.log, "upstream closed a connection during a request";
                "upstream" => &*worker.upstream.id, "service" => &*worker.upstream.service,
                "domain" => &*worker.upstream.domain, "has_ended" => has_exited);
            if has_exited {
                worker.exited();
                traffic.mark_lost(&worker, "its process has exited");
            }
            result.send_replace(Some(has_exited));
        });
        check
    }

    /// Checks whether the process that made an answer lived on after the answer's end, which was a
    /// moment ago. Answers that ended before a check began share it.
    pub(in super::super) async fn check_life(self: &Rc<Traffic>, worker: &Rc<Worker>) -> Life {
        let life = worker.life_checks.share(|| self.ask_for_life(worker)).await;
        match life {
            Life::Exited => {
                worker.exited();
                self.mark_lost(worker, "its process has exited");
            }
            Life::Replaced => self.mark_replaced(worker),
            Life::LivesOn | Life::Unknown => {}
        }
        slog::info!(self.log, "answer ended with its channel"; "upstream" => &*worker.upstream.id,
            "service" => &*worker.upstream.service, "life" => ?life);
        self.metrics.count("answers_ending_with_channel");
        if life != Life::LivesOn {
            self.metrics.count("answers_not_proved_whole");
        }
        life
    }

    /// Asks an upstream until it is known whether it lives.
    async fn ask_for_life(self: &Rc<Traffic>, worker: &Rc<Worker>) -> Life {
        let until_ms = self.now_ms() + LIFE_CHECK_TIMEOUT_MS;
        let mut pause_ms = MIN_LIFE_CHECK_PAUSE_MS;
        loop {
            let left = Duration::from_millis(until_ms.saturating_sub(self.now_ms()));
            let path = self.life_path(&worker.upstream.service);
            let asked = tokio::time::timeout(left, self.ask_once(worker, &path)).await;
            let (reply, _) = asked.unwrap_or((Reply::None, false));
            let life = Life::of(&worker.upstream.id, &reply);
            if life != Life::Unknown || self.now_ms() + pause_ms >= until_ms {
                return life;
            }
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            pause_ms *= 2;
        }
    }

    /// Whether an answer that shows nothing of its maker is that of another process than the upstream that
    /// was meant. Proof of another ends all requests to it; one that is only nameless gets none until it names
    /// itself.
    pub(in super::super) async fn is_of_another(
        self: &Rc<Traffic>,
        worker: &Rc<Worker>,
        status: u16,
        marks: &Marks,
    ) -> bool {
        let proofs = Proofs {
            is_signed: marks.is_signed,
            has_names: marks.id.is_some() || marks.upstream.is_some(),
            is_refusal: marks.not_run || status == 421,
        };
        if !proofs.are_missing() {
            if marks.is_signed || marks.upstream.as_ref() == Some(&worker.upstream.id) {
                worker.prove();
            }
            return false;
        }
        let identity = worker.identity_checks.share(|| self.ask_for_identity(worker)).await;
        slog::info!(self.log, "answer names neither its request nor its upstream";
            "upstream" => &*worker.upstream.id, "service" => &*worker.upstream.service,
            "address" => %worker.upstream.addr, "status" => status, "who" => ?identity);
        self.metrics.count("answers_without_proof");
        match identity {
            Identity::Another => self.note_not_at_its_address(worker),
            Identity::Nameless => self.keep_out_while_nameless(worker),
            Identity::Meant | Identity::Unknown => return false,
        }
        true
    }

    fn note_not_at_its_address(&self, worker: &Worker) {
        if !worker.is_absent() {
            self.metrics.count("upstreams_not_at_their_address");
            self.mark_replaced(worker);
        }
    }

    /// Keeps an upstream out of placement until an answer to a question names it. It may be sound again at
    /// any time, so it is asked as long as it is listed.
    fn keep_out_while_nameless(self: &Rc<Traffic>, worker: &Rc<Worker>) {
        if !worker.set_nameless(true) {
            return;
        }
        self.metrics.count("upstreams_nameless");
        let traffic = Rc::clone(self);
        let worker = Rc::clone(worker);
        tokio::task::spawn_local(async move {
            let asked = traffic.ask_until_named(&worker).await;
            worker.set_nameless(false);
            slog::info!(traffic.log, "nameless upstream was asked again";
                "upstream" => &*worker.upstream.id, "address" => %worker.upstream.addr,
                "who" => ?asked);
        });
    }

    /// Asks an upstream again and again until it is known who is at its address, or it is listed no more.
    async fn ask_until_named(self: &Rc<Traffic>, worker: &Rc<Worker>) -> Identity {
        let is_listed =
            || self.worker(&worker.upstream.id).is_some_and(|listed| Rc::ptr_eq(&listed, worker));
        let mut asked = 0;
        while is_listed() && !worker.is_absent() {
            let pause_ms = identity::question_pause_ms(asked);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            asked += 1;
            match self.ask_for_identity(worker).await {
                Identity::Meant => {
                    worker.prove();
                    worker.answered(self.now_ms());
                    return Identity::Meant;
                }
                Identity::Another => {
                    self.note_not_at_its_address(worker);
                    return Identity::Another;
                }
                Identity::Nameless | Identity::Unknown => {}
            }
        }
        Identity::Unknown
    }

    async fn ask_for_identity(self: &Rc<Traffic>, worker: &Rc<Worker>) -> Identity {
        let view = self.shared.view.load_full();
        let service =
            view.config.as_ref().and_then(|all| all.services.get(&worker.upstream.service));
        let path = service.map(|service| &service.health_path).filter(|path| !path.is_empty());
        let Some(path) = path else { return Identity::Unknown };
        let limit = Duration::from_millis(LIFE_CHECK_TIMEOUT_MS);
        let asked = tokio::time::timeout(limit, self.ask_once(worker, path)).await;
        let (reply, is_refusal) = asked.unwrap_or((Reply::None, false));
        let identity = Identity::of(&worker.upstream.id, &reply, is_refusal);
        if worker.is_proved() { identity.after_proof() } else { identity }
    }

    /// Asks an upstream; returns what came of it, and whether the question was refused like a request.
    async fn ask_once(self: &Rc<Traffic>, worker: &Rc<Worker>, path: &str) -> (Reply, bool) {
        let leased = match self.lease(worker, Message::Nameless).await {
            // Requests have all channels that this instance may keep.
            Err(Fault::NotSent { .. }) => {
                worker.lease_beyond_share(Message::Nameless, EXIT_CHECK_TIMEOUT_MS).await
            }
            leased => leased,
        };
        match leased {
            Ok(lease) => self.ask_on(lease, worker, path).await,
            Err(Fault::Refused) => (Reply::Refused, false),
            Err(_) => (Reply::None, false),
        }
    }

    /// Asks on a channel, which is kept if the answer is that to the question.
    async fn ask_on(&self, mut lease: Lease, worker: &Rc<Worker>, path: &str) -> (Reply, bool) {
        let request = Request::get(path)
            .header(HOST, worker.upstream.addr.to_string())
            .body(Full::<Bytes>::default());
        let Ok(mut request) = request else { return (Reply::None, false) };
        let dispatch = Dispatch {
            upstream: Arc::clone(&worker.upstream.id),
            deadline_ms: LIFE_CHECK_TIMEOUT_MS,
            ..Dispatch::default()
        };
        self.dialect.dispatch(request.headers_mut(), &dispatch);
        let sent = lease.send(request).await;
        self.note_if_spoilt(worker, &lease);
        let Ok(response) = sent else { return (Reply::Broken, false) };
        let (head, body) = response.into_parts();
        let marks = self.dialect.marks(&head.headers);
        if !self.is_own_answer(worker, &mut lease, None, &marks) {
            return (Reply::Broken, false);
        }
        let until_ms = self.now_ms() + LIFE_CHECK_TIMEOUT_MS;
        if self.read_body(worker, body, MAX_QUESTION_BYTES, until_ms).await.is_err() {
            return (Reply::Broken, false);
        }
        worker.give_back(lease, marks.keep_ms, self.now_ms());
        let status = head.status.as_u16();
        (Reply::Answered { status, upstream: marks.upstream }, marks.not_run)
    }

    /// The path at which an upstream of a service shows that it lives: an engine's state, which needs
    /// no slot, and the health check of any other.
    fn life_path(&self, service: &str) -> Arc<str> {
        let view = self.shared.view.load();
        let config = view.config.as_ref().and_then(|config| config.services.get(service));
        match config {
            Some(service) if service.engine.is_none() => Arc::clone(&service.health_path),
            _ => Arc::from(self.dialect.state_path()),
        }
    }
}
