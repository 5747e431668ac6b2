//! Learned speed of upstreams, relative to the other upstreams of their service.
//!
//! Upstreams of one service may run on unequal machines, and each may be slowed for a moment by
//! what shares its machine. An estimate holds the speed that an upstream would have if it were not
//! slowed at all; the slowness that it reports comes on top while the report is fresh, and its
//! usual slowness otherwise. So the reported slowness never counts twice, and an upstream that
//! always reports the same wrong figure is estimated correctly all the same. See
//! [docs/design/uneven-upstreams.md](../../../docs/design/uneven-upstreams.md).

use serde::{Deserialize, Serialize};

/// Range of the speeds that are believed. Even the slowest upstream keeps getting some work, which
/// shows when it has recovered.
const BELIEVED_SPEEDS: std::ops::RangeInclusive<f64> = 0.25..=4.0;
/// How many times slower than usual an upstream may be according to its last report.
const MAX_REPORTED_SLOWDOWN: f64 = 4.0;
/// How many times faster than usual an upstream may be according to its last report. A claim to be
/// fast attracts work, so less of it is believed.
const MAX_REPORTED_SPEEDUP: f64 = 2.0;
/// How many times larger or smaller than the mean one sample counts at most.
const MAX_SAMPLE_RATIO: f64 = 4.0;
/// Number of samples up to which an estimate has no effect.
const MIN_SAMPLES: f32 = 1.0;
/// Number of samples from which an estimate has its whole effect.
const FULL_SAMPLES: f32 = 4.0;
/// Maximum weight of an instance's own estimate, in samples: the error of their mean is a quarter
/// of that of one sample, and a change of speed still shows after a few samples.
const MAX_OWN_SAMPLES: f32 = 16.0;
/// Maximum weight of an estimate merged from several instances, in samples: four instances with
/// full weight, so that one alone never outweighs the rest.
const MAX_MERGED_SAMPLES: f32 = 64.0;
/// Time in which the weight of an estimate halves without new samples.
const HALF_LIFE_MS: f32 = 10_000.0;
/// How long after its last sample an estimate has its whole effect.
const FRESH_MS: u32 = 10_000;
/// How long after its last sample an estimate has no effect. So an upstream that gets no work
/// because it was slow gets some again, and shows whether it has recovered.
const STALE_MS: u32 = 30_000;
/// Minimum interval between two samples of the reported slowness: reports close to each other
/// describe the same moment.
const SLOWNESS_SAMPLE_INTERVAL_MS: u64 = 100;
/// Minimum weight at which an estimate is worth sending to peers, in samples.
const MIN_SHARED_SAMPLES: f32 = 0.1;

/// Mean of a positive quantity with the weight of its samples. It averages logarithms, so that half
/// and twice the mean are equally far from it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Estimate {
    log_mean: f32,
    samples: f32,
    /// The time since the last sample, in milliseconds.
    age_ms: u32,
}

impl Estimate {
    /// Adds a sample; one that is not a positive number is ignored.
    pub fn add(&mut self, value: f64) {
        let log = value.ln() as f32;
        if !log.is_finite() {
            return;
        }
        let max_step = MAX_SAMPLE_RATIO.ln() as f32;
        let is_known = self.samples >= MIN_SAMPLES;
        let step = log - self.log_mean;
        let step = if is_known { step.clamp(-max_step, max_step) } else { step };
        self.samples = (self.samples + 1.0).min(MAX_OWN_SAMPLES);
        self.log_mean += step / self.samples;
        self.age_ms = 0;
    }

    /// The mean; 1 without samples.
    pub fn mean(&self) -> f64 {
        f64::from(self.log_mean).exp()
    }

    fn merge(&mut self, other: &Estimate) {
        if !(other.log_mean.is_finite() && other.samples > 0.0) {
            return;
        }
        let weight = other.samples.min(MAX_MERGED_SAMPLES);
        self.age_ms = if self.samples > 0.0 { self.age_ms.min(other.age_ms) } else { other.age_ms };
        let total = self.samples + weight;
        self.log_mean += (other.log_mean - self.log_mean) * weight / total;
        self.samples = total.min(MAX_MERGED_SAMPLES);
    }

    fn aged(self, by_ms: u64) -> Estimate {
        let samples = self.samples * (-(by_ms as f32) / HALF_LIFE_MS).exp2();
        let by_ms = u32::try_from(by_ms).unwrap_or(u32::MAX);
        Estimate { samples, age_ms: self.age_ms.saturating_add(by_ms), ..self }
    }

    /// How much of the estimate counts, from 0 to 1.
    fn confidence(&self) -> f64 {
        let ramp = (self.samples - MIN_SAMPLES) / (FULL_SAMPLES - MIN_SAMPLES);
        let left_ms = STALE_MS.saturating_sub(self.age_ms);
        let freshness = f64::from(left_ms) / f64::from(STALE_MS - FRESH_MS);
        f64::from(ramp.clamp(0.0, 1.0)) * freshness.min(1.0)
    }
}

/// What is known of the speed of one upstream. The rates are those that it would have without any
/// slowness.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedSpeed {
    /// Prompt tokens that it reads per millisecond.
    pub reading: Estimate,
    /// Events per second of a run beside which no prompt is read.
    pub running: Estimate,
    /// The usual time of a whole answer on its route, divided by the time that it took.
    pub answering: Estimate,
    /// The slowness that it reports; 1 is usual.
    pub slowness: Estimate,
}

impl LearnedSpeed {
    /// Adds the samples of another instance.
    pub fn merge(&mut self, other: &LearnedSpeed) {
        self.reading.merge(&other.reading);
        self.running.merge(&other.running);
        self.answering.merge(&other.answering);
        self.slowness.merge(&other.slowness);
    }

    /// The same estimates some time later, without new samples.
    pub fn aged(&self, by_ms: u64) -> LearnedSpeed {
        LearnedSpeed {
            reading: self.reading.aged(by_ms),
            running: self.running.aged(by_ms),
            answering: self.answering.aged(by_ms),
            slowness: self.slowness.aged(by_ms),
        }
    }

    /// Whether it is worth sending to peers.
    pub fn is_worth_sharing(&self) -> bool {
        [self.reading, self.running, self.answering, self.slowness]
            .iter()
            .any(|estimate| estimate.samples >= MIN_SHARED_SAMPLES)
    }

    /// Logarithm of a rate at the upstream's usual slowness, if it is known.
    fn usual_log(&self, rate: &Estimate) -> Option<f64> {
        let is_known = rate.confidence() > 0.0;
        is_known.then(|| f64::from(rate.log_mean) - f64::from(self.slowness.log_mean))
    }

    /// How much faster or slower than usual an upstream is that reports a slowness, as a logarithm.
    fn reported_log(&self, slowness: Option<f64>) -> f64 {
        let Some(slowness) = slowness.filter(|_| self.slowness.confidence() > 0.0) else {
            return 0.0;
        };
        let log = f64::from(self.slowness.log_mean) - slowness.ln();
        if log.is_nan() {
            return 0.0;
        }
        log.clamp(-MAX_REPORTED_SLOWDOWN.ln(), MAX_REPORTED_SPEEDUP.ln())
    }
}

/// Usual time of an answer on a route.
#[derive(Debug, Clone, Default)]
pub struct AnswerTimes {
    times_ms: Estimate,
}

impl AnswerTimes {
    /// Adds the time of an answer. Returns the usual time divided by it.
    pub fn note_answer(&mut self, took_ms: f64) -> f64 {
        self.times_ms.add(took_ms);
        self.times_ms.mean() / took_ms
    }

    /// Returns the usual time divided by the time for which an answer was awaited in vain, if that
    /// was longer than usual. A shorter wait says nothing of the upstream's speed, and how long a
    /// caller waits says nothing of the usual time.
    pub fn timeout_ratio(&self, waited_ms: f64) -> Option<f64> {
        let usual_ms = (self.times_ms.samples > 0.0).then(|| self.times_ms.mean())?;
        (waited_ms > usual_ms).then(|| usual_ms / waited_ms)
    }
}

/// How many rounds of work an upstream needs until it answers one more call: more than one if the
/// call has to wait for a slot. The slots are the upstream's own claim. Few slots make it look
/// fast, so no more of that is believed than of a reported slowness.
pub fn answer_rounds(runs: u32, reported_slots: Option<u32>) -> f64 {
    let slots = reported_slots.filter(|slots| *slots > 0);
    let rounds = slots.map_or(1.0, |slots| (f64::from(runs) + 1.0) / f64::from(slots));
    rounds.clamp(1.0, MAX_REPORTED_SPEEDUP)
}

/// Samples that this instance took of one upstream.
#[derive(Debug, Clone, Default)]
pub struct SpeedHistory {
    learned: LearnedSpeed,
    updated_ms: u64,
    slowness_sampled_ms: Option<u64>,
}

impl SpeedHistory {
    /// Adds a slowness that the upstream reported.
    pub fn note_slowness(&mut self, slowness: f64, now_ms: u64) {
        let is_due = |at_ms: u64| now_ms >= at_ms + SLOWNESS_SAMPLE_INTERVAL_MS;
        if self.slowness_sampled_ms.is_none_or(is_due) {
            self.slowness_sampled_ms = Some(now_ms);
            self.at(now_ms).slowness.add(slowness);
        }
    }

    /// Adds the rate of reading a prompt while the upstream had a slowness, if that is known.
    pub fn note_reading(&mut self, tokens_per_ms: f64, slowness: Option<f64>, now_ms: u64) {
        let rate = tokens_per_ms * self.slowness(slowness);
        self.at(now_ms).reading.add(rate);
    }

    /// Adds the pace of a run that was measured by a [`PaceMeter`](super::pace::PaceMeter).
    pub fn note_running(&mut self, events_per_s: f64, now_ms: u64) {
        self.at(now_ms).running.add(events_per_s);
    }

    /// Adds the usual time of an answer divided by the time that it took.
    pub fn note_answer(&mut self, ratio: f64, slowness: Option<f64>, now_ms: u64) {
        let rate = ratio * self.slowness(slowness);
        self.at(now_ms).answering.add(rate);
    }

    /// The given slowness, or else the usual one.
    pub fn slowness(&self, slowness: Option<f64>) -> f64 {
        slowness.unwrap_or_else(|| self.learned.slowness.mean())
    }

    /// What is known at a time.
    pub fn learned(&self, now_ms: u64) -> LearnedSpeed {
        self.learned.aged(now_ms.saturating_sub(self.updated_ms))
    }

    fn at(&mut self, now_ms: u64) -> &mut LearnedSpeed {
        self.learned = self.learned(now_ms);
        self.updated_ms = self.updated_ms.max(now_ms);
        &mut self.learned
    }
}

/// Speed of an upstream relative to the median of its service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed {
    /// Speed of reading prompts.
    pub reading: f64,
    /// Speed of runs, or of answers without a prompt.
    pub running: f64,
}

impl Speed {
    /// The speed of an upstream of which nothing is known.
    pub const USUAL: Speed = Speed { reading: 1.0, running: 1.0 };

    /// The lower of the two.
    pub fn min(&self) -> f64 {
        self.reading.min(self.running)
    }
}

/// Median rates of the upstreams of a service, as logarithms, with which each is compared.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Baseline {
    reading: Option<f64>,
    running: Option<f64>,
    answering: Option<f64>,
}

impl Baseline {
    /// Takes the medians of what is known of a service's upstreams.
    pub fn of(all: &[LearnedSpeed]) -> Baseline {
        let median_of = |rate: fn(&LearnedSpeed) -> &Estimate| {
            median(all.iter().filter_map(|learned| learned.usual_log(rate(learned))).collect())
        };
        Baseline {
            reading: median_of(|learned| &learned.reading),
            running: median_of(|learned| &learned.running),
            answering: median_of(|learned| &learned.answering),
        }
    }

    /// Speed of an upstream with the slowness that it reported a moment ago, if any. Where another
    /// rate is known with more confidence it stands in, since a fast machine does everything faster.
    pub fn speed(&self, learned: &LearnedSpeed, slowness: Option<f64>) -> Speed {
        let relative_log = |rate: &Estimate, median: Option<f64>| {
            let confidence = rate.confidence();
            let log = (learned.usual_log(rate)? - median?) * confidence;
            Some(RelativeRate { log, confidence })
        };
        let reading = relative_log(&learned.reading, self.reading);
        let running = relative_log(&learned.running, self.running);
        let answering = relative_log(&learned.answering, self.answering);
        let reported = learned.reported_log(slowness);
        let speed = |rates| bounded((most_confident_log(rates) + reported).exp());
        Speed {
            reading: speed([reading, running, answering]),
            running: speed([running, answering, reading]),
        }
    }
}

/// A rate relative to the median of its service.
#[derive(Debug, Clone, Copy)]
struct RelativeRate {
    /// Its logarithm, as far as it counts.
    log: f64,
    confidence: f64,
}

/// The logarithm of the rate that is known best, of equal ones the first; 0 if none is known.
fn most_confident_log(rates: [Option<RelativeRate>; 3]) -> f64 {
    // `max_by` returns the last of equal ones.
    let known = rates.into_iter().rev().flatten();
    let best = known.max_by(|one, other| one.confidence.total_cmp(&other.confidence));
    best.map_or(0.0, |rate| rate.log)
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    let upper = *values.get(values.len() / 2)?;
    let lower = values[(values.len() - 1) / 2];
    Some(f64::midpoint(lower, upper))
}

fn bounded(speed: f64) -> f64 {
    speed.clamp(*BELIEVED_SPEEDS.start(), *BELIEVED_SPEEDS.end())
}
