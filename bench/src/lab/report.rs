//! What the plays of an experiment say, as a table or as JSON.

use std::fmt::Write;

use serde::Serialize;

use super::model::{Mechanism, Outcome};

/// The 97.5th percentile of the normal distribution: the differences of a dozen seeds are near it.
const Z: f64 = 1.96;

type Plays = [(Option<Mechanism>, Vec<Outcome>)];

#[derive(Serialize)]
struct Row {
    without: Option<String>,
    seeds: usize,
    asked: f64,
    on_time: f64,
    late: f64,
    failed: f64,
    first_p50_ms: f64,
    first_p99_ms: f64,
    whole_p50_ms: f64,
    whole_p99_ms: f64,
    read_in_vain_tokens: f64,
    busiest_to_mean: f64,
    /// The part of streams on time with all mechanisms, less that without this one, and half of
    /// its 95% interval.
    gain: f64,
    gain_spread: f64,
}

fn rows(plays: &Plays) -> Vec<Row> {
    let all = &plays[0].1;
    plays.iter().map(|(without, outcomes)| row(without.as_ref(), outcomes, all)).collect()
}

fn row(without: Option<&Mechanism>, outcomes: &[Outcome], all: &[Outcome]) -> Row {
    let mean = |value: &dyn Fn(&Outcome) -> f64| mean(outcomes.iter().map(value));
    let gains: Vec<f64> = all
        .iter()
        .zip(outcomes)
        .map(|(all, one)| all.part_on_time() - one.part_on_time())
        .collect();
    let gain = self::mean(gains.iter().copied());
    let squares = gains.iter().map(|value| (value - gain).powi(2)).sum::<f64>();
    let deviation = (squares / (gains.len().max(2) - 1) as f64).sqrt();
    Row {
        without: without.map(ToString::to_string),
        seeds: outcomes.len(),
        asked: mean(&|one| one.asked as f64),
        on_time: mean(&|one| one.on_time as f64),
        late: mean(&|one| one.late as f64),
        failed: mean(&|one| one.failed as f64),
        first_p50_ms: mean(&|one| one.first_ms.value_at_quantile(0.5) as f64),
        first_p99_ms: mean(&|one| one.first_ms.value_at_quantile(0.99) as f64),
        whole_p50_ms: mean(&|one| one.whole_ms.value_at_quantile(0.5) as f64),
        whole_p99_ms: mean(&|one| one.whole_ms.value_at_quantile(0.99) as f64),
        read_in_vain_tokens: mean(&|one| one.read_in_vain_tokens),
        busiest_to_mean: mean(&|one| one.busiest_to_mean),
        gain,
        gain_spread: Z * deviation / (gains.len() as f64).sqrt(),
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let values: Vec<f64> = values.collect();
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// Means over the seeds, a line a mechanism that is off.
pub fn table(plays: &Plays) -> String {
    let mut text = format!(
        "{:<14} {:>7} {:>8} {:>7} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>8}  gain of the part on time\n",
        "without",
        "asked",
        "on time",
        "late",
        "failed",
        "first p50",
        "first p99",
        "whole p50",
        "whole p99",
        "in vain",
        "busiest"
    );
    for row in rows(plays) {
        let name = row.without.as_deref().unwrap_or("(all on)");
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "{name:<14} {:>7.0} {:>8.1} {:>7.1} {:>7.1} {:>9.0} {:>9.0} {:>9.0} {:>9.0} {:>9.0} {:>8.2}",
            row.asked,
            row.on_time,
            row.late,
            row.failed,
            row.first_p50_ms,
            row.first_p99_ms,
            row.whole_p50_ms,
            row.whole_p99_ms,
            row.read_in_vain_tokens,
            row.busiest_to_mean
        );
        let _ = match row.without {
            Some(_) => writeln!(text, "  {:+.4} +- {:.4}", row.gain, row.gain_spread),
            None => writeln!(text),
        };
    }
    text
}

/// The same for scripts.
pub fn json(plays: &Plays) -> String {
    let rows = serde_json::to_string_pretty(&rows(plays)).expect("rows are plain data");
    rows + "\n"
}
