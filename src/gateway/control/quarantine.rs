//! The controller of the quarantine: it judges the crashes that traffic reports, and has peers know.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::super::crash::{Crash, CrashRecord, EarlyCrash};
use super::super::fingerprint::Fingerprint;
use super::super::membership::{Message, Rumor};
use super::super::policy::quarantine::{Judgement, QUARANTINE_MS};
use super::super::view::Report;
use super::{Board, Control};

/// How often a quarantine is tried to be stored, and the pause between: outages of the directory last
/// for seconds, and peers know it meanwhile.
const REMEMBER_TRIES: u32 = 30;
const REMEMBER_PAUSE_MS: u64 = 1_000;

impl Control {
    /// Takes in what is reported, and judges it when peers have told what else ended.
    pub(super) async fn keep_quarantine(self: Rc<Control>) {
        loop {
            let next_judgement_ms = self.board.borrow().quarantine.next_judgement_ms();
            let left_ms = next_judgement_ms.map(|at_ms| at_ms.saturating_sub(self.clock.now_ms()));
            tokio::select! {
                () = self.shared.reported.notified() => {}
                () = sleep_or_wait(left_ms) => {}
            }
            for report in self.shared.take_reports() {
                self.take_report(report);
            }
            self.tell_ends();
            self.settle();
            self.tell_quarantine_news();
        }
    }

    /// Has peers hear which upstreams ended under runs that had just begun.
    fn tell_ends(&self) {
        let mut board = self.board.borrow_mut();
        for end in board.quarantine.take_early_crashes() {
            board.membership.tell(Rumor::Ended(end));
        }
        drop(board);
        self.rumors.notify_one();
    }

    /// Takes in such an end from a peer; the others hear of it if it is news.
    pub(super) fn hear_end(&self, end: EarlyCrash, now_ms: u64) {
        let mut board = self.board.borrow_mut();
        let Some(upstream) = board.fleet.upstreams.get(&end.upstream).cloned() else { return };
        if board.quarantine.note_early_crash(&upstream, end.fingerprint, now_ms) {
            board.membership.tell(Rumor::Ended(end));
            drop(board);
            self.rumors.notify_one();
        }
    }

    fn take_report(self: &Rc<Control>, report: Report) {
        let now_ms = self.clock.now_ms();
        let mut board = self.board.borrow_mut();
        match report {
            Report::Crash(crash) => board.quarantine.note_crash(crash),
            Report::Served(fingerprint, event) => {
                let was_quarantined = board.quarantine.is_quarantined(fingerprint);
                board.quarantine.clear_served(fingerprint, event, now_ms);
                if was_quarantined && !board.quarantine.is_quarantined(fingerprint) {
                    drop(board);
                    slog::warn!(self.log, "quarantine lifted: the request was served";
                        "fingerprint" => %fingerprint);
                    self.remember(fingerprint);
                }
            }
            Report::Lift(fingerprint) => {
                let was_known = board.quarantine.lift(fingerprint, now_ms);
                drop(board);
                self.remember(fingerprint);
                slog::warn!(self.log, "quarantine lifted"; "fingerprint" => %fingerprint,
                    "was_known" => was_known);
            }
        }
    }

    fn settle(self: &Rc<Control>) {
        let now_ms = self.clock.now_ms();
        let mut board = self.board.borrow_mut();
        let Board { quarantine, fleet, .. } = &mut *board;
        let settled = quarantine.judge_pending(&fleet.upstreams, now_ms);
        drop(board);
        for (crash, judgement) in settled {
            self.log_crash(&crash, judgement);
            if judgement == Judgement::Quarantined {
                self.remember(crash.fingerprint);
            }
        }
    }

    fn log_crash(&self, crash: &Crash, judgement: Judgement) {
        let Crash { fingerprint, upstream, stage, event, .. } = crash;
        slog::warn!(self.log, "upstream ended under a request"; "fingerprint" => %fingerprint,
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

    /// Has the directory remember how a request stands, as soon as it answers.
    fn remember(self: &Rc<Control>, fingerprint: Fingerprint) {
        let control = Rc::clone(self);
        tokio::task::spawn_local(async move {
            for _ in 0..REMEMBER_TRIES {
                let now_ms = control.clock.now_ms();
                let record = control.board.borrow().quarantine.record(fingerprint, now_ms);
                let Some(record) = record else { return };
                match control.directory.remember(&record, QUARANTINE_MS).await {
                    Ok(()) => return,
                    Err(fault) => slog::info!(control.log, "quarantine not stored yet";
                        "fingerprint" => %fingerprint, "why" => %fault),
                }
                tokio::time::sleep(Duration::from_millis(REMEMBER_PAUSE_MS)).await;
            }
        });
    }

    /// Takes in what a peer tells of a request.
    pub(super) fn hear_crashes(self: &Rc<Control>, told: CrashRecord) {
        let fingerprint = told.fingerprint;
        // Crashes that several instances saw add up at any of them: a few have the directory remember.
        if self.take_crashes(told, "peer") && self.registers() {
            self.remember(fingerprint);
        }
    }

    /// Takes in what others know of a request. Whether it is quarantined here by that.
    pub(super) fn take_crashes(&self, told: CrashRecord, from: &'static str) -> bool {
        let fingerprint = told.fingerprint;
        let is_new = self.board.borrow_mut().quarantine.merge_record(told, self.clock.now_ms());
        if is_new {
            self.log_quarantined(fingerprint, from);
        }
        self.tell_quarantine_news();
        is_new
    }

    /// Has traffic and peers know what changed.
    fn tell_quarantine_news(&self) {
        let now_ms = self.clock.now_ms();
        let mut board = self.board.borrow_mut();
        let news = board.quarantine.take_updates(now_ms);
        if news.is_empty() {
            return;
        }
        for told in news {
            board.membership.tell(Rumor::Crashes(told));
        }
        drop(board);
        self.publish();
    }

    /// Tells a part of everything to some.
    pub(super) fn tell_quarantine(&self, addrs: &[SocketAddr]) {
        let now_ms = self.clock.now_ms();
        let part = self.board.borrow_mut().quarantine.next_sync_batch(now_ms);
        if !part.is_empty() {
            let rumors = part.into_iter().map(Rumor::Crashes).collect();
            self.send(&Message::Rumors(rumors), addrs);
        }
    }

    /// Tells a part of everything to one living peer, whatever it knows: gossip ends after a few
    /// rounds, and an instance that was cut off or suspended meanwhile has missed it.
    pub(super) fn tell_quarantine_to_one(&self) {
        let board = self.board.borrow();
        if board.quarantine.is_empty() {
            return;
        }
        let alive: Vec<SocketAddr> =
            board.membership.alive().map(|member| member.card.registration.peer_addr).collect();
        drop(board);
        if let Some(addr) = fastrand::choice(alive) {
            self.tell_quarantine(&[addr]);
        }
    }
}

async fn sleep_or_wait(left_ms: Option<u64>) {
    match left_ms {
        Some(left_ms) => tokio::time::sleep(Duration::from_millis(left_ms)).await,
        None => std::future::pending().await,
    }
}
