//! Requests that hear nothing from an upstream that lives, and upstreams that are no longer who the
//! list says.

use std::time::Instant;

use siskinrock_fakes::caller;
use siskinrock_fakes::engine::{EngineFake, Fault};
use siskinrock_fakes::process::wait_for;
use siskinrock_fakes::service;
use siskinrock_fakes::site::{Site, server_entry};

use crate::support::{self, call, plan, whole_text, working_engine};

/// Streams were sent once and heard nothing until their callers left 18 s later, while their
/// engine answered every question whether it lives.
#[tokio::test]
async fn a_stream_whose_head_never_comes_is_read_elsewhere() {
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
    assert!(running.gateways[0].logged().contains("the engine lives and has no such run"));
}

#[tokio::test]
async fn a_stream_that_falls_silent_goes_on_from_its_copy() {
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

/// The run is resumed at an engine that loses it as well, before it has made an event there.
#[tokio::test]
async fn a_stream_that_is_resumed_and_hears_nothing_goes_on() {
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

/// A run that is put out of memory waits behind the prompts of others and reads its own again, for
/// seconds; its copy holds all of it, and the pause that its caller allows is 700 ms.
#[tokio::test]
async fn a_stream_that_is_put_out_of_memory_goes_on_in_time() {
    let running = support::start_site(Site::start(2, 60).await, 1).await;
    let sent = plan();
    let reading = running.read_stream(&sent);
    let first = working_engine(&running).await;
    let engine = &running.site.engines[first];
    wait_for("it has made events for a while", async || engine.made() >= 11).await;
    engine.fail(Fault::PutsOut);
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    let logged = running.gateways[0].logged();
    assert!(logged.contains("engine preempted the run"));
    let pause = logged.split("\"pause_ms\":").nth(1).and_then(|rest| rest.split([',', '}']).next());
    let pause_ms: u64 = pause.and_then(|pause| pause.parse().ok()).expect("the run went on");
    assert!(pause_ms < 600, "{pause_ms}");
}

/// On a day on which most engines were leaving, runs left full engines that lived, whose state took
/// longer than 130 ms, for others that were as full, and were cut.
#[tokio::test]
async fn a_run_without_a_copy_stays_with_an_engine_that_is_late_with_its_state() {
    let site = Site::start(1, 450).await;
    (1..site.engines.len()).for_each(|index| site.list_engine(index, "draining"));
    site.engines[0].fail(Fault::Late);
    let running = support::start_site(site, 1).await;
    let sent = plan();
    let stream = running.read_stream(&sent).await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    assert_eq!(running.site.engines[0].seen().len(), 1, "it was never sent anew");
    assert!(running.gateways[0].logged().contains("second liveness probe completed"));
}

/// The engine of an answer is lost, and all others are full for a moment: asked without a pause, four
/// refused within 80 ms, and the answer was cut although its caller had twenty seconds left.
#[tokio::test]
async fn an_answer_that_began_waits_for_room_elsewhere() {
    let running = support::start_site(Site::start(3, 60).await, 1).await;
    let sent = plan();
    let reading = running.read_stream(&sent);
    let first = working_engine(&running).await;
    running.wait_for_events(first).await;
    let engines = &running.site.engines;
    let others = || engines.iter().enumerate().filter(|(index, _)| *index != first);
    others().for_each(|(_, engine)| engine.fail(Fault::Full));
    engines[first].fail(Fault::Torn);
    wait_for("several have refused", async || {
        others().map(|(_, engine)| engine.seen().len()).sum::<usize>() >= 5
    })
    .await;
    engines.iter().for_each(|engine| engine.fail(Fault::None));
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
}

/// What every engine refused is refused at once, with a time at which requests that run now have
/// ended: callers come back once, and asked again and again the same engines refused as often.
#[tokio::test]
async fn what_every_engine_refuses_is_refused_at_once() {
    let running = support::start(1).await;
    running.site.engines.iter().for_each(|engine| engine.fail(Fault::Full));
    let since = Instant::now();
    let answer = caller::send(running.front(0), &plan()).await.unwrap();
    assert_eq!(answer.status(), 503);
    assert!(since.elapsed().as_millis() < 1_000, "{:?}", since.elapsed());
    let after_s: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!((3.0..=6.7).contains(&after_s), "{after_s} s of 20 s");
    let engines = &running.site.engines;
    assert!(engines.iter().all(|engine| engine.seen().len() <= 1), "each is asked once");
}

/// The engine lives and works on the request as far as it tells, and no event ever comes: its
/// caller is served elsewhere, late, and not left waiting until its time is over.
#[tokio::test]
async fn a_stream_whose_first_event_is_overdue_is_read_elsewhere() {
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

/// All engines stand still for a while, and more runs want to leave theirs than the budget of
/// repeats allows. Who can't go on elsewhere stays: leaving first and asking for the repeat then cut
/// answers whose engines lived.
#[tokio::test]
async fn a_living_engine_is_left_only_with_a_repeat_in_hand() {
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
    wait_for("all are worked on", async || {
        let working: usize = engines.iter().map(|engine| engine.working()).sum();
        let has_begun = |engine: &EngineFake| engine.working() == 0 || engine.made() >= 3;
        working == STREAMS && engines.iter().all(has_begun)
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
        assert!(stream.is_complete, "{} was cut", sent.id);
        assert_eq!(stream.text, whole_text(sent, 0));
    }
}

/// Look-ups were refused with 504 after the route's 1,200 ms, with two other upstreams unasked.
#[tokio::test]
async fn a_silent_look_up_is_sent_to_a_second_upstream_in_time() {
    let running = support::start(1).await;
    running.site.services[0].fail(service::Fault::Mute);
    for _ in 0..12 {
        let sent = call("GET", "/look/seat");
        let since = Instant::now();
        let answer = caller::send(running.front(0), &sent).await.unwrap();
        assert_eq!(answer.status(), 200);
        assert!(since.elapsed().as_millis() < 700, "{:?}", since.elapsed());
        assert!(running.runs_of(&sent.id) <= 2, "the route allows two attempts");
    }
}

/// Of two attempts one was refused late and the other one broke off: "not run" must hold for both.
#[tokio::test]
async fn a_look_up_of_which_one_attempt_may_have_run_is_not_told_that_it_has_not() {
    let running = support::start(1).await;
    let (late, others) = running.site.services.split_first().unwrap();
    late.fail(service::Fault::LateFull);
    late.work_for(400);
    others.iter().for_each(|service| service.fail(service::Fault::LostAnswer));
    for _ in 0..20 {
        let sent = call("GET", "/look/seat");
        let answer = caller::send(running.front(0), &sent).await.unwrap();
        let has_run = running.runs_of(&sent.id) > 0;
        assert!(!has_run || answer.status() != 503, "told that it has not run");
    }
    assert!(running.gateways[0].logged().contains("sent to a second upstream"));
}

/// A silent call that may not be repeated is sent once, and its caller hears at the route's bound
/// that the outcome is unknown.
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

/// After an outage of the store the list named engines that had been replaced, and streams were
/// refused as if the others were full: five answers 421 used up the route's five attempts.
#[tokio::test]
async fn answers_of_replaced_engines_use_up_no_attempt() {
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

/// An engine's old entry stays for some heartbeats beside that of its next incarnation.
#[tokio::test]
async fn nothing_is_sent_to_an_entry_that_a_younger_one_followed() {
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

/// A process that starts again under its id holds nothing of before: who waits for it leaves.
#[tokio::test]
async fn a_run_leaves_an_engine_that_was_born_again_under_its_id() {
    let site = Site::start(2, 15).await;
    for index in 0..site.engines.len() {
        list_born(&site, index, 1_000);
    }
    let running = support::start_site(site, 1).await;
    running.site.engines.iter().for_each(|engine| engine.read_for(1_500));
    let sent = plan();
    let reading = running.read_stream(&sent);
    let first = working_engine(&running).await;
    list_born(&running.site, first, 2_000);
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    assert!(running.gateways[0].logged().contains("upstream restarted"));
}

fn list_born(site: &Site, index: usize, born: u64) {
    let engine = &site.engines[index];
    let zone = site.engine_zone(index);
    let mut entry = server_entry("plan-llm", zone, "ready", engine.addr);
    entry["born"] = born.into();
    site.store.put(&format!("servers/{}", engine.id), &entry);
}

/// What another writer put under a key names no upstream to use; the others hold.
#[tokio::test]
async fn a_foreign_entry_takes_only_its_own_upstream_out() {
    let running = support::start(1).await;
    let store = &running.site.store;
    let service = &running.site.services[0];
    let mut entry = server_entry("booking-app", "ranong-hall", "ready", service.addr);
    entry["state"] = "asleep".into();
    store.put(&format!("servers/{}", service.id), &entry);
    store.put("servers/nobody", &serde_json::json!({"address": 7, "backend": ["x"]}));
    wait_for("both are refused", async || {
        let logged = running.gateways[0].logged();
        logged.matches("entry names no upstream to use").count() >= 2
    })
    .await;
    let before = service.seen().len();
    for _ in 0..12 {
        let answer = caller::send(running.front(0), &call("GET", "/look/seat")).await.unwrap();
        assert_eq!(answer.status(), 200);
    }
    assert_eq!(service.seen().len(), before);
}

/// Callers whose connections broke when all instances ended came back with their last try, and
/// were refused by instances that had no configuration for another second.
#[tokio::test]
async fn a_starting_instance_keeps_a_request_until_it_has_a_configuration() {
    let mut running = support::start_site(Site::start(2, 15).await, 0).await;
    running.site.store.fail(siskinrock_fakes::store::Fault::Busy);
    running.add(0);
    wait_for("it listens", async || tokio::net::TcpStream::connect(running.front(0)).await.is_ok())
        .await;
    let sent = plan();
    let reading = running.read_stream(&sent);
    tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    running.site.store.fail(siskinrock_fakes::store::Fault::None);
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
}

/// Without a configuration in time, the refusal is true and names a time that the caller honours.
#[tokio::test]
async fn a_starting_instance_refuses_what_it_kept_in_vain() {
    let mut running = support::start_site(Site::start(1, 15).await, 0).await;
    running.site.store.fail(siskinrock_fakes::store::Fault::Busy);
    running.add(0);
    wait_for("it listens", async || tokio::net::TcpStream::connect(running.front(0)).await.is_ok())
        .await;
    wait_for("it misses the store", async || {
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
