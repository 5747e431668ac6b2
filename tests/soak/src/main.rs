//! A randomized soak: real gateways as separate processes, faults from outside, and the promises
//! checked while it runs from what callers and upstreams see.
//!
//! `siskinrock-soak --binary target/release/siskinrock [--seeds 50] [--first 1] [--length-ms 8000]`

mod checks;
mod faults;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

const HELP: &str = "\
siskinrock-soak: run gateways under random faults and check their promises

  --binary PATH      the siskinrock binary (required)
  --seeds N          how many seeds [50]
  --first N          the first seed [1]
  --length-ms N      how long faults are injected in each [8000]
  --gateways N       how many gateways [4]
";

struct Plan {
    binary: PathBuf,
    seeds: u64,
    first: u64,
    length: Duration,
    gateways: u8,
}

fn plan() -> Result<Plan, pico_args::Error> {
    let mut arguments = pico_args::Arguments::from_env();
    let plan = Plan {
        binary: arguments.value_from_str("--binary")?,
        seeds: arguments.opt_value_from_str("--seeds")?.unwrap_or(50),
        first: arguments.opt_value_from_str("--first")?.unwrap_or(1),
        length: Duration::from_millis(
            arguments.opt_value_from_str("--length-ms")?.unwrap_or(8_000),
        ),
        gateways: arguments.opt_value_from_str("--gateways")?.unwrap_or(4),
    };
    Ok(plan)
}

fn main() -> ExitCode {
    let plan = match plan() {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("siskinrock-soak: {error}\n\n{HELP}");
            return ExitCode::from(2);
        }
    };
    let runtime = tokio::runtime::Runtime::new().expect("a runtime can be started");
    let mut failed = Vec::new();
    for seed in plan.first..plan.first + plan.seeds {
        let report = runtime.block_on(world::run(&plan.binary, seed, plan.length, plan.gateways));
        println!("seed {seed}: {}", report.summary());
        if !report.broken.is_empty() {
            failed.push(seed);
            for broken in report.broken.iter().take(10) {
                println!("  {broken}");
            }
            println!("  logs and faults: {}", report.folder.display());
        }
    }
    println!("{} passed, {} failed", plan.seeds - failed.len() as u64, failed.len());
    if failed.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
