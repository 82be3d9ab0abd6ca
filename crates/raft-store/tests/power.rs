//! The store on a simulated disk that loses power, fills up, and loses what was not synced.

use magpieline_raft::{
    Entry, HardState, NodeId, Payload, PersistentState, Snapshot, VoterSet, WriteBatch,
};
use magpieline_raft_store::{builder, Opener, Store, StoreError};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};

const SECTOR: usize = 512;

#[derive(Clone, Debug)]
enum Change {
    Length(u64),
    Bytes(u64, Vec<u8>),
    Sync,
}

/// A disk with the file's bytes, the changes made so far, and how many more it will take.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Platter>>);

#[derive(Debug, Default)]
struct Platter {
    file: Vec<u8>,
    changes: Vec<Change>,
    refuses_after: Option<usize>,
}

fn change(file: &mut Vec<u8>, change: &Change) {
    match change {
        Change::Length(length) => file.resize(*length as usize, 0),
        Change::Bytes(offset, bytes) => {
            let end = *offset as usize + bytes.len();
            file.resize(file.len().max(end), 0);
            file[*offset as usize..end].copy_from_slice(bytes);
        }
        Change::Sync => {}
    }
}

impl Disk {
    fn with(file: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(Platter {
            file,
            ..Platter::default()
        })))
    }

    fn take(&self, what: Change) -> io::Result<()> {
        let mut platter = self.0.lock().unwrap();
        match &mut platter.refuses_after {
            Some(0) => return Err(io::ErrorKind::StorageFull.into()),
            Some(left) => *left -= 1,
            None => {}
        }
        change(&mut platter.file, &what);
        platter.changes.push(what);
        Ok(())
    }

    fn opener(&self) -> Opener {
        let disk = self.clone();
        Box::new(move || {
            builder()
                .create_with_backend(disk.clone())
                .map_err(StoreError::from_redb)
        })
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().file.len() as u64)
    }

    fn read(&self, offset: u64, length: usize) -> io::Result<Vec<u8>> {
        let platter = self.0.lock().unwrap();
        let bytes = platter.file.get(offset as usize..offset as usize + length);
        bytes
            .map(<[u8]>::to_vec)
            .ok_or(io::ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.take(Change::Length(length))
    }

    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        self.take(Change::Sync)
    }

    fn write(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.take(Change::Bytes(offset, bytes.to_vec()))
    }
}

/// The file after a loss of power that followed `changes`: what was synced, and of the rest some, some torn.
fn after_loss(start: &[u8], changes: &[Change], rng: &mut ChaCha8Rng) -> Vec<u8> {
    let synced = changes
        .iter()
        .rposition(|change| matches!(change, Change::Sync))
        .map_or(0, |at| at + 1);
    let mut file = start.to_vec();
    changes[..synced]
        .iter()
        .for_each(|done| change(&mut file, done));
    let takes_all = rng.gen_ratio(1, 4);
    for late in &changes[synced..] {
        match late {
            _ if takes_all || rng.gen_ratio(1, 3) => {}
            Change::Bytes(offset, bytes) if rng.gen_ratio(1, 3) => {
                // Torn: each sector by itself.
                for (at, sector) in bytes.chunks(SECTOR).enumerate().filter(|_| rng.gen()) {
                    let part = Change::Bytes(offset + (at * SECTOR) as u64, sector.to_vec());
                    change(&mut file, &part);
                }
            }
            complete => change(&mut file, complete),
        }
    }
    file
}

/// Batches such as a node makes: appends of all sizes, truncations, snapshots.
fn batches(rng: &mut ChaCha8Rng, count: u64) -> Vec<WriteBatch> {
    let voter = NodeId {
        address: "10.0.0.1:7720".parse().unwrap(),
        incarnation: 0,
    };
    let (mut last, mut covered) = (0, 0);
    let mut batches = Vec::new();
    for term in 1..=count {
        let truncate_from = if rng.gen_ratio(1, 4) {
            rng.gen_range(covered..=last) + 1
        } else {
            last + 1
        };
        last = truncate_from - 1;
        let mut entries = Vec::new();
        for _ in 0..rng.gen_range(1..4) {
            last += 1;
            let bytes = vec![term as u8; if rng.gen_ratio(1, 5) { 3_000 } else { 100 }];
            entries.push(Entry {
                index: last,
                term,
                payload: Payload::Command { more: false, bytes },
            });
        }
        let mut snapshot = None;
        if rng.gen_ratio(1, 4) {
            covered = last - 1;
            let voters = VoterSet {
                voters: vec![voter],
            };
            let state = vec![term as u8; rng.gen_range(0..90_000)];
            snapshot = Some(Arc::new(Snapshot {
                index: covered,
                term,
                voters,
                state,
            }));
        }
        let hard_state = HardState {
            incarnation: 0,
            term,
            vote: Some(voter),
            commit: covered,
        };
        let compact_to = covered.saturating_sub(2);
        batches.push(WriteBatch {
            hard_state,
            snapshot,
            compact_to,
            truncate_from,
            entries,
        });
    }
    batches
}

/// Power is cut before and after every single change of the file, and what was not synced is there, missing or torn: the store
/// opens with a complete state no older than the last write that returned.
#[test]
fn a_power_cut_at_any_write_loses_nothing_acknowledged() {
    let seed = 1;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let disk = Disk::default();
    drop(Store::open_with(disk.opener()).unwrap());
    let start = disk.0.lock().unwrap().file.clone();
    disk.0.lock().unwrap().changes.clear();
    let mut store = Store::open_with(disk.opener()).unwrap();
    let mut states = vec![PersistentState::default()];
    let mut acknowledged_at = vec![0];
    for batch in batches(&mut rng, 4) {
        store.write(&batch).unwrap();
        let mut state = states.last().unwrap().clone();
        batch.apply(&mut state);
        states.push(state);
        acknowledged_at.push(disk.0.lock().unwrap().changes.len());
    }
    let changes = disk.0.lock().unwrap().changes.clone();
    for cut in 0..=changes.len() {
        let file = after_loss(&start, &changes[..cut], &mut rng);
        let loaded = Store::open_with(Disk::with(file).opener()).and_then(|mut store| store.load());
        let acknowledged = acknowledged_at.iter().rposition(|at| *at <= cut).unwrap();
        let state = states.iter().position(|state| Ok(state) == loaded.as_ref());
        assert!(
            state.is_some_and(|at| at == acknowledged || at == acknowledged + 1),
            "seed {seed}, power cut after change {cut} of {}: {acknowledged} acknowledged, found {state:?}, {:?}",
            changes.len(),
            loaded.err()
        );
    }
}

/// A write that a full disk refuses at any point counts for nothing, what was acknowledged before is there, and the store goes
/// on.
#[test]
fn a_full_disk_refuses_and_the_store_goes_on() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for refuses_after in 0..8 {
        let disk = Disk::default();
        let mut store = Store::open_with(disk.opener()).unwrap();
        let batches = batches(&mut rng, 4);
        let mut state = PersistentState::default();
        batches[..3].iter().for_each(|batch| {
            store.write(batch).unwrap();
            batch.apply(&mut state);
        });
        disk.0.lock().unwrap().refuses_after = Some(refuses_after);
        let full = store.write(&batches[3]);
        if full == Ok(()) {
            continue;
        }
        assert_eq!(full, Err(StoreError::DiskFull));
        assert!(store.write(&batches[3]).is_err(), "still full");
        disk.0.lock().unwrap().refuses_after = None;
        let before = state.clone();
        batches[3].apply(&mut state);
        let found = store.load().unwrap();
        assert!(
            found == before || found == state,
            "neither before nor after"
        );
        assert_eq!(store.write(&batches[3]), Ok(()));
        assert_eq!(store.load().unwrap(), state);
    }
}

/// A flipped bit in a store that was closed in order is reported, or changes nothing that is read.
#[test]
fn a_flipped_bit_is_reported() {
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let disk = Disk::default();
    let mut store = Store::open_with(disk.opener()).unwrap();
    let mut state = PersistentState::default();
    for batch in batches(&mut rng, 6) {
        store.write(&batch).unwrap();
        batch.apply(&mut state);
    }
    drop(store);
    let file = disk.0.lock().unwrap().file.clone();
    let mut reported = 0;
    // Most of the file is unused: bits of the commands and of the state are flipped.
    let is_value = |at: &usize| {
        file[*at - 4..*at + 4]
            .iter()
            .all(|byte| *byte == file[*at] && (1..9).contains(byte))
    };
    let used: Vec<usize> = (4..file.len() - 4).filter(is_value).collect();
    for _ in 0..25 {
        let mut file = file.clone();
        let at = used[rng.gen_range(0..used.len())];
        file[at] ^= 1 << rng.gen_range(0..8);
        match Store::open_with(Disk::with(file).opener()).and_then(|mut store| store.load()) {
            Ok(found) => assert!(found == state, "byte {at}"),
            Err(error) => {
                assert!(matches!(error, StoreError::Corrupt(_)), "{error}");
                reported += 1;
            }
        }
    }
    assert!(reported > 0);
}
