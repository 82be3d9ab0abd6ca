//! Identifiers, units and limits that every other module uses.

use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// An instant on the node's monotonic clock, or a span of time, in microseconds.
pub type Micros = u64;
/// A position in the log; the first entry has index 1.
pub type Index = u64;
/// The number of a leadership; the first term is 1, and at most one node leads in each.
pub type Term = u64;

/// The most voters that a cluster has: a core of controllers has eleven machines at most.
pub const MAX_VOTERS: usize = 11;
/// The longest command, in bytes: several times the largest configuration.
pub const MAX_COMMAND_BYTES: usize = 16 << 20;
/// Bytes of commands or of a snapshot in one message or entry. A chunk takes a quarter of a second on a link of 1 Mbit/s, so
/// that a follower still hears its leader in time; on quick links the overhead is under one per cent.
pub const CHUNK_BYTES: usize = 32 << 10;

/// Identifies a member of the cluster: its address, and which incarnation of the machine at that address it is.
///
/// A machine that has lost its disk has forgotten its votes, so it comes back at the same address as another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct NodeId {
    /// Where the other nodes reach it.
    pub address: SocketAddrV4,
    /// 0 for founders; drawn at random by nodes that joined later.
    pub incarnation: u64,
}

impl NodeId {
    /// Whoever is at this address, whatever its incarnation: for messages whose sender does not know it.
    pub(crate) fn any_at(address: SocketAddrV4) -> NodeId {
        NodeId {
            address,
            incarnation: ANY_INCARNATION,
        }
    }
}

/// Not the incarnation of any node.
pub(crate) const ANY_INCARNATION: u64 = u64::MAX;
