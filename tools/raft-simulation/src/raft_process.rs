//! What all processes that run a Raft node have in common.

use crate::{Input, Process};
use magpieline_raft::{Envelope, Event, NodeId, RaftNode, Role, Term, WriteBatch};
use std::collections::BTreeMap;

/// Translates what happens to a process into an event for its Raft node; `on_call` translates what is done to it from outside.
pub(crate) fn raft_event<P>(input: Input<P>, on_call: impl FnOnce(P::Call) -> Event) -> Event
where
    P: Process<Message = Envelope, Write = WriteBatch>,
{
    match input {
        Input::Tick => Event::Tick,
        Input::Message(envelope) => Event::Receive(envelope),
        Input::Synced(serial) => Event::Persisted { serial },
        Input::Refused(serial) => Event::WriteFailed { serial },
        Input::Call(call) => on_call(call),
    }
}

/// Who leads in each term, as far as it was seen.
#[derive(Default)]
pub(crate) struct LeadersByTerm(BTreeMap<Term, NodeId>);

impl LeadersByTerm {
    /// Whether a leader of this term was seen.
    pub(crate) fn contains(&self, term: Term) -> bool {
        self.0.contains_key(&term)
    }

    /// Returns how many terms had a leader.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Asserts that no two nodes lead in one term; to be called after each step of a node.
    pub(crate) fn check(&mut self, machine: usize, raft: &RaftNode) {
        if raft.role() != Role::Leader {
            return;
        }
        let first = *self.0.entry(raft.term()).or_insert(raft.id());
        assert_eq!(
            first,
            raft.id(),
            "two leaders in term {}, one is machine {machine}",
            raft.term()
        );
    }
}
