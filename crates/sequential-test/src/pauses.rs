//! A build that slows all nodes, old and new, is seen by no comparison of the two. While all are slower than before
//! the trial, its traffic is paused in one of each pair of windows, by a coin that all agents know and nobody else:
//! if the traffic has nothing to do with the slowdown, the paused window is the faster one with chance one half at
//! most, whatever else comes and goes. Each pair is one bet.

use crate::wealth::Wealth;

/// The first part of a window is not measured: what is in hand comes from the window before.
const SETTLES: f64 = 0.4;
/// What is staked on each pair: a build that slows all wins nearly every one. Two sizes, the cautious one for
/// where chance often turns a pair.
const STAKES: [f64; 2] = [0.95, 0.5];
/// In how many pairs of ten or more the paused window is the faster, at equal load, if the build slows all: what
/// it slows by a quarter stands out of the noise of some hundred answers nearly always.
const WINS: f64 = 0.9;
/// What may still go to the trial in a paused window, of what goes there in an open one.
const RESTED: f64 = 0.3;
/// Answers in each window of a pair, at least: the least that have a mean worth the name.
const ANSWERS: f64 = 5.0;

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    n: f64,
    sum: f64,
}

#[derive(Clone, Debug)]
pub struct Pauses {
    wealth: Wealth,
    /// The length of a window.
    window: f64,
    pair: Option<u64>,
    /// Times in the open and the paused window of this pair.
    means: [Mean; 2],
    /// Whether this pair is on trial: begun in doubt, at its start.
    whole: bool,
    seed: u64,
    /// The logarithm of the evidence that the traffic has no part in the slowdown, in this stage.
    pub acquits: f64,
    /// Forwards at the trial in the open and the paused window of this pair.
    sent: [f64; 2],
    /// Times at equal load in the open and the paused window of this pair.
    levels: [Mean; 2],
    /// Pairs judged, and in how many of them the paused window was the faster.
    pub pairs: (u32, u32),
}

impl Pauses {
    /// `seed` and `window` (seconds; a few mean times of a hit, so that what was sent before has mostly left) are
    /// the same at all agents: made of what all were told.
    pub fn new(seed: u64, window: f64) -> Pauses {
        let wealth = Wealth::of(STAKES.len());
        let (means, levels, sent, pairs) = Default::default();
        Pauses {
            wealth,
            window,
            pair: None,
            means,
            whole: false,
            seed,
            acquits: 0.0,
            levels,
            sent,
            pairs,
        }
    }

    /// The logarithm of the evidence.
    pub fn log(&self) -> f64 {
        self.wealth.log
    }

    /// A coin for a pair: the finalizer of splitmix64 (Steele, Lea, Flood, "Fast Splittable Pseudorandom Number
    /// Generators").
    fn coin(&self, pair: u64) -> bool {
        let mut z = (self.seed << 20 ^ pair).wrapping_add(0x9e37_79b9_7f4a_7c15);
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) & 1 == 1
    }

    /// The pair at this time of the stage, whether its paused window is now, and the time since it began.
    fn at(&self, since: f64) -> (u64, bool, f64) {
        let pair = (since.max(0.0) / (2.0 * self.window)).floor();
        let within = since.max(0.0) - pair * 2.0 * self.window;
        let second = within >= self.window;
        (
            pair as u64,
            self.coin(pair as u64) == second,
            within - if second { self.window } else { 0.0 },
        )
    }

    /// To be called some times in a window, `since` seconds into the stage. `doubt`: whether all are slower than
    /// before the trial. Returns whether the trial's traffic should rest now.
    pub fn step(&mut self, since: f64, doubt: bool) -> bool {
        let (pair, paused, _) = self.at(since);
        if self.pair != Some(pair) {
            self.settle();
            // A pair is begun only at its start, and only in doubt: a choice made before its coin shows.
            let early = since - 2.0 * self.window * pair as f64 <= 0.5 * SETTLES * self.window;
            (self.pair, self.whole) = (Some(pair), doubt && early);
            (self.means, self.levels, self.sent) = Default::default();
        }
        self.whole && paused
    }

    /// The time of an earlier node's answer, as a logarithm against the calm seconds, sent `since` seconds into
    /// the stage; the same at equal load. What a pause leaves to the others may make the one longer, not the
    /// other, so the one speaks against the build and the other for it.
    pub fn time(&mut self, since: f64, log_time: f64, at_load: f64) {
        let (pair, paused, within) = self.at(since);
        if self.whole && self.pair == Some(pair) && within >= SETTLES * self.window {
            for (means, time) in [(&mut self.means, log_time), (&mut self.levels, at_load)] {
                let mean = &mut means[usize::from(paused)];
                (mean.n, mean.sum) = (mean.n + 1.0, mean.sum + time);
            }
        }
    }

    /// A forward has gone to the trial.
    pub fn sent(&mut self, since: f64) {
        let (pair, paused, _) = self.at(since);
        if self.whole && self.pair == Some(pair) {
            self.sent[usize::from(paused)] += 1.0;
        }
    }

    fn settle(&mut self) {
        let [open, paused] = self.means;
        // Where keys are bound to the trial a pause may hardly change what it gets: such a pair tells nothing.
        let rested = self.sent[1] <= RESTED * self.sent[0];
        if self.whole && rested && open.n >= ANSWERS && paused.n >= ANSWERS {
            let faster = paused.sum / paused.n < open.sum / open.n;
            self.wealth.settle(|i| {
                if faster {
                    1.0 + STAKES[i]
                } else {
                    1.0 - STAKES[i]
                }
                .ln()
            });
            // A build that slows all wins at least so many pairs; another's slowdown half of them.
            let [open, paused] = self.levels;
            let gone = paused.sum / paused.n < open.sum / open.n;
            self.acquits += (0.5 / if gone { WINS } else { 1.0 - WINS }).ln();
            self.pairs = (self.pairs.0 + 1, self.pairs.1 + u32::from(faster));
        }
        self.whole = false;
    }
}
