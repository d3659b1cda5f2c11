//! The report as a picture.

use std::path::{Path, PathBuf};

use plotters::prelude::*;
use snafu::Snafu;

use crate::report::{Report, WINDOWS};

/// The plot can't be drawn.
#[derive(Debug, Snafu)]
#[snafu(display("{}: the plot can't be drawn", file.display()))]
pub(crate) struct PlotError {
    file: PathBuf,
}

/// Draws each row's burn rates over the windows.
pub(crate) fn write(file: &Path, report: &Report) -> Result<(), PlotError> {
    draw(file, report).map_err(|_| PlotError { file: file.to_owned() })
}

fn draw(file: &Path, report: &Report) -> Result<(), Box<dyn std::error::Error>> {
    let rates = report.rows.iter().flat_map(|it| it.burn.iter().copied());
    let highest = rates.fold(2.0, f64::max);
    let last = WINDOWS.len() as f64 - 1.0;
    let area = SVGBackend::new(file, (760, 440)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("Burn rate by window (1 spends the budget exactly)", ("sans-serif", 16))
        .margin(12)
        .x_label_area_size(32)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..last, 0.0..highest * 1.1)?;
    chart
        .configure_mesh()
        .x_labels(WINDOWS.len())
        .x_label_formatter(&|it| {
            format!("{} min", WINDOWS[(it.round() as usize).min(WINDOWS.len() - 1)])
        })
        .draw()?;
    chart.draw_series(LineSeries::new([(0.0, 1.0), (last, 1.0)], BLACK))?;
    for (at, row) in report.rows.iter().enumerate() {
        let color = Palette99::pick(at).to_rgba();
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
