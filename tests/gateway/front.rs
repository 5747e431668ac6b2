//! Refusal of requests that are malformed, too large, too slow or not allowed.

use siskinrock_fakes::caller::{self, Call};
use siskinrock_fakes::http::Connection;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use yare::parameterized;

use crate::support::{self, call};

#[parameterized(
    no_route = { call("GET", "/nowhere/a"), 404 },
    other_host = { Call { host: "other.example".to_owned(), ..call("GET", "/look/a") }, 404 },
    no_key = { Call { key: None, ..call("GET", "/look/a") }, 401 },
    wrong_key = { Call { key: Some("wrong".to_owned()), ..call("GET", "/look/a") }, 401 },
    too_large = { Call { body: vec![b'x'; 200_000], ..call("POST", "/book/a") }, 413 },
)]
#[test_macro(tokio::test)]
async fn a_request_that_is_not_allowed_reaches_no_upstream(sent: Call, status: u16) {
    let running = support::start(1).await;
    let answer = caller::send(running.front(0), &sent).await.unwrap();
    assert_eq!(answer.status(), status);
    let body: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(body["ran"], "no");
    assert_eq!(running.runs_of(&sent.id), 0);
}

/// A request with an ambiguous length, a bad chunk or a head that is too long reaches no upstream.
#[parameterized(
    two_lengths = { "Content-Length: 5\r\nContent-Length: 9\r\n\r\nhello" },
    bad_chunk = { "Transfer-Encoding: chunked\r\n\r\nzz\r\n" },
    long_head = { LONG_HEADER },
)]
#[test_macro(tokio::test)]
async fn a_malformed_request_is_refused(rest: &str) {
    let running = support::start(1).await;
    let mut stream = TcpStream::connect(running.front(0)).await.unwrap();
    let rest = rest.replace("LONG", &"x".repeat(40_000));
    let host = siskinrock_fakes::site::HOST;
    let key = siskinrock_fakes::site::KEY;
    let head =
        format!("POST /book/a HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: m1\r\nX-Key: {key}\r\n");
    stream.write_all(format!("{head}{rest}").as_bytes()).await.unwrap();
    let status = Connection::new(stream).read_answer().await.map_or(0, |answer| answer.status());
    assert!(matches!(status, 0 | 400 | 431), "status {status}");
    assert_eq!(running.runs_of("m1"), 0);
}

/// In a request with both `Content-Length` and `Transfer-Encoding: chunked`, the chunks determine the
/// body, as the HTTP standard requires. A request in the body must not be served as one of its own.
#[tokio::test]
async fn a_request_inside_a_body_is_not_served() {
    let running = support::start(1).await;
    let mut stream = TcpStream::connect(running.front(0)).await.unwrap();
    let inner = call("POST", "/book/inner");
    let outer = call("POST", "/book/outer");
    let inner_text = String::from_utf8(inner.encode()).unwrap();
    let text = String::from_utf8(outer.encode())
        .unwrap()
        .replace("Content-Length: 6", "Content-Length: 300\r\nTransfer-Encoding: chunked");
    let text =
        text.replace("a body", &format!("{:x}\r\n{inner_text}\r\n0\r\n\r\n", inner_text.len()));
    stream.write_all(text.as_bytes()).await.unwrap();
    let _ = Connection::new(stream).read_answer().await;
    assert_eq!(running.runs_of(&inner.id), 0);
    for service in &running.site.services {
        assert!(service.seen().iter().all(|seen| seen.request.body == inner_text.as_bytes()));
    }
}

const LONG_HEADER: &str = "X-Long: LONG\r\nContent-Length: 0\r\n\r\n";

#[tokio::test]
async fn a_connection_serves_many_requests() {
    let running = support::start(1).await;
    let mut connection = Connection::new(TcpStream::connect(running.front(0)).await.unwrap());
    for _ in 0..5 {
        let sent = call("POST", "/book/a");
        connection.write(&sent.encode()).await.unwrap();
        let answer = connection.read_answer().await.unwrap();
        assert!(String::from_utf8(answer.body).unwrap().contains(&sent.id));
    }
}

/// A head that isn't completed is refused with a status that says that the request has not run.
#[tokio::test]
async fn an_incomplete_head_is_refused() {
    let running = support::start(1).await;
    let mut stream = TcpStream::connect(running.front(0)).await.unwrap();
    stream.write_all(b"GET /look/a HTTP/1.1\r\nHost: x\r\n").await.unwrap();
    let answer = Connection::new(stream).read_answer().await.unwrap();
    assert_eq!(answer.status(), 408);
}

#[test]
fn every_error_in_a_settings_file_is_reported() {
    let store = "127.0.0.1:1".parse().unwrap();
    let (network, base_port) = ([127, 0, 0], 20_000);
    let place = siskinrock_fakes::site::Place { network, base_port, limits: None };
    let text = siskinrock_fakes::site::boot(place, 0, store, &[], 0.0);
    let text = text.replace("seeds = []", "seeds = [\"nowhere\"]");
    let error = siskinrock::platform::boot::parse(&text).unwrap_err().to_string();
    assert!(error.contains("seeds"), "{error}");
    assert!(error.contains("grace-s"), "{error}");
}

/// Guards against a body that is changed, cut or mixed up while it is put together from what arrives.
#[parameterized(
    at_once = { 60, false, 1 << 20 },
    pieces = { 90_000, false, 700 },
    chunks_of_one_byte = { 2_000, true, 1 },
    chunks = { 90_000, true, 5_000 },
)]
#[test_macro(tokio::test)]
async fn a_body_arrives_as_it_was_sent(bytes: usize, is_chunked: bool, piece_bytes: usize) {
    let running = support::start(1).await;
    let body: Vec<u8> = (0..bytes).map(|number| (number % 251) as u8).collect();
    let sent = Call { body: body.clone(), ..call("POST", "/book/a") };
    let encoded = sent.encode();
    let mut head = String::from_utf8(encoded[..encoded.len() - bytes].to_vec()).unwrap();
    let mut pieces: Vec<Vec<u8>> = body.chunks(piece_bytes).map(<[u8]>::to_vec).collect();
    if is_chunked {
        let length = format!("Content-Length: {bytes}");
        head = head.replace(&length, "Transfer-Encoding: chunked");
        let chunk = |piece: &Vec<u8>| {
            [format!("{:x}\r\n", piece.len()).as_bytes(), piece.as_slice(), b"\r\n"].concat()
        };
        pieces = pieces.iter().map(chunk).collect();
        pieces.push(b"0\r\n\r\n".to_vec());
    }
    let mut connection = Connection::new(TcpStream::connect(running.front(0)).await.unwrap());
    connection.write(head.as_bytes()).await.unwrap();
    for piece in &pieces {
        connection.write(piece).await.unwrap();
    }
    assert_eq!(connection.read_answer().await.unwrap().status(), 200);
    let seen = running.site.services.iter().flat_map(|service| service.seen());
    let arrived: Vec<Vec<u8>> = seen.map(|seen| seen.request.body).collect();
    assert!(arrived == [body], "{} bodies arrived, of other bytes", arrived.len());
}
