//! A model engine: continuous batching, a prefix cache, priorities, and streams that outlive
//! their connection for a while, so that they can be resumed or cancelled.
//!
//! | call | does |
//! |---|---|
//! | `POST /v1/completions` | starts a stream, from an accepted prefix if one is given |
//! | `GET /v1/streams/ID?from=N` | attaches to a running stream again |
//! | `DELETE /v1/streams/ID` | cancels a stream |
//! | `GET /load` | the load, as it was a moment ago |
//! | `GET /cache_events?after=N` | what entered the prefix cache, late and with gaps |
//! | `POST /orders` | an order to load a model, with a fencing number |
//! | `GET /stats` | the work done, for measures of extra work |

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::stream;
use salvo::prelude::*;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::chain;
use crate::fault::Faults;
use crate::host::Host;

/// Characters of a prompt that make one block of the prefix cache.
const BLOCK_CHARS: usize = 256;
/// One in this many cache events is never published.
const CACHE_EVENT_GAP: u64 = 10;

/// What an engine is like.
#[derive(Debug, Clone)]
pub struct Settings {
    pub step_ms: u64,
    pub slots: usize,
    pub cache_blocks: usize,
    /// Blocks that one step of prefill computes.
    pub prefill_blocks_per_step: usize,
    pub load_lag_ms: u64,
    pub checks_fencing: bool,
    /// How long a stream without a reader goes on.
    pub orphan_ms: u64,
    pub load_model_ms: u64,
    pub models: Vec<String>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            step_ms: 20,
            slots: 32,
            cache_blocks: 4096,
            prefill_blocks_per_step: 16,
            load_lag_ms: 500,
            checks_fencing: true,
            orphan_ms: 10_000,
            load_model_ms: 200,
            models: vec!["plan-1@1".to_owned()],
        }
    }
}

/// The body of `POST /v1/completions`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Start {
    pub stream_id: String,
    pub model: String,
    pub prompt: String,
    pub max_tokens: usize,
    #[serde(default)]
    pub priority: u8,
    /// The tokens that were accepted from earlier attempts.
    #[serde(default)]
    pub prefix: Vec<String>,
}

/// The answer to `GET /load`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Load {
    pub running: usize,
    pub waiting: usize,
    pub slots: usize,
    pub models: Vec<String>,
    pub leaving: bool,
    pub incarnation: u64,
}

/// The answer to `GET /stats`.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    pub started: u64,
    pub tokens: u64,
    pub prefill_blocks: u64,
    pub cached_blocks: u64,
    pub cancelled: u64,
    pub orders: u64,
    pub refused_orders: u64,
}

/// The body of `POST /orders`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ModelOrder {
    pub fencing: u64,
    /// Every model and version that has to be loaded, as `NAME@VERSION`.
    pub models: Vec<String>,
}

struct Running {
    tokens: Vec<String>,
    first: usize,
    max_tokens: usize,
    salt: u8,
    previous: String,
    prefill_blocks_left: usize,
    priority: u8,
    admitted: bool,
    readers: usize,
    orphan_since: Instant,
    produced: watch::Sender<usize>,
}

impl Running {
    fn is_done(&self) -> bool {
        self.tokens.len() >= self.max_tokens
    }
}

#[derive(Default)]
struct State {
    streams: BTreeMap<String, Running>,
    cache: VecDeque<u64>,
    cache_events: Vec<CacheEvent>,
    cache_count: u64,
    stats: Stats,
    models: Vec<String>,
    highest_fencing: u64,
    leaving: bool,
    reported: Load,
}

#[derive(Debug, Clone, Serialize)]
struct CacheEvent {
    number: u64,
    block: u64,
}

struct Engine {
    settings: Settings,
    incarnation: u64,
    faults: Arc<Faults>,
    state: Mutex<State>,
}

/// Starts an engine.
pub fn start(addr: &str, settings: Settings) -> Host {
    Host::start(addr, move |faults| {
        let state = State { models: settings.models.clone(), ..State::default() };
        let incarnation = fastrand::u64(1..1 << 50);
        let engine = Arc::new(Engine { settings, incarnation, faults, state: Mutex::new(state) });
        tokio::spawn(Arc::clone(&engine).run());
        tokio::spawn(Arc::clone(&engine).report());
        Router::new()
            .hoop(salvo::affix_state::inject(engine))
            .push(Router::with_path("v1/completions").post(complete))
            .push(Router::with_path("v1/streams/{id}").get(attach_again).delete(cancel_stream))
            .push(Router::with_path("load").get(answer_load))
            .push(Router::with_path("cache_events").get(answer_cache_events))
            .push(Router::with_path("orders").post(take_order))
            .push(Router::with_path("leave").post(start_leaving))
            .push(Router::with_path("stats").get(answer_stats))
    })
}

impl Engine {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    async fn run(self: Arc<Self>) {
        let step = Duration::from_millis(self.settings.step_ms);
        let mut ticks = tokio::time::interval(step);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.faults.while_paused().await;
            self.step();
        }
    }

    fn step(&self) {
        let mut state = self.lock();
        let state = &mut *state;
        let orphan = Duration::from_millis(self.settings.orphan_ms);
        let before = state.streams.len();
        state.streams.retain(|_, s| s.readers > 0 || s.orphan_since.elapsed() < orphan);
        state.stats.cancelled += (before - state.streams.len()) as u64;
        admit(&mut state.streams, self.settings.slots);
        for stream in state.streams.values_mut() {
            if !stream.admitted || stream.is_done() {
                continue;
            }
            if stream.prefill_blocks_left > 0 {
                let blocks = self.settings.prefill_blocks_per_step;
                stream.prefill_blocks_left = stream.prefill_blocks_left.saturating_sub(blocks);
                continue;
            }
            let token = chain::next(&stream.previous, stream.tokens.len(), stream.salt);
            stream.previous.clone_from(&token);
            stream.tokens.push(token);
            state.stats.tokens += 1;
            stream.produced.send_replace(stream.tokens.len());
        }
    }

    async fn report(self: Arc<Self>) {
        let lag = Duration::from_millis(self.settings.load_lag_ms);
        loop {
            let load = self.measure();
            tokio::time::sleep(lag).await;
            self.lock().reported = load;
        }
    }

    fn measure(&self) -> Load {
        let state = self.lock();
        let busy = state.streams.values().filter(|stream| !stream.is_done());
        let running = busy.clone().filter(|stream| stream.admitted).count();
        Load {
            running,
            waiting: busy.count() - running,
            slots: self.settings.slots,
            models: state.models.clone(),
            leaving: state.leaving,
            incarnation: self.incarnation,
        }
    }

    fn begin(&self, start: Start) -> bool {
        let mut state = self.lock();
        if state.leaving || !state.models.contains(&start.model) {
            return false;
        }
        let text = format!("{}{}", start.prompt, start.prefix.concat());
        let blocks = blocks_of(&text);
        let cached = blocks.iter().take_while(|block| state.cache.contains(block)).count();
        let missing = blocks.len() - cached;
        state.stats.started += 1;
        state.stats.cached_blocks += cached as u64;
        state.stats.prefill_blocks += missing as u64;
        for block in &blocks[cached..] {
            state.remember(*block, self.settings.cache_blocks);
        }
        let salt = chain::sampler_after(start.prefix.last().map(String::as_str));
        let previous = start.prefix.last().cloned().unwrap_or_else(|| chain::root(&start.prompt));
        let running = Running {
            first: start.prefix.len(),
            tokens: start.prefix,
            max_tokens: start.max_tokens,
            salt,
            previous,
            prefill_blocks_left: missing,
            priority: start.priority,
            admitted: false,
            readers: 0,
            orphan_since: Instant::now(),
            produced: watch::Sender::new(0),
        };
        state.streams.insert(start.stream_id, running);
        true
    }

    fn set_reader(&self, id: &str, here: bool) -> Option<watch::Receiver<usize>> {
        let mut state = self.lock();
        let stream = state.streams.get_mut(id)?;
        if here {
            stream.readers += 1;
        } else {
            stream.readers = stream.readers.saturating_sub(1);
            stream.orphan_since = Instant::now();
        }
        Some(stream.produced.subscribe())
    }

    /// The next event of a stream, `None` when it was cancelled.
    fn event(&self, id: &str, next: usize) -> Option<Event> {
        let state = self.lock();
        let stream = state.streams.get(id)?;
        if let Some(text) = stream.tokens.get(next) {
            return Some(Event::Token { index: next, text: text.clone() });
        }
        if stream.is_done() {
            return Some(Event::End { tokens: stream.tokens.len() });
        }
        Some(Event::Nothing)
    }
}

impl State {
    fn remember(&mut self, block: u64, limit: usize) {
        if self.cache.contains(&block) {
            return;
        }
        self.cache.push_back(block);
        if self.cache.len() > limit {
            self.cache.pop_front();
        }
        self.cache_count += 1;
        let number = self.cache_count;
        if !number.is_multiple_of(CACHE_EVENT_GAP) {
            self.cache_events.push(CacheEvent { number, block });
        }
    }
}

fn admit(streams: &mut BTreeMap<String, Running>, slots: usize) {
    let running = streams.values().filter(|s| s.admitted && !s.is_done()).count();
    let mut waiting: Vec<_> = streams.values_mut().filter(|stream| !stream.admitted).collect();
    waiting.sort_by_key(|stream| std::cmp::Reverse(stream.priority));
    for stream in waiting.into_iter().take(slots.saturating_sub(running)) {
        stream.admitted = true;
    }
}

fn blocks_of(text: &str) -> Vec<u64> {
    let mut hash = 0;
    let chunks = text.as_bytes().chunks(BLOCK_CHARS);
    let mut chain_block = |chunk: &[u8]| {
        hash = xxh3_64(&[&u64::to_le_bytes(hash), chunk].concat());
        hash
    };
    chunks.map(&mut chain_block).collect()
}

enum Event {
    Token { index: usize, text: String },
    End { tokens: usize },
    Nothing,
}

/// A reader of a stream; its end is noted even when the connection breaks.
struct Reader {
    engine: Arc<Engine>,
    id: String,
    next: usize,
    produced: watch::Receiver<usize>,
    ended: bool,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.engine.set_reader(&self.id, false);
    }
}

impl Reader {
    async fn read(mut self) -> Option<(Result<Bytes, std::io::Error>, Reader)> {
        loop {
            if self.ended {
                return None;
            }
            self.engine.faults.while_paused().await;
            self.produced.borrow_and_update();
            match self.engine.event(&self.id, self.next)? {
                Event::Token { index, text } => {
                    self.next += 1;
                    let line = format!("data: {{\"index\":{index},\"text\":\"{text}\"}}\n\n");
                    return Some((Ok(Bytes::from(line)), self));
                }
                Event::End { tokens } => {
                    self.ended = true;
                    let line =
                        format!("data: {{\"finish_reason\":\"length\",\"tokens\":{tokens}}}\n\n");
                    return Some((Ok(Bytes::from(line)), self));
                }
                Event::Nothing => self.produced.changed().await.ok()?,
            }
        }
    }
}

fn engine(depot: &Depot) -> Arc<Engine> {
    Arc::clone(depot.get_typed::<Arc<Engine>>().expect("the engine is injected"))
}

fn send_stream(engine: &Arc<Engine>, id: &str, from: Option<usize>, res: &mut Response) {
    let Some(produced) = engine.set_reader(id, true) else {
        res.status_code(StatusCode::NOT_FOUND);
        return;
    };
    let first = engine.lock().streams.get(id).map_or(0, |stream| stream.first);
    let reader = Reader {
        engine: Arc::clone(engine),
        id: id.to_owned(),
        next: from.unwrap_or(first),
        produced,
        ended: false,
    };
    let content_type = salvo::http::HeaderValue::from_static("text/event-stream");
    res.headers_mut().insert("content-type", content_type);
    res.stream(Box::pin(stream::unfold(reader, Reader::read)));
}

#[handler]
async fn complete(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let engine = engine(depot);
    let Ok(start) = req.parse_json_with_max_size::<Start>(8 << 20).await else {
        res.status_code(StatusCode::BAD_REQUEST);
        return;
    };
    let id = start.stream_id.clone();
    if !engine.begin(start) {
        res.status_code(StatusCode::SERVICE_UNAVAILABLE);
        res.render(Json(serde_json::json!({ "ran": false, "leaving": engine.lock().leaving })));
        return;
    }
    send_stream(&engine, &id, None, res);
}

#[handler]
async fn attach_again(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let id = req.param::<String>("id").unwrap_or_default();
    let from = req.query::<usize>("from").unwrap_or(0);
    send_stream(&engine(depot), &id, Some(from), res);
}

#[handler]
async fn cancel_stream(req: &mut Request, depot: &mut Depot) {
    let id = req.param::<String>("id").unwrap_or_default();
    let engine = engine(depot);
    let mut state = engine.lock();
    if state.streams.remove(&id).is_some_and(|stream| !stream.is_done()) {
        state.stats.cancelled += 1;
    }
}

#[handler]
async fn answer_load(depot: &mut Depot, res: &mut Response) {
    let engine = engine(depot);
    let mut load = engine.lock().reported.clone();
    if load.slots == 0 {
        load = engine.measure();
    }
    res.render(Json(load));
}

#[handler]
async fn answer_cache_events(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let after = req.query::<u64>("after").unwrap_or(0);
    let engine = engine(depot);
    let state = engine.lock();
    let events: Vec<_> = state.cache_events.iter().filter(|e| e.number > after).cloned().collect();
    res.render(Json(events));
}

#[handler]
async fn take_order(req: &mut Request, depot: &mut Depot, res: &mut Response) {
    let engine = engine(depot);
    let Ok(order) = req.parse_json::<ModelOrder>().await else {
        res.status_code(StatusCode::BAD_REQUEST);
        return;
    };
    let load_model_ms = engine.settings.load_model_ms;
    {
        let mut state = engine.lock();
        if engine.settings.checks_fencing && order.fencing < state.highest_fencing {
            state.stats.refused_orders += 1;
            res.status_code(StatusCode::CONFLICT);
            return;
        }
        state.highest_fencing = order.fencing.max(state.highest_fencing);
        state.stats.orders += 1;
    }
    tokio::time::sleep(Duration::from_millis(load_model_ms)).await;
    engine.lock().models = order.models;
}

#[handler]
async fn start_leaving(depot: &mut Depot) {
    engine(depot).lock().leaving = true;
}

#[handler]
async fn answer_stats(depot: &mut Depot, res: &mut Response) {
    res.render(Json(engine(depot).lock().stats.clone()));
}
