//! The faults of one seed, in series and overlapping, and their end.

use std::time::Duration;

use siskinrock_fakes::proxy::Harm;
use siskinrock_fakes::{engine, service, store};

/// Series of planned stops of a seed, which may overlap.
const MOST_ROLLS: usize = 2;
/// The time between two stops of a series.
const ROLL_STEP_MS: std::ops::RangeInclusive<u64> = 300..=800;
/// Gateways of a series; with more, the last would be stopped long after all other faults.
const LONGEST_ROLL: usize = 16;
/// How long after a stop of a series another order may come: up to the end of most stops.
const BESIDE_MS: u64 = 2_500;

/// Something that goes wrong for a while.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// A gateway is killed, and started again at the end.
    Kill(usize),
    /// All gateways are killed at once.
    KillAll,
    /// A gateway is stopped as planned, and started again.
    Stop(usize),
    /// A gateway stands still.
    Pause(usize),
    /// A gateway is told to read its settings again.
    Reload(usize),
    /// Connections to an engine are harmed.
    EngineLink(usize, Harm),
    /// Connections to the store are harmed.
    StoreLink(Harm),
    /// An engine misbehaves.
    Engine(usize, engine::Fault),
    /// All engines of a zone misbehave.
    Zone(usize, engine::Fault),
    /// All engines of a zone crash, and come back as other incarnations at their addresses.
    Crash(usize),
    /// A service misbehaves.
    Service(usize, service::Fault),
    /// The store misbehaves.
    Store(store::Fault),
    /// The store forgets its history.
    Forget,
    /// A route is added, or a key taken away.
    Configure,
    /// An engine leaves as planned, and comes back.
    Leave(usize),
}

/// A fault, when it begins, and how long it lasts.
#[derive(Debug, Clone, Copy)]
pub struct Timed {
    /// From the start of traffic.
    pub at: Duration,
    /// How long.
    pub lasts: Duration,
    /// What.
    pub fault: Fault,
}

impl Timed {
    /// An order, which needs no end.
    fn order(at_ms: u64, fault: Fault) -> Timed {
        Timed { at: Duration::from_millis(at_ms), lasts: Duration::ZERO, fault }
    }
}

/// How many things there are to harm.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Gateways.
    pub gateways: usize,
    /// Engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
}

/// Draws the faults of a seed.
pub fn draw(random: &mut fastrand::Rng, sizes: Sizes, length: Duration) -> Vec<Timed> {
    let count = random.usize(6..14);
    let mut faults: Vec<Timed> = (0..count)
        .map(|_| Timed {
            at: Duration::from_millis(random.u64(200..length.as_millis() as u64 * 3 / 4)),
            lasts: Duration::from_millis(random.u64(200..2_500)),
            fault: draw_one(random, sizes),
        })
        .collect();
    for _ in 0..random.usize(1..=MOST_ROLLS) {
        draw_roll(random, sizes, length, &mut faults);
    }
    faults.sort_by_key(|timed| timed.at);
    faults
}

/// Adds planned stops of one gateway after the other, each started again when it is gone, with
/// reloads and configurations among them.
fn draw_roll(random: &mut fastrand::Rng, sizes: Sizes, length: Duration, faults: &mut Vec<Timed>) {
    let step_ms = random.u64(ROLL_STEP_MS);
    let first_ms = random.u64(200..length.as_millis() as u64 / 2);
    let first = random.usize(..sizes.gateways);
    for turn in 0..sizes.gateways.min(LONGEST_ROLL) {
        let at_ms = first_ms + step_ms * turn as u64;
        let gateway = (first + turn) % sizes.gateways;
        faults.push(Timed::order(at_ms, Fault::Stop(gateway)));
        let beside_ms = at_ms + random.u64(..BESIDE_MS);
        match random.u8(..4) {
            0 => faults.push(Timed::order(beside_ms, Fault::Reload(gateway))),
            1 => {
                faults.push(Timed::order(beside_ms, Fault::Reload(random.usize(..sizes.gateways))))
            }
            2 => faults.push(Timed::order(beside_ms, Fault::Configure)),
            _ => {}
        }
    }
}

fn draw_one(random: &mut fastrand::Rng, sizes: Sizes) -> Fault {
    let gateway = random.usize(..sizes.gateways);
    let engine = random.usize(..sizes.engines);
    let service = random.usize(..sizes.services);
    let delay_ms = random.u64(5..80);
    let harms = [Harm::Delay(delay_ms), Harm::Silent, Harm::OneWay, Harm::Reset];
    let harm = harms[random.usize(..harms.len())];
    match random.u8(..20) {
        0 | 1 => Fault::Kill(gateway),
        2 => Fault::KillAll,
        3 | 4 => Fault::Stop(gateway),
        5 => Fault::Pause(gateway),
        6 => Fault::Reload(gateway),
        7 => Fault::EngineLink(engine, harm),
        8 => Fault::StoreLink(harm),
        9 => Fault::Engine(engine, engine_fault(random)),
        10 => Fault::Zone(random.usize(..3), engine_fault(random)),
        11 | 16 | 17 => Fault::Service(service, service_fault(random)),
        12 => Fault::Store(store_fault(random)),
        13 => Fault::Forget,
        14 => Fault::Configure,
        18 | 19 => Fault::Crash(random.usize(..3)),
        _ => Fault::Leave(engine),
    }
}

fn engine_fault(random: &mut fastrand::Rng) -> engine::Fault {
    use engine::Fault::{Cut, Dark, Full, Stuck, Torn};
    [Dark, Stuck, Torn, Full, Cut][random.usize(..5)]
}

fn service_fault(random: &mut fastrand::Rng) -> service::Fault {
    use service::Fault::{Crossed, Error, ExtraAnswer, Full, LostAnswer, Mute, Truncated};
    [LostAnswer, ExtraAnswer, Truncated, Full, Error, Mute, Crossed][random.usize(..7)]
}

fn store_fault(random: &mut fastrand::Rng) -> store::Fault {
    use store::Fault::{Busy, LostAnswers, Reset, Silent, Slow};
    [Busy, Silent, Reset, LostAnswers, Slow][random.usize(..5)]
}
