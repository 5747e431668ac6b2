//! A site behind proxies with gateways as processes, and the beginning and end of each fault on it.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::ExitStatus;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use serde_json::{Value, json};
use siskinrock_fakes::http::Message;
use siskinrock_fakes::links::Cut;
use siskinrock_fakes::process::{GRACE, Process, wait_for};
use siskinrock_fakes::proxy::{Harm, Proxy};
use siskinrock_fakes::service::PieceCrash;
use siskinrock_fakes::site::{self, KEY, Limits, Place, SECOND_KEY, Site};
use siskinrock_fakes::{engine, service, store};
use tokio::time::Instant;

use crate::checks::{Outcome, Run};
use crate::faults::Fault;
use crate::history::{History, Span, Target};
use crate::odd::Without;
use crate::processes::Most;
use crate::signals::Start;
use crate::works::Works;
use crate::{memory, processes};

/// The pause between two looks whether a gateway has ended.
const LOOK: Duration = Duration::from_millis(25);
/// A planned stop that takes longer has failed: the grace, and as much again for a gateway that
/// stood still before.
const STOP_LIMIT: Duration = Duration::from_secs(2 * GRACE.as_secs());
/// Connections to a service for each gateway, enough for the calls that meet by chance.
const CONNECTIONS_A_GATEWAY: usize = 8;
/// The time that a fake engine takes for an event.
const STEP_MS: u64 = 20;
/// How long the store is away before it comes back from a copy.
const STORE_AWAY: Duration = Duration::from_millis(400);
/// How long after its return what it lost is written again.
const WRITTEN_AGAIN: Duration = Duration::from_millis(600);
/// The software versions of engines; with odd seeds, all run the first.
const VERSIONS: [&str; 2] = ["v1", "v1.1"];
/// How many pieces of its answer a service writes before it crashes.
const CRASH_AFTER_PIECES: usize = 2;
/// What all seeds of a run share.
#[derive(Debug, Clone)]
pub struct Setup {
    /// The binary of the gateways.
    pub binary: PathBuf,
    /// How long faults are injected.
    pub length: Duration,
    /// How many gateways there are.
    pub gateways: u8,
    /// Engines in each zone.
    pub engines_a_zone: usize,
    /// What the machine of each gateway has, if the settings say it.
    pub machine: Option<Limits>,
    /// The pause between two requests of a caller.
    pub pause: Duration,
    /// The kinds of odd entries that don't come.
    pub without: Without,
}

/// A running site and what has happened on it.
pub struct World {
    pub(crate) site: Site,
    engine_links: Vec<Proxy>,
    store_link: Proxy,
    gateways: Mutex<Vec<Process>>,
    /// Where callers reach each gateway.
    pub fronts: Vec<SocketAddr>,
    place: Place,
    /// The pause between two requests of a caller.
    pub pause: Duration,
    /// Gateways that reach no upstream.
    cut: Mutex<BTreeSet<usize>>,
    /// Odd entries that stay until the round is over.
    odd_keys: Mutex<Vec<String>>,
    /// Whether the second key is in force.
    has_second_key: AtomicBool,
    /// Copies from which the store is to come back.
    copies: Mutex<Vec<store::Copy>>,
    /// Gateways that were told to stop and have not been started again, once for each order.
    stopping: Mutex<Vec<usize>>,
    /// When gateways were started again.
    pub(crate) starts: Mutex<Vec<Start>>,
    pub(crate) history: Mutex<History>,
    /// What broke besides what callers saw.
    broken: Mutex<Vec<String>>,
    pub(crate) most_kb: AtomicU64,
    /// The most that one gateway took.
    most: Mutex<Most>,
    /// The latest that the soak itself came to look at the processes.
    late: Mutex<Duration>,
    pub(crate) outcomes: Mutex<Vec<Outcome>>,
    next_id: AtomicU64,
    version: AtomicU64,
    pub(crate) is_calm: AtomicBool,
    pub(crate) is_over: AtomicBool,
}

/// The entry of an engine, which is reached through a link.
fn engine_entry(site: &Site, index: usize, link: &Proxy, state: &str) -> Value {
    let mut entry = site::server_entry("plan-llm", site.engine_zone(index), state, link.addr);
    entry["version"] = json!(site.engines[index].version());
    entry
}

/// Starts a site and its gateways, and waits until they are ready.
pub async fn start(setup: &Setup, seed: u64, folder: &Path) -> World {
    let count = setup.gateways;
    let site = Site::start(setup.engines_a_zone, STEP_MS).await;
    site.store.put("op/config", &config_for(usize::from(count), 3, true, &[]));
    let mut engine_links = Vec::new();
    for (index, engine) in site.engines.iter().enumerate() {
        let link = Proxy::start(engine.addr).await;
        let versions = if seed.is_multiple_of(2) { &VERSIONS[..] } else { &VERSIONS[..1] };
        engine.set_version(versions[index % versions.len()]);
        engine.name_versions();
        site.store
            .put(&format!("servers/{}", engine.id), &engine_entry(&site, index, &link, "ready"));
        engine_links.push(link);
    }
    // Copies name the address that is listed, so fakes have to know each other by it.
    for engine in &site.engines {
        let listed = site.engines.iter().zip(&engine_links);
        engine.meet(&listed.map(|(other, link)| other.at(link.addr)).collect::<Vec<_>>());
    }
    let store_link = Proxy::start(site.store.addr).await;
    let run = (std::process::id() % 100) as u8;
    let network = [127, 101 + run, (seed % 256) as u8];
    let place = Place { network, base_port: 20_000, limits: setup.machine };
    let gateways: Vec<Process> = (0..count)
        .map(|number| {
            let store = store_link.addr;
            let mut process = Process::new(&setup.binary, folder, number, place, store, &[0, 1, 2]);
            // The others write to files.
            if number % 2 == 1 {
                process.pipe_output();
            }
            process.restart();
            process
        })
        .collect();
    for gateway in &gateways {
        wait_for("a gateway is ready", async || gateway.is_ready().await).await;
    }
    let fronts = gateways.iter().map(|gateway| gateway.front).collect();
    World {
        site,
        engine_links,
        store_link,
        fronts,
        place,
        pause: setup.pause,
        cut: Mutex::default(),
        odd_keys: Mutex::default(),
        has_second_key: AtomicBool::new(true),
        copies: Mutex::default(),
        gateways: Mutex::new(gateways),
        stopping: Mutex::default(),
        starts: Mutex::default(),
        history: Mutex::default(),
        broken: Mutex::default(),
        most_kb: AtomicU64::new(0),
        most: Mutex::default(),
        late: Mutex::default(),
        outcomes: Mutex::default(),
        next_id: AtomicU64::new(1),
        version: AtomicU64::new(10),
        is_calm: AtomicBool::new(false),
        is_over: AtomicBool::new(false),
    }
}

/// A configuration under which each gateway's share of a service's connections serves its callers.
fn config_for(gateways: usize, version: u64, has_second_key: bool, more: &[&str]) -> Value {
    let keys = [KEY, SECOND_KEY];
    let keys = if has_second_key { &keys[..] } else { &keys[..1] };
    let mut config = site::config(version, keys, more);
    for service in config["backends"].as_array_mut().into_iter().flatten() {
        let least = (gateways * CONNECTIONS_A_GATEWAY) as u64;
        let most = service["max-connections"].as_u64().unwrap_or_default().max(least);
        service["max-connections"] = json!(most);
    }
    config
}

impl World {
    /// Notes that a gateway was started again.
    pub(crate) fn note_start(&self, gateway: &Process) {
        let start = Start { source: IpAddr::V4(self.place.ip(gateway.number)), at: Instant::now() };
        self.starts.lock().expect("no holder panics").push(start);
    }

    /// Begins a fault; returns the process that it told to stop, if it was one and ran.
    pub(crate) fn begin(&self, fault: Fault) -> Option<u32> {
        let mut gateways = self.gateways();
        match fault {
            Fault::Kill(index) => processes::kill(self, &mut gateways[index]),
            Fault::KillAll => {
                gateways.iter_mut().for_each(|gateway| processes::kill(self, gateway));
            }
            Fault::Stop(index) => {
                gateways[index].signal(libc::SIGTERM);
                self.stopping.lock().expect("no holder panics").push(index);
                return gateways[index].pid();
            }
            Fault::Pause(index) => gateways[index].signal(libc::SIGSTOP),
            Fault::Reload(index) => gateways[index].signal(libc::SIGHUP),
            Fault::EngineLink(index, harm) => self.engine_links[index].set(harm),
            Fault::StoreLink(harm) => self.store_link.set(harm),
            Fault::Engine(index, fault) => self.site.engines[index].fail(fault),
            Fault::Zone(zone, fault) => self.fail_zone(zone, fault),
            Fault::Crash(zone) => self.fail_zone(zone, engine::Fault::Torn),
            Fault::Service(index, fault) => self.site.services[index].fail(fault),
            Fault::CrashInAnswer(index) => {
                self.site.services[index].fail(service::Fault::Unframed);
                self.site.services[index].crash_after_pieces(CRASH_AFTER_PIECES, PieceCrash::Gone);
            }
            Fault::Store(fault) => self.site.store.fail(fault),
            Fault::Forget => self.site.store.forget_history(),
            Fault::Configure => self.configure(),
            Fault::Leave(index) => self.list(index, "draining"),
            Fault::Restore => {
                let copy = self.site.store.copy();
                self.copies.lock().expect("no holder panics").push(copy);
            }
            Fault::CutOff(cutoff, how) => {
                let all = gateways.len();
                drop(gateways);
                self.cut_off(|cut| cut.extend(cutoff.gateways(all)), how);
            }
        }
        None
    }

    pub(crate) async fn end(&self, fault: Fault, old: Option<u32>) {
        match fault {
            Fault::Kill(index) => self.restart(index, None).await,
            Fault::Stop(index) => {
                self.restart(index, old).await;
                self.forget_stop(index);
            }
            Fault::KillAll => {
                for index in 0..self.fronts.len() {
                    self.restart(index, None).await;
                }
            }
            Fault::Pause(index) => {
                self.gateways()[index].signal(libc::SIGCONT);
            }
            Fault::EngineLink(index, _) => self.engine_links[index].set(Harm::None),
            Fault::StoreLink(_) => self.store_link.set(Harm::None),
            Fault::Engine(index, _) => self.site.engines[index].fail(engine::Fault::None),
            Fault::Zone(zone, _) => self.fail_zone(zone, engine::Fault::None),
            Fault::Crash(zone) => self.bring_back(zone),
            Fault::Service(index, _) => self.site.services[index].fail(service::Fault::None),
            Fault::CrashInAnswer(index) => self.bring_back_service(index).await,
            Fault::Store(_) => self.site.store.fail(store::Fault::None),
            Fault::Leave(index) => self.list(index, "ready"),
            Fault::Restore => self.restore_store().await,
            Fault::CutOff(cutoff, how) => {
                let joined = cutoff.gateways(self.fronts.len());
                self.cut_off(|cut| cut.retain(|index| !joined.contains(index)), how);
            }
            Fault::Reload(_) | Fault::Forget | Fault::Configure => {}
        }
    }

    /// Changes which gateways are cut off from all upstreams.
    fn cut_off(&self, change: impl FnOnce(&mut BTreeSet<usize>), how: Cut) {
        let mut cut = self.cut.lock().expect("no holder panics");
        change(&mut cut);
        let sources: Vec<Ipv4Addr> = cut.iter().map(|index| self.place.ip(*index as u8)).collect();
        self.engine_links.iter().for_each(|link| link.links.cut(&sources, how));
        self.site.services.iter().for_each(|service| service.process.cut_from(&sources, how));
    }

    /// Has the store come back from the oldest copy, after a moment in which it is away. What the operator
    /// and the upstreams wrote is written again.
    async fn restore_store(&self) {
        self.site.store.fail(store::Fault::Reset);
        tokio::time::sleep(STORE_AWAY).await;
        let lost = self.restore_from_oldest_copy();
        self.site.store.fail(store::Fault::None);
        tokio::time::sleep(WRITTEN_AGAIN).await;
        self.site.store.write_again(lost);
    }

    fn restore_from_oldest_copy(&self) -> store::Lost {
        // Later copies are of what is lost now.
        let copies = std::mem::take(&mut *self.copies.lock().expect("no holder panics"));
        copies.first().map(|copy| self.site.store.restore(copy)).unwrap_or_default()
    }

    /// Keeps what the checks need to know of a fault that has ended.
    pub(crate) fn remember(&self, fault: Fault, span: Span) {
        let mut history = self.history.lock().expect("no holder panics");
        match fault {
            Fault::EngineLink(index, _) | Fault::Engine(index, engine::Fault::Dark) => {
                history.lose_reach(index, span);
            }
            Fault::Zone(zone, engine::Fault::Dark) => {
                self.engines_of(zone).for_each(|index| history.lose_reach(index, span));
            }
            _ => {}
        }
        let targets: Vec<Target> = match fault {
            Fault::Stop(index) => return history.stop(index, span.from),
            Fault::Kill(index) | Fault::Pause(index) => vec![Target::Gateway(index)],
            Fault::KillAll => (0..self.fronts.len()).map(Target::Gateway).collect(),
            Fault::CutOff(cutoff, _) => {
                let cut = cutoff.gateways(self.fronts.len());
                cut.into_iter().map(Target::Gateway).collect()
            }
            // Who refuses or answers with an error breaks nothing off.
            Fault::Engine(_, engine::Fault::Full) | Fault::Zone(_, engine::Fault::Full) => return,
            Fault::Service(_, service::Fault::Full | service::Fault::Error) => return,
            Fault::EngineLink(index, _) | Fault::Engine(index, _) => vec![Target::Engine(index)],
            Fault::Zone(zone, _) | Fault::Crash(zone) => {
                self.engines_of(zone).map(Target::Engine).collect()
            }
            Fault::Service(index, _) | Fault::CrashInAnswer(index) => vec![Target::Service(index)],
            // These disturb neither a gateway nor an upstream, so they excuse nothing.
            Fault::Reload(_) | Fault::Configure | Fault::Leave(_) => return,
            Fault::StoreLink(_) | Fault::Store(_) | Fault::Forget | Fault::Restore => return,
        };
        for target in targets {
            history.harm(target, span);
        }
    }

    fn engines_of(&self, zone: usize) -> impl Iterator<Item = usize> {
        let all = 0..self.site.engines.len();
        all.filter(move |index| self.site.engine_zone(*index) == site::ZONES[zone])
    }

    fn fail_zone(&self, zone: usize, fault: engine::Fault) {
        for index in self.engines_of(zone) {
            self.site.engines[index].fail(fault);
        }
    }

    /// Starts the engines of a zone again, each as another incarnation at its address.
    fn bring_back(&self, zone: usize) {
        for index in self.engines_of(zone) {
            let engine = &self.site.engines[index];
            self.site.store.remove(&format!("servers/{}", engine.current_id()));
            engine.come_back(&format!("{}-{}", engine.id, self.new_id()));
            self.list(index, "ready");
        }
    }

    /// Starts a service again that crashed in an answer, as another process at its address.
    async fn bring_back_service(&self, index: usize) {
        let service = &self.site.services[index];
        service.fail(service::Fault::None);
        if service.has_crashed() {
            self.site.store.remove(&format!("servers/{}", service.current_id()));
            service.come_back(&format!("{}-{}", service.id, self.new_id())).await;
            self.site.list_service(index, "ready");
        }
    }

    pub(crate) fn list(&self, index: usize, state: &str) {
        let engine = &self.site.engines[index];
        let entry = engine_entry(&self.site, index, &self.engine_links[index], state);
        self.site.store.put(&format!("servers/{}", engine.current_id()), &entry);
    }

    fn configure(&self) {
        let version = self.version.fetch_add(3, Ordering::SeqCst);
        let name = format!("more-{version}");
        let has_second_key = self.has_second_key.load(Ordering::SeqCst);
        let config = config_for(self.fronts.len(), version, has_second_key, &[&name]);
        self.site.store.put("op/config", &config);
    }

    /// Gives or revokes the second key.
    pub(crate) fn set_second_key(&self, is_given: bool) {
        self.has_second_key.store(is_given, Ordering::SeqCst);
        self.configure();
    }

    /// Where an engine is listed.
    pub(crate) fn engine_addr(&self, index: usize) -> SocketAddr {
        self.engine_links[index].addr
    }

    /// Writes what it likes as an engine's own entry.
    pub(crate) fn put_engine(&self, index: usize, value: Vec<u8>) {
        let id = self.site.engines[index].current_id();
        self.site.store.put_bytes(&format!("servers/{id}"), value);
    }

    /// Leaves odd entries in the store until the round is over.
    pub(crate) fn keep_odd(&self, keys: Vec<String>) {
        self.odd_keys.lock().expect("no holder panics").extend(keys);
    }

    pub(crate) fn remove_all(&self, keys: Vec<String>) {
        keys.iter().for_each(|key| self.site.store.remove(key));
    }

    /// Keeps that a target was disturbed.
    pub(crate) fn harm(&self, target: Target, span: Span) {
        self.history.lock().expect("no holder panics").harm(target, span);
    }

    /// Starts a gateway again once its old process has ended, also one that ends as planned;
    /// another fault may have done so already.
    async fn restart(&self, index: usize, old: Option<u32>) {
        let since = Instant::now();
        while !self.is_over() {
            {
                let mut gateways = self.gateways();
                let gateway = &mut gateways[index];
                gateway.signal(libc::SIGCONT);
                if let Some(status) = gateway.take_end() {
                    self.check_planned(gateway, status);
                }
                if gateway.has_ended() {
                    gateway.restart();
                    self.note_start(gateway);
                    return;
                }
                if gateway.pid() != old {
                    return;
                }
            }
            assert!(since.elapsed() < STOP_LIMIT, "gateway {index} runs on after its grace");
            tokio::time::sleep(LOOK).await;
        }
    }

    fn forget_stop(&self, index: usize) {
        let mut stopping = self.stopping.lock().expect("no holder panics");
        if let Some(place) = stopping.iter().position(|stopped| *stopped == index) {
            stopping.swap_remove(place);
        }
    }

    /// One of the gateways that are being stopped.
    pub fn stopping(&self, random: &mut fastrand::Rng) -> Option<usize> {
        random.choice(self.stopping.lock().expect("no holder panics").iter().copied())
    }

    pub(crate) fn gateways(&self) -> MutexGuard<'_, Vec<Process>> {
        self.gateways.lock().expect("no holder panics")
    }

    /// What the machine of each gateway has, if the settings say it.
    pub(crate) fn machine(&self) -> Option<Limits> {
        self.place.limits
    }

    /// Whether a gateway was told to stop and has not been started again.
    pub(crate) fn is_stopping(&self, index: usize) -> bool {
        self.stopping.lock().expect("no holder panics").contains(&index)
    }

    /// Checks how a process ended that was told to stop.
    fn check_planned(&self, gateway: &Process, status: ExitStatus) {
        if !status.success() && status.signal() != Some(libc::SIGTERM) {
            self.note_broken(processes::say_end(gateway, "in its planned stop", status));
        }
    }

    /// Keeps a promise that broke besides what callers saw.
    pub(crate) fn note_broken(&self, broken: String) {
        self.broken.lock().expect("no holder panics").push(broken);
    }

    /// Keeps what a gateway took, if none took more.
    pub(crate) fn note_most(&self, used: Most) {
        let mut most = self.most.lock().expect("no holder panics");
        *most = most.or(used);
    }

    /// The most that one gateway took.
    pub(crate) fn most(&self) -> Most {
        *self.most.lock().expect("no holder panics")
    }

    /// Keeps how late the soak itself was, if it never was later.
    pub(crate) fn note_late(&self, by: Duration) {
        let mut late = self.late.lock().expect("no holder panics");
        *late = by.max(*late);
    }

    /// The latest that the soak itself was since the last time that this was asked.
    pub(crate) fn take_late(&self) -> Duration {
        std::mem::take(&mut *self.late.lock().expect("no holder panics"))
    }

    /// Makes it ready for another round; returns the names of all requests of the last one.
    pub(crate) fn forget_round(&self) -> Vec<String> {
        *self.history.lock().expect("no holder panics") = History::default();
        *self.most.lock().expect("no holder panics") = Most::default();
        let odd_keys = std::mem::take(&mut *self.odd_keys.lock().expect("no holder panics"));
        self.remove_all(odd_keys);
        self.is_calm.store(false, Ordering::SeqCst);
        self.is_over.store(false, Ordering::SeqCst);
        let outcomes = std::mem::take(&mut *self.outcomes.lock().expect("no holder panics"));
        outcomes.into_iter().map(|outcome| outcome.id).collect()
    }

    /// What broke besides what callers saw, since the last time that this was asked.
    pub(crate) fn take_broken(&self) -> Vec<String> {
        std::mem::take(&mut *self.broken.lock().expect("no holder panics"))
    }

    pub(crate) fn gateways_kb(&self) -> u64 {
        self.gateways().iter().filter_map(Process::pid).map(memory::resident_kb).sum()
    }

    /// A name that no other request has.
    pub fn new_id(&self) -> String {
        format!("{:016x}", self.next_id.fetch_add(1, Ordering::SeqCst))
    }

    /// Keeps what became of a request.
    pub fn note(&self, outcome: Outcome) {
        self.outcomes.lock().expect("no holder panics").push(outcome);
    }

    /// Whether callers have to end.
    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Whether everything has to be served.
    pub fn is_calm(&self) -> bool {
        self.is_calm.load(Ordering::SeqCst)
    }

    /// What all engines worked on since the last time that this was asked, by request.
    pub(crate) fn works(&self) -> Works {
        let mut works = Works::new();
        for (index, engine) in self.site.engines.iter().enumerate() {
            for work in engine.take_works() {
                let until = work.ended.unwrap_or_else(std::time::Instant::now);
                let span = Span { from: work.began.into(), until: until.into() };
                works.entry(work.id).or_default().push((index, span));
            }
        }
        works
    }

    /// What all upstreams ran since the last time that this was asked.
    pub(crate) fn runs(&self) -> Vec<Run> {
        let engines = self.site.engines.iter().enumerate();
        let of_engines = engines.flat_map(|(index, engine)| {
            engine
                .take_seen()
                .into_iter()
                .filter(|seen| seen.ran)
                .map(move |seen| new_run(&seen.request, Target::Engine(index)))
        });
        let services = self.site.services.iter().enumerate();
        let of_services = services.flat_map(|(index, service)| {
            let ran = service.take_seen().into_iter().filter(|seen| seen.ran);
            ran.map(move |seen| new_run(&seen.request, Target::Service(index)))
        });
        of_engines.chain(of_services).collect()
    }
}

fn new_run(request: &Message, upstream: Target) -> Run {
    let id = request.header("x-request-id").unwrap_or_default().to_owned();
    Run { id, path: request.path().to_owned(), upstream }
}
