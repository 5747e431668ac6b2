//! The HTTP endpoints of an instance, for callers, operators and peers.

use std::sync::Arc;

use salvo::http::{HeaderValue, Method};
use salvo::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;
use xxhash_rust::xxh3::xxh3_64;

use crate::control::control_loop;
use crate::control::membership::Member;
use crate::control::peers::Exchange;
use crate::error::{Error, Kind, Result};
use crate::node::Node;
use crate::operators::document::{Document, ServiceKind};
use crate::operators::operate;
use crate::records::record::Kind as RecordKind;
use crate::request::auth;
use crate::request::call::{self, Call};
use crate::request::claim::ClaimRequest;
use crate::request::generate;
use crate::request::generation_request::{EventId, GenerationRequest};
use crate::request::intake;
use crate::request::reply;
use crate::wire::{self, AskHandover, Batch, Inquiry, Replies, Status, Witness};

/// The longest message of a peer.
const PEER_LIMIT_BYTES: usize = 256 << 20;
/// The longest idempotency key.
const KEY_LIMIT: usize = 200;
/// The default of `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 1_024;
/// How long a witness tries to reach a suspect.
const WITNESS_PROBE_MS: u64 = 400;
/// After what time to retry at an instance that isn't in service yet.
const NOT_SERVING_RETRY_MS: u64 = 500;

/// The router of all endpoints.
pub fn router(node: Arc<Node>) -> Router {
    Router::new()
        .hoop(salvo::affix_state::inject(node))
        .hoop(intake::follow_callers)
        .push(Router::with_path("v1/addresses").get(answer_addresses))
        .push(Router::with_path("v1/completions").post(take_completion))
        .push(Router::with_path("v1/services/{service}/{**path}").goal(take_call))
        .push(Router::with_path("v1/operator").post(take_command))
        .push(
            Router::with_path("peer")
                .hoop(only_peers)
                .push(Router::with_path("records").post(apply_records))
                .push(Router::with_path("exchange").post(take_exchange))
                .push(Router::with_path("handover").post(answer_handover))
                .push(Router::with_path("witness").post(answer_witness))
                .push(Router::with_path("inquire").post(answer_inquiry))
                .push(Router::with_path("status").post(answer_status))
                .push(Router::with_path("rows").post(answer_rows))
                .push(Router::with_path("points").post(answer_points))
                .push(Router::with_path("follow").get(follow_owner)),
        )
}

fn node_of(depot: &Depot) -> Arc<Node> {
    Arc::clone(depot.get_typed::<Arc<Node>>().expect("the node is injected above"))
}

#[derive(Serialize)]
struct Addresses {
    addresses: Vec<Address>,
    keep_ms: u64,
}

#[derive(Serialize)]
struct Address {
    address: Arc<str>,
    domain: Arc<str>,
}

#[handler]
async fn answer_addresses(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let node = node_of(depot);
    let snapshot = node.snapshot();
    let near = req.query::<String>("domain").unwrap_or_else(|| node.me.domain.to_string());
    let mut members: Vec<&Member> = snapshot.table.roster.members.iter().collect();
    // Callers take the first address, so that the order spreads them.
    fastrand::shuffle(&mut members);
    members.sort_by_key(|member| *member.domain != *near);
    let address = |member: &&Member| Address {
        address: Arc::clone(&member.addr),
        domain: Arc::clone(&member.domain),
    };
    let addresses = members.iter().map(address).collect();
    res.render(Json(Addresses { addresses, keep_ms: node.settings.keep_ms }));
}

#[derive(Deserialize)]
struct Completion {
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[handler]
async fn take_completion(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let node = node_of(depot);
    let _open = node.open();
    if let Err(error) = complete(&node, req, res).await {
        reply::render_error(res, &error);
    }
}

async fn complete(node: &Arc<Node>, req: &mut Request, res: &mut Response) -> Result<()> {
    let snapshot = node.snapshot();
    let organisation = authenticate(&snapshot.document, req)?;
    let key = idempotency_key(req)?.unwrap_or_else(|| format!("auto-{:016x}", fastrand::u64(..)));
    let last_event = last_event(req)?;
    let (body, _held) = intake::read_body(node, req).await?;
    let parsed: Completion = serde_json::from_slice(&body).map_err(malformed)?;
    let name = parsed.model.as_str();
    let model = snapshot.document.models.get(name);
    let model = model.ok_or_else(|| generate::no_model(&snapshot, name))?;
    refuse_if_not_serving(node)?;
    let generation_request = GenerationRequest {
        claim_request: ClaimRequest {
            key: Arc::from(format!("{organisation}/{key}")),
            kind: RecordKind::Generation,
            body_hash: hash_of(&["generation"], &body),
        },
        organisation,
        service: Arc::clone(&model.service),
        model: Arc::from(format!("{name}@{}", model.version)),
        prompt: Arc::from(parsed.prompt),
        max_tokens: parsed.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
        last_event,
    };
    let shared = generate::open(node, generation_request).await?;
    if let Ok(value) = HeaderValue::from_str(&key) {
        res.headers_mut().insert("idempotency-key", value);
    }
    if let Err(failed) = reply::started(&shared).await {
        reply::render_failed(res, &failed);
        return Ok(());
    }
    if parsed.stream {
        let next = last_event.map_or(0, |event| event.index + 1);
        reply::stream_events(res, shared, next, node.open());
    } else {
        reply::render_full(res, &shared).await;
    }
    Ok(())
}

#[handler]
async fn take_call(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let node = node_of(depot);
    let _open = node.open();
    if let Err(error) = serve_call(&node, req, res).await {
        reply::render_error(res, &error);
    }
}

async fn serve_call(node: &Arc<Node>, req: &mut Request, res: &mut Response) -> Result<()> {
    let snapshot = node.snapshot();
    let organisation = authenticate(&snapshot.document, req)?;
    let name = req.param::<String>("service").unwrap_or_default();
    let service = find_plain(&snapshot.document, &name)?;
    let (body, _held) = intake::read_body(node, req).await?;
    refuse_if_not_serving(node)?;
    let path = req.param::<String>("path").unwrap_or_default();
    let path = match req.uri().query() {
        Some(query) => format!("{path}?{query}"),
        None => path,
    };
    let method = req.method().clone();
    let is_safe = method == Method::GET || method == Method::HEAD;
    let key = idempotency_key(req)?.map(|key| Arc::from(format!("{organisation}/{key}")));
    let call = Call {
        organisation,
        body_hash: hash_of(&["call", &name, method.as_str(), &path], &body),
        service: Arc::from(name),
        method,
        path,
        content_type: req.header::<String>("content-type"),
        body,
        key,
        repeat: service.repeat || is_safe,
        deadline_ms: node.clock.now_ms() + service.deadline_ms,
    };
    let served = call::serve(node, &call).await?;
    let status = StatusCode::from_u16(served.answer.status);
    res.status_code(status.unwrap_or(StatusCode::BAD_GATEWAY));
    if let Ok(content_type) = HeaderValue::from_str(&served.answer.content_type) {
        res.headers_mut().insert("content-type", content_type);
    }
    if served.is_replayed {
        res.headers_mut().insert("idempotent-replayed", HeaderValue::from_static("true"));
    }
    res.body(served.answer.body);
    Ok(())
}

fn find_plain<'a>(
    document: &'a Document,
    name: &str,
) -> Result<&'a crate::operators::document::Service> {
    let plain = |kind| kind == ServiceKind::Plain;
    let found = document.services.get(name).filter(|service| plain(service.kind));
    found.ok_or_else(|| {
        let known = document.services.iter().filter(|(_, service)| plain(service.kind));
        let hint = crate::error::did_you_mean(name, known.map(|(name, _)| &**name));
        Kind::NoService { name: name.to_owned(), hint }.into()
    })
}

fn authenticate(document: &Document, req: &Request) -> Result<Arc<str>> {
    let header = req.headers().get("authorization").and_then(|value| value.to_str().ok());
    let key = auth::bearer(header).ok_or(Kind::WrongKey)?;
    let hash = auth::hash(key);
    let mut found = None;
    // Every organisation is compared, so that the response time reveals nothing.
    for (name, organisation) in &document.organisations {
        if auth::matches(&hash, &organisation.key_sha256) {
            found = Some(Arc::clone(name));
        }
    }
    found.ok_or_else(|| Kind::WrongKey.into())
}

fn idempotency_key(req: &Request) -> Result<Option<String>> {
    let Some(key) = req.headers().get("idempotency-key") else { return Ok(None) };
    let key = key.to_str().unwrap_or_default();
    let is_plain = |c: char| c.is_ascii_graphic() && c != '/';
    if key.is_empty() || key.len() > KEY_LIMIT || !key.chars().all(is_plain) {
        let service = req.uri().path().to_owned();
        return Err(Kind::NoIdempotencyKey { service }.into());
    }
    Ok(Some(key.to_owned()))
}

fn last_event(req: &Request) -> Result<Option<EventId>> {
    let Some(value) = req.headers().get("last-event-id") else { return Ok(None) };
    let value = value.to_str().unwrap_or_default();
    let parsed = EventId::parse(value);
    let bad = || Kind::BadEventId { value: value.to_owned() }.into();
    parsed.map(Some).ok_or_else(bad)
}

fn malformed(error: serde_json::Error) -> Error {
    Kind::Malformed { detail: error.to_string() }.into()
}

fn hash_of(parts: &[&str], body: &[u8]) -> u64 {
    let mut bytes = parts.join("\n").into_bytes();
    bytes.push(b'\n');
    bytes.extend_from_slice(body);
    xxh3_64(&bytes)
}

/// Without a table there are no holders for this instance's records.
fn refuse_if_not_serving(node: &Node) -> Result<()> {
    if node.tables.borrow().roster.members.is_empty() {
        return Err(Kind::NotServing { retry_after_ms: NOT_SERVING_RETRY_MS }.into());
    }
    Ok(())
}

#[handler]
async fn take_command(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let node = node_of(depot);
    let _open = node.open();
    let header = req.headers().get("authorization").and_then(|value| value.to_str().ok());
    let presented = auth::hash(auth::bearer(header).unwrap_or_default());
    if !auth::matches(&presented, &auth::hash(&node.settings.operator_key)) {
        reply::render_error(res, &Kind::WrongKey.into());
        return;
    }
    let answer = match req.parse_json::<operate::OperatorRequest>().await {
        Ok(question) => operate::answer(&node, question).await,
        Err(error) => Err(Kind::Malformed { detail: error.to_string() }.into()),
    };
    match answer {
        Ok(answer) => res.render(Json(answer)),
        Err(error) => reply::render_error(res, &error),
    }
}

#[handler]
async fn only_peers(req: &mut Request, depot: &mut Depot, res: &mut Response, ctrl: &mut FlowCtrl) {
    let node = node_of(depot);
    let presented = req.headers().get(wire::PEER_KEY).map(|value| value.as_bytes());
    let expected = node.settings.peer_key.as_bytes();
    let is_peer =
        presented.is_some_and(|key| bool::from(subtle::ConstantTimeEq::ct_eq(key, expected)));
    if !is_peer {
        reply::render_error(res, &Kind::WrongKey.into());
        ctrl.skip_rest();
    }
}

async fn message<T: serde::de::DeserializeOwned>(
    req: &mut Request,
    res: &mut Response,
) -> Option<T> {
    let payload = req.payload_with_max_size(PEER_LIMIT_BYTES).await.ok()?;
    match wire::decode(payload) {
        Ok(message) => Some(message),
        Err(error) => {
            reply::render_error(res, &error);
            None
        }
    }
}

fn send<T: Serialize>(res: &mut Response, message: &T) {
    res.body(wire::encode(message));
}

#[handler]
async fn apply_records(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let Some(batch) = message::<Batch>(req, res).await else { return };
    let replies = node_of(depot).ledger.apply(batch.requests).await;
    send(res, &Replies { replies });
}

#[handler]
async fn take_exchange(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let Some(exchange) = message::<Exchange>(req, res).await else { return };
    let node = node_of(depot);
    let received = req.payload_with_max_size(PEER_LIMIT_BYTES).await.map_or(0, |body| body.len());
    let (reply, answered) = oneshot::channel();
    let _ = node.control.send(control_loop::Message::Exchange(exchange, reply));
    let Ok(answer) = answered.await else {
        res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        return;
    };
    let body = wire::encode(&answer);
    node.control_traffic.count(body.len(), received);
    res.body(body);
}

#[handler]
async fn answer_handover(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let Some(question) = message::<AskHandover>(req, res).await else { return };
    send(res, &node_of(depot).ledger.hand_over(question).await);
}

#[handler]
async fn answer_witness(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let Some(question) = message::<Witness>(req, res).await else { return };
    let node = node_of(depot);
    let suspect = question.suspect;
    let asked: Option<Status> =
        node.peers.post(&suspect.addr, "/peer/status", &(), WITNESS_PROBE_MS).await;
    let reaches = asked.is_some_and(|status| status.incarnation == suspect.incarnation);
    send(res, &Witness { suspect, reaches });
}

#[handler]
async fn answer_inquiry(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let Some(question) = message::<Inquiry>(req, res).await else { return };
    let state = node_of(depot).registry.state(question.nonce).await;
    send(res, &Inquiry { state, ..question });
}

#[handler]
async fn answer_status(depot: &mut Depot, res: &mut Response) {
    send(res, &operate::status(&node_of(depot)).await);
}

#[handler]
async fn answer_rows(depot: &mut Depot, res: &mut Response) {
    send(res, &node_of(depot).registry.rows().await);
}

#[handler]
async fn answer_points(depot: &mut Depot, res: &mut Response) {
    send(res, &node_of(depot).registry.points().await);
}

#[handler]
async fn follow_owner(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let node = node_of(depot);
    let key = req.header::<String>(wire::FOLLOWED_KEY).unwrap_or_default();
    let from = req.query::<u32>("from").unwrap_or(0);
    match node.registry.find(&key).await {
        Some(shared) => reply::stream_to_peer(res, shared, from),
        None => drop(res.status_code(StatusCode::NOT_FOUND)),
    }
}
