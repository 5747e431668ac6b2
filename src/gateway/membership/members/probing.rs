//! Failure detection: pings along the ring, their answers, and suspicions.

use std::net::SocketAddr;
use std::sync::Arc;

use super::super::super::policy::watchers::ring_position;
use super::super::descriptor::{Member, MemberState};
use super::super::message::{Message, Probe};
use super::super::rumors::Rumor;
use super::{AGREEING_OBSERVERS, Membership};
use crate::decide::Random;

/// Interval between two pings of an instance by the same observer, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 350;
/// Number of ring successors that an instance observes. One failure domain of three or five may fail
/// together with the observers in it. With three observers, one in a hundred instances then has none
/// left and is detected a round later.
const OBSERVED_SUCCESSORS: usize = 3;
/// Unanswered rounds before an instance is suspected. A process may stall for some hundred
/// milliseconds, or a datagram may be lost, so one round is not enough; in the second round, other
/// instances ping it as well.
const MISSED_ROUNDS_BEFORE_SUSPICION: u32 = 2;
/// Number of other instances that are asked to ping an instance that did not answer.
const INDIRECT_PINGS: usize = 2;
/// Time that a suspected instance has to refute if no second observer agrees, in milliseconds.
const SUSPICION_TIMEOUT_MS: u64 = 700;
/// Time that it has if a second observer agrees, in milliseconds: one round of rumors each way.
const AGREED_SUSPICION_TIMEOUT_MS: u64 = 150;
/// How late this process may start its own round before it discards what it missed, in milliseconds.
/// Its CPU quota is enforced in periods of a tenth of a second.
const MAX_OWN_LAG_MS: u64 = 150;
/// How long an instance that receives nothing assumes that it is the one cut off, in milliseconds.
const MAX_SELF_SUSPICION_MS: u64 = 3_000;
/// How long a dead instance is remembered, in milliseconds, so that an older rumor does not bring it
/// back. Until then it is pinged now and then, so that a repaired link is noticed.
const DEAD_RETENTION_MS: u64 = 60_000;

#[derive(Debug, Default)]
pub(super) struct Observation {
    missed_rounds: u32,
    is_answered: bool,
}

impl Membership {
    /// Runs one round of failure detection, due every [`PROBE_INTERVAL_MS`].
    pub fn tick(&mut self, now_ms: u64, random: &mut dyn Random) {
        let last_ms = self.last_tick_ms.replace(now_ms);
        self.arrivals.end_round();
        let is_late =
            last_ms.is_some_and(|last_ms| now_ms > last_ms + PROBE_INTERVAL_MS + MAX_OWN_LAG_MS);
        if is_late {
            self.observed.clear();
        }
        let is_isolated = now_ms.saturating_sub(self.last_received_ms)
            > MISSED_ROUNDS_BEFORE_SUSPICION as u64 * PROBE_INTERVAL_MS;
        let suspects_itself =
            is_isolated && now_ms.saturating_sub(self.last_received_ms) < MAX_SELF_SUSPICION_MS;
        self.relayed_pings.clear();
        self.handle_missed(now_ms, suspects_itself, random);
        if !is_late && !suspects_itself {
            self.expire_suspicions(now_ms);
        }
        self.remove_expired(now_ms);
        self.ping_successors();
        self.ping_random_member(random);
        self.ping_bootstrap_and_dead(random);
    }

    /// Handles the members that did not answer in the last round: other instances ping them, and
    /// after enough rounds they are suspected.
    fn handle_missed(&mut self, now_ms: u64, suspects_itself: bool, random: &mut dyn Random) {
        let mut unanswered = Vec::new();
        for (id, observation) in &mut self.observed {
            if std::mem::take(&mut observation.is_answered) {
                observation.missed_rounds = 0;
            } else {
                observation.missed_rounds += 1;
                unanswered.push((Arc::clone(id), observation.missed_rounds));
            }
        }
        if suspects_itself {
            return;
        }
        for (id, missed_rounds) in unanswered {
            if missed_rounds >= MISSED_ROUNDS_BEFORE_SUSPICION {
                self.suspect(&id, now_ms);
            } else if let Some(member) = self.members.get(&id) {
                let addr = member.descriptor.registration.peer_addr;
                let others = self.random_alive_addrs(INDIRECT_PINGS + 1, random);
                for helper in others.into_iter().filter(|other| *other != addr).take(INDIRECT_PINGS)
                {
                    let probe = self.new_probe(Vec::new());
                    self.outbox.push((helper, Message::PingOther(probe, addr)));
                }
            }
        }
    }

    fn suspect(&mut self, id: &Arc<str>, now_ms: u64) {
        let Some(member) = self.members.get(id) else { return };
        let me = Arc::clone(&self.me().id);
        if member.state == MemberState::Dead || member.suspected_by.contains(&me) {
            return;
        }
        let descriptor = member.descriptor.clone();
        self.merge_member(descriptor, MemberState::Suspect, me, now_ms);
    }

    /// Declares the members dead that did not refute a suspicion in time.
    fn expire_suspicions(&mut self, now_ms: u64) {
        let is_over = |member: &&Member| {
            let is_agreed = member.suspected_by.len() >= AGREEING_OBSERVERS;
            let timeout_ms =
                if is_agreed { AGREED_SUSPICION_TIMEOUT_MS } else { SUSPICION_TIMEOUT_MS };
            member.state == MemberState::Suspect && now_ms >= member.state_since_ms + timeout_ms
        };
        let over = self.members.values().filter(is_over).map(|member| member.descriptor.clone());
        let me = Arc::clone(&self.me().id);
        for descriptor in over.collect::<Vec<_>>() {
            self.merge_member(descriptor, MemberState::Dead, Arc::clone(&me), now_ms);
        }
    }

    fn remove_expired(&mut self, now_ms: u64) {
        self.members.retain(|_, member| {
            member.is_alive() || now_ms.saturating_sub(member.state_since_ms) < DEAD_RETENTION_MS
        });
    }

    /// Pings the successors on the ring.
    fn ping_successors(&mut self) {
        let successors = self.successors();
        self.observed.retain(|id, _| successors.contains(id));
        for id in successors {
            let Some(member) = self.members.get(&id) else { continue };
            let addr = member.descriptor.registration.peer_addr;
            let to_refute = self.rumors_to_refute(&id, u64::MAX);
            let probe = self.new_probe(to_refute);
            self.outbox.push((addr, Message::Ping(probe)));
            self.observed.entry(id).or_default();
        }
    }

    /// Pings one more member, drawn at random each round, so that what members find by comparing
    /// spreads over the whole fleet in few rounds. Along the ring, it would take as many rounds as
    /// there are members.
    fn ping_random_member(&mut self, random: &mut dyn Random) {
        let others = self.alive().map(|member| &member.descriptor.registration);
        let others: Vec<_> =
            others.filter(|other| !self.observed.contains_key(&other.id)).collect();
        if others.is_empty() {
            self.random_member = None;
            return;
        }
        let other = others[random.below(others.len() as u64) as usize];
        let (id, addr) = (Arc::clone(&other.id), other.peer_addr);
        let probe = self.new_probe(Vec::new());
        self.outbox.push((addr, Message::Ping(probe)));
        self.random_member = Some(id);
    }

    /// The living members that follow this instance on the ring.
    fn successors(&self) -> Vec<Arc<str>> {
        let me = ring_position(&self.me().id);
        let mut ring: Vec<(u64, &Arc<str>)> = self
            .alive()
            .map(|member| &member.descriptor.registration.id)
            // Positions before this instance's come last: the ring wraps around.
            .map(|id| (ring_position(id).wrapping_sub(me), id))
            .collect();
        ring.sort_unstable();
        ring.into_iter().take(OBSERVED_SUCCESSORS).map(|(_, id)| Arc::clone(id)).collect()
    }

    /// Pings the bootstrap addresses while no member is known, and one dead member, drawn at random.
    fn ping_bootstrap_and_dead(&mut self, random: &mut dyn Random) {
        if self.members.values().any(Member::is_alive) {
            self.bootstrap_addrs.clear();
        }
        let mut addrs: Vec<SocketAddr> = self.bootstrap_addrs.iter().copied().collect();
        let dead: Vec<SocketAddr> = self
            .members
            .values()
            .filter(|member| !member.is_alive())
            .map(|member| member.descriptor.registration.peer_addr)
            .collect();
        if !dead.is_empty() {
            addrs.push(dead[random.below(dead.len() as u64) as usize]);
        }
        for addr in addrs {
            let probe = self.new_probe(Vec::new());
            self.outbox.push((addr, Message::Ping(probe)));
        }
    }

    /// The rumors that a member must receive to refute them, given its version: that others suspect
    /// it or declared it dead, or know a previous incarnation of it by a higher version.
    fn rumors_to_refute(&self, id: &str, version: u64) -> Vec<Rumor> {
        let is_wrong = |member: &&Member| {
            member.state != MemberState::Alive || member.descriptor.version > version
        };
        let member = self.members.get(id).filter(is_wrong);
        member.map(|member| self.rumor_about(member)).into_iter().collect()
    }

    fn new_probe(&mut self, rumors: Vec<Rumor>) -> Probe {
        self.last_ping_number += 1;
        Probe {
            descriptor: self.descriptor.clone(),
            versions: self.versions,
            number: self.last_ping_number,
            checksum: self.checksum(),
            rumors,
        }
    }

    /// Handles a ping and answers it.
    pub fn handle_ping(
        &mut self,
        ping: Probe,
        from: SocketAddr,
        now_ms: u64,
        random: &mut dyn Random,
    ) {
        let number = ping.number;
        let version = ping.descriptor.version;
        let id = Arc::clone(&ping.descriptor.registration.id);
        let is_new = !self.members.contains_key(&id);
        self.handle_probe(ping, now_ms);
        let rumors = self.rumors_to_refute(&id, version);
        if is_new {
            self.send_some_members(from, random);
        }
        let answer = Probe { number, ..self.new_probe(rumors) };
        self.outbox.push((from, Message::Ack(answer)));
    }

    /// Handles the answer to a ping, and forwards it if the ping was sent for another instance.
    pub fn handle_ack(&mut self, ack: Probe, now_ms: u64) {
        if let Some((asker, number)) = self.relayed_pings.remove(&ack.number) {
            self.outbox.push((asker, Message::Ack(Probe { number, ..ack.clone() })));
        }
        self.arrivals.note_answer();
        let id = Arc::clone(&ack.descriptor.registration.id);
        let addr = ack.descriptor.registration.peer_addr;
        let is_different = ack.checksum != self.checksum();
        let observation = self.observed.get_mut(&id);
        let is_observed = observation.is_some();
        if let Some(observation) = observation {
            observation.is_answered = true;
        }
        self.handle_probe(ack, now_ms);
        // Bootstrap addresses are pinged by all instances that start; their answers alone don't start
        // a comparison.
        if is_different && (is_observed || self.random_member.as_ref() == Some(&id)) {
            self.start_comparison(addr, now_ms);
        }
    }

    /// Pings another instance on behalf of one that got no answer from it.
    pub fn handle_ping_other(&mut self, asked: Probe, target: SocketAddr, from: SocketAddr) {
        let probe = self.new_probe(Vec::new());
        self.relayed_pings.insert(probe.number, (from, asked.number));
        self.outbox.push((target, Message::Ping(probe)));
    }
}
