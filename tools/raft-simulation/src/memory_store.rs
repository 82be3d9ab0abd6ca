//! The real store on files in memory.

use magpieline_raft::{PersistentState, WriteBatch};
use magpieline_raft_store::{
    builder, quarantine, Directory, Remedy, Store, StoreError, STORE_FILE,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use redb::{Database, DatabaseError, StorageBackend};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

/// A file in memory.
#[derive(Clone, Debug, Default)]
struct MemoryFile(Arc<Mutex<Vec<u8>>>);

impl MemoryFile {
    fn with<T>(&self, use_bytes: impl FnOnce(&mut Vec<u8>) -> T) -> T {
        use_bytes(&mut self.0.lock().expect("nobody panics with it"))
    }

    fn copy(&self) -> MemoryFile {
        MemoryFile(Arc::new(Mutex::new(self.with(|bytes| bytes.clone()))))
    }
}

impl StorageBackend for MemoryFile {
    fn len(&self) -> io::Result<u64> {
        Ok(self.with(|bytes| bytes.len() as u64))
    }

    fn read(&self, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        self.with(|bytes| {
            let part = bytes.get(offset as usize..offset as usize + length);
            part.map(<[u8]>::to_vec)
                .ok_or(io::ErrorKind::UnexpectedEof.into())
        })
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.with(|bytes| bytes.resize(length as usize, 0));
        Ok(())
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, part: &[u8]) -> io::Result<()> {
        self.with(|bytes| {
            let place = bytes.get_mut(offset as usize..offset as usize + part.len());
            place
                .map(|place| place.copy_from_slice(part))
                .ok_or(io::ErrorKind::InvalidInput.into())
        })
    }
}

/// A directory in memory.
#[derive(Clone, Default)]
struct MemoryDirectory(Arc<Mutex<BTreeMap<String, MemoryFile>>>);

impl MemoryDirectory {
    fn files<T>(&self, use_files: impl FnOnce(&mut BTreeMap<String, MemoryFile>) -> T) -> T {
        use_files(&mut self.0.lock().expect("nobody panics with it"))
    }

    fn bytes(&self) -> u64 {
        self.files(|files| {
            files
                .values()
                .map(|bytes| bytes.with(|bytes| bytes.len() as u64))
                .sum()
        })
    }
}

impl Directory for MemoryDirectory {
    fn contains(&self, name: &str) -> io::Result<bool> {
        Ok(self.files(|files| files.contains_key(name)))
    }

    fn open(&self, name: &str) -> Result<Database, DatabaseError> {
        builder().create_with_backend(self.files(|files| files[name].clone()))
    }

    fn create(&self, name: &str) -> Result<(), StoreError> {
        let bytes = MemoryFile::default();
        drop(
            builder()
                .create_with_backend(bytes.clone())
                .map_err(StoreError::from_redb)?,
        );
        self.files(|files| files.insert(name.into(), bytes));
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.files(|files| {
            let bytes = files.remove(from).ok_or(io::ErrorKind::NotFound)?;
            files.insert(to.into(), bytes);
            Ok(())
        })
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.files(|files| files.remove(name));
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        Ok(())
    }
}

/// A machine's disk, with the real store on it.
#[derive(Default)]
pub struct StoreDisk {
    directory: RefCell<MemoryDirectory>,
    store: RefCell<Option<Store>>,
    /// The most bytes that its files have taken, over all starts.
    pub(crate) max_bytes: u64,
}

impl StoreDisk {
    /// Opens the store anew. Returns what a process finds that starts now, and whether a corrupt store had to be
    /// quarantined for it.
    pub(crate) fn open(&self) -> (PersistentState, bool) {
        // Whoever had it open is gone, and closes nothing any more.
        let directory = MemoryDirectory::default();
        let files = self.directory.borrow().files(|files| files.clone());
        directory
            .files(|now| now.extend(files.into_iter().map(|(name, bytes)| (name, bytes.copy()))));
        *self.directory.borrow_mut() = directory.clone();
        let mut was_quarantined = false;
        loop {
            let opened = Store::open_in(directory.clone()).and_then(|mut store| {
                let stored = store.load()?;
                Ok((store, stored))
            });
            match opened {
                Ok((store, stored)) => {
                    *self.store.borrow_mut() = Some(store);
                    return (stored, was_quarantined);
                }
                Err(error) if error.remedy() == Remedy::Quarantine && !was_quarantined => {
                    quarantine(&directory).expect("memory takes everything");
                    was_quarantined = true;
                }
                Err(error) => panic!("{error}"),
            }
        }
    }

    /// Flips bits of values, so that the checksums don't fit.
    pub(crate) fn corrupt(&self, rng: &mut ChaCha8Rng) {
        let directory = self.directory.borrow();
        let Some(bytes) = directory.files(|files| files.get(STORE_FILE).cloned()) else {
            return;
        };
        bytes.with(|bytes| {
            for at in (4096..bytes.len()).step_by(rng.gen_range(50..200)) {
                bytes[at] ^= 1 << rng.gen_range(0..8);
            }
        });
    }
}

impl StoreDisk {
    /// Writes to the store that is open.
    pub(crate) fn write(&mut self, batch: &WriteBatch) {
        let mut store = self.store.borrow_mut();
        let store = store.as_mut().expect("a process has opened it");
        store.write(batch).expect("memory takes everything");
        self.max_bytes = self.max_bytes.max(self.directory.borrow().bytes());
    }
}
