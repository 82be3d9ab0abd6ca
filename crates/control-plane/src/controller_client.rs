//! A proxy's session with the leading controller.
//!
//! The client starts from seeds that may be out of date, down or wrong, asks one after the other, follows redirects, and
//! leaves a leader that falls silent. One connection at a time: what the leader says reaches every proxy without a relay, and a
//! connection that only seems to be up is found out by the heartbeats that do not arrive.
//!
//! It is also where messages of the past are rejected (fencing). Every message carries the term that it is sent in; the client
//! keeps the highest term that a leader has spoken to it in, accepts nothing sent in a lower one, and closes a connection on
//! which such arrives. How old the evidence of a majority behind a leader's message can be is measured on the proxy's own
//! clock, by the time of its newest report that the leader names: clocks are never compared, and all delays on the way count.

use crate::messages::{ControllerMessage, Fenced};
use crate::Micros;
use std::net::SocketAddrV4;

/// A leader that sends nothing for so long is taken for lost: three of its heartbeats and a slow moment.
const SILENCE_TIMEOUT: Micros = 1_000_000;
/// A leader's leadership is trusted for so long after the proxy's newest report that it has named: reports go up twice a second
/// and are named with the next heartbeat, 0.8 s later; as much again for slow moments. Below the least `contact` of the
/// deployments known, 3 s.
const TRUST_DURATION: Micros = 2_000_000;
/// On a congested connection heartbeats arrive late and still arrive. It is closed only when what arrives is this old: a new
/// connection to the same leader would be as congested.
const STALE_TIMEOUT: Micros = 5_000_000;
/// A connection that is not up after this is given up: connections within a region take a few milliseconds, across regions
/// some fifty.
const CONNECT_TIMEOUT: Micros = 250_000;
/// A controller that knows no leader is asked again after this, and the next one meanwhile.
const RETRY_INTERVAL: Micros = 80_000;
/// A report goes up this often: the leader counts the proxies, and hears of evidence.
const REPORT_INTERVAL: Micros = 500_000;

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The connection is up.
    Connected,
    /// It has ended, or did not come up.
    Disconnected,
    /// A message has arrived.
    Received(&'a Fenced<ControllerMessage>),
    /// Time has passed.
    Tick,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a connection to this controller, and close the one that is open.
    Connect(SocketAddrV4),
    /// Close the connection.
    Disconnect,
    /// Send a hello.
    SendHello,
    /// Send a report.
    SendReport,
    /// Put what was received into force, before anything that follows: it is from a leader that a majority has confirmed after
    /// this proxy asked, and of no lower term than anything heard before.
    Accept,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Connection {
    Disconnected,
    Connecting(SocketAddrV4),
    /// Up; whether the other side leads is not known yet.
    Asking(SocketAddrV4),
    /// The other side leads.
    Following(SocketAddrV4),
}

/// A proxy's session with the leader.
#[derive(Debug)]
pub struct ControllerClient {
    seeds: Vec<SocketAddrV4>,
    /// All controllers, as last heard; the seeds where nothing was heard.
    controllers: Vec<SocketAddrV4>,
    connection: Connection,
    /// Who is asked next, among `controllers` and then `seeds`.
    turn: usize,
    /// Who is said to lead.
    leader_hint: Option<SocketAddrV4>,
    started_at: Micros,
    /// When the connection was tried, or came up.
    connection_since: Micros,
    heard_at: Micros,
    connect_at: Micros,
    report_at: Micros,
    /// When a leader was last followed; none: never.
    followed_at: Option<Micros>,
    /// The highest term that a leader has spoken in; 0: none has.
    term: u64,
    /// The term of the connection, once a leader has spoken on it.
    connection_term: Option<u64>,
    /// The newest report that a leader has named: it led, and nobody else, at a moment after it.
    led_at: Option<Micros>,
    /// All that was acknowledged before this moment is known here; none: nothing is.
    confirmed_at: Option<Micros>,
    /// The version of the configuration in force here.
    config_version: Option<u64>,
    proxies: u32,
}

impl ControllerClient {
    /// `turn` says with whom it begins; proxies should differ.
    pub fn new(now: Micros, seeds: Vec<SocketAddrV4>, turn: usize) -> ControllerClient {
        ControllerClient {
            controllers: seeds.clone(),
            seeds,
            connection: Connection::Disconnected,
            turn,
            leader_hint: None,
            started_at: now,
            connection_since: now,
            heard_at: now,
            connect_at: now,
            report_at: now,
            followed_at: None,
            term: 0,
            connection_term: None,
            led_at: None,
            confirmed_at: None,
            config_version: None,
            proxies: 0,
        }
    }

    /// Whether the leader has been heard recently, and led recently when it spoke.
    pub fn is_following(&self, now: Micros) -> bool {
        let is_trusted = self.led_at.is_some_and(|at| now < at + TRUST_DURATION);
        let is_heard = now < self.heard_at + SILENCE_TIMEOUT;
        matches!(self.connection, Connection::Following(_)) && is_heard && is_trusted
    }

    /// Returns a moment, on this proxy's clock, before which nothing was acknowledged that is not known here. None: no leader
    /// has confirmed anything since the start, and nothing is to be taken for being in force.
    pub fn confirmed_at(&self) -> Option<Micros> {
        self.confirmed_at
    }

    /// Returns the highest term that a leader has spoken to this proxy in; 0: none has.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns for how long no leader has been followed.
    pub fn time_without_leader(&self, now: Micros) -> Micros {
        if self.is_following(now) {
            return 0;
        }
        now.saturating_sub(self.followed_at.unwrap_or(self.started_at))
    }

    /// Returns how many proxies there are, as last heard; 0 before.
    pub fn proxies(&self) -> u32 {
        self.proxies
    }

    /// Returns who is followed, or being asked.
    pub fn target(&self) -> Option<SocketAddrV4> {
        match self.connection {
            Connection::Disconnected => None,
            Connection::Connecting(to) | Connection::Asking(to) | Connection::Following(to) => {
                Some(to)
            }
        }
    }

    /// Returns all controllers that are known.
    pub fn controllers(&self) -> &[SocketAddrV4] {
        &self.controllers
    }

    /// Takes note of the version of the configuration in force here.
    pub fn set_config_version(&mut self, version: Option<u64>) {
        self.config_version = version;
    }

    /// Replaces the seeds. Who is followed stays followed, and controllers that were heard of are asked first, as before.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddrV4>) {
        if self.controllers == self.seeds {
            self.controllers.clone_from(&seeds);
        }
        self.seeds = seeds;
    }

    /// Takes one event at `now`; returns what is to be done, in order.
    pub fn step(&mut self, now: Micros, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Connected => {
                if let Connection::Connecting(to) = self.connection {
                    self.connection = Connection::Asking(to);
                    (self.connection_since, self.heard_at) = (now, now);
                    actions.push(Action::SendHello);
                }
            }
            Event::Disconnected => self.on_disconnected(now),
            Event::Received(message) => {
                self.heard_at = now;
                self.on_received(now, message, &mut actions);
            }
            Event::Tick => {}
        }
        self.check_timers(now, &mut actions);
        actions
    }

    /// Returns when [`Event::Tick`] is due next.
    pub fn next_wake(&self) -> Micros {
        match self.connection {
            Connection::Disconnected => self.connect_at,
            Connection::Connecting(_) => self.connection_since + CONNECT_TIMEOUT,
            Connection::Asking(_) => self.heard_at + SILENCE_TIMEOUT,
            Connection::Following(_) => self.leader_timeout_at().min(self.report_at),
        }
    }

    /// Returns when the leader that is followed is left, unless it sends more.
    fn leader_timeout_at(&self) -> Micros {
        let stale_at = self.led_at.map_or(Micros::MAX, |at| at + STALE_TIMEOUT);
        stale_at.min(self.heard_at + SILENCE_TIMEOUT)
    }

    /// Makes the next report go up by this time, not at the next regular one.
    pub fn report_by(&mut self, by: Micros) {
        self.report_at = self.report_at.min(by);
    }

    fn on_disconnected(&mut self, now: Micros) {
        let followed = match self.connection {
            Connection::Following(leader) => Some(leader),
            _ => None,
        };
        // A leader that was followed is asked once more first: a connection may break for its own reasons.
        self.leader_hint = self.leader_hint.or(followed);
        let pause = if followed.is_some() {
            0
        } else {
            RETRY_INTERVAL
        };
        self.disconnect(now, pause);
    }

    fn disconnect(&mut self, now: Micros, pause: Micros) {
        if matches!(self.connection, Connection::Following(_)) {
            self.followed_at = Some(self.heard_at);
        }
        self.connection = Connection::Disconnected;
        self.connection_term = None;
        self.connect_at = now + pause;
    }

    fn on_received(
        &mut self,
        now: Micros,
        received: &Fenced<ControllerMessage>,
        actions: &mut Vec<Action>,
    ) {
        let (Connection::Asking(sender) | Connection::Following(sender)) = self.connection else {
            return;
        };
        let is_of_the_past = received.term < self.term;
        if let ControllerMessage::Redirect {
            leader,
            controllers,
        } = &received.message
        {
            // Places to ask at, from a controller that may be behind or ahead of all others: what it says moves no term, and
            // one that knows of no newer term than an older leader's knows nothing new.
            if !is_of_the_past {
                self.learn(controllers);
                self.leader_hint = leader.filter(|leader| *leader != sender);
            }
            actions.push(Action::Disconnect);
            let pause = if self.leader_hint.is_some() {
                0
            } else {
                RETRY_INTERVAL
            };
            return self.disconnect(now, pause);
        }
        if is_of_the_past
            || self
                .connection_term
                .is_some_and(|term| term != received.term)
        {
            // Sent by a leader of the past, or in more than one term: nothing more is accepted on this connection.
            actions.push(Action::Disconnect);
            return self.disconnect(now, RETRY_INTERVAL);
        }
        self.term = received.term;
        self.connection_term = Some(received.term);
        self.on_leader_message(now, sender, &received.message);
        actions.push(Action::Accept);
    }

    fn on_leader_message(
        &mut self,
        now: Micros,
        sender: SocketAddrV4,
        message: &ControllerMessage,
    ) {
        match message {
            ControllerMessage::Welcome {
                controllers,
                proxies,
                confirmed_at,
            } => {
                self.learn(controllers);
                self.connection = Connection::Following(sender);
                self.leader_hint = None;
                self.report_at = now;
                self.led_at = self.led_at.max(Some((*confirmed_at).min(now)));
                self.confirmed_at = self.confirmed_at.max(self.led_at);
                self.proxies = (*proxies).max(1);
            }
            ControllerMessage::Heartbeat {
                proxies,
                confirmed_at,
                config_version,
            } => {
                self.led_at = self.led_at.max(Some((*confirmed_at).min(now)));
                self.proxies = (*proxies).max(1);
                // A heartbeat goes before bulk data: it confirms everything only where nothing of that is still to come.
                if self.config_version >= *config_version {
                    self.confirmed_at = self.confirmed_at.max(self.led_at);
                }
            }
            ControllerMessage::Redirect { .. }
            | ControllerMessage::ConfigChunk(_)
            | ControllerMessage::Services(_)
            | ControllerMessage::Stage(..)
            | ControllerMessage::Endpoints(_)
            | ControllerMessage::EndpointsConfirmed { .. } => {}
        }
    }

    fn learn(&mut self, controllers: &[SocketAddrV4]) {
        if !controllers.is_empty() {
            self.controllers = controllers.to_vec();
        }
    }

    fn check_timers(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let has_timed_out = match self.connection {
            Connection::Disconnected => false,
            Connection::Connecting(_) => now >= self.connection_since + CONNECT_TIMEOUT,
            Connection::Asking(_) => now >= self.heard_at + SILENCE_TIMEOUT,
            Connection::Following(_) => now >= self.leader_timeout_at(),
        };
        if has_timed_out {
            actions.push(Action::Disconnect);
            self.disconnect(now, 0);
        }
        if self.connection == Connection::Disconnected && now >= self.connect_at {
            if let Some(to) = self.next_target() {
                self.connection = Connection::Connecting(to);
                self.connection_since = now;
                actions.push(Action::Connect(to));
            } else {
                self.connect_at = now + RETRY_INTERVAL;
            }
        }
        if matches!(self.connection, Connection::Following(_)) && now >= self.report_at {
            self.report_at = now + REPORT_INTERVAL;
            actions.push(Action::SendReport);
        }
    }

    /// Returns who is said to lead, else the next one of all known controllers, the seeds among them: what was heard may be
    /// older than they are.
    fn next_target(&mut self) -> Option<SocketAddrV4> {
        if let Some(leader) = self.leader_hint.take() {
            return Some(leader);
        }
        let mut known = self.controllers.clone();
        known.extend(
            self.seeds
                .iter()
                .filter(|seed| !self.controllers.contains(seed)),
        );
        self.turn = self.turn.wrapping_add(1);
        (!known.is_empty()).then(|| known[self.turn % known.len()])
    }
}
