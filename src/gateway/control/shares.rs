//! The controller of what this instance holds of the services that have too many upstreams for all
//! instances to hold them all.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use super::super::fleet::Upstream;
use super::super::loads::Part;
use super::super::membership::Message;
use super::super::policy::subset::{self, InstanceSubset, Share};
use super::super::policy::watchers;
use super::{Board, Control};

/// How long an upstream counts that this instance asked for by its id: long enough to send a request.
const GUEST_MS: u64 = 1_000;
/// How long an instance holds more of the large services than it must, after it had no upstream left.
const WIDE_MS: u64 = 30_000;
/// From when on an instance that started knows about all members: among the few of the first moments, each
/// would take its part for too narrow, or itself for one that holds all, and all would fetch at once.
const MEMBERS_KNOWN_MS: u64 = 5_000;
/// How long an instance must have no reason to hold all upstreams before it leaves them to others: ranks
/// change while many start or end.
const NARROW_AFTER_MS: u64 = 5_000;

impl Control {
    /// Takes on which services are large, as whoever holds all upstreams says: of those that are now,
    /// this instance keeps its share; those that no longer are, it fetches.
    pub(super) fn follow_large(&self, board: &mut Board, told: &Part) {
        if board.part.large == told.large {
            return;
        }
        let is_less = board.part.large.iter().any(|service| !told.large.contains(service));
        board.part.large = told.large.clone();
        board.suitable = None;
        if board.part.share.is_all() {
            return;
        }
        if is_less {
            let is_small = told.large.is_empty();
            board.wanted_share = Some(if is_small { Share::ALL } else { board.part.share });
        }
        let Board { fleet, part, .. } = board;
        fleet.narrow(holds(&self.me.id, part));
    }

    /// The share of the large services that suits the fleet, as far as this instance's part of them tells.
    pub(super) fn suitable_share(board: &Board) -> Share {
        let services = board.fleet.upstreams.values().map(|upstream| &upstream.service);
        let large = services.filter(|service| board.part.large.contains(*service));
        subset::suitable_share(large, board.part.share, board.membership.alive().count() + 1)
    }

    /// Works out which services are large, which whoever holds all upstreams does.
    pub(super) fn note_large(board: &mut Board) {
        if board.part.share.is_all() {
            let services = board.fleet.upstreams.values().map(|upstream| &upstream.service);
            board.part.large = subset::large_services(services, &board.part.large);
        }
    }

    /// Holds as much of the large services as this instance's rank asks for, and more for a while after
    /// it had no upstream left to send a request to.
    pub(super) fn settle_share(&self, now_ms: u64) {
        let mut board = self.board.borrow_mut();
        if !board.has_fleet || board.part.large.is_empty() || board.wanted_share.is_some() {
            return;
        }
        let before_me = board.membership.before_me();
        let instances = board.membership.alive().count() + 1;
        let share = board.part.share;
        if watchers::holds_all(before_me) {
            board.narrows_since_ms = None;
            if !share.is_all() && now_ms >= MEMBERS_KNOWN_MS {
                board.wanted_share = Some(Share::ALL);
            }
            return;
        }
        if now_ms >= MEMBERS_KNOWN_MS && subset::is_too_narrow(share, instances) {
            board.wanted_share = Some(share.wider());
            return;
        }
        let since_ms = *board.narrows_since_ms.get_or_insert(now_ms);
        let is_settled =
            watchers::is_far_from_holding_all(before_me) || now_ms >= since_ms + NARROW_AFTER_MS;
        let suitable = Control::suitable_share(&board);
        let is_wide = suitable > share && (share.is_all() || suitable > share.narrower());
        if is_wide && is_settled && !board.is_watching && now_ms >= board.wide_until_ms {
            self.narrow(&mut board, suitable);
            drop(board);
            self.dirty.notify_one();
        }
    }

    /// Leaves upstreams of large services to others.
    fn narrow(&self, board: &mut Board, share: Share) {
        let Board { fleet, part, .. } = board;
        part.share = share;
        fleet.narrow(holds(&self.me.id, part));
        slog::info!(self.log, "upstreams of large services left to others";
            "halvings" => share.halvings(), "left" => fleet.upstreams.len());
    }

    /// Asks for an upstream that this instance doesn't hold, at which a request goes on.
    pub(super) fn ask_upstream(&self, id: Arc<str>) {
        let holders: Vec<SocketAddr> = Control::list_holders(&self.board.borrow()).collect();
        if let Some(addr) = fastrand::choice(holders) {
            self.send(&Message::AskUpstream(id), &[addr]);
        }
    }

    pub(super) fn hear_upstream_ask(&self, id: &str, from: SocketAddr) {
        let upstream = self.board.borrow().fleet.upstreams.get(id).cloned();
        if let Some(upstream) = upstream {
            self.send(&Message::Upstream(upstream), &[from]);
        }
    }

    /// Has traffic know an upstream for a moment that this instance doesn't hold. Nobody tells it what
    /// becomes of that one, so it is forgotten before a change of it must be in force.
    pub(super) fn take_guest(&self, upstream: Upstream) {
        let until_ms = self.clock.now_ms() + GUEST_MS;
        let mut board = self.board.borrow_mut();
        board.guests.insert(Arc::clone(&upstream.id), Guest { upstream, until_ms });
        board.guest_changes += 1;
        drop(board);
        self.publish();
    }

    /// Wants more of the large services, since no upstream is left of those that this instance holds.
    pub(super) fn widen_share(self: &Rc<Control>) {
        let now_ms = self.clock.now_ms();
        let mut board = self.board.borrow_mut();
        board.wide_until_ms = now_ms + WIDE_MS;
        if board.part.share.is_all() || board.wanted_share.is_some() {
            return;
        }
        let wider = board.part.share.wider();
        board.wanted_share = Some(wider);
        drop(board);
        slog::info!(self.log, "no upstream left; more are fetched"; "halvings" => wider.halvings());
        self.metrics.count("shares_widened");
        self.fetch_if_behind(now_ms);
    }
}

/// Whether an instance holds an upstream, by the upstream's id and service.
pub(super) fn holds(instance: &str, part: &Part) -> impl Fn(&str, &str) -> bool + use<> {
    let holder = InstanceSubset::new(instance);
    let Part { share, large } = part.clone();
    move |id, service| !large.contains(service) || holder.holds(id, share)
}

/// An upstream that this instance doesn't hold.
#[derive(Debug, Clone)]
pub(super) struct Guest {
    pub(super) upstream: Upstream,
    pub(super) until_ms: u64,
}

/// What this instance holds before it knows anything.
pub(super) fn everything() -> Part {
    Part { share: Share::ALL, large: BTreeSet::new() }
}
