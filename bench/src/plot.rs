//! A plot of measured points and their line, as SVG.

use plotters::prelude::*;

use crate::fit::{Line, Point};

/// A series to draw.
pub struct Series<'a> {
    pub name: &'a str,
    pub points: &'a [Point],
    pub line: Line,
}

/// Draws each series in a panel of its own, one below the other.
pub fn draw(file: &str, series: &[Series<'_>]) -> Result<(), Box<dyn std::error::Error>> {
    const WIDTH: u32 = 640;
    const PANEL: u32 = 160;
    let root = SVGBackend::new(file, (WIDTH, PANEL * series.len() as u32)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, series) in root.split_evenly((series.len(), 1)).iter().zip(series) {
        let most = |value: fn(&Point) -> f64| series.points.iter().map(value).fold(0.0, f64::max);
        let (most_x, most_y) = (most(|point| point.x), most(|point| point.y) * 1.1 + 1e-9);
        let mut chart = ChartBuilder::on(area)
            .margin(12)
            .build_cartesian_2d(0.0..most_x.max(1.0), 0.0..most_y)?;
        let dots = series.points.iter().map(|p| Circle::new((p.x, p.y), 3, BLUE.filled()));
        chart.draw_series(dots)?;
        let ends = [0.0, most_x].map(|x| (x, series.line.base + series.line.slope * x));
        chart.draw_series(LineSeries::new(ends, &RED))?;
    }
    root.present()?;
    Ok(())
}
