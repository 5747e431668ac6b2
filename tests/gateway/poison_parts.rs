//! A part of prompts that crashes each engine that begins to answer it is kept from all upstreams,
//! whatever else a request holds; requests that share its other parts are served.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use siskinrock_fakes::caller::{self, Call};
use siskinrock_fakes::engine::{CrashPoint, EngineFake, shared_parts_of};
use siskinrock_fakes::site::Site;
use siskinrock_fakes::store::Store;

use crate::support::{self, Running, plan};

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

    fn crashes(&self) -> Vec<Instant> {
        let engines = self.running.site.engines.iter();
        let mut crashes: Vec<Instant> = engines.flat_map(|engine| engine.crashes()).collect();
        crashes.sort_unstable();
        crashes
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

    /// Checks what holds from some seconds after the fifth crash on, while such requests still come.
    async fn assert_stopped(&self, part: &str) {
        let crashes = self.crashes();
        assert!(crashes.len() >= 5, "{} crashes", crashes.len());
        let late = self.sends_after(part, crashes[4] + CONTACT);
        assert!(late <= MAX_LATE_SENDS, "{late} late sends, {} crashes", crashes.len());
    }
}

/// Guards against a part that crashed one engine after the other under requests that were all
/// different, each of them known by its whole content alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_part_that_crashes_engines_is_stopped_for_all_instances() {
    let at_once = 1;
    let crashing = start(9, &[BAD], CrashPoint::AfterHead).await;
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
    crashing.assert_stopped(BAD).await;
    let mut served = 0;
    for instance in 0..20 {
        crashing.send(instance, with_parts(&["cc", BAD]));
        served += usize::from(crashing.is_served(instance, &["cc"]).await);
    }
    assert!(served >= 10, "{served} of 20 sound requests with the same key and parts");
    crashing.assert_stopped(BAD).await;
}
