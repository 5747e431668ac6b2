//! A store that comes back from an older copy: what it lost stands until something newer says otherwise.

use std::time::{Duration, Instant};

use siskinrock_fakes::caller::Call;
use siskinrock_fakes::engine::Seen;
use siskinrock_fakes::process::wait_for;
use siskinrock_fakes::site::{KEY, SECOND_KEY, config};
use siskinrock_fakes::store::{self, Copy};

use yare::parameterized;

use crate::load::{CALL_INTERVAL, booking_or_look_up, run_load, send};
use crate::support::{self, Running, call};

/// How long after an accepted leaving requests may still come (`drain-ms`).
const DRAIN_BOUND: Duration = Duration::from_secs(2);
/// How long the store is away before it comes back.
const ABSENCE: Duration = Duration::from_secs(2);
/// How long after its start an instance is bound by the rules (`contact-ms`).
const CONTACT: Duration = Duration::from_secs(3);
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

/// Sends a load after a leaving was accepted, and checks that the upstream gets nothing after the bound.
async fn assert_heeded(running: &Running, announced_at: Instant) {
    let results = run_load(running, CALL_INTERVAL, booking_or_look_up, announced_at + LOAD).await;
    let seen = running.site.services[0].seen();
    assert_eq!(count_after_bound(&seen, announced_at), 0, "requests after the bound");
    assert!(results.iter().all(|result| result.status == 200), "others serve them");
}

/// Guards against DRAIN: a leaving went unseen because its revision had been given out before.
#[parameterized(one_instance = { 1 }, nine_instances = { 9 }, many_instances = { 73 })]
#[test_macro(tokio::test)]
async fn a_leaving_is_seen_although_its_revision_was_given_out_before(instances: u8) {
    let running = support::start(instances).await;
    let copy = running.site.store.copy();
    (3..9).for_each(|version| write_config(&running, version));
    tokio::time::sleep(Duration::from_secs(1)).await;
    restore(&running, &copy).await;
    write_config(&running, 8);
    tokio::time::sleep(Duration::from_secs(1)).await;
    running.site.list_service(0, "draining");
    assert_heeded(&running, Instant::now()).await;
}

/// What the store lost stands until it is written again, a second after the store is back; the entry may also have
/// been removed.
#[parameterized(leaving = { true }, removed = { false })]
#[test_macro(tokio::test)]
async fn a_leaving_before_the_loss_stands(is_listed: bool) {
    let running = support::start(9).await;
    let copy = running.site.store.copy();
    let leave = || match is_listed {
        true => running.site.list_service(0, "draining"),
        false => running.site.store.remove(&format!("servers/{}", running.site.services[0].id)),
    };
    leave();
    let announced_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(500)).await;
    restore(&running, &copy).await;
    let load = assert_heeded(&running, announced_at);
    let write_again = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        leave();
    };
    tokio::join!(load, write_again);
}

/// An entry that had only lapsed is believed again, although nobody writes it.
#[tokio::test]
async fn an_upstream_whose_entry_is_back_from_the_copy_is_used_again() {
    let running = support::start(3).await;
    let copy = running.site.store.copy();
    let service = &running.site.services[0];
    running.site.store.remove(&format!("servers/{}", service.id));
    tokio::time::sleep(Duration::from_millis(500)).await;
    restore(&running, &copy).await;
    let back = Instant::now() + Duration::from_secs(7);
    tokio::time::sleep_until(back.into()).await;
    let until = Instant::now() + Duration::from_secs(1);
    run_load(&running, CALL_INTERVAL, booking_or_look_up, until).await;
    assert!(service.seen().iter().any(|seen| seen.at > back), "no request");
}

/// An instance that stood still all the while has a watch from a revision that exists again, with other changes
/// behind it.
#[tokio::test]
async fn an_instance_that_slept_over_the_loss_heeds_a_leaving() {
    let running = support::start(1).await;
    let copy = running.site.store.copy();
    (3..6).for_each(|version| write_config(&running, version));
    tokio::time::sleep(Duration::from_secs(1)).await;
    running.gateways[0].signal(libc::SIGSTOP);
    running.site.store.restore(&copy);
    running.site.list_service(0, "draining");
    (5..12).for_each(|version| write_config(&running, version));
    running.gateways[0].signal(libc::SIGCONT);
    assert_heeded(&running, Instant::now()).await;
}

/// An upstream that registered since the copy is kept while it may register again.
#[tokio::test]
async fn an_upstream_that_the_copy_does_not_know_is_kept() {
    let running = support::start(3).await;
    let service = &running.site.services[0];
    let key = format!("servers/{}", service.id);
    running.site.store.remove(&key);
    let copy = running.site.store.copy();
    running.site.list_service(0, "ready");
    tokio::time::sleep(Duration::from_secs(1)).await;
    restore(&running, &copy).await;
    let back = Instant::now();
    let write_again = async {
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        running.site.list_service(0, "ready");
    };
    let until = back + Duration::from_secs(3);
    let load = run_load(&running, CALL_INTERVAL, booking_or_look_up, until);
    tokio::join!(load, write_again);
    for second in 0..3 {
        let span = back + Duration::from_secs(second)..back + Duration::from_secs(second + 1);
        let seen = service.seen().iter().filter(|seen| span.contains(&seen.at)).count();
        assert!(seen > 5, "{seen} requests in second {second}");
    }
}

/// An older configuration doesn't come into force, and instances that start meanwhile find others.
#[tokio::test]
async fn the_configuration_and_the_registrations_outlast_the_loss() {
    let mut running = support::start(2).await;
    let registered = |running: &Running| running.site.store.keys("siskinrock/instances/").len();
    let before = running.site.store.copy();
    running.site.store.put("op/config", &config(9, &[KEY], &[]));
    wait_for("instances are registered", async || registered(&running) >= 2).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    restore(&running, &before).await;
    let revoked = || Call { key: Some(SECOND_KEY.to_owned()), ..call("GET", "/look/seat") };
    running.add(2);
    wait_for("the third is ready", async || running.gateways[2].is_ready().await).await;
    // One that has just started may have read the older one, until its peers tell it of theirs.
    tokio::time::sleep(CONTACT).await;
    for front in (0..3).map(|index| running.front(index)) {
        assert_eq!(send(front, revoked()).await.status, 401, "the key stays revoked");
    }
    wait_for("instances are registered again", async || registered(&running) >= 2).await;
}
