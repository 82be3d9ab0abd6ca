//! The log: entries, and the snapshot that stands for those before them.

use crate::types::{Index, Term, CHUNK_BYTES};
use crate::voter_set::VoterSet;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::sync::Arc;

/// Entries kept before a snapshot, for followers that are a little behind: a minute at sixteen a second. They are bounded in
/// bytes, too: sending more than one megabyte costs as much as sending the snapshot.
const TAIL_ENTRIES: u64 = 1000;
const TAIL_BYTES: usize = 1 << 20;
/// The log is compacted once so many entries or bytes follow its snapshot, or twice the snapshot's length if that is more:
/// the disk (256 MB) then holds a few times the state at most, and writing the state costs no more than the commands did.
const COMPACT_AFTER_ENTRIES: u64 = 10_000;
const COMPACT_AFTER_BYTES: usize = 4 << 20;
/// Bytes that the log takes in memory where the state is short. A state of more than 2 MB has a log of twice its length.
pub const LOG_BYTES: usize = COMPACT_AFTER_BYTES + TAIL_BYTES;
/// Bytes that an entry takes beside those of its command.
const ENTRY_OVERHEAD: usize = 32;

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub index: Index,
    /// The term of the leader that appended it.
    pub term: Term,
    /// Its content.
    pub payload: Payload,
}

/// The content of an entry. The order of the variants is the stored format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// The first entry of a new leader: what it inherited is committed once this is (thesis, 3.6.2).
    Noop,
    /// A command, or a chunk of one.
    Command {
        /// The next entry continues the command. If it is another leader's entry instead, the chunks are void.
        more: bool,
        /// At most [`CHUNK_BYTES`].
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// The voters from here on, jointly with the set before until this entry is known to be committed (thesis, 4.3).
    Voters(VoterSet),
    /// The newest voter set is committed: the set before it no longer counts, even for nodes that know nothing else of the
    /// change.
    LeaveJoint,
}

impl Entry {
    /// Returns the bytes that it takes in a message.
    pub(crate) fn size(&self) -> usize {
        match &self.payload {
            Payload::Command { bytes, .. } => bytes.len() + ENTRY_OVERHEAD,
            Payload::Noop | Payload::Voters(_) | Payload::LeaveJoint => ENTRY_OVERHEAD,
        }
    }
}

/// The state machine's state just after an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The voters as of that entry.
    pub voters: VoterSet,
    /// The state.
    #[serde(with = "serde_bytes")]
    pub state: Vec<u8>,
}

/// An entry's position and term.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EntryId {
    pub(crate) index: Index,
    pub(crate) term: Term,
}

/// The log as it is in memory.
///
/// Invariant: entries follow one another from `base` on, without gaps, and reach to the snapshot at least.
pub(crate) struct Log {
    snapshot: Option<Arc<Snapshot>>,
    /// The entry before the first one kept, at or before the snapshot.
    base: EntryId,
    entries: VecDeque<Entry>,
    /// Bytes of the entries that a compaction would drop: those applied since the snapshot.
    compactable_bytes: usize,
}

impl Log {
    /// Returns the stored log.
    ///
    /// # Panics
    ///
    /// If it has gaps: a store gives back what one atomic write left.
    pub(crate) fn load(snapshot: Option<Arc<Snapshot>>, entries: Vec<Entry>) -> Log {
        let mut entries = VecDeque::from(entries);
        let covered = snapshot
            .as_ref()
            .map_or(EntryId::default(), |snapshot| EntryId {
                index: snapshot.index,
                term: snapshot.term,
            });
        let base = match entries.front() {
            Some(first) if first.index <= covered.index => {
                // What came before the tail is gone, its term too: the first entry of the tail takes its place.
                let base = EntryId {
                    index: first.index,
                    term: first.term,
                };
                entries.pop_front();
                base
            }
            _ => covered,
        };
        let log = Log {
            snapshot,
            base,
            entries,
            compactable_bytes: 0,
        };
        let mut numbered = log.entries.iter().zip(base.index + 1..);
        assert!(numbered.all(|(entry, index)| entry.index == index), "a gap");
        assert!(
            log.last_index() >= covered.index,
            "the log ends before its snapshot"
        );
        log
    }

    pub(crate) fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns the last entry that the snapshot covers; 0 without one.
    pub(crate) fn snapshot_index(&self) -> Index {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    /// Returns the entry before the first one kept.
    pub(crate) fn base_index(&self) -> Index {
        self.base.index
    }

    pub(crate) fn last_index(&self) -> Index {
        self.base.index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries
            .back()
            .map_or(self.base.term, |entry| entry.term)
    }

    /// Returns the term of the entry at `index`, if that is kept.
    pub(crate) fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.term)
    }

    fn get(&self, index: Index) -> Option<&Entry> {
        let position = index.checked_sub(self.base.index + 1)?;
        self.entries.get(position as usize)
    }

    /// Returns the entries from `from` on, beginning with the first one kept if that is later.
    pub(crate) fn entries_from(&self, from: Index) -> impl Iterator<Item = &Entry> {
        let position = from.saturating_sub(self.base.index + 1);
        self.entries.iter().skip(position as usize)
    }

    /// Returns as many entries from `from` on as fit into one message, at least one.
    pub(crate) fn batch_from(&self, from: Index) -> Vec<Entry> {
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            bytes += entry.size();
            bytes == entry.size() || bytes <= CHUNK_BYTES
        };
        self.entries_from(from).take_while(fits).cloned().collect()
    }

    /// Appends an entry.
    ///
    /// # Panics
    ///
    /// If it does not follow the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        assert_eq!(
            entry.index,
            self.last_index() + 1,
            "entries follow one another"
        );
        self.entries.push_back(entry);
    }

    /// Drops the entries from `from` on.
    pub(crate) fn truncate_from(&mut self, from: Index) {
        while self.last_index() >= from && self.last_index() > self.base.index {
            self.entries.pop_back();
        }
    }

    /// Drops the entries up to `to`.
    fn drop_to(&mut self, to: Index) {
        while self.entries.front().is_some_and(|entry| entry.index <= to) {
            self.entries.pop_front();
        }
    }

    /// Returns the entry before the run of entries that have the same term as the one at `index`. When the entry at `index`
    /// conflicts with the leader's, all of that run may (Raft, end of section 5.3).
    pub(crate) fn index_before_term_of(&self, index: Index) -> Index {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base.index + 1 && self.term_at(first - 1) == term {
            first -= 1;
        }
        first.saturating_sub(1).max(self.base.index)
    }

    /// Replaces the log up to `index` by a snapshot. A tail of entries before it stays for followers that are a little behind.
    pub(crate) fn compact(
        &mut self,
        index: Index,
        applied: Index,
        voters: VoterSet,
        state: Vec<u8>,
    ) {
        let term = self
            .term_at(index)
            .expect("applied entries after the snapshot are kept");
        self.snapshot = Some(Arc::new(Snapshot {
            index,
            term,
            voters,
            state,
        }));
        let mut tail_bytes = 0;
        let mut tail = 0;
        while tail < TAIL_ENTRIES && tail_bytes < TAIL_BYTES && index - tail > self.base.index {
            tail_bytes += self.get(index - tail).map_or(0, Entry::size);
            tail += 1;
        }
        let base = index - tail;
        let base_term = self.term_at(base).expect("kept until now");
        self.drop_to(base);
        self.base = EntryId {
            index: base,
            term: base_term,
        };
        let applied_since = self
            .entries_from(index + 1)
            .take_while(|entry| entry.index <= applied);
        self.compactable_bytes = applied_since.map(Entry::size).sum();
    }

    /// Takes over another node's snapshot. Returns whether the entries after it stay, which they do if the log agrees with
    /// the snapshot; otherwise all entries go.
    pub(crate) fn install(&mut self, snapshot: Snapshot) -> bool {
        let agrees = self.term_at(snapshot.index) == Some(snapshot.term);
        self.drop_to(if agrees { snapshot.index } else { Index::MAX });
        self.base = EntryId {
            index: snapshot.index,
            term: snapshot.term,
        };
        self.snapshot = Some(Arc::new(snapshot));
        self.compactable_bytes = 0;
        agrees
    }

    /// Returns the next complete command after `applied` and its last entry. Moves `applied` past it, and past all entries
    /// that are no command.
    pub(crate) fn next_command(
        &mut self,
        applied: &mut Index,
        commit: Index,
    ) -> Option<(Index, Vec<u8>)> {
        let mut chunks: Vec<&[u8]> = Vec::new();
        let mut term = 0;
        let mut seen_bytes = 0;
        let mut passed_bytes = 0;
        let mut found = None;
        for entry in self
            .entries_from(*applied + 1)
            .take_while(|entry| entry.index <= commit)
        {
            if entry.term != term {
                chunks.clear();
            }
            term = entry.term;
            seen_bytes += entry.size();
            match &entry.payload {
                Payload::Command { more: true, bytes } => {
                    chunks.push(bytes);
                    continue;
                }
                Payload::Command { more: false, bytes } => {
                    chunks.push(bytes);
                    found = Some((entry.index, chunks.concat()));
                }
                Payload::Noop | Payload::Voters(_) | Payload::LeaveJoint => chunks.clear(),
            }
            *applied = entry.index;
            passed_bytes = seen_bytes;
            if found.is_some() {
                break;
            }
        }
        self.compactable_bytes += passed_bytes;
        found
    }

    /// Whether a compaction would pay. Only what it would drop counts: entries that are not committed yet make the log long,
    /// but a compaction would not shorten it.
    pub(crate) fn should_compact(&self, applied: Index) -> bool {
        let state_bytes = self
            .snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.state.len());
        applied - self.snapshot_index() > COMPACT_AFTER_ENTRIES
            || self.compactable_bytes > COMPACT_AFTER_BYTES.max(2 * state_bytes)
    }
}
