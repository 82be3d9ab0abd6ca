//! What is written when, and what waits for it.

use super::RaftNode;
use crate::event::{Action, Role};
use crate::message::{Envelope, Message};
use crate::persistence::{HardState, WriteBatch};
use crate::types::NodeId;

impl RaftNode {
    /// Sends a message, once the term, vote and incarnation that it speaks for are on disk.
    pub(super) fn send(&mut self, to: NodeId, message: Message) {
        let envelope = Envelope {
            from: self.id,
            to,
            term: self.term,
            message,
        };
        if self.persistence.is_hard_state_durable() {
            self.actions.push(Action::Send(envelope));
        } else {
            self.persistence.defer(envelope);
        }
    }

    /// Starts to write what has changed, unless a write is in flight.
    pub(super) fn start_write(&mut self) {
        if !self.persistence.is_ready(self.now) {
            return;
        }
        if !self.is_write_due() && !self.persistence.has_failed() {
            return;
        }
        let last_index = self.log.last_index();
        let commit = self.commit.min(last_index);
        let hard_state = HardState {
            incarnation: self.id.incarnation,
            term: self.term,
            vote: self.vote,
            commit,
        };
        let snapshot = self
            .log
            .snapshot()
            .filter(|_| self.persistence.is_snapshot_due)
            .cloned();
        let snapshot_index = snapshot.as_ref().map(|snapshot| snapshot.index);
        let compact_to = self.log.base_index();
        let truncate_from = self.persistence.durable_index.max(compact_to) + 1;
        let entries = self.log.entries_from(truncate_from).cloned().collect();
        let serial = self
            .persistence
            .start_write(self.now, last_index, snapshot_index, commit);
        let batch = WriteBatch {
            hard_state,
            snapshot,
            compact_to,
            truncate_from,
            entries,
        };
        self.actions.push(Action::Write { serial, batch });
    }

    fn is_write_due(&self) -> bool {
        let newest_voters = self.membership.newest_index();
        // That a voter set is committed must be known after a loss of all power, or a node may need votes of the set before
        // that can't be had.
        let are_voters_due =
            newest_voters <= self.commit && newest_voters > self.persistence.durable_commit;
        !self.persistence.is_hard_state_durable()
            || self.log.last_index() > self.persistence.durable_index
            || self.persistence.is_snapshot_due
            || are_voters_due
    }

    pub(super) fn on_persisted(&mut self, serial: u64) {
        let Some(write) = self.persistence.on_persisted(serial) else {
            return;
        };
        if write.snapshot() == Some(self.log.snapshot_index()) {
            self.persistence.is_snapshot_due = false;
        }
        while let Some(envelope) = self.persistence.next_released() {
            if envelope.term == self.term {
                self.actions.push(Action::Send(envelope));
            }
        }
        self.report_durable();
    }

    pub(super) fn on_write_failed(&mut self, serial: u64) {
        if !self.persistence.on_write_failed(self.now, serial) {
            return;
        }
        self.transfer_leadership();
        if self.role != Role::Follower {
            self.become_follower();
        }
    }
}
