//! The controller of rate limits: it has peers know the rates that upstreams name, asks the keeper of an
//! upstream's bucket for permits, and grants them as one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use super::super::membership::{Message, PermitAsk, Phase, RateNews, Standing};
use super::super::policy::rate_limit::{self, Quorum};
use super::super::rate::{Permit, Rate, Told};
use super::super::view::{PermitRequest, RateRequest};
use super::{Board, Control};

/// How long an instance that fell silent may live on beyond a network partition.
const SILENT_COUNTS_MS: u64 = 10_000;

impl Control {
    /// Takes what traffic here brings.
    pub(super) async fn keep_rate_limits(self: Rc<Control>) {
        loop {
            self.shared.rates_requested.notified().await;
            for request in self.shared.take_rate_requests() {
                match request {
                    RateRequest::Named(upstream, rate) => self.note_named(&upstream, rate),
                    RateRequest::Permit(request) => self.ask_permit(request),
                }
            }
        }
    }

    /// Has all instances hear of a rate that an upstream named here, if it is news.
    fn note_named(&self, upstream: &Arc<str>, rate: Rate) {
        let now_ms = self.clock.now_ms();
        let mut board = self.board.borrow_mut();
        let told = Told { upstream: Arc::clone(upstream), rate, age_ms: 0 };
        if !board.named_rates.note(&told, now_ms) {
            return;
        }
        let near = self.near_peers(&board);
        let far = self.one_of_each_other_domain(&board);
        drop(board);
        self.dirty.notify_one();
        let rates = vec![told];
        let news = RateNews { rates: rates.clone(), is_passed_on: false };
        self.send(&Message::NamedRates(news), &near);
        self.send(&Message::NamedRates(RateNews { rates, is_passed_on: true }), &far);
    }

    pub(super) fn hear_named_rates(&self, mut news: RateNews, now_ms: u64) {
        let mut board = self.board.borrow_mut();
        let named = &mut board.named_rates;
        news.rates.retain(|told| named.note(told, now_ms));
        if news.rates.is_empty() {
            return;
        }
        let near = self.near_peers(&board);
        drop(board);
        self.dirty.notify_one();
        if std::mem::take(&mut news.is_passed_on) {
            self.send(&Message::NamedRates(news), &near);
        }
    }

    /// Tells one living peer all rates that are known: messages may be lost, and it may have started
    /// since.
    pub(super) fn tell_named_rates_to_one(&self) {
        let board = self.board.borrow();
        let rates = board.named_rates.all(self.clock.now_ms());
        if rates.is_empty() {
            return;
        }
        let alive: Vec<SocketAddr> =
            board.membership.alive().map(|member| member.card.registration.peer_addr).collect();
        drop(board);
        if let Some(addr) = fastrand::choice(alive) {
            self.send(&Message::NamedRates(RateNews { rates, is_passed_on: false }), &[addr]);
        }
    }

    fn ask_permit(&self, request: PermitRequest) {
        let PermitRequest { upstream, rate, answer } = request;
        let mut board = self.board.borrow_mut();
        let Some(keeper) = self.keeper(&board, &upstream) else {
            let permit = self.grant(&mut board, &upstream, rate);
            // Whoever asked may have given up.
            let _ = answer.send(permit);
            return;
        };
        board.permits.retain(|_, waiting| !waiting.is_closed());
        board.permit_number += 1;
        let number = board.permit_number;
        board.permits.insert(number, answer);
        drop(board);
        self.send(&Message::AskPermit(PermitAsk { number, upstream, rate }), &[keeper]);
    }

    /// Where the keeper of an upstream's bucket is reached; `None` if that is this instance.
    fn keeper(&self, board: &Board, upstream: &str) -> Option<SocketAddr> {
        let takes_part = |phase: Phase| phase != Phase::Starting;
        let others = board
            .membership
            .alive()
            .filter(|member| member.standing == Standing::Alive && takes_part(member.card.phase));
        let ids = others.map(|member| &member.card.registration.id);
        let me = takes_part(board.phase).then_some(&self.me.id);
        let keeper = rate_limit::keeper(upstream, ids.chain(me))?;
        let keeper = board.membership.get(keeper)?;
        Some(keeper.card.registration.peer_addr)
    }

    fn grant(&self, board: &mut Board, upstream: &Arc<str>, rate: Rate) -> Permit {
        let now_ms = self.clock.now_ms();
        let alive = board.membership.alive().count() + 1;
        let silent = board.membership.silent_since(now_ms.saturating_sub(SILENT_COUNTS_MS));
        let permit = board.limiter.ask(upstream, rate, Quorum { alive, silent }, now_ms);
        self.metrics.count(match permit {
            Permit::Granted => "permits_granted",
            Permit::Wait { .. } => "permits_refused",
        });
        permit
    }

    pub(super) fn hear_permit_ask(&self, ask: PermitAsk, from: SocketAddr) {
        let permit = self.grant(&mut self.board.borrow_mut(), &ask.upstream, ask.rate);
        self.send(&Message::Permit(ask.number, permit), &[from]);
    }

    pub(super) fn hear_permit(&self, number: u64, permit: Permit) {
        if let Some(answer) = self.board.borrow_mut().permits.remove(&number) {
            // Whoever asked may have given up.
            let _ = answer.send(permit);
        }
    }
}
