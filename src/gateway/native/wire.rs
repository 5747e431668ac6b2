//! The gateway's own headers, paths and bodies; see [docs/API.md](../../../docs/API.md).

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::{AUTHORIZATION, HeaderName, HeaderValue, RETRY_AFTER};
use serde::{Deserialize, Serialize};

use crate::gateway::dialect::{
    self, Copy, Demand, Dialect, Dispatch, EngineState, Load, Marks, PromptPart, Question, number,
    text, time_ms,
};
use crate::gateway::policy::bounds;
use crate::gateway::rate::Rate;

const REQUEST_ID: HeaderName = HeaderName::from_static("siskinrock-request-id");
const DEADLINE_MS: HeaderName = HeaderName::from_static("siskinrock-deadline-ms");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// The request that brought the first event of the stream that is taken up.
const RESUMES: HeaderName = HeaderName::from_static("siskinrock-resumes");
const PROMPT_TOKENS: HeaderName = HeaderName::from_static("siskinrock-prompt-tokens");
const OUTPUT_TOKENS: HeaderName = HeaderName::from_static("siskinrock-output-tokens");
const PROMPT_PART: HeaderName = HeaderName::from_static("siskinrock-prompt-part");
/// To an upstream: which one is meant. From one: which one it is.
const UPSTREAM: HeaderName = HeaderName::from_static("siskinrock-upstream");
const ORGANISATION: HeaderName = HeaderName::from_static("siskinrock-organisation");
const PRIORITY: HeaderName = HeaderName::from_static("siskinrock-priority");
const COPY_TO: HeaderName = HeaderName::from_static("siskinrock-copy-to");
/// A copy as IP:PORT/NAME.
const GO_ON_FROM: HeaderName = HeaderName::from_static("siskinrock-go-on-from");
const NOT_RUN: HeaderName = HeaderName::from_static("siskinrock-not-run");
/// Running, waiting and slots, with commas.
const LOAD: HeaderName = HeaderName::from_static("siskinrock-load");
/// `1` while an upstream leaves.
const LEAVING: HeaderName = HeaderName::from_static("siskinrock-leaving");
/// Requests a second that an upstream takes from all instances together.
const RATE_LIMIT: HeaderName = HeaderName::from_static("siskinrock-rate-limit");

/// How many requests an upstream may turn away in a second before it falls over.
const MAX_REJECTIONS: HeaderName = HeaderName::from_static("siskinrock-max-rejections");

/// Headers that only the system may set, and the caller's key, which goes no further.
const RESERVED: [HeaderName; 7] =
    [AUTHORIZATION, LAST_EVENT, UPSTREAM, ORGANISATION, PRIORITY, COPY_TO, GO_ON_FROM];

/// The gateway's own wire.
#[derive(Debug, Clone, std::marker::Copy, Default)]
pub struct Wire;

#[derive(Serialize)]
struct Addresses {
    addresses: Vec<Address>,
    keep_ms: u64,
}

#[derive(Serialize)]
struct Address {
    address: SocketAddr,
}

#[derive(Serialize)]
struct Copying<'a> {
    request: &'a str,
    to: SocketAddr,
    /// Whether the run stops at its engine.
    stop: bool,
}

#[derive(Deserialize)]
struct Copied {
    name: Arc<str>,
}

#[derive(Deserialize, Default)]
struct State {
    models: Vec<Arc<str>>,
}

#[derive(Deserialize, Default)]
struct Kept {
    parts: Vec<Arc<str>>,
}

impl Dialect for Wire {
    fn demand(&self, headers: &HeaderMap) -> Demand {
        let bearer = text(headers, &AUTHORIZATION).and_then(|value| value.strip_prefix("Bearer "));
        let tokens = |name: HeaderName| bounds::tokens_of(number(headers, &name).unwrap_or(0));
        let prompt_tokens = tokens(PROMPT_TOKENS);
        let own = text(headers, &PROMPT_PART).map(|name| PromptPart::new(name, prompt_tokens));
        Demand {
            id: text(headers, &REQUEST_ID).map(Arc::from),
            deadline_ms: time_ms(headers, &DEADLINE_MS),
            key: bearer.map(Arc::from),
            last_event: number(headers, &LAST_EVENT),
            resumes: text(headers, &RESUMES).map(Arc::from),
            prompt_tokens,
            output_tokens: tokens(OUTPUT_TOKENS),
            prompt_parts: own.into_iter().collect(),
            shared_parts: Vec::new(),
        }
    }

    fn strip(&self, headers: &mut HeaderMap) {
        dialect::remove(headers, &RESERVED);
    }

    fn dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch) {
        let mut set = |name: HeaderName, value: Option<String>| {
            if let Some(value) = value.and_then(|value| HeaderValue::try_from(value).ok()) {
                headers.insert(name, value);
            }
        };
        set(UPSTREAM, Some(dispatch.upstream.to_string()));
        set(DEADLINE_MS, Some(dispatch.deadline_ms.to_string()));
        set(ORGANISATION, dispatch.organisation.as_ref().map(ToString::to_string));
        set(PRIORITY, dispatch.priority.map(|priority| priority.to_string()));
        set(LAST_EVENT, dispatch.last_event.map(|last| last.to_string()));
        set(COPY_TO, dispatch.copy_to.map(|addr| addr.to_string()));
        let from = dispatch.go_on_from.as_ref();
        set(GO_ON_FROM, from.map(|Copy { addr, name }| format!("{addr}/{name}")));
    }

    fn restore(&self, headers: &mut HeaderMap, demand: &Demand) {
        let mut set = |name: HeaderName, value: Option<String>| {
            if let Some(value) = value.and_then(|value| HeaderValue::try_from(value).ok()) {
                headers.insert(name, value);
            }
        };
        set(AUTHORIZATION, demand.key.as_ref().map(|key| format!("Bearer {key}")));
        set(DEADLINE_MS, demand.deadline_ms.map(|deadline_ms| deadline_ms.to_string()));
        set(LAST_EVENT, demand.last_event.map(|last| last.to_string()));
    }

    fn marks(&self, headers: &HeaderMap) -> Marks {
        Marks {
            id: text(headers, &REQUEST_ID).map(Arc::from),
            not_run: headers.contains_key(NOT_RUN),
            // Upstreams sign nothing here: a whole answer on their own connection is proof enough.
            is_signed: true,
            load: text(headers, &LOAD).and_then(Load::read),
            upstream: text(headers, &UPSTREAM).map(Arc::from),
            keep_ms: dialect::keep_ms(headers),
            retry_after_ms: dialect::seconds_ms(headers, &RETRY_AFTER),
            is_leaving: text(headers, &LEAVING).is_some_and(|value| value.trim() == "1"),
            rate_limit: text(headers, &RATE_LIMIT).and_then(Rate::parse),
            max_rejections_per_s: number(headers, &MAX_REJECTIONS)
                .and_then(|bound| u32::try_from(bound).ok()),
        }
    }

    fn is_answer_field(&self, name: &str) -> bool {
        let named =
            [REQUEST_ID, UPSTREAM, NOT_RUN, LOAD, LEAVING, RATE_LIMIT, MAX_REJECTIONS, RETRY_AFTER];
        dialect::is_channel_field(name) || named.iter().any(|known| known.as_str() == name)
    }

    fn question(&self, path: &str, query: Option<&str>) -> Question {
        match path {
            "/v1/ready" => Question::Ready,
            "/v1/addresses" => Question::Addresses { domain: dialect::field(query, "domain") },
            _ => Question::Unknown,
        }
    }

    fn addresses(&self, addresses: &[SocketAddr], keep_ms: u64) -> Bytes {
        let addresses = addresses.iter().map(|address| Address { address: *address }).collect();
        // Addresses and a number always serialize.
        Bytes::from(serde_json::to_vec(&Addresses { addresses, keep_ms }).unwrap_or_default())
    }

    fn state_path(&self) -> &'static str {
        "/v1/state"
    }

    fn engine_state(&self, body: &[u8]) -> Option<EngineState> {
        let models = serde_json::from_slice::<State>(body).ok()?.models;
        Some(EngineState { models, ..EngineState::default() })
    }

    fn kept_path(&self) -> &'static str {
        "/v1/kept"
    }

    fn kept_parts(&self, body: &[u8]) -> Vec<Arc<str>> {
        serde_json::from_slice::<Kept>(body).unwrap_or_default().parts
    }

    fn copy_call(&self, id: &str, to: SocketAddr) -> (&'static str, Bytes) {
        copies_call(&Copying { request: id, to, stop: false })
    }

    fn stop_call(&self, id: &str, to: SocketAddr) -> (&'static str, Bytes) {
        copies_call(&Copying { request: id, to, stop: true })
    }

    fn copy_name(&self, body: &[u8]) -> Option<Arc<str>> {
        serde_json::from_slice::<Copied>(body).ok().map(|copied| copied.name)
    }

    fn copy_path(&self, name: &str) -> String {
        format!("/v1/copies/{name}")
    }
}

fn copies_call(copying: &Copying<'_>) -> (&'static str, Bytes) {
    // Strings and a flag always serialize.
    ("/v1/copies", Bytes::from(serde_json::to_vec(copying).unwrap_or_default()))
}
