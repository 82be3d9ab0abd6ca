//! Counts of payoffs, the two arms that they are played for, and what speaks against a build beyond them:
//! plain data with its arithmetic. The duel's rule, which decides, is `policy/duel.rs`.

/// Count, sum and sum of squares of payoffs, times or shares: all that mean and variance need. Counts are no
/// whole numbers, since what is old fades.
///
/// `z` is how many values went in (faded ones by what is left of them), `sum` their sum in the values' unit,
/// `squares` the sum of their squares in that unit squared. Without values all moments are 0.
#[derive(Clone, Copy, Default, Debug, PartialEq)]
pub struct Count {
    pub z: f64,
    pub sum: f64,
    pub squares: f64,
}

impl Count {
    /// Counts one value in.
    pub fn add(&mut self, x: f64) {
        self.z += 1.0;
        self.sum += x;
        self.squares += x * x;
    }
    /// The mean, in the values' unit.
    pub fn mean(&self) -> f64 {
        self.sum / self.z.max(f64::MIN_POSITIVE)
    }
    /// The variance (squares over count, less the mean squared), in the unit squared.
    pub fn variance(&self) -> f64 {
        (self.squares / self.z.max(f64::MIN_POSITIVE) - self.mean() * self.mean()).max(0.0)
    }
    /// Variance of the mean.
    pub fn error(&self) -> f64 {
        self.variance() / self.z.max(f64::MIN_POSITIVE)
    }
    /// Keeps this part, 0 to 1, of all that went in; the mean stays.
    pub fn fade(&mut self, keep: f64) {
        (self.z, self.sum, self.squares) = (self.z * keep, self.sum * keep, self.squares * keep);
    }
    /// Adds one while those before it fade.
    pub fn follow(&mut self, keep: f64, x: f64) {
        self.fade(keep);
        self.add(x);
    }
    /// What two counts hold together.
    pub fn with(&self, other: &Count) -> Count {
        Count { z: self.z + other.z, sum: self.sum + other.sum, squares: self.squares + other.squares }
    }
}

/// The arm of the build that serves already.
pub const EARLIER: usize = 0;
/// The arm of the build on trial.
pub const TRIAL: usize = 1;

/// A duel of two arms, the build that serves and the one on trial, by the rule of "Efficient-UCBV: An Almost
/// Optimal Algorithm using Variance Estimates": Algorithm 1 with two arms, and the rho of Theorem 1. How it
/// was stretched, and why, is in `docs/design.md`.
///
/// Each arm ([`EARLIER`], [`TRIAL`]) holds one [`Count`] of payoffs for each path group. A payoff has no unit
/// and lies between 0 and 1; the decisions count 1 for an answer within the path group's target, else 0. An
/// arm's mean and variance are over all its path groups in the trial's mix ([`Duel::moments`]), so that
/// groups which are late more often than others tell nothing of the builds.
///
/// The caller plays the arm that [`Duel::favours_trial`] names, adds the payoff and lets the rule judge; an
/// arm that is dropped stays so. A bad trial may starve by its index before it can drop ([`Duel::sunk`]).
/// There is no clock in it: a stage begins with [`Duel::new`].
///
/// ```
/// use magpieline::{Duel, EARLIER, TRIAL};
///
/// let mut duel = Duel::new(2, 30.0); // two path groups, 30 forwards a second
/// for pull in 0..80 {
///     let arm = [EARLIER, TRIAL][pull % 2]; // both alike here, to be short
///     duel.add(arm, 0, if arm == TRIAL { 0.0 } else { 1.0 }); // a trial that is never in time
///     duel.outcome(arm);
///     duel.judge();
/// }
/// assert_eq!(duel.dropped(), Some(TRIAL));
/// assert_eq!((duel.pulls(EARLIER), duel.outcomes()), (40.0, 40.0));
/// assert!(!duel.favours_trial() && duel.index(TRIAL) < duel.index(EARLIER));
/// ```
#[derive(Clone, Default, Debug)]
pub struct Duel {
    /// Payoffs by arm and path group.
    pub(crate) arms: [Vec<Count>; 2],
    /// The paper's m, from 0: its epsilon is 2 to the power of -m.
    pub(crate) round: i32,
    pub(crate) dropped: Option<usize>,
    /// Outcomes of the trial in this stage, fair payoffs or not.
    pub(crate) outcomes: f64,
    /// The paper's T, in pulls of both arms.
    pub(crate) horizon: f64,
}

/// What speaks against a build beyond its payoffs: log likelihood ratios (natural logarithm, 0 and more) of
/// its errors and of the answers that clients found wrong, and how its nodes' times and the pauses look.
#[derive(Clone, Default, Debug)]
pub struct Evidence {
    /// Errors by path group, then all together; complaints.
    pub(crate) faults: Vec<f64>,
    pub(crate) complaints: f64,
    pub(crate) slower: f64,
    /// How long earlier nodes have been slower than before the trial, 1 being too long.
    pub(crate) stays: f64,
    /// How often in a row a pause of the trial made a slowdown go.
    pub(crate) abated: u32,
}

impl Duel {
    /// Adds a payoff (0 to 1) of an arm in a path group, below the number of groups that it was made with.
    pub fn add(&mut self, arm: usize, group: usize, payoff: f64) {
        self.arms[arm][group].add(payoff);
    }
    /// Counts an outcome of the stage in, one that is no fair payoff as well. Only the trial's are counted.
    pub fn outcome(&mut self, arm: usize) {
        self.outcomes += arm as f64;
    }
    /// The trial's outcomes in this stage.
    pub fn outcomes(&self) -> f64 {
        self.outcomes
    }
    /// The payoffs that an arm holds, over all path groups: the paper's z.
    pub fn pulls(&self, arm: usize) -> f64 {
        self.moments(arm).0
    }
    /// The arm that the rule has dropped, if any.
    pub fn dropped(&self) -> Option<usize> {
        self.dropped
    }
    /// Forgets payoffs, rounds and what was dropped; outcomes and horizon stay.
    pub(crate) fn restart(&mut self) {
        self.arms.iter_mut().flatten().for_each(|count| *count = Count::default());
        (self.round, self.dropped) = (0, None);
    }
    /// Pulls, mean and variance of an arm; the earlier one's in the trial's mix of path groups.
    pub fn moments(&self, arm: usize) -> (f64, f64, f64) {
        let (mut z, mut mix) = (0.0, Count::default());
        for (own, trial) in self.arms[arm].iter().zip(&self.arms[TRIAL]).filter(|(own, _)| own.z > 0.0) {
            z += own.z;
            let share = (trial.z + 1e-6) / own.z; // where the trial has none yet, all groups count alike
            let part = Count { z: own.z * share, sum: own.sum * share, squares: own.squares * share };
            mix = mix.with(&part);
        }
        (z, mix.mean(), mix.variance())
    }
}

impl Evidence {
    /// Adds the log likelihood ratio (natural logarithm) of a bad rate of faults against the usual one, after
    /// so many faults and passes, to a sum that stays above zero: Page's cumulative sum. Both rates are parts
    /// of all answers, `0 < usual < bad < 1`; faults and passes may be parts of one, and taken back below 0.
    ///
    /// ```
    /// let mut score = 0.0;
    /// magpieline::Evidence::lean(&mut score, 1.0, 0.0, 0.01, 0.05);
    /// assert_eq!(score, 5f64.ln());
    /// ```
    pub fn lean(score: &mut f64, faults: f64, passes: f64, usual: f64, bad: f64) {
        let step = faults * (bad / usual).ln() + passes * ((1.0 - bad) / (1.0 - usual)).ln();
        *score = (*score + step).max(0.0);
    }
    pub(crate) fn fade(&mut self, keep: f64) {
        self.faults.iter_mut().for_each(|s| *s *= keep);
        self.complaints *= keep;
    }
    pub(crate) fn new(groups: usize) -> Evidence {
        Evidence { faults: vec![0.0; groups + 1], ..Evidence::default() }
    }
}
