//! Plays many seeds.

use gumdrop::Options;
use magpieline_raft_simulation::{
    Cluster, ClusterConfig, DiskFault, LongRun, LongRunConfig, LongRunSummary, Micros,
    NetworkProfile, OperatorWorkload, RunTotals, WorkloadTotals, MILLI, SECOND,
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
    LongRun(SeasonLine),
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
    recovery_interval: u64,
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
        Some(Command::LongRun(line)) => {
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
        let run = LongRun::new(LongRunConfig {
            seed,
            machines: line.machines,
            net: NetworkProfile {
                delay: line.delay,
                lost: line.lost,
                ..NetworkProfile::RELIABLE
            },
            rate: Some(line.mbps * 1_000_000 / 8),
            changes: line.changes,
            size: line.bytes,
            pause: line.pause * MILLI,
            recovery_interval: line.within * MILLI,
        })
        .run();
        let LongRunSummary {
            acknowledged,
            disruptions,
            quarantined,
            max_disk_bytes,
            terms,
            longest_change,
            recovery_times,
        } = run;
        println!(
            "seed {seed}: {acknowledged} changes, {disruptions} trials, {quarantined} set aside, {terms} terms, most on disk {} MB, \
            longest change {} ms",
            max_disk_bytes >> 20,
            longest_change / MILLI
        );
        let mut by_trial: BTreeMap<String, Vec<Micros>> = BTreeMap::new();
        for (disruption, recovery_time) in recovery_times {
            by_trial
                .entry(format!("{disruption:?}"))
                .or_default()
                .push(recovery_time / MILLI);
        }
        for (disruption, mut times) in by_trial {
            times.sort_unstable();
            let (half, most) = (times[times.len() / 2], times[times.len() - 1]);
            println!(
                "  up after {disruption}: half {half} ms, most {most} ms, {} times",
                times.len()
            );
        }
    }
}

fn play(run: &Run) -> ExitCode {
    let total = Mutex::new(RunTotals::default());
    let failed = each_seed(run, "run", |seed| {
        let planting = ClusterConfig {
            seed,
            machines: run.machines,
            net: NetworkProfile::RELIABLE,
        };
        let mut cluster = Cluster::with_tolerance(
            planting,
            (run.machines - 1) / 2,
            run.recovery_interval * MILLI,
        );
        cluster.run_with_random_faults(seed, run.steps);
        total.lock().expect("not poisoned").add(&cluster.totals());
    });
    ended(run, failed, &total.into_inner().expect("not poisoned"))
}

fn lose(run: &Run) -> ExitCode {
    let total = Mutex::new(RunTotals::default());
    let failed = each_seed(run, "losses", |seed| {
        let planting = ClusterConfig {
            seed,
            machines: run.machines,
            net: NetworkProfile::RELIABLE,
        };
        let mut cluster = Cluster::with_tolerance(
            planting,
            (run.machines - 1) / 2,
            run.recovery_interval * MILLI,
        );
        cluster.run_with_bounded_failures(seed, run.steps);
        total.lock().expect("not poisoned").add(&cluster.totals());
    });
    ended(run, failed, &total.into_inner().expect("not poisoned"))
}

fn call(run: &Run) -> ExitCode {
    let total = Mutex::new(WorkloadTotals::default());
    let failed = each_seed(run, "operators", |seed| {
        let called = OperatorWorkload::new(seed, run.machines).run(run.steps);
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
    let net = NetworkProfile {
        delay: measure.delay * MILLI,
        ..NetworkProfile::RELIABLE
    };
    let grown = |seed| {
        let mut cluster = Cluster::new(ClusterConfig {
            seed,
            machines: measure.machines,
            net,
        });
        cluster.run_for(3 * SECOND + seed % 100 * MILLI);
        cluster
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
        let mut cluster = Cluster::new(ClusterConfig {
            seed,
            machines: measure.machines,
            net,
        });
        until(&mut cluster, |cluster| cluster.leader().is_some())
    });
    tell("leader killed to next leader", &|seed| {
        let mut cluster = grown(seed);
        let old = cluster.leader()?;
        cluster.simulator.kill(old);
        until(&mut cluster, |cluster| cluster.leader().is_some())
    });
    tell("leader frozen to next leader", &|seed| {
        let mut cluster = grown(seed);
        let old = cluster.leader()?;
        cluster.simulator.freeze(old);
        until(&mut cluster, |cluster| {
            cluster.leader().is_some_and(|leader| leader != old)
        })
    });
    tell("all started again to leader", &|seed| {
        let mut cluster = grown(seed);
        (0..measure.machines).for_each(|machine| cluster.simulator.kill(machine));
        (0..measure.machines).for_each(|machine| cluster.start(machine));
        until(&mut cluster, |cluster| cluster.leader().is_some())
    });
    tell("leader's disk hangs to next leader", &|seed| {
        let mut cluster = grown(seed);
        let old = cluster.leader()?;
        cluster.simulator.set_disk_fault(old, DiskFault::Hung);
        cluster.propose(old, 100);
        until(&mut cluster, |cluster| {
            cluster.leader().is_some_and(|leader| leader != old)
        })
    });
    tell("wiped machine started to voter", &|seed| {
        let mut cluster = grown(seed);
        for _ in 0..120 {
            let leader = cluster.leader()?;
            cluster.propose(leader, 1000);
            cluster.run_for(5 * MILLI);
        }
        let wiped = (cluster.leader()? + 1) % measure.machines;
        cluster.wipe(wiped);
        cluster.run_for(SECOND);
        cluster.start(wiped);
        until(&mut cluster, |cluster| {
            cluster
                .node(wiped)
                .is_some_and(|node| node.raft().is_voter())
        })
    });
    tell("proposal to acknowledgement", &|seed| {
        let mut cluster = grown(seed);
        let request_id = cluster.propose(cluster.leader()?, 1000);
        until(&mut cluster, |cluster| {
            cluster.outcome(request_id).is_some()
        })
    });
    let mut cluster = grown(measure.seeds.start);
    let (messages, steps) = (cluster.simulator.messages(), cluster.simulator.steps());
    cluster.run_for(10 * SECOND);
    let (messages, steps) = (
        cluster.simulator.messages() - messages,
        cluster.simulator.steps() - steps,
    );
    println!(
        "idle, all machines: {} messages, {} steps a second",
        messages / 10,
        steps / 10
    );
}

/// How long until it holds, unless that takes more than ten seconds.
fn until(cluster: &mut Cluster, holds: impl Fn(&Cluster) -> bool) -> Option<Micros> {
    let begun = cluster.simulator.now();
    cluster
        .run_until(begun + 10 * SECOND, holds)
        .then(|| cluster.simulator.now() - begun)
}
