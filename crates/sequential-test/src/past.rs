//! Once a build is released nothing is left beside it to compare with. What speaks then is the past: the share of
//! errors that was usual before. A trouble that meets all nodes alike looks just like a bad build, but it ends: so
//! the time is cut into spans as long as such a trouble lasts at most, and the two spans side by side that speak
//! loudest (one trouble can't touch three) are left out.

use crate::pair::Tally;
use crate::wealth::Wealth;

/// Shares of errors that are bet on, beside the usual and a margin.
const POINTS: [f64; 4] = [0.05, 0.12, 0.3, 0.6];

#[derive(Clone, Debug)]
pub struct Past {
    /// The share of errors that a good build has at most.
    usual: f64,
    began: f64,
    span: f64,
    index: u64,
    wealth: Wealth,
    /// The finished spans: their sum, the last one, and the loudest two side by side.
    sum: f64,
    last: f64,
    loudest: f64,
    pub seen: Tally,
}

impl Past {
    pub fn new(began: f64, usual: f64, span: f64) -> Past {
        let wealth = Wealth::of(POINTS.len());
        let span = span.max(0.5);
        let usual = usual.clamp(1e-4, 0.9);
        let (sum, last, loudest) = (0.0, 0.0, 0.0);
        Past {
            usual,
            began,
            span,
            index: 0,
            wealth,
            sum,
            last,
            loudest,
            seen: Tally::default(),
        }
    }

    /// Takes in a block of the released build's outcomes.
    pub fn take(&mut self, now: f64, block: Tally) {
        let index = ((now - self.began).max(0.0) / self.span) as u64;
        if index != self.index {
            self.loudest = self.loudest.max(self.last + self.wealth.log);
            self.sum += self.wealth.log;
            // A span without outcomes between: its neighbour is the empty one.
            self.last = if index == self.index + 1 {
                self.wealth.log
            } else {
                0.0
            };
            (self.index, self.wealth) = (index, Wealth::of(POINTS.len()));
        }
        if block.n > 0.0 {
            self.seen.add(block);
            let usual = self.usual;
            self.wealth.settle(|i| {
                // A point at or below the usual bets on nothing.
                let a = POINTS[i].max(usual);
                block.marked * (a / usual).ln()
                    + (block.n - block.marked) * ((1.0 - a) / (1.0 - usual)).ln()
            });
        }
    }

    /// The logarithm of the evidence without the two loudest spans.
    pub fn log(&self) -> f64 {
        let now = self.wealth.log;
        self.sum + now - self.loudest.max(self.last + now).max(0.0)
    }
}
