//! The controller of permits: it asks the owner of an upstream's token bucket, and grants them as one.

use std::net::SocketAddr;
use std::sync::Arc;

use super::super::membership::{Message, PermitAsk, Phase, Standing};
use super::super::policy::rate_limit::{self, Liveness};
use super::super::rate::{Permit, Rate};
use super::super::view::PermitRequest;
use super::{Board, Control};

/// How long an instance that fell silent may live on beyond a network partition.
const SILENT_COUNTS_MS: u64 = 10_000;

impl Control {
    /// Answers traffic's request for a permit, or passes it on to whoever keeps the bucket.
    pub(super) fn ask_permit(&self, request: PermitRequest) {
        let PermitRequest { upstream, rate, answer } = request;
        let mut board = self.board.borrow_mut();
        let Some(owner) = self.bucket_owner(&board, &upstream) else {
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
        self.send(&Message::AskPermit(PermitAsk { number, upstream, rate }), &[owner]);
    }

    /// Where the owner of an upstream's bucket is reached; `None` if that is this instance.
    fn bucket_owner(&self, board: &Board, upstream: &str) -> Option<SocketAddr> {
        let takes_part = |phase: Phase| phase != Phase::Starting;
        let others = board
            .membership
            .alive()
            .filter(|member| member.standing == Standing::Alive && takes_part(member.card.phase));
        let ids = others.map(|member| &member.card.registration.id);
        let me = takes_part(board.phase).then_some(&self.me.id);
        let owner = rate_limit::bucket_owner(upstream, ids.chain(me))?;
        let owner = board.membership.get(owner)?;
        Some(owner.card.registration.peer_addr)
    }

    fn grant(&self, board: &mut Board, upstream: &Arc<str>, rate: Rate) -> Permit {
        let now_ms = self.clock.now_ms();
        let alive = board.membership.alive().count() + 1;
        let silent = board.membership.silent_since(now_ms.saturating_sub(SILENT_COUNTS_MS));
        let permit =
            board.limiter.request_permit(upstream, rate, Liveness { alive, silent }, now_ms);
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
