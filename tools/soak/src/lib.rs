//! Real agents as processes on loopback, under signals, restarts and changes that come in series and overlap, while clients go on
//! using the connections that they have until the process is gone.
//!
//! A seed draws the [`plan`]; endpoints, the platform's list, clients and the operator are played in this process, and all that they
//! see is recorded. [`run`] returns what was violated. Time is real, so a seed repeats what is done, not what comes of it.

#![warn(missing_docs, unreachable_pub)]

mod agents;
mod calm;
pub mod checks;
mod clients;
mod endpoint;
mod entry;
mod http_call;
mod operator;
pub mod plan;
mod platform;
pub mod recorder;
pub mod report;
mod surroundings;

use agents::{Agents, Network};
use checks::Finding;
use clients::World;
use entry::Entry;
use operator::Operator;
use plan::{Action, Event, Plan, Size};
use platform::Platform;
use rand::{Rng, SeedableRng};
use recorder::{Recorder, Recording, Stall};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use surroundings::Surroundings;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// The random numbers of a run.
pub type SeededRng = rand_chacha::ChaCha8Rng;

/// All agents serve within this, on a busy machine.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// After the last event all that was begun has come to its end within this.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Routes of a long configuration that no client uses: some 700 KB.
const LONG_CONFIG_ROUTES: usize = 4_000;
/// This often it is looked whether this process stands still, and shorter stalls are not recorded.
const STALL_TICK: Duration = Duration::from_millis(20);
const MIN_STALL: Duration = Duration::from_millis(100);
/// What clients have left behind stops within this.
const AFTERMATH: Duration = Duration::from_secs(3);

/// The second numbers of the loopback addresses that runs choose from.
const NETWORKS: std::ops::Range<u8> = 20..220;

pub(crate) fn rng(seed: u64) -> SeededRng {
    SeededRng::seed_from_u64(seed)
}

/// What came of a run.
pub struct Outcome {
    /// What was violated, in the order of time.
    pub findings: Vec<Finding>,
    /// What was seen.
    pub recording: Recording,
}

/// Draws the plan of a seed.
pub fn draw_plan(seed: u64, size: Size) -> Plan {
    Plan::draw(&mut rng(seed), size)
}

/// Runs a seed with the gateway's `program`; `dir` takes settings, stores and logs of the agents.
///
/// # Errors
///
/// If the program can't be started, or the agents do not serve in time.
pub async fn run(program: &Path, dir: &Path, seed: u64, size: Size) -> std::io::Result<Outcome> {
    let plan = draw_plan(seed, size);
    let mut rng = rng(!seed);
    let recorder = Recorder::default();
    let surroundings = Arc::new(Surroundings::new(rng.gen()));
    let (network, listener) = reserve_network().await?;
    let platform = Platform::start(listener, recorder.clone(), surroundings.clone()).await?;
    let agents = Agents::start(program, dir, network, size, recorder.clone())?;
    let deeds = Arc::new(Deeds {
        agents,
        platform,
        operator: Operator::new(network, size.controllers, recorder.clone(), rng.gen()),
        surroundings: surroundings.clone(),
        recorder: recorder.clone(),
    });
    let world = Arc::new(World {
        network,
        entry: Entry::new(network, size.proxies),
        recorder: recorder.clone(),
        surroundings,
        is_over: AtomicBool::new(false),
    });
    wait_until_serving(&deeds, &world, size).await?;
    let mut background = JoinSet::new();
    let watched = deeds.clone();
    background.spawn(async move { watched.agents.watch().await });
    background.spawn(watch_own_stalls(recorder.clone()));
    for proxy in 0..size.proxies {
        let world = world.clone();
        background.spawn(async move { world.entry.probe(proxy).await });
    }
    let mut clients = JoinSet::new();
    for number in 0..size.clients {
        clients.spawn(clients::run(world.clone(), number, self::rng(rng.gen())));
    }
    play(&deeds, &plan, Duration::from_secs(size.seconds)).await;
    world.is_over.store(true, Ordering::Relaxed);
    while clients.join_next().await.is_some() {}
    sleep(AFTERMATH).await;
    deeds.operator.read_back().await;
    deeds.agents.record_resources();
    let recording = std::mem::take(&mut *recorder.lock());
    Ok(Outcome {
        findings: checks::findings(&recording),
        recording,
    })
}

/// Returns addresses that no other run on this machine has: whoever listens at the platform's address has them.
async fn reserve_network() -> std::io::Result<(Network, TcpListener)> {
    let first = std::process::id() as usize % NETWORKS.len();
    let candidates = NETWORKS.cycle().skip(first).take(NETWORKS.len());
    for network in candidates.map(Network) {
        let bound = TcpListener::bind(SocketAddr::V4(network.platform())).await;
        if let Ok(listener) = bound {
            return Ok((network, listener));
        }
    }
    Err(std::io::Error::other("all addresses are in use"))
}

/// Records when this process stands still, for ever.
async fn watch_own_stalls(recorder: Recorder) {
    loop {
        let due = Instant::now() + STALL_TICK;
        sleep_until(due).await;
        let late = due.elapsed();
        if late > MIN_STALL {
            let (until, length) = (recorder.now(), late.as_micros() as u64);
            recorder.lock().stalls.push(Stall { until, length });
        }
    }
}

/// Sends the first configuration and waits until all proxies are ready.
async fn wait_until_serving(deeds: &Deeds, world: &World, size: Size) -> std::io::Result<()> {
    let serving = async {
        while !deeds.operator.change_config(0).await {}
        for proxy in 0..size.proxies {
            while !world.entry.is_ready(proxy).await {
                sleep(Duration::from_millis(50)).await;
            }
        }
    };
    let is_serving = timeout(START_TIMEOUT, serving).await;
    is_serving.map_err(|_| std::io::Error::other("the agents do not serve in time"))
}

/// What can be done to agents and their surroundings.
struct Deeds {
    agents: Agents,
    platform: Arc<Platform>,
    operator: Operator,
    surroundings: Arc<Surroundings>,
    recorder: Recorder,
}

/// Carries out a plan; actions overlap. Returns after `time`, or once all of them have come to their end.
async fn play(deeds: &Arc<Deeds>, plan: &Plan, time: Duration) {
    let began = Instant::now();
    let mut actions = JoinSet::new();
    for Event { at, action } in &plan.events {
        sleep_until(began + *at).await;
        actions.spawn(deeds.clone().carry_out(*action));
    }
    sleep_until(began + time).await;
    let ending = async { while actions.join_next().await.is_some() {} };
    let _ = timeout(SETTLE_TIMEOUT, ending).await;
}

impl Deeds {
    /// Carries out an action, and waits until it has no more effect.
    async fn carry_out(self: Arc<Deeds>, action: Action) {
        let text = action.to_string();
        let incident = self
            .recorder
            .begin(action.agent(), action.is_unplanned(), text);
        let (agents, surroundings) = (&self.agents, &self.surroundings);
        match action {
            Action::Terminate(agent) => agents.terminate(agent).await,
            Action::Kill(agent) => agents.kill(agent).await,
            Action::Freeze(agent, ms) => agents.freeze(agent, Duration::from_millis(ms)).await,
            Action::Hangup(agent) => agents.hang_up(agent),
            Action::ChangeConfig => drop(self.operator.change_config(0).await),
            Action::ChangeLongConfigs(count) => self.clone().change_long_configs(count).await,
            Action::ReplaceEndpoint => self.platform.replace_oldest().await,
            Action::SlowEndpoints(factor, ms) => {
                lasting(ms, |time| surroundings.slow_down(factor, time)).await;
            }
            Action::IllEndpoints(illness, share, ms) => {
                lasting(ms, |time| surroundings.make_ill(illness, share, time)).await;
            }
            Action::Impatience(share, ms) => {
                lasting(ms, |time| surroundings.make_impatient(share, time)).await;
            }
            Action::LongBodies(share, ms) => {
                lasting(ms, |time| surroundings.lengthen(share, time)).await;
            }
            Action::SlowReaders(share, ms) => {
                lasting(ms, |time| surroundings.slow_readers(share, time)).await;
            }
        }
        self.recorder.end(incident);
    }

    /// Sends long configurations at once, and waits until each was acknowledged or given up.
    async fn change_long_configs(self: Arc<Deeds>, count: usize) {
        let mut changes = JoinSet::new();
        for _ in 0..count {
            let deeds = self.clone();
            changes.spawn(async move { deeds.operator.change_config(LONG_CONFIG_ROUTES).await });
        }
        while changes.join_next().await.is_some() {}
    }
}

/// Begins what lasts for some milliseconds, and waits for its end.
async fn lasting(ms: u64, begin: impl FnOnce(Duration)) {
    let time = Duration::from_millis(ms);
    begin(time);
    sleep(time).await;
}
