//! The interface to model engines: streams that can be started, attached to and cancelled.

use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use eventsource_stream::Eventsource;
use futures_util::future::BoxFuture;
use futures_util::stream::{Stream, StreamExt};
use reqwest::Method;
use serde::{Deserialize, Serialize};

use crate::control::blackboard::Load;
use crate::limited;
use crate::peer;
use crate::request::call;

/// The timeout of a load poll or a cancellation.
const CONTROL_TIMEOUT_MS: u64 = 1_000;
/// The maximum size of an engine's answer about its load.
const MAX_LOAD_BYTES: usize = 1 << 20;

/// The request that starts a stream.
#[derive(Debug, Clone, Serialize)]
pub struct Start {
    /// The id by which the stream is attached to and cancelled.
    pub stream_id: Arc<str>,
    /// The model, as `NAME@VERSION`.
    pub model: Arc<str>,
    /// The prompt.
    pub prompt: Arc<str>,
    /// The longest answer.
    pub max_tokens: u32,
    /// Requests of a higher priority are scheduled first.
    pub priority: u8,
    /// The accepted tokens to continue from.
    pub prefix: Vec<String>,
}

/// An event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A token.
    Token {
        /// Its index in the answer.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The explicit end of the answer.
    End {
        /// How many tokens the answer has.
        tokens: u32,
        /// Why the engine stopped.
        reason: String,
    },
}

/// Why a stream could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The engine can't be reached.
    Unreachable,
    /// The engine is draining, or doesn't serve this model.
    Leaving,
    /// The engine is overloaded and asks for backoff.
    BackOff {
        /// For how long.
        for_ms: u64,
    },
    /// The engine refused for another reason, or doesn't know the stream.
    Refused,
}

/// The events of one stream; it ends early when the connection breaks.
pub type Events = Pin<Box<dyn Stream<Item = Event> + Send>>;

/// The calls that the system makes to a model engine.
pub trait Engine: Send + Sync {
    /// Starts a stream.
    fn start<'a>(
        &'a self,
        addr: &'a str,
        start: &'a Start,
    ) -> BoxFuture<'a, Result<Events, Failure>>;

    /// Attaches to a running stream at the token `from`.
    fn attach<'a>(
        &'a self,
        addr: &'a str,
        stream_id: &'a str,
        from: u32,
    ) -> BoxFuture<'a, Result<Events, Failure>>;

    /// Cancels a stream, if it can be reached.
    fn cancel<'a>(&'a self, addr: &'a str, stream_id: &'a str) -> BoxFuture<'a, ()>;

    /// Reads the engine's load; `None` if it can't be read.
    fn load<'a>(&'a self, addr: &'a str) -> BoxFuture<'a, Option<Load>>;

    /// Tells an upstream which models to have loaded; `true` if it accepted.
    fn order<'a>(&'a self, addr: &'a str, order: &'a Order) -> BoxFuture<'a, bool>;
}

/// The models that an upstream must have loaded.
#[derive(Debug, Clone, Serialize)]
pub struct Order {
    /// The lease's fencing number.
    pub fencing: u64,
    /// All models that must be loaded; others are unloaded.
    pub models: Vec<Arc<str>>,
    /// How long it may take.
    #[serde(skip)]
    pub timeout_ms: u64,
}

/// The [`Engine`] interface over HTTP.
#[derive(Debug, Clone)]
pub struct HttpEngine {
    client: reqwest::Client,
    traffic: Arc<peer::Traffic>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum StreamLine {
    Token { index: u32, text: String },
    End { finish_reason: String, tokens: u32 },
}

#[derive(Deserialize)]
struct Refusal {
    leaving: bool,
}

impl HttpEngine {
    /// Calls engines through `client`.
    pub fn new(client: reqwest::Client) -> HttpEngine {
        HttpEngine::counted(client, Arc::default())
    }

    /// Calls engines through `client` and counts the bytes of load polls in `traffic`.
    pub fn counted(client: reqwest::Client, traffic: Arc<peer::Traffic>) -> HttpEngine {
        HttpEngine { client, traffic }
    }

    async fn open_stream(&self, request: reqwest::RequestBuilder) -> Result<Events, Failure> {
        let response = request.send().await.map_err(|_| Failure::Unreachable)?;
        // The end of a stream is an event of its own; a head that is spoilt says nothing for sure.
        call::judge_head(&Method::POST, &response).map_err(|_| Failure::Unreachable)?;
        let backoff_ms = call::backoff_ms(&response);
        match response.status().as_u16() {
            200 => Ok(events(response)),
            503 => match response.json::<Refusal>().await {
                Ok(Refusal { leaving: true }) => Err(Failure::Leaving),
                _ => Err(refused(backoff_ms)),
            },
            _ => Err(refused(backoff_ms)),
        }
    }
}

fn refused(backoff_ms: Option<u64>) -> Failure {
    backoff_ms.map_or(Failure::Refused, |for_ms| Failure::BackOff { for_ms })
}

/// Parses the event stream of a response.
pub fn events(response: reqwest::Response) -> Events {
    let events = response.bytes_stream().eventsource();
    let parsed = events.map(|event| {
        let event = event.ok()?;
        match serde_json::from_str(&event.data).ok()? {
            StreamLine::Token { index, text } => Some(Event::Token { index, text }),
            StreamLine::End { finish_reason, tokens } => {
                Some(Event::End { tokens, reason: finish_reason })
            }
        }
    });
    // The first transport error or malformed event ends the stream: later events can't be trusted.
    Box::pin(
        parsed
            .take_while(|event| std::future::ready(event.is_some()))
            .filter_map(std::future::ready),
    )
}

impl Engine for HttpEngine {
    fn start<'a>(
        &'a self,
        addr: &'a str,
        start: &'a Start,
    ) -> BoxFuture<'a, Result<Events, Failure>> {
        let request = self.client.post(format!("http://{addr}/v1/completions")).json(start);
        Box::pin(self.open_stream(request))
    }

    fn attach<'a>(
        &'a self,
        addr: &'a str,
        stream_id: &'a str,
        from: u32,
    ) -> BoxFuture<'a, Result<Events, Failure>> {
        let url = format!("http://{addr}/v1/streams/{stream_id}?from={from}");
        Box::pin(self.open_stream(self.client.get(url)))
    }

    fn cancel<'a>(&'a self, addr: &'a str, stream_id: &'a str) -> BoxFuture<'a, ()> {
        let request = self.client.delete(format!("http://{addr}/v1/streams/{stream_id}"));
        let request = request.timeout(Duration::from_millis(CONTROL_TIMEOUT_MS));
        Box::pin(async move { drop(request.send().await) })
    }

    fn load<'a>(&'a self, addr: &'a str) -> BoxFuture<'a, Option<Load>> {
        let request = self.client.get(format!("http://{addr}/load"));
        let request = request.timeout(Duration::from_millis(CONTROL_TIMEOUT_MS));
        Box::pin(async move {
            let response = request.send().await.ok()?.error_for_status().ok()?;
            let body = limited::read(response, MAX_LOAD_BYTES).await.ok()?;
            self.traffic.count(0, body.len());
            serde_json::from_slice(&body).ok()
        })
    }

    fn order<'a>(&'a self, addr: &'a str, order: &'a Order) -> BoxFuture<'a, bool> {
        let request = self.client.post(format!("http://{addr}/orders")).json(order);
        let request = request.timeout(Duration::from_millis(order.timeout_ms));
        Box::pin(async move { request.send().await.is_ok_and(|r| r.status().is_success()) })
    }
}
