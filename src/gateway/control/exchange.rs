//! The controller that exchanges beats and updates with peers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;

use super::super::fleet::Upstream;
use super::super::peers::{BEAT_MS, Beat, Message, Phase, Update};
use super::Control;

/// How long news of traffic gather before peers hear of them: a burst of placements or losses
/// comes within a few milliseconds.
const NEWS_MS: u64 = 5;
/// The longest datagram.
const DATAGRAM_BYTES: usize = 32 << 10;

/// Sends a message to each address; one that is lost is followed by others that say as much.
fn send(socket: &UdpSocket, message: &Message, addrs: &[SocketAddr]) {
    let Ok(bytes) = rmp_serde::to_vec(message) else { return };
    for addr in addrs {
        let _ = socket.try_send_to(&bytes, *addr);
    }
}

impl Control {
    pub(super) async fn send_beats(self: Rc<Control>, socket: Rc<UdpSocket>) {
        loop {
            tokio::time::sleep(Duration::from_millis(BEAT_MS)).await;
            let now_ms = self.clock.now_ms();
            let message = Message::Beat(Box::new(self.beat()));
            let due = {
                let mut board = self.board.borrow_mut();
                board.fleet.expire(now_ms);
                let is_heard = Control::is_directory_heard(&board, now_ms);
                if board.found.note_directory(is_heard, now_ms) {
                    slog::info!(self.log, "engines found meanwhile count only as listed");
                }
                board.peers.due(&self.settings.seeds, self.me.peer_addr, now_ms)
            };
            send(&socket, &message, &due);
            self.dirty.notify_one();
            self.note_gauges(now_ms);
            self.fetch_if_behind(now_ms);
        }
    }

    pub(super) async fn send_updates(self: Rc<Control>, socket: Rc<UdpSocket>) {
        loop {
            self.shared.news.notified().await;
            // What follows at once goes with it.
            tokio::time::sleep(Duration::from_millis(NEWS_MS)).await;
            if let Some(update) = self.update() {
                let all = self.board.borrow().peers.all(self.me.peer_addr);
                send(&socket, &Message::Update(update), &all);
            }
        }
    }

    /// Tells all peers of engines that this instance found; the beats of all repeat them.
    pub(super) async fn send_found(self: Rc<Control>, socket: Rc<UdpSocket>) {
        loop {
            self.found_news.notified().await;
            tokio::time::sleep(Duration::from_millis(NEWS_MS)).await;
            let (found, all) = {
                let mut board = self.board.borrow_mut();
                let found = std::mem::take(&mut board.found_news);
                (found, board.peers.all(self.me.peer_addr))
            };
            send(&socket, &Message::Found(found), &all);
        }
    }

    pub(super) fn beat(&self) -> Beat {
        let own = self.shared.own();
        let mut board = self.board.borrow_mut();
        board.messages += 1;
        board.told.note_beat(&own);
        let now_ms = self.clock.now_ms();
        let introduced = board.peers.acquaintance(now_ms, &mut fastrand::Rng::new());
        Beat {
            from: self.me.clone(),
            count: board.messages,
            phase: board.phase,
            versions: Control::versions(&board),
            own,
            introduced,
            found: board.found.sample(&mut fastrand::Rng::new()),
        }
    }

    /// What changed since the last update, if anything did.
    pub(super) fn update(&self) -> Option<Update> {
        let own = self.shared.own();
        let mut board = self.board.borrow_mut();
        let versions = Control::versions(&board);
        let phase = board.phase;
        let news = board.told.take(own, versions, phase)?;
        board.messages += 1;
        Some(Update {
            id: Arc::clone(&self.me.id),
            incarnation: self.me.incarnation,
            count: board.messages,
            phase,
            versions,
            news,
        })
    }

    pub(super) async fn hear_beats(self: Rc<Control>, socket: Rc<UdpSocket>) {
        let mut buffer = vec![0; DATAGRAM_BYTES];
        loop {
            let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
                tokio::time::sleep(Duration::from_millis(BEAT_MS)).await;
                continue;
            };
            match rmp_serde::from_slice(&buffer[..length]) {
                Ok(Message::Beat(beat)) if beat.from.id != self.me.id => self.hear_beat(*beat),
                Ok(Message::Update(update)) => self.hear_update(update),
                Ok(Message::Found(found)) => self.hear_found(found),
                Ok(Message::Beat(_)) => {}
                Err(_) => self.metrics.count("messages_unreadable"),
            }
        }
    }

    pub(super) fn hear_beat(self: &Rc<Control>, mut beat: Beat) {
        let now_ms = self.clock.now_ms();
        let introduced = beat.introduced.take().filter(|other| other.id != self.me.id);
        if let Some(other) = introduced {
            self.board.borrow_mut().peers.introduce(other, now_ms);
        }
        self.hear_found(std::mem::take(&mut beat.found));
        let id = Arc::clone(&beat.from.id);
        let is_urgent = beat.phase == Phase::Stopping;
        let is_back = self.board.borrow_mut().peers.hear(beat, now_ms);
        if is_back {
            slog::info!(self.log, "peer heard"; "peer" => &*id);
        }
        if is_back || is_urgent {
            self.dirty.notify_one();
        }
        self.fetch_if_behind(now_ms);
    }

    fn hear_found(&self, found: Vec<Upstream>) {
        for upstream in found {
            self.take_found(upstream);
        }
    }

    pub(super) fn hear_update(self: &Rc<Control>, update: Update) {
        let now_ms = self.clock.now_ms();
        if self.board.borrow_mut().peers.update(update, now_ms) {
            self.dirty.notify_one();
            self.fetch_if_behind(now_ms);
        }
    }
}
