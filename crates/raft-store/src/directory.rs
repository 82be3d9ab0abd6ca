//! The folder that the store lies in: names, and when they last.
//!
//! A name that is made, changed or removed lasts only once its folder is synced; until then a loss of power may keep or
//! lose each change by itself. So a store is whole and synced before it gets its name, and nothing is told to others
//! before the folder is synced.

use crate::{builder, opened, Error};
use redb::{Database, DatabaseError};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

/// The store.
pub const FILE: &str = "store.redb";
/// A store that could not be read, kept for whoever wants to know why. The newest one only: a disk has room for few.
pub const ASIDE: &str = "store.aside";
/// A new store is made under this name and renamed once it is whole: a half-made one is never taken for a store.
const NEW_FILE: &str = "store.new";

/// Files by name.
pub trait Shelf {
    fn has(&self, name: &str) -> io::Result<bool>;
    fn open(&self, name: &str) -> Result<Database, DatabaseError>;
    /// An empty store, its bytes on disk; its name may not be.
    fn create(&self, name: &str) -> Result<(), Error>;
    /// In place of what `to` was.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;
    /// Nothing happens if it isn't there.
    fn remove(&self, name: &str) -> io::Result<()>;
    /// All names last as they are now.
    fn sync(&self) -> io::Result<()>;
}

/// A folder of the machine.
pub struct Folder(PathBuf);

impl Folder {
    /// The folder has to be there.
    pub fn at(dir: &Path) -> Folder {
        Folder(dir.to_owned())
    }
}

impl Shelf for Folder {
    fn has(&self, name: &str) -> io::Result<bool> {
        self.0.join(name).try_exists()
    }

    fn open(&self, name: &str) -> Result<Database, DatabaseError> {
        builder().open(self.0.join(name))
    }

    fn create(&self, name: &str) -> Result<(), Error> {
        let path = self.0.join(name);
        drop(opened(|| builder().create(&path))?);
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

/// Makes an empty store; its name lasts when this returns.
pub(crate) fn create(shelf: &impl Shelf) -> Result<(), Error> {
    shelf.remove(NEW_FILE)?;
    shelf.create(NEW_FILE)?;
    shelf.rename(NEW_FILE, FILE)?;
    Ok(shelf.sync()?)
}

/// Puts the store out of the way, under the name of [`ASIDE`]: the explicit decision to go on as a machine that has lost
/// its disk. When this returns the store can't come back by a loss of power, so that its votes and promises, which the
/// machine is about to forget, are not made a second time.
pub fn set_aside(shelf: &impl Shelf) -> Result<(), Error> {
    if shelf.has(FILE)? {
        shelf.rename(FILE, ASIDE)?;
    }
    Ok(shelf.sync()?)
}

/// Whether a store was set aside here: this folder is not the first of its machine, whatever the settings say.
pub fn is_aside(shelf: &impl Shelf) -> Result<bool, Error> {
    Ok(shelf.has(ASIDE)?)
}
