//! The fake engine's own promises, on which the checks of tests and of the soak rest.

use std::time::Duration;

use siskinrock_fakes::caller::{self, Call};
use siskinrock_fakes::engine::EngineFake;
use siskinrock_fakes::process::wait_for;
use siskinrock_fakes::site;

/// The time between two events: a run notices within one that its caller has left.
const STEP_MS: u64 = 10;

fn call(method: &'static str, path: &str, id: &str) -> Call {
    Call {
        method,
        path: path.to_owned(),
        host: site::HOST.to_owned(),
        id: id.to_owned(),
        key: None,
        deadline_ms: 5_000,
        last_event: None,
        resumes: None,
        shared_parts: Vec::new(),
        part: Some("bb".to_owned()),
        body: Vec::new(),
    }
}

/// Waits until a run whose caller has left has noticed it.
async fn wait_for_a_step() {
    tokio::time::sleep(Duration::from_millis(20 * STEP_MS)).await;
}

/// A soak died with nothing on its standard output: an engine had crashed and come back while runs
/// of the incarnation before were still ending.
///
/// The order of events: a run was counted, the incarnation after it began to count at 0, the run's
/// caller left, and the end of the run took one off 0. That panics with the engine's lock held, so
/// every later look at the engine panicked too.
#[tokio::test]
async fn a_run_of_an_earlier_incarnation_ends_without_harm() {
    let engine = EngineFake::start("i-1", STEP_MS).await;
    let sent = call("POST", "/plan/a", "old");
    let run = caller::open(engine.addr, &sent).await.expect("the engine listens");
    wait_for("the run has begun", async || engine.working() == 1).await;
    engine.come_back("i-2");
    drop(run);
    wait_for_a_step().await;
    let question = call("GET", "/healthz", "question");
    let asked = caller::send(engine.addr, &question);
    let answer = tokio::time::timeout(Duration::from_secs(1), asked).await;
    let answer = answer.expect("the engine answers soon").expect("the engine answers");
    assert_eq!(answer.header("x-instance-id"), Some("i-2"));
    assert_eq!(engine.working(), 0);
}

/// The same end took one off what the later incarnation works on.
#[tokio::test]
async fn only_runs_of_the_present_incarnation_count() {
    let engine = EngineFake::start("i-1", STEP_MS).await;
    let sent = call("POST", "/plan/a", "old");
    let old = caller::open(engine.addr, &sent).await.expect("the engine listens");
    wait_for("the run has begun", async || engine.working() == 1).await;
    engine.come_back("i-2");
    assert_eq!(engine.working(), 0);
    let sent = call("POST", "/plan/a", "new");
    let _new = caller::open(engine.addr, &sent).await.expect("the engine listens");
    wait_for("another run has begun", async || engine.working() == 1).await;
    drop(old);
    wait_for_a_step().await;
    assert_eq!(engine.working(), 1);
}
