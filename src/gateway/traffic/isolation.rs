//! Detection that this instance is cut off from all upstreams; see
//! [`policy::isolation`](super::super::policy::isolation).

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future;
use tokio::sync::watch;

use super::super::channel::Fault;
use super::super::policy::answer_match::Message;
use super::super::policy::isolation::{Isolation, Known, Reach};
use super::super::view::Signal;
use super::super::worker::{Lease, Worker};
use super::Traffic;

/// How long a connection may take that only checks whether an upstream can be reached.
const CHECK_TIMEOUT_MS: u64 = 250;
/// Pause between two rounds of checks, since a check may fail at once for want of a socket.
const CHECK_PAUSE_MS: u64 = 10;
/// Interval between checks for the end of a cut.
const RECOVERY_CHECK_INTERVAL_MS: u64 = 200;

/// What this instance knows of its own links to upstreams.
#[derive(Debug)]
pub(super) struct IsolationState {
    isolation: Isolation,
    reach: watch::Sender<Reach>,
    is_checking: bool,
    /// Upstreams that were lost since the links were last known to work.
    lost: BTreeSet<Arc<str>>,
}

impl Default for IsolationState {
    fn default() -> IsolationState {
        IsolationState {
            isolation: Isolation::default(),
            reach: watch::Sender::new(Reach::Normal),
            is_checking: false,
            lost: BTreeSet::new(),
        }
    }
}

impl Traffic {
    /// Whether upstreams can be reached, as far as known.
    pub fn reach(&self) -> Reach {
        *self.isolation.borrow().reach.borrow()
    }

    /// Whether no upstream can be reached from here.
    pub fn is_cut_off(&self) -> bool {
        self.reach() == Reach::CutOff
    }

    /// Waits while it is in doubt whether upstreams can be reached. Returns whether none can.
    pub async fn is_cut_off_for_certain(&self) -> bool {
        let mut reach = self.isolation.borrow().reach.subscribe();
        // Never fails, since `self` keeps the sender.
        let decided = reach.wait_for(|reach| *reach != Reach::Doubtful).await;
        decided.is_ok_and(|reach| *reach == Reach::CutOff)
    }

    /// Leases a channel to an upstream, within this instance's share of its channels.
    ///
    /// # Errors
    ///
    /// Any fault but [`Fault::Broken`].
    pub async fn lease(
        self: &Rc<Traffic>,
        worker: &Rc<Worker>,
        message: Message,
    ) -> Result<Lease, Fault> {
        let share = self.channel_share(&worker.upstream.service);
        let max_channels = share.min(self.channels_left(worker));
        let began_ms = self.now_ms();
        let leased = worker.lease(message, max_channels, began_ms).await;
        match &leased {
            Ok(lease) if lease.is_new => self.note_reached(),
            Err(Fault::Refused | Fault::Unreachable { .. }) => {
                self.note_unreached(worker, began_ms);
            }
            Ok(_) | Err(_) => {}
        }
        leased
    }

    /// Records that a connection to an upstream was opened.
    fn note_reached(&self) {
        let mut state = self.isolation.borrow_mut();
        let since_ms = state.isolation.note_reached(self.now_ms());
        let lost = std::mem::take(&mut state.lost);
        let before = state.reach.send_replace(Reach::Normal);
        drop(state);
        if let Some(since_ms) = since_ms {
            self.rejoin(&lost, since_ms);
        }
        if before != Reach::Normal {
            // Losses were not reported while it was in doubt whose they are.
            self.notify_peers();
        }
    }

    /// Records that an upstream could not be reached by an attempt that began at a time.
    pub(super) fn note_unreached(self: &Rc<Traffic>, worker: &Worker, began_ms: u64) {
        let known = self.known_upstreams();
        let now_ms = self.now_ms();
        let mut state = self.isolation.borrow_mut();
        let id = &worker.upstream.id;
        state.isolation.note_unreached(id, began_ms, &known, now_ms);
        let reach = state.isolation.reach();
        if reach != Reach::Normal {
            state.lost.insert(Arc::clone(id));
        }
        let before = state.reach.send_replace(reach);
        let must_check = reach != Reach::Normal && !std::mem::replace(&mut state.is_checking, true);
        drop(state);
        if reach == Reach::CutOff && before != Reach::CutOff {
            self.cut_off();
        }
        if must_check {
            tokio::task::spawn_local(Rc::clone(self).check_links());
        }
    }

    /// Handles that no upstream can be reached any more.
    fn cut_off(&self) {
        self.metrics.count("cut_offs");
        slog::warn!(self.log, "no upstream can be reached; requests are relayed to other instances";
            "upstreams" => self.workers.borrow().len());
        self.workers.borrow().values().for_each(|worker| worker.close_idle());
        self.shared.signal(Signal::CutOff(true));
        self.notify_peers();
    }

    /// Handles that upstreams can be reached again: what was lost in the meantime may be well.
    fn rejoin(&self, lost: &BTreeSet<Arc<str>>, since_ms: u64) {
        let cut_off_ms = self.now_ms() - since_ms;
        slog::info!(self.log, "upstreams can be reached again"; "cut_off_ms" => cut_off_ms);
        let workers = self.workers.borrow();
        lost.iter().filter_map(|id| workers.get(id)).for_each(|worker| worker.absolve());
        self.losses.borrow_mut().forget_own_since(since_ms);
        self.shared.signal(Signal::CutOff(false));
    }

    /// Connects to upstreams until it is clear whether any can be reached, and again until one can.
    async fn check_links(self: Rc<Traffic>) {
        loop {
            let checks = self.links_to_check();
            if self.end_doubt(checks.is_empty()) {
                return;
            }
            future::join_all(checks.iter().map(|worker| self.check_link(worker))).await;
            let pause_ms =
                if self.is_cut_off() { RECOVERY_CHECK_INTERVAL_MS } else { CHECK_PAUSE_MS };
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
    }

    /// Ends the checks if upstreams can be reached, or none is left to be checked. Returns whether
    /// it did.
    fn end_doubt(&self, has_no_checks: bool) -> bool {
        let now_ms = self.now_ms();
        let mut state = self.isolation.borrow_mut();
        if has_no_checks && state.isolation.reach() == Reach::Doubtful {
            state.isolation.dismiss();
        }
        if state.isolation.expire(now_ms) != Reach::Normal {
            return false;
        }
        state.is_checking = false;
        state.lost.clear();
        let before = state.reach.send_replace(Reach::Normal);
        drop(state);
        if before != Reach::Normal {
            self.notify_peers();
        }
        true
    }

    fn known_upstreams(&self) -> Vec<Known> {
        let workers = self.workers.borrow();
        let known = workers.values().filter(|worker| worker.takes_work()).map(|worker| Known {
            id: Arc::clone(&worker.upstream.id),
            service: Arc::clone(&worker.upstream.service),
            domain: Arc::clone(&worker.upstream.domain),
        });
        known.collect()
    }

    fn links_to_check(&self) -> Vec<Rc<Worker>> {
        let workers = self.workers.borrow();
        let known = self.known_upstreams();
        let checks = self.isolation.borrow().isolation.checks(&known, &mut fastrand::Rng::new());
        checks.iter().filter_map(|id| workers.get(id)).map(Rc::clone).collect()
    }

    /// Connects to an upstream. The connection is kept for a request.
    async fn check_link(self: &Rc<Traffic>, worker: &Rc<Worker>) {
        let max_channels = self.channel_share(&worker.upstream.service);
        let began_ms = self.now_ms();
        self.metrics.count("links_checked");
        match worker.open_idle(max_channels, CHECK_TIMEOUT_MS, &self.clock).await {
            Ok(()) => self.note_reached(),
            Err(Fault::Refused | Fault::Unreachable { .. }) => {
                self.note_unreached(worker, began_ms);
            }
            Err(_) => {}
        }
    }
}
