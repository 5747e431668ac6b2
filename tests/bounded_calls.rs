//! The calls of a router to its store and its peers, whose answers are as long as their senders like.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use percent_encoding::percent_decode_str;
use siskinrock::peer;
use siskinrock::store::{HttpStore, Store, Write, Written};
use siskinrock_fakes::http::{self, Connection};
use yare::parameterized;

/// More than any answer may have.
const PIECE_BYTES: usize = 1 << 20;
const PIECES: usize = 96;
/// What may be sent of it: the longest answer, and what waits in the buffers of both sockets.
const MAX_SENT_BYTES: usize = 32 << 20;

/// Answers everything with a body that is too long; counts what it could send.
async fn start_long(has_length: bool) -> (SocketAddr, Arc<AtomicUsize>) {
    let sent = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&sent);
    let (addr, _) = http::listen("127.0.0.1:0", move |mut connection: Connection| {
        let sent = Arc::clone(&counted);
        async move {
            let Ok(Some(_)) = connection.read_request().await else { return };
            let length = PIECES * PIECE_BYTES;
            let head = match has_length {
                true => format!("HTTP/1.1 200 X\r\nContent-Length: {length}\r\n\r\n"),
                false => "HTTP/1.1 200 X\r\nConnection: close\r\n\r\n".to_owned(),
            };
            let piece = vec![b' '; PIECE_BYTES];
            let mut written = connection.write(head.as_bytes()).await;
            for _ in 0..PIECES {
                if written.is_err() {
                    return;
                }
                written = connection.write(&piece).await;
                sent.fetch_add(PIECE_BYTES, Ordering::Relaxed);
            }
        }
    })
    .await;
    (addr, sent)
}

fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().unwrap()
}

/// Guards against answers that are read whole, however long they are.
#[parameterized(with_a_length = { true }, without_a_length = { false })]
#[test_macro(tokio::test)]
async fn a_longer_answer_of_the_store_is_not_read_to_its_end(has_length: bool) {
    let (addr, sent) = start_long(has_length).await;
    let store = HttpStore::new(client(), format!("http://{addr}"));
    store.read("key").await.unwrap_err();
    store.list().await.unwrap_err();
    store.grant_lease(1_000).await.unwrap_err();
    let write = Write { value: "1".to_owned(), expect: 0, lease: None };
    assert_eq!(store.write("key", write).await, Written::Unknown);
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= 4 * MAX_SENT_BYTES, "{sent} bytes were taken in four answers");
}

/// Guards against the same of peers.
#[parameterized(with_a_length = { true }, without_a_length = { false })]
#[test_macro(tokio::test)]
async fn a_longer_answer_of_a_peer_is_not_read_to_its_end(has_length: bool) {
    let (addr, sent) = start_long(has_length).await;
    let peers = peer::Client::new(client(), "0123456789abcdef");
    let answer: Option<u64> = peers.post(&addr.to_string(), "/peer/records", &7, 5_000).await;
    assert_eq!(answer, None);
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= MAX_SENT_BYTES, "{sent} bytes were taken");
}

/// Guards against keys that the store reads as others.
#[parameterized(
    blank = { "lab bench" },
    query = { "lab?after=7&x" },
    fragment = { "lab#bench" },
    escape = { "lab%20bench" },
    beyond_ascii = { "läb/実験" },
)]
#[test_macro(tokio::test)]
async fn a_key_of_the_store_is_read_as_it_was_meant(key: &str) {
    let (addr, _) = http::listen("127.0.0.1:0", move |mut connection: Connection| async move {
        while let Ok(Some(request)) = connection.read_request().await {
            let key = percent_decode_str(request.path()).decode_utf8_lossy().into_owned();
            let body = serde_json::json!({"value": key, "revision": 1}).to_string();
            if connection.answer(200, &[], body.as_bytes()).await.is_err() {
                return;
            }
        }
    })
    .await;
    let store = HttpStore::new(client(), format!("http://{addr}"));
    let read = store.read(key).await.unwrap().unwrap();
    assert_eq!(read.value, format!("/kv/{key}"));
    let watched = store.watch(key, 7, 0).await.unwrap().unwrap();
    assert_eq!(watched.value, format!("/watch/{key}"));
}
