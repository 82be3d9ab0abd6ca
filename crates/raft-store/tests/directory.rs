//! The store in a real folder.

use magpieline_raft::{Batch, Hard, Stored};
use magpieline_raft_store::{inspect, is_aside, set_aside, Error, Folder, Granary, ASIDE};
use redb::{Database, TableDefinition};
use std::fs;
use std::path::PathBuf;

/// A folder of its own that goes with the test.
struct Own(PathBuf);

impl Own {
    fn new(name: &str) -> Own {
        let path = std::env::temp_dir().join(format!("granary-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Own(path)
    }
}

impl Drop for Own {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn batch(term: u64) -> Batch {
    let hard = Hard {
        life: 7,
        term,
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

/// Guards the first start and the next: empty, then what was written; a half-made store in the way does no harm; a look
/// inside works beside the owner and changes nothing.
#[test]
fn a_store_is_made_found_again_and_looked_into() {
    let folder = Own::new("made");
    fs::write(folder.0.join("store.new"), b"half").unwrap();
    assert_eq!(inspect(&folder.0), Ok(None));
    let mut granary = Granary::open(&folder.0).unwrap();
    assert_eq!(granary.load(), Ok(Stored::default()));
    granary.write(&batch(3)).unwrap();
    let found = inspect(&folder.0).unwrap().unwrap();
    assert_eq!(found.stored.hard, Some(batch(3).hard));
    drop(granary);
    assert_eq!(
        Granary::open(&folder.0).unwrap().load().unwrap().hard,
        Some(batch(3).hard)
    );
}

/// Guards the choice that only the owner may make: a spoilt store is reported each time, until it is given up.
#[test]
fn a_spoilt_store_is_reported_until_given_up() {
    let folder = Own::new("spoilt");
    Granary::open(&folder.0).unwrap().write(&batch(3)).unwrap();
    let path = folder.0.join("store.redb");
    let mut bytes = fs::read(&path).unwrap();
    bytes.iter_mut().skip(64).for_each(|byte| *byte = 0xa5);
    fs::write(&path, &bytes).unwrap();
    for _ in 0..2 {
        let spoilt = Granary::open(&folder.0).and_then(|mut granary| granary.load());
        assert!(matches!(spoilt, Err(Error::Corrupt(_))), "{spoilt:?}");
    }
    let shelf = Folder::at(&folder.0);
    assert_eq!(is_aside(&shelf), Ok(false));
    set_aside(&shelf).unwrap();
    assert_eq!(is_aside(&shelf), Ok(true));
    assert_eq!(
        Granary::open(&folder.0).unwrap().load(),
        Ok(Stored::default())
    );
    assert!(
        fs::read(folder.0.join(ASIDE)).unwrap() == bytes,
        "what was set aside is kept"
    );
}

/// Guards against a release that is too old for its store and misreads it, or takes it for a corrupt one and gives it up.
#[test]
fn a_store_of_a_newer_form_is_refused_with_its_number() {
    let folder = Own::new("newer");
    Granary::open(&folder.0).unwrap().write(&batch(3)).unwrap();
    let database = Database::open(folder.0.join("store.redb")).unwrap();
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
    let newer = Error::Newer {
        found: 3,
        expected: 2,
    };
    assert_eq!(
        Granary::open(&folder.0).and_then(|mut granary| granary.load()),
        Err(newer)
    );
    assert_eq!(inspect(&folder.0), Err(newer));
    assert_eq!(
        newer.to_string(),
        "store.redb: found format 3, expected at most 2"
    );
}
