//! The store: opened, loaded, written, and inspected from outside.

use crate::database::{builder, catch_panic, close_database, open_database, read_all, write_batch};
use crate::directory::{self, Directory, DiskDirectory, STORE_FILE};
use crate::error::StoreError;
use magpieline_raft::{PersistentState, WriteBatch};
use redb::Database;
use std::fs::{self, File};
use std::io;
use std::path::Path;

/// How a database is opened, and opened again after a refused write.
pub type Opener = Box<dyn FnMut() -> Result<Database, StoreError> + Send>;

/// An open store.
pub struct Store {
    opener: Opener,
    /// None after a refused write, until the next call.
    database: Option<Database>,
}

impl Store {
    /// Opens the store in the directory `path`, which has to exist; creates an empty one if there is none yet.
    ///
    /// # Errors
    ///
    /// [`StoreError::remedy`] says what to do.
    pub fn open(path: &Path) -> Result<Store, StoreError> {
        Store::open_in(DiskDirectory::at(path))
    }

    /// Opens the store in a directory, such as a simulated one. The store's name is durable when this returns: a process that
    /// was killed between creating the store and syncing the directory has left that to the next one.
    ///
    /// # Errors
    ///
    /// As [`Store::open`].
    pub fn open_in(directory: impl Directory + Send + 'static) -> Result<Store, StoreError> {
        if directory.contains(STORE_FILE)? {
            directory.sync()?;
        } else {
            directory::create_store(&directory)?;
        }
        let open = move || open_database(|| directory.open(STORE_FILE));
        Store::open_with(Box::new(open))
    }

    /// Opens a store on whatever `opener` returns, such as a simulated disk.
    ///
    /// # Errors
    ///
    /// The opener's.
    pub fn open_with(mut opener: Opener) -> Result<Store, StoreError> {
        let database = Some(opener()?);
        Ok(Store { opener, database })
    }

    /// Returns everything stored.
    ///
    /// # Errors
    ///
    /// If it can't be read, or does not add up.
    pub fn load(&mut self) -> Result<PersistentState, StoreError> {
        catch_panic(|| read_all(self.database()?))
    }

    /// Writes the batch; it is on disk when this returns.
    ///
    /// # Errors
    ///
    /// Nothing of the batch counts then. It may have been written all the same if the disk failed at the last moment, but
    /// never a part of it.
    pub fn write(&mut self, batch: &WriteBatch) -> Result<(), StoreError> {
        let written = catch_panic(|| {
            self.database()
                .and_then(|database| write_batch(database, batch))
        });
        if written.is_err() {
            // After an error of the disk redb refuses everything until the file is opened again.
            close_database(self.database.take());
        }
        written
    }

    fn database(&mut self) -> Result<&Database, StoreError> {
        let database = match self.database.take() {
            Some(database) => database,
            None => (self.opener)()?,
        };
        Ok(self.database.insert(database))
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        close_database(self.database.take());
    }
}

/// What [`inspect`] finds.
#[derive(Clone, Debug, PartialEq)]
pub struct Inspection {
    /// Everything stored.
    pub stored: PersistentState,
    /// The store's length on disk.
    pub file_bytes: u64,
}

/// Reads the store in the directory `path` without touching it, while its owner runs or not. None if there is none.
///
/// # Errors
///
/// If it can't be read, or does not add up. A store that is being written just then may look corrupt: try again.
pub fn inspect(path: &Path) -> Result<Option<Inspection>, StoreError> {
    let bytes = match fs::read(path.join(STORE_FILE)) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        bytes => bytes?,
    };
    let file_bytes = bytes.len() as u64;
    // redb repairs a file that was not closed in order by writing to it: it gets a copy.
    let copy = redb::backends::InMemoryBackend::new();
    redb::StorageBackend::set_len(&copy, file_bytes)?;
    redb::StorageBackend::write(&copy, 0, &bytes)?;
    let database = open_database(|| builder().create_with_backend(copy))?;
    let stored = catch_panic(|| read_all(&database));
    close_database(Some(database));
    Ok(Some(Inspection {
        stored: stored?,
        file_bytes,
    }))
}

/// Whether a process has the store in the directory `path` open. The lock that tells is released at once.
///
/// # Errors
///
/// If the file can't be opened.
pub fn is_in_use(path: &Path) -> Result<bool, StoreError> {
    match File::open(path.join(STORE_FILE))?.try_lock_shared() {
        Ok(()) => Ok(false),
        Err(fs::TryLockError::WouldBlock) => Ok(true),
        Err(fs::TryLockError::Error(error)) => Err(error.into()),
    }
}
