//! The `report` module provides the table, the JSON file and the plot of a measurement.

use std::fs;
use std::path::Path;

use eyre::{Result, eyre};
use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend, WHITE,
};
use serde::Serialize;

/// Size of a plot in pixels.
const SIZE: (u32, u32) = (960, 540);

/// Limit from the stated aims.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// The value should not be higher.
    AtMost(f64),
    /// The value should not be lower.
    AtLeast(f64),
}

impl Bound {
    /// Returns whether a value keeps to the bound; a value that was not measured does not.
    #[must_use]
    pub fn is_met(self, value: f64) -> bool {
        match self {
            Self::AtMost(bound) => value <= bound,
            Self::AtLeast(bound) => value >= bound,
        }
    }
}

/// One measured value.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Scenario or deployment.
    pub scenario: String,
    /// Policy: the product or a baseline.
    pub policy: String,
    /// What was measured.
    pub measure: String,
    /// Value; null in the file if there was nothing to measure.
    pub value: f64,
    /// Unit of the value.
    pub unit: &'static str,
    /// Aim, if one is stated.
    pub bound: Option<Bound>,
    /// Whether the aim is met.
    pub met: Option<bool>,
}

/// One curve of the plot.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// Name of the curve.
    pub name: String,
    /// Points.
    pub points: Vec<(f64, f64)>,
}

/// Result of one measurement.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Name of the measurement and of its files.
    pub name: String,
    /// Seed of the run.
    pub seed: u64,
    /// Whether the runs were shortened, so that the figures are trials only.
    pub quick: bool,
    /// Conditions and limits of the measurement.
    pub notes: Vec<String>,
    /// Values.
    pub rows: Vec<Row>,
    /// Label of the horizontal axis.
    pub x: &'static str,
    /// Label of the vertical axis.
    pub y: &'static str,
    /// Curves.
    pub series: Vec<Series>,
}

impl Report {
    /// Creates an empty report.
    #[must_use]
    pub fn new(name: &str, settings: &crate::settings::Settings, axes: [&'static str; 2]) -> Self {
        Self {
            name: name.to_owned(),
            seed: settings.seed,
            quick: settings.quick,
            notes: Vec::new(),
            rows: Vec::new(),
            x: axes[0],
            y: axes[1],
            series: Vec::new(),
        }
    }

    /// Adds a condition or limit of the measurement.
    pub fn note(&mut self, text: impl Into<String>) {
        self.notes.push(text.into());
    }

    /// Adds a value and shows it at once, since a run takes minutes.
    pub fn add(
        &mut self,
        place: (&str, &str),
        measure: &str,
        value: (f64, &'static str),
        bound: Option<Bound>,
    ) {
        let row = Row {
            scenario: place.0.to_owned(),
            policy: place.1.to_owned(),
            measure: measure.to_owned(),
            value: value.0,
            unit: value.1,
            bound,
            met: bound.map(|bound| bound.is_met(value.0)),
        };
        eprintln!("{}", line(&row));
        self.rows.push(row);
    }

    /// Adds a curve.
    pub fn curve(&mut self, name: impl Into<String>, points: Vec<(f64, f64)>) {
        let name = name.into();
        self.series.push(Series { name, points });
    }

    /// Prints the table and writes the JSON file and the plot into `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written.
    pub fn publish(&self, folder: &Path) -> Result<()> {
        println!();
        for note in &self.notes {
            println!("note: {note}");
        }
        for row in &self.rows {
            println!("{}", line(row));
        }
        fs::create_dir_all(folder)?;
        let json = folder.join(format!("{}.json", self.name));
        fs::write(&json, serde_json::to_vec_pretty(self)?)?;
        println!("written: {}", json.display());
        if self.series.iter().any(|series| !series.points.is_empty()) {
            let plot = folder.join(format!("{}.svg", self.name));
            self.plot(&plot).map_err(|error| eyre!("{error}"))?;
            println!("written: {}", plot.display());
        }
        Ok(())
    }

    fn plot(&self, path: &Path) -> Result<(), Box<dyn std::error::Error + '_>> {
        let points = self.series.iter().flat_map(|series| &series.points);
        let (mut left, mut right, mut top) = (f64::MAX, f64::MIN, f64::MIN_POSITIVE);
        for (x, y) in points {
            left = left.min(*x);
            right = right.max(*x);
            top = top.max(*y);
        }
        if left >= right {
            right = left + 1.0;
        }
        let area = SVGBackend::new(path, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(12)
            .caption(&self.name, ("sans-serif", 18))
            .x_label_area_size(40)
            .y_label_area_size(70)
            .build_cartesian_2d(left..right, 0.0..top * 1.05)?;
        chart
            .configure_mesh()
            .x_desc(self.x)
            .y_desc(self.y)
            .draw()?;
        for (index, series) in self.series.iter().enumerate() {
            let color = Palette99::pick(index);
            chart
                .draw_series(LineSeries::new(series.points.iter().copied(), &color))?
                .label(&series.name)
                .legend(move |(x, y)| {
                    PathElement::new([(x, y), (x + 18, y)], Palette99::pick(index))
                });
        }
        chart
            .configure_series_labels()
            .background_style(WHITE)
            .draw()?;
        area.present()?;
        Ok(())
    }
}

fn line(row: &Row) -> String {
    let verdict = match (row.bound, row.met) {
        (Some(Bound::AtMost(bound)), Some(met)) => {
            format!("{} (at most {bound})", if met { "met" } else { "MISSED" })
        }
        (Some(Bound::AtLeast(bound)), Some(met)) => {
            format!("{} (at least {bound})", if met { "met" } else { "MISSED" })
        }
        _ => String::new(),
    };
    format!(
        "{:<34} {:<14} {:<44} {:>14.3} {:<9} {verdict}",
        row.scenario, row.policy, row.measure, row.value, row.unit
    )
}
