//! Elections: how a leader is found, and when one steps down (Raft, 5.2; pre-vote and check-quorum: thesis, 9.6 and 6.2).

use super::RaftNode;
use crate::event::Role;
use crate::leader_state::{FollowerState, LeaderState};
use crate::log::Payload;
use crate::message::Message;
use crate::types::{Index, Micros, NodeId, Term};
use rand::Rng;

/// Followers wait at least so long for their leader, and refuse votes for so long after they heard it: four heartbeats, so
/// that one lost and one late are not an election.
pub(super) const ELECTION_TIMEOUT_MIN: Micros = 400_000;
/// The timeout is drawn up to so much longer: two of them then rarely lie closer than a vote takes (some 10 ms), and most
/// leaders are replaced within 0.7 s.
const ELECTION_TIMEOUT_SPREAD: Micros = 400_000;
/// The next attempt after one that found no majority, and its spread: longer than a vote with two syncs of a slow disk (60 ms
/// each); shorter than the first timeout, as the leader is gone already. Doubled from the fourth attempt on.
const RETRY_TIMEOUT_MIN: Micros = 200_000;
const RETRY_TIMEOUT_SPREAD: Micros = 200_000;
const ATTEMPTS_BEFORE_BACKOFF: u32 = 3;
/// At the very first start there is no leader that could be alive: founders stand for election from here on.
const FIRST_TIMEOUT_OF_FOUNDERS: Micros = 50_000;
/// A node that has restarted asks the others this often whether they all have, and a little later by chance: that costs some
/// ten messages in all, and a vote takes some 10 ms.
const RESTART_PROBE_INTERVAL: Micros = 40_000;
/// A leader that has not heard a quorum for so long steps down: five heartbeats unanswered, in most cases before its followers
/// have found another leader.
pub(super) const QUORUM_TIMEOUT: Micros = 500_000;

impl RaftNode {
    fn draw(&mut self, least: Micros, spread: Micros) -> Micros {
        least + self.rng.gen_range(0..spread)
    }

    fn reset_election_timeout(&mut self) {
        self.election_due = self.now + self.draw(ELECTION_TIMEOUT_MIN, ELECTION_TIMEOUT_SPREAD);
    }

    pub(super) fn set_first_election_timeout(&mut self, is_empty: bool, is_founder: bool) {
        let least = if is_founder {
            FIRST_TIMEOUT_OF_FOUNDERS
        } else {
            ELECTION_TIMEOUT_MIN
        };
        let timeout = self.draw(least, ELECTION_TIMEOUT_SPREAD);
        self.election_due = self.now + timeout;
        if !is_empty {
            self.bound_until = Some(self.election_due);
            self.election_due =
                self.now + self.draw(RESTART_PROBE_INTERVAL, RESTART_PROBE_INTERVAL);
        }
    }

    /// Enters `term` if it is newer, and follows whoever leads it.
    pub(super) fn enter_term(&mut self, term: Term, leader: Option<NodeId>) {
        if self.role != Role::Follower {
            self.become_follower();
        }
        if term > self.term {
            self.term = term;
            self.vote = None;
            self.persistence.on_hard_state_change();
            self.leader = None;
        }
        if self.leader != leader {
            self.leader = leader;
            self.follower = FollowerState::default();
        }
    }

    /// Gives up leading or standing for election. The outcome of pending proposals is no longer known here.
    pub(super) fn become_follower(&mut self) {
        if let Some(leader) = self.leader_state.take() {
            self.complete_lost(leader);
            self.leader_heard_at = None;
            self.join.leaderless_since = Some(self.now);
        }
        self.role = Role::Follower;
        self.leader = None;
        self.votes_granted.clear();
        self.follower = FollowerState::default();
        self.reset_election_timeout();
    }

    /// Takes note of a message that only the leader of this term sends. Returns false if it is not from the known leader.
    pub(super) fn accept_leader(&mut self, from: NodeId) -> bool {
        if self.leader_state.is_some() || self.leader.is_some_and(|leader| leader != from) {
            return false;
        }
        self.enter_term(self.term, Some(from));
        if self.vote.is_none() {
            self.vote = Some(from);
            self.persistence.on_hard_state_change();
        }
        self.leader_heard_at = Some(self.now);
        self.bound_until = None;
        self.join.leaderless_since = Some(self.now);
        self.election_attempts = 0;
        self.reset_election_timeout();
        true
    }

    /// Whether a leader is alive as far as this node knows: then it helps no other candidate.
    fn has_live_leader(&self) -> bool {
        let heard_lately = |at| self.now < at + ELECTION_TIMEOUT_MIN;
        self.leader_state.is_some() || self.leader_heard_at.is_some_and(heard_lately)
    }

    pub(super) fn check_election_timeout(&mut self) {
        if self.now < self.election_due || !self.can_lead() {
            return;
        }
        self.set_next_attempt();
        if !self.persistence.is_healthy(self.now) {
            return;
        }
        self.role = Role::PreCandidate;
        self.leader = None;
        self.follower = FollowerState::default();
        self.votes_granted = [self.id].into();
        self.restarted_voters = [(self.id, self.boot_id)].into();
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in self.other_deciding_voters() {
            self.send(
                voter,
                Message::PreVoteRequest {
                    last_index,
                    last_term,
                },
            );
        }
    }

    fn set_next_attempt(&mut self) {
        if let Some(until) = self.bound_until.filter(|until| self.now < *until) {
            let next_probe = self.now + self.draw(RESTART_PROBE_INTERVAL, RESTART_PROBE_INTERVAL);
            self.election_due = until.min(next_probe);
            return;
        }
        self.bound_until = None;
        let factor = if self.election_attempts < ATTEMPTS_BEFORE_BACKOFF {
            1
        } else {
            2
        };
        let timeout = self.draw(RETRY_TIMEOUT_MIN, RETRY_TIMEOUT_SPREAD);
        self.election_due = self.now + factor * timeout;
        self.election_attempts += 1;
    }

    /// Returns the voters of all deciding sets but this node.
    fn other_deciding_voters(&self) -> Vec<NodeId> {
        let voters = self.membership.deciding_voters(self.commit);
        voters
            .into_iter()
            .filter(|voter| *voter != self.id)
            .collect()
    }

    /// Stands for election in a new term. The requests, and this node's own vote, wait for the disk.
    fn become_candidate(&mut self, leadership_transfer: bool, all_restarted: bool) {
        self.bound_until = None;
        self.term += 1;
        self.vote = Some(self.id);
        self.persistence.on_hard_state_change();
        self.role = Role::Candidate;
        self.leader = None;
        self.follower = FollowerState::default();
        self.votes_granted = [self.id].into();
        self.election_due = self.now + self.draw(RETRY_TIMEOUT_MIN, RETRY_TIMEOUT_SPREAD);
        let (last_index, last_term) = (self.log.last_index(), self.log.last_term());
        for voter in self.other_deciding_voters() {
            let boot_id = self.restarted_voters.get(&voter).copied();
            let all_restarted = boot_id.filter(|_| all_restarted);
            self.send(
                voter,
                Message::VoteRequest {
                    last_index,
                    last_term,
                    leadership_transfer,
                    all_restarted,
                },
            );
        }
    }

    /// Goes on with an election that has enough votes.
    pub(super) fn advance_election(&mut self) {
        if matches!(self.role, Role::Follower | Role::Leader) {
            return;
        }
        if self.role == Role::PreCandidate && self.bound_until.is_some() {
            if self.has_every_voter_restarted() {
                self.become_candidate(false, true);
            }
        } else if self.role == Role::PreCandidate && self.has_won() {
            self.become_candidate(false, false);
        }
        let is_vote_durable = self.persistence.is_hard_state_durable();
        if self.role == Role::Candidate && self.has_won() && is_vote_durable {
            self.become_leader();
        }
    }

    fn has_won(&self) -> bool {
        self.membership
            .has_quorum(self.commit, |voter| self.votes_granted.contains(voter))
    }

    /// Whether every voter has restarted, or grants its vote freely.
    ///
    /// The vote of a node that has just restarted may be what an earlier leader's lease rests on. Where every voter has
    /// restarted nobody leads, as leaders are voters and who restarts does not lead. Until a change of the voters is over, a
    /// node of the set before may lead, too.
    fn has_every_voter_restarted(&self) -> bool {
        let mut voters = self.membership.deciding_voters(self.commit);
        if let Some(before) = self.membership.unfinished(self.commit) {
            voters.extend(&before.voters);
        }
        let agrees = |voter: &NodeId| {
            self.restarted_voters.contains_key(voter) || self.votes_granted.contains(voter)
        };
        voters.iter().all(agrees)
    }

    fn become_leader(&mut self) {
        self.role = Role::Leader;
        self.leader = Some(self.id);
        self.votes_granted.clear();
        self.leader_state = Some(LeaderState::new(self.now, self.log.last_index() + 1));
        self.update_progress_set();
        self.append(Payload::Noop);
        self.broadcast_heartbeat();
    }

    /// Whether a candidate's log holds all that this node's log may have committed (Raft, 5.4.1).
    fn is_up_to_date(&self, last_index: Index, last_term: Term) -> bool {
        (last_term, last_index) >= (self.log.last_term(), self.log.last_index())
    }

    /// Grants a pre-vote only if a vote would be granted. Refuses one only to hand on a newer term; silence costs less.
    pub(super) fn on_pre_vote_request(
        &mut self,
        from: NodeId,
        term: Term,
        last_index: Index,
        last_term: Term,
    ) {
        let granted = term >= self.term && self.is_up_to_date(last_index, last_term);
        let next_term = term + 1;
        if self.has_live_leader() {
            if granted && self.bound_until.is_some() {
                self.send(
                    from,
                    Message::PreVoteIfAllRestarted {
                        next_term,
                        boot_id: self.boot_id,
                    },
                );
            }
            return;
        }
        if granted || term < self.term {
            self.send(from, Message::PreVoteResponse { next_term, granted });
        }
    }

    pub(super) fn on_pre_vote_response(
        &mut self,
        from: NodeId,
        term: Term,
        next_term: Term,
        granted: bool,
    ) {
        if self.role != Role::PreCandidate {
            return;
        }
        if granted && next_term == self.term + 1 {
            self.votes_granted.insert(from);
        } else if !granted && term > self.term {
            self.enter_term(term, None);
        }
    }

    pub(super) fn on_pre_vote_if_all_restarted(
        &mut self,
        from: NodeId,
        next_term: Term,
        boot_id: u64,
    ) {
        if self.role == Role::PreCandidate && next_term == self.term + 1 {
            self.restarted_voters.insert(from, boot_id);
        }
    }

    /// Whether a candidate knows that all voters have restarted, this one at its present start: then this node is no longer
    /// bound by what it may have promised a leader before.
    pub(super) fn is_released_by_restart(&self, all_restarted: Option<u64>) -> bool {
        self.bound_until.is_some() && all_restarted == Some(self.boot_id)
    }

    /// Answers a request for a vote. A vote is this node's, whatever voter set it knows: the candidate knows a set with it.
    /// `is_released`: the vote is granted even if a leader was heard lately.
    pub(super) fn on_vote_request(
        &mut self,
        from: NodeId,
        term: Term,
        last_index: Index,
        last_term: Term,
        is_released: bool,
    ) {
        if self.has_live_leader() && !is_released {
            return;
        }
        if term > self.term {
            self.enter_term(term, None);
        }
        let is_free = self.vote.is_none_or(|vote| vote == from);
        let granted = term == self.term
            && self.role == Role::Follower
            && is_free
            && self.is_up_to_date(last_index, last_term);
        if granted {
            if self.vote.is_none() {
                self.vote = Some(from);
                self.persistence.on_hard_state_change();
            }
            self.bound_until = None;
            self.reset_election_timeout();
        }
        if granted || term < self.term {
            self.send(from, Message::VoteResponse { granted });
        }
    }

    pub(super) fn on_vote_response(&mut self, from: NodeId, granted: bool) {
        if self.role == Role::Candidate && granted {
            self.votes_granted.insert(from);
        }
    }

    /// Steps down if a quorum does not answer, or the disk does not (check-quorum); else sends the heartbeat that is due.
    pub(super) fn check_leadership(&mut self) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        if self.now < leader.heartbeat_due {
            return;
        }
        let answers =
            |voter: &NodeId| *voter == self.id || leader.is_recent(voter, self.now, QUORUM_TIMEOUT);
        if !self.membership.has_quorum(self.commit, answers) {
            self.become_follower();
        } else if !self.persistence.is_healthy(self.now) {
            self.transfer_leadership();
        } else {
            self.broadcast_heartbeat();
        }
    }

    /// Steps down in favour of the follower that holds most of the log, so that the others need not wait for their timeouts.
    pub(super) fn transfer_leadership(&mut self) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        let is_candidate = |node: &NodeId| {
            self.voters().contains(node) && leader.is_recent(node, self.now, QUORUM_TIMEOUT)
        };
        let candidates = leader
            .progress
            .iter()
            .filter(|(node, _)| is_candidate(node));
        let successor = candidates
            .max_by_key(|(_, progress)| progress.match_index)
            .map(|(node, _)| *node);
        if let Some(successor) = successor {
            self.send(successor, Message::TimeoutNow);
        }
        self.become_follower();
    }

    pub(super) fn on_timeout_now(&mut self, from: NodeId) {
        let follows_sender = self.leader == Some(from) && self.role == Role::Follower;
        if follows_sender && self.can_lead() && self.persistence.is_healthy(self.now) {
            self.become_candidate(true, false);
        }
    }
}
