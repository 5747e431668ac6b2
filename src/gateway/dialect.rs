//! How requests and answers look on the wire: one small trait for the names and formats.
//!
//! A dialect translates and decides nothing. What it reads are types whose fields say what they
//! hold; what it writes are headers of a request to an upstream.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::HeaderName;
use xxhash_rust::xxh3::xxh3_64;

use super::policy::bounds;
use super::rate::Rate;

/// What a caller says of its request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Demand {
    /// The caller's name for this request.
    pub id: Option<Arc<str>>,
    /// How long the caller will wait.
    pub deadline_ms: Option<u64>,
    /// The caller's key.
    pub key: Option<Arc<str>>,
    /// The last event that the caller has; the answer goes on after it.
    pub last_event: Option<u64>,
    /// The caller's name for the request that brought the first event of the stream which this one
    /// takes up.
    pub resumes: Option<Arc<str>>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The most tokens that the answer may have.
    pub output_tokens: u64,
    /// The prompt's parts in order. Requests share the first ones; the last is the request's own.
    pub prompt_parts: Vec<PromptPart>,
    /// The names of its parts but for the last, which may be what crashes upstreams.
    pub shared_parts: Vec<Arc<str>>,
}

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// A hash of its name; the same name stands for the same tokens.
    pub hash: u64,
    /// Its tokens.
    pub tokens: u64,
}

impl Demand {
    /// Whether it takes up a stream of which the caller has events. Without the name of the attempt
    /// that brought the first one, 0 stands for none.
    pub fn takes_up_stream(&self) -> bool {
        self.last_event.is_some_and(|last| last > 0 || self.resumes.is_some())
    }
}

impl PromptPart {
    /// A part with a name.
    pub fn new(name: &str, tokens: u64) -> PromptPart {
        PromptPart { hash: PromptPart::hash(name), tokens }
    }

    /// The hash of a part's name.
    pub fn hash(name: &str) -> u64 {
        xxh3_64(name.as_bytes())
    }
}

/// What the system adds to a request on its way to an upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Dispatch {
    /// The upstream that is meant; another one at its address refuses.
    pub upstream: Arc<str>,
    /// The time left.
    pub deadline_ms: u64,
    /// The organisation, where the caller showed a key.
    pub organisation: Option<Arc<str>>,
    /// 0 to 9; lower goes first.
    pub priority: Option<u8>,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// The engine that gets a growing copy of the run's memory.
    pub copy_to: Option<SocketAddr>,
    /// The copy of the run's memory to go on from.
    pub go_on_from: Option<Copy>,
}

/// A copy of a run's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Copy {
    /// The engine that it is named by.
    pub addr: SocketAddr,
    /// Its name there.
    pub name: Arc<str>,
}

/// What an upstream's answer says of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Marks {
    /// The request that it answers.
    pub id: Option<Arc<str>>,
    /// Whether the upstream says that the request was not run.
    pub not_run: bool,
    /// Whether it proves that the upstream made it.
    pub is_signed: bool,
    /// The upstream's load.
    pub load: Option<Load>,
    /// The upstream that answered, if it says so.
    pub upstream: Option<Arc<str>>,
    /// How long the upstream keeps the channel without a request.
    pub keep_ms: Option<u64>,
    /// How long to wait before the next try.
    pub retry_after_ms: Option<u64>,
    /// Whether the upstream says that it is leaving.
    pub is_leaving: bool,
    /// The rate that the upstream takes from all instances together, if it limits that.
    pub rate_limit: Option<Rate>,
    /// The number of requests that the upstream may turn away in a second for want of room; with more,
    /// it falls over.
    pub max_rejections_per_s: Option<u32>,
}

/// An upstream's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes there at the moment, in percent of the usual time.
    pub slowness_percent: Option<u32>,
}

/// The range of slowness that is believed, in percent; other figures are treated as missing.
const CREDIBLE_SLOWNESS_PERCENT: std::ops::RangeInclusive<u32> = 10..=2_000;

impl Load {
    /// Reads running, waiting and slots, and the slowness if there is a credible one, with commas
    /// between them.
    pub fn read(value: &str) -> Option<Load> {
        let mut numbers = value.split(',').map(|number| number.trim().parse().ok());
        let (running, waiting, slots) = (numbers.next()??, numbers.next()??, numbers.next()??);
        let slowness_percent =
            numbers.next().flatten().filter(|percent| CREDIBLE_SLOWNESS_PERCENT.contains(percent));
        Some(Load { running, waiting, slots, slowness_percent })
    }
}

/// What an engine says of itself when it is asked; it is some hundred milliseconds old.
#[derive(Debug, Clone, Default, PartialEq, Eq, derive_more::Display)]
#[display("{waiting} waiting, {active} active, {} unstarted", self.unstarted())]
pub struct EngineState {
    /// The models that it has.
    pub models: Vec<Arc<str>>,
    /// When its process started.
    pub born_ms: Option<u64>,
    /// Requests that wait there.
    pub waiting: u64,
    /// Requests that it works on: those that run, and those whose prompts it reads.
    pub active: u64,
    /// What runs there, if it tells.
    pub runs: Option<Vec<RunState>>,
}

impl EngineState {
    /// Requests that have made nothing yet: they wait, or their prompts are being read.
    pub fn unstarted(&self) -> u64 {
        let running = self.runs.as_ref().map_or(0, Vec::len) as u64;
        self.waiting.saturating_add(self.active.saturating_sub(running))
    }
}

/// One run in an engine's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunState {
    /// The request.
    pub id: Arc<str>,
    /// Tokens that it has in memory.
    pub tokens: u64,
    /// Events that it has made.
    pub events: u64,
}

/// A header's text, if it is one.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// A header's number; a fraction is cut off, and what isn't finite is none.
pub fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    let number = text(headers, name)?.trim().parse::<f64>().ok()?;
    number.is_finite().then_some(number as u64)
}

/// A header's length of time in milliseconds.
pub fn time_ms(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    number(headers, name).map(bounds::time_ms_of)
}

/// A number of tokens as text; 0 if there is none.
pub fn tokens(text: &str) -> u64 {
    /// More digits than a number has that is told apart.
    const MANY: usize = 20;
    let text = text.trim();
    let is_large = text.len() >= MANY && text.bytes().all(|digit| digit.is_ascii_digit());
    bounds::tokens_of(if is_large { u64::MAX } else { text.parse().unwrap_or(0) })
}

/// A header's time in seconds, which may have a fraction.
pub fn seconds_ms(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    let seconds = text(headers, name)?.trim().parse::<f64>().ok()?;
    seconds.is_finite().then_some(bounds::time_ms_of((seconds * 1_000.0) as u64))
}

/// Whether a name is that of a field about a channel, which heads alone hold.
pub fn is_channel_field(name: &str) -> bool {
    matches!(name, "connection" | "keep-alive" | "proxy-connection")
}

/// Takes headers out.
pub fn remove(headers: &mut HeaderMap, names: &[HeaderName]) {
    for name in names {
        headers.remove(name);
    }
}

/// How long an upstream keeps an idle channel, by the usual header, which holds whole seconds.
pub fn keep_ms(headers: &HeaderMap) -> Option<u64> {
    let value = text(headers, &HeaderName::from_static("keep-alive"))?;
    let mut fields = value.split(',').filter_map(|field| field.trim().split_once('='));
    let seconds = fields.find(|(name, _)| *name == "timeout")?.1;
    let keep_ms = seconds.trim().parse::<u64>().ok()?.saturating_mul(1_000);
    Some(bounds::time_ms_of(keep_ms))
}

/// A field of a query.
pub fn field(query: Option<&str>, name: &str) -> Option<Arc<str>> {
    let fields = query.unwrap_or_default().split('&');
    let mut named = fields.filter_map(|field| field.split_once('='));
    named.find(|(known, _)| *known == name).map(|(_, value)| Arc::from(value))
}

/// A question from a caller that isn't a request to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Question {
    /// Which addresses to use, asked from a failure domain.
    Addresses {
        /// The caller's failure domain.
        domain: Option<Arc<str>>,
    },
    /// Whether this instance is ready.
    Ready,
    /// Nothing that is known.
    Unknown,
}

/// The names and formats of one wire.
pub trait Dialect: Send + Sync {
    /// Reads a caller's headers.
    fn demand(&self, headers: &HeaderMap) -> Demand;

    /// Takes out what only the system may set, and the caller's key.
    fn strip(&self, headers: &mut HeaderMap);

    /// Writes what the system adds.
    fn dispatch(&self, headers: &mut HeaderMap, dispatch: &Dispatch);

    /// Writes again what `strip` took out of a caller's request, for another instance.
    fn restore(&self, headers: &mut HeaderMap, demand: &Demand);

    /// Reads an upstream's answer.
    fn marks(&self, headers: &HeaderMap) -> Marks;

    /// Whether a name, in lower case, is that of a field which the heads of upstreams' answers hold. It
    /// then stands in no body's first lines.
    fn is_answer_field(&self, name: &str) -> bool;

    /// Reads a question.
    fn question(&self, path: &str, query: Option<&str>) -> Question;

    /// The answer to a question for addresses.
    fn addresses(&self, addresses: &[SocketAddr], keep_ms: u64) -> Bytes;

    /// The path of an engine's state, for a check whether it lives.
    fn state_path(&self) -> &'static str;

    /// Reads the answer to that call; `None` if it is none.
    fn engine_state(&self, body: &[u8]) -> Option<EngineState>;

    /// The path at which an engine lists the prompts that it keeps.
    fn kept_path(&self) -> &'static str;

    /// The last parts of prompts that an engine keeps, from the answer to that call.
    fn kept_parts(&self, body: &[u8]) -> Vec<Arc<str>>;

    /// The call that copies a run's memory to another engine: path and body.
    fn copy_call(&self, id: &str, to: SocketAddr) -> (&'static str, Bytes);

    /// The call that stops a run and moves its memory to another engine: path and body.
    fn stop_call(&self, id: &str, to: SocketAddr) -> (&'static str, Bytes);

    /// The name of the copy, or of what an engine keeps of a stopped run, from the answer to such a call.
    fn copy_name(&self, body: &[u8]) -> Option<Arc<str>>;

    /// The path at which such a copy is deleted.
    fn copy_path(&self, name: &str) -> String;
}
