//! Versions of the operators' file as hits see them: each is pinned to one from the door to its final answer. No
//! I/O; what has to be written is written by `life`.

use magpieline_operator_config::versions::{ChangeError, ChangeEvent, Versions};
use magpieline_operator_config::watch::{Baseline, Decision, Watch, WatchPolicy};
use magpieline_operator_config::{number, text, Schema, Values};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// What operators allow for a hit of a path group; 0 where they state nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Bounds {
    pub most: u32,
    pub longest: f64,
}

/// The version that a hit was taken under.
#[derive(Clone, Copy, Debug)]
pub struct Pinned {
    pub version: u64,
    /// It is the one before the change that is being watched.
    old: bool,
    /// A coin decided that.
    doubtful: bool,
}

pub struct Changes {
    pub versions: Versions,
    groups: Vec<String>,
    /// By version, then by path group.
    bounds: BTreeMap<u64, Vec<Bounds>>,
    baseline: Baseline,
    pub watch: Option<Watch>,
    chance: ChaCha8Rng,
}

/// The bounds of all path groups; an error names a group that the platform does not have, or one that stands twice.
pub fn bounds(values: &Values, groups: &[String]) -> Result<Vec<Bounds>, String> {
    let mut all = vec![None; groups.len()];
    for i in 0.. {
        let Some(name) = text(values, &format!("hits.group.{i}.name")) else {
            break;
        };
        let Some(group) = groups.iter().position(|g| g == name) else {
            return Err(format!(
                "hits/group: found '{name}', expected one of {}",
                groups.join(", ")
            ));
        };
        let of = |what: &str| number(values, &format!("hits.group.{i}.{what}")).unwrap_or(0.0);
        let own = Bounds {
            most: of("most_forwards") as u32,
            longest: of("longest_forward_s"),
        };
        if all[group].replace(own).is_some() {
            return Err(format!(
                "hits/group: found '{name}' again, expected each once"
            ));
        }
    }
    Ok(all.into_iter().map(Option::unwrap_or_default).collect())
}

/// How a change is watched under these values; where they say nothing, the schema's defaults, which stand nowhere
/// else.
pub fn watch_policy(values: &Values) -> WatchPolicy {
    let plain = Schema::bundled()
        .check("<magpieline><watch/></magpieline>")
        .unwrap_or_default();
    let of = |name: &str| {
        let name = format!("watch.{name}");
        number(values, &name)
            .or_else(|| number(&plain, &name))
            .unwrap_or_default()
    };
    WatchPolicy {
        max_false_undo_rate: of("false_undos"),
        harmless_share: of("harm"),
        min_seconds: of("least_s"),
        max_seconds: of("longest_s"),
    }
}

impl Changes {
    pub fn new(versions: Versions, groups: Vec<String>, seed: u64) -> Changes {
        let chance = ChaCha8Rng::seed_from_u64(seed);
        let baseline = Baseline::new(groups.len());
        let mut changes = Changes {
            versions,
            groups,
            bounds: BTreeMap::new(),
            baseline,
            watch: None,
            chance,
        };
        changes.refresh();
        changes
    }

    /// What can't be said in the schema: names that only the platform knows.
    pub fn fits(&self, values: &Values) -> Result<(), String> {
        bounds(values, &self.groups).map(drop)
    }

    /// Values of the version that runs.
    pub fn values(&self) -> Values {
        self.versions
            .values(self.versions.running())
            .cloned()
            .unwrap_or_default()
    }

    /// Bounds of the versions that hits may be taken under.
    fn refresh(&mut self) {
        let (running, kept) = (self.versions.running(), self.versions.kept());
        self.bounds.retain(|n, _| *n == running || *n == kept);
        for number in [running, kept] {
            let values = self.versions.values(number).cloned().unwrap_or_default();
            let groups = &self.groups;
            self.bounds
                .entry(number)
                .or_insert_with(|| bounds(&values, groups).unwrap_or_default());
        }
    }

    /// A step has been written: it holds for hits that are taken from now on.
    pub fn adopt(&mut self, now: f64, step: &ChangeEvent) -> Result<(), ChangeError> {
        self.versions.commit(step)?;
        match step {
            // Watched by the stricter word of none: the version before says how its follower is watched.
            ChangeEvent::Applied { .. } => {
                let before = self
                    .versions
                    .values(self.versions.kept())
                    .cloned()
                    .unwrap_or_default();
                self.watch = Some(Watch::new(watch_policy(&before), &self.baseline, now));
            }
            ChangeEvent::Kept { .. } | ChangeEvent::Undone { .. } => self.watch = None,
            _ => {}
        }
        self.refresh();
        Ok(())
    }

    /// Pins a hit to a version; what that allows for it.
    pub fn take(&mut self, now: f64, group: usize) -> (Pinned, Bounds) {
        let (mut old, mut doubtful) = (false, false);
        if let Some(watch) = &mut self.watch {
            let draw = self.chance.gen();
            old = watch.assign_to_previous(now, draw);
            doubtful = watch.is_randomized();
        }
        let version = if old {
            self.versions.kept()
        } else {
            self.versions.running()
        };
        self.versions.pin(version);
        let bounds = self
            .bounds
            .get(&version)
            .and_then(|b| b.get(group))
            .copied()
            .unwrap_or_default();
        (
            Pinned {
                version,
                old,
                doubtful,
            },
            bounds,
        )
    }

    /// A hit has its final answer: spoilt if it errored, was bounced or came late.
    pub fn outcome(&mut self, now: f64, pinned: Pinned, group: usize, spoilt: bool) {
        match &mut self.watch {
            // Only of the two versions that are compared: one taken under a third was on its way before.
            Some(watch)
                if pinned.version == self.versions.running()
                    || pinned.version == self.versions.kept() =>
            {
                // The kept version's hits from before the change speak for neither.
                let before = !pinned.old && pinned.version == self.versions.kept();
                if !before {
                    watch.record(now, group, pinned.old, pinned.doubtful, spoilt);
                }
            }
            Some(_) => {}
            None => self.baseline.record(group, spoilt),
        }
    }

    /// Nothing more is to come for a hit.
    pub fn ended(&mut self, pinned: Pinned) {
        self.versions.unpin(pinned.version);
    }

    /// What the watch says.
    pub fn look(&mut self, now: f64) -> Decision {
        self.watch
            .as_mut()
            .map_or(Decision::Continue, |w| w.decide(now))
    }
}

#[cfg(test)]
mod tests;
