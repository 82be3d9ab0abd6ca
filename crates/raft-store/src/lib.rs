//! The store of a controller: the term and vote, the log and the snapshot of its [`magpieline_raft::RaftNode`], in one redb
//! file.
//!
//! A batch is written as one transaction, and is on disk when [`Store::write`] returns. A write that the disk refuses changes
//! nothing, and the store can be used again. Every value carries a checksum over itself and its key, and the store the number
//! of its format. A store that does not add up is reported as [`StoreError::Corrupt`], one that a newer release wrote as
//! [`StoreError::NewerFormat`]. Nothing in a corrupt store is believed, least of all its votes: only the caller can decide to
//! begin with an empty one ([`quarantine`]), since a node that forgets its votes must come back as a new incarnation.
//!
//! One gap stays: if the file was not closed in order *and* bits of the last write flipped, redb takes the write before it for
//! the last one. A second sync for each write would close it; the disks that this is built for lose what was not synced, but
//! do not flip what was.
//!
//! ```
//! use magpieline_raft_store::Store;
//!
//! # let dir = std::env::temp_dir().join(format!("raft-store-doc-{}", std::process::id()));
//! # std::fs::create_dir_all(&dir).unwrap();
//! let mut store = Store::open(&dir)?;
//! assert!(store.load()?.hard_state.is_none(), "a new store is empty");
//! # drop(store);
//! # std::fs::remove_dir_all(&dir).unwrap();
//! # Ok::<(), magpieline_raft_store::StoreError>(())
//! ```

#![warn(missing_docs, unreachable_pub)]

mod database;
mod directory;
mod error;
mod record;
mod store;

pub use database::builder;
pub use directory::{
    is_quarantined, quarantine, Directory, DiskDirectory, QUARANTINE_FILE, STORE_FILE,
};
pub use error::{Corruption, Remedy, StoreError};
pub use store::{inspect, is_in_use, Inspection, Opener, Store};
