//! Quantiles of the last few hundred samples of a duration or a size.

use hdrhistogram::Histogram;

/// Upper bound on the values that are distinguished; larger ones count as this.
const LONGEST: u64 = 120_000;
/// Significant digits: timeouts need no more precision, and a histogram then takes 1 KB.
const DIGITS: u8 = 1;
/// Number of samples after which a new window begins; the last two windows count. So a slowdown of
/// a service shows after at most this many answers.
const SPAN: u64 = 200;
/// Minimum number of samples for an estimate: with twenty, the largest one is already a poor 95th
/// percentile, and with fewer there is no usable estimate.
const LEAST: u64 = 20;

/// Samples in one unit. A response that never arrived counts with the time that was waited for it.
#[derive(Debug)]
pub struct Latencies {
    now: Histogram<u32>,
    before: Histogram<u32>,
}

impl Default for Latencies {
    fn default() -> Latencies {
        let empty =
            || Histogram::new_with_bounds(1, LONGEST, DIGITS).expect("the bounds are constants");
        Latencies { now: empty(), before: empty() }
    }
}

impl Latencies {
    /// Adds a sample; 0 counts as 1.
    pub fn record(&mut self, value: u64) {
        if self.now.len() >= SPAN {
            std::mem::swap(&mut self.now, &mut self.before);
            self.now.reset();
        }
        self.now.saturating_record(value.clamp(1, LONGEST));
    }

    /// Returns the value that a fraction of the samples, from 0 to 1, does not exceed; `None` while
    /// there are too few. The larger of the two windows' values counts, so that a slowdown takes
    /// effect at once and its end only after a whole window.
    pub fn quantile(&self, part: f64) -> Option<u64> {
        let is_enough = |span: &&Histogram<u32>| span.len() >= LEAST;
        let spans = [&self.now, &self.before];
        spans.iter().copied().filter(is_enough).map(|span| span.value_at_quantile(part)).max()
    }
}
