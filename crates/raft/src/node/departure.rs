//! How a node stops in order: its leadership goes to another node first (leadership transfer; thesis, 3.10), then the leader
//! replaces it by a learner, if one waits, and tells it when it is no longer needed.
//!
//! The process isn't told whether it stops for good or starts again at once, so both have to go well. Without a learner it
//! stays a voter: once restarted it votes again at once. With one, that node becomes the voter, and a node that comes back is
//! a learner itself.

use super::election::QUORUM_TIMEOUT;
use super::join::MAX_LEARNERS;
use super::RaftNode;
use crate::departures::OwnDeparture;
use crate::message::Message;
use crate::progress::Progress;
use crate::types::{Index, Micros, NodeId};
use rand::Rng;

/// How often the leader is asked: half a heartbeat, as each answer may free a node that is waited for.
const REQUEST_INTERVAL: Micros = 50_000;
/// A leader that stops takes no more proposals for so long, so that its successor can have all of its log: some round trips
/// even between regions. After that it goes on as before, and a successor need only hold what is committed.
const TRANSFER_TIMEOUT: Micros = 500_000;
/// A voter silent for longer than [`QUORUM_TIMEOUT`] is in doubt until it has failed or was found to stay; none is in doubt
/// for longer than this, so that a stop in order does not wait for long.
const DOUBT_ENDS_AFTER: Micros = 1_500_000;
/// A leader younger than this may not know which nodes wait to become voters: these ask once they have heard no leader for
/// half a second, and again each 300 ms.
const NEW_LEADER: Micros = 1_000_000;

impl RaftNode {
    /// Whether this node was asked to stop and is no longer needed.
    pub fn has_left(&self) -> bool {
        self.departure
            .as_ref()
            .is_some_and(|departure| departure.is_complete)
    }

    pub(super) fn leave(&mut self) {
        let token = self.rng.gen();
        self.departure
            .get_or_insert(OwnDeparture::new(self.now, token));
    }

    /// Returns when this node asks its leader again; none if it does not stop, or may.
    pub(super) fn departure_due(&self) -> Option<Micros> {
        let departure = self
            .departure
            .as_ref()
            .filter(|departure| !departure.is_complete)?;
        Some(
            departure
                .asked_at
                .map_or(self.now, |at| at + REQUEST_INTERVAL),
        )
    }

    /// Whether proposals are to wait for the next leader.
    pub(super) fn is_transferring(&self) -> bool {
        let Some(departure) = &self.departure else {
            return false;
        };
        self.now < departure.since + TRANSFER_TIMEOUT && self.successors().next().is_some()
    }

    /// Returns the voters that could lead in this leader's place, and how much of the log they hold.
    fn successors(&self) -> impl Iterator<Item = (NodeId, Index)> + '_ {
        let successor = |voter: &NodeId| {
            let leader = self.leader_state.as_ref()?;
            let progress = leader.progress.get(voter)?;
            let is_recent =
                progress.has_answered() && leader.is_recent(voter, self.now, QUORUM_TIMEOUT);
            (is_recent && !leader.departures.contains(voter))
                .then_some((*voter, progress.match_index))
        };
        self.voters().iter().filter_map(successor)
    }

    /// Does what a node that is about to stop has to do, and forgets those that were and have started again.
    pub(super) fn advance_departure(&mut self) {
        if let Some(leader) = &mut self.leader_state {
            let progress = &leader.progress;
            let heard_at =
                |node: &NodeId| progress.get(node).map_or(0, |progress| progress.heard_at);
            leader.departures.forget_restarted(heard_at);
        }
        if self.departure_due().is_none() {
            return;
        }
        if self.leader_state.is_some() {
            self.hand_over_leadership();
        }
        if self.departure_due().is_none_or(|due| self.now < due) {
            return;
        }
        self.send_leave_request();
    }

    /// Asks the leader, or all voters if none is known, to be released.
    fn send_leave_request(&mut self) {
        let Some(departure) = &mut self.departure else {
            return;
        };
        departure.asked_at = Some(self.now);
        let (token, waiting) = (departure.token, departure.waiting.clone());
        if self.leader_state.is_some() {
            return;
        }
        let others = || {
            self.voters()
                .iter()
                .copied()
                .filter(|voter| *voter != self.id)
                .collect()
        };
        let receivers: Vec<NodeId> = self.leader.map_or_else(others, |leader| vec![leader]);
        for receiver in receivers {
            self.send(
                receiver,
                Message::LeaveRequest {
                    token,
                    waiting: waiting.clone(),
                },
            );
        }
    }

    /// Hands the leadership to the successor that holds most, once all that was proposed is answered.
    fn hand_over_leadership(&mut self) {
        let waits = self.is_transferring();
        let needed = if waits {
            self.log.last_index()
        } else {
            self.commit
        };
        let is_answered = !waits || self.applied == self.log.last_index();
        let able = self
            .successors()
            .filter(|(_, match_index)| *match_index >= needed);
        let successor = able.max_by_key(|(_, match_index)| *match_index);
        if let Some((successor, _)) = successor.filter(|_| is_answered) {
            self.send(successor, Message::TimeoutNow);
            let waiting = self.waiting_learners();
            self.departure
                .as_mut()
                .expect("it is about to stop")
                .waiting = waiting;
            self.become_follower();
        } else if self.is_everyone_leaving() {
            self.departure
                .as_mut()
                .expect("it is about to stop")
                .is_complete = true;
        }
    }

    /// Returns the nodes that wait to become voters, if this leader has had time to hear of them.
    fn waiting_learners(&self) -> Option<Vec<NodeId>> {
        let leader = self.leader_state.as_ref()?;
        let is_settled = self.now >= leader.since + NEW_LEADER;
        is_settled.then(|| leader.learners.iter().copied().collect())
    }

    /// Whether no node is there that stays.
    fn is_everyone_leaving(&self) -> bool {
        let Some(leader) = &self.leader_state else {
            return false;
        };
        if self.departure.is_none() || self.successors().next().is_some() {
            return false;
        }
        let leaves = |voter: &NodeId| *voter == self.id || leader.departures.contains(voter);
        self.voters().iter().all(leaves)
    }

    /// Answers a node that is about to stop. A learner replaces it, if one waits; otherwise it is needed until enough of the
    /// others hold all that is committed.
    pub(super) fn on_leave_request(
        &mut self,
        from: NodeId,
        token: u64,
        waiting: Option<Vec<NodeId>>,
    ) {
        let now = self.now;
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        leader.departures.on_leave_request(from, now);
        if leader.learners.remove(&from) {
            self.update_progress_set();
        }
        self.adopt_waiting(waiting);
        if self.is_reconfiguring() {
            return;
        }
        let is_voter = self.membership.deciding_voters(self.commit).contains(&from);
        if !is_voter || self.is_everyone_leaving() {
            self.send(from, Message::LeaveResponse { token });
        } else if self.can_spare(&from) {
            if let Some(leader) = &mut self.leader_state {
                leader.departures.release(&from);
            }
            self.send(from, Message::LeaveResponse { token });
        }
    }

    /// Takes over what the leader before knew of nodes that wait to become voters: they need not find this one by themselves.
    fn adopt_waiting(&mut self, waiting: Option<Vec<NodeId>>) {
        let voters = self.membership.deciding_voters(self.commit);
        let (now, next_index) = (self.now, self.log.last_index() + 1);
        let Some((leader, waiting)) = self.leader_state.as_mut().zip(waiting) else {
            return;
        };
        if std::mem::replace(&mut leader.knows_waiting, true) {
            return;
        }
        for node in waiting
            .into_iter()
            .filter(|node| !voters.contains(node))
            .take(MAX_LEARNERS)
        {
            if leader
                .learners
                .iter()
                .all(|other| other.address != node.address)
            {
                leader.learners.insert(node);
                leader
                    .progress
                    .entry(node)
                    .or_insert_with(|| Progress::new(next_index, now));
            }
        }
    }

    /// Whether this voter may stop and stay a voter: no learner waits to replace it, and all that is committed is on a
    /// majority of the voters without it (on all others where there are just two).
    fn can_spare(&self, departing: &NodeId) -> bool {
        let Some(leader) = &self.leader_state else {
            return false;
        };
        let is_recent = |node: &NodeId| leader.is_recent(node, self.now, QUORUM_TIMEOUT);
        let is_new = self.now < leader.since + NEW_LEADER && !leader.knows_waiting;
        if is_new || leader.learners.iter().any(is_recent) || self.next_voters().is_some() {
            return false;
        }
        let voters = self.voters();
        // If one is silent that may soon count as failed, both can be replaced together.
        let is_in_doubt = |voter: &NodeId| {
            let silence = leader.silence(voter, self.now);
            *voter != self.id
                && !leader.departures.contains(voter)
                && (QUORUM_TIMEOUT..DOUBT_ENDS_AFTER).contains(&silence)
        };
        if voters.iter().any(is_in_doubt) {
            return false;
        }
        let holds_committed = |voter: &&NodeId| match leader.progress.get(voter) {
            _ if *voter == departing || leader.departures.is_released(voter) => false,
            _ if **voter == self.id => self.persistence.durable_index >= self.commit,
            progress => {
                let has_all = progress.is_some_and(|progress| progress.match_index >= self.commit);
                is_recent(voter) && has_all
            }
        };
        let needed = (voters.len() / 2 + 1).min(voters.len() - 1);
        self.commit >= leader.first_index && voters.iter().filter(holds_committed).count() >= needed
    }

    pub(super) fn on_leave_response(&mut self, token: u64) {
        if let Some(departure) = self
            .departure
            .as_mut()
            .filter(|departure| departure.token == token)
        {
            departure.is_complete = true;
        }
    }
}
