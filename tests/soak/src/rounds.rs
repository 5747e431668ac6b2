//! A round: faults and callers on a running site, then calm, and what that showed. A seed is one round on
//! a site of its own; a long run is rounds over the same processes.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use siskinrock_fakes::process::Process;
use siskinrock_fakes::signals::Signals;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::checks::{self, Report};
use crate::faults::{self, Sizes, Timed};
use crate::history::Span;
use crate::signals::{self, Knowledge, Limit};
use crate::world::{self, Setup, World};
use crate::{callers, crowds, memory, processes, surroundings, tasks, works};

/// How long after the last fault everything must be served again: an engine that was lost is kept
/// out for five seconds unless it is asked.
const SETTLE: Duration = Duration::from_millis(6_000);
/// How long it is checked that everything is served.
const CALM: Duration = Duration::from_millis(1_500);
/// The range of the services' time for a call: some calls outlast a step of a planned stop.
const WORK_MS: std::ops::Range<u64> = 5..40;
/// How often the memory in use is looked at.
const MEMORY_LOOK: Duration = Duration::from_millis(500);

/// Plays one seed on a site of its own.
pub async fn run(mut setup: Setup, seed: u64) -> Report {
    setup.machine = setup.machine.or(crowds::is_crowded(seed).then_some(crowds::MACHINE));
    let folder = make_folder(seed);
    let world = Arc::new(world::start(&setup, seed, &folder).await);
    let report = play_round(&world, &setup, seed, &folder, &BTreeSet::new()).await;
    world.gateways().clear();
    if report.broken.is_empty() {
        let _ = std::fs::remove_dir_all(&report.folder);
    }
    report
}

/// Plays one seed after the other over the same processes for so long, and hands on what each showed.
/// Returns the folder of the logs.
pub async fn run_long(
    setup: Setup,
    first: u64,
    lasts: Duration,
    mut say: impl FnMut(u64, Report),
) -> PathBuf {
    let start = Instant::now();
    let folder = make_folder(first);
    let world = Arc::new(world::start(&setup, first, &folder).await);
    let mut earlier = BTreeSet::new();
    for seed in first.. {
        if start.elapsed() >= lasts {
            break;
        }
        let report = play_round(&world, &setup, seed, &folder, &earlier).await;
        earlier.extend(world.forget_round());
        say(seed, report);
    }
    world.gateways().clear();
    folder
}

fn make_folder(seed: u64) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("siskinrock-soak-{}-{seed}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
    folder
}

/// Plays the faults of a seed; `earlier` names the requests of earlier rounds.
async fn play_round(
    world: &Arc<World>,
    setup: &Setup,
    seed: u64,
    folder: &Path,
    earlier: &BTreeSet<String>,
) -> Report {
    let mut random = fastrand::Rng::with_seed(seed);
    let sizes = Sizes {
        gateways: usize::from(setup.gateways),
        engines: world.site.engines.len(),
        services: world.site.services.len(),
    };
    let mut faults = faults::draw(&mut random, sizes, setup.length);
    faults.extend(faults::draw_cuts_and_restores(seed, sizes, setup.length));
    faults.extend(faults::draw_unended(seed, sizes, setup.length));
    for index in faults::draw_engines_that_work_on(seed, sizes) {
        world.site.engines[index].work_on();
    }
    let surroundings = surroundings::draw(seed, sizes, setup.length, setup.without);
    let listed = faults.iter().map(|timed| format!("{timed:?}\n"));
    let listed: String =
        listed.chain(surroundings.iter().map(|timed| format!("{timed:?}\n"))).collect();
    std::fs::write(folder.join(format!("faults-{seed}.txt")), listed)
        .expect("the folder can be written");
    for service in &world.site.services {
        service.work_for(random.u64(WORK_MS));
    }
    let mut callers = callers::start(world, &mut random);
    callers.spawn(watch_memory(Arc::clone(world)));
    callers.spawn(processes::watch(Arc::clone(world)));
    let limits = signals::draw(seed, sizes.services, setup.length);
    let crowds = crowds::draw(seed, sizes.gateways, setup.length);
    let (mut broken, over_limits, (), surrounded) = tokio::join!(
        play(world, &faults),
        play_limits(world, &limits),
        crowds::play(world, crowds),
        surroundings::play(world, surroundings)
    );
    broken.extend(over_limits);
    broken.extend(surrounded);
    tokio::time::sleep(SETTLE).await;
    world.is_calm.store(true, Ordering::SeqCst);
    tokio::time::sleep(CALM).await;
    world.is_over.store(true, Ordering::SeqCst);
    broken.extend(tasks::join_all(callers).await);
    judge(world, broken, folder, earlier)
}

/// Notes the most memory in use; ends the seed before it takes more than it may.
async fn watch_memory(world: Arc<World>) {
    while !world.is_over() {
        let used_kb = memory::resident_kb(std::process::id()) + world.gateways_kb();
        world.most_kb.fetch_max(used_kb, Ordering::SeqCst);
        if used_kb > memory::limit_kb() {
            world.is_over.store(true, Ordering::SeqCst);
            world.gateways().iter_mut().for_each(Process::kill);
            panic!("{used_kb} kB in use, more than half of the machine's memory");
        }
        tokio::time::sleep(MEMORY_LOOK).await;
    }
}

/// Begins and ends each fault at its time; a fault may begin while others last. Returns what went
/// wrong with that.
async fn play(world: &Arc<World>, faults: &[Timed]) -> Vec<String> {
    let start = Instant::now();
    let mut playing = JoinSet::new();
    for timed in faults.iter().copied() {
        let world = Arc::clone(world);
        playing.spawn(async move {
            tokio::time::sleep_until(start + timed.at).await;
            let from = Instant::now();
            let old = world.begin(timed.fault);
            tokio::time::sleep_until(start + timed.at + timed.lasts).await;
            world.end(timed.fault, old).await;
            world.remember(timed.fault, Span { from, until: Instant::now() });
        });
    }
    tasks::join_all(playing).await
}

/// Has services name their rates; returns which were not kept to.
async fn play_limits(world: &World, limits: &[Limit]) -> Vec<String> {
    let start = Instant::now();
    let play = async |limit: &Limit| {
        let service = &world.site.services[limit.service];
        tokio::time::sleep_until(start + limit.at).await;
        let from = Instant::now();
        service.signal(limit.signals());
        tokio::time::sleep_until(start + limit.at + limit.lasts).await;
        service.signal(Signals::default());
        let named = Span { from, until: Instant::now() };
        let starts = world.starts.lock().expect("no holder panics").clone();
        let knowledge = Knowledge { told: service.rate_told(), starts };
        signals::check(limit, named, &service.seen(), &knowledge)
    };
    let played = futures_util::future::join_all(limits.iter().map(play)).await;
    played.into_iter().flatten().collect()
}

fn judge(world: &World, broken: Vec<String>, folder: &Path, earlier: &BTreeSet<String>) -> Report {
    let most_kb = world.most_kb.load(Ordering::SeqCst);
    let most = world.most();
    let late = world.take_late();
    let mut report =
        Report { broken, most_kb, most, late, folder: folder.to_owned(), ..Report::default() };
    report.broken.extend(world.take_broken());
    for (index, gateway) in world.gateways().iter_mut().enumerate() {
        if gateway.has_ended() {
            report.broken.push(format!("gateway {index} ended and was not told to"));
        }
    }
    let outcomes = world.outcomes.lock().expect("no holder panics");
    let history = world.history.lock().expect("no holder panics");
    let mut runs = world.runs();
    runs.retain(|run| !earlier.contains(&run.id));
    checks::check(&outcomes, &runs, &history, &mut report);
    report.broken.extend(works::check(&outcomes, world.works(), &history));
    report
}
