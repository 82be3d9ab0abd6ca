//! How a node that hears no leader finds it: one that joins, one whose addresses are out of date, one that was removed while
//! it was away.

use super::RaftNode;
use crate::leader_state::LeaderState;
use crate::message::Message;
use crate::progress::{Progress, ProgressState};
use crate::types::{Index, Micros, NodeId};
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// A learner asks other nodes after so long without its leader: more than four heartbeats.
const LEARNER_SILENCE: Micros = 500_000;
/// A voter has elections, and asks only if these come to nothing: then it may no longer be a member.
const VOTER_SILENCE: Micros = 3_000_000;
/// How often a learner asks all nodes; its catching up soon is worth some messages.
const LEARNER_INTERVAL: Micros = 300_000;
const VOTER_INTERVAL: Micros = 2_000_000;
/// How often a single node is asked because of a hint.
const HINT_INTERVAL: Micros = 50_000;
/// At every how many heartbeats the leader tells former members where it is: each second.
const HEARTBEATS_PER_HINT: u64 = 10;
/// Learners at once: the nodes that one day may add together; each costs the leader a window of bytes.
pub(super) const MAX_LEARNERS: usize = 8;

impl RaftNode {
    fn silence_ends_at(&self) -> Micros {
        let silence = if self.is_voter() {
            VOTER_SILENCE
        } else {
            LEARNER_SILENCE
        };
        self.join
            .leaderless_since
            .map_or(0, |since| since + silence)
    }

    /// Returns when this node asks all nodes that it knows of.
    pub(super) fn join_due(&self) -> Micros {
        if self.departure.is_some() {
            return Micros::MAX;
        }
        let interval = if self.is_voter() {
            VOTER_INTERVAL
        } else {
            LEARNER_INTERVAL
        };
        let next = self.join.asked_all_at.map_or(0, |at| at + interval);
        self.silence_ends_at().max(next)
    }

    pub(super) fn check_join(&mut self) {
        if self.is_voter() && self.join.leaderless_since.is_none() {
            // A founder, or a voter that starts again.
            self.join.leaderless_since = Some(self.now);
        }
        if self.now < self.join_due() || self.departure.is_some() {
            return;
        }
        self.join.asked_all_at = Some(self.now);
        let voters = self.voters().iter().map(|voter| &voter.address);
        let known = voters.chain(&self.seeds).chain(self.join.addresses());
        let known: BTreeSet<SocketAddrV4> = known.copied().collect();
        for address in known {
            self.send_join_request(address);
        }
    }

    fn send_join_request(&mut self, address: SocketAddrV4) {
        if address != self.id.address {
            let last_index = self.log.last_index();
            self.send(NodeId::any_at(address), Message::JoinRequest { last_index });
        }
    }

    /// Asks a node that may be the leader, or may know it.
    fn follow_hint(&mut self, address: SocketAddrV4) {
        let asked_lately = self
            .join
            .followed_hint_at
            .is_some_and(|at| self.now < at + HINT_INTERVAL);
        let may_ask = self.leader_state.is_none() && self.departure.is_none();
        // A voter, too: it may have been removed while the others have a leader.
        let silence_ends = self
            .join
            .leaderless_since
            .map_or(0, |since| since + LEARNER_SILENCE);
        if may_ask && self.now >= silence_ends && !asked_lately {
            self.join.followed_hint_at = Some(self.now);
            self.send_join_request(address);
        }
    }

    pub(super) fn on_leader_hint(
        &mut self,
        leader: Option<SocketAddrV4>,
        members: &[SocketAddrV4],
    ) {
        self.join.learn(members);
        if let Some(leader) = leader {
            self.follow_hint(leader);
        }
    }

    /// Takes note that a node takes this one for another incarnation at its address: the sender may be the leader.
    pub(super) fn on_wrong_incarnation(&mut self, from: NodeId) {
        self.follow_hint(from.address);
    }

    /// Answers a node that hears no leader. The leader adds it as a learner, or sends to it at once if it knows it; another
    /// node says where the leader may be.
    pub(super) fn on_join_request(&mut self, from: NodeId, last_index: Index) {
        if from.address == self.id.address {
            return;
        }
        let Some(leader) = &mut self.leader_state else {
            return self.send_leader_hint(from);
        };
        // Whoever asks has not stopped, or is back.
        leader.departures.remove(&from);
        let is_voter = self.membership.newest().voters.contains(&from);
        if is_voter || leader.progress.contains_key(&from) {
            // A later incarnation that asked before this one did has gone again.
            leader
                .learners
                .retain(|learner| learner.address != from.address || *learner == from);
        } else {
            if !add_learner(leader, from) {
                return;
            }
            self.membership.remember(&[from]);
        }
        let next_index = self.log.last_index().min(last_index) + 1;
        let progress = leader
            .progress
            .entry(from)
            .or_insert_with(|| Progress::new(next_index, self.now));
        if !is_voter {
            // A voter that asks does not hear this leader: that is no answer.
            progress.heard_at = self.now;
        }
        if !matches!(progress.state, ProgressState::Snapshot(_)) {
            progress.probe_after(last_index.min(self.log.last_index()));
        }
        self.update_progress_set();
    }

    fn send_leader_hint(&mut self, to: NodeId) {
        let leader = self.leader();
        let members = self.voters().iter().map(|voter| voter.address).collect();
        self.send(to, Message::LeaderHint { leader, members });
    }

    /// Tells former members and learners now and then who leads. They may be back with an empty disk, and know no one who is
    /// still there.
    pub(super) fn hint_former_members(&mut self) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        if !leader.heartbeat.is_multiple_of(HEARTBEATS_PER_HINT) {
            return;
        }
        let members: Vec<SocketAddrV4> = self.voters().iter().map(|voter| voter.address).collect();
        for address in self.former_members() {
            let leader = Some(self.id.address);
            self.send(
                NodeId::any_at(address),
                Message::LeaderHint {
                    leader,
                    members: members.clone(),
                },
            );
        }
    }

    /// Returns the addresses that this leader remembers and does not send to.
    fn former_members(&self) -> Vec<SocketAddrV4> {
        let Some(leader) = &self.leader_state else {
            return Vec::new();
        };
        let is_served = |address: &SocketAddrV4| {
            *address == self.id.address
                || leader.progress.keys().any(|node| node.address == *address)
        };
        self.membership
            .known_addresses()
            .filter(|address| !is_served(address))
            .collect()
    }
}

/// Adds a learner in place of any other at its address. Returns false if there are too many.
fn add_learner(leader: &mut LeaderState, node: NodeId) -> bool {
    leader
        .learners
        .retain(|learner| learner.address != node.address);
    let has_room = leader.learners.len() < MAX_LEARNERS;
    if has_room {
        leader.learners.insert(node);
    }
    has_room
}
