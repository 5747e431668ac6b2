//! The exchange of traffic data between instances, without a network or a clock.

use std::collections::BTreeMap;
use std::sync::Arc;

use siskinrock::gateway::loads::{
    CacheLocations, Digest, LoadUpdate, LocalTraffic, PeerLoads, ReportedTraffic, SentRequests,
    UpstreamLoad,
};
use yare::parameterized;

const WINDOW_MS: u64 = 10_000;

fn load(upstream: &str, runs: u32) -> UpstreamLoad {
    let reserved_tokens = u64::from(runs) * 6_000;
    UpstreamLoad { runs, reserved_tokens, ..UpstreamLoad::empty(upstream.into()) }
}

fn update(id: &str, incarnation: u64, sequence: u64) -> LoadUpdate {
    LoadUpdate {
        id: id.into(),
        incarnation,
        sequence,
        is_complete: false,
        loads: Vec::new(),
        sent: None,
        sent_by_others: None,
        cache_locations: Vec::new(),
        observations: Vec::new(),
        queues: Vec::new(),
    }
}

fn repeats(count: u64) -> Vec<SentRequests> {
    vec![SentRequests { service: "plan".into(), requests: 10, repeats: count }]
}

fn runs(loads: &PeerLoads) -> BTreeMap<Arc<str>, u32> {
    loads.by_upstream().iter().map(|(id, load)| (Arc::clone(id), load.runs)).collect()
}

fn runs_at(loads: &PeerLoads, upstream: &str) -> u32 {
    runs(loads).get(upstream).copied().unwrap_or(0)
}

#[test]
fn an_update_changes_only_the_upstreams_it_lists() {
    let mut loads = PeerLoads::new("hall".into(), WINDOW_MS);
    assert!(loads.apply_update(LoadUpdate { loads: vec![load("e1", 2)], ..update("a", 1, 5) }, 0));
    assert!(loads.apply_update(LoadUpdate { loads: vec![load("e1", 1)], ..update("b", 1, 1) }, 0));
    assert_eq!(runs_at(&loads, "e1"), 3);
    assert!(
        !loads.apply_update(LoadUpdate { loads: vec![load("e1", 9)], ..update("a", 1, 5) }, 10),
        "outdated"
    );
    assert!(loads.apply_update(LoadUpdate { loads: vec![load("e2", 1)], ..update("a", 1, 6) }, 20));
    assert_eq!((runs_at(&loads, "e1"), runs_at(&loads, "e2")), (3, 1));
    let whole = LoadUpdate { is_complete: true, loads: vec![load("e2", 4)], ..update("a", 1, 7) };
    assert!(loads.apply_update(whole, 30));
    assert_eq!((runs_at(&loads, "e1"), runs_at(&loads, "e2")), (1, 4));
    loads.remove("a", 40);
    loads.remove("a", 50);
    assert_eq!((runs_at(&loads, "e1"), runs_at(&loads, "e2")), (1, 0));
    assert_eq!(loads.by_upstream()["e1"].reserved_tokens, 6_000);
}

/// A new incarnation has none of the load of the previous one, whose sent requests still count.
#[test]
fn what_was_sent_by_an_instance_that_ended_counts_for_the_window() {
    let mut loads = PeerLoads::new("hall".into(), WINDOW_MS);
    let sum =
        |loads: &PeerLoads, now_ms| loads.sent(now_ms).get("plan").map_or(0, |sent| sent.repeats);
    let first =
        LoadUpdate { sent: Some(repeats(4)), loads: vec![load("e1", 2)], ..update("a", 1, 9) };
    loads.apply_update(first, 0);
    loads.apply_update(LoadUpdate { sent: Some(repeats(5)), ..update("a", 1, 10) }, 500);
    assert_eq!(sum(&loads, 500), 5);
    loads.apply_update(LoadUpdate { sent: Some(repeats(1)), ..update("a", 2, 1) }, 2_000);
    assert_eq!(sum(&loads, 2_000), 6, "restarted");
    assert_eq!(runs_at(&loads, "e1"), 0);
    assert_eq!(sum(&loads, 10_600), 1, "outside the window");
    loads.remove("a", 10_700);
    assert_eq!(sum(&loads, 11_000), 1, "ended");
    assert_eq!(sum(&loads, 12_100), 0);
}

/// Guards against repeats beyond the retry budget by an instance that has just started, and does not know
/// what ended instances had sent. Peers pass on what they were told, and it counts once.
#[test]
fn a_starting_instance_receives_what_ended_ones_had_sent() {
    let mut old = PeerLoads::new("hall".into(), WINDOW_MS);
    old.apply_update(LoadUpdate { sent: Some(repeats(7)), ..update("gone", 1, 1) }, 0);
    old.remove("gone", 50);
    let mut new = PeerLoads::new("hall".into(), WINDOW_MS);
    let reported =
        LoadUpdate { sent_by_others: Some(old.sent_by_others(100)), ..update("a", 1, 1) };
    new.apply_update(reported.clone(), 100);
    new.apply_update(LoadUpdate { sequence: 2, ..reported }, 450);
    let sum =
        |loads: &PeerLoads, now_ms| loads.sent(now_ms).get("plan").map_or(0, |sent| sent.repeats);
    assert_eq!(sum(&new, 500), 7, "reported twice, it counts once");
    let mut newest = PeerLoads::new("hall".into(), WINDOW_MS);
    let passed_on = |sequence, now_ms| LoadUpdate {
        sent_by_others: Some(new.sent_by_others(now_ms)),
        ..update("b", 1, sequence)
    };
    newest.apply_update(passed_on(1, 500), 500);
    newest.apply_update(
        LoadUpdate { sent_by_others: Some(old.sent_by_others(600)), ..update("a", 1, 3) },
        600,
    );
    assert_eq!(sum(&newest, 700), 7, "known by two ways, it counts once");
    assert_eq!((sum(&new, 10_500), sum(&newest, 10_500)), (0, 0));
}

/// Guards against a report that arrives late by another way and replaces a newer one.
#[test]
fn a_newer_report_of_an_instance_stays() {
    let mut here = PeerLoads::new("hall".into(), WINDOW_MS);
    here.apply_update(LoadUpdate { sent: Some(repeats(3)), ..update("a", 1, 4) }, 0);
    let late = here.sent_by_others(10);
    here.apply_update(LoadUpdate { sent: Some(repeats(9)), ..update("a", 1, 5) }, 20);
    here.apply_update(LoadUpdate { sent_by_others: Some(late), ..update("b", 1, 1) }, 300);
    assert_eq!(here.sent(300)["plan"].repeats, 9);
}

/// Guards against a failure domain whose sum is forgotten: the digest of an instance that has just started
/// lacks what it hasn't been told yet.
#[parameterized(newcomer = { 200, 40 }, told_by_a_peer = { 400, 60 }, after_a_window = { 10_000, 4 })]
fn a_digest_of_an_instance_that_has_just_started_takes_nothing_away(now_ms: u64, expected: u64) {
    let mut random = fastrand::Rng::with_seed(3);
    let mut other = PeerLoads::new("pier".into(), WINDOW_MS);
    let mut old = PeerLoads::new("hall".into(), WINDOW_MS);
    old.apply_update(LoadUpdate { sent: Some(repeats(40)), ..update("a", 1, 1) }, 20_000);
    let own = LocalTraffic::default();
    other.apply_digest(old.digest(&own, 20_100, &mut random), 100);
    let mut new = PeerLoads::new("hall".into(), WINDOW_MS);
    let own = LocalTraffic { sent: repeats(4), ..LocalTraffic::default() };
    if now_ms == 400 {
        old.apply_update(LoadUpdate { sent: Some(repeats(16)), ..update("b", 1, 1) }, 20_200);
        let report = Some(old.sent_by_others(20_250));
        new.apply_update(LoadUpdate { sent_by_others: report, ..update("a", 1, 2) }, now_ms);
    }
    other.apply_digest(new.digest(&own, now_ms, &mut random), now_ms);
    assert_eq!(other.sent(now_ms)["plan"].repeats, expected);
}

/// Digests arrive in another failure domain at random times, and some are lost. It must still end up
/// with the whole load, from messages whose length does not grow with the fleet.
#[test]
fn digests_bring_the_whole_load_of_another_failure_domain() {
    let mut random = fastrand::Rng::with_seed(3);
    let mut here = PeerLoads::new("hall".into(), WINDOW_MS);
    let mut there = PeerLoads::new("pier".into(), WINDOW_MS);
    let mut own = LocalTraffic::default();
    for number in 0..400_u64 {
        let now_ms = number * 40;
        let engine = format!("e{}", random.u32(..120));
        let id = format!("i{}", random.u32(..20));
        let loads = vec![load(&engine, random.u32(..3))];
        here.apply_update(LoadUpdate { loads, ..update(&id, 1, number + 1) }, now_ms);
        own.loads = vec![UpstreamLoad { runs: 1, ..UpstreamLoad::empty("e7".into()) }];
        here.set_own_loads(&own, now_ms);
        if random.u32(..4) == 0 {
            let digest = here.digest(&own, now_ms, &mut random);
            assert!(digest.loads.len() <= 40, "{} entries", digest.loads.len());
            if random.u32(..10) > 0 {
                there.apply_digest(digest, now_ms);
            }
        }
        there.remove_expired(now_ms);
    }
    let end_ms = 400 * 40;
    for step in 0..40 {
        let digest = here.digest(&own, end_ms + step, &mut random);
        there.apply_digest(digest, end_ms + step);
    }
    let mut expected = runs(&here);
    *expected.entry("e7".into()).or_insert(0) += 1;
    assert_eq!(runs(&there), expected);
    assert!(there.remove_expired(end_ms + 60_000), "load that is no longer repeated expires");
    assert!(there.by_upstream().is_empty());
}

#[test]
fn the_digest_of_its_own_failure_domain_changes_nothing() {
    let mut loads = PeerLoads::new("hall".into(), WINDOW_MS);
    let digest = Digest {
        domain: "hall".into(),
        loads: vec![load("e1", 3)],
        sent: repeats(3),
        is_sent_complete: true,
        cache_locations: Vec::new(),
        observations: Vec::new(),
        queues: Vec::new(),
        must_forward: true,
    };
    assert!(!loads.apply_digest(digest, 0));
    assert!(loads.by_upstream().is_empty() && loads.sent(0).is_empty());
}

#[test]
fn only_changes_are_reported_and_so_are_emptied_upstreams() {
    let mut reported = ReportedTraffic::default();
    let own = LocalTraffic {
        loads: vec![load("e1", 1)],
        lost: vec!["e9".into()],
        ..LocalTraffic::default()
    };
    let change = reported.take_changes(own.clone()).expect("nothing was reported before");
    assert_eq!((change.loads, change.lost), (own.loads.clone(), own.lost.clone()));
    assert!(reported.take_changes(own).is_none());
    let now =
        LocalTraffic { loads: vec![load("e2", 1)], sent: repeats(1), ..LocalTraffic::default() };
    let change = reported.take_changes(now.clone()).expect("both changed");
    assert_eq!(change.loads, [load("e2", 1), UpstreamLoad::empty("e1".into())]);
    assert_eq!(change.sent, Some(repeats(1)));
    let more = LocalTraffic { sent: repeats(2), ..now };
    assert!(
        reported.take_changes(more).is_none(),
        "a change of the sent requests alone waits for the next complete update"
    );
}

#[test]
fn cache_locations_are_kept_for_ten_seconds() {
    let mut locations = CacheLocations::default();
    locations.add(1, "e1".into(), 0);
    locations.add(1, "e2".into(), 4_000);
    locations.add(2, "e1".into(), 4_100);
    let shared = locations.clone();
    let of = |locations: &CacheLocations, prefix| {
        locations.engines_of(prefix).map(ToString::to_string).collect::<Vec<_>>()
    };
    assert_eq!(of(&locations, 1), ["e1", "e2"], "the most recent one last");
    locations.remove_expired(10_500);
    assert_eq!(of(&locations, 1), ["e2"]);
    assert_eq!(of(&shared, 1), ["e1", "e2"], "a clone that was published does not change");
    locations.remove_expired(20_000);
    assert!(of(&locations, 2).is_empty());
}
