//! The soak's command line: it plays seeds one after the other and says what they showed.
//!
//! `siskinrock-soak --binary target/release/siskinrock [--seeds 50] [--first 1] [--length-ms 8000]`
//! `siskinrock-soak --binary target/release/siskinrock --minutes 60 --gateways 9`

use std::process::ExitCode;
use std::time::{Duration, Instant};

use siskinrock_fakes::site;
use siskinrock_soak::checks::Report;
use siskinrock_soak::odd::Without;
use siskinrock_soak::rounds;
use siskinrock_soak::world::Setup;
use tokio::runtime::Runtime;
use tokio::task::{self, LocalSet};

/// The most gateways: each is a process, and their addresses end in one byte.
const MOST_GATEWAYS: u8 = 120;
/// Engines in each zone of a seed's site, and of one on which seeds are played for long, which is as
/// large as the platform's.
const ENGINES_A_ZONE: usize = 2;
const MOST_ENGINES_A_ZONE: usize = 8;
/// The pause between two requests of a caller, and in a long run, which shares its machine.
const PAUSE: Duration = Duration::from_millis(25);
const LONG_PAUSE: Duration = Duration::from_millis(800);
const SECONDS_A_MINUTE: u64 = 60;
/// Promises that are printed of a seed; one cause often breaks many.
const SHOWN: usize = 10;

const HELP: &str = "\
siskinrock-soak: run gateways under random faults and check their promises

  --binary PATH      the siskinrock binary (required)
  --seeds N          how many seeds [50]
  --first N          the first seed [1]
  --length-ms N      how long faults are injected in each [8000]
  --gateways N       how many gateways, 120 at most [4]
  --without-odd-keys       leave out entries of the store whose keys are odd
  --without-odd-addresses  leave out those that point at what is no worker of their own
  --minutes N        play seeds for so long over the same processes, which are kept to the
                     memory and descriptors of the platform's machines, with few callers
";

struct Plan {
    setup: Setup,
    seeds: u64,
    first: u64,
    /// How long seeds are played over the same processes.
    minutes: Option<u64>,
}

fn plan() -> Result<Plan, pico_args::Error> {
    let mut arguments = pico_args::Arguments::from_env();
    let length_ms = arguments.opt_value_from_str("--length-ms")?.unwrap_or(8_000);
    let minutes: Option<u64> = arguments.opt_value_from_str("--minutes")?;
    let setup = Setup {
        binary: arguments.value_from_str("--binary")?,
        length: Duration::from_millis(length_ms),
        gateways: arguments.opt_value_from_fn("--gateways", gateways)?.unwrap_or(4),
        engines_a_zone: minutes.map_or(ENGINES_A_ZONE, |_| MOST_ENGINES_A_ZONE),
        machine: minutes.map(|_| site::MACHINE),
        without: Without {
            keys: arguments.contains("--without-odd-keys"),
            addresses: arguments.contains("--without-odd-addresses"),
        },
        pause: minutes.map_or(PAUSE, |_| LONG_PAUSE),
    };
    Ok(Plan {
        minutes,
        setup,
        seeds: arguments.opt_value_from_str("--seeds")?.unwrap_or(50),
        first: arguments.opt_value_from_str("--first")?.unwrap_or(1),
    })
}

fn gateways(text: &str) -> Result<u8, String> {
    let count = text.parse().ok().filter(|count| (1..=MOST_GATEWAYS).contains(count));
    count.ok_or_else(|| format!("write a number from 1 to {MOST_GATEWAYS}"))
}

fn main() -> ExitCode {
    let plan = match plan() {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("siskinrock-soak: {error}\n\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let (played, failed) = match plan.minutes {
        Some(minutes) => play_long(&plan, Duration::from_secs(minutes * SECONDS_A_MINUTE)),
        None => play_seeds(&plan),
    };
    println!("{} passed, {failed} failed", played - failed);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Plays each seed on a site of its own; returns how many, and how many failed.
fn play_seeds(plan: &Plan) -> (u64, u64) {
    let mut failed = 0;
    for seed in plan.first..plan.first + plan.seeds {
        // With its runtime end the fakes and proxies of a seed, and all that they remember.
        let runtime = Runtime::new().expect("a runtime can be started");
        let report = LocalSet::new().block_on(&runtime, run(plan.setup.clone(), seed));
        print(seed, &report);
        failed += u64::from(!report.broken.is_empty());
    }
    (plan.seeds, failed)
}

/// Plays seeds over the same processes; returns how many, and how many failed.
fn play_long(plan: &Plan, lasts: Duration) -> (u64, u64) {
    let (mut played, mut failed) = (0, 0);
    let start = Instant::now();
    let say = |seed, report: Report| {
        print!("after {} s, ", start.elapsed().as_secs());
        print(seed, &report);
        played += 1;
        failed += u64::from(!report.broken.is_empty());
    };
    let runtime = Runtime::new().expect("a runtime can be started");
    let rounds = rounds::run_long(plan.setup.clone(), plan.first, lasts, say);
    let folder = LocalSet::new().block_on(&runtime, rounds);
    println!("logs and faults: {}", folder.display());
    (played, failed)
}

/// Plays a seed; one whose check itself panics has failed.
async fn run(setup: Setup, seed: u64) -> Report {
    task::spawn_local(rounds::run(setup, seed)).await.unwrap_or_else(|error| Report {
        broken: vec![format!("the soak itself ended early: {error}")],
        ..Report::default()
    })
}

fn print(seed: u64, report: &Report) {
    println!("seed {seed}: {}", report.summary());
    for broken in report.broken.iter().take(SHOWN) {
        println!("  {broken}");
    }
    if !report.broken.is_empty() {
        println!("  logs and faults: {}", report.folder.display());
    }
}
