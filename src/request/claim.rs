//! Acquires the claim on a key, the right to run its request, and releases it.

use std::sync::Arc;
use std::time::Duration;

use crate::error::{Kind, Result};
use crate::node::Node;
use crate::records::record::{Identity, Kind as RecordKind, Op, Record};
use crate::records::vote::Verdict;

/// How long a claim is retried while epochs change, runs collide or holders sync.
const CLAIM_TIMEOUT_MS: u64 = 2_000;
/// After what time to retry if the holders can't be reached.
const HOLDERS_RETRY_MS: u64 = 1_000;
/// The longest pause between two attempts.
const MAX_BACKOFF_MS: u64 = 40;

/// What is claimed: a request that has no run yet.
#[derive(Debug, Clone)]
pub struct ClaimRequest {
    /// `ORGANISATION/IDEMPOTENCY-KEY`.
    pub key: Arc<str>,
    /// What kind of request it is.
    pub kind: RecordKind,
    /// A hash of its body.
    pub body_hash: u64,
}

/// The result of a claim.
#[derive(Debug)]
pub enum Claimed {
    /// This run has the key.
    Granted(Identity),
    /// Another run has the key.
    Held(Box<Record>),
}

/// Claims a key for a new run.
///
/// # Errors
///
/// `key_reused` or `claim_unavailable`; the request has not run and will not run.
pub async fn acquire(node: &Node, claim_request: &ClaimRequest) -> Result<Claimed> {
    let timeout_at_ms = node.clock.now_ms() + CLAIM_TIMEOUT_MS;
    loop {
        let identity = Identity {
            key: Arc::clone(&claim_request.key),
            kind: claim_request.kind,
            body_hash: claim_request.body_hash,
            nonce: fastrand::u64(1..),
        };
        node.registry.claiming(identity.nonce);
        let op = Op::Claim { identity: identity.clone(), owner: node.owner() };
        let verdict = node.vote(&op).await;
        if let Verdict::Granted(_) = verdict {
            return Ok(Claimed::Granted(identity));
        }
        release(node, identity).await;
        let retry_after_ms = match verdict {
            Verdict::Conflict => return Err(Kind::KeyReused.into()),
            Verdict::Held(record) => return Ok(Claimed::Held(record)),
            Verdict::Quarantined { left_ms } => left_ms,
            _ if node.clock.now_ms() > timeout_at_ms => HOLDERS_RETRY_MS,
            _ => {
                back_off().await;
                continue;
            }
        };
        return Err(Kind::ClaimUnavailable { retry_after_ms }.into());
    }
}

/// Releases the claim of a run for which nothing was sent to an upstream and nothing will be.
pub async fn release(node: &Node, identity: Identity) {
    node.registry.abandon(identity.nonce);
    node.vote(&Op::Release { identity }).await;
}

/// A short pause with jitter, so that colliding runs don't collide again.
pub async fn back_off() {
    tokio::time::sleep(Duration::from_millis(fastrand::u64(1..MAX_BACKOFF_MS))).await;
}
