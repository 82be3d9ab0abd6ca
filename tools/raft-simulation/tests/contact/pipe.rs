//! A connection as TCP gives one: frames arrive in order, late if need be, or the connection ends.

use bytes::Bytes;
use magpieline_raft_simulation::{Micros, MILLI};
use std::collections::{BTreeMap, VecDeque};

/// What is unacknowledged is sent again this often, and ends the connection after so long, as `TCP_USER_TIMEOUT` does.
const RESEND_INTERVAL: Micros = 200 * MILLI;
const USER_TIMEOUT: Micros = 1_500 * MILLI;

#[derive(Clone, Debug)]
pub enum Segment {
    Open,
    Opened,
    Frame { position: u64, bytes: Bytes },
    Ack { up_to: u64 },
    Reset,
}

/// One end of a connection.
#[derive(Default)]
pub struct Pipe {
    sent: u64,
    unacked: VecDeque<(u64, Bytes)>,
    progress_at: Micros,
    resend_at: Micros,
    received: u64,
    /// What received before its turn.
    early: BTreeMap<u64, Bytes>,
}

impl Pipe {
    /// The frames that can be read now, and the acknowledgement that goes back.
    pub fn receive(&mut self, position: u64, bytes: Bytes) -> (Vec<Bytes>, Segment) {
        if position > self.received {
            self.early.insert(position, bytes);
        }
        let mut frames = Vec::new();
        while let Some(next) = self.early.remove(&(self.received + 1)) {
            self.received += 1;
            frames.push(next);
        }
        (
            frames,
            Segment::Ack {
                up_to: self.received,
            },
        )
    }

    pub fn on_ack(&mut self, now: Micros, up_to: u64) {
        while self
            .unacked
            .front()
            .is_some_and(|(position, _)| *position <= up_to)
        {
            self.unacked.pop_front();
            self.progress_at = now;
        }
    }

    pub fn send(&mut self, now: Micros, bytes: Bytes) -> Segment {
        if self.unacked.is_empty() {
            (self.progress_at, self.resend_at) = (now, now + RESEND_INTERVAL);
        }
        self.sent += 1;
        self.unacked.push_back((self.sent, bytes.clone()));
        Segment::Frame {
            position: self.sent,
            bytes,
        }
    }

    /// What is to be sent again; none: the connection has ended.
    pub fn tick(&mut self, now: Micros) -> Option<Vec<Segment>> {
        if self.unacked.is_empty() || now < self.resend_at {
            return Some(Vec::new());
        }
        self.resend_at = now + RESEND_INTERVAL;
        let segments = self.unacked.iter().map(|(position, bytes)| Segment::Frame {
            position: *position,
            bytes: bytes.clone(),
        });
        (now < self.progress_at + USER_TIMEOUT).then(|| segments.collect())
    }

    pub fn next_resend(&self) -> Option<Micros> {
        (!self.unacked.is_empty()).then_some(self.resend_at)
    }
}
