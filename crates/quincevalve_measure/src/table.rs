//! Result tables, with output as text, CSV and plots.

use std::{
    fmt::Write as _,
    path::{Path, PathBuf},
};

use plotters::prelude::*;
use snafu::{ResultExt, Snafu};

/// Errors while writing results.
#[derive(Debug, Snafu)]
pub(crate) enum WriteError {
    #[snafu(display("{}: {source}", file.display()))]
    File { file: PathBuf, source: std::io::Error },
    #[snafu(display("{}: the plot can't be drawn", file.display()))]
    Plot { file: PathBuf },
}

/// A table of measured values.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    name: &'static str,
    title: String,
    columns: Vec<&'static str>,
    rows: Vec<Vec<String>>,
    plot: Option<Plot>,
}

/// The columns shown in a table's plot.
#[derive(Clone, Copy, Debug)]
struct Plot {
    x: usize,
    y: usize,
    series: usize,
}

impl Table {
    pub(crate) fn new(
        name: &'static str,
        title: impl Into<String>,
        columns: &[&'static str],
    ) -> Self {
        Self { name, title: title.into(), columns: columns.to_vec(), rows: Vec::new(), plot: None }
    }

    /// Plots column `y` against column `x`, with one line per value of `series`.
    pub(crate) fn with_plot(self, x: usize, y: usize, series: usize) -> Self {
        Self { plot: Some(Plot { x, y, series }), ..self }
    }

    pub(crate) fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    pub(crate) fn extend(&mut self, row: Option<Vec<String>>) {
        self.rows.extend(row);
    }

    #[expect(clippy::print_stdout, reason = "the tables are what the program is for")]
    pub(crate) fn print(&self) {
        println!("\n{} ({})", self.title, self.name);
        let width = |at: usize| {
            let cells = self.rows.iter().map(|it| it[at].chars().count());
            cells.chain([self.columns[at].len()]).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..self.columns.len()).map(width).collect();
        let line = |cells: &[String]| {
            let mut text = String::new();
            for (cell, width) in cells.iter().zip(&widths) {
                let _ = write!(text, "{cell:>width$}  ");
            }
            text.trim_end().to_owned()
        };
        let head: Vec<_> = self.columns.iter().map(|it| (*it).to_owned()).collect();
        println!("{}", line(&head));
        for row in &self.rows {
            println!("{}", line(row));
        }
    }

    /// Writes the table's plot, if it has one.
    pub(crate) fn write_svg(&self, folder: &Path) -> Result<(), WriteError> {
        let Some(plot) = self.plot else { return Ok(()) };
        std::fs::create_dir_all(folder).context(FileSnafu { file: folder })?;
        let file = folder.join(format!("{}.svg", self.name));
        self.draw(&file, plot).map_err(|_| WriteError::Plot { file: file.clone() })
    }

    fn points(&self, plot: Plot) -> Vec<(String, Vec<(f64, f64)>)> {
        let mut lines: Vec<(String, Vec<(f64, f64)>)> = Vec::new();
        for row in &self.rows {
            let (Ok(x), Ok(y)) = (row[plot.x].parse(), row[plot.y].parse()) else { continue };
            let name = &row[plot.series];
            match lines.iter_mut().find(|it| it.0 == *name) {
                Some(line) => line.1.push((x, y)),
                None => lines.push((name.clone(), vec![(x, y)])),
            }
        }
        lines
    }

    fn draw(&self, file: &Path, plot: Plot) -> Result<(), Box<dyn std::error::Error>> {
        let lines = self.points(plot);
        let all = lines.iter().flat_map(|it| it.1.iter());
        let (max_x, max_y) =
            all.fold((1e-9_f64, 1e-9_f64), |max, it| (max.0.max(it.0), max.1.max(it.1)));
        let area = SVGBackend::new(file, (720, 420)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(&self.title, ("sans-serif", 16))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..max_x * 1.05, 0.0..max_y * 1.05)?;
        chart.configure_mesh().x_desc(self.columns[plot.x]).y_desc(self.columns[plot.y]).draw()?;
        for (at, (name, points)) in lines.into_iter().enumerate() {
            let color = Palette99::pick(at).to_rgba();
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        area.present()?;
        Ok(())
    }
}

/// Writes all tables to one CSV file; each row starts with its table's name.
pub(crate) fn write_csv(file: &Path, tables: &[Table]) -> Result<(), WriteError> {
    let mut text = String::new();
    for table in tables {
        let _ = writeln!(text, "table,{}", table.columns.join(","));
        for row in &table.rows {
            let _ = writeln!(text, "{},{}", table.name, row.join(","));
        }
    }
    std::fs::write(file, text).context(FileSnafu { file })
}

/// Formats a number with two decimals.
pub(crate) fn two(value: f64) -> String {
    format!("{value:.2}")
}
