//! Changes under faults: a disk that tears, flips and refuses at every byte, calls in any order against a small
//! model, and watches on good, bad and unlucky days.

use crate::journal::{decode, encode_journal, encode_record, Decoded, Journal, JournalFile};
use crate::versions::{ChangeError, ChangeEvent, Staging, VersionStatus, Versions};
use crate::watch::{Baseline, Decision, Watch, WatchPolicy};
use crate::Schema;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::RefCell;
use std::io;
use std::rc::Rc;

/// A disk in memory. What was not synced may be lost from any byte on; after `left` bytes nothing more fits.
#[derive(Clone, Default)]
struct FakeFile {
    bytes: Rc<RefCell<Vec<u8>>>,
    synced: Rc<RefCell<usize>>,
    left: Rc<RefCell<Option<usize>>>,
    read_only: Rc<RefCell<bool>>,
    copy: Rc<RefCell<Option<Vec<u8>>>>,
}

impl FakeFile {
    fn holding(bytes: &[u8]) -> FakeFile {
        let file_on_disk = FakeFile::default();
        *file_on_disk.bytes.borrow_mut() = bytes.to_vec();
        *file_on_disk.synced.borrow_mut() = bytes.len();
        file_on_disk
    }
    /// What is there after a loss of power that kept so many of the bytes that were not synced.
    fn after_loss(&self, kept: usize) -> FakeFile {
        let bytes = self.bytes.borrow();
        let end = (*self.synced.borrow() + kept).min(bytes.len());
        FakeFile::holding(&bytes[..end])
    }
    fn refuse(&self) -> io::Result<()> {
        if *self.read_only.borrow() {
            Err(io::Error::other("read-only"))
        } else {
            Ok(())
        }
    }
}

impl JournalFile for FakeFile {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.bytes.borrow().clone())
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.refuse()?;
        let fits = self.left.borrow().unwrap_or(usize::MAX).min(bytes.len());
        self.bytes.borrow_mut().extend(&bytes[..fits]);
        if let Some(left) = self.left.borrow_mut().as_mut() {
            *left -= fits;
        }
        if fits < bytes.len() {
            Err(io::Error::other("no space left"))
        } else {
            Ok(())
        }
    }
    fn sync(&mut self) -> io::Result<()> {
        self.refuse()?;
        *self.synced.borrow_mut() = self.bytes.borrow().len();
        Ok(())
    }
    fn truncate(&mut self, len: u64) -> io::Result<()> {
        self.refuse()?;
        self.bytes.borrow_mut().truncate(len as usize);
        let synced = (*self.synced.borrow()).min(len as usize);
        *self.synced.borrow_mut() = synced;
        Ok(())
    }
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.refuse()?;
        if self.left.borrow().is_some_and(|left| left < bytes.len()) {
            return Err(io::Error::other("no space left"));
        }
        *self.bytes.borrow_mut() = bytes.to_vec();
        *self.synced.borrow_mut() = bytes.len();
        Ok(())
    }
    fn keep_copy(&mut self) -> io::Result<()> {
        *self.copy.borrow_mut() = Some(self.bytes.borrow().clone());
        Ok(())
    }
}

fn file(rate: f64) -> String {
    format!("<magpieline><verdict good-sent-back=\"{rate:.4}\"/></magpieline>")
}

fn versions() -> Versions {
    Versions::new(Schema::bundled())
}

/// The event of a good file, if it is a new version.
fn new_event(staging: Result<Staging, ChangeError>) -> Option<ChangeEvent> {
    match staging.expect("a good file") {
        Staging::New(event) => Some(event),
        Staging::Existing(_) => None,
    }
}

/// Stages a file and returns its number.
fn staged(v: &mut Versions, rate: f64) -> u64 {
    match v
        .stage(&file(rate), "ada", "a reason", 1.0)
        .expect("a good file")
    {
        Staging::New(step) => {
            v.commit(&step).expect("it follows");
            v.iter()
                .map(|(version, ..)| version.number)
                .max()
                .expect("one")
        }
        Staging::Existing(number) => number,
    }
}

fn applied(v: &mut Versions, number: u64) -> Result<(), ChangeError> {
    let step = v.apply(number, "ada", 2.0)?;
    v.commit(&step)
}

fn rate(v: &Versions) -> Option<crate::Setting> {
    v.values(v.running())
        .and_then(|values| values.get("verdict.good_sent_back").cloned())
}

#[test]
fn a_version_is_staged_applied_watched_and_kept_or_undone_as_a_whole() {
    let mut v = versions();
    let first = staged(&mut v, 0.1);
    assert_eq!((v.running(), rate(&v)), (0, None));
    applied(&mut v, first).expect("applied");
    assert_eq!(rate(&v), Some(crate::Setting::Number(0.1)));
    let kept = v.keep("long enough", 3.0).expect("watched");
    v.commit(&kept).expect("kept");
    let second = staged(&mut v, 0.2);
    applied(&mut v, second).expect("applied");
    let undone = v.undo("ada", "late", 4.0).expect("watched");
    v.commit(&undone).expect("undone");
    assert_eq!(
        (v.running(), v.kept(), rate(&v)),
        (first, first, Some(crate::Setting::Number(0.1)))
    );
    // An undo of an undo is a change like any other: staged anew, since the undone one stands as undone.
    assert!(matches!(
        v.undo("ada", "", 5.0),
        Err(ChangeError::NothingWatched(_))
    ));
    assert!(matches!(
        applied(&mut v, second),
        Err(ChangeError::WrongStatus {
            status: VersionStatus::Undone,
            ..
        })
    ));
    let again = staged(&mut v, 0.2);
    assert!(again > second);
    applied(&mut v, again).expect("applied");
}

#[test]
fn two_changes_at_once_and_one_staged_against_an_older_base_are_refused() {
    let mut v = versions();
    let (one, two) = (staged(&mut v, 0.1), staged(&mut v, 0.2));
    assert_eq!(
        staged(&mut v, 0.1),
        one,
        "the same file twice is one version"
    );
    applied(&mut v, one).expect("applied");
    assert_eq!(applied(&mut v, two), Err(ChangeError::BeingWatched(one)));
    let during = staged(&mut v, 0.3);
    let kept = v.keep("by hand", 3.0).expect("watched");
    v.commit(&kept).expect("kept");
    assert_eq!(
        applied(&mut v, two),
        Err(ChangeError::StaleBase {
            number: two,
            base: 0,
            runs: one
        })
    );
    applied(&mut v, during).expect("staged against what runs");
    assert_eq!(
        v.apply(99, "ada", 1.0),
        Err(ChangeError::UnknownVersion(99))
    );
    let wrong = v.stage(
        "<magpieline><verdict good-sent-back='9'/><x/></magpieline>",
        "ada",
        "",
        1.0,
    );
    assert!(matches!(wrong, Err(ChangeError::InvalidFile(all)) if all.len() == 2));
}

#[test]
fn a_version_stays_for_as_long_as_a_hit_is_pinned_to_it() {
    let mut v = versions();
    let first = staged(&mut v, 0.1);
    applied(&mut v, first).expect("applied");
    v.pin(first);
    v.pin(first);
    let undone = v.undo("ada", "late", 4.0).expect("watched");
    v.commit(&undone).expect("undone");
    for i in 0..300 {
        staged(&mut v, 0.1001 + f64::from(i) / 1000.0);
    }
    assert!(
        v.values(first).is_some(),
        "two hits are still under way under it"
    );
    assert_eq!((v.unpin(first), v.unpin(first)), (false, true));
    staged(&mut v, 0.45);
    assert!(
        v.values(first).is_none() && v.iter().count() <= 101,
        "remembered no longer, and bounded"
    );
}

/// Some hundred steps, and where each record of them ends.
fn history() -> (Vec<ChangeEvent>, Vec<u8>, Vec<usize>) {
    let (mut v, mut steps) = (versions(), Vec::new());
    for i in 0..34 {
        let text = file(0.001 * f64::from(i + 1));
        let staged = new_event(v.stage(&text, "ada", "step", f64::from(i))).expect("new");
        v.commit(&staged).expect("follows");
        let applied = v
            .apply(
                v.iter().map(|(x, ..)| x.number).max().expect("one"),
                "ada",
                1.0,
            )
            .expect("staged");
        v.commit(&applied).expect("follows");
        let ended = if i % 3 == 0 {
            v.undo("watch", "late", 2.0)
        } else {
            v.keep("quiet", 2.0)
        };
        let ended = ended.expect("watched");
        v.commit(&ended).expect("follows");
        steps.extend([staged, applied, ended]);
    }
    let (bytes, mut ends) = (encode_journal(&steps).expect("bytes"), vec![8]);
    steps
        .iter()
        .for_each(|s| ends.push(ends[ends.len() - 1] + encode_record(s).expect("a record").len()));
    (steps, bytes, ends)
}

/// What runs after these steps, by the rule alone: the last kept.
fn last_kept(steps: &[ChangeEvent]) -> u64 {
    let kept = |s: &ChangeEvent| {
        if let ChangeEvent::Kept { number, .. } = s {
            Some(*number)
        } else {
            None
        }
    };
    steps.iter().rev().find_map(kept).unwrap_or(0)
}

#[test]
fn after_a_loss_of_power_at_any_byte_the_last_kept_version_runs() {
    let (steps, bytes, ends) = history();
    for cut in 0..=bytes.len() {
        let file_on_disk = FakeFile::holding(&bytes[..cut]);
        let opened = Journal::open::<ChangeEvent>(file_on_disk.clone()).expect("it opens");
        let whole = ends.iter().rposition(|e| *e <= cut).unwrap_or(0);
        assert_eq!(opened.records, steps[..whole], "cut at {cut}");
        assert_eq!(
            opened.damage.is_some(),
            cut != 0 && !ends.contains(&cut),
            "cut at {cut}"
        );
        if cut % 41 == 0 || ends.contains(&cut) {
            let v = Versions::recover(Schema::bundled(), &opened.records, &mut Vec::new());
            assert_eq!(
                (v.running(), v.kept()),
                (last_kept(&steps[..whole]), last_kept(&steps[..whole]))
            );
        }
        // It goes on from there, and reads back whole.
        let mut journal = opened.journal;
        journal
            .append(&ChangeEvent::Snapshot {
                versions: Vec::new(),
                kept: 0,
            })
            .expect("added");
        let Decoded {
            records: again,
            damage,
            ..
        } = decode::<ChangeEvent>(&file_on_disk.bytes.borrow());
        assert_eq!((again.len(), damage), (whole + 1, None));
    }
}

#[test]
fn no_flipped_byte_is_taken_for_whole() {
    let (steps, bytes, ends) = history();
    for at in 0..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[at] ^= 1 << (at % 8);
        let Decoded {
            records,
            valid_bytes,
            damage,
        } = decode::<ChangeEvent>(&flipped);
        let before = ends.iter().rposition(|e| *e <= at).unwrap_or(0);
        assert_eq!(records, steps[..before], "flipped at {at}");
        assert!(
            damage.is_some_and(
                |d| d.offset == valid_bytes && d.ignored_bytes == bytes.len() - valid_bytes
            ),
            "flipped at {at}"
        );
    }
    let mut flipped = bytes;
    flipped[ends[10] + 20] ^= 4;
    let file_on_disk = FakeFile::holding(&flipped);
    assert_eq!(
        Journal::open::<ChangeEvent>(file_on_disk.clone())
            .expect("it opens")
            .records
            .len(),
        10
    );
    assert_eq!(
        file_on_disk.copy.borrow().as_deref(),
        Some(&flipped[..]),
        "kept for people to look at"
    );
}

#[test]
fn a_full_or_read_only_disk_refuses_and_spoils_nothing() {
    let (steps, ..) = history();
    let size = encode_journal(&steps).expect("bytes").len();
    for room in (0..size).step_by(61) {
        let file_on_disk = FakeFile::holding(&[]);
        let mut journal = Journal::open::<ChangeEvent>(file_on_disk.clone())
            .expect("it opens")
            .journal;
        *file_on_disk.left.borrow_mut() = Some(room);
        let taken = steps
            .iter()
            .take_while(|s| journal.append(*s).is_ok())
            .count();
        assert!(taken < steps.len());
        // Room again: what follows stands behind what was taken, with nothing between.
        *file_on_disk.left.borrow_mut() = None;
        journal.append(&steps[taken]).expect("room again");
        let Decoded {
            records, damage, ..
        } = decode::<ChangeEvent>(&file_on_disk.bytes.borrow());
        assert_eq!((&records[..], damage), (&steps[..=taken], None));
    }
    // Neither writing nor cutting works: refused until one of them does.
    let file_on_disk = FakeFile::holding(&[]);
    let mut journal = Journal::open::<ChangeEvent>(file_on_disk.clone())
        .expect("it opens")
        .journal;
    journal.append(&steps[0]).expect("added");
    *file_on_disk.left.borrow_mut() = Some(5);
    assert!(journal.append(&steps[1]).is_err());
    *file_on_disk.left.borrow_mut() = None;
    *file_on_disk.read_only.borrow_mut() = true;
    assert!(journal.append(&steps[1]).is_err() && journal.compact(&steps[..1]).is_err());
    assert_eq!(
        file_on_disk.after_loss(3).bytes.borrow().len() as u64,
        journal.len()
    );
    *file_on_disk.read_only.borrow_mut() = false;
    journal.compact(&steps[..3]).expect("begun anew");
    assert_eq!(
        decode::<ChangeEvent>(&file_on_disk.bytes.borrow()).records,
        steps[..3]
    );
}

#[test]
fn a_snapshot_stands_for_all_before_it() {
    let (steps, ..) = history();
    let v = Versions::recover(Schema::bundled(), &steps, &mut Vec::new());
    let anew = Versions::recover(Schema::bundled(), &[v.snapshot()], &mut Vec::new());
    assert_eq!(anew.snapshot(), v.snapshot());
    assert_eq!((anew.running(), rate(&anew)), (v.running(), rate(&v)));
    // A version that is not understood any more is warnings and never runs; a step that does not follow neither.
    let odd = |text: &str| match &steps[0] {
        ChangeEvent::Staged { version } => ChangeEvent::Staged {
            version: crate::versions::Version {
                text: text.into(),
                ..version.clone()
            },
        },
        _ => unreachable!(),
    };
    let mut warnings = Vec::new();
    let v = Versions::recover(
        Schema::bundled(),
        &[odd("<older/>"), steps[1].clone(), steps[4].clone()],
        &mut warnings,
    );
    assert_eq!((v.running(), warnings.len()), (0, 3), "{warnings:?}");
}

proptest! {
    // The same cases every time.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Default::default() })]

    /// Any calls, crashes and restarts against the least that has to hold.
    #[test]
    fn whatever_is_called_what_runs_is_kept_or_watched_and_a_restart_runs_what_was_kept(
        calls in prop::collection::vec((0u8..8, 0u64..12, 0usize..400), 1..80)
    ) {
        let file_on_disk = FakeFile::default();
        let mut journal = Journal::open::<ChangeEvent>(file_on_disk.clone()).expect("it opens").journal;
        let mut v = versions();
        let (mut kept, mut watched): (u64, Option<u64>) = (0, None);
        for (call, number, lost) in calls {
            let step = match call {
                0 | 1 => new_event(v.stage(&file(0.001 * (number + 1) as f64), "ada", "", 1.0)),
                2 | 3 => v.apply(number, "ada", 1.0).ok(),
                4 => v.keep("", 1.0).ok(),
                5 => v.undo("ada", "", 1.0).ok(),
                6 => {
                    *file_on_disk.left.borrow_mut() = None;
                    // A crash: what was not synced is lost from some byte on.
                    let after = file_on_disk.after_loss(lost);
                    *file_on_disk.bytes.borrow_mut() = after.bytes.borrow().clone();
                    let opened = Journal::open::<ChangeEvent>(file_on_disk.clone()).expect("it opens");
                    v = Versions::recover(Schema::bundled(), &opened.records, &mut Vec::new());
                    journal = opened.journal;
                    // The undo by the restart is a step as well.
                    journal.compact(&[v.snapshot()]).expect("room");
                    watched = None;
                    None
                }
                _ => {
                    *file_on_disk.left.borrow_mut() = if lost % 2 == 0 { Some(lost) } else { None };
                    None
                }
            };
            if let Some(step) = step {
                if journal.append(&step).is_err() {
                    // Not written: not done. An undo alone is carried out all the same: a restart comes to it too.
                    *file_on_disk.left.borrow_mut() = None;
                    if !matches!(step, ChangeEvent::Undone { .. }) { continue }
                }
                v.commit(&step).expect("it follows");
                match step {
                    ChangeEvent::Applied { number, .. } => watched = Some(number),
                    ChangeEvent::Kept { number, .. } => (kept, watched) = (number, None),
                    ChangeEvent::Undone { .. } => watched = None,
                    _ => {}
                }
            }
            prop_assert_eq!((v.running(), v.kept()), (watched.unwrap_or(kept), kept));
            prop_assert!(v.values(v.running()).is_some() && v.values(v.kept()).is_some());
            prop_assert_eq!(v.apply(number, "", 1.0).is_ok() && watched.is_some(), false);
        }
    }
}

// ---- watches ----

const POLICY: WatchPolicy = WatchPolicy {
    max_false_undo_rate: 0.01,
    harmless_share: 0.01,
    min_seconds: 10.0,
    max_seconds: 60.0,
};

/// Plays a watch at 500 hits a second: the share failure_rate by time and version. Returns how it ended and when.
fn watched(
    seed: u64,
    policy: &WatchPolicy,
    failure_rate: &dyn Fn(f64, bool) -> f64,
) -> (Decision, f64) {
    let mut chance = ChaCha8Rng::seed_from_u64(seed);
    let mut baseline = Baseline::new(2);
    for i in 0..2000 {
        baseline.record(i % 2, chance.gen_bool(failure_rate(-1.0, true)));
    }
    let mut watch = Watch::new(policy.clone(), &baseline, 0.0);
    for i in 0..60_000 {
        let now = i as f64 / 500.0;
        let old = watch.assign_to_previous(now, chance.gen());
        let randomized = watch.is_randomized();
        watch.record(
            now,
            i % 2,
            old,
            randomized,
            chance.gen_bool(failure_rate(now, old)),
        );
        let next = watch.decide(now);
        if next != Decision::Continue {
            return (next, now);
        }
    }
    unreachable!("a watch ends")
}

#[test]
fn a_harmless_change_is_kept_after_the_least_watch() {
    let ends: Vec<_> = (0..20)
        .map(|seed| watched(seed, &POLICY, &|_, _| 0.01))
        .collect();
    assert!(
        ends.iter().all(|(next, _)| *next == Decision::Keep),
        "{ends:?}"
    );
    assert!(
        ends.iter().filter(|(_, when)| *when < 15.0).count() >= 15,
        "{ends:?}"
    );
}

#[test]
fn a_bad_change_is_undone_within_seconds() {
    let mut times: Vec<f64> = Vec::new();
    for seed in 0..40 {
        let share = [0.08, 0.2, 0.5, 1.0][seed as usize % 4];
        let (next, when) = watched(seed, &POLICY, &|t, old| {
            if t < 0.0 || old {
                0.01
            } else {
                share
            }
        });
        assert!(
            matches!(next, Decision::Undo { .. }),
            "{next:?} at {when}, {share}"
        );
        times.push(when);
    }
    times.sort_by(f64::total_cmp);
    assert!(times[20] < 3.0 && times[39] < 15.0, "{times:?}");
}

#[test]
fn what_meets_both_versions_alike_is_not_blamed_on_the_change() {
    let days: [&dyn Fn(f64, bool) -> f64; 3] = [
        &|t, _| if (0.5..9.0).contains(&t) { 0.5 } else { 0.01 }, // begins just behind the change
        &|t, _| if t < 4.0 { 0.3 } else { 0.01 },                 // began before it
        &|t, _| {
            if t > 0.0 && (t * 0.7).sin() > 0.3 {
                0.4
            } else {
                0.02
            }
        }, // comes and goes
    ];
    for (i, day) in days.iter().enumerate() {
        let undone = (0..60)
            .filter(|s| matches!(watched(*s, &POLICY, day).0, Decision::Undo { .. }))
            .count();
        assert_eq!(undone, 0, "day {i}");
    }
}

#[test]
fn a_change_that_spoils_what_all_hits_share_is_found_by_windows() {
    // Side by side both versions' hits are failure_rate; only while no hit goes by the new one does service recover.
    for seed in 0..10 {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let mut baseline = Baseline::new(1);
        (0..2000).for_each(|_| baseline.record(0, chance.gen_bool(0.01)));
        let (mut watch, mut sick) = (Watch::new(POLICY, &baseline, 0.0), 0.0f64);
        let undone = (0..60_000).find(|i| {
            let now = f64::from(*i) / 500.0;
            let old = watch.assign_to_previous(now, chance.gen());
            let randomized = watch.is_randomized();
            sick = if old {
                (sick - 0.004).max(0.0)
            } else {
                (sick + 0.1).min(1.0)
            };
            watch.record(now, 0, old, randomized, chance.gen_bool(sick.max(0.01)));
            matches!(watch.decide(now), Decision::Undo { .. })
        });
        assert!(undone.is_some_and(|i| i < 60 * 500), "{undone:?}");
    }
}

#[test]
fn false_undos_stay_within_the_stated_rate() {
    // At the edge of harm, on a day of in_doubt, at a rate that some hundred watches can tell.
    let policy = WatchPolicy {
        max_false_undo_rate: 0.2,
        ..POLICY
    };
    let edge = |t: f64, old: bool| {
        let both = if t > 0.0 { 0.15 } else { 0.02 };
        if old {
            both
        } else {
            both + 0.01 * (1.0 - both)
        }
    };
    let undone = (0..120)
        .filter(|s| matches!(watched(*s, &policy, &edge).0, Decision::Undo { .. }))
        .count();
    assert!(undone <= 24, "{undone} of 120");
}
