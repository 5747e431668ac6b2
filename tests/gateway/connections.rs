//! Planned stops: what was accepted and is not counted where a connection, thread or process ends.

use std::net::SocketAddr;
use std::time::Duration;

use siskinrock_fakes::caller::Call;
use siskinrock_fakes::http::Connection;
use siskinrock_fakes::process::wait_for;
use siskinrock_fakes::site::{self, Site};
use siskinrock_fakes::store;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::support::{self, call, plan};

/// How long callers may keep an address that they were told: the stop ends after that at the earliest.
const KEEP: Duration = Duration::from_millis(2_000);

async fn connect(front: SocketAddr) -> Connection {
    Connection::new(TcpStream::connect(front).await.unwrap())
}

/// A caller whose body was still coming when the last answers of a stop were given got 502 and
/// `"ran":"unknown"`, though nothing had been sent to any service and nothing ever will be: it may
/// not send a booking again, for no reason. Only what was handed to an upstream is unknown.
#[tokio::test]
async fn a_request_whose_body_is_still_coming_is_told_that_it_did_not_run() {
    let running = support::start(1).await;
    running.gateways[0].signal(libc::SIGTERM);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let sent = call("POST", "/book/a");
    let bytes = sent.encode();
    let mut slow = connect(running.front(0)).await;
    slow.write(&bytes[..bytes.len() - 1]).await.unwrap();
    let answer = slow.read_answer().await.expect("the request is answered");
    assert_eq!(running.runs_of(&sent.id), 0);
    let body = String::from_utf8_lossy(&answer.body).into_owned();
    assert!(matches!(answer.status(), 408 | 503), "it never ran: {} {body}", answer.status());
}

/// While a stream or a long answer was being written, its connection stood as idle, so the first
/// bytes of the caller's next request made it stand as `Stage::Head`; when the head's time was
/// over, a bare 408 was written into the middle of the stream and the connection was closed.
///
/// hyper reads while it writes (`mid_message_detect_eof`), so the bytes are seen at once.
#[tokio::test]
async fn the_next_head_does_not_break_the_answer_before_it() {
    const HEAD_TIMEOUT_MS: u64 = 200;
    let site = Site::start(2, 60).await;
    let mut config = site::config(3, &[site::KEY], &[]);
    config["limits"]["header-timeout-ms"] = HEAD_TIMEOUT_MS.into();
    site.store.put("op/config", &config);
    let running = support::start_site(site, 1).await;
    let mut kept = connect(running.front(0)).await;
    kept.write(&plan().encode()).await.unwrap();
    assert_eq!(kept.read_answer().await.unwrap().status(), 200);
    let next = call("POST", "/book/a").encode();
    kept.write(&next[..next.len() / 3]).await.unwrap();
    let mut text = String::new();
    loop {
        let chunk = kept.read_chunk().await.unwrap_or_else(|error| {
            panic!("the stream was broken ({error}) after:\n{text}");
        });
        if chunk.is_empty() {
            break;
        }
        text.push_str(&String::from_utf8_lossy(&chunk));
    }
}

/// After a stream that was longer than the idle timeout, its connection was closed at once, without
/// a word in the stream's head, though callers may reuse it for most of that timeout: the idle time
/// was counted from the head of the answer and not from its end.
#[tokio::test]
async fn the_idle_time_begins_at_the_end_of_an_answer() {
    const TIMEOUT_MS: u64 = 400;
    let site = Site::start(2, 60).await;
    let mut config = site::config(3, &[site::KEY], &[]);
    config["limits"]["header-timeout-ms"] = (TIMEOUT_MS / 2).into();
    config["limits"]["idle-timeout-ms"] = TIMEOUT_MS.into();
    site.store.put("op/config", &config);
    let running = support::start_site(site, 1).await;
    let mut kept = connect(running.front(0)).await;
    kept.write(&plan().encode()).await.unwrap();
    let head = kept.read_answer().await.unwrap();
    assert_eq!((head.status(), head.header("connection")), (200, None));
    while !kept.read_chunk().await.expect("the stream comes whole").is_empty() {}
    tokio::time::sleep(Duration::from_millis(TIMEOUT_MS / 8)).await;
    kept.write(&call("POST", "/book/a").encode()).await.expect("the connection is open");
    let answer = kept.read_answer().await.expect("the request is answered");
    assert_eq!(answer.status(), 200);
}

/// Half a head that came in the same bytes as the request before it was closed with the kept
/// connection: the stage is set to `Head` by a read, and here none follows, as hyper has the bytes
/// in its buffer already. The head's own timeout does not run for it either.
#[tokio::test]
async fn a_head_that_came_with_the_request_before_it_is_answered() {
    let running = support::start(1).await;
    let mut kept = connect(running.front(0)).await;
    let next = Call { deadline_ms: 500, ..call("POST", "/book/a") }.encode();
    let (begun, rest) = next.split_at(next.len() / 3);
    kept.write(&[call("POST", "/book/a").encode(), begun.to_vec()].concat()).await.unwrap();
    assert_eq!(kept.read_answer().await.unwrap().status(), 200);
    running.gateways[0].signal(libc::SIGTERM);
    tokio::time::sleep(KEEP + Duration::from_millis(300)).await;
    kept.write(rest).await.expect("the connection is open");
    let answer = kept.read_answer().await.expect("the request is answered");
    assert_eq!(answer.status(), 200);
}

/// A registration that was on its way to the directory when the order to stop came was made after
/// the stop had looked for one to remove, and outlived the process by its whole lease.
#[tokio::test]
async fn a_registration_under_way_at_the_order_is_removed() {
    let mut running = support::start(1).await;
    let registered = running.site.store.keys("");
    let of_first = || registered.iter().filter(|key| key.contains("edge-0"));
    assert!(of_first().count() > 0, "an instance is registered: {registered:?}");
    running.site.store.fail(store::Fault::Slow);
    running.add(1);
    wait_for("it has started", async || running.gateways[1].logged().contains("started")).await;
    // Two slow calls make a registration; the order comes during one of them.
    tokio::time::sleep(Duration::from_millis(200)).await;
    running.gateways[1].signal(libc::SIGTERM);
    wait_for("the process has ended", async || running.gateways[1].has_ended()).await;
    running.site.store.fail(store::Fault::None);
    tokio::time::sleep(Duration::from_millis(600)).await;
    let left = running.site.store.keys("");
    let left: Vec<_> = left.iter().filter(|key| key.contains("edge-1")).collect();
    assert!(left.is_empty(), "a process that has ended is still registered: {left:?}");
}

/// An instance whose address for callers was taken went on without a traffic thread: the control
/// thread looked at the other's end only after an order to stop, and told callers to come.
#[tokio::test]
async fn an_instance_that_cannot_take_callers_ends() {
    const PATIENCE: Duration = Duration::from_secs(5);
    let mut running = support::start(1).await;
    let front = SocketAddr::from((running.place.ip(1), running.place.base_port));
    let _taken = TcpListener::bind(front).await.unwrap();
    running.add(1);
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until && !running.gateways[1].has_ended() {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let is_ready = !running.gateways[1].has_ended() && running.gateways[1].is_ready().await;
    assert!(!is_ready, "it is ready and can't be reached:\n{}", running.gateways[1].logged());
    assert!(running.gateways[1].has_ended(), "it lives on and serves nobody");
}

/// Calls on kept connections at the last moment of a stop either run and are answered, or don't run.
#[tokio::test]
async fn calls_on_kept_connections_are_answered_to_the_end() {
    const CALLERS: u64 = 60;
    let mut running = support::start(1).await;
    running.site.services.iter().for_each(|service| service.work_for(25));
    let front = running.front(0);
    let mut callers = tokio::task::JoinSet::new();
    let start = Instant::now() + Duration::from_millis(300);
    for number in 0..CALLERS {
        callers.spawn(async move {
            let mut kept = connect(front).await;
            kept.write(&call("POST", "/book/a").encode()).await.unwrap();
            kept.read_answer().await.unwrap();
            // About the moment at which idle connections are closed.
            let at = start + KEEP - Duration::from_millis(30) + Duration::from_millis(number);
            tokio::time::sleep_until(at).await;
            let sent = call("POST", "/book/a");
            let is_answered =
                kept.write(&sent.encode()).await.is_ok() && kept.read_answer().await.is_ok();
            (sent.id, is_answered)
        });
    }
    tokio::time::sleep_until(start).await;
    running.gateways[0].signal(libc::SIGTERM);
    let heard = callers.join_all().await;
    wait_for("the process has ended", async || running.gateways[0].has_ended()).await;
    let lost: Vec<_> = heard.iter().filter(|(id, ok)| !ok && running.runs_of(id) > 0).collect();
    assert!(lost.is_empty(), "calls ran and were not answered: {lost:?}");
}
