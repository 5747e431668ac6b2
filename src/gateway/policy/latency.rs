//! What is known of how long something takes: quantiles of the last few hundred times.

use hdrhistogram::Histogram;

/// The longest time that is told apart; longer ones count as this.
const LONGEST: u64 = 120_000;
/// One significant digit: a decision on patience needs no more, and a histogram then takes 1 KB.
const DIGITS: u8 = 1;
/// After so many a new span begins; the last two spans count. A service that turned slow is known
/// to be after at most as many answers.
const SPAN: u64 = 200;
/// Below this number nothing is said: the highest of twenty is a poor 95th percentile, and fewer
/// tell nothing of it.
const LEAST: u64 = 20;

/// Times in one unit, those of what never came with the time that was waited.
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
    /// Takes in a time; one of 0 counts as 1.
    pub fn record(&mut self, value: u64) {
        if self.now.len() >= SPAN {
            std::mem::swap(&mut self.now, &mut self.before);
            self.now.reset();
        }
        self.now.saturating_record(value.clamp(1, LONGEST));
    }

    /// The time within which a part of them came, from 0 to 1; `None` before enough are
    /// known. The slower of the two spans counts, so that a slowdown is believed at once and its
    /// end after a span.
    pub fn quantile(&self, part: f64) -> Option<u64> {
        let is_enough = |span: &&Histogram<u32>| span.len() >= LEAST;
        let spans = [&self.now, &self.before];
        spans.iter().copied().filter(is_enough).map(|span| span.value_at_quantile(part)).max()
    }
}
