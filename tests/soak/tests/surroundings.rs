//! What surrounds the gateways of a seed: what is drawn, and whether it is as odd as it says.

use std::collections::BTreeSet;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::Value;
use siskinrock_fakes::output::{Output, Reading};
use siskinrock_fakes::site;
use siskinrock_soak::faults::Sizes;
use siskinrock_soak::odd::{self, Odd, Oddity, Without};
use siskinrock_soak::surroundings::{self, Surrounding, Timed};

const SIZES: Sizes = Sizes { gateways: 4, engines: 6, services: 3 };
const LENGTH: Duration = Duration::from_secs(8);
const SEEDS: std::ops::Range<u64> = 0..400;

fn draw(seed: u64, without: Without) -> Vec<Timed> {
    surroundings::draw(seed, SIZES, LENGTH, without)
}

/// The name of a kind, without what it holds.
fn kind(of: &impl std::fmt::Debug) -> String {
    format!("{of:?}").chars().take_while(char::is_ascii_alphabetic).collect()
}

#[test]
fn what_a_run_goes_without_changes_nothing_else_of_a_seed() {
    let without = Without { keys: true, addresses: true };
    for seed in SEEDS {
        let mut all = draw(seed, Without::default());
        let is_left_out = |timed: &Timed| matches!(timed.what, Surrounding::Entry(odd) if without.leaves_out(odd));
        all.retain(|timed| !is_left_out(timed));
        assert_eq!(draw(seed, without), all, "seed {seed}");
    }
}

#[test]
fn every_kind_is_drawn() {
    let (mut kinds, mut odd, mut values) = (BTreeSet::new(), BTreeSet::new(), BTreeSet::new());
    for timed in SEEDS.flat_map(|seed| draw(seed, Without::default())) {
        kinds.insert(kind(&timed.what));
        let Surrounding::Entry(entry) = timed.what else { continue };
        odd.insert(kind(&entry));
        if let Odd::Value(oddity) | Odd::Own(_, oddity) | Odd::Engine(_, oddity) = entry {
            values.insert(kind(&oddity));
        }
    }
    assert_eq!(kinds.len(), 7, "{kinds:?}");
    assert_eq!(odd.len(), 5, "{odd:?}");
    assert_eq!(values.len(), 11, "{values:?}");
}

#[test]
fn an_entry_that_points_elsewhere_is_a_workers_in_all_else() {
    let addr = "127.0.0.1:80".parse().expect("an address");
    let odd: Value = serde_json::from_slice(&odd::pointing("booking-app", addr)).expect("JSON");
    let workers = site::server_entry("booking-app", site::ZONES[0], "ready", addr);
    assert_eq!(odd, workers);
}

#[test]
fn values_are_as_deep_and_as_long_as_they_say() {
    let depth = |oddity| odd::value(oddity).iter().filter(|byte| **byte == b'[').count();
    assert_eq!(depth(Oddity::Deep(true)), 200_000);
    assert_eq!(depth(Oddity::DeepVersion), 200_000);
    assert!(odd::value(Oddity::Long).len() > 500_000);
    assert!(std::str::from_utf8(&odd::value(Oddity::NoText)).is_err());
}

/// Writes a line to a process's output; returns whether that could be written.
fn say(output: &Output, line: &str) -> bool {
    let status = Command::new("echo").arg(line).stdout(output.writer()).status();
    status.expect("the system has it").success()
}

/// Waits until a log has a line.
fn wait_for(log: &Path, line: &str) {
    let since = Instant::now();
    while !std::fs::read_to_string(log).unwrap_or_default().contains(line) {
        assert!(since.elapsed() < Duration::from_secs(10), "{line:?} never came");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn a_reader_of_output_leaves_and_comes_back() {
    let folder = std::env::temp_dir().join(format!("siskinrock-output-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the temporary folder can be written");
    let log = folder.join("log");
    let output = Output::start(folder.join("pipe"), &log);
    assert!(say(&output, "first"));
    wait_for(&log, "first");
    output.set(Reading::HasLeft);
    let since = Instant::now();
    while say(&output, "second") {
        assert!(since.elapsed() < Duration::from_secs(10), "the reader never left");
    }
    output.set(Reading::Reads);
    let since = Instant::now();
    while !say(&output, "third") {
        assert!(since.elapsed() < Duration::from_secs(10), "the reader never came back");
    }
    wait_for(&log, "third");
    std::fs::remove_dir_all(&folder).expect("it was written");
}
