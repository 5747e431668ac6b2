//! Decisions of the gateway as pure functions: routes, the list of upstreams, placement, repeats,
//! events.

use std::sync::Arc;

use siskinrock::gateway::events::EventSplitter;
use siskinrock::gateway::fleet::{Change, Fleet, SoftwareVersion, Upstream};
use siskinrock::gateway::policy::budget::{Bound, Budget};
use siskinrock::gateway::policy::engine::Load;
use siskinrock::gateway::policy::losses::{Loss, Losses, QueriedUpstream};
use siskinrock::gateway::policy::outages::Outages;
use siskinrock::gateway::policy::outliers::Status;
use siskinrock::gateway::policy::placement::{Candidate, Constraints, choose};
use siskinrock::gateway::policy::rediscovered::Rediscovered;
use siskinrock::gateway::policy::spread;
use siskinrock::platform::document;
use yare::parameterized;

fn upstream(id: &str, is_leaving: bool) -> Upstream {
    Upstream {
        id: id.into(),
        service: "plan".into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        domain: "hall".into(),
        is_leaving,
        born_ms: None,
        listed_at: 0,
        stated_at: 0,
        is_spot: false,
        version: SoftwareVersion::Unversioned,
    }
}

fn ids(fleet: &Fleet) -> Vec<&str> {
    fleet.upstreams.keys().map(|id| &**id).collect()
}

#[parameterized(
    longest = { "h", "/a/b/c", Some("deep") },
    shorter = { "h:80", "/a/x", Some("shallow") },
    case = { "H", "/a/x", Some("shallow") },
    no_slash = { "h", "/a", None },
    other_host = { "g", "/a/x", None },
)]
fn the_longest_prefix_of_the_host_wins(host: &str, path: &str, expected: Option<&str>) {
    let route = |name: &str, prefix: &str| {
        serde_json::json!({"name": name, "hostname": "h", "path-prefix": prefix,
            "kind": "idempotent", "backend": "s"})
    };
    let document = serde_json::json!({"version": 1,
        "routes": [route("shallow", "/a/"), route("deep", "/a/b/")], "backends": [],
        "limits": {"max-header-bytes": 1, "max-body-bytes": 1, "header-timeout-ms": 1,
            "idle-timeout-ms": 1}});
    let config = document::decode_config(document.to_string().as_bytes()).unwrap();
    assert_eq!(config.route(host, path).map(|route| &*route.name), expected);
}

#[test]
fn an_older_list_changes_nothing() {
    let mut fleet = Fleet::default();
    fleet.replace(5, vec![upstream("a", false)], &[], 0);
    assert!(!fleet.replace(4, vec![], &[], 1));
    fleet.apply(3, vec![Change::Gone("a".into())], 2);
    assert_eq!(ids(&fleet), ["a"]);
}

#[test]
fn entries_that_lapsed_in_an_outage_are_kept_for_a_while() {
    let mut fleet = Fleet::default();
    fleet.replace(5, vec![upstream("a", false), upstream("b", false)], &[], 0);
    fleet.regained(10_000);
    fleet.apply(6, vec![Change::Gone("a".into()), Change::Gone("b".into())], 10_100);
    assert_eq!(ids(&fleet), ["a", "b"]);
    fleet.apply(7, vec![Change::Put(upstream("b", false))], 11_000);
    assert!(fleet.expire(12_000));
    assert_eq!(ids(&fleet), ["b"]);
}

#[test]
fn an_empty_list_after_an_outage_removes_nothing_at_once() {
    let mut fleet = Fleet::default();
    fleet.replace(5, vec![upstream("a", false), upstream("gone", true)], &[], 0);
    fleet.regained(1_000);
    fleet.replace(6, vec![], &[], 1_000);
    assert_eq!(ids(&fleet), ["a"], "a leaving upstream is not kept");
    fleet.replace(7, vec![], &[], 2_000);
    assert_eq!(ids(&fleet), ["a"], "a second list doesn't shorten the time");
    fleet.expire(2_900);
    assert!(fleet.upstreams.is_empty());
}

#[test]
fn outside_an_outage_a_removed_entry_is_gone_at_once() {
    let mut fleet = Fleet::default();
    fleet.replace(5, vec![upstream("a", false)], &[], 0);
    fleet.apply(6, vec![Change::Gone("a".into())], 100);
    assert!(fleet.upstreams.is_empty());
}

fn candidate(id: &str, domain: &str, runs: f64) -> Candidate {
    Candidate {
        id: id.into(),
        domain: domain.into(),
        load: Load { runs, ..Load::default() },
        failure_rate: 0.0,
        is_suspect: false,
        status: Status::default(),
    }
}

#[test]
fn instances_with_the_same_stale_loads_choose_different_engines() {
    let candidates: Vec<Candidate> =
        (0..16).map(|index| candidate(&format!("e{index}"), "hall", 0.0)).collect();
    let mut taken = [0; 16];
    for seed in 0..9 {
        let mut random = fastrand::Rng::with_seed(seed);
        taken[choose(&candidates, &Constraints::default(), 0.0, &mut random).unwrap()] += 1;
    }
    assert!(taken.iter().all(|count| *count <= 3), "{taken:?}");
}

/// Two engines have just returned empty, and ten prompts arrive before any instance receives
/// another's report. No prompt may wait behind more than a few others while engines with little
/// more load read nothing.
#[test]
fn unseen_placements_spread_a_choice() {
    let candidates: Vec<Candidate> = (0..24)
        .map(|index| candidate(&format!("e{index}"), "hall", if index < 2 { 0.0 } else { 1.5 }))
        .collect();
    // The maximum number of prompts at one engine, for each of forty rounds.
    let max_at_one_engine = |unseen| -> Vec<u32> {
        let round = |round: u64| {
            let mut taken = [0; 24];
            for instance in 0..10 {
                let mut random = fastrand::Rng::with_seed(round * 10 + instance);
                taken
                    [choose(&candidates, &Constraints::default(), unseen, &mut random).unwrap()] +=
                    1;
            }
            taken.into_iter().max().unwrap()
        };
        (0..40).map(round).collect()
    };
    let with_others = max_at_one_engine(9.0);
    assert!(with_others.iter().sum::<u32>() < 40 * 4, "{with_others:?}");
    let alone = max_at_one_engine(0.0);
    assert!(alone.iter().all(|most| *most >= 3), "without unseen requests loads decide: {alone:?}");
}

#[parameterized(
    alone = { &[0.0, 1.0, 2.0], 0.0 },
    no_candidate = { &[], 9.0 },
    one = { &[3.0], 9.0 },
    invalid_numbers = { &[0.0, f64::INFINITY], 1e300 },
)]
fn a_spread_has_bounds(costs: &[f64], unseen: f64) {
    let spread = spread::spread(costs, unseen);
    assert!((0.4..=4.0).contains(&spread), "{spread}");
}

#[test]
fn suspects_and_lost_domains_are_a_last_resort() {
    let mut random = fastrand::Rng::with_seed(1);
    let mut candidates = vec![candidate("near", "a", 0.0), candidate("far", "b", 20.0)];
    let constraints = Constraints { avoided_domains: vec!["a".into()], ..Constraints::default() };
    for _ in 0..50 {
        assert_eq!(choose(&candidates, &constraints, 0.0, &mut random), Some(1));
    }
    candidates[1].is_suspect = true;
    assert_eq!(choose(&candidates, &constraints, 0.0, &mut random), Some(0));
    let everything_excluded =
        Constraints { excluded: vec!["near".into(), "far".into()], ..Constraints::default() };
    assert_eq!(choose(&candidates, &everything_excluded, 0.0, &mut random), None);
}

/// Guards against repeats that are forgotten too early. Upstreams count repeats in any interval of
/// ten seconds; when whole steps were dropped at once, a tenth of the repeats was forgotten up to a
/// second too early, and 663 were sent where 628 were allowed.
#[test]
fn repeats_count_until_the_whole_window_has_passed() {
    let bound = Bound {
        ratio: 0.0,
        slack: 100.0,
        window_ms: 10_000,
        instances: 1,
        others_requests: 0,
        others_repeats: 0,
    };
    let mut budget = Budget::default();
    let sent = (0..1_000).filter(|_| budget.try_repeat(bound, 900)).count();
    assert!(sent > 50, "{sent}");
    assert!(!budget.try_repeat(bound, 10_800), "9.9 s later");
    assert!(budget.try_repeat(bound, 12_000));
    budget.count_request(bound, 30_900);
    assert_eq!(budget.counts(), (1, 0), "repeats outside the window don't count");
}

/// Guards against an instance that receives no more requests and reports those of its last busy window for
/// ever, by which the others allow too many repeats.
#[test]
fn what_an_idle_instance_counted_leaves_the_window() {
    let bound = Bound {
        ratio: 0.8,
        slack: 150.0,
        window_ms: 10_000,
        instances: 1,
        others_requests: 0,
        others_repeats: 0,
    };
    let mut budget = Budget::default();
    (0..5).for_each(|second| budget.count_request(bound, second * 1_000));
    assert!(budget.try_repeat(bound, 4_000));
    let counts =
        [4_500, 10_500, 12_500, 14_900, 16_000].map(|now_ms| budget.counts_at(10_000, now_ms));
    assert_eq!(counts, [(5, 1), (4, 1), (2, 1), (0, 1), (0, 0)]);
}

#[test]
fn repeats_stay_within_the_budget_of_all_instances() {
    let mut bound = Bound {
        ratio: 0.8,
        slack: 150.0,
        window_ms: 10_000,
        instances: 9,
        others_requests: 0,
        others_repeats: 0,
    };
    let mut budget = Budget::default();
    let allowed = (0..1_000).filter(|_| budget.try_repeat(bound, 0)).count();
    assert!(allowed * 3 <= 150, "three of nine instances at once exceed the budget: {allowed}");
    bound.others_repeats = 130;
    assert!(!Budget::default().try_repeat(bound, 0), "the others have used the budget");
    bound.others_requests = 1_000;
    assert!(Budget::default().try_repeat(bound, 0));
    let many = allowed;
    let later = (0..1_000).filter(|_| budget.try_repeat(bound, 11_000)).count();
    assert!(later >= many, "the window has passed");
}

/// A copy in the failure domain of its run is lost together with it. A domain that lost engines a
/// moment ago is therefore preferred to that one; only engines that are probably lost are worse.
#[parameterized(
    prefers_another_domain = { &["own", "lost", "clean"], "clean" },
    prefers_a_lost_domain_to_its_own = { &["own", "lost"], "lost" },
    prefers_its_own_domain_to_a_lost_engine = { &["own", "gone"], "own" },
    only_one = { &["gone"], "gone" },
)]
fn a_copy_avoids_the_failure_domain_of_its_run(names: &[&str], expected: &str) {
    let mut candidates: Vec<Candidate> =
        names.iter().map(|name| candidate(name, name, 0.0)).collect();
    candidates.iter_mut().for_each(|known| known.is_suspect = &*known.id == "gone");
    let constraints = Constraints {
        avoided_domains: vec!["lost".into()],
        apart_from: Some("own".into()),
        ..Constraints::default()
    };
    let chosen = choose(&candidates, &constraints, 0.0, &mut fastrand::Rng::new());
    assert_eq!(&*candidates[chosen.unwrap()].id, expected);
}

fn loss(at_ms: u64, is_own: bool) -> Loss {
    Loss { service: "plan".into(), domain: "hall".into(), at_ms, is_own }
}

fn queried(id: &str, alive_ms: u64) -> QueriedUpstream<'_> {
    QueriedUpstream { id, service: "plan", domain: "hall", alive_ms }
}

#[test]
fn correlated_losses_make_the_domain_suspected_for_a_moment() {
    let mut losses = Losses::default();
    losses.note(&"a".into(), loss(1_000, true));
    losses.note_reported(&"b".into(), loss(1_010, false));
    assert!(!losses.has_correlated_losses(queried("x", 0), 1_020), "two may fail by chance");
    losses.note_reported(&"c".into(), loss(1_020, false));
    assert!(losses.has_correlated_losses(queried("x", 0), 1_020));
    assert!(
        !losses.has_correlated_losses(queried("x", 1_015), 1_020),
        "it has shown a sign of life since"
    );
    assert!(
        !losses.has_correlated_losses(QueriedUpstream { domain: "far", ..queried("x", 0) }, 1_020)
    );
    assert!(
        !losses.has_correlated_losses(queried("x", 0), 2_000),
        "one not detected as lost by now is alive: half a domain may fail, and the rest is needed"
    );
    assert!(losses.is_lost(queried("a", 0)), "a lost upstream stays lost until it answers");
    assert!(!losses.is_lost(queried("a", 1_500)));
    assert!(!losses.is_lost(queried("x", 0)));
}

#[test]
fn only_own_losses_are_reported_and_old_ones_expire() {
    let mut losses = Losses::default();
    losses.note(&"a".into(), loss(1_000, true));
    losses.note_reported(&"b".into(), loss(1_000, false));
    losses.note_reported(&"a".into(), loss(3_000, false));
    assert_eq!(losses.own(), [Arc::from("a")]);
    losses.expire(6_000, |id| id == "b");
    assert!(!losses.is_lost(queried("a", 0)));
    assert!(
        losses.is_lost(queried("b", 0)),
        "kept, since another incarnation has its address for good"
    );
}

fn at(id: &str, port: u16) -> Upstream {
    Upstream { addr: ([10, 0, 0, 1], port).into(), ..upstream(id, false) }
}

#[test]
fn a_rediscovered_engine_replaces_the_entry_at_its_address_until_the_directory_answers() {
    let mut fleet = Fleet::default();
    fleet.replace(5, vec![at("old", 80), at("other", 81)], &[], 0);
    let mut rediscovered = Rediscovered::default();
    assert!(rediscovered.add(at("new", 80)));
    assert!(!rediscovered.add(at("new", 80)), "it is already known");
    let names = |rediscovered: &Rediscovered, fleet: &Fleet| -> Vec<String> {
        rediscovered.merge(&fleet.upstreams).keys().map(ToString::to_string).collect()
    };
    assert_eq!(names(&rediscovered, &fleet), ["new", "other"]);
    assert!(rediscovered.add(at("newer", 80)), "it crashed again");
    assert_eq!(names(&rediscovered, &fleet), ["newer", "other"]);
    let leaving = Upstream { is_leaving: true, ..at("newer", 80) };
    fleet.apply(6, vec![Change::Put(leaving)], 100);
    assert!(
        rediscovered.merge(&fleet.upstreams)["newer"].is_leaving,
        "the directory's entry takes precedence"
    );
    rediscovered.remove("newer");
    assert_eq!(names(&rediscovered, &fleet), ["newer", "old", "other"]);
}

#[test]
fn rediscovered_engines_expire_when_they_could_be_listed_again() {
    let mut rediscovered = Rediscovered::default();
    rediscovered.add(at("new", 80));
    assert!(!rediscovered.update_directory_state(false, 0));
    assert!(!rediscovered.update_directory_state(true, 1_000));
    assert!(!rediscovered.update_directory_state(false, 1_500), "unreachable again");
    assert!(!rediscovered.update_directory_state(true, 3_000));
    assert!(!rediscovered.update_directory_state(true, 4_800));
    assert_eq!(rediscovered.len(), 1);
    assert!(rediscovered.update_directory_state(true, 4_900));
    assert!(rediscovered.is_empty());
}

#[test]
fn the_splitter_yields_only_whole_events() {
    let text =
        "x-weight-versions: 3\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\nda";
    for cut in 0..text.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        splitter.push(&text.as_bytes()[..cut], &mut events);
        splitter.push(&text.as_bytes()[cut..], &mut events);
        let ids: Vec<Option<u64>> = events.iter().map(|event| event.id).collect();
        assert_eq!(ids, [Some(1), Some(2), None], "cut at {cut}");
        assert!(!splitter.is_empty());
    }
}

/// A delta brings another instance to the same list, whichever revision it had.
#[test]
fn a_delta_brings_other_instances_to_the_same_list() {
    let mut source = Fleet::default();
    source.replace(5, vec![upstream("a", false), upstream("b", false)], &[], 0);
    let mut others = vec![Fleet::default()];
    for step in 6..40 {
        let mut behind = Fleet::default();
        behind.take(source.since(0), 0);
        others.push(behind);
        let id = format!("u{}", step % 7);
        let change = match step % 3 {
            0 => Change::Gone((*id).into()),
            1 => Change::Put(upstream(&id, true)),
            _ => Change::Put(upstream(&id, false)),
        };
        source.apply(step, vec![change], 0);
    }
    for mut other in others {
        let delta = source.since(other.revision);
        assert_eq!(delta.is_whole, other.revision == 0);
        assert!(other.take(delta, 0));
        assert_eq!(other.upstreams, source.upstreams);
        assert_eq!(other.revision, source.revision);
    }
}

#[test]
fn entries_that_lapsed_at_another_instance_expire_here_too() {
    let mut source = Fleet::default();
    source.replace(5, vec![upstream("a", false), upstream("b", false)], &[], 0);
    source.regained(1_000);
    source.apply(6, vec![Change::Gone("a".into())], 1_100);
    let mut other = Fleet::default();
    other.take(source.since(0), 1_200);
    assert_eq!(ids(&other), ["a", "b"]);
    other.expire(4_000);
    assert_eq!(ids(&other), ["b"]);
}

/// Callers retry a refused request only once, so the retry time must outlast the outage. It assumes
/// the longest outage seen so far, or a typical duration if there was none.
#[parameterized(
    unseen = { &[], 0, 25_000, 5_300, 6_300 },
    unseen_and_late = { &[], 4_000, 25_000, 1_300, 2_300 },
    as_long_as_the_longest = { &[2_000, 1_000], 500, 25_000, 1_800, 2_800 },
    longer_than_any = { &[2_000], 6_000, 25_000, 3_300, 4_300 },
    only_what_callers_honour = { &[], 0, 9_000, 3_000, 3_000 },
    little_time = { &[], 0, 150, 300, 300 },
)]
fn the_retry_time_outlasts_the_outage(
    seen_ms: &[u64],
    lasts_ms: u64,
    left_ms: u64,
    least_ms: u64,
    most_ms: u64,
) {
    let service: Arc<str> = "plan".into();
    let mut outages = Outages::default();
    let mut now_ms = 1_000;
    for lasted_ms in seen_ms {
        outages.note_lost(&service, now_ms);
        outages.note_down(&service, now_ms + 10);
        outages.note_alive(&service, now_ms + lasted_ms);
        outages.note_alive(&service, now_ms + lasted_ms + 500);
        now_ms += 20_000;
    }
    let mut random = fastrand::Rng::with_seed(3);
    assert_eq!(
        outages.retry_after_ms(&service, left_ms, now_ms, &mut random),
        None,
        "the service is up"
    );
    outages.note_lost(&service, now_ms);
    outages.note_down(&service, now_ms + 10);
    let mut after_ms = || outages.retry_after_ms(&service, left_ms, now_ms + lasts_ms, &mut random);
    let named: Vec<u64> = (0..200).map(|_| after_ms().unwrap()).collect();
    assert!(named.iter().all(|after| (least_ms..=most_ms).contains(after)), "{named:?}");
    let spread = named.iter().max().unwrap() - named.iter().min().unwrap();
    assert!(2 * spread >= most_ms - least_ms, "retry times are not spread: {spread} ms");
}

/// Upstreams that leave long after the last loss did not go with it, and a sign of life from before
/// an outage does not end it.
#[test]
fn an_outage_begins_with_the_last_loss_only_if_that_was_recent() {
    let service: Arc<str> = "plan".into();
    let mut random = fastrand::Rng::with_seed(3);
    let mut outages = Outages::default();
    outages.note_lost(&service, 1_000);
    outages.note_down(&service, 60_000);
    outages.note_alive(&service, 59_000);
    let after_ms = outages.retry_after_ms(&service, 60_000, 60_000, &mut random).unwrap();
    assert!((5_300..=6_300).contains(&after_ms), "{after_ms}");
    outages.note_alive(&service, 60_700);
    assert_eq!(outages.retry_after_ms(&service, 60_000, 61_000, &mut random), None);
}
