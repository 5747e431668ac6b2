//! Instances that are killed, stopped or restarted.

use siskinrock_fakes::caller;
use siskinrock_fakes::http::Connection;
use siskinrock_fakes::process::wait_for;
use tokio::net::TcpStream;

use crate::support::{self, Running, call, plan, whole_text, working_engine};

#[tokio::test]
async fn a_killed_instance_is_removed_from_the_addresses_and_returns() {
    let mut running = support::start(3).await;
    running.gateways[1].kill();
    let gone = running.front(1);
    wait_for("its address is no longer announced", async || {
        !running.gateways[0].addresses("-").await.contains(&gone)
    })
    .await;
    running.gateways[1].restart();
    running.wait_until_ready().await;
}

/// A planned stop completes every request that was read, tells kept connections to close, and ends
/// the process.
#[tokio::test]
async fn a_planned_stop_truncates_no_response() {
    let mut running = support::start(2).await;
    let front = running.front(0);
    let sent = plan();
    let reading = running.read_stream(&sent);
    wait_for("an engine works on it", async || {
        running.site.engines.iter().any(|engine| engine.working() > 0)
    })
    .await;
    let mut kept = Connection::new(TcpStream::connect(front).await.unwrap());
    running.gateways[0].signal(libc::SIGTERM);
    wait_for("peers no longer announce its address", async || {
        !running.gateways[1].addresses("-").await.contains(&front)
    })
    .await;
    kept.write(&call("POST", "/book/a").encode()).await.unwrap();
    let answer = kept.read_answer().await.unwrap();
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.header("connection"), Some("close"));
    let stream = reading.await.unwrap().unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 0));
    wait_for("the process has ended", async || running.gateways[0].has_ended()).await;
    assert!(running.gateways[0].logged().contains("\"cut\":0"));
}

#[tokio::test]
async fn a_reload_signal_truncates_no_response() {
    let running = support::start(1).await;
    let sent = plan();
    let reading = running.read_stream(&sent);
    wait_for("an engine works on it", async || {
        running.site.engines.iter().any(|engine| engine.working() > 0)
    })
    .await;
    running.gateways[0].signal(libc::SIGHUP);
    assert!(reading.await.unwrap().unwrap().is_complete);
    assert!(running.gateways[0].logged().contains("settings read again"));
}

/// Starts a stream and kills all instances while it runs; returns the request and its engine.
async fn kill_all_mid_stream(running: &mut Running) -> (caller::Call, usize) {
    let sent = plan();
    let reading = running.read_stream(&sent);
    let first = working_engine(running).await;
    running.wait_for_events(first).await;
    running.gateways.iter_mut().for_each(siskinrock_fakes::process::Process::kill);
    let _ = reading.await.unwrap();
    running.gateways.iter_mut().for_each(siskinrock_fakes::process::Process::restart);
    running.wait_until_ready().await;
    (sent, first)
}

/// An instance took cache locations of new prompts, which a peer had reported, as a sign that no
/// cache location was lost, so the prompts of callers that reconnected were processed again: 210
/// streams at once on 75 instances.
#[tokio::test]
async fn locations_of_new_prompts_do_not_prevent_a_cache_lookup() {
    let mut resumed_there = Vec::new();
    for _ in 0..3 {
        let mut running = support::start(2).await;
        let (sent, first) = kill_all_mid_stream(&mut running).await;
        assert!(caller::stream(running.front(0), &plan()).await.unwrap().is_complete);
        let again = caller::Call { id: support::new_id(), last_event: Some(3), ..sent.clone() };
        let stream = caller::stream(running.front(1), &again).await.unwrap();
        assert_eq!(stream.text, whole_text(&sent, 3));
        let seen = running.site.engines[first].seen();
        resumed_there
            .push(seen.iter().any(|seen| seen.request.header("x-request-id") == Some(&*again.id)));
    }
    assert_eq!(resumed_there, [true; 3]);
}

/// After the loss of all instances nobody knows the cache location of a prompt, so engines are
/// queried.
#[tokio::test]
async fn a_caller_resumes_at_the_engine_with_its_prompt_after_the_loss_of_all() {
    let mut running = support::start(2).await;
    let (sent, first) = kill_all_mid_stream(&mut running).await;
    let engines = running.site.engines.clone();
    let again = caller::Call { id: support::new_id(), last_event: Some(3), ..sent.clone() };
    let stream = caller::stream(running.front(1), &again).await.unwrap();
    assert!(stream.is_complete);
    assert_eq!(stream.text, whole_text(&sent, 3));
    let is_same = |seen: &siskinrock_fakes::engine::Seen| {
        seen.request.header("x-request-id") == Some(&*again.id)
    };
    assert!(engines[first].seen().iter().any(is_same));
}
