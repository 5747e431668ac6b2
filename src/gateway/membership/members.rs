//! The member table: merges membership updates from other instances and queues the messages to send.

mod probing;

pub use self::probing::PROBE_INTERVAL_MS;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::super::instance::Registration;
use super::super::policy::arrivals::Arrivals;
use super::super::policy::subset::Share;
use super::super::policy::watchers::{self, Rank};
use super::descriptor::{InstanceDescriptor, Member, MemberState, Phase, Versions};
use super::message::{Message, Probe};
use super::rumors::{GOSSIP_FANOUT, Rumor, RumorQueue};
use super::sums::BucketChecksums;
use crate::decide::Random;

/// Number of observers that must suspect the same member before the shorter suspicion timeout
/// applies.
const AGREEING_OBSERVERS: usize = 2;
/// Gossip also goes to another failure domain in one round out of this many. In a domain of ten
/// instances, each rumor is then sent out of the domain about ten times.
const REMOTE_GOSSIP_EVERY_ROUNDS: u64 = 4;
/// Maximum number of members in one message, which keeps it below 2 KB.
const MAX_MEMBERS_PER_MESSAGE: usize = 16;
/// A comparison that brings fewer unknown members than this is hardly worth its bytes and delays the
/// next one.
const MIN_UNKNOWN_PER_COMPARISON: usize = 8;
/// Delay after such a comparison, in milliseconds per member. The more members there are, the more
/// often one of them has just changed, and gossip spreads that change anyway.
const COMPARE_PAUSE_MS_PER_MEMBER: u64 = 1;
/// Maximum number of members sent in reply to the checksums of another instance.
const MAX_MEMBERS_PER_REPLY: usize = 4 * MAX_MEMBERS_PER_MESSAGE;

/// The members as one instance knows them.
#[derive(Debug)]
pub struct Membership {
    descriptor: InstanceDescriptor,
    versions: Versions,
    members: BTreeMap<Arc<str>, Member>,
    /// Addresses to ping while no member is known.
    bootstrap_addrs: BTreeSet<SocketAddr>,
    observed: BTreeMap<Arc<str>, probing::Observation>,
    /// The member that was pinged in this round beside the observed ones; drawn at random each round.
    random_member: Option<Arc<str>>,
    /// Pings sent for other instances: the number of the ping, the address that asked for it, and the
    /// number that this address used.
    relayed_pings: BTreeMap<u64, (SocketAddr, u64)>,
    rumors: RumorQueue,
    last_ping_number: u64,
    last_tick_ms: Option<u64>,
    last_received_ms: u64,
    outbox: Vec<(SocketAddr, Message)>,
    changed_ids: Vec<Arc<str>>,
    /// Cached checksum over the known members; `None` after a change.
    checksum: Option<u64>,
    /// Earliest time of the next comparison with another member.
    next_comparison_ms: u64,
    arrivals: Arrivals,
}

impl Membership {
    /// Creates the membership of an instance that knows only bootstrap addresses. `version` should
    /// grow from start to start. If it does not, it is raised when the instance receives a rumor
    /// about its previous incarnation.
    pub fn new(
        registration: Registration,
        link_mbps: u32,
        bootstrap_addrs: &[SocketAddr],
        version: u64,
    ) -> Membership {
        let me = registration.peer_addr;
        let descriptor = InstanceDescriptor {
            registration,
            version,
            phase: Phase::Starting,
            is_watching_directory: false,
            is_cut_off: false,
            link_mbps,
            share: Share::ALL,
        };
        Membership {
            descriptor,
            versions: Versions::default(),
            members: BTreeMap::new(),
            bootstrap_addrs: bootstrap_addrs.iter().copied().filter(|addr| *addr != me).collect(),
            observed: BTreeMap::new(),
            random_member: None,
            relayed_pings: BTreeMap::new(),
            rumors: RumorQueue::default(),
            last_ping_number: 0,
            last_tick_ms: None,
            last_received_ms: 0,
            outbox: Vec::new(),
            changed_ids: Vec::new(),
            checksum: None,
            next_comparison_ms: 0,
            arrivals: Arrivals::default(),
        }
    }

    /// This instance's registration.
    pub fn me(&self) -> &Registration {
        &self.descriptor.registration
    }

    /// Takes the messages to be sent now.
    pub fn take_messages(&mut self) -> Vec<(SocketAddr, Message)> {
        std::mem::take(&mut self.outbox)
    }

    /// Takes the ids of the members that joined, left or changed since the last call.
    pub fn take_changed(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.changed_ids)
    }

    /// Members that are not declared dead.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.is_alive())
    }

    /// Whether this instance knows its fleet, so that it can judge its rank and the number of instances.
    /// One that has just started learns of the others in a few rounds, which take longer on a busy
    /// machine.
    pub fn is_settled(&self) -> bool {
        self.arrivals.have_ceased()
    }

    /// Members that were declared dead since a time, without those that had announced a planned stop.
    pub fn unplanned_deaths_since(&self, since_ms: u64) -> impl Iterator<Item = &Member> {
        let is_unplanned = move |member: &&Member| {
            !member.is_alive()
                && member.state_since_ms >= since_ms
                && member.descriptor.phase != Phase::Stopping
        };
        self.members.values().filter(is_unplanned)
    }

    /// A member, alive or dead.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Updates what this instance publishes about itself, and announces it to all others if it
    /// changed. A change of `versions` alone is not announced; probes carry it.
    pub fn update_self(
        &mut self,
        phase: Phase,
        is_watching_directory: bool,
        is_cut_off: bool,
        share: Share,
        versions: Versions,
    ) {
        self.versions = versions;
        let descriptor = InstanceDescriptor {
            phase,
            is_watching_directory,
            is_cut_off,
            share,
            ..self.descriptor.clone()
        };
        if self.descriptor != descriptor {
            self.descriptor = descriptor;
            self.announce();
        }
    }

    /// What this instance publishes about itself.
    pub fn own_descriptor(&self) -> &InstanceDescriptor {
        &self.descriptor
    }

    /// This instance's rank in the fleet.
    pub fn own_rank(&self) -> Rank {
        self.descriptor.rank()
    }

    /// Number of living members that rank before this instance.
    pub fn ranked_before_self(&self) -> usize {
        let me = self.own_rank();
        self.alive().filter(|member| member.descriptor.rank() < me).count()
    }

    /// The living members that hold the whole list of upstreams, judged by their rank.
    pub fn full_list_holders(&self) -> Vec<&Member> {
        watchers::full_holders(self.alive().map(|member| (member.descriptor.rank(), member)))
    }

    /// The newest configuration version that any member has reported.
    pub fn newest_config_version(&self) -> u64 {
        self.members.values().map(|member| member.versions.config).max().unwrap_or(0)
    }

    /// Sends the rumor that this instance is dead to a few members, because it shuts down now.
    pub fn leave(&mut self, random: &mut dyn Random) {
        let descriptor = self.descriptor.clone();
        let reporter = Arc::clone(&descriptor.registration.id);
        let rumor = Rumor::Member { descriptor, state: MemberState::Dead, reporter };
        for addr in self.random_alive_addrs(2 * GOSSIP_FANOUT, random) {
            self.outbox.push((addr, Message::Rumors(vec![rumor.clone()])));
        }
    }

    /// Adds the address of an instance that the directory lists, if the instance is not a member yet.
    pub fn add_bootstrap_addr(&mut self, registration: &Registration) {
        if registration.id != self.me().id && !self.members.contains_key(&registration.id) {
            self.bootstrap_addrs.insert(registration.peer_addr);
        }
    }

    /// Starts to spread a rumor.
    pub fn spread(&mut self, rumor: Rumor) {
        let instances = self.members.len() + 1;
        self.rumors.add(rumor, instances);
    }

    /// Whether there are rumors to send.
    pub fn has_rumors(&self) -> bool {
        !self.rumors.is_empty()
    }

    /// Sends the next round of rumors to a few members. Most are in the same failure domain, because
    /// traffic between domains is billed; enough instances of a domain also send to another one.
    pub fn gossip(&mut self, random: &mut dyn Random) {
        let addrs = self.gossip_targets(random);
        if addrs.is_empty() || self.rumors.is_empty() {
            return;
        }
        let message = Message::Rumors(self.rumors.next_round());
        self.outbox.extend(addrs.into_iter().map(|addr| (addr, message.clone())));
    }

    /// Merges a rumor about a member. Returns whether it was new.
    pub fn merge_member(
        &mut self,
        descriptor: InstanceDescriptor,
        state: MemberState,
        reporter: Arc<str>,
        now_ms: u64,
    ) -> bool {
        let rumor = Rumor::Member { descriptor, state, reporter };
        let kind = self.merge(&rumor, now_ms);
        match kind {
            UpdateKind::Duplicate => self.rumors.note_duplicate(&rumor),
            UpdateKind::Outdated => {}
            UpdateKind::Arrival => self.rumors.add_arrival(rumor, self.members.len() + 1),
            UpdateKind::Urgent => self.spread(rumor),
        }
        matches!(kind, UpdateKind::Arrival | UpdateKind::Urgent)
    }

    /// Merges members that another instance already knows. Few others lack them, so only urgent
    /// updates are gossiped further.
    pub fn merge_members(&mut self, members: Vec<Rumor>, now_ms: u64) {
        let mut unknown = 0;
        for rumor in members {
            let kind = self.merge(&rumor, now_ms);
            unknown += usize::from(matches!(kind, UpdateKind::Arrival | UpdateKind::Urgent));
            if kind == UpdateKind::Urgent {
                self.spread(rumor);
            }
        }
        // Small differences are mostly rumors that are still spreading.
        let pause_ms = COMPARE_PAUSE_MS_PER_MEMBER * self.members.len() as u64;
        self.next_comparison_ms =
            if unknown < MIN_UNKNOWN_PER_COMPARISON { now_ms + pause_ms } else { now_ms };
    }

    fn merge(&mut self, rumor: &Rumor, now_ms: u64) -> UpdateKind {
        let Rumor::Member { descriptor, state, reporter } = rumor else {
            return UpdateKind::Outdated;
        };
        let state = *state;
        if descriptor.registration.id == self.me().id {
            self.refute(descriptor, state);
            return UpdateKind::Outdated;
        }
        let known = self.members.get_mut(&descriptor.registration.id);
        let Some(member) = known else {
            // An instance that is already dead when first mentioned is remembered, so that an older
            // rumor does not bring it back.
            self.add(descriptor, state, reporter, now_ms);
            return UpdateKind::of(MemberState::Alive, descriptor, state);
        };
        let before = member.state;
        let is_newer = (descriptor.version, state) > (member.descriptor.version, before);
        let suspects =
            state == MemberState::Suspect && descriptor.version == member.descriptor.version;
        let is_agreement = suspects
            && before == MemberState::Suspect
            && member.suspected_by.insert(Arc::clone(reporter));
        if !is_newer {
            if is_agreement && member.suspected_by.len() == AGREEING_OBSERVERS {
                return UpdateKind::Urgent;
            }
            let is_same = (descriptor.version, state) == (member.descriptor.version, before);
            return if is_same { UpdateKind::Duplicate } else { UpdateKind::Outdated };
        }
        if descriptor.version > member.descriptor.version {
            member.suspected_by.clear();
        }
        if state == MemberState::Suspect {
            member.suspected_by.insert(Arc::clone(reporter));
        }
        if state != before {
            member.state_since_ms = now_ms;
        }
        member.descriptor = descriptor.clone();
        member.state = state;
        self.mark_changed(&descriptor.registration.id);
        UpdateKind::of(before, descriptor, state)
    }

    fn add(
        &mut self,
        descriptor: &InstanceDescriptor,
        state: MemberState,
        reporter: &Arc<str>,
        now_ms: u64,
    ) {
        let id = Arc::clone(&descriptor.registration.id);
        let suspects = state == MemberState::Suspect;
        let member = Member {
            descriptor: descriptor.clone(),
            versions: Versions::default(),
            state,
            state_since_ms: now_ms,
            suspected_by: suspects.then(|| Arc::clone(reporter)).into_iter().collect(),
        };
        self.members.insert(Arc::clone(&id), member);
        self.arrivals.note_arrival();
        self.mark_changed(&id);
    }

    /// Refutes a rumor that this instance is suspect or dead, or that describes a previous
    /// incarnation under its id.
    fn refute(&mut self, descriptor: &InstanceDescriptor, state: MemberState) {
        let is_other_incarnation = descriptor.registration.incarnation != self.me().incarnation;
        let is_wrong = state != MemberState::Alive || is_other_incarnation;
        if is_wrong && descriptor.version >= self.descriptor.version {
            self.descriptor.version = descriptor.version;
            self.announce();
        }
    }

    /// Merges what the sender of a probe reports about itself and others.
    fn handle_probe(&mut self, probe: Probe, now_ms: u64) {
        self.last_received_ms = now_ms;
        let id = Arc::clone(&probe.descriptor.registration.id);
        if id == self.me().id {
            return;
        }
        self.merge_member(probe.descriptor, MemberState::Alive, Arc::clone(&id), now_ms);
        if let Some(member) = self.members.get_mut(&id) {
            member.versions = probe.versions;
        }
        for rumor in probe.rumors {
            self.merge_rumor(rumor, now_ms);
        }
    }

    /// Merges a rumor about a member and ignores all other rumors, which don't concern the
    /// membership.
    fn merge_rumor(&mut self, rumor: Rumor, now_ms: u64) {
        if let Rumor::Member { descriptor, state, reporter } = rumor {
            self.merge_member(descriptor, state, reporter, now_ms);
        }
    }

    /// Records the versions that a member reported in a message other than a ping.
    pub fn set_versions(&mut self, id: &str, versions: Versions) {
        if let Some(member) = self.members.get_mut(id) {
            member.versions = versions;
        }
    }

    /// Records that a message arrived, so that this instance does not take itself for isolated.
    pub fn note_received(&mut self, now_ms: u64) {
        self.last_received_ms = now_ms;
    }

    fn mark_changed(&mut self, id: &Arc<str>) {
        self.changed_ids.push(Arc::clone(id));
        self.checksum = None;
    }

    /// Raises the version of this instance's own descriptor and gossips it to all.
    fn announce(&mut self) {
        self.descriptor.version = self.descriptor.version.saturating_add(1);
        self.checksum = None;
        let reporter = no_reporter();
        self.spread(Rumor::Member {
            descriptor: self.descriptor.clone(),
            state: MemberState::Alive,
            reporter,
        });
    }

    fn rumor_about(&self, member: &Member) -> Rumor {
        Rumor::Member {
            descriptor: member.descriptor.clone(),
            state: member.state,
            reporter: match member.state {
                MemberState::Suspect => Arc::clone(&self.me().id),
                MemberState::Alive | MemberState::Dead => no_reporter(),
            },
        }
    }

    /// Checksum over the known living members and this instance: equal at two instances that know the
    /// same versions of the same instances.
    fn checksum(&mut self) -> u64 {
        let sum = self.checksum.unwrap_or_else(|| self.compute_checksum());
        self.checksum = Some(sum);
        sum
    }

    fn compute_checksum(&self) -> u64 {
        self.descriptors().fold(0, |sum, descriptor| {
            sum ^ xxh3_64_with_seed(descriptor.registration.id.as_bytes(), descriptor.version)
        })
    }

    /// The descriptors of all living members and of this instance.
    fn descriptors(&self) -> impl Iterator<Item = &InstanceDescriptor> {
        self.alive().map(|member| &member.descriptor).chain([&self.descriptor])
    }

    /// Starts a comparison of the member tables with another instance.
    fn start_comparison(&mut self, to: SocketAddr, now_ms: u64) {
        if now_ms < self.next_comparison_ms {
            return;
        }
        let checksums = BucketChecksums::of(
            self.descriptors(),
            BucketChecksums::bucket_count_for(self.members.len()),
        );
        self.outbox.push((to, Message::Checksums(checksums, false)));
    }

    /// Sends the members that another instance lacks or knows in another version, as its checksums
    /// show. Unless those are a reply themselves, also replies with this instance's own checksums.
    pub fn handle_checksums(
        &mut self,
        checksums: &BucketChecksums,
        is_answer: bool,
        from: SocketAddr,
        random: &mut dyn Random,
    ) {
        let own = BucketChecksums::of(self.descriptors(), checksums.bucket_count());
        if own.bucket_count() != checksums.bucket_count() {
            return;
        }
        let members: Vec<Rumor> = self
            .members_from_random(random)
            .filter(|member| own.differ_in_bucket_of(checksums, &member.descriptor.registration.id))
            .map(|member| self.rumor_about(member))
            .take(MAX_MEMBERS_PER_REPLY)
            .collect();
        self.send_members(members, from);
        if !is_answer {
            self.outbox.push((from, Message::Checksums(own, true)));
        }
    }

    /// Sends some members to a new instance; it gets the others by comparing.
    fn send_some_members(&mut self, to: SocketAddr, random: &mut dyn Random) {
        let alive = self.members_from_random(random).filter(|member| member.is_alive());
        let members =
            alive.map(|member| self.rumor_about(member)).take(MAX_MEMBERS_PER_MESSAGE).collect();
        self.send_members(members, to);
    }

    fn send_members(&mut self, members: Vec<Rumor>, to: SocketAddr) {
        for chunk in members.chunks(MAX_MEMBERS_PER_MESSAGE) {
            self.outbox.push((to, Message::Members(chunk.to_vec())));
        }
    }

    /// All members in the order of their ids, starting from a random one.
    fn members_from_random(&self, random: &mut dyn Random) -> impl Iterator<Item = &Member> {
        let count = self.members.len();
        let start = random.below(count.max(1) as u64) as usize;
        self.members.values().cycle().skip(start).take(count)
    }

    /// The addresses that one gossip round goes to.
    fn gossip_targets(&self, random: &mut dyn Random) -> Vec<SocketAddr> {
        let (mut near, mut far): (Vec<&Registration>, Vec<&Registration>) = self
            .alive()
            .map(|member| &member.descriptor.registration)
            .partition(|other| other.domain == self.me().domain);
        keep_random(&mut near, GOSSIP_FANOUT, random);
        let is_remote_round =
            near.len() < GOSSIP_FANOUT || random.below(REMOTE_GOSSIP_EVERY_ROUNDS) == 0;
        keep_random(&mut far, usize::from(is_remote_round), random);
        near.into_iter().chain(far).map(|other| other.peer_addr).collect()
    }

    /// The addresses of up to `limit` living members, drawn at random.
    fn random_alive_addrs(&self, limit: usize, random: &mut dyn Random) -> Vec<SocketAddr> {
        let mut addrs: Vec<SocketAddr> =
            self.alive().map(|member| member.descriptor.registration.peer_addr).collect();
        keep_random(&mut addrs, limit, random);
        addrs
    }
}

/// What a rumor about a member is to its receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UpdateKind {
    /// Older than what is known.
    Outdated,
    /// The same as what is known.
    Duplicate,
    /// An instance is alive that was alive before or was unknown; most updates are of this kind.
    Arrival,
    /// Any other change: a suspicion, its second observer, a death, a refutation or a planned stop.
    Urgent,
}

impl UpdateKind {
    /// Classifies a descriptor newer than the known one, given the state until now.
    fn of(before: MemberState, descriptor: &InstanceDescriptor, state: MemberState) -> UpdateKind {
        let is_alive = before == MemberState::Alive && state == MemberState::Alive;
        if is_alive && descriptor.phase != Phase::Stopping {
            UpdateKind::Arrival
        } else {
            UpdateKind::Urgent
        }
    }
}

/// An empty reporter: who reports that an instance is alive or dead does not matter, and the id would
/// take a fifth of the message.
fn no_reporter() -> Arc<str> {
    Arc::from("")
}

/// Keeps up to `limit` of all elements, drawn at random.
fn keep_random<T>(all: &mut Vec<T>, limit: usize, random: &mut dyn Random) {
    for index in 0..limit.min(all.len()) {
        let other = index + random.below((all.len() - index) as u64) as usize;
        all.swap(index, other);
    }
    all.truncate(limit);
}
