//! One run: a proxy, its clients and endpoints, what changes meanwhile, and what is checked at the end.

use crate::memory_stream::MemoryStream;
use crate::recorder::{Micros, Recorder, Recording};
use crate::scenario::Scenario;
use crate::{checks, client, environment, rng, SeededRng};
use magpieline_config::node_settings::NodeSettings;
use magpieline_control_plane::messages::EndpointState;
use magpieline_gateway::proxy::{close_idle_connections, listener, Proxy};
use rand::Rng;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};

const SETTINGS: &str = r#"
[self]
node = "n-1"
machine_class = "counter"
ip = "127.0.0.1"
zone = "a"
region = "r"
[network]
inner_ports = [7720,7735]
seed_depots = ["127.0.0.1:8166"]
[carrier.carrier_api]
address = "127.0.0.1:8169"
[provisions.guarantees]
edition_time = "1s"
grace = "6s"
retry_ratio = 0.5
retry_slack = 1000
"#;

/// From SIGTERM to SIGKILL, as in the settings.
const GRACE: Micros = 6_000_000;
/// A connection ends within this after its client is done.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(40);
/// What comes later than all responses may still run; so long it is waited for.
const LATE_ATTEMPTS: Duration = Duration::from_secs(10);
/// A request whose deadline is nearer than this may be interrupted.
const DEADLINE_MARGIN: Micros = 1_000;

/// What clients need of a run.
pub(crate) struct World {
    pub(crate) recorder: Recorder,
    pub(crate) is_calm: bool,
    pub(crate) delay_rate: u32,
    /// The timeout of all routes.
    pub(crate) timeout: Micros,
    proxy: Arc<Proxy>,
    connections: Mutex<Vec<JoinHandle<()>>>,
}

impl World {
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.proxy.is_shutting_down()
    }

    /// Returns how long a connection may rest, as its client knows.
    pub(crate) fn idle_timeout(&self) -> Micros {
        self.recorder.lock().idle_timeout
    }

    /// Connects a client to the proxy.
    pub(crate) fn accept(&self, stream: MemoryStream) {
        let task = tokio::spawn(listener::serve_connection(self.proxy.clone(), stream));
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(task);
    }

    fn take_connections(&self) -> Vec<JoinHandle<()>> {
        std::mem::take(
            &mut *self
                .connections
                .lock()
                .unwrap_or_else(PoisonError::into_inner),
        )
    }
}

/// How a run went.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// What was violated.
    pub violations: Vec<String>,
    /// What was done for clients that had left.
    pub work_for_nobody: Vec<String>,
    /// Requests that clients sent.
    pub requests: u64,
    /// Attempts that reached an endpoint.
    pub arrivals: u64,
    /// Requests that were answered with 200.
    pub served: u64,
    /// How often what was met.
    pub counts: BTreeMap<&'static str, u64>,
}

/// Runs a seed.
pub fn simulate(seed: u64) -> Summary {
    run_paused(seed, false)
}

/// Runs a seed in which the services move between versions, too.
pub fn simulate_with_version_changes(seed: u64) -> Summary {
    run_paused(seed, true)
}

/// Runs a seed on one thread, with time that passes when nothing else can happen.
fn run_paused(seed: u64, changes_versions: bool) -> Summary {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime
        .expect("a runtime")
        .block_on(run(seed, changes_versions))
}

/// Runs a seed: sets the world up, lets clients send until they are done, and checks what was seen.
async fn run(seed: u64, changes_versions: bool) -> Summary {
    let mut rng = rng(seed);
    let scenario = Scenario::draw(&mut rng, seed.is_multiple_of(2));
    let recorder = Recorder::new();
    let proxy = new_proxy(&recorder, scenario, seed, &mut rng);
    let timeout_ms = scenario.draw_timeout_ms(&mut rng);
    environment::change_config(&proxy, &recorder, 1, timeout_ms, &mut rng).await;
    for endpoint in environment::first_endpoints() {
        endpoint.announce(&proxy, &recorder, Some(EndpointState::Ready));
    }
    proxy.on_confirmed();
    proxy.set_proxies(1);
    let version_seed = changes_versions.then_some(!seed);
    let background = start_background(
        &proxy,
        &recorder,
        scenario,
        timeout_ms,
        version_seed,
        &mut rng,
    );
    run_clients(&proxy, &recorder, scenario, timeout_ms, &mut rng).await;
    match scenario.shutdown_at {
        Some(_) => finish_shutdown(&proxy, &recorder).await,
        None => sleep(LATE_ATTEMPTS).await,
    }
    background.iter().for_each(JoinHandle::abort);
    let mut recording = recorder.lock();
    summarize(&mut recording)
}

fn new_proxy(
    recorder: &Recorder,
    scenario: Scenario,
    seed: u64,
    rng: &mut SeededRng,
) -> Arc<Proxy> {
    let settings = NodeSettings::parse(SETTINGS).expect("valid settings");
    let (_, settings) = tokio::sync::watch::channel(Arc::new(settings));
    let connector = environment::connector(recorder.clone(), scenario, rng.gen());
    Arc::new(Proxy::new(settings, seed, connector))
}

/// Starts what changes beside the clients.
fn start_background(
    proxy: &Arc<Proxy>,
    recorder: &Recorder,
    scenario: Scenario,
    timeout_ms: u64,
    version_seed: Option<u64>,
    rng: &mut SeededRng,
) -> Vec<JoinHandle<()>> {
    let (proxy, recorder) = (|| proxy.clone(), || recorder.clone());
    let mut tasks = vec![tokio::spawn(close_idle_connections(proxy()))];
    if let Some(seed) = version_seed.filter(|_| !scenario.is_calm) {
        let changes = environment::change_versions(proxy(), recorder(), crate::rng(seed));
        tasks.push(tokio::spawn(changes));
    }
    if scenario.changes_endpoints {
        let changes = environment::replace_endpoints(proxy(), recorder(), crate::rng(rng.gen()));
        tasks.push(tokio::spawn(changes));
    }
    if scenario.changes_config {
        let rng = crate::rng(rng.gen());
        let changes = environment::change_configs(proxy(), recorder(), timeout_ms, rng);
        tasks.push(tokio::spawn(changes));
    }
    if let Some(at) = scenario.shutdown_at {
        tasks.push(tokio::spawn(shut_down_at(proxy(), recorder(), at)));
    }
    tasks
}

async fn shut_down_at(proxy: Arc<Proxy>, recorder: Recorder, at_ms: u64) {
    sleep(Duration::from_millis(at_ms)).await;
    let now = recorder.now();
    recorder.lock().shutdown_at = Some(now);
    recorder.count("SIGTERM");
    proxy.shut_down();
}

/// Runs the clients to their end, and waits until their connections have ended.
async fn run_clients(
    proxy: &Arc<Proxy>,
    recorder: &Recorder,
    scenario: Scenario,
    timeout_ms: u64,
    rng: &mut SeededRng,
) {
    let world = Arc::new(World {
        recorder: recorder.clone(),
        is_calm: scenario.is_calm,
        delay_rate: scenario.delay_rate,
        timeout: timeout_ms * 1000,
        proxy: proxy.clone(),
        connections: Mutex::default(),
    });
    let start = |number| tokio::spawn(client::run(world.clone(), number, crate::rng(rng.gen())));
    let clients: Vec<JoinHandle<()>> = (0..scenario.clients).map(start).collect();
    for client in clients {
        if client.await.is_err() {
            recorder.violation("a client panicked".into());
        }
    }
    for connection in world.take_connections() {
        match timeout(CONNECTION_TIMEOUT, connection).await {
            Ok(Ok(())) => {}
            Ok(Err(panic)) => recorder.violation(format!("a connection panicked: {panic}")),
            Err(_) => recorder.violation("a connection never ends".into()),
        }
    }
}

/// Waits until the proxy has shut down, and checks that it has interrupted nothing in its grace period.
async fn finish_shutdown(proxy: &Proxy, recorder: &Recorder) {
    if !proxy.is_shutting_down() {
        proxy.shut_down();
    }
    proxy.drained().await;
    let now = recorder.now();
    let mut recording = recorder.lock();
    let is_early = recording
        .shutdown_at
        .is_some_and(|at| now < at + GRACE * 5 / 6);
    if !is_early {
        return;
    }
    let has_time = |id: &&String| {
        let sent = recording.sent.get(*id).and_then(|sent| sent.first());
        sent.is_some_and(|sent| now + DEADLINE_MARGIN < sent.deadline)
    };
    let interrupted = recording.in_progress.values().filter(has_time);
    let violations: Vec<String> = interrupted
        .map(|id| format!("{id} was interrupted at work by the end of the process"))
        .collect();
    recording.violations.extend(violations);
}

fn summarize(recording: &mut Recording) -> Summary {
    let work_for_nobody = checks::work_for_nobody(recording);
    let violations = checks::violations(recording);
    recording.violations.extend(violations);
    let responses = recording
        .sent
        .values()
        .flatten()
        .filter_map(|sent| sent.response);
    Summary {
        work_for_nobody,
        requests: recording.sent.values().map(|sent| sent.len() as u64).sum(),
        arrivals: recording.arrivals.len() as u64,
        served: responses.filter(|response| response.status == 200).count() as u64,
        violations: std::mem::take(&mut recording.violations),
        counts: std::mem::take(&mut recording.counts),
    }
}
