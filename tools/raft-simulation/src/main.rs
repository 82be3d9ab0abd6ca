//! Plays many seeds.

use gumdrop::Options;
use magpieline_raft_simulation::{
    Called, Grove, Harvest, Micros, Net, Office, Planting, Played, Season, Sowing, Trouble, MILLI,
    SECOND,
};
use std::collections::BTreeMap;
use std::fmt::Debug;
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
    #[options(
        help = "lose no more at once than is promised, and always have a leader within five seconds"
    )]
    Losses(Run),
    #[options(
        help = "operators call while things break, and what they saw is checked as a history"
    )]
    Operators(Run),
    #[options(
        help = "how long it takes until a leader stands, a wiped machine votes; what idling costs"
    )]
    Measure(Measure),
    #[options(
        help = "hundreds of changes, with members in trouble one after the other, on stores as on machines"
    )]
    Season(SeasonLine),
}

#[derive(Options)]
struct SeasonLine {
    #[options(help = "show this")]
    help: bool,
    #[options(help = "such as 0..4", required, parse(try_from_str = "seeds"))]
    seeds: Range<u64>,
    #[options(help = "machines (3)", default = "3")]
    machines: usize,
    #[options(help = "changes of a seed (2000)", default = "2000")]
    changes: u64,
    #[options(help = "bytes of a configuration (4000000)", default = "4000000")]
    bytes: usize,
    #[options(help = "least milliseconds between two changes (500)", default = "500")]
    pause: u64,
    #[options(help = "microseconds that a message takes (500)", default = "500")]
    delay: u64,
    #[options(help = "Mbit/s of a machine's link (51)", default = "51")]
    mbps: u64,
    #[options(help = "of a thousand messages, so many are lost (0)", default = "0")]
    lost: u32,
    #[options(
        help = "milliseconds within which a member is up again (4000)",
        default = "4000"
    )]
    within: u64,
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
    #[options(
        help = "how long a machine counts as lost after its return, in ms (4000)",
        default = "4000"
    )]
    catch_up: u64,
    #[options(help = "threads (one for each processor)")]
    threads: Option<usize>,
}

#[derive(Options)]
struct Measure {
    #[options(help = "show this")]
    help: bool,
    #[options(help = "such as 0..1000", required, parse(try_from_str = "seeds"))]
    seeds: Range<u64>,
    #[options(help = "machines at the first start (3)", default = "3")]
    machines: usize,
    #[options(help = "delay of a link in milliseconds (1)", default = "1")]
    delay: u64,
}

fn seeds(text: &str) -> Result<Range<u64>, String> {
    let range = text
        .split_once("..")
        .and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    range.ok_or_else(|| format!("'{text}' should be two numbers such as 1000..2000"))
}

fn main() -> ExitCode {
    let line = Line::parse_args_default_or_exit();
    match line.command {
        Some(Command::Run(run)) => play(&run),
        Some(Command::Losses(run)) => lose(&run),
        Some(Command::Season(line)) => {
            seasons(&line);
            ExitCode::SUCCESS
        }
        Some(Command::Operators(run)) => call(&run),
        Some(Command::Measure(measure)) => {
            show(&measure);
            ExitCode::SUCCESS
        }
        None => {
            eprintln!(
                "Say what to do, such as: raft-simulation run --seeds 0..100\n\n{}",
                Line::usage()
            );
            ExitCode::FAILURE
        }
    }
}

/// One seed after the other; the first failure ends it.
fn seasons(line: &SeasonLine) {
    for seed in line.seeds.clone() {
        let harvest = Season::sow(Sowing {
            seed,
            machines: line.machines,
            net: Net {
                delay: line.delay,
                lost: line.lost,
                ..Net::CALM
            },
            rate: Some(line.mbps * 1_000_000 / 8),
            changes: line.changes,
            size: line.bytes,
            pause: line.pause * MILLI,
            catch_up: line.within * MILLI,
        })
        .harvest();
        let Harvest {
            acknowledged,
            trials,
            set_aside,
            most_on_disk,
            terms,
            longest_change,
            took,
        } = harvest;
        println!(
            "seed {seed}: {acknowledged} changes, {trials} trials, {set_aside} set aside, {terms} terms, most on disk {} MB, \
            longest change {} ms",
            most_on_disk >> 20,
            longest_change / MILLI
        );
        let mut by_trial: BTreeMap<String, Vec<Micros>> = BTreeMap::new();
        for (trial, took) in took {
            by_trial
                .entry(format!("{trial:?}"))
                .or_default()
                .push(took / MILLI);
        }
        for (trial, mut times) in by_trial {
            times.sort_unstable();
            let (half, most) = (times[times.len() / 2], times[times.len() - 1]);
            println!(
                "  up after {trial}: half {half} ms, most {most} ms, {} times",
                times.len()
            );
        }
    }
}

fn play(run: &Run) -> ExitCode {
    let total = Mutex::new(Played::default());
    let failed = each_seed(run, "run", |seed| {
        let planting = Planting {
            seed,
            machines: run.machines,
            net: Net::CALM,
        };
        let mut grove = Grove::plant_for(planting, (run.machines - 1) / 2, run.catch_up * MILLI);
        grove.endure(seed, run.steps);
        total.lock().expect("not poisoned").add(&grove.played());
    });
    ended(run, failed, &total.into_inner().expect("not poisoned"))
}

fn lose(run: &Run) -> ExitCode {
    let total = Mutex::new(Played::default());
    let failed = each_seed(run, "losses", |seed| {
        let planting = Planting {
            seed,
            machines: run.machines,
            net: Net::CALM,
        };
        let mut grove = Grove::plant_for(planting, (run.machines - 1) / 2, run.catch_up * MILLI);
        grove.endure_losses(seed, run.steps);
        total.lock().expect("not poisoned").add(&grove.played());
    });
    ended(run, failed, &total.into_inner().expect("not poisoned"))
}

fn call(run: &Run) -> ExitCode {
    let total = Mutex::new(Called::default());
    let failed = each_seed(run, "operators", |seed| {
        let called = Office::open(seed, run.machines).play(run.steps);
        total.lock().expect("not poisoned").add(&called);
    });
    ended(run, failed, &total.into_inner().expect("not poisoned"))
}

/// Plays each seed on all processors; how many failed.
fn each_seed(run: &Run, command: &str, play: impl Fn(u64) + Sync) -> u64 {
    let next = AtomicU64::new(run.seeds.start);
    let failed = AtomicU64::new(0);
    let threads = run
        .threads
        .unwrap_or_else(|| thread::available_parallelism().map_or(1, |count| count.get()));
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= run.seeds.end {
                    return;
                }
                if catch_unwind(AssertUnwindSafe(|| play(seed))).is_err() {
                    failed.fetch_add(1, Ordering::Relaxed);
                    let (machines, steps) = (run.machines, run.steps);
                    println!(
                        "seed {seed} failed; again with: raft-simulation {command} --seeds {seed}..{} --machines {machines} --steps {steps}",
                        seed + 1
                    );
                }
            });
        }
    });
    failed.into_inner()
}

fn ended(run: &Run, failed: u64, total: &dyn Debug) -> ExitCode {
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

/// Times in milliseconds over the seeds: least, half, nine of ten, 99 of 100, most.
fn show(measure: &Measure) {
    let net = Net {
        delay: measure.delay * MILLI,
        ..Net::CALM
    };
    let grown = |seed| {
        let mut grove = Grove::plant(Planting {
            seed,
            machines: measure.machines,
            net,
        });
        grove.run_for(3 * SECOND + seed % 100 * MILLI);
        grove
    };
    let tell = |what: &str, took: &dyn Fn(u64) -> Option<Micros>| {
        let mut times: Vec<Micros> = measure.seeds.clone().filter_map(took).collect();
        times.sort_unstable();
        let missed = measure.seeds.clone().count() - times.len();
        let at = |part: usize| times[(times.len() - 1) * part / 100] / MILLI;
        println!(
            "{what}: {:?} ms, {missed} not within 10 s",
            [0, 50, 90, 99, 100].map(at)
        );
    };
    tell("first start to leader", &|seed| {
        let mut grove = Grove::plant(Planting {
            seed,
            machines: measure.machines,
            net,
        });
        until(&mut grove, |grove| grove.leader().is_some())
    });
    tell("leader killed to next leader", &|seed| {
        let mut grove = grown(seed);
        let old = grove.leader()?;
        grove.world.kill(old);
        until(&mut grove, |grove| grove.leader().is_some())
    });
    tell("leader frozen to next leader", &|seed| {
        let mut grove = grown(seed);
        let old = grove.leader()?;
        grove.world.freeze(old);
        until(&mut grove, |grove| {
            grove.leader().is_some_and(|leader| leader != old)
        })
    });
    tell("all started again to leader", &|seed| {
        let mut grove = grown(seed);
        (0..measure.machines).for_each(|machine| grove.world.kill(machine));
        (0..measure.machines).for_each(|machine| grove.start(machine));
        until(&mut grove, |grove| grove.leader().is_some())
    });
    tell("leader's disk hangs to next leader", &|seed| {
        let mut grove = grown(seed);
        let old = grove.leader()?;
        grove.world.set_trouble(old, Trouble::Hangs);
        grove.propose(old, 100);
        until(&mut grove, |grove| {
            grove.leader().is_some_and(|leader| leader != old)
        })
    });
    tell("wiped machine started to voter", &|seed| {
        let mut grove = grown(seed);
        for _ in 0..120 {
            let leader = grove.leader()?;
            grove.propose(leader, 1000);
            grove.run_for(5 * MILLI);
        }
        let wiped = (grove.leader()? + 1) % measure.machines;
        grove.wipe(wiped);
        grove.run_for(SECOND);
        grove.start(wiped);
        until(&mut grove, |grove| {
            grove.tree(wiped).is_some_and(|tree| tree.core().is_voter())
        })
    });
    tell("proposal to acknowledgement", &|seed| {
        let mut grove = grown(seed);
        let ticket = grove.propose(grove.leader()?, 1000);
        until(&mut grove, |grove| grove.outcome(ticket).is_some())
    });
    let mut grove = grown(measure.seeds.start);
    let (messages, steps) = (grove.world.messages(), grove.world.steps());
    grove.run_for(10 * SECOND);
    let (messages, steps) = (
        grove.world.messages() - messages,
        grove.world.steps() - steps,
    );
    println!(
        "idle, all machines: {} messages, {} steps a second",
        messages / 10,
        steps / 10
    );
}

/// How long until it holds, unless that takes more than ten seconds.
fn until(grove: &mut Grove, holds: impl Fn(&Grove) -> bool) -> Option<Micros> {
    let begun = grove.world.now();
    grove
        .run_until(begun + 10 * SECOND, holds)
        .then(|| grove.world.now() - begun)
}
