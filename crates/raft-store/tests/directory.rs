//! The store in a real directory.

use magpieline_raft::{HardState, PersistentState, WriteBatch};
use magpieline_raft_store::{
    inspect, is_quarantined, quarantine, DiskDirectory, Store, StoreError, QUARANTINE_FILE,
};
use redb::{Database, TableDefinition};
use std::fs;
use std::path::PathBuf;

/// A directory of its own for each test, removed at its end.
struct TestDirectory(PathBuf);

impl TestDirectory {
    fn new(name: &str) -> TestDirectory {
        let path = std::env::temp_dir().join(format!("raft-store-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        TestDirectory(path)
    }
}

impl Drop for TestDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn batch(term: u64) -> WriteBatch {
    let hard_state = HardState {
        incarnation: 7,
        term,
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

/// A store is empty at the first start, then holds what was written. A partial store in the way does no harm, and an inspection
/// works beside the owner and changes nothing.
#[test]
fn a_store_is_created_found_again_and_inspected() {
    let dir = TestDirectory::new("made");
    fs::write(dir.0.join("store.new"), b"half").unwrap();
    assert_eq!(inspect(&dir.0), Ok(None));
    let mut store = Store::open(&dir.0).unwrap();
    assert_eq!(store.load(), Ok(PersistentState::default()));
    store.write(&batch(3)).unwrap();
    let found = inspect(&dir.0).unwrap().unwrap();
    assert_eq!(found.stored.hard_state, Some(batch(3).hard_state));
    drop(store);
    assert_eq!(
        Store::open(&dir.0).unwrap().load().unwrap().hard_state,
        Some(batch(3).hard_state)
    );
}

/// A corrupt store is reported at each start until its owner quarantines it.
#[test]
fn a_corrupt_store_is_reported_until_quarantined() {
    let dir = TestDirectory::new("corrupt");
    Store::open(&dir.0).unwrap().write(&batch(3)).unwrap();
    let path = dir.0.join("store.redb");
    let mut bytes = fs::read(&path).unwrap();
    bytes.iter_mut().skip(64).for_each(|byte| *byte = 0xa5);
    fs::write(&path, &bytes).unwrap();
    for _ in 0..2 {
        let loaded = Store::open(&dir.0).and_then(|mut store| store.load());
        assert!(matches!(loaded, Err(StoreError::Corrupt(_))), "{loaded:?}");
    }
    let directory = DiskDirectory::at(&dir.0);
    assert_eq!(is_quarantined(&directory), Ok(false));
    quarantine(&directory).unwrap();
    assert_eq!(is_quarantined(&directory), Ok(true));
    assert_eq!(
        Store::open(&dir.0).unwrap().load(),
        Ok(PersistentState::default())
    );
    assert!(
        fs::read(dir.0.join(QUARANTINE_FILE)).unwrap() == bytes,
        "the quarantined store is kept"
    );
}

/// A release that is too old for its store neither misreads it nor takes it for a corrupt one.
#[test]
fn a_store_of_a_newer_format_is_refused_with_its_number() {
    let dir = TestDirectory::new("newer");
    Store::open(&dir.0).unwrap().write(&batch(3)).unwrap();
    let database = Database::open(dir.0.join("store.redb")).unwrap();
    let transaction = database.begin_write().unwrap();
    {
        let heads: TableDefinition<u8, &[u8]> = TableDefinition::new("heads");
        let mut heads = transaction.open_table(heads).unwrap();
        let number = 3u32.to_le_bytes();
        let sum = crc32fast::hash(&[&0u64.to_le_bytes()[..], &number].concat()).to_le_bytes();
        heads.insert(0, &[number, sum].concat()[..]).unwrap();
    }
    transaction.commit().unwrap();
    drop(database);
    let newer = StoreError::NewerFormat {
        found: 3,
        expected: 2,
    };
    assert_eq!(
        Store::open(&dir.0).and_then(|mut store| store.load()),
        Err(newer)
    );
    assert_eq!(inspect(&dir.0), Err(newer));
    assert_eq!(
        newer.to_string(),
        "store.redb: found format 3, expected at most 2"
    );
}
