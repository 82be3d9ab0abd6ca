//! Proposals and reads that wait for an answer at a leader.

use crate::types::{Index, Micros};
use std::collections::VecDeque;

/// Proposals and their bytes that may be pending; more is refused at once rather than answered late. The largest command
/// always fits when it is alone.
const MAX_PROPOSALS: usize = 256;
const MAX_PROPOSED_BYTES: usize = 8 << 20;
const MAX_READS: usize = 1024;

/// A proposal that is not applied yet.
pub(crate) struct PendingProposal {
    /// The last entry of its command.
    pub(crate) index: Index,
    pub(crate) request_id: u64,
    bytes: usize,
}

/// A read that is not confirmed yet (read index; thesis, 6.4).
pub(crate) struct PendingRead {
    pub(crate) request_id: u64,
    /// The heartbeat that a quorum must answer; none: not sent yet.
    heartbeat: Option<u64>,
    /// What must be applied.
    pub(crate) index: Index,
}

/// A heartbeat and when it was sent.
struct SentHeartbeat {
    number: u64,
    sent_at: Micros,
}

/// What waits for an answer at a leader, and the heartbeats that confirm its leadership.
#[derive(Default)]
pub(crate) struct PendingRequests {
    proposals: VecDeque<PendingProposal>,
    proposed_bytes: usize,
    reads: VecDeque<PendingRead>,
    /// From the last one that a quorum answered on.
    heartbeats: VecDeque<SentHeartbeat>,
    /// The last heartbeat that a quorum answered.
    confirmed: u64,
}

impl PendingRequests {
    /// Whether a command of this length can be proposed now.
    pub(crate) fn has_room_for(&self, bytes: usize) -> bool {
        let is_full = self.proposals.len() >= MAX_PROPOSALS;
        let is_too_long =
            self.proposed_bytes + bytes > MAX_PROPOSED_BYTES && !self.proposals.is_empty();
        !is_full && !is_too_long
    }

    pub(crate) fn add_proposal(&mut self, index: Index, request_id: u64, bytes: usize) {
        self.proposed_bytes += bytes;
        self.proposals.push_back(PendingProposal {
            index,
            request_id,
            bytes,
        });
    }

    /// Returns the next proposal that is applied.
    pub(crate) fn next_applied(&mut self, applied: Index) -> Option<PendingProposal> {
        let proposal = self
            .proposals
            .pop_front_if(|proposal| proposal.index <= applied)?;
        self.proposed_bytes -= proposal.bytes;
        Some(proposal)
    }

    /// Adds a read that is answered once `index` is applied and a heartbeat sent after now is answered by a quorum. Returns
    /// false, and adds nothing, if too many are pending.
    pub(crate) fn add_read(&mut self, request_id: u64, index: Index) -> bool {
        let has_room = self.reads.len() < MAX_READS;
        if has_room {
            self.reads.push_back(PendingRead {
                request_id,
                heartbeat: None,
                index,
            });
        }
        has_room
    }

    /// Takes note of a heartbeat sent now: its answers confirm all reads that came before it.
    pub(crate) fn on_heartbeat_sent(&mut self, number: u64, now: Micros) {
        self.heartbeats.push_back(SentHeartbeat {
            number,
            sent_at: now,
        });
        let unassigned = self
            .reads
            .iter_mut()
            .rev()
            .take_while(|read| read.heartbeat.is_none());
        for read in unassigned {
            read.heartbeat = Some(number);
        }
    }

    /// Takes note of the newest heartbeat that a quorum answered.
    pub(crate) fn on_confirmed(&mut self, number: u64) {
        self.confirmed = self.confirmed.max(number);
        while self
            .heartbeats
            .front()
            .is_some_and(|heartbeat| heartbeat.number < self.confirmed)
        {
            self.heartbeats.pop_front();
        }
    }

    /// Removes and returns the reads that are confirmed, and whose index is applied.
    pub(crate) fn take_ready_reads(&mut self, applied: Index) -> Vec<PendingRead> {
        let is_ready = |read: &&PendingRead| {
            read.heartbeat
                .is_some_and(|heartbeat| heartbeat <= self.confirmed)
                && read.index <= applied
        };
        let count = self.reads.iter().take_while(is_ready).count();
        self.reads.drain(..count).collect()
    }

    /// Whether a read waits for a heartbeat that is not sent yet.
    pub(crate) fn needs_heartbeat(&self) -> bool {
        self.reads
            .back()
            .is_some_and(|read| read.heartbeat.is_none())
    }

    /// Returns the newest heartbeat that a quorum answered.
    pub(crate) fn confirmed(&self) -> u64 {
        self.confirmed
    }

    /// Returns when the newest heartbeat was sent; none if nothing was sent since the last one that a quorum answered.
    pub(crate) fn last_sent_at(&self) -> Option<Micros> {
        self.heartbeats.back().map(|heartbeat| heartbeat.sent_at)
    }

    /// Returns when the newest heartbeat that a quorum answered was sent.
    pub(crate) fn confirmed_sent_at(&self) -> Option<Micros> {
        let first = self
            .heartbeats
            .front()
            .filter(|heartbeat| heartbeat.number == self.confirmed);
        first.map(|heartbeat| heartbeat.sent_at)
    }

    /// Returns the ids of all requests, proposals first.
    pub(crate) fn into_request_ids(self) -> impl Iterator<Item = u64> {
        let proposals = self
            .proposals
            .into_iter()
            .map(|proposal| proposal.request_id);
        proposals.chain(self.reads.into_iter().map(|read| read.request_id))
    }
}
