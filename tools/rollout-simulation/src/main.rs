//! Plays grids of simulated releases and counts how often votes are wrong, how long they take, what is lost.

mod cores;
mod interval;
mod judge;
mod load;
mod load_table;
mod release;
mod table;
mod world;

use argh::FromArgs;
use indicatif::{ProgressBar, ProgressStyle};
use judge::JUDGES;
use rayon::prelude::*;
use release::{play, Plan};
use std::path::PathBuf;
use std::process::ExitCode;
use world::{BAD, TROUBLES};

/// Simulated releases by the thousand: how often good ones are sent back and bad ones carried.
/// Example: magpieline-rollout-simulation run --runs 200 --out docs/verdict/grid.csv
#[derive(FromArgs)]
struct CommandLine {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(Run),
    Table(Table),
    Chart(Chart),
    Levels(Levels),
    LevelsTable(LevelsTable),
    LevelsChart(LevelsChart),
    Cores(Cores),
}

/// play a grid and write one line a cell as CSV. Example: run --runs 200 --kinds good,errors --out grid.csv
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// releases a cell (default 200)
    #[argh(option, default = "200")]
    runs: u64,
    /// kinds of builds, with commas: good, errors, group, work, late, busy, wrong, slows all (default: all)
    #[argh(option, default = "String::new()")]
    kinds: String,
    /// troubles, with commas: calm, slowdown, shared errors, heavy keys, ... (default: all)
    #[argh(option, default = "String::new()")]
    troubles: String,
    /// judges, with commas: earlier, stated, clock, window, wald (default: earlier,stated)
    #[argh(option, default = "\"earlier,stated\".into()")]
    judges: String,
    /// agents (default 1)
    #[argh(option, default = "1")]
    agents: usize,
    /// hits a second over all agents (default 340)
    #[argh(option, default = "340.0")]
    rate: f64,
    /// the first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// where the CSV goes (default: standard output)
    #[argh(option)]
    out: Option<PathBuf>,
}

/// print a CSV as a table. Example: table grid.csv
#[derive(FromArgs)]
#[argh(subcommand, name = "table")]
struct Table {
    /// the CSV
    #[argh(positional)]
    file: PathBuf,
}

/// draw the rates of a CSV with their intervals as SVG. Example: chart grid.csv --out grid.svg
#[derive(FromArgs)]
#[argh(subcommand, name = "chart")]
struct Chart {
    /// the CSV
    #[argh(positional)]
    file: PathBuf,
    /// the picture
    #[argh(option)]
    out: PathBuf,
}

/// play loads beyond what nodes can take, against levels, bounces and nothing. Example: levels --out levels.csv
#[derive(FromArgs)]
#[argh(subcommand, name = "levels")]
struct Levels {
    /// days a cell and control (default 8)
    #[argh(option, default = "8")]
    runs: u64,
    /// loads in parts of what nodes can take, with commas (default 1.0,1.25,1.5,2.0,2.5,3.0)
    #[argh(option, default = "\"1.0,1.25,1.5,2.0,2.5,3.0\".into()")]
    loads: String,
    /// agents, with commas (default 1,30)
    #[argh(option, default = "\"1,30\".into()")]
    agents: String,
    /// all nodes so many times slower meanwhile (default 1)
    #[argh(option, default = "1.0")]
    slows: f64,
    /// the part of those turned away that come back once (default 0)
    #[argh(option, default = "0.0")]
    returns: f64,
    /// all agents start anew at this time, in seconds; the load is up from 30 to 90
    #[argh(option)]
    restarts: Option<f64>,
    /// where the CSV goes (default: standard output)
    #[argh(option)]
    out: Option<PathBuf>,
}

/// print a CSV of loads as a table. Example: levels-table levels.csv
#[derive(FromArgs)]
#[argh(subcommand, name = "levels-table")]
struct LevelsTable {
    /// the CSV
    #[argh(positional)]
    file: PathBuf,
}

/// draw what is in time by load as SVG. Example: levels-chart levels.csv --out levels.svg
#[derive(FromArgs)]
#[argh(subcommand, name = "levels-chart")]
struct LevelsChart {
    /// the CSV
    #[argh(positional)]
    file: PathBuf,
    /// the picture
    #[argh(option)]
    out: PathBuf,
}

/// measure prototypes for several cores, in real time. Example: cores --seconds 1
#[derive(FromArgs)]
#[argh(subcommand, name = "cores")]
struct Cores {
    /// seconds for each figure (default 1)
    #[argh(option, default = "1.0")]
    seconds: f64,
}

/// Numbers of a list with commas, within bounds.
fn numbers(what: &str, list: &str, least: f64, most: f64) -> Result<Vec<f64>, String> {
    let one = |word: &str| {
        let number = word
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|n| (least..=most).contains(n));
        number.ok_or_else(|| {
            format!("{what}: found {word}, expected a number from {least} to {most}")
        })
    };
    list.split(',').map(one).collect()
}

fn levels(l: &Levels) -> Result<(), String> {
    let loads = numbers("loads", &l.loads, 0.1, 10.0)?;
    let agents = numbers("agents", &l.agents, 1.0, 10_000.0)?;
    if l.runs == 0 || !(1.0..=10.0).contains(&l.slows) || !(0.0..=1.0).contains(&l.returns) {
        return Err("runs, slows, returns: expected at least 1, from 1 to 10, from 0 to 1".into());
    }
    let cells = loads.len() * agents.len();
    let bar = ProgressBar::new(cells as u64 * l.runs * 12);
    let style = ProgressStyle::with_template("{bar:40} {pos} of {len} days, {eta} left");
    bar.set_style(style.map_err(|e| e.to_string())?);
    let mut rows = Vec::new();
    for agents in &agents {
        for load in &loads {
            let plan = load::Plan {
                control: load::Control::Nothing,
                agents: *agents as usize,
                load: *load,
                slows: l.slows,
                returns: l.returns,
                restarts: l.restarts,
                seed: 1,
            };
            rows.extend(load_table::cell(plan, l.runs, || bar.inc(1)));
        }
    }
    bar.finish_and_clear();
    table::write(&rows, l.out.as_deref())
}

/// Words of a list with commas, each of which has to be known; all of them where there is none.
fn words<'a>(
    what: &str,
    list: &'a str,
    known: &[&'static str],
) -> Result<Vec<&'static str>, String> {
    let find = |word: &'a str| {
        let found = known.iter().find(|k| **k == word.trim());
        found
            .copied()
            .ok_or_else(|| format!("{what}: found {word}, expected of: {}", known.join(", ")))
    };
    if list.is_empty() {
        return Ok(known.to_vec());
    }
    list.split(',').map(find).collect()
}

fn run(run: &Run) -> Result<(), String> {
    let kinds: Vec<&'static str> = ["good"].into_iter().chain(BAD).collect();
    let kinds = words("kinds", &run.kinds, &kinds)?;
    let troubles = words("troubles", &run.troubles, &TROUBLES)?;
    let judges = words("judges", &run.judges, &JUDGES.map(|(name, _)| name))?;
    if run.agents == 0 || run.runs == 0 || !(run.rate > 0.0 && run.rate <= 1e5) {
        return Err(
            "agents, runs, rate: expected at least 1, and a rate of 100,000 at most".into(),
        );
    }
    let cells = kinds.len() * troubles.len() * judges.len();
    // Silent where nobody looks: the bar draws on terminals only.
    let bar = ProgressBar::new(cells as u64 * run.runs);
    let style = ProgressStyle::with_template("{bar:40} {pos} of {len} releases, {eta} left, {msg}");
    bar.set_style(style.map_err(|e| e.to_string())?);
    let mut rows = Vec::new();
    for kind in &kinds {
        for trouble in &troubles {
            for (name, judge) in JUDGES.iter().filter(|(name, _)| judges.contains(name)) {
                bar.set_message(format!("{kind} / {trouble} / {name}"));
                let one = |i: u64| {
                    let (agents, rate, seed) = (run.agents, run.rate, run.seed + i);
                    let course = play(&Plan {
                        kind,
                        trouble,
                        judge: *judge,
                        agents,
                        rate,
                        seed,
                    });
                    bar.inc(1);
                    course
                };
                let courses: Vec<_> = (0..run.runs).into_par_iter().map(one).collect();
                rows.push(table::Row::of(
                    kind, trouble, name, run.agents, run.rate, &courses,
                ));
            }
        }
    }
    bar.finish_and_clear();
    table::write(&rows, run.out.as_deref())
}

fn main() -> ExitCode {
    let line: CommandLine = argh::from_env();
    let result = match &line.command {
        Command::Run(r) => run(r),
        Command::Table(t) => table::read(&t.file).map(|rows| print!("{}", table::text(&rows))),
        Command::Cores(c) if !(0.01..=60.0).contains(&c.seconds) => {
            Err("seconds: expected 0.01 to 60".into())
        }
        Command::Cores(c) => {
            print!("{}", cores::table(c.seconds));
            Ok(())
        }
        Command::Levels(l) => levels(l),
        Command::LevelsTable(t) => {
            table::read(&t.file).map(|rows| print!("{}", load_table::text(&rows)))
        }
        Command::LevelsChart(c) => {
            table::read(&c.file).and_then(|rows| load_table::chart(&rows, &c.out))
        }
        Command::Chart(c) => table::read(&c.file).and_then(|rows| table::chart(&rows, &c.out)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("magpieline-rollout-simulation: {message}");
            ExitCode::FAILURE
        }
    }
}
