//! Announces newer configurations to peers, and pushes changes of the upstream list to the peers that hold
//! the changed upstreams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::super::fleet::{Delta, Upstream};
use super::super::loads::{Changes, UpstreamSubset};
use super::super::membership::{ChangesQuery, InstanceDescriptor, Message, Versions};
use super::exchange::BATCH_DELAY_MS;
use super::{Control, ControlState, shares};

/// The maximum encoded size of pushed changes; if there are more, peers fetch them.
const MAX_PUSHED_BYTES: usize = 8 << 10;
/// How many peers of the same failure domain receive an update; each forwards it to as many, so that all
/// have it after a few hops.
const SAME_DOMAIN_FANOUT: usize = 3;
/// On average, one of this many instances also forwards an update to one peer of another failure domain:
/// traffic between domains is billed, and the instance that read the update from the directory sends it to
/// all domains.
const OTHER_DOMAIN_FORWARD_ONE_IN: u32 = 4;
/// In how many consecutive pushes a change is contained: a peer that missed one push catches up with the
/// next, and one that missed more fetches the changes. With more repetition, each change of a list of
/// thousands of upstreams arrived a dozen times.
const PUSHES_PER_CHANGE: usize = 2;
/// How many instances push changes of large services to the instances that hold a share of them: the first
/// in rank of those that watch the directory, and one more in case datagrams are lost.
const SHARE_PUSHERS: usize = 2;
/// The mean interval at which an instance asks for changes that it did not receive, because it holds only a
/// share of a service or because a datagram was lost.
const MEAN_REQUEST_INTERVAL_MS: u64 = 1_000;

impl Control {
    /// Sends a few peers the versions and recent changes whenever this instance has a newer configuration or
    /// upstream list.
    pub(super) async fn announce_versions(self: Rc<Control>) {
        loop {
            self.newer_versions.notified().await;
            tokio::time::sleep(Duration::from_millis(BATCH_DELAY_MS)).await;
            let mut state = self.state.borrow_mut();
            let versions = Control::versions(&state);
            let announced = std::mem::replace(&mut state.announced_versions, versions);
            let is_config_new = announced.config != versions.config;
            let is_list_new = announced.fleet != versions.fleet && state.held_part.share.is_all();
            if !is_config_new && !is_list_new {
                continue;
            }
            let since = state.pushed_revisions.front().copied().unwrap_or(0);
            let changes = self.changes_message(&mut state);
            // Peers that hold only a part of the list receive the changes of that part, below.
            let wants_update =
                |descriptor: &InstanceDescriptor| is_config_new || descriptor.share.is_all();
            let alive = state.membership.alive().map(|member| &member.descriptor);
            let same_domain = alive
                .filter(|descriptor| wants_update(descriptor))
                .map(|descriptor| &descriptor.registration);
            let same_domain = same_domain.filter(|other| other.domain == self.me.domain);
            let mut addrs: Vec<SocketAddr> = same_domain.map(|other| other.peer_addr).collect();
            fastrand::shuffle(&mut addrs);
            addrs.truncate(SAME_DOMAIN_FANOUT);
            let mut other_domains = self.one_matching_peer_per_other_domain(&state, wants_update);
            if !std::mem::take(&mut state.is_update_from_directory) {
                fastrand::shuffle(&mut other_domains);
                other_domains
                    .truncate(usize::from(fastrand::u32(..OTHER_DOMAIN_FORWARD_ONE_IN) == 0));
            }
            addrs.extend(other_domains);
            let parts =
                if is_list_new { self.part_changes_since(&state, since) } else { Vec::new() };
            drop(state);
            self.send(&Message::Changes(changes), &addrs);
            for (addr, changes) in parts {
                self.send(&Message::Changes(changes), &[addr]);
            }
        }
    }

    /// A message with the recent changes of the upstream list, or only with its revision if they are too long.
    fn changes_message(&self, state: &mut ControlState) -> Changes {
        let Versions { config, fleet } = Control::versions(state);
        let since = state.pushed_revisions.front().copied().unwrap_or(0);
        let without_changes = Changes {
            from: Arc::clone(&self.me.id),
            config,
            since: u64::MAX,
            fleet: Delta { revision: fleet, ..Delta::default() },
            holder: self.known_list_holder(state),
            subset: None,
        };
        if !state.held_part.share.is_all() {
            return without_changes;
        }
        state.pushed_revisions.push_back(fleet);
        if state.pushed_revisions.len() > PUSHES_PER_CHANGE {
            state.pushed_revisions.pop_front();
        }
        let delta = state.fleet.since(since);
        if fits_message(&delta) {
            Changes { since, fleet: delta, ..without_changes }
        } else {
            without_changes
        }
    }

    /// The changes since a revision for each peer that holds only a part of the list, if this instance is one
    /// of those that push them.
    fn part_changes_since(&self, state: &ControlState, since: u64) -> Vec<(SocketAddr, Changes)> {
        let is_pusher = Control::has_working_watch(state)
            && self.watch_position_of(state).ahead < SHARE_PUSHERS;
        if !is_pusher || state.held_part.large.is_empty() {
            return Vec::new();
        }
        let delta = state.fleet.since(since);
        if delta.is_whole {
            return Vec::new();
        }
        let service_of = |id: &Arc<str>| state.fleet.service_of(id);
        let gone: Vec<(Arc<str>, Arc<str>)> =
            delta.gone.iter().filter_map(|id| Some((Arc::clone(id), service_of(id)?))).collect();
        let members = state.membership.alive().filter(|member| !member.descriptor.share.is_all());
        let mut parts = Vec::new();
        for member in members {
            let InstanceDescriptor { registration, share, .. } = &member.descriptor;
            let part = UpstreamSubset { share: *share, large: state.held_part.large.clone() };
            let holds = shares::holds(&registration.id, &part);
            let is_held = |upstream: &&Upstream| holds(&upstream.id, &upstream.service);
            let gone = gone.iter().filter(|(id, service)| holds(id, service));
            let fleet = Delta {
                revision: delta.revision,
                is_whole: false,
                upstreams: delta.upstreams.iter().filter(is_held).cloned().collect(),
                gone: gone.map(|(id, _)| Arc::clone(id)).collect(),
                lapsed: Vec::new(),
            };
            if fleet.upstreams.is_empty() && fleet.gone.is_empty() {
                continue;
            }
            parts.push((
                registration.peer_addr,
                self.part_changes_message(state, since, fleet, part),
            ));
        }
        parts
    }

    /// A message with the changes of a part of the list since a revision, or only with the revision if there
    /// are too many.
    fn part_changes_message(
        &self,
        state: &ControlState,
        since: u64,
        fleet: Delta,
        part: UpstreamSubset,
    ) -> Changes {
        let fits_message = fits_message(&fleet);
        let without_changes = Delta { revision: fleet.revision, ..Delta::default() };
        Changes {
            from: Arc::clone(&self.me.id),
            config: Control::versions(state).config,
            since: if fits_message { since } else { u64::MAX },
            fleet: if fits_message { fleet } else { without_changes },
            holder: None,
            subset: Some(part),
        }
    }

    /// Periodically asks an instance that holds all upstreams for missed changes, if there are large services,
    /// whose changes are not sent to everyone.
    pub(super) async fn request_missed_changes(self: Rc<Control>) {
        loop {
            let pause_ms = MEAN_REQUEST_INTERVAL_MS / 2 + fastrand::u64(..MEAN_REQUEST_INTERVAL_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let state = self.state.borrow();
            let has_part = state.has_fleet && !state.held_part.large.is_empty();
            if !has_part || Control::has_working_watch(&state) {
                continue;
            }
            let request = ChangesQuery {
                id: Arc::clone(&self.me.id),
                versions: Control::versions(&state),
                share: state.held_part.share,
            };
            let holders: Vec<SocketAddr> = Control::list_holders(&state).collect();
            drop(state);
            if let Some(addr) = fastrand::choice(holders) {
                self.send(&Message::AskChanges(request), &[addr]);
            }
        }
    }

    pub(super) fn handle_changes_request(&self, request: &ChangesQuery, from: SocketAddr) {
        let state = self.state.borrow();
        let versions = Control::versions(&state);
        let is_newer =
            versions.config > request.versions.config || versions.fleet > request.versions.fleet;
        if !state.held_part.share.is_all() || !is_newer {
            return;
        }
        let part = UpstreamSubset { share: request.share, large: state.held_part.large.clone() };
        let since = request.versions.fleet;
        let fleet = state.fleet.since_for(since, shares::holds(&request.id, &part));
        let changes = self.part_changes_message(&state, since, fleet, part);
        drop(state);
        self.send(&Message::Changes(changes), &[from]);
    }

    pub(super) fn handle_changes(
        self: &Rc<Control>,
        changes: Changes,
        from: SocketAddr,
        now_ms: u64,
    ) {
        let mut state = self.state.borrow_mut();
        let versions = Versions { config: changes.config, fleet: changes.fleet.revision };
        state.membership.set_versions(&changes.from, versions);
        if let Some(part) = &changes.subset {
            self.adopt_large_services(&mut state, part);
        }
        let Changes { since, fleet: delta, subset: part, holder, .. } = changes;
        if let Some(holder) = holder {
            Control::record_list_holder(&mut state, holder);
        }
        let is_all = state.held_part.share.is_all();
        let is_of_share = part.as_ref().is_none_or(|part| part.share == state.held_part.share);
        let is_whole_list = is_all && part.is_none_or(|part| part.share.is_all());
        if is_whole_list && state.has_fleet && since <= state.fleet.revision {
            drop(state);
            self.apply_delta(delta, from);
            self.publish();
        } else if !is_all && state.has_fleet && is_of_share {
            self.apply_part_changes(&mut state, since, delta, now_ms);
            drop(state);
            self.dirty.notify_one();
        } else {
            drop(state);
        }
        self.fetch_if_behind(now_ms);
    }

    /// Applies changes of the upstreams that this instance holds.
    fn apply_part_changes(
        &self,
        state: &mut ControlState,
        since: u64,
        mut delta: Delta,
        now_ms: u64,
    ) {
        if since == u64::MAX {
            // The sender has more changes than fit into a message.
            state.has_missed_changes |= delta.revision > state.fleet.revision;
            return;
        }
        let holds = shares::holds(&self.me.id, &state.held_part);
        delta.upstreams.retain(|upstream| holds(&upstream.id, &upstream.service));
        state.fleet.patch(delta, since, now_ms);
    }
}

/// Whether changes fit into one message.
fn fits_message(delta: &Delta) -> bool {
    let fits_message = rmp_serde::to_vec(delta).is_ok_and(|bytes| bytes.len() <= MAX_PUSHED_BYTES);
    fits_message && !delta.is_whole
}
