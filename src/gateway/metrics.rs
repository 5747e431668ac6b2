//! Counters and latency histograms, served as text on an address of the settings.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hdrhistogram::Histogram;

/// The longest time that is told apart: two minutes, over any route's time limit.
const LONGEST_MS: u64 = 120_000;
/// Significant digits; one keeps a histogram at about 2 KB.
const DIGITS: u8 = 1;
/// The longest name in a label, in bytes; longer ones are cut.
const MAX_LABEL_BYTES: usize = 200;
/// Series that are kept; further ones are counted together, so that memory is bounded.
const MOST_SERIES: usize = 400;

/// What is measured of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Time {
    /// Until the head of the answer, or the first event.
    First,
    /// Until the answer was complete.
    Whole,
    /// The longest pause between two events.
    Gap,
    /// From the loss of an upstream to the next event.
    Resume,
    /// Until an upstream's answer to one attempt was whole, or its first event came.
    Upstream,
    /// Until the directory answered a call.
    Directory,
}

impl Time {
    fn name(self) -> &'static str {
        match self {
            Time::First => "first_ms",
            Time::Whole => "whole_ms",
            Time::Gap => "gap_ms",
            Time::Resume => "resume_ms",
            Time::Upstream => "upstream_ms",
            Time::Directory => "directory_ms",
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Series {
    time: Time,
    organisation: Arc<str>,
    class: Arc<str>,
}

#[derive(Debug, Default)]
struct Kept {
    counters: BTreeMap<&'static str, u64>,
    gauges: BTreeMap<&'static str, u64>,
    times: BTreeMap<Series, Histogram<u64>>,
}

/// All counters, gauges and histograms of a process.
#[derive(Debug, Default)]
pub struct Metrics {
    kept: Mutex<Kept>,
}

impl Metrics {
    /// Counts one more.
    pub fn count(&self, name: &'static str) {
        *self.lock().counters.entry(name).or_default() += 1;
    }

    /// Counts so many more.
    pub fn count_more(&self, name: &'static str, more: u64) {
        *self.lock().counters.entry(name).or_default() += more;
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: u64) {
        self.lock().gauges.insert(name, value);
    }

    /// Records a time of an organisation and class.
    pub fn record(&self, time: Time, organisation: &Arc<str>, class: &Arc<str>, value_ms: u64) {
        let mut kept = self.lock();
        let mut series =
            Series { time, organisation: Arc::clone(organisation), class: Arc::clone(class) };
        if kept.times.len() >= MOST_SERIES && !kept.times.contains_key(&series) {
            series.organisation = Arc::from("other");
            series.class = Arc::from("other");
        }
        let histogram = kept.times.entry(series).or_insert_with(empty);
        histogram.saturating_record(value_ms);
    }

    /// Everything as lines of name, labels and value.
    pub fn render(&self) -> String {
        let kept = self.lock();
        let mut text = String::new();
        for (name, value) in kept.counters.iter().chain(&kept.gauges) {
            let _ = writeln!(text, "siskinrock_{name} {value}");
        }
        for (series, histogram) in &kept.times {
            let labels = format!(
                "organisation=\"{}\",class=\"{}\"",
                label(&series.organisation),
                label(&series.class)
            );
            let name = series.time.name();
            for quantile in [0.5, 0.95, 0.99, 1.0] {
                let value = histogram.value_at_quantile(quantile);
                let _ =
                    writeln!(text, "siskinrock_{name}{{{labels},quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "siskinrock_{name}_count{{{labels}}} {}", histogram.len());
        }
        text
    }

    fn lock(&self) -> MutexGuard<'_, Kept> {
        // Each change leaves the maps whole, also when a holder of the lock panicked.
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A name as the value of a label: its beginning, without what would end the value.
fn label(name: &str) -> String {
    let name = &name[..name.floor_char_boundary(MAX_LABEL_BYTES)];
    name.replace('\\', r"\\").replace('"', "\\\"").replace('\n', r"\n")
}

fn empty() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, LONGEST_MS, DIGITS).expect("the bounds are valid")
}
