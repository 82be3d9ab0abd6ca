//! What a node keeps while it leads.

use crate::departures::Departures;
use crate::pending_requests::PendingRequests;
use crate::progress::Progress;
use crate::types::{Index, Micros, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// The volatile state of a leader (Raft, figure 2), with its requests and with the nodes that come and go.
pub(crate) struct LeaderState {
    /// The other nodes that it sends to.
    pub(crate) progress: BTreeMap<NodeId, Progress>,
    /// Those of them that catch up and do not vote yet.
    pub(crate) learners: BTreeSet<NodeId>,
    /// The first entry of this leadership: what was before it is known to be committed once this is.
    pub(crate) first_index: Index,
    /// The commit index at the last heartbeat.
    pub(crate) commit_at_heartbeat: Index,
    pub(crate) heartbeat_due: Micros,
    pub(crate) since: Micros,
    /// Numbers the heartbeats; answers say which one they have seen.
    pub(crate) heartbeat: u64,
    pub(crate) requests: PendingRequests,
    pub(crate) departures: Departures,
    /// The leader before has said which nodes wait to become voters.
    pub(crate) knows_waiting: bool,
}

impl LeaderState {
    pub(crate) fn new(now: Micros, first_index: Index) -> LeaderState {
        LeaderState {
            progress: BTreeMap::new(),
            learners: BTreeSet::new(),
            first_index,
            commit_at_heartbeat: 0,
            heartbeat_due: now,
            since: now,
            heartbeat: 0,
            requests: PendingRequests::default(),
            departures: Departures::default(),
            knows_waiting: false,
        }
    }

    /// Whether another incarnation is at this node's address now and has answered (a late message of a former incarnation is
    /// no answer): nothing reaches this one any more.
    pub(crate) fn is_superseded(&self, node: &NodeId) -> bool {
        let has_answered =
            |other: &NodeId| self.progress.get(other).is_some_and(Progress::has_answered);
        let supersedes = |other: &&NodeId| other.address == node.address && *other != node;
        self.learners.iter().filter(supersedes).any(has_answered)
    }

    /// Whether the node has answered within this time.
    pub(crate) fn is_recent(&self, node: &NodeId, now: Micros, within: Micros) -> bool {
        self.progress
            .get(node)
            .is_some_and(|progress| now < progress.heard_at + within)
    }

    /// Returns for how long a node has not answered; 0 for a node that the leader does not send to.
    pub(crate) fn silence(&self, node: &NodeId, now: Micros) -> Micros {
        self.progress
            .get(node)
            .map_or(0, |progress| progress.silence(now))
    }
}

/// What a follower keeps of its leader.
#[derive(Default)]
pub(crate) struct FollowerState {
    /// The log agrees with the leader's up to here, on disk or not.
    pub(crate) verified_index: Index,
    /// The last heartbeat answered.
    pub(crate) heartbeat: u64,
    /// The last `match_index` that the leader was told.
    pub(crate) reported_match: Index,
    /// A snapshot that is being received.
    pub(crate) snapshot: Option<crate::snapshot_chunks::SnapshotReceiver>,
}
