//! What surrounds the gateways goes wrong: their settings, ports, output, signals, the keys in force,
//! and odd entries in the store.
//!
//! It is drawn apart from the faults, so that a seed keeps the faults that it had before.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use siskinrock_fakes::output::Reading;
use siskinrock_fakes::process::{Port, Process, Spoilt};
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::faults::Sizes;
use crate::history::{Span, Target};
use crate::odd::{self, Odd, Points, Without};
use crate::world::World;
use crate::{processes, tasks};

/// Makes the draw of a seed's surroundings another one than that of its faults.
const SALT: u64 = 0x0050_7572_526f_756e;
/// Surroundings of a seed that go wrong, and for how long.
const SURROUNDINGS: std::ops::RangeInclusive<usize> = 2..=8;
const LASTS_MS: std::ops::Range<u64> = 100..1_500;
/// Odd entries of a seed.
const ENTRIES: std::ops::RangeInclusive<usize> = 1..=6;
/// Signals that mean nothing to a gateway and whose default action would end it.
const SIGNALS: [i32; 10] = [
    libc::SIGUSR1,
    libc::SIGUSR2,
    libc::SIGALRM,
    libc::SIGVTALRM,
    libc::SIGPROF,
    libc::SIGXCPU,
    libc::SIGXFSZ,
    libc::SIGIO,
    libc::SIGPWR,
    libc::SIGSTKFLT,
];

/// What goes wrong around the gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Surrounding {
    /// A gateway is killed, and started while its settings are being written.
    Settings(usize, Spoilt),
    /// A gateway is told to read its settings again while they are being written, and after that.
    Reread(usize, Spoilt),
    /// A gateway is killed, and started while another holds one of its ports.
    Taken(usize, Port),
    /// Nobody reads a gateway's output: its reader stands still or has left, or its file can't grow.
    Unread(usize, Reading),
    /// A gateway gets a signal that means nothing to it.
    Signal(usize, i32),
    /// The second key is revoked, and given again.
    Revoke,
    /// There is an odd entry in the store.
    Entry(Odd),
}

/// What goes wrong, when, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timed {
    /// From the start of traffic.
    pub at: Duration,
    /// For how long; odd entries without one stay until everything had to be served again.
    pub lasts: Option<Duration>,
    /// What.
    pub what: Surrounding,
}

/// Draws what surrounds a seed's gateways.
pub fn draw(seed: u64, sizes: Sizes, length: Duration, without: Without) -> Vec<Timed> {
    let mut random = fastrand::Rng::with_seed(seed ^ SALT);
    let surroundings = random.usize(SURROUNDINGS);
    let mut drawn: Vec<Timed> = (0..surroundings)
        .map(|_| {
            let what = draw_one(&mut random, sizes);
            let lasts = Duration::from_millis(random.u64(LASTS_MS));
            Timed { at: draw_at(&mut random, length), lasts: Some(lasts), what }
        })
        .collect();
    for _ in 0..random.usize(ENTRIES) {
        let odd = odd::draw(&mut random, sizes.gateways, sizes.engines, sizes.services);
        let lasts = Duration::from_millis(random.u64(LASTS_MS));
        let stays = random.bool() && !matches!(odd, Odd::Engine(..));
        let at = draw_at(&mut random, length);
        if !without.leaves_out(odd) {
            let lasts = (!stays).then_some(lasts);
            drawn.push(Timed { at, lasts, what: Surrounding::Entry(odd) });
        }
    }
    drawn
}

fn draw_at(random: &mut fastrand::Rng, length: Duration) -> Duration {
    Duration::from_millis(random.u64(..length.as_millis() as u64 * 3 / 4))
}

fn draw_one(random: &mut fastrand::Rng, sizes: Sizes) -> Surrounding {
    let gateway = random.usize(..sizes.gateways);
    let spoilt = [Spoilt::Missing, Spoilt::Empty, Spoilt::Cut(random.u8(1..100))];
    let spoilt = spoilt[random.usize(..spoilt.len())];
    let ports = [Port::Front, Port::Directory, Port::Control, Port::Readiness, Port::Metrics];
    let port = ports[random.usize(..ports.len())];
    let reading = [Reading::StandsStill, Reading::HasLeft][random.usize(..2)];
    let signal = SIGNALS[random.usize(..SIGNALS.len())];
    match random.u8(..12) {
        0 | 1 => Surrounding::Settings(gateway, spoilt),
        2 => Surrounding::Reread(gateway, spoilt),
        3..6 => Surrounding::Taken(gateway, port),
        6 | 7 => Surrounding::Unread(gateway, reading),
        8 => Surrounding::Revoke,
        _ => Surrounding::Signal(gateway, signal),
    }
}

/// Has each thing go wrong at its time. Returns what went wrong with that.
pub async fn play(world: &Arc<World>, surroundings: Vec<Timed>) -> Vec<String> {
    let start = Instant::now();
    let mut playing = JoinSet::new();
    for timed in surroundings {
        let world = Arc::clone(world);
        playing.spawn(async move {
            tokio::time::sleep_until(start + timed.at).await;
            go_wrong(&world, timed).await;
        });
    }
    tasks::join_all(playing).await
}

async fn go_wrong(world: &World, timed: Timed) {
    let from = Instant::now();
    let lasts = timed.lasts.unwrap_or_default();
    match timed.what {
        Surrounding::Settings(index, spoilt) => {
            restart_after(world, index, |gateway| gateway.spoil_settings(spoilt));
            tokio::time::sleep(lasts).await;
            world.gateways()[index].mend_settings();
            world.harm(Target::Gateway(index), Span { from, until: Instant::now() });
        }
        Surrounding::Reread(index, spoilt) => {
            world.gateways()[index].spoil_settings(spoilt);
            world.gateways()[index].signal(libc::SIGHUP);
            tokio::time::sleep(lasts).await;
            world.gateways()[index].mend_settings();
            world.gateways()[index].signal(libc::SIGHUP);
        }
        Surrounding::Taken(index, port) => {
            let taken = restart_after(world, index, |gateway| gateway.take_port(port));
            tokio::time::sleep(lasts).await;
            drop(taken);
            world.harm(Target::Gateway(index), Span { from, until: Instant::now() });
        }
        Surrounding::Unread(index, reading) => {
            world.gateways()[index].set_reading(reading);
            tokio::time::sleep(lasts).await;
            world.gateways()[index].set_reading(Reading::Reads);
        }
        Surrounding::Signal(index, signal) => world.gateways()[index].signal(signal),
        Surrounding::Revoke => {
            world.set_second_key(false);
            tokio::time::sleep(lasts).await;
            world.set_second_key(true);
        }
        Surrounding::Entry(Odd::Engine(index, oddity)) => {
            world.put_engine(index, odd::value(oddity));
            tokio::time::sleep(lasts).await;
            world.list(index, "ready");
        }
        Surrounding::Entry(odd) => {
            let name = format!("odd-{}", world.new_id());
            let keys = odd::keys(odd, &name);
            keys.iter().for_each(|key| {
                world.site.store.put_bytes(key, entry(world, odd));
            });
            match timed.lasts {
                Some(lasts) => {
                    tokio::time::sleep(lasts).await;
                    world.remove_all(keys);
                }
                None => world.keep_odd(keys),
            }
        }
    }
}

/// Kills a gateway and starts it again after a change of what surrounds it.
fn restart_after<T>(world: &World, index: usize, change: impl FnOnce(&Process) -> T) -> T {
    let gateway = &mut world.gateways()[index];
    processes::kill(world, gateway);
    let changed = change(gateway);
    gateway.restart();
    world.note_start(gateway);
    changed
}

fn entry(world: &World, odd: Odd) -> Vec<u8> {
    let at = |points| match points {
        Points::Front(index) => ("booking-app", world.fronts[index]),
        Points::Peer(index) => ("booking-app", peer_addr(world, index)),
        Points::Store => ("booking-app", world.site.store.addr),
        Points::Engine(index) => ("plan-llm", world.engine_addr(index)),
        Points::Service(index) => ("booking-app", world.site.services[index].addr),
    };
    match odd {
        Odd::Value(oddity) | Odd::Own(_, oddity) | Odd::Engine(_, oddity) => odd::value(oddity),
        Odd::Key(..) => odd::value(odd::Oddity::State(0)),
        Odd::Address(points) => {
            let (backend, addr) = at(points);
            odd::pointing(backend, addr)
        }
    }
}

fn peer_addr(world: &World, index: usize) -> SocketAddr {
    world.gateways()[index].control
}
