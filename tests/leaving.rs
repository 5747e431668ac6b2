//! Promises: a leaving upstream gets no new work after a few seconds; a planned stop cuts nothing.

mod support;

use std::time::{Duration, Instant};

use siskinrock_standin::caller;
use siskinrock_standin::platform::Listed;
use support::{Cluster, DOMAINS, Shape, wait_for};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const ALLOWED: Duration = Duration::from_secs(3);

/// Short answers, one after the other, until told to stop; gives back how many there were.
fn load(
    cluster: &Cluster,
    name: &str,
    stop: tokio::sync::watch::Receiver<bool>,
) -> tokio::task::JoinHandle<usize> {
    let mut plan = cluster.plan("", 10);
    let name = name.to_owned();
    tokio::spawn(async move {
        let mut count = 0;
        while !*stop.borrow() {
            plan.idempotency_key = format!("{name}-{count}");
            let answer = caller::generate(&plan).await.unwrap();
            assert_eq!(answer.tokens.len(), 10);
            plan.addresses.rotate_left(1);
            count += 1;
        }
        count
    })
}

/// Waits until every upstream but the first gets no more work, and none is given to it.
async fn gets_no_new_work(cluster: &Cluster, left: Instant) {
    tokio::time::sleep_until((left + ALLOWED).into()).await;
    let before = cluster.engine_stats(0).await.started;
    let others = cluster.engine_stats(1).await.started + cluster.engine_stats(2).await.started;
    wait_for("others get work", || async {
        let now = cluster.engine_stats(1).await.started + cluster.engine_stats(2).await.started;
        (now > others + 20).then_some(())
    })
    .await;
    assert_eq!(cluster.engine_stats(0).await.started, before);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_by_an_operator() {
    let cluster = Cluster::start(Shape::default()).await;
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let loads: Vec<_> =
        (0..6).map(|n| load(&cluster, &format!("load-{n}"), stopped.clone())).collect();
    cluster.ctl_ok(&format!("drain upstream {}", cluster.engines[0].addr));
    gets_no_new_work(&cluster, Instant::now()).await;
    stop.send(true).unwrap();
    for load in loads {
        assert!(load.await.unwrap() > 0);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_by_its_own_word_while_the_list_lags() {
    let cluster = Cluster::start(Shape::default()).await;
    let listed = |leaving| -> Vec<Listed> {
        let lines = cluster.engines.iter().enumerate().map(|(number, engine)| Listed {
            service: "planning".to_owned(),
            addr: engine.addr.to_string(),
            domain: DOMAINS[number].to_owned(),
            incarnation: 0,
            leaving,
        });
        lines.collect()
    };
    // The list says for the whole test that all are live.
    cluster.list_upstreams(&listed(false)).await;
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let loads: Vec<_> =
        (0..6).map(|n| load(&cluster, &format!("load-{n}"), stopped.clone())).collect();
    let url = format!("http://{}/leave", cluster.engines[0].addr);
    cluster.http.post(url).send().await.unwrap();
    gets_no_new_work(&cluster, Instant::now()).await;
    let shown = cluster.ctl_ok("show upstreams where state = leaving");
    assert!(shown.contains(&cluster.engines[0].addr.to_string()), "{shown}");
    stop.send(true).unwrap();
    for load in loads {
        assert!(load.await.unwrap() > 0);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_instance_is_stopped_in_turn_under_load() {
    let mut cluster = Cluster::start(Shape { routers: 4, ..Shape::default() }).await;
    let mut long = cluster.plan("long", 150);
    long.addresses.truncate(1);
    let (sender, mut tokens) = tokio::sync::mpsc::unbounded_channel();
    let long = tokio::spawn(async move {
        let mut on_token = |index| {
            let _ = sender.send(index);
        };
        caller::generate_watched(&long, &mut on_token).await
    });
    tokens.recv().await.expect("the long answer has begun");
    for round in 0..4 {
        // The one that serves the long answer goes first, by command; the others by signal.
        if round == 0 {
            let id = cluster.routers[0].id.clone();
            cluster.ctl_ok(&format!("stop router {id}"));
        } else {
            cluster.routers[0].signal(libc::SIGTERM);
            cluster.routers[0].signal(libc::SIGTERM);
        }
        let (new, old) = (format!("seat-{round}"), format!("old-address-{round}"));
        let booked = cluster.book(1, &new, 50);
        let status = cluster.book(0, &old, 50);
        let (booked, kept_address) = tokio::join!(booked, status);
        assert_eq!((booked.status, kept_address.status), (200, 200));
        let mut stopping = cluster.routers.remove(0);
        assert_eq!(stopping.wait(), 0);
        cluster.add_router(4 + round, 60_000);
        cluster.wait_ready(4).await;
        let again = cluster.book(2, &format!("seat-{round}"), 50).await;
        assert_eq!((again.status, again.body), (200, booked.body));
        assert_eq!(cluster.runs(&format!("seat-{round}")).await, 1);
    }
    let answer = long.await.unwrap().unwrap();
    assert_eq!((answer.tokens.len(), answer.connections), (150, 1));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stop_waits_for_callers_that_wait_for_another_run() {
    const WORK_MS: u64 = 3_000;
    let mut cluster = Cluster::start(Shape::default()).await;
    let addr = |router: usize| cluster.routers[router].addr.clone();
    let first = support::book(cluster.http.clone(), addr(1), "seat".to_owned(), WORK_MS);
    let first = tokio::spawn(first);
    wait_for("the booking runs", || async { (cluster.runs("seat").await > 0).then_some(()) }).await;
    let second = support::book(cluster.http.clone(), addr(0), "seat".to_owned(), WORK_MS);
    let second = tokio::spawn(second);
    cluster.routers[0].signal(libc::SIGTERM);
    let (first, second) = (first.await.unwrap(), second.await.unwrap());
    assert_eq!((second.status, second.body), (200, first.body));
    assert_eq!(cluster.routers[0].wait(), 0);
}

/// A request whose head had half arrived when a planned stop ended met a closed connection: open
/// requests were counted from the end of their heads, and connections got 300 ms after the last.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_began_before_the_end_is_answered() {
    let mut cluster = Cluster::start(Shape::default()).await;
    let addr: std::net::SocketAddr = cluster.routers[0].addr.parse().unwrap();
    let mut caller = tokio::net::TcpStream::connect(addr).await.unwrap();
    let body = r#"{"seat":"K3-07","who":"harbour-a"}"#;
    let head = format!(
        "POST /v1/services/booking/book HTTP/1.1\r\nHost: {addr}\r\nIdempotency-Key: seat\r\n\
         Authorization: Bearer {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        support::HARBOUR_KEY,
        body.len()
    );
    let (begun, rest) = head.split_at(40);
    caller.write_all(begun.as_bytes()).await.unwrap();
    cluster.routers[0].signal(libc::SIGTERM);
    // Longer than the rest of the stop takes.
    tokio::time::sleep(Duration::from_secs(3)).await;
    caller.write_all(&[rest.as_bytes(), body.as_bytes()].concat()).await.unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.expect("the request is answered");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(cluster.runs("seat").await, 1);
    assert_eq!(cluster.routers[0].wait(), 0);
}

fn booking(addr: &str, key: &str, work_ms: u64) -> Vec<u8> {
    let body = format!(r#"{{"seat":"K3-07","who":"harbour-a","work_ms":{work_ms}}}"#);
    format!(
        "POST /v1/services/booking/book HTTP/1.1\r\nHost: {addr}\r\nIdempotency-Key: {key}\r\n\
         Authorization: Bearer {}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        support::HARBOUR_KEY,
        body.len()
    )
    .into_bytes()
}

/// A half-sent head on a kept connection was closed with it, though the same head on a new
/// connection is answered: hyper counts a kept connection as idle until the next head is whole, and
/// a graceful shutdown closes what is idle at once, with the bytes in its buffer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_that_began_on_a_kept_connection_is_answered() {
    let mut cluster = Cluster::start(Shape::default()).await;
    let addr = cluster.routers[0].addr.clone();
    let mut caller = TcpStream::connect(&addr).await.unwrap();
    caller.write_all(&booking(&addr, "first", 0)).await.unwrap();
    let mut buffer = vec![0; 8 << 10];
    let read = caller.read(&mut buffer).await.unwrap();
    assert!(buffer[..read].starts_with(b"HTTP/1.1 200"));
    // The rest of the first answer, should it come in a second part.
    let rest = caller.read(&mut buffer);
    let _ = tokio::time::timeout(Duration::from_millis(200), rest).await;
    let next = booking(&addr, "second", 0);
    let (begun, rest) = next.split_at(40);
    caller.write_all(begun).await.unwrap();
    cluster.routers[0].signal(libc::SIGTERM);
    tokio::time::sleep(Duration::from_secs(3)).await;
    caller.write_all(rest).await.expect("the connection is open");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.expect("the request is answered");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert_eq!(cluster.runs("second").await, 1);
    assert_eq!(cluster.routers[0].wait(), 0);
}

/// A booking whose head had half arrived when the stop looked for the last time ran to its end and
/// was cut on the way: connections got five seconds, whatever ran on them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_call_whose_head_came_last_is_answered() {
    const WORK_MS: u64 = 3_000;
    let mut cluster = Cluster::start(Shape::default()).await;
    let addr = cluster.routers[0].addr.clone();
    let mut caller = TcpStream::connect(&addr).await.unwrap();
    let request = booking(&addr, "long", WORK_MS);
    let (begun, rest) = request.split_at(40);
    caller.write_all(begun).await.unwrap();
    cluster.routers[0].signal(libc::SIGTERM);
    tokio::time::sleep(Duration::from_secs(5)).await;
    caller.write_all(rest).await.expect("the connection is open");
    let mut answer = String::new();
    let read = caller.read_to_string(&mut answer).await;
    // Elsewhere such a booking is served.
    let elsewhere = cluster.book(1, "elsewhere", WORK_MS).await;
    assert_eq!(elsewhere.status, 200);
    assert_eq!(cluster.runs("long").await, 1);
    assert!(answer.starts_with("HTTP/1.1 200"), "{read:?} {answer:?}");
    assert_eq!(cluster.routers[0].wait(), 0);
}
