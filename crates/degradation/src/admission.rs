//! What a level lets in: a budget of the offered work that follows how service fares, spent on the benefit for each
//! unit of work, fair by account within a path group.

use crate::ladder::{Level, Rule};
use crate::signals::{Fate, Signals};
use crate::words::Signal;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// The budget moves once in this time, in seconds, and only by so many outcomes, or what there is after this long.
const STEP: f64 = 1.0;
const OUTCOMES: f64 = 20.0;
const STEP_LONGEST: f64 = 5.0;
/// Spoilt benefit (late answers, errors, bounces by the decisions) beyond the first share shrinks the budget, below the
/// second lets it grow. These and the next were chosen on the fleet model (`magpieline-rollout-simulation levels`; 1, 30 and 1,000
/// agents at twice and three times what nodes can take): 1% and 3% gave the same within two hundredths.
const SPOILT: (f64, f64) = (0.02, 0.005);
/// By how much: in proportion to what is spoilt, at most by a third at once. Half as much again swings: holds of thirty
/// agents at twice the load fell from 0.96 to 0.90.
const SHRINK: f64 = 0.7;
const SHRINK_MOST: f64 = 0.3;
/// Steps up near the limit: twice that gave 0.02 less of payments at three times the load.
const GROW: f64 = 0.015;
/// Step after step without anything spoilt it grows faster, up to so many times: what nodes can take again is soon used,
/// while near their limit such runs are short.
const RUN: f64 = 1.5;
const RUN_BEGIN: f64 = 0.2;
const RUN_MOST: f64 = 8.0;
/// A level begins with what was served before it, but no less than this.
const BEGIN_LEAST: f64 = 0.3;
/// The least budget: some of everything, or nothing would ever be known again.
const LEAST: f64 = 0.05;
/// What a start without memory lets in at first, and how fast that grows while nothing is spoilt.
const FIRST: f64 = 0.5;
const FIRST_GROW: f64 = 0.15;
/// Offered hits a second are known by the last so many seconds, or longer where they are few: so many hits.
const SPAN: (f64, f64) = (3.0, 20.0);
const HITS: f64 = 30.0;
/// Of an account that brought fewer hits than this in that time too little is known to divide by.
const FEW: f64 = 2.0;
/// A hit's work is known by the last so many hits of its path group.
const COSTS: f64 = 100.0;
/// Waiting hits go on while so much of the limit is in flight.
const ROOM: f64 = 0.9;
/// Who is turned away comes back after this part of the time that the level stays, or of the least, drawn evenly.
const BACK: (f64, f64) = (0.5, 1.5);
const BACK_LEAST: f64 = 2.0;

/// What becomes of a hit at the door.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Door {
    Go,
    /// It waits for room, this long at most. Its number is for [`Admission::gone`].
    Wait {
        number: u64,
        at_most: f64,
    },
    /// Turned away, to come back after this time in seconds.
    Turned {
        again_after: f64,
    },
}

#[derive(Clone, Debug)]
struct Account {
    /// Hits offered since the last step, and a second, smoothed.
    come: f64,
    rate: f64,
    /// The part of them that is let in, and what has added up towards the next one.
    pass: f64,
    credit: f64,
}

#[derive(Clone, Debug)]
struct Group {
    benefit: f64,
    cost: f64,
    accounts: Vec<Account>,
    /// For accounts of which too little is known: the same for all of them together.
    pass: f64,
    credit: f64,
    waiting: usize,
}

impl Group {
    fn rate(&self) -> f64 {
        self.accounts.iter().map(|a| a.rate).sum()
    }

    /// Lets in this share of what is offered, each account up to the same number of hits.
    fn divide(&mut self, share: f64, span: f64, order: &mut Vec<f64>) {
        self.pass = share.min(1.0);
        if share >= 1.0 {
            self.accounts.iter_mut().for_each(|a| a.pass = 1.0);
            return;
        }
        // The level up to which all are served: the smallest are served whole, the rest alike.
        let mut room = share * self.rate();
        order.clear();
        order.extend(self.accounts.iter().map(|a| a.rate).filter(|r| *r > 0.0));
        order.sort_unstable_by(f64::total_cmp);
        let mut level = 0.0;
        for (i, rate) in order.iter().enumerate() {
            let each = room / (order.len() - i) as f64;
            level = each;
            if *rate > each {
                break;
            }
            level = f64::INFINITY;
            room -= rate;
        }
        for a in &mut self.accounts {
            a.pass = match () {
                _ if a.rate * span < FEW => share,
                _ if a.rate > level => level / a.rate,
                _ => 1.0,
            };
        }
    }
}

/// A hit that waits.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    number: u64,
    group: usize,
}

pub struct Admission {
    groups: Vec<Group>,
    chance: ChaCha8Rng,
    /// The part of the offered work that is let in; 1 without a level.
    budget: f64,
    /// How much faster it grows by now.
    run: f64,
    /// Whether the budget narrows anything now.
    narrows: bool,
    stepped_at: f64,
    /// How long what is known of offered hits reaches back.
    span: f64,
    /// Outcomes since the last step: all, their benefit, and the benefit that was spoilt.
    outcomes: f64,
    worth: f64,
    spoilt: f64,
    waiting: VecDeque<Waiting>,
    next: u64,
    order: Vec<f64>,
}

impl Admission {
    /// `benefits` by path group; so many accounts, those that have none included.
    pub fn new(benefits: &[f64], accounts: usize, now: f64, seed: u64) -> Admission {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let account = Account {
            come: 0.0,
            rate: 0.0,
            pass: 1.0,
            credit: 0.0,
        };
        let mut group = |benefit: &f64| Group {
            benefit: benefit.max(1e-9),
            cost: 0.0,
            accounts: vec![account.clone(); accounts.max(1)],
            pass: 1.0,
            credit: chance.gen_range(0.0..1.0), // or agents with few hits would all turn their first away
            waiting: 0,
        };
        let groups = benefits.iter().map(&mut group).collect();
        Admission {
            groups,
            chance,
            budget: 1.0,
            run: RUN_BEGIN,
            narrows: false,
            stepped_at: now,
            span: SPAN.0,
            outcomes: 0.0,
            worth: 0.0,
            spoilt: 0.0,
            waiting: VecDeque::new(),
            next: 0,
            order: Vec::new(),
        }
    }

    /// A hit is offered. `remaining`: how long its client waits, in seconds; `stays`: how long the level stays at least.
    pub fn arrive(
        &mut self,
        group: usize,
        account: usize,
        remaining: f64,
        rule: Option<&Rule>,
        stays: f64,
    ) -> Door {
        let Some(g) = self.groups.get_mut(group) else {
            return Door::Go;
        };
        let last = g.accounts.len() - 1;
        let a = &mut g.accounts[account.min(last)];
        a.come += 1.0;
        if !self.narrows || a.pass >= 1.0 {
            return Door::Go;
        }
        let (pass, credit) = if a.rate * self.span < FEW {
            (g.pass, &mut g.credit)
        } else {
            (a.pass, &mut a.credit)
        };
        *credit = (*credit + pass).min(2.0);
        if *credit >= 1.0 {
            *credit -= 1.0;
            return Door::Go;
        }
        let rule = rule.unwrap_or(&Rule::FULL);
        let at_most = rule.longest_wait.min(0.5 * remaining);
        if g.waiting < rule.waiting && at_most > 0.0 {
            g.waiting += 1;
            self.next += 1;
            self.waiting.push_back(Waiting {
                number: self.next,
                group,
            });
            return Door::Wait {
                number: self.next,
                at_most,
            };
        }
        Door::Turned {
            again_after: self.again_after(stays),
        }
    }

    /// When who is turned away may come back, spread.
    pub fn again_after(&mut self, stays: f64) -> f64 {
        stays.max(BACK_LEAST) * self.chance.gen_range(BACK.0..BACK.1)
    }

    /// The next waiting hit that may go on, if there is room: of the path group with the most benefit for its work first.
    pub fn released(&mut self, signals: &Signals) -> Option<u64> {
        if self.waiting.is_empty() || signals.in_flight() > ROOM * signals.limit.value() {
            return None;
        }
        let density =
            |w: &Waiting| self.groups[w.group].benefit / self.groups[w.group].cost.max(1e-6);
        let best = (0..self.waiting.len()).max_by(|i, j| {
            density(&self.waiting[*i])
                .total_cmp(&density(&self.waiting[*j]))
                .then(j.cmp(i))
        })?;
        let waiting = self.waiting.remove(best)?;
        self.groups[waiting.group].waiting -= 1;
        Some(waiting.number)
    }

    /// A waiting hit does not wait any more, whatever the reason.
    pub fn gone(&mut self, number: u64) {
        if let Some(i) = self.waiting.iter().position(|w| w.number == number) {
            if let Some(waiting) = self.waiting.remove(i) {
                self.groups[waiting.group].waiting -= 1;
            }
        }
    }

    /// A hit that was let in is over, after so many seconds.
    pub fn ended(&mut self, group: usize, fate: Fate, spent: f64) {
        let Some(g) = self.groups.get_mut(group) else {
            return;
        };
        if matches!(fate, Fate::InTime | Fate::Late) && spent.is_finite() && spent >= 0.0 {
            let known = if g.cost > 0.0 { COSTS } else { 1.0 };
            g.cost += (spent - g.cost) / known;
        }
        self.outcomes += 1.0;
        self.worth += g.benefit;
        self.spoilt += if fate == Fate::InTime { 0.0 } else { g.benefit };
    }

    /// Moves the budget and divides it. `level`: the one whose rules hold; `first`: after a start without memory.
    pub fn step(&mut self, now: f64, level: Option<&Level>, first: bool, signals: &mut Signals) {
        let narrows = level.is_some();
        if narrows && !self.narrows {
            let part = |signal| signals.value(now, signal).unwrap_or(0.0);
            let spoilt =
                part(Signal::Late(None)) + part(Signal::Failed(None)) + part(Signal::Bounced(None));
            self.budget = if first {
                FIRST
            } else {
                (1.0 - spoilt).max(BEGIN_LEAST)
            };
            self.run = RUN_BEGIN;
            (self.outcomes, self.worth, self.spoilt) = (0.0, 0.0, 0.0);
        }
        let begins = narrows != self.narrows;
        self.narrows = narrows;
        let passed = now - self.stepped_at;
        let room: usize = level.map_or(0, |l| l.rules.iter().map(|r| r.waiting).sum());
        signals.waiting = if room > 0 {
            self.waiting.len() as f64 / room as f64
        } else {
            0.0
        };
        if !begins && (0.0..STEP).contains(&passed) {
            return;
        }
        if passed > 0.0 {
            let rate: f64 = self.groups.iter().map(Group::rate).sum();
            self.span = (HITS / rate.max(1e-3)).clamp(SPAN.0, SPAN.1);
            let weight = 1.0 - (-passed / self.span).exp();
            for a in self.groups.iter_mut().flat_map(|g| &mut g.accounts) {
                a.rate += weight * (a.come / passed - a.rate);
                a.rate = if a.rate < 1e-6 { 0.0 } else { a.rate };
                a.come = 0.0;
            }
        }
        self.stepped_at = now;
        let Some(level) = level else {
            (self.budget, signals.shortage) = (1.0, 0.0);
            (self.outcomes, self.worth, self.spoilt) = (0.0, 0.0, 0.0);
            return;
        };
        if self.outcomes >= OUTCOMES || (passed >= STEP_LONGEST && self.outcomes > 0.0) {
            let spoilt = self.spoilt / self.worth;
            let grow = if first { FIRST_GROW } else { GROW };
            if spoilt > SPOILT.0 {
                self.budget *= 1.0 - (SHRINK * spoilt).min(SHRINK_MOST);
                self.run = RUN_BEGIN;
            } else if spoilt < SPOILT.1 {
                self.budget += grow * self.run.max(1.0);
                self.run = (RUN * self.run).min(RUN_MOST);
            }
            self.budget = self.budget.clamp(LEAST, 1.0);
            (self.outcomes, self.worth, self.spoilt) = (0.0, 0.0, 0.0);
        }
        signals.shortage = 1.0 - self.budget;
        self.divide(level);
    }

    /// Spends the budget: the least of each path group first, then by benefit for each unit of work.
    fn divide(&mut self, level: &Level) {
        let rule = |g: usize| level.rules.get(g).unwrap_or(&Rule::FULL);
        // A path group of which nothing is known yet costs what the others do.
        let known = self.groups.iter().filter(|g| g.cost > 0.0);
        let usual = known.clone().map(|g| g.cost).sum::<f64>() / (known.count() as f64).max(1.0);
        let cost = |g: &Group| {
            if g.cost > 0.0 {
                g.cost
            } else {
                usual.max(1e-6)
            }
        };
        let work: Vec<f64> = self.groups.iter().map(|g| g.rate() * cost(g)).collect();
        let mut left = self.budget * work.iter().sum::<f64>();
        let mut shares: Vec<f64> = (0..work.len()).map(|g| rule(g).least).collect();
        left -= shares.iter().zip(&work).map(|(s, w)| s * w).sum::<f64>();
        let mut by_density: Vec<usize> = (0..work.len()).collect();
        let density = |g: &usize| self.groups[*g].benefit / cost(&self.groups[*g]);
        by_density.sort_by(|a, b| density(b).total_cmp(&density(a)));
        for g in by_density {
            let more = (rule(g).most - shares[g]).max(0.0);
            let part = if work[g] > 0.0 {
                (left.max(0.0) / work[g]).min(more)
            } else {
                more
            };
            shares[g] += part;
            left -= part * work[g];
        }
        let (span, mut order) = (self.span, std::mem::take(&mut self.order));
        self.groups
            .iter_mut()
            .zip(&shares)
            .for_each(|(g, share)| g.divide(*share, span, &mut order));
        self.order = order;
    }

    /// The part of the offered work that finds room.
    pub fn budget(&self) -> f64 {
        self.budget
    }

    /// How many hits of each path group are let in now, of what is offered.
    pub fn shares(&self) -> Vec<f64> {
        let share = |g: &Group| {
            let (all, passed) = g.accounts.iter().fold((0.0, 0.0), |(all, p), a| {
                (all + a.rate, p + a.rate * a.pass)
            });
            if all > 0.0 && self.narrows {
                passed / all
            } else {
                1.0
            }
        };
        self.groups.iter().map(share).collect()
    }
}

#[cfg(test)]
mod tests;
