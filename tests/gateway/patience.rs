//! Decisions on silent runs, hedges, upstreams that share an address, and retry times.

use std::sync::Arc;

use siskinrock::gateway::fleet::{Change, Fleet, SoftwareVersion, Upstream};
use siskinrock::gateway::policy::admission::{EngineActivity, LateRequest};
use siskinrock::gateway::policy::budget::{Bound, Budget};
use siskinrock::gateway::policy::cache_lookup;
use siskinrock::gateway::policy::hedge;
use siskinrock::gateway::policy::latency::Latencies;
use siskinrock::gateway::policy::outages::{self, Outages};
use siskinrock::gateway::policy::placement;
use siskinrock::gateway::policy::rediscovered::Rediscovered;
use siskinrock::gateway::policy::search::SearchList;
use siskinrock::gateway::policy::silence::{
    self, LeaveReason, RunStatus, Silence, SilenceTimeouts, Verdict,
};
use siskinrock::platform::document;
use yare::parameterized;

fn at(id: &str, port: u16, listed_at: u64) -> Upstream {
    Upstream {
        id: id.into(),
        service: "plan".into(),
        addr: ([10, 0, 0, 1], port).into(),
        domain: "hall".into(),
        is_leaving: false,
        born_ms: None,
        listed_at,
        stated_at: 0,
        is_spot: false,
        version: SoftwareVersion::Unversioned,
    }
}

fn listed(tokens: u64, events: u64) -> RunStatus {
    RunStatus::Listed { tokens, events }
}

/// A run that was sent or had its last event at 1,000 ms, its observations (what the state said, and
/// when it was requested), and the verdict on the last one.
#[parameterized(
    state_is_older_than_the_run = { &[(RunStatus::Missing, 1_400)], Verdict::Wait },
    gone = { &[(RunStatus::Missing, 1_900)], Verdict::Leave(LeaveReason::Gone) },
    may_wait = { &[(RunStatus::MayWait, 1_900), (RunStatus::MayWait, 2_800)], Verdict::Wait },
    overdue = { &[(RunStatus::MayWait, 1_900), (RunStatus::MayWait, 9_000)], Verdict::Leave(LeaveReason::Overdue) },
    not_reported = { &[(RunStatus::Untold, 1_900)], Verdict::Wait },
    reading = { &[(listed(100, 0), 1_900), (listed(900, 0), 2_800)], Verdict::Wait },
    answer_lost = { &[(listed(900, 3), 1_900), (listed(910, 4), 2_100)], Verdict::Leave(LeaveReason::AnswerLost) },
    stalled = { &[(listed(900, 3), 1_900), (listed(900, 3), 3_500)], Verdict::Leave(LeaveReason::Standing) },
    not_stalled_yet = { &[(listed(900, 3), 1_900), (listed(900, 3), 2_800)], Verdict::Wait },
    fewer_events = { &[(listed(900, 3), 1_900), (listed(910, 1), 2_800)], Verdict::Wait },
    time_goes_back = { &[(listed(900, 3), 3_500), (listed(900, 3), 200)], Verdict::Wait },
)]
fn a_silent_run_is_judged_by_the_engine_state(
    observations: &[(RunStatus, u64)],
    expected: Verdict,
) {
    let mut silence = Silence::before_first_event(1_000, Some(8_000));
    let mut verdict = Verdict::Wait;
    for (status, asked_ms) in observations {
        verdict = silence.judge(*status, *asked_ms);
    }
    assert_eq!(verdict, expected);
}

/// A run is listed from its first event on, in a state that may be some hundred milliseconds old.
#[parameterized(
    recent = { RunStatus::MayWait, 300, false },
    preempted = { RunStatus::MayWait, 500, true },
    runs = { listed(900, 3), 900, false },
    not_reported = { RunStatus::Untold, 900, false },
    gone = { RunStatus::Missing, 900, false },
)]
fn a_run_that_is_no_longer_listed_was_preempted(status: RunStatus, age_ms: u64, expected: bool) {
    assert_eq!(silence::is_preempted(status, age_ms), expected);
}

#[test]
fn a_run_with_events_or_without_further_attempts_is_never_overdue() {
    assert_eq!(Silence::new(0).judge(RunStatus::MayWait, 60_000), Verdict::Wait);
    assert_eq!(
        Silence::before_first_event(0, None).judge(RunStatus::MayWait, 60_000),
        Verdict::Wait
    );
    let forever = Some(u64::MAX);
    assert_eq!(
        Silence::before_first_event(5, forever).judge(RunStatus::MayWait, 60_000),
        Verdict::Wait
    );
}

/// Requests on machines that take ten times as long get ten times as much time, and each attempt
/// doubles it.
#[test]
fn the_overdue_time_follows_measured_latencies() {
    let known = |us_per_token: u64| {
        let mut known = Latencies::default();
        (0..100).for_each(|_| known.record(us_per_token));
        known
    };
    let quick_ms = silence::overdue_ms(&known(150), 8_000, 4_500, 0);
    let slow_ms = silence::overdue_ms(&known(1_500), 8_000, 4_500, 0);
    assert!((2_200..=2_800).contains(&quick_ms), "{quick_ms}");
    assert!(slow_ms >= 9 * quick_ms, "{slow_ms}");
    assert_eq!(silence::overdue_ms(&known(150), 8_000, 4_500, 1), 2 * quick_ms);
    assert_eq!(
        silence::overdue_ms(&Latencies::default(), 8_000, 4_500, 0),
        9_000,
        "no samples: twice the objective"
    );
    assert_eq!(silence::overdue_ms(&known(150), 0, 0, 0), 9_000, "no prompt and no objective");
    assert!(silence::overdue_ms(&known(u64::MAX), u64::MAX, 1, u32::MAX) > 0);
}

#[test]
fn silence_timeouts_are_fractions_of_what_the_route_declares() {
    let usual = SilenceTimeouts::of(4_500, 700);
    assert_eq!(SilenceTimeouts::of(0, 0), usual, "defaults for undeclared values");
    assert_eq!((usual.first_event_ms, usual.gap_ms, usual.stalled_reading_ms), (900, 140, 700));
    let slow = SilenceTimeouts::of(45_000, 7_000);
    assert_eq!((slow.first_event_ms, slow.gap_ms, slow.stalled_ms), (9_000, 1_400, 4_666));
    let tiny = SilenceTimeouts::of(1, 1);
    assert!(tiny.first_event_ms >= 500 && tiny.gap_ms >= 50, "state requested too often: {tiny:?}");
}

#[test]
fn quantiles_follow_recent_samples() {
    let mut known = Latencies::default();
    assert_eq!(known.quantile(0.95), None);
    (0..19).for_each(|_| known.record(30));
    assert_eq!(known.quantile(0.95), None, "too few samples");
    known.record(0);
    assert_eq!(known.quantile(0.5).map(|ms| (28..=32).contains(&ms)), Some(true));
    (0..400).for_each(|_| known.record(300));
    assert!(known.quantile(0.05).unwrap() >= 280, "old samples are dropped");
    known.record(u64::MAX);
    assert!(known.quantile(1.0).is_some());
}

/// All calls of one service become ten times slower. Hedges must stay few, far below the budget of
/// repeats, and while latencies are normal a silent call is hedged in time for its objective.
#[test]
fn a_slow_service_causes_few_hedges() {
    let bound = Bound {
        ratio: 0.8,
        slack: 0.0,
        window_ms: 10_000,
        instances: 1,
        others_requests: 0,
        others_repeats: 0,
    };
    let mut random = fastrand::Rng::with_seed(11);
    let mut known = Latencies::default();
    assert_eq!(
        hedge::delay_ms(&known, 150),
        Some(150),
        "too few samples: only after the objective"
    );
    assert_eq!(hedge::delay_ms(&known, 0), None);
    let mut budget = Budget::default();
    let mut hedges = [0; 2];
    for (phase, factor) in [1, 10].into_iter().enumerate() {
        for call in 0..2_000 {
            let now_ms = (phase * 2_000 + call) as u64 * 10;
            budget.count_request(bound, now_ms);
            let takes_ms = factor * random.u64(20..60);
            let after_ms = hedge::delay_ms(&known, 150).unwrap();
            if takes_ms > after_ms && budget.try_repeat(bound, now_ms) {
                hedges[phase] += 1;
            }
            known.record(takes_ms);
        }
        if phase == 0 {
            let after_ms = hedge::delay_ms(&known, 150).unwrap();
            assert!((90..150).contains(&after_ms), "not in time for the objective: {after_ms}");
        }
    }
    assert!(hedges[0] < 20, "{hedges:?}");
    assert!(hedges[1] < 300, "of 2,000, until the quantiles follow the slowdown: {hedges:?}");
}

#[test]
fn the_youngest_entry_of_an_address_counts() {
    let all = [at("old", 80, 5), at("older", 80, 3), at("new", 80, 9), at("other", 81, 1)];
    let passed: Vec<String> =
        placement::superseded(all.iter()).iter().map(ToString::to_string).collect();
    assert_eq!(passed, ["old", "older"]);
    let unknown = [at("a", 80, 0), at("b", 80, 0)];
    assert!(placement::superseded(unknown.iter()).is_empty(), "equal revisions");
    assert!(placement::superseded([].iter()).is_empty());
}

/// Guards against a sound upstream that gets nothing because of an entry with its address that gets
/// nothing either, so that nothing shows who is there.
#[test]
fn only_an_entry_that_gets_requests_supersedes_another() {
    let sound = at("sound", 80, 1);
    let leaving = Upstream { is_leaving: true, ..at("leaving", 80, 9) };
    let elsewhere = Upstream { service: "chart".into(), ..at("elsewhere", 80, 9) };
    for odd in [leaving, elsewhere] {
        assert!(placement::superseded([sound.clone(), odd].iter()).is_empty());
    }
}

/// Guards against refused streams. An engine that was rediscovered during an outage of the directory
/// crashed again, and its entry replaced that of its next incarnation, which the directory had listed
/// since: all streams sent to it were refused.
#[test]
fn a_rediscovered_engine_yields_to_a_later_entry() {
    let mut fleet = Fleet::default();
    fleet.replace(5, vec![at("old", 80, 2)], &[], 0);
    let mut rediscovered = Rediscovered::default();
    rediscovered.add(Upstream { id: "found".into(), ..at("old", 80, 2) });
    let names = |rediscovered: &Rediscovered, fleet: &Fleet| -> Vec<String> {
        rediscovered.merge(&fleet.upstreams).keys().map(ToString::to_string).collect()
    };
    assert_eq!(names(&rediscovered, &fleet), ["found"]);
    fleet.apply(9, vec![Change::Put(at("next", 80, 9))], 100);
    assert_eq!(names(&rediscovered, &fleet), ["next", "old"]);
    let passed: Vec<Arc<str>> =
        placement::superseded(fleet.upstreams.values()).into_iter().collect();
    assert_eq!(passed, [Arc::from("old")]);
}

#[test]
fn another_start_time_is_another_incarnation() {
    let started = |born_ms| Upstream { born_ms, ..at("a", 80, 1) };
    assert!(started(Some(7)).is_same_life(&started(Some(7))));
    assert!(!started(Some(7)).is_same_life(&started(Some(8))));
    assert!(started(None).is_same_life(&started(Some(8))), "start time unknown");
    assert!(!started(Some(7)).is_same_life(&at("a", 81, 1)));
}

#[test]
fn an_unusable_entry_is_removed_at_once_and_others_stay() {
    let mut fleet = Fleet::default();
    fleet.replace(5, vec![at("a", 80, 1), at("b", 81, 1)], &[], 0);
    fleet.regained(1_000);
    fleet.apply(6, vec![Change::Foreign("a".into()), Change::Foreign("x".into())], 1_100);
    let left: Vec<&str> = fleet.upstreams.keys().map(|id| &**id).collect();
    assert_eq!(left, ["b"], "an unusable entry is not kept for a while, unlike a lapsed one");
    fleet.replace(7, vec![], &["b".into()], 1_200);
    assert!(fleet.upstreams.is_empty());
}

/// What an entry of a server must contain to name a usable upstream.
#[parameterized(
    usual = { r#"{"backend": "s", "address": "10.0.0.1:80", "zone": "z", "state": "ready"}"#, true },
    started = { r#"{"backend": "s", "address": "10.0.0.1:80", "zone": "z", "state": "draining", "born": 1790000000000}"#, true },
    no_address = { r#"{"backend": "s", "zone": "z", "state": "ready"}"#, false },
    other_type = { r#"{"backend": ["s"], "address": "10.0.0.1:80", "zone": "z", "state": "ready"}"#, false },
    other_state = { r#"{"backend": "s", "address": "10.0.0.1:80", "zone": "z", "state": "asleep"}"#, false },
    born_in_words = { r#"{"backend": "s", "address": "10.0.0.1:80", "zone": "z", "state": "ready", "born": "today"}"#, false },
    no_address_at_all = { r#"{"backend": "s", "address": "nowhere", "zone": "z", "state": "ready"}"#, false },
    a_list = { "[1, 2]", false },
    no_text = { "\u{1}\u{2}", false },
    nothing = { "", false },
)]
fn only_a_complete_entry_names_a_usable_upstream(value: &str, is_usable: bool) {
    let record = document::decode("servers/a", value.as_bytes(), 4).expect("the key is known");
    assert_eq!(format!("{record:?}").starts_with("Upstream("), is_usable, "{record:?}");
}

#[parameterized(
    long_deadline = { 25_000, 2_500, 3_126 },
    short_deadline = { 2_500, 800, 833 },
    very_short_deadline = { 1_000, 333, 333 },
    nothing_left = { 0, 0, 0 },
)]
fn a_starting_instance_gives_a_retry_time_that_callers_accept(
    left_ms: u64,
    least_ms: u64,
    most_ms: u64,
) {
    let mut random = fastrand::Rng::with_seed(9);
    for _ in 0..200 {
        let after_ms = outages::starting_retry_after_ms(left_ms, &mut random);
        assert!((least_ms..=most_ms).contains(&after_ms), "{after_ms}");
    }
    assert!(outages::startup_hold_ms(left_ms) * 8 <= left_ms, "held for too long");
}

/// After an outage of the directory, entries are back within two seconds. A service of which an
/// instance has seen no upstream since its start is therefore expected back sooner than the five
/// seconds of other outages.
#[test]
fn the_expected_outage_is_shorter_for_a_service_never_seen() {
    let service: Arc<str> = "plan".into();
    let mut random = fastrand::Rng::with_seed(3);
    let mut outages = Outages::default();
    outages.note_down(&service, 1_000);
    let after_ms = outages.retry_after_ms(&service, 25_000, 1_000, &mut random).unwrap();
    assert!((2_300..=3_300).contains(&after_ms), "{after_ms}");
    outages.note_alive(&service, 2_000);
    outages.note_down(&service, 60_000);
    let after_ms = outages.retry_after_ms(&service, 25_000, 60_000, &mut random).unwrap();
    assert!((1_300..=6_300).contains(&after_ms), "{after_ms}");
}

/// A late request that arrived at 1,000 and has until 25,000.
#[parameterized(
    engines_are_idle = { EngineActivity { engines: 100, reading: 49 }, 1_000, true },
    half_of_them_read = { EngineActivity { engines: 100, reading: 50 }, 1_000, false },
    it_has_waited_for_a_third_of_its_time = { EngineActivity { engines: 100, reading: 100 }, 9_000, true },
    not_quite_a_third = { EngineActivity { engines: 100, reading: 100 }, 8_999, false },
    only_engine = { EngineActivity { engines: 1, reading: 1 }, 1_000, false },
    no_engine = { EngineActivity { engines: 0, reading: 0 }, 1_000, false },
    time_leaps_back = { EngineActivity { engines: 100, reading: 100 }, 0, false },
    time_leaps_forward = { EngineActivity { engines: 100, reading: 100 }, u64::MAX, true },
)]
fn late_requests_wait_while_engines_are_busy(
    activity: EngineActivity,
    now_ms: u64,
    may_send: bool,
) {
    let late = LateRequest { since_ms: 1_000, until_ms: 25_000 };
    assert_eq!(late.may_send(activity, now_ms), may_send);
}

#[test]
fn a_late_request_past_its_deadline_does_not_wait() {
    let late = LateRequest { since_ms: 5_000, until_ms: 1_000 };
    assert!(late.may_send(EngineActivity { engines: 9, reading: 9 }, 5_000));
}

/// Instances that ask 600 engines after the loss of all instances: each engine is asked by a few of
/// them, and almost none by nobody.
#[parameterized(
    one = { 1, 1..=1 },
    nine = { 9, 4..=8 },
    many = { 75, 4..=8 },
    two_years_from_now = { 360, 4..=8 },
)]
fn each_engine_is_asked_by_a_few_instances(instances: u32, mean: std::ops::RangeInclusive<u32>) {
    const ENGINES: u32 = 600;
    let mut random = fastrand::Rng::with_seed(7);
    let asked: Vec<u32> = (0..ENGINES)
        .map(|_| {
            (0..instances).filter(|_| cache_lookup::should_ask(instances, &mut random)).count()
                as u32
        })
        .collect();
    let all: u32 = asked.iter().sum();
    assert!(mean.contains(&(all / ENGINES)), "{all} requests to {ENGINES} engines");
    assert!(
        asked.iter().filter(|asked| **asked == 0).count() <= 6,
        "too many engines asked by nobody"
    );
}

/// Callers retry only once or a few times: before any running request has ended, they would find
/// the same engines full.
#[parameterized(usual = { 25_000, 4_166, 6_250 }, short = { 1_500, 300, 500 }, nothing = { 0, 300, 300 })]
fn full_engines_give_a_retry_time_that_callers_accept(left_ms: u64, least_ms: u64, most_ms: u64) {
    let mut random = fastrand::Rng::with_seed(3);
    for _ in 0..100 {
        let after_ms = outages::full_retry_after_ms(left_ms, &mut random);
        assert!((least_ms..=most_ms).contains(&after_ms), "{after_ms}");
    }
}

/// An outage of the directory is noticed after seconds, and losses are reported for a shorter time.
#[test]
fn engines_lost_before_the_outage_is_noticed_are_searched_for() {
    let mut search_list = SearchList::default();
    search_list.update(["crashed".into(), "lapsed".into()], |_| true);
    search_list.update([], |id| id != "lapsed");
    assert_eq!(
        search_list.next_round(),
        [Arc::from("crashed")],
        "the other engine is no longer listed"
    );
}

#[test]
fn the_search_for_a_lost_engine_ends() {
    let mut search_list = SearchList::default();
    search_list.update(["gone".into()], |_| true);
    let mut searches = 0;
    while !search_list.next_round().is_empty() {
        searches += 1;
        search_list.update([], |_| true);
        assert!(searches < 100, "the search does not end");
    }
    assert!(searches > 3, "too few searches: an engine takes over a second to return");
}
