//! Which requests are quarantined, by the pure bookkeeping: time and peers belong to the test.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use siskinrock::gateway::crash::{Crash, Stage};
use siskinrock::gateway::fingerprint::Fingerprint;
use siskinrock::gateway::fleet::Upstream;
use siskinrock::gateway::policy::coincidence::SETTLE_MS;
use siskinrock::gateway::policy::quarantine::{self, Judgement, Quarantine};
use yare::parameterized;

const DOMAINS: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const ENGINES: usize = 24;

fn request(name: &str) -> Fingerprint {
    Fingerprint::of(&Method::POST, "host", name, None, &Bytes::new())
}

fn engine(number: usize) -> Upstream {
    Upstream {
        id: Arc::from(format!("engine-{number}")),
        service: Arc::from("plan"),
        addr: SocketAddr::from(([10, 0, 0, number as u8], 80)),
        domain: Arc::from(DOMAINS[number % DOMAINS.len()]),
        is_leaving: false,
        born_ms: None,
        listed_at: 0,
        is_spot: false,
    }
}

fn engines() -> BTreeMap<Arc<str>, Upstream> {
    (0..ENGINES).map(engine).map(|engine| (Arc::clone(&engine.id), engine)).collect()
}

fn crash(fingerprint: Fingerprint, number: usize, stage: Stage, at_ms: u64) -> Crash {
    Crash { fingerprint, upstream: engine(number), stage, event: 0, at_ms }
}

/// One crash, judged; whether the request is quarantined after it.
fn crashes(known: &mut Quarantine, fingerprint: Fingerprint, number: usize, at_ms: u64) -> bool {
    known.note_crash(crash(fingerprint, number, Stage::Begun, at_ms));
    known.settle(&engines(), at_ms + SETTLE_MS);
    is_quarantined(known, fingerprint)
}

fn is_quarantined(known: &Quarantine, fingerprint: Fingerprint) -> bool {
    known.suspects().get(&fingerprint).is_some_and(|suspect| suspect.until_ms.is_some())
}

/// Tells everything that one knows to another.
fn tell(from: &mut Quarantine, to: &mut Quarantine, now_ms: u64) {
    for told in from.next_part(now_ms) {
        to.hear(told, now_ms);
    }
}

#[test]
fn the_third_crash_quarantines() {
    let mut known = Quarantine::default();
    let poison = request("poison");
    assert!(!crashes(&mut known, poison, 0, 1_000));
    assert!(!crashes(&mut known, poison, 1, 2_000));
    assert!(crashes(&mut known, poison, 2, 3_000));
    assert!(!is_quarantined(&known, request("other")));
}

/// One engine that ends takes all attempts there with it: a hedge and a copy are no second proof.
#[test]
fn one_engine_counts_once() {
    let mut known = Quarantine::default();
    let poison = request("poison");
    for at_ms in [1_000, 1_010, 2_000, 3_000] {
        assert!(!crashes(&mut known, poison, 0, at_ms));
    }
}

/// The crashes of attempts through different instances add up, whoever tells whom.
#[test]
fn crashes_add_up_over_instances() {
    let mut instances: Vec<Quarantine> = (0..3).map(|_| Quarantine::default()).collect();
    let poison = request("poison");
    for (number, instance) in instances.iter_mut().enumerate() {
        assert!(!crashes(instance, poison, number, 1_000 * (number as u64 + 1)));
    }
    let [first, second, third] = &mut instances[..] else { unreachable!() };
    tell(first, second, 5_000);
    assert!(!is_quarantined(second, poison));
    tell(second, third, 5_010);
    assert!(is_quarantined(third, poison));
    tell(third, first, 5_020);
    assert!(is_quarantined(first, poison));
}

/// Engines that end together have a common cause: a domain without power, or the whole service.
#[parameterized(
    a_domain = { (0..ENGINES).step_by(DOMAINS.len()).collect() },
    half_of_all = { (0..ENGINES / 2 + 1).collect() },
)]
fn a_request_that_loses_engines_with_others_is_not_to_blame(ended: Vec<usize>) {
    let mut known = Quarantine::default();
    let unlucky = request("unlucky");
    for loss in 0..6 {
        let at_ms = 10_000 * (loss + 1);
        for (order, number) in ended.iter().enumerate() {
            known.note_end(&engine(*number), at_ms + 20 * order as u64);
        }
        let number = ended[loss as usize % ended.len()];
        known.note_crash(crash(unlucky, number, Stage::Begun, at_ms));
        let judged = known.settle(&engines(), at_ms + SETTLE_MS);
        assert_eq!(judged[0].1, Judgement::Coincident);
    }
    assert!(known.suspects().is_empty());
}

/// A request that ends engine after engine is no common cause for itself, however quick it is.
#[test]
fn engines_that_ended_under_the_same_request_are_no_excuse() {
    let mut known = Quarantine::default();
    let poison = request("poison");
    for number in 0..6 {
        known.note_crash(crash(poison, number, Stage::Begun, 1_000 + 50 * number as u64));
    }
    known.settle(&engines(), 2_000);
    assert!(is_quarantined(&known, poison));
}

/// It is sent through many instances in the same moment, and each sees one engine end: without a word from
/// the others, that would look like a fault of the whole service.
#[test]
fn a_request_that_comes_to_all_instances_at_once_is_no_common_cause() {
    const INSTANCES: usize = 14;
    let mut instances: Vec<Quarantine> = (0..INSTANCES).map(|_| Quarantine::default()).collect();
    let poison = request("poison");
    let mut ends = Vec::new();
    for (number, instance) in instances.iter_mut().enumerate() {
        instance.note_crash(crash(poison, number, Stage::Begun, 1_000));
        ends.extend(instance.take_ends());
    }
    let all = engines();
    for instance in &mut instances {
        for end in &ends {
            instance.hear_end(&all[&end.upstream], end.fingerprint, 1_100);
        }
        let judged = instance.settle(&all, 1_000 + SETTLE_MS);
        assert_eq!(judged[0].1, Judgement::Counted);
    }
    let (first, others) = instances.split_first_mut().unwrap();
    others.iter_mut().for_each(|other| tell(other, first, 2_000));
    assert!(is_quarantined(first, poison));
}

/// Requests that waited at an engine that another one ended are held to it far less.
#[test]
fn a_request_that_only_waited_needs_twice_as_many_crashes() {
    let mut known = Quarantine::default();
    let waiting = request("waiting");
    for number in 0..5 {
        let at_ms = 1_000 * (number as u64 + 1);
        known.note_crash(crash(waiting, number, Stage::Waiting, at_ms));
        known.settle(&engines(), at_ms + SETTLE_MS);
        assert!(!is_quarantined(&known, waiting));
    }
    known.note_crash(crash(waiting, 5, Stage::Waiting, 9_000));
    known.settle(&engines(), 9_000 + SETTLE_MS);
    assert!(is_quarantined(&known, waiting), "one that ends engines while they read its prompt");
}

#[parameterized(
    waiting = { None, 0, Some(Stage::Waiting) },
    no_event = { Some(2_000), 0, Some(Stage::Begun) },
    few_events = { Some(2_000), 3, Some(Stage::Begun) },
    many_at_once = { Some(100), 9, Some(Stage::Begun) },
    ran_for_a_while = { Some(2_000), 4, None },
)]
fn a_run_has_just_begun(answered_ms: Option<u64>, events: u64, expected: Option<Stage>) {
    assert_eq!(quarantine::stage_of_stream(answered_ms, events), expected);
}

/// Whoever lost engines and is served then starts anew; the others hear of it.
#[parameterized(
    complete = { None },
    far_beyond = { Some(20) },
)]
fn what_is_served_is_cleared_everywhere(event: Option<u64>) {
    let mut here = Quarantine::default();
    let mut there = Quarantine::default();
    let unlucky = request("unlucky");
    crashes(&mut here, unlucky, 0, 1_000);
    crashes(&mut here, unlucky, 1, 2_000);
    tell(&mut here, &mut there, 2_500);
    here.clear_served(unlucky, event, 3_000);
    // What the other one still tells of the crashes is void.
    tell(&mut there, &mut here, 3_010);
    assert!(here.suspects().is_empty());
    tell(&mut here, &mut there, 3_020);
    assert!(there.suspects().is_empty());
    assert!(!crashes(&mut there, unlucky, 2, 4_000));
}

/// A run that crashes engines far into its answer gets as far each time.
#[test]
fn a_run_that_only_gets_as_far_as_before_is_not_cleared() {
    let mut known = Quarantine::default();
    let poison = request("poison");
    let at = |number, at_ms| Crash { event: 100, ..crash(poison, number, Stage::Begun, at_ms) };
    known.note_crash(at(0, 1_000));
    known.settle(&engines(), 1_000 + SETTLE_MS);
    known.clear_served(poison, Some(100), 2_000);
    assert_eq!(known.suspects()[&poison].crashes, 1);
}

#[test]
fn a_quarantine_ends_after_its_time_and_is_forgotten() {
    let mut known = Quarantine::default();
    let poison = request("poison");
    for number in 0..3 {
        crashes(&mut known, poison, number, 1_000);
    }
    let until_ms = known.suspects()[&poison].until_ms.unwrap();
    known.forget(until_ms - 1);
    assert!(is_quarantined(&known, poison));
    known.forget(until_ms);
    assert!(known.is_empty());
}

/// Two instances that tell each other on and on don't make a quarantine last longer.
#[test]
fn telling_makes_no_quarantine_longer() {
    let mut here = Quarantine::default();
    let mut there = Quarantine::default();
    let poison = request("poison");
    for number in 0..3 {
        crashes(&mut here, poison, number, 1_000);
    }
    let until_ms = here.suspects()[&poison].until_ms.unwrap();
    for round in 0..500 {
        let now_ms = 2_000 + 350 * round;
        // Each message takes 100 ms.
        let told = here.next_part(now_ms);
        for told in told {
            there.hear(told, now_ms + 100);
        }
        let told = there.next_part(now_ms + 200);
        for told in told {
            here.hear(told, now_ms + 300);
        }
    }
    assert_eq!(here.suspects()[&poison].until_ms, Some(until_ms));
    assert!(there.suspects()[&poison].until_ms.unwrap() <= until_ms + 100);
}

#[test]
fn an_operator_lifts_a_quarantine_for_all() {
    let mut here = Quarantine::default();
    let mut there = Quarantine::default();
    let poison = request("poison");
    for number in 0..3 {
        crashes(&mut here, poison, number, 1_000);
    }
    tell(&mut here, &mut there, 2_000);
    assert!(there.lift(poison, 2_100));
    assert!(!there.lift(request("other"), 2_100));
    tell(&mut there, &mut here, 2_200);
    assert!(!is_quarantined(&here, poison) && !is_quarantined(&there, poison));
}

/// Whatever callers send, memory and messages stay bounded, and a quarantine is not crowded out.
#[test]
fn a_flood_of_crashes_stays_bounded() {
    const MOST: usize = 512;
    let mut known = Quarantine::default();
    let poison = request("poison");
    for number in 0..3 {
        crashes(&mut known, poison, number, 1_000);
    }
    for index in 0..3_000 {
        let fingerprint = request(&format!("flood-{index}"));
        crashes(&mut known, fingerprint, index % ENGINES, 2_000 + index as u64 * 1_000);
    }
    assert!(known.suspects().len() <= MOST);
    assert!(is_quarantined(&known, poison));
    let told = known.next_part(4_000_000);
    assert!(told.len() <= 16 && rmp_serde::to_vec(&told).unwrap().len() < 4_096);
}

/// What is told is read again as it was.
#[test]
fn a_fingerprint_is_read_as_it_is_written() {
    let fingerprint = request("any");
    assert_eq!(Fingerprint::parse(&fingerprint.to_string()), Some(fingerprint));
    assert_eq!(Fingerprint::parse("no fingerprint"), None);
}

/// Who asks and where each part ends are a part of what a request is.
#[test]
fn requests_of_others_are_others() {
    let of = |target: &str, organisation: Option<&str>, body: &'static [u8]| {
        let organisation = organisation.map(Arc::from);
        let body = Bytes::from_static(body);
        Fingerprint::of(&Method::POST, "host", target, organisation.as_ref(), &body)
    };
    let all = [
        of("/a", Some("north"), b"body"),
        of("/a", Some("south"), b"body"),
        of("/a", None, b"body"),
        of("/ab", Some("north"), b"ody"),
        of("/a", Some("northb"), b"ody"),
    ];
    let different: std::collections::BTreeSet<_> = all.iter().collect();
    assert_eq!(different.len(), all.len());
}
