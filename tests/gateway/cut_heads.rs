//! Answers whose head is cut: callers get an answer of another upstream or a failure, never a success
//! without its body.

use siskinrock_fakes::caller::{self, Call, Stream};
use siskinrock_fakes::engine;
use siskinrock_fakes::service;
use siskinrock_fakes::site::Site;
use yare::parameterized;

use crate::support::{self, Running, call, plan, whole_text};

/// Longer than any head of the fakes: the cut falls into the body, or behind it.
const MAX_HEAD_BYTES: usize = 220;

async fn start() -> Running {
    support::start_site(Site::start(1, 2).await, 1).await
}

/// Guards against a success with an empty or a short body: the worker closes its channel in its head.
#[parameterized(booking = { "POST", "/book/berth" }, lookup = { "GET", "/look/seat" })]
#[test_macro(tokio::test)]
async fn a_call_whose_answer_is_cut_in_its_head_is_no_short_success(
    method: &'static str,
    path: &'static str,
) {
    let running = start().await;
    for bytes in 0..MAX_HEAD_BYTES {
        let services = &running.site.services;
        services.iter().for_each(|service| service.fail(service::Fault::CutHead(bytes)));
        let sent = call(method, path);
        let answer = caller::send(running.front(0), &sent).await.unwrap();
        let whole = |id: &str| format!("answer to {} from {id}", sent.id).into_bytes();
        let is_whole = services.iter().any(|service| answer.body == whole(&service.id));
        let is_failure = matches!(answer.status(), 502..=504);
        assert!(is_failure || (answer.status() == 200 && is_whole), "cut after {bytes} bytes");
        assert!(answer.status() != 503 || running.runs_of(&sent.id) == 0, "refused and run");
        assert!(running.runs_of(&sent.id) <= if method == "POST" { 1 } else { 2 });
        // The other failures of an upstream must not hide this one.
        services.iter().for_each(|service| service.fail(service::Fault::None));
    }
}

/// Guards against a stream that ends as whole without its events.
#[parameterized(resumable = { plan }, may_run_once = { once })]
#[test_macro(tokio::test)]
async fn a_stream_whose_answer_is_cut_in_its_head_is_no_short_success(request: fn() -> Call) {
    let running = start().await;
    for bytes in (0..MAX_HEAD_BYTES).step_by(7) {
        running.site.engines[0].fail(engine::Fault::CutHead(bytes));
        let sent = request();
        let stream: Stream = caller::stream(running.front(0), &sent).await.unwrap();
        let is_whole = stream.is_complete && stream.text == whole_text(&sent, 0);
        let is_failure = !stream.is_complete || stream.head.status() >= 500;
        assert!(is_whole || is_failure, "cut after {bytes} bytes: {}", stream.head.status());
        running.site.engines[0].fail(engine::Fault::None);
    }
}

fn once() -> Call {
    Call { part: Some(support::new_id()), ..call("POST", "/plan/once/voyage") }
}
