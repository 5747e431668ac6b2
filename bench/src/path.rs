//! Streams and calls through a router, against a direct connection and a bare relay.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use serde::Serialize;
use siskinrock_standin::engine;

use crate::fit::{self, Percentiles};
use crate::fleet::{Fleet, HARBOUR_KEY, Shape};
use crate::{forwarder, relay, usage};

const STREAMS: usize = 60;
const TOKENS: usize = 200;
const ROUNDS: usize = 3;
const REPORTS_PASS: Duration = Duration::from_secs(4);
const CALLS: usize = 2_000;
const IDLE_STREAMS: usize = 400;

/// One way to the upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
enum Way {
    Direct,
    Relay,
    Router,
    Gateway,
}

#[derive(Debug, Serialize)]
pub struct Report {
    streams: Vec<Streams>,
    calls: Vec<Calls>,
    idle_stream_kb: f64,
}

#[derive(Debug, Serialize)]
struct Streams {
    way: Way,
    first_ms: Percentiles,
    gap_ms: Percentiles,
}

#[derive(Debug, Serialize)]
struct Calls {
    way: Way,
    what: &'static str,
    ms: Percentiles,
}

/// Where each way begins.
struct Ways {
    engine: [String; 4],
    seats: [String; 4],
}

impl Ways {
    fn engine(&self, way: Way) -> &str {
        &self.engine[way as usize]
    }

    fn seats(&self, way: Way) -> &str {
        &self.seats[way as usize]
    }
}

pub async fn run() -> serde_json::Value {
    let engine = engine::Settings { slots: 64, ..engine::Settings::default() };
    let shape = Shape { engines: 1, engine, queue: 1_000, ..Shape::default() };
    let fleet = Fleet::start(&shape).await;
    let engine_relay = relay::start(&fleet.engines[0].addr.to_string());
    let seats_relay = relay::start(&fleet.seats.addr.to_string());
    let router = fleet.routers[0].addr.clone();
    let engine_addr = fleet.engines[0].addr.to_string().parse().expect("an address");
    let seats_addr = fleet.seats.addr.to_string().parse().expect("an address");
    let gateway = forwarder::start(engine_addr, seats_addr).await;
    let ways = Ways {
        engine: [
            fleet.engines[0].addr.to_string(),
            engine_relay.addr.to_string(),
            router.clone(),
            gateway.addr.to_string(),
        ],
        seats: [
            fleet.seats.addr.to_string(),
            seats_relay.addr.to_string(),
            format!("{router}/v1/services/booking"),
            gateway.addr.to_string(),
        ],
    };
    let mut report = Report { streams: Vec::new(), calls: Vec::new(), idle_stream_kb: 0.0 };
    for way in [Way::Direct, Way::Relay, Way::Router, Way::Gateway] {
        report.streams.push(streams(&fleet, &ways, way).await);
    }
    for way in [Way::Direct, Way::Relay, Way::Router, Way::Gateway] {
        report.calls.push(calls(&fleet, &ways, way, "repeatable").await);
    }
    for way in [Way::Direct, Way::Relay, Way::Router, Way::Gateway] {
        report.calls.push(calls(&fleet, &ways, way, "not repeatable").await);
    }
    report.idle_stream_kb = idle_streams(&fleet).await;
    let flood = flood(&fleet);
    tokio::time::sleep(Duration::from_secs(1)).await;
    report.calls.push(calls(&fleet, &ways, Way::Relay, "repeatable, generations full").await);
    report.calls.push(calls(&fleet, &ways, Way::Router, "repeatable, generations full").await);
    flood.abort();
    print(&report);
    serde_json::to_value(report).expect("a report is plain data")
}

async fn streams(fleet: &Fleet, ways: &Ways, way: Way) -> Streams {
    let mut first = Vec::new();
    let mut gaps = Vec::new();
    for round in 0..ROUNDS {
        // The load that instances see lags: what ran before has to be out of every report.
        tokio::time::sleep(REPORTS_PASS).await;
        let mut tasks = Vec::new();
        for number in 0..STREAMS {
            let key = format!("{way:?}-{round}-{number}");
            let request = stream_request(fleet, ways, way, &key, TOKENS);
            tasks.push(tokio::spawn(time_stream(request)));
            // Callers don't come in step with the engine or with each other.
            tokio::time::sleep(Duration::from_micros(fastrand::u64(300..1_500))).await;
        }
        for task in tasks {
            let times = task.await.expect("a stream can be timed");
            first.push(times.first_ms);
            gaps.extend(times.gaps_ms);
        }
    }
    Streams { way, first_ms: fit::percentiles(first), gap_ms: fit::percentiles(gaps) }
}

fn stream_request(
    fleet: &Fleet,
    ways: &Ways,
    way: Way,
    key: &str,
    tokens: usize,
) -> reqwest::RequestBuilder {
    let url = format!("http://{}/v1/completions", ways.engine(way));
    let request = fleet.http.post(url);
    // One prompt for all, so that each way finds the same prefix cache.
    let prompt = siskinrock_standin::VOYAGE;
    if way == Way::Router {
        let body = serde_json::json!({
            "model": "plan-1", "prompt": prompt, "max_tokens": tokens, "stream": true
        });
        return request.bearer_auth(HARBOUR_KEY).header("idempotency-key", key).json(&body);
    }
    let start = engine::Start {
        stream_id: key.to_owned(),
        model: "plan-1@1".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens: tokens,
        priority: 1,
        prefix: Vec::new(),
    };
    request.json(&start)
}

struct Times {
    first_ms: f64,
    gaps_ms: Vec<f64>,
}

/// Times the chunks that carry tokens; all ways send one token in each.
async fn time_stream(request: reqwest::RequestBuilder) -> Times {
    let start = Instant::now();
    let response = request.send().await.expect("the stream begins");
    assert_eq!(response.status().as_u16(), 200);
    let mut bytes = response.bytes_stream();
    let mut times = Times { first_ms: 0.0, gaps_ms: Vec::new() };
    let mut last = None;
    while let Some(Ok(chunk)) = bytes.next().await {
        let is_token = chunk.windows(7).any(|window| window == b"\"text\":");
        if !is_token {
            continue;
        }
        let now = Instant::now();
        match last.replace(now) {
            None => times.first_ms = ms(now.duration_since(start)),
            Some(before) => times.gaps_ms.push(ms(now.duration_since(before))),
        }
    }
    times
}

async fn calls(fleet: &Fleet, ways: &Ways, way: Way, what: &'static str) -> Calls {
    let mut times = Vec::new();
    for number in 0..CALLS {
        let base = ways.seats(way);
        let request = if what == "not repeatable" {
            let url = format!("http://{base}/book");
            let body = serde_json::json!({ "seat": number.to_string(), "who": "harbour" });
            let key = format!("{way:?}-{number}");
            fleet.http.post(url).header("idempotency-key", key).json(&body)
        } else {
            fleet.http.get(format!("http://{base}/check/A1"))
        };
        let start = Instant::now();
        let response = request.bearer_auth(HARBOUR_KEY).send().await.expect("the call is answered");
        let status = response.status().as_u16();
        response.bytes().await.expect("the answer is whole");
        times.push(ms(start.elapsed()));
        assert_eq!(status, 200);
    }
    Calls { way, what, ms: fit::percentiles(times) }
}

/// The memory that a stream takes in a router while its engine stands still.
async fn idle_streams(fleet: &Fleet) -> f64 {
    let pid = fleet.routers[0].pid();
    let before = usage::of(pid).memory_kb;
    let url = format!("http://{}/v1/completions", fleet.routers[0].addr);
    let body = serde_json::json!({
        "model": "plan-1", "prompt": "idle", "max_tokens": 100_000, "stream": true
    });
    let mut open = Vec::new();
    for number in 0..IDLE_STREAMS {
        let request = fleet.http.post(&url).bearer_auth(HARBOUR_KEY).json(&body);
        let request = request.header("idempotency-key", format!("idle-{number}"));
        open.push(tokio::spawn(request.send()));
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let after = usage::of(pid).memory_kb;
    for task in open {
        task.abort();
    }
    (after - before) / IDLE_STREAMS as f64
}

/// Keeps every generation slot full and the queue at its bound.
fn flood(fleet: &Fleet) -> tokio::task::JoinHandle<()> {
    let url = format!("http://{}/v1/completions", fleet.routers[0].addr);
    let http = fleet.http.clone();
    tokio::spawn(async move {
        let body = serde_json::json!({
            "model": "plan-1", "prompt": "flood", "max_tokens": 100_000, "stream": true
        });
        let mut open = Vec::new();
        for number in 0..1_200 {
            let request = http.post(&url).bearer_auth(HARBOUR_KEY).json(&body);
            let request = request.header("idempotency-key", format!("flood-{number}"));
            open.push(request.send());
        }
        futures_util::future::join_all(open).await;
    })
}

fn print(report: &Report) {
    println!("{STREAMS} streams at 20 ms steps, {ROUNDS} rounds of {TOKENS} tokens");
    println!("way      first p50   p99 ms   gap p50    p99    max ms");
    for streams in &report.streams {
        let (first, gap) = (streams.first_ms, streams.gap_ms);
        println!(
            "{:<8} {:>9.2} {:>8.2} {:>9.2} {:>6.2} {:>9.2}",
            format!("{:?}", streams.way),
            first.p50,
            first.p99,
            gap.p50,
            gap.p99,
            gap.max
        );
    }
    let [direct, relay, ours @ ..] = &report.streams[..] else { return };
    for own in ours {
        let way = format!("{:?}", own.way);
        println!("{way}: gap p99 over direct {:.3}", own.gap_ms.p99 / direct.gap_ms.p99);
        println!("{way}: first p99 over relay {:+.2} ms", own.first_ms.p99 - relay.first_ms.p99);
        println!("{way}: first p50 over relay {:+.2} ms", own.first_ms.p50 - relay.first_ms.p50);
    }
    for calls in &report.calls {
        let same = |other: &&Calls| other.way == Way::Relay && calls.what.starts_with(other.what);
        let relay = report.calls.iter().find(same).map_or(1.0, |relay| relay.ms.p99);
        println!(
            "{:<30} {:<7} p50 {:.3} p99 {:.3} max {:.2} ms, p99 over relay {:.2}",
            calls.what,
            format!("{:?}", calls.way),
            calls.ms.p50,
            calls.ms.p99,
            calls.ms.max,
            calls.ms.p99 / relay
        );
    }
    println!("memory of an idle stream: {:.1} KB", report.idle_stream_kb);
}

fn ms(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
