//! Requests whose upstream is alive but silent, and upstreams that were replaced while still
//! listed.

use std::time::Instant;

use siskinrock_fakes::caller;
use siskinrock_fakes::engine::{EngineFake, Fault};
use siskinrock_fakes::process::wait_for;
use siskinrock_fakes::service;
use siskinrock_fakes::site::{Site, server_entry};

use crate::support::{self, call, plan, whole_text, working_engine};

/// Guards against a stream that hangs because its engine has lost the run: the engine still reports
/// that it is alive, so the stream was sent once and its caller left after 18 s without an event.
#[tokio::test]
async fn a_stream_without_response_head_is_retried_at_another_engine() {
    let running = support::start(1).await;
    running.site.engines.iter().for_each(|engine| engine.read_for(200));
    let sent = plan();
    let since = Instant::now();
    let reading = running.read_stream(&sent);
    let first = working_engine(&running).await;
    running.site.engines[first].fail(Fault::Forgets);
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    assert!(since.elapsed().as_secs() < 4, "{:?}", since.elapsed());
    assert!(running.gateways[0].logged().contains("the engine is alive but no longer has the run"));
}

#[tokio::test]
async fn a_silent_stream_resumes_from_its_copy() {
    let running = support::start(1).await;
    let sent = plan();
    let reading = running.read_stream(&sent);
    let first = working_engine(&running).await;
    running.wait_for_events(first).await;
    running.site.engines[first].fail(Fault::Forgets);
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
}

/// The engine that the run is resumed at loses it as well, before it has produced an event.
#[tokio::test]
async fn a_stream_that_is_silent_after_resuming_resumes_again() {
    let running = support::start_site(Site::start(2, 40).await, 1).await;
    let sent = plan();
    let reading = running.read_stream(&sent);
    let first = working_engine(&running).await;
    running.wait_for_events(first).await;
    let copy_at =
        running.site.engines[first].seen()[0].request.header("x-kv-backup").unwrap().to_owned();
    let engines = &running.site.engines;
    let second = engines.iter().position(|engine| engine.addr.to_string() == copy_at).unwrap();
    engines[second].fail(Fault::Forgets);
    engines[first].fail(Fault::Torn);
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    assert!(engines[second].seen().iter().any(|seen| seen.from_copy));
}

/// A preempted run waits behind other prompts and reads its own again, which takes seconds, while
/// its caller allows a pause of 700 ms. The run must resume from its copy, which is complete.
#[tokio::test]
async fn a_preempted_stream_resumes_in_time() {
    let running = support::start_site(Site::start(2, 60).await, 1).await;
    let sent = plan();
    let reading = running.read_stream(&sent);
    let first = working_engine(&running).await;
    let engine = &running.site.engines[first];
    wait_for("the engine has produced 11 events", async || engine.made() >= 11).await;
    engine.fail(Fault::PutsOut);
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    let logged = running.gateways[0].logged();
    assert!(logged.contains("engine preempted the run"));
    let pause = logged.split("\"pause_ms\":").nth(1).and_then(|rest| rest.split([',', '}']).next());
    let pause_ms: u64 = pause.and_then(|pause| pause.parse().ok()).expect("the run resumed");
    assert!(pause_ms < 600, "{pause_ms}");
}

/// Guards against runs that leave a full but live engine because its state takes longer than 130 ms
/// to arrive. While most engines were leaving, such runs went to engines that were just as full, and
/// their answers were truncated.
#[tokio::test]
async fn a_run_without_a_copy_stays_when_the_engine_state_is_late() {
    let site = Site::start(1, 450).await;
    (1..site.engines.len()).for_each(|index| site.list_engine(index, "draining"));
    site.engines[0].fail(Fault::Late);
    let running = support::start_site(site, 1).await;
    let sent = plan();
    let stream = running.read_stream(&sent).await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    assert_eq!(running.site.engines[0].seen().len(), 1, "sent only once");
    assert!(running.gateways[0].logged().contains("second liveness probe completed"));
}

/// Guards against truncated answers when the engine of an answer is lost and all others are full
/// for a moment. Without a delay between attempts, four engines refused within 80 ms, and the
/// answer was truncated although its caller had twenty seconds left.
#[tokio::test]
async fn a_started_answer_waits_for_capacity_elsewhere() {
    let running = support::start_site(Site::start(3, 60).await, 1).await;
    let sent = plan();
    let reading = running.read_stream(&sent);
    let first = working_engine(&running).await;
    running.wait_for_events(first).await;
    let engines = &running.site.engines;
    let others = || engines.iter().enumerate().filter(|(index, _)| *index != first);
    others().for_each(|(_, engine)| engine.fail(Fault::Full));
    engines[first].fail(Fault::Torn);
    wait_for("the other engines have refused five attempts", async || {
        others().map(|(_, engine)| engine.seen().len()).sum::<usize>() >= 5
    })
    .await;
    engines.iter().for_each(|engine| engine.fail(Fault::None));
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
}

/// A request that every engine refused is refused at once, with a retry time by which some of the
/// running requests have ended. Callers retry only once, and asking the same engines again and
/// again leads to the same refusals.
#[tokio::test]
async fn a_request_that_every_engine_refused_is_refused_at_once() {
    let running = support::start(1).await;
    running.site.engines.iter().for_each(|engine| engine.fail(Fault::Full));
    let since = Instant::now();
    let answer = caller::send(running.front(0), &plan()).await.unwrap();
    assert_eq!(answer.status(), 503);
    assert!(since.elapsed().as_millis() < 1_000, "{:?}", since.elapsed());
    let after_s: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!((3.0..=6.7).contains(&after_s), "{after_s} s of 20 s");
    let engines = &running.site.engines;
    assert!(
        engines.iter().all(|engine| engine.seen().len() <= 1),
        "each engine is tried at most once"
    );
}

/// Guards against a stream that waits until its timeout at an engine that is alive and reports the
/// run but never sends an event: it must be served elsewhere, even if late.
#[tokio::test]
async fn a_stream_with_overdue_first_event_is_retried_at_another_engine() {
    let running = support::start(1).await;
    running.site.engines.iter().for_each(|engine| engine.read_for(200));
    let sent = plan();
    let reading = running.read_stream(&sent);
    let first = working_engine(&running).await;
    running.site.engines[first].fail(Fault::Stuck);
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    assert!(running.gateways[0].logged().contains("its first event is overdue"));
}

/// All engines stop producing events for a while, and more runs want to leave their engines than
/// the budget of repeats allows. A run without a repeat must stay: when runs left before they asked
/// for the repeat, answers were truncated although their engines were alive.
#[tokio::test]
async fn a_run_leaves_a_live_engine_only_if_the_budget_allows_a_repeat() {
    const STREAMS: usize = 30;
    // 0.75 of 0.8 for each stream.
    const MOVES: usize = 18;
    let mut running = support::start_site(Site::start(2, 250).await, 1).await;
    running.gateways[0].kill();
    running.gateways[0].set("retry-slack = 150", "retry-slack = 0");
    running.gateways[0].restart();
    running.wait_until_ready().await;
    let sent: Vec<_> = (0..STREAMS).map(|_| plan()).collect();
    let reading: Vec<_> = sent.iter().map(|sent| running.read_stream(sent)).collect();
    let engines = &running.site.engines;
    wait_for("all streams are running", async || {
        let working: usize = engines.iter().map(|engine| engine.working()).sum();
        let has_produced_events = |engine: &EngineFake| engine.working() == 0 || engine.made() >= 3;
        working == STREAMS && engines.iter().all(has_produced_events)
    })
    .await;
    engines.iter().for_each(|engine| engine.fail(Fault::Stuck));
    wait_for("runs have left their engines", async || {
        let logged = running.gateways[0].logged();
        logged.matches("run handed over").count() >= MOVES
    })
    .await;
    engines.iter().for_each(|engine| engine.fail(Fault::None));
    for (sent, reading) in sent.iter().zip(reading) {
        let stream = reading.await.unwrap().unwrap();
        assert!(stream.is_complete, "{} was truncated", sent.id);
        assert_eq!(stream.text, whole_text(sent, 0));
    }
}

/// Guards against a call that waits for a silent upstream until the route's timeout of 1,200 ms and
/// fails with 504, while two other upstreams have not been tried.
#[tokio::test]
async fn a_silent_look_up_is_hedged_in_time() {
    let running = support::start(1).await;
    running.site.services[0].fail(service::Fault::Mute);
    for _ in 0..12 {
        let sent = call("GET", "/look/seat");
        let since = Instant::now();
        let answer = caller::send(running.front(0), &sent).await.unwrap();
        assert_eq!(answer.status(), 200);
        assert!(since.elapsed().as_millis() < 700, "{:?}", since.elapsed());
        assert!(running.runs_of(&sent.id) <= 2, "more than the two attempts that the route allows");
    }
}

/// One of two attempts was refused late and the other one lost its connection: the answer may say
/// "not run" only if it holds for both.
#[tokio::test]
async fn a_look_up_is_not_reported_as_not_run_if_one_attempt_may_have_run() {
    let running = support::start(1).await;
    let (late, others) = running.site.services.split_first().unwrap();
    late.fail(service::Fault::LateFull);
    late.work_for(400);
    others.iter().for_each(|service| service.fail(service::Fault::LostAnswer));
    for _ in 0..20 {
        let sent = call("GET", "/look/seat");
        let answer = caller::send(running.front(0), &sent).await.unwrap();
        let has_run = running.runs_of(&sent.id) > 0;
        assert!(!has_run || answer.status() != 503, "503 although an attempt has run");
    }
    assert!(running.gateways[0].logged().contains("sent to a second upstream"));
}

/// A silent call that must not be repeated is sent once, and at the route's timeout its caller is
/// told that the outcome is unknown.
#[tokio::test]
async fn a_silent_booking_is_sent_once_and_its_outcome_is_unknown() {
    let running = support::start(1).await;
    running.site.services.iter().for_each(|service| service.fail(service::Fault::Mute));
    let sent = call("POST", "/book/berth");
    let since = Instant::now();
    let answer = caller::send(running.front(0), &sent).await.unwrap();
    assert_eq!(answer.status(), 504);
    assert!(since.elapsed().as_millis() < 1_700, "{:?}", since.elapsed());
    assert_eq!(running.runs_of(&sent.id), 1);
}

/// Guards against streams refused as if all engines were full: after an outage of the store the
/// list named engines that had been replaced, and five answers 421 used up the route's five
/// attempts.
#[tokio::test]
async fn answers_of_replaced_engines_do_not_count_as_attempts() {
    let running = support::start(1).await;
    let engines = &running.site.engines;
    let (last, others) = engines.split_last().unwrap();
    assert!(others.len() >= 5);
    others.iter().for_each(|engine| engine.come_back(&format!("{}-again", engine.id)));
    for _ in 0..4 {
        let sent = plan();
        let stream = caller::stream(running.front(0), &sent).await.unwrap();
        assert!(stream.is_complete);
        assert_eq!(stream.text, whole_text(&sent, 0));
    }
    assert_eq!(last.seen().iter().filter(|seen| seen.ran).count(), 4);
}

/// The old entry of an engine stays for some heartbeats beside that of its next incarnation.
#[tokio::test]
async fn nothing_is_sent_to_a_superseded_entry() {
    let running = support::start(1).await;
    let engine = &running.site.engines[0];
    let next = format!("{}-again", engine.id);
    engine.come_back(&next);
    let entry = server_entry("plan-llm", running.site.engine_zone(0), "ready", engine.addr);
    running.site.store.put(&format!("servers/{next}"), &entry);
    let mut next_runs = 0;
    while next_runs == 0 {
        caller::stream(running.front(0), &plan()).await.unwrap();
        next_runs = engine.seen().iter().filter(|seen| seen.ran).count();
    }
    let refused = || engine.seen().iter().filter(|seen| !seen.ran).count();
    let before = refused();
    for _ in 0..8 {
        caller::stream(running.front(0), &plan()).await.unwrap();
    }
    assert_eq!(refused(), before);
}

/// A process that restarts under its id has none of its previous runs, so a run that waits for it
/// must leave.
#[tokio::test]
async fn a_run_leaves_an_engine_that_restarted_under_its_id() {
    let site = Site::start(2, 15).await;
    for index in 0..site.engines.len() {
        list_with_start_time(&site, index, 1_000);
    }
    let running = support::start_site(site, 1).await;
    running.site.engines.iter().for_each(|engine| engine.read_for(1_500));
    let sent = plan();
    let reading = running.read_stream(&sent);
    let first = working_engine(&running).await;
    list_with_start_time(&running.site, first, 2_000);
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    assert!(running.gateways[0].logged().contains("upstream restarted"));
}

fn list_with_start_time(site: &Site, index: usize, started_ms: u64) {
    let engine = &site.engines[index];
    let zone = site.engine_zone(index);
    let mut entry = server_entry("plan-llm", zone, "ready", engine.addr);
    entry["born"] = started_ms.into();
    site.store.put(&format!("servers/{}", engine.id), &entry);
}

/// An entry written by something else under an upstream's key names no usable upstream; other
/// entries stay valid.
#[tokio::test]
async fn an_unusable_entry_removes_only_its_own_upstream() {
    let running = support::start(1).await;
    let store = &running.site.store;
    let service = &running.site.services[0];
    let mut entry = server_entry("booking-app", "ranong-hall", "ready", service.addr);
    entry["state"] = "asleep".into();
    store.put(&format!("servers/{}", service.id), &entry);
    store.put("servers/nobody", &serde_json::json!({"address": 7, "backend": ["x"]}));
    wait_for("both entries are rejected", async || {
        let logged = running.gateways[0].logged();
        logged.matches("unusable upstream entry; removing its upstream").count() >= 2
    })
    .await;
    let before = service.seen().len();
    for _ in 0..12 {
        let answer = caller::send(running.front(0), &call("GET", "/look/seat")).await.unwrap();
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(service.seen().len(), before);
}

/// Guards against requests refused by an instance that has just started: callers whose connections
/// broke when all instances ended returned with their last retry, up to a second before there was a
/// configuration.
#[tokio::test]
async fn a_starting_instance_holds_a_request_until_it_has_a_configuration() {
    let mut running = support::start_site(Site::start(2, 15).await, 0).await;
    running.site.store.fail(siskinrock_fakes::store::Fault::Busy);
    running.add(0);
    wait_for("the instance listens", async || {
        tokio::net::TcpStream::connect(running.front(0)).await.is_ok()
    })
    .await;
    let sent = plan();
    let reading = running.read_stream(&sent);
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    running.site.store.fail(siskinrock_fakes::store::Fault::None);
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
}

/// If no configuration arrives in time, the request is refused, with a retry time that the caller
/// accepts.
#[tokio::test]
async fn a_starting_instance_refuses_a_held_request_without_a_configuration() {
    let mut running = support::start_site(Site::start(1, 15).await, 0).await;
    running.site.store.fail(siskinrock_fakes::store::Fault::Busy);
    running.add(0);
    wait_for("the instance listens", async || {
        tokio::net::TcpStream::connect(running.front(0)).await.is_ok()
    })
    .await;
    wait_for("the instance has lost the store", async || {
        running.gateways[0].logged().contains("directory lost")
    })
    .await;
    let sent = call("GET", "/look/seat");
    let since = Instant::now();
    let answer = caller::send(running.front(0), &sent).await.unwrap();
    assert_eq!(answer.status(), 503);
    assert!(since.elapsed().as_millis() < 800, "{:?}", since.elapsed());
    let after_s: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!((0.8..=5.0 / 3.0).contains(&after_s), "{after_s}");
    assert_eq!(running.runs_of(&sent.id), 0);
}
