//! Planned stops, to the last moment of the process.

use std::net::SocketAddr;
use std::time::Duration;

use siskinrock_fakes::caller::{self, Call};
use siskinrock_fakes::process::wait_for;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::support::{self, call};

/// How long callers may keep an address that they were told: the stop ends after that at the earliest.
const KEEP: Duration = Duration::from_millis(2_000);

/// What a caller heard.
#[derive(Debug, PartialEq, Eq)]
enum Heard {
    Answer(u16),
    Nothing,
}

/// Sends a call on a connection of its own, if one comes about.
async fn send(front: SocketAddr, sent: &Call) -> Heard {
    match caller::send(front, sent).await {
        Ok(answer) => Heard::Answer(answer.status()),
        Err(_) => Heard::Nothing,
    }
}

/// Callers saw a connection closed without an answer although their call had run to a good end,
/// 28 ms after the instance had logged that all requests of a planned stop had ended.
///
/// The order of events: the stop looked at the count of open requests, found none, told the
/// connections to close, and ended the thread after a fixed 25 ms. A call on a new connection that
/// came in between was accepted, read, sent to its service, and dropped with the thread.
///
/// Evidence: the instance's `requests ended` at 3.643 s, the service's run from 3.655 to 3.670 s,
/// the connection's end at 3.671 s; in runs of this test `traffic ended` with `cut` 1, 25 ms after
/// `requests ended` with `cut` 0, and the call `unanswered` as the first of its connection.
///
/// Here six calls of 25 ms begin every 40 ms: a look that finds none open is followed by calls that
/// begin within 15 ms and can't end in what is left of the 25. (A new connection was read or closed
/// unread by chance, which six at a time make certain enough.)
#[tokio::test]
async fn a_call_that_comes_as_the_stop_ends_is_answered() {
    const BEATS: u32 = 40;
    const CALLS: u32 = 6;
    const EVERY: Duration = Duration::from_millis(40);
    let mut running = support::start(1).await;
    running.site.services.iter().for_each(|service| service.work_for(25));
    let front = running.front(0);
    let start = Instant::now() + KEEP - Duration::from_millis(200);
    running.gateways[0].signal(libc::SIGTERM);
    let mut calls = JoinSet::new();
    for number in 0..BEATS * CALLS {
        calls.spawn(async move {
            tokio::time::sleep_until(start + number / CALLS * EVERY).await;
            let sent = call("POST", "/book/a");
            let heard = send(front, &sent).await;
            (sent.id, heard)
        });
    }
    let heard = calls.join_all().await;
    wait_for("the process has ended", async || running.gateways[0].has_ended()).await;
    let log = running.gateways[0].logged();
    let ran = |id: &str| running.runs_of(id) > 0;
    let lost = heard.iter().filter(|(id, heard)| *heard == Heard::Nothing && ran(id)).count();
    assert!(heard.iter().any(|(_, heard)| *heard == Heard::Answer(200)), "some were served");
    assert_eq!(lost, 0, "calls ran and were not answered; the log:\n{log}");
}
