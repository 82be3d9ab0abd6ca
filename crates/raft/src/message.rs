//! What machines say to each other.

use crate::{Entry, Index, Members, Seat, Term};
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// A message with its sender and receiver. Any of them may be lost, late, doubled or out of order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    pub from: Seat,
    /// Only the life it was meant for heeds it (`Ask` aside, whose sender does not know lives yet).
    pub to: Seat,
    /// The sender's term, on its disk before this was sent.
    pub term: Term,
    pub message: Message,
}

/// Bounded: the bytes of commands or of a snapshot in one message are at most [`crate::PIECE`] and one entry's overhead
/// each; lists of members hold at most [`crate::MAX_VOTERS`] (twice that in `Point`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me in the term after the one that I hold? My log ends at `last`, of `last_term`.
    PreVote {
        last: Index,
        last_term: Term,
    },
    /// The answer for a candidacy in `next_term`.
    PreVoteReply {
        next_term: Term,
        granted: bool,
    },
    /// The answer of one that has heard no leader since it started a moment ago, and keeps to what it may have promised
    /// one before: yes, if every voter has restarted as it has.
    /// `start` is different at each start.
    PreVoteIfAll {
        next_term: Term,
        start: u64,
    },
    /// Vote for me in this term. `handed_over`: the old leader asked me to. `restarted`: all voters have, the receiver at
    /// this start, and none leads.
    Vote {
        last: Index,
        last_term: Term,
        handed_over: bool,
        restarted: Option<u64>,
    },
    VoteReply {
        granted: bool,
    },
    /// From the leader: `entries` follow right after `prev`. Without entries a sign of life and a check of `prev`.
    Append {
        round: u64,
        prev: Index,
        prev_term: Term,
        commit: Index,
        entries: Vec<Entry>,
    },
    /// The log agrees with the leader's, and is on disk, up to `matched`. `missing`: `prev` was not there; try after this.
    AppendReply {
        round: u64,
        matched: Index,
        missing: Option<Index>,
    },
    /// From the leader: the bytes of its snapshot from `offset`, of `total`.
    Fill {
        index: Index,
        snapshot_term: Term,
        members: Members,
        total: u64,
        offset: u64,
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// All bytes before `have` are here. `gap`: one came that does not follow.
    FillReply {
        index: Index,
        have: u64,
        gap: bool,
    },
    /// From a leader that gives way: stand for election at once.
    HandOver,
    /// I don't hear a leader: take me in, or back. My log ends at `last`.
    Ask {
        last: Index,
    },
    /// The answer of a machine that does not lead.
    Point {
        leader: Option<SocketAddrV4>,
        members: Vec<SocketAddrV4>,
    },
    /// To the leader: this machine stops. `token` is drawn anew whenever a process begins to leave.
    /// `waiting`: machines that wait for a seat, if the sender led until now.
    Leave {
        token: u64,
        waiting: Option<Vec<Seat>>,
    },
    /// The leader's answer to a `Leave`: the sender is not needed any more.
    Left {
        token: u64,
    },
}

impl Message {
    /// Whether only a leader sends it.
    pub(crate) fn is_leaders(&self) -> bool {
        matches!(self, Message::Append { .. } | Message::Fill { .. })
    }

    /// Bytes of commands or snapshot in it, for whoever counts what crosses the links.
    pub fn carried(&self) -> usize {
        match self {
            Message::Append { entries, .. } => entries.iter().map(Entry::weight).sum(),
            Message::Fill { bytes, .. } => bytes.len(),
            _ => 0,
        }
    }
}
