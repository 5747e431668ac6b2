//! A channel to an upstream ends in time: heads that don't end are given up early.

use siskinrock::gateway::message_bytes::{AnswerBytes, MAX_INTERIM_ANSWERS};

const INTERIM: &[u8] = b"HTTP/1.1 103 X\r\n\r\n";

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
