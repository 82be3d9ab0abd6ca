//! The store in a real folder.

use magpieline_granary::{inspect, Error, Granary};
use magpieline_rootstock::{Batch, Hard, Stored};
use std::fs;
use std::path::PathBuf;

/// A folder of its own that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("granary-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn batch(term: u64) -> Batch {
    let hard = Hard { life: 7, term, vote: None, commit: 0 };
    Batch { hard, snapshot: None, drop_to: 0, cut_from: 1, entries: Vec::new() }
}

/// Guards the first start and the next: empty, then what was written; a half-made store in the way does no harm; a look
/// inside works beside the owner and changes nothing.
#[test]
fn a_store_is_made_found_again_and_looked_into() {
    let folder = Folder::new("made");
    fs::write(folder.0.join("store.new"), b"half").unwrap();
    assert_eq!(inspect(&folder.0), Ok(None));
    let mut granary = Granary::open(&folder.0).unwrap();
    assert_eq!(granary.load(), Ok(Stored::default()));
    granary.write(&batch(3)).unwrap();
    let found = inspect(&folder.0).unwrap().unwrap();
    assert_eq!(found.stored.hard, Some(batch(3).hard));
    drop(granary);
    assert_eq!(Granary::open(&folder.0).unwrap().load().unwrap().hard, Some(batch(3).hard));
}

/// Guards the choice that only the owner may make: a spoilt store is reported each time, until it is given up.
#[test]
fn a_spoilt_store_is_reported_until_given_up() {
    let folder = Folder::new("spoilt");
    Granary::open(&folder.0).unwrap().write(&batch(3)).unwrap();
    let path = folder.0.join("store.redb");
    let mut bytes = fs::read(&path).unwrap();
    bytes.iter_mut().skip(64).for_each(|byte| *byte = 0xa5);
    fs::write(&path, &bytes).unwrap();
    for _ in 0..2 {
        let spoilt = Granary::open(&folder.0).and_then(|mut granary| granary.load());
        assert_eq!(spoilt, Err(Error::Corrupt));
    }
    Granary::discard(&folder.0).unwrap();
    assert_eq!(Granary::open(&folder.0).unwrap().load(), Ok(Stored::default()));
}
