//! What a node keeps to find the leader.

use crate::types::{Micros, MAX_VOTERS};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Addresses that other nodes named.
const MAX_ADDRESSES: usize = 2 * MAX_VOTERS;

/// Since when this node has heard no leader, whom it has asked, and where else it may ask.
#[derive(Default)]
pub(crate) struct JoinState {
    /// Since when no leader was heard; none: never.
    pub(crate) leaderless_since: Option<Micros>,
    /// When all known nodes were last asked.
    pub(crate) asked_all_at: Option<Micros>,
    /// When a single node was last asked because of a hint.
    pub(crate) followed_hint_at: Option<Micros>,
    addresses: BTreeSet<SocketAddrV4>,
}

impl JoinState {
    /// Remembers addresses that another node named.
    pub(crate) fn learn(&mut self, addresses: &[SocketAddrV4]) {
        let room = MAX_ADDRESSES.saturating_sub(self.addresses.len());
        self.addresses.extend(addresses.iter().take(room));
    }

    pub(crate) fn addresses(&self) -> &BTreeSet<SocketAddrV4> {
        &self.addresses
    }
}
