//! Watches a version that has just been applied. Service degrades for many reasons; whether the change is to blame is
//! decided by a fair comparison. While in doubt, a coin decides for each request whether it is admitted under the new or
//! the previous version, and the two are compared block by block with the sequential test. A burst, a shared slowdown or
//! a release that moves affects both alike. The doubt itself decides nothing, so it may be raised quickly.
//!
//! A change may do harm to what all requests share (an endpoint that it makes look unhealthy is so for both), and then
//! requests side by side fare alike. So a doubt that lasts is continued in pairs of windows: in each pair one window,
//! by a coin, admits all requests under the previous version. Each pair is one bet, which is fair if the change has no
//! part in the failures. Each of the two comparisons has half of the stated error rate.

use magpieline_sequential_test::pair::{Sides, Tally};
use magpieline_sequential_test::wealth::{Bets, Wealth};

/// How a change is watched, as operators state it.
#[derive(Clone, Debug, PartialEq)]
pub struct WatchPolicy {
    /// At most this share of harmless changes is undone.
    pub max_false_undo_rate: f64,
    /// A change is harmless if it fails at most this share of the requests.
    pub harmless_share: f64,
    /// Never kept before this time.
    pub min_seconds: f64,
    /// Kept after this time at the latest.
    pub max_seconds: f64,
}

/// The length of a block: long enough for requests of both versions, short against a burst.
const BLOCK_SECONDS: f64 = 0.25;
/// The recent share of failures is averaged over about so many outcomes of a path group.
const RECENT_OUTCOMES: f64 = 50.0;
/// A share of failures above the baseline by this raises a doubt.
const DEGRADED_SHARE: f64 = 0.03;
/// A doubt lasts this long after its last sign: two pairs of windows.
const DOUBT_SECONDS: f64 = 6.0;

/// Requests are compared side by side for this long, then by windows: even mild harm shows by then if it can.
const RANDOMIZED_SECONDS: f64 = 6.0;
/// The length of a window. Endpoints that were avoided are tried again within its first part, which is not counted.
const WINDOW_SECONDS: f64 = 1.5;
/// The part of a window that is not counted.
const WARM_UP_SECONDS: f64 = 0.5;
/// The stakes on a pair of windows: a bold and a careful one.
const STAKES: [f64; 2] = [0.95, 0.5];
/// A pair counts if each of its windows has so many requests.
const MIN_REQUESTS_PER_WINDOW: f64 = 10.0;

/// The sides of a comparison.
const PREVIOUS: usize = 0;
const NEW: usize = 1;

/// What a watch comes to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// There is not enough evidence yet.
    Continue,
    /// There is the stated evidence that the change does harm.
    Undo {
        /// The path group that is harmed; none for all together.
        group: Option<usize>,
    },
    /// The change is harmless as far as the watch can tell.
    Keep,
}

/// The comparison of both versions for one path group, or for all.
struct Comparison {
    baseline: Option<f64>,
    recent_share: f64,
    block: Sides,
    wealth: Wealth,
    /// The outcomes of all blocks before.
    totals: Sides,
}

impl Comparison {
    /// Whether requests fail more than the baseline, by more than five standard errors of the recent share.
    fn is_degraded(&self) -> bool {
        let baseline = self.baseline.unwrap_or(0.0);
        self.recent_share
            > baseline
                + DEGRADED_SHARE
                    .max(5.0 * (baseline * (1.0 - baseline) / (2.0 * RECENT_OUTCOMES)).sqrt())
    }
}

/// Pairs of windows, while a doubt lasts.
struct WindowPairs {
    wealth: Wealth,
    /// The share of requests that a harmless change may fail.
    harmless_share: f64,
    /// When the current pair began, and whether the previous version has its first window.
    pair: Option<(f64, bool)>,
    totals: Sides,
}

impl WindowPairs {
    /// Returns the version of the current window and whether its warm-up is over; nothing between pairs.
    fn current(&self, now: f64) -> Option<(usize, bool)> {
        let (started_at, previous_first) = self
            .pair
            .filter(|(started_at, _)| now < started_at + 2.0 * WINDOW_SECONDS)?;
        let within = now - started_at;
        let side = if (within < WINDOW_SECONDS) == previous_first {
            PREVIOUS
        } else {
            NEW
        };
        Some((side, within.rem_euclid(WINDOW_SECONDS) >= WARM_UP_SECONDS))
    }

    /// Returns the version for a request admitted now. A pair that is due is begun by this draw.
    fn assign(&mut self, now: f64, draw: f64) -> usize {
        if self.current(now).is_none() {
            self.end_pair();
            self.pair = Some((now, draw < 0.5));
        }
        self.current(now).map_or(PREVIOUS, |(side, _)| side)
    }

    fn end_pair(&mut self) {
        let [previous, new] = std::mem::take(&mut self.totals);
        if self.pair.take().is_some()
            && previous.n >= MIN_REQUESTS_PER_WINDOW
            && new.n >= MIN_REQUESTS_PER_WINDOW
        {
            // It is no win if the new version is worse by no more than is harmless.
            let better =
                new.share() > previous.share() + self.harmless_share * (1.0 - previous.share());
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

/// The evidence of a watch, for reports.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Evidence {
    /// The strength of the evidence that the change does harm; 1 is enough.
    pub strength: f64,
    /// Compared requests of the previous version, and how many of them failed.
    pub previous: (f64, f64),
    /// The same of the new version.
    pub new: (f64, f64),
}

/// The watch of one applied version.
pub struct Watch {
    policy: WatchPolicy,
    started_at: f64,
    now: f64,
    block_ends: f64,
    doubt_until: f64,
    bets: Bets,
    /// By path group, then all together.
    comparisons: Vec<Comparison>,
    /// When the current doubt began.
    doubt_since: Option<f64>,
    window_pairs: WindowPairs,
}

/// The usual share of failed requests by path group, updated while no change is watched.
#[derive(Clone, Debug)]
pub struct Baseline {
    groups: Vec<Option<f64>>,
}

impl Baseline {
    /// Creates a baseline without outcomes.
    pub fn new(groups: usize) -> Baseline {
        Baseline {
            groups: vec![None; groups],
        }
    }
    /// Records a final response: failed if it was an error, a refusal or late.
    pub fn record(&mut self, group: usize, failed: bool) {
        if let Some(baseline) = self.groups.get_mut(group) {
            let x = f64::from(u8::from(failed));
            *baseline = Some(baseline.map_or(x, |u| u + (x - u) / (4.0 * RECENT_OUTCOMES)));
        }
    }
}

impl Watch {
    /// Begins a watch.
    pub fn new(policy: WatchPolicy, baseline: &Baseline, now: f64) -> Watch {
        let bets = Bets::fails(policy.harmless_share);
        let all = baseline.groups.iter().flatten();
        let mean = all.clone().sum::<f64>() / all.count().max(1) as f64;
        let comparison = |baseline: Option<f64>| Comparison {
            baseline,
            recent_share: baseline.unwrap_or(0.0),
            block: Sides::default(),
            wealth: Wealth::new(&bets),
            totals: Sides::default(),
        };
        let comparisons = baseline
            .groups
            .iter()
            .copied()
            .chain([Some(mean)])
            .map(comparison)
            .collect();
        let (started_at, block_ends) = (now, now + BLOCK_SECONDS);
        let window_pairs = WindowPairs {
            wealth: Wealth::of(STAKES.len()),
            harmless_share: policy.harmless_share,
            pair: None,
            totals: Sides::default(),
        };
        let (doubt_until, doubt_since) = (now, None);
        Watch {
            policy,
            started_at,
            now,
            block_ends,
            doubt_until,
            bets,
            comparisons,
            doubt_since,
            window_pairs,
        }
    }

    /// Whether a request admitted now goes under the previous version, by a draw from 0 to 1.
    pub fn assign_to_previous(&mut self, now: f64, draw: f64) -> bool {
        self.advance(now);
        if !self.in_doubt() {
            (self.doubt_since, self.window_pairs.pair) = (None, None);
            return false;
        }
        let since = *self.doubt_since.get_or_insert(self.now);
        if self.now < since + RANDOMIZED_SECONDS {
            draw < 0.5
        } else {
            self.window_pairs.assign(self.now, draw) == PREVIOUS
        }
    }

    /// Whether a coin of its own decides for a request admitted now.
    pub fn is_randomized(&self) -> bool {
        self.in_doubt()
            && self
                .doubt_since
                .is_none_or(|since| self.now < since + RANDOMIZED_SECONDS)
    }

    /// Whether the change is in doubt now.
    pub fn in_doubt(&self) -> bool {
        self.now < self.doubt_until
    }

    /// Records a final response. `randomized`: a coin of its own decided; only such requests are compared side by side.
    pub fn record(
        &mut self,
        now: f64,
        group: usize,
        previous: bool,
        randomized: bool,
        failed: bool,
    ) {
        self.advance(now);
        let x = f64::from(u8::from(failed));
        let last = self.comparisons.len() - 1;
        let side = if previous { PREVIOUS } else { NEW };
        let in_windows = self.in_doubt() && !self.is_randomized();
        if in_windows && self.window_pairs.current(now) == Some((side, true)) {
            self.window_pairs.totals[side].add(Tally::new(1.0, x));
        }
        for i in [group.min(last), last] {
            let comparison = &mut self.comparisons[i];
            if randomized {
                comparison.block[side].add(Tally::new(1.0, x));
            }
            if !previous {
                comparison.recent_share += (x - comparison.recent_share) / RECENT_OUTCOMES;
            }
            // A path group without a baseline is compared with the other version only.
            if comparison.is_degraded() {
                // The doubt lasts for as long as the new version's requests fail more than the baseline.
                self.doubt_until = self.doubt_until.max(now + DOUBT_SECONDS);
            }
            if i == last {
                break;
            }
        }
    }

    /// Decides what is to be done now.
    pub fn decide(&mut self, now: f64) -> Decision {
        self.advance(now);
        let last = self.comparisons.len() - 1;
        if self.window_pairs.wealth.log >= -(0.5 * self.policy.max_false_undo_rate).ln() {
            return Decision::Undo { group: None };
        }
        let required = self.required_evidence();
        let worst = self
            .comparisons
            .iter()
            .enumerate()
            .max_by(|a, b| a.1.wealth.log.total_cmp(&b.1.wealth.log));
        if let Some((i, comparison)) = worst.filter(|(_, p)| p.wealth.log >= required) {
            debug_assert!(comparison.totals[NEW].marked > 0.0);
            return Decision::Undo {
                group: (i < last).then_some(i),
            };
        }
        let lasted = self.now - self.started_at;
        // In doubt the watch goes on, up to its longest time.
        let settled = !self.in_doubt() && lasted >= self.policy.min_seconds;
        let quiet = !self.comparisons.iter().any(Comparison::is_degraded);
        if (settled && quiet) || lasted >= self.policy.max_seconds {
            return Decision::Keep;
        }
        Decision::Continue
    }

    /// Returns the evidence so far, for reports.
    pub fn evidence(&self) -> Evidence {
        let by_windows =
            self.window_pairs.wealth.log / -(0.5 * self.policy.max_false_undo_rate).ln();
        let side_by_side = self
            .comparisons
            .iter()
            .map(|comparison| comparison.wealth.log)
            .fold(f64::NEG_INFINITY, f64::max)
            / self.required_evidence();
        let all = self.comparisons.last();
        let [previous, new] = all.map(|all| all.totals).unwrap_or_default();
        Evidence {
            strength: side_by_side.max(by_windows),
            previous: (previous.n, previous.marked),
            new: (new.n, new.marked),
        }
    }

    /// The logarithm that each comparison side by side has to reach: together they have half of the stated rate.
    fn required_evidence(&self) -> f64 {
        -(0.5 * self.policy.max_false_undo_rate / self.comparisons.len() as f64).ln()
    }

    fn advance(&mut self, now: f64) {
        if !now.is_finite() || now <= self.now {
            return;
        }
        self.now = now;
        if now < self.block_ends {
            return;
        }
        self.block_ends = now + BLOCK_SECONDS;
        for comparison in &mut self.comparisons {
            let block = std::mem::take(&mut comparison.block);
            comparison.wealth.bet(&block, &self.bets);
            (0..2).for_each(|side| comparison.totals[side].add(block[side]));
        }
    }
}
