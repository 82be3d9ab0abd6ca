//! Versions of the operators' file: each is staged, applied and watched as a whole, then kept or undone. A request is
//! pinned to the version under which it was admitted until its final response, and a version that requests are pinned
//! to is not dropped.
//!
//! No I/O: a call that would change anything returns the [`ChangeEvent`] to be written first. It takes effect when
//! [`Versions::commit`] is called with that event; an event that was never committed never happened.

use crate::check::{ValidationError, Values};
use crate::schema::Schema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// How many versions are remembered besides those that run, are kept or have requests pinned to them.
const MAX_REMEMBERED: usize = 100;

/// A version, as it was staged. Nothing of it ever changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    /// Its number, counted from 1.
    pub number: u64,
    /// SHA-256 of its text, in hexadecimal.
    pub hash: String,
    /// The file as it was staged.
    pub text: String,
    /// Who staged it.
    pub who: String,
    /// The reason that was given.
    pub why: String,
    /// When it was staged: Unix time, seconds.
    pub at: f64,
    /// The version that ran when it was staged.
    pub base: u64,
}

/// The state of a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VersionStatus {
    /// Checked and stored, but not applied.
    Staged,
    /// Applied, and undone automatically if it does harm.
    Watched,
    /// Kept: a restart begins with the last kept version.
    Kept,
    /// Undone after it was applied.
    Undone,
    /// Another version was kept after it.
    Superseded,
}

/// A change of state, as it is written to the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "step")]
pub enum ChangeEvent {
    /// A version was staged.
    Staged {
        /// The version.
        version: Version,
    },
    /// A staged version was applied.
    Applied {
        /// Its number.
        number: u64,
        /// Unix time, seconds.
        at: f64,
        /// Who asked for it.
        who: String,
    },
    /// The watched version was kept.
    Kept {
        /// Its number.
        number: u64,
        /// Unix time, seconds.
        at: f64,
        /// The reason that was given.
        why: String,
    },
    /// The watched version was undone.
    Undone {
        /// Its number.
        number: u64,
        /// Unix time, seconds.
        at: f64,
        /// Who asked for it.
        who: String,
        /// The reason that was given.
        why: String,
    },
    /// The whole state, in place of all events before it.
    Snapshot {
        /// All remembered versions.
        versions: Vec<(Version, VersionStatus)>,
        /// The number of the last kept version.
        kept: u64,
    },
}

/// Why a change was refused.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeError {
    /// No remembered version has this number.
    UnknownVersion(u64),
    /// All errors of the file.
    InvalidFile(Vec<String>),
    /// This other version is being watched.
    BeingWatched(u64),
    /// Staged against another version than the running one.
    StaleBase {
        /// The version.
        number: u64,
        /// The version it was staged against.
        base: u64,
        /// The running version.
        runs: u64,
    },
    /// The version is in another state than the call requires.
    WrongStatus {
        /// The version.
        number: u64,
        /// Its state.
        status: VersionStatus,
    },
    /// There is no watched version; the text says what to do instead.
    NothingWatched(&'static str),
}

impl std::fmt::Display for ChangeError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            ChangeError::UnknownVersion(n) => {
                write!(f, "version {n}: expected one that is remembered")
            }
            ChangeError::InvalidFile(all) => f.write_str(&all.join("\n")),
            ChangeError::BeingWatched(n) => {
                write!(f, "version {n} is being watched: keep or undo it first")
            }
            ChangeError::StaleBase { number, base, runs } => {
                write!(
                    f,
                    "version {number} was staged against {base}, {runs} runs now: stage it anew"
                )
            }
            ChangeError::WrongStatus { number, status } => {
                write!(f, "version {number} is {status:?}")
            }
            ChangeError::NothingWatched(what) => f.write_str(what),
        }
    }
}

/// What [`Versions::stage`] found.
#[derive(Clone, Debug, PartialEq)]
pub enum Staging {
    /// A new version; the event is to be written and committed.
    New(ChangeEvent),
    /// The file is this version already.
    Existing(u64),
}

/// A remembered version.
struct Entry {
    version: Version,
    status: VersionStatus,
    values: Values,
    /// Requests admitted under it that have no final response yet.
    pins: u64,
}

/// All remembered versions, and which of them runs.
pub struct Versions {
    schema: Schema,
    entries: BTreeMap<u64, Entry>,
    running: u64,
    /// The last version that was kept: what a restart begins with.
    kept: u64,
    next_number: u64,
}

/// The number of the version before the first: no file at all.
pub const NO_FILE: u64 = 0;

/// Returns the SHA-256 of a text, in hexadecimal.
pub fn text_hash(text: &str) -> String {
    Sha256::digest(text.as_bytes())
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect()
}

impl Versions {
    /// Creates the state without any file.
    pub fn new(schema: Schema) -> Versions {
        let text = format!("<{}/>", schema.root.name);
        let (who, why) = ("nobody".into(), "no file".into());
        let version = Version {
            number: NO_FILE,
            hash: text_hash(&text),
            text,
            who,
            why,
            at: 0.0,
            base: NO_FILE,
        };
        let first = Entry {
            version,
            status: VersionStatus::Kept,
            values: Values::new(),
            pins: 0,
        };
        Versions {
            schema,
            entries: [(NO_FILE, first)].into(),
            running: NO_FILE,
            kept: NO_FILE,
            next_number: 1,
        }
    }

    /// Rebuilds the state from the events of a journal, after a restart: the last kept version runs, and one that was
    /// still being watched is undone. Versions that the current schema refuses are reported in `warnings` and never run.
    pub fn recover(schema: Schema, events: &[ChangeEvent], warnings: &mut Vec<String>) -> Versions {
        let mut versions = Versions::new(schema);
        for event in events {
            versions.replay(event, warnings);
        }
        if versions.running != versions.kept {
            let number = versions.running;
            warnings.push(format!(
                "version {number} was still being watched: undone by the restart"
            ));
            versions.set_status(number, VersionStatus::Undone);
            versions.running = versions.kept;
        }
        versions
    }

    fn replay(&mut self, event: &ChangeEvent, warnings: &mut Vec<String>) {
        let mut checked_values =
            |schema: &Schema, version: &Version| match schema.check(&version.text) {
                Ok(values) => Some(values),
                Err(all) => {
                    let what: Vec<String> = all.iter().map(ToString::to_string).collect();
                    warnings.push(format!(
                        "version {} is not understood any more: {}",
                        version.number,
                        what.join("; ")
                    ));
                    None
                }
            };
        match event {
            ChangeEvent::Snapshot { versions, kept } => {
                self.entries.retain(|n, _| *n == NO_FILE);
                for (version, status) in versions {
                    let Some(values) = checked_values(&self.schema, version) else {
                        continue;
                    };
                    self.insert(version.clone(), status.clone(), values);
                }
                (self.running, self.kept) = (NO_FILE, NO_FILE);
                if self.entries.contains_key(kept) {
                    (self.running, self.kept) = (*kept, *kept);
                }
            }
            ChangeEvent::Staged { version } => {
                if let Some(values) = checked_values(&self.schema, version) {
                    self.insert(version.clone(), VersionStatus::Staged, values);
                }
            }
            other => {
                if let Err(error) = self.commit(other) {
                    warnings.push(format!(
                        "a step does not follow from those before it and is passed over: {error}"
                    ));
                }
            }
        }
        if let ChangeEvent::Staged { version } = event {
            self.next_number = self.next_number.max(version.number + 1);
        }
    }

    fn insert(&mut self, version: Version, status: VersionStatus, values: Values) {
        self.next_number = self.next_number.max(version.number + 1);
        self.entries.insert(
            version.number,
            Entry {
                version,
                status,
                values,
                pins: 0,
            },
        );
    }

    fn set_status(&mut self, number: u64, status: VersionStatus) {
        if let Some(entry) = self.entries.get_mut(&number) {
            entry.status = status;
        }
    }

    /// Stages a file. The same text again, while it is staged or runs, is the same version.
    pub fn stage(&self, text: &str, who: &str, why: &str, at: f64) -> Result<Staging, ChangeError> {
        let (own, base) = (text_hash(text), self.running);
        let same = |h: &&Entry| {
            h.version.hash == own && (h.version.base == base || h.version.number == base)
        };
        let is_current = |h: &&Entry| h.status == VersionStatus::Staged || h.version.number == base;
        if let Some(entry) = self.entries.values().filter(is_current).find(same) {
            return Ok(Staging::Existing(entry.version.number));
        }
        self.schema.check(text).map_err(invalid_file)?;
        let (who, why) = (who.to_owned(), why.to_owned());
        let version = Version {
            number: self.next_number,
            hash: own,
            text: text.to_owned(),
            who,
            why,
            at,
            base,
        };
        Ok(Staging::New(ChangeEvent::Staged { version }))
    }

    /// Applies a staged version to every request admitted from then on.
    pub fn apply(&self, number: u64, who: &str, at: f64) -> Result<ChangeEvent, ChangeError> {
        let entry = self
            .entries
            .get(&number)
            .ok_or(ChangeError::UnknownVersion(number))?;
        if self.running != self.kept {
            return Err(ChangeError::BeingWatched(self.running));
        }
        if entry.status != VersionStatus::Staged {
            return Err(ChangeError::WrongStatus {
                number,
                status: entry.status.clone(),
            });
        }
        if entry.version.base != self.running {
            return Err(ChangeError::StaleBase {
                number,
                base: entry.version.base,
                runs: self.running,
            });
        }
        Ok(ChangeEvent::Applied {
            number,
            at,
            who: who.to_owned(),
        })
    }

    /// Keeps the version that is being watched.
    pub fn keep(&self, why: &str, at: f64) -> Result<ChangeEvent, ChangeError> {
        if self.running == self.kept {
            return Err(ChangeError::NothingWatched("nothing is being watched"));
        }
        Ok(ChangeEvent::Kept {
            number: self.running,
            at,
            why: why.to_owned(),
        })
    }

    /// Undoes the version that is being watched. To go back behind a kept one, stage the file before it again.
    pub fn undo(&self, who: &str, why: &str, at: f64) -> Result<ChangeEvent, ChangeError> {
        if self.running == self.kept {
            return Err(ChangeError::NothingWatched(
                "nothing is being watched; to go back further stage that file anew",
            ));
        }
        Ok(ChangeEvent::Undone {
            number: self.running,
            at,
            who: who.to_owned(),
            why: why.to_owned(),
        })
    }

    /// Takes an event that has been written: it holds for requests admitted from here on.
    ///
    /// # Errors
    ///
    /// If the event does not follow from the current state; nothing changes then.
    pub fn commit(&mut self, event: &ChangeEvent) -> Result<(), ChangeError> {
        match event {
            ChangeEvent::Staged { version } => {
                let values = self.schema.check(&version.text).map_err(invalid_file)?;
                self.insert(version.clone(), VersionStatus::Staged, values);
            }
            ChangeEvent::Applied { number, who, at } => {
                self.apply(*number, who, *at)?;
                self.set_status(*number, VersionStatus::Watched);
                self.running = *number;
            }
            ChangeEvent::Kept { number, .. } if self.running == *number && self.kept != *number => {
                self.set_status(self.kept, VersionStatus::Superseded);
                self.set_status(*number, VersionStatus::Kept);
                self.kept = *number;
            }
            ChangeEvent::Undone { number, .. }
                if self.running == *number && self.kept != *number =>
            {
                self.set_status(*number, VersionStatus::Undone);
                self.running = self.kept;
            }
            ChangeEvent::Kept { number, .. } | ChangeEvent::Undone { number, .. } => {
                let status = self.entries.get(number).map(|h| h.status.clone());
                return Err(
                    status.map_or(ChangeError::UnknownVersion(*number), |status| {
                        ChangeError::WrongStatus {
                            number: *number,
                            status,
                        }
                    }),
                );
            }
            ChangeEvent::Snapshot { .. } => {
                return Err(ChangeError::NothingWatched("a snapshot is no step"))
            }
        }
        self.drop_oldest();
        Ok(())
    }

    /// Returns the whole state as one event, for a compacted journal.
    pub fn snapshot(&self) -> ChangeEvent {
        let all = self
            .entries
            .values()
            .filter(|h| h.version.number != NO_FILE);
        let versions = all.map(|h| (h.version.clone(), h.status.clone())).collect();
        ChangeEvent::Snapshot {
            versions,
            kept: self.kept,
        }
    }

    /// Drops the oldest versions beyond the limit that neither run nor are kept nor have requests pinned to them.
    fn drop_oldest(&mut self) {
        let (running, kept) = (self.running, self.kept);
        let idle = |h: &Entry| {
            let n = h.version.number;
            h.pins == 0 && n != running && n != kept && n != NO_FILE
        };
        let mut over = self.entries.len().saturating_sub(MAX_REMEMBERED);
        let gone: Vec<u64> = self
            .entries
            .values()
            .filter(|h| idle(h))
            .map(|h| h.version.number)
            .collect();
        for number in gone {
            if over == 0 {
                break;
            }
            self.entries.remove(&number);
            over -= 1;
        }
    }

    /// Pins a request to the version under which it is admitted: the running one, or during a watch the kept one.
    pub fn pin(&mut self, number: u64) {
        if let Some(entry) = self.entries.get_mut(&number) {
            entry.pins += 1;
        }
    }

    /// Ends a pin, after the final response. Returns whether it was the last one of a version that no longer runs.
    pub fn unpin(&mut self, number: u64) -> bool {
        let (running, kept) = (self.running, self.kept);
        let Some(entry) = self.entries.get_mut(&number) else {
            return false;
        };
        entry.pins = entry.pins.saturating_sub(1);
        entry.pins == 0 && number != running && number != kept
    }

    /// Returns the number of the running version.
    pub fn running(&self) -> u64 {
        self.running
    }

    /// Returns the number of the last kept version.
    pub fn kept(&self) -> u64 {
        self.kept
    }

    /// Returns the values of a version, if it is remembered.
    pub fn values(&self, number: u64) -> Option<&Values> {
        self.entries.get(&number).map(|h| &h.values)
    }

    /// Iterates over the remembered versions, oldest first, with their states and how many requests are pinned to each.
    pub fn iter(&self) -> impl Iterator<Item = (&Version, &VersionStatus, u64)> {
        self.entries
            .values()
            .map(|h| (&h.version, &h.status, h.pins))
    }
}

fn invalid_file(errors: Vec<ValidationError>) -> ChangeError {
    ChangeError::InvalidFile(errors.iter().map(ToString::to_string).collect())
}
