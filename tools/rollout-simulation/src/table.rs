//! Cells of a grid as CSV, table and chart.

use crate::interval::exact;
use crate::release::Course;
use plotters::prelude::*;
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::fmt::Write;
use std::path::Path;

/// One cell: rates with their exact interval at 95%, medians in seconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    pub kind: String,
    pub trouble: String,
    pub judge: String,
    pub agents: usize,
    pub rate: f64,
    pub runs: usize,
    pub back: usize,
    pub back_low: f64,
    pub back_high: f64,
    pub released: usize,
    /// Released and never sent back while it was watched.
    pub carried: usize,
    pub carried_low: f64,
    pub carried_high: f64,
    /// Neither within the time that a release is given.
    pub undecided: usize,
    pub seconds_back: f64,
    pub seconds_released: f64,
    pub lost: f64,
}

/// The median; not a number where there is none.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

impl Row {
    pub fn of(
        kind: &str,
        trouble: &str,
        judge: &str,
        agents: usize,
        rate: f64,
        all: &[Course],
    ) -> Row {
        let count = |f: &dyn Fn(&Course) -> bool| all.iter().filter(|c| f(c)).count();
        let back = count(&|c| c.back.is_some());
        let carried = count(&|c| c.released.is_some() && c.back.is_none());
        let ((back_low, back_high), (carried_low, carried_high)) =
            (exact(back, all.len()), exact(carried, all.len()));
        Row {
            kind: kind.into(),
            trouble: trouble.into(),
            judge: judge.into(),
            agents,
            rate,
            runs: all.len(),
            back,
            back_low,
            back_high,
            released: count(&|c| c.released.is_some()),
            carried,
            carried_low,
            carried_high,
            undecided: count(&|c| c.released.is_none() && c.back.is_none()),
            seconds_back: median(all.iter().filter_map(|c| c.back).collect()),
            seconds_released: median(all.iter().filter_map(|c| c.released).collect()),
            lost: all.iter().map(|c| c.lost).sum::<f64>() / all.len().max(1) as f64,
        }
    }

    /// What must not happen to it: its count and interval.
    fn wrong(&self) -> (usize, f64, f64) {
        match self.kind.as_str() {
            "good" => (self.back, self.back_low, self.back_high),
            _ => (self.carried, self.carried_low, self.carried_high),
        }
    }
}

/// Writes rows as CSV, to standard output where no file is named.
pub fn write<T: Serialize>(rows: &[T], out: Option<&Path>) -> Result<(), String> {
    let sink: Box<dyn std::io::Write> = match out {
        Some(path) => {
            Box::new(std::fs::File::create(path).map_err(|e| format!("{}: {e}", path.display()))?)
        }
        None => Box::new(std::io::stdout()),
    };
    let mut csv = csv::Writer::from_writer(sink);
    for row in rows {
        csv.serialize(row).map_err(|e| e.to_string())?;
    }
    csv.flush().map_err(|e| e.to_string())
}

pub fn read<T: DeserializeOwned>(path: &Path) -> Result<Vec<T>, String> {
    let mut csv = csv::Reader::from_path(path).map_err(|e| format!("{}: {e}", path.display()))?;
    csv.deserialize()
        .collect::<Result<_, _>>()
        .map_err(|e| format!("{}: {e}", path.display()))
}

/// A table for people.
pub fn text(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<10} {:<18} {:<8} {:>6} {:>5} {:>7} {:>15} {:>8} {:>9} {:>7} {:>9} {:>6}\n",
        "build",
        "trouble",
        "judge",
        "agents",
        "runs",
        "wrong",
        "interval",
        "released",
        "undecided",
        "back s",
        "release s",
        "lost"
    );
    for r in rows {
        let (wrong, low, high) = r.wrong();
        let interval = format!("{:.1}% to {:.1}%", 100.0 * low, 100.0 * high);
        let _ = writeln!(
            text,
            "{:<10} {:<18} {:<8} {:>6} {:>5} {:>7} {:>15} {:>8} {:>9} {:>7.1} {:>9.1} {:>5.1}%",
            r.kind,
            r.trouble,
            r.judge,
            r.agents,
            r.runs,
            wrong,
            interval,
            r.released,
            r.undecided,
            r.seconds_back,
            r.seconds_released,
            100.0 * r.lost
        );
    }
    text
}

/// Rates of what must not happen, with their intervals, and the stated rates as lines.
pub fn chart(rows: &[Row], out: &Path) -> Result<(), String> {
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", out.display());
    let height = 60 + 16 * rows.len() as u32;
    let area = SVGBackend::new(out, (1000, height)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| told(&e))?;
    let most = rows.iter().map(|r| r.wrong().2).fold(0.06, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .margin_left(300)
        .x_label_area_size(30)
        .build_cartesian_2d(0.0..100.0 * most, 0.0..rows.len() as f64)
        .map_err(|e| told(&e))?;
    let mesh = chart
        .configure_mesh()
        .disable_y_mesh()
        .disable_y_axis()
        .x_desc("per cent")
        .draw();
    mesh.map_err(|e| told(&e))?;
    for (i, r) in rows.iter().enumerate() {
        let y = rows.len() as f64 - i as f64 - 0.5;
        let (wrong, low, high) = r.wrong();
        let colour = if r.judge == "stated" {
            BLUE
        } else {
            RGBColor(150, 150, 150)
        };
        let stated = if r.kind == "good" { 1.0 } else { 5.0 };
        let at = 100.0 * wrong as f64 / r.runs.max(1) as f64;
        let mut draw = |points: Vec<(f64, f64)>, style: ShapeStyle| {
            chart
                .draw_series([PathElement::new(points, style)])
                .map(|_| ())
                .map_err(|e| told(&e))
        };
        draw(
            vec![(stated, y - 0.5), (stated, y + 0.5)],
            RED.stroke_width(1),
        )?;
        draw(
            vec![(100.0 * low, y), (100.0 * high, y)],
            colour.stroke_width(2),
        )?;
        chart
            .draw_series([Circle::new((at, y), 3, colour.filled())])
            .map_err(|e| told(&e))?;
        let label = format!("{} / {} / {}", r.kind, r.trouble, r.judge);
        let place = (
            10,
            (height as f64 - 45.0 - y * (height as f64 - 60.0) / rows.len() as f64) as i32 - 4,
        );
        area.draw(&Text::new(label, place, ("sans-serif", 12)))
            .map_err(|e| told(&e))?;
    }
    area.present().map_err(|e| told(&e))
}
