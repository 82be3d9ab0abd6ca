//! Snapshots on their way from the leader, in pieces.

use crate::replication::{Mode, WINDOW};
use crate::{Core, Index, Members, Message, Micros, Seat, Snapshot, Term, PIECE};
use std::sync::Arc;

/// Without progress for so long the pieces under way are sent again: a whole window takes that long at 2 Mbit/s.
const RESEND: Micros = 500_000;
/// A longer snapshot is not taken: a machine has 260 MB.
const MOST_BYTES: u64 = 64 << 20;

/// A snapshot on its way to one follower.
pub(crate) struct Filling {
    snapshot: Arc<Snapshot>,
    /// Bytes sent, and of them received.
    sent: usize,
    received: usize,
    begun: bool,
    moved_at: Micros,
    /// Where it was last wound back to because of a gap: more reports of the same gap are old news until it moves on.
    rewound: Option<usize>,
}

impl Filling {
    pub(crate) fn begin(snapshot: Arc<Snapshot>, now: Micros) -> Filling {
        Filling {
            snapshot,
            sent: 0,
            received: 0,
            begun: false,
            moved_at: now,
            rewound: None,
        }
    }

    pub(crate) fn index(&self) -> Index {
        self.snapshot.index
    }

    /// The next pieces, as far as the window allows; an empty state is one empty piece.
    pub(crate) fn pieces(&mut self) -> Vec<Message> {
        let mut pieces = Vec::new();
        let state = &self.snapshot.state;
        while !self.begun || (self.sent < state.len() && self.sent < self.received + WINDOW) {
            self.begun = true;
            let end = state.len().min(self.sent + PIECE);
            pieces.push(Message::Fill {
                index: self.snapshot.index,
                snapshot_term: self.snapshot.term,
                members: self.snapshot.members.clone(),
                total: state.len() as u64,
                offset: self.sent as u64,
                bytes: state[self.sent..end].to_vec(),
            });
            self.sent = end;
        }
        pieces
    }

    fn rewind(&mut self, to: usize, now: Micros) {
        self.sent = to;
        self.begun = false;
        self.moved_at = now;
    }
}

/// A snapshot coming in.
pub(crate) struct Incoming {
    index: Index,
    bytes: Vec<u8>,
}

impl Core {
    /// At each beat: pieces that seem lost are sent again.
    pub(crate) fn check_filling(&mut self) {
        let Some(lead) = &mut self.lead else { return };
        for peer in lead.peers.values_mut() {
            if let Mode::Fill(filling) = &mut peer.mode {
                if self.now >= filling.moved_at + RESEND {
                    let received = filling.received;
                    filling.rewound = None;
                    filling.rewind(received, self.now);
                }
            }
        }
    }

    pub(crate) fn on_fill_reply(&mut self, from: Seat, index: Index, have: u64, gap: bool) {
        let Some(lead) = &mut self.lead else { return };
        let Some(peer) = lead.peers.get_mut(&from) else {
            return;
        };
        peer.heard_at = self.now;
        let Mode::Fill(filling) = &mut peer.mode else {
            return;
        };
        let have = have as usize;
        if filling.index() != index || have > filling.sent {
            return;
        }
        if have > filling.received {
            filling.rewound = None;
            filling.received = have;
            filling.moved_at = self.now;
        }
        if gap && filling.rewound != Some(have) {
            // Also back to the start, should the receiver have lost all.
            filling.rewound = Some(have);
            filling.received = have;
            filling.rewind(have, self.now);
        }
    }

    /// A piece of the leader's snapshot.
    pub(crate) fn on_fill(
        &mut self,
        from: Seat,
        (index, term): (Index, Term),
        members: Members,
        total: u64,
        offset: u64,
        bytes: Vec<u8>,
    ) {
        if index <= self.commit {
            self.verify(index);
            self.reply(from);
            return;
        }
        if total > MOST_BYTES {
            return;
        }
        let begun = self
            .following
            .incoming
            .take_if(|incoming| incoming.index == index);
        let mut incoming = begun.unwrap_or_else(|| Incoming {
            index,
            bytes: Vec::new(),
        });
        let have = incoming.bytes.len() as u64;
        let gap = offset > have;
        if offset == have {
            incoming.bytes.extend(bytes);
        }
        let have = incoming.bytes.len() as u64;
        if have < total || gap {
            self.following.incoming = Some(incoming);
        } else {
            self.install(Snapshot {
                index,
                term,
                members,
                state: incoming.bytes,
            });
        }
        self.send(from, Message::FillReply { index, have, gap });
    }

    fn install(&mut self, snapshot: Snapshot) {
        let index = snapshot.index;
        let members = snapshot.members.clone();
        if !self.log.install(snapshot) {
            // What is on disk beyond what was committed is not this log any more.
            self.disk.cut(self.commit + 1);
            self.roll.cut(0);
        }
        self.roll.install(index, members);
        self.disk.snapshot_due = true;
        self.commit = index;
        self.verify(index);
        self.restore_snapshot();
    }
}
