//! The store's folder: each name that is made, changed or removed without a sync of the folder is kept or lost by itself
//! when power goes.

use magpieline_raft::{Batch, Hard, Stored};
use magpieline_raft_store::{builder, set_aside, Error, Flaw, Granary, Remedy, Shelf, ASIDE, FILE};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::{Database, DatabaseError, StorageBackend};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};

/// A file's bytes; all that is written is synced here (`power.rs` is about the rest).
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
    lasting: Files,
    /// What the names have become since the last sync.
    pending: Vec<(String, Option<Bytes>)>,
    /// The process ends before the change after so many.
    ends_after: Option<usize>,
}

/// A folder whose process may end between any two changes, and whose power may go.
#[derive(Clone, Debug, Default)]
struct Drawer(Arc<Mutex<Names>>);

impl Drawer {
    fn change(&self, name: &str, to: Option<Bytes>) {
        let mut names = self.0.lock().unwrap();
        match to.clone() {
            Some(bytes) => names.now.insert(name.into(), bytes),
            None => names.now.remove(name),
        };
        names.pending.push((name.into(), to));
    }

    fn counted(&self) -> io::Result<()> {
        match &mut self.0.lock().unwrap().ends_after {
            Some(0) => Err(io::ErrorKind::Interrupted.into()),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn end_after(&self, changes: Option<usize>) {
        self.0.lock().unwrap().ends_after = changes;
    }

    fn lose_power(&self, rng: &mut ChaCha8Rng) {
        let mut names = self.0.lock().unwrap();
        for (name, bytes) in std::mem::take(&mut names.pending) {
            if rng.gen() {
                match bytes {
                    Some(bytes) => names.lasting.insert(name, bytes),
                    None => names.lasting.remove(&name),
                };
            }
        }
        names.now = names.lasting.clone();
    }

    fn holds(&self, name: &str) -> Option<Bytes> {
        self.0.lock().unwrap().now.get(name).cloned()
    }
}

impl Shelf for Drawer {
    fn has(&self, name: &str) -> io::Result<bool> {
        Ok(self.holds(name).is_some())
    }

    fn open(&self, name: &str) -> Result<Database, DatabaseError> {
        builder().create_with_backend(self.holds(name).expect("looked at"))
    }

    fn create(&self, name: &str) -> Result<(), Error> {
        self.counted()?;
        let bytes = Bytes::default();
        drop(
            builder()
                .create_with_backend(bytes.clone())
                .map_err(Error::of)?,
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
        names.lasting = names.now.clone();
        Ok(())
    }
}

fn batch(life: u64) -> Batch {
    let hard = Hard {
        life,
        term: 3,
        vote: None,
        commit: 0,
    };
    Batch {
        hard,
        snapshot: None,
        drop_to: 0,
        cut_from: 1,
        entries: Vec::new(),
    }
}

fn loaded(drawer: &Drawer) -> Result<Stored, Error> {
    Granary::open_on(drawer.clone()).and_then(|mut granary| granary.load())
}

/// Guards against a store that is gone after a loss of power though nobody lost a disk: the process that made it was
/// killed before it synced the folder, and the next one found the store and took its name for lasting.
#[test]
fn what_is_acknowledged_is_there_whenever_the_process_that_made_the_store_ended() {
    // The first process ends after each change; thrice, as what the power takes is drawn.
    for (seed, ends_after) in (0..12).zip((0..4).cycle()) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let drawer = Drawer::default();
        drawer.end_after(Some(ends_after));
        let first = Granary::open_on(drawer.clone());
        drop(first);
        if rng.gen() {
            drawer.lose_power(&mut rng);
        }
        drawer.end_after(None);
        let mut granary = Granary::open_on(drawer.clone()).unwrap();
        granary.write(&batch(7)).unwrap();
        drop(granary);
        drawer.lose_power(&mut rng);
        let hard = loaded(&drawer).unwrap().hard;
        assert_eq!(
            hard,
            Some(batch(7).hard),
            "seed {seed}, ended after {ends_after} changes"
        );
    }
}

/// Guards against two lives of one machine: a store that was set aside, and whose promises are forgotten, comes back by a
/// loss of power.
#[test]
fn what_is_set_aside_does_not_come_back() {
    for (seed, ends_after) in (0..9).zip((0..3).cycle()) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let drawer = Drawer::default();
        Granary::open_on(drawer.clone())
            .unwrap()
            .write(&batch(7))
            .unwrap();
        drawer.end_after(Some(ends_after));
        let done = set_aside(&drawer);
        drawer.end_after(None);
        drawer.lose_power(&mut rng);
        match (done, drawer.holds(FILE).is_some()) {
            (Ok(()), there) => {
                assert!(!there, "seed {seed}: the old life is back");
                assert!(
                    drawer.holds(ASIDE).is_some(),
                    "seed {seed}: what was set aside is kept"
                );
                assert_eq!(loaded(&drawer), Ok(Stored::default()));
            }
            (Err(_), true) => assert_eq!(loaded(&drawer).unwrap().hard, Some(batch(7).hard)),
            (Err(_), false) => assert_eq!(loaded(&drawer), Ok(Stored::default())),
        }
    }
}

/// Guards against a loop of starts on a store that can't be read, and against a sound store that is given up since a
/// release too old for it came back.
#[test]
fn only_a_corrupt_store_is_set_aside() {
    let flaw = Flaw {
        place: "log",
        key: 4,
        found: "another checksum",
        expected: "the value's",
    };
    assert_eq!(Error::Corrupt(flaw).remedy(), Remedy::SetAside);
    assert_eq!(
        Error::Corrupt(flaw).to_string(),
        "log 4: found another checksum, expected the value's"
    );
    assert_eq!(
        Error::Newer {
            found: 3,
            expected: 2
        }
        .remedy(),
        Remedy::Halt
    );
    for error in [Error::Full, Error::Io(io::ErrorKind::Other), Error::InUse] {
        assert_eq!(error.remedy(), Remedy::Wait);
    }
}
