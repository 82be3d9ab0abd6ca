//! Records what clients, endpoints and the platform see.

use crate::plan::Agent;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Microseconds since the beginning of a run.
pub type Micros = u64;

/// How a request ended at its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// A whole response.
    Answered {
        /// Its status.
        status: u16,
        /// It carries an endpoint's stamp.
        has_postmark: bool,
        /// Its id and body are the request's own.
        is_own: bool,
    },
    /// The connection ended without a byte of a response.
    Closed,
    /// The connection ended within a response.
    Truncated,
    /// The client left.
    Left,
    /// Nothing came until long after its deadline.
    Silent,
}

/// A request as its client knows it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// The proxy that it was sent to, by its number.
    pub proxy: usize,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
    /// When all of it was written.
    pub sent_at: Micros,
    /// When its client stops waiting.
    pub deadline: Micros,
    /// How it ended, and when.
    pub outcome: Option<(Micros, ClientOutcome)>,
    /// It was sent behind another on its connection that was answered with `Connection: close`, or not at all.
    pub is_behind_close: bool,
}

/// A request at an endpoint.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request's id.
    pub id: String,
    /// The endpoint's id.
    pub endpoint: String,
    /// When it arrived.
    pub arrived_at: Micros,
    /// When the endpoint began to work on it; none: it never did, and has said so.
    pub began_at: Option<Micros>,
    /// When it stopped: it had answered, or its connection had ended.
    pub stopped_at: Option<Micros>,
    /// Whether it had answered by then.
    pub has_answered: bool,
}

/// An endpoint's service and size.
#[derive(Clone, Copy, Debug)]
pub struct EndpointSize {
    /// Its service.
    pub service: &'static str,
    /// Requests that it works on at a time.
    pub concurrency: usize,
}

/// Something that was done to an agent or to the surroundings.
#[derive(Clone, Debug)]
pub struct Incident {
    /// When it began, and when its effects had ended.
    pub from: Micros,
    /// The end of its effects; none: it has not ended.
    pub until: Option<Micros>,
    /// The agent, if it was done to one.
    pub agent: Option<Agent>,
    /// It leaves requests without answers by its nature (a kill, a frozen process).
    pub is_unplanned: bool,
    /// What it was.
    pub text: String,
}

/// How a process ended that got SIGTERM.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// The agent.
    pub agent: Agent,
    /// When it got SIGTERM.
    pub at: Micros,
    /// How long it took to end; none: it had to be killed.
    pub took: Option<Micros>,
}

/// A span in which the run's own process stood still: what was seen then is recorded late.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// When it ended.
    pub until: Micros,
    /// How long it was.
    pub length: Micros,
}

/// What was seen in a run.
#[derive(Default)]
pub struct Recording {
    /// Requests by their ids; each sending has an id of its own.
    pub requests: BTreeMap<String, SentRequest>,
    /// What endpoints worked on.
    pub runs: Vec<Run>,
    /// All endpoints that there were, by their ids.
    pub endpoints: BTreeMap<String, EndpointSize>,
    /// When endpoints were first listed as leaving, by their ids.
    pub leaving: BTreeMap<String, Micros>,
    /// What was done.
    pub incidents: Vec<Incident>,
    /// Processes that were shut down.
    pub shutdowns: Vec<Shutdown>,
    /// Processes that ended by themselves.
    pub exits: Vec<String>,
    /// Configurations that the operator sent, and those that were acknowledged, with their times.
    pub sent_configs: BTreeMap<u64, Micros>,
    /// When each was acknowledged.
    pub acknowledged_configs: BTreeMap<u64, Micros>,
    /// The configuration that was read back in the end.
    pub read_back: Option<u64>,
    /// Times from sending to a whole response.
    pub latencies: Vec<Micros>,
    /// Memory in kB and open descriptors of each agent, as they were in the end.
    pub resources: Vec<(Agent, u64, usize)>,
    /// The most memory in kB that a process of each agent had.
    pub memory_peaks: BTreeMap<Agent, u64>,
    /// When clients, endpoints and the platform stood still themselves.
    pub stalls: Vec<Stall>,
    /// Requests whose body arrived changed, in words.
    pub altered: Vec<String>,
}

/// Shared by all that see something.
#[derive(Clone)]
pub struct Recorder {
    recording: Arc<Mutex<Recording>>,
    started: Instant,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder {
            recording: Arc::default(),
            started: Instant::now(),
        }
    }
}

impl Recorder {
    /// Locks what was seen.
    pub fn lock(&self) -> MutexGuard<'_, Recording> {
        self.recording
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the present instant.
    pub fn now(&self) -> Micros {
        self.started.elapsed().as_micros() as Micros
    }

    /// Records how a request ended.
    pub fn on_outcome(&self, id: &str, outcome: ClientOutcome) {
        let now = self.now();
        if let Some(request) = self.lock().requests.get_mut(id) {
            request.outcome = Some((now, outcome));
        }
    }

    /// Records that something is done. Returns its number.
    pub fn begin(&self, agent: Option<Agent>, is_unplanned: bool, text: String) -> usize {
        let from = self.now();
        let mut recording = self.lock();
        recording.incidents.push(Incident {
            from,
            until: None,
            agent,
            is_unplanned,
            text,
        });
        recording.incidents.len() - 1
    }

    /// Records that the effects of something have ended.
    pub fn end(&self, incident: usize) {
        let now = self.now();
        self.lock().incidents[incident].until = Some(now);
    }
}
