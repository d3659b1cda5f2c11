//! Plots burn rates as SVG.

use std::path::{Path, PathBuf};

use plotters::prelude::*;
use snafu::Snafu;

use crate::report::{Report, WINDOWS};

/// The plot could not be drawn or written.
#[derive(Debug, Snafu)]
#[snafu(display("{}: could not write the plot", path.display()))]
pub(crate) struct PlotError {
    path: PathBuf,
}

/// Writes a plot to `path` with one line per row: its burn rate in each window.
pub(crate) fn write_svg(path: &Path, report: &Report) -> Result<(), PlotError> {
    draw(path, report).map_err(|_| PlotError { path: path.to_owned() })
}

fn draw(path: &Path, report: &Report) -> Result<(), Box<dyn std::error::Error>> {
    let rates = report.rows.iter().flat_map(|it| it.burn.iter().copied());
    let max_rate = rates.fold(2.0, f64::max);
    let last_window = WINDOWS.len() as f64 - 1.0;
    let area = SVGBackend::new(path, (760, 440)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Burn rate by window (1 uses up the budget exactly)", ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..last_window, 0.0..max_rate * 1.1)?;
    chart
        .configure_mesh()
        .x_labels(WINDOWS.len())
        .x_label_formatter(&|it| {
            format!("{} min", WINDOWS[(it.round() as usize).min(WINDOWS.len() - 1)])
        })
        .draw()?;
    chart.draw_series(LineSeries::new([(0.0, 1.0), (last_window, 1.0)], BLACK))?;
    for (index, row) in report.rows.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = row.burn.iter().enumerate().map(|(window, rate)| (window as f64, *rate));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(format!("{} {}", row.account, row.class))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
