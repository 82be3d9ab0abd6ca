//! What is sent to proxies in their sessions: frames that wait for their connections.

use super::ControllerState;
use crate::clock::now;
use bytes::Bytes;
use jzon::JsonValue as Json;
use magpieline_control_plane::config_sender::{Action, Event};
use magpieline_control_plane::messages::{encode_frame, ControllerMessage, Fenced};
use magpieline_control_plane::Micros;
use std::collections::HashMap;
use tokio::sync::{mpsc, oneshot};

/// Frames that may wait for one proxy; the session of one that accepts no more is closed, and it comes again.
const MAX_QUEUED_FRAMES: usize = 512;

/// The proxies' sessions, while this controller leads.
#[derive(Default)]
pub(super) struct ProxyOutbox {
    sessions: HashMap<u64, Session>,
    last_session: u64,
    /// Bytes sent to all proxies together: chunks of configurations, and everything else.
    config_bytes: u64,
    other_bytes: u64,
}

struct Session {
    frames: mpsc::Sender<Bytes>,
    /// Sent once the proxy has all that was committed before it came.
    welcome: Option<Bytes>,
    /// Dropped with the session.
    _open: oneshot::Sender<()>,
}

impl ProxyOutbox {
    /// Returns how many sessions there are.
    pub(super) fn session_count(&self) -> u64 {
        self.sessions.len() as u64
    }

    /// Returns the bytes queued so far: chunks of configurations, and everything else.
    pub(super) fn queued_bytes(&self) -> (u64, u64) {
        (self.config_bytes, self.other_bytes)
    }
}

/// The frames that wait to be written to a proxy.
pub struct SessionQueue {
    /// The frames.
    pub frames: mpsc::Receiver<Bytes>,
    /// Completes when the session is closed: frames that still wait then are not sent any more.
    pub closed: oneshot::Receiver<()>,
}

impl ControllerState {
    /// Opens a session for a proxy that has come.
    pub fn open_session(&mut self) -> (u64, SessionQueue) {
        let (sender, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
        let (open, closed) = oneshot::channel();
        self.outbox.last_session += 1;
        let session = self.outbox.last_session;
        self.outbox.sessions.insert(
            session,
            Session {
                frames: sender,
                welcome: None,
                _open: open,
            },
        );
        (session, SessionQueue { frames, closed })
    }

    /// Begins to send configurations to a proxy that has been sent everything else. `config_version` is the version that it has;
    /// a newer one follows, and the welcome once that is in force.
    pub fn begin_config_transfer(
        &mut self,
        session: u64,
        config_version: Option<u64>,
        welcome: &ControllerMessage,
    ) {
        let frame = self.fenced(welcome);
        if let Some(session) = self.outbox.sessions.get_mut(&session) {
            session.welcome = Some(frame);
        }
        self.on_config_event(Event::Opened {
            session,
            version: config_version,
        });
    }

    /// Sends a message to one proxy.
    pub fn send(&mut self, session: u64, message: &ControllerMessage) {
        let frame = self.fenced(message);
        self.outbox.other_bytes += self.enqueue(session, frame);
    }

    /// Encodes a message with the term of the leadership that holds all sessions.
    fn fenced(&self, message: &ControllerMessage) -> Bytes {
        // Without a term there is no session.
        let term = self.proxies.term().unwrap_or(0);
        encode_frame(&Fenced { term, message }).into()
    }

    /// Sends a heartbeat to all proxies.
    pub fn send_heartbeats(&mut self) {
        let proxies = self.proxies.count(now());
        let config_version = self.control.config.as_ref().map(|config| config.version);
        let reports: Vec<(u64, Micros)> = self.proxies.report_times().collect();
        for (session, confirmed_at) in reports {
            self.send(
                session,
                &ControllerMessage::Heartbeat {
                    proxies,
                    confirmed_at,
                    config_version,
                },
            );
        }
    }

    /// Sends a message to all proxies.
    pub fn broadcast(&mut self, message: &ControllerMessage) {
        if self.outbox.sessions.is_empty() {
            return;
        }
        let frame = self.fenced(message);
        let sessions: Vec<u64> = self.outbox.sessions.keys().copied().collect();
        for session in sessions {
            self.outbox.other_bytes += self.enqueue(session, frame.clone());
        }
    }

    /// Queues a frame for one proxy, whose session is closed if it accepts no more. Returns how many bytes were queued.
    fn enqueue(&mut self, session: u64, frame: Bytes) -> u64 {
        let length = frame.len() as u64;
        match self
            .outbox
            .sessions
            .get(&session)
            .map(|session| session.frames.try_send(frame))
        {
            Some(Ok(())) => return length,
            Some(Err(_)) => {
                tracing::debug!(target: "session", "Session {session} closed: its queue is full.");
                self.close_session(session);
            }
            None => {}
        }
        0
    }

    /// Takes note that a session has ended, or ends it.
    pub fn close_session(&mut self, session: u64) {
        if self.outbox.sessions.remove(&session).is_some() {
            self.proxies.on_closed(session);
            self.on_config_event(Event::Closed { session });
        }
    }

    /// Ends all sessions, as this controller leads in another term now, or no longer.
    pub fn close_all_sessions(&mut self, term: Option<u64>) {
        self.outbox.sessions.clear();
        self.on_config_event(Event::LeadershipChanged { term });
    }

    /// Begins to send the newest configuration to all proxies.
    pub fn send_newest_config(&mut self) {
        if let Some(config) = self.control.config.clone() {
            self.on_config_event(Event::NewConfig(config));
        }
    }

    /// Takes in an event of the configurations in flight.
    pub fn on_config_event(&mut self, event: Event) {
        for action in self.config_sender.step(now(), event) {
            match action {
                Action::Send { session, frame } => {
                    self.outbox.config_bytes += self.enqueue(session, frame);
                }
                Action::UpToDate { session } => self.send_welcome(session),
                Action::Applied {
                    session,
                    version,
                    bytes,
                    elapsed,
                } => {
                    self.log_applied(session, version, bytes, elapsed);
                }
            }
        }
        self.config_progress.notify_waiters();
    }

    fn send_welcome(&mut self, session: u64) {
        let welcome = self
            .outbox
            .sessions
            .get_mut(&session)
            .and_then(|session| session.welcome.take());
        if let Some(frame) = welcome {
            self.outbox.other_bytes += self.enqueue(session, frame);
        }
    }

    fn log_applied(&self, session: u64, version: u64, bytes: u32, elapsed: Micros) {
        let elapsed_ms = elapsed / 1000;
        tracing::debug!(
            target: "config",
            "Configuration {version} in force at the proxy of session {session}: {bytes} bytes, {elapsed_ms} ms."
        );
        if self.config_sender.outdated_proxies() == 0 {
            tracing::info!(
                target: "config",
                "Configuration {version} in force at all {} proxies after {elapsed_ms} ms; {bytes} bytes to the last one.",
                self.outbox.sessions.len()
            );
        }
    }

    /// Returns how configurations go out, for operators.
    pub fn transfers_view(&self) -> Json {
        jzon::object! {
            counters: self.outbox.sessions.len(),
            behind: self.config_sender.outdated_proxies(),
            bytes_on_their_way: self.config_sender.in_flight(),
            bytes_of_editions: self.outbox.config_bytes,
            bytes_of_all_else: self.outbox.other_bytes,
            editions_remembered_bytes: self.config_sender.memory_bytes()
        }
    }
}
