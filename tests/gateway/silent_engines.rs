//! Engines that say nothing for a while and go on: a run that can go on nowhere else waits there.

use std::time::{Duration, Instant};

use siskinrock::gateway::policy::silent_engine::{self, Continuation, Verdict};
use siskinrock_fakes::caller::{self, Call, Stream};
use siskinrock_fakes::engine::Fault;
use siskinrock_fakes::process::wait_for;
use siskinrock_fakes::site::Site;
use yare::parameterized;

use crate::support::{self, Running, call, plan, whole_text};

/// Between two events: a stream takes over two seconds.
const STEP_MS: u64 = 50;
/// Longer than it takes to leave a silent engine, and shorter than a silent one is waited for.
const ENDS_WITHIN: Duration = Duration::from_millis(1_000);

/// A stream that may run once.
fn once() -> Call {
    let id = support::new_id();
    Call { part: Some(id), deadline_ms: 20_000, ..call("POST", "/plan/once/voyage") }
}

async fn start() -> Running {
    support::start_site(Site::start(2, STEP_MS).await, 1).await
}

fn read(running: &Running, sent: &Call) -> tokio::task::JoinHandle<std::io::Result<Stream>> {
    running.read_stream(sent)
}

fn fail_all(running: &Running, fault: Fault) {
    running.site.engines.iter().for_each(|engine| engine.fail(fault));
}

/// What happens at the gateway while its engines are silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Meanwhile {
    Nothing,
    Signal(i32),
    NewConfig,
}

/// Guards against streams that are broken off, though their engine is sound and may not be left: it is
/// silent for a while before or after its first event.
#[parameterized(
    short = { true, 300, Meanwhile::Nothing },
    second = { true, 1_000, Meanwhile::Nothing },
    two_seconds = { true, 2_000, Meanwhile::Nothing },
    before_the_first_event = { false, 1_000, Meanwhile::Nothing },
    two_seconds_before_the_first_event = { false, 2_000, Meanwhile::Nothing },
    while_settings_are_read_again = { true, 1_000, Meanwhile::Signal(libc::SIGHUP) },
    while_it_is_stopped = { true, 1_000, Meanwhile::Signal(libc::SIGTERM) },
    while_a_configuration_comes = { true, 1_000, Meanwhile::NewConfig },
)]
#[test_macro(tokio::test)]
async fn a_stream_that_may_run_once_waits_at_its_silent_engine(
    has_begun: bool,
    silent_ms: u64,
    meanwhile: Meanwhile,
) {
    let running = start().await;
    running.site.engines.iter().for_each(|engine| engine.read_for(200));
    let all: Vec<Call> = (0..4).map(|_| once()).collect();
    let reading: Vec<_> = all.iter().map(|sent| read(&running, sent)).collect();
    let engines = &running.site.engines;
    wait_for("the streams are at their engines", async || {
        all.iter().all(|sent| running.runs_of(&sent.id) == 1)
    })
    .await;
    if has_begun {
        wait_for("events come", async || engines.iter().any(|engine| engine.made() > 2)).await;
    }
    fail_all(&running, Fault::Dark);
    match meanwhile {
        Meanwhile::Nothing => {}
        Meanwhile::Signal(signal) => running.gateways[0].signal(signal),
        Meanwhile::NewConfig => {
            let config =
                siskinrock_fakes::site::config(9, &[siskinrock_fakes::site::KEY], &["new"]);
            running.site.store.put("op/config", &config);
        }
    }
    tokio::time::sleep(Duration::from_millis(silent_ms)).await;
    fail_all(&running, Fault::None);
    for (sent, reading) in all.iter().zip(reading) {
        let stream = reading.await.unwrap().unwrap();
        assert_eq!(stream.head.status(), 200);
        assert!(stream.is_complete);
        assert_eq!(stream.text, whole_text(sent, 0));
        assert_eq!(running.runs_of(&sent.id), 1);
    }
}

/// Guards against a caller who waits for an answer that can't come: the process of the silent engine
/// ends.
#[parameterized(begun = { true, false }, unbegun = { false, false }, replaced = { true, true })]
#[test_macro(tokio::test)]
async fn a_stream_ends_with_the_process_of_its_silent_engine(has_begun: bool, is_replaced: bool) {
    let running = start().await;
    running.site.engines.iter().for_each(|engine| engine.read_for(200));
    let sent = once();
    let reading = read(&running, &sent);
    wait_for("the stream is at its engine", async || running.runs_of(&sent.id) == 1).await;
    let engines = &running.site.engines;
    if has_begun {
        wait_for("events come", async || engines.iter().any(|engine| engine.made() > 2)).await;
    }
    fail_all(&running, Fault::Dark);
    tokio::time::sleep(Duration::from_millis(800)).await;
    assert!(!reading.is_finished(), "it waits");
    let since = Instant::now();
    let has_run = |index: &usize| engines[*index].seen().iter().any(|seen| seen.ran);
    let index = (0..engines.len()).find(has_run).unwrap();
    engines[index].process.crash();
    if is_replaced {
        engines[index].come_back("i-other");
    }
    let stream = reading.await.unwrap();
    assert!(since.elapsed() < ENDS_WITHIN, "ended after {:?}", since.elapsed());
    let is_failed = stream.map_or(true, |stream| !stream.is_complete);
    assert!(is_failed);
    assert_eq!(running.runs_of(&sent.id), 1);
}

/// Guards against a prompt that is read twice: the only engine of a stream's version is silent for a
/// second, and nothing else could go on with it.
#[tokio::test]
async fn a_stream_waits_at_the_only_engine_of_its_version() {
    let site = Site::start(2, STEP_MS).await;
    for index in 1..site.engines.len() {
        site.engines[index].set_version("v1.1");
        site.list_engine(index, "ready");
    }
    let running = support::start_site(site, 1).await;
    let engines = &running.site.engines;
    let mut sent = plan();
    let mut reading = read(&running, &sent);
    while running.working_at(0, &sent).await != 1 {
        reading.abort();
        sent = plan();
        reading = read(&running, &sent);
    }
    wait_for("events come", async || engines[0].made() > 2).await;
    engines[0].fail(Fault::Dark);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    engines[0].fail(Fault::None);
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    assert_eq!(running.runs_of(&sent.id), 1);
}

impl Running {
    /// How often an engine has run a stream, once any engine has it.
    async fn working_at(&self, index: usize, sent: &Call) -> usize {
        wait_for("an engine has the stream", async || self.runs_of(&sent.id) > 0).await;
        let seen = self.site.engines[index].seen();
        seen.iter().filter(|seen| seen.request.header("x-request-id") == Some(&*sent.id)).count()
    }
}

/// Guards against a reader who is kept from the next engine: what can go on elsewhere does so.
#[tokio::test]
async fn a_stream_that_can_go_on_elsewhere_does_not_wait() {
    let running = start().await;
    let sent = plan();
    let reading = read(&running, &sent);
    let engines = &running.site.engines;
    wait_for("events come", async || engines.iter().any(|engine| engine.made() > 2)).await;
    let index = support::working_engine(&running).await;
    engines[index].fail(Fault::Dark);
    let stream = reading.await.unwrap().unwrap();
    assert_eq!(stream.text, whole_text(&sent, 0));
    assert_eq!(running.runs_of(&sent.id), 2);
}

/// A call waits for its answer as well: nothing else may run it.
#[tokio::test]
async fn a_booking_waits_at_its_silent_service() {
    let running = support::start(1).await;
    let services = &running.site.services;
    services.iter().for_each(|service| service.work_for(1_000));
    let sent = call("POST", "/book/berth");
    let answer = caller::send(running.front(0), &sent).await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(running.runs_of(&sent.id), 1);
}

#[parameterized(
    can_go_on = { false, |_: &mut Continuation| {}, Verdict::GoesOn },
    process_has_ended = { true, |_: &mut Continuation| {}, Verdict::EndsThere },
    may_run_once = { false, |run: &mut Continuation| run.is_resumable = false, Verdict::Waits },
    no_retry_left = { false, |run: &mut Continuation| run.has_retry = false, Verdict::Waits },
    no_engine_of_its_version = { false, |run: &mut Continuation| run.has_engine = false, Verdict::Waits },
    lost_at_its_last_attempt = { false, |run: &mut Continuation| run.attempts = 3, Verdict::GoesOn },
    beyond_its_last_attempt = { false, |run: &mut Continuation| run.attempts = 4, Verdict::Waits },
    one_attempt_alone = {
        false,
        |run: &mut Continuation| (run.attempts, run.max_attempts) = (1, 1),
        Verdict::Waits
    },
)]
fn a_run_leaves_a_silent_engine_only_if_it_can_go_on(
    has_ended: bool,
    change: fn(&mut Continuation),
    verdict: Verdict,
) {
    let mut continuation = Continuation {
        is_resumable: true,
        attempts: 1,
        max_attempts: 3,
        has_retry: true,
        has_engine: true,
    };
    change(&mut continuation);
    assert_eq!(silent_engine::judge(has_ended, continuation), verdict);
}
