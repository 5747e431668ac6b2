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
    missed: u32,
    is_answered: bool,
}

impl Membership {
    /// Runs one round of failure detection, due every [`PROBE_INTERVAL_MS`].
    pub fn tick(&mut self, now_ms: u64, random: &mut dyn Random) {
        let last_ms = self.ticked_ms.replace(now_ms);
        let is_late =
            last_ms.is_some_and(|last_ms| now_ms > last_ms + PROBE_INTERVAL_MS + MAX_OWN_LAG_MS);
        if is_late {
            self.observed.clear();
        }
        let is_isolated = now_ms.saturating_sub(self.heard_ms)
            > MISSED_ROUNDS_BEFORE_SUSPICION as u64 * PROBE_INTERVAL_MS;
        let distrusts_itself =
            is_isolated && now_ms.saturating_sub(self.heard_ms) < MAX_SELF_SUSPICION_MS;
        self.relayed.clear();
        self.note_missed(now_ms, distrusts_itself, random);
        if !is_late && !distrusts_itself {
            self.end_suspicions(now_ms);
        }
        self.forget(now_ms);
        self.observe();
        self.sample(random);
        self.seek(random);
    }

    /// Handles the members that did not answer in the last round: other instances ping them, and
    /// after enough rounds they are suspected.
    fn note_missed(&mut self, now_ms: u64, distrusts_itself: bool, random: &mut dyn Random) {
        let mut silent = Vec::new();
        for (id, observation) in &mut self.observed {
            if std::mem::take(&mut observation.is_answered) {
                observation.missed = 0;
            } else {
                observation.missed += 1;
                silent.push((Arc::clone(id), observation.missed));
            }
        }
        if distrusts_itself {
            return;
        }
        for (id, missed) in silent {
            if missed >= MISSED_ROUNDS_BEFORE_SUSPICION {
                self.suspect(&id, now_ms);
            } else if let Some(member) = self.members.get(&id) {
                let addr = member.descriptor.registration.peer_addr;
                let others = self.some(INDIRECT_PINGS + 1, random);
                for helper in others.into_iter().filter(|other| *other != addr).take(INDIRECT_PINGS)
                {
                    let probe = self.probe(Vec::new());
                    self.out.push((helper, Message::PingOther(probe, addr)));
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
        self.hear_of(descriptor, MemberState::Suspect, me, now_ms);
    }

    /// Declares the members dead that did not refute a suspicion in time.
    fn end_suspicions(&mut self, now_ms: u64) {
        let is_over = |member: &&Member| {
            let is_agreed = member.suspected_by.len() >= AGREEING_OBSERVERS;
            let patience_ms =
                if is_agreed { AGREED_SUSPICION_TIMEOUT_MS } else { SUSPICION_TIMEOUT_MS };
            member.state == MemberState::Suspect && now_ms >= member.since_ms + patience_ms
        };
        let over = self.members.values().filter(is_over).map(|member| member.descriptor.clone());
        let me = Arc::clone(&self.me().id);
        for descriptor in over.collect::<Vec<_>>() {
            self.hear_of(descriptor, MemberState::Dead, Arc::clone(&me), now_ms);
        }
    }

    fn forget(&mut self, now_ms: u64) {
        self.members.retain(|_, member| {
            member.is_alive() || now_ms.saturating_sub(member.since_ms) < DEAD_RETENTION_MS
        });
    }

    /// Pings the successors on the ring.
    fn observe(&mut self) {
        let successors = self.successors();
        self.observed.retain(|id, _| successors.contains(id));
        for id in successors {
            let Some(member) = self.members.get(&id) else { continue };
            let addr = member.descriptor.registration.peer_addr;
            let told = self.told_to(&id, u64::MAX);
            let probe = self.probe(told);
            self.out.push((addr, Message::Ping(probe)));
            self.observed.entry(id).or_default();
        }
    }

    /// Pings one more member, drawn at random each round, so that what members find by comparing
    /// spreads over the whole fleet in few rounds. Along the ring, it would take as many rounds as
    /// there are members.
    fn sample(&mut self, random: &mut dyn Random) {
        let others = self.alive().map(|member| &member.descriptor.registration);
        let others: Vec<_> =
            others.filter(|other| !self.observed.contains_key(&other.id)).collect();
        if others.is_empty() {
            self.sampled = None;
            return;
        }
        let other = others[random.below(others.len() as u64) as usize];
        let (id, addr) = (Arc::clone(&other.id), other.peer_addr);
        let probe = self.probe(Vec::new());
        self.out.push((addr, Message::Ping(probe)));
        self.sampled = Some(id);
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
    fn seek(&mut self, random: &mut dyn Random) {
        if self.members.values().any(Member::is_alive) {
            self.contacts.clear();
        }
        let mut addrs: Vec<SocketAddr> = self.contacts.iter().copied().collect();
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
            let probe = self.probe(Vec::new());
            self.out.push((addr, Message::Ping(probe)));
        }
    }

    /// The rumors that a member must receive to refute them, given its version: that others suspect
    /// it or declared it dead, or know a previous incarnation of it by a higher version.
    fn told_to(&self, id: &str, version: u64) -> Vec<Rumor> {
        let is_wrong = |member: &&Member| {
            member.state != MemberState::Alive || member.descriptor.version > version
        };
        let member = self.members.get(id).filter(is_wrong);
        member.map(|member| self.rumor_of(member)).into_iter().collect()
    }

    fn probe(&mut self, rumors: Vec<Rumor>) -> Probe {
        self.number += 1;
        Probe {
            descriptor: self.descriptor.clone(),
            versions: self.versions,
            number: self.number,
            known_sum: self.known_sum(),
            rumors,
        }
    }

    /// Handles a ping and answers it.
    pub fn hear_ping(
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
        self.hear(ping, now_ms);
        let rumors = self.told_to(&id, version);
        if is_new {
            self.introduce(from, random);
        }
        let answer = Probe { number, ..self.probe(rumors) };
        self.out.push((from, Message::Ack(answer)));
    }

    /// Handles the answer to a ping, or forwards it if the ping was sent for another instance.
    pub fn hear_ack(&mut self, ack: Probe, now_ms: u64) {
        if let Some((asker, number)) = self.relayed.remove(&ack.number) {
            self.out.push((asker, Message::Ack(Probe { number, ..ack.clone() })));
        }
        let id = Arc::clone(&ack.descriptor.registration.id);
        let addr = ack.descriptor.registration.peer_addr;
        let knows_others = ack.known_sum != self.known_sum();
        let observation = self.observed.get_mut(&id);
        let is_observed = observation.is_some();
        if let Some(observation) = observation {
            observation.is_answered = true;
        }
        self.hear(ack, now_ms);
        // Bootstrap addresses are pinged by all instances that start; their answers alone don't start
        // a comparison.
        if knows_others && (is_observed || self.sampled.as_ref() == Some(&id)) {
            self.compare(addr, now_ms);
        }
    }

    /// Pings another instance on behalf of one that got no answer from it.
    pub fn hear_ping_other(&mut self, asked: Probe, target: SocketAddr, from: SocketAddr) {
        let probe = self.probe(Vec::new());
        self.relayed.insert(probe.number, (from, asked.number));
        self.out.push((target, Message::Ping(probe)));
    }
}
