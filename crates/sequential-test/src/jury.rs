//! One comparison, looked at once with all nodes and once without each: what a single sick node brings is not
//! held for or against a build. If one node is sick, the process that leaves it out is an honest one, and the
//! least of all is no larger.

use crate::pair::{Sides, Tally};
use crate::wealth::{Bets, Wealth};

/// How many nodes of a side are told apart; more share a place. With as many as this each brings so few outcomes
/// that several left out together cost nothing.
pub const PLACES: usize = 32;

/// Below this many nodes one of them cannot be told from its build.
const FEW: usize = 3;

/// One block: both sides, and the part of each place on the side whose nodes are left out in turn.
#[derive(Clone, Debug, Default)]
pub struct Block {
    pub sides: Sides,
    pub parts: Vec<Tally>,
}

#[derive(Clone, Debug)]
pub struct Jury {
    bets: Bets,
    side: usize,
    all: Wealth,
    without: Vec<Option<Wealth>>,
    /// All that was taken in.
    pub seen: Sides,
}

impl Jury {
    /// A jury that leaves out nodes of this side (0 the earlier, 1 the trial).
    pub fn new(bets: Bets, side: usize) -> Jury {
        let all = Wealth::new(&bets);
        Jury {
            bets,
            side,
            all,
            without: Vec::new(),
            seen: Sides::default(),
        }
    }

    pub fn take(&mut self, block: &Block) {
        if block.sides[0].n + block.sides[1].n <= 0.0 {
            return;
        }
        self.without
            .resize(block.parts.len().max(self.without.len()), None);
        for (place, wealth) in self.without.iter_mut().enumerate() {
            let part = block.parts.get(place).copied().unwrap_or_default();
            // Until a node has brought something, leaving it out is the same as taking all.
            if wealth.is_none() && part.n > 0.0 {
                *wealth = Some(self.all.clone());
            }
            let Some(wealth) = wealth else { continue };
            let mut sides = block.sides;
            sides[self.side] = sides[self.side].less(part);
            wealth.bet(&sides, &self.bets);
        }
        self.all.bet(&block.sides, &self.bets);
        (0..2).for_each(|g| self.seen[g].add(block.sides[g]));
    }

    /// The logarithm of the evidence, and the place whose absence makes it least. While the nodes are few they are
    /// the build (`few_speak`), or what speaks is not heard.
    pub fn log(&self, few_speak: bool) -> (f64, Option<usize>) {
        let met = self.without.iter().flatten().count();
        if met < FEW {
            return (
                if few_speak {
                    self.all.log
                } else {
                    self.all.log.min(0.0)
                },
                None,
            );
        }
        let each = self
            .without
            .iter()
            .enumerate()
            .filter_map(|(i, w)| Some((w.as_ref()?.log, Some(i))));
        each.fold((self.all.log, None), |least, next| {
            if next.0 < least.0 {
                next
            } else {
                least
            }
        })
    }
}
