//! The journal of configuration changes: records one after another, each with its length and a checksum over both. The
//! file is behind [`JournalFile`], so that tests can tear it, flip its bits and refuse writes at every byte.
//!
//! A record counts once it has been synced. The first torn or changed record ends what is read; the bytes after it are
//! copied to a file of their own and reported.

use serde::{de::DeserializeOwned, Serialize};
use std::{fmt, io};

/// The first bytes of a journal file: its kind and format.
const FILE_HEADER: &[u8; 8] = b"mpl-jrn1";
/// Bytes of the length and the checksum before each record.
const RECORD_HEADER_BYTES: usize = 8;
/// The largest record: a configuration file of the largest size, escaped as JSON.
const MAX_RECORD_BYTES: usize = 2 << 20;

/// The file of a journal, with one writer at a time.
pub trait JournalFile {
    /// Returns all bytes; none if there is no file.
    fn read(&mut self) -> io::Result<Vec<u8>>;
    /// Writes behind all that is there.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes what was appended survive a loss of power.
    fn sync(&mut self) -> io::Result<()>;
    /// Shortens to this many bytes.
    fn truncate(&mut self, len: u64) -> io::Result<()>;
    /// Replaces the content atomically and syncs it.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Copies the content to a file that is not written again, to be inspected.
    fn keep_copy(&mut self) -> io::Result<()>;
}

/// Where and why reading a journal ended early.
#[derive(Clone, Debug, PartialEq)]
pub struct Damage {
    /// Where the first bad record begins.
    pub offset: usize,
    /// How many bytes from there on are ignored.
    pub ignored_bytes: usize,
    /// What is wrong.
    pub reason: DamageReason,
}

/// What is wrong with the first bad record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DamageReason {
    /// The file has another header.
    NotAJournal,
    /// The record is cut off, as a crash leaves it: it was never acknowledged.
    Torn,
    /// The record claims to be larger than any can be.
    ImpossibleLength,
    /// The checksum does not fit.
    Checksum,
    /// The record is whole, but not known to this program.
    UnknownRecord,
}

impl fmt::Display for DamageReason {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            DamageReason::NotAJournal => "it does not begin as a journal does",
            DamageReason::Torn => "a record is torn",
            DamageReason::ImpossibleLength => "a record's length can't be",
            DamageReason::Checksum => "a record's checksum does not fit",
            DamageReason::UnknownRecord => "a record says what this program does not know",
        })
    }
}

impl Damage {
    /// Whether it is what a crash leaves behind.
    pub fn is_torn(&self) -> bool {
        self.reason == DamageReason::Torn
    }
}

impl fmt::Display for Damage {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(
            f,
            "{} bytes from {} on are not believed: {}",
            self.ignored_bytes, self.offset, self.reason
        )
    }
}

/// Why a journal can't be read or written.
#[derive(Debug)]
pub enum JournalError {
    /// The file.
    Io(io::Error),
    /// A record can't be serialized.
    Serialize(serde_json::Error),
    /// A record of so many bytes is too large.
    RecordTooLarge(usize),
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            JournalError::Io(error) => write!(f, "journal: {error}"),
            JournalError::Serialize(error) => write!(f, "journal: {error}"),
            JournalError::RecordTooLarge(bytes) => write!(
                f,
                "journal: found a record of {bytes} bytes, expected {MAX_RECORD_BYTES} at most"
            ),
        }
    }
}

impl std::error::Error for JournalError {}

impl From<io::Error> for JournalError {
    fn from(error: io::Error) -> Self {
        JournalError::Io(error)
    }
}

fn checksum(length: [u8; 4], body: &[u8]) -> [u8; 4] {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&length);
    sum.update(body);
    sum.finalize().to_le_bytes()
}

/// Encodes a record with its length and checksum.
pub fn encode_record<T: Serialize>(record: &T) -> Result<Vec<u8>, JournalError> {
    let body = serde_json::to_vec(record).map_err(JournalError::Serialize)?;
    if body.len() > MAX_RECORD_BYTES {
        return Err(JournalError::RecordTooLarge(body.len()));
    }
    let length = (body.len() as u32).to_le_bytes();
    Ok([&length[..], &checksum(length, &body)[..], &body[..]].concat())
}

/// Encodes a whole journal file.
pub fn encode_journal<T: Serialize>(records: &[T]) -> Result<Vec<u8>, JournalError> {
    let mut bytes = FILE_HEADER.to_vec();
    for record in records {
        bytes.extend(encode_record(record)?);
    }
    Ok(bytes)
}

/// What a journal file holds.
#[derive(Debug)]
pub struct Decoded<T> {
    /// The records before the first bad one.
    pub records: Vec<T>,
    /// How many bytes these take, with the header.
    pub valid_bytes: usize,
    /// What is wrong behind them, if anything is.
    pub damage: Option<Damage>,
}

/// Decodes a journal file up to the first bad record.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Decoded<T> {
    let mut decoded = Decoded {
        records: Vec::new(),
        valid_bytes: 0,
        damage: None,
    };
    if bytes.is_empty() {
        return decoded;
    }
    if let Err(reason) = decode_records(bytes, &mut decoded) {
        decoded.damage = Some(Damage {
            offset: decoded.valid_bytes,
            ignored_bytes: bytes.len() - decoded.valid_bytes,
            reason,
        });
    }
    decoded
}

fn decode_records<T: DeserializeOwned>(
    bytes: &[u8],
    decoded: &mut Decoded<T>,
) -> Result<(), DamageReason> {
    if !bytes.starts_with(FILE_HEADER) {
        return Err(DamageReason::NotAJournal);
    }
    decoded.valid_bytes = FILE_HEADER.len();
    while decoded.valid_bytes < bytes.len() {
        let rest = &bytes[decoded.valid_bytes..];
        let (header, rest) = rest
            .split_at_checked(RECORD_HEADER_BYTES)
            .ok_or(DamageReason::Torn)?;
        let length = [header[0], header[1], header[2], header[3]];
        let size = u32::from_le_bytes(length) as usize;
        if size > MAX_RECORD_BYTES {
            return Err(DamageReason::ImpossibleLength);
        }
        let body = rest.get(..size).ok_or(DamageReason::Torn)?;
        if checksum(length, body) != header[4..] {
            return Err(DamageReason::Checksum);
        }
        let record = serde_json::from_slice(body).map_err(|_| DamageReason::UnknownRecord)?;
        decoded.records.push(record);
        decoded.valid_bytes += RECORD_HEADER_BYTES + size;
    }
    Ok(())
}

/// A journal open for writing.
pub struct Journal<D> {
    file: D,
    /// Bytes of the records that were acknowledged.
    valid_bytes: u64,
    /// Whether the file may hold more than that, since truncating it has failed.
    needs_truncation: bool,
}

/// A journal just opened.
pub struct OpenedJournal<D, T> {
    /// The journal, to be written.
    pub journal: Journal<D>,
    /// The records it held.
    pub records: Vec<T>,
    /// What was wrong with it.
    pub damage: Option<Damage>,
}

impl<D: JournalFile> Journal<D> {
    /// Opens a journal and reads it. A damaged one is copied and then replaced by its valid records.
    ///
    /// # Errors
    ///
    /// If the file can't be read or written.
    pub fn open<T: Serialize + DeserializeOwned>(
        mut file: D,
    ) -> Result<OpenedJournal<D, T>, JournalError> {
        let bytes = file.read()?;
        let Decoded {
            records,
            valid_bytes,
            damage,
        } = decode::<T>(&bytes);
        let mut journal = Journal {
            file,
            valid_bytes: valid_bytes as u64,
            needs_truncation: false,
        };
        if bytes.is_empty() || damage.is_some() {
            // A torn end is what a crash leaves; anything else has to be inspected.
            if damage.as_ref().is_some_and(|d| !d.is_torn()) {
                journal.file.keep_copy()?;
            }
            let anew = encode_journal(&records)?;
            journal.file.replace(&anew)?;
            journal.valid_bytes = anew.len() as u64;
        }
        Ok(OpenedJournal {
            journal,
            records,
            damage,
        })
    }

    /// Appends a record and syncs it.
    ///
    /// # Errors
    ///
    /// If it can't be written; the record is not there then, now or after a restart.
    pub fn append<T: Serialize>(&mut self, record: &T) -> Result<(), JournalError> {
        self.append_all(std::slice::from_ref(record))
    }

    /// Appends records with one sync.
    ///
    /// # Errors
    ///
    /// If they can't be written; none of them is there then, now or after a restart.
    pub fn append_all<T: Serialize>(&mut self, records: &[T]) -> Result<(), JournalError> {
        let mut bytes = Vec::new();
        for record in records {
            bytes.extend(encode_record(record)?);
        }
        if self.needs_truncation {
            self.file.truncate(self.valid_bytes)?;
            self.needs_truncation = false;
        }
        let written = self.file.append(&bytes).and_then(|()| self.file.sync());
        if let Err(error) = written {
            // A part of it may have been written, and records behind that would be ignored.
            self.needs_truncation = self.file.truncate(self.valid_bytes).is_err();
            return Err(error.into());
        }
        self.valid_bytes += bytes.len() as u64;
        Ok(())
    }

    /// Replaces all records.
    ///
    /// # Errors
    ///
    /// If the file can't be replaced; it holds what it held then.
    pub fn compact<T: Serialize>(&mut self, records: &[T]) -> Result<(), JournalError> {
        let bytes = encode_journal(records)?;
        self.file.replace(&bytes)?;
        (self.valid_bytes, self.needs_truncation) = (bytes.len() as u64, false);
        Ok(())
    }

    /// Returns its length in bytes.
    pub fn len(&self) -> u64 {
        self.valid_bytes
    }

    /// Whether it holds no record.
    pub fn is_empty(&self) -> bool {
        self.valid_bytes <= FILE_HEADER.len() as u64
    }
}
