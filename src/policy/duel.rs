//! The paper's rule: "Efficient-UCBV", Algorithm 1 and Theorem 1. Its data and its use are told at [`Duel`].

use super::*;

impl Duel {
    /// Begins a stage: path groups that payoffs come in, and forwards a second, five seconds of which are T.
    pub fn new(groups: usize, rate: f64) -> Duel {
        let arms = [vec![Count::default(); groups], vec![Count::default(); groups]];
        Duel { arms, horizon: (rate * 5.0).max(200.0), ..Duel::default() } // the design's horizon
    }
    /// log(psi T eps^power), with psi = T / K^2 and K = 2.
    fn log(&self, power: i32) -> f64 {
        (self.horizon * self.horizon / 4.0 * 0.5f64.powi(self.round * power)).ln().max(0.0)
    }
    /// n of the round: the pulls that each arm needs to end it.
    pub fn needed(&self) -> f64 {
        (self.log(2) / (2.0 * 0.5f64.powi(self.round))).ceil()
    }
    pub(crate) fn radius(&self, variance: f64, pulls: f64) -> f64 {
        (0.5 * (variance + 2.0) * self.log(1) / (4.0 * pulls)).sqrt() // rho is the paper's, Theorem 1
    }
    /// An arm's upper confidence bound, in payoffs; infinite without pulls: each arm is pulled once.
    pub fn index(&self, arm: usize) -> f64 {
        let (z, mean, variance) = self.moments(arm);
        mean + self.radius(variance, z)
    }
    /// Whether the next pull is the trial's, by the larger index or as the arm that is left.
    pub fn favours_trial(&self) -> bool {
        self.dropped.map_or_else(|| self.index(TRIAL) >= self.index(EARLIER), |arm| arm == EARLIER)
    }
    /// Whether the trial's index lies below the earlier mean: it is starved before the width can drop it.
    pub fn sunk(&self) -> bool {
        let first = Duel { round: 0, horizon: self.horizon, ..Duel::default() }.needed();
        self.moments(TRIAL).0 >= first && self.index(TRIAL) < self.moments(EARLIER).1
    }
    pub(crate) fn shuns_trial(&self) -> bool {
        self.index(TRIAL) < self.index(EARLIER) - 0.05 // arms in turn stay within a few hundredths
    }
    /// Drops an arm, ends a round. An arm with fewer pulls than the round's n has the width of its own.
    pub fn judge(&mut self) {
        let ((z0, r0, v0), (z1, r1, v1)) = (self.moments(EARLIER), self.moments(TRIAL));
        if self.dropped.is_some() || z0 == 0.0 || z1 == 0.0 {
            return;
        }
        let n = self.needed();
        let (c0, c1) = (self.radius(v0, n.min(z0)), self.radius(v1, n.min(z1)));
        // Ten are the design's stage outcomes before the trial may drop.
        if r1 + c1 < r0 - c0 && self.outcomes >= 10.0 {
            self.dropped = Some(TRIAL);
        } else if r0 + c0 < r1 - c1 {
            self.dropped = Some(EARLIER);
        }
        let last = (0.5 * (self.horizon / std::f64::consts::E).log2()).floor() as i32;
        self.round += i32::from(self.round < last && z0 >= n && z1 >= n);
        // A horizon that has run out starts the next: a trial crowded once must not be starved for ever.
        if z0 + z1 >= self.horizon && self.dropped.is_none() {
            self.restart();
        }
    }
}
