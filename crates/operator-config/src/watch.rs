//! Watching a change that has just been applied. Service dips for many reasons; whether the change is to blame is
//! told by a fair comparison: in doubt a coin decides for each hit whether it is taken under the new version or
//! the one before, and the two are compared moment by moment with `verdict`'s test. A burst, a shared slowdown or
//! a release that moves meets both alike. The doubt itself decides nothing, so it may be as quick as it likes.
//!
//! A change may spoil what all hits share (a node that it makes look sick is so for both), and then hits side by
//! side fare alike. So a doubt that lasts goes on in windows: in each pair of them one, by a coin, takes all hits
//! under the version before. Each pair is one bet, fair if the change has no part in what is spoilt. Either
//! comparison has half of the stated rate.

use magpieline_sequential_test::pair::{Sides, Tally};
use magpieline_sequential_test::wealth::{Bets, Wealth};

/// What operators state of watches; times in seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Care {
    /// Of changes that do no harm at most this share is undone.
    pub false_undos: f64,
    /// A change that spoils no more than this share of the hits does no harm.
    pub harm: f64,
    /// Kept after the longest watch, never before the least.
    pub least: f64,
    pub longest: f64,
}

/// A block: long enough that both versions have hits in it, short against a burst.
const BLOCK: f64 = 0.25;
/// Service is known by the last so many outcomes of a path group.
const RECENT: f64 = 50.0;
/// A dip of this share below what was usual before the change raises a doubt.
const DIP: f64 = 0.03;
/// A doubt lasts this long beyond the last sign of it: two pairs of windows.
const DOUBT: f64 = 6.0;

/// A doubt compares hits side by side for this long, then windows: by then even a mild harm shows if it can.
const SIDE_BY_SIDE: f64 = 6.0;
/// A window: nodes that were left out are tried again within its first part, which is not counted.
const WINDOW: f64 = 1.5;
const SETTLES: f64 = 0.5;
/// What is staked on a pair of windows, boldly and with care.
const STAKES: [f64; 2] = [0.95, 0.5];
/// Hits in each window of a pair, at least.
const HITS: f64 = 10.0;

/// Old and new.
const OLD: usize = 0;
const NEW: usize = 1;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Next {
    GoOn,
    /// The stated evidence that the change spoils hits is there: the path group, or all together.
    Undo {
        group: Option<usize>,
    },
    Keep,
}

struct Part {
    usual: Option<f64>,
    recent: f64,
    block: Sides,
    wealth: Wealth,
    /// All that was compared.
    seen: Sides,
}

impl Part {
    /// Whether hits fare worse than was usual, beyond five standard errors of what is known of late.
    fn dips(&self) -> bool {
        let usual = self.usual.unwrap_or(0.0);
        self.recent > usual + DIP.max(5.0 * (usual * (1.0 - usual) / (2.0 * RECENT)).sqrt())
    }
}

/// Pairs of windows, while a doubt lasts.
struct Windows {
    wealth: Wealth,
    /// The share of hits that a harmless change may spoil.
    harm: f64,
    /// When the present pair began, whether its first window is the old version's, and what it brought.
    pair: Option<(f64, bool)>,
    seen: Sides,
}

impl Windows {
    /// The version of the window at this time, and whether it has settled; none between pairs.
    fn at(&self, now: f64) -> Option<(usize, bool)> {
        let (began, old_first) = self.pair.filter(|(began, _)| now < began + 2.0 * WINDOW)?;
        let within = now - began;
        let side = if (within < WINDOW) == old_first {
            OLD
        } else {
            NEW
        };
        Some((side, within.rem_euclid(WINDOW) >= SETTLES))
    }

    /// The version for a hit that is taken now; a pair that comes due is begun by this draw.
    fn take(&mut self, now: f64, draw: f64) -> usize {
        if self.at(now).is_none() {
            self.settle();
            self.pair = Some((now, draw < 0.5));
        }
        self.at(now).map_or(OLD, |(side, _)| side)
    }

    fn settle(&mut self) {
        let [old, new] = std::mem::take(&mut self.seen);
        if self.pair.take().is_some() && old.n >= HITS && new.n >= HITS {
            // Worse by no more than what does no harm is no win.
            let better = new.share() > old.share() + self.harm * (1.0 - old.share());
            self.wealth.settle(|i| {
                if better {
                    1.0 + STAKES[i]
                } else {
                    1.0 - STAKES[i]
                }
                .ln()
            });
        }
    }
}

pub struct Watch {
    care: Care,
    began: f64,
    now: f64,
    block_ends: f64,
    doubt_until: f64,
    bets: Bets,
    /// By path group, then all together.
    parts: Vec<Part>,
    /// Since when there has been a doubt without an end.
    doubted: Option<f64>,
    windows: Windows,
}

/// What is usual before any change, kept up to date all the time: the share of spoilt hits by path group.
#[derive(Clone, Debug)]
pub struct Usual {
    groups: Vec<Option<f64>>,
}

impl Usual {
    pub fn new(groups: usize) -> Usual {
        Usual {
            groups: vec![None; groups],
        }
    }
    /// A hit has its final answer: spoilt if it errored, was bounced or came late.
    pub fn outcome(&mut self, group: usize, spoilt: bool) {
        if let Some(usual) = self.groups.get_mut(group) {
            let x = f64::from(u8::from(spoilt));
            *usual = Some(usual.map_or(x, |u| u + (x - u) / (4.0 * RECENT)));
        }
    }
}

impl Watch {
    pub fn new(care: Care, usual: &Usual, now: f64) -> Watch {
        let bets = Bets::fails(care.harm);
        let all = usual.groups.iter().flatten();
        let mean = all.clone().sum::<f64>() / all.count().max(1) as f64;
        let part = |usual: Option<f64>| Part {
            usual,
            recent: usual.unwrap_or(0.0),
            block: Sides::default(),
            wealth: Wealth::new(&bets),
            seen: Sides::default(),
        };
        let parts = usual
            .groups
            .iter()
            .copied()
            .chain([Some(mean)])
            .map(part)
            .collect();
        let (began, block_ends) = (now, now + BLOCK);
        let windows = Windows {
            wealth: Wealth::of(STAKES.len()),
            harm: care.harm,
            pair: None,
            seen: Sides::default(),
        };
        let (doubt_until, doubted) = (now, None);
        Watch {
            care,
            began,
            now,
            block_ends,
            doubt_until,
            bets,
            parts,
            doubted,
            windows,
        }
    }

    /// Whether a hit taken now goes under the version before, by a draw from 0 to 1.
    pub fn takes_old(&mut self, now: f64, draw: f64) -> bool {
        self.advance(now);
        if !self.doubts() {
            (self.doubted, self.windows.pair) = (None, None);
            return false;
        }
        let since = *self.doubted.get_or_insert(self.now);
        if self.now < since + SIDE_BY_SIDE {
            draw < 0.5
        } else {
            self.windows.take(self.now, draw) == OLD
        }
    }

    /// Whether a hit taken now goes by a coin of its own.
    pub fn side_by_side(&self) -> bool {
        self.doubts()
            && self
                .doubted
                .is_none_or(|since| self.now < since + SIDE_BY_SIDE)
    }

    /// Whether there is a doubt just now.
    pub fn doubts(&self) -> bool {
        self.now < self.doubt_until
    }

    /// A hit has its final answer. `doubtful`: a coin of its own decided; only such hits are compared
    /// side by side.
    pub fn outcome(&mut self, now: f64, group: usize, old: bool, doubtful: bool, spoilt: bool) {
        self.advance(now);
        let x = f64::from(u8::from(spoilt));
        let last = self.parts.len() - 1;
        let side = if old { OLD } else { NEW };
        let in_windows = self.doubts() && !self.side_by_side();
        if in_windows && self.windows.at(now) == Some((side, true)) {
            self.windows.seen[side].add(Tally::new(1.0, x));
        }
        for i in [group.min(last), last] {
            let part = &mut self.parts[i];
            if doubtful {
                part.block[side].add(Tally::new(1.0, x));
            }
            if !old {
                part.recent += (x - part.recent) / RECENT;
            }
            // A path group that was not met before the change is held against the other version only.
            if part.dips() {
                // Goes on for as long as the new version's hits fare worse than was usual.
                self.doubt_until = self.doubt_until.max(now + DOUBT);
            }
            if i == last {
                break;
            }
        }
    }

    /// What is to be done now.
    pub fn look(&mut self, now: f64) -> Next {
        self.advance(now);
        let last = self.parts.len() - 1;
        if self.windows.wealth.log >= -(0.5 * self.care.false_undos).ln() {
            return Next::Undo { group: None };
        }
        let needed = self.needed();
        let worst = self
            .parts
            .iter()
            .enumerate()
            .max_by(|a, b| a.1.wealth.log.total_cmp(&b.1.wealth.log));
        if let Some((i, part)) = worst.filter(|(_, p)| p.wealth.log >= needed) {
            debug_assert!(part.seen[NEW].marked > 0.0);
            return Next::Undo {
                group: (i < last).then_some(i),
            };
        }
        let lasted = self.now - self.began;
        // In doubt it goes on, up to the longest watch.
        let settled = !self.doubts() && lasted >= self.care.least;
        let quiet = !self.parts.iter().any(Part::dips);
        if (settled && quiet) || lasted >= self.care.longest {
            return Next::Keep;
        }
        Next::GoOn
    }

    /// The evidence that the change does harm, 1 being enough; what was compared, old and new: hits, spoilt ones.
    pub fn account(&self) -> (f64, [(f64, f64); 2]) {
        let needed = self.needed();
        let windows = self.windows.wealth.log / -(0.5 * self.care.false_undos).ln();
        let most = self
            .parts
            .iter()
            .map(|p| p.wealth.log)
            .fold(f64::NEG_INFINITY, f64::max);
        let seen = self.parts.last().map(|p| p.seen).unwrap_or_default();
        ((most / needed).max(windows), seen.map(|t| (t.n, t.marked)))
    }

    /// What each comparison side by side needs: half of the rate is theirs together.
    fn needed(&self) -> f64 {
        -(0.5 * self.care.false_undos / self.parts.len() as f64).ln()
    }

    fn advance(&mut self, now: f64) {
        if !now.is_finite() || now <= self.now {
            return;
        }
        self.now = now;
        if now < self.block_ends {
            return;
        }
        self.block_ends = now + BLOCK;
        for part in &mut self.parts {
            let block = std::mem::take(&mut part.block);
            part.wealth.bet(&block, &self.bets);
            (0..2).for_each(|side| part.seen[side].add(block[side]));
        }
    }
}
