//! The controller of membership: joining, leaving, exchanges with peers, and suspicion.
//!
//! Each instance exchanges state with its successor on the ring and with one peer at random, so that
//! the cost per instance does not grow with the fleet. A peer that doesn't answer is removed from
//! the table only after witnesses, asked for it, can't reach it either
//! ([docs/DESIGN.md](../../docs/DESIGN.md#membership)).

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::control::blackboard::{Board, Brief, Report, Upstream};
use crate::control::membership::{Member, Table};
use crate::decide::Random;
use crate::operators::document::Document;

/// After how many failed exchanges in a row a peer is suspected.
const SUSPECT_AFTER_FAILURES: u32 = 3;
/// How many witnesses are asked about a suspect.
const WITNESSES: usize = 2;
/// How many peers each instance forwards a change to.
const FAN_OUT: usize = 4;
/// Changes that are newer than this are sent to peers drawn at random.
const RECENT_MS: u64 = 1_000;
/// How long a peer isn't suspected again after a witness has reached it.
const CLEARED_MS: u64 = 10_000;

/// The message of one instance to another in an exchange.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// The sender.
    pub from: Member,
    /// The sender's epoch.
    pub epoch: u64,
    /// The sender's configuration revision.
    pub revision: u64,
    /// The sender's table, when the receiver is known to have an older one.
    pub table: Option<Arc<Table>>,
    /// The sender's configuration, when the receiver is known to have an older one.
    pub document: Option<Arc<Document>>,
    /// Reports of which the receiver lacks more than the numbers of requests.
    pub reports: Vec<Report>,
    /// Reports of which the receiver lacks only the numbers of requests.
    pub briefs: Vec<Brief>,
    /// The dissemination tree, if the receiver has to forward the change.
    pub route: Option<Route>,
}

/// The dissemination tree of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The root: the instance where the change entered.
    pub origin: Arc<str>,
    /// The failure domain that it stays in; `None` for all.
    pub domain: Option<Arc<str>>,
}

/// Which reports an exchange carries.
///
/// Only the successor on the ring gets all that was not sent to it yet, at every tick. A peer drawn
/// at random would get nearly everything that way, since its last exchange was long ago.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportScope {
    /// All changes that this instance hasn't sent to the peer.
    Everything,
    /// Only changes since then.
    SinceMs(u64),
    /// No reports.
    None,
}

impl Upstream {
    /// Whether a peer needs the full report instead of the brief one.
    fn is_described_since(&self, sent: u64, scope: ReportScope) -> bool {
        match scope {
            ReportScope::Everything => self.described > sent,
            _ => self.described == self.changed,
        }
    }
}

/// What is forwarded at once, beside recent reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Spread {
    /// A newer table.
    pub table: bool,
    /// A newer configuration.
    pub document: bool,
}

/// The state of one peer.
#[derive(Debug, Default)]
struct Peer {
    incarnation: u64,
    failures: u32,
    in_flight: bool,
    epoch: u64,
    revision: u64,
    sent_changes: u64,
    sending_changes: u64,
    cleared_until_ms: u64,
    witnesses: Option<Witnesses>,
}

#[derive(Debug)]
struct Witnesses {
    asked: usize,
    unreachable: usize,
}

/// The controller's own state.
#[derive(Debug, Default)]
pub struct Peers {
    known: BTreeMap<Arc<str>, Peer>,
    /// Peers to remove from the table.
    pub removals: Vec<Member>,
}

/// An output of the controller.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Send an exchange.
    Send(Member, Exchange),
    /// Ask a witness whether it reaches a suspect.
    AskWitness {
        /// The witness.
        witness: Member,
        /// The suspect.
        suspect: Member,
    },
}

impl Peers {
    /// Drops pending removals of members that aren't in the table. This must happen as soon as a
    /// table is adopted: a live instance that was removed joins again, and must not be removed twice
    /// for the same silence.
    pub fn drop_stale_removals(&mut self, board: &Board) {
        self.removals.retain(|member| board.table.roster.contains(member));
    }

    /// The exchanges of one tick.
    pub fn tick(
        &mut self,
        board: &Board,
        now_ms: u64,
        random: &mut dyn Random,
        out: &mut Vec<Command>,
    ) {
        let roster = &board.table.roster;
        self.known.retain(|id, peer| {
            roster.member(id).is_some_and(|member| member.incarnation == peer.incarnation)
        });
        self.drop_stale_removals(board);
        let mut targets: Vec<Member> = Vec::new();
        for member in roster.successors(&board.me.id) {
            targets.push(member.clone());
            let is_suspect = self.known.get(&member.id).is_some_and(|peer| peer.failures > 0);
            if !is_suspect {
                break;
            }
        }
        let others: Vec<_> = roster.members.iter().filter(|m| m.id != board.me.id).collect();
        if !others.is_empty() {
            let drawn = others[random.below(others.len() as u64) as usize].clone();
            if !targets.contains(&drawn) {
                self.send(
                    board,
                    &drawn,
                    ReportScope::SinceMs(now_ms.saturating_sub(RECENT_MS)),
                    out,
                );
            }
        }
        for member in targets {
            self.send(board, &member, ReportScope::Everything, out);
        }
    }

    fn send(&mut self, board: &Board, to: &Member, scope: ReportScope, out: &mut Vec<Command>) {
        let peer = self.known.entry(Arc::clone(&to.id)).or_default();
        peer.incarnation = to.incarnation;
        if peer.in_flight {
            return;
        }
        peer.in_flight = true;
        if scope == ReportScope::Everything {
            peer.sending_changes = board.changes;
        }
        out.push(Command::Send(to.clone(), self.exchange_for(board, &to.id, scope)));
    }

    /// Exchanges tables with a peer that is in another epoch.
    pub fn catch_up(&mut self, board: &Board, to: &Member, out: &mut Vec<Command>) {
        let mut exchange = self.exchange_for(board, &to.id, ReportScope::None);
        exchange.table = Some(Arc::clone(&board.table));
        out.push(Command::Send(to.clone(), exchange));
    }

    fn exchange_for(&self, board: &Board, to: &str, scope: ReportScope) -> Exchange {
        let peer = self.known.get(to);
        let sent = peer.map_or(0, |peer| peer.sent_changes);
        let is_in_scope = |upstream: &&Upstream| match scope {
            ReportScope::Everything => upstream.changed > sent,
            ReportScope::SinceMs(since_ms) => {
                upstream.changed > sent && upstream.marked_ms >= since_ms
            }
            ReportScope::None => false,
        };
        let changed = board.upstreams.values().filter(is_in_scope);
        let (described, numbers): (Vec<_>, Vec<_>) =
            changed.partition(|upstream| upstream.is_described_since(sent, scope));
        let is_behind = |theirs: u64, mine: u64| theirs > 0 && theirs < mine;
        let epoch = board.table.epoch();
        let revision = board.document.revision;
        let sends_table = peer.is_some_and(|peer| is_behind(peer.epoch, epoch));
        let sends_document = peer.is_some_and(|peer| is_behind(peer.revision, revision));
        Exchange {
            from: board.me.clone(),
            epoch,
            revision,
            table: sends_table.then(|| Arc::clone(&board.table)),
            document: sends_document.then(|| Arc::clone(&board.document)),
            reports: described.into_iter().map(|upstream| upstream.report.clone()).collect(),
            briefs: numbers.into_iter().map(|upstream| upstream.report.brief()).collect(),
            route: None,
        }
    }

    /// Forwards a change to this instance's children in the dissemination tree.
    pub fn spread(
        &mut self,
        board: &Board,
        route: &Route,
        spread: Spread,
        now_ms: u64,
        out: &mut Vec<Command>,
    ) {
        let is_on_route =
            |member: &&Member| route.domain.as_ref().is_none_or(|domain| member.domain == *domain);
        let members: Vec<_> = board.table.roster.members.iter().filter(is_on_route).collect();
        let place_of = |id: &str| members.iter().position(|member| *member.id == *id);
        let Some(root) = place_of(&route.origin) else { return };
        let Some(mine) = place_of(&board.me.id) else { return };
        let count = members.len();
        let first = (mine + count - root) % count * FAN_OUT + 1;
        for child in first..(first + FAN_OUT).min(count) {
            let member = members[(root + child) % count];
            let scope = ReportScope::SinceMs(now_ms.saturating_sub(RECENT_MS));
            let mut exchange = self.exchange_for(board, &member.id, scope);
            exchange.table = spread.table.then(|| Arc::clone(&board.table));
            exchange.document = spread.document.then(|| Arc::clone(&board.document));
            exchange.route = Some(route.clone());
            let peer = self.known.entry(Arc::clone(&member.id)).or_default();
            peer.incarnation = member.incarnation;
            out.push(Command::Send(member.clone(), exchange));
        }
    }

    /// The answer to a peer's exchange: what is newer at this instance.
    pub fn answer(&mut self, board: &Board, theirs: &Exchange) -> Exchange {
        let is_known = board.table.roster.contains(&theirs.from);
        let mut mine = Exchange {
            from: board.me.clone(),
            epoch: board.table.epoch(),
            revision: board.document.revision,
            table: None,
            document: None,
            reports: Vec::new(),
            briefs: Vec::new(),
            route: None,
        };
        if theirs.epoch < mine.epoch {
            mine.table = Some(Arc::clone(&board.table));
        }
        if theirs.revision < mine.revision {
            mine.document = Some(Arc::clone(&board.document));
        }
        if is_known {
            let peer = self.known.entry(Arc::clone(&theirs.from.id)).or_default();
            peer.incarnation = theirs.from.incarnation;
            peer.failures = 0;
            peer.epoch = theirs.epoch;
            peer.revision = theirs.revision;
        } else {
            // An instance that isn't in the table yet gets all reports.
            mine.reports = board.upstreams.values().map(|u| u.report.clone()).collect();
        }
        mine
    }

    /// Handles a peer's answer, `None` after a timeout.
    pub fn handle_answer(
        &mut self,
        board: &Board,
        from: &Member,
        answer: Option<&Exchange>,
        now_ms: u64,
        random: &mut dyn Random,
        out: &mut Vec<Command>,
    ) {
        let Some(peer) = self.known.get_mut(&from.id) else { return };
        peer.in_flight = false;
        let Some(answer) = answer.filter(|answer| answer.from.is_same(from)) else {
            peer.failures += 1;
            self.suspect(board, from, now_ms, random, out);
            return;
        };
        peer.failures = 0;
        peer.witnesses = None;
        peer.epoch = answer.epoch;
        peer.revision = answer.revision;
        peer.sent_changes = peer.sending_changes;
    }

    fn suspect(
        &mut self,
        board: &Board,
        suspect: &Member,
        now_ms: u64,
        random: &mut dyn Random,
        out: &mut Vec<Command>,
    ) {
        let Some(peer) = self.known.get_mut(&suspect.id) else { return };
        let is_due = peer.failures >= SUSPECT_AFTER_FAILURES && peer.witnesses.is_none();
        if !is_due || peer.cleared_until_ms > now_ms {
            return;
        }
        let reachable = |member: &&Member| {
            member.id != board.me.id && member.id != suspect.id && member.domain != board.me.domain
        };
        let mut others: Vec<_> = board.table.roster.members.iter().filter(reachable).collect();
        let mut chosen = Vec::new();
        while chosen.len() < WITNESSES && !others.is_empty() {
            let drawn = random.below(others.len() as u64) as usize;
            chosen.push(others.swap_remove(drawn).clone());
        }
        peer.witnesses = Some(Witnesses { asked: chosen.len(), unreachable: 0 });
        if chosen.is_empty() {
            self.removals.push(suspect.clone());
        }
        let ask = |witness| Command::AskWitness { witness, suspect: suspect.clone() };
        out.extend(chosen.into_iter().map(ask));
    }

    /// Handles a witness's answer, `None` after a timeout.
    pub fn handle_witness(&mut self, suspect: &Member, reaches: Option<bool>, now_ms: u64) {
        let Some(peer) = self.known.get_mut(&suspect.id) else { return };
        let Some(witnesses) = &mut peer.witnesses else { return };
        if peer.incarnation != suspect.incarnation {
            return;
        }
        match reaches {
            Some(true) => {
                peer.witnesses = None;
                peer.failures = 0;
                peer.cleared_until_ms = now_ms + CLEARED_MS;
                return;
            }
            Some(false) => witnesses.unreachable += 1,
            None => witnesses.asked = witnesses.asked.saturating_sub(1),
        }
        let is_settled = witnesses.unreachable >= witnesses.asked.max(1);
        if is_settled && !self.removals.iter().any(|member| member.is_same(suspect)) {
            self.removals.push(suspect.clone());
        } else if witnesses.asked == 0 {
            // No witness answered: this instance may be the one that is cut off, so retry later.
            peer.witnesses = None;
        }
    }
}
