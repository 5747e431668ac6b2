//! The decisions whether an instance is cut off from all upstreams, and who serves its requests.

use std::net::SocketAddr;
use std::sync::Arc;

use siskinrock::gateway::policy::active;
use siskinrock::gateway::policy::isolation::{Isolation, Known, Reach};
use siskinrock::gateway::policy::relay::{self, Candidate};
use yare::parameterized;

const DOMAINS: [&str; 3] = ["ranong-hall", "phuket-hall", "krabi-hall"];

/// One upstream in eight is one of the other service.
fn is_booking(index: usize) -> bool {
    index % 8 == 7
}

fn known(count: usize) -> Vec<Known> {
    let upstream = |index: usize| Known {
        id: format!("i-{index}").into(),
        service: if is_booking(index) { "booking-app" } else { "plan-llm" }.into(),
        domain: DOMAINS[index % DOMAINS.len()].into(),
    };
    (0..count).map(upstream).collect()
}

/// Follows the checks until it is clear, after one upstream was out of reach; returns the number of
/// checks.
fn decide(count: usize, is_ill: impl Fn(usize) -> bool, seed: u64) -> (Reach, usize) {
    let known = known(count);
    let mut isolation = Isolation::default();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut now_ms = 1_000;
    isolation.note_unreached(&known[0].id, now_ms - 250, &known, now_ms);
    let mut checked = 0;
    for _ in 0..9 {
        let checks = isolation.checks(&known, &mut random);
        if isolation.reach() != Reach::Doubtful || checks.is_empty() {
            break;
        }
        checked += checks.len();
        let began_ms = now_ms;
        now_ms += 5;
        for id in checks {
            let index = known.iter().position(|known| known.id == id).unwrap();
            if is_ill(index) {
                isolation.note_unreached(&id, began_ms, &known, now_ms);
            } else {
                isolation.note_reached(now_ms);
            }
        }
    }
    (isolation.reach(), checked)
}

#[parameterized(
    all = { 24, 24, Reach::CutOff, 4 },
    all_of_three = { 3, 3, Reach::CutOff, 2 },
    all_of_two = { 2, 2, Reach::CutOff, 1 },
    the_only_one = { 1, 1, Reach::Normal, 0 },
    one = { 24, 1, Reach::Normal, 1 },
    one_of_two = { 2, 1, Reach::Normal, 1 },
)]
fn evidence_of_many_upstreams_decides(all: usize, ill: usize, reach: Reach, most_checks: usize) {
    for seed in 0..50 {
        let (decided, checks) = decide(all, |index| index < ill, seed);
        assert!(checks <= most_checks, "{checks} checks, seed {seed}");
        assert_eq!(decided, reach, "seed {seed}");
    }
}

/// All engines may refuse connections before the first check has ended.
#[test]
fn the_loss_of_all_upstreams_of_one_service_is_no_cut() {
    let known = known(24);
    let mut isolation = Isolation::default();
    for (index, upstream) in known.iter().enumerate().filter(|(index, _)| !is_booking(*index)) {
        isolation.note_unreached(&upstream.id, 1_000, &known, 1_001);
        assert_eq!(isolation.reach(), Reach::Doubtful, "after {index}");
    }
    let checks = isolation.checks(&known, &mut fastrand::Rng::with_seed(1));
    assert!(checks.iter().all(|id| is_booking(id[2..].parse().unwrap())), "{checks:?}");
}

/// A whole failure domain that is lost is no cut: the first check goes to another one.
#[test]
fn a_lost_failure_domain_is_no_cut() {
    for seed in 0..50 {
        let is_ill = |index: usize| index.is_multiple_of(DOMAINS.len());
        assert_eq!(decide(24, is_ill, seed), (Reach::Normal, 1));
    }
}

/// What began before a connection was opened is no evidence against it.
#[test]
fn attempts_that_began_before_a_connection_was_opened_count_for_nothing() {
    let known = known(9);
    let mut isolation = Isolation::default();
    isolation.note_reached(1_000);
    for upstream in &known {
        isolation.note_unreached(&upstream.id, 990, &known, 1_240);
    }
    assert_eq!(isolation.reach(), Reach::Normal);
}

#[test]
fn the_first_connection_ends_a_cut() {
    let known = known(9);
    let mut isolation = Isolation::default();
    for upstream in &known {
        isolation.note_unreached(&upstream.id, 1_000, &known, 1_250);
    }
    assert_eq!(isolation.expire(90_000), Reach::CutOff, "time alone doesn't end it");
    assert!(!isolation.checks(&known, &mut fastrand::Rng::with_seed(1)).is_empty());
    assert_eq!(isolation.note_reached(90_100), Some(1_000));
    assert_eq!(isolation.reach(), Reach::Normal);
}

fn candidates(avoided: &[usize]) -> Vec<Candidate> {
    let candidate = |index: usize| Candidate {
        addr: addr(index),
        domain: DOMAINS[index % DOMAINS.len()].into(),
        is_avoided: avoided.contains(&index),
    };
    (0..6).map(candidate).collect()
}

fn addr(index: usize) -> SocketAddr {
    ([10, 0, 0, index as u8], 80).into()
}

#[parameterized(
    own_domain_first = { &[], &[], Some(&[0, 3]) },
    another_domain_after_a_failure = { &[], &[0], Some(&[1, 2, 4, 5]) },
    not_one_that_just_failed = { &[0], &[], Some(&[3]) },
    not_too_many = { &[], &[0, 1, 2], None },
)]
fn an_instance_is_chosen(avoided: &[usize], tried: &[usize], expected: Option<&[usize]>) {
    let tried: Vec<SocketAddr> = tried.iter().copied().map(addr).collect();
    for seed in 0..50 {
        let mut random = fastrand::Rng::with_seed(seed);
        let chosen = relay::choose(&candidates(avoided), DOMAINS[0], &tried, &mut random);
        let is_expected = match (chosen, expected) {
            (Some(chosen), Some(expected)) => expected.iter().any(|index| addr(*index) == chosen),
            (chosen, expected) => chosen.is_none() && expected.is_none(),
        };
        assert!(is_expected, "{chosen:?}");
    }
}

/// The last instance of a failure domain would be overloaded by the requests of all others.
#[test]
fn few_instances_of_a_domain_do_not_get_the_requests_of_all_others() {
    let mut candidates = candidates(&[]);
    candidates.extend((6..48).map(|index| Candidate {
        addr: addr(index),
        domain: DOMAINS[1 + index % 2].into(),
        is_avoided: false,
    }));
    let mut random = fastrand::Rng::with_seed(3);
    let mut choose = || relay::choose(&candidates, DOMAINS[0], &[], &mut random);
    let near = (0..1_000).filter(|_| [Some(addr(0)), Some(addr(3))].contains(&choose())).count();
    assert!(near < 100, "{near} of 1,000");
}

#[parameterized(
    none = { 0, 9 },
    two = { 2, 7 },
    most = { 8, 9 },
    all = { 9, 9 },
)]
fn callers_are_sent_to_instances_that_are_not_cut_off(cut_off: usize, named: usize) {
    let ready: Vec<Arc<str>> = (0..9).map(|index| format!("edge-{index}").into()).collect();
    let indices: Vec<usize> = (0..ready.len()).collect();
    assert_eq!(active::not_cut_off(indices, |index| index < cut_off).len(), named);
}
