//! What a sorting machine keeps on disk: the term and vote, the log and the snapshot of its part in the agreement.
//!
//! One redb file. A batch is written as one transaction, on disk when [`Granary::write`] returns. A write that the disk
//! refuses changes nothing, and the store can be used again. Every value carries a checksum over itself and its key, and
//! the store the number of its form; a store that doesn't add up is reported as [`Error::Corrupt`], one that a newer
//! release wrote as [`Error::Newer`]. Nothing in a corrupt store is believed, least of all its votes: only the caller can
//! decide to begin anew ([`set_aside`]), since a machine that forgets its votes must say so. One gap stays: if the file
//! was not closed in order *and* bits of the last write flipped, redb takes the write before it for the last one. A second
//! sync for each write would close it; disks here lose what was not synced, but don't flip what was.
//!
//! Files by concern: here what is written and read, `shelf` the folder's names and when they last.

use magpieline_raft::{Batch, Entry, Hard, Members, Snapshot, Stored};
use redb::{Builder, Database, Durability, ReadableTable, TableDefinition, TableError};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::fs::{self, File};
use std::io;
use std::path::Path;
use std::sync::Arc;

mod directory;

pub use directory::{is_aside, set_aside, Folder, Shelf, ASIDE, FILE};

/// For pages: the store is read once, at the start, and written little by little.
const CACHE: usize = 2 << 20;
/// Bytes of the snapshot in one value: redb copies a page run for each, and a run this long is easy to place.
const PIECE: usize = 64 << 10;

/// The hard state and the snapshot's head.
const HEADS: TableDefinition<u8, &[u8]> = TableDefinition::new("heads");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const STATE: TableDefinition<u64, &[u8]> = TableDefinition::new("state");
/// The number of the form in which all else is stored; four bytes, the least significant first. The first release wrote
/// none, and read only the heads that it knew.
const FORMAT: u8 = 0;
const HARD: u8 = 1;
const SNAPSHOT: u8 = 2;
/// The form that is written. What the first release wrote (1) is its beginning: new kinds of entries have been added.
const WRITTEN: u32 = 2;
const FIRST: u32 = 1;

/// Why the store can't be had, or a batch was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The disk has no room.
    Full,
    /// The disk refused for another reason.
    Io(io::ErrorKind),
    /// What is stored does not add up.
    Corrupt(Flaw),
    /// A newer release wrote it, in the form of this number; the highest known here is the second.
    Newer { found: u32, expected: u32 },
    /// Another process has it open.
    InUse,
}

/// What to do about a store that can't be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remedy {
    /// Try again: a disk may have room later, or let go.
    Wait,
    /// Nothing in it is believed. The machine goes on as one that has lost its disk: [`set_aside`], then a new life.
    SetAside,
    /// It is sound, and this release can't read it: it is left as it is, and the machine takes no part.
    Halt,
}

/// What does not add up in a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Flaw {
    /// The table or file.
    pub place: &'static str,
    /// Which of its values; 0 where that says nothing.
    pub key: u64,
    pub found: &'static str,
    pub expected: &'static str,
}

impl Flaw {
    const fn of(
        place: &'static str,
        key: u64,
        found: &'static str,
        expected: &'static str,
    ) -> Flaw {
        Flaw {
            place,
            key,
            found,
            expected,
        }
    }
}

const PAGES: Flaw = Flaw::of(FILE, 0, "pages that don't add up", "what redb wrote");
const LENGTH: Flaw = Flaw::of(FILE, 0, "a file cut short", "its whole length");

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Full => write!(f, "the disk has no room"),
            Error::Io(kind) => write!(f, "the disk refused: {kind}"),
            Error::Corrupt(Flaw {
                place,
                key,
                found,
                expected,
            }) => {
                write!(f, "{place} {key}: found {found}, expected {expected}")
            }
            Error::Newer { found, expected } => {
                write!(
                    f,
                    "{FILE}: found format {found}, expected at most {expected}"
                )
            }
            Error::InUse => write!(f, "another process has it open"),
        }
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        match error.kind() {
            io::ErrorKind::StorageFull
            | io::ErrorKind::QuotaExceeded
            | io::ErrorKind::FileTooLarge => Error::Full,
            io::ErrorKind::InvalidData => Error::Corrupt(PAGES),
            io::ErrorKind::UnexpectedEof => Error::Corrupt(LENGTH),
            kind => Error::Io(kind),
        }
    }
}

impl Error {
    /// Ending the process is none of them: it would be started again, and end again.
    pub fn remedy(&self) -> Remedy {
        match self {
            Error::Full | Error::Io(_) | Error::InUse => Remedy::Wait,
            Error::Corrupt(_) => Remedy::SetAside,
            Error::Newer { .. } => Remedy::Halt,
        }
    }

    /// Of an error of redb.
    pub fn of(error: impl Into<redb::Error>) -> Error {
        match error.into() {
            redb::Error::Io(error) => error.into(),
            redb::Error::DatabaseAlreadyOpen => Error::InUse,
            redb::Error::PreviousIo => Error::Io(io::ErrorKind::Other),
            _ => Error::Corrupt(PAGES),
        }
    }
}

/// The snapshot's head; the state's bytes stand apart, in pieces.
#[derive(Serialize, Deserialize)]
struct Head {
    index: u64,
    term: u64,
    members: Members,
    length: u64,
}

/// How a database is opened, again after a refused write.
pub type Opener = Box<dyn FnMut() -> Result<Database, Error> + Send>;

/// An open store.
pub struct Granary {
    opener: Opener,
    /// None after a refused write, until the next one.
    database: Option<Database>,
}

impl Granary {
    /// The store in `dir`, which has to be there; made empty if there is none yet.
    pub fn open(dir: &Path) -> Result<Granary, Error> {
        Granary::open_on(Folder::at(dir))
    }

    /// The store on a shelf, such as a simulated one. Its name lasts when this returns: a process that was killed between
    /// making the store and syncing the folder has left that to the next one.
    pub fn open_on(shelf: impl Shelf + Send + 'static) -> Result<Granary, Error> {
        if shelf.has(FILE)? {
            shelf.sync()?;
        } else {
            directory::create(&shelf)?;
        }
        Granary::open_with(Box::new(move || opened(|| shelf.open(FILE))))
    }

    /// A store on whatever `opener` gives, such as a simulated disk.
    pub fn open_with(mut opener: Opener) -> Result<Granary, Error> {
        let database = Some(opener()?);
        Ok(Granary { opener, database })
    }

    /// Everything stored.
    pub fn load(&mut self) -> Result<Stored, Error> {
        guarded(|| read(self.database()?))
    }

    /// Writes the batch: when this returns Ok it is on disk; else nothing of it counts (it may have been written all the
    /// same if the disk failed at the last moment, but never a part of it).
    pub fn write(&mut self, batch: &Batch) -> Result<(), Error> {
        let written = guarded(|| self.database().and_then(|database| write(database, batch)));
        if written.is_err() {
            // After an error of the disk redb refuses everything until the file is opened anew.
            self.close();
        }
        written
    }

    /// redb writes when it closes a file.
    fn close(&mut self) {
        let database = self.database.take();
        let _ = guarded(|| {
            drop(database);
            Ok(())
        });
    }

    fn database(&mut self) -> Result<&Database, Error> {
        let database = match self.database.take() {
            Some(database) => database,
            None => (self.opener)()?,
        };
        Ok(self.database.insert(database))
    }
}

impl Drop for Granary {
    fn drop(&mut self) {
        self.close();
    }
}

/// What [`inspect`] finds.
#[derive(Clone, Debug, PartialEq)]
pub struct Inspection {
    pub stored: Stored,
    /// The store's length on disk.
    pub file_bytes: u64,
}

/// Reads the store in `dir` without touching it, while its owner runs or not; None if there is none. A store that is
/// being written just then may look corrupt: try again.
pub fn inspect(dir: &Path) -> Result<Option<Inspection>, Error> {
    let bytes = match fs::read(dir.join(FILE)) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        bytes => bytes?,
    };
    let file_bytes = bytes.len() as u64;
    // redb repairs a file that was not closed in order by writing to it: it gets a copy.
    let copy = redb::backends::InMemoryBackend::new();
    redb::StorageBackend::set_len(&copy, file_bytes)?;
    redb::StorageBackend::write(&copy, 0, &bytes)?;
    let database = opened(|| builder().create_with_backend(copy))?;
    let stored = guarded(|| read(&database));
    let _ = guarded(|| {
        drop(database);
        Ok(())
    });
    Ok(Some(Inspection {
        stored: stored?,
        file_bytes,
    }))
}

/// Whether a process has the store in `dir` open. The lock that tells is let go at once.
pub fn is_in_use(dir: &Path) -> Result<bool, Error> {
    match File::open(dir.join(FILE))?.try_lock_shared() {
        Ok(()) => Ok(false),
        Err(fs::TryLockError::WouldBlock) => Ok(true),
        Err(fs::TryLockError::Error(error)) => Err(error.into()),
    }
}

/// What stores are opened with, for those that bring their own disk.
pub fn builder() -> Builder {
    let mut builder = Builder::new();
    builder.set_cache_size(CACHE);
    builder
}

fn opened(open: impl FnOnce() -> Result<Database, redb::DatabaseError>) -> Result<Database, Error> {
    guarded(|| open().map_err(Error::of))
}

/// redb panics on some files that it did not write: when it opens, reads, writes or closes them. That is a corrupt store,
/// not an end.
fn guarded<T>(with_redb: impl FnOnce() -> Result<T, Error>) -> Result<T, Error> {
    let done = std::panic::catch_unwind(std::panic::AssertUnwindSafe(with_redb));
    done.unwrap_or(Err(Error::Corrupt(PAGES)))
}

fn write(database: &Database, batch: &Batch) -> Result<(), Error> {
    let mut transaction = database.begin_write().map_err(Error::of)?;
    transaction.set_durability(Durability::Immediate);
    {
        let mut heads = transaction.open_table(HEADS).map_err(Error::of)?;
        if heads.get(FORMAT).map_err(Error::of)?.is_none() {
            let number = with_sum(u64::from(FORMAT), WRITTEN.to_le_bytes().to_vec());
            heads.insert(FORMAT, &number[..]).map_err(Error::of)?;
        }
        heads
            .insert(HARD, &seal(u64::from(HARD), &batch.hard)[..])
            .map_err(Error::of)?;
        if let Some(snapshot) = &batch.snapshot {
            let (index, term, length) =
                (snapshot.index, snapshot.term, snapshot.state.len() as u64);
            let head = Head {
                index,
                term,
                members: snapshot.members.clone(),
                length,
            };
            heads
                .insert(SNAPSHOT, &seal(u64::from(SNAPSHOT), &head)[..])
                .map_err(Error::of)?;
            let mut state = transaction.open_table(STATE).map_err(Error::of)?;
            let mut pieces = 0;
            for piece in snapshot.state.chunks(PIECE) {
                state
                    .insert(pieces, &with_sum(pieces, piece.to_vec())[..])
                    .map_err(Error::of)?;
                pieces += 1;
            }
            state.retain_in(pieces.., |_, _| false).map_err(Error::of)?;
        }
        let mut log = transaction.open_table(LOG).map_err(Error::of)?;
        log.retain_in(..=batch.drop_to, |_, _| false)
            .map_err(Error::of)?;
        log.retain_in(batch.cut_from.., |_, _| false)
            .map_err(Error::of)?;
        for entry in &batch.entries {
            log.insert(entry.index, &seal(entry.index, entry)[..])
                .map_err(Error::of)?;
        }
    }
    transaction.commit().map_err(Error::of)?;
    Ok(())
}

fn read(database: &Database) -> Result<Stored, Error> {
    let transaction = database.begin_read().map_err(Error::of)?;
    // A store that was never written has no tables.
    let heads = match transaction.open_table(HEADS) {
        Err(TableError::TableDoesNotExist(_)) => return Ok(Stored::default()),
        heads => heads.map_err(Error::of)?,
    };
    let head = |key: u8| heads.get(key).map_err(Error::of);
    let format = match head(FORMAT)? {
        None => FIRST,
        Some(value) => {
            let number = without_sum("heads", u64::from(FORMAT), value.value())?;
            let flaw = Flaw::of("heads", u64::from(FORMAT), "no number", "the form's number");
            u32::from_le_bytes(number.try_into().map_err(|_| Error::Corrupt(flaw))?)
        }
    };
    if format > WRITTEN {
        return Err(Error::Newer {
            found: format,
            expected: WRITTEN,
        });
    }
    let log = transaction.open_table(LOG).map_err(Error::of)?;
    let hard = head(HARD)?
        .map(|value| unseal::<Hard>("heads", u64::from(HARD), value.value()))
        .transpose()?;
    let mut snapshot = None;
    if let Some(value) = head(SNAPSHOT)? {
        let head: Head = unseal("heads", u64::from(SNAPSHOT), value.value())?;
        let pieces = transaction.open_table(STATE).map_err(Error::of)?;
        let mut state = Vec::new();
        for piece in pieces.iter().map_err(Error::of)? {
            let (key, value) = piece.map_err(Error::of)?;
            state.extend_from_slice(without_sum("state", key.value(), value.value())?);
        }
        if state.len() as u64 != head.length {
            let flaw = Flaw::of(
                "state",
                state.len() as u64,
                "another length",
                "the snapshot's",
            );
            return Err(Error::Corrupt(flaw));
        }
        snapshot = Some(Arc::new(Snapshot {
            index: head.index,
            term: head.term,
            members: head.members,
            state,
        }));
    }
    let mut entries: Vec<Entry> = Vec::new();
    for row in log.iter().map_err(Error::of)? {
        let (key, value) = row.map_err(Error::of)?;
        entries.push(unseal("log", key.value(), value.value())?);
    }
    let stored = Stored {
        hard,
        snapshot,
        entries,
    };
    check_whole(&stored)?;
    Ok(stored)
}

/// No gap in the log, none between snapshot and log, and a hard state if there is anything.
fn check_whole(stored: &Stored) -> Result<(), Error> {
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
    let flaw = if let Some((_, index)) = gap {
        Flaw::of("log", index, "a gap", "an entry after the other")
    } else if first > covered + 1 {
        Flaw::of(
            "log",
            first,
            "a gap before it",
            "one that follows the snapshot",
        )
    } else if last < covered {
        Flaw::of("log", last, "its end", "one not before the snapshot's")
    } else if stored.hard.is_none() && last > 0 {
        Flaw::of("heads", u64::from(HARD), "nothing", "term and vote")
    } else {
        return Ok(());
    };
    Err(Error::Corrupt(flaw))
}

fn seal(key: u64, value: &impl Serialize) -> Vec<u8> {
    with_sum(
        key,
        postcard::to_stdvec(value).expect("plain values can be written"),
    )
}

fn unseal<T: DeserializeOwned>(place: &'static str, key: u64, bytes: &[u8]) -> Result<T, Error> {
    match postcard::take_from_bytes(without_sum(place, key, bytes)?) {
        Ok((value, [])) => Ok(value),
        Ok(_) => Err(Error::Corrupt(Flaw::of(
            place,
            key,
            "bytes after the value's end",
            "its end",
        ))),
        Err(_) => Err(Error::Corrupt(Flaw::of(
            place,
            key,
            "bytes that are no value of its kind",
            "one",
        ))),
    }
}

/// The checksum stands last. It covers the key, so that a value in another's place is found out.
fn with_sum(key: u64, mut bytes: Vec<u8>) -> Vec<u8> {
    let sum = sum(key, &bytes);
    bytes.extend_from_slice(&sum);
    bytes
}

fn without_sum<'a>(place: &'static str, key: u64, bytes: &'a [u8]) -> Result<&'a [u8], Error> {
    match bytes.split_last_chunk::<4>() {
        Some((value, last)) if *last == sum(key, value) => Ok(value),
        _ => Err(Error::Corrupt(Flaw::of(
            place,
            key,
            "another checksum",
            "the value's",
        ))),
    }
}

fn sum(key: u64, bytes: &[u8]) -> [u8; 4] {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&key.to_le_bytes());
    hasher.update(bytes);
    hasher.finalize().to_le_bytes()
}
