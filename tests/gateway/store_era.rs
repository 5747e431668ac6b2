//! A store that comes back from an older copy: what it lost stands until something newer says otherwise.

use std::time::{Duration, Instant};

use siskinrock_fakes::engine::Seen;
use siskinrock_fakes::process::wait_for;
use siskinrock_fakes::site::{KEY, SECOND_KEY, config};
use siskinrock_fakes::store::{self, Copy};

use crate::load::{CALL_INTERVAL, booking_or_look_up, run_load};
use crate::support::{self, Running};

/// How long after an accepted leaving requests may still come (`drain-ms`).
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// How long the store is away before it comes back.
const ABSENCE: Duration = Duration::from_secs(2);
/// How long the load lasts after the leaving.
const LOAD: Duration = Duration::from_secs(5);

fn count_after_bound(seen: &[Seen], announced_at: Instant) -> usize {
    seen.iter().filter(|seen| seen.at > announced_at + DRAIN_BOUND).count()
}

/// The store is away for a while and comes back from a copy.
async fn restore(running: &Running, copy: &Copy) {
    running.site.store.fail(store::Fault::Reset);
    tokio::time::sleep(ABSENCE).await;
    running.site.store.restore(copy);
    running.site.store.fail(store::Fault::None);
}

/// What the operator wrote since is written again.
fn write_config(running: &Running, version: u64) {
    running.site.store.put("op/config", &config(version, &[KEY, SECOND_KEY], &[]));
}

/// Guards against DRAIN: a leaving that was written at a revision that had been given out before the store came
/// back from a copy was not seen.
#[tokio::test]
async fn a_leaving_after_the_loss_is_heeded() {
    let running = support::start(9).await;
    let copy = running.site.store.copy();
    (3..9).for_each(|version| write_config(&running, version));
    tokio::time::sleep(Duration::from_secs(1)).await;
    restore(&running, &copy).await;
    write_config(&running, 8);
    tokio::time::sleep(Duration::from_secs(1)).await;
    running.site.list_service(0, "draining");
    let announced_at = Instant::now();
    let results = run_load(&running, CALL_INTERVAL, booking_or_look_up, announced_at + LOAD).await;
    let seen = running.site.services[0].seen();
    assert_eq!(count_after_bound(&seen, announced_at), 0, "requests after the bound");
    assert!(results.iter().all(|result| result.status == 200), "others serve them");
}
