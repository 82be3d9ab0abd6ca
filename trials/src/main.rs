//! Plays grids of simulated releases and counts how often votes are wrong, how long they take, what is lost.

mod interval;
mod judge;
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
/// Example: magpieline-trials run --runs 200 --out docs/verdict/grid.csv
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

/// Words of a list with commas, each of which has to be known; all of them where there is none.
fn words<'a>(what: &str, list: &'a str, known: &[&'static str]) -> Result<Vec<&'static str>, String> {
    let find = |word: &'a str| {
        let found = known.iter().find(|k| **k == word.trim());
        found.copied().ok_or_else(|| format!("{what}: found {word}, expected of: {}", known.join(", ")))
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
        return Err("agents, runs, rate: expected at least 1, and a rate of 100,000 at most".into());
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
                    let course = play(&Plan { kind, trouble, judge: *judge, agents, rate, seed });
                    bar.inc(1);
                    course
                };
                let courses: Vec<_> = (0..run.runs).into_par_iter().map(one).collect();
                rows.push(table::Row::of(kind, trouble, name, run.agents, run.rate, &courses));
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
        Command::Chart(c) => table::read(&c.file).and_then(|rows| table::chart(&rows, &c.out)),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("magpieline-trials: {message}");
            ExitCode::FAILURE
        }
    }
}
