//! Nodes that are about to stop: what such a node keeps itself, and what the leader knows of them.

use crate::types::{Micros, NodeId};
use std::collections::BTreeMap;

/// A node heard so long after its last `LeaveRequest` has started again.
const RESTARTED_AFTER: Micros = 500_000;

/// What a node that is about to stop keeps.
pub(crate) struct OwnDeparture {
    pub(crate) since: Micros,
    /// Tells this departure from an earlier one of the same node.
    pub(crate) token: u64,
    /// When the leader was last asked.
    pub(crate) asked_at: Option<Micros>,
    /// The nodes that waited to become voters when this node handed its leadership over.
    pub(crate) waiting: Option<Vec<NodeId>>,
    /// The leader does not need this node any more.
    pub(crate) is_complete: bool,
}

impl OwnDeparture {
    pub(crate) fn new(since: Micros, token: u64) -> OwnDeparture {
        OwnDeparture {
            since,
            token,
            asked_at: None,
            waiting: None,
            is_complete: false,
        }
    }
}

/// The nodes that said they are about to stop, as the leader knows them.
#[derive(Default)]
pub(crate) struct Departures(BTreeMap<NodeId, Departure>);

struct Departure {
    asked_at: Micros,
    /// The node was released, and stays a voter: it may be gone at any moment.
    is_released: bool,
}

impl Departures {
    /// Whether the node said that it is about to stop, and was not heard since as one that has started again.
    pub(crate) fn contains(&self, node: &NodeId) -> bool {
        self.0.contains_key(node)
    }

    /// Whether the node was told that it is no longer needed, and stays a voter.
    pub(crate) fn is_released(&self, node: &NodeId) -> bool {
        self.0
            .get(node)
            .is_some_and(|departure| departure.is_released)
    }

    /// Takes note of a `LeaveRequest`.
    pub(crate) fn on_leave_request(&mut self, node: NodeId, now: Micros) {
        let departure = self.0.entry(node).or_insert(Departure {
            asked_at: now,
            is_released: false,
        });
        departure.asked_at = now;
    }

    /// Takes note that the node was told that it is no longer needed, and stays a voter.
    pub(crate) fn release(&mut self, node: &NodeId) {
        if let Some(departure) = self.0.get_mut(node) {
            departure.is_released = true;
        }
    }

    /// Takes note that the node is not about to stop, or is back.
    pub(crate) fn remove(&mut self, node: &NodeId) {
        self.0.remove(node);
    }

    /// Forgets nodes that were heard well after their last `LeaveRequest`.
    pub(crate) fn forget_restarted(&mut self, heard_at: impl Fn(&NodeId) -> Micros) {
        self.0
            .retain(|node, departure| heard_at(node) < departure.asked_at + RESTARTED_AFTER);
    }
}
