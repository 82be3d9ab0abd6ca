//! What a leader knows of one follower (thesis, 10.2.1 and 4.2.1; the three states are those of etcd's library).

use crate::log::Entry;
use crate::snapshot_chunks::SnapshotSender;
use crate::types::{Index, Micros, CHUNK_BYTES};
use std::collections::VecDeque;

/// Bytes in flight to one follower: enough for 30 MB/s at 4 ms there, to disk and back; few enough that a link of 2 Mbit/s
/// is free again after half a second.
pub(crate) const WINDOW_BYTES: usize = 4 * CHUNK_BYTES;
/// Messages in flight to one follower, for small entries.
const MAX_IN_FLIGHT: usize = 64;

/// How a follower is brought up to date.
pub(crate) enum ProgressState {
    /// Where its log agrees is not known yet: one message, then its answer.
    Probe {
        /// The message was sent, and is not answered yet.
        is_paused: bool,
    },
    /// Entries are sent without waiting for answers, up to a window.
    Replicate,
    /// It needs the snapshot first.
    Snapshot(SnapshotSender),
}

/// A message that was sent and not acknowledged.
struct InFlight {
    last_index: Index,
    bytes: usize,
}

/// The leader's view of a follower.
pub(crate) struct Progress {
    /// The next entry to send.
    pub(crate) next_index: Index,
    /// The follower's log agrees with the leader's, and is on its disk, up to here.
    pub(crate) match_index: Index,
    pub(crate) state: ProgressState,
    in_flight: VecDeque<InFlight>,
    /// The last heartbeat that it answered; 0 if none.
    pub(crate) heartbeat: u64,
    /// When it last answered; when the leader began to send to it, if it has not answered since.
    pub(crate) heard_at: Micros,
}

impl Progress {
    pub(crate) fn new(next_index: Index, now: Micros) -> Progress {
        Progress {
            next_index,
            match_index: 0,
            state: ProgressState::Probe { is_paused: false },
            in_flight: VecDeque::new(),
            heartbeat: 0,
            heard_at: now,
        }
    }

    /// Takes note that the follower has everything up to `match_index`.
    pub(crate) fn advance(&mut self, match_index: Index) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        while self
            .in_flight
            .front()
            .is_some_and(|message| message.last_index <= self.match_index)
        {
            self.in_flight.pop_front();
        }
    }

    /// Probes again after `index`.
    pub(crate) fn probe_after(&mut self, index: Index) {
        self.next_index = index.max(self.match_index) + 1;
        self.in_flight.clear();
        self.state = ProgressState::Probe { is_paused: false };
    }

    /// Sends the snapshot first.
    pub(crate) fn send_snapshot(&mut self, sender: SnapshotSender) {
        self.in_flight.clear();
        self.state = ProgressState::Snapshot(sender);
    }

    /// Takes note that entries were sent.
    pub(crate) fn on_sent(&mut self, entries: &[Entry]) {
        self.next_index += entries.len() as u64;
        let bytes = entries.iter().map(Entry::size).sum();
        self.in_flight.push_back(InFlight {
            last_index: self.next_index - 1,
            bytes,
        });
        if let ProgressState::Probe { is_paused } = &mut self.state {
            *is_paused = true;
        }
    }

    /// Whether entries may be sent now.
    pub(crate) fn is_ready(&self) -> bool {
        match self.state {
            ProgressState::Probe { is_paused } => !is_paused,
            ProgressState::Replicate => {
                let bytes: usize = self.in_flight.iter().map(|message| message.bytes).sum();
                bytes < WINDOW_BYTES && self.in_flight.len() < MAX_IN_FLIGHT
            }
            ProgressState::Snapshot(_) => false,
        }
    }

    /// Returns for how long it has not answered.
    pub(crate) fn silence(&self, now: Micros) -> Micros {
        now.saturating_sub(self.heard_at)
    }

    /// Whether it has answered this leader at all.
    pub(crate) fn has_answered(&self) -> bool {
        self.heartbeat > 0
    }
}
