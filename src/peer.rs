//! Calls from one instance to another, and the seam through which holders are asked.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwap;
use futures_util::future::BoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{Semaphore, mpsc, oneshot};

use crate::control::membership::Member;
use crate::limited;
use crate::records::record::{Reply, Request};
use crate::wire::{self, Batch, Replies};

/// How long a holder may take to answer.
const ASK_TIMEOUT_MS: u64 = 400;
/// How many calls with one operation may be under way to one holder.
const CALLS_AT_ONCE: usize = 2;
/// How many batches may be under way beside them.
const BATCHES_AT_ONCE: usize = 2;
/// Where holders take operations.
const RECORDS_PATH: &str = "/peer/records";
/// The maximum size of an answer: a handover brings the records of several slots.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// The most operations in one batch.
const BATCH_LIMIT: usize = 256;

/// Whoever can be asked about records.
pub trait Holders: Send + Sync {
    /// Asks one holder; `None` if it did not answer in time.
    fn ask<'a>(&'a self, holder: &'a Member, request: Request) -> BoxFuture<'a, Option<Reply>>;
}

/// What HTTP adds to a message, roughly: the request or status line and its headers.
pub const HEADER_BYTES: u64 = 200;

/// Bytes that went over the network, with an estimate of headers.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Sent from here.
    pub sent_bytes: AtomicU64,
    /// Received here.
    pub received_bytes: AtomicU64,
}

impl Traffic {
    /// Counts a request and its answer, from the view of the one who asks.
    pub fn count(&self, sent: usize, received: usize) {
        self.sent_bytes.fetch_add(sent as u64 + HEADER_BYTES, Ordering::Relaxed);
        self.received_bytes.fetch_add(received as u64 + HEADER_BYTES, Ordering::Relaxed);
    }
}

/// Calls to other instances.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
    key: Arc<str>,
    traffic: Arc<Traffic>,
}

impl Client {
    /// Calls that carry `key`.
    pub fn new(http: reqwest::Client, key: &str) -> Client {
        Client { http, key: Arc::from(key), traffic: Arc::default() }
    }

    /// The same calls over other connections, counted together.
    pub fn over(&self, http: reqwest::Client) -> Client {
        Client { http, ..self.clone() }
    }

    /// The bytes of all calls.
    pub fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Sends a message and decodes the answer; `None` if there was none in time.
    pub async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        addr: &str,
        path: &str,
        message: &Q,
        timeout_ms: u64,
    ) -> Option<A> {
        let request = self.http.post(format!("http://{addr}{path}"));
        let body = wire::encode(message);
        let sent_len = body.len();
        let request = request.header(wire::PEER_KEY, &*self.key).body(body);
        let sent = request.timeout(Duration::from_millis(timeout_ms)).send().await;
        let response = sent.ok()?.error_for_status().ok()?;
        let answer = limited::read(response, MAX_ANSWER_BYTES).await.ok()?;
        self.traffic.count(sent_len, answer.len());
        wire::decode(&answer).ok()
    }

    /// Opens a stream of a generation that a peer serves.
    pub async fn follow(&self, addr: &str, key: &str, from: u32) -> Option<reqwest::Response> {
        let request = self.http.get(format!("http://{addr}/peer/follow?from={from}"));
        // A key has visible characters only, so that it can stand in a header as it is.
        let request = request.header(wire::FOLLOWED_KEY, key);
        let response = request.header(wire::PEER_KEY, &*self.key).send().await.ok()?;
        response.error_for_status().ok()
    }
}

struct Pending {
    request: Request,
    reply: oneshot::Sender<Reply>,
}

/// Holders over the network.
///
/// A lone operation is sent at once. While several calls to a holder are under way, further
/// operations gather for the next one, so that the number of calls stays near constant as streams
/// are added.
pub struct RemoteHolders {
    client: Client,
    lines: ArcSwap<Lines>,
    opening: Mutex<()>,
}

type Lines = HashMap<Arc<str>, Arc<Line>>;

/// The operations for one holder.
struct Line {
    under_way: AtomicUsize,
    gathered: mpsc::UnboundedSender<Pending>,
}

/// Counts a call as under way for as long as it lives.
struct UnderWay<'a>(&'a AtomicUsize);

impl Line {
    fn try_begin(&self) -> Option<UnderWay<'_>> {
        let under_way = UnderWay(&self.under_way);
        let before = self.under_way.fetch_add(1, Ordering::Relaxed);
        (before < CALLS_AT_ONCE).then_some(under_way)
    }
}

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl RemoteHolders {
    /// Holders that are reached through `client`.
    pub fn new(client: Client) -> RemoteHolders {
        RemoteHolders { client, lines: ArcSwap::default(), opening: Mutex::default() }
    }

    fn line(&self, addr: &Arc<str>) -> Option<Arc<Line>> {
        if let Some(line) = self.lines.load().get(addr) {
            return Some(Arc::clone(line));
        }
        let _one_at_a_time = self.opening.lock().ok()?;
        if let Some(line) = self.lines.load().get(addr) {
            return Some(Arc::clone(line));
        }
        let (gathered, receiver) = mpsc::unbounded_channel();
        tokio::spawn(send_gathered(self.client.clone(), Arc::clone(addr), receiver));
        let line = Arc::new(Line { under_way: AtomicUsize::new(0), gathered });
        let mut lines = Lines::clone(&self.lines.load());
        lines.insert(Arc::clone(addr), Arc::clone(&line));
        self.lines.store(Arc::new(lines));
        Some(line)
    }

    async fn ask_over(&self, addr: &Arc<str>, request: Request) -> Option<Reply> {
        let line = self.line(addr)?;
        if let Some(_under_way) = line.try_begin() {
            let batch = Batch { requests: vec![request] };
            let answer = self.client.post(addr, RECORDS_PATH, &batch, ASK_TIMEOUT_MS).await;
            return answer.and_then(|Replies { mut replies }| replies.pop());
        }
        let (reply, answered) = oneshot::channel();
        line.gathered.send(Pending { request, reply }).ok()?;
        let timeout = Duration::from_millis(ASK_TIMEOUT_MS);
        tokio::time::timeout(timeout, answered).await.ok()?.ok()
    }
}

impl Holders for RemoteHolders {
    fn ask<'a>(&'a self, holder: &'a Member, request: Request) -> BoxFuture<'a, Option<Reply>> {
        Box::pin(self.ask_over(&holder.addr, request))
    }
}

async fn send_gathered(client: Client, addr: Arc<str>, mut line: mpsc::UnboundedReceiver<Pending>) {
    let permits = Arc::new(Semaphore::new(BATCHES_AT_ONCE));
    let mut gathered = Vec::new();
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        if line.recv_many(&mut gathered, BATCH_LIMIT).await == 0 {
            return;
        }
        let pending = std::mem::take(&mut gathered);
        let client = client.clone();
        let addr = Arc::clone(&addr);
        tokio::spawn(async move {
            send_batch(&client, &addr, pending).await;
            drop(permit);
        });
    }
}

async fn send_batch(client: &Client, addr: &str, pending: Vec<Pending>) {
    let is_wanted = |pending: &Pending| !pending.reply.is_closed();
    let (requests, replies): (Vec<_>, Vec<_>) =
        pending.into_iter().filter(is_wanted).map(|p| (p.request, p.reply)).unzip();
    if requests.is_empty() {
        return;
    }
    let batch = Batch { requests };
    let answer = client.post(addr, RECORDS_PATH, &batch, ASK_TIMEOUT_MS).await;
    let Some(Replies { replies: answers }) = answer else { return };
    for (reply, answer) in replies.into_iter().zip(answers) {
        // A receiver that has gone no longer wants it.
        let _ = reply.send(answer);
    }
}
