//! What is written when, and what waits for it.
//!
//! One write at a time; what changes meanwhile goes into the next one. A batch is made from what holds when it is made,
//! so a refused one needs no undoing: the next simply holds all of it again. No message leaves before the term, vote and
//! life that it speaks for are on disk.

use crate::log::Log;
use crate::{Action, Core, Entry, Envelope, Index, Message, Micros, Role, Seat, Snapshot, Term};
use rand::RngCore;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// A write under way for so long counts as hanging: a disk in trouble takes 60 ms a sync, thirty times its usual, and a
/// large batch a few of these.
const PATIENCE: Micros = 1_000_000;
/// How often a disk that refused is tried again.
const RETRY: Micros = 1_000_000;
/// Messages that wait for the disk; older ones are dropped, as the network might have.
const MOST_HELD: usize = 64;

/// What a machine must not forget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hard {
    /// Which life this store belongs to.
    pub life: u64,
    pub term: Term,
    /// Whom this machine voted for (or followed) in `term`.
    pub vote: Option<Seat>,
    /// In force up to here at least.
    pub commit: Index,
}

impl Hard {
    /// At the first start on an empty store.
    pub(crate) fn begin(founds: bool, rng: &mut ChaCha8Rng) -> Hard {
        // The last life is the "whoever is there" of `Ask`.
        let life = if founds {
            0
        } else {
            rng.next_u64().clamp(1, u64::MAX - 1)
        };
        Hard {
            life,
            term: 0,
            vote: None,
            commit: u64::from(founds),
        }
    }
}

/// What a store gives back.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stored {
    /// None: the store is empty.
    pub hard: Option<Hard>,
    pub snapshot: Option<Arc<Snapshot>>,
    /// In order, without gaps.
    pub entries: Vec<Entry>,
}

/// One write: all of it or nothing, in the order of the fields.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    pub hard: Hard,
    /// Takes the place of the one stored.
    pub snapshot: Option<Arc<Snapshot>>,
    /// Stored entries up to here go.
    pub drop_to: Index,
    /// Stored entries from here on go.
    pub cut_from: Index,
    /// They follow.
    pub entries: Vec<Entry>,
}

impl Batch {
    /// What the batch makes of what is stored; stores are tested against it.
    pub fn apply(&self, stored: &mut Stored) {
        stored.hard = Some(self.hard);
        if let Some(snapshot) = &self.snapshot {
            stored.snapshot = Some(snapshot.clone());
        }
        stored
            .entries
            .retain(|entry| entry.index > self.drop_to && entry.index < self.cut_from);
        stored.entries.extend(self.entries.iter().cloned());
    }
}

pub(crate) struct Disk {
    /// Goes up with every change of term, vote or life.
    version: u64,
    durable_version: u64,
    /// Log and snapshot up to here are on disk as they are in memory.
    pub(crate) durable: Index,
    durable_commit: Index,
    pub(crate) snapshot_due: bool,
    serial: u64,
    writing: Option<Writing>,
    refused_at: Option<Micros>,
    held: VecDeque<(u64, Envelope)>,
}

struct Writing {
    serial: u64,
    since: Micros,
    version: u64,
    last: Index,
    snapshot: Option<Index>,
    commit: Index,
}

impl Disk {
    pub(crate) fn of(log: &Log, fresh: bool, commit: Index) -> Disk {
        Disk {
            version: u64::from(fresh),
            durable_version: 0,
            durable: if fresh { 0 } else { log.last() },
            durable_commit: commit,
            snapshot_due: false,
            serial: 0,
            writing: None,
            refused_at: None,
            held: VecDeque::new(),
        }
    }

    /// Term, vote or life changed.
    pub(crate) fn hard_changed(&mut self) {
        self.version += 1;
    }

    pub(crate) fn is_hard_durable(&self) -> bool {
        self.durable_version == self.version
    }

    /// The log was cut: what is kept ends before `from`.
    pub(crate) fn cut(&mut self, from: Index) {
        self.durable = self.durable.min(from - 1);
        if let Some(writing) = &mut self.writing {
            writing.last = writing.last.min(from - 1);
        }
    }

    /// When to try again after a refused write.
    pub(crate) fn retry_due(&self) -> Option<Micros> {
        self.refused_at
            .filter(|_| self.writing.is_none())
            .map(|at| at + RETRY)
    }
}

impl Core {
    /// Whether a leader may rely on this disk.
    pub(crate) fn is_disk_fit(&self) -> bool {
        let hangs = |writing: &Writing| self.now >= writing.since + PATIENCE;
        self.disk.refused_at.is_none() && !self.disk.writing.as_ref().is_some_and(hangs)
    }

    pub(crate) fn send(&mut self, to: Seat, message: Message) {
        let envelope = Envelope {
            from: self.me,
            to,
            term: self.term,
            message,
        };
        if self.disk.is_hard_durable() {
            self.out.push(Action::Send(envelope));
            return;
        }
        if self.disk.held.len() == MOST_HELD {
            self.disk.held.pop_front();
        }
        self.disk.held.push_back((self.disk.version, envelope));
    }

    /// Writes what has changed, unless a write is under way.
    pub(crate) fn flush(&mut self) {
        let disk = &mut self.disk;
        if disk.writing.is_some() || disk.retry_due().is_some_and(|due| self.now < due) {
            return;
        }
        let last = self.log.last();
        let newest_list = self.roll.newest_index();
        // That a list of voters is in force must be known after a loss of all power, or a machine may need votes of the
        // list before it that can't be had.
        let list_due = newest_list <= self.commit && newest_list > disk.durable_commit;
        let due = !disk.is_hard_durable() || last > disk.durable || disk.snapshot_due || list_due;
        if !due && disk.refused_at.is_none() {
            return;
        }
        disk.serial += 1;
        let commit = self.commit.min(last);
        let hard = Hard {
            life: self.me.life,
            term: self.term,
            vote: self.vote,
            commit,
        };
        let snapshot = self.log.snapshot().filter(|_| disk.snapshot_due).cloned();
        let cut_from = disk.durable.max(self.log.base()) + 1;
        disk.writing = Some(Writing {
            serial: disk.serial,
            since: self.now,
            version: disk.version,
            last,
            snapshot: snapshot.as_ref().map(|snapshot| snapshot.index),
            commit,
        });
        let entries = self.log.since(cut_from).cloned().collect();
        let batch = Batch {
            hard,
            snapshot,
            drop_to: self.log.base(),
            cut_from,
            entries,
        };
        self.out.push(Action::Write {
            serial: disk.serial,
            batch,
        });
    }

    pub(crate) fn synced(&mut self, serial: u64) {
        let Some(writing) = self
            .disk
            .writing
            .take_if(|writing| writing.serial == serial)
        else {
            return;
        };
        let disk = &mut self.disk;
        disk.refused_at = None;
        disk.durable_version = writing.version;
        disk.durable = disk
            .durable
            .max(writing.last)
            .max(writing.snapshot.unwrap_or(0));
        disk.durable_commit = disk.durable_commit.max(writing.commit);
        if writing.snapshot == Some(self.log.snapshot_index()) {
            disk.snapshot_due = false;
        }
        while disk
            .held
            .front()
            .is_some_and(|(version, _)| *version <= writing.version)
        {
            let (_, envelope) = disk.held.pop_front().expect("looked at");
            if envelope.term == self.term {
                self.out.push(Action::Send(envelope));
            }
        }
        self.reply_durable();
    }

    pub(crate) fn refused(&mut self, serial: u64) {
        if self
            .disk
            .writing
            .take_if(|writing| writing.serial == serial)
            .is_none()
        {
            return;
        }
        self.disk.refused_at = Some(self.now);
        self.give_way();
        if self.role != Role::Follower {
            self.stand_back();
        }
    }
}
