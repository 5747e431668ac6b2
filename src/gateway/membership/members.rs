//! The members, and what is heard and told of them.

mod probing;

pub use self::probing::PROBE_MS;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::super::instance::Registration;
use super::super::policy::subset::Share;
use super::super::policy::watchers::{self, Rank};
use super::card::{Card, Member, Phase, Standing, Versions};
use super::message::{Message, Probe};
use super::rumors::{FANOUT, Rumor, Rumors};
use super::sums::Sums;
use crate::decide::Random;

/// Observers that agree.
const AGREED: usize = 2;
/// In one of so many rounds, another failure domain is told as well: of a domain with ten instances,
/// each rumor then leaves it some ten times.
const TOLD_FAR: u64 = 4;
/// Members in one message, so that it stays under 2 KB.
const MOST_IN_MESSAGE: usize = 16;
/// Members that were not known, below which a comparison was hardly worth its bytes.
const FEW_UNKNOWN: usize = 8;
/// The pause after such a comparison, for each member: the more there are, the more often one of them has
/// just changed, which rumors tell.
const COMPARE_PAUSE_MS: u64 = 1;
/// Members that are told at once to one that is new, or that knows others than we do.
const MOST_TOLD: usize = 4 * MOST_IN_MESSAGE;

/// The members, as one instance knows them.
#[derive(Debug)]
pub struct Membership {
    card: Card,
    versions: Versions,
    members: BTreeMap<Arc<str>, Member>,
    /// Addresses to ask while nobody is known.
    contacts: BTreeSet<SocketAddr>,
    observed: BTreeMap<Arc<str>, probing::Observation>,
    /// Another member that was pinged in this round, a different one each time.
    sampled: Option<Arc<str>>,
    /// Pings for others: the number that was sent, who asked, and with which number.
    relayed: BTreeMap<u64, (SocketAddr, u64)>,
    rumors: Rumors,
    number: u64,
    ticked_ms: Option<u64>,
    heard_ms: u64,
    out: Vec<(SocketAddr, Message)>,
    changed: Vec<Arc<str>>,
    /// The sum over what is known, until that changes.
    known_sum: Option<u64>,
    /// From when on what is known is compared with others again.
    compare_from_ms: u64,
}

impl Membership {
    /// An instance that knows only where to ask. `version` should grow from start to start; one that
    /// doesn't is raised when the instance hears of its former self.
    pub fn new(
        registration: Registration,
        link_mbps: u32,
        contacts: &[SocketAddr],
        version: u64,
    ) -> Membership {
        let me = registration.peer_addr;
        let card = Card {
            registration,
            version,
            phase: Phase::Starting,
            is_first_hand: false,
            link_mbps,
            share: Share::ALL,
        };
        Membership {
            card,
            versions: Versions::default(),
            members: BTreeMap::new(),
            contacts: contacts.iter().copied().filter(|addr| *addr != me).collect(),
            observed: BTreeMap::new(),
            sampled: None,
            relayed: BTreeMap::new(),
            rumors: Rumors::default(),
            number: 0,
            ticked_ms: None,
            heard_ms: 0,
            out: Vec::new(),
            changed: Vec::new(),
            known_sum: None,
            compare_from_ms: 0,
        }
    }

    /// This instance.
    pub fn me(&self) -> &Registration {
        &self.card.registration
    }

    /// The messages to be sent now.
    pub fn take_messages(&mut self) -> Vec<(SocketAddr, Message)> {
        std::mem::take(&mut self.out)
    }

    /// The members that came, went or changed since this was last asked.
    pub fn take_changed(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.changed)
    }

    /// Members that are not known to be gone.
    pub fn alive(&self) -> impl Iterator<Item = &Member> {
        self.members.values().filter(|member| member.is_alive())
    }

    /// How many members fell silent since a time; those that ended by a planned stop had said so.
    pub fn silent_since(&self, since_ms: u64) -> usize {
        let is_silent = |member: &&Member| {
            !member.is_alive()
                && member.since_ms >= since_ms
                && member.card.phase != Phase::Stopping
        };
        self.members.values().filter(is_silent).count()
    }

    /// A member, living or dead.
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.members.get(id)
    }

    /// Changes what this instance says of itself; all hear of it.
    pub fn set_me(&mut self, phase: Phase, is_first_hand: bool, share: Share, versions: Versions) {
        self.versions = versions;
        let card = Card { phase, is_first_hand, share, ..self.card.clone() };
        if self.card != card {
            self.card = card;
            self.announce();
        }
    }

    /// What this instance says of itself.
    pub fn my_card(&self) -> &Card {
        &self.card
    }

    /// This instance's place in the order of the fleet.
    pub fn my_rank(&self) -> Rank {
        self.card.rank()
    }

    /// How many living members come before this instance in that order.
    pub fn before_me(&self) -> usize {
        let me = self.my_rank();
        self.alive().filter(|member| member.card.rank() < me).count()
    }

    /// The living members that hold all upstreams, as far as their rank says.
    pub fn keepers(&self) -> Vec<&Member> {
        watchers::full_holders(self.alive().map(|member| (member.card.rank(), member)))
    }

    /// The newest version of the configuration that any member told.
    pub fn newest_config(&self) -> u64 {
        self.members.values().map(|member| member.versions.config).max().unwrap_or(0)
    }

    /// Tells some others that this instance ends now.
    pub fn leave(&mut self, random: &mut dyn Random) {
        let card = self.card.clone();
        let by = Arc::clone(&card.registration.id);
        let rumor = Rumor::Member { card, standing: Standing::Dead, by };
        for addr in self.some(2 * FANOUT, random) {
            self.out.push((addr, Message::Rumors(vec![rumor.clone()])));
        }
    }

    /// Notes where another instance may be reached, as the directory lists it.
    pub fn contact(&mut self, registration: &Registration) {
        if registration.id != self.me().id && !self.members.contains_key(&registration.id) {
            self.contacts.insert(registration.peer_addr);
        }
    }

    /// Starts a rumor.
    pub fn tell(&mut self, rumor: Rumor) {
        let instances = self.members.len() + 1;
        self.rumors.add(rumor, instances);
    }

    /// Whether there is anything to gossip about.
    pub fn has_rumors(&self) -> bool {
        !self.rumors.is_empty()
    }

    /// Tells a few others what is new: mostly in its own failure domain, since bytes between them are
    /// paid for, and enough of its instances also tell another one.
    pub fn gossip(&mut self, random: &mut dyn Random) {
        let addrs = self.listeners(random);
        if addrs.is_empty() || self.rumors.is_empty() {
            return;
        }
        let message = Message::Rumors(self.rumors.round());
        self.out.extend(addrs.into_iter().map(|addr| (addr, message.clone())));
    }

    /// Takes in a rumor about a member. Returns whether it was new.
    pub fn hear_of(&mut self, card: Card, standing: Standing, by: Arc<str>, now_ms: u64) -> bool {
        let rumor = Rumor::Member { card, standing, by };
        let known = self.take_in(&rumor, now_ms);
        match known {
            News::Known => self.rumors.heard(&rumor),
            News::Old => {}
            News::Arrival => self.rumors.add_arrival(rumor, self.members.len() + 1),
            News::Urgent => self.tell(rumor),
        }
        matches!(known, News::Arrival | News::Urgent)
    }

    /// Takes in members that another one knows already, so that they are news to few: of those, only
    /// what is urgent is told on.
    pub fn hear_members(&mut self, members: Vec<Rumor>, now_ms: u64) {
        let mut unknown = 0;
        for rumor in members {
            let news = self.take_in(&rumor, now_ms);
            unknown += usize::from(matches!(news, News::Arrival | News::Urgent));
            if news == News::Urgent {
                self.tell(rumor);
            }
        }
        // What little differs is mostly on its way as rumors.
        let pause_ms = COMPARE_PAUSE_MS * self.members.len() as u64;
        self.compare_from_ms = if unknown < FEW_UNKNOWN { now_ms + pause_ms } else { now_ms };
    }

    fn take_in(&mut self, rumor: &Rumor, now_ms: u64) -> News {
        let Rumor::Member { card, standing, by } = rumor else { return News::Old };
        let standing = *standing;
        if card.registration.id == self.me().id {
            self.hear_of_me(card, standing);
            return News::Old;
        }
        let known = self.members.get_mut(&card.registration.id);
        let Some(member) = known else {
            // Who is dead before it was known is remembered, so that old news don't bring it back.
            self.add(card, standing, by, now_ms);
            return News::of(Standing::Alive, card, standing);
        };
        let before = member.standing;
        let is_newer = (card.version, standing) > (member.card.version, before);
        let suspects = standing == Standing::Suspect && card.version == member.card.version;
        let is_agreement =
            suspects && before == Standing::Suspect && member.suspected_by.insert(Arc::clone(by));
        if !is_newer {
            if is_agreement && member.suspected_by.len() == AGREED {
                return News::Urgent;
            }
            let is_same = (card.version, standing) == (member.card.version, before);
            return if is_same { News::Known } else { News::Old };
        }
        if card.version > member.card.version {
            member.suspected_by.clear();
        }
        if standing == Standing::Suspect {
            member.suspected_by.insert(Arc::clone(by));
        }
        if standing != before {
            member.since_ms = now_ms;
        }
        member.card = card.clone();
        member.standing = standing;
        self.note_changed(&card.registration.id);
        News::of(before, card, standing)
    }

    fn add(&mut self, card: &Card, standing: Standing, by: &Arc<str>, now_ms: u64) {
        let id = Arc::clone(&card.registration.id);
        let suspects = standing == Standing::Suspect;
        let member = Member {
            card: card.clone(),
            versions: Versions::default(),
            standing,
            since_ms: now_ms,
            suspected_by: suspects.then(|| Arc::clone(by)).into_iter().collect(),
        };
        self.members.insert(Arc::clone(&id), member);
        self.note_changed(&id);
    }

    /// Refutes what others think of this instance, or of a former one under its name.
    fn hear_of_me(&mut self, card: &Card, standing: Standing) {
        let is_other_life = card.registration.incarnation != self.me().incarnation;
        let is_wrong = standing != Standing::Alive || is_other_life;
        if is_wrong && card.version >= self.card.version {
            self.card.version = card.version;
            self.announce();
        }
    }

    /// Takes in what a probe's sender says of itself and of others.
    fn hear(&mut self, probe: Probe, now_ms: u64) {
        self.heard_ms = now_ms;
        let id = Arc::clone(&probe.card.registration.id);
        if id == self.me().id {
            return;
        }
        self.hear_of(probe.card, Standing::Alive, Arc::clone(&id), now_ms);
        if let Some(member) = self.members.get_mut(&id) {
            member.versions = probe.versions;
        }
        for rumor in probe.rumors {
            self.hear_rumor(rumor, now_ms);
        }
    }

    /// Takes in a rumor about a member; others are the business of whoever they concern.
    fn hear_rumor(&mut self, rumor: Rumor, now_ms: u64) {
        if let Rumor::Member { card, standing, by } = rumor {
            self.hear_of(card, standing, by, now_ms);
        }
    }

    /// Notes what a member knows, as it told beside its pings.
    pub fn note_versions(&mut self, id: &str, versions: Versions) {
        if let Some(member) = self.members.get_mut(id) {
            member.versions = versions;
        }
    }

    /// Notes that any message came, so that this instance is not cut off.
    pub fn note_heard(&mut self, now_ms: u64) {
        self.heard_ms = now_ms;
    }

    fn note_changed(&mut self, id: &Arc<str>) {
        self.changed.push(Arc::clone(id));
        self.known_sum = None;
    }

    /// Raises the version of what this instance says of itself, and has all hear of it.
    fn announce(&mut self) {
        self.card.version += 1;
        self.known_sum = None;
        let by = nobody();
        self.tell(Rumor::Member { card: self.card.clone(), standing: Standing::Alive, by });
    }

    fn rumor_of(&self, member: &Member) -> Rumor {
        Rumor::Member {
            card: member.card.clone(),
            standing: member.standing,
            by: match member.standing {
                Standing::Suspect => Arc::clone(&self.me().id),
                Standing::Alive | Standing::Dead => nobody(),
            },
        }
    }

    /// The same for two instances that know the same of the same members, themselves included.
    fn known_sum(&mut self) -> u64 {
        let sum = self.known_sum.unwrap_or_else(|| self.sum_up());
        self.known_sum = Some(sum);
        sum
    }

    fn sum_up(&self) -> u64 {
        self.cards().fold(0, |sum, card| {
            sum ^ xxh3_64_with_seed(card.registration.id.as_bytes(), card.version)
        })
    }

    /// The cards of all that live, this instance's own included.
    fn cards(&self) -> impl Iterator<Item = &Card> {
        self.alive().map(|member| &member.card).chain([&self.card])
    }

    /// Compares with another instance what is known.
    fn compare(&mut self, to: SocketAddr, now_ms: u64) {
        if now_ms < self.compare_from_ms {
            return;
        }
        let sums = Sums::over(self.cards(), Sums::parts_for(self.members.len()));
        self.out.push((to, Message::Sums(sums, false)));
    }

    /// Tells what another one lacks, or knows otherwise, as its sums say; unless they are an answer, it
    /// gets this instance's own.
    pub fn hear_sums(
        &mut self,
        sums: &Sums,
        is_answer: bool,
        from: SocketAddr,
        random: &mut dyn Random,
    ) {
        let own = Sums::over(self.cards(), sums.parts());
        if own.parts() != sums.parts() {
            return;
        }
        let members: Vec<Rumor> = self
            .members_in_turn(random)
            .filter(|member| own.differ_at(sums, &member.card.registration.id))
            .map(|member| self.rumor_of(member))
            .take(MOST_TOLD)
            .collect();
        self.tell_members(members, from);
        if !is_answer {
            self.out.push((from, Message::Sums(own, true)));
        }
    }

    /// Tells some members to one that is new; it finds the others by comparing.
    fn introduce(&mut self, to: SocketAddr, random: &mut dyn Random) {
        let alive = self.members_in_turn(random).filter(|member| member.is_alive());
        let members = alive.map(|member| self.rumor_of(member)).take(MOST_IN_MESSAGE).collect();
        self.tell_members(members, to);
    }

    fn tell_members(&mut self, members: Vec<Rumor>, to: SocketAddr) {
        for part in members.chunks(MOST_IN_MESSAGE) {
            self.out.push((to, Message::Members(part.to_vec())));
        }
    }

    /// All members in the order of their ids, from a different one on each time.
    fn members_in_turn(&self, random: &mut dyn Random) -> impl Iterator<Item = &Member> {
        let count = self.members.len();
        let start = random.below(count.max(1) as u64) as usize;
        self.members.values().cycle().skip(start).take(count)
    }

    /// Who is told in one round.
    fn listeners(&self, random: &mut dyn Random) -> Vec<SocketAddr> {
        let (mut near, mut far): (Vec<&Registration>, Vec<&Registration>) = self
            .alive()
            .map(|member| &member.card.registration)
            .partition(|other| other.domain == self.me().domain);
        pick(&mut near, FANOUT, random);
        let tells_far = near.len() < FANOUT || random.below(TOLD_FAR) == 0;
        pick(&mut far, usize::from(tells_far), random);
        near.into_iter().chain(far).map(|other| other.peer_addr).collect()
    }

    /// The addresses of a few living members, without order.
    fn some(&self, most: usize, random: &mut dyn Random) -> Vec<SocketAddr> {
        let mut addrs: Vec<SocketAddr> =
            self.alive().map(|member| member.card.registration.peer_addr).collect();
        pick(&mut addrs, most, random);
        addrs
    }
}

/// What a rumor about a member is to the one that hears it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum News {
    /// Something older than what is known.
    Old,
    /// What is known.
    Known,
    /// That an instance lives, as most do.
    Arrival,
    /// Anything else.
    Urgent,
}

impl News {
    /// What a card is that is newer than what was known, which stood so before.
    fn of(before: Standing, card: &Card, standing: Standing) -> News {
        let is_alive = before == Standing::Alive && standing == Standing::Alive;
        if is_alive && card.phase != Phase::Stopping { News::Arrival } else { News::Urgent }
    }
}

/// Who says that an instance lives or is dead doesn't matter, and its name would be a fifth of the message.
fn nobody() -> Arc<str> {
    Arc::from("")
}

/// Leaves a few of all, drawn without order.
fn pick<T>(all: &mut Vec<T>, most: usize, random: &mut dyn Random) {
    for index in 0..most.min(all.len()) {
        let other = index + random.below((all.len() - index) as u64) as usize;
        all.swap(index, other);
    }
    all.truncate(most);
}
