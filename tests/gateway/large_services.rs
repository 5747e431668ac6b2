//! Services with thousands of upstreams, of which most instances hold only a share, with real processes.

use std::time::{Duration, Instant};

use siskinrock_fakes::caller;
use siskinrock_fakes::process::wait_for;
use siskinrock_fakes::site::{Site, server_entry};

use crate::support::{self, Running, call, plan};

/// All instances of the site.
const INSTANCES: u8 = 30;
/// The minimum number of instances that hold all upstreams.
const MIN_FULL_HOLDERS: usize = 8;
/// Fewer than this many instances hold all upstreams; the others hold a share.
const FULL_HOLDERS_LIMIT: usize = 20;
/// Listed engines that don't run, beside the running ones.
const LISTED_ENGINES: usize = 3_000;

/// A site with thousands of engines in its list. Those that don't run are listed as draining, so that no
/// requests are sent to them.
async fn site() -> Site {
    let site = Site::start(2, 15).await;
    for number in 0..LISTED_ENGINES {
        list(&site, number, "draining");
    }
    site
}

fn list(site: &Site, number: usize, state: &str) {
    let addr = ([127, 99, (number / 250) as u8, (number % 250) as u8], 1).into();
    let entry = server_entry("plan-llm", "krabi-hall", state, addr);
    site.store.put(&format!("servers/x-{number:05}"), &entry);
}

async fn gauge(running: &Running, index: usize, name: &str) -> u64 {
    let metrics = running.gateways[index].metrics().await;
    let line = metrics.lines().find(|line| line.starts_with(&format!("siskinrock_{name} ")));
    line.and_then(|line| line.split(' ').nth(1)?.parse::<f64>().ok()).unwrap_or(0.0) as u64
}

/// How often all instances together fetched the list.
fn fetches(running: &Running) -> usize {
    let logged = running.gateways.iter().map(|gateway| gateway.logged());
    logged.map(|text| text.matches("upstreams fetched from peers").count()).sum()
}

/// How many instances hold all upstreams, and the maximum number of upstreams at one of the others.
async fn held_upstreams(running: &Running) -> (usize, u64) {
    let mut counts = Vec::new();
    for index in 0..running.gateways.len() {
        counts.push(gauge(running, index, "upstreams").await);
    }
    let full_holders = counts.iter().filter(|count| **count as usize >= LISTED_ENGINES).count();
    let max_held = counts.iter().filter(|count| (**count as usize) < LISTED_ENGINES).max();
    (full_holders, max_held.copied().unwrap_or(0))
}

/// Guards against a load that grows with services times instances: otherwise each instance holds all 3,000
/// upstreams and receives each change, and each start, also a restart of the whole fleet, transfers the full
/// list to each instance.
#[tokio::test]
async fn a_few_instances_hold_all_upstreams_and_the_others_a_share() {
    let mut running = support::start_site(site().await, INSTANCES).await;
    wait_for("each instance holds its share", async || {
        let (full_holders, max_held) = held_upstreams(&running).await;
        // With so few instances, each has to hold half of the upstreams, so that each upstream is held by
        // enough instances. Instances that counted themselves among the eight before they knew all members
        // keep the full list.
        (MIN_FULL_HOLDERS..FULL_HOLDERS_LIMIT).contains(&full_holders)
            && (1_000..2_000).contains(&max_held)
    })
    .await;
    for index in 0..usize::from(INSTANCES) {
        let stream = caller::stream(running.front(index), &plan()).await.unwrap();
        assert!(stream.is_complete, "each instance holds a running engine");
    }
    running.gateways.iter_mut().for_each(siskinrock_fakes::process::Process::kill);
    let fetched_before = fetches(&running);
    let since = Instant::now();
    running.gateways.iter_mut().for_each(siskinrock_fakes::process::Process::restart);
    for index in 0..usize::from(INSTANCES) {
        wait_for("the instance is ready", async || running.gateways[index].is_ready().await).await;
    }
    let taken = since.elapsed();
    assert!(taken < Duration::from_secs(6), "ready after {taken:?}");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let fetched = fetches(&running) - fetched_before;
    // One fetch by each instance, and one more by those that come to hold all upstreams. There were 70 when
    // every instance also fetched a share twice as wide while it knew only a few members.
    assert!(
        fetched <= usize::from(INSTANCES) + 2 * MIN_FULL_HOLDERS,
        "{fetched} fetches of the list"
    );
    let answer = caller::send(running.front(29), &call("GET", "/look/a")).await.unwrap();
    assert_eq!(answer.status(), 200);
}

/// Changes reach both the instances that hold all upstreams and those that hold the changed ones in a share.
#[tokio::test]
async fn changes_reach_instances_that_hold_a_share() {
    let running = support::start_site(site().await, INSTANCES).await;
    wait_for("each instance holds its share", async || {
        held_upstreams(&running).await.0 >= MIN_FULL_HOLDERS
    })
    .await;
    for round in 0..3 {
        for number in 0..100 {
            list(&running.site, round * 1_000 + number, "ready");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let newest = running.site.store.put(
        "servers/x-00001",
        &server_entry("plan-llm", "krabi-hall", "draining", ([127, 99, 0, 1], 1).into()),
    );
    for index in 0..usize::from(INSTANCES) {
        wait_for("the instance knows the newest list", async || {
            gauge(&running, index, "list_revision").await >= newest
        })
        .await;
    }
}

/// Guards against the refusal of a stream by an instance whose share has no engine that takes work, while
/// others hold one.
#[tokio::test]
async fn an_instance_that_holds_no_usable_engine_fetches_more_before_it_refuses() {
    let running = support::start_site(site().await, INSTANCES).await;
    wait_for("each instance holds its share", async || {
        held_upstreams(&running).await.0 >= MIN_FULL_HOLDERS
    })
    .await;
    for index in 1..running.site.engines.len() {
        running.site.list_engine(index, "draining");
    }
    let newest = running.site.store.put(
        "servers/x-00001",
        &server_entry("plan-llm", "krabi-hall", "draining", ([127, 99, 0, 1], 1).into()),
    );
    for index in 0..usize::from(INSTANCES) {
        wait_for("the instance knows the newest list", async || {
            gauge(&running, index, "list_revision").await >= newest
        })
        .await;
    }
    for index in 0..usize::from(INSTANCES) {
        let stream = caller::stream(running.front(index), &plan()).await.unwrap();
        assert!(stream.is_complete, "the engine that is left serves all instances");
    }
}
