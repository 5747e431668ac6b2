//! Decides which upstreams of large services this instance holds. A service is large if it has too many
//! upstreams for every instance to hold them all; an instance then holds a share of them, chosen by hash.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use super::super::fleet::Upstream;
use super::super::loads::UpstreamSubset;
use super::super::membership::Message;
use super::super::policy::subset::{self, InstanceSubset, Share};
use super::super::policy::watchers;
use super::{Control, ControlState};

/// How long an upstream that was looked up by its id is published: long enough to send a request to it.
const TEMPORARY_UPSTREAM_TTL_MS: u64 = 1_000;
/// How long an instance keeps a wider share than it needs after it ran out of upstreams.
const MIN_WIDENED_MS: u64 = 30_000;
/// How long an instance waits before it narrows its share, once its rank no longer makes it hold all upstreams
/// but is still close to those that do: ranks change while many instances start or stop.
const NARROW_DELAY_MS: u64 = 5_000;

impl Control {
    /// Adopts the set of large services from an instance that holds all upstreams. If this instance holds only a
    /// share, it drops the upstreams outside that share of services that became large. If a service is no longer
    /// large, it requests a fetch, because it lacks some of that service's upstreams.
    pub(super) fn adopt_large_services(&self, state: &mut ControlState, reported: &UpstreamSubset) {
        if state.held_part.large == reported.large {
            return;
        }
        let has_fewer_large =
            state.held_part.large.iter().any(|service| !reported.large.contains(service));
        state.held_part.large = reported.large.clone();
        state.cached_suitable_share = None;
        if state.held_part.share.is_all() {
            return;
        }
        if has_fewer_large {
            let has_no_large = reported.large.is_empty();
            state.wanted_share =
                Some(if has_no_large { Share::ALL } else { state.held_part.share });
        }
        let ControlState { fleet, held_part, .. } = state;
        fleet.narrow(holds(&self.me.id, held_part));
    }

    /// The share of the large services that suits the size of the fleet, estimated from the upstreams held here.
    pub(super) fn suitable_share(state: &ControlState) -> Share {
        let services = state.fleet.upstreams.values().map(|upstream| &upstream.service);
        let large = services.filter(|service| state.held_part.large.contains(*service));
        subset::suitable_share(large, state.held_part.share, state.membership.alive().count() + 1)
    }

    /// Recomputes which services are large, if this instance holds all upstreams.
    pub(super) fn update_large_services(state: &mut ControlState) {
        if state.held_part.share.is_all() {
            let services = state.fleet.upstreams.values().map(|upstream| &upstream.service);
            state.held_part.large = subset::large_services(services, &state.held_part.large);
        }
    }

    /// Adjusts the share of the large services to this instance's rank and the number of instances. A wider
    /// share is kept for a while after the instance ran out of upstreams.
    pub(super) fn adjust_share(&self, now_ms: u64) {
        let mut state = self.state.borrow_mut();
        if !state.has_fleet || state.held_part.large.is_empty() || state.wanted_share.is_some() {
            return;
        }
        let before_me = state.membership.ranked_before_self();
        let instances = state.membership.alive().count() + 1;
        // An instance that knows only a few members would consider its share too narrow, or itself one of
        // those that hold all upstreams, and all instances would fetch at once.
        let knows_members = state.membership.is_settled();
        let share = state.held_part.share;
        if watchers::holds_all(before_me) {
            state.can_narrow_since_ms = None;
            if !share.is_all() && knows_members {
                self.want_share(&mut state, Share::ALL, instances);
            }
            return;
        }
        if knows_members && subset::is_too_narrow(share, instances) {
            self.want_share(&mut state, subset::widened(share, instances), instances);
            return;
        }
        let since_ms = *state.can_narrow_since_ms.get_or_insert(now_ms);
        let is_settled =
            watchers::is_far_from_holding_all(before_me) || now_ms >= since_ms + NARROW_DELAY_MS;
        let suitable = Control::suitable_share(&state);
        let is_too_wide = suitable > share && (share.is_all() || suitable > share.narrower());
        if is_too_wide && is_settled && !state.is_watching && now_ms >= state.widened_until_ms {
            self.narrow(&mut state, suitable);
            drop(state);
            self.dirty.notify_one();
        }
    }

    /// Has a wider share fetched, given the number of instances that this one knows.
    fn want_share(&self, state: &mut ControlState, share: Share, instances: usize) {
        slog::info!(self.log, "share too narrow; fetching a wider one"; "instances" => instances,
            "halvings" => share.halvings(), "before" => state.held_part.share.halvings(),
            "ahead" => state.membership.ranked_before_self());
        state.wanted_share = Some(share);
    }

    /// Drops the upstreams of large services that are outside a share.
    fn narrow(&self, state: &mut ControlState, share: Share) {
        let ControlState { fleet, held_part, .. } = state;
        held_part.share = share;
        fleet.narrow(holds(&self.me.id, held_part));
        slog::info!(self.log, "share narrowed; upstreams of large services dropped";
            "halvings" => share.halvings(), "left" => fleet.upstreams.len());
    }

    /// Looks up an upstream that this instance doesn't hold, on which a request is to continue.
    pub(super) fn request_upstream(&self, id: Arc<str>) {
        let holders: Vec<SocketAddr> = Control::list_holders(&self.state.borrow()).collect();
        if let Some(addr) = fastrand::choice(holders) {
            self.send(&Message::AskUpstream(id), &[addr]);
        }
    }

    pub(super) fn handle_upstream_request(&self, id: &str, from: SocketAddr) {
        let upstream = self.state.borrow().fleet.upstreams.get(id).cloned();
        if let Some(upstream) = upstream {
            self.send(&Message::Upstream(upstream), &[from]);
        }
    }

    /// Publishes, for [`TEMPORARY_UPSTREAM_TTL_MS`], an upstream that this instance doesn't hold. The time is
    /// short because no peer sends this instance changes of that upstream: it is dropped before a change of it
    /// must be in force.
    pub(super) fn add_temporary_upstream(&self, upstream: Upstream) {
        let until_ms = self.clock.now_ms() + TEMPORARY_UPSTREAM_TTL_MS;
        let mut state = self.state.borrow_mut();
        state
            .temporary_upstreams
            .insert(Arc::clone(&upstream.id), TemporaryUpstream { upstream, until_ms });
        state.temporary_upstream_changes += 1;
        drop(state);
        self.publish();
    }

    /// Requests a wider share of the large services, since none of the held upstreams is usable.
    pub(super) fn widen_share(self: &Rc<Control>) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        state.widened_until_ms = now_ms + MIN_WIDENED_MS;
        if state.held_part.share.is_all() {
            // Request handling uses only a share of what is held.
            drop(state);
            self.dirty.notify_one();
            return;
        }
        if state.wanted_share.is_some() {
            return;
        }
        let wider = state.held_part.share.wider();
        state.wanted_share = Some(wider);
        drop(state);
        slog::info!(self.log, "no usable upstream left; fetching a wider share"; "halvings" => wider.halvings());
        self.metrics.count("shares_widened");
        self.fetch_if_behind(now_ms);
    }
}

/// A predicate on an upstream's id and service: whether an instance with this part holds the upstream.
pub(super) fn holds(instance: &str, part: &UpstreamSubset) -> impl Fn(&str, &str) -> bool + use<> {
    let holder = InstanceSubset::new(instance);
    let UpstreamSubset { share, large } = part.clone();
    move |id, service| !large.contains(service) || holder.holds(id, share)
}

/// An upstream outside this instance's share that is published for a short time.
#[derive(Debug, Clone)]
pub(super) struct TemporaryUpstream {
    pub(super) upstream: Upstream,
    pub(super) until_ms: u64,
}

/// The part of the list that an instance holds before it has received any: all of it.
pub(super) fn full_part() -> UpstreamSubset {
    UpstreamSubset { share: Share::ALL, large: BTreeSet::new() }
}
