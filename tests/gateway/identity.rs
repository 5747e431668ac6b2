//! Decisions on who answers at the address of an upstream.

use std::sync::Arc;

use siskinrock::gateway::policy::answer_end::Reply;
use siskinrock::gateway::policy::identity::{self, Identity, Proofs};
use yare::parameterized;

fn answered(status: u16, upstream: Option<&str>) -> Reply {
    Reply::Answered { status, upstream: upstream.map(Arc::from) }
}

/// Guards against a sound upstream that is taken for another process, and the reverse.
#[parameterized(
    healthy = { answered(200, Some("i-1")), false, Identity::Meant },
    draining = { answered(503, Some("i-1")), false, Identity::Meant },
    other_upstream = { answered(200, Some("i-2")), false, Identity::Another },
    misdirected = { answered(421, None), true, Identity::Another },
    page = { answered(200, None), false, Identity::Nameless },
    not_found = { answered(404, None), false, Identity::Nameless },
    unavailable = { answered(503, None), false, Identity::Nameless },
    full = { answered(503, None), true, Identity::Unknown },
    over_its_rate = { answered(429, None), true, Identity::Unknown },
    failing = { answered(500, None), false, Identity::Unknown },
    reset = { Reply::Broken, false, Identity::Unknown },
    silent = { Reply::None, false, Identity::Unknown }
)]
fn the_reply_to_a_question_shows_who_answers(reply: Reply, is_refusal: bool, expected: Identity) {
    assert_eq!(Identity::of("i-1", &reply, is_refusal), expected);
}

#[parameterized(
    nothing = { false, false, false, true },
    signed = { true, false, false, false },
    named = { false, true, false, false },
    refusal = { false, false, true, false }
)]
fn one_proof_is_enough_not_to_ask(signed: bool, named: bool, refusal: bool, missing: bool) {
    let proofs = Proofs { is_signed: signed, has_names: named, is_refusal: refusal };
    assert_eq!(proofs.are_missing(), missing);
}

/// Guards against a sound upstream that loses its place because an answer of its own came without a name.
#[test]
fn what_was_proved_is_refuted_by_proof_alone() {
    assert_eq!(Identity::Nameless.after_proof(), Identity::Unknown);
    for told in [Identity::Meant, Identity::Another, Identity::Unknown] {
        assert_eq!(told.after_proof(), told);
    }
}

/// Guards against questions without an end of their rate, and against an upstream that is never asked again.
#[test]
fn whoever_is_nameless_is_asked_ever_more_rarely() {
    let pauses: Vec<u64> = (0..6).map(identity::question_pause_ms).collect();
    assert_eq!(pauses, [500, 1_000, 2_000, 4_000, 8_000, 8_000]);
    assert_eq!(identity::question_pause_ms(u32::MAX), 8_000);
}
