//! The controllers that exchange messages with peers: who lives, what runs where, what is newer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::super::instance::Registration;
use super::super::loads::{DIGEST_MS, Digest, LoadNews};
use super::super::membership::{self, Card, GOSSIP_MS, Message, PROBE_MS, Probe, Rumor};
use super::super::policy::watchers;
use super::{Board, Control, LOST_TOLD_MS};

/// How long news gather before peers hear of them: a burst of placements or losses comes within a few
/// milliseconds.
pub(super) const NEWS_MS: u64 = 5;
/// The longest datagram.
const DATAGRAM_BYTES: usize = 32 << 10;
/// Peers of the same failure domain that get everything in each round, for what was lost on the way.
const REFRESHED: usize = 3;

impl Control {
    /// Sends the messages that the membership has to send.
    pub(super) fn flush(&self) {
        let messages = self.board.borrow_mut().membership.take_messages();
        for (addr, message) in messages {
            self.send(&message, &[addr]);
        }
    }

    /// Sends a message to each address; one that is lost is followed by others that say as much.
    pub(super) fn send(&self, message: &Message, addrs: &[SocketAddr]) {
        let Some(socket) = self.socket.borrow().clone() else { return };
        let Some(bytes) = membership::encode(message) else { return };
        for addr in addrs {
            let _ = socket.try_send_to(&bytes, *addr);
        }
    }

    /// The living peers of this failure domain.
    pub(super) fn near_peers(&self, board: &Board) -> Vec<SocketAddr> {
        let alive = board.membership.alive().map(|member| &member.card.registration);
        let near = alive.filter(|other| other.domain == self.me.domain);
        near.map(|other| other.peer_addr).collect()
    }

    /// One living peer of each other failure domain.
    pub(super) fn one_of_each_other_domain(&self, board: &Board) -> Vec<SocketAddr> {
        self.one_of_each(board, |_| true)
    }

    /// One living peer of each other failure domain for which something holds.
    pub(super) fn one_of_each(
        &self,
        board: &Board,
        holds: impl Fn(&Card) -> bool,
    ) -> Vec<SocketAddr> {
        let cards = board.membership.alive().map(|member| &member.card);
        let alive = cards.filter(|card| holds(card)).map(|card| &card.registration);
        let mut far: Vec<&Registration> =
            alive.filter(|other| other.domain != self.me.domain).collect();
        fastrand::shuffle(&mut far);
        far.sort_by(|a, b| a.domain.cmp(&b.domain));
        far.dedup_by(|a, b| a.domain == b.domain);
        far.into_iter().map(|other| other.peer_addr).collect()
    }

    /// Observes other instances, and repeats to a few what this one has running.
    pub(super) async fn observe_peers(self: Rc<Control>) {
        loop {
            let now_ms = self.clock.now_ms();
            self.end_round(now_ms);
            self.flush();
            self.refresh_loads();
            self.dirty.notify_one();
            self.note_gauges(now_ms);
            self.settle_share(now_ms);
            self.fetch_if_behind(now_ms);
            self.tell_quarantine_to_one();
            self.tell_signals_to_one();
            tokio::time::sleep(Duration::from_millis(PROBE_MS)).await;
        }
    }

    /// Does what is due once in a round.
    fn end_round(&self, now_ms: u64) {
        let mut board = self.board.borrow_mut();
        board.membership.tick(now_ms, &mut fastrand::Rng::new());
        board.fleet.expire(now_ms);
        board.guests.retain(|_, guest| guest.until_ms > now_ms);
        let is_heard = Control::is_directory_heard(&board);
        let first_hand = board.membership.alive().filter(|member| member.card.is_first_hand);
        let watching = first_hand.count() + usize::from(Control::is_first_hand(&board));
        if watchers::are_enough(watching) {
            board.few_watch_since_ms = None;
        } else {
            board.few_watch_since_ms.get_or_insert(now_ms);
        }
        if board.found.update_directory_state(is_heard, now_ms) {
            slog::info!(self.log, "engines found meanwhile count only as listed");
        }
        board.loads.forget(now_ms);
        board.quarantine.forget(now_ms);
        board.named_rates.forget(now_ms);
        board.departures.expire(now_ms);
    }

    /// Tells rumors: new ones at once, and each a few times more.
    pub(super) async fn gossip(self: Rc<Control>) {
        loop {
            let has_rumors = self.board.borrow().membership.has_rumors();
            if has_rumors {
                tokio::select! {
                    () = self.rumors.notified() => {}
                    () = tokio::time::sleep(Duration::from_millis(GOSSIP_MS)) => {}
                }
            } else {
                self.rumors.notified().await;
            }
            // What follows at once goes with it.
            tokio::time::sleep(Duration::from_millis(NEWS_MS)).await;
            self.board.borrow_mut().membership.gossip(&mut fastrand::Rng::new());
            self.flush();
        }
    }

    /// Tells the failure domain what changed in the traffic here, and all which upstreams were lost.
    pub(super) async fn tell_loads(self: Rc<Control>) {
        loop {
            self.shared.news.notified().await;
            tokio::time::sleep(Duration::from_millis(NEWS_MS)).await;
            let now_ms = self.clock.now_ms();
            let own = self.shared.own();
            let mut board = self.board.borrow_mut();
            board.loads.note_own(&own, now_ms);
            let Some(change) = board.told.take(own) else { continue };
            board.loads.note_places(&change.places, now_ms);
            for id in change.lost {
                self.note_lost(&mut board, id, now_ms);
            }
            let sent = change.sent;
            let news = self.load_news(&mut board);
            let news = LoadNews { held: change.held, sent, places: change.places, ..news };
            let near = board.placing_near.clone();
            drop(board);
            self.send(&Message::Loads(news), &near);
        }
    }

    /// A message about the traffic here that says nothing yet.
    fn load_news(&self, board: &mut Board) -> LoadNews {
        board.messages += 1;
        LoadNews {
            id: Arc::clone(&self.me.id),
            incarnation: self.me.incarnation,
            count: board.messages,
            is_whole: false,
            held: Vec::new(),
            sent: None,
            sent_by_ended: Vec::new(),
            places: Vec::new(),
        }
    }

    /// Repeats to a few peers all that runs here.
    fn refresh_loads(&self) {
        let now_ms = self.clock.now_ms();
        let own = self.shared.own();
        let mut board = self.board.borrow_mut();
        let sent_by_ended = board.loads.own_ended(now_ms);
        let news = LoadNews {
            is_whole: true,
            held: own.held,
            sent: Some(own.sent),
            sent_by_ended,
            ..self.load_news(&mut board)
        };
        let says_nothing = news.held.is_empty()
            && news.sent_by_ended.is_empty()
            && news.sent.iter().flatten().all(|sent| sent.requests + sent.repeats == 0);
        if says_nothing && std::mem::replace(&mut board.has_told_nothing, true) {
            return;
        }
        board.has_told_nothing = says_nothing;
        let mut near = board.placing_near.clone();
        drop(board);
        fastrand::shuffle(&mut near);
        near.truncate(REFRESHED);
        self.send(&Message::Loads(news), &near);
    }

    /// Takes its turn in telling other failure domains what this one has running.
    pub(super) async fn tell_digests(self: Rc<Control>) {
        loop {
            let here = self.board.borrow().placing_near.len() as u64 + 1;
            let pause_ms = here * DIGEST_MS / 2 + fastrand::u64(..=here * DIGEST_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            let now_ms = self.clock.now_ms();
            let own = self.shared.own();
            let mut board = self.board.borrow_mut();
            if !board.is_placing {
                // It doesn't hear what the others have.
                continue;
            }
            let far = self.one_of_each_other_domain(&board);
            let digest = board.loads.digest(&own, now_ms, &mut fastrand::Rng::new());
            drop(board);
            self.send(&Message::Digest(digest), &far);
        }
    }

    pub(super) async fn hear_peers(self: Rc<Control>, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(Duration::from_millis(GOSSIP_MS)).await;
                continue;
            };
            match membership::decode(&buffer[..length]) {
                Some(message) => self.hear(message, from),
                None => self.metrics.count("messages_unreadable"),
            }
        }
    }

    fn hear(self: &Rc<Control>, message: Message, from: SocketAddr) {
        let now_ms = self.clock.now_ms();
        self.board.borrow_mut().membership.note_heard(now_ms);
        match message {
            Message::Ping(probe) => {
                let sender = &probe.card.registration.id;
                let is_new = self.board.borrow().membership.get(sender).is_none();
                if is_new {
                    self.tell_quarantine(&[from]);
                }
                self.hear_probe(probe, now_ms, |membership, probe| {
                    membership.hear_ping(probe, from, now_ms, &mut fastrand::Rng::new());
                });
            }
            Message::Ack(probe) => self.hear_probe(probe, now_ms, |membership, probe| {
                membership.hear_ack(probe, now_ms);
            }),
            Message::PingOther(probe, target) => {
                self.board.borrow_mut().membership.hear_ping_other(probe, target, from);
                self.flush();
            }
            Message::Rumors(rumors) => self.hear_rumors(rumors, now_ms),
            Message::Sums(sums, is_answer) => {
                let mut board = self.board.borrow_mut();
                board.membership.hear_sums(&sums, is_answer, from, &mut fastrand::Rng::new());
                drop(board);
                self.flush();
            }
            Message::Members(members) => {
                self.board.borrow_mut().membership.hear_members(members, now_ms);
                self.note_membership();
                self.dirty.notify_one();
            }
            Message::Loads(news) => self.hear_loads(news, now_ms),
            Message::Digest(digest) => self.hear_digest(digest, now_ms),
            Message::Changes(changes) => self.hear_changes(changes, from, now_ms),
            Message::AskChanges(ask) => self.hear_changes_ask(&ask, from),
            Message::AskUpstream(id) => self.hear_upstream_ask(&id, from),
            Message::Upstream(upstream) => self.take_guest(upstream),
            Message::AskPermit(ask) => self.hear_permit_ask(ask, from),
            Message::Permit(number, permit) => self.hear_permit(number, permit),
            Message::Signals(news) => self.hear_signals(news),
            Message::Usage(news) => self.hear_usage(news),
        }
    }

    fn hear_probe(
        self: &Rc<Control>,
        probe: Probe,
        now_ms: u64,
        hear: impl FnOnce(&mut membership::Membership, Probe),
    ) {
        let sender = &probe.card.registration;
        if sender.id == self.me.id && sender.incarnation == self.me.incarnation {
            return;
        }
        hear(&mut self.board.borrow_mut().membership, probe);
        self.flush();
        self.note_membership();
        self.fetch_if_behind(now_ms);
    }

    /// Has what changed in the membership told and published.
    fn note_membership(&self) {
        let board = self.board.borrow();
        if board.membership.has_rumors() {
            self.rumors.notify_one();
            self.dirty.notify_one();
        }
    }

    fn hear_rumors(self: &Rc<Control>, rumors: Vec<Rumor>, now_ms: u64) {
        for rumor in rumors {
            match rumor {
                Rumor::Member { card, standing, by } => {
                    let mut board = self.board.borrow_mut();
                    board.membership.hear_of(card, standing, by, now_ms);
                }
                Rumor::Lost(id) => self.note_lost(&mut self.board.borrow_mut(), id, now_ms),
                Rumor::Found(upstream) => self.take_found(upstream),
                Rumor::Ended(end) => self.hear_end(end, now_ms),
                Rumor::Crashes(told) => self.hear_crashes(told),
            }
        }
        self.note_membership();
    }

    /// Notes that an upstream was lost; the others hear of it if it is news.
    fn note_lost(&self, board: &mut Board, id: Arc<str>, now_ms: u64) {
        let is_known = board.lost.get(&id).is_some_and(|until_ms| *until_ms > now_ms);
        if is_known {
            return;
        }
        board.lost.insert(Arc::clone(&id), now_ms + LOST_TOLD_MS);
        if let Some(upstream) = board.fleet.upstreams.get(&id).cloned() {
            board.quarantine.note_end(&upstream, now_ms);
        }
        board.membership.tell(Rumor::Lost(id));
        self.rumors.notify_one();
        self.dirty.notify_one();
    }

    fn hear_loads(&self, news: LoadNews, now_ms: u64) {
        let mut board = self.board.borrow_mut();
        let sender = board.membership.get(&news.id);
        let is_here = sender.is_some_and(|sender| {
            sender.is_alive() && sender.card.registration.domain == self.me.domain
        });
        if is_here && board.loads.hear(news, now_ms) {
            self.dirty.notify_one();
        }
    }

    fn hear_digest(&self, digest: Digest, now_ms: u64) {
        let mut board = self.board.borrow_mut();
        let passed_on =
            digest.is_passed_on.then(|| Digest { is_passed_on: false, ..digest.clone() });
        if !board.loads.hear_digest(digest, now_ms) {
            return;
        }
        let near = board.placing_near.clone();
        drop(board);
        self.dirty.notify_one();
        if let Some(digest) = passed_on {
            self.send(&Message::Digest(digest), &near);
        }
    }
}
