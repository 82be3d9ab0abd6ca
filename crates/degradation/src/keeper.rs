//! Which level holds: conditions over time, and the rules that keep it from swinging.

use crate::ladder::{Ladder, Level};
use crate::signals::Signals;
use crate::words::{Condition, Test};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Changes that are remembered.
const REMEMBERED: usize = 64;
/// A look later than this after the one before says that the agent stood still, or its clock jumped: nobody knows
/// whether what holds now held meanwhile. Looks come every quarter of a second.
const GAP: f64 = 2.0;
/// A level entered again within so many times the spacing of when it was left was left too early: the next time is
/// twice as long, up to so many times.
const RELAPSE: f64 = 4.0;
const LONGEST: f64 = 16.0;
/// After a start without memory the agent watches for so long before it says that all is well: a few hits by then, or
/// the first second of a jam. Enough of an agent's own at two hits a second to know one share.
pub const FIRST: f64 = 5.0;
/// A level found in a journal counts if it stood no longer ago than this: a restart, not a night.
pub const BELIEVED: f64 = 300.0;

/// A change of level.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Unix time.
    pub at: f64,
    pub from: String,
    pub to: String,
    /// Why, with figures.
    pub because: String,
}

/// Held by hand.
#[derive(Clone, Debug, PartialEq)]
struct Held {
    until: f64,
    who: String,
}

/// A condition with the times since when its tests have held.
#[derive(Clone, Debug, Default)]
struct Timers(Vec<Option<f64>>);

impl Timers {
    /// Whether a condition holds now, each test for as long as it has to; and for the reason, what made it so.
    fn look(
        &mut self,
        now: f64,
        condition: &Condition,
        signals: &Signals,
        why: &mut Vec<(Test, f64)>,
    ) -> bool {
        let mut tests = Vec::new();
        condition.tests(&mut tests);
        self.0.resize(tests.len(), None);
        for (test, since) in tests.into_iter().zip(&mut self.0) {
            let value = signals.value(now, test.signal);
            let holds = value.is_some_and(|v| {
                if test.above {
                    v > test.edge
                } else {
                    v < test.edge
                }
            });
            *since = if holds { since.or(Some(now)) } else { None };
        }
        let mut place = 0;
        self.holds(now, condition, signals, &mut place, why)
    }

    fn holds(
        &self,
        now: f64,
        condition: &Condition,
        signals: &Signals,
        place: &mut usize,
        why: &mut Vec<(Test, f64)>,
    ) -> bool {
        // Every part is looked at, so that the places of tests stay in step.
        let mut each = |parts: &[Condition], why: &mut Vec<(Test, f64)>| -> (usize, usize) {
            let held = parts
                .iter()
                .filter(|p| self.holds(now, p, signals, place, why))
                .count();
            (held, parts.len())
        };
        match condition {
            Condition::Any(parts) => each(parts, why).0 > 0,
            Condition::All(parts) => {
                let before = why.len();
                let (held, all) = each(parts, why);
                if held < all {
                    why.truncate(before);
                }
                held == all
            }
            Condition::Test(test) => {
                let since = self.0.get(*place).copied().flatten();
                *place += 1;
                let holds = since.is_some_and(|s| now - s >= test.lasts);
                if holds {
                    why.push((*test, signals.value(now, test.signal).unwrap_or_default()));
                }
                holds
            }
        }
    }
}

/// Which level holds, since when and why.
pub struct Keeper {
    ladder: Ladder,
    groups: Vec<String>,
    chance: ChaCha8Rng,
    /// 0 is full service.
    level: usize,
    since: f64,
    because: String,
    /// When the level last changed; none before the first change.
    changed_at: Option<f64>,
    looked_at: f64,
    held: Option<Held>,
    enters: Vec<Timers>,
    leaves: Timers,
    /// Since when a change has been due, and how long this agent waits beyond that.
    due: Option<(usize, f64, f64)>,
    /// How many times as long a level is kept, since it was left too early before; when that was.
    patience: f64,
    left_at: f64,
    /// Until when a start without memory watches.
    first_until: f64,
    changes: VecDeque<Change>,
}

impl Keeper {
    /// Starts with full service, watched, or with the level that stood at the end of the journal, so many seconds ago.
    pub fn start(
        ladder: Ladder,
        groups: Vec<String>,
        now: f64,
        seed: u64,
        last: Option<(&Change, f64)>,
    ) -> Keeper {
        let enters = vec![Timers::default(); ladder.levels.len()];
        let known = last.filter(|(_, ago)| (0.0..=BELIEVED).contains(ago));
        let level = known
            .and_then(|(change, _)| ladder.place(&change.to))
            .unwrap_or(0);
        let mut keeper = Keeper {
            ladder,
            groups,
            chance: ChaCha8Rng::seed_from_u64(seed),
            level,
            since: now,
            because: "start".into(),
            changed_at: None,
            looked_at: now,
            held: None,
            enters,
            leaves: Timers::default(),
            due: None,
            patience: 1.0,
            left_at: f64::NEG_INFINITY,
            first_until: now + FIRST,
            changes: VecDeque::new(),
        };
        if let Some((change, ago)) = known {
            keeper.because = format!("as before the restart: {}", change.because);
            // What was known then still binds: a change must not come sooner than without the restart.
            (keeper.changed_at, keeper.since) = (Some(now - ago), now - ago);
            keeper.first_until = now;
            keeper.changes.push_back(change.clone());
        }
        keeper
    }

    /// Takes other levels. One of the same name goes on; else service is full and watched anew.
    pub fn settle(&mut self, now: f64, ladder: Ladder) -> Option<Change> {
        let name = self.ladder.name(self.level).to_owned();
        let place = ladder.place(&name).unwrap_or(0);
        (self.enters, self.leaves) = (
            vec![Timers::default(); ladder.levels.len()],
            Timers::default(),
        );
        (self.ladder, self.due) = (ladder, None);
        if place == 0 && self.level > 0 {
            self.level = 0;
            let mut change = self.change(now, 0, format!("'{name}' is no longer among the levels"));
            change.from = name;
            if let Some(last) = self.changes.back_mut() {
                *last = change.clone();
            }
            return Some(change);
        }
        self.level = place;
        None
    }

    /// Looks at the figures, several times a second; a change holds from then on.
    pub fn look(&mut self, now: f64, signals: &mut Signals) -> Option<Change> {
        let passed = now - self.looked_at;
        if !(0.0..=GAP).contains(&passed) {
            // The clock went back, or the agent stood still. What lasts begins anew; what was waited for stays so.
            if passed < 0.0 {
                self.shift(passed);
            }
            signals.forget();
            self.enters.iter_mut().for_each(|t| t.0.clear());
            self.leaves.0.clear();
            self.due = None;
            self.first_until = now + FIRST;
        }
        self.looked_at = now;
        let mut wanted = None;
        for (i, level) in self.ladder.levels.iter().enumerate() {
            let mut why = Vec::new();
            if self.enters[i].look(now, &level.enter, signals, &mut why) && i + 1 > self.level {
                wanted = Some((i + 1, why));
            }
        }
        let mut why = Vec::new();
        let leaves = self
            .ladder
            .at(self.level)
            .is_some_and(|l| self.leaves.look(now, &l.leave, signals, &mut why));
        if let Some(held) = &self.held {
            if now < held.until {
                return None;
            }
            self.because = format!("no longer held by {}", held.who);
            self.held = None;
        }
        match wanted {
            Some((place, why)) => self.up(now, place, &why),
            None if leaves => self.down(now, &why),
            None => {
                self.due = None;
                None
            }
        }
    }

    /// All times moved by so much.
    fn shift(&mut self, by: f64) {
        self.since += by;
        self.left_at += by;
        self.changed_at = self.changed_at.map(|at| at + by);
        self.held.iter_mut().for_each(|h| h.until += by);
    }

    /// Whether a change may be at all.
    fn may_change(&self, now: f64) -> bool {
        self.changed_at
            .is_none_or(|at| now - at >= self.ladder.spacing)
    }

    /// Whether a change to this place has been due for as long as this agent waits, so that not all change at once.
    fn waited(&mut self, now: f64, place: usize, spread: f64) -> bool {
        let (due, since, wait) = match self.due {
            Some(due) if due.0 == place => due,
            _ => (place, now, spread * self.chance.gen_range(0.0..1.0)),
        };
        self.due = Some((due, since, wait));
        now - since >= wait
    }

    fn up(&mut self, now: f64, wanted: usize, why: &[(Test, f64)]) -> Option<Change> {
        let at_once = self.ladder.at(wanted).is_some_and(|l| l.at_once);
        let place = if at_once { wanted } else { self.level + 1 };
        let spread = if at_once { 0.0 } else { self.ladder.spread };
        if !self.waited(now, place, spread) || !self.may_change(now) {
            return None;
        }
        if now - self.left_at < RELAPSE * self.ladder.spacing * self.patience {
            self.patience = (2.0 * self.patience).min(LONGEST);
        } else {
            self.patience = 1.0;
        }
        let mut because = self.reason(why);
        if place < wanted {
            because = format!("on the way to '{}': {because}", self.ladder.name(wanted));
        }
        Some(self.change(now, place, because))
    }

    fn down(&mut self, now: f64, why: &[(Test, f64)]) -> Option<Change> {
        let least = self.ladder.at(self.level).map_or(0.0, |l| l.least_stay);
        let stay = least.max(self.ladder.spacing) * self.patience;
        if now - self.since < stay
            || !self.waited(now, self.level - 1, self.ladder.spread)
            || !self.may_change(now)
        {
            return None;
        }
        self.left_at = now;
        let because = self.reason(why);
        Some(self.change(now, self.level - 1, because))
    }

    fn reason(&self, why: &[(Test, f64)]) -> String {
        let one = |(test, value): &(Test, f64)| {
            let side = if test.above { "above" } else { "below" };
            let signal = test.signal;
            let lasts = if test.lasts > 0.0 {
                format!(" for {} s", test.lasts)
            } else {
                String::new()
            };
            format!(
                "{} {}, {side} {}{lasts}",
                signal.name(&self.groups),
                signal.show(*value),
                signal.show(test.edge)
            )
        };
        why.iter().map(one).collect::<Vec<_>>().join("; ")
    }

    fn change(&mut self, now: f64, place: usize, because: String) -> Change {
        let name = |place| self.ladder.name(place).to_owned();
        let change = Change {
            at: now,
            from: name(self.level),
            to: name(place),
            because,
        };
        (self.level, self.since, self.changed_at, self.due) = (place, now, Some(now), None);
        self.because = change.because.clone();
        self.leaves = Timers::default();
        if self.changes.len() >= REMEMBERED {
            self.changes.pop_front();
        }
        self.changes.push_back(change.clone());
        change
    }

    /// Holds a level by hand for so many seconds; then conditions decide again. An error names the levels there are.
    pub fn hold(
        &mut self,
        now: f64,
        name: &str,
        seconds: f64,
        who: &str,
    ) -> Result<Option<Change>, String> {
        let place = if name == "full" {
            Some(0)
        } else {
            self.ladder.place(name)
        };
        let Some(place) = place else {
            let known: Vec<&str> = (0..=self.ladder.levels.len())
                .map(|p| self.ladder.name(p))
                .collect();
            return Err(format!(
                "level: found '{name}', expected one of {}",
                known.join(", ")
            ));
        };
        if !(seconds > 0.0 && seconds <= 86_400.0) {
            return Err(format!(
                "for: found {seconds} s, expected a time up to a day"
            ));
        }
        self.held = Some(Held {
            until: now + seconds,
            who: who.to_owned(),
        });
        let because = format!("held by {who} for {seconds} s");
        if place == self.level {
            self.because = because;
            return Ok(None);
        }
        Ok(Some(self.change(now, place, because)))
    }

    /// Conditions decide again from now on; whether a level was held.
    pub fn release(&mut self, who: &str) -> bool {
        let held = self.held.take().is_some();
        if held {
            self.because = format!("released by {who}");
        }
        held
    }

    pub fn level(&self) -> Option<&Level> {
        self.ladder.at(self.level)
    }

    /// The level whose rules hold: a start without memory goes by the mildest until it has seen a few hits.
    pub fn rules(&self, now: f64) -> Option<&Level> {
        let first = self
            .is_first(now)
            .then(|| self.ladder.levels.first())
            .flatten();
        self.level().or(first)
    }

    pub fn name(&self) -> &str {
        self.ladder.name(self.level)
    }

    /// For how long it holds, why, and until when by hand, if so.
    pub fn stands(&self, now: f64) -> (f64, &str, Option<f64>) {
        let until = self.held.as_ref().map(|h| (h.until - now).max(0.0));
        (now - self.since, &self.because, until)
    }

    /// Changes that are remembered, oldest first.
    pub fn changes(&self) -> impl Iterator<Item = &Change> {
        self.changes.iter()
    }

    /// Whether a start without memory is still watching.
    pub fn is_first(&self, now: f64) -> bool {
        self.level == 0 && now < self.first_until
    }

    /// How long the level holds at least from now on, by its own word.
    pub fn stays(&self, now: f64) -> f64 {
        let least = self
            .level()
            .map_or(0.0, |l| l.least_stay.max(self.ladder.spacing));
        (self.since + least * self.patience - now).max(0.0)
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use crate::signals::Reading;
    use crate::words::read;

    const LOOK: f64 = 0.25;

    pub fn groups() -> Vec<String> {
        ["pay", "read"].map(str::to_owned).to_vec()
    }

    fn level(name: &str, enter: &str, leave: &str, at_once: bool) -> Level {
        let (enter, leave) = (
            read(enter, &groups()).expect("good"),
            read(leave, &groups()).expect("good"),
        );
        let rules = vec![crate::ladder::Rule::FULL; 2];
        let (least_stay, holds_trial, connections) = (30.0, false, 1.0);
        Level {
            name: name.into(),
            enter,
            leave,
            least_stay,
            at_once,
            holds_trial,
            connections,
            rules,
        }
    }

    /// Two levels by the processor's load, and one for a jam; one change in 30 s.
    pub fn ladder() -> Ladder {
        let levels = vec![
            level("busy", "cpu > 70% for 2s", "cpu < 50% for 5s", false),
            level("full-house", "cpu > 85% for 2s", "cpu < 60% for 5s", false),
            level("jam", "cpu > 95%", "cpu < 65%", true),
        ];
        Ladder {
            levels,
            spacing: 30.0,
            spread: 5.0,
        }
    }

    fn keeper(seed: u64) -> Keeper {
        Keeper::start(ladder(), groups(), 1000.0, seed, None)
    }

    /// Looks for so many seconds from `now` at a load that is a function of time; the changes on the way.
    fn go(
        k: &mut Keeper,
        s: &mut Signals,
        now: &mut f64,
        seconds: f64,
        load: impl Fn(f64) -> f64,
    ) -> Vec<Change> {
        let (end, mut changes) = (*now + seconds, Vec::new());
        while *now < end {
            *now += LOOK;
            s.read(*now, Reading::Cpu, load(*now));
            changes.extend(k.look(*now, s));
        }
        changes
    }

    fn names(changes: &[Change]) -> Vec<&str> {
        changes.iter().map(|c| c.to.as_str()).collect()
    }

    #[test]
    fn levels_go_up_and_down_by_steps_with_their_reasons() {
        let (mut k, mut s, mut now) = (keeper(1), Signals::new(2), 1000.0);
        assert!(go(&mut k, &mut s, &mut now, 20.0, |_| 0.4).is_empty());
        let up = go(&mut k, &mut s, &mut now, 60.0, |_| 0.9);
        assert_eq!(names(&up), ["busy", "full-house"]);
        assert_eq!(
            up[0].because,
            "on the way to 'full-house': cpu 90.0%, above 85.0% for 2 s"
        );
        assert_eq!(up[1].because, "cpu 90.0%, above 85.0% for 2 s");
        assert!(
            up[0].at <= 1000.0 + 20.0 + 2.0 + 5.0 + 1.0 && up[1].at - up[0].at >= 30.0,
            "{up:?}"
        );
        let down = go(&mut k, &mut s, &mut now, 200.0, |_| 0.3);
        assert_eq!(names(&down), ["busy", "full"]);
        assert_eq!(down[1].because, "cpu 30.0%, below 50.0% for 5 s");
    }

    #[test]
    fn what_is_at_stake_is_met_at_once_past_milder_levels() {
        let (mut k, mut s, mut now) = (keeper(1), Signals::new(2), 1000.0);
        go(&mut k, &mut s, &mut now, 20.0, |_| 0.4);
        let up = go(&mut k, &mut s, &mut now, 1.0, |_| 0.99);
        assert_eq!(names(&up), ["jam"]);
        assert!(up[0].at <= 1020.0 + 2.0 * LOOK, "{up:?}");
    }

    /// Load that hovers at an edge at any pace: never two changes within the spacing, and over ten minutes far fewer.
    #[test]
    fn hovering_load_does_not_make_it_swing() {
        for period in [0.5, 1.0, 3.0, 10.0, 20.0, 30.0, 45.0, 60.0, 90.0, 120.0] {
            for seed in 0..5 {
                let (mut k, mut s, mut now) = (keeper(seed), Signals::new(2), 1000.0);
                let wave = |t: f64| 0.62 + 0.3 * (std::f64::consts::TAU * t / period).sin();
                let changes = go(&mut k, &mut s, &mut now, 600.0, wave);
                for pair in changes.windows(2) {
                    assert!(pair[1].at - pair[0].at >= 30.0, "{period}: {pair:?}");
                }
                assert!(changes.len() <= 10, "{period}: {} changes", changes.len());
            }
        }
    }

    /// A thousand agents that see the same step don't change in the same second, and all have within the spread.
    #[test]
    fn agents_that_see_the_same_are_spread() {
        let mut seconds = [0; 12];
        for seed in 0..1000 {
            let (mut k, mut s, mut now) = (keeper(seed), Signals::new(2), 1000.0);
            go(&mut k, &mut s, &mut now, 20.0, |_| 0.4);
            let up = go(&mut k, &mut s, &mut now, 10.0, |_| 0.8);
            assert_eq!(names(&up), ["busy"]);
            seconds[(up[0].at - 1020.0) as usize] += 1;
        }
        assert!(seconds.iter().all(|n| *n <= 300), "{seconds:?}");
    }

    #[test]
    fn a_level_left_too_early_is_kept_longer_the_next_time() {
        let (mut k, mut s, mut now) = (keeper(3), Signals::new(2), 1000.0);
        let mut stays = Vec::new();
        for _ in 0..4 {
            let up = go(&mut k, &mut s, &mut now, 40.0, |_| 0.8);
            let entered = up.first().map_or(now, |c| c.at);
            let mut down = Vec::new();
            while down.is_empty() && now < entered + 1000.0 {
                down = go(&mut k, &mut s, &mut now, 1.0, |_| 0.3);
            }
            stays.push(down[0].at - entered);
        }
        assert!(
            stays[1] > 1.5 * stays[0] && stays[2] > 1.5 * stays[1],
            "{stays:?}"
        );
    }

    #[test]
    fn what_is_unknown_is_never_taken_for_good() {
        let (mut k, mut s, mut now) = (keeper(1), Signals::new(2), 1000.0);
        go(&mut k, &mut s, &mut now, 20.0, |_| 0.8);
        assert_eq!(k.name(), "busy");
        // No reading comes any more.
        for _ in 0..2000 {
            now += LOOK;
            assert_eq!(k.look(now, &mut s), None);
        }
        assert_eq!(k.name(), "busy");
    }

    #[test]
    fn a_clock_that_jumps_changes_no_level() {
        let (mut k, mut s, mut now) = (keeper(1), Signals::new(2), 1000.0);
        go(&mut k, &mut s, &mut now, 20.0, |_| 0.8);
        assert_eq!(k.name(), "busy");
        for jump in [-500.0, 3600.0, -1e6, 1e7] {
            now += jump;
            let changes = go(&mut k, &mut s, &mut now, 3.0, |_| 0.3);
            assert!(changes.is_empty(), "{jump}: {changes:?}");
        }
        // And what it waits for still comes.
        assert_eq!(
            names(&go(&mut k, &mut s, &mut now, 100.0, |_| 0.3)),
            ["full"]
        );
    }

    #[test]
    fn held_by_hand_ends_by_itself() {
        let (mut k, mut s, mut now) = (keeper(1), Signals::new(2), 1000.0);
        assert_eq!(
            k.hold(now, "odd", 10.0, "ada"),
            Err("level: found 'odd', expected one of full, busy, full-house, jam".into())
        );
        assert!(k.hold(now, "busy", 1e9, "ada").is_err());
        let change = k
            .hold(now, "full-house", 600.0, "ada")
            .expect("good")
            .expect("another");
        assert_eq!(
            (change.to.as_str(), change.because.as_str()),
            ("full-house", "held by ada for 600 s")
        );
        assert!(go(&mut k, &mut s, &mut now, 599.0, |_| 0.1).is_empty());
        assert_eq!(k.stands(now).2, Some(1.0));
        assert_eq!(
            names(&go(&mut k, &mut s, &mut now, 200.0, |_| 0.1)),
            ["busy", "full"]
        );
        k.hold(now, "jam", 600.0, "ada").expect("good");
        assert!(k.release("ada") && !k.release("ada"));
        assert_eq!(
            names(&go(&mut k, &mut s, &mut now, 200.0, |_| 0.1)),
            ["full-house", "busy", "full"]
        );
    }

    #[test]
    fn after_a_restart_the_level_comes_back_with_its_age() {
        let last = Change {
            at: 0.0,
            from: "full".into(),
            to: "full-house".into(),
            because: "cpu".into(),
        };
        let start = |ago| Keeper::start(ladder(), groups(), 1000.0, 1, Some((&last, ago)));
        let (mut k, mut s, mut now) = (start(10.0), Signals::new(2), 1000.0);
        assert_eq!((k.name(), k.is_first(1000.0)), ("full-house", false));
        assert_eq!(k.stands(1000.0), (10.0, "as before the restart: cpu", None));
        // The spacing counts on from before the restart.
        let down = go(&mut k, &mut s, &mut now, 45.0, |_| 0.3);
        assert!(names(&down) == ["busy"] && down[0].at >= 1020.0, "{down:?}");
        // A night ago is no restart.
        let k = start(1000.0);
        assert_eq!((k.name(), k.is_first(1000.0)), ("full", true));
    }

    #[test]
    fn other_levels_keep_the_one_that_holds_if_they_know_it() {
        let (mut k, mut s, mut now) = (keeper(1), Signals::new(2), 1000.0);
        go(&mut k, &mut s, &mut now, 60.0, |_| 0.9);
        assert_eq!(k.name(), "full-house");
        let mut other = ladder();
        other.levels.remove(0);
        assert_eq!(k.settle(now, other), None);
        assert_eq!((k.name(), k.level), ("full-house", 1));
        let mut other = ladder();
        other.levels.truncate(1);
        let change = k.settle(now, other).expect("a change");
        assert_eq!(
            (change.from.as_str(), change.to.as_str()),
            ("full-house", "full")
        );
        assert_eq!(change.because, "'full-house' is no longer among the levels");
        assert_eq!(k.name(), "full");
        go(&mut k, &mut s, &mut now, 60.0, |_| 0.9);
        assert_eq!(k.name(), "busy");
    }

    proptest::proptest! {
        #![proptest_config(proptest::test_runner::Config { cases: 60,
            rng_seed: proptest::test_runner::RngSeed::Fixed(19), failure_persistence: None, ..Default::default() })]

        /// Whatever is read, whenever: never two changes of its own within the spacing.
        #[test]
        fn never_two_changes_within_the_spacing(seed: u64, loads in proptest::collection::vec((0.0..1.0, 0.1..40.0), 1..40)) {
            let (mut k, mut s, mut now) = (keeper(seed), Signals::new(2), 1000.0);
            let mut all = Vec::new();
            for (load, seconds) in loads {
                all.extend(go(&mut k, &mut s, &mut now, seconds, |_| load));
            }
            for pair in all.windows(2) {
                proptest::prop_assert!(pair[1].at - pair[0].at >= 30.0, "{:?}", pair);
            }
        }
    }
}
