//! Exchanges messages with peers: membership, load updates and lost upstreams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::super::instance::Registration;
use super::super::loads::{DIGEST_INTERVAL_MS, Digest, LoadUpdate, SentEntry};
use super::super::membership::{
    self, GOSSIP_INTERVAL_MS, InstanceDescriptor, Member, Message, PROBE_INTERVAL_MS, Probe, Rumor,
};
use super::super::policy::watchers;
use super::{Control, ControlState, LOSS_TTL_MS};

/// How long updates are batched before they are sent: a burst of routed requests or lost upstreams comes
/// within a few milliseconds.
pub(super) const BATCH_DELAY_MS: u64 = 5;
/// The maximum size of a received datagram.
const MAX_DATAGRAM_BYTES: usize = 32 << 10;
/// How many peers of the same failure domain receive the full load in each round, in case updates were lost.
const FULL_LOAD_FANOUT: usize = 3;

impl Control {
    /// Sends the pending messages of the membership protocol.
    pub(super) fn flush(&self) {
        let messages = self.state.borrow_mut().membership.take_messages();
        for (addr, message) in messages {
            self.send(&message, &[addr]);
        }
    }

    /// Sends a message to each address. Send errors are ignored: lost messages are made up for by later ones.
    pub(super) fn send(&self, message: &Message, addrs: &[SocketAddr]) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let Some(bytes) = membership::encode(message) else { return };
        for addr in addrs {
            let _ = socket.try_send_to(&bytes, *addr);
        }
    }

    /// The live peers in this failure domain.
    pub(super) fn domain_peers(&self, state: &ControlState) -> Vec<SocketAddr> {
        let alive = state.membership.alive().map(|member| &member.descriptor.registration);
        let same_domain = alive.filter(|other| other.domain == self.me.domain);
        same_domain.map(|other| other.peer_addr).collect()
    }

    /// One random live peer of each other failure domain.
    pub(super) fn one_peer_per_other_domain(&self, state: &ControlState) -> Vec<SocketAddr> {
        self.one_matching_peer_per_other_domain(state, |_| true)
    }

    /// One random live peer of each other failure domain among those that satisfy `matches`.
    pub(super) fn one_matching_peer_per_other_domain(
        &self,
        state: &ControlState,
        matches: impl Fn(&InstanceDescriptor) -> bool,
    ) -> Vec<SocketAddr> {
        let descriptors = state.membership.alive().map(|member| &member.descriptor);
        let alive = descriptors
            .filter(|descriptor| matches(descriptor))
            .map(|descriptor| &descriptor.registration);
        let mut other_domains: Vec<&Registration> =
            alive.filter(|other| other.domain != self.me.domain).collect();
        fastrand::shuffle(&mut other_domains);
        other_domains.sort_by(|a, b| a.domain.cmp(&b.domain));
        other_domains.dedup_by(|a, b| a.domain == b.domain);
        other_domains.into_iter().map(|other| other.peer_addr).collect()
    }

    /// Runs the periodic round: probes peers, repeats this instance's state to a few of them, and checks the
    /// share that this instance holds.
    pub(super) async fn run_probe_rounds(self: Rc<Control>) {
        loop {
            let now_ms = self.clock.now_ms();
            self.advance_round(now_ms);
            self.flush();
            self.send_full_load();
            self.dirty.notify_one();
            self.record_gauges(now_ms);
            self.adjust_share(now_ms);
            self.fetch_if_behind(now_ms);
            self.send_quarantine_to_one_peer();
            self.send_signals_to_one_peer();
            tokio::time::sleep(Duration::from_millis(PROBE_INTERVAL_MS)).await;
        }
    }

    /// Advances the membership protocol, and drops what has expired.
    fn advance_round(&self, now_ms: u64) {
        let mut state = self.state.borrow_mut();
        state.membership.tick(now_ms, &mut fastrand::Rng::new());
        state.fleet.expire(now_ms);
        state.temporary_upstreams.retain(|_, temporary| temporary.until_ms > now_ms);
        let is_reachable = Control::is_directory_reachable(&state);
        let watching_peers =
            state.membership.alive().filter(|member| member.descriptor.is_watching_directory);
        let watching = watching_peers.count() + usize::from(Control::has_working_watch(&state));
        if watchers::has_enough_watchers(watching) || !Control::knows_members(&state) {
            state.too_few_watchers_since_ms = None;
        } else {
            state.too_few_watchers_since_ms.get_or_insert(now_ms);
        }
        if state.rediscovered.update_directory_state(is_reachable, now_ms) {
            slog::info!(self.log, "rediscovered engines dropped; only the directory's list counts");
        }
        state.loads.remove_expired(now_ms);
        state.quarantine.forget(now_ms);
        state.advertised_rates.forget(now_ms);
        state.departures.expire(now_ms);
        state.rejections.expire(now_ms);
    }

    /// Gossips rumors: new ones at once, and each repeated in a few more rounds.
    pub(super) async fn gossip(self: Rc<Control>) {
        loop {
            let has_rumors = self.state.borrow().membership.has_rumors();
            if has_rumors {
                tokio::select! {
                    () = self.rumors.notified() => {}
                    () = tokio::time::sleep(Duration::from_millis(GOSSIP_INTERVAL_MS)) => {}
                }
            } else {
                self.rumors.notified().await;
            }
            // Rumors that follow at once go into the same message.
            tokio::time::sleep(Duration::from_millis(BATCH_DELAY_MS)).await;
            self.state.borrow_mut().membership.gossip(&mut fastrand::Rng::new());
            self.flush();
        }
    }

    /// Sends changes of this instance's load to its failure domain, and spreads lost upstreams to all instances.
    pub(super) async fn send_load_updates(self: Rc<Control>) {
        loop {
            self.shared.news.notified().await;
            tokio::time::sleep(Duration::from_millis(BATCH_DELAY_MS)).await;
            let now_ms = self.clock.now_ms();
            let own = self.shared.own();
            let mut state = self.state.borrow_mut();
            state.loads.set_own_loads(&own, now_ms);
            let Some(change) = state.reported_load.take_changes(own) else { continue };
            state.loads.add_own_cache_locations(&change.cache_locations, now_ms);
            for id in change.lost {
                self.record_lost(&mut state, id, now_ms);
            }
            let sent = change.sent;
            let update = self.empty_load_update(&mut state);
            let update = LoadUpdate {
                loads: change.loads,
                sent,
                cache_locations: change.cache_locations,
                observations: change.observations,
                queues: change.queues,
                ..update
            };
            let routing_peers = state.routing_peers.clone();
            drop(state);
            self.send(&Message::Loads(update), &routing_peers);
        }
    }

    /// An empty load update with the next sequence number.
    fn empty_load_update(&self, state: &mut ControlState) -> LoadUpdate {
        state.load_sequence += 1;
        LoadUpdate {
            id: Arc::clone(&self.me.id),
            incarnation: self.me.incarnation,
            sequence: state.load_sequence,
            is_complete: false,
            loads: Vec::new(),
            sent: None,
            sent_by_others: None,
            cache_locations: Vec::new(),
            observations: Vec::new(),
            queues: Vec::new(),
        }
    }

    /// Sends the full load of this instance to a few peers, and to one of them also what the others of the
    /// failure domain sent.
    fn send_full_load(&self) {
        let mut state = self.state.borrow_mut();
        let update = self.full_load_update(&mut state);
        let sent_by_others = state.loads.sent_by_others(self.clock.now_ms());
        let is_idle = update.loads.is_empty()
            && update.queues.is_empty()
            && sent_by_others.entries.is_empty()
            && update.sent.iter().flatten().all(|sent| sent.requests + sent.repeats == 0);
        if is_idle && std::mem::replace(&mut state.has_reported_no_load, true) {
            return;
        }
        state.has_reported_no_load = is_idle;
        let mut routing_peers = state.routing_peers.clone();
        drop(state);
        fastrand::shuffle(&mut routing_peers);
        routing_peers.truncate(FULL_LOAD_FANOUT);
        let Some((first, others)) = routing_peers.split_first() else { return };
        self.send(&Message::Loads(update.clone()), others);
        let update = LoadUpdate { sent_by_others: Some(sent_by_others), ..update };
        self.send(&Message::Loads(update), &[*first]);
    }

    /// Sends an instance of this failure domain that has just started what all others of it sent.
    fn send_ledger(&self, to: SocketAddr) {
        let mut state = self.state.borrow_mut();
        let sent_by_others = Some(state.loads.sent_by_others(self.clock.now_ms()));
        let update = LoadUpdate { sent_by_others, ..self.full_load_update(&mut state) };
        drop(state);
        self.send(&Message::Loads(update), &[to]);
    }

    /// The full load of this instance.
    fn full_load_update(&self, state: &mut ControlState) -> LoadUpdate {
        let own = self.shared.own();
        LoadUpdate {
            is_complete: true,
            loads: own.loads,
            sent: Some(own.sent),
            observations: own.observations,
            queues: own.queues,
            ..self.empty_load_update(state)
        }
    }

    /// Sends other failure domains a digest of this domain's load. The pause grows with the instances of this
    /// domain, so that together they send at a constant rate.
    pub(super) async fn send_digests(self: Rc<Control>) {
        loop {
            let instances = self.state.borrow().routing_peers.len() as u64 + 1;
            let pause_ms = instances * DIGEST_INTERVAL_MS / 2
                + fastrand::u64(..=instances * DIGEST_INTERVAL_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let now_ms = self.clock.now_ms();
            let own = self.shared.own();
            let mut state = self.state.borrow_mut();
            if !state.is_routing {
                // This instance doesn't receive the load of the others.
                continue;
            }
            let other_domains = self.one_peer_per_other_domain(&state);
            let digest = state.loads.digest(&own, now_ms, &mut fastrand::Rng::new());
            drop(state);
            self.send(&Message::Digest(digest), &other_domains);
        }
    }

    pub(super) async fn receive_messages(self: Rc<Control>, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(Duration::from_millis(GOSSIP_INTERVAL_MS)).await;
                continue;
            };
            match membership::decode(&buffer[..length]) {
                Some(message) => self.handle_message(message, from),
                None => self.metrics.count("messages_unreadable"),
            }
        }
    }

    fn handle_message(self: &Rc<Control>, message: Message, from: SocketAddr) {
        let now_ms = self.clock.now_ms();
        self.state.borrow_mut().membership.note_received(now_ms);
        match message {
            Message::Ping(probe) => {
                let sender = probe.descriptor.registration.clone();
                let known = self.state.borrow().membership.get(&sender.id).map(Member::incarnation);
                if known.is_none() {
                    self.send_quarantine(&[from]);
                }
                self.handle_probe(probe, now_ms, |membership, probe| {
                    membership.handle_ping(probe, from, now_ms, &mut fastrand::Rng::new());
                });
                if known != Some(sender.incarnation) && sender.domain == self.me.domain {
                    self.send_ledger(from);
                }
            }
            Message::Ack(probe) => self.handle_probe(probe, now_ms, |membership, probe| {
                membership.handle_ack(probe, now_ms);
            }),
            Message::PingOther(probe, target) => {
                self.state.borrow_mut().membership.handle_ping_other(probe, target, from);
                self.flush();
            }
            Message::Rumors(rumors) => self.handle_rumors(rumors, now_ms),
            Message::Checksums(sums, is_answer) => {
                let mut state = self.state.borrow_mut();
                state.membership.handle_checksums(
                    &sums,
                    is_answer,
                    from,
                    &mut fastrand::Rng::new(),
                );
                drop(state);
                self.flush();
            }
            Message::Members(members) => {
                self.state.borrow_mut().membership.merge_members(members, now_ms);
                self.signal_membership_changes();
                self.dirty.notify_one();
            }
            Message::Loads(update) => self.handle_load_update(update, now_ms),
            Message::Digest(digest) => self.handle_digest(digest, now_ms),
            Message::Changes(changes) => self.handle_changes(changes, from, now_ms),
            Message::AskChanges(request) => self.handle_changes_request(&request, from),
            Message::AskUpstream(id) => self.handle_upstream_request(&id, from),
            Message::Upstream(upstream) => self.add_temporary_upstream(upstream),
            Message::AskPermit(request) => self.handle_permit_request(request, from),
            Message::Permit(number, permit) => self.handle_permit_answer(number, permit),
            Message::Signals(update) => self.handle_signal_update(update),
            Message::Usage(update) => self.handle_usage_update(update),
            Message::StreamRecords(records) => self.handle_stream_records(&records, now_ms),
            Message::AskStream(query) => self.handle_stream_query(query, from),
            Message::StreamAnswer(answer) => self.handle_stream_answer(answer, from),
        }
    }

    fn handle_probe(
        self: &Rc<Control>,
        probe: Probe,
        now_ms: u64,
        handle: impl FnOnce(&mut membership::Membership, Probe),
    ) {
        let sender = &probe.descriptor.registration;
        if sender.id == self.me.id && sender.incarnation == self.me.incarnation {
            return;
        }
        handle(&mut self.state.borrow_mut().membership, probe);
        self.flush();
        self.signal_membership_changes();
        self.fetch_if_behind(now_ms);
    }

    /// Triggers gossip and publication after membership messages that brought changes.
    fn signal_membership_changes(&self) {
        let state = self.state.borrow();
        if state.membership.has_rumors() {
            self.rumors.notify_one();
            self.dirty.notify_one();
        }
    }

    fn handle_rumors(self: &Rc<Control>, rumors: Vec<Rumor>, now_ms: u64) {
        for rumor in rumors {
            match rumor {
                Rumor::Member { descriptor, state: member_state, reporter } => {
                    let mut state = self.state.borrow_mut();
                    state.membership.merge_member(descriptor, member_state, reporter, now_ms);
                }
                Rumor::Lost(id) => self.record_lost(&mut self.state.borrow_mut(), id, now_ms),
                Rumor::Rediscovered(upstream) => self.add_rediscovered(upstream),
                Rumor::Ended(crash) => self.handle_early_crash(crash, now_ms),
                Rumor::Crashes(record) => self.handle_crash_record(record),
            }
        }
        self.signal_membership_changes();
    }

    /// Records that an upstream was lost, and spreads it to all instances if it was not known.
    fn record_lost(&self, state: &mut ControlState, id: Arc<str>, now_ms: u64) {
        let is_known = state.lost.get(&id).is_some_and(|until_ms| *until_ms > now_ms);
        if is_known {
            return;
        }
        state.lost.insert(Arc::clone(&id), now_ms + LOSS_TTL_MS);
        if let Some(upstream) = state.fleet.upstreams.get(&id).cloned() {
            state.quarantine.note_end(&upstream, now_ms);
        }
        state.membership.spread(Rumor::Lost(id));
        self.rumors.notify_one();
        self.dirty.notify_one();
    }

    fn handle_load_update(&self, mut update: LoadUpdate, now_ms: u64) {
        if let Some(report) = &mut update.sent_by_others {
            let is_own = |entry: &SentEntry| {
                entry.id == self.me.id && entry.incarnation == self.me.incarnation
            };
            report.entries.retain(|entry| !is_own(entry));
        }
        let mut state = self.state.borrow_mut();
        let sender = state.membership.get(&update.id);
        let is_same_domain = sender.is_some_and(|sender| {
            sender.is_alive() && sender.descriptor.registration.domain == self.me.domain
        });
        if is_same_domain && state.loads.apply_update(update, now_ms) {
            self.dirty.notify_one();
        }
    }

    fn handle_digest(&self, digest: Digest, now_ms: u64) {
        let mut state = self.state.borrow_mut();
        let forwarded =
            digest.must_forward.then(|| Digest { must_forward: false, ..digest.clone() });
        if !state.loads.apply_digest(digest, now_ms) {
            return;
        }
        let routing_peers = state.routing_peers.clone();
        drop(state);
        self.dirty.notify_one();
        if let Some(digest) = forwarded {
            self.send(&Message::Digest(digest), &routing_peers);
        }
    }
}
