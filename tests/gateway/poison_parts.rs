//! A part of prompts that crashes each engine that begins to answer it is kept from all upstreams,
//! whatever else a request holds; requests that share its other parts are served.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use siskinrock_fakes::caller::{self, Call};
use siskinrock_fakes::engine::{CrashPoint, EngineFake, shared_parts_of};
use siskinrock_fakes::process::Process;
use siskinrock_fakes::site::Site;
use siskinrock_fakes::store::Store;
use yare::parameterized;

use crate::support::{self, Running, plan, siskinrock};

/// The part that crashes engines.
const BAD: &str = "bad0";
/// A crashed engine is back after this time.
const BACK_AFTER: Duration = Duration::from_millis(1_500);
/// How long after a change instances in touch know of it.
const CONTACT: Duration = Duration::from_secs(3);
/// Sends of such requests that are allowed from this time after the fifth crash.
const MAX_LATE_SENDS: usize = 3;

/// So many gateways in front of 24 engines that the part crashes and that come back.
struct Crashing {
    running: Running,
    is_over: Arc<AtomicBool>,
}

impl Drop for Crashing {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
    }
}

async fn start(gateways: u8, parts: &[&str], point: CrashPoint) -> Crashing {
    let site = Site::start(8, 15).await;
    for engine in &site.engines {
        parts.iter().for_each(|part| engine.crash_on_part(part, point));
    }
    let is_over = Arc::new(AtomicBool::new(false));
    for index in 0..site.engines.len() {
        let engine = site.engines[index].clone();
        let zone = site.engine_zone(index);
        tokio::spawn(bring_back(engine, zone, site.store.clone(), Arc::clone(&is_over)));
    }
    Crashing { running: support::start_site(site, gateways).await, is_over }
}

/// Starts an engine again some time after each crash, under another id.
async fn bring_back(
    engine: EngineFake,
    zone: &'static str,
    store: Store,
    is_over: Arc<AtomicBool>,
) {
    let mut known = 0;
    while !is_over.load(Ordering::SeqCst) {
        tokio::time::sleep(Duration::from_millis(20)).await;
        if engine.crashes().len() == known {
            continue;
        }
        known = engine.crashes().len();
        tokio::time::sleep(BACK_AFTER).await;
        store.remove(&format!("servers/{}", engine.current_id()));
        engine.restart(&format!("{}-{known}", engine.id)).await;
        let entry = siskinrock_fakes::site::server_entry("plan-llm", zone, "ready", engine.addr);
        store.put(&format!("servers/{}", engine.current_id()), &entry);
    }
}

/// A request with parts, no two of which are alike.
fn with_parts(parts: &[&str]) -> Call {
    let id = support::new_id();
    Call {
        body: format!("body of {id}").into_bytes(),
        shared_parts: parts.iter().map(|part| (*part).to_owned()).collect(),
        deadline_ms: 8_000,
        ..plan()
    }
}

impl Crashing {
    /// Sends a request to an instance and doesn't wait for its end.
    fn send(&self, instance: usize, sent: Call) {
        let front = self.running.front(instance % self.running.gateways.len());
        tokio::spawn(async move { caller::stream(front, &sent).await });
    }

    /// When a part ended engines, in order.
    fn crashes(&self, part: &str) -> Vec<Instant> {
        let engines = self.running.site.engines.iter();
        let all = engines.flat_map(|engine| engine.crashes());
        let mut at: Vec<Instant> =
            all.filter(|crash| crash.part == part).map(|crash| crash.at).collect();
        at.sort_unstable();
        at
    }

    /// How many requests with a part reached engines after a time.
    fn sends_after(&self, part: &str, from: Instant) -> usize {
        let seen = self.running.site.engines.iter().flat_map(|engine| engine.seen());
        let is_bad = |parts: Vec<String>| parts.iter().any(|name| name == part);
        seen.filter(|seen| seen.at > from && is_bad(shared_parts_of(&seen.request))).count()
    }

    /// Whether a sound request is served whole at an instance.
    async fn is_served(&self, instance: usize, parts: &[&str]) -> bool {
        let front = self.running.front(instance % self.running.gateways.len());
        caller::stream(front, &with_parts(parts)).await.is_ok_and(|stream| stream.is_complete)
    }

    /// Checks what holds from some seconds after a part's fifth crash on (its last, if there are fewer),
    /// while requests with it still come.
    fn assert_stopped(&self, part: &str) {
        let crashes = self.crashes(part);
        let stopped_at = crashes.get(4).or(crashes.last()).expect("the part crashed engines");
        assert!(stopped_at.elapsed() > CONTACT, "requests came for too short a time");
        let late = self.sends_after(part, *stopped_at + CONTACT);
        assert!(late <= MAX_LATE_SENDS, "{part}: {late} late sends, {} crashes", crashes.len());
    }
}

/// Requests that were all different were known by their whole content alone.
#[parameterized(
    one_instance = { 1, 1 },
    one_at_a_time = { 9, 1 },
    eight_at_once = { 9, 8 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn a_part_that_crashes_engines_is_stopped_for_all_instances(gateways: u8, at_once: usize) {
    let crashing = start(gateways, &[BAD], CrashPoint::AfterHead).await;
    let since = Instant::now();
    let mut number = 0;
    while since.elapsed() < Duration::from_secs(7) {
        for _ in 0..at_once {
            crashing.send(number, with_parts(&["cc", BAD]));
            number += 1;
        }
        crashing.send(number, with_parts(&["cc"]));
        tokio::time::sleep(Duration::from_millis(150 * at_once as u64)).await;
    }
    crashing.assert_stopped(BAD);
    let mut served = 0;
    for instance in 0..20 {
        crashing.send(instance, with_parts(&["cc", BAD]));
        served += usize::from(crashing.is_served(instance, &["cc"]).await);
    }
    assert!(served >= 10, "{served} of 20 sound requests with the same key and parts");
    crashing.assert_stopped(BAD);
}

/// Two bad parts at once, one of them rare; requests with the parts beside them are served.
#[parameterized(
    before_the_head = { CrashPoint::BeforeHead },
    after_the_head = { CrashPoint::AfterHead },
    inside_the_first_event_without_length_or_chunks = { CrashPoint::InFirstEvent },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn several_parts_are_told_apart_wherever_they_crash_engines(point: CrashPoint) {
    let crashing = start(9, &[BAD, "bad1"], point).await;
    let since = Instant::now();
    let mut number = 0;
    while since.elapsed() < Duration::from_secs(9) {
        crashing.send(number, with_parts(&["cc", BAD, "dd"]));
        if number % 3 == 0 {
            crashing.send(number + 4, with_parts(&["bad1", "cc"]));
        }
        crashing.send(number + 2, with_parts(&["cc", "dd"]));
        number += 1;
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    crashing.assert_stopped(BAD);
    crashing.assert_stopped("bad1");
    let mut served = 0;
    for instance in 0..10 {
        served += usize::from(crashing.is_served(instance, &["cc", "dd"]).await);
    }
    assert!(served >= 5, "{served} of 10 sound requests");
}

/// One stood still, one started later, and then all were lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn all_instances_learn_of_a_banned_part_and_operators_lift_it() {
    let mut crashing = start(3, &[BAD], CrashPoint::AfterHead).await;
    crashing.running.gateways[2].signal(libc::SIGSTOP);
    assert!(crashing.is_served(0, &[]).await && crashing.is_served(1, &[]).await);
    for number in 0..12 {
        crashing.send(number % 2, with_parts(&[BAD]));
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    crashing.running.gateways[2].signal(libc::SIGCONT);
    crashing.running.add(3);
    crashing.running.wait_until_ready().await;
    tokio::time::sleep(CONTACT).await;
    crashing.assert_refused_everywhere().await;
    crashing.running.gateways.iter_mut().for_each(Process::kill);
    crashing.running.gateways.iter_mut().for_each(Process::restart);
    crashing.running.wait_until_ready().await;
    tokio::time::sleep(CONTACT).await;
    crashing.assert_refused_everywhere().await;
    let metrics = format!("{}:9464", crashing.running.front(1).ip());
    let listed = siskinrock(&["quarantine", "--metrics", &metrics]).await;
    let line = listed.lines().find(|line| line.contains("part bad0 of prompts")).unwrap();
    assert!(line.contains("in quarantine for"), "{listed}");
    let fingerprint = line.split(' ').next().unwrap();
    let lifted = siskinrock(&["quarantine", "lift", fingerprint, "--metrics", &metrics]).await;
    assert!(lifted.contains("lifted"), "{lifted}");
    tokio::time::sleep(CONTACT).await;
    let before = crashing.crashes(BAD).len();
    let _ = caller::stream(crashing.running.front(0), &with_parts(&[BAD])).await;
    assert!(crashing.crashes(BAD).len() > before, "it is served again, and not mended");
}

/// A sound part that was met in the same crashes was banned with the bad one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_that_is_met_only_beside_the_bad_one_is_told_from_it() {
    let crashing = start(3, &[BAD], CrashPoint::AfterHead).await;
    for number in 0..8 {
        crashing.send(number, with_parts(&["beside", BAD]));
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    crashing.assert_refused_everywhere_with(&["beside", BAD]).await;
    assert!(crashing.is_served(0, &["beside"]).await);
    tokio::time::sleep(Duration::from_secs(1)).await;
    crashing.assert_refused_everywhere_with(&[BAD]).await;
    for instance in 0..3 {
        assert!(crashing.is_served(instance, &["beside"]).await);
    }
}

/// One request may crash engines by its body, with all its parts sound.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_request_that_crashes_engines_by_its_body_bans_no_part() {
    let crashing = start(3, &[], CrashPoint::AfterHead).await;
    let poison = Call { body: b"poison".to_vec(), ..with_parts(&["rare"]) };
    crashing.running.site.engines.iter().for_each(|engine| engine.crash_on(b"poison"));
    for instance in 0..6 {
        let again = Call { id: support::new_id(), ..poison.clone() };
        let _ = caller::stream(crashing.running.front(instance % 3), &again).await;
    }
    for instance in 0..3 {
        assert!(crashing.is_served(instance, &["rare"]).await);
    }
}

impl Crashing {
    /// Requests with the part are refused at once by each instance, truly and with the time to the end.
    async fn assert_refused_everywhere(&self) {
        self.assert_refused_everywhere_with(&["cc", BAD]).await;
    }

    async fn assert_refused_everywhere_with(&self, parts: &[&str]) {
        for gateway in &self.running.gateways {
            let sent = with_parts(parts);
            let since = Instant::now();
            let answer = caller::send(gateway.front, &sent).await.unwrap();
            assert!(since.elapsed() < Duration::from_millis(100), "{:?}", since.elapsed());
            assert_eq!(answer.status(), 503, "it has not run");
            let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
            assert!(after > 60.0, "Retry-After lasts until the ban ends: {after}");
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(body.contains("a part of the prompt ("), "{body}");
            assert_eq!(self.running.runs_of(&sent.id), 0);
        }
    }
}
