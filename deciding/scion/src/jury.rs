//! How the votes and outcomes of all counters move a rollout.
//!
//! A counter alone sees too little of a trial in the few seconds that there are. What all have seen is told as totals;
//! here the same duel is played on the sums, and beside it stands evidence that is quicker than an elimination: the
//! log likelihood ratio of failures and of late answers, by route and in all, against the earlier build at the same
//! time. Failures are held against the build only where they come from many of its appliances.

use crate::Micros;
use magpieline::duel::{lean, Duel, EARLIER, TRIAL};
use magpieline_trellis::records::Phase;
use magpieline_trellis::roster::Pooled;
use magpieline_trellis::words::{Stage, Totals};
use std::collections::BTreeMap;

/// Evidence that convinces: a log likelihood ratio, as in the agent; by chance once in e^6 trials.
const ENOUGH: f64 = 6.0;
/// Less than this leaves no doubt that matters.
const DOUBT: f64 = 2.5;
/// A bad build fails, or is late, this much more often than the earlier one, on one route at least.
const WORSE: f64 = 0.25;
/// The earlier build's usual rate is never taken to be below this: few answers can't show less.
const USUAL_LEAST: f64 = 0.01;
/// Of the share that is allowed so much is used: retries and requests that arrive later count, too.
const OF_SHARE: f64 = 0.8;
/// A guarded stage lasts so long from the first outcomes on; then orders may go to the trial build.
const GUARDED: Micros = 1_500_000;
const GUARDED_OUTCOMES: u32 = 8;
/// Before a build is voted on it has been seen warm for so long, with so many outcomes in all.
const SOAK: Micros = 2_500_000;
const LEAST_OUTCOMES: u32 = 10;
/// Time that is kept for the move before the term ends.
const RESERVE: Micros = 4_500_000;
const MOVE_AT_LEAST: Micros = 700_000;
/// A move waits so long for counters that can't be reached; by then their own lists have shown them.
const MOVE_AT_MOST: Micros = 4_000_000;
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
    first_outcome: Option<Micros>,
    moving_since: Option<Micros>,
    /// What was weighed already, by route.
    weighed: BTreeMap<u64, [Totals; 2]>,
    scores: BTreeMap<u64, Scores>,
}

/// Evidence against the trial build on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Scores {
    pub failed: f64,
    pub late: f64,
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
            duel: Duel::new(64, rate.max(1.0)),
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
        self.scores.values().fold(0.0, |most: f64, s| most.max(s.failed).max(s.late))
    }

    /// Weighs what is new in the totals of all.
    fn weigh(&mut self, pooled: &Pooled) {
        let mut all = [Totals::default(); 2];
        for arms in pooled.routes.values() {
            all.iter_mut().zip(arms).for_each(|(sum, arm)| sum.add(arm));
        }
        for (place, (route, arms)) in pooled.routes.iter().enumerate() {
            let old = self.weighed.insert(*route, *arms).unwrap_or_default();
            let [earlier, trial] = [0, 1].map(|i| arms[i].since(&old[i]));
            // What is usual on a route is known by its own answers, and by all where it has few.
            let usual = |bad: u32, of: u32, all_bad: u32, all_of: u32| {
                let all = (f64::from(all_bad) + 0.5) / (f64::from(all_of) + 30.0);
                ((f64::from(bad) + 10.0 * all) / (f64::from(of) + 10.0)).max(USUAL_LEAST)
            };
            let e = &arms[EARLIER];
            let failing = usual(e.bad, e.outcomes, all[EARLIER].bad, all[EARLIER].outcomes);
            let late = |t: &Totals| t.pulls - t.in_time.min(t.pulls);
            let lating = usual(late(e), e.pulls, late(&all[EARLIER]), all[EARLIER].pulls);
            let scores = self.scores.entry(*route).or_default();
            let passed = f64::from(trial.outcomes - trial.bad.min(trial.outcomes));
            lean(&mut scores.failed, f64::from(trial.bad), passed, failing, (failing + WORSE).min(0.95));
            let in_time = f64::from(trial.in_time);
            lean(&mut scores.late, f64::from(late(&trial)), in_time, lating, (lating + WORSE).min(0.95));
            let _ = earlier;
            for (arm, totals) in arms.iter().enumerate() {
                self.duel.set(arm, place.min(63), f64::from(totals.pulls), f64::from(totals.in_time));
            }
        }
        self.duel.judge();
    }

    /// Of the trial build's appliances that gave outcomes, the part that failed or were late more than once in four.
    fn spread(&self, pooled: &Pooled) -> f64 {
        let met = pooled.spots.values().filter(|s| s.outcomes > 0);
        let (mut all, mut ill) = (0.0, 0.0);
        for spot in met {
            all += 1.0;
            ill += f64::from(u8::from(4 * (spot.bad + spot.late) >= spot.outcomes));
        }
        if all > 0.0 {
            ill / all
        } else {
            0.0
        }
    }

    /// Looks at what all have seen, and says what to do. To be called a few times a second.
    pub fn look(&mut self, look: Look) -> Step {
        self.weigh(look.pooled);
        let now = look.now;
        let outcomes: u32 = look.pooled.routes.values().map(|arms| arms[TRIAL].outcomes).sum();
        if outcomes > 0 && self.first_outcome.is_none() {
            self.first_outcome = Some(now);
        }
        // A third of the appliances have to be ill: one that crashed or stalls condemns no build.
        let many = self.spread(look.pooled) > 0.3;
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
        let guarded = match self.first_outcome {
            None => true,
            Some(first) => now < first + GUARDED || (outcomes < GUARDED_OUTCOMES && now < first + 2 * GUARDED),
        };
        let stage = Stage { share: OF_SHARE * self.share, guarded, focus: 0 };
        if stage != self.stage {
            self.stage = stage;
            return Step::Stage(stage);
        }
        let reserve = RESERVE.min(self.within / 3);
        let due = self.began + self.within - reserve;
        let soaked = look.warm_since.is_some_and(|since| now >= since + SOAK);
        let ripe = soaked && outcomes >= LEAST_OUTCOMES && now >= due;
        if ripe && self.against() < DOUBT && self.duel.dropped() != Some(TRIAL) {
            return Step::Advance(Phase::Moving);
        }
        Step::None
    }

    fn moving(&mut self, look: Look) -> Step {
        let since = *self.moving_since.get_or_insert(look.now);
        let (under_way, unheard) = look.leaving;
        let left = under_way == 0 && unheard == 0;
        let waited = look.now >= since + MOVE_AT_MOST;
        let quick = look.now < since + MOVE_AT_LEAST;
        if !quick && ((left && look.away == 0) || waited) {
            return Step::Advance(Phase::Delivered);
        }
        Step::None
    }
}
