//! Histograms per organisation and class: kept here for `show latency`, and sent by statsd.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::prelude::*;
use cadence::{NopMetricSink, StatsdClient, UdpMetricSink};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The largest time that is told apart: an hour.
const LONGEST_MS: u64 = 3_600_000;
/// Significant digits that are kept.
const DIGITS: u8 = 2;

/// One finished request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Whose it was.
    pub organisation: Arc<str>,
    /// The service, which is its class.
    pub service: Arc<str>,
    /// How it ended.
    pub outcome: &'static str,
    /// The time to its first token or byte.
    pub first_ms: Option<u64>,
    /// The whole time.
    pub total_ms: u64,
    /// Tokens that it got.
    pub tokens: u32,
    /// Attempts after the first.
    pub extra_attempts: u32,
    /// The longest wait after a loss.
    pub resume_ms: u64,
}

impl Sample {
    /// A request that ended without a token.
    pub fn without_answer(
        organisation: &Arc<str>,
        service: &Arc<str>,
        outcome: &'static str,
        total_ms: u64,
    ) -> Sample {
        Sample {
            organisation: Arc::clone(organisation),
            service: Arc::clone(service),
            outcome,
            first_ms: None,
            total_ms,
            tokens: 0,
            extra_attempts: 0,
            resume_ms: 0,
        }
    }
}

/// What the histograms are kept by.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Series {
    organisation: Arc<str>,
    service: Arc<str>,
}

struct Pair {
    first: Histogram<u64>,
    total: Histogram<u64>,
    resume: Histogram<u64>,
}

/// All histograms of this instance.
pub struct Metrics {
    statsd: StatsdClient,
    series: BTreeMap<Series, Pair>,
}

/// The points of a series' histograms, to be added up over instances.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Points {
    /// Whose requests.
    pub organisation: Arc<str>,
    /// To which service.
    pub service: Arc<str>,
    /// Times to the first token or byte.
    pub first: Vec<Point>,
    /// Whole times.
    pub total: Vec<Point>,
    /// Waits after a loss.
    pub resume: Vec<Point>,
}

/// How often a value was seen.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Point {
    /// The value.
    pub value_ms: u64,
    /// How often.
    pub count: u64,
}

impl Metrics {
    /// Metrics that are sent to `statsd`, if it is given and can be used.
    pub fn new(statsd: Option<SocketAddr>) -> Metrics {
        let client = statsd
            .and_then(open)
            .unwrap_or_else(|| StatsdClient::from_sink("siskinrock", NopMetricSink));
        Metrics { statsd: client, series: BTreeMap::new() }
    }

    /// Adds a finished request.
    pub fn record(&mut self, sample: &Sample) {
        self.send(sample);
        let series = Series {
            organisation: Arc::clone(&sample.organisation),
            service: Arc::clone(&sample.service),
        };
        let pair = self.series.entry(series).or_insert_with(Pair::new);
        if let Some(first_ms) = sample.first_ms {
            pair.first.saturating_record(first_ms);
        }
        pair.total.saturating_record(sample.total_ms);
        if sample.resume_ms > 0 {
            pair.resume.saturating_record(sample.resume_ms);
        }
    }

    fn send(&self, sample: &Sample) {
        let organisation = &*sample.organisation;
        let service = &*sample.service;
        let total = self.statsd.histogram_with_tags("request_ms", sample.total_ms);
        total.with_tag("organisation", organisation).with_tag("class", service).send();
        if let Some(first_ms) = sample.first_ms {
            let first = self.statsd.histogram_with_tags("first_ms", first_ms);
            first.with_tag("organisation", organisation).with_tag("class", service).send();
        }
        let count = self.statsd.count_with_tags("requests", 1);
        count.with_tag("outcome", sample.outcome).with_tag("class", service).send();
        if sample.extra_attempts > 0 {
            let extra = self.statsd.count_with_tags("resumes", i64::from(sample.extra_attempts));
            extra.with_tag("class", service).send();
        }
    }

    /// The points of all series.
    pub fn points(&self) -> Vec<Points> {
        let points = self.series.iter().map(|(series, pair)| Points {
            organisation: Arc::clone(&series.organisation),
            service: Arc::clone(&series.service),
            first: points_of(&pair.first),
            total: points_of(&pair.total),
            resume: points_of(&pair.resume),
        });
        points.collect()
    }
}

impl Pair {
    fn new() -> Pair {
        Pair { first: empty(), total: empty(), resume: empty() }
    }
}

fn open(statsd: SocketAddr) -> Option<StatsdClient> {
    let any = if statsd.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(any).ok()?;
    socket.set_nonblocking(true).ok()?;
    let sink = UdpMetricSink::from(statsd, socket).ok()?;
    Some(StatsdClient::from_sink("siskinrock", sink))
}

fn empty() -> Histogram<u64> {
    // The bounds are constants that the library accepts.
    Histogram::new_with_bounds(1, LONGEST_MS, DIGITS).expect("the bounds are valid")
}

fn points_of(histogram: &Histogram<u64>) -> Vec<Point> {
    let recorded = histogram.iter_recorded();
    recorded
        .map(|step| Point { value_ms: step.value_iterated_to(), count: step.count_at_value() })
        .collect()
}

/// Percentiles over the points of any number of series.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Summary {
    /// How many values.
    pub count: u64,
    /// The median.
    pub p50_ms: u64,
    /// 95 in 100 are at most this.
    pub p95_ms: u64,
    /// 99 in 100 are at most this.
    pub p99_ms: u64,
    /// The largest.
    pub max_ms: u64,
}

/// Adds up points and summarises them.
pub fn summarise<'a>(points: impl Iterator<Item = &'a Point>) -> Summary {
    let mut sum = empty();
    for point in points {
        sum.saturating_record_n(point.value_ms, point.count);
    }
    Summary {
        count: sum.len(),
        p50_ms: sum.value_at_quantile(0.5),
        p95_ms: sum.value_at_quantile(0.95),
        p99_ms: sum.value_at_quantile(0.99),
        max_ms: sum.max(),
    }
}
