//! Permits to send requests to rate-limited upstreams: requests them from the owner of the upstream's token
//! bucket, and grants them for the buckets that this instance owns.

use std::net::SocketAddr;
use std::sync::Arc;

use super::super::membership::{MemberState, Message, PermitQuery, Phase};
use super::super::policy::rate_limit::{self, Liveness};
use super::super::rate::{Permit, Rate};
use super::super::view::PermitRequest;
use super::{Control, ControlState};

/// How long an instance that fell silent counts as possibly alive beyond a network partition, where another
/// owner may grant permits for the same rate limit.
const SILENT_MAYBE_ALIVE_MS: u64 = 10_000;

impl Control {
    /// Answers a permit request of this instance, or sends it to the owner of the bucket.
    pub(super) fn request_permit(&self, request: PermitRequest) {
        let PermitRequest { upstream, rate, answer } = request;
        let mut state = self.state.borrow_mut();
        let Some(owner) = self.bucket_owner(&state, &upstream) else {
            let permit = self.grant(&mut state, &upstream, rate);
            // The requester may have given up.
            let _ = answer.send(permit);
            return;
        };
        state.pending_permits.retain(|_, answer| !answer.is_closed());
        state.last_permit_number += 1;
        let number = state.last_permit_number;
        state.pending_permits.insert(number, answer);
        drop(state);
        self.send(&Message::AskPermit(PermitQuery { number, upstream, rate }), &[owner]);
    }

    /// The address of the owner of an upstream's bucket; `None` if this instance is the owner.
    fn bucket_owner(&self, state: &ControlState, upstream: &str) -> Option<SocketAddr> {
        let is_eligible = |phase: Phase| phase != Phase::Starting;
        let others = state.membership.alive().filter(|member| {
            member.state == MemberState::Alive && is_eligible(member.descriptor.phase)
        });
        let ids = others.map(|member| &member.descriptor.registration.id);
        let me = is_eligible(state.phase).then_some(&self.me.id);
        let owner = rate_limit::bucket_owner(upstream, ids.chain(me))?;
        let owner = state.membership.get(owner)?;
        Some(owner.descriptor.registration.peer_addr)
    }

    fn grant(&self, state: &mut ControlState, upstream: &Arc<str>, rate: Rate) -> Permit {
        let now_ms = self.clock.now_ms();
        let alive = state.membership.alive().count() + 1;
        let since_ms = now_ms.saturating_sub(SILENT_MAYBE_ALIVE_MS);
        let silent = state.membership.unplanned_deaths_since(since_ms).count();
        let permit =
            state.limiter.request_permit(upstream, rate, Liveness { alive, silent }, now_ms);
        self.metrics.count(match permit {
            Permit::Granted => "permits_granted",
            Permit::Wait { .. } => "permits_refused",
        });
        permit
    }

    pub(super) fn handle_permit_request(&self, request: PermitQuery, from: SocketAddr) {
        let permit = self.grant(&mut self.state.borrow_mut(), &request.upstream, request.rate);
        self.send(&Message::Permit(request.number, permit), &[from]);
    }

    pub(super) fn handle_permit_answer(&self, number: u64, permit: Permit) {
        if let Some(answer) = self.state.borrow_mut().pending_permits.remove(&number) {
            // The requester may have given up.
            let _ = answer.send(permit);
        }
    }
}
