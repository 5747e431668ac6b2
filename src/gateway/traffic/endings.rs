//! Checks whether an upstream that closed a connection has exited. Only an exit may have been
//! caused by a request: a connection can also be reset by the network or by an upstream that is
//! full.

use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::watch;

use super::super::channel::Fault;
use super::super::worker::Worker;
use super::Traffic;

/// Connect timeout of the check. After an exit the connection is refused within a round trip; an
/// address that doesn't answer says nothing about the process.
const EXIT_CHECK_TIMEOUT_MS: u64 = 250;

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
}
