//! What proxies and controllers say to each other.
//!
//! One message is one frame: its length in four bytes, the least significant first, then the message as [`codec`] encodes it.
//! The order of fields and of variants is the wire format.

use crate::codec::{self, DecodeError, Encoded};
use crate::state_machine::{Phase, ServiceState};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// The longest frame that is read, in bytes; a configuration of 37,000 routes takes some 12 MB.
pub const MAX_FRAME_BYTES: usize = 32 << 20;
/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;
/// What a frame is called in errors.
const FRAME: &str = "frame";

/// The state of an endpoint on the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It serves.
    Ready,
    /// It is about to end; nothing new is sent to it.
    Draining,
}

/// An endpoint (an appliance of a service) as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// The zone that it is in.
    pub zone: Arc<str>,
    /// The version that it runs.
    pub version: Arc<str>,
    /// Requests that it works on at a time (`berths`).
    pub concurrency: u32,
    /// Whether it serves.
    pub state: EndpointState,
    /// Microseconds, as of when this was sent, until it has warmed up (`cold_left`).
    pub warmup_left: u64,
}

/// How the endpoints have changed, or all of them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointUpdate {
    /// Whether endpoints that are not in here are gone.
    pub is_full: bool,
    /// Id and endpoint; none: it is gone.
    pub endpoints: Vec<(Arc<str>, Option<Endpoint>)>,
}

/// What a proxy has seen of one arm of a rollout on one route: totals since the trial began there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArmTotals {
    /// First attempts that say something of the version.
    pub pulls: u32,
    /// Those of them that were served in time.
    pub on_time: u32,
    /// Bad answers and broken connections, of all attempts.
    pub bad: u32,
    /// All attempts with an outcome.
    pub outcomes: u32,
    /// The sum of the times that served ones took, in milliseconds.
    pub latency_sum_ms: u64,
    /// How many were served.
    pub served: u32,
}

impl ArmTotals {
    /// Returns what was added since older totals of the same kind; nothing where they are not older.
    #[must_use]
    pub fn since(&self, old: &ArmTotals) -> ArmTotals {
        ArmTotals {
            pulls: self.pulls.saturating_sub(old.pulls),
            on_time: self.on_time.saturating_sub(old.on_time),
            bad: self.bad.saturating_sub(old.bad),
            outcomes: self.outcomes.saturating_sub(old.outcomes),
            latency_sum_ms: self.latency_sum_ms.saturating_sub(old.latency_sum_ms),
            served: self.served.saturating_sub(old.served),
        }
    }

    /// Adds other totals.
    pub fn add(&mut self, other: &ArmTotals) {
        self.pulls += other.pulls;
        self.on_time += other.on_time;
        self.bad += other.bad;
        self.outcomes += other.outcomes;
        self.latency_sum_ms += other.latency_sum_ms;
        self.served += other.served;
    }
}

/// What a proxy has seen of one endpoint of the version on trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointTotals {
    /// Its id, as a number that is the same everywhere.
    pub endpoint: u32,
    /// Attempts with an outcome.
    pub outcomes: u32,
    /// Failures of its own.
    pub bad: u32,
    /// Answers that came late while it was warm.
    pub late: u32,
}

/// Served requests, and how many of them took far longer than the earlier version usually takes on their route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedTotals {
    /// First attempts at warm endpoints that were served, or had no answer in time.
    pub answers: u32,
    /// Those of them that were slow.
    pub slow: u32,
}

impl SpeedTotals {
    /// Adds other totals.
    pub fn add(&mut self, other: SpeedTotals) {
        self.answers += other.answers;
        self.slow += other.slow;
    }
}

/// What a proxy has seen of the speed of both versions of one rollout: totals since the trial began there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialSpeed {
    /// The service.
    pub service: Arc<str>,
    /// The rollout's id.
    pub rollout_id: u64,
    /// Of the earlier version.
    pub earlier: SpeedTotals,
    /// Of the version on trial, by endpoint: its id, as a number that is the same everywhere.
    pub endpoints: Vec<(u32, SpeedTotals)>,
}

/// How much of a service's traffic may go to a version on trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TrialStage {
    /// The share of the service's requests that may go to the version on trial.
    pub share: f64,
    /// Only idempotent requests go there.
    pub idempotent_only: bool,
    /// So many of its endpoints get what goes there, the same ones from all proxies; 0: all of them.
    pub max_endpoints: u32,
}

/// A proxy's vote on a version on trial.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Vote {
    /// Undecided.
    #[default]
    None,
    /// For taking it back.
    RollBack,
    /// For going on with it.
    Promote,
}

/// A proxy's evidence on one rollout.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialEvidence {
    /// The service.
    pub service: Arc<str>,
    /// The rollout's id.
    pub rollout_id: u64,
    /// The proxy's vote.
    pub vote: Vote,
    /// By route (a hash of its name): the totals of the earlier version, then of the one on trial.
    pub totals: Vec<(u64, [ArmTotals; 2])>,
    /// What was seen of the endpoints of the version on trial.
    pub endpoints: Vec<EndpointTotals>,
    /// Requests for the service that were accepted since the order.
    pub requests: u64,
    /// Attempts in flight at endpoints of versions that the proxy sends nothing new to.
    pub draining: u32,
    /// Microseconds since the proxy first heard of the order.
    pub age: u64,
    /// The newest phase that the proxy knows of.
    pub phase: Option<Phase>,
}

/// Who a proxy is: the first message of a session.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The machine's name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Different at each start of the process.
    pub incarnation: u64,
    /// The version of the configuration that it has.
    #[serde(with = "absent_as_zero")]
    pub config_version: Option<u64>,
    /// The highest term that a leader has spoken to it in; 0: none since its start.
    pub term: u64,
    /// When it sends this, on its own clock.
    pub sent_at: Micros,
}

/// A proxy's heartbeat, with what has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The version of the configuration in force.
    #[serde(with = "absent_as_zero")]
    pub config_version: Option<u64>,
    /// Its evidence on rollouts.
    pub evidence: Vec<TrialEvidence>,
    /// As in [`Hello`].
    pub term: u64,
    /// As in [`Hello`].
    pub sent_at: Micros,
}

/// A chunk of a configuration, as its difference from another one ([`crate::delta::diff`]).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChunk {
    /// The version of the configuration.
    pub version: u64,
    /// The version that the difference applies to; none: the configuration is sent in full.
    #[serde(with = "absent_as_zero")]
    pub base_version: Option<u64>,
    /// Bytes of all chunks together.
    pub total_bytes: u32,
    /// How many bytes come before this chunk.
    pub offset: u32,
    /// The chunk.
    pub bytes: Vec<u8>,
}

/// What a proxy says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProxyMessage {
    /// Opens the session.
    Hello(Hello),
    /// Keeps it alive.
    Report(Report),
    /// Acknowledges a chunk; more are awaited.
    ChunkReceived {
        /// The version of the configuration.
        version: u64,
        /// Bytes that are here.
        received: u32,
    },
    /// The transfer of a configuration is over, and this version is in force; none: the difference did not apply to the version
    /// that the proxy has.
    ConfigApplied {
        /// The version in force.
        #[serde(with = "absent_as_zero")]
        version: Option<u64>,
    },
    /// The speeds of versions on trial; follows a report where there are any.
    TrialSpeeds(Vec<TrialSpeed>),
}

/// A message with its fencing token: the term that it is sent in. Whoever has heard a leader of a newer term rejects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced<M> {
    /// The sender's term.
    pub term: u64,
    /// The message.
    pub message: M,
}

/// What a controller says to a proxy, always as [`Fenced`].
///
/// All but `Redirect` are a leader's, in a session that it accepted after a majority had confirmed it, and they arrive in the
/// order in which they were sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ControllerMessage {
    /// The controller does not lead, or can't show that it does. These are places to ask at, nothing that is in force.
    Redirect {
        /// Who leads, as far as it knows.
        leader: Option<SocketAddrV4>,
        /// The controllers.
        controllers: Vec<SocketAddrV4>,
    },
    /// The controller leads, and the proxy is registered, and has in force all that was acknowledged before `confirmed_at`.
    Welcome {
        /// The controllers.
        controllers: Vec<SocketAddrV4>,
        /// How many proxies there are.
        proxies: u32,
        /// When the proxy sent its hello, on the proxy's clock.
        confirmed_at: Micros,
    },
    /// A chunk of a new configuration. Only a few are in flight, and everything else goes before the next one.
    ConfigChunk(ConfigChunk),
    /// Services whose state has changed.
    Services(Vec<(String, ServiceState)>),
    /// The stage of a trial: service, rollout id, stage.
    Stage(Arc<str>, u64, TrialStage),
    /// Endpoints that have changed.
    Endpoints(EndpointUpdate),
    /// The controller still leads, and nobody else did when this was sent. Once the proxy has this configuration or a newer one
    /// in force, it knows all that was acknowledged before `confirmed_at`.
    Heartbeat {
        /// How many proxies there are.
        proxies: u32,
        /// When the proxy sent its newest report, on the proxy's clock.
        confirmed_at: Micros,
        /// The version of the newest configuration.
        #[serde(with = "absent_as_zero")]
        config_version: Option<u64>,
    },
    /// All that the platform's list showed up to `as_of` is known to the proxy by now.
    EndpointsConfirmed {
        /// When the proxy sent the report that was the newest one heard when the leader began to read the list, on the proxy's
        /// clock.
        as_of: Micros,
    },
}

/// What a connection between agents is for: the first message on it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConnectionPurpose {
    /// A proxy's session: [`ProxyMessage`] and [`ControllerMessage`] follow.
    ProxySession,
    /// Consensus messages of another controller follow, one way. The sender's address.
    Consensus(SocketAddrV4),
    /// Somebody wants to see the agent's state: one answer follows.
    View,
}

/// Encodes a message as a frame.
pub fn encode_frame<T: Serialize>(message: &T) -> Vec<u8> {
    let bytes = codec::encode(message);
    let mut frame = Vec::with_capacity(LENGTH_BYTES + bytes.len());
    frame.extend((bytes.len() as u32).to_le_bytes());
    frame.extend(bytes);
    frame
}

/// Takes the next frame off the front of `bytes` and decodes its message. Returns none while the frame is incomplete.
///
/// # Errors
///
/// If what arrived is no message; nothing after it can be read.
pub fn decode_frame<T: for<'a> Deserialize<'a>>(
    bytes: &mut Vec<u8>,
) -> Result<Option<T>, DecodeError> {
    let Some(length) = bytes.first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        let found = format!("{length} bytes");
        return Err(DecodeError::new(
            FRAME,
            found,
            format!("at most {MAX_FRAME_BYTES}"),
        ));
    }
    let end = LENGTH_BYTES + length;
    let Some(encoded) = bytes.get(LENGTH_BYTES..end) else {
        return Ok(None);
    };
    let message = match codec::read_format(FRAME, encoded)? {
        Encoded::Unversioned(_) => return Err(DecodeError::unversioned(FRAME)),
        Encoded::Current(value) => codec::decode_exact(FRAME, &value)?,
    };
    bytes.drain(..end);
    Ok(Some(message))
}

/// Versions that may be absent, as numbers: 0 stands for none. So it does for version 0, which its receiver takes for an absent one:
/// it is sent again where it may be there already, and never serves as the base of a difference.
mod absent_as_zero {
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(
        version: &Option<u64>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(version.unwrap_or(0))
    }

    pub(super) fn deserialize<'a, D: Deserializer<'a>>(
        deserializer: D,
    ) -> Result<Option<u64>, D::Error> {
        let version = u64::deserialize(deserializer)?;
        Ok((version != 0).then_some(version))
    }
}
