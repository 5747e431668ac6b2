//! Straight lines through measured points, and percentiles.

use serde::Serialize;

/// A measured point.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Point {
    pub x: f64,
    pub y: f64,
}

/// The line `y = base + slope * x`, with the standard error of the slope.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Line {
    pub base: f64,
    pub slope: f64,
    pub slope_error: f64,
}

/// Fits a line by least squares; needs two points that differ in `x`.
pub fn line(points: &[Point]) -> Line {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.x - mean_x).powi(2)).sum();
    let common: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
    let slope = common / spread;
    let base = mean_y - slope * mean_x;
    let residual: f64 = points.iter().map(|p| (p.y - base - slope * p.x).powi(2)).sum();
    let freedom = (count - 2.0).max(1.0);
    Line { base, slope, slope_error: (residual / freedom / spread).sqrt() }
}

/// Percentiles of a sample.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Percentiles {
    pub count: usize,
    pub p50: f64,
    pub p95: f64,
    pub p99: f64,
    pub max: f64,
}

/// Sorts a sample and reads its percentiles.
pub fn percentiles(mut sample: Vec<f64>) -> Percentiles {
    if sample.is_empty() {
        return Percentiles::default();
    }
    sample.sort_by(f64::total_cmp);
    let last = sample.len() - 1;
    let at = |share: f64| sample[(last as f64 * share).round() as usize];
    Percentiles {
        count: sample.len(),
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
        max: sample[last],
    }
}
