//! Duties that only one instance may run at a time: holds the lease on them, collects the usage counts of all
//! instances, reports usage, and orders workers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::super::directory::Fault;
use super::super::duties::{CreateOutcome, DutyCalls, Fence, Report};
use super::super::loads::UpstreamLoad;
use super::super::membership::{Message, Phase};
use super::super::policy::eras;
use super::super::policy::lease::{AcquireAttempt, Action};
use super::super::policy::scaling::{Scaler, ServiceState, WorkerCounts, WorkerOrder};
use super::super::policy::usage::{Schedule, UsageUpdate, Window};
use super::super::policy::watchers;
use super::super::view::DutyView;
use super::{Control, ControlState};
use crate::clock;

/// How often the lease and the duties are checked.
const CHECK_INTERVAL_MS: u64 = 200;
/// How often an instance sends its usage counts.
const SEND_INTERVAL_MS: u64 = 500;
/// How often an instance without usage sends a message: its clock is still used to estimate cluster time.
const MAX_SEND_INTERVAL_MS: u64 = 4_000;
/// The pause after a first failed call; doubled with each further failure up to the maximum.
const MIN_RETRY_MS: u64 = 300;
/// The maximum pause after failed calls, while the platform answers none.
const MAX_RETRY_MS: u64 = 2_000;

impl Control {
    /// Periodically sends this instance's usage counts to the instances that may hold the lease.
    pub(super) async fn send_usage(self: Rc<Control>) {
        if self.usage_schedule().is_none() {
            return;
        }
        let mut last_sent_ms = 0;
        loop {
            tokio::time::sleep(Duration::from_millis(SEND_INTERVAL_MS)).await;
            let now_ms = self.clock.now_ms();
            let mut state = self.state.borrow_mut();
            for (organisation, began_ms) in self.shared.take_begun() {
                state.usage_counter.count(organisation, began_ms);
            }
            let slots = state.usage_counter.recent_slots(now_ms);
            if slots.is_empty() && now_ms < last_sent_ms + MAX_SEND_INTERVAL_MS {
                continue;
            }
            last_sent_ms = now_ms;
            let update = UsageUpdate {
                id: self.me.id.clone(),
                incarnation: self.me.incarnation,
                monotonic_ms: now_ms,
                wall_ms: clock::wall_ms(),
                slots,
            };
            let addrs = self.duty_candidates(&state);
            state.usage.apply(update.clone(), now_ms);
            drop(state);
            self.send(&Message::Usage(update), &addrs);
        }
    }

    pub(super) fn handle_usage_update(&self, update: UsageUpdate) {
        let now_ms = self.clock.now_ms();
        self.state.borrow_mut().usage.apply(update, now_ms);
    }

    /// The other instances that may hold the lease.
    fn duty_candidates(&self, state: &ControlState) -> Vec<SocketAddr> {
        let me = (state.membership.own_rank(), self.me.peer_addr);
        let alive = state.membership.alive();
        let alive = alive
            .map(|member| (member.descriptor.rank(), member.descriptor.registration.peer_addr));
        let mut candidates = watchers::duty_candidates(alive.chain([me]));
        candidates.retain(|addr| *addr != self.me.peer_addr);
        candidates
    }

    fn usage_schedule(&self) -> Option<Schedule> {
        self.directory.duties().and_then(|duties| duties.duty_settings().usage)
    }

    /// Takes the lease if it is free and this instance may hold it, and runs the duties while it holds it.
    pub(super) async fn run_duties(self: Rc<Control>) {
        let Some(duties) = self.directory.duties() else { return };
        let mut reported = BTreeSet::new();
        let mut scaler = Scaler::default();
        let mut retry_ms = MIN_RETRY_MS;
        loop {
            tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            let lease_result = self.maintain_lease(duties).await;
            let duty_result = match lease_result {
                Ok(()) => self.perform_duties(duties, &mut reported, &mut scaler).await,
                Err(fault) => Err(fault),
            };
            self.publish_duties();
            match duty_result {
                Ok(()) => retry_ms = MIN_RETRY_MS,
                Err(fault) => {
                    slog::info!(self.log, "duty failed; retrying"; "why" => %fault);
                    self.metrics.count("duty_faults");
                    tokio::time::sleep(Duration::from_millis(retry_ms)).await;
                    retry_ms = (retry_ms * 2).min(MAX_RETRY_MS);
                }
            }
        }
    }

    async fn perform_duties(
        &self,
        duties: &dyn DutyCalls,
        reported: &mut BTreeSet<u64>,
        scaler: &mut Scaler,
    ) -> Result<(), Fault> {
        let usage = self.report_usage(duties, reported).await;
        let scaling = self.order_workers(duties, scaler).await;
        usage.and(scaling)
    }

    async fn maintain_lease(&self, duties: &dyn DutyCalls) -> Result<(), Fault> {
        let now_ms = self.clock.now_ms();
        let action = {
            let mut state = self.state.borrow_mut();
            let before_me = state.membership.ranked_before_self();
            let is_candidate =
                state.phase == Phase::Ready && watchers::is_duty_candidate(before_me);
            let has_it = state.duty_lease.token(now_ms).is_some();
            if !is_candidate && !has_it {
                return Ok(());
            }
            state.duty_lease.next_action(before_me, fastrand::u64(1..1 << 53), now_ms)
        };
        match action {
            None => Ok(()),
            Some(Action::Acquire { nonce }) => self.acquire_lease(duties, nonce).await,
            Some(Action::ReadBack) => {
                let holder = duties.holder().await?;
                let now_ms = self.clock.now_ms();
                let mut state = self.state.borrow_mut();
                state.duty_lease.note_read(holder.as_ref(), now_ms);
                state.duty_holder = holder;
                Ok(())
            }
            Some(Action::Renew { lease }) => {
                let renewed = self.directory.renew(lease).await;
                let mut state = self.state.borrow_mut();
                match renewed {
                    Ok(()) => state.duty_lease.note_renewed(now_ms),
                    Err(Fault::LeaseEnded) => {
                        slog::warn!(self.log, "the lease on the duties has ended");
                        state.duty_lease.note_ended(self.clock.now_ms());
                    }
                    Err(fault) => return Err(fault),
                }
                Ok(())
            }
        }
    }

    async fn acquire_lease(&self, duties: &dyn DutyCalls, nonce: u64) -> Result<(), Fault> {
        let requested_ms = self.clock.now_ms();
        let ttl_ms = self.state.borrow().duty_lease.ttl_ms();
        let lease = duties.grant(ttl_ms).await?;
        let attempt = AcquireAttempt { nonce, lease, requested_ms };
        let written = duties.acquire(&self.me.id, nonce, lease).await;
        let now_ms = self.clock.now_ms();
        let mut state = self.state.borrow_mut();
        match written {
            Ok(CreateOutcome::Created(token)) => {
                state.duty_lease.note_acquired(attempt, token);
                slog::info!(self.log, "duties taken over"; "token" => token);
                self.metrics.count("duties_taken");
                Ok(())
            }
            Ok(CreateOutcome::Exists(holder)) => {
                state.duty_lease.note_holder(Some(&holder), now_ms);
                state.duty_holder = Some(holder);
                Ok(())
            }
            Err(fault @ Fault::Refused { .. }) => Err(fault),
            Err(fault) => {
                state.duty_lease.note_outcome_unknown(attempt);
                Err(fault)
            }
        }
    }

    /// The fence under which duty calls are made, if this instance holds the lease at this moment.
    fn fence(&self) -> Option<Fence> {
        let token = self.state.borrow().duty_lease.token(self.clock.now_ms())?;
        // The entry may have been lost with an older era, which the next renewal shows.
        let is_of_this_era = eras::era_of(token) == self.directory.era();
        is_of_this_era.then(|| Fence { holder: self.me.id.clone(), token })
    }

    /// Reports the usage windows that are due.
    async fn report_usage(
        &self,
        duties: &dyn DutyCalls,
        reported: &mut BTreeSet<u64>,
    ) -> Result<(), Fault> {
        let Some(schedule) = duties.duty_settings().usage else { return Ok(()) };
        if self.fence().is_none() {
            return Ok(());
        }
        let cluster_ms = self.state.borrow().usage.cluster_ms(self.clock.now_ms());
        let due: Vec<Window> = schedule.due(cluster_ms).collect();
        let oldest = due.first().map_or(0, |window| window.number);
        reported.retain(|number| *number >= oldest);
        for window in due {
            if reported.contains(&window.number) {
                continue;
            }
            let report = self.stored_report(duties, window).await?;
            let Some(fence) = self.fence() else { return Ok(()) };
            match duties.send_report(fence, report).await {
                Ok(()) => {
                    slog::info!(self.log, "usage reported"; "window" => window.number);
                    self.metrics.count("usage_reports");
                    reported.insert(window.number);
                    self.state.borrow_mut().reported_window = Some(window.number);
                }
                Err(Fault::Superseded) => {
                    slog::warn!(self.log, "usage report rejected: the lease has a newer holder";
                        "window" => window.number);
                    self.state.borrow_mut().duty_lease.note_ended(self.clock.now_ms());
                    return Ok(());
                }
                Err(fault) => return Err(fault),
            }
        }
        Ok(())
    }

    /// The only report of a window: the one that an earlier holder stored, or else one of the present counts.
    /// It is stored before it is sent, so that a later holder sends the same report.
    async fn stored_report(&self, duties: &dyn DutyCalls, window: Window) -> Result<Report, Fault> {
        let counts = self.state.borrow().usage.counts_in(window);
        let report = duties.encode_report(window.number, &counts);
        match duties.store_report(window.number, report.clone()).await? {
            CreateOutcome::Created(_) => Ok(report),
            CreateOutcome::Exists(stored) => {
                slog::info!(self.log, "sending the report that an earlier holder stored";
                    "window" => window.number);
                Ok(stored)
            }
        }
    }

    /// Orders the workers that are needed and missing.
    async fn order_workers(
        &self,
        duties: &dyn DutyCalls,
        scaler: &mut Scaler,
    ) -> Result<(), Fault> {
        if !duties.duty_settings().orders_workers {
            return Ok(());
        }
        if self.fence().is_none() {
            scaler.clear();
            return Ok(());
        }
        for order in self.due_orders(scaler) {
            let Some(fence) = self.fence() else { return Ok(()) };
            let sent = duties.send_order(fence, &order).await;
            let now_ms = self.clock.now_ms();
            slog::info!(self.log, "workers ordered"; "service" => &*order.group.service,
                "domain" => &*order.group.domain, "spot" => order.group.is_spot,
                "desired" => order.desired, "fault" => sent.as_ref().err().map(ToString::to_string));
            match sent {
                Ok(()) => scaler.note_sent(&order, true, now_ms),
                Err(Fault::Superseded) => scaler.note_no_capacity(&order, now_ms),
                Err(fault) => {
                    scaler.note_sent(&order, false, now_ms);
                    return Err(fault);
                }
            }
            self.metrics.count("worker_orders");
        }
        Ok(())
    }

    fn due_orders(&self, scaler: &mut Scaler) -> Vec<WorkerOrder> {
        let now_ms = self.clock.now_ms();
        let state = self.state.borrow();
        let Some(config) = state.config.as_ref().filter(|_| state.has_fleet) else {
            return Vec::new();
        };
        let own = self.shared.own();
        let mut orders = Vec::new();
        for (name, service) in &config.services {
            let Some(policy) = &service.scaling else { continue };
            let memory_tokens = service.engine.as_ref().and_then(|engine| engine.memory_tokens);
            let Some(memory_tokens) = memory_tokens else { continue };
            let of_service = || {
                let all = state.fleet.upstreams.values();
                all.filter(|upstream| upstream.service == *name)
                    .filter(|upstream| !state.unusable.contains_key(&upstream.id))
            };
            let mut workers: BTreeMap<(Arc<str>, bool), WorkerCounts> = BTreeMap::new();
            for upstream in of_service() {
                let key = (Arc::clone(&upstream.domain), upstream.is_spot);
                let counts = workers.entry(key).or_default();
                let counted =
                    if upstream.is_leaving { &mut counts.leaving } else { &mut counts.ready };
                *counted += 1;
            }
            let loads = state.loads.by_upstream();
            let others = of_service().filter_map(|upstream| loads.get(&upstream.id));
            let is_of_service = |load: &&UpstreamLoad| {
                let upstream = state.fleet.upstreams.get(&load.upstream);
                upstream.is_some_and(|upstream| upstream.service == *name)
            };
            let all = others.chain(own.loads.iter().filter(is_of_service));
            let tokens: u64 = all.map(|load| load.reserved_tokens).sum();
            let demand_workers = tokens as f64 / memory_tokens as f64;
            let service_state =
                ServiceState { service: name, policy, workers: &workers, demand_workers };
            orders.extend(scaler.step(&service_state, now_ms));
        }
        orders
    }

    fn publish_duties(&self) {
        let state = self.state.borrow();
        let token = state.duty_lease.token(self.clock.now_ms());
        let holder = match token {
            Some(_) => Some(self.me.id.clone()),
            None => state.duty_holder.as_ref().map(|holder| holder.id.clone()),
        };
        let reported = state.reported_window;
        drop(state);
        self.metrics.gauge("holds_duties", u64::from(token.is_some()));
        self.shared.set_duties(DutyView { holder, token, reported });
    }
}
