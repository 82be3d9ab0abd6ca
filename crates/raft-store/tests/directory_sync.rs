//! The store's directory: each name that is created, changed or removed without a sync of the directory is kept or lost by
//! itself when power is lost.

use magpieline_raft::{HardState, PersistentState, WriteBatch};
use magpieline_raft_store::{
    builder, quarantine, Corruption, Directory, Remedy, Store, StoreError, QUARANTINE_FILE,
    STORE_FILE,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::{Database, DatabaseError, StorageBackend};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

/// A file's bytes; all that is written is durable here (`power.rs` is about the rest).
#[derive(Clone, Debug, Default)]
struct Bytes(Arc<Mutex<Vec<u8>>>);

impl StorageBackend for Bytes {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().len() as u64)
    }

    fn read(&self, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        Ok(self.0.lock().unwrap()[offset as usize..][..length].to_vec())
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.0.lock().unwrap().resize(length as usize, 0);
        Ok(())
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.0.lock().unwrap()[offset as usize..][..bytes.len()].copy_from_slice(bytes);
        Ok(())
    }
}

type Files = BTreeMap<String, Bytes>;

#[derive(Debug, Default)]
struct Names {
    now: Files,
    durable: Files,
    /// Changes since the last sync.
    pending: Vec<(String, Option<Bytes>)>,
    /// The process is killed after so many changes.
    killed_after: Option<usize>,
}

/// A directory whose process may be killed between any two changes, and whose power may be lost.
#[derive(Clone, Debug, Default)]
struct MemoryDirectory(Arc<Mutex<Names>>);

impl MemoryDirectory {
    fn change(&self, name: &str, to: Option<Bytes>) {
        let mut names = self.0.lock().unwrap();
        match to.clone() {
            Some(bytes) => names.now.insert(name.into(), bytes),
            None => names.now.remove(name),
        };
        names.pending.push((name.into(), to));
    }

    fn counted(&self) -> io::Result<()> {
        match &mut self.0.lock().unwrap().killed_after {
            Some(0) => Err(io::ErrorKind::Interrupted.into()),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn kill_after(&self, changes: Option<usize>) {
        self.0.lock().unwrap().killed_after = changes;
    }

    fn lose_power(&self, rng: &mut ChaCha8Rng) {
        let mut names = self.0.lock().unwrap();
        for (name, bytes) in std::mem::take(&mut names.pending) {
            if rng.gen() {
                match bytes {
                    Some(bytes) => names.durable.insert(name, bytes),
                    None => names.durable.remove(&name),
                };
            }
        }
        names.now = names.durable.clone();
    }

    fn holds(&self, name: &str) -> Option<Bytes> {
        self.0.lock().unwrap().now.get(name).cloned()
    }
}

impl Directory for MemoryDirectory {
    fn contains(&self, name: &str) -> io::Result<bool> {
        Ok(self.holds(name).is_some())
    }

    fn open(&self, name: &str) -> Result<Database, DatabaseError> {
        builder().create_with_backend(self.holds(name).expect("looked at"))
    }

    fn create(&self, name: &str) -> Result<(), StoreError> {
        self.counted()?;
        let bytes = Bytes::default();
        drop(
            builder()
                .create_with_backend(bytes.clone())
                .map_err(StoreError::from_redb)?,
        );
        self.change(name, Some(bytes));
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.counted()?;
        let bytes = self.holds(from).ok_or(io::ErrorKind::NotFound)?;
        self.change(from, None);
        self.change(to, Some(bytes));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.counted()?;
        self.change(name, None);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        self.counted()?;
        let mut names = self.0.lock().unwrap();
        names.pending.clear();
        names.durable = names.now.clone();
        Ok(())
    }
}

fn batch(incarnation: u64) -> WriteBatch {
    let hard_state = HardState {
        incarnation,
        term: 3,
        vote: None,
        commit: 0,
    };
    WriteBatch {
        hard_state,
        snapshot: None,
        compact_to: 0,
        truncate_from: 1,
        entries: Vec::new(),
    }
}

fn loaded(directory: &MemoryDirectory) -> Result<PersistentState, StoreError> {
    Store::open_in(directory.clone()).and_then(|mut store| store.load())
}

/// A store does not vanish in a loss of power when the process that created it was killed before it synced the directory, and
/// the next one found the store.
#[test]
fn acknowledged_writes_survive_wherever_the_creating_process_was_killed() {
    // The first process is killed after each change; thrice, as what the loss of power takes is drawn.
    for (seed, killed_after) in (0..12).zip((0..4).cycle()) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let directory = MemoryDirectory::default();
        directory.kill_after(Some(killed_after));
        let first = Store::open_in(directory.clone());
        drop(first);
        if rng.gen() {
            directory.lose_power(&mut rng);
        }
        directory.kill_after(None);
        let mut store = Store::open_in(directory.clone()).unwrap();
        store.write(&batch(7)).unwrap();
        drop(store);
        directory.lose_power(&mut rng);
        let hard_state = loaded(&directory).unwrap().hard_state;
        assert_eq!(
            hard_state,
            Some(batch(7).hard_state),
            "seed {seed}, killed after {killed_after} changes"
        );
    }
}

/// A quarantined store, whose promises the node has forgotten, does not come back by a loss of power.
#[test]
fn a_quarantined_store_does_not_come_back() {
    for (seed, killed_after) in (0..9).zip((0..3).cycle()) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let directory = MemoryDirectory::default();
        Store::open_in(directory.clone())
            .unwrap()
            .write(&batch(7))
            .unwrap();
        directory.kill_after(Some(killed_after));
        let done = quarantine(&directory);
        directory.kill_after(None);
        directory.lose_power(&mut rng);
        match (done, directory.holds(STORE_FILE).is_some()) {
            (Ok(()), there) => {
                assert!(!there, "seed {seed}: the old incarnation is back");
                assert!(
                    directory.holds(QUARANTINE_FILE).is_some(),
                    "seed {seed}: what was set aside is kept"
                );
                assert_eq!(loaded(&directory), Ok(PersistentState::default()));
            }
            (Err(_), true) => assert_eq!(
                loaded(&directory).unwrap().hard_state,
                Some(batch(7).hard_state)
            ),
            (Err(_), false) => assert_eq!(loaded(&directory), Ok(PersistentState::default())),
        }
    }
}

/// A node does not loop on a store that can't be read, nor give up a sound one because an older release came back.
#[test]
fn only_a_corrupt_store_is_quarantined() {
    let corruption = Corruption {
        location: "log",
        key: 4,
        found: "another checksum",
        expected: "the value's",
    };
    assert_eq!(StoreError::Corrupt(corruption).remedy(), Remedy::Quarantine);
    assert_eq!(
        StoreError::Corrupt(corruption).to_string(),
        "log 4: found another checksum, expected the value's"
    );
    assert_eq!(
        StoreError::NewerFormat {
            found: 3,
            expected: 2
        }
        .remedy(),
        Remedy::Halt
    );
    for error in [
        StoreError::DiskFull,
        StoreError::Io(io::ErrorKind::Other),
        StoreError::InUse,
    ] {
        assert_eq!(error.remedy(), Remedy::Retry);
    }
}
