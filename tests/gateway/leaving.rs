//! Upstreams that say in their answers that they leave, while nothing else says so.

use std::time::{Duration, Instant};

use siskinrock_fakes::engine::Seen;
use siskinrock_fakes::signals::Signals;
use siskinrock_fakes::store;

use crate::load::{self, CALL_EVERY, booking_or_look_up};
use crate::support;

/// So long after it said so, it gets nothing more.
const BOUND: Duration = Duration::from_secs(2);
/// How long callers go on after that.
const LOAD: Duration = Duration::from_secs(6);

const LEAVING: Signals = Signals { limit_per_s: None, is_leaving: true, rest_s: None };

fn late(seen: &[Seen], said_at: Instant) -> usize {
    seen.iter().filter(|seen| seen.at > said_at + BOUND).count()
}

/// The list still says that it is ready, since the directory is silent.
#[tokio::test]
async fn an_upstream_that_says_that_it_leaves_gets_nothing_new() {
    let running = support::start(9).await;
    running.site.store.fail(store::Fault::Silent);
    let said_at = Instant::now();
    let leaving = &running.site.services[0];
    leaving.signal(LEAVING);
    let got = load::play(&running, CALL_EVERY, booking_or_look_up, said_at + LOAD).await;
    assert_eq!(late(&leaving.seen(), said_at), 0, "requests that came too late");
    assert_eq!(got.iter().filter(|got| got.status != 200).count(), 0, "others take them");
}
