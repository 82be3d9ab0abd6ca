//! The controller role: it stores the configuration and the rollouts by consensus with the other controllers, and while it leads
//! it keeps the proxies up to date.
//!
//! | file | what it does |
//! | --- | --- |
//! | [`raft_driver`] | drives the Raft node: connections, disk, clock |
//! | [`store_recovery`] | what to do about a store that can't be used |
//! | `operator_api`, [`leader_redirect`] | operators' calls, and which controller answers them |
//! | `proxy_sessions`, `proxy_outbox` | sessions of proxies, and what is sent to them |
//! | `endpoint_discovery` | the leader reads the platform's list of endpoints |
//! | `rollout_controller` | the leader moves rollouts on |
//! | `metrics` | what is counted for operators |

mod endpoint_discovery;
pub mod leader_redirect;
mod metrics;
mod operator_api;
mod proxy_outbox;
mod proxy_sessions;
pub mod raft_driver;
mod rollout_controller;
mod state_memory;
pub mod store_recovery;

use crate::clock::{self, now, Micros};
use crate::memory::MemoryBudget;
use crate::net;
use crate::settings::SettingsWatch;
use crate::view::phase_name;
use jzon::JsonValue as Json;
use magpieline_config::diagnostic::Diagnostic;
use magpieline_config::gateway_config::GatewayConfig;
use magpieline_config::node_settings::NodeSettings;
use magpieline_control_plane::config_sender::ConfigSender;
use magpieline_control_plane::deduplication::AcceptanceClock;
use magpieline_control_plane::digest::Digest;
use magpieline_control_plane::endpoint_list::EndpointList;
use magpieline_control_plane::messages::{ControllerMessage, TrialStage};
use magpieline_control_plane::proxy_registry::ProxyRegistry;
use magpieline_control_plane::state_machine::{Command, ControlState, Effect, ServiceState};
use magpieline_raft::{NodeId, PeerStatus};
use metrics::ControllerMetrics;
use proxy_outbox::ProxyOutbox;
use raft_driver::{RaftDriver, RaftHandle, RaftStatus, RequestError};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tokio::task::JoinHandle;

/// After the node has left the cluster, pending calls are answered for so long: those that wait for a leader find one within
/// it.
const ANSWER_PENDING_CALLS: Micros = 100_000;
/// Under a new leader proxies come within this: what it knows of all of them says nothing before.
const SETTLE_TIME: Micros = 1_000_000;
/// So much of `grace` is left for that and for the end of the process: less on a machine short of processor time.
const GRACE_RESERVE: Micros = 1_000_000;

/// A configuration that was found valid, as long as it is being committed: what it says is not kept, as that takes several times
/// the memory of its text.
#[derive(Clone)]
pub struct ValidConfig {
    /// As it was sent.
    pub text: Arc<str>,
    /// The digest of the text.
    pub digest: Digest,
    /// Its version.
    pub version: u64,
    /// How many routes it has.
    pub route_count: usize,
}

/// The last valid configuration, after which the next one is parsed.
struct LastValidConfig {
    valid: ValidConfig,
    parsed: GatewayConfig,
}

/// What all parts of a controller share. Locks are held for a few microseconds, never across an await.
pub struct Controller {
    /// The settings at the start.
    pub initial_settings: NodeSettings,
    /// The settings in force.
    pub settings: SettingsWatch,
    /// The Raft node.
    pub raft: RaftHandle,
    state: Mutex<ControllerState>,
    /// The last valid configuration that an operator sent here: the next one is parsed after it.
    last_valid_config: Mutex<Option<LastValidConfig>>,
    /// Memory for the documents that operators send.
    memory: MemoryBudget,
    metrics: ControllerMetrics,
}

/// What a controller knows.
pub struct ControllerState {
    /// The replicated state.
    pub control: ControlState,
    /// For how long the orders in it have been accepted, as this process knows it.
    pub acceptance_clock: AcceptanceClock,
    /// The proxies, while this controller leads.
    pub proxies: ProxyRegistry,
    /// The endpoints as last read under this leadership.
    pub endpoints: EndpointList,
    /// What waits to be sent to proxies.
    outbox: ProxyOutbox,
    /// The configurations in flight to proxies.
    config_sender: ConfigSender,
    /// Since when this controller leads, or no longer does.
    led_since: Micros,
    /// Notified when configurations have come further on their way to proxies.
    config_progress: Arc<Notify>,
    /// The stages of trials, by service: the rollout's id and its stage.
    stages: BTreeMap<String, (u64, TrialStage)>,
}

impl ControllerState {
    fn new() -> ControllerState {
        ControllerState {
            control: ControlState::default(),
            acceptance_clock: AcceptanceClock::default(),
            proxies: ProxyRegistry::default(),
            endpoints: EndpointList::default(),
            outbox: ProxyOutbox::default(),
            config_sender: ConfigSender::default(),
            led_since: 0,
            config_progress: Arc::default(),
            stages: BTreeMap::new(),
        }
    }

    /// Returns all that a proxy has to know besides the configuration, in the order in which it is to take it in.
    fn current_messages(&self) -> Vec<ControllerMessage> {
        let services = self.control.services.clone().into_iter().collect();
        let stage = |(service, (id, stage)): (&String, &(u64, TrialStage))| {
            ControllerMessage::Stage(service.as_str().into(), *id, *stage)
        };
        let endpoints = self.endpoints.full_update(now());
        let mut messages = vec![ControllerMessage::Services(services)];
        messages.extend(self.stages.iter().map(stage));
        messages.extend(endpoints.map(ControllerMessage::Endpoints));
        messages
    }

    /// Tells the proxies what applying a command did.
    fn announce(&mut self, command: &Command, effect: &Effect) {
        match effect {
            Effect::ConfigReplaced => self.send_newest_config(),
            Effect::ServiceChanged => {
                let service = command_service(command)
                    .and_then(|name| self.control.services.get_key_value(name));
                if let Some((name, service)) = service {
                    let changed = vec![(name.clone(), service.clone())];
                    self.broadcast(&ControllerMessage::Services(changed));
                }
            }
            Effect::Duplicate
            | Effect::Unchanged
            | Effect::VersionConflict(_)
            | Effect::RolloutConflict(_)
            | Effect::Ignored
            | Effect::Overtaken
            | Effect::OrderAgesRecorded => {}
        }
    }
}

/// Returns the service that a command is about.
fn command_service(command: &Command) -> Option<&String> {
    match command {
        Command::ReplaceConfig(_) | Command::RecordOrderAges { .. } => None,
        Command::BeginRolloutV1 { service, .. }
        | Command::BeginRolloutV2 { service, .. }
        | Command::BeginRollout { service, .. }
        | Command::AdvanceRollout { service, .. }
        | Command::SetVersion { service, .. } => Some(service),
    }
}

impl Controller {
    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, ControllerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Parses and checks a configuration that an operator sends. One that is sent again is not parsed again.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    pub fn validate(&self, text: &str) -> Result<ValidConfig, Vec<Diagnostic>> {
        let mut last = self
            .last_valid_config
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = last.as_ref().filter(|last| *last.valid.text == *text) {
            return Ok(known.valid.clone());
        }
        let text: Arc<str> = text.into();
        let before = last.as_ref().map(|before| &before.parsed);
        let parsed = GatewayConfig::parse_after(&text, before)?;
        let valid = ValidConfig {
            digest: Digest::of(&text),
            version: parsed.version,
            route_count: parsed.routes().count(),
            text,
        };
        *last = Some(LastValidConfig {
            valid: valid.clone(),
            parsed,
        });
        Ok(valid)
    }

    /// Returns the version under which a document was acknowledged, as far as it is known here.
    fn acknowledged_version(&self, text: &str) -> Option<u64> {
        let digest = Digest::of(text);
        self.state().control.acknowledged_version(&digest)
    }

    /// Proposes a command, as [`RaftHandle::propose`] does, and counts how that ended. It is
    /// encoded on a thread of its own: a long configuration takes a while.
    ///
    /// # Errors
    ///
    /// If it was not accepted, or what became of it is unknown.
    async fn propose(&self, command: Command) -> Result<Effect, RequestError> {
        let started_at = now();
        let result = match tokio::task::spawn_blocking(move || command.encode()).await {
            Ok(encoded) => self.raft.propose(encoded).await,
            Err(_) => Err(RequestError::NotAccepted),
        };
        self.metrics.on_proposal(started_at, &result);
        result
    }

    /// Returns this controller's address among agents.
    pub fn agent_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(
            self.initial_settings.ip,
            self.initial_settings.agent_ports.0,
        )
    }

    /// Returns the agent addresses of the other controllers that are known here.
    fn other_controllers(&self) -> Vec<SocketAddrV4> {
        let port = self.initial_settings.agent_ports.0;
        let seeds = self.initial_settings.controllers_at(port);
        let mut others: Vec<SocketAddrV4> = self.raft.voters().into_iter().chain(seeds).collect();
        others.retain(|other| *other != self.agent_address());
        others.sort();
        others.dedup();
        others
    }

    /// Returns where operators call the controller with this agent address: ports are alike on all machines.
    pub fn operator_address_of(&self, agent_address: SocketAddrV4) -> Option<SocketAddrV4> {
        let own = self.initial_settings.listen_addresses.control?;
        Some(SocketAddrV4::new(*agent_address.ip(), own.port()))
    }

    /// Takes note that this controller leads in this term from now on, or no longer. Earlier sessions end; whoever leads now
    /// hears from the proxies again.
    pub fn set_leadership(&self, term: Option<u64>) {
        let mut state = self.state();
        if state.proxies.set_leadership(term) {
            self.metrics.on_sessions_over(state.outbox.session_count());
            state.led_since = now();
            state.close_all_sessions(term);
            state.stages.clear();
            state.endpoints.clear();
        }
    }

    /// Takes over a state that was read from disk, or sent by the leader.
    pub fn restore(&self, control: ControlState) {
        let state = &mut *self.state();
        state.control = control;
        state
            .acceptance_clock
            .on_state_change(now(), &state.control);
        state.send_newest_config();
        self.memory.set_state_bytes(state_memory::bytes(state));
    }

    /// Applies a committed command, and tells the proxies. Returns what it did.
    pub fn apply(&self, index: u64, command: &Command) -> Effect {
        let state = &mut *self.state();
        let effect = state.control.apply(index, command);
        if matches!(
            command,
            Command::BeginRolloutV1 { .. }
                | Command::BeginRolloutV2 { .. }
                | Command::BeginRollout { .. }
                | Command::RecordOrderAges { .. }
        ) {
            state
                .acceptance_clock
                .on_state_change(now(), &state.control);
        }
        state.announce(command, &effect);
        if effect == Effect::ConfigReplaced {
            self.memory.set_state_bytes(state_memory::bytes(state));
        }
        effect
    }

    /// Returns this controller's state, for operators. Its keys are documented in `docs/gateway/operators.md`.
    pub fn view(&self) -> Json {
        let status = self.raft.status();
        let at = now();
        let state = self.state();
        let mut services = Json::new_object();
        for (name, service) in &state.control.services {
            let _ = services.insert(name, service_view(service));
        }
        jzon::object! {
            node: self.initial_settings.node.as_str(),
            role: format!("{:?}", status.role),
            leads: self.raft.holds_lease(),
            term: status.term,
            leader: status.leader.map(|leader| leader.to_string()),
            own: node_view(&status.id),
            voters: status.voters.iter().map(node_view).collect::<Vec<_>>(),
            learners: status.learners.iter().map(node_view).collect::<Vec<_>>(),
            contacts: status.peers.iter().map(|peer| peer_view(peer, at)).collect::<Vec<_>>(),
            log: log_view(&status),
            edition: state.control.config.as_ref().map(|config| config.version),
            telling: state.transfers_view(),
            appliances: state.endpoints.count(),
            services: services,
            counters: proxies_view(&state.proxies, at)
        }
    }
}

fn node_view(node: &NodeId) -> Json {
    jzon::object! { address: node.address.to_string(), life: node.incarnation }
}

fn peer_view(peer: &PeerStatus, now: Micros) -> Json {
    jzon::object! {
        address: peer.id.address.to_string(),
        matched: peer.match_index,
        votes: peer.is_voter,
        heard_ms_ago: now.saturating_sub(peer.heard_at) / 1000
    }
}

fn log_view(status: &RaftStatus) -> Json {
    jzon::object! {
        in_force: status.commit_index,
        applied: status.applied_index,
        on_disk: status.durable_index,
        disk_troubled: status.is_disk_degraded
    }
}

fn service_view(service: &ServiceState) -> Json {
    let rollout = service.rollout.as_ref().map_or(Json::Null, |rollout| {
        jzon::object! {
            to: rollout.target_version.as_str(),
            phase: phase_name(rollout.phase),
            order: rollout.id,
            within_ms: rollout.within / 1000
        }
    });
    jzon::object! {
        version: service.version.as_deref(),
        barred: service.rejected_versions.clone(),
        rollout: rollout
    }
}

fn proxies_view(proxies: &ProxyRegistry, now: Micros) -> Vec<Json> {
    let proxies = proxies.iter().map(|(node, proxy)| {
        jzon::object! {
            counter: node.as_str(),
            zone: proxy.zone.as_str(),
            edition: proxy.config_version,
            heard_ms_ago: now.saturating_sub(proxy.heard_at) / 1000,
            there: !proxy.is_away(now)
        }
    });
    proxies.collect()
}

/// How one incarnation of the node ended.
enum IncarnationEnd {
    /// The platform ends the process.
    Shutdown,
    /// The node starts again as a new incarnation.
    Restart,
}

/// Serves until SIGTERM, as more than one incarnation where the store can't be used. Its figures are read at `metrics_port`, too,
/// if that is given.
///
/// # Errors
///
/// If the settings lack an address or the store's directory, or an address is not to be had.
pub async fn run(
    settings: SettingsWatch,
    incarnation: u64,
    metrics_port: Option<u16>,
) -> io::Result<()> {
    let mut incarnation = incarnation;
    loop {
        match run_incarnation(settings.clone(), incarnation, metrics_port).await? {
            IncarnationEnd::Restart => incarnation = rand::random::<u64>().max(1),
            IncarnationEnd::Shutdown => return Ok(()),
        }
    }
}

async fn run_incarnation(
    settings: SettingsWatch,
    incarnation: u64,
    metrics_port: Option<u16>,
) -> io::Result<IncarnationEnd> {
    let initial_settings = NodeSettings::clone(&settings.borrow());
    let Some(operator_address) = initial_settings.listen_addresses.control else {
        return Err(io::Error::other("network.posts: expected control"));
    };
    let Some(store_dir) = initial_settings.store_dir.clone().map(PathBuf::from) else {
        return Err(io::Error::other(
            "self.store_dir: expected a folder for what is agreed on",
        ));
    };
    // Nobody is to wait for an answer while nothing runs yet: addresses are opened after the store.
    let opened = store_recovery::open(&initial_settings, &store_dir, incarnation).await;
    let Some((raft, driver)) = opened else {
        return Ok(IncarnationEnd::Shutdown);
    };
    let controller = Arc::new(Controller {
        memory: MemoryBudget::new(initial_settings.memory_mb),
        initial_settings,
        settings,
        raft,
        state: Mutex::new(ControllerState::new()),
        last_valid_config: Mutex::default(),
        metrics: ControllerMetrics::new(),
    });
    let metrics_address =
        metrics_port.map(|port| SocketAddrV4::new(controller.initial_settings.ip, port));
    let serving_metrics = tokio::spawn(serve_metrics(controller.clone(), metrics_address));
    let end = serve(controller, driver, operator_address, store_dir).await;
    abort_all([serving_metrics]).await;
    end
}

/// Answers requests for this controller's figures at an address of their own, if there is one.
async fn serve_metrics(controller: Arc<Controller>, address: Option<SocketAddrV4>) {
    let Some(address) = address else { return };
    let figures = move || crate::metrics::response(controller.metrics_registry());
    crate::metrics::serve(address, figures).await;
}

async fn serve(
    controller: Arc<Controller>,
    driver: RaftDriver,
    operator_address: SocketAddrV4,
    store_dir: PathBuf,
) -> io::Result<IncarnationEnd> {
    let operators = net::listen(operator_address)?;
    let agents = net::listen(controller.agent_address())?;
    let mut driving = tokio::spawn(driver.run(controller.clone()));
    let tasks = [
        tokio::spawn(proxy_sessions::run(controller.clone(), agents)),
        tokio::spawn(operator_api::run(controller.clone(), operators)),
        tokio::spawn(endpoint_discovery::run(controller.clone())),
        tokio::spawn(rollout_controller::run(controller.clone())),
    ];
    tokio::select! {
        () = crate::signals::terminated() => {}
        reason = &mut driving => {
            abort_all(tasks).await;
            let reason = reason.map_err(|panic| io::Error::other(format!("the Raft driver broke: {panic}")))?;
            let others = controller.other_controllers();
            let may_restart = store_recovery::recover(&reason, &store_dir, &others).await;
            return Ok(if may_restart { IncarnationEnd::Restart } else { IncarnationEnd::Shutdown });
        }
    }
    leave(&controller).await;
    Ok(IncarnationEnd::Shutdown)
}

/// Aborts tasks, and waits until they have released their addresses, for the next incarnation.
async fn abort_all<const N: usize>(tasks: [JoinHandle<()>; N]) {
    for task in tasks {
        task.abort();
        let _ = task.await;
    }
}

/// Leaves the cluster in order, within `grace`.
async fn leave(controller: &Controller) {
    let started_at = now();
    tracing::info!(target: "controller", "Shutting down.");
    let grace = controller.initial_settings.guarantees.grace;
    controller
        .raft
        .leave(started_at + grace.saturating_sub(GRACE_RESERVE))
        .await;
    clock::sleep(ANSWER_PENDING_CALLS).await;
    let note = if controller.raft.status().has_left {
        ""
    } else {
        ", still needed"
    };
    let elapsed_ms = (now() - started_at) / 1000;
    tracing::info!(target: "controller", "Shut down after {elapsed_ms} ms{note}.");
}
