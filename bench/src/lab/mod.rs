//! A model of a fleet in virtual time, in which the gateway's own decisions are played.
//!
//! It tells what a change of policy does on a load in seconds, and at sizes that no machine plays;
//! [docs/LAB.md](../../../docs/LAB.md) says what it models, and how far it agrees with whole days.

mod experiment;
mod model;
mod report;

use std::process::ExitCode;

use rayon::prelude::*;

use self::experiment::Experiment;
use self::model::{Mechanism, Outcome};

/// Seeds of a run, if none are named.
const SEEDS: u64 = 8;

/// Plays an experiment, as the arguments after `lab` say.
pub fn run(mut arguments: pico_args::Arguments) -> ExitCode {
    let seeds = arguments.opt_value_from_str("--seeds").ok().flatten().unwrap_or(SEEDS).max(1);
    let ablates = arguments.contains("--ablate");
    let is_json = arguments.contains("--json");
    let Ok(file) = arguments.free_from_str::<String>() else {
        eprintln!("name an experiment: siskinrock-bench lab experiments/thirds.toml");
        return ExitCode::from(2);
    };
    let experiment = match Experiment::read(&file) {
        Ok(experiment) => experiment,
        Err(fault) => {
            eprintln!("{fault}");
            return ExitCode::from(2);
        }
    };
    let mechanisms: &[Mechanism] = if ablates { &Mechanism::ALL } else { &[] };
    let without: Vec<Option<Mechanism>> =
        std::iter::once(None).chain(mechanisms.iter().copied().map(Some)).collect();
    let plays: Vec<(Option<Mechanism>, Vec<Outcome>)> = without
        .into_par_iter()
        .map(|without| {
            let play = |seed| model::play(&experiment, without, seed);
            (without, (1..=seeds).into_par_iter().map(play).collect())
        })
        .collect();
    let text = if is_json { report::json(&plays) } else { report::table(&plays) };
    print!("{text}");
    ExitCode::SUCCESS
}
