//! A snapshot on its way from the leader to a follower, in chunks.

use crate::log::Snapshot;
use crate::message::Message;
use crate::types::{Index, Micros, CHUNK_BYTES};
use std::sync::Arc;

/// Without progress for so long the chunks in flight are sent again: a full window takes that long at 2 Mbit/s.
const RESEND_AFTER: Micros = 500_000;

/// The sending side, one for each follower that needs the snapshot.
pub(crate) struct SnapshotSender {
    snapshot: Arc<Snapshot>,
    sent_bytes: usize,
    /// Bytes that the follower has acknowledged.
    received_bytes: usize,
    /// Something was sent since the start or the last rewind; an empty state is one empty chunk.
    has_begun: bool,
    progress_at: Micros,
    /// Where it was last rewound to because of a gap: more reports of the same gap are stale until there is progress.
    rewound_to: Option<usize>,
}

impl SnapshotSender {
    pub(crate) fn new(snapshot: Arc<Snapshot>, now: Micros) -> SnapshotSender {
        SnapshotSender {
            snapshot,
            sent_bytes: 0,
            received_bytes: 0,
            has_begun: false,
            progress_at: now,
            rewound_to: None,
        }
    }

    /// Returns the last entry that the snapshot covers.
    pub(crate) fn index(&self) -> Index {
        self.snapshot.index
    }

    /// Returns the next chunks, with at most `window` bytes unacknowledged.
    pub(crate) fn next_chunks(&mut self, window: usize) -> Vec<Message> {
        let mut chunks = Vec::new();
        let state = &self.snapshot.state;
        while !self.has_begun
            || (self.sent_bytes < state.len() && self.sent_bytes < self.received_bytes + window)
        {
            self.has_begun = true;
            let end = state.len().min(self.sent_bytes + CHUNK_BYTES);
            chunks.push(Message::InstallSnapshot {
                index: self.snapshot.index,
                snapshot_term: self.snapshot.term,
                voters: self.snapshot.voters.clone(),
                total_bytes: state.len() as u64,
                offset: self.sent_bytes as u64,
                bytes: state[self.sent_bytes..end].to_vec(),
            });
            self.sent_bytes = end;
        }
        chunks
    }

    /// Goes back to what was acknowledged if there has been no progress for a while.
    pub(crate) fn resend_if_stalled(&mut self, now: Micros) {
        if now >= self.progress_at + RESEND_AFTER {
            self.rewound_to = None;
            self.rewind(self.received_bytes, now);
        }
    }

    /// Takes note that the follower has all bytes before `received`; `gap` if a chunk arrived there that does not follow.
    pub(crate) fn on_response(&mut self, received: usize, gap: bool, now: Micros) {
        if received > self.sent_bytes {
            return;
        }
        if received > self.received_bytes {
            self.rewound_to = None;
            self.received_bytes = received;
            self.progress_at = now;
        }
        if gap && self.rewound_to != Some(received) {
            // Also back to the start, should the follower have lost everything.
            self.rewound_to = Some(received);
            self.received_bytes = received;
            self.rewind(received, now);
        }
    }

    fn rewind(&mut self, to: usize, now: Micros) {
        self.sent_bytes = to;
        self.has_begun = false;
        self.progress_at = now;
    }
}

/// The receiving side.
pub(crate) struct SnapshotReceiver {
    index: Index,
    bytes: Vec<u8>,
}

impl SnapshotReceiver {
    pub(crate) fn new(index: Index) -> SnapshotReceiver {
        SnapshotReceiver {
            index,
            bytes: Vec::new(),
        }
    }

    pub(crate) fn index(&self) -> Index {
        self.index
    }

    /// Takes in a chunk; returns whether it left a gap, in which case it is dropped.
    pub(crate) fn receive(&mut self, offset: u64, chunk: Vec<u8>) -> bool {
        let received = self.received();
        if offset == received {
            self.bytes.extend(chunk);
        }
        offset > received
    }

    /// Returns how many bytes are here.
    pub(crate) fn received(&self) -> u64 {
        self.bytes.len() as u64
    }

    pub(crate) fn into_state(self) -> Vec<u8> {
        self.bytes
    }
}
