//! How the votes and outcomes of all counters move a rollout.
//!
//! A counter alone sees too little of a trial in the few seconds that there are. What all have seen is told as totals;
//! here the same duel is played on the sums, and beside it stands evidence that is quicker than an elimination: the
//! log likelihood ratio of failures and of late answers, by route and in all, against the earlier build at the same
//! time. Failures are held against the build only where they come from many of its appliances.

use crate::Micros;
use magpieline::{Duel, Evidence, EARLIER, TRIAL};
use magpieline_control_plane::messages::{Stage, Totals};
use magpieline_control_plane::proxy_registry::Pooled;
use magpieline_control_plane::state_machine::Phase;
use std::collections::BTreeMap;

/// Evidence that convinces: a log likelihood ratio, as in the agent; by chance once in e^6 trials.
const ENOUGH: f64 = 6.0;
/// Less than this leaves no doubt that matters.
const DOUBT: f64 = 2.5;
/// A bad build fails, or is late, this much more often than the earlier one, on one route at least.
const WORSE: f64 = 0.25;
/// The earlier build's usual rate is never taken to be below this: few answers can't show less.
const USUAL_LEAST: f64 = 0.01;
/// The same for late answers: one alone leaves no doubt.
const USUAL_LATE: f64 = 0.03;
/// A route with fewer outcomes of the trial build than this is weighed with all others only: what few requests met by
/// chance would stand for ever.
const LEAST_OF_ROUTE: u32 = 6;
/// A build that fails under load only fails a little more often while it has little: this much, against a usual rate
/// that many answers of the earlier one have shown. It is a reason to doubt, not to condemn.
const LITTLE_WORSE: f64 = 0.04;
const LITTLE_USUAL: f64 = 0.003;
/// Such failures count for this much of the others: the move shows them anyway, and two by chance must not stop a build.
const LITTLE_COUNTS: f64 = 0.7;
/// Of the share that is allowed so much is used: retries and requests that arrive later count, too.
const OF_SHARE: f64 = 0.65;
/// A guarded stage lasts so long from the first outcomes on; then orders may go to the trial build. Twice that is the
/// most, also if no outcome comes at all: some services have no request that may run again.
const GUARDED: Micros = 1_500_000;
const GUARDED_OUTCOMES: u32 = 8;
/// Before a build is voted on it has been seen warm for so long, or in so many pulls (which are warm ones), with so many
/// outcomes in all.
const SOAK: Micros = 2_500_000;
const SOAK_PULLS: u32 = 40;
const LEAST_OUTCOMES: u32 = 10;
/// In doubt to the last, a build is returned so long before the term ends.
const LAST: Micros = 1_500_000;
/// Time that is kept for the move before the term ends.
const RESERVE: Micros = 4_500_000;
const MOVE_AT_LEAST: Micros = 700_000;
/// A move waits so long for counters that can't be reached; by then their own lists have shown them.
const MOVE_AT_MOST: Micros = 4_000_000;
/// Routes that the duel tells apart; more of them share the last place.
const ROUTES: usize = 64;
/// So many bad outcomes at least have to be left when the worst appliances are left out.
const WIDESPREAD: u32 = 3;
/// Votes back of so many counters send back, whatever the sums say.
const BACK_VOTES: u32 = 2;

/// What the leader knows when it looks.
#[derive(Clone, Copy, Debug)]
pub struct Look<'a> {
    pub now: Micros,
    pub pooled: &'a Pooled,
    /// Appliances of the trial build that are listed as ready, and since when all of them have been warm.
    pub listed: usize,
    pub warm_since: Option<Micros>,
    /// Forwards under way to the old build, and counters that have not told that they know of the move.
    pub leaving: (u32, u32),
    /// Counters that can't be reached now.
    pub away: u32,
}

/// What is to be done with a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    None,
    /// All counters enter this stage.
    Stage(Stage),
    /// The agreement is asked for this phase.
    Advance(Phase),
}

/// The judge of one rollout.
pub struct Jury {
    began: Micros,
    within: Micros,
    phase: Phase,
    share: f64,
    stage: Stage,
    duel: Duel,
    /// Since when counters have been told of a stage, and outcomes of the trial build have come in.
    told: Option<Micros>,
    /// The guarded stage is over; it doesn't come again.
    open: bool,
    first_outcome: Option<Micros>,
    moving_since: Option<Micros>,
    /// What was weighed already, by route; none: all of them together.
    weighed: BTreeMap<Option<u64>, [Totals; 2]>,
    scores: BTreeMap<Option<u64>, Scores>,
}

/// Evidence against the trial build on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Scores {
    pub failed: f64,
    pub late: f64,
    /// Failures that are few, but more than the earlier build's.
    pub little: f64,
    /// Whether there are enough outcomes to go by.
    pub known: bool,
}

impl Jury {
    /// `began`: when it was ordered; `within`: the time that it has; `share`: what the rules allow it of requests.
    pub fn new(began: Micros, within: Micros, phase: Phase, share: f64, rate: f64) -> Jury {
        Jury {
            began,
            within,
            phase,
            share,
            stage: Stage::default(),
            duel: Duel::new(ROUTES, rate),
            told: None,
            open: false,
            first_outcome: None,
            moving_since: None,
            weighed: BTreeMap::new(),
            scores: BTreeMap::new(),
        }
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// The agreement has moved the rollout.
    pub fn moved(&mut self, now: Micros, phase: Phase) {
        if self.phase != phase {
            self.phase = phase;
            self.moving_since = (phase == Phase::Moving).then_some(now);
        }
    }

    /// The strongest evidence against the trial build; [`ENOUGH`] convinces.
    pub fn against(&self) -> f64 {
        self.known()
            .fold(0.0, |most: f64, s| most.max(s.failed).max(s.late))
    }

    fn known(&self) -> impl Iterator<Item = &Scores> {
        self.scores
            .iter()
            .filter(|(route, s)| s.known || route.is_none())
            .map(|(_, s)| s)
    }

    /// What speaks against it without condemning it; above [`DOUBT`] it is not moved to.
    pub fn doubt(&self) -> f64 {
        self.known()
            .fold(self.against(), |most, s| most.max(LITTLE_COUNTS * s.little))
    }

    /// What it rests on, in a line.
    pub fn account(&self, pooled: &Pooled) -> String {
        let mut sums = [Totals::default(); 2];
        for arms in pooled.routes.values() {
            sums.iter_mut()
                .zip(arms)
                .for_each(|(sum, arm)| sum.add(arm));
        }
        let [e, t] = sums;
        format!(
            "trial {} of {} in time, {} failed of {}; earlier {} of {}, {} failed of {}; against it {:.1} of {ENOUGH}, \
             doubt {:.1}, {}, votes back {}, on {}, of {}",
            t.in_time, t.pulls, t.bad, t.outcomes, e.in_time, e.pulls, e.bad, e.outcomes, self.against(), self.doubt(),
            if self.widespread(pooled) { "widespread" } else { "at few appliances" }, pooled.back, pooled.on, pooled.voices
        )
    }

    /// Weighs what is new in the totals of all.
    fn weigh(&mut self, pooled: &Pooled) {
        let mut all = [Totals::default(); 2];
        for arms in pooled.routes.values() {
            all.iter_mut().zip(arms).for_each(|(sum, arm)| sum.add(arm));
        }
        let with_all = pooled
            .routes
            .iter()
            .map(|(route, arms)| (Some(*route), arms))
            .chain([(None, &all)]);
        for (place, (route, arms)) in with_all.enumerate() {
            let old = self.weighed.insert(route, *arms).unwrap_or_default();
            let new = [0, 1].map(|i| arms[i].since(&old[i]));
            let trial = &new[TRIAL];
            // What is usual on a route is known by its own answers, and by all where it has few.
            let usual = |bad: u32, of: u32, all_bad: u32, all_of: u32| {
                let all = (f64::from(all_bad) + 0.5) / (f64::from(all_of) + 30.0);
                (f64::from(bad) + 10.0 * all) / (f64::from(of) + 10.0)
            };
            let (e, every) = (&arms[EARLIER], &all[EARLIER]);
            let late = |t: &Totals| t.pulls - t.in_time.min(t.pulls);
            let failing = usual(e.bad, e.outcomes, every.bad, every.outcomes);
            let lating = usual(late(e), e.pulls, late(every), every.pulls).max(USUAL_LATE);
            let scores = self.scores.entry(route).or_default();
            scores.known = arms[TRIAL].outcomes >= LEAST_OF_ROUTE;
            let (bad, passed) = (
                f64::from(trial.bad),
                f64::from(trial.outcomes - trial.bad.min(trial.outcomes)),
            );
            let (plain, little) = (failing.max(USUAL_LEAST), failing.max(LITTLE_USUAL));
            Evidence::lean(
                &mut scores.failed,
                bad,
                passed,
                plain,
                (plain + WORSE).min(0.95),
            );
            Evidence::lean(
                &mut scores.little,
                bad,
                passed,
                little,
                (little + LITTLE_WORSE).min(0.95),
            );
            let (slow, in_time) = (f64::from(late(trial)), f64::from(trial.in_time));
            Evidence::lean(
                &mut scores.late,
                slow,
                in_time,
                lating,
                (lating + WORSE).min(0.95),
            );
            if route.is_none() {
                continue; // the duel knows routes
            }
            for (arm, totals) in new.iter().enumerate() {
                for i in 0..totals.pulls {
                    self.duel.add(
                        arm,
                        place.min(ROUTES - 1),
                        f64::from(u8::from(i < totals.in_time)),
                    );
                }
                (0..totals.outcomes).for_each(|_| self.duel.outcome(arm));
            }
        }
        self.duel.judge();
    }

    /// Whether what is bad comes from many of the trial build's appliances: with the worst eighth of them left out
    /// there is still some, and a quarter of all.
    fn widespread(&self, pooled: &Pooled) -> bool {
        let mut ills: Vec<u32> = pooled
            .spots
            .values()
            .filter(|s| s.outcomes > 0)
            .map(|s| s.bad + s.late)
            .collect();
        ills.sort_unstable_by(|a, b| b.cmp(a));
        let left_out = if ills.len() > 1 {
            ills.len().div_ceil(8)
        } else {
            0
        };
        let (all, rest): (u32, u32) = (ills.iter().sum(), ills[left_out..].iter().sum());
        rest >= WIDESPREAD && 4 * rest >= all
    }

    /// Looks at what all have seen, and says what to do. To be called a few times a second.
    pub fn look(&mut self, look: Look) -> Step {
        self.weigh(look.pooled);
        let now = look.now;
        let outcomes: u32 = look
            .pooled
            .routes
            .values()
            .map(|arms| arms[TRIAL].outcomes)
            .sum();
        if outcomes > 0 && self.first_outcome.is_none() {
            self.first_outcome = Some(now);
        }
        // One appliance that is sick or stalls condemns no build.
        let many = self.widespread(look.pooled);
        let convinced = self.against() >= ENOUGH || self.duel.dropped() == Some(TRIAL);
        let voted = look.pooled.back >= BACK_VOTES && self.against() >= DOUBT;
        if matches!(self.phase, Phase::Trial | Phase::Moving) && many && (convinced || voted) {
            return Step::Advance(Phase::Returned);
        }
        match self.phase {
            Phase::Trial => self.trial(look, outcomes),
            Phase::Moving => self.moving(look),
            Phase::Delivered | Phase::Returned => Step::None,
        }
    }

    fn trial(&mut self, look: Look, outcomes: u32) -> Step {
        let now = look.now;
        if look.listed == 0 {
            return Step::None;
        }
        let told = *self.told.get_or_insert(now);
        let guarded = match self.first_outcome {
            _ if self.open => false,
            None => now < told + 2 * GUARDED,
            Some(first) => {
                now < first + GUARDED || (outcomes < GUARDED_OUTCOMES && now < first + 2 * GUARDED)
            }
        };
        self.open = !guarded;
        let stage = Stage {
            share: OF_SHARE * self.share,
            guarded,
            focus: 0,
        };
        if stage != self.stage {
            self.stage = stage;
            return Step::Stage(stage);
        }
        let reserve = RESERVE.min(self.within / 3);
        let due = self.began + self.within - reserve;
        let pulls: u32 = look
            .pooled
            .routes
            .values()
            .map(|arms| arms[TRIAL].pulls)
            .sum();
        let soaked = look
            .warm_since
            .is_some_and(|since| now >= since + SOAK || pulls >= SOAK_PULLS);
        let ripe = soaked && outcomes >= LEAST_OUTCOMES && now >= due;
        let doubted = self.doubt() >= DOUBT || self.duel.dropped() == Some(TRIAL);
        if ripe && !doubted {
            return Step::Advance(Phase::Moving);
        }
        let last = now + LAST.min(self.within / 6) >= self.began + self.within;
        if doubted && last {
            return Step::Advance(Phase::Returned);
        }
        Step::None
    }

    fn moving(&mut self, look: Look) -> Step {
        let since = *self.moving_since.get_or_insert(look.now);
        let (under_way, unheard) = look.leaving;
        let left = under_way == 0 && unheard == 0 && look.away == 0;
        let waited = look.now >= since + MOVE_AT_MOST;
        // The old appliances end as soon as it is delivered: with a doubt left it is not.
        match (self.doubt() >= DOUBT, waited) {
            (true, true) => return Step::Advance(Phase::Returned),
            (true, false) => return Step::None,
            (false, _) => {}
        }
        if look.now >= since + MOVE_AT_LEAST && (left || waited) {
            return Step::Advance(Phase::Delivered);
        }
        Step::None
    }
}
