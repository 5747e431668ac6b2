//! A channel to an upstream ends in time: its socket with it, and heads that don't end early.

use std::io::{ErrorKind, Read};
use std::net::TcpListener;
use std::time::Duration;

use siskinrock::gateway::channel::Channel;
use siskinrock::gateway::message_bytes::{AnswerBytes, MAX_INTERIM_ANSWERS};
use tokio::task::LocalSet;

const INTERIM: &[u8] = b"HTTP/1.1 103 X\r\n\r\n";
const OPEN_TIMEOUT_MS: u64 = 5_000;

/// Guards against more sockets than a process may have: those of dropped channels stayed open, uncounted.
#[tokio::test]
async fn a_dropped_channel_has_closed_its_socket() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let dropped = async {
        let channel = Channel::open(addr, OPEN_TIMEOUT_MS).await.unwrap();
        let (mut upstream, _) = listener.accept().unwrap();
        upstream.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
        drop(channel);
        // It blocks the thread of the runtime, so that only the drop itself can close the socket.
        upstream.read(&mut [0; 1])
    };
    match LocalSet::new().run_until(dropped).await {
        Ok(read) => assert_eq!(read, 0),
        Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset),
    }
}

/// Guards against an upstream that keeps the thread from all other requests by interim answers without end.
#[test]
fn interim_answers_without_end_are_given_up_by_their_number() {
    let mut answer = AnswerBytes::default();
    answer.await_head();
    answer.note(&INTERIM.repeat(MAX_INTERIM_ANSWERS));
    assert!(!answer.is_too_long());
    answer.note(INTERIM);
    assert!(answer.is_too_long());
}

/// Interim answers within the limit are no fault, however they are split.
#[test]
fn an_answer_may_follow_interim_answers() {
    let mut answer = AnswerBytes::default();
    answer.await_head();
    for byte in INTERIM.repeat(MAX_INTERIM_ANSWERS) {
        answer.note(&[byte]);
    }
    answer.note(b"HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n");
    answer.note(&INTERIM.repeat(MAX_INTERIM_ANSWERS));
    assert!(!answer.is_too_long());
}
