//! Quantiles of the last few hundred samples of a duration or a size.

use hdrhistogram::Histogram;

/// Upper bound on the values that are distinguished; larger ones count as this.
const MAX_VALUE: u64 = 120_000;
/// Significant digits: timeouts need no more precision, and a histogram then takes 1 KB.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Number of samples after which a new window begins; the last two windows count. So a slowdown of
/// a service shows after at most this many answers.
const SAMPLES_PER_WINDOW: u64 = 200;
/// Minimum number of samples for an estimate: with twenty, the largest one is already a poor 95th
/// percentile, and with fewer there is no usable estimate.
const MIN_SAMPLES: u64 = 20;

/// Samples in one unit. A response that never arrived counts with the time that was waited for it.
#[derive(Debug)]
pub struct Latencies {
    current: Histogram<u32>,
    previous: Histogram<u32>,
}

impl Default for Latencies {
    fn default() -> Latencies {
        let empty = || {
            Histogram::new_with_bounds(1, MAX_VALUE, SIGNIFICANT_DIGITS)
                .expect("the bounds are constants")
        };
        Latencies { current: empty(), previous: empty() }
    }
}

impl Latencies {
    /// Adds a sample; 0 counts as 1.
    pub fn record(&mut self, value: u64) {
        if self.current.len() >= SAMPLES_PER_WINDOW {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
        }
        self.current.saturating_record(value.clamp(1, MAX_VALUE));
    }

    /// Returns the value that a fraction of the samples, from 0 to 1, does not exceed; `None` while
    /// there are too few. The larger of the two windows' values counts, so that a slowdown takes
    /// effect at once and its end only after a whole window.
    pub fn quantile(&self, fraction: f64) -> Option<u64> {
        let has_enough = |window: &&Histogram<u32>| window.len() >= MIN_SAMPLES;
        let windows = [&self.current, &self.previous];
        windows
            .iter()
            .copied()
            .filter(has_enough)
            .map(|window| window.value_at_quantile(fraction))
            .max()
    }
}
