//! The tables of the redb file: how a batch is written to them, and all of them are read.

use crate::error::{Corruption, StoreError, BAD_PAGES};
use crate::record::{decode, encode, with_checksum, without_checksum};
use magpieline_raft::{Entry, HardState, PersistentState, Snapshot, VoterSet, WriteBatch};
use redb::{
    Builder, Database, Durability, ReadTransaction, ReadableTable, TableDefinition, TableError,
    WriteTransaction,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Bytes of pages kept in memory: the store is read once, at the start, and written little by little.
const CACHE_BYTES: usize = 2 << 20;
/// Bytes of the snapshot in one value: redb copies a run of pages for each, and a run this long is easy to place.
const CHUNK_BYTES: usize = 64 << 10;

/// The format number, the hard state, and the snapshot's header.
const HEADS: TableDefinition<u8, &[u8]> = TableDefinition::new("heads");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// The snapshot's state, in chunks.
const STATE: TableDefinition<u64, &[u8]> = TableDefinition::new("state");
/// Key of the number of the format in which all else is stored: four bytes, the least significant first. The first release
/// wrote none, and read only the other two.
const FORMAT_KEY: u8 = 0;
const HARD_STATE_KEY: u8 = 1;
const SNAPSHOT_KEY: u8 = 2;
/// The format that is written. What the first release wrote is its beginning: new kinds of entries have been added.
const CURRENT_FORMAT: u32 = 2;
const FIRST_FORMAT: u32 = 1;

/// The snapshot but for its state.
#[derive(Serialize, Deserialize)]
struct SnapshotHeader {
    index: u64,
    term: u64,
    voters: VoterSet,
    length: u64,
}

/// Returns the builder that stores are opened with, for directories of the caller's own.
pub fn builder() -> Builder {
    let mut builder = Builder::new();
    builder.set_cache_size(CACHE_BYTES);
    builder
}

/// Opens a database, with redb's errors and panics as errors.
pub(crate) fn open_database(
    open: impl FnOnce() -> Result<Database, redb::DatabaseError>,
) -> Result<Database, StoreError> {
    catch_panic(|| open().map_err(StoreError::from_redb))
}

/// Calls redb, which panics on some files that it did not write, when it opens, reads, writes or closes them. That is a
/// corrupt store, and no reason to end the process.
pub(crate) fn catch_panic<T>(
    call: impl FnOnce() -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(call));
    result.unwrap_or(Err(StoreError::Corrupt(BAD_PAGES)))
}

/// Closes a database; redb writes when it does.
pub(crate) fn close_database(database: Option<Database>) {
    let _ = catch_panic(|| {
        drop(database);
        Ok(())
    });
}

/// Writes a batch as one transaction.
pub(crate) fn write_batch(database: &Database, batch: &WriteBatch) -> Result<(), StoreError> {
    let mut transaction = database.begin_write().map_err(StoreError::from_redb)?;
    transaction.set_durability(Durability::Immediate);
    write_heads(&transaction, batch)?;
    if let Some(snapshot) = &batch.snapshot {
        write_state(&transaction, &snapshot.state)?;
    }
    write_log(&transaction, batch)?;
    transaction.commit().map_err(StoreError::from_redb)
}

fn write_heads(transaction: &WriteTransaction, batch: &WriteBatch) -> Result<(), StoreError> {
    let mut heads = transaction
        .open_table(HEADS)
        .map_err(StoreError::from_redb)?;
    if heads
        .get(FORMAT_KEY)
        .map_err(StoreError::from_redb)?
        .is_none()
    {
        let format = with_checksum(u64::from(FORMAT_KEY), CURRENT_FORMAT.to_le_bytes().to_vec());
        heads
            .insert(FORMAT_KEY, &format[..])
            .map_err(StoreError::from_redb)?;
    }
    let hard_state = encode(u64::from(HARD_STATE_KEY), &batch.hard_state);
    heads
        .insert(HARD_STATE_KEY, &hard_state[..])
        .map_err(StoreError::from_redb)?;
    if let Some(snapshot) = &batch.snapshot {
        let header = SnapshotHeader {
            index: snapshot.index,
            term: snapshot.term,
            voters: snapshot.voters.clone(),
            length: snapshot.state.len() as u64,
        };
        let header = encode(u64::from(SNAPSHOT_KEY), &header);
        heads
            .insert(SNAPSHOT_KEY, &header[..])
            .map_err(StoreError::from_redb)?;
    }
    Ok(())
}

fn write_state(transaction: &WriteTransaction, state: &[u8]) -> Result<(), StoreError> {
    let mut table = transaction
        .open_table(STATE)
        .map_err(StoreError::from_redb)?;
    let mut chunks = 0;
    for chunk in state.chunks(CHUNK_BYTES) {
        let value = with_checksum(chunks, chunk.to_vec());
        table
            .insert(chunks, &value[..])
            .map_err(StoreError::from_redb)?;
        chunks += 1;
    }
    table
        .retain_in(chunks.., |_, _| false)
        .map_err(StoreError::from_redb)
}

fn write_log(transaction: &WriteTransaction, batch: &WriteBatch) -> Result<(), StoreError> {
    let mut log = transaction.open_table(LOG).map_err(StoreError::from_redb)?;
    log.retain_in(..=batch.compact_to, |_, _| false)
        .map_err(StoreError::from_redb)?;
    log.retain_in(batch.truncate_from.., |_, _| false)
        .map_err(StoreError::from_redb)?;
    for entry in &batch.entries {
        let value = encode(entry.index, entry);
        log.insert(entry.index, &value[..])
            .map_err(StoreError::from_redb)?;
    }
    Ok(())
}

/// Reads everything stored.
pub(crate) fn read_all(database: &Database) -> Result<PersistentState, StoreError> {
    let transaction = database.begin_read().map_err(StoreError::from_redb)?;
    // A store that was never written has no tables.
    let heads = match transaction.open_table(HEADS) {
        Err(TableError::TableDoesNotExist(_)) => return Ok(PersistentState::default()),
        heads => heads.map_err(StoreError::from_redb)?,
    };
    check_format(&heads)?;
    let hard_state = match heads.get(HARD_STATE_KEY).map_err(StoreError::from_redb)? {
        Some(value) => Some(decode::<HardState>(
            "heads",
            u64::from(HARD_STATE_KEY),
            value.value(),
        )?),
        None => None,
    };
    let snapshot = match heads.get(SNAPSHOT_KEY).map_err(StoreError::from_redb)? {
        Some(value) => Some(Arc::new(read_snapshot(&transaction, value.value())?)),
        None => None,
    };
    let entries = read_log(&transaction)?;
    let stored = PersistentState {
        hard_state,
        snapshot,
        entries,
    };
    check_continuity(&stored)?;
    Ok(stored)
}

fn check_format(heads: &impl ReadableTable<u8, &'static [u8]>) -> Result<(), StoreError> {
    let found = match heads.get(FORMAT_KEY).map_err(StoreError::from_redb)? {
        None => FIRST_FORMAT,
        Some(value) => {
            let number = without_checksum("heads", u64::from(FORMAT_KEY), value.value())?;
            let no_number = Corruption::new(
                "heads",
                u64::from(FORMAT_KEY),
                "no number",
                "the format's number",
            );
            let number = number
                .try_into()
                .map_err(|_| StoreError::Corrupt(no_number))?;
            u32::from_le_bytes(number)
        }
    };
    if found > CURRENT_FORMAT {
        return Err(StoreError::NewerFormat {
            found,
            expected: CURRENT_FORMAT,
        });
    }
    Ok(())
}

fn read_snapshot(transaction: &ReadTransaction, header: &[u8]) -> Result<Snapshot, StoreError> {
    let header: SnapshotHeader = decode("heads", u64::from(SNAPSHOT_KEY), header)?;
    let chunks = transaction
        .open_table(STATE)
        .map_err(StoreError::from_redb)?;
    let mut state = Vec::new();
    for chunk in chunks.iter().map_err(StoreError::from_redb)? {
        let (key, value) = chunk.map_err(StoreError::from_redb)?;
        state.extend_from_slice(without_checksum("state", key.value(), value.value())?);
    }
    if state.len() as u64 != header.length {
        let wrong_length = Corruption::new(
            "state",
            state.len() as u64,
            "another length",
            "the snapshot's",
        );
        return Err(StoreError::Corrupt(wrong_length));
    }
    Ok(Snapshot {
        index: header.index,
        term: header.term,
        voters: header.voters,
        state,
    })
}

fn read_log(transaction: &ReadTransaction) -> Result<Vec<Entry>, StoreError> {
    let log = transaction.open_table(LOG).map_err(StoreError::from_redb)?;
    let mut entries = Vec::new();
    for row in log.iter().map_err(StoreError::from_redb)? {
        let (key, value) = row.map_err(StoreError::from_redb)?;
        entries.push(decode("log", key.value(), value.value())?);
    }
    Ok(entries)
}

/// Checks that there is no gap in the log, none between the snapshot and the log, and a hard state if there is anything.
fn check_continuity(stored: &PersistentState) -> Result<(), StoreError> {
    let covered = stored
        .snapshot
        .as_ref()
        .map_or(0, |snapshot| snapshot.index);
    let first = stored
        .entries
        .first()
        .map_or(covered + 1, |entry| entry.index);
    let last = first + stored.entries.len() as u64 - 1;
    let gap = stored
        .entries
        .iter()
        .zip(first..)
        .find(|(entry, index)| entry.index != *index);
    let corruption = if let Some((_, index)) = gap {
        Corruption::new("log", index, "a gap", "an entry after the other")
    } else if first > covered + 1 {
        Corruption::new(
            "log",
            first,
            "a gap before it",
            "one that follows the snapshot",
        )
    } else if last < covered {
        Corruption::new("log", last, "its end", "one not before the snapshot's")
    } else if stored.hard_state.is_none() && last > 0 {
        Corruption::new(
            "heads",
            u64::from(HARD_STATE_KEY),
            "nothing",
            "term and vote",
        )
    } else {
        return Ok(());
    };
    Err(StoreError::Corrupt(corruption))
}
