//! A set of voters and its majority.

use crate::types::NodeId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// The nodes that vote.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterSet {
    /// Sorted, with one node for each address.
    pub voters: Vec<NodeId>,
}

impl VoterSet {
    /// Returns the voters of the very first start.
    pub(crate) fn founders(seeds: &[SocketAddrV4]) -> VoterSet {
        let seeds: BTreeSet<SocketAddrV4> = seeds.iter().copied().collect();
        let founder = |address| NodeId {
            address,
            incarnation: 0,
        };
        VoterSet {
            voters: seeds.into_iter().map(founder).collect(),
        }
    }

    /// Returns the highest value that a majority has reached; 0 without voters.
    pub(crate) fn quorum_value(&self, value: &impl Fn(&NodeId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters.iter().map(value).collect();
        values.sort_unstable();
        if values.is_empty() {
            return 0;
        }
        values[(values.len() - 1) / 2]
    }
}
