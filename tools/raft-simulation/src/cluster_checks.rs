//! The invariants of consensus on a simulated cluster.

use crate::raft_process::LeadersByTerm;
use crate::simulated_node::{Observation, SimulatedNode};
use crate::Observer;
use magpieline_raft::{Envelope, Message, NodeId, Outcome, PersistentState, Term};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The invariants of consensus, checked after every step.
#[derive(Default)]
pub(crate) struct ClusterChecks {
    pub(crate) leaders: LeadersByTerm,
    /// All commands in force, in order: every machine applies a beginning of it.
    pub(crate) commands: Vec<u64>,
    positions: HashMap<u64, usize>,
    /// So many of them are acknowledged, or come before one that is.
    pub(crate) acknowledged: usize,
    /// By request id, how many were acknowledged when the read was requested.
    pub(crate) reads: HashMap<u64, usize>,
    votes: HashMap<(NodeId, Term), NodeId>,
    /// Nodes that were on a list of voters of some machine.
    known_voters: BTreeSet<NodeId>,
    /// Nodes whose disk is gone.
    pub(crate) retired: BTreeSet<NodeId>,
    pub(crate) outcomes: BTreeMap<u64, Outcome>,
}

impl Observer<SimulatedNode> for ClusterChecks {
    fn sent(&mut self, machine: usize, disk: &PersistentState, envelope: &Envelope) {
        let Envelope {
            from,
            to,
            term,
            message,
        } = envelope;
        assert!(
            !self.retired.contains(from),
            "machine {machine} speaks as {from:?}, whose disk is gone"
        );
        let hard_state = disk
            .hard_state
            .unwrap_or_else(|| panic!("machine {machine} spoke before it wrote: {message:?}"));
        assert!(
            hard_state.incarnation == from.incarnation && hard_state.term >= *term,
            "machine {machine} sent {message:?} in term {term}, its disk has {hard_state:?}"
        );
        let vote = match message {
            Message::VoteRequest { .. } => Some(from),
            Message::VoteResponse { granted: true } => Some(to),
            _ => None,
        };
        if let Some(vote) = vote {
            let kept = hard_state.term > *term || hard_state.vote == Some(*vote);
            assert!(
                kept,
                "machine {machine} voted {vote:?} in {term}, its disk has {hard_state:?}"
            );
            let first = *self.votes.entry((*from, *term)).or_insert(*vote);
            assert_eq!(first, *vote, "{from:?} voted twice in term {term}");
            assert!(
                self.known_voters.contains(from),
                "{from:?} votes and is no voter"
            );
        }
        if let Message::AppendResponse { match_index, .. } = message {
            let covered = disk.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
            let last = disk.entries.last().map_or(covered, |entry| entry.index);
            assert!(
                last >= *match_index,
                "machine {machine} says it has {match_index}, its disk ends at {last}"
            );
        }
    }

    fn observed(&mut self, machine: usize, observation: Observation) {
        match observation {
            Observation::Applied { position, command } => {
                self.check_command(machine, position, command)
            }
            Observation::Restored { commands } => {
                for (position, command) in commands.into_iter().enumerate() {
                    self.check_command(machine, position, command);
                }
            }
            Observation::Completed {
                request_id,
                outcome,
                applied,
            } => {
                self.outcomes.insert(request_id, outcome);
                if !matches!(outcome, Outcome::Committed { .. }) {
                    return;
                }
                if let Some(floor) = self.reads.get(&request_id) {
                    assert!(
                        applied >= *floor,
                        "read {request_id} at machine {machine}: {applied} of {floor}"
                    );
                } else {
                    let position = self.positions.get(&request_id);
                    let position = position
                        .unwrap_or_else(|| panic!("{request_id} acknowledged and not applied"));
                    self.acknowledged = self.acknowledged.max(position + 1);
                }
            }
        }
    }

    fn after_step(&mut self, machine: usize, node: &SimulatedNode) {
        let raft = node.raft();
        self.leaders.check(machine, raft);
        for voter in raft.voters() {
            if !self.known_voters.contains(voter) {
                self.known_voters.insert(*voter);
            }
        }
    }
}

impl ClusterChecks {
    fn check_command(&mut self, machine: usize, position: usize, command: u64) {
        match self.commands.get(position) {
            Some(known) => assert_eq!(
                command, *known,
                "machine {machine} differs at command {position}"
            ),
            None => {
                assert_eq!(
                    position,
                    self.commands.len(),
                    "machine {machine} applies out of order"
                );
                assert!(
                    self.positions.insert(command, position).is_none(),
                    "{command} applied twice"
                );
                self.commands.push(command);
            }
        }
    }
}
