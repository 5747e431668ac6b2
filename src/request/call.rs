//! Serves a short call to a plain service.
//!
//! A repeatable call is retried on another upstream when one fails, within a retry budget. One that
//! isn't repeatable is claimed first, sent at most once, and its answer is recorded before the
//! caller gets it
//! ([docs/DESIGN.md](../../docs/DESIGN.md#claims)).

use std::sync::Arc;
use std::time::Duration;

use hyper::ext::ReasonPhrase;
use reqwest::header::RETRY_AFTER;

use crate::control::blackboard::InFlight;
use crate::control::health::Observation;
use crate::error::{Error, Kind, Result};
use crate::gateway::policy::answer_end::Framing;
use crate::gateway::policy::answer_head::{self, LineEnds, SoundHead, Spoilt};
use crate::gateway::{dialect, headers};
use crate::limited;
use crate::metrics::Sample;
use crate::node::Node;
use crate::records::record::{Answer, Identity, Kind as RecordKind, Op, Outcome, Record};
use crate::records::vote::Verdict;
use crate::request::claim::{self, ClaimRequest, Claimed};
use crate::request::registry::{Note, Row};
use crate::wire::{Inquiry, RunState};

/// How many upstreams are tried.
const MAX_ATTEMPTS: usize = 3;
/// A claim that is older than this when the call could be sent is released, since this process may
/// have been paused. Far shorter than the retry horizon, for which holders keep the claim.
const MAX_CLAIM_AGE_MS: u64 = 10_000;
/// How often an outcome is sent to the holders before the caller gets its answer anyway.
const MAX_SETTLE_ATTEMPTS: u32 = 3;
/// After what time to retry a call that still runs.
const RUNNING_RETRY_MS: u64 = 1_000;
/// How long an owner may take to report the state of a run.
const INQUIRY_TIMEOUT_MS: u64 = 300;
/// An owner that has not answered for so long counts as lost.
const OWNER_LOST_AFTER_MS: u64 = 1_000;
/// After what time to retry if no upstream accepts work.
const NO_UPSTREAM_RETRY_MS: u64 = 1_000;
/// The longest body of an upstream's answer.
const ANSWER_LIMIT_BYTES: usize = 8 << 20;

/// A caller's call.
#[derive(Debug, Clone)]
pub struct Call {
    /// The organisation that sent it.
    pub organisation: Arc<str>,
    /// The service.
    pub service: Arc<str>,
    /// The HTTP method.
    pub method: reqwest::Method,
    /// The path under the service, and the query.
    pub path: String,
    /// The value of `content-type`.
    pub content_type: Option<String>,
    /// The body.
    pub body: bytes::Bytes,
    /// The caller's idempotency key, prefixed with the organisation.
    pub key: Option<Arc<str>>,
    /// A hash of the service, method, path and body: two calls with one key must have the same.
    pub body_hash: u64,
    /// Whether it may be run more than once.
    pub repeat: bool,
    /// When the caller stops waiting.
    pub deadline_ms: u64,
}

/// An answer, and whether it is a replay.
#[derive(Debug)]
pub struct Served {
    /// What the service answered.
    pub answer: Answer,
    /// Whether it comes from an earlier run of the same key.
    pub is_replayed: bool,
}

/// The result of sending a call to one upstream.
enum SendOutcome {
    /// The service answered.
    Answered(Answer),
    /// The call can't have reached the service.
    NotSent,
    /// The call may have run.
    Unknown,
}

/// Serves a call.
///
/// # Errors
///
/// Any kind of [`crate::error::Category`]; whether the call has run is part of the error.
pub async fn serve(node: &Arc<Node>, call: &Call) -> Result<Served> {
    let since_ms = node.clock.now_ms();
    let served =
        if call.repeat { serve_repeatable(node, call).await } else { serve_once(node, call).await };
    let outcome = match &served {
        Ok(Served { is_replayed: true, .. }) => "replayed",
        Ok(_) => "done",
        Err(error) => error.code(),
    };
    let total_ms = node.clock.now_ms() - since_ms;
    if served.is_err() {
        slog::info!(node.log, "a call has failed"; "request" => call.key.as_deref(),
            "organisation" => &*call.organisation, "service" => &*call.service,
            "outcome" => outcome, "total_ms" => total_ms);
    }
    let sample = Sample::without_answer(&call.organisation, &call.service, outcome, total_ms);
    node.registry.record(sample);
    served
}

async fn serve_repeatable(node: &Node, call: &Call) -> Result<Served> {
    let _permit = node.enter(&call.service, &call.organisation, call.deadline_ms).await?;
    let mut avoid = Vec::new();
    for _ in 0..MAX_ATTEMPTS {
        let Some(addr) = choose(node, call, &avoid) else { break };
        match send(node, call, &addr).await {
            SendOutcome::Answered(answer) => {
                deposit(node);
                return Ok(Served { answer, is_replayed: false });
            }
            SendOutcome::NotSent => node.report_observation(&addr, Observation::Refused),
            SendOutcome::Unknown if !withdraw(node) => {
                return Err(Kind::UpstreamFailed { service: call.service.to_string() }.into());
            }
            SendOutcome::Unknown => {}
        }
        avoid.push(addr);
    }
    Err(no_upstream(node, call))
}

async fn serve_once(node: &Arc<Node>, call: &Call) -> Result<Served> {
    let key = call.key.clone().ok_or_else(|| missing_key(call))?;
    let claim_request = ClaimRequest { key, kind: RecordKind::Call, body_hash: call.body_hash };
    let mut silent_since_ms = None;
    loop {
        let claimed_ms = node.clock.now_ms();
        match claim::acquire(node, &claim_request).await? {
            Claimed::Granted(identity) => {
                // A caller that disconnects must not cancel a claimed run halfway.
                let run = run_claimed(Arc::clone(node), call.clone(), identity, claimed_ms);
                let ran = tokio::spawn(run).await;
                return ran.unwrap_or_else(|_| Err(Kind::OutcomeUnknown.into()));
            }
            Claimed::Held(record) => {
                if let Some(ended) =
                    resolve_held_key(node, call, *record, &mut silent_since_ms).await
                {
                    return ended;
                }
            }
        }
    }
}

/// The caller's answer when another run holds the key; `None` to claim again.
async fn resolve_held_key(
    node: &Node,
    call: &Call,
    record: Record,
    silent_since_ms: &mut Option<u64>,
) -> Option<Result<Served>> {
    if let Some(outcome) = record.outcome {
        return Some(replay(outcome));
    }
    let state = match inquire(node, &record).await {
        Some(state) => {
            *silent_since_ms = None;
            state
        }
        None => {
            let since_ms = *silent_since_ms.get_or_insert(node.clock.now_ms());
            let is_lost = node.clock.now_ms().saturating_sub(since_ms) >= OWNER_LOST_AFTER_MS;
            // An owner that is slow for less than this isn't lost.
            if is_lost { RunState::Unknown } else { RunState::Active }
        }
    };
    if state == RunState::Abandoned {
        node.vote(&Op::Release { identity: record.identity }).await;
    }
    if node.clock.now_ms() < call.deadline_ms {
        claim::back_off().await;
        let is_lost = state == RunState::Unknown;
        return if is_lost { recheck_outcome(node, call).await } else { None };
    }
    let error = match state {
        RunState::Unknown => Kind::OutcomeUnknown,
        _ => Kind::InProgress { retry_after_ms: RUNNING_RETRY_MS },
    };
    Some(Err(error.into()))
}

/// Answers a repeated request with the recorded outcome.
fn replay(outcome: Outcome) -> Result<Served> {
    match outcome {
        Outcome::Answered(answer) => Ok(Served { answer, is_replayed: true }),
        Outcome::Evicted => Err(Kind::AnswerExpired.into()),
        _ => Err(Kind::OutcomeUnknown.into()),
    }
}

/// Reads the record again when its owner doesn't know the run: it may just have ended.
async fn recheck_outcome(node: &Node, call: &Call) -> Option<Result<Served>> {
    let key = call.key.clone()?;
    let claim_request = ClaimRequest { key, kind: RecordKind::Call, body_hash: call.body_hash };
    match claim::acquire(node, &claim_request).await {
        Ok(Claimed::Held(record)) => Some(replay(record.outcome.unwrap_or(Outcome::Unknown))),
        Ok(Claimed::Granted(identity)) => {
            claim::release(node, identity).await;
            None
        }
        Err(error) => Some(Err(error)),
    }
}

/// Asks a run's owner for its state; `None` if the owner doesn't answer.
async fn inquire(node: &Node, record: &Record) -> Option<RunState> {
    let nonce = record.identity.nonce;
    if record.owner.id == node.me.id {
        return Some(node.registry.state(nonce).await);
    }
    let question = Inquiry { nonce, state: RunState::Unknown };
    let addr = &record.owner.addr;
    let answer: Option<Inquiry> =
        node.peers.post(addr, "/peer/inquire", &question, INQUIRY_TIMEOUT_MS).await;
    answer.map(|answer| answer.state)
}

async fn run_claimed(
    node: Arc<Node>,
    call: Call,
    identity: Identity,
    claimed_ms: u64,
) -> Result<Served> {
    register(&node, &call, identity.nonce);
    let nonce = identity.nonce;
    let outcome = match dispatch(&node, &call, &identity, claimed_ms).await {
        Ok(outcome) => outcome,
        Err(not_run) => {
            claim::release(&node, identity).await;
            node.registry.close(nonce, not_run.code(), 0);
            return Err(not_run);
        }
    };
    settle(&node, identity, outcome.clone()).await;
    let Outcome::Answered(answer) = outcome else {
        node.registry.close(nonce, "unknown", 0);
        return Err(Kind::OutcomeUnknown.into());
    };
    node.registry.close(nonce, "done", 0);
    Ok(Served { answer, is_replayed: false })
}

fn register(node: &Node, call: &Call, nonce: u64) {
    let key = call.key.clone().unwrap_or_default();
    let row = Row::new(&key, nonce, &call.organisation, &call.service);
    node.registry.begin(row, None);
}

/// Sends a claimed call at most once.
///
/// # Errors
///
/// Only if the call has not run and never will under this claim.
async fn dispatch(
    node: &Node,
    call: &Call,
    identity: &Identity,
    claimed_ms: u64,
) -> Result<Outcome> {
    let _permit = node.enter(&call.service, &call.organisation, call.deadline_ms).await?;
    let mut avoid = Vec::new();
    for _ in 0..MAX_ATTEMPTS {
        let Some(addr) = choose(node, call, &avoid) else { break };
        let note = Note::Placed { upstream: Arc::clone(&addr), attempt: 1 };
        node.registry.note(identity.nonce, note);
        if node.clock.now_ms().saturating_sub(claimed_ms) > MAX_CLAIM_AGE_MS {
            return Err(Kind::ClaimUnavailable { retry_after_ms: RUNNING_RETRY_MS }.into());
        }
        match send(node, call, &addr).await {
            SendOutcome::Answered(answer) => return Ok(Outcome::Answered(answer)),
            SendOutcome::Unknown => return Ok(Outcome::Unknown),
            SendOutcome::NotSent => node.report_observation(&addr, Observation::Refused),
        }
        avoid.push(addr);
    }
    Err(no_upstream(node, call))
}

async fn settle(node: &Node, identity: Identity, outcome: Outcome) {
    let op = Op::Settle { identity, owner: node.owner(), term: 1, outcome };
    for _ in 0..MAX_SETTLE_ATTEMPTS {
        match node.vote(&op).await {
            Verdict::Accepted | Verdict::Fenced { .. } => return,
            _ => claim::back_off().await,
        }
    }
}

fn choose(node: &Node, call: &Call, avoid: &[Arc<str>]) -> Option<Arc<str>> {
    let affinity_key = call.key.as_deref().unwrap_or(&call.path);
    node.snapshot().choose(&call.service, None, affinity_key, avoid)
}

async fn send(node: &Node, call: &Call, addr: &Arc<str>) -> SendOutcome {
    let snapshot = node.snapshot();
    let _in_flight = snapshot.upstream(addr).map(|entry| InFlight::new(&entry.counters));
    let left_ms = call.deadline_ms.saturating_sub(node.clock.now_ms()).max(1);
    let url = format!("http://{addr}/{}", call.path);
    let mut request = node.calls.request(call.method.clone(), url);
    request = request.timeout(Duration::from_millis(left_ms)).body(call.body.clone());
    if let Some(content_type) = &call.content_type {
        request = request.header("content-type", content_type);
    }
    if let Some(key) = &call.key {
        request = request.header("idempotency-key", &**key);
    }
    let response = match request.send().await {
        Ok(response) => response,
        Err(error) if error.is_connect() || error.is_builder() => return SendOutcome::NotSent,
        Err(_) => return SendOutcome::Unknown,
    };
    if let Some(for_ms) = backoff_ms(&response) {
        node.report_observation(addr, Observation::BackOff { for_ms });
    }
    let judged = judge_head(&call.method, &response);
    let judged = judged.inspect_err(|spoilt| note_spoilt(node, addr, *spoilt));
    let Ok(head) = judged else { return SendOutcome::Unknown };
    let answered = read_answer(response).await;
    if head.framing == Framing::Stated {
        return answered;
    }
    let SendOutcome::Answered(answer) = &answered else { return answered };
    let judged = answer_head::judge_body(&answer.body, dialect::is_channel_field);
    if judged.inspect_err(|spoilt| note_spoilt(node, addr, *spoilt)).is_err()
        || !lives_on(node, addr).await
    {
        return SendOutcome::Unknown;
    }
    answered
}

/// Judges the head of an upstream's answer.
pub(super) fn judge_head(
    method: &reqwest::Method,
    response: &reqwest::Response,
) -> std::result::Result<SoundHead, Spoilt> {
    let reason = response.extensions().get::<ReasonPhrase>();
    let (status, headers) = (response.status(), response.headers());
    headers::judge_parts(method, status, reason, headers, LineEnds::default())
}

fn note_spoilt(node: &Node, addr: &str, spoilt: Spoilt) {
    slog::warn!(node.log, "answer refused as spoilt"; "reason" => %spoilt, "upstream" => addr);
}

/// Whether an upstream whose answer has just ended with its channel shows that its process lives
/// on: only then the answer is whole, since a crash closes the channel as well.
async fn lives_on(node: &Node, addr: &str) -> bool {
    let known = node.snapshot().upstream(addr).map(|entry| entry.report.load.incarnation);
    let load = node.engine.load(addr).await;
    load.is_some_and(|load| known.is_none_or(|known| known == 0 || known == load.incarnation))
}

/// The `Retry-After` of an upstream that refuses a request, if it sends one.
pub(super) fn backoff_ms(response: &reqwest::Response) -> Option<u64> {
    if !matches!(response.status().as_u16(), 429 | 503) {
        return None;
    }
    let retry_after_s =
        response.headers().get(RETRY_AFTER)?.to_str().ok()?.trim().parse::<f64>().ok()?;
    (retry_after_s.is_finite() && retry_after_s > 0.0).then_some((retry_after_s * 1_000.0) as u64)
}

async fn read_answer(response: reqwest::Response) -> SendOutcome {
    let status = response.status().as_u16();
    let header = response.headers().get("content-type");
    let content_type = header.and_then(|value| value.to_str().ok()).unwrap_or_default();
    let content_type = Arc::from(content_type);
    match limited::read(response, ANSWER_LIMIT_BYTES).await {
        Ok(body) => SendOutcome::Answered(Answer { status, content_type, body: body.to_vec() }),
        Err(_) => SendOutcome::Unknown,
    }
}

fn deposit(node: &Node) {
    if let Ok(mut budget) = node.budget.lock() {
        budget.deposit();
    }
}

fn withdraw(node: &Node) -> bool {
    node.budget.lock().is_ok_and(|mut budget| budget.withdraw())
}

fn no_upstream(node: &Node, call: &Call) -> Error {
    let service = call.service.to_string();
    let backoff_ms = node.snapshot().backoff_left_ms(&call.service, node.clock.now_ms());
    Kind::NoUpstream { service, retry_after_ms: backoff_ms.unwrap_or(NO_UPSTREAM_RETRY_MS) }.into()
}

fn missing_key(call: &Call) -> Error {
    Kind::NoIdempotencyKey { service: call.service.to_string() }.into()
}
