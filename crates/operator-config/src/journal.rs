//! The journal of changes: records behind one another, each with its length and a checksum over both. Bytes in,
//! records out; the disk is behind [`Disk`], so that tests can tear, flip and refuse at every byte.
//!
//! A record counts once it has been synced. One that is torn or changed ends what is believed: whatever comes
//! after it is put aside and told, never taken for whole.

use serde::{de::DeserializeOwned, Serialize};
use std::io;

/// What a journal file begins with: its kind and form.
const HEAD: &[u8; 8] = b"mpl-jrn1";
/// Length and checksum before each record.
const FRAME: usize = 8;
/// The longest record: a file of the longest kind, written as JSON, with room for its marks.
const LONGEST: usize = 2 << 20;

/// Where the journal lies. One writer at a time; each call has happened or says why not.
pub trait Disk {
    fn read(&mut self) -> io::Result<Vec<u8>>;
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// What was appended before outlives a loss of power.
    fn sync(&mut self) -> io::Result<()>;
    /// Shortens to this many bytes.
    fn cut(&mut self, len: u64) -> io::Result<()>;
    /// Takes the place of all there is, wholly and synced, or not at all.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Puts what there is aside, for people to look at.
    fn put_aside(&mut self) -> io::Result<()>;
}

/// What was wrong with a journal's end.
#[derive(Clone, Debug, PartialEq)]
pub struct Damage {
    /// Where the first bad record begins, and how many bytes are not believed.
    pub at: usize,
    pub bytes: usize,
    pub what: &'static str,
}

/// What a crash leaves at the end of a journal: nobody was told of such a record.
const TORN: &str = "a record is torn";

impl Damage {
    /// Whether it is no more than what a crash leaves.
    pub fn is_torn(&self) -> bool {
        self.what == TORN
    }
}

impl std::fmt::Display for Damage {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(
            f,
            "{} bytes from {} on are not believed: {}",
            self.bytes, self.at, self.what
        )
    }
}

fn checksum(length: [u8; 4], body: &[u8]) -> [u8; 4] {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&length);
    sum.update(body);
    sum.finalize().to_le_bytes()
}

/// One record as it is written.
pub fn frame<T: Serialize>(record: &T) -> Result<Vec<u8>, String> {
    let body = serde_json::to_vec(record).map_err(|e| format!("journal: {e}"))?;
    if body.len() > LONGEST {
        return Err(format!(
            "journal: found a record of {} bytes, expected {LONGEST} at most",
            body.len()
        ));
    }
    let length = (body.len() as u32).to_le_bytes();
    Ok([&length[..], &checksum(length, &body)[..], &body[..]].concat())
}

/// A journal that holds these records.
pub fn whole<T: Serialize>(records: &[T]) -> Result<Vec<u8>, String> {
    let mut bytes = HEAD.to_vec();
    for record in records {
        bytes.extend(frame(record)?);
    }
    Ok(bytes)
}

/// All records up to the first that can't be believed, how many bytes they take, and what is wrong there.
pub fn read<T: DeserializeOwned>(bytes: &[u8]) -> (Vec<T>, usize, Option<Damage>) {
    let mut records = Vec::new();
    if bytes.is_empty() {
        return (records, 0, None);
    }
    let damage = |at: usize, what| {
        Some(Damage {
            at,
            bytes: bytes.len() - at,
            what,
        })
    };
    if !bytes.starts_with(HEAD) {
        return (records, 0, damage(0, "it does not begin as a journal does"));
    }
    let mut at = HEAD.len();
    while at < bytes.len() {
        let Some(head) = bytes.get(at..at + FRAME) else {
            return (records, at, damage(at, TORN));
        };
        let length = [head[0], head[1], head[2], head[3]];
        let size = u32::from_le_bytes(length) as usize;
        if size > LONGEST {
            return (records, at, damage(at, "a record's length can't be"));
        }
        let Some(body) = bytes.get(at + FRAME..at + FRAME + size) else {
            return (records, at, damage(at, TORN));
        };
        if checksum(length, body) != head[4..FRAME] {
            return (records, at, damage(at, "a record's checksum does not fit"));
        }
        let Ok(record) = serde_json::from_slice(body) else {
            return (
                records,
                at,
                damage(at, "a record says what this program does not know"),
            );
        };
        records.push(record);
        at += FRAME + size;
    }
    (records, at, None)
}

/// A journal open for writing.
pub struct Journal<D> {
    disk: D,
    /// Bytes that are believed.
    good: u64,
    /// Whether the file may hold more than that, since neither cutting nor replacing has worked.
    spoilt: bool,
}

/// A journal just opened, what it held, and what of it is not believed.
pub struct Opened<D, T> {
    pub journal: Journal<D>,
    pub records: Vec<T>,
    pub damage: Option<Damage>,
}

impl<D: Disk> Journal<D> {
    /// Opens a journal: its records and what was wrong. A damaged one is put aside and begun anew with what is
    /// believed; an error says why it can't be written.
    pub fn open<T: Serialize + DeserializeOwned>(mut disk: D) -> Result<Opened<D, T>, String> {
        let told = |e: io::Error| format!("journal: {e}");
        let bytes = disk.read().map_err(told)?;
        let (records, good, damage) = read::<T>(&bytes);
        let mut journal = Journal {
            disk,
            good: good as u64,
            spoilt: false,
        };
        if bytes.is_empty() || damage.is_some() {
            // Anything but a torn end somebody should see.
            if damage.as_ref().is_some_and(|d| !d.is_torn()) {
                journal.disk.put_aside().map_err(told)?;
            }
            let anew = whole(&records)?;
            journal.disk.replace(&anew).map_err(told)?;
            journal.good = anew.len() as u64;
        }
        Ok(Opened {
            journal,
            records,
            damage,
        })
    }

    /// Adds a record and syncs it. After an error it is not there, now or after a restart.
    pub fn add<T: Serialize>(&mut self, record: &T) -> Result<(), String> {
        self.add_all(std::slice::from_ref(record))
    }

    /// Adds records with one sync. After an error none of them is there, now or after a restart.
    pub fn add_all<T: Serialize>(&mut self, records: &[T]) -> Result<(), String> {
        let mut bytes = Vec::new();
        for record in records {
            bytes.extend(frame(record)?);
        }
        if self.spoilt {
            self.disk
                .cut(self.good)
                .map_err(|e| format!("journal: {e}"))?;
            self.spoilt = false;
        }
        let written = self.disk.append(&bytes).and_then(|()| self.disk.sync());
        if let Err(e) = written {
            // A part of it may stand there, and what follows it would not be believed.
            self.spoilt = self.disk.cut(self.good).is_err();
            return Err(format!("journal: {e}"));
        }
        self.good += bytes.len() as u64;
        Ok(())
    }

    /// Begins anew with these records in place of all that were there.
    pub fn compact<T: Serialize>(&mut self, records: &[T]) -> Result<(), String> {
        let bytes = whole(records)?;
        self.disk
            .replace(&bytes)
            .map_err(|e| format!("journal: {e}"))?;
        (self.good, self.spoilt) = (bytes.len() as u64, false);
        Ok(())
    }

    /// Its length in bytes.
    pub fn len(&self) -> u64 {
        self.good
    }

    pub fn is_empty(&self) -> bool {
        self.good <= HEAD.len() as u64
    }
}
