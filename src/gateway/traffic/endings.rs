//! Whether an upstream that broke off a connection has ended: what a request may have caused, unlike
//! a connection that was reset on the way or by an upstream that is full.

use std::rc::Rc;
use std::sync::Arc;

use tokio::sync::watch;

use super::super::channel::{Channel, Fault};
use super::super::worker::Worker;
use super::Traffic;

/// How long the check may take: an address where nothing listens refuses within a round trip, and one
/// that doesn't answer tells nothing of the process.
const CHECK_TIMEOUT_MS: u64 = 250;

/// A check under way, which serves all requests that the upstream broke off.
pub(super) type Check = watch::Receiver<Option<bool>>;

impl Traffic {
    /// Finds out whether an upstream's process has ended; nothing listens at its address then.
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
            slog::info!(traffic.log, "upstream broke off"; "upstream" => &*worker.upstream.id,
                "service" => &*worker.upstream.service, "domain" => &*worker.upstream.domain,
                "has_ended" => has_ended);
            if has_ended {
                traffic.lost(&worker, "its process has ended");
            }
            tell.send_replace(Some(has_ended));
        });
        check
    }
}
