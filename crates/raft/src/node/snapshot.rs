//! Snapshots on their way from the leader, in chunks (Raft, section 7).

use super::RaftNode;
use crate::log::Snapshot;
use crate::message::Message;
use crate::progress::ProgressState;
use crate::snapshot_chunks::SnapshotReceiver;
use crate::types::{Index, NodeId, Term};
use crate::voter_set::VoterSet;

/// A longer snapshot is not taken: a machine has 260 MB.
const MAX_SNAPSHOT_BYTES: u64 = 64 << 20;

/// Which chunk of which snapshot a message carries.
pub(super) struct ChunkHeader {
    pub(super) index: Index,
    pub(super) term: Term,
    pub(super) voters: VoterSet,
    pub(super) total_bytes: u64,
    pub(super) offset: u64,
}

impl RaftNode {
    /// Sends chunks again that seem lost; called at each heartbeat.
    pub(super) fn resend_stalled_snapshots(&mut self) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        for progress in leader.progress.values_mut() {
            if let ProgressState::Snapshot(sender) = &mut progress.state {
                sender.resend_if_stalled(self.now);
            }
        }
    }

    pub(super) fn on_install_snapshot_response(
        &mut self,
        from: NodeId,
        index: Index,
        received: u64,
        gap: bool,
    ) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let Some(progress) = leader.progress.get_mut(&from) else {
            return;
        };
        progress.heard_at = self.now;
        if let ProgressState::Snapshot(sender) = &mut progress.state {
            if sender.index() == index {
                sender.on_response(received as usize, gap, self.now);
            }
        }
    }

    /// Takes in a chunk of the leader's snapshot, and installs the snapshot once it is complete.
    pub(super) fn on_install_snapshot(
        &mut self,
        from: NodeId,
        header: ChunkHeader,
        chunk: Vec<u8>,
    ) {
        let ChunkHeader {
            index,
            term,
            voters,
            total_bytes,
            offset,
        } = header;
        if index <= self.commit {
            self.verify(index);
            self.respond_to_append(from);
            return;
        }
        if total_bytes > MAX_SNAPSHOT_BYTES {
            return;
        }
        let begun = self
            .follower
            .snapshot
            .take_if(|receiver| receiver.index() == index);
        let mut receiver = begun.unwrap_or_else(|| SnapshotReceiver::new(index));
        let gap = receiver.receive(offset, chunk);
        let received = receiver.received();
        if received < total_bytes || gap {
            self.follower.snapshot = Some(receiver);
        } else {
            self.install(Snapshot {
                index,
                term,
                voters,
                state: receiver.into_state(),
            });
        }
        self.send(
            from,
            Message::InstallSnapshotResponse {
                index,
                received,
                gap,
            },
        );
    }

    fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        let voters = snapshot.voters.clone();
        if !self.log.install(snapshot) {
            // What is on disk beyond the commit index belongs to another log now.
            self.persistence.truncate_from(self.commit + 1);
            self.membership.truncate_from(0);
        }
        self.membership.install(index, voters);
        self.persistence.is_snapshot_due = true;
        self.commit = index;
        self.verify(index);
        self.restore_snapshot();
    }
}
