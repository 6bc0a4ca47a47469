//! SVG plots of the goodput over time.

use std::path::Path;
use std::time::Duration;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};

use super::load::RootSample;
use super::scenario::PhaseTimes;

/// Width and height in pixels.
const IMAGE_SIZE: (u32, u32) = (900, 420);
const BIN: Duration = Duration::from_millis(200);

/// The goodput of one run over the due times of its requests.
#[derive(Clone, Debug)]
pub struct GoodputCurve {
    /// Name in the legend.
    pub name: String,
    /// Start of each bin in seconds, and its successful answers per second.
    pub points: Vec<(f64, f64)>,
}

impl GoodputCurve {
    /// Computes the curve of a run.
    pub fn new(name: String, times: &PhaseTimes, samples: &[RootSample]) -> Self {
        let count = (times.end().as_secs_f64() / BIN.as_secs_f64()).ceil() as usize;
        let mut bins = vec![0.0; count];
        for sample in samples.iter().filter(|sample| sample.is_success()) {
            let bin = (sample.due.as_secs_f64() / BIN.as_secs_f64()) as usize;
            bins[bin.min(count - 1)] += 1.0 / BIN.as_secs_f64();
        }
        let point = |(index, rate)| (index as f64 * BIN.as_secs_f64(), rate);
        GoodputCurve { name, points: bins.into_iter().enumerate().map(point).collect() }
    }
}

/// Draws the curves into one SVG file.
///
/// # Errors
/// The plotting library's error if the file cannot be written.
pub fn draw(
    file: &Path,
    title: &str,
    curves: &[GoodputCurve],
) -> Result<(), Box<dyn std::error::Error>> {
    let points = || curves.iter().flat_map(|curve| &curve.points);
    let last = points().map(|(at, _)| *at).fold(0.0, f64::max);
    let highest = points().map(|(_, rate)| *rate).fold(1.0, f64::max);
    let area = SVGBackend::new(file, IMAGE_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..last, 0.0..highest * 1.1)?;
    chart.configure_mesh().x_desc("seconds").y_desc("whole answers a second").draw()?;
    for (index, curve) in curves.iter().enumerate() {
        let colour = Palette99::pick(index).stroke_width(2);
        let line = LineSeries::new(curve.points.iter().copied(), colour);
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], colour);
        chart.draw_series(line)?.label(&curve.name).legend(legend);
    }
    chart.configure_series_labels().background_style(WHITE).draw()?;
    area.present()?;
    Ok(())
}
