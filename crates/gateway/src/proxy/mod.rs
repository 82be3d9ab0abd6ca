//! The proxy role: forwards clients' requests to the endpoints of their services.
//!
//! The way of a request: [`listener`] accepts its connection, `client_connection` frames it, `request_handler` finds its
//! route, `forwarding` chooses endpoints for it until one has answered or none may be tried any more, and `attempt` sends
//! it to one of them over a connection of `connection_pool`. What the controllers have decided comes by
//! `controller_session` and is held in `state`.

mod attempt;
mod attempt_plan;
mod attempt_report;
mod cancellation;
mod client_connection;
pub mod client_stream;
mod connection_pool;
pub mod connector;
mod controller_session;
mod early_response;
mod endpoint_stream;
mod fallback_discovery;
mod forwarding;
pub mod listener;
mod metrics;
mod readiness;
mod request_handler;
mod response_body;
mod responses;
mod settings_reload;
pub mod shutdown;
mod state;
mod status;
mod upstream_connection;
mod upstream_request;
mod upstream_response;

use crate::clock::{self, now, Micros};
use crate::memory::{MemoryBudget, MemoryUse};
use crate::net;
use crate::settings::SettingsWatch;
use connection_pool::ConnectionPool;
use connector::Connector;
use magpieline_config::gateway_config::GatewayConfig;
use magpieline_config::node_settings::NodeSettings;
use magpieline_control_plane::endpoint_view::UpdateSource;
use magpieline_control_plane::messages::{EndpointUpdate, TrialEvidence, TrialStage};
use magpieline_control_plane::state_machine::{ServiceState, StoredConfig};
use magpieline_http1::deduplication::SeenRequests;
use magpieline_memory_budget::Purpose;
use metrics::ProxyMetrics;
pub use readiness::NotReady;
use shutdown::{Shutdown, Unfinished};
use state::ProxyState;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// A configuration in force takes so many times the bytes of its text, while the next one is parsed beside it.
const PARSED_CONFIG_FACTOR: u64 = 8;
/// How often idle connections are looked through.
const SWEEP_INTERVAL: Micros = 1_000_000;

/// A proxy: what all its tasks share. Locks are held for a few microseconds, never across a wait.
pub struct Proxy {
    /// The settings as it started.
    pub settings_at_start: NodeSettings,
    /// The settings in force.
    pub settings: SettingsWatch,
    /// Differs between starts.
    pub incarnation: u64,
    state: Mutex<ProxyState>,
    pool: Mutex<ConnectionPool>,
    /// Once it has begun each response closes its connection.
    shutdown: Shutdown,
    client_connections: AtomicUsize,
    requests_in_progress: AtomicUsize,
    attempts_in_flight: AtomicUsize,
    /// Notified when an attempt has ended.
    attempt_ended: Notify,
    /// Requests that are not idempotent and may have run.
    seen_requests: Mutex<SeenRequests>,
    /// Notified when there is something to report to the leader.
    report_due: Notify,
    /// Notified when this proxy may have learnt enough to serve.
    initialized: Notify,
    connector: Connector,
    /// Memory for bodies of requests and responses.
    memory: MemoryBudget,
    metrics: ProxyMetrics,
}

impl Proxy {
    /// Creates a proxy that knows nothing yet. `incarnation` differs between starts; `connector` reaches endpoints.
    pub fn new(settings: SettingsWatch, incarnation: u64, connector: Connector) -> Proxy {
        let settings_at_start = NodeSettings::clone(&settings.borrow());
        Proxy {
            memory: MemoryBudget::new(settings_at_start.memory_mb),
            state: Mutex::new(ProxyState::new(&settings_at_start, incarnation)),
            settings_at_start,
            settings,
            incarnation,
            pool: Mutex::default(),
            shutdown: Shutdown::default(),
            client_connections: AtomicUsize::new(0),
            requests_in_progress: AtomicUsize::new(0),
            attempts_in_flight: AtomicUsize::new(0),
            attempt_ended: Notify::new(),
            seen_requests: Mutex::default(),
            report_due: Notify::new(),
            initialized: Notify::new(),
            connector,
            metrics: ProxyMetrics::new(),
        }
    }

    /// Locks what this proxy knows.
    fn state(&self) -> MutexGuard<'_, ProxyState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pool(&self) -> MutexGuard<'_, ConnectionPool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn seen_requests(&self) -> MutexGuard<'_, SeenRequests> {
        self.seen_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Is not ready from now on; what clients still send is served by [`shutdown::ShutdownDeadlines`].
    pub fn shut_down(&self) {
        let grace = self.settings.borrow().guarantees.grace;
        self.shutdown.begin(grace);
    }

    /// Whether it shuts down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown.has_begun()
    }

    /// Whether a request may be served that must be answered by `deadline`.
    fn admits(&self, deadline: Micros) -> bool {
        let deadlines = self.shutdown.deadlines();
        deadlines.is_none_or(|deadlines| deadlines.admits(now(), deadline))
    }

    /// Returns what clients and endpoints have not finished.
    fn unfinished(&self) -> Unfinished {
        Unfinished {
            connections: self.client_connections.load(Ordering::Relaxed),
            requests: self.requests_in_progress(),
            attempts: self.attempts_in_flight(),
        }
    }

    /// Returns how many requests of clients are in progress.
    pub fn requests_in_progress(&self) -> usize {
        self.requests_in_progress.load(Ordering::Relaxed)
    }

    /// Returns how many attempts are in flight.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts_in_flight.load(Ordering::Relaxed)
    }

    /// Returns how much memory is reserved for bodies.
    pub fn memory_use(&self) -> MemoryUse {
        self.memory.usage()
    }

    /// Waits until all attempts have ended, also those of clients that have left, until the end of a shutdown at the latest.
    pub async fn drained(&self) {
        let drained = async {
            loop {
                let ended = self.attempt_ended.notified();
                if self.attempts_in_flight() == 0 {
                    return;
                }
                ended.await;
            }
        };
        tokio::select! {
            () = drained => {}
            () = self.shutdown_ends() => {}
        }
    }

    /// Waits until nothing is waited for any more; for ever while it does not shut down.
    async fn shutdown_ends(&self) {
        let deadlines = self.shutdown.begun().await;
        clock::sleep_until(deadlines.end_at).await;
    }

    /// Waits until it has a configuration and endpoints, for `max` at most. Returns whether it has.
    async fn wait_until_initialized(&self, max: Micros) -> bool {
        let is_initialized = || self.state().is_initialized();
        if is_initialized() {
            return true;
        }
        let initialized = async {
            loop {
                let changed = self.initialized.notified();
                if is_initialized() {
                    return;
                }
                changed.await;
            }
        };
        let _ = tokio::time::timeout(clock::duration(max), initialized).await;
        is_initialized()
    }

    /// Returns why no new clients may come, if that is so.
    pub fn not_ready(&self) -> Option<NotReady> {
        match self.is_shutting_down() {
            true => Some(NotReady::ShuttingDown),
            false => self.state().not_initialized(),
        }
    }

    /// Takes note that a leader which a majority has confirmed since this proxy asked has told it all.
    pub fn on_confirmed(&self) {
        self.state().confirmed_at.get_or_insert_with(now);
        self.initialized.notify_waiters();
    }

    /// Puts a configuration in force if it is newer than the one that is.
    pub fn apply_config(&self, stored: &StoredConfig) {
        if Some(stored.version) <= self.config_version() {
            return;
        }
        let previous = self.state().config.clone();
        let started_at = now();
        match GatewayConfig::parse_committed(&stored.text, previous.as_deref()) {
            Ok(config) => {
                let elapsed = now() - started_at;
                tracing::debug!(target: "config", "Configuration {} took {elapsed} us to parse.", stored.version);
                self.put_in_force(stored, config);
            }
            // It was checked before it was committed; a controller of another release may have checked something else.
            Err(errors) => {
                self.state().unreadable_version = Some(stored.version);
                tracing::error!(target: "config", "Configuration {} can't be parsed: {}.", stored.version, errors[0]);
            }
        }
    }

    fn put_in_force(&self, stored: &StoredConfig, config: GatewayConfig) {
        let unknown = config.unknown_services.first().cloned();
        let max_body_bytes = config.client_limits.body_bytes;
        if self.state().set_config(stored, config) {
            tracing::info!(target: "config", "Configuration {} is in force.", stored.version);
            let config_bytes = PARSED_CONFIG_FACTOR * stored.text.len() as u64;
            self.memory.set_state_bytes(config_bytes);
            if let Some(unknown) = unknown {
                tracing::warn!(target: "config", "Configuration {} names services that it doesn't list: {unknown}.", stored.version);
            }
            let longest = self.memory_use().limits.longest(Purpose::Request);
            if max_body_bytes > longest {
                tracing::warn!(target: "config", "Configuration {} allows bodies of {max_body_bytes} bytes; this machine has memory for {longest}.", stored.version);
            }
        }
        self.initialized.notify_waiters();
    }

    /// Returns the configuration in force, as it was received.
    fn stored_config(&self) -> Option<StoredConfig> {
        self.state().stored_config().cloned()
    }

    /// Returns the version of the configuration in force.
    pub fn config_version(&self) -> Option<u64> {
        self.state().config_version()
    }

    /// Takes over how the endpoints have changed, or all of them. Returns false if something newer was known.
    pub fn apply_endpoints(&self, source: UpdateSource, update: EndpointUpdate) -> bool {
        let applied = self.state().apply_endpoints(now(), source, update);
        self.initialized.notify_waiters();
        for id in &applied.reversals {
            tracing::warn!(target: "endpoints", "Endpoint {id} is draining; an update of the {} that calls it ready is older.", source_name(source));
        }
        let reversals = applied.reversals.len() as u64;
        self.metrics.on_endpoint_update(source, reversals);
        self.close_connections_to(&applied.unusable);
        !applied.is_outdated
    }

    /// Closes the idle connections to endpoints to which nothing new is sent.
    fn close_connections_to(&self, endpoints: &[Arc<str>]) {
        let mut pool = self.pool();
        endpoints.iter().for_each(|id| pool.remove_endpoint(id));
    }

    /// Takes note that the leader has sent all that the list showed up to a moment of this proxy's clock.
    fn confirm_endpoints(&self, as_of: Micros) {
        let gone = self.state().confirm_endpoints(as_of);
        self.close_connections_to(&gone);
    }

    /// Takes over states of services, and starts and ends this proxy's parts in rollouts by them.
    pub fn apply_services(&self, services: Vec<(String, ServiceState)>) {
        self.state().apply_services(now(), services);
        self.report_due.notify_one();
    }

    /// Takes over how far a trial is open.
    fn enter_stage(&self, service: &str, rollout_id: u64, stage: TrialStage) {
        self.state().enter_stage(service, rollout_id, stage);
    }

    /// Takes note of how many proxies hold parts of the sums that all keep together.
    pub fn set_proxies(&self, proxies: u32) {
        let mut state = self.state();
        if state.proxies != proxies {
            state.proxies = proxies;
            let slack = self.settings.borrow().guarantees.retry_slack;
            state.retry_budget.set_slack(slack, proxies);
        }
    }

    /// Returns what this proxy has to report of rollouts.
    fn evidence(&self) -> Vec<TrialEvidence> {
        self.state().evidence(now())
    }
}

/// Returns what a source of endpoints is called in logs.
fn source_name(source: UpdateSource) -> &'static str {
    match source {
        UpdateSource::Leader => "leader",
        UpdateSource::OwnReading { .. } => "platform's list",
    }
}

/// Closes connections to endpoints that have been idle for too long, for ever.
pub async fn close_idle_connections(proxy: Arc<Proxy>) {
    loop {
        clock::sleep(SWEEP_INTERVAL).await;
        proxy.pool().remove_expired();
    }
}

/// The addresses that a proxy listens at.
struct ListenAddresses {
    clients: SocketAddrV4,
    readiness: SocketAddrV4,
    operators: SocketAddrV4,
}

impl ListenAddresses {
    fn of(settings: &NodeSettings) -> std::io::Result<ListenAddresses> {
        let missing = || std::io::Error::other("network.posts: expected front and ready");
        let posts = settings.listen_addresses;
        Ok(ListenAddresses {
            clients: posts.front.ok_or_else(missing)?,
            readiness: posts.ready.ok_or_else(missing)?,
            operators: SocketAddrV4::new(settings.ip, settings.agent_ports.0),
        })
    }
}

/// Runs a proxy until SIGTERM. Its figures are read at `metrics_port`, too, if that is given.
///
/// # Errors
///
/// If an address is missing in the settings, or is not to be had.
pub async fn run(
    settings: SettingsWatch,
    incarnation: u64,
    metrics_port: Option<u16>,
) -> std::io::Result<()> {
    let proxy = Arc::new(Proxy::new(settings, incarnation, connector::tcp()));
    let addresses = ListenAddresses::of(&proxy.settings_at_start)?;
    let clients = net::listen(addresses.clients)?;
    let probes = net::listen(addresses.readiness)?;
    let operators = net::listen(addresses.operators)?;
    if let Some(port) = metrics_port {
        let address = SocketAddrV4::new(proxy.settings_at_start.ip, port);
        let proxy = proxy.clone();
        let figures = move || crate::metrics::response(proxy.metrics_registry());
        tokio::spawn(crate::metrics::serve(address, figures));
    }
    tokio::spawn(status::run(proxy.clone(), operators));
    tokio::spawn(close_idle_connections(proxy.clone()));
    tokio::spawn(settings_reload::run(proxy.clone()));
    tokio::spawn(readiness::run(proxy.clone(), probes));
    tokio::spawn(controller_session::run(proxy.clone()));
    tokio::spawn(fallback_discovery::run(proxy.clone()));
    let serving = tokio::spawn(listener::run(proxy.clone(), clients));
    crate::signals::terminated().await;
    finish(&proxy, serving).await;
    Ok(())
}

/// Shuts down, and logs what is waited for meanwhile.
async fn finish(proxy: &Proxy, serving: JoinHandle<()>) {
    let started_at = now();
    proxy.shut_down();
    let finished = async {
        let _ = serving.await;
        proxy.drained().await;
    };
    tokio::select! {
        biased;
        () = finished => {}
        () = shutdown::report(|| proxy.unfinished()) => {}
    }
    let elapsed_ms = (now() - started_at) / 1000;
    match proxy.unfinished() {
        Unfinished {
            requests: 0,
            attempts: 0,
            ..
        } => {
            tracing::info!(target: "proxy", "Shut down after {elapsed_ms} ms.");
        }
        unfinished => {
            tracing::warn!(target: "proxy", "Shut down after {elapsed_ms} ms; cut off: {unfinished}.");
        }
    }
}
