//! How the owner of a node talks to it: its configuration, the events that go in and the actions that come out.

use crate::message::Envelope;
use crate::persistence::WriteBatch;
use crate::types::{Index, Micros};
use std::net::SocketAddrV4;

/// How a node starts.
#[derive(Clone, Debug)]
pub struct Config {
    /// Where the other nodes reach this one.
    pub address: SocketAddrV4,
    /// Nodes that may know the others; the founders at the very first start.
    pub seeds: Vec<SocketAddrV4>,
    /// True only at the very first start of the whole system.
    pub first_run: bool,
    /// For timeouts and for a new incarnation; from the system's source of randomness, never the same twice.
    pub seed: u64,
    /// How many nodes may fail at once.
    pub tolerated_failures: usize,
    /// After a node is back, or its replacement has started, the next one may fail once this time has passed.
    pub recovery_interval: Micros,
}

/// What happens to a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// The time of [`crate::RaftNode::next_wake`] has come, or any other.
    Tick,
    /// A message has arrived.
    Receive(Envelope),
    /// The write of this serial is on disk, safe from a loss of power.
    Persisted {
        /// The write's.
        serial: u64,
    },
    /// The disk did not take the write of this serial.
    WriteFailed {
        /// The write's.
        serial: u64,
    },
    /// A command to be replicated; answered by [`Action::Complete`].
    Propose {
        /// Names the request in its answer.
        request_id: u64,
        /// At most [`crate::MAX_COMMAND_BYTES`].
        command: Vec<u8>,
    },
    /// A linearizable read: answered by [`Action::Complete`] once all that was acknowledged before it is applied here.
    Read {
        /// Names the request in its answer.
        request_id: u64,
    },
    /// The log up to `index` is no longer needed.
    Compact {
        /// The last entry that the state covers.
        index: Index,
        /// The state machine's state just after that entry.
        state: Vec<u8>,
    },
    /// If this node leads, it hands its leadership over at once.
    StepDown,
    /// This node is about to stop: it hands over its leadership, and its vote to a node that waits to become a voter. It
    /// takes part until [`crate::RaftNode::has_left`], and should stay up until then.
    Leave,
}

/// What the owner of a node has to do, in order.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message, as it is.
    Send(Envelope),
    /// Write to disk. One write at a time: the next one comes only after this one's `Persisted` or `WriteFailed`.
    Write {
        /// Names the write in its answer.
        serial: u64,
        /// What to write: all of it or nothing.
        batch: WriteBatch,
    },
    /// Apply a command to the state machine.
    Apply {
        /// The command's last entry.
        index: Index,
        /// The command.
        command: Vec<u8>,
    },
    /// Replace the state of the state machine.
    Restore {
        /// The last entry that the state covers.
        index: Index,
        /// The state just after that entry.
        state: Vec<u8>,
    },
    /// Answer a proposal or a read.
    Complete {
        /// The request's.
        request_id: u64,
        /// What became of it.
        outcome: Outcome,
    },
}

/// What became of a proposal or of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A proposal is committed, and applied here; for a read, everything up to `index` is applied here.
    Committed {
        /// The entry.
        index: Index,
    },
    /// Nothing was done: another node leads, or none.
    NotLeader {
        /// Where the leader may be.
        hint: Option<SocketAddrV4>,
    },
    /// Nothing was done: too many requests are pending, or the command is longer than [`crate::MAX_COMMAND_BYTES`].
    Overloaded,
    /// This node no longer leads. A proposal may be committed now, later, or never.
    LeadershipLost,
}

/// A node's role in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, waits for one, or learns.
    Follower,
    /// Asks whether it could become leader; nothing is promised or stored yet.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Replicates its log to the others.
    Leader,
}
