//! Why a store can't be had, or a batch was not written, and what to do about it.

use std::fmt;
use std::io;

/// Why the store can't be had, or a batch was not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The disk has no room.
    DiskFull,
    /// The disk refused for another reason.
    Io(io::ErrorKind),
    /// What is stored does not add up.
    Corrupt(Corruption),
    /// A newer release wrote the store.
    NewerFormat {
        /// The number of the format that it is in.
        found: u32,
        /// The newest format that this release reads.
        expected: u32,
    },
    /// Another process has it open.
    InUse,
}

/// What to do about a store that can't be had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remedy {
    /// Try again: a disk may have room later, and a process may close the store.
    Retry,
    /// Nothing in it is believed. The node goes on as one that has lost its disk: [`crate::quarantine`], then a new
    /// incarnation.
    Quarantine,
    /// It is sound, and this release can't read it: it is left as it is, and the node takes no part.
    Halt,
}

/// What does not add up in a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Corruption {
    /// The table or file.
    pub location: &'static str,
    /// Which of its values; 0 where that says nothing.
    pub key: u64,
    /// What stands there.
    pub found: &'static str,
    /// What should.
    pub expected: &'static str,
}

impl Corruption {
    pub(crate) const fn new(
        location: &'static str,
        key: u64,
        found: &'static str,
        expected: &'static str,
    ) -> Corruption {
        Corruption {
            location,
            key,
            found,
            expected,
        }
    }
}

/// redb's own structure is damaged.
pub(crate) const BAD_PAGES: Corruption = Corruption::new(
    crate::STORE_FILE,
    0,
    "pages that don't add up",
    "what redb wrote",
);
const BAD_LENGTH: Corruption =
    Corruption::new(crate::STORE_FILE, 0, "a truncated file", "its full length");

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::DiskFull => write!(f, "the disk has no room"),
            StoreError::Io(kind) => write!(f, "the disk refused: {kind}"),
            StoreError::Corrupt(Corruption {
                location,
                key,
                found,
                expected,
            }) => {
                write!(f, "{location} {key}: found {found}, expected {expected}")
            }
            StoreError::NewerFormat { found, expected } => {
                write!(
                    f,
                    "{}: found format {found}, expected at most {expected}",
                    crate::STORE_FILE
                )
            }
            StoreError::InUse => write!(f, "another process has it open"),
        }
    }
}

impl std::error::Error for StoreError {}

impl From<io::Error> for StoreError {
    fn from(error: io::Error) -> StoreError {
        use io::ErrorKind::{FileTooLarge, InvalidData, QuotaExceeded, StorageFull, UnexpectedEof};
        match error.kind() {
            StorageFull | QuotaExceeded | FileTooLarge => StoreError::DiskFull,
            InvalidData => StoreError::Corrupt(BAD_PAGES),
            UnexpectedEof => StoreError::Corrupt(BAD_LENGTH),
            kind => StoreError::Io(kind),
        }
    }
}

impl StoreError {
    /// Returns what to do about it. To end the process is no remedy: it would be started again on the same store.
    pub fn remedy(&self) -> Remedy {
        match self {
            StoreError::DiskFull | StoreError::Io(_) | StoreError::InUse => Remedy::Retry,
            StoreError::Corrupt(_) => Remedy::Quarantine,
            StoreError::NewerFormat { .. } => Remedy::Halt,
        }
    }

    /// Converts an error of redb, for directories of the caller's own.
    pub fn from_redb(error: impl Into<redb::Error>) -> StoreError {
        match error.into() {
            redb::Error::Io(error) => error.into(),
            redb::Error::DatabaseAlreadyOpen => StoreError::InUse,
            redb::Error::PreviousIo => StoreError::Io(io::ErrorKind::Other),
            _ => StoreError::Corrupt(BAD_PAGES),
        }
    }
}
