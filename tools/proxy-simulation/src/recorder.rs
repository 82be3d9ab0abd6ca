//! Records what is seen on the streams, and what is violated by it.

use crate::http_reader;
use crate::memory_stream::Tap;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;

/// An instant since a run began, in microseconds.
pub(crate) type Micros = u64;

/// What is decided at the moment of writing is written within this: the connection's task comes to its turn.
const WRITE_DELAY: Micros = 2_000;

/// A request of which at least one byte was written to an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct Arrival {
    pub(crate) id: String,
    pub(crate) is_idempotent: bool,
    pub(crate) service: String,
    pub(crate) connection: usize,
    pub(crate) at: Micros,
    /// The endpoint has begun to work on it.
    pub(crate) has_run: bool,
    /// When the endpoint stopped working on it; none: it is still at work, or has not begun.
    pub(crate) stopped_at: Option<Micros>,
    /// When the endpoint had written completely that it did not run it and will not.
    pub(crate) rejected_at: Option<Micros>,
}

/// A response as its client saw it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SeenResponse {
    pub(crate) status: u16,
    /// It is one of the gateway's own.
    pub(crate) is_own: bool,
}

/// A request as its client knows it.
#[derive(Clone, Debug, Default)]
pub(crate) struct SentRequest {
    /// When its first byte was written, and when its last.
    pub(crate) started_at: Micros,
    pub(crate) finished_at: Option<Micros>,
    pub(crate) deadline: Micros,
    /// How long it may be held, from when its head was read.
    pub(crate) timeout: Micros,
    pub(crate) response: Option<SeenResponse>,
    /// Its client went away, or never meant to wait.
    pub(crate) is_abandoned: bool,
    /// When its client closed its connection, with or without the response.
    pub(crate) client_left_at: Option<Micros>,
    /// It was sent behind a response that closed the connection.
    pub(crate) is_behind_close: bool,
}

/// The endpoint that is listed at an address.
#[derive(Clone, Debug)]
pub(crate) struct ListedEndpoint {
    pub(crate) id: String,
    pub(crate) service: String,
    pub(crate) version: String,
    pub(crate) is_ready: bool,
}

/// A configuration as it came into force: which service a prefix went to.
#[derive(Clone, Debug)]
pub(crate) struct ActiveConfig {
    pub(crate) since: Micros,
    pub(crate) services: BTreeMap<String, String>,
}

/// The version that a service runs.
#[derive(Clone, Debug)]
pub(crate) struct CurrentVersion {
    pub(crate) version: String,
    pub(crate) since: Micros,
}

/// What was seen.
#[derive(Default)]
pub(crate) struct Recording {
    pub(crate) arrivals: Vec<Arrival>,
    /// Requests by their ids; an id may be sent several times.
    pub(crate) sent: BTreeMap<String, Vec<SentRequest>>,
    pub(crate) listed: HashMap<SocketAddrV4, ListedEndpoint>,
    /// By service, where one version alone gets requests.
    pub(crate) current_versions: HashMap<String, CurrentVersion>,
    /// The ids of the endpoints that are at an address, listed or not.
    pub(crate) present: HashMap<SocketAddrV4, String>,
    pub(crate) configs: Vec<ActiveConfig>,
    /// How long connections may rest, as clients know.
    pub(crate) idle_timeout: Micros,
    pub(crate) violations: Vec<String>,
    /// How often what was met, to show that a run met what it is about.
    pub(crate) counts: BTreeMap<&'static str, u64>,
    pub(crate) connections: usize,
    /// Requests that endpoints work on, by connection.
    pub(crate) in_progress: BTreeMap<usize, String>,
    /// When SIGTERM came.
    pub(crate) shutdown_at: Option<Micros>,
}

/// Shared by all that see something.
#[derive(Clone)]
pub(crate) struct Recorder {
    recording: Arc<Mutex<Recording>>,
    started: Instant,
}

impl Recorder {
    pub(crate) fn new() -> Recorder {
        Recorder {
            recording: Arc::default(),
            started: Instant::now(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Recording> {
        self.recording
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Records that a rule was violated.
    pub(crate) fn violation(&self, what: String) {
        let seconds = self.now() as f64 / 1e6;
        self.lock()
            .violations
            .push(format!("{seconds:.3} s: {what}"));
    }

    /// Counts that something was met.
    pub(crate) fn count(&self, what: &'static str) {
        *self.lock().counts.entry(what).or_default() += 1;
    }

    /// Changes the newest arrival on a connection.
    pub(crate) fn update_arrival(&self, connection: usize, update: impl FnOnce(&mut Arrival)) {
        let mut recording = self.lock();
        let mut arrivals = recording.arrivals.iter_mut().rev();
        if let Some(arrival) = arrivals.find(|arrival| arrival.connection == connection) {
            update(arrival);
        }
    }
}

/// Records what the proxy writes on one connection.
pub(crate) struct ConnectionTap {
    pub(crate) recorder: Recorder,
    pub(crate) connection: usize,
    pub(crate) address: SocketAddrV4,
    /// The endpoint that was listed there when the connection came up.
    pub(crate) endpoint: ListedEndpoint,
    /// Bytes of the newest request that are not written yet.
    pub(crate) bytes_left: usize,
}

impl ConnectionTap {
    /// Checks the beginning of a request.
    fn on_request(&self, head: &http_reader::Message) {
        let at = self.recorder.now();
        let endpoint = &self.endpoint;
        let id = head.header("try-id").unwrap_or("").to_owned();
        let path = head.start_line.split(' ').nth(1).unwrap_or("");
        let addressee = head.header("addressee").unwrap_or("");
        if addressee != endpoint.id {
            let own = &endpoint.id;
            self.recorder
                .violation(format!("{id} for {addressee} on a connection to {own}"));
        }
        let mut recording = self.recorder.lock();
        let current = recording.current_versions.get(&endpoint.service);
        let is_replaced = |current: &CurrentVersion| {
            current.version != endpoint.version && at > current.since + WRITE_DELAY
        };
        let is_old_version = current.is_some_and(is_replaced);
        let listed = recording.listed.get(&self.address);
        let is_gone = listed.is_none_or(|listed| listed.id != endpoint.id || !listed.is_ready);
        recording.arrivals.push(Arrival {
            id: id.clone(),
            is_idempotent: !path.starts_with("/once/"),
            service: endpoint.service.clone(),
            connection: self.connection,
            at,
            has_run: false,
            stopped_at: None,
            rejected_at: None,
        });
        drop(recording);
        if is_old_version {
            let current = self.recorder.lock().current_versions.clone();
            self.recorder.violation(format!(
                "{id} to {endpoint:?}, of a replaced version: {current:?}"
            ));
        }
        if is_gone {
            let own = &endpoint.id;
            self.recorder
                .violation(format!("{id} to {own}, which drains or is gone"));
        }
    }
}

impl Tap for ConnectionTap {
    fn on_write(&mut self, offered: &[u8], written: usize) {
        if self.bytes_left > 0 {
            self.bytes_left = self.bytes_left.saturating_sub(written);
            return;
        }
        let Some((head, head_len)) = http_reader::parse_head(offered) else {
            let text = String::from_utf8_lossy(offered);
            self.recorder.violation(format!("no head: {text:?}"));
            return;
        };
        let len = head_len + head.content_length();
        self.bytes_left = len - written.min(len);
        self.on_request(&head);
    }
}
