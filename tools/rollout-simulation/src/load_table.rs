//! The grid of loads: means over seeds, as CSV, table and chart.

use crate::load::{capacity, play, Control, Course, Plan};
use crate::table::median;
use crate::world::{parts, BENEFIT};
use plotters::prelude::*;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use std::path::Path;

pub const CONTROLS: [(&str, Control); 3] = [
    ("nothing", Control::Nothing),
    ("bounces", Control::Bounces),
    ("levels", Control::Levels),
];
/// Parts of what nodes can take that a fixed admission spends; the best of them is known only in hindsight.
const FIXED: [f64; 9] = [0.6, 0.65, 0.7, 0.75, 0.8, 0.85, 0.9, 0.95, 1.0];

/// One cell.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    pub control: String,
    pub agents: usize,
    pub load: f64,
    pub slows: f64,
    pub returns: f64,
    pub restarts: bool,
    pub runs: u64,
    /// Parts answered in time while the load was up, by path group, and for the first account and the others.
    pub group_0: f64,
    pub group_1: f64,
    pub group_2: f64,
    pub group_3: f64,
    pub heavy: f64,
    pub others: f64,
    /// Benefit of answers in time, in parts of all that was asked for, and of the best fixed admission in hindsight.
    pub benefit: f64,
    pub of_best: f64,
    /// Seconds to enter and to leave, medians; the most changes of one agent and the least time between two.
    pub entered: f64,
    pub left: f64,
    pub changes: usize,
    pub closest: f64,
}

/// Benefit a second that is asked for at this load.
fn asked(load: f64) -> f64 {
    load * capacity()
        * parts()
            .iter()
            .zip(BENEFIT)
            .map(|(part, benefit)| part * benefit)
            .sum::<f64>()
}

/// Plays one cell for all controls.
pub fn cell(plan: Plan, runs: u64, progress: impl Fn() + Sync) -> Vec<Row> {
    let courses = |control| -> Vec<Course> {
        let one = |i: u64| {
            let course = play(&Plan {
                control,
                seed: plan.seed + i,
                ..plan
            });
            progress();
            course
        };
        (0..runs).into_par_iter().map(one).collect()
    };
    let mean = |all: &[Course], of: &dyn Fn(&Course) -> f64| {
        all.iter().map(of).sum::<f64>() / all.len() as f64
    };
    let fixed = FIXED.map(|of| mean(&courses(Control::Fixed(of)), &|c| c.benefit));
    let best = fixed.into_iter().fold(0.0, f64::max);
    let row = |(name, control): &(&str, Control)| {
        let all = courses(*control);
        let group = |g: usize| mean(&all, &|c| c.in_time[g]);
        let benefit = mean(&all, &|c| c.benefit);
        Row {
            control: (*name).into(),
            agents: plan.agents,
            load: plan.load,
            slows: plan.slows,
            returns: plan.returns,
            restarts: plan.restarts.is_some(),
            runs,
            group_0: group(0),
            group_1: group(1),
            group_2: group(2),
            group_3: group(3),
            heavy: mean(&all, &|c| c.heavy),
            others: mean(&all, &|c| c.others),
            benefit: benefit / asked(plan.load),
            of_best: benefit / best,
            entered: median(all.iter().map(|c| c.entered).collect()),
            left: median(all.iter().map(|c| c.left).collect()),
            changes: all.iter().map(|c| c.changes).max().unwrap_or(0),
            closest: all.iter().map(|c| c.closest).fold(f64::INFINITY, f64::min),
        }
    };
    CONTROLS.iter().map(row).collect()
}

/// A table for people.
pub fn text(rows: &[Row]) -> String {
    let mut text = format!(
        "{:<8} {:>6} {:>5} {:>5} {:>7} {:>8} {:>7} {:>7} {:>7} {:>7} {:>6} {:>6} {:>7} {:>7} {:>7} {:>6} {:>7} {:>7}\n",
        "control", "agents", "load", "slows", "returns", "restarts", "group-0", "group-1", "group-2", "group-3", "heavy",
        "others", "benefit", "of best", "entered", "left", "changes", "closest"
    );
    for r in rows {
        let _ = writeln!(
            text,
            "{:<8} {:>6} {:>5.2} {:>5.1} {:>7.1} {:>8} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>6.3} {:>6.3} {:>7.3} {:>7.3} {:>7.1} \
             {:>6.1} {:>7} {:>7.1}",
            r.control,
            r.agents,
            r.load,
            r.slows,
            r.returns,
            if r.restarts { "yes" } else { "no" },
            r.group_0,
            r.group_1,
            r.group_2,
            r.group_3,
            r.heavy,
            r.others,
            r.benefit,
            r.of_best,
            r.entered,
            r.left,
            r.changes,
            r.closest
        );
    }
    text
}

/// Benefit in time by load, a line a control, for the cells without slowdown, returns or restarts of the fewest agents.
pub fn chart(rows: &[Row], out: &Path) -> Result<(), String> {
    let told = |e: &dyn std::fmt::Display| format!("{}: {e}", out.display());
    let plain = |r: &&Row| r.slows <= 1.0 && r.returns <= 0.0 && !r.restarts;
    let agents = rows
        .iter()
        .filter(plain)
        .map(|r| r.agents)
        .min()
        .ok_or("expected a plain cell")?;
    let rows: Vec<&Row> = rows
        .iter()
        .filter(plain)
        .filter(|r| r.agents == agents)
        .collect();
    let most = rows.iter().map(|r| r.load).fold(1.0, f64::max);
    let area = SVGBackend::new(out, (800, 480)).into_drawing_area();
    area.fill(&WHITE).map_err(|e| told(&e))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0.9..most + 0.1, 0.0..1.05)
        .map_err(|e| told(&e))?;
    let mesh = chart
        .configure_mesh()
        .x_desc("load, in parts of what nodes can take")
        .y_desc("in time: payments (solid), all benefit (thin)")
        .draw();
    mesh.map_err(|e| told(&e))?;
    let colours = [RGBColor(150, 150, 150), RED, BLUE];
    for ((name, _), colour) in CONTROLS.iter().zip(colours) {
        let of = |value: fn(&Row) -> f64| -> Vec<(f64, f64)> {
            rows.iter()
                .filter(|r| r.control == *name)
                .map(|r| (r.load, value(r)))
                .collect()
        };
        let thick = LineSeries::new(of(|r| r.group_3), colour.stroke_width(3));
        let series = chart.draw_series(thick).map_err(|e| told(&e))?;
        series
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(3)));
        let thin = LineSeries::new(of(|r| r.benefit), colour.stroke_width(1));
        chart.draw_series(thin).map_err(|e| told(&e))?;
    }
    let legend = chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw();
    legend.map_err(|e| told(&e))?;
    area.present().map_err(|e| told(&e))
}
