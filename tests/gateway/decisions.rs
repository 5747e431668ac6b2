//! The gateway's pure steps: routes, the list of upstreams, placement, repeats, events.

use std::sync::Arc;

use siskinrock::gateway::events::EventSplitter;
use siskinrock::gateway::fleet::{Change, Fleet, Upstream};
use siskinrock::gateway::policy::budget::{Bound, Budget};
use siskinrock::gateway::policy::engine::Load;
use siskinrock::gateway::policy::found::Found;
use siskinrock::gateway::policy::losses::{Loss, Losses, Subject};
use siskinrock::gateway::policy::outages::Outages;
use siskinrock::gateway::policy::placement::{Candidate, Constraints, choose};
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
        is_spot: false,
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
fn an_older_listing_changes_nothing() {
    let mut fleet = Fleet::default();
    fleet.replace(5, vec![upstream("a", false)], &[], 0);
    assert!(!fleet.replace(4, vec![], &[], 1));
    fleet.apply(3, vec![Change::Gone("a".into())], 2);
    assert_eq!(ids(&fleet), ["a"]);
}

#[test]
fn what_lapsed_in_an_outage_has_time_to_come_back() {
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
fn an_empty_listing_after_an_outage_empties_nothing_at_once() {
    let mut fleet = Fleet::default();
    fleet.replace(5, vec![upstream("a", false), upstream("gone", true)], &[], 0);
    fleet.regained(1_000);
    fleet.replace(6, vec![], &[], 1_000);
    assert_eq!(ids(&fleet), ["a"], "what was leaving gets no time");
    fleet.replace(7, vec![], &[], 2_000);
    assert_eq!(ids(&fleet), ["a"], "a second reading doesn't end the time");
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
        failing: 0.0,
        is_suspect: false,
    }
}

#[test]
fn instances_with_one_stale_picture_do_not_meet() {
    let candidates: Vec<Candidate> =
        (0..16).map(|index| candidate(&format!("e{index}"), "hall", 0.0)).collect();
    let mut taken = [0; 16];
    for seed in 0..9 {
        let mut random = fastrand::Rng::with_seed(seed);
        taken[choose(&candidates, &Constraints::default(), 0.0, &mut random).unwrap()] += 1;
    }
    assert!(taken.iter().all(|count| *count <= 3), "{taken:?}");
}

/// Two engines have just come back empty, and ten prompts arrive before any instance hears of another's:
/// none may wait behind more than a few while engines that are hardly worse read nothing.
#[test]
fn what_others_place_unseen_spreads_a_choice() {
    let candidates: Vec<Candidate> = (0..24)
        .map(|index| candidate(&format!("e{index}"), "hall", if index < 2 { 0.0 } else { 1.5 }))
        .collect();
    // The most prompts at one engine in each of forty rounds.
    let most_at_one = |unseen| -> Vec<u32> {
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
    let with_others = most_at_one(9.0);
    assert!(with_others.iter().sum::<u32>() < 40 * 4, "{with_others:?}");
    let alone = most_at_one(0.0);
    assert!(alone.iter().all(|most| *most >= 3), "nothing unseen: loads decide; {alone:?}");
}

#[parameterized(
    alone = { &[0.0, 1.0, 2.0], 0.0 },
    nothing_to_choose_from = { &[], 9.0 },
    one = { &[3.0], 9.0 },
    numbers_beyond_sense = { &[0.0, f64::INFINITY], 1e300 },
)]
fn a_spread_has_bounds(costs: &[f64], unseen: f64) {
    let spread = spread::spread(costs, unseen);
    assert!((0.4..=4.0).contains(&spread), "{spread}");
}

#[test]
fn suspects_and_lost_domains_are_a_last_resort() {
    let mut random = fastrand::Rng::with_seed(1);
    let mut candidates = vec![candidate("near", "a", 0.0), candidate("far", "b", 20.0)];
    let constraints = Constraints { not_domains: vec!["a".into()], ..Constraints::default() };
    for _ in 0..50 {
        assert_eq!(choose(&candidates, &constraints, 0.0, &mut random), Some(1));
    }
    candidates[1].is_suspect = true;
    assert_eq!(choose(&candidates, &constraints, 0.0, &mut random), Some(0));
    let nobody = Constraints { not: vec!["near".into(), "far".into()], ..Constraints::default() };
    assert_eq!(choose(&candidates, &nobody, 0.0, &mut random), None);
}

/// A service counts repeats in any ten seconds. Counted in steps that were dropped whole, a tenth of
/// them was forgotten up to a second too early: 663 were sent where 628 were allowed.
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
    let sent = (0..1_000).filter(|_| budget.repeat(bound, 900)).count();
    assert!(sent > 50, "{sent}");
    assert!(!budget.repeat(bound, 10_800), "9.9 s later");
    assert!(budget.repeat(bound, 12_000));
    budget.request(bound, 30_900);
    assert_eq!(budget.sums(), (1, 0), "what is out of the window");
}

#[test]
fn repeats_keep_to_the_bound_over_all_instances() {
    let mut bound = Bound {
        ratio: 0.8,
        slack: 150.0,
        window_ms: 10_000,
        instances: 9,
        others_requests: 0,
        others_repeats: 0,
    };
    let mut budget = Budget::default();
    let allowed = (0..1_000).filter(|_| budget.repeat(bound, 0)).count();
    assert!(allowed * 3 <= 150, "a third of nine at once stay under the bound: {allowed}");
    bound.others_repeats = 130;
    assert!(!Budget::default().repeat(bound, 0), "the others have taken all");
    bound.others_requests = 1_000;
    assert!(Budget::default().repeat(bound, 0));
    let many = allowed;
    let later = (0..1_000).filter(|_| budget.repeat(bound, 11_000)).count();
    assert!(later >= many, "the window has passed");
}

/// A copy falls with its run if it lies in the same failure domain, so a domain that lost engines
/// a moment ago is better, and only engines that are likely gone are worse.
#[parameterized(
    apart_from_the_run = { &["own", "lost", "clean"], "clean" },
    rather_where_engines_were_lost = { &["own", "lost"], "lost" },
    rather_in_its_own_domain = { &["own", "gone"], "own" },
    only_one = { &["gone"], "gone" },
)]
fn a_copy_keeps_away_from_its_run(names: &[&str], expected: &str) {
    let mut candidates: Vec<Candidate> =
        names.iter().map(|name| candidate(name, name, 0.0)).collect();
    candidates.iter_mut().for_each(|known| known.is_suspect = &*known.id == "gone");
    let constraints = Constraints {
        not_domains: vec!["lost".into()],
        apart_from: Some("own".into()),
        ..Constraints::default()
    };
    let chosen = choose(&candidates, &constraints, 0.0, &mut fastrand::Rng::new());
    assert_eq!(&*candidates[chosen.unwrap()].id, expected);
}

fn loss(at_ms: u64, is_own: bool) -> Loss {
    Loss { service: "plan".into(), domain: "hall".into(), at_ms, is_own }
}

fn subject(id: &str, alive_ms: u64) -> Subject<'_> {
    Subject { id, service: "plan", domain: "hall", alive_ms }
}

#[test]
fn a_falling_domain_makes_its_engines_doubtful_for_a_moment() {
    let mut losses = Losses::default();
    losses.note(&"a".into(), loss(1_000, true));
    losses.hear(&"b".into(), loss(1_010, false));
    assert!(!losses.is_domain_falling(subject("x", 0), 1_020), "two may fail by chance");
    losses.hear(&"c".into(), loss(1_020, false));
    assert!(losses.is_domain_falling(subject("x", 0), 1_020));
    assert!(!losses.is_domain_falling(subject("x", 1_015), 1_020), "it answered meanwhile");
    assert!(!losses.is_domain_falling(Subject { domain: "far", ..subject("x", 0) }, 1_020));
    assert!(
        !losses.is_domain_falling(subject("x", 0), 2_000),
        "whoever is not found lost by now lives: half a domain may fall, and the rest is needed"
    );
    assert!(losses.is_lost(subject("a", 0)), "what was lost stays lost until it answers");
    assert!(!losses.is_lost(subject("a", 1_500)));
    assert!(!losses.is_lost(subject("x", 0)));
}

#[test]
fn only_own_losses_are_told_and_old_ones_are_forgotten() {
    let mut losses = Losses::default();
    losses.note(&"a".into(), loss(1_000, true));
    losses.hear(&"b".into(), loss(1_000, false));
    losses.hear(&"a".into(), loss(3_000, false));
    assert_eq!(losses.own(), [Arc::from("a")]);
    losses.forget(6_000, |id| id == "b");
    assert!(!losses.is_lost(subject("a", 0)));
    assert!(losses.is_lost(subject("b", 0)), "another one has its address for good");
}

fn at(id: &str, port: u16) -> Upstream {
    Upstream { addr: ([10, 0, 0, 1], port).into(), ..upstream(id, false) }
}

#[test]
fn what_was_found_stands_for_whoever_had_the_address_until_the_directory_tells() {
    let mut fleet = Fleet::default();
    fleet.replace(5, vec![at("old", 80), at("other", 81)], &[], 0);
    let mut found = Found::default();
    assert!(found.add(at("new", 80)));
    assert!(!found.add(at("new", 80)), "found again, it is no news");
    let names = |found: &Found, fleet: &Fleet| -> Vec<String> {
        found.merge(&fleet.upstreams).keys().map(ToString::to_string).collect()
    };
    assert_eq!(names(&found, &fleet), ["new", "other"]);
    assert!(found.add(at("newer", 80)), "it crashed once more");
    assert_eq!(names(&found, &fleet), ["newer", "other"]);
    let leaving = Upstream { is_leaving: true, ..at("newer", 80) };
    fleet.apply(6, vec![Change::Put(leaving)], 100);
    assert!(found.merge(&fleet.upstreams)["newer"].is_leaving, "the directory's word goes first");
    found.remove("newer");
    assert_eq!(names(&found, &fleet), ["newer", "old", "other"]);
}

#[test]
fn what_was_found_ends_with_the_time_to_be_listed_again() {
    let mut found = Found::default();
    found.add(at("new", 80));
    assert!(!found.note_directory(false, 0));
    assert!(!found.note_directory(true, 1_000));
    assert!(!found.note_directory(false, 1_500), "silent again");
    assert!(!found.note_directory(true, 3_000));
    assert!(!found.note_directory(true, 4_800));
    assert_eq!(found.len(), 1);
    assert!(found.note_directory(true, 4_900));
    assert!(found.is_empty());
}

#[test]
fn only_whole_events_come_out_wherever_the_bytes_are_cut() {
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

/// What one instance tells another brings it to the same list, whichever revision it had.
#[test]
fn a_delta_brings_another_to_the_same_list() {
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
fn what_lapsed_elsewhere_expires_here_too() {
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

/// Callers repeat a refused request once only, so the wait must outlast the outage: as long as the
/// longest that was seen, and while none was, as long as such outages usually last.
#[parameterized(
    unseen = { &[], 0, 25_000, 5_300, 6_300 },
    unseen_and_late = { &[], 4_000, 25_000, 1_300, 2_300 },
    as_long_as_the_longest = { &[2_000, 1_000], 500, 25_000, 1_800, 2_800 },
    longer_than_any = { &[2_000], 6_000, 25_000, 3_300, 4_300 },
    only_what_callers_honour = { &[], 0, 9_000, 3_000, 3_000 },
    little_time = { &[], 0, 150, 300, 300 },
)]
fn a_refusal_outlasts_the_outage(
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
    assert_eq!(outages.retry_after_ms(&service, left_ms, now_ms, &mut random), None, "it is up");
    outages.note_lost(&service, now_ms);
    outages.note_down(&service, now_ms + 10);
    let mut after_ms = || outages.retry_after_ms(&service, left_ms, now_ms + lasts_ms, &mut random);
    let named: Vec<u64> = (0..200).map(|_| after_ms().unwrap()).collect();
    assert!(named.iter().all(|after| (least_ms..=most_ms).contains(after)), "{named:?}");
    let spread = named.iter().max().unwrap() - named.iter().min().unwrap();
    assert!(2 * spread >= most_ms - least_ms, "they would all come back at once: {spread} ms");
}

/// Upstreams that leave long after the last one was lost did not go with it, and an upstream that
/// answered before an outage began doesn't end it.
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
