//! Watches the directory for changes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::super::directory::{Changes, Fault, Listing, Record, Removed};
use super::super::fleet::{Change, Delta, Upstream};
use super::super::membership::{InstanceDescriptor, Member, Phase};
use super::super::metrics::Time;
use super::super::policy::directory_return::DirectoryReturn;
use super::super::policy::eras;
use super::super::policy::lease::Holder;
use super::super::policy::paging::{self, Retry, Watched};
use super::super::policy::subset::Share;
use super::super::policy::watchers::{self, WatchPosition};
use super::{Control, ControlState, shares};

/// How long a starting instance asks seeds at least: a seed that starts at the same time has the
/// configuration and the upstream list within a few round trips.
const MIN_SEED_PHASE_MS: u64 = 400;
/// The first pause between two requests to seeds, doubled each time.
const FIRST_SEED_PAUSE_MS: u64 = 20;
/// The maximum pause between two looks whether peers have sent the list.
const MAX_SEED_PAUSE_MS: u64 = 500;
/// Seeds are no longer asked once the pause exceeds this.
const LAST_SEED_PAUSE_MS: u64 = 160;
/// The random spread that is added to the time for asking seeds, so that starting instances without an
/// answer do not all call the directory at once.
const SEED_PHASE_JITTER_MS: u64 = 600;
/// How often an instance checks whether it should watch the directory.
const WATCH_CHECK_INTERVAL_MS: u64 = 250;
/// How often an instance checks whether the rest of the list has arrived.
const REST_CHECK_INTERVAL_MS: u64 = 20;
/// How long after its start an instance that knows a peer waits for the list from peers before it calls the
/// directory.
const PEER_LIST_TIMEOUT_MS: u64 = 1_500;
/// How long an instance that is to watch the directory waits for the rest of the list from peers, before it
/// reads all of it from the directory.
const REST_FROM_PEERS_TIMEOUT_MS: u64 = 3_000;

impl Control {
    pub(super) async fn watch_directory(self: Rc<Control>) {
        let mut calls = DirectoryReturn::default();
        let mut retry = Retry::new(paging::MAX_LIST_PAUSE_MS);
        let mut is_history_gone = false;
        self.fetch_from_seeds().await;
        loop {
            self.wait_until_watcher().await;
            if !is_history_gone {
                self.fetch_rest_from_peers().await;
                if !self.should_watch() {
                    continue;
                }
            }
            if let Some(revision) = self.revision_from_peers().filter(|_| !is_history_gone) {
                slog::info!(self.log, "watching the directory from the revision that peers sent";
                    "era" => eras::era_of(revision), "revision" => eras::revision_of(revision));
                is_history_gone = !self.watch(revision).await;
                continue;
            }
            let call = self.begin_directory_call();
            let take_part = |part| self.apply_listed_part(part);
            let listed = self.timed("list", self.directory.list(&take_part)).await;
            match listed {
                Ok(listing) => {
                    calls.note_answer();
                    retry.note_progress();
                    let revision = listing.revision;
                    self.directory_answered();
                    self.apply_listing(listing);
                    self.note_sight(call);
                    is_history_gone = !self.watch(revision).await;
                }
                Err(Fault::Paging(fault)) => {
                    let pause_ms = retry.note_fault();
                    self.note_unfinished_list(&fault, pause_ms);
                    self.pause_after_failure(pause_ms).await;
                }
                Err(fault) => {
                    self.directory_failed(&fault);
                    let pause_ms = calls.note_failure(self.ranked_before_self());
                    self.pause_after_failure(pause_ms).await;
                }
            }
        }
    }

    /// The revision up to which peers sent this instance all upstreams and the newest configuration, so that it
    /// can watch from there without reading the whole directory.
    fn revision_from_peers(&self) -> Option<u64> {
        let state = self.state.borrow();
        let versions = Control::versions(&state);
        let has_config =
            state.config.is_some() && versions.config >= state.membership.newest_config_version();
        (state.has_fleet && state.held_part.share.is_all() && has_config).then_some(versions.fleet)
    }

    /// Watches the directory for changes. Returns `true` once enough other instances watch it, and `false` if
    /// the directory no longer keeps the changes since the revision.
    pub(super) async fn watch(&self, mut revision: u64) -> bool {
        let mut calls = DirectoryReturn::default();
        let mut retry = Retry::new(paging::MAX_WATCH_PAUSE_MS);
        loop {
            let position = self.watch_position();
            if !position.is_watcher() {
                self.state.borrow_mut().is_watching = false;
                slog::info!(self.log, "stopped watching the directory; other instances watch it";
                    "era" => eras::era_of(revision), "revision" => eras::revision_of(revision));
                return true;
            }
            let wait_ms = calls.wait_ms(position);
            let asked_ms = self.clock.now_ms();
            let call = self.begin_directory_call();
            let watched = tokio::select! {
                watched = self.directory.watch(revision, wait_ms) => watched,
                () = self.directory_check.notified(), if !calls.must_check() => {
                    calls.check();
                    continue;
                }
                () = self.watch_restart.notified() => {
                    slog::info!(self.log, "directory watch lags behind peers; restarting it";
                        "era" => eras::era_of(revision), "revision" => eras::revision_of(revision));
                    continue;
                }
            };
            match watched {
                Ok(changes) => {
                    calls.note_answer();
                    self.directory_answered();
                    let has_any = !changes.records.is_empty() || !changes.removed.is_empty();
                    let watched = Watched {
                        from: revision,
                        to: changes.revision,
                        has_changes: has_any,
                        wait_ms,
                        waited_ms: self.clock.now_ms() - asked_ms,
                    };
                    let is_moved = changes.revision > revision;
                    revision = revision.max(changes.revision);
                    self.apply_changes(Changes { revision, ..changes });
                    self.note_sight(call);
                    if let Err(fault) = watched.judge() {
                        self.pause_watch(&fault, retry.note_fault()).await;
                        continue;
                    }
                    retry.note_progress();
                    if has_any || is_moved {
                        let is_asked = self.collect_changes(position.batch_delay_ms()).await;
                        if is_asked {
                            calls.check();
                        }
                    }
                }
                Err(fault @ Fault::HistoryGone) => {
                    slog::info!(self.log, "reading the whole directory again"; "why" => %fault);
                    return false;
                }
                Err(fault) => {
                    slog::debug!(self.log, "directory watch failed"; "why" => %fault,
                        "wait_ms" => wait_ms, "ms" => self.clock.now_ms() - asked_ms,
                        "ahead" => position.ahead, "others" => position.others);
                    self.directory_failed(&fault);
                    let pause_ms = calls.note_failure(self.ranked_before_self());
                    self.pause_after_failure(pause_ms).await;
                }
            }
        }
    }

    /// Pauses so that changes that follow come together. Returns whether the directory is to be asked
    /// before that.
    async fn collect_changes(&self, pause_ms: u64) -> bool {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(pause_ms)) => false,
            () = self.directory_check.notified() => true,
        }
    }

    /// Pauses after a call of a watch that didn't move on.
    async fn pause_watch(&self, fault: &paging::Fault, pause_ms: u64) {
        self.metrics.count("directory_watches_unmoved");
        slog::warn!(self.log, "the directory's watch doesn't move on; what it told is applied";
            "why" => %fault, "pause_ms" => pause_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }

    /// Notes that the directory's list can't be read to its end, although the directory answers.
    fn note_unfinished_list(&self, fault: &paging::Fault, pause_ms: u64) {
        self.metrics.count("directory_lists_unfinished");
        slog::warn!(self.log, "the directory's list can't be read to its end; it is tried again";
            "why" => %fault, "pause_ms" => pause_ms);
        // Others watch in its place, if they can.
        self.state.borrow_mut().is_watching = false;
        self.dirty.notify_one();
    }

    /// Pauses after a failed call; ends early if the directory answers another instance again.
    async fn pause_after_failure(&self, pause_ms: u64) {
        tokio::select! {
            () = tokio::time::sleep(Duration::from_millis(pause_ms)) => {}
            () = self.directory_check.notified() => {}
        }
    }

    /// This instance's position among those that have a working directory watch.
    fn watch_position(&self) -> WatchPosition {
        self.watch_position_of(&self.state.borrow())
    }

    pub(super) fn watch_position_of(&self, state: &ControlState) -> WatchPosition {
        let watching_peers =
            state.membership.alive().filter(|member| member.descriptor.is_watching_directory);
        WatchPosition::of(
            state.membership.own_rank(),
            watching_peers.map(|member| member.descriptor.rank()),
        )
    }

    pub(super) fn ranked_before_self(&self) -> usize {
        self.state.borrow().membership.ranked_before_self()
    }

    fn should_watch(&self) -> bool {
        let now_ms = self.clock.now_ms();
        let position = self.watch_position();
        let state = self.state.borrow();
        let before_me = state.membership.ranked_before_self();
        if !state.has_fleet {
            if !self.has_seeds() {
                return true;
            }
            // An instance that knows a peer soon receives the list from peers, and can't judge its rank before
            // it knows the others.
            let is_alone = Control::is_alone(&state);
            if !Control::knows_members(&state) {
                return false;
            }
            let since_ms = if is_alone { MIN_SEED_PHASE_MS } else { PEER_LIST_TIMEOUT_MS };
            return now_ms >= since_ms
                && watchers::may_call_directory(before_me, now_ms - since_ms);
        }
        let is_settling = position.others == 0 && !Control::knows_members(&state);
        if is_settling || !position.is_watcher() {
            return false;
        }
        let too_few_ms = state.too_few_watchers_since_ms.map_or(0, |since_ms| now_ms - since_ms);
        watchers::may_call_directory(before_me, too_few_ms)
    }

    /// Whether this instance knows which others are alive and what they do.
    pub(super) fn knows_members(state: &ControlState) -> bool {
        state.membership.is_settled() || Control::is_alone(state)
    }

    fn is_alone(state: &ControlState) -> bool {
        state.membership.alive().next().is_none()
    }

    /// Whether this instance asks seeds when it starts; the seeds themselves do not.
    pub(super) fn has_seeds(&self) -> bool {
        let seeds = &self.settings.seeds;
        !seeds.is_empty() && !seeds.contains(&self.settings.peer)
    }

    /// Fetches the configuration and the upstream list from seeds before calling the directory: full reads by
    /// many instances that start at once are expensive for the directory. The seeds read it themselves. After
    /// a few requests the instance waits for peers to send what they have, since the seeds of a large fleet
    /// that starts at once would otherwise do nothing but answer.
    async fn fetch_from_seeds(&self) {
        if !self.has_seeds() {
            return;
        }
        let seeds: Vec<SocketAddr> = self.settings.seeds.clone();
        let until_ms = MIN_SEED_PHASE_MS + fastrand::u64(..SEED_PHASE_JITTER_MS);
        let mut pause_ms = FIRST_SEED_PAUSE_MS;
        while self.clock.now_ms() < until_ms && !self.state.borrow().has_fleet {
            if pause_ms <= LAST_SEED_PAUSE_MS {
                let seed = seeds[fastrand::usize(..seeds.len())];
                if self.fetch_config(seed).await {
                    self.fetch_list(seed).await;
                }
            }
            tokio::time::sleep(Duration::from_millis(fastrand::u64(pause_ms..2 * pause_ms))).await;
            pause_ms = (pause_ms * 2).min(MAX_SEED_PAUSE_MS);
        }
    }

    /// Has the rest of the list fetched from peers if this instance holds a part of it, and waits for that: a
    /// directory that is read whole by several instances at once answers none of them in time.
    async fn fetch_rest_from_peers(self: &Rc<Control>) {
        let until_ms = self.clock.now_ms() + REST_FROM_PEERS_TIMEOUT_MS;
        while self.clock.now_ms() < until_ms && self.may_fetch_rest() && self.should_watch() {
            self.state.borrow_mut().wanted_share = Some(Share::ALL);
            self.fetch_if_behind(self.clock.now_ms());
            tokio::time::sleep(Duration::from_millis(REST_CHECK_INTERVAL_MS)).await;
        }
    }

    /// Whether this instance holds a part of the list, and a peer all of it.
    fn may_fetch_rest(&self) -> bool {
        let state = self.state.borrow();
        let holds_all = |member: &Member| {
            let InstanceDescriptor { share, phase, .. } = member.descriptor;
            share.is_all() && phase == Phase::Ready
        };
        state.has_fleet
            && !state.held_part.share.is_all()
            && state.membership.alive().any(holds_all)
    }

    /// Waits until this instance should watch the directory itself.
    pub(super) async fn wait_until_watcher(&self) {
        while !self.should_watch() {
            tokio::time::sleep(Duration::from_millis(WATCH_CHECK_INTERVAL_MS)).await;
        }
    }

    /// Awaits a call and records its latency if it succeeds; a failed call is a fault and has no latency.
    pub(super) async fn timed<T>(
        &self,
        call: &str,
        answer: impl Future<Output = Result<T, Fault>>,
    ) -> Result<T, Fault> {
        let since_ms = self.clock.now_ms();
        let answered = answer.await;
        if answered.is_ok() {
            let taken_ms = self.clock.now_ms() - since_ms;
            self.metrics.record(Time::Directory, &Arc::from("-"), &Arc::from(call), taken_ms);
        }
        answered
    }

    pub(super) fn directory_answered(&self) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        state.directory_answered_ms = now_ms;
        state.is_watching = true;
        if state.is_directory_lost {
            state.is_directory_lost = false;
            if !std::mem::take(&mut state.is_outage_local) {
                state.fleet.regained(now_ms);
                state.streams.log.forget_written();
            }
            slog::info!(self.log, "directory answers again");
        }
    }

    pub(super) fn directory_failed(&self, fault: &Fault) {
        self.metrics.count("directory_faults");
        let mut state = self.state.borrow_mut();
        if !state.is_directory_lost {
            state.is_directory_lost = true;
            slog::warn!(self.log, "directory lost"; "why" => %fault,
                "config_version" => state.config.as_ref().map_or(0, |config| config.version),
                "era" => eras::era_of(state.fleet.revision),
                "fleet_revision" => eras::revision_of(state.fleet.revision));
            self.dirty.notify_one();
        }
    }

    /// Handles that the list of upstreams is of a new era: the directory came back from an older copy, and
    /// has lost what this instance wrote there since.
    pub(super) fn handle_restored_directory(&self, state: &mut ControlState, list_position: u64) {
        if !state.has_fleet {
            return;
        }
        let era = eras::era_of(list_position);
        let Some(before) = state.directory_era.replace(era).filter(|before| era > *before) else {
            return;
        };
        slog::warn!(self.log, "directory came back from an older copy"; "era" => era,
            "before" => before, "revision" => eras::revision_of(list_position));
        self.metrics.count("directory_restores");
        state.registration_lease = None;
        state.duty_lease.note_restored();
        self.must_register.notify_one();
        self.must_store_quarantine.notify_one();
    }

    /// Applies the records of a list that aren't upstreams; returns the upstreams, and the entries among
    /// them that can't be used.
    fn apply_other_records(&self, records: Vec<Record>) -> (Vec<Upstream>, Vec<Arc<str>>) {
        let mut upstreams = Vec::new();
        let mut unusable = Vec::new();
        for record in records {
            match record {
                Record::Upstream(upstream) => upstreams.push(upstream),
                Record::ForeignUpstream { id, detail } => {
                    self.log_unusable(&id, &detail);
                    unusable.push(id);
                }
                record => self.apply_record(record),
            }
        }
        (upstreams, unusable)
    }

    /// Adds what was read of a list that isn't read to its end: some upstreams are better than none, but
    /// nothing is known of those that it doesn't name, so it removes none, and isn't told to peers.
    fn apply_listed_part(&self, part: Listing) {
        let now_ms = self.clock.now_ms();
        let (mut upstreams, _) = self.apply_other_records(part.records);
        let mut state = self.state.borrow_mut();
        let holds = shares::holds(&self.me.id, &state.held_part);
        upstreams.retain(|upstream| holds(&upstream.id, &upstream.service));
        if !upstreams.is_empty() {
            state.has_fleet_part = true;
            slog::info!(self.log, "a part of the directory's list was read";
                "upstreams" => upstreams.len(), "known" => state.fleet.upstreams.len(),
                "revision" => eras::revision_of(part.revision));
        }
        let delta = Delta { revision: part.revision, upstreams, ..Delta::default() };
        state.fleet.patch(delta, u64::MAX, now_ms);
        drop(state);
        self.publish();
    }

    pub(super) fn apply_listing(&self, listing: Listing) {
        let now_ms = self.clock.now_ms();
        let (upstreams, unusable) = self.apply_other_records(listing.records);
        let mut state = self.state.borrow_mut();
        let (era, revision) = (eras::era_of(listing.revision), eras::revision_of(listing.revision));
        slog::info!(self.log, "directory listed"; "era" => era, "revision" => revision,
            "upstreams" => upstreams.len(), "before" => eras::revision_of(state.fleet.revision),
            "halvings" => state.held_part.share.halvings(),
            "members" => state.membership.alive().count() + 1, "since_start_ms" => now_ms);
        if state.has_fleet && era > eras::era_of(state.fleet.revision) {
            // What was registered since the copy is written again.
            state.fleet.regained(now_ms);
        }
        let ControlState { fleet, held_part, .. } = &mut *state;
        if held_part.share.is_all() {
            fleet.replace(listing.revision, upstreams, &unusable, now_ms);
        } else {
            fleet.complete(listing.revision, upstreams, &unusable, now_ms);
        }
        state.has_fleet = true;
        state.streams.has_listed = true;
        state.held_part.share = Share::ALL;
        state.wanted_share = None;
        Control::update_large_services(&mut state);
        state.is_update_from_directory = true;
        drop(state);
        self.publish();
    }

    pub(super) fn apply_changes(&self, changes: Changes) {
        if !changes.records.is_empty() && self.has_only_streams(&changes) {
            return;
        }
        let now_ms = self.clock.now_ms();
        let mut upstream_changes = Vec::new();
        for record in changes.records {
            match record {
                Record::Upstream(upstream) => upstream_changes.push(Change::Put(upstream)),
                Record::ForeignUpstream { id, detail } => {
                    self.log_unusable(&id, &detail);
                    upstream_changes.push(Change::Foreign(id));
                }
                record @ Record::Streams(_) => self.note_written_streams(&record),
                record => self.apply_record(record),
            }
        }
        for removed in changes.removed {
            match removed {
                Removed::Upstream(id) => upstream_changes.push(Change::Gone(id)),
                // The membership protocol detects which instances are alive.
                Removed::Instance(_) => {}
                Removed::Holder => self.record_duty_holder(None),
            }
        }
        for change in &upstream_changes {
            self.log_change(change);
            if let Change::Gone(id) | Change::Foreign(id) = change {
                self.state.borrow_mut().rediscovered.remove(id);
            }
        }
        let mut state = self.state.borrow_mut();
        state.fleet.apply(changes.revision, upstream_changes, now_ms);
        Control::update_large_services(&mut state);
        state.is_update_from_directory = true;
        drop(state);
        self.publish();
    }

    /// Whether changes are only records of streams that another instance wrote, so that nothing is new
    /// to the others. Takes them in then.
    fn has_only_streams(&self, changes: &Changes) -> bool {
        let is_streams = |record: &Record| matches!(record, Record::Streams(_));
        if !changes.removed.is_empty() || !changes.records.iter().all(is_streams) {
            return false;
        }
        changes.records.iter().for_each(|record| self.note_written_streams(record));
        true
    }

    pub(super) fn log_change(&self, change: &Change) {
        match change {
            Change::Put(upstream) => slog::debug!(self.log, "upstream listed";
                "upstream" => &*upstream.id, "service" => &*upstream.service,
                "address" => %upstream.addr, "version" => %upstream.version,
                "leaving" => upstream.is_leaving),
            Change::Gone(id) | Change::Foreign(id) => {
                slog::debug!(self.log, "upstream gone"; "upstream" => &**id);
            }
        }
    }

    fn log_unusable(&self, id: &str, detail: &str) {
        slog::warn!(self.log, "unusable upstream entry; removing its upstream"; "upstream" => id,
            "detail" => detail);
    }

    pub(super) fn apply_record(&self, record: Record) {
        match record {
            Record::Config(config) => self.apply_config(config, "directory"),
            Record::Instance(registration) => {
                self.state.borrow_mut().membership.add_bootstrap_addr(&registration);
            }
            Record::Crashes(record) => {
                self.merge_crash_record(record, "directory");
            }
            Record::Versions(note) => self.note_stored_versions(note),
            Record::Streams(records) => self.note_stored_streams(&records),
            Record::Holder(holder) => self.record_duty_holder(Some(holder)),
            Record::Unreadable { key, detail } => {
                slog::warn!(self.log, "record refused; the previous value stays in force";
                    "key" => key, "detail" => detail);
            }
            Record::Upstream(_) | Record::ForeignUpstream { .. } => {}
        }
    }

    /// Records which instance holds the duties.
    fn record_duty_holder(&self, holder: Option<Holder>) {
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        state.duty_lease.note_holder(holder.as_ref(), now_ms);
        state.duty_holder = holder;
    }
}
