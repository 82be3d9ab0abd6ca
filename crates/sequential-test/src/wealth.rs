//! A process of bets: it starts at one, and as long as the null holds its mean never rises. So the chance that it
//! ever reaches 1 / rate is at most the rate (Ville's inequality), whenever and however often one looks.
//!
//! Each block is bet on by a mixture of points of the alternative, one of which never bets. The mixture moves
//! towards those that did well (fixed share: Herbster and Warmuth, "Tracking the Best Expert"), so what has
//! been lost while a build was well is not missed when it turns bad, and nobody needs to know the rates before.

use crate::pair::{log_ratio, Sides};

/// The points of an alternative, as rates of the earlier and the trial, and the line that bounds its null.
#[derive(Clone, Debug)]
pub struct Bets {
    pub points: Vec<[f64; 2]>,
    pub beyond: f64,
}

/// Error rates of the earlier build that are thought possible, from hardly any to half of all.
const USUAL: [f64; 5] = [0.001, 0.008, 0.04, 0.15, 0.5];
/// What a bad build fails of what is left: bets, no bounds.
const FAILS: [f64; 3] = [0.05, 0.15, 0.5];
impl Bets {
    /// Bets that the trial fails more than this share of what the earlier one would have served.
    pub fn fails(beyond: f64) -> Bets {
        let point =
            |usual: f64, fails: f64| [usual, usual + fails.max(2.0 * beyond) * (1.0 - usual)];
        let points = USUAL
            .iter()
            .flat_map(|u| FAILS.iter().map(move |f| point(*u, *f)))
            .collect();
        Bets { points, beyond }
    }

    /// Bets that the trial fails no more than the earlier one, against at least this share more.
    pub fn holds(beyond: f64) -> Bets {
        Bets {
            points: USUAL.iter().map(|u| [*u, *u]).collect(),
            beyond,
        }
    }
}

/// The share of the mixture that is dealt out anew after each block: small, since it is lost while all goes on as
/// before (2% in a block of half a second is one nat in 25 s), and not too small, since its logarithm is what a
/// build that turns late costs (some six nats).
const DEALT: f64 = 0.02;

/// A wealth, as a logarithm, and its mixture. The last weight is that of not betting.
#[derive(Clone, Debug)]
pub struct Wealth {
    pub log: f64,
    weights: Vec<f64>,
}

impl Wealth {
    pub fn new(bets: &Bets) -> Wealth {
        Wealth::of(bets.points.len())
    }

    /// A wealth for so many points.
    pub fn of(points: usize) -> Wealth {
        let all = points + 1;
        Wealth {
            log: 0.0,
            weights: vec![1.0 / all as f64; all],
        }
    }

    /// Takes in one block of a comparison.
    pub fn bet(&mut self, sides: &Sides, bets: &Bets) {
        if sides[0].n + sides[1].n > 0.0 {
            self.settle(|i| log_ratio(sides, bets.points[i], bets.beyond));
        }
    }

    /// Takes in what each point of the alternative has won or lost, as logarithms. The mean of what each wins
    /// must be at most one under the null, given all that was taken in before.
    pub fn settle(&mut self, won: impl Fn(usize) -> f64) {
        // Scaled by the largest, which is at least that of not betting: nothing overflows.
        let last = self.weights.len() - 1;
        let mut top: f64 = 0.0;
        for (i, w) in self.weights.iter_mut().enumerate() {
            // Weights and winnings are multiplied as logarithms: either may be far from one.
            *w = w.ln() + if i < last { won(i) } else { 0.0 };
            top = if i == 0 { *w } else { top.max(*w) };
        }
        let sum: f64 = self.weights.iter().map(|w| (w - top).exp()).sum();
        self.log += top + sum.ln();
        let dealt = DEALT / self.weights.len() as f64;
        self.weights
            .iter_mut()
            .for_each(|w| *w = (1.0 - DEALT) * (*w - top).exp() / sum + dealt);
    }
}
