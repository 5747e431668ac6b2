//! Decisions on who answers at the address of an upstream.

use std::sync::Arc;

use siskinrock::gateway::policy::answer_end::Reply;
use siskinrock::gateway::policy::identity::{Identity, Proofs};
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
    page = { answered(200, None), false, Identity::Another },
    not_found = { answered(404, None), false, Identity::Another },
    unavailable = { answered(503, None), false, Identity::Another },
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
