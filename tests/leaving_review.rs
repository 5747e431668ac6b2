//! Planned stops of a router: what has begun on a connection that its caller keeps.

mod support;

use std::time::Duration;

use support::{Cluster, Shape};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

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
