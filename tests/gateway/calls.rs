//! Calls, whose answers aren't streamed: each runs at most once, and its caller gets its own whole
//! answer or none.

use siskinrock_fakes::caller;
use siskinrock_fakes::service::Fault;
use siskinrock_fakes::site::{self, KEY};
use yare::parameterized;

use crate::support::{self, call};

#[tokio::test]
async fn a_call_passes_unchanged_and_without_the_key() {
    let running = support::start(1).await;
    let sent = call("POST", "/book/berth?seat=4");
    let answer = caller::send(running.front(0), &sent).await.unwrap();
    assert_eq!(answer.status(), 200);
    let seen: Vec<_> = running.site.services.iter().flat_map(|service| service.seen()).collect();
    assert_eq!(seen.len(), 1);
    let request = &seen[0].request;
    assert_eq!(request.start, ("POST".to_owned(), "/book/berth?seat=4".to_owned()));
    assert_eq!(request.body, sent.body);
    assert_eq!(request.header("x-request-id"), Some(&*sent.id));
    assert_eq!(request.header("x-tenant"), Some("huka270"));
    assert!(request.headers.values().all(|value| !value.contains(KEY)));
    let left: u64 = request.header("x-request-deadline").unwrap().parse().unwrap();
    assert!(left <= 1_200, "the route's timeout is shorter than the caller's: {left}");
}

/// Whatever fault an upstream has, a booking runs at most once, and its caller gets no wrong answer.
#[parameterized(
    lost_answer = { Fault::LostAnswer, 502 },
    truncated = { Fault::Truncated, 502 },
    crossed = { Fault::Crossed, 502 },
    error = { Fault::Error, 500 },
    mute = { Fault::Mute, 504 },
)]
#[test_macro(tokio::test)]
async fn a_booking_runs_at_most_once(fault: Fault, status: u16) {
    let running = support::start(1).await;
    running.site.services.iter().for_each(|service| service.fail(fault));
    let sent = call("POST", "/book/berth");
    let answer = caller::send(running.front(0), &sent).await.unwrap();
    assert_eq!(answer.status(), status);
    assert_eq!(running.runs_of(&sent.id), 1);
    assert_eq!(answer.header("x-response-signature").is_some(), status == 500);
}

#[tokio::test]
async fn a_refusal_says_not_run_and_when_to_retry() {
    let running = support::start(1).await;
    running.site.services.iter().for_each(|service| service.fail(Fault::Full));
    let sent = call("POST", "/book/berth");
    let answer = caller::send(running.front(0), &sent).await.unwrap();
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").unwrap().parse::<f64>().unwrap() > 0.0);
    assert_eq!(running.runs_of(&sent.id), 0);
}

#[tokio::test]
async fn a_lookup_is_retried_at_another_upstream() {
    let running = support::start(1).await;
    // One of the three upstreams loses its answers, so that some calls need a second attempt.
    running.site.services[0].fail(Fault::LostAnswer);
    let mut served = 0;
    for _ in 0..20 {
        let sent = call("GET", "/look/seat");
        let answer = caller::send(running.front(0), &sent).await.unwrap();
        assert!(running.runs_of(&sent.id) <= 2, "the route allows two attempts");
        served += u32::from(answer.status() == 200);
        assert!(answer.status() != 200 || answer.body.starts_with(b"answer to"));
    }
    assert_eq!(served, 20);
}

#[tokio::test]
async fn an_extra_answer_is_not_delivered() {
    let running = support::start(1).await;
    running.site.services.iter().for_each(|service| service.fail(Fault::ExtraAnswer));
    for _ in 0..40 {
        let sent = call("POST", "/book/berth");
        let answer = caller::send(running.front(0), &sent).await.unwrap();
        assert!(running.runs_of(&sent.id) <= 1);
        if answer.status() == 200 {
            let body = String::from_utf8(answer.body).unwrap();
            assert!(body.starts_with(&format!("answer to {} ", sent.id)), "{body}");
        }
    }
}

#[tokio::test]
async fn an_upstream_replaced_at_its_address_gets_no_more_requests() {
    let running = support::start(1).await;
    // The directory still lists earlier processes at the addresses of two of the three upstreams.
    for index in [0, 1] {
        let service = &running.site.services[index];
        let entry = site::server_entry("booking-app", "ranong-hall", "ready", service.addr);
        running.site.store.remove(&format!("servers/{}", service.id));
        running.site.store.put(&format!("servers/gone-{index}"), &entry);
    }
    siskinrock_fakes::process::wait_for("the earlier processes are listed", async || {
        caller::send(running.front(0), &call("GET", "/look/seat")).await.unwrap();
        let seen = running.site.services[0].seen();
        seen.iter().any(|seen| !seen.ran)
    })
    .await;
    for _ in 0..10 {
        let answer = caller::send(running.front(0), &call("GET", "/look/seat")).await.unwrap();
        assert_eq!(answer.status(), 200);
    }
}

#[tokio::test]
async fn a_draining_upstream_gets_no_new_requests() {
    let running = support::start(2).await;
    running.site.list_service(0, "draining");
    running.site.store.remove(&format!("servers/{}", running.site.services[1].id));
    let count = |index: usize| running.site.services[index].seen().len();
    let fronts = [running.front(0), running.front(1)];
    siskinrock_fakes::process::wait_for("both instances have received the change", async || {
        let before = (count(0), count(1));
        for front in fronts.iter().cycle().take(20) {
            let answer = caller::send(*front, &call("GET", "/look/seat")).await.unwrap();
            assert_eq!(answer.status(), 200);
        }
        (count(0), count(1)) == before
    })
    .await;
}

#[tokio::test]
async fn a_disconnected_caller_cancels_its_request() {
    let running = support::start(1).await;
    let sent = support::plan();
    let connection = caller::open(running.front(0), &sent).await.unwrap();
    siskinrock_fakes::process::wait_for("an engine works on it", async || {
        running.site.engines.iter().any(|engine| engine.working() > 0)
    })
    .await;
    drop(connection);
    siskinrock_fakes::process::wait_for("no engine works on it any more", async || {
        running.site.engines.iter().all(|engine| engine.working() == 0)
    })
    .await;
}
