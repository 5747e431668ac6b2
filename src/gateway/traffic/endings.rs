//! Checks whether an upstream that closed a connection has exited. Only an exit may have been
//! caused by a request: a connection can also be reset by the network or by an upstream that is
//! full.

use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::watch;

use super::super::channel::{Channel, Fault};
use super::super::worker::Worker;
use super::Traffic;

/// Connect timeout of the check. After an exit the connection is refused within a round trip; an
/// address that doesn't answer says nothing about the process.
const CHECK_TIMEOUT_MS: u64 = 250;

/// A check in progress, shared by all requests whose connections the upstream closed.
pub(super) type Check = watch::Receiver<Option<bool>>;

impl Traffic {
    /// Checks whether an upstream's process has exited, in which case nothing listens at its
    /// address.
    pub(in super::super) fn check_ending(self: &Rc<Traffic>, worker: &Rc<Worker>) -> Check {
        let id = &worker.upstream.id;
        if let Some(running) = self.endings.borrow().get(id) {
            return running.clone();
        }
        let (tell, check) = watch::channel(None);
        self.endings.borrow_mut().insert(Arc::clone(id), check.clone());
        let traffic = Rc::clone(self);
        let worker = Rc::clone(worker);
        tokio::task::spawn_local(async move {
            let opened = Channel::open(worker.upstream.addr, CHECK_TIMEOUT_MS).await;
            let has_ended = matches!(opened, Err(Fault::Refused));
            traffic.endings.borrow_mut().remove(&worker.upstream.id);
            slog::info!(traffic.log, "upstream closed a connection during a request";
                "upstream" => &*worker.upstream.id, "service" => &*worker.upstream.service,
                "domain" => &*worker.upstream.domain, "has_ended" => has_ended);
            if has_ended {
                traffic.lost(&worker, "its process has exited");
            }
            tell.send_replace(Some(has_ended));
        });
        check
    }
}
