//! Messages that are damaged: an instance drops them, logs no panic, and serves on.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use siskinrock::gateway::control::fetch::{CONFIG_PATH, LIST_PATH};
use siskinrock::gateway::dialect::Dialect;
use siskinrock::gateway::directory::Record;
use siskinrock::gateway::loads::{SentRequests, UpstreamLoad};
use siskinrock::gateway::membership::{self, Message, Phase};
use siskinrock::gateway::metrics::Metrics;
use siskinrock::gateway::native;
use siskinrock::gateway::policy::usage::{Usage, UsageUpdate, Window};
use siskinrock::gateway::tasks;
use siskinrock::log;
use siskinrock::platform::{self, document};
use siskinrock_fakes::caller::{self, Call};
use siskinrock_fakes::process::wait_for;
use siskinrock_fakes::site;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};
use yare::parameterized;

use crate::run::{Ground, get};

/// How long messages are collected before they are damaged.
const COLLECTING: Duration = Duration::from_secs(3);
const LONGEST_BYTES: usize = 64 << 10;
/// Damaged messages, in bursts small enough for the socket to hold.
const DAMAGED: usize = 20_000;
const BURST: usize = 100;

/// An instance of the test's own, with which a gateway exchanges messages.
struct Peer {
    socket: UdpSocket,
    gateway: SocketAddr,
    collected: Vec<Vec<u8>>,
}

impl Peer {
    async fn next(&mut self) -> Option<Message> {
        let mut buffer = vec![0; LONGEST_BYTES];
        let received = self.socket.recv_from(&mut buffer);
        let (length, _) =
            tokio::time::timeout(Duration::from_secs(1), received).await.ok()?.ok()?;
        buffer.truncate(length);
        let message = membership::decode(&buffer);
        self.collected.push(buffer);
        message
    }

    async fn send(&self, bytes: &[u8]) {
        // What the gateway's socket can't hold is lost, as on a link.
        let _ = self.socket.send_to(bytes, self.gateway).await;
    }

    /// Answers as a member would, so that the gateway tells it all that it tells others.
    async fn collect(&mut self) {
        let since = Instant::now();
        let own = self.socket.local_addr().unwrap();
        while since.elapsed() < COLLECTING {
            let Some(Message::Ping(probe)) = self.next().await else { continue };
            let near = Arc::clone(&probe.descriptor.registration.domain);
            for (id, domain) in [("edge-near", near), ("edge-far", Arc::from("krabi-hall"))] {
                let mut probe = probe.clone();
                let registration = &mut probe.descriptor.registration;
                registration.id = Arc::from(id);
                registration.domain = domain;
                registration.incarnation = 7;
                registration.peer_addr = own;
                registration.front_addr = SocketAddr::new(own.ip(), 9);
                probe.descriptor.phase = Phase::Ready;
                for message in [Message::Ack(probe.clone()), Message::Ping(probe)] {
                    let bytes = membership::encode(&message).unwrap();
                    self.send(&bytes).await;
                    self.collected.push(bytes);
                }
            }
        }
        let kinds = self.collected.iter().filter_map(|bytes| membership::decode(bytes));
        let kinds: BTreeSet<String> = kinds.map(|message| kind(&message)).collect();
        println!("{} messages collected, of the kinds {kinds:?}", self.collected.len());
    }
}

/// The name of a kind of message.
fn kind(message: &Message) -> String {
    format!("{message:?}").chars().take_while(char::is_ascii_alphabetic).collect()
}

/// A gateway's ordinary work, of which it tells others.
async fn work(front: SocketAddr) {
    let call = |number: usize, method: &'static str, path: &str| Call {
        method,
        path: path.to_owned(),
        host: site::HOST.to_owned(),
        id: format!("{number:016x}"),
        key: Some(site::KEY.to_owned()),
        deadline_ms: 5_000,
        last_event: None,
        resumes: None,
        shared_parts: vec!["a shared beginning".to_owned()],
        part: Some(format!("{number:016x}")),
        body: if method == "POST" { b"a body".to_vec() } else { Vec::new() },
    };
    for number in 0.. {
        let stream = call(3 * number, "POST", "/plan/voyage");
        tokio::spawn(async move { caller::stream(front, &stream).await });
        let _ = caller::send(front, &call(3 * number + 1, "GET", "/look/a")).await;
        let _ = caller::send(front, &call(3 * number + 2, "POST", "/book/a")).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Changes a message at a few places: other bytes, numbers of the largest kind, pieces cut or doubled.
pub fn damage(bytes: &[u8], random: &mut Rng) -> Vec<u8> {
    let mut bytes = bytes.to_vec();
    for _ in 0..random.usize(1..3) {
        if bytes.is_empty() {
            break;
        }
        let at = random.usize(..bytes.len());
        let is_small_number = bytes[at] < 0x80;
        match random.u8(..12) {
            0 => bytes[at] = random.u8(..),
            1 => bytes.truncate(at),
            2..=5 if is_small_number => {
                drop(bytes.splice(at..=at, [0xcf, 255, 255, 255, 255, 255, 255, 255, 255]))
            }
            6..=7 if is_small_number => {
                drop(bytes.splice(at..=at, [0xcb, 0x7f, 0xf8, 0, 0, 0, 0, 0, 0]));
            }
            8..=9 if is_small_number => bytes[at] = 0,
            _ => {
                let end = random.usize(at..bytes.len());
                let piece = bytes[at..end].to_vec();
                bytes.splice(at..at, piece);
            }
        }
    }
    bytes
}

/// Guards against a datagram that ends the task which receives them, or the process.
#[parameterized(one = { 1 }, two = { 2 }, loads = { 31 }, ledger = { 52 })]
#[test_macro(tokio::test)]
async fn damaged_datagrams_are_borne(seed: u64) {
    let ground = Ground::new().await;
    let socket = UdpSocket::bind(SocketAddr::from((ground.ip(), 20_100))).await.unwrap();
    let own = format!("\"{}\",", socket.local_addr().unwrap());
    ground.write(&ground.settings().replace("seeds = [", &format!("seeds = [{own}")));
    let mut running = ground.start();
    ground.wait_until_ready().await;
    let mut peer = Peer { socket, gateway: ground.peer(), collected: Vec::new() };
    let working = tokio::spawn(work(ground.front()));
    peer.collect().await;
    assert!(peer.collected.len() > 10, "{} messages", peer.collected.len());
    let mut random = Rng::with_seed(seed);
    let mut read = 0;
    for number in 0..DAMAGED {
        let bytes = damage(&peer.collected[random.usize(..peer.collected.len())], &mut random);
        read += usize::from(membership::decode(&bytes).is_some());
        peer.send(&bytes).await;
        if number % BURST == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    println!("{read} of {DAMAGED} damaged messages can be read");
    working.abort();
    running.assert_lives("by damaged datagrams");
    let log = running.log();
    assert!(!log.contains("panicked"), "{log}");
    wait_for("it still exchanges messages", async || {
        matches!(peer.next().await, Some(Message::Ping(_) | Message::Ack(_)))
    })
    .await;
    assert!(get(ground.metrics(), "/metrics").await.is_some());
}

/// Guards against a document whose depth overflows the stack of a thread.
#[tokio::test]
async fn deep_documents_are_borne() {
    /// Deeper than any reader follows.
    const DEPTH: usize = 1_000;
    const DEEP_BYTES: usize = 60_000;
    let ground = Ground::new().await;
    ground.write(&ground.settings());
    let mut running = ground.start();
    ground.wait_until_ready().await;
    // Arrays of one entry each, as MessagePack.
    let deep = vec![0x91; DEEP_BYTES];
    let socket = UdpSocket::bind(SocketAddr::from((ground.ip(), 0))).await.unwrap();
    socket.send_to(&deep, ground.peer()).await.unwrap();
    for path in [CONFIG_PATH, LIST_PATH] {
        let mut stream = TcpStream::connect(ground.peer()).await.unwrap();
        let head = format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 4000\r\n\r\n");
        stream.write_all(head.as_bytes()).await.unwrap();
        stream.write_all(&deep[..4_000]).await.unwrap();
    }
    for key in ["op/config", "servers/deep", "instances/deep", "crashes/deep"] {
        ground.site.store.put(key, &nested(DEPTH));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    running.assert_lives("by deep documents");
    assert!(ground.is_ready().await);
    assert!(!running.log().contains("panicked"), "{}", running.log());
}

/// A document of so many lists, one in the other.
fn nested(depth: usize) -> serde_json::Value {
    (0..depth).fold(serde_json::json!(1), |inner, _| serde_json::json!([inner]))
}

/// Guards against a half-dead instance: a task that others rely on goes on after a panic in it.
#[tokio::test]
async fn a_task_that_panics_is_started_again() {
    const PANICS: usize = 3;
    let metrics = Arc::new(Metrics::default());
    let starts = Rc::new(Cell::new(0));
    let counted = Rc::clone(&starts);
    let kept = Arc::clone(&metrics);
    let run = async {
        tasks::keep_running("a task", log::discard(), kept, move || {
            counted.set(counted.get() + 1);
            let number = counted.get();
            async move { assert!(number > PANICS, "on purpose") }
        })
        .await
    };
    tokio::task::LocalSet::new().run_until(run).await.unwrap();
    assert_eq!(starts.get(), PANICS + 1);
    assert!(metrics.render().contains("siskinrock_tasks_restarted 3"), "{}", metrics.render());
}

/// Guards against sums that overflow by what one instance tells of itself.
#[test]
fn numbers_of_other_instances_are_bounded_as_they_are_read() {
    const REPORTS: usize = 100;
    let (count, tokens) = (u32::MAX, u64::MAX);
    let told = rmp_serde::to_vec(&("an upstream", count, count, count, tokens, tokens)).unwrap();
    let mut load: UpstreamLoad = rmp_serde::from_slice(&told).unwrap();
    let one = load.clone();
    (0..REPORTS).for_each(|_| load.add(&one));
    assert!(load.runs < u32::MAX / 2 && load.pending_tokens < u64::MAX / 2, "{load:?}");
    let told = rmp_serde::to_vec(&("a service", u64::MAX, u64::MAX)).unwrap();
    let sent: SentRequests = rmp_serde::from_slice(&told).unwrap();
    assert!(sent.requests < u64::MAX / 1_000_000 && sent.repeats < u64::MAX / 1_000_000);
}

/// Numbers at which sums overflow, or that are none.
const ODD_NUMBERS: [&str; 9] = [
    "18446744073709551615",
    "99999999999999999999999999999999",
    "9007199254740993",
    "1e400",
    "-1e400",
    "nan",
    "-1",
    "",
    "0x10",
];

fn headers(fields: &[(&'static str, String)]) -> HeaderMap {
    let fields = fields.iter().map(|(name, value)| {
        (HeaderName::from_static(name), HeaderValue::try_from(value).unwrap())
    });
    fields.collect()
}

/// Guards against sums that overflow by what one caller or one upstream says.
#[test]
fn numbers_of_callers_and_upstreams_are_bounded_as_they_are_read() {
    /// As many as callers may have at once, and more.
    const REQUESTS: u64 = 1 << 20;
    let dialects: [&dyn Dialect; 2] = [&native::wire::Wire, &platform::wire::Wire::new()];
    for (dialect, number) in dialects.iter().flat_map(|dialect| ODD_NUMBERS.map(|n| (dialect, n))) {
        let demand = dialect.demand(&headers(&[
            ("x-token-usage", format!("{number},{number}")),
            ("x-prompt-prefix", format!("a:{number},b:{number}")),
            ("siskinrock-prompt-tokens", number.to_owned()),
            ("siskinrock-output-tokens", number.to_owned()),
            ("siskinrock-prompt-part", "a".to_owned()),
            ("x-request-deadline", number.to_owned()),
            ("siskinrock-deadline-ms", number.to_owned()),
            ("last-event-id", number.to_owned()),
        ]));
        let parts = demand.prompt_parts.iter().map(|part| part.tokens);
        for tokens in parts.chain([demand.prompt_tokens, demand.output_tokens]) {
            assert!(tokens.checked_mul(REQUESTS).is_some(), "{number}: {tokens} tokens");
        }
        let marks = dialect.marks(&headers(&[
            ("keep-alive", format!("timeout={number}")),
            ("retry-after", number.to_owned()),
            ("server-limit", number.to_owned()),
            ("server-brittle", number.to_owned()),
            ("x-server-load", format!("{number},{number},{number},{number}")),
        ]));
        for time_ms in [demand.deadline_ms, marks.keep_ms, marks.retry_after_ms] {
            let bounded = time_ms.is_none_or(|time_ms| time_ms.checked_mul(REQUESTS).is_some());
            assert!(bounded, "{number}: {time_ms:?} ms");
        }
    }
}

/// Guards against sums that overflow by the usage that one instance tells.
#[test]
fn usage_of_other_instances_is_bounded_as_it_is_read() {
    let counts = |count: u64| BTreeMap::from([("an organisation", count)]);
    let slots = BTreeMap::from([(u64::MAX, counts(7)), (1, counts(u64::MAX))]);
    let mut usage = Usage::default();
    for id in ["one", "two", "three"] {
        let told = rmp_serde::to_vec(&(id, 1, u64::MAX, u64::MAX, &slots)).unwrap();
        let update: UsageUpdate = rmp_serde::from_slice(&told).unwrap();
        usage.apply(update, 5_000);
    }
    let cluster_ms = usage.cluster_ms(6_000);
    let window = Window::containing(cluster_ms, 1_000);
    assert!(window.end_ms() > cluster_ms);
    assert!(usage.counts_in(Window { number: 0, length_ms: u64::MAX }).len() <= 1);
}

/// Guards against callers whose numbers end a thread, or cost others their answers.
#[tokio::test]
async fn odd_numbers_of_callers_are_borne() {
    let ground = Ground::new().await;
    ground.write(&ground.settings());
    let mut running = ground.start();
    ground.wait_until_ready().await;
    for (order, number) in ODD_NUMBERS.into_iter().enumerate() {
        for (path, last) in
            [("/plan/voyage", Some(number)), ("/plan/voyage", None), ("/look/a", None)]
        {
            send_odd(ground.front(), order, path, number, last).await;
        }
    }
    running.assert_lives("by odd numbers");
    let log = running.log();
    assert!(!log.contains("panicked"), "{log}");
    let call = Call {
        method: "POST",
        path: "/plan/voyage".to_owned(),
        host: site::HOST.to_owned(),
        id: format!("{:016x}", 99),
        key: Some(site::KEY.to_owned()),
        deadline_ms: 5_000,
        last_event: None,
        resumes: None,
        shared_parts: Vec::new(),
        part: Some("a".to_owned()),
        body: b"a body".to_vec(),
    };
    let stream = caller::stream(ground.front(), &call).await;
    assert!(stream.is_ok_and(|stream| stream.is_complete), "{}", running.log());
}

/// Sends a request with an odd number in each of its fields, and waits for the first byte of its answer.
async fn send_odd(front: SocketAddr, order: usize, path: &str, number: &str, last: Option<&str>) {
    let method = if path == "/look/a" { "GET" } else { "POST" };
    let last = last.map(|last| format!("Last-Event-Id: {last}\r\n")).unwrap_or_default();
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {}\r\nX-Key: {}\r\nX-Request-Id: {order:016x}\r\n\
         X-Request-Deadline: {number}\r\n{last}X-Token-Usage: {number},{number}\r\n\
         X-Prompt-Prefix: aa:{number},bb:{number}\r\nKeep-Alive: timeout={number}\r\n\
         Content-Length: 0\r\n\r\n",
        site::HOST,
        site::KEY,
    );
    let mut stream = TcpStream::connect(front).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut first = [0; 12];
    let read = tokio::time::timeout(Duration::from_secs(10), stream.read_exact(&mut first));
    let read = read.await.unwrap_or_else(|_| panic!("{path} with {number}: no answer"));
    assert!(read.is_ok(), "{path} with {number}: {read:?}");
}

/// Guards against a record that ends its reader, or counts for longer than it says, by a clock that is
/// in 1970 or far ahead.
#[parameterized(in_1970 = { 0 }, an_hour_ahead = { 3_600_000 }, at_the_end = { u64::MAX })]
fn a_record_written_by_a_wrong_clock_is_borne(written_unix_ms: u64) {
    const LEFT_MS: u64 = 5_000;
    let record = serde_json::json!({
        "fingerprint": 7, "epoch": 1, "crashes": [], "event": 3, "left_ms": LEFT_MS, "age_ms": 100,
    });
    let now_ms = siskinrock::clock::wall_ms();
    let written =
        if written_unix_ms == 3_600_000 { now_ms + written_unix_ms } else { written_unix_ms };
    let stored = serde_json::json!({ "record": record, "written_unix_ms": written });
    let decoded = document::decode("siskinrock/crashes/7", stored.to_string().as_bytes(), 1);
    let Some(Record::Crashes(read)) = decoded else { panic!("{decoded:?}") };
    assert!(read.left_ms.is_some_and(|left_ms| left_ms <= LEFT_MS) && read.age_ms >= 100);
}
