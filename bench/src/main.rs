//! Measures siskinrock on this machine, against baselines of our own.
//!
//! `cargo run --release -p siskinrock-bench -- path|resume|slopes` after
//! `cargo build --release`. All load goes to loopback, and is bounded in time and number.

mod fit;
mod fleet;
mod forwarder;
mod lab;
mod path;
mod plot;
mod relay;
mod resume;
mod slopes;
mod usage;

use std::process::ExitCode;

const HELP: &str = "\
siskinrock-bench: measure on this machine (build the binary first: cargo build --release)

USAGE: siskinrock-bench EXPERIMENT [--json FILE] [--svg FILE]

  path     streams and quick calls against a direct connection and a bare relay
  resume   the wait and the extra work after an engine is lost, hedge off and on
  slopes   what control and copying cost as routers, upstreams, organisations, changes and
           streams are added; writes the points as JSON, and a plot as SVG;
           --only routers|upstreams|organisations|changes|streams measures one series
  lab      FILE [--seeds N] [--ablate] [--json]: the gateway's decisions in a model of a fleet,
           in virtual time; without a binary or a network (docs/LAB.md, experiments/)
";

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    if std::env::args().nth(1).as_deref() == Some("lab") {
        let _ = arguments.subcommand();
        return lab::run(arguments);
    }
    let json = arguments.opt_value_from_str::<_, String>("--json").ok().flatten();
    let svg = arguments.opt_value_from_str::<_, String>("--svg").ok().flatten();
    let only = arguments.opt_value_from_str::<_, String>("--only").ok().flatten();
    let experiment = arguments.subcommand().ok().flatten().unwrap_or_default();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let report = match experiment.as_str() {
        "path" => runtime.block_on(path::run()),
        "resume" => runtime.block_on(resume::run()),
        "slopes" => runtime.block_on(slopes::run(svg.as_deref(), only.as_deref())),
        _ => {
            eprint!("{HELP}");
            return ExitCode::from(2);
        }
    };
    if let Some(file) = json {
        let text = serde_json::to_string_pretty(&report).expect("a report is plain data");
        if let Err(error) = std::fs::write(&file, text) {
            eprintln!("{file} can't be written: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
