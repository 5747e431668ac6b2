//! Streams survive the loss of their engines: every event arrives once and in order, within one
//! response.

use std::time::{Duration, Instant};

use siskinrock_fakes::caller::{self, Call};
use siskinrock_fakes::engine::{CrashPoint, EVENTS, Fault};
use siskinrock_fakes::process::wait_for;
use siskinrock_fakes::site::{Site, server_entry};
use yare::parameterized;

use crate::support::{self, Running, plan, whole_text, working_engine};

#[tokio::test]
async fn a_stream_is_forwarded_completely() {
    let running = support::start(1).await;
    let sent = plan();
    let stream = caller::stream(running.front(0), &sent).await.unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
}

/// The engine fails in different ways during a run. The caller receives one complete stream, with
/// the head of the first engine's response, and the run resumes from the copy.
#[parameterized(
    torn = { Fault::Torn },
    dark = { Fault::Dark },
    stuck = { Fault::Stuck },
    cut = { Fault::Cut },
)]
#[test_macro(tokio::test)]
async fn a_stream_survives_the_loss_of_its_engine(fault: Fault) {
    let running = support::start(1).await;
    let sent = plan();
    let reading = running.read_stream(&sent);
    let first = working_engine(&running).await;
    wait_for("the request is sent", async || running.times_sent(&sent.id) > 0).await;
    tokio::time::timeout(Duration::from_secs(5), running.wait_for_events(first)).await.unwrap();
    running.site.engines[first].fail(fault);
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    let signature = stream.head.header("x-response-signature").unwrap();
    assert_eq!(signature, running.site.engines[first].id);
    let from_copy = running.site.engines.iter().flat_map(|engine| engine.seen());
    assert_eq!(from_copy.filter(|seen| seen.from_copy).count(), 1);
}

/// Guards against the truncation of streams whose events are still arriving. Another request waits
/// for its first event at the same engine, so the engine is probed, and the probe fails because the
/// engine is full or no connection is free. All runs then left the engine at once, 40 to 100 ms
/// after their last events; many at a time exhausted the retry budget, and the rest was given up.
///
/// In the log: `liveness probe completed` with `lives` false, `engine lost` with why `silent` and
/// `quiet_ms` 40, `retry budget exhausted`, `refused`.
#[tokio::test]
async fn a_stream_with_events_stays_when_its_engine_does_not_return_its_state() {
    let site = Site::start(1, 100).await;
    for engine in &site.engines[1..] {
        site.store.remove(&format!("servers/{}", engine.id));
    }
    let running = support::start_site(site, 1).await;
    let engine = &running.site.engines[0];
    let sent = plan();
    let reading = running.read_stream(&sent);
    running.wait_for_events(0).await;
    engine.fail(Fault::Mute);
    engine.read_for(3_000);
    let _waiting = running.read_stream(&plan());
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    assert!(running.gateways[0].logged().contains("liveness probe completed"));
    assert_eq!(running.runs_of(&sent.id), 1);
}

/// An answer without length or chunks ends with its channel: it is whole if its engine lives.
#[tokio::test]
async fn a_stream_without_length_or_chunks_is_forwarded_completely() {
    let running = support::start(1).await;
    running.site.engines.iter().for_each(|engine| engine.fail(Fault::Unframed));
    let sent = plan();
    let stream = caller::stream(running.front(0), &sent).await.unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    assert_eq!(running.runs_of(&sent.id), 1);
}

/// A crash closes the channel of an answer without length or chunks as its end does.
#[parameterized(
    inside_the_first_event = { CrashPoint::InFirstEvent },
    between_events = { CrashPoint::BetweenEvents },
)]
#[test_macro(tokio::test)]
async fn the_end_of_a_crashed_engines_channel_is_no_end_of_its_stream(point: CrashPoint) {
    let site = Site::start(2, 15).await;
    for engine in &site.engines[1..] {
        site.store.remove(&format!("servers/{}", engine.id));
    }
    let running = support::start_site(site, 1).await;
    let engines = &running.site.engines;
    engines[0].crash_on_part("shared", point);
    let sent = Call { shared_parts: vec!["shared".to_owned()], ..plan() };
    let reading = running.read_stream(&sent);
    wait_for("the engine works on it", async || engines[0].working() > 0).await;
    (1..engines.len()).for_each(|index| running.site.list_engine(index, "ready"));
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    assert_eq!(running.runs_of(&sent.id), 2);
    assert!(running.gateways[0].logged().contains("upstream crashed under a request"));
}

/// Copies start with the first event; before that, an attempt at the copy would only be refused.
#[tokio::test]
async fn a_stream_lost_before_its_first_event_is_not_resumed_from_a_copy() {
    let running = support::start(1).await;
    running.site.engines.iter().for_each(|engine| engine.read_for(400));
    let sent = plan();
    let reading = running.read_stream(&sent);
    let first = working_engine(&running).await;
    running.site.engines[first].fail(Fault::Torn);
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    let seen: Vec<_> = running.site.engines.iter().flat_map(|engine| engine.seen()).collect();
    assert!(seen.iter().all(|seen| seen.request.header("kv-from").is_none()));
    assert_eq!(seen.len(), 2, "the engine that was lost and the next one");
}

#[tokio::test]
async fn a_copy_lies_in_another_failure_domain() {
    let running = support::start(1).await;
    for _ in 0..6 {
        caller::stream(running.front(0), &plan()).await.unwrap();
    }
    for (index, engine) in running.site.engines.iter().enumerate() {
        for seen in engine.seen() {
            let copy = seen.request.header("x-kv-backup").unwrap();
            let engines = &running.site.engines;
            let at = engines.iter().position(|engine| engine.addr.to_string() == copy).unwrap();
            assert_ne!(running.site.engine_zone(at), running.site.engine_zone(index));
        }
    }
}

/// When the engine that holds a copy is lost, a new copy is made elsewhere, so that the next loss
/// costs nothing either.
#[tokio::test]
async fn a_lost_copy_is_replaced() {
    let site = siskinrock_fakes::site::Site::start(2, 120).await;
    let running = support::start_site(site, 1).await;
    let sent = plan();
    let reading = running.read_stream(&sent);
    let first = working_engine(&running).await;
    let seen = running.site.engines[first].seen();
    let copy = seen[0].request.header("x-kv-backup").unwrap().to_owned();
    let engines = &running.site.engines;
    let at = engines.iter().position(|engine| engine.addr.to_string() == copy).unwrap();
    running.site.store.remove(&format!("servers/{}", engines[at].id));
    wait_for("the run is copied elsewhere", async || {
        running.gateways[0].logged().contains("\"run copied\"")
    })
    .await;
    running.site.engines[first].fail(Fault::Torn);
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    assert!(
        running.site.engines.iter().flat_map(|engine| engine.seen()).any(|seen| seen.from_copy)
    );
}

#[tokio::test]
async fn a_stream_without_resumption_is_truncated_and_not_run_again() {
    let running = support::start(1).await;
    let sent = caller::Call { path: "/plan/once/a".to_owned(), ..plan() };
    let reading = running.read_stream(&sent);
    let first = working_engine(&running).await;
    running.wait_for_events(first).await;
    running.site.engines[first].fail(Fault::Torn);
    let stream = reading.await.unwrap().unwrap();
    assert!(!stream.is_complete, "a truncated response must not look complete");
    assert!(whole_text(&sent, 0).starts_with(&stream.text), "only whole events are forwarded");
    assert_eq!(running.runs_of(&sent.id), 1);
}

#[tokio::test]
async fn a_reconnecting_caller_resumes_at_the_engine_that_cached_its_prompt() {
    let running = support::start(3).await;
    let sent = plan();
    let reading = running.read_stream(&sent);
    let first = working_engine(&running).await;
    running.wait_for_events(first).await;
    let mut running = running;
    // Peers receive a cache location within milliseconds; the instance is killed later.
    wait_for("a peer has had time to receive it", async || {
        running.gateways[1].metrics().await.contains("siskinrock_open_requests")
    })
    .await;
    running.gateways[0].kill();
    let _ = reading.await.unwrap();
    let again = caller::Call { id: support::new_id(), last_event: Some(3), ..sent.clone() };
    let stream = caller::stream(running.front(1), &again).await.unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 3));
    let engine = &running.site.engines[first];
    let is_same =
        engine.seen().iter().any(|seen| seen.request.header("x-request-id") == Some(&*again.id));
    assert!(is_same, "the engine that processed the prompt still has it cached");
}

#[tokio::test]
async fn reserved_headers_from_callers_are_removed() {
    let running = support::start(1).await;
    let mut connection = tokio::net::TcpStream::connect(running.front(0)).await.unwrap();
    let sent = plan();
    let text = String::from_utf8(sent.encode()).unwrap();
    let reserved = "X-Hold: 1\r\nX-Pin-Duration: 9\r\nX-Kv-Backup: 10.0.0.1:1\r\nKv-From: a/b\r\n\
        X-Tenant: another\r\nX-Request-Priority: 0\r\nContent-Length:";
    let text = text.replacen("Content-Length:", reserved, 1);
    tokio::io::AsyncWriteExt::write_all(&mut connection, text.as_bytes()).await.unwrap();
    working_engine(&running).await;
    let seen = running.site.engines.iter().flat_map(|engine| engine.seen()).next().unwrap();
    assert_eq!(seen.request.header("x-hold"), None);
    assert_eq!(seen.request.header("x-pin-duration"), None);
    assert_eq!(seen.request.header("kv-from"), None);
    assert_ne!(seen.request.header("x-kv-backup"), Some("10.0.0.1:1"));
    assert_eq!(seen.request.header("x-tenant"), Some("huka270"));
    assert_eq!(seen.request.header("x-request-priority"), Some("2"));
}

/// Engines that crash while the store is silent restart under ids that nobody lists. Unless they
/// are searched for, each crash leaves fewer engines.
#[tokio::test]
async fn restarted_engines_are_rediscovered_while_the_store_is_silent() {
    let running = support::start(2).await;
    caller::stream(running.front(0), &plan()).await.unwrap();
    running.site.store.fail(siskinrock_fakes::store::Fault::Silent);
    wait_for("both instances notice the silence", async || {
        running.gateways.iter().all(|gateway| gateway.logged().contains("directory lost"))
    })
    .await;
    let engines = &running.site.engines;
    for (index, engine) in engines.iter().enumerate() {
        engine.come_back(&format!("restarted-{index}"));
    }
    for gateway in [0, 1] {
        wait_for("streams are served by rediscovered engines", async || {
            let sent = plan();
            let stream = caller::stream(running.front(gateway), &sent).await;
            stream.is_ok_and(|stream| stream.is_complete && stream.text == whole_text(&sent, 0))
        })
        .await;
    }
    running.site.store.fail(siskinrock_fakes::store::Fault::None);
    wait_for("only listed engines count again", async || {
        running.gateways[0].logged().contains("rediscovered engines dropped")
    })
    .await;
}

/// Four instances watch the store, each with a longer timeout than the one before it, so that the
/// last would notice its silence only after eight seconds. Engines that crashed before any instance
/// noticed are rediscovered once the first one does.
#[tokio::test]
async fn engines_that_crashed_before_the_silence_was_noticed_are_rediscovered() {
    const MAX_REDISCOVERY_TIME: Duration = Duration::from_millis(5_500);
    let running = support::start(5).await;
    caller::stream(running.front(0), &plan()).await.unwrap();
    running.site.store.fail(siskinrock_fakes::store::Fault::Silent);
    let silent = Instant::now();
    for (index, engine) in running.site.engines.iter().enumerate() {
        engine.come_back(&format!("restarted-{index}"));
    }
    wait_for("streams are served by rediscovered engines", async || {
        let sent = plan();
        let stream = caller::stream(running.front(0), &sent).await;
        stream.is_ok_and(|stream| stream.is_complete && stream.text == whole_text(&sent, 0))
    })
    .await;
    let elapsed = silent.elapsed();
    assert!(elapsed < MAX_REDISCOVERY_TIME, "rediscovered after {elapsed:?}");
}

/// All engines crash at once, twice, and are back after more than a second each time. A caller that
/// is refused meanwhile retries once, after the time it was given, and must reach one of them.
#[tokio::test]
async fn a_refused_caller_retries_when_the_engines_are_back() {
    const DOWNTIME: Duration = Duration::from_millis(1_500);
    let mut running = support::start(1).await;
    caller::stream(running.front(0), &plan()).await.unwrap();
    let mut waits = Vec::new();
    for outage in 0..2 {
        let crashed = Instant::now();
        running.crash_all_engines(outage).await;
        let refused = caller::stream(running.front(0), &plan()).await.unwrap();
        assert_eq!(refused.head.status(), 503);
        let after = refused.head.header("retry-after").unwrap().parse().unwrap();
        let comes_back = Instant::now() + Duration::from_secs_f64(after);
        waits.push(after);
        let front = running.front(0);
        let restart = async {
            tokio::time::sleep_until((crashed + DOWNTIME).into()).await;
            running.restart_all_engines(outage);
        };
        let repeat = async {
            tokio::time::sleep_until(comes_back.into()).await;
            caller::stream(front, &plan()).await.unwrap()
        };
        let ((), stream) = tokio::join!(restart, repeat);
        assert!(stream.is_complete, "told to come back after {after} s");
    }
    assert!(
        waits[1] < 3.5,
        "the second outage is expected to last as long as the first: {waits:?}"
    );
}

/// A full engine resets connections beyond its limit. Its runs were taken for lost between two
/// events, and truncated if no retry was left.
#[tokio::test]
async fn a_stream_stays_at_an_engine_that_resets_the_state_query() {
    let running = support::start_site(Site::start(2, 300).await, 1).await;
    let sent = plan();
    let reading = running.read_stream(&sent);
    let first = working_engine(&running).await;
    running.site.engines[first].fail(Fault::Crowded);
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    assert_eq!(running.runs_of(&sent.id), 1);
    assert!(running.gateways[0].logged().contains("connections are reset"));
}

impl Running {
    /// How many times the log says that a request was sent.
    pub fn times_sent(&self, id: &str) -> usize {
        let logs = self.gateways.iter().map(|gateway| gateway.logged()).collect::<String>();
        let is_sent = |line: &&str| line.contains("\"msg\":\"sent\"") && line.contains(id);
        logs.lines().filter(is_sent).count()
    }

    /// Waits until an engine has sent a few events of its run, but not all.
    pub async fn wait_for_events(&self, engine: usize) {
        wait_for("some events are sent", async || {
            let made = self.site.engines[engine].made();
            assert!(made < EVENTS, "the run ended before it could be disturbed");
            made >= 3
        })
        .await;
    }

    /// Lists all engines at addresses where nothing listens, as after a crash, and waits until the
    /// gateway has noticed that.
    async fn crash_all_engines(&self, outage: u32) {
        for (index, engine) in self.site.engines.iter().enumerate() {
            let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
            let closed = listener.local_addr().unwrap();
            let entry = server_entry("plan-llm", self.site.engine_zone(index), "ready", closed);
            self.site.store.put(&format!("servers/crashed-{outage}-{index}"), &entry);
            self.site.store.remove(&format!("servers/{}", engine.id));
        }
        wait_for("the gateway finds no engine", async || {
            // A request that is still accepted must not delay the test.
            let probe = Call { deadline_ms: 100, ..plan() };
            let stream = caller::stream(self.front(0), &probe).await;
            stream.is_ok_and(|stream| stream.head.status() == 503)
        })
        .await;
    }

    /// Lists the engines again, as later incarnations.
    fn restart_all_engines(&mut self, outage: u32) {
        for index in 0..self.site.engines.len() {
            let engine = &mut self.site.engines[index];
            self.site.store.remove(&format!("servers/crashed-{outage}-{index}"));
            let id = format!("back-{outage}-{index}");
            engine.come_back(&id);
            engine.id = id;
            self.site.list_engine(index, "ready");
        }
    }
}
