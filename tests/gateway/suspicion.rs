//! Quarantine decisions, tested with simulated time and peers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use hyper::Method;
use siskinrock::gateway::crash::{Crash, Stage};
use siskinrock::gateway::fingerprint::Fingerprint;
use siskinrock::gateway::fleet::{SoftwareVersion, Upstream};
use siskinrock::gateway::policy::coincidence::JUDGEMENT_DELAY_MS;
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
        stated_at: 0,
        is_spot: false,
        version: SoftwareVersion::Unversioned,
    }
}

fn engines() -> BTreeMap<Arc<str>, Upstream> {
    (0..ENGINES).map(engine).map(|engine| (Arc::clone(&engine.id), engine)).collect()
}

fn crash(fingerprint: Fingerprint, number: usize, stage: Stage, at_ms: u64) -> Crash {
    let request = fingerprint;
    Crash { fingerprint, part: None, request, upstream: engine(number), stage, event: 0, at_ms }
}

/// Records one crash and judges it; returns whether the request is quarantined then.
fn quarantined_after_crash(
    known: &mut Quarantine,
    fingerprint: Fingerprint,
    number: usize,
    at_ms: u64,
) -> bool {
    known.note_crash(crash(fingerprint, number, Stage::Begun, at_ms));
    known.judge_pending(&engines(), at_ms + JUDGEMENT_DELAY_MS);
    is_quarantined(known, fingerprint)
}

fn is_quarantined(known: &Quarantine, fingerprint: Fingerprint) -> bool {
    known.suspects().get(&fingerprint).is_some_and(|suspect| suspect.until_ms.is_some())
}

/// Sends everything that one instance would report to another.
fn send_reports(from: &mut Quarantine, to: &mut Quarantine, now_ms: u64) {
    for record in from.next_sync_batch(now_ms) {
        to.merge_record(record, now_ms);
    }
}

#[test]
fn the_third_crash_quarantines() {
    let mut known = Quarantine::default();
    let poison = request("poison");
    assert!(!quarantined_after_crash(&mut known, poison, 0, 1_000));
    assert!(!quarantined_after_crash(&mut known, poison, 1, 2_000));
    assert!(quarantined_after_crash(&mut known, poison, 2, 3_000));
    assert!(!is_quarantined(&known, request("other")));
}

/// An engine that ends takes all attempts there with it: a hedge or a copy there is no further
/// evidence.
#[test]
fn several_crashes_at_one_engine_count_once() {
    let mut known = Quarantine::default();
    let poison = request("poison");
    for at_ms in [1_000, 1_010, 2_000, 3_000] {
        assert!(!quarantined_after_crash(&mut known, poison, 0, at_ms));
    }
}

/// Crashes of attempts through different instances add up, in whichever order they are reported.
#[test]
fn crashes_add_up_over_instances() {
    let mut instances: Vec<Quarantine> = (0..3).map(|_| Quarantine::default()).collect();
    let poison = request("poison");
    for (number, instance) in instances.iter_mut().enumerate() {
        assert!(!quarantined_after_crash(instance, poison, number, 1_000 * (number as u64 + 1)));
    }
    let [first, second, third] = &mut instances[..] else { unreachable!() };
    send_reports(first, second, 5_000);
    assert!(!is_quarantined(second, poison));
    send_reports(second, third, 5_010);
    assert!(is_quarantined(third, poison));
    send_reports(third, first, 5_020);
    assert!(is_quarantined(first, poison));
}

/// Engines that end together have a common cause, such as a power failure of a domain or a fault of
/// the whole service.
#[parameterized(
    a_domain = { (0..ENGINES).step_by(DOMAINS.len()).collect() },
    half_of_all = { (0..ENGINES / 2 + 1).collect() },
)]
fn crashes_with_a_common_cause_do_not_count(ended: Vec<usize>) {
    let mut known = Quarantine::default();
    let unlucky = request("unlucky");
    for loss in 0..6 {
        let at_ms = 10_000 * (loss + 1);
        for (order, number) in ended.iter().enumerate() {
            known.note_end(&engine(*number), at_ms + 20 * order as u64);
        }
        let number = ended[loss as usize % ended.len()];
        known.note_crash(crash(unlucky, number, Stage::Begun, at_ms));
        let judged = known.judge_pending(&engines(), at_ms + JUDGEMENT_DELAY_MS);
        assert_eq!(judged[0].1, Judgement::Coincident);
    }
    assert!(known.suspects().is_empty());
}

/// Engines that end one after another under the same request are no common cause, however quickly
/// they end.
#[test]
fn engines_ended_by_the_same_request_are_no_common_cause() {
    let mut known = Quarantine::default();
    let poison = request("poison");
    for number in 0..6 {
        known.note_crash(crash(poison, number, Stage::Begun, 1_000 + 50 * number as u64));
    }
    known.judge_pending(&engines(), 2_000);
    assert!(is_quarantined(&known, poison));
}

/// A request is sent through many instances at the same moment, and each sees one engine end.
/// Without reports from the others this would look like a fault of the whole service.
#[test]
fn a_request_sent_to_all_instances_at_once_is_no_common_cause() {
    const INSTANCES: usize = 14;
    let mut instances: Vec<Quarantine> = (0..INSTANCES).map(|_| Quarantine::default()).collect();
    let poison = request("poison");
    let mut early_crashes = Vec::new();
    for (number, instance) in instances.iter_mut().enumerate() {
        instance.note_crash(crash(poison, number, Stage::Begun, 1_000));
        early_crashes.extend(instance.take_early_crashes());
    }
    let all = engines();
    for instance in &mut instances {
        for early in &early_crashes {
            instance.note_early_crash(&all[&early.upstream], early.fingerprint, 1_100);
        }
        let judged = instance.judge_pending(&all, 1_000 + JUDGEMENT_DELAY_MS);
        assert_eq!(judged[0].1, Judgement::Counted);
    }
    let (first, others) = instances.split_first_mut().unwrap();
    others.iter_mut().for_each(|other| send_reports(other, first, 2_000));
    assert!(is_quarantined(first, poison));
}

/// A crash counts half as much against a request that only waited at the engine, since another
/// request may have caused it.
#[test]
fn a_waiting_request_needs_twice_as_many_crashes() {
    let mut known = Quarantine::default();
    let waiting = request("waiting");
    for number in 0..5 {
        let at_ms = 1_000 * (number as u64 + 1);
        known.note_crash(crash(waiting, number, Stage::Waiting, at_ms));
        known.judge_pending(&engines(), at_ms + JUDGEMENT_DELAY_MS);
        assert!(!is_quarantined(&known, waiting));
    }
    known.note_crash(crash(waiting, 5, Stage::Waiting, 9_000));
    known.judge_pending(&engines(), 9_000 + JUDGEMENT_DELAY_MS);
    assert!(is_quarantined(&known, waiting), "crashes while the prompt is read count as well");
}

#[parameterized(
    waiting = { None, 0, Some(Stage::Waiting) },
    no_event = { Some(2_000), 0, Some(Stage::Begun) },
    few_events = { Some(2_000), 3, Some(Stage::Begun) },
    many_at_once = { Some(100), 9, Some(Stage::Begun) },
    ran_for_a_while = { Some(2_000), 4, None },
)]
fn the_stage_of_a_lost_stream(answered_ms: Option<u64>, events: u64, expected: Option<Stage>) {
    assert_eq!(quarantine::stage_of_stream(answered_ms, events), expected);
}

/// A request that lost engines and is served afterwards has its crashes cleared, also at the other
/// instances.
#[parameterized(
    complete = { None },
    far_beyond = { Some(20) },
)]
fn a_served_request_is_cleared_at_all_instances(event: Option<u64>) {
    let mut here = Quarantine::default();
    let mut there = Quarantine::default();
    let unlucky = request("unlucky");
    quarantined_after_crash(&mut here, unlucky, 0, 1_000);
    quarantined_after_crash(&mut here, unlucky, 1, 2_000);
    send_reports(&mut here, &mut there, 2_500);
    here.clear_served(unlucky, event, 3_000);
    // Later reports of the old crashes from the other instance are ignored.
    send_reports(&mut there, &mut here, 3_010);
    assert!(here.suspects().is_empty());
    send_reports(&mut here, &mut there, 3_020);
    assert!(there.suspects().is_empty());
    assert!(!quarantined_after_crash(&mut there, unlucky, 2, 4_000));
}

/// A run that crashes engines far into its answer gets equally far each time.
#[test]
fn a_run_that_gets_no_further_than_before_is_not_cleared() {
    let mut known = Quarantine::default();
    let poison = request("poison");
    let at = |number, at_ms| Crash { event: 100, ..crash(poison, number, Stage::Begun, at_ms) };
    known.note_crash(at(0, 1_000));
    known.judge_pending(&engines(), 1_000 + JUDGEMENT_DELAY_MS);
    known.clear_served(poison, Some(100), 2_000);
    assert_eq!(known.suspects()[&poison].crashes, 1);
}

#[test]
fn a_quarantine_expires() {
    let mut known = Quarantine::default();
    let poison = request("poison");
    for number in 0..3 {
        quarantined_after_crash(&mut known, poison, number, 1_000);
    }
    let until_ms = known.suspects()[&poison].until_ms.unwrap();
    known.forget(until_ms - 1);
    assert!(is_quarantined(&known, poison));
    known.forget(until_ms);
    assert!(known.is_empty());
}

/// Two instances that keep reporting to each other do not extend a quarantine.
#[test]
fn repeated_reports_do_not_extend_a_quarantine() {
    let mut here = Quarantine::default();
    let mut there = Quarantine::default();
    let poison = request("poison");
    for number in 0..3 {
        quarantined_after_crash(&mut here, poison, number, 1_000);
    }
    let until_ms = here.suspects()[&poison].until_ms.unwrap();
    for round in 0..500 {
        let now_ms = 2_000 + 350 * round;
        // Each message takes 100 ms.
        let batch = here.next_sync_batch(now_ms);
        for record in batch {
            there.merge_record(record, now_ms + 100);
        }
        let batch = there.next_sync_batch(now_ms + 200);
        for record in batch {
            here.merge_record(record, now_ms + 300);
        }
    }
    assert_eq!(here.suspects()[&poison].until_ms, Some(until_ms));
    assert!(there.suspects()[&poison].until_ms.unwrap() <= until_ms + 100);
}

#[test]
fn an_operator_lifts_a_quarantine_at_all_instances() {
    let mut here = Quarantine::default();
    let mut there = Quarantine::default();
    let poison = request("poison");
    for number in 0..3 {
        quarantined_after_crash(&mut here, poison, number, 1_000);
    }
    send_reports(&mut here, &mut there, 2_000);
    assert!(there.lift(poison, 2_100));
    assert!(!there.lift(request("other"), 2_100));
    send_reports(&mut there, &mut here, 2_200);
    assert!(!is_quarantined(&here, poison) && !is_quarantined(&there, poison));
}

/// Memory and messages stay bounded whatever callers send, and a quarantined request is not
/// evicted.
#[test]
fn memory_stays_bounded_under_a_flood_of_crashes() {
    const MAX_RECORDS: usize = 512;
    let mut known = Quarantine::default();
    let poison = request("poison");
    for number in 0..3 {
        quarantined_after_crash(&mut known, poison, number, 1_000);
    }
    for index in 0..3_000 {
        let fingerprint = request(&format!("flood-{index}"));
        quarantined_after_crash(
            &mut known,
            fingerprint,
            index % ENGINES,
            2_000 + index as u64 * 1_000,
        );
    }
    assert!(known.suspects().len() <= MAX_RECORDS);
    assert!(is_quarantined(&known, poison));
    let batch = known.next_sync_batch(4_000_000);
    assert!(batch.len() <= 16 && rmp_serde::to_vec(&batch).unwrap().len() < 4_096);
}

/// A fingerprint is parsed back from its text unchanged.
#[test]
fn a_fingerprint_is_parsed_from_its_text() {
    let fingerprint = request("any");
    assert_eq!(Fingerprint::parse(&fingerprint.to_string()), Some(fingerprint));
    assert_eq!(Fingerprint::parse("no fingerprint"), None);
}

/// The fingerprint includes the organisation and the boundaries between the parts of a request.
#[test]
fn different_requests_have_different_fingerprints() {
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
