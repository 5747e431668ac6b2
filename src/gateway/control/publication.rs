//! Publishes snapshots of the control thread's state for request handling.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::super::fleet::{Fleet, Upstream};
use super::super::loads::UpstreamSubset;
use super::super::membership::Phase;
use super::super::policy::subset::Share;
use super::super::view::View;
use super::shares::{self, TemporaryUpstream};
use super::{Control, ControlState};

/// The minimum interval between two published snapshots: updates from peers arrive in bursts.
const MIN_PUBLISH_INTERVAL_MS: u64 = 10;

/// The inputs of a published upstream list; equal inputs give equal lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Published {
    fleet: u64,
    rediscovered: u64,
    temporary_upstreams: (u64, usize),
    share: Share,
    taken: u64,
}

impl Control {
    pub(super) fn publish(&self) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        let is_complete = state.config.is_some() && (state.has_fleet || state.has_fleet_part);
        if state.phase == Phase::Starting && is_complete {
            state.phase = Phase::Ready;
            slog::info!(self.log, "ready"; "since_start_ms" => now_ms,
                "members" => state.membership.alive().count() + 1);
        }
        let phase = state.phase;
        let versions = Control::versions(&state);
        self.handle_restored_directory(&mut state, versions.fleet);
        Control::note_listed_versions(&mut state, now_ms);
        let has_working_watch = Control::has_working_watch(&state);
        let share = state.held_part.share;
        let is_cut_off = state.is_cut_off;
        state.membership.update_self(phase, has_working_watch, is_cut_off, share, versions);
        self.apply_member_changes(&mut state);
        state.lost.retain(|_, until_ms| *until_ms > now_ms);
        let before = self.shared.view.load();
        let share = Control::published_share(&mut state, now_ms);
        let fleet = self.published_list(&mut state, share, &before.fleet);
        let version = state.quarantine.version();
        let is_quarantine_new = version != state.published_quarantine_version;
        let quarantine = if is_quarantine_new {
            Arc::new(state.quarantine.suspects())
        } else {
            Arc::clone(&before.quarantine)
        };
        state.published_quarantine_version = version;
        let view = View {
            config: state.config.clone(),
            fleet,
            phase: state.phase,
            is_directory_silent: state.is_directory_lost,
            fronts: Arc::clone(&state.fronts),
            relays: Arc::clone(&state.relays),
            instances: state.membership.alive().count() as u32 + 1,
            share,
            large: state.held_part.large.clone(),
            others: state.loads.by_upstream(),
            observations: state.loads.observations(now_ms),
            queues: Arc::new(state.loads.queues(now_ms)),
            sent: Arc::new(state.loads.sent(now_ms)),
            lost: Arc::new(state.lost.keys().cloned().collect()),
            places: state.loads.cache_locations(),
            quarantine,
            advertised_rates: state.advertised_rates.clone(),
            departures: state.departures.clone(),
            paused: state.rejections.paused(),
        };
        drop(before);
        let has_rumors = state.membership.has_rumors();
        let has_newer = versions != state.announced_versions;
        drop(state);
        self.shared.view.store(Arc::new(view));
        self.shared.share.send_if_modified(|before| std::mem::replace(before, share) != share);
        if is_quarantine_new {
            self.shared.quarantined.send_replace(version);
        }
        if is_complete {
            self.shared.is_configured.send_replace(true);
        }
        if has_rumors {
            self.rumors.notify_one();
        }
        if has_newer {
            self.newer_versions.notify_one();
        }
    }

    /// The share of the large services that request handling uses, also on an instance that holds all
    /// upstreams on behalf of others, unless it ran out of upstreams. It is computed from all upstreams, so it
    /// is cached until they or the members change.
    pub(super) fn published_share(state: &mut ControlState, now_ms: u64) -> Share {
        let UpstreamSubset { share, large } = &state.held_part;
        if !share.is_all() || large.is_empty() || now_ms < state.widened_until_ms {
            return *share;
        }
        let inputs = (state.fleet.changes(), state.membership.alive().count());
        match state.cached_suitable_share {
            Some((from, share)) if from == inputs => share,
            _ => {
                let share = Control::suitable_share(state);
                state.cached_suitable_share = Some((inputs, share));
                share
            }
        }
    }

    /// The upstream list for request handling, rebuilt only if one of its inputs changed.
    pub(super) fn published_list(
        &self,
        state: &mut ControlState,
        share: Share,
        before: &Arc<Fleet>,
    ) -> Arc<Fleet> {
        let published = Published {
            fleet: state.fleet.changes(),
            rediscovered: state.rediscovered.changes(),
            temporary_upstreams: (
                state.temporary_upstream_changes,
                state.temporary_upstreams.len(),
            ),
            share,
            taken: state.taken_changes,
        };
        if state.published.replace(published) == Some(published) {
            return Arc::clone(before);
        }
        let mut upstreams = state.rediscovered.merge(&state.fleet.upstreams).into_owned();
        if !share.is_all() {
            let holds =
                shares::holds(&self.me.id, &UpstreamSubset { share, ..state.held_part.clone() });
            upstreams.retain(|id, upstream| holds(id, &upstream.service));
        }
        for TemporaryUpstream { upstream, .. } in state.temporary_upstreams.values() {
            upstreams.entry(Arc::clone(&upstream.id)).or_insert_with(|| upstream.clone());
        }
        self.drop_unusable(state, &mut upstreams);
        if before.upstreams == upstreams {
            return Arc::clone(before);
        }
        Arc::new(Fleet::of(state.fleet.revision, upstreams))
    }

    /// Drops the entries whose address can't be an upstream's. They stay in the list itself: an instance
    /// that ends may leave its address to an upstream.
    fn drop_unusable(
        &self,
        state: &mut ControlState,
        upstreams: &mut BTreeMap<Arc<str>, Upstream>,
    ) {
        let mut unusable = BTreeMap::new();
        upstreams.retain(|id, upstream| {
            let fault = state.taken.fault(upstream.addr);
            unusable.extend(fault.map(|fault| (Arc::clone(id), fault)));
            if let Some(fault) = fault.filter(|_| !state.unusable.contains_key(id)) {
                slog::warn!(self.log, "entry names an address that is no upstream's; not used";
                    "upstream" => &**id, "service" => &*upstream.service,
                    "address" => %upstream.addr, "why" => %fault);
            }
            fault.is_none()
        });
        state.unusable = unusable;
    }

    /// Publishes a new snapshot after changes, at a limited rate so that bursts are combined.
    pub(super) async fn publish_when_dirty(self: Rc<Control>) {
        loop {
            self.dirty.notified().await;
            self.publish();
            tokio::time::sleep(Duration::from_millis(MIN_PUBLISH_INTERVAL_MS)).await;
        }
    }
}
