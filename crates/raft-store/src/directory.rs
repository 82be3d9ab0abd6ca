//! The directory that the store lies in: names, and when they are durable.
//!
//! A name that is created, changed or removed is durable only once its directory is synced; until then a loss of power may
//! keep or lose each change by itself. So a store is complete and synced before it gets its name, and nothing is acknowledged
//! before the directory is synced.

use crate::database::{builder, open_database};
use crate::error::StoreError;
use redb::{Database, DatabaseError};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

/// The store's file.
pub const STORE_FILE: &str = "store.redb";
/// A store that could not be read, kept for whoever wants to know why. The newest one only: a disk has room for few.
pub const QUARANTINE_FILE: &str = "store.aside";
/// A new store is created under this name and renamed once it is complete: a partial one is never taken for a store.
const NEW_FILE: &str = "store.new";

/// Files by name.
pub trait Directory {
    /// Whether there is a file of this name.
    ///
    /// # Errors
    ///
    /// If the directory can't be read.
    fn contains(&self, name: &str) -> io::Result<bool>;
    /// Opens a database.
    ///
    /// # Errors
    ///
    /// If it can't be opened.
    fn open(&self, name: &str) -> Result<Database, DatabaseError>;
    /// Creates an empty store, with its bytes on disk; its name may not be.
    ///
    /// # Errors
    ///
    /// If the disk refuses.
    fn create(&self, name: &str) -> Result<(), StoreError>;
    /// Renames a file, in place of what `to` was.
    ///
    /// # Errors
    ///
    /// If the disk refuses.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file; nothing happens if it isn't there.
    ///
    /// # Errors
    ///
    /// If the disk refuses.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// Makes all names durable as they are now.
    ///
    /// # Errors
    ///
    /// If the disk refuses.
    fn sync(&self) -> io::Result<()>;
}

/// A directory of the machine.
pub struct DiskDirectory(PathBuf);

impl DiskDirectory {
    /// The directory has to exist.
    pub fn at(path: &Path) -> DiskDirectory {
        DiskDirectory(path.to_owned())
    }
}

impl Directory for DiskDirectory {
    fn contains(&self, name: &str) -> io::Result<bool> {
        self.0.join(name).try_exists()
    }

    fn open(&self, name: &str) -> Result<Database, DatabaseError> {
        builder().open(self.0.join(name))
    }

    fn create(&self, name: &str) -> Result<(), StoreError> {
        let path = self.0.join(name);
        drop(open_database(|| builder().create(&path))?);
        Ok(File::open(&path)?.sync_all()?)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.0.join(from), self.0.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        match fs::remove_file(self.0.join(name)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    fn sync(&self) -> io::Result<()> {
        File::open(&self.0)?.sync_all()
    }
}

/// Creates an empty store; its name is durable when this returns.
pub(crate) fn create_store(directory: &impl Directory) -> Result<(), StoreError> {
    directory.remove(NEW_FILE)?;
    directory.create(NEW_FILE)?;
    directory.rename(NEW_FILE, STORE_FILE)?;
    Ok(directory.sync()?)
}

/// Moves the store out of the way, to [`QUARANTINE_FILE`]: the explicit decision to go on as a node that has lost its disk.
///
/// When this returns, no loss of power brings the store back, so that its votes and promises, which the node is about to
/// forget, are not made a second time.
///
/// # Errors
///
/// If the disk refuses; the store may be at either name then.
pub fn quarantine(directory: &impl Directory) -> Result<(), StoreError> {
    if directory.contains(STORE_FILE)? {
        directory.rename(STORE_FILE, QUARANTINE_FILE)?;
    }
    Ok(directory.sync()?)
}

/// Whether a store was quarantined here: then this is not the first start of the node, whatever its settings say.
///
/// # Errors
///
/// If the directory can't be read.
pub fn is_quarantined(directory: &impl Directory) -> Result<bool, StoreError> {
    Ok(directory.contains(QUARANTINE_FILE)?)
}
