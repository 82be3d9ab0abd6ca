//! The voter sets in the log, and which of them decide.
//!
//! A voter set is an entry of the log, and holds from the moment a node has that entry. Until the node knows it committed,
//! it needs a majority of the set before *and* of the new one, to lead and to commit (joint consensus; thesis, 4.3). One
//! change at a time: the leader proposes the next one only when the last is committed, and only after it has committed an
//! entry of its own term.
//!
//! A node that lost its disk comes back as a new incarnation at its old address. It catches up as a learner, then one entry
//! replaces the old incarnation by the new one. Two such sets may have majorities without a common member, {old A, B} and
//! {new A, C}, so why is that safe in one step? The entry commits only with a majority of the *old* set as well, in which the
//! old A can no longer take part: with {B, C}. Suppose a leader that lacks the entry, elected by a majority of the old set,
//! then or later. The majorities overlap: some voter of it, not the old A, also stored the entry (of a majority that holds
//! votes which the old A gave in its time, the rest still overlaps with every majority that does not hold it). If this voter
//! stored the entry first, it would not have voted for a log without it. If it voted first, its term was newer than that of
//! the entry's leader, whose entry it would have rejected. So no such leader exists once the entry is committed, and
//! majorities of the old set alone decide nothing any more. What was committed before is in every log that has the entry. The
//! new A has promised nothing yet, and only those who have the entry count it.
//!
//! Nothing in this rests on the old A having lost its disk. So a node at a new address that has caught up may as well replace
//! a voter that has failed.

use crate::log::{Entry, Log, Payload};
use crate::types::{Index, NodeId, MAX_VOTERS};
use crate::voter_set::VoterSet;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddrV4;

/// Addresses remembered of members and learners: two clusters' worth.
const MAX_KNOWN_ADDRESSES: usize = 2 * MAX_VOTERS;

/// The voter sets in the log.
pub(crate) struct Membership {
    /// The set at the snapshot; empty on a node that knows none yet.
    base: VoterSet,
    /// The sets after it, by index.
    later: Vec<(Index, VoterSet)>,
    /// The entries that say that the set before them is committed.
    joint_ends: Vec<Index>,
    /// Addresses of members and learners, the most recent at the end.
    known_addresses: VecDeque<SocketAddrV4>,
}

impl Membership {
    pub(crate) fn of(log: &Log) -> Membership {
        let base = log
            .snapshot()
            .map_or_else(VoterSet::default, |snapshot| snapshot.voters.clone());
        let mut membership = Membership {
            base,
            later: Vec::new(),
            joint_ends: Vec::new(),
            known_addresses: VecDeque::new(),
        };
        membership.remember(&membership.base.voters.clone());
        for entry in log.entries_from(log.snapshot_index() + 1) {
            membership.on_append(entry);
        }
        membership
    }

    /// Remembers the addresses of nodes.
    pub(crate) fn remember(&mut self, nodes: &[NodeId]) {
        for NodeId { address, .. } in nodes {
            self.known_addresses.retain(|known| known != address);
            self.known_addresses.push_back(*address);
        }
        let excess = self
            .known_addresses
            .len()
            .saturating_sub(MAX_KNOWN_ADDRESSES);
        self.known_addresses.drain(..excess);
    }

    /// Returns the remembered addresses, the most recent at the end.
    pub(crate) fn known_addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.known_addresses.iter().copied()
    }

    /// Takes note of an entry appended to the log.
    pub(crate) fn on_append(&mut self, entry: &Entry) {
        match &entry.payload {
            Payload::Voters(voters) => {
                self.remember(&voters.voters);
                self.later.push((entry.index, voters.clone()));
            }
            Payload::LeaveJoint => self.joint_ends.push(entry.index),
            Payload::Noop | Payload::Command { .. } => {}
        }
    }

    /// Takes note that the log was truncated.
    pub(crate) fn truncate_from(&mut self, from: Index) {
        self.later.retain(|(index, _)| *index < from);
        self.joint_ends.retain(|index| *index < from);
    }

    /// Returns the newest set, committed or not.
    pub(crate) fn newest(&self) -> &VoterSet {
        self.later.last().map_or(&self.base, |(_, voters)| voters)
    }

    /// Returns the index of the newest set; 0 if it is the snapshot's.
    pub(crate) fn newest_index(&self) -> Index {
        self.later.last().map_or(0, |(index, _)| *index)
    }

    /// Returns the set as of an entry.
    pub(crate) fn at(&self, index: Index) -> &VoterSet {
        let mut newest_first = self.later.iter().rev();
        newest_first
            .find(|(at, _)| *at <= index)
            .map_or(&self.base, |(_, voters)| voters)
    }

    /// Takes note that the log was compacted up to `index`.
    pub(crate) fn compact(&mut self, index: Index) {
        self.base = self.at(index).clone();
        self.drop_to(index);
    }

    /// Takes note of an installed snapshot.
    pub(crate) fn install(&mut self, index: Index, voters: VoterSet) {
        self.remember(&voters.voters);
        self.base = voters;
        self.drop_to(index);
    }

    fn drop_to(&mut self, index: Index) {
        self.later.retain(|(at, _)| *at > index);
        self.joint_ends.retain(|at| *at > index);
    }

    /// Returns the last entry that ends a joint phase; 0 if it is in the snapshot, or there is none.
    fn last_joint_end(&self) -> Index {
        self.joint_ends.last().copied().unwrap_or(0)
    }

    /// Returns the set that decides jointly with the newest one as long as the log does not end the joint phase. The founders'
    /// set has none before it.
    pub(crate) fn joint_with(&self) -> Option<&VoterSet> {
        let newest = self.newest_index();
        let is_joint = newest > self.last_joint_end();
        is_joint
            .then(|| self.at(newest - 1))
            .filter(|set| !set.voters.is_empty())
    }

    /// Returns the set before the newest one while not everyone need know that the change is over.
    pub(crate) fn unfinished(&self, commit: Index) -> Option<&VoterSet> {
        let newest = self.newest_index();
        let is_unfinished = newest > 0 && newest.max(self.last_joint_end()) > commit;
        is_unfinished.then(|| self.at(newest - 1))
    }

    /// Returns the set that decides jointly with the newest one, for a node that knows of this commit index.
    pub(crate) fn previous(&self, commit: Index) -> Option<&VoterSet> {
        self.joint_with().filter(|_| self.newest_index() > commit)
    }

    /// Returns the highest value that a majority of every deciding set has reached.
    pub(crate) fn quorum_value(&self, commit: Index, value: impl Fn(&NodeId) -> u64) -> u64 {
        let newest = self.newest().quorum_value(&value);
        let previous = self.previous(commit);
        previous.map_or(newest, |previous| newest.min(previous.quorum_value(&value)))
    }

    /// Whether the predicate holds for a majority of every deciding set.
    pub(crate) fn has_quorum(&self, commit: Index, holds: impl Fn(&NodeId) -> bool) -> bool {
        self.quorum_value(commit, |node| u64::from(holds(node))) == 1
    }

    /// Returns the voters of all deciding sets.
    pub(crate) fn deciding_voters(&self, commit: Index) -> BTreeSet<NodeId> {
        let previous = self.previous(commit).map_or(&[][..], |set| &set.voters);
        self.newest()
            .voters
            .iter()
            .chain(previous)
            .copied()
            .collect()
    }
}
