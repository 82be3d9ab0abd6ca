//! Entries and the snapshot that stands for those before them.

use crate::{Index, Members, Term, PIECE};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// Entries kept behind a snapshot, for followers that are a little behind: a minute at sixteen a second. Bytes bound it,
/// too: more than one megabyte is as dear as the snapshot.
const TAIL_ENTRIES: u64 = 1000;
const TAIL_BYTES: usize = 1 << 20;
/// A log is long from so many entries or bytes after its snapshot, or twice the snapshot if that is more: the disk
/// (256 MB) then holds a few times the state at most, and writing the state costs no more than the commands did.
const LONG_ENTRIES: u64 = 10_000;
const LONG_BYTES: usize = 4 << 20;
/// What an entry costs beside its bytes.
const OVERHEAD: usize = 32;

/// One place in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    pub index: Index,
    /// The term of the leader that wrote it.
    pub term: Term,
    pub payload: Payload,
}

/// What stands in an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// A new leader's first: what it inherited is in force once this is.
    Noop,
    /// A command, or a piece of one (at most [`PIECE`] bytes) of which `more` follows in the next entry. If another
    /// leader's entry follows instead, the pieces mean nothing.
    Command {
        more: bool,
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// Who votes from here on, jointly with the list before it until this one is known as in force.
    Members(Members),
    /// The last list is in force: the one before it counts no more, also for those that know nothing else of this.
    JointEnd,
}

impl Entry {
    pub(crate) fn weight(&self) -> usize {
        match &self.payload {
            Payload::Command { bytes, .. } => bytes.len() + OVERHEAD,
            Payload::Noop | Payload::Members(_) | Payload::JointEnd => OVERHEAD,
        }
    }
}

/// The state machine's state just after `index`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    pub index: Index,
    /// The term of the entry at `index`.
    pub term: Term,
    /// Who votes by the entries up to `index`.
    pub members: Members,
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}

pub(crate) struct Log {
    snapshot: Option<Arc<Snapshot>>,
    /// The entry before the first one kept, at or before the snapshot.
    base: (Index, Term),
    entries: VecDeque<Entry>,
    /// What the entries weigh that a compaction would drop: applied, and behind the snapshot.
    spent: usize,
}

impl Log {
    /// The stored log. A store gives back what one write left whole, so gaps are a broken invariant.
    pub(crate) fn load(snapshot: Option<Arc<Snapshot>>, entries: Vec<Entry>) -> Log {
        let mut entries = VecDeque::from(entries);
        let covered = snapshot
            .as_ref()
            .map_or((0, 0), |snapshot| (snapshot.index, snapshot.term));
        let base = match entries.front() {
            Some(first) if first.index <= covered.0 => {
                // What came before the tail is gone, its term too: the first of the tail takes its place.
                let base = (first.index, first.term);
                entries.pop_front();
                base
            }
            _ => covered,
        };
        let log = Log {
            snapshot,
            base,
            entries,
            spent: 0,
        };
        assert!(
            log.entries
                .iter()
                .zip(base.0 + 1..)
                .all(|(entry, index)| entry.index == index),
            "a gap"
        );
        assert!(log.last() >= covered.0, "the log ends before its snapshot");
        log
    }

    pub(crate) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> Index {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// The entry before the first one kept.
    pub(crate) fn base(&self) -> Index {
        self.base.0
    }

    pub(crate) fn last(&self) -> Index {
        self.base.0 + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base.1, |entry| entry.term)
    }

    /// The term at `index`, if that is kept.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.0 {
            return Some(self.base.1);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub(crate) fn get(&self, index: Index) -> Option<&Entry> {
        self.entries
            .get(index.checked_sub(self.base.0 + 1)? as usize)
    }

    /// The entries from `from` on, the first of them kept if that is later.
    pub(crate) fn since(&self, from: Index) -> impl Iterator<Item = &Entry> {
        self.entries
            .iter()
            .skip(from.saturating_sub(self.base.0 + 1) as usize)
    }

    /// As many entries from `from` on as fit into one message, at least one.
    pub(crate) fn piece(&self, from: Index) -> Vec<Entry> {
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            bytes += entry.weight();
            bytes == entry.weight() || bytes <= PIECE
        };
        self.since(from).take_while(fits).cloned().collect()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last() + 1, "entries follow one another");
        self.entries.push_back(entry);
    }

    /// Drops the entries from `from` on.
    pub(crate) fn cut(&mut self, from: Index) {
        while self.last() >= from && self.last() > self.base.0 {
            self.entries.pop_back();
        }
    }

    /// Drops the entries up to `to`.
    fn forget(&mut self, to: Index) {
        while self.entries.front().is_some_and(|entry| entry.index <= to) {
            self.entries.pop_front();
        }
    }

    /// Before which entry to look next when the one at `index` is not the leader's: the whole run of its term is doubtful.
    pub(crate) fn before_run(&self, index: Index) -> Index {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base.0 + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first.saturating_sub(1).max(self.base.0)
    }

    /// The state just after `index`, of what is applied, takes the place of the log before it.
    pub(crate) fn compact(
        &mut self,
        index: Index,
        applied: Index,
        members: Members,
        state: Vec<u8>,
    ) {
        let term = self
            .term_at(index)
            .expect("applied entries after the snapshot are kept");
        self.snapshot = Some(Arc::new(Snapshot {
            index,
            term,
            members,
            state,
        }));
        let mut bytes = 0;
        let mut tail = 0;
        while tail < TAIL_ENTRIES && bytes < TAIL_BYTES && index - tail > self.base.0 {
            bytes += self.get(index - tail).map_or(0, Entry::weight);
            tail += 1;
        }
        let base = index - tail;
        let base_term = self.term_at(base).expect("kept until now");
        self.forget(base);
        self.base = (base, base_term);
        self.spent = self
            .since(index + 1)
            .take_while(|entry| entry.index <= applied)
            .map(Entry::weight)
            .sum();
    }

    /// Takes over another machine's snapshot. The entries after it stay if the log agrees with it; else all go, and false
    /// is returned.
    pub(crate) fn install(&mut self, snapshot: Snapshot) -> bool {
        let agrees = self.term_at(snapshot.index) == Some(snapshot.term);
        self.forget(if agrees { snapshot.index } else { Index::MAX });
        self.base = (snapshot.index, snapshot.term);
        self.snapshot = Some(Arc::new(snapshot));
        self.spent = 0;
        agrees
    }

    /// The next whole command after `applied`, which moves past it and past all that is none.
    pub(crate) fn next_command(
        &mut self,
        applied: &mut Index,
        commit: Index,
    ) -> Option<(Index, Vec<u8>)> {
        let mut pieces: Vec<&[u8]> = Vec::new();
        let mut term = 0;
        let (mut seen, mut passed) = (0, 0);
        let mut found = None;
        for entry in self
            .since(*applied + 1)
            .take_while(|entry| entry.index <= commit)
        {
            if entry.term != term {
                pieces.clear();
            }
            term = entry.term;
            seen += entry.weight();
            match &entry.payload {
                Payload::Command { more: true, bytes } => {
                    pieces.push(bytes);
                    continue;
                }
                Payload::Command { more: false, bytes } => {
                    pieces.push(bytes);
                    found = Some((entry.index, pieces.concat()));
                }
                Payload::Noop | Payload::Members(_) | Payload::JointEnd => pieces.clear(),
            }
            *applied = entry.index;
            passed = seen;
            if found.is_some() {
                break;
            }
        }
        self.spent += passed;
        found
    }

    /// Counts only what a compaction would drop: what is not in force yet makes the log long, but not shorter by one.
    pub(crate) fn is_long(&self, applied: Index) -> bool {
        let state = self
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.state.len());
        applied - self.snapshot_index() > LONG_ENTRIES || self.spent > LONG_BYTES.max(2 * state)
    }
}
