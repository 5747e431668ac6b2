//! Tracks requests that crash upstreams: judges the crashes that request handling reports, quarantines
//! requests, and shares the records with peers and the directory.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::super::crash::{Crash, CrashRecord, EarlyCrash};
use super::super::fingerprint::Fingerprint;
use super::super::membership::{Message, Rumor};
use super::super::policy::quarantine::{Judgement, QUARANTINE_MS};
use super::super::view::Report;
use super::{Control, ControlState};

/// How many attempts are made to store a quarantine record, and the pause between them: outages of the
/// directory last for seconds, and peers have the record meanwhile.
const MAX_STORE_ATTEMPTS: u32 = 30;
const STORE_RETRY_PAUSE_MS: u64 = 1_000;

impl Control {
    /// Collects reported crashes, and judges each after a delay in which peers report other upstreams that
    /// ended.
    pub(super) async fn maintain_quarantine(self: Rc<Control>) {
        loop {
            let next_judgement_ms = self.state.borrow().quarantine.next_judgement_ms();
            let left_ms = next_judgement_ms.map(|at_ms| at_ms.saturating_sub(self.clock.now_ms()));
            tokio::select! {
                () = self.shared.reported.notified() => {}
                () = self.must_store_quarantine.notified() => self.store_quarantine_again(),
                () = sleep_or_wait_forever(left_ms) => {}
            }
            for report in self.shared.take_reports() {
                self.handle_report(report);
            }
            self.gossip_early_crashes();
            self.judge_crashes();
            self.publish_quarantine_changes();
        }
    }

    /// Gossips which upstreams ended under runs that had just begun.
    fn gossip_early_crashes(&self) {
        let mut state = self.state.borrow_mut();
        for crash in state.quarantine.take_early_crashes() {
            state.membership.spread(Rumor::Ended(crash));
        }
        drop(state);
        self.rumors.notify_one();
    }

    /// Records an early crash reported by a peer, and gossips it further if it was not known.
    pub(super) fn handle_early_crash(&self, crash: EarlyCrash, now_ms: u64) {
        let mut state = self.state.borrow_mut();
        let Some(upstream) = state.fleet.upstreams.get(&crash.upstream).cloned() else { return };
        if state.quarantine.note_early_crash(&upstream, crash.fingerprint, now_ms) {
            state.membership.spread(Rumor::Ended(crash));
            drop(state);
            self.rumors.notify_one();
        }
    }

    fn handle_report(self: &Rc<Control>, report: Report) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        match report {
            Report::Crash(crash) => state.quarantine.note_crash(crash),
            Report::Served(fingerprint, event) => {
                let was_quarantined = state.quarantine.is_quarantined(fingerprint);
                state.quarantine.clear_served(fingerprint, event, now_ms);
                if was_quarantined && !state.quarantine.is_quarantined(fingerprint) {
                    drop(state);
                    slog::warn!(self.log, "quarantine lifted: the request was served";
                        "fingerprint" => %fingerprint);
                    self.store_record(fingerprint);
                }
            }
            Report::Lift(fingerprint) => {
                let was_known = state.quarantine.lift(fingerprint, now_ms);
                drop(state);
                self.store_record(fingerprint);
                slog::warn!(self.log, "quarantine lifted"; "fingerprint" => %fingerprint,
                    "was_known" => was_known);
            }
        }
    }

    fn judge_crashes(self: &Rc<Control>) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        let ControlState { quarantine, fleet, .. } = &mut *state;
        let judged = quarantine.judge_pending(&fleet.upstreams, now_ms);
        drop(state);
        for (crash, judgement) in judged {
            self.log_crash(&crash, judgement);
            if judgement == Judgement::Quarantined {
                self.store_record(crash.fingerprint);
            }
        }
    }

    fn log_crash(&self, crash: &Crash, judgement: Judgement) {
        let Crash { fingerprint, part, request, upstream, stage, event, .. } = crash;
        slog::warn!(self.log, "upstream crashed under a request"; "fingerprint" => %fingerprint,
            "part" => part.as_deref(), "request_fingerprint" => %request,
            "upstream" => &*upstream.id, "domain" => &*upstream.domain, "stage" => ?stage,
            "event" => event, "judged" => ?judgement);
        if judgement == Judgement::Quarantined {
            self.log_quarantined(crash.fingerprint, "crashes");
        }
    }

    fn log_quarantined(&self, fingerprint: impl std::fmt::Display, from: &'static str) {
        slog::warn!(self.log, "request quarantined"; "fingerprint" => %fingerprint, "from" => from);
        self.metrics.count("requests_quarantined");
    }

    /// Stores all quarantined requests again, if this instance is one of those that do so for all.
    fn store_quarantine_again(self: &Rc<Control>) {
        if !self.should_register() {
            return;
        }
        let quarantined = self.state.borrow().quarantine.quarantined();
        quarantined.into_iter().for_each(|fingerprint| self.store_record(fingerprint));
    }

    /// Stores the record of a request in the directory, retrying while it is unreachable.
    fn store_record(self: &Rc<Control>, fingerprint: Fingerprint) {
        let control = Rc::clone(self);
        tokio::task::spawn_local(async move {
            for _ in 0..MAX_STORE_ATTEMPTS {
                let now_ms = control.clock.now_ms();
                let record = control.state.borrow().quarantine.record(fingerprint, now_ms);
                let Some(record) = record else { return };
                match control.directory.remember(&record, QUARANTINE_MS).await {
                    Ok(()) => return,
                    Err(fault) => {
                        slog::info!(control.log, "could not store the quarantine record";
                        "fingerprint" => %fingerprint, "why" => %fault)
                    }
                }
                tokio::time::sleep(Duration::from_millis(STORE_RETRY_PAUSE_MS)).await;
            }
        });
    }

    /// Merges the record of a request from a peer.
    pub(super) fn handle_crash_record(self: &Rc<Control>, record: CrashRecord) {
        let fingerprint = record.fingerprint;
        // Crashes seen by several instances can add up to a quarantine at any of them, so the few registered
        // instances store it.
        if self.merge_crash_record(record, "peer") && self.should_register() {
            self.store_record(fingerprint);
        }
    }

    /// Merges the record of a request. Returns whether this quarantines the request here.
    pub(super) fn merge_crash_record(&self, record: CrashRecord, from: &'static str) -> bool {
        let fingerprint = record.fingerprint;
        let is_new = self.state.borrow_mut().quarantine.merge_record(record, self.clock.now_ms());
        if is_new {
            self.log_quarantined(fingerprint, from);
        }
        self.publish_quarantine_changes();
        is_new
    }

    /// Publishes and gossips changed records.
    fn publish_quarantine_changes(&self) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        let changed = state.quarantine.take_updates(now_ms);
        if changed.is_empty() {
            return;
        }
        for record in changed {
            state.membership.spread(Rumor::Crashes(record));
        }
        drop(state);
        self.publish();
    }

    /// Sends the next batch of all records to some peers.
    pub(super) fn send_quarantine(&self, addrs: &[SocketAddr]) {
        let now_ms = self.clock.now_ms();
        let batch = self.state.borrow_mut().quarantine.next_sync_batch(now_ms);
        if !batch.is_empty() {
            let rumors = batch.into_iter().map(Rumor::Crashes).collect();
            self.send(&Message::Rumors(rumors), addrs);
        }
    }

    /// Sends the next batch of all records to one live peer, whatever it knows: gossip ends after a few rounds,
    /// and an instance that was cut off or suspended meanwhile has missed it.
    pub(super) fn send_quarantine_to_one_peer(&self) {
        let state = self.state.borrow();
        if state.quarantine.is_empty() {
            return;
        }
        let alive: Vec<SocketAddr> = state
            .membership
            .alive()
            .map(|member| member.descriptor.registration.peer_addr)
            .collect();
        drop(state);
        if let Some(addr) = fastrand::choice(alive) {
            self.send_quarantine(&[addr]);
        }
    }
}

async fn sleep_or_wait_forever(left_ms: Option<u64>) {
    match left_ms {
        Some(left_ms) => tokio::time::sleep(Duration::from_millis(left_ms)).await,
        None => std::future::pending().await,
    }
}
