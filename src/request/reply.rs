//! Writes answers and errors to callers, and streams to peers.

use std::convert::Infallible;
use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use salvo::http::{HeaderValue, StatusCode};
use salvo::prelude::*;
use serde::Serialize;
use tokio::sync::watch;

use crate::error::{Body, Error};
use crate::node;
use crate::request::follow::{self, RelayMessage};
use crate::request::generation_request::EventId;
use crate::request::shared::{Failed, Progress, Shared, State};

/// How often a keep-alive comment is sent on an event stream without events.
const KEEP_ALIVE_MS: u64 = 1_000;
/// The `retry` value of an event stream: how long a caller waits before it reconnects.
const RECONNECT_MS: u64 = 200;

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a Body,
}

/// Answers with an error.
pub fn render_error(res: &mut Response, error: &Error) {
    render_failed(res, &Failed { status: error.status(), body: error.body() });
}

/// Answers with a prepared error.
pub fn render_failed(res: &mut Response, failed: &Failed) {
    let status = StatusCode::from_u16(failed.status);
    res.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    if let Some(retry_after_ms) = failed.body.retry_after_ms {
        let seconds = HeaderValue::from(retry_after_ms.div_ceil(1_000));
        res.headers_mut().insert("retry-after", seconds);
    }
    res.render(Json(ErrorBody { error: &failed.body }));
}

/// A token's event in the completions format.
#[derive(Serialize)]
struct Chunk<'a> {
    object: &'static str,
    token_index: u32,
    choices: [Choice<'a>; 1],
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'a str>,
}

/// The explicit end of a streamed answer, and an answer in one piece.
#[derive(Serialize)]
struct FullCompletion<'a> {
    object: &'static str,
    choices: [Choice<'a>; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u32,
}

/// Waits until a generation has been admitted, or has failed before that.
///
/// # Errors
///
/// What the caller is told when the generation failed before its first token.
pub async fn started(shared: &Shared) -> Result<(), Arc<Failed>> {
    let mut progress = shared.watch();
    let is_decided = |progress: &Progress| progress.state != State::Waiting;
    let decided = progress.wait_for(is_decided).await;
    match decided.map(|progress| progress.clone()) {
        Ok(Progress { released: 0, state: State::Failed(failed) }) => Err(failed),
        _ => Ok(()),
    }
}

/// A connection that receives a generation.
struct Subscriber {
    shared: Arc<Shared>,
    progress: watch::Receiver<Progress>,
    next: u32,
    has_ended: bool,
    /// Delays a planned stop. Not needed for a peer that relays: its callers are counted there.
    _open: Option<node::Open>,
}

impl Subscriber {
    fn new(shared: Arc<Shared>, next: u32, open: Option<node::Open>) -> Subscriber {
        let progress = shared.watch();
        Subscriber { shared, progress, next, has_ended: false, _open: open }
    }

    /// Waits for a new token or the end, for at most `timeout_ms`.
    async fn next_progress(&mut self, timeout_ms: u64) -> Option<Progress> {
        let next = self.next;
        let has_changed = |progress: &Progress| {
            let is_over = matches!(progress.state, State::Finished { .. } | State::Failed(_));
            progress.released > next || is_over
        };
        let changed = self.progress.wait_for(has_changed);
        let changed = tokio::time::timeout(Duration::from_millis(timeout_ms), changed).await;
        changed.ok()?.ok().map(|progress| progress.clone())
    }
}

/// Streams a generation to a caller from the token `next` on.
pub fn stream_events(res: &mut Response, shared: Arc<Shared>, next: u32, open: node::Open) {
    set_event_stream(res);
    let subscriber = Subscriber::new(shared, next, Some(open));
    let opening = format!("retry: {RECONNECT_MS}\n\n");
    let opening = stream::once(async move { Ok::<_, Infallible>(Bytes::from(opening)) });
    let events = stream::unfold(subscriber, caller_events);
    res.stream(Box::pin(futures_util::StreamExt::chain(opening, events)));
}

async fn caller_events(
    mut subscriber: Subscriber,
) -> Option<(Result<Bytes, Infallible>, Subscriber)> {
    if subscriber.has_ended {
        return None;
    }
    let Some(progress) = subscriber.next_progress(KEEP_ALIVE_MS).await else {
        return Some((Ok(Bytes::from_static(b": keep-alive\n\n")), subscriber));
    };
    let mut text = String::new();
    let tokens = subscriber.shared.tokens(subscriber.next);
    for token in tokens.since(0) {
        write_token(&mut text, subscriber.shared.nonce, subscriber.next, token);
        subscriber.next += 1;
    }
    subscriber.has_ended = write_end(&mut text, &subscriber, &progress.state);
    Some((Ok(Bytes::from(text)), subscriber))
}

fn write_token(text: &mut String, nonce: u64, index: u32, token: &str) {
    let choices = [Choice { index: 0, text: token, finish_reason: None }];
    let chunk = Chunk { object: "text_completion", token_index: index, choices };
    let data = serde_json::to_string(&chunk).unwrap_or_default();
    let id = EventId { nonce, index };
    // Writing to a string can't fail.
    let _ = write!(text, "id: {id}\ndata: {data}\n\n");
}

fn write_end(text: &mut String, subscriber: &Subscriber, state: &State) -> bool {
    match state {
        State::Finished { reason } if subscriber.next == subscriber.shared.released() => {
            let choices = [Choice { index: 0, text: "", finish_reason: Some(reason) }];
            let usage = Usage { completion_tokens: subscriber.next };
            let completion = FullCompletion { object: "text_completion", choices, usage };
            let data = serde_json::to_string(&completion).unwrap_or_default();
            let _ = write!(text, "event: end\ndata: {data}\n\ndata: [DONE]\n\n");
            true
        }
        State::Failed(failed) => {
            let error = ErrorBody { error: &failed.body };
            let data = serde_json::to_string(&error).unwrap_or_default();
            let _ = write!(text, "event: error\ndata: {data}\n\n");
            true
        }
        _ => false,
    }
}

/// Waits until a generation has ended and answers with all of it.
pub async fn render_full(res: &mut Response, shared: &Arc<Shared>) {
    let mut progress = shared.watch();
    let is_over =
        |progress: &Progress| matches!(progress.state, State::Finished { .. } | State::Failed(_));
    let state = progress.wait_for(is_over).await.map(|progress| progress.state.clone());
    match state {
        Ok(State::Finished { reason }) => {
            let tokens = shared.tokens(0);
            let text: String = tokens.since(0).collect();
            let choices = [Choice { index: 0, text: &text, finish_reason: Some(&reason) }];
            let usage = Usage { completion_tokens: tokens.len() };
            res.render(Json(FullCompletion { object: "text_completion", choices, usage }));
        }
        Ok(State::Failed(failed)) => render_failed(res, &failed),
        _ => render_error(res, &Error::internal("the generation has vanished; ask again")),
    }
}

/// Streams a generation to a peer that relays it.
pub fn stream_to_peer(res: &mut Response, shared: Arc<Shared>, next: u32) {
    set_event_stream(res);
    res.stream(Box::pin(stream::unfold(Subscriber::new(shared, next, None), peer_events)));
}

async fn peer_events(
    mut subscriber: Subscriber,
) -> Option<(Result<Bytes, Infallible>, Subscriber)> {
    if subscriber.has_ended {
        return None;
    }
    let mut text = String::new();
    let Some(progress) = subscriber.next_progress(follow::PING_INTERVAL_MS).await else {
        write_line(&mut text, &RelayMessage::Ping);
        return Some((Ok(Bytes::from(text)), subscriber));
    };
    let tokens = subscriber.shared.tokens(subscriber.next);
    for token in tokens.since(0) {
        write_line(
            &mut text,
            &RelayMessage::Token { index: subscriber.next, text: token.to_owned() },
        );
        subscriber.next += 1;
    }
    match progress.state {
        State::Finished { reason } if subscriber.next == subscriber.shared.released() => {
            subscriber.has_ended = true;
            write_line(&mut text, &RelayMessage::End { tokens: subscriber.next, reason });
        }
        // A stream that closes without an end makes the peer look for the next owner.
        State::Failed(_) => subscriber.has_ended = true,
        _ => {}
    }
    Some((Ok(Bytes::from(text)), subscriber))
}

fn write_line(text: &mut String, line: &RelayMessage) {
    let data = serde_json::to_string(line).unwrap_or_default();
    let _ = write!(text, "data: {data}\n\n");
}

fn set_event_stream(res: &mut Response) {
    let headers = res.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", HeaderValue::from_static("no-store"));
}
