//! What a node keeps on disk, and which part of it is durable.
//!
//! One write at a time; what changes meanwhile goes into the next one. A batch is made from what holds when it is made, so
//! a failed one needs no undoing: the next one simply holds all of it again. No message leaves before the term, vote and
//! incarnation that it speaks for are on disk.

use crate::log::{Entry, Log, Snapshot};
use crate::message::Envelope;
use crate::types::{Index, Micros, NodeId, Term, ANY_INCARNATION};
use rand::RngCore;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// A write that takes so long counts as hanging: a disk in trouble takes 60 ms a sync, thirty times its usual, and a large
/// batch takes a few syncs.
const WRITE_TIMEOUT: Micros = 1_000_000;
/// How often a write is tried again after the disk refused one.
const WRITE_RETRY: Micros = 1_000_000;
/// Messages that wait for the disk. Older ones are dropped, as the network might have.
const MAX_DEFERRED_MESSAGES: usize = 64;

/// What a node must not forget (Raft, figure 2: persistent state).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Which incarnation of the machine this store belongs to.
    pub incarnation: u64,
    /// The newest term seen.
    pub term: Term,
    /// Whom this node voted for, or followed, in `term`.
    pub vote: Option<NodeId>,
    /// Entries up to here at least are committed.
    pub commit: Index,
}

impl HardState {
    /// The state of the first start on an empty store.
    pub(crate) fn initial(is_founder: bool, rng: &mut ChaCha8Rng) -> HardState {
        let incarnation = if is_founder {
            0
        } else {
            rng.next_u64().clamp(1, ANY_INCARNATION - 1)
        };
        HardState {
            incarnation,
            term: 0,
            vote: None,
            commit: u64::from(is_founder),
        }
    }
}

/// What a store gives back at a start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PersistentState {
    /// None if the store is empty.
    pub hard_state: Option<HardState>,
    /// The newest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries, in order and without gaps.
    pub entries: Vec<Entry>,
}

/// One write: all of it or nothing, in the order of the fields.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteBatch {
    /// Replaces the one stored.
    pub hard_state: HardState,
    /// Replaces the one stored, if there is one here.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Stored entries up to here are dropped.
    pub compact_to: Index,
    /// Stored entries from here on are dropped.
    pub truncate_from: Index,
    /// Then these are appended.
    pub entries: Vec<Entry>,
}

impl WriteBatch {
    /// Applies the batch to what is stored; stores are tested against it.
    pub fn apply(&self, stored: &mut PersistentState) {
        stored.hard_state = Some(self.hard_state);
        if let Some(snapshot) = &self.snapshot {
            stored.snapshot = Some(snapshot.clone());
        }
        let stays =
            |entry: &Entry| entry.index > self.compact_to && entry.index < self.truncate_from;
        stored.entries.retain(stays);
        stored.entries.extend(self.entries.iter().cloned());
    }
}

/// Which part of a node's state is on disk, the write in flight, and the messages that wait for it.
pub(crate) struct Persistence {
    /// Goes up with every change of term, vote or incarnation.
    hard_state_version: u64,
    durable_version: u64,
    /// Log and snapshot up to here are on disk as they are in memory.
    pub(crate) durable_index: Index,
    pub(crate) durable_commit: Index,
    /// The snapshot is to be part of the next write.
    pub(crate) is_snapshot_due: bool,
    serial: u64,
    in_flight: Option<WriteInFlight>,
    failed_at: Option<Micros>,
    /// Messages, each with the version of the hard state that must be durable before it leaves.
    deferred: VecDeque<(u64, Envelope)>,
}

/// What a write covers.
pub(crate) struct WriteInFlight {
    serial: u64,
    started_at: Micros,
    version: u64,
    last_index: Index,
    /// The snapshot that it holds.
    snapshot: Option<Index>,
    commit: Index,
}

impl WriteInFlight {
    pub(crate) fn snapshot(&self) -> Option<Index> {
        self.snapshot
    }
}

impl Persistence {
    /// The state after a start: all of the log is on disk unless the store was empty.
    pub(crate) fn after_start(log: &Log, is_empty: bool, commit: Index) -> Persistence {
        Persistence {
            hard_state_version: u64::from(is_empty),
            durable_version: 0,
            durable_index: if is_empty { 0 } else { log.last_index() },
            durable_commit: commit,
            is_snapshot_due: false,
            serial: 0,
            in_flight: None,
            failed_at: None,
            deferred: VecDeque::new(),
        }
    }

    /// Takes note that term, vote or incarnation changed.
    pub(crate) fn on_hard_state_change(&mut self) {
        self.hard_state_version += 1;
    }

    pub(crate) fn is_hard_state_durable(&self) -> bool {
        self.durable_version == self.hard_state_version
    }

    /// Takes note that the log was truncated: what is kept ends before `from`.
    pub(crate) fn truncate_from(&mut self, from: Index) {
        self.durable_index = self.durable_index.min(from - 1);
        if let Some(write) = &mut self.in_flight {
            write.last_index = write.last_index.min(from - 1);
        }
    }

    /// Returns when to try again after a failed write.
    pub(crate) fn retry_at(&self) -> Option<Micros> {
        self.failed_at
            .filter(|_| self.in_flight.is_none())
            .map(|at| at + WRITE_RETRY)
    }

    /// Whether a leader may rely on this disk.
    pub(crate) fn is_healthy(&self, now: Micros) -> bool {
        let hangs = |write: &WriteInFlight| now >= write.started_at + WRITE_TIMEOUT;
        self.failed_at.is_none() && !self.in_flight.as_ref().is_some_and(hangs)
    }

    /// Whether the last write failed, and none was completed since.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Whether a write may start now.
    pub(crate) fn is_ready(&self, now: Micros) -> bool {
        self.in_flight.is_none() && self.retry_at().is_none_or(|due| now >= due)
    }

    /// Starts a write that brings the log up to `last_index`; returns its serial.
    pub(crate) fn start_write(
        &mut self,
        now: Micros,
        last_index: Index,
        snapshot: Option<Index>,
        commit: Index,
    ) -> u64 {
        self.serial += 1;
        self.in_flight = Some(WriteInFlight {
            serial: self.serial,
            started_at: now,
            version: self.hard_state_version,
            last_index,
            snapshot,
            commit,
        });
        self.serial
    }

    /// Takes note that a write is on disk; returns what it covered, or none if no such write was in flight.
    pub(crate) fn on_persisted(&mut self, serial: u64) -> Option<WriteInFlight> {
        let write = self.in_flight.take_if(|write| write.serial == serial)?;
        self.failed_at = None;
        self.durable_version = write.version;
        self.durable_index = self
            .durable_index
            .max(write.last_index)
            .max(write.snapshot.unwrap_or(0));
        self.durable_commit = self.durable_commit.max(write.commit);
        Some(write)
    }

    /// Takes note that the disk refused a write; returns whether it was in flight.
    pub(crate) fn on_write_failed(&mut self, now: Micros, serial: u64) -> bool {
        let was_in_flight = self
            .in_flight
            .take_if(|write| write.serial == serial)
            .is_some();
        if was_in_flight {
            self.failed_at = Some(now);
        }
        was_in_flight
    }

    /// Keeps a message back until the present hard state is on disk.
    pub(crate) fn defer(&mut self, envelope: Envelope) {
        if self.deferred.len() == MAX_DEFERRED_MESSAGES {
            self.deferred.pop_front();
        }
        self.deferred.push_back((self.hard_state_version, envelope));
    }

    /// Returns the next message whose hard state is on disk.
    pub(crate) fn next_released(&mut self) -> Option<Envelope> {
        let durable = self.durable_version;
        let released = self
            .deferred
            .pop_front_if(|(version, _)| *version <= durable);
        released.map(|(_, envelope)| envelope)
    }
}
