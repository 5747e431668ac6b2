//! Follows changes of the membership: where callers are sent, and which peers receive what.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use super::super::instance::Registration;
use super::super::membership::{InstanceDescriptor, MemberState, Phase};
use super::super::policy::active;
use super::super::policy::directory_return;
use super::super::policy::listed_address::TakenAddresses;
use super::super::policy::watchers::{self, Rank};
use super::super::settings::Settings;
use super::super::view::Front;
use super::{Control, ControlState};

impl Control {
    /// Applies membership changes: drops the load of dead peers, and updates where callers are sent.
    pub(super) fn apply_member_changes(&self, state: &mut ControlState) {
        let now_ms = self.clock.now_ms();
        let changed = state.membership.take_changed();
        for id in &changed {
            let Some(member) = state.membership.get(id) else { continue };
            if member.state == MemberState::Dead {
                slog::info!(self.log, "peer gone"; "peer" => &**id,
                    "version" => member.descriptor.version);
                self.metrics.count("peers_gone");
                state.loads.remove(id, now_ms);
            }
        }
        self.check_directory_if_suspected(state);
        let is_unchanged =
            state.fronts_phase == state.phase && state.fronts_cut_off == state.is_cut_off;
        if changed.is_empty() && is_unchanged {
            return;
        }
        state.fronts_phase = state.phase;
        state.fronts_cut_off = state.is_cut_off;
        self.update_fronts(state);
    }

    /// Computes which instances callers are sent to, and which peers receive this instance's load updates.
    pub(super) fn update_fronts(&self, state: &mut ControlState) {
        let me = state.membership.own_descriptor();
        let ready = state.membership.alive().filter(|member| member.state == MemberState::Alive);
        let ready = ready
            .map(|member| &member.descriptor)
            .filter(|descriptor| descriptor.phase == Phase::Ready);
        let ready: Vec<&InstanceDescriptor> = ready.collect();
        let front = |registration: &Registration| Front {
            addr: registration.front_addr,
            domain: Arc::clone(&registration.domain),
        };
        let relays = ready.iter().filter(|descriptor| !descriptor.is_cut_off);
        let relays = relays.map(|descriptor| front(&descriptor.registration)).collect();
        let with_me = ready.iter().copied().chain((state.phase == Phase::Ready).then_some(me));
        let mut domains: BTreeMap<&str, Vec<(Rank, &Registration)>> = BTreeMap::new();
        for descriptor in active::not_cut_off(with_me.collect(), |other| other.is_cut_off) {
            let ranked = (descriptor.rank(), &descriptor.registration);
            domains.entry(&descriptor.registration.domain).or_default().push(ranked);
        }
        let active =
            domains.into_values().flat_map(|ranked| active::active_instances(ranked.into_iter()));
        let fronts = active.map(front).collect();
        let same_domain = state.membership.alive().map(|member| &member.descriptor).chain([me]);
        let same_domain =
            same_domain.filter(|descriptor| descriptor.registration.domain == self.me.domain);
        let routing = active::active_instances(
            same_domain.map(|descriptor| (descriptor.rank(), &descriptor.registration)),
        );
        let is_routing = routing.iter().any(|registration| registration.id == self.me.id);
        let others = routing.into_iter().filter(|registration| registration.id != self.me.id);
        let routing_peers = others.map(|registration| registration.peer_addr).collect();
        let taken = self.taken_addresses(state);
        state.fronts = Arc::new(fronts);
        state.relays = Arc::new(relays);
        state.is_routing = is_routing;
        state.routing_peers = routing_peers;
        if state.taken != taken {
            state.taken = taken;
            state.taken_changes += 1;
        }
    }

    /// The addresses at which no upstream is, whatever entries say.
    fn taken_addresses(&self, state: &ControlState) -> TakenAddresses {
        let Settings { front, peer, readiness, directory, metrics, .. } = self.settings;
        let own = [Some(front), Some(peer), readiness, directory, metrics];
        let alive = state.membership.alive().map(|member| &member.descriptor.registration);
        let others = alive.flat_map(|other| [other.front_addr, other.peer_addr]);
        let seeds = self.settings.seeds.iter().copied();
        TakenAddresses::new(
            own.into_iter().flatten().chain(others).chain(seeds),
            self.settings.directory_addrs.iter().copied(),
            self.settings.upstream_source.map(|ip| SocketAddr::new(ip, 0)),
        )
    }

    /// Checks this instance's own directory watch if another instance has lost the directory: a watch waits
    /// for seconds, and as long as one instance believes that its watch works, nobody searches for engines
    /// that the directory does not list. Calls again at once if this one has lost it and another has regained
    /// it.
    pub(super) fn check_directory_if_suspected(&self, state: &mut ControlState) {
        let watching_peers = state
            .membership
            .alive()
            .filter(|member| member.descriptor.is_watching_directory)
            .count();
        let before = std::mem::replace(&mut state.watching_peers, watching_peers);
        let may_have_lost_it = watchers::should_check_directory(before, watching_peers)
            && Control::has_working_watch(state);
        let may_have_regained_it =
            directory_return::should_call_again(before, watching_peers) && state.is_directory_lost;
        if may_have_lost_it || may_have_regained_it {
            self.directory_check.notify_one();
        }
    }
}
