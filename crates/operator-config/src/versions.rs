//! Versions of the operators' file: staged, checked, applied, watched, kept or undone, each as a whole. A hit is
//! pinned to the version under which it was taken until its final answer; a version ends when its last hit has.
//!
//! No I/O: a call that changes anything first gives the [`Step`] that has to be written, and takes effect when
//! [`Versions::done`] is called with it. What was never done never was.

use crate::check::Values;
use crate::schema::Schema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// How many versions are remembered, besides those that run or are pinned.
const REMEMBERED: usize = 100;

/// A version, as it was staged. Nothing of it ever changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Version {
    pub number: u64,
    /// Of its text, SHA-256 in hexadecimal.
    pub hash: String,
    pub text: String,
    pub who: String,
    pub why: String,
    /// When it was staged: Unix time, seconds.
    pub at: f64,
    /// The version that ran when it was staged.
    pub base: u64,
}

/// How a version stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Standing {
    Staged,
    /// Runs, and may yet be undone by itself.
    Watched,
    Kept,
    Undone,
    /// Another one was kept after it.
    Superseded,
}

/// What happened, as it is written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "step")]
pub enum Step {
    Staged {
        version: Version,
    },
    Applied {
        number: u64,
        at: f64,
        who: String,
    },
    Kept {
        number: u64,
        at: f64,
        why: String,
    },
    Undone {
        number: u64,
        at: f64,
        who: String,
        why: String,
    },
    /// All there is, in place of all that was written before.
    Snapshot {
        versions: Vec<(Version, Standing)>,
        kept: u64,
    },
}

/// Why a call was refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Refusal {
    Unknown(u64),
    /// What is wrong with the file, all of it.
    Wrong(Vec<String>),
    /// Another change is being watched.
    Watched(u64),
    /// Staged against another version than the one that runs.
    Stale {
        number: u64,
        base: u64,
        runs: u64,
    },
    /// It stands otherwise than the call needs.
    Stands {
        number: u64,
        standing: Standing,
    },
    Nothing(&'static str),
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            Refusal::Unknown(n) => write!(f, "version {n}: expected one that is remembered"),
            Refusal::Wrong(all) => f.write_str(&all.join("\n")),
            Refusal::Watched(n) => write!(f, "version {n} is being watched: keep or undo it first"),
            Refusal::Stale { number, base, runs } => {
                write!(
                    f,
                    "version {number} was staged against {base}, {runs} runs now: stage it anew"
                )
            }
            Refusal::Stands { number, standing } => write!(f, "version {number} is {standing:?}"),
            Refusal::Nothing(what) => f.write_str(what),
        }
    }
}

struct Held {
    version: Version,
    standing: Standing,
    values: Values,
    /// Hits taken under it that have no final answer yet.
    hits: u64,
}

pub struct Versions {
    schema: Schema,
    held: BTreeMap<u64, Held>,
    running: u64,
    /// The last version that was kept: what a restart begins with.
    kept: u64,
    next: u64,
}

/// The version that is there before any: no file at all.
pub const NONE: u64 = 0;

pub fn hash(text: &str) -> String {
    Sha256::digest(text.as_bytes())
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect()
}

impl Versions {
    /// Nothing staged, nothing chosen.
    pub fn new(schema: Schema) -> Versions {
        let text = format!("<{}/>", schema.root.name);
        let (who, why) = ("nobody".into(), "no file".into());
        let version = Version {
            number: NONE,
            hash: hash(&text),
            text,
            who,
            why,
            at: 0.0,
            base: NONE,
        };
        let first = Held {
            version,
            standing: Standing::Kept,
            values: Values::new(),
            hits: 0,
        };
        Versions {
            schema,
            held: [(NONE, first)].into(),
            running: NONE,
            kept: NONE,
            next: 1,
        }
    }

    /// What the steps come to, after a restart: the last kept version runs; one that was still being watched is
    /// undone. Versions whose text this program's schema refuses are told and never run.
    pub fn recover(schema: Schema, steps: &[Step], told: &mut Vec<String>) -> Versions {
        let mut versions = Versions::new(schema);
        for step in steps {
            versions.take_in(step, told);
        }
        if versions.running != versions.kept {
            let number = versions.running;
            told.push(format!(
                "version {number} was still being watched: undone by the restart"
            ));
            versions.stand(number, Standing::Undone);
            versions.running = versions.kept;
        }
        versions
    }

    fn take_in(&mut self, step: &Step, told: &mut Vec<String>) {
        let mut known = |schema: &Schema, version: &Version| match schema.check(&version.text) {
            Ok(values) => Some(values),
            Err(all) => {
                let what: Vec<String> = all.iter().map(ToString::to_string).collect();
                told.push(format!(
                    "version {} is not understood any more: {}",
                    version.number,
                    what.join("; ")
                ));
                None
            }
        };
        match step {
            Step::Snapshot { versions, kept } => {
                self.held.retain(|n, _| *n == NONE);
                for (version, standing) in versions {
                    let Some(values) = known(&self.schema, version) else {
                        continue;
                    };
                    self.insert(version.clone(), standing.clone(), values);
                }
                (self.running, self.kept) = (NONE, NONE);
                if self.held.contains_key(kept) {
                    (self.running, self.kept) = (*kept, *kept);
                }
            }
            Step::Staged { version } => {
                if let Some(values) = known(&self.schema, version) {
                    self.insert(version.clone(), Standing::Staged, values);
                }
            }
            other => {
                if let Err(refusal) = self.done(other) {
                    told.push(format!(
                        "a step does not follow from those before it and is passed over: {refusal}"
                    ));
                }
            }
        }
        if let Step::Staged { version } = step {
            self.next = self.next.max(version.number + 1);
        }
    }

    fn insert(&mut self, version: Version, standing: Standing, values: Values) {
        self.next = self.next.max(version.number + 1);
        self.held.insert(
            version.number,
            Held {
                version,
                standing,
                values,
                hits: 0,
            },
        );
    }

    fn stand(&mut self, number: u64, standing: Standing) {
        if let Some(held) = self.held.get_mut(&number) {
            held.standing = standing;
        }
    }

    // What may be done. Each gives the step to write.

    /// Stages a file. The same text again, while it is staged or runs, is the version that it was.
    pub fn stage(
        &self,
        text: &str,
        who: &str,
        why: &str,
        at: f64,
    ) -> Result<Result<Step, u64>, Refusal> {
        let (own, base) = (hash(text), self.running);
        let same = |h: &&Held| {
            h.version.hash == own && (h.version.base == base || h.version.number == base)
        };
        let stands = |h: &&Held| h.standing == Standing::Staged || h.version.number == base;
        if let Some(held) = self.held.values().filter(stands).find(same) {
            return Ok(Err(held.version.number));
        }
        let wrong = |all: Vec<crate::check::Complaint>| {
            Refusal::Wrong(all.iter().map(ToString::to_string).collect())
        };
        self.schema.check(text).map_err(wrong)?;
        let (who, why) = (who.to_owned(), why.to_owned());
        let version = Version {
            number: self.next,
            hash: own,
            text: text.to_owned(),
            who,
            why,
            at,
            base,
        };
        Ok(Ok(Step::Staged { version }))
    }

    /// Applies a staged version to every hit that is taken from then on.
    pub fn apply(&self, number: u64, who: &str, at: f64) -> Result<Step, Refusal> {
        let held = self.held.get(&number).ok_or(Refusal::Unknown(number))?;
        if self.running != self.kept {
            return Err(Refusal::Watched(self.running));
        }
        if held.standing != Standing::Staged {
            return Err(Refusal::Stands {
                number,
                standing: held.standing.clone(),
            });
        }
        if held.version.base != self.running {
            return Err(Refusal::Stale {
                number,
                base: held.version.base,
                runs: self.running,
            });
        }
        Ok(Step::Applied {
            number,
            at,
            who: who.to_owned(),
        })
    }

    /// Keeps the version that is being watched.
    pub fn keep(&self, why: &str, at: f64) -> Result<Step, Refusal> {
        if self.running == self.kept {
            return Err(Refusal::Nothing("nothing is being watched"));
        }
        Ok(Step::Kept {
            number: self.running,
            at,
            why: why.to_owned(),
        })
    }

    /// Undoes the version that is being watched, as a whole. For one that is kept: stage what ran before it anew.
    pub fn undo(&self, who: &str, why: &str, at: f64) -> Result<Step, Refusal> {
        if self.running == self.kept {
            return Err(Refusal::Nothing(
                "nothing is being watched; to go back further stage that file anew",
            ));
        }
        Ok(Step::Undone {
            number: self.running,
            at,
            who: who.to_owned(),
            why: why.to_owned(),
        })
    }

    /// A step has been written: it holds from here on, for hits that are taken later. A step that does not
    /// follow from how things stand is refused; nothing changes then.
    pub fn done(&mut self, step: &Step) -> Result<(), Refusal> {
        match step {
            Step::Staged { version } => {
                let wrong = |all: Vec<_>| {
                    Refusal::Wrong(
                        all.iter()
                            .map(|c: &crate::check::Complaint| c.to_string())
                            .collect(),
                    )
                };
                let values = self.schema.check(&version.text).map_err(wrong)?;
                self.insert(version.clone(), Standing::Staged, values);
            }
            Step::Applied { number, who, at } => {
                self.apply(*number, who, *at)?;
                self.stand(*number, Standing::Watched);
                self.running = *number;
            }
            Step::Kept { number, .. } if self.running == *number && self.kept != *number => {
                self.stand(self.kept, Standing::Superseded);
                self.stand(*number, Standing::Kept);
                self.kept = *number;
            }
            Step::Undone { number, .. } if self.running == *number && self.kept != *number => {
                self.stand(*number, Standing::Undone);
                self.running = self.kept;
            }
            Step::Kept { number, .. } | Step::Undone { number, .. } => {
                let standing = self.held.get(number).map(|h| h.standing.clone());
                return Err(standing.map_or(Refusal::Unknown(*number), |standing| {
                    Refusal::Stands {
                        number: *number,
                        standing,
                    }
                }));
            }
            Step::Snapshot { .. } => return Err(Refusal::Nothing("a snapshot is no step")),
        }
        self.forget();
        Ok(())
    }

    /// What a journal that begins anew has to hold.
    pub fn snapshot(&self) -> Step {
        let all = self.held.values().filter(|h| h.version.number != NONE);
        let versions = all
            .map(|h| (h.version.clone(), h.standing.clone()))
            .collect();
        Step::Snapshot {
            versions,
            kept: self.kept,
        }
    }

    /// Old versions that nothing needs go: neither running nor kept nor pinned by a hit.
    fn forget(&mut self) {
        let (running, kept) = (self.running, self.kept);
        let idle = |h: &Held| {
            let n = h.version.number;
            h.hits == 0 && n != running && n != kept && n != NONE
        };
        let mut over = self.held.len().saturating_sub(REMEMBERED);
        let gone: Vec<u64> = self
            .held
            .values()
            .filter(|h| idle(h))
            .map(|h| h.version.number)
            .collect();
        for number in gone {
            if over == 0 {
                break;
            }
            self.held.remove(&number);
            over -= 1;
        }
    }

    // Hits.

    /// A hit is taken under a version: the running one, or during a watch also the kept one.
    pub fn pin(&mut self, number: u64) {
        if let Some(held) = self.held.get_mut(&number) {
            held.hits += 1;
        }
    }

    /// It has its final answer. Returns whether that was the last hit of a version that runs no more.
    pub fn unpin(&mut self, number: u64) -> bool {
        let (running, kept) = (self.running, self.kept);
        let Some(held) = self.held.get_mut(&number) else {
            return false;
        };
        held.hits = held.hits.saturating_sub(1);
        held.hits == 0 && number != running && number != kept
    }

    // What stands.

    pub fn running(&self) -> u64 {
        self.running
    }

    pub fn kept(&self) -> u64 {
        self.kept
    }

    /// The values of a version; nothing for one that is not remembered.
    pub fn values(&self, number: u64) -> Option<&Values> {
        self.held.get(&number).map(|h| &h.values)
    }

    /// All that is remembered, oldest first, with how it stands and how many hits are pinned to it.
    pub fn all(&self) -> impl Iterator<Item = (&Version, &Standing, u64)> {
        self.held
            .values()
            .map(|h| (&h.version, &h.standing, h.hits))
    }
}
