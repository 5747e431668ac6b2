//! The controller of what upstreams ask for in their answers: it has all instances know.

use std::net::SocketAddr;
use std::rc::Rc;

use super::super::membership::{Message, SignalNews};
use super::super::rate::AdvertisedRate;
use super::super::view::Signal;
use super::{Board, Control};

impl Control {
    /// Takes what traffic here brings.
    pub(super) async fn keep_signals(self: Rc<Control>) {
        loop {
            self.shared.signalled.notified().await;
            for signal in self.shared.take_signals() {
                match signal {
                    Signal::Rate(upstream, rate) => self.take_news(SignalNews {
                        rates: vec![AdvertisedRate { upstream, rate, age_ms: 0 }],
                        ..SignalNews::default()
                    }),
                    Signal::Departure(departure) => self.take_news(SignalNews {
                        departures: vec![departure],
                        ..SignalNews::default()
                    }),
                    Signal::PermitWanted(request) => self.ask_permit(request),
                    Signal::NoUpstreamLeft => self.widen_share(),
                    Signal::UpstreamWanted(id) => self.ask_upstream(id),
                }
            }
        }
    }

    /// Takes in what an upstream said to this instance; all others hear of it if it is news.
    fn take_news(&self, news: SignalNews) {
        let mut board = self.board.borrow_mut();
        let Some(news) = self.note_news(&mut board, news) else { return };
        let near = self.near_peers(&board);
        let far = self.one_of_each_other_domain(&board);
        drop(board);
        self.send(&Message::Signals(news.clone()), &near);
        self.send(&Message::Signals(SignalNews { is_passed_on: true, ..news }), &far);
    }

    /// Takes in what a peer was told; this failure domain hears of it if it is news and came from
    /// another one.
    pub(super) fn hear_signals(&self, news: SignalNews) {
        let mut board = self.board.borrow_mut();
        let Some(mut news) = self.note_news(&mut board, news) else { return };
        let near = self.near_peers(&board);
        drop(board);
        if std::mem::take(&mut news.is_passed_on) {
            self.send(&Message::Signals(news), &near);
        }
    }

    /// Notes what is news, and returns that.
    fn note_news(&self, board: &mut Board, mut news: SignalNews) -> Option<SignalNews> {
        let now_ms = self.clock.now_ms();
        news.rates.retain(|told| board.named_rates.note(told, now_ms));
        news.departures.retain(|departure| board.departures.note(departure, now_ms));
        if news.is_empty() {
            return None;
        }
        self.dirty.notify_one();
        Some(news)
    }

    /// Tells one living peer everything: messages may be lost, and it may have started since.
    pub(super) fn tell_signals_to_one(&self) {
        let board = self.board.borrow();
        let news = SignalNews {
            rates: board.named_rates.all(self.clock.now_ms()),
            departures: board.departures.all(),
            is_passed_on: false,
        };
        if news.is_empty() {
            return;
        }
        let alive: Vec<SocketAddr> =
            board.membership.alive().map(|member| member.card.registration.peer_addr).collect();
        drop(board);
        if let Some(addr) = fastrand::choice(alive) {
            self.send(&Message::Signals(news), &[addr]);
        }
    }
}
