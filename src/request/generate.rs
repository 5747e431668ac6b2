//! Opens a generation for a caller: joins an existing run or starts one.

use std::sync::Arc;

use crate::control::blackboard::Snapshot;
use crate::error::{self, Error, Kind, Result};
use crate::node::Node;
use crate::records::record::{Identity, Outcome, Record};
use crate::request::claim::{self, Claimed};
use crate::request::follow;
use crate::request::generation::Generation;
use crate::request::generation_request::GenerationRequest;
use crate::request::registry::Row;
use crate::request::runner::{self, Runner};
use crate::request::shared::{Shared, State};

/// Joins the run of a caller's generation, or starts one.
///
/// # Errors
///
/// `key_reused`, `claim_unavailable`, `answer_expired` or `answer_lost`.
pub async fn open(node: &Arc<Node>, generation_request: GenerationRequest) -> Result<Arc<Shared>> {
    if let Some(shared) = node.registry.find(&generation_request.claim_request.key).await {
        if shared.body_hash != generation_request.claim_request.body_hash {
            return Err(Kind::KeyReused.into());
        }
        check_event(&generation_request, shared.nonce)?;
        return Ok(shared);
    }
    match claim::acquire(node, &generation_request.claim_request).await? {
        Claimed::Granted(identity) => start(node, generation_request, identity).await,
        Claimed::Held(record) => join(node, generation_request, *record),
    }
}

/// A caller can resume only the run that it has received tokens of.
fn check_event(generation_request: &GenerationRequest, nonce: u64) -> Result<()> {
    match generation_request.last_event {
        Some(event) if event.nonce != nonce => Err(Kind::AnswerLost.into()),
        _ => Ok(()),
    }
}

async fn start(
    node: &Arc<Node>,
    generation_request: GenerationRequest,
    identity: Identity,
) -> Result<Arc<Shared>> {
    if generation_request.last_event.is_some() {
        claim::release(node, identity).await;
        return Err(Kind::AnswerLost.into());
    }
    let shared = Arc::new(Shared::new(identity.nonce, identity.body_hash));
    register(node, &generation_request, &shared);
    let node = Arc::clone(node);
    let for_task = Arc::clone(&shared);
    let streams = node.streams.clone();
    streams.spawn(wait_and_run(node, generation_request, identity, for_task));
    Ok(shared)
}

fn join(
    node: &Arc<Node>,
    generation_request: GenerationRequest,
    record: Record,
) -> Result<Arc<Shared>> {
    check_event(&generation_request, record.identity.nonce)?;
    let shared = Arc::new(Shared::new(record.identity.nonce, record.identity.body_hash));
    match record.outcome {
        Some(Outcome::Finished { tokens, reason }) => {
            shared.release(&record.journal, tokens);
            shared.set(State::Finished { reason });
        }
        Some(_) => return Err(Kind::AnswerExpired.into()),
        None => {
            register(node, &generation_request, &shared);
            let follower =
                follow::Follower::new(Arc::clone(node), generation_request, Arc::clone(&shared));
            node.streams.spawn(follower.run(record));
        }
    }
    Ok(shared)
}

/// Lists the generation for peers, operators and other callers with the same key.
fn register(node: &Node, generation_request: &GenerationRequest, shared: &Arc<Shared>) {
    let GenerationRequest { claim_request, organisation, service, .. } = generation_request;
    let row = Row::new(&claim_request.key, shared.nonce, organisation, service);
    node.registry.begin(row, Some(Arc::clone(shared)));
}

async fn wait_and_run(
    node: Arc<Node>,
    generation_request: GenerationRequest,
    identity: Identity,
    shared: Arc<Shared>,
) {
    let since_ms = node.clock.now_ms();
    let policy = runner::policy_of(&node, &generation_request.service);
    match node
        .enter(&generation_request.service, &generation_request.organisation, policy.deadline_ms)
        .await
    {
        Ok(permit) => {
            let generation = Generation::new(identity, node.owner(), policy);
            Runner::new(node, generation_request, shared, generation, since_ms)
                .run(Some(permit))
                .await;
        }
        Err(error) => {
            claim::release(&node, identity).await;
            shared.fail(&error);
            let sample = generation_request.sample("refused", node.clock.now_ms() - since_ms);
            node.registry.end(shared.nonce, sample);
        }
    }
}

/// The error for a model that has no active version.
pub fn no_model(snapshot: &Snapshot, name: &str) -> Error {
    let known = snapshot.document.models.keys().map(|key| &**key);
    let hint = error::did_you_mean(name, known);
    Kind::NoModel { name: name.to_owned(), hint }.into()
}
