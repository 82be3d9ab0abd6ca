//! The session with the leading controller: connections for [`ControllerClient`], and what it accepts put in force.

use super::metrics::SessionEvent;
use super::Proxy;
use crate::clock::{self, now, Micros};
use crate::net::{self, FrameReader};
use crate::settings::SettingsWatch;
use magpieline_config::node_settings::NodeSettings;
use magpieline_control_plane::config_receiver::{ConfigReceiver, Received};
use magpieline_control_plane::controller_client::{Action, ControllerClient, Event};
use magpieline_control_plane::endpoint_view::UpdateSource;
use magpieline_control_plane::messages::{
    ConfigChunk, ConnectionPurpose, ControllerMessage, Fenced, Hello, ProxyMessage, Report,
};
use std::io;
use std::net::SocketAddrV4;
use std::sync::Arc;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::JoinHandle;

/// A connection takes no longer than the client waits for it.
const CONNECT_TIMEOUT: Micros = 240_000;

/// While a service is promoted to another version, evidence is reported this often: a version that fails under all its load
/// must be found out within a moment.
const PROMOTION_REPORT_INTERVAL: Micros = 100_000;

/// A connection to a controller.
struct Connection {
    reader: FrameReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    config_receiver: ConfigReceiver,
}

/// Why a session goes on.
enum Wake {
    Connected(io::Result<Connection>),
    Received(io::Result<Option<Fenced<ControllerMessage>>>),
    ConfigApplied,
    ReportDue,
    Tick,
}

struct Session {
    proxy: Arc<Proxy>,
    settings: SettingsWatch,
    client: ControllerClient,
    connection: Option<Connection>,
    connecting: Option<JoinHandle<io::Result<Connection>>>,
    /// What was received last, until it is accepted or rejected.
    received: Option<ControllerMessage>,
    /// A configuration that is being put in force, on a thread of its own: a long one takes longer than requests, and news of
    /// endpoints, may wait.
    applying: Option<JoinHandle<()>>,
}

/// Keeps a session with the leader, for ever.
pub(super) async fn run(proxy: Arc<Proxy>) {
    let mut session = Session::new(proxy);
    let mut actions = session.client.step(now(), Event::Tick);
    loop {
        let mut next_actions = Vec::new();
        for action in actions {
            next_actions.extend(session.perform(action).await);
        }
        session.refresh();
        actions = match next_actions.is_empty() {
            true => session.wait().await,
            false => next_actions,
        };
    }
}

impl Session {
    fn new(proxy: Arc<Proxy>) -> Session {
        let mut settings = proxy.settings.clone();
        let seeds = seeds(&settings.borrow_and_update(), &proxy);
        let turn = proxy.incarnation as usize;
        Session {
            client: ControllerClient::new(now(), seeds, turn),
            proxy,
            settings,
            connection: None,
            connecting: None,
            received: None,
            applying: None,
        }
    }

    /// Performs an action of the client. Returns what is to be done after it.
    async fn perform(&mut self, action: Action) -> Vec<Action> {
        match action {
            Action::Connect(address) => {
                self.close();
                self.connecting = Some(tokio::spawn(connect(address)));
                Vec::new()
            }
            Action::Disconnect => {
                self.close();
                self.connecting = None;
                Vec::new()
            }
            Action::SendHello => self.send(ProxyMessage::Hello(self.hello())).await,
            Action::SendReport => self.send_report().await,
            Action::Accept => match self.accept() {
                Some(reply) => self.send(reply).await,
                None => Vec::new(),
            },
        }
    }

    fn hello(&self) -> Hello {
        Hello {
            node: self.proxy.settings_at_start.node.clone(),
            zone: self.proxy.settings_at_start.zone.clone(),
            incarnation: self.proxy.incarnation,
            config_version: self.proxy.config_version(),
            term: self.client.term(),
            sent_at: now(),
        }
    }

    fn report(&self) -> Report {
        Report {
            config_version: self.proxy.config_version(),
            evidence: self.proxy.evidence(),
            term: self.client.term(),
            sent_at: now(),
        }
    }

    async fn send_report(&mut self) -> Vec<Action> {
        let mut actions = self.send(ProxyMessage::Report(self.report())).await;
        let speeds = self.proxy.state().trial_speeds(now());
        if !speeds.is_empty() {
            actions.extend(self.send(ProxyMessage::TrialSpeeds(speeds)).await);
        }
        actions
    }

    async fn send(&mut self, message: ProxyMessage) -> Vec<Action> {
        let Some(connection) = &mut self.connection else {
            return Vec::new();
        };
        if net::write_frame(&mut connection.writer, &message)
            .await
            .is_ok()
        {
            return Vec::new();
        }
        self.close();
        self.client.step(now(), Event::Disconnected)
    }

    /// Closes the connection, if there is one.
    fn close(&mut self) {
        // It is put in force all the same; nobody waits for the answer.
        self.applying = None;
        if self.connection.take().is_some() {
            self.proxy.metrics.on_session(SessionEvent::Ended);
        }
    }

    /// Puts what was received last in force. Returns what is to be said in return.
    fn accept(&mut self) -> Option<ProxyMessage> {
        let (Some(connection), Some(message)) = (&mut self.connection, self.received.take()) else {
            return None;
        };
        let proxy = self.proxy.clone();
        let mut reply = None;
        match message {
            ControllerMessage::Welcome { .. } => {
                tracing::info!(target: "session", "Following the leader of term {}.", self.client.term());
                proxy.metrics.on_session(SessionEvent::Following);
                proxy.on_confirmed();
            }
            ControllerMessage::ConfigChunk(chunk) => {
                let received = connection
                    .config_receiver
                    .receive(proxy.stored_config().as_ref(), &chunk);
                reply = self.on_config(&chunk, received);
            }
            ControllerMessage::Services(services) => proxy.apply_services(services),
            ControllerMessage::Endpoints(update) => {
                proxy.apply_endpoints(UpdateSource::Leader, update);
            }
            ControllerMessage::EndpointsConfirmed { as_of } => {
                proxy.confirm_endpoints(as_of.min(now()));
            }
            ControllerMessage::Stage(service, rollout_id, stage) => {
                proxy.enter_stage(&service, rollout_id, stage);
            }
            ControllerMessage::Heartbeat { .. } | ControllerMessage::Redirect { .. } => {}
        }
        self.client.set_config_version(proxy.config_version());
        reply
    }

    /// Begins to put a configuration in force once it is complete. Returns what is to be said of its chunk at once.
    fn on_config(&mut self, chunk: &ConfigChunk, received: Received) -> Option<ProxyMessage> {
        match received {
            Received::Incomplete(received) => Some(ProxyMessage::ChunkReceived {
                version: chunk.version,
                received,
            }),
            Received::Complete(config) => {
                let proxy = self.proxy.clone();
                let apply = move || proxy.apply_config(&config);
                self.applying = Some(tokio::task::spawn_blocking(apply));
                None
            }
            Received::Stale => Some(self.config_applied()),
            Received::BaseMismatch => {
                tracing::warn!(target: "config", "A difference does not apply to the configuration here; all of it is asked for.");
                Some(ProxyMessage::ConfigApplied { version: None })
            }
        }
    }

    /// Returns what is said to the leader once a transfer is over.
    fn config_applied(&self) -> ProxyMessage {
        ProxyMessage::ConfigApplied {
            version: self.proxy.config_version(),
        }
    }

    /// Takes over what has changed on either side since it waited last.
    fn refresh(&mut self) {
        if self.settings.has_changed().unwrap_or(false) {
            let seeds = seeds(&self.settings.borrow_and_update(), &self.proxy);
            self.client.set_seeds(seeds);
        }
        if self.proxy.state().is_promoting() {
            self.client.report_by(now() + PROMOTION_REPORT_INTERVAL);
        }
        self.proxy.state().is_following = self.client.is_following(now());
        self.proxy.set_proxies(self.client.proxies());
    }

    /// Waits for what happens next. Returns what is to be done.
    async fn wait(&mut self) -> Vec<Action> {
        match self.wake().await {
            Wake::Connected(Ok(connection)) => {
                self.connecting = None;
                self.connection = Some(connection);
                self.proxy.metrics.on_session(SessionEvent::Connected);
                self.client.step(now(), Event::Connected)
            }
            Wake::Connected(Err(_)) => {
                self.connecting = None;
                self.client.step(now(), Event::Disconnected)
            }
            Wake::Received(Ok(Some(message))) => {
                let actions = self.client.step(now(), Event::Received(&message));
                self.received = Some(message.message);
                actions
            }
            Wake::Received(Ok(None) | Err(_)) => {
                self.close();
                self.client.step(now(), Event::Disconnected)
            }
            Wake::ConfigApplied => {
                self.applying = None;
                self.client.set_config_version(self.proxy.config_version());
                self.send(self.config_applied()).await
            }
            Wake::ReportDue => {
                self.client.report_by(now());
                self.client.step(now(), Event::Tick)
            }
            Wake::Tick => self.client.step(now(), Event::Tick),
        }
    }

    async fn wake(&mut self) -> Wake {
        let Session {
            proxy,
            client,
            connection,
            connecting,
            applying,
            ..
        } = self;
        tokio::select! {
            connected = async { connecting.as_mut().expect("guarded").await }, if connecting.is_some() => {
                Wake::Connected(connected.unwrap_or_else(|panic| Err(panic.into())))
            }
            received = async { connection.as_mut().expect("guarded").reader.next().await }, if connection.is_some() => {
                Wake::Received(received)
            }
            _ = async { applying.as_mut().expect("guarded").await }, if applying.is_some() => Wake::ConfigApplied,
            () = proxy.report_due.notified() => Wake::ReportDue,
            () = clock::sleep_until(client.next_wake()) => Wake::Tick,
        }
    }
}

/// Returns where controllers are asked first.
fn seeds(settings: &NodeSettings, proxy: &Proxy) -> Vec<SocketAddrV4> {
    settings.controllers_at(proxy.settings_at_start.agent_ports.0)
}

async fn connect(address: SocketAddrV4) -> io::Result<Connection> {
    let stream = net::connect(address, CONNECT_TIMEOUT).await?;
    let (read, mut writer) = stream.into_split();
    net::write_frame(&mut writer, &ConnectionPurpose::ProxySession).await?;
    Ok(Connection {
        reader: FrameReader::new(read),
        writer,
        config_receiver: ConfigReceiver::default(),
    })
}
