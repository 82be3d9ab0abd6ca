//! Plays many seeds.

use gumdrop::Options;
use magpieline_nursery::{Grove, Net, Planting, Played};
use std::ops::Range;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;

#[derive(Options)]
struct Line {
    #[options(help = "show this")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Options)]
enum Command {
    #[options(help = "break things by chance, check after every step")]
    Run(Run),
}

#[derive(Options)]
struct Run {
    #[options(help = "show this")]
    help: bool,
    #[options(help = "such as 1000..2000", required, parse(try_from_str = "seeds"))]
    seeds: Range<u64>,
    #[options(help = "machines at the first start (3)", default = "3")]
    machines: usize,
    #[options(help = "steps of a seed (20000)", default = "20000")]
    steps: u64,
}

fn seeds(text: &str) -> Result<Range<u64>, String> {
    let range = text.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    range.ok_or_else(|| format!("'{text}' should be two numbers such as 1000..2000"))
}

fn main() -> ExitCode {
    let line = Line::parse_args_default_or_exit();
    match line.command {
        Some(Command::Run(run)) => play(&run),
        None => {
            eprintln!("Say what to do, such as: nursery run --seeds 0..100\n\n{}", Line::usage());
            ExitCode::FAILURE
        }
    }
}

fn play(run: &Run) -> ExitCode {
    let next = AtomicU64::new(run.seeds.start);
    let failed = AtomicU64::new(0);
    let total = Mutex::new(Played::default());
    let threads = thread::available_parallelism().map_or(1, |count| count.get());
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= run.seeds.end {
                    return;
                }
                let endure = || {
                    let planting = Planting { seed, machines: run.machines, net: Net::CALM };
                    let mut grove = Grove::plant(planting);
                    grove.endure(seed, run.steps);
                    grove.played()
                };
                if let Ok(played) = catch_unwind(AssertUnwindSafe(endure)) {
                    total.lock().expect("not poisoned").add(&played);
                } else {
                    failed.fetch_add(1, Ordering::Relaxed);
                    let (machines, steps) = (run.machines, run.steps);
                    println!(
                        "seed {seed} failed; again with: nursery run --seeds {seed}..{} --machines {machines} --steps {steps}",
                        seed + 1
                    );
                }
            });
        }
    });
    let failed = failed.into_inner();
    let total = total.into_inner().expect("not poisoned");
    println!(
        "{} seeds of {} machines, {failed} failed; {total:?}",
        run.seeds.end - run.seeds.start,
        run.machines
    );
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
