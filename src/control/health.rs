//! The controller of upstreams: which exist, which are leaving, and their load.
//!
//! Each upstream is polled by one instance, which all instances determine by the same hash; reports
//! then spread by exchanges between instances. Once an upstream is known to be leaving, only a new
//! incarnation clears that ([docs/DESIGN.md](../../docs/DESIGN.md#upstreams)).

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::Ordering;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::control::blackboard::{Board, Brief, Load, Report, Upstream};
use crate::decide::Random;

/// How long an upstream gets no work after a refused connection or a silence: long enough for a
/// poll to confirm that it is down.
const SUSPECT_MS: u64 = 2_000;
/// Any instance may poll an upstream whose report is this old, since its poller may be lost.
const STALE_MS: u64 = 3 * RENEW_MS;
/// A report is sent to peers at least this often, also without a change.
const RENEW_MS: u64 = 15_000;
/// A change of load is sent to peers when it exceeds the slots divided by this.
const LOAD_CHANGE_DIVISOR: u32 = 5;
/// How long an upstream that is neither listed nor alive is kept.
const EXPIRE_MS: u64 = 30_000;
/// By how many reports the reported load may lag behind.
const LAG_REPORTS: usize = 4;
/// How many instances on average poll an upstream with a stale report in one tick.
const STALE_POLLERS: u64 = 2;

/// An entry of the platform's list of upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// The service it belongs to.
    pub service: Arc<str>,
    /// Its address.
    pub addr: Arc<str>,
    /// Its failure domain.
    pub domain: Arc<str>,
    /// Its incarnation, 0 if the platform doesn't know.
    pub incarnation: u64,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// What traffic observed of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It refused the connection.
    Refused,
    /// It accepted work and then sent nothing.
    Silent,
    /// It announced that it is leaving.
    Leaving,
    /// It refused a request and asked for backoff.
    BackOff {
        /// For how long.
        for_ms: u64,
    },
}

/// The controller's own state.
#[derive(Debug, Default)]
pub struct Health {
    pollers: BTreeMap<Arc<str>, Arc<str>>,
    pollers_epoch: u64,
}

impl Health {
    /// Handles the platform's list. An upstream that is missing from it is kept while it answers,
    /// since a restarted platform may list nothing for a while.
    pub fn handle_list(&mut self, board: &mut Board, listed: Vec<Listed>, now_ms: u64) {
        for line in listed {
            let report = blank_report(&line.addr, &line.service, &line.domain);
            ensure(board, report, now_ms);
            let Some(upstream) = board.upstreams.get_mut(&line.addr) else { continue };
            let known = upstream.report.load.incarnation;
            let is_about_this = line.incarnation == 0 || known == 0 || line.incarnation == known;
            let leaves = line.leaving && is_about_this && !upstream.report.load.leaving;
            if leaves || !upstream.report.is_listed {
                upstream.report.is_listed = true;
                upstream.report.load.leaving |= leaves;
                mark_changed(board, &line.addr, now_ms);
            }
        }
    }

    /// Adds the upstreams of the configuration and drops those that were lost long ago.
    pub fn follow_document(&mut self, board: &mut Board, now_ms: u64) {
        let document = Arc::clone(&board.document);
        for (addr, added) in &document.upstreams {
            ensure(board, blank_report(addr, &added.service, &added.domain), now_ms);
        }
        board.upstreams.retain(|addr, upstream| {
            let is_kept = document.upstreams.contains_key(addr) || upstream.report.is_alive;
            is_kept || now_ms.saturating_sub(upstream.alive_ms) < EXPIRE_MS
        });
    }

    /// Takes in the answer to a poll, `None` if there was none.
    pub fn handle_load(
        &mut self,
        board: &mut Board,
        addr: &str,
        load: Option<Load>,
        wall_ms: u64,
        now_ms: u64,
    ) {
        let Some(upstream) = board.upstreams.get_mut(addr) else {
            board.ignored_events += 1;
            return;
        };
        let old = &upstream.report;
        let mut report = Report { is_alive: load.is_some(), ..old.clone() };
        if let Some(load) = load {
            let same = load.incarnation == old.load.incarnation;
            let leaving = load.leaving || (same && old.load.leaving);
            report.load = Load { leaving, ..load };
        }
        report.version = wall_ms.max(old.version + 1);
        if report.is_alive {
            upstream.alive_ms = now_ms;
        }
        replace(board, report, now_ms);
    }

    /// Handles another instance's reports.
    pub fn handle_reports(&mut self, board: &mut Board, reports: Vec<Report>, now_ms: u64) {
        for mut report in reports {
            let Some(mine) = board.upstreams.get(&report.addr) else {
                ensure(board, report.clone(), now_ms);
                continue;
            };
            let same = mine.report.load.incarnation == report.load.incarnation;
            let leaving = same && (mine.report.load.leaving || report.load.leaving);
            if report.version > mine.report.version {
                report.load.leaving |= leaving;
                report.is_listed |= mine.report.is_listed;
                replace(board, report, now_ms);
            } else if leaving && !mine.report.load.leaving {
                self.set_leaving(board, &report.addr, now_ms);
            }
        }
    }

    /// Handles another instance's brief reports; those of unknown upstreams are ignored.
    pub fn handle_briefs(&mut self, board: &mut Board, briefs: Vec<Brief>, now_ms: u64) {
        for brief in briefs {
            let Some(mine) = board.upstreams.get(&brief.addr) else { continue };
            let is_same = mine.report.load.incarnation == brief.incarnation;
            if !is_same || brief.version <= mine.report.version {
                continue;
            }
            let mut report = mine.report.clone();
            report.version = brief.version;
            report.load.running = brief.running;
            report.load.waiting = brief.waiting;
            replace(board, report, now_ms);
        }
    }

    /// Handles an observation of traffic.
    pub fn handle_observation(
        &mut self,
        board: &mut Board,
        addr: &str,
        observation: Observation,
        now_ms: u64,
    ) {
        let Some(upstream) = board.upstreams.get_mut(addr) else {
            board.ignored_events += 1;
            return;
        };
        match observation {
            Observation::Refused | Observation::Silent => {
                upstream.suspect_until_ms = now_ms + SUSPECT_MS
            }
            Observation::Leaving => self.set_leaving(board, addr, now_ms),
            Observation::BackOff { for_ms } => {
                let until_ms = now_ms.saturating_add(for_ms);
                upstream.backoff_until_ms = upstream.backoff_until_ms.max(until_ms);
            }
        }
    }

    fn set_leaving(&mut self, board: &mut Board, addr: &str, now_ms: u64) {
        let Some(upstream) = board.upstreams.get_mut(addr) else { return };
        if !upstream.report.load.leaving {
            upstream.report.load.leaving = true;
            mark_changed(board, addr, now_ms);
        }
    }

    /// The addresses that this instance has to poll now.
    pub fn due_polls(
        &mut self,
        board: &Board,
        now_ms: u64,
        random: &mut dyn Random,
    ) -> Vec<Arc<str>> {
        if self.pollers_epoch != board.table.epoch() {
            self.pollers.clear();
            self.pollers_epoch = board.table.epoch();
        }
        self.pollers.retain(|addr, _| board.upstreams.contains_key(addr));
        let members = board.table.roster.members.len().max(1) as u64;
        let mut due = Vec::new();
        for (addr, upstream) in &board.upstreams {
            let poller =
                self.pollers.entry(Arc::clone(addr)).or_insert_with(|| poller(board, addr));
            let is_mine = *poller == board.me.id;
            let is_stale = now_ms.saturating_sub(upstream.received_ms) > STALE_MS;
            if is_mine || (is_stale && random.below(members) < STALE_POLLERS) {
                due.push(Arc::clone(addr));
            }
        }
        due
    }
}

fn poller(board: &Board, addr: &str) -> Arc<str> {
    let score = |id: &str| xxh3_64_with_seed(addr.as_bytes(), xxh3_64_with_seed(id.as_bytes(), 1));
    let best = board.table.roster.members.iter().max_by_key(|member| score(&member.id));
    Arc::clone(best.map_or(&board.me.id, |member| &member.id))
}

fn blank_report(addr: &Arc<str>, service: &Arc<str>, domain: &Arc<str>) -> Report {
    Report {
        addr: Arc::clone(addr),
        service: Arc::clone(service),
        domain: Arc::clone(domain),
        version: 0,
        is_alive: false,
        is_listed: false,
        load: Load::default(),
    }
}

fn ensure(board: &mut Board, report: Report, now_ms: u64) {
    if board.upstreams.contains_key(&report.addr) {
        return;
    }
    board.changes += 1;
    let upstream = Upstream {
        received_ms: now_ms,
        alive_ms: now_ms,
        suspect_until_ms: 0,
        backoff_until_ms: 0,
        peaks: VecDeque::new(),
        changed: board.changes,
        described: board.changes,
        marked_requests: 0,
        marked_ms: now_ms,
        counters: Arc::default(),
        report,
    };
    board.upstreams.insert(Arc::clone(&upstream.report.addr), upstream);
}

fn replace(board: &mut Board, report: Report, now_ms: u64) {
    let Some(upstream) = board.upstreams.get_mut(&report.addr) else { return };
    update_others(upstream, &report);
    if report.is_alive {
        upstream.alive_ms = now_ms;
    }
    upstream.received_ms = now_ms;
    let is_described = report.is_described_by(&upstream.report);
    upstream.report = report;
    let busy = upstream.report.load.running + upstream.report.load.waiting;
    let differs =
        busy.abs_diff(upstream.marked_requests) * LOAD_CHANGE_DIVISOR > upstream.report.load.slots;
    let is_due = now_ms.saturating_sub(upstream.marked_ms) >= RENEW_MS;
    if !is_described || differs || is_due {
        let addr = Arc::clone(&upstream.report.addr);
        mark_for_peers(board, &addr, is_described, now_ms);
    }
}

/// Marks an upstream's report to be sent with the next exchanges.
fn mark_for_peers(board: &mut Board, addr: &str, is_described: bool, now_ms: u64) {
    board.changes += 1;
    let Some(upstream) = board.upstreams.get_mut(addr) else { return };
    upstream.changed = board.changes;
    upstream.marked_ms = now_ms;
    upstream.marked_requests = upstream.report.load.running + upstream.report.load.waiting;
    if !is_described {
        upstream.described = board.changes;
    }
}

/// Updates the requests of other instances: the reported load minus this instance's own.
fn update_others(upstream: &mut Upstream, report: &Report) {
    let counters = &upstream.counters;
    let in_flight = counters.in_flight.load(Ordering::Relaxed);
    upstream.peaks.push_back(counters.peak.swap(in_flight, Ordering::Relaxed));
    if upstream.peaks.len() > LAG_REPORTS {
        upstream.peaks.pop_front();
    }
    let mine = upstream.peaks.iter().copied().max().unwrap_or(0);
    let reported = report.load.running + report.load.waiting;
    counters.others.store(reported.saturating_sub(mine), Ordering::Relaxed);
}

/// Raises the version of a report that was changed here and marks it to be sent to peers.
fn mark_changed(board: &mut Board, addr: &str, now_ms: u64) {
    if let Some(upstream) = board.upstreams.get_mut(addr) {
        upstream.report.version += 1;
        upstream.received_ms = now_ms;
    }
    mark_for_peers(board, addr, false, now_ms);
}
