//! The soak's command line: it plays seeds one after the other and says what they showed.
//!
//! `siskinrock-soak --binary target/release/siskinrock [--seeds 50] [--first 1] [--length-ms 8000]`

use std::process::ExitCode;
use std::time::Duration;

use siskinrock_soak::checks::Report;
use siskinrock_soak::world::{self, Setup};
use tokio::runtime::Runtime;
use tokio::task::{self, LocalSet};

/// The most gateways: each is a process, and their addresses end in one byte.
const MOST_GATEWAYS: u8 = 120;
/// Promises that are printed of a seed; one cause often breaks many.
const SHOWN: usize = 10;

const HELP: &str = "\
siskinrock-soak: run gateways under random faults and check their promises

  --binary PATH      the siskinrock binary (required)
  --seeds N          how many seeds [50]
  --first N          the first seed [1]
  --length-ms N      how long faults are injected in each [8000]
  --gateways N       how many gateways, 120 at most [4]
";

struct Plan {
    setup: Setup,
    seeds: u64,
    first: u64,
}

fn plan() -> Result<Plan, pico_args::Error> {
    let mut arguments = pico_args::Arguments::from_env();
    let length_ms = arguments.opt_value_from_str("--length-ms")?.unwrap_or(8_000);
    let setup = Setup {
        binary: arguments.value_from_str("--binary")?,
        length: Duration::from_millis(length_ms),
        gateways: arguments.opt_value_from_fn("--gateways", gateways)?.unwrap_or(4),
    };
    Ok(Plan {
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
    let mut failed = 0;
    for seed in plan.first..plan.first + plan.seeds {
        // With its runtime end the fakes and proxies of a seed, and all that they remember.
        let runtime = Runtime::new().expect("a runtime can be started");
        let report = LocalSet::new().block_on(&runtime, run(plan.setup.clone(), seed));
        print(seed, &report);
        failed += u64::from(!report.broken.is_empty());
    }
    println!("{} passed, {failed} failed", plan.seeds - failed);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Plays a seed; one whose check itself panics has failed.
async fn run(setup: Setup, seed: u64) -> Report {
    task::spawn_local(world::run(setup, seed)).await.unwrap_or_else(|error| Report {
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
