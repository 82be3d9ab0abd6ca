//! Proposals, linearizable reads, and the leader's lease (read index and leases: thesis, 6.4).

use super::election::ELECTION_TIMEOUT_MIN;
use super::RaftNode;
use crate::event::{Action, Outcome};
use crate::leader_state::LeaderState;
use crate::log::Payload;
use crate::types::{Micros, NodeId, CHUNK_BYTES, MAX_COMMAND_BYTES};

/// A quorum that answered a heartbeat sent so long ago still refuses votes to others, with a quarter of the time left for
/// clocks that run at different speeds.
const LEASE_DURATION: Micros = ELECTION_TIMEOUT_MIN / 4 * 3;
/// Reads that come while a heartbeat is unanswered wait for its answers, or so long if these don't come, before the next one.
const READ_BATCH_INTERVAL: Micros = 20_000;

impl RaftNode {
    fn complete(&mut self, request_id: u64, outcome: Outcome) {
        self.actions.push(Action::Complete {
            request_id,
            outcome,
        });
    }

    pub(super) fn propose(&mut self, request_id: u64, command: Vec<u8>) {
        if self.is_transferring() {
            return self.complete(request_id, Outcome::NotLeader { hint: None });
        }
        let Some(leader) = &self.leader_state else {
            return self.complete(
                request_id,
                Outcome::NotLeader {
                    hint: self.leader(),
                },
            );
        };
        if !leader.requests.has_room_for(command.len()) || command.len() > MAX_COMMAND_BYTES {
            return self.complete(request_id, Outcome::Overloaded);
        }
        let mut rest = &command[..];
        while rest.len() > CHUNK_BYTES {
            let (chunk, after) = rest.split_at(CHUNK_BYTES);
            self.append(Payload::Command {
                more: true,
                bytes: chunk.to_vec(),
            });
            rest = after;
        }
        let index = self.append(Payload::Command {
            more: false,
            bytes: rest.to_vec(),
        });
        if let Some(leader) = &mut self.leader_state {
            leader
                .requests
                .add_proposal(index, request_id, command.len());
        }
    }

    pub(super) fn complete_applied_proposals(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        while let Some(proposal) = leader.requests.next_applied(self.applied) {
            let outcome = Outcome::Committed {
                index: proposal.index,
            };
            self.actions.push(Action::Complete {
                request_id: proposal.request_id,
                outcome,
            });
        }
    }

    /// Answers all that is pending at a leader that is none any more.
    pub(super) fn complete_lost(&mut self, leader: LeaderState) {
        for request_id in leader.requests.into_request_ids() {
            self.complete(request_id, Outcome::LeadershipLost);
        }
    }

    pub(super) fn read(&mut self, request_id: u64) {
        let Some(leader) = &mut self.leader_state else {
            return self.complete(
                request_id,
                Outcome::NotLeader {
                    hint: self.leader(),
                },
            );
        };
        // What earlier leaders acknowledged is known to be committed once this leader's first entry is.
        let index = self.commit.max(leader.first_index);
        if !leader.requests.add_read(request_id, index) {
            self.complete(request_id, Outcome::Overloaded);
        }
    }

    /// Answers the reads whose heartbeat a quorum has answered, and sends a heartbeat for those that have none.
    pub(super) fn serve_reads(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let newest = leader.heartbeat;
        let progress = &leader.progress;
        let answered = |node: &NodeId| match progress.get(node) {
            _ if *node == self.id => newest,
            progress => progress.map_or(0, |progress| progress.heartbeat),
        };
        leader
            .requests
            .on_confirmed(self.membership.quorum_value(self.commit, answered));
        for read in leader.requests.take_ready_reads(self.applied) {
            let outcome = Outcome::Committed { index: read.index };
            self.actions.push(Action::Complete {
                request_id: read.request_id,
                outcome,
            });
        }
        let requests = &leader.requests;
        let is_overdue = |sent_at| self.now >= sent_at + READ_BATCH_INTERVAL;
        let may_send =
            requests.confirmed() >= newest || requests.last_sent_at().is_none_or(is_overdue);
        if requests.needs_heartbeat() && may_send {
            self.broadcast_heartbeat();
            // A node that is the only voter needs no answers.
            self.serve_reads();
        }
    }

    /// Returns when the lease of this leadership ends: before that nobody else can lead. None if this node does not lead, or
    /// no quorum has answered yet.
    pub fn lease_expires_at(&self) -> Option<Micros> {
        let is_settled = |leader: &&LeaderState| self.commit >= leader.first_index;
        let leader = self.leader_state.as_ref().filter(is_settled)?;
        leader
            .requests
            .confirmed_sent_at()
            .map(|sent_at| sent_at + LEASE_DURATION)
    }

    /// Whether this node leads, and nobody else can at this moment. For decisions that need fresh state; the process may be
    /// suspended between this call and what follows from it.
    pub fn holds_lease(&self, now: Micros) -> bool {
        self.lease_expires_at()
            .is_some_and(|expires_at| now < expires_at)
    }

    /// Whether this node leads, or has heard the leader within this time.
    pub fn has_recent_leader(&self, now: Micros, within: Micros) -> bool {
        self.leader_state.is_some() || self.leader_heard_at.is_some_and(|at| now < at + within)
    }
}
