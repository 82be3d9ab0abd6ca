//! How the leader changes the voters: failed ones are replaced by learners that have caught up, or removed.
//!
//! A voter that has failed is replaced in one change, so that the number of voters stays; a learner is added only while all
//! voters answer: with one of three failed and a fourth added, the loss of that fourth would leave two of four. Why a change
//! is safe stands in [`crate::membership`].

use super::RaftNode;
use crate::leader_state::LeaderState;
use crate::log::Payload;
use crate::progress::Progress;
use crate::types::{Index, Micros, NodeId, MAX_VOTERS};
use crate::voter_set::VoterSet;

/// A node that has not answered for so long is not relied on: ten heartbeats.
const UNRESPONSIVE_AFTER: Micros = 1_000_000;
/// A voter has failed once it is silent for this part of the recovery interval: the rest is for finding a leader, should that
/// have failed with it (1.2 s at most in the simulation), for a replacement to catch up, and for the change.
const FAILED_PART_OF_RECOVERY: Micros = 4;
/// But not sooner than a leader that is unheard steps down, and not later than the longest partitions last.
const FAILED_AFTER_MIN: Micros = 500_000;
const FAILED_AFTER_MAX: Micros = 30_000_000;
/// Never fewer voters than this after a removal.
const MIN_VOTERS: usize = 3;

/// What the leader knows of another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerStatus {
    /// The node.
    pub id: NodeId,
    /// False while it catches up.
    pub is_voter: bool,
    /// When it last answered; the start of the leadership if it has not since.
    pub heard_at: Micros,
    /// Its disk holds the log up to here.
    pub match_index: Index,
}

impl RaftNode {
    /// Returns the other nodes, as the leader sees them; empty on other nodes.
    pub fn peers(&self) -> Vec<PeerStatus> {
        let Some(leader) = &self.leader_state else {
            return Vec::new();
        };
        let status = |(id, progress): (&NodeId, &Progress)| PeerStatus {
            id: *id,
            is_voter: self.voters().contains(id),
            heard_at: progress.heard_at,
            match_index: progress.match_index,
        };
        leader.progress.iter().map(status).collect()
    }

    /// Returns the voters before the newest set, while that is not known here to be committed.
    pub fn previous_voters(&self) -> Option<&[NodeId]> {
        self.membership
            .previous(self.commit)
            .map(|set| &set.voters[..])
    }

    /// Returns the nodes that catch up and do not vote yet, as the leader knows them; empty on other nodes.
    pub fn learners(&self) -> Vec<NodeId> {
        let learners = |leader: &LeaderState| leader.learners.iter().copied().collect();
        self.leader_state.as_ref().map_or_else(Vec::new, learners)
    }

    /// Whether a change of the voters is under way.
    pub(super) fn is_reconfiguring(&self) -> bool {
        self.membership.unfinished(self.commit).is_some() || self.membership.joint_with().is_some()
    }

    /// Takes the next step of a change of the voters: one change at a time, each in two entries.
    pub(super) fn advance_reconfiguration(&mut self) {
        let Some(leader) = &self.leader_state else {
            return;
        };
        if self.commit < leader.first_index || self.membership.unfinished(self.commit).is_some() {
            return;
        }
        if self.membership.joint_with().is_some() {
            self.append(Payload::LeaveJoint);
        } else if !self.is_voter() {
            // It led because it held most of the log, and has now committed the set without it (thesis, 4.2.2).
            self.transfer_leadership();
        } else if let Some(voters) = self.next_voters() {
            self.append(Payload::Voters(voters));
            self.update_progress_set();
        }
    }

    /// Returns for how long a voter may be silent before it counts as failed. One that this leader has never heard had most
    /// likely failed before.
    fn failed_after(&self, was_heard: bool) -> Micros {
        if !was_heard {
            return FAILED_AFTER_MIN;
        }
        let part = self.recovery_interval / FAILED_PART_OF_RECOVERY;
        part.clamp(FAILED_AFTER_MIN, FAILED_AFTER_MAX)
    }

    /// Whether a voter has failed, or is about to stop.
    fn is_out(&self, leader: &LeaderState, voter: &NodeId) -> bool {
        if *voter == self.id {
            return false;
        }
        let was_heard = leader
            .progress
            .get(voter)
            .is_some_and(Progress::has_answered);
        leader.departures.contains(voter)
            || leader.silence(voter, self.now) > self.failed_after(was_heard)
    }

    fn is_responsive(&self, leader: &LeaderState, node: &NodeId) -> bool {
        let has_answered = || {
            leader
                .progress
                .get(node)
                .is_some_and(Progress::has_answered)
        };
        *node == self.id || (has_answered() && leader.silence(node, self.now) < UNRESPONSIVE_AFTER)
    }

    /// Returns the learners that answer and have caught up: they hold all that was committed by the last heartbeat (under
    /// load something is always on its way).
    fn ready_learners<'a>(&'a self, leader: &'a LeaderState) -> impl Iterator<Item = &'a NodeId> {
        let needed = leader.commit_at_heartbeat.max(leader.first_index);
        let has_caught_up = move |node: &&NodeId| leader.progress[*node].match_index >= needed;
        let learners = leader
            .learners
            .iter()
            .filter(|node| self.is_responsive(leader, node));
        learners.filter(has_caught_up)
    }

    /// Returns a better set of voters than the newest one, if there is one.
    ///
    /// A learner replaces a voter that is out, in one change, so that the number of voters stays. Otherwise it waits for a
    /// second one: an even number of voters tolerates no more failures than the odd one below it, and needs one node more.
    pub(super) fn next_voters(&self) -> Option<VoterSet> {
        let leader = self.leader_state.as_ref()?;
        let newest = &self.membership.newest().voters;
        let mut voters = newest.clone();
        let mut waiting = Vec::new();
        for learner in self.ready_learners(leader) {
            // Another incarnation at the address of a voter: the voter's disk is gone.
            match voters
                .iter_mut()
                .find(|voter| voter.address == learner.address)
            {
                Some(voter) => *voter = *learner,
                None => waiting.push(*learner),
            }
        }
        let is_out = |voter: &&NodeId| voters.contains(voter) && self.is_out(leader, voter);
        let mut out: Vec<NodeId> = newest.iter().filter(is_out).copied().collect();
        // Taken from the end: first those about to stop, then those silent for longest.
        out.sort_by_key(|voter| {
            (
                leader.departures.contains(voter),
                leader.silence(voter, self.now),
            )
        });
        while let Some(old) = out.pop_if(|_| !waiting.is_empty()) {
            voters.retain(|voter| *voter != old);
            voters.extend(waiting.pop());
        }
        self.shrink_or_grow(leader, &mut voters, out, waiting);
        voters.sort();
        (voters != *newest).then_some(VoterSet { voters })
    }

    /// Removes voters that are out, or adds learners, so that an odd number of voters remains.
    fn shrink_or_grow(
        &self,
        leader: &LeaderState,
        voters: &mut Vec<NodeId>,
        mut out: Vec<NodeId>,
        mut waiting: Vec<NodeId>,
    ) {
        let step = 1 + voters.len() % 2;
        let wanted = MIN_VOTERS
            .max(2 * self.tolerated_failures + 1)
            .min(MAX_VOTERS);
        // A failed voter of an even number only raises the majority.
        let floor = if step == 1 { MIN_VOTERS } else { wanted };
        if out.len() >= step && voters.len() >= floor + step {
            let removed = out.split_off(out.len() - step);
            voters.retain(|voter| !removed.contains(voter));
            return;
        }
        let can_grow = waiting.len() >= step && voters.len() + step <= wanted;
        let all_answer = || voters.iter().all(|voter| self.is_responsive(leader, voter));
        if out.is_empty() && can_grow && all_answer() {
            voters.extend(waiting.drain(..step));
        }
    }

    /// Makes the leader send to all deciding voters and to the learners, and to no one else.
    pub(super) fn update_progress_set(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let voters = self.membership.deciding_voters(self.commit);
        leader.learners.retain(|learner| !voters.contains(learner));
        leader
            .progress
            .retain(|node, _| voters.contains(node) || leader.learners.contains(node));
        for voter in voters.into_iter().filter(|voter| *voter != self.id) {
            let next_index = self.log.last_index() + 1;
            leader
                .progress
                .entry(voter)
                .or_insert_with(|| Progress::new(next_index, self.now));
        }
    }
}
