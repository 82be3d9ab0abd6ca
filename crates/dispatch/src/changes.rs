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
mod tests {
    use super::*;
    use magpieline_operator_config::versions::Staging;

    fn changes() -> Changes {
        Changes::new(
            Versions::new(Schema::bundled()),
            vec!["read".into(), "pay".into()],
            1,
        )
    }

    fn step(c: &mut Changes, step: Result<ChangeEvent, ChangeError>) {
        c.adopt(0.0, &step.expect("allowed")).expect("it follows");
    }

    /// Stages and applies a file that bounds reads to one forward.
    fn apply(c: &mut Changes, most: u32) -> u64 {
        let text = format!(
            "<magpieline><hits><group name='read' most-forwards='{most}'/></hits></magpieline>"
        );
        let Ok(Staging::New(staged)) = c.versions.stage(&text, "ada", "", 0.0) else {
            panic!("a new version");
        };
        step(c, Ok(staged));
        let number = c
            .versions
            .iter()
            .map(|(v, ..)| v.number)
            .max()
            .expect("one");
        let applied = c.versions.apply(number, "ada", 0.0);
        step(c, applied);
        number
    }

    #[test]
    fn a_hit_keeps_the_version_it_was_taken_under() {
        let mut c = changes();
        let (before, free) = c.take(0.0, 0);
        let number = apply(&mut c, 1);
        let (after, bound) = c.take(0.1, 0);
        assert_eq!((before.version, free.most), (0, 0));
        assert_eq!(
            (after.version, bound.most, c.take(0.1, 1).1.most),
            (number, 1, 0)
        );
        let undone = c.versions.undo("ada", "", 0.2);
        step(&mut c, undone);
        assert_eq!(c.take(0.3, 0).0.version, 0);
        assert!(c.versions.values(number).is_some(), "pinned");
        c.ended(after);
    }

    #[test]
    fn a_change_that_spoils_hits_is_undone_and_hits_from_before_it_tell_nothing() {
        let mut c = changes();
        for i in 0..400 {
            let (pinned, _) = c.take(f64::from(i) * 0.01, 0);
            c.outcome(f64::from(i) * 0.01, pinned, 0, false);
            c.ended(pinned);
        }
        let (early, _) = c.take(0.0, 0);
        apply(&mut c, 1);
        (0..100).for_each(|_| c.outcome(0.1, early, 0, true));
        assert!(!c.watch.as_ref().expect("watched").in_doubt());
        for i in 0..4000 {
            let now = 4.0 + f64::from(i) * 0.01;
            let (pinned, bounds) = c.take(now, 0);
            c.outcome(now, pinned, 0, bounds.most == 1 && i % 3 == 0);
            c.ended(pinned);
            if matches!(c.look(now), Decision::Undo { .. }) {
                assert!(i < 1000, "{i}");
                return;
            }
        }
        panic!("never undone");
    }

    #[test]
    fn groups_that_the_platform_does_not_have_are_refused() {
        let read = |text: &str| Schema::bundled().check(text).expect("a good file");
        let odd = read("<magpieline><hits><group name='odd'/></hits></magpieline>");
        assert_eq!(
            changes().fits(&odd),
            Err("hits/group: found 'odd', expected one of read, pay".into())
        );
        let twice =
            read("<magpieline><hits><group name='pay'/><group name='pay'/></hits></magpieline>");
        assert!(changes().fits(&twice).is_err_and(|e| e.contains("again")));
        // The schema has a default for each.
        let WatchPolicy {
            max_false_undo_rate,
            harmless_share,
            min_seconds,
            max_seconds,
        } = watch_policy(&Values::new());
        assert!(
            [max_false_undo_rate, harmless_share, min_seconds]
                .iter()
                .all(|x| *x > 0.0)
                && max_seconds > min_seconds
        );
        assert_eq!(
            watch_policy(&read("<magpieline><watch harm='0.2'/></magpieline>")).harmless_share,
            0.2
        );
    }

    /// A measurement, not a check of CI: `cargo test --release -p magpieline-sidecar cost_of -- --ignored --nocapture`.
    #[test]
    #[ignore = "a measurement"]
    fn cost_of_pinning_a_hit() {
        let mut spent = Vec::new();
        for round in 0..7 {
            let mut c = changes();
            apply(&mut c, 3);
            if round == 6 {
                c.watch = None;
            }
            let begun = std::time::Instant::now();
            for i in 0..1_000_000 {
                let now = f64::from(i) * 0.001;
                let (pinned, bounds) = c.take(now, i as usize % 2);
                std::hint::black_box(bounds);
                c.outcome(now, pinned, i as usize % 2, i % 100 == 0);
                c.ended(pinned);
            }
            spent.push(begun.elapsed().as_secs_f64() * 1e3);
        }
        println!("ns a hit, watched six times, then not: {spent:.0?}");
    }
}
