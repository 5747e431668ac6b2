//! Getting the right to run a request, and giving it back.

use std::sync::Arc;
use std::time::Duration;

use crate::error::{Kind, Result};
use crate::node::Node;
use crate::records::record::{Identity, Kind as RecordKind, Op, Record};
use crate::records::vote::Verdict;

/// How long a claim is tried anew while epochs change, runs collide or holders sync.
const PATIENCE_MS: u64 = 2_000;
/// When to come back if the holders can't be reached.
const RETRY_MS: u64 = 1_000;
/// The longest wait between two tries.
const WAIT_MS: u64 = 40;

/// What a request is, before it has a run.
#[derive(Debug, Clone)]
pub struct Ask {
    /// `ORGANISATION/IDEMPOTENCY-KEY`.
    pub key: Arc<str>,
    /// What kind of request it is.
    pub kind: RecordKind,
    /// A hash of its body.
    pub body_hash: u64,
}

/// What became of a claim.
#[derive(Debug)]
pub enum Claimed {
    /// This run may go on.
    Granted(Identity),
    /// Another run has the key.
    Held(Box<Record>),
}

/// Claims a key for a new run.
///
/// # Errors
///
/// `key_reused`, or `claim_unavailable`: then nothing was run and nothing will be.
pub async fn take(node: &Node, ask: &Ask) -> Result<Claimed> {
    let give_up_ms = node.clock.now_ms() + PATIENCE_MS;
    loop {
        let identity = Identity {
            key: Arc::clone(&ask.key),
            kind: ask.kind,
            body_hash: ask.body_hash,
            nonce: fastrand::u64(1..),
        };
        node.registry.claiming(identity.nonce);
        let op = Op::Claim { identity: identity.clone(), owner: node.owner() };
        let verdict = node.vote(&op).await;
        if let Verdict::Granted(_) = verdict {
            return Ok(Claimed::Granted(identity));
        }
        give_back(node, identity).await;
        let retry_after_ms = match verdict {
            Verdict::Conflict => return Err(Kind::KeyReused.into()),
            Verdict::Held(record) => return Ok(Claimed::Held(record)),
            Verdict::Quarantined { left_ms } => left_ms,
            _ if node.clock.now_ms() > give_up_ms => RETRY_MS,
            _ => {
                pause().await;
                continue;
            }
        };
        return Err(Kind::ClaimUnavailable { retry_after_ms }.into());
    }
}

/// Gives a run's claim back; the run must never have been acted on, and never will be.
pub async fn give_back(node: &Node, identity: Identity) {
    node.registry.abandon(identity.nonce);
    node.vote(&Op::Release { identity }).await;
}

/// A short wait of random length, so that colliding runs part.
pub async fn pause() {
    tokio::time::sleep(Duration::from_millis(fastrand::u64(1..WAIT_MS))).await;
}
