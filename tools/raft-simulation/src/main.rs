//! Runs the simulations over many seeds.

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
struct Arguments {
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
    LongRun(LongRunOptions),
}

#[derive(Options)]
struct LongRunOptions {
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
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.command {
        Some(Command::Run(run)) => run_random_faults(&run),
        Some(Command::Losses(run)) => run_bounded_losses(&run),
        Some(Command::LongRun(options)) => {
            run_long(&options);
            ExitCode::SUCCESS
        }
        Some(Command::Operators(run)) => run_operators(&run),
        Some(Command::Measure(options)) => {
            measure(&options);
            ExitCode::SUCCESS
        }
        None => {
            eprintln!(
                "Say what to do, such as: raft-simulation run --seeds 0..100\n\n{}",
                Arguments::usage()
            );
            ExitCode::FAILURE
        }
    }
}

/// Runs one seed after the other and prints what came of each; the first failure ends the program.
fn run_long(options: &LongRunOptions) {
    for seed in options.seeds.clone() {
        let run = LongRun::new(LongRunConfig {
            seed,
            machines: options.machines,
            net: NetworkProfile {
                delay: options.delay,
                lost: options.lost,
                ..NetworkProfile::RELIABLE
            },
            rate: Some(options.mbps * 1_000_000 / 8),
            changes: options.changes,
            size: options.bytes,
            pause: options.pause * MILLI,
            recovery_interval: options.within * MILLI,
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
            "seed {seed}: {acknowledged} changes, {disruptions} disruptions, {quarantined} quarantined, {terms} terms, most on disk {} MB, \
            longest change {} ms",
            max_disk_bytes >> 20,
            longest_change / MILLI
        );
        let mut by_disruption: BTreeMap<String, Vec<Micros>> = BTreeMap::new();
        for (disruption, recovery_time) in recovery_times {
            by_disruption
                .entry(format!("{disruption:?}"))
                .or_default()
                .push(recovery_time / MILLI);
        }
        for (disruption, mut times) in by_disruption {
            times.sort_unstable();
            let (half, most) = (times[times.len() / 2], times[times.len() - 1]);
            println!(
                "  up after {disruption}: half {half} ms, most {most} ms, {} times",
                times.len()
            );
        }
    }
}

fn run_random_faults(run: &Run) -> ExitCode {
    run_clusters(run, "run", Cluster::run_with_random_faults)
}

fn run_bounded_losses(run: &Run) -> ExitCode {
    run_clusters(run, "losses", Cluster::run_with_bounded_failures)
}

/// Runs a cluster for each seed; `run_cluster` takes the seed and the number of steps.
fn run_clusters(run: &Run, command: &str, run_cluster: fn(&mut Cluster, u64, u64)) -> ExitCode {
    let total = Mutex::new(RunTotals::default());
    let failed = each_seed(run, command, |seed| {
        let config = ClusterConfig {
            seed,
            machines: run.machines,
            net: NetworkProfile::RELIABLE,
        };
        let tolerated = (run.machines - 1) / 2;
        let mut cluster = Cluster::with_tolerance(config, tolerated, run.recovery_interval * MILLI);
        run_cluster(&mut cluster, seed, run.steps);
        total.lock().expect("not poisoned").add(&cluster.totals());
    });
    report(run, failed, &total.into_inner().expect("not poisoned"))
}

fn run_operators(run: &Run) -> ExitCode {
    let total = Mutex::new(WorkloadTotals::default());
    let failed = each_seed(run, "operators", |seed| {
        let called = OperatorWorkload::new(seed, run.machines).run(run.steps);
        total.lock().expect("not poisoned").add(&called);
    });
    report(run, failed, &total.into_inner().expect("not poisoned"))
}

/// Runs each seed, on all processors. Returns how many failed.
fn each_seed(run: &Run, command: &str, run_seed: impl Fn(u64) + Sync) -> u64 {
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
                if catch_unwind(AssertUnwindSafe(|| run_seed(seed))).is_err() {
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

fn report(run: &Run, failed: u64, total: &dyn Debug) -> ExitCode {
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

/// What is measured, and how long it takes with the cluster of a seed.
type Measurement = (&'static str, fn(&Measure, u64) -> Option<Micros>);

const MEASUREMENTS: [Measurement; 7] = [
    ("first start to leader", first_start),
    ("leader killed to next leader", leader_killed),
    ("leader frozen to next leader", leader_frozen),
    ("all started again to leader", all_restarted),
    ("leader's disk hangs to next leader", leaders_disk_hangs),
    ("wiped machine started to voter", wiped_machine),
    ("proposal to acknowledgement", proposal),
];

/// Prints times in milliseconds over the seeds: least, half, nine of ten, 99 of 100, most.
fn measure(options: &Measure) {
    for (name, run) in MEASUREMENTS {
        let mut times: Vec<Micros> = options
            .seeds
            .clone()
            .filter_map(|seed| run(options, seed))
            .collect();
        times.sort_unstable();
        let missed = options.seeds.clone().count() - times.len();
        let at = |percent: usize| times[(times.len() - 1) * percent / 100] / MILLI;
        let percentiles = [0, 50, 90, 99, 100].map(at);
        println!("{name}: {percentiles:?} ms, {missed} not within 10 s");
    }
    measure_idle(options);
}

fn measure_idle(options: &Measure) {
    const SPAN: u64 = 10;
    let mut cluster = running_cluster(options, options.seeds.start);
    let (messages, steps) = (cluster.simulator.messages(), cluster.simulator.steps());
    cluster.run_for(SPAN * SECOND);
    let messages = (cluster.simulator.messages() - messages) / SPAN;
    let steps = (cluster.simulator.steps() - steps) / SPAN;
    println!("idle, all machines: {messages} messages, {steps} steps a second");
}

fn new_cluster(options: &Measure, seed: u64) -> Cluster {
    Cluster::new(ClusterConfig {
        seed,
        machines: options.machines,
        net: NetworkProfile {
            delay: options.delay * MILLI,
            ..NetworkProfile::RELIABLE
        },
    })
}

/// Returns a cluster that has run for some seconds.
fn running_cluster(options: &Measure, seed: u64) -> Cluster {
    let mut cluster = new_cluster(options, seed);
    cluster.run_for(3 * SECOND + seed % 100 * MILLI);
    cluster
}

fn until_leader(cluster: &mut Cluster) -> Option<Micros> {
    until(cluster, |cluster| cluster.leader().is_some())
}

fn until_other_leader(cluster: &mut Cluster, old: usize) -> Option<Micros> {
    until(cluster, |cluster| {
        cluster.leader().is_some_and(|leader| leader != old)
    })
}

fn first_start(options: &Measure, seed: u64) -> Option<Micros> {
    until_leader(&mut new_cluster(options, seed))
}

fn leader_killed(options: &Measure, seed: u64) -> Option<Micros> {
    let mut cluster = running_cluster(options, seed);
    let old = cluster.leader()?;
    cluster.simulator.kill(old);
    until_leader(&mut cluster)
}

fn leader_frozen(options: &Measure, seed: u64) -> Option<Micros> {
    let mut cluster = running_cluster(options, seed);
    let old = cluster.leader()?;
    cluster.simulator.freeze(old);
    until_other_leader(&mut cluster, old)
}

fn all_restarted(options: &Measure, seed: u64) -> Option<Micros> {
    let mut cluster = running_cluster(options, seed);
    for machine in 0..options.machines {
        cluster.simulator.kill(machine);
    }
    for machine in 0..options.machines {
        cluster.start(machine);
    }
    until_leader(&mut cluster)
}

fn leaders_disk_hangs(options: &Measure, seed: u64) -> Option<Micros> {
    let mut cluster = running_cluster(options, seed);
    let old = cluster.leader()?;
    cluster.simulator.set_disk_fault(old, DiskFault::Hung);
    cluster.propose(old, 100);
    until_other_leader(&mut cluster, old)
}

fn wiped_machine(options: &Measure, seed: u64) -> Option<Micros> {
    let mut cluster = running_cluster(options, seed);
    for _ in 0..120 {
        let leader = cluster.leader()?;
        cluster.propose(leader, 1000);
        cluster.run_for(5 * MILLI);
    }
    let wiped = (cluster.leader()? + 1) % options.machines;
    cluster.wipe(wiped);
    cluster.run_for(SECOND);
    cluster.start(wiped);
    until(&mut cluster, |cluster| {
        cluster
            .node(wiped)
            .is_some_and(|node| node.raft().is_voter())
    })
}

fn proposal(options: &Measure, seed: u64) -> Option<Micros> {
    let mut cluster = running_cluster(options, seed);
    let leader = cluster.leader()?;
    let request_id = cluster.propose(leader, 1000);
    until(&mut cluster, |cluster| {
        cluster.outcome(request_id).is_some()
    })
}

/// Returns how long it takes until the condition holds, unless that is more than ten seconds.
fn until(cluster: &mut Cluster, holds: impl Fn(&Cluster) -> bool) -> Option<Micros> {
    let begun = cluster.simulator.now();
    cluster
        .run_until(begun + 10 * SECOND, holds)
        .then(|| cluster.simulator.now() - begun)
}
