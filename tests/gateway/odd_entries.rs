//! Entries among the upstreams whose address is no upstream's: callers of sound upstreams lose nothing by them.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use siskinrock_fakes::caller;
use siskinrock_fakes::process::wait_for;
use siskinrock_fakes::site::{ZONES, server_entry};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use yare::parameterized;

use crate::support::{self, Running, call, plan, whole_text};

/// Odd entries of each service; the site has three sound upstreams of one, and six of the other.
const ODD: usize = 7;
const GATEWAYS: u8 = 3;
/// Requests of each kind that are sent in turn to the gateways.
const REQUESTS: usize = 15;
/// A request that takes longer counts as not served.
const PATIENCE: Duration = Duration::from_secs(5);

/// What is at the address of an odd entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum There {
    Front,
    Readiness,
    Peer,
    Directory,
    Metrics,
    Store,
    /// A sound upstream, which has another id.
    SoundUpstream,
    Nothing,
    /// A process that answers with this.
    Process(&'static str),
}

const NOT_FOUND: There = There::Process("HTTP/1.1 404 X\r\nContent-Length: 2\r\n\r\nno");
const UNSIGNED: There = There::Process("HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok");
const UNAVAILABLE: There = There::Process("HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\nno");

/// Starts a process that answers each request with a text.
async fn answering(text: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let mut bytes = [0; 4_096];
                while stream.read(&mut bytes).await.is_ok_and(|count| count > 0) {
                    if stream.write_all(text.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// The address of an odd entry of a service.
async fn odd_addr(running: &Running, there: There, service: &str, number: usize) -> SocketAddr {
    let gateway = &running.gateways[number % running.gateways.len()];
    let at =
        |after_base: u16| SocketAddr::new(gateway.front.ip(), gateway.front.port() + after_base);
    match there {
        There::Front => at(0),
        There::Readiness => at(9),
        There::Peer => at(8),
        There::Directory => at(6),
        There::Metrics => SocketAddr::new(gateway.front.ip(), 9_464),
        There::Store => running.site.store.addr,
        There::SoundUpstream if service == "plan-llm" => {
            running.site.engines[number % running.site.engines.len()].addr
        }
        There::SoundUpstream => running.site.services[number % running.site.services.len()].addr,
        There::Nothing => TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap(),
        There::Process(text) => answering(text).await,
    }
}

async fn list_odd(running: &Running, there: There) {
    for number in 0..ODD {
        for service in ["booking-app", "plan-llm"] {
            let addr = odd_addr(running, there, service, number).await;
            let entry = server_entry(service, ZONES[number % ZONES.len()], "ready", addr);
            running.site.store.put(&format!("servers/odd-{service}-{number}"), &entry);
        }
    }
}

/// How many requests of each kind were served, and the longest time that one took.
#[derive(Debug, Default)]
struct Served {
    repeatable: usize,
    once: usize,
    streams: usize,
    longest: Duration,
}

/// What came of a request, if it came while its caller would wait.
async fn in_time<T>(answer: impl Future<Output = io::Result<T>>) -> io::Result<T> {
    let answered = tokio::time::timeout(PATIENCE, answer).await;
    answered.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

async fn send_all(running: &Running) -> Served {
    let mut served = Served::default();
    for number in 0..REQUESTS {
        let front = running.front(number % running.gateways.len());
        for path in ["/look/a", "/book/a"] {
            let is_repeatable = path == "/look/a";
            let sent = call(if is_repeatable { "GET" } else { "POST" }, path);
            let since = Instant::now();
            let answer = in_time(caller::send(front, &sent)).await;
            served.longest = served.longest.max(since.elapsed());
            let is_served = answer.as_ref().is_ok_and(|answer| answer.status() == 200);
            let count = if is_repeatable { &mut served.repeatable } else { &mut served.once };
            *count += usize::from(is_served);
            if !is_served {
                println!("{path} by {front}: {:?}", answer.map(|answer| answer.status()));
            }
            assert!(running.runs_of(&sent.id) <= if is_repeatable { 2 } else { 1 });
        }
        let sent = plan();
        let since = Instant::now();
        let stream = in_time(caller::stream(front, &sent)).await;
        let is_whole = stream.as_ref().is_ok_and(|stream| stream.text == whole_text(&sent, 0));
        served.streams += usize::from(is_whole);
        if !is_whole {
            println!(
                "stream by {front} after {:?}: {:?}",
                since.elapsed(),
                stream.map(|stream| stream.head.status())
            );
        }
    }
    println!("served of {REQUESTS} each: {served:?}");
    served
}

async fn restart(running: &mut Running) {
    running.gateways.iter_mut().for_each(|gateway| {
        gateway.kill();
        gateway.restart();
    });
    running.wait_until_ready().await;
}

/// Waits until all gateways have the entries that were written.
async fn wait_until_listed(running: &Running) {
    let listed = running.site.store.keys("servers/").len();
    for gateway in &running.gateways {
        wait_for("a gateway has the entries", async || {
            gateway.metrics().await.contains(&format!("siskinrock_upstreams {listed}\n"))
        })
        .await;
    }
}

/// Guards against callers of sound upstreams that are sent to an address which is known to be no upstream's.
#[parameterized(
    front = { There::Front },
    peer = { There::Peer },
    store = { There::Store },
    sound_upstream = { There::SoundUpstream },
    nothing = { There::Nothing }
)]
#[test_macro(tokio::test)]
async fn sound_upstreams_serve_all_beside_entries_that_point_elsewhere(there: There) {
    let mut running = support::start(GATEWAYS).await;
    list_odd(&running, there).await;
    wait_until_listed(&running).await;
    let before = send_all(&running).await;
    restart(&mut running).await;
    let after = send_all(&running).await;
    println!("{there:?}: running {before:?}; restarted {after:?}");
    for served in [before, after] {
        assert_eq!(
            (served.repeatable, served.once, served.streams),
            (REQUESTS, REQUESTS, REQUESTS)
        );
    }
}

/// Guards against a process that answers by itself and gets request after request: what may be repeated is
/// served, and each instance sends it one request at most that may not.
#[parameterized(
    readiness = { There::Readiness },
    directory = { There::Directory },
    metrics = { There::Metrics },
    not_found = { NOT_FOUND },
    unsigned = { UNSIGNED },
    unavailable = { UNAVAILABLE }
)]
#[test_macro(tokio::test)]
async fn a_process_that_is_no_upstream_is_found_out_by_one_request(there: There) {
    const ROUNDS: usize = 4;
    let running = support::start(GATEWAYS).await;
    list_odd(&running, there).await;
    wait_until_listed(&running).await;
    let mut not_served = 0;
    for _ in 0..ROUNDS {
        let served = send_all(&running).await;
        assert_eq!((served.repeatable, served.streams), (REQUESTS, REQUESTS));
        not_served += REQUESTS - served.once;
    }
    println!("{there:?}: {not_served} of {} that may run once not served", ROUNDS * REQUESTS);
    assert!(not_served <= ODD * usize::from(GATEWAYS), "{not_served}");
}

/// An upstream that can answer without any name for a while, and counts its requests, not its questions.
#[derive(Debug)]
struct Troubled {
    addr: SocketAddr,
    is_in_trouble: Arc<AtomicBool>,
    requests: Arc<AtomicUsize>,
}

async fn start_troubled(id: &'static str, status: u16, health: u16) -> Troubled {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let is_in_trouble = Arc::new(AtomicBool::new(false));
    let requests = Arc::new(AtomicUsize::new(0));
    let all = Troubled { addr, is_in_trouble, requests };
    let (trouble, counted) = (Arc::clone(&all.is_in_trouble), Arc::clone(&all.requests));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (trouble, counted) = (Arc::clone(&trouble), Arc::clone(&counted));
            tokio::spawn(async move {
                let mut bytes = [0; 4_096];
                while let Ok(count @ 1..) = stream.read(&mut bytes).await {
                    let head = String::from_utf8_lossy(&bytes[..count]).into_owned();
                    let is_request = head.starts_with("GET /look/");
                    counted.fetch_add(usize::from(is_request), Ordering::SeqCst);
                    let name = |line: &&str| line.to_lowercase().starts_with("x-request-id:");
                    let answer = if trouble.load(Ordering::SeqCst) {
                        let status = if is_request { status } else { health };
                        format!("HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nno")
                    } else {
                        let named = head.lines().find(name).unwrap_or("X-Nothing: -");
                        format!(
                            "HTTP/1.1 200 X\r\nX-Instance-Id: {id}\r\nX-Response-Signature: a\r\n\
                             {named}\r\nContent-Length: 2\r\n\r\nok"
                        )
                    };
                    if stream.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    all
}

/// Sends requests until the upstream gets one more.
async fn wait_for_request(running: &Running, upstream: &Troubled, what: &str) {
    const LIMIT: Duration = Duration::from_secs(15);
    let before = upstream.requests.load(Ordering::SeqCst);
    let since = Instant::now();
    while upstream.requests.load(Ordering::SeqCst) == before {
        assert!(since.elapsed() < LIMIT, "{what}: no request in {LIMIT:?}");
        let _ = in_time(caller::send(running.front(0), &call("GET", "/look/a"))).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    println!("{what}: a request after {:?}", since.elapsed());
}

/// Guards against a sound upstream that gets nothing more since one answer of it came without a name.
#[parameterized(
    not_found = { 500, 404, false },
    unavailable = { 503, 503, false },
    health_without_name = { 500, 200, false },
    not_found_once_proved = { 500, 404, true },
    unavailable_once_proved = { 503, 503, true }
)]
#[test_macro(tokio::test)]
async fn an_upstream_that_was_nameless_gets_requests_again(
    status: u16,
    health: u16,
    is_proved_before: bool,
) {
    const ID: &str = "troubled";
    let running = support::start(1).await;
    let upstream = start_troubled(ID, status, health).await;
    upstream.is_in_trouble.store(!is_proved_before, Ordering::SeqCst);
    let entry = server_entry("booking-app", ZONES[0], "ready", upstream.addr);
    running.site.store.put(&format!("servers/{ID}"), &entry);
    wait_until_listed(&running).await;
    if is_proved_before {
        wait_for_request(&running, &upstream, "sound at first").await;
        upstream.is_in_trouble.store(true, Ordering::SeqCst);
    }
    wait_for_request(&running, &upstream, "in trouble").await;
    upstream.is_in_trouble.store(false, Ordering::SeqCst);
    wait_for_request(&running, &upstream, "sound again").await;
}
