//! The messages that nodes exchange. Any of them may be lost, late, duplicated or out of order.

use crate::log::Entry;
use crate::types::{Index, NodeId, Term};
use crate::voter_set::VoterSet;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// A message with its sender and its receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: NodeId,
    /// The receiver. Other incarnations at its address ignore the message, except for a `JoinRequest` and a `LeaderHint`, whose
    /// senders need not know the incarnation.
    pub to: NodeId,
    /// The sender's term, which was on its disk before this was sent.
    pub term: Term,
    /// What it says.
    pub message: Message,
}

/// What one node says to another.
///
/// Messages are bounded: a message carries at most [`crate::CHUNK_BYTES`] bytes of commands or of a snapshot, and the
/// overhead of one entry for each; lists of nodes hold at most [`crate::MAX_VOTERS`], twice that in `LeaderHint`.
///
/// The order of the variants and of their fields is the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would vote for the sender in the term after the sender's (thesis, 9.6).
    PreVoteRequest {
        /// The end of the sender's log.
        last_index: Index,
        /// The term of the entry there.
        last_term: Term,
    },
    /// Answers a pre-vote.
    PreVoteResponse {
        /// The term of the candidacy.
        next_term: Term,
        /// Whether the sender would vote.
        granted: bool,
    },
    /// Answers a pre-vote for a node that has heard no leader since its restart a moment ago, and is still bound by what it
    /// may have promised a leader before: its vote is granted if every voter has restarted as well.
    PreVoteIfAllRestarted {
        /// The term of the candidacy.
        next_term: Term,
        /// Different at each start of the sender.
        boot_id: u64,
    },
    /// Asks for a vote in the sender's term.
    VoteRequest {
        /// The end of the candidate's log.
        last_index: Index,
        /// The term of the entry there.
        last_term: Term,
        /// The former leader asked for this election by `TimeoutNow`.
        leadership_transfer: bool,
        /// All voters have restarted and none leads; the receiver's boot id.
        all_restarted: Option<u64>,
    },
    /// Answers a request for a vote.
    VoteResponse {
        /// Whether the vote is the candidate's.
        granted: bool,
    },
    /// From the leader: entries that follow right after `prev_index`. Without entries it is a heartbeat that also checks
    /// `prev_index`.
    AppendEntries {
        /// The leader's newest heartbeat.
        heartbeat: u64,
        /// The entry before the first one here.
        prev_index: Index,
        /// Its term.
        prev_term: Term,
        /// The leader's commit index.
        commit: Index,
        /// The entries, in order and without gaps.
        entries: Vec<Entry>,
    },
    /// Answers `AppendEntries`.
    AppendResponse {
        /// The newest heartbeat that the follower has seen.
        heartbeat: u64,
        /// The follower's log agrees with the leader's, and is on its disk, up to here.
        match_index: Index,
        /// The entry at `prev_index` did not match: where to try next.
        reject_hint: Option<Index>,
    },
    /// From the leader: a chunk of its snapshot.
    InstallSnapshot {
        /// The last entry that the snapshot covers.
        index: Index,
        /// The term of that entry.
        snapshot_term: Term,
        /// The voters as of that entry.
        voters: VoterSet,
        /// Bytes of the whole snapshot.
        total_bytes: u64,
        /// Where in it this chunk begins.
        offset: u64,
        /// The chunk.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// Answers `InstallSnapshot`.
    InstallSnapshotResponse {
        /// The snapshot that is being received.
        index: Index,
        /// All bytes before this offset are here.
        received: u64,
        /// A chunk arrived that does not follow.
        gap: bool,
    },
    /// From a leader that hands its leadership over: stand for election at once (thesis, 3.10).
    TimeoutNow,
    /// From a node that hears no leader: take me in, or back.
    JoinRequest {
        /// The end of the sender's log.
        last_index: Index,
    },
    /// Says where the leader and the voters are, as far as the sender knows.
    LeaderHint {
        /// The leader's address.
        leader: Option<SocketAddrV4>,
        /// The voters' addresses.
        members: Vec<SocketAddrV4>,
    },
    /// To the leader: the sender is about to stop.
    LeaveRequest {
        /// Drawn anew whenever a process begins to leave.
        token: u64,
        /// The nodes that wait to become voters, if the sender led until now.
        waiting: Option<Vec<NodeId>>,
    },
    /// The leader's answer to a `LeaveRequest`: the sender is no longer needed.
    LeaveResponse {
        /// The request's.
        token: u64,
    },
}

impl Message {
    /// Whether only a leader sends it.
    pub(crate) fn is_from_leader(&self) -> bool {
        matches!(
            self,
            Message::AppendEntries { .. } | Message::InstallSnapshot { .. }
        )
    }

    /// Returns the bytes of commands or of a snapshot in it, for whoever accounts for the links.
    pub fn payload_bytes(&self) -> usize {
        match self {
            Message::AppendEntries { entries, .. } => entries.iter().map(Entry::size).sum(),
            Message::InstallSnapshot { bytes, .. } => bytes.len(),
            _ => 0,
        }
    }
}
