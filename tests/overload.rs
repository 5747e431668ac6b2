//! Promise: quick calls are answered promptly, and who is refused is told at once when to return.

mod support;

use std::time::{Duration, Instant};

use siskinrock_standin::engine;
use siskinrock_standin::fault::Order;
use support::{Cluster, HARBOUR_KEY, Shape};

/// Sends a generation and gives back its status and headers as soon as they are there.
async fn ask(cluster: &Cluster, router: usize, key: &str, body: &serde_json::Value) -> Asked {
    let url = format!("http://{}/v1/completions", cluster.routers[router].addr);
    let request = cluster.http.post(url).bearer_auth(key).json(body);
    let start = Instant::now();
    let response = request.timeout(Duration::from_secs(20)).send().await;
    let took = start.elapsed();
    match response {
        Ok(response) => Asked {
            status: response.status().as_u16(),
            retry_after: response.headers().contains_key("retry-after"),
            took,
            response: Some(response),
        },
        Err(_) => Asked { status: 0, retry_after: false, took, response: None },
    }
}

struct Asked {
    status: u16,
    retry_after: bool,
    took: Duration,
    /// Kept so that the stream stays open.
    response: Option<reqwest::Response>,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn floods_are_bounded_and_quick_calls_pass() {
    let engine = engine::Settings { slots: 2, load_lag_ms: 100, ..engine::Settings::default() };
    let cluster = Cluster::start(Shape { engine, engines: 2, ..Shape::default() }).await;
    cluster.ctl_ok("set service planning queue = 20");
    cluster.ctl_ok("set organisation harbour-a queue = 10");
    cluster.ctl_ok("add organisation small key = small-key-0123456789");
    let body = serde_json::json!({
        "model": "plan-1", "prompt": "flood", "max_tokens": 400, "stream": true
    });
    let (cluster, body) = (&cluster, &body);
    let flood = (0..60).map(|number| ask(cluster, number % 3, HARBOUR_KEY, body));
    let flood = futures_util::future::join_all(flood);
    let quick = async {
        let mut slowest = Duration::ZERO;
        for _ in 0..50 {
            let url = format!("http://{}/v1/services/booking/check/A1", cluster.routers[0].addr);
            let start = Instant::now();
            let request = cluster.http.get(url).bearer_auth("small-key-0123456789");
            assert_eq!(request.send().await.unwrap().status().as_u16(), 200);
            slowest = slowest.max(start.elapsed());
        }
        slowest
    };
    let (flood, slowest) = tokio::join!(flood, quick);
    let refused: Vec<_> = flood.iter().filter(|asked| asked.status == 429).collect();
    assert!(!refused.is_empty());
    for asked in &refused {
        assert!(asked.retry_after, "a refusal tells when to come back");
    }
    // Refusals of a full queue come at once, far before any deadline.
    let fastest = refused.iter().map(|asked| asked.took).min().unwrap();
    assert!(fastest < Duration::from_secs(2), "{fastest:?}");
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
    assert!(flood.iter().filter(|asked| asked.status == 200).all(|asked| asked.response.is_some()));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_input_gets_a_typed_error() {
    let cluster = Cluster::start(Shape { routers: 1, engines: 1, ..Shape::default() }).await;
    let url = format!("http://{}/v1/completions", cluster.routers[0].addr);
    let post = |key: &str, body: String| {
        cluster.http.post(&url).bearer_auth(key).body(body).timeout(Duration::from_secs(20))
    };
    let good = r#"{"model":"plan-1","prompt":"p","max_tokens":2}"#.to_owned();
    let cases = [
        (post("wrong", good.clone()), 401, "wrong_key"),
        (post(HARBOUR_KEY, "{".to_owned()), 400, "malformed"),
        (post(HARBOUR_KEY, good.replace("plan-1", "plan-2")), 404, "no_model"),
        (post(HARBOUR_KEY, "x".repeat(2 << 20)), 413, "too_large"),
        (post(HARBOUR_KEY, good.clone()).header("last-event-id", "x"), 400, "bad_event_id"),
        (post(HARBOUR_KEY, good.clone()).header("last-event-id", "00ff.3"), 410, "answer_lost"),
        (
            post(HARBOUR_KEY, good.clone()).header("idempotency-key", "a/b"),
            400,
            "no_idempotency_key",
        ),
    ];
    for (request, status, code) in cases {
        let response = request.send().await.unwrap();
        let found = response.status().as_u16();
        let body: serde_json::Value = response.json().await.unwrap();
        assert_eq!((found, body["error"]["code"].as_str()), (status, Some(code)), "{body}");
        assert!(body["error"]["message"].as_str().is_some_and(|message| message.len() > 20));
    }
    let booking = format!("http://{}/v1/services/booking/book", cluster.routers[0].addr);
    let request = cluster.http.post(booking).bearer_auth(HARBOUR_KEY).body("{}");
    let body: serde_json::Value = request.send().await.unwrap().json().await.unwrap();
    assert_eq!(body["error"]["code"], "no_idempotency_key");
    // The process goes on.
    let whole = post(HARBOUR_KEY, good).send().await.unwrap();
    let whole: serde_json::Value = whole.json().await.unwrap();
    assert_eq!(whole["usage"]["completion_tokens"], 2);
}

/// What an upstream that asks for backoff gets from one router meanwhile: one that was under way, and one
/// before the control thread has heard of it.
const IN_A_BACKOFF: u32 = 2;
const BACKOFF_S: u32 = 2;

/// A service that refuses with Retry-After got every second call all the same.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_service_that_asks_for_backoff_gets_no_calls_in_it() {
    let cluster = Cluster::start(Shape { routers: 1, ..Shape::default() }).await;
    let full = &cluster.seats[0];
    full.fault(&Order::BackOff { backoff_s: BACKOFF_S });
    let until = Instant::now() + Duration::from_secs(u64::from(BACKOFF_S)) * 3 / 4;
    let mut number = 0;
    while Instant::now() < until {
        cluster.book(0, &format!("seat-{number}"), 0).await;
        number += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let refused = full.faults.refused();
    assert!(refused > 0, "it was asked");
    assert!(refused <= 1 + IN_A_BACKOFF, "{refused} of {number} calls went there");
}

/// Where all upstreams ask for backoff, a call is refused at once, has not run, and its caller is told when the first
/// of them takes work again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_call_is_refused_at_once_where_all_services_ask_for_backoff() {
    let cluster = Cluster::start(Shape { routers: 1, ..Shape::default() }).await;
    cluster.seats.iter().for_each(|seats| seats.fault(&Order::BackOff { backoff_s: BACKOFF_S }));
    for number in 0..20 {
        cluster.book(0, &format!("first-{number}"), 0).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let asked = Instant::now();
    let reply = cluster.book(0, "second", 0).await;
    assert!(asked.elapsed() < Duration::from_millis(500), "{:?}", asked.elapsed());
    assert_eq!((reply.status, &*reply.code, &*reply.ran), (503, "no_upstream", "no"));
    let after_s: u32 = reply.retry_after.expect("it says when").parse().unwrap();
    assert!((1..=BACKOFF_S + 1).contains(&after_s), "{after_s}");
    assert_eq!(cluster.seats.iter().map(|seats| seats.faults.refused()).max(), Some(1));
}
