//! A link as a TCP connection is one: frames come in order, late if need be, or the link ends.

use bytes::Bytes;
use magpieline_raft_simulation::{Micros, MILLI};
use std::collections::{BTreeMap, VecDeque};

/// What is unacknowledged is sent again this often, and ends the link after so long, as `TCP_USER_TIMEOUT` does.
const AGAIN: Micros = 200 * MILLI;
const UNTAKEN: Micros = 1_500 * MILLI;

#[derive(Clone, Debug)]
pub enum Segment {
    Open,
    Opened,
    Frame { place: u64, bytes: Bytes },
    Ack { upto: u64 },
    Reset,
}

/// One end of a link.
#[derive(Default)]
pub struct Pipe {
    sent: u64,
    unacked: VecDeque<(u64, Bytes)>,
    moved_at: Micros,
    again_at: Micros,
    came: u64,
    /// What came before its turn.
    early: BTreeMap<u64, Bytes>,
}

impl Pipe {
    /// The frames that can be read now, and the acknowledgement that goes back.
    pub fn take(&mut self, place: u64, bytes: Bytes) -> (Vec<Bytes>, Segment) {
        if place > self.came {
            self.early.insert(place, bytes);
        }
        let mut frames = Vec::new();
        while let Some(next) = self.early.remove(&(self.came + 1)) {
            self.came += 1;
            frames.push(next);
        }
        (frames, Segment::Ack { upto: self.came })
    }

    pub fn acked(&mut self, now: Micros, upto: u64) {
        while self
            .unacked
            .front()
            .is_some_and(|(place, _)| *place <= upto)
        {
            self.unacked.pop_front();
            self.moved_at = now;
        }
    }

    pub fn send(&mut self, now: Micros, bytes: Bytes) -> Segment {
        if self.unacked.is_empty() {
            (self.moved_at, self.again_at) = (now, now + AGAIN);
        }
        self.sent += 1;
        self.unacked.push_back((self.sent, bytes.clone()));
        Segment::Frame {
            place: self.sent,
            bytes,
        }
    }

    /// What is to be sent again; none: the link has ended.
    pub fn tick(&mut self, now: Micros) -> Option<Vec<Segment>> {
        if self.unacked.is_empty() || now < self.again_at {
            return Some(Vec::new());
        }
        self.again_at = now + AGAIN;
        let again = self.unacked.iter().map(|(place, bytes)| Segment::Frame {
            place: *place,
            bytes: bytes.clone(),
        });
        (now < self.moved_at + UNTAKEN).then(|| again.collect())
    }

    pub fn due(&self) -> Option<Micros> {
        (!self.unacked.is_empty()).then_some(self.again_at)
    }
}
