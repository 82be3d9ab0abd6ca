//! One counter's part in a rollout.

use magpieline::{Duel, EARLIER, TRIAL};
use magpieline_control_plane::messages::{Evidence, Spot, Stage, Totals, Vote};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Routes that are told apart; more of them share the last place.
const ROUTES: usize = 32;
/// Sends that a bucket saves up: two crowd no cold appliance.
const SAVED: f64 = 2.0;

/// How a forward of the service ended, as far as it tells of its build.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Seen {
    /// Whether it went to the trial build.
    pub trial: bool,
    /// The route, as a number that is the same at all counters, and the appliance likewise.
    pub route: u64,
    pub appliance: u32,
    /// The first forward of its request.
    pub first: bool,
    /// Served; the appliance's own failure; or nothing that tells of the build (a break, a garbled answer).
    pub end: End,
    /// Served within the route's target.
    pub in_time: bool,
    /// Sent while the appliance was slow from its start: its time says nothing of the build.
    pub cold: bool,
    /// What it took, in microseconds.
    pub spent: u64,
}

/// What a forward says of a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    Failed,
    /// No answer in all its time.
    Silent,
    Nothing,
}

/// A trial as one counter plays it.
pub struct Trial {
    service: Arc<str>,
    order: u64,
    stage: Stage,
    duel: Duel,
    routes: Vec<u64>,
    totals: Vec<[Totals; 2]>,
    spots: BTreeMap<u32, Spot>,
    tokens: f64,
    taken: u64,
    vote: Vote,
}

impl Trial {
    /// `rate`: requests a second of this counter for the service; `first`: what the bucket begins with, drawn from
    /// [0, 1) so that counters don't all begin with a send to the same cold appliances.
    pub fn new(service: Arc<str>, order: u64, rate: f64, first: f64) -> Trial {
        Trial {
            service,
            order,
            stage: Stage::default(),
            duel: Duel::new(ROUTES, rate),
            routes: Vec::new(),
            totals: Vec::new(),
            spots: BTreeMap::new(),
            tokens: first.clamp(0.0, 1.0),
            taken: 0,
            vote: Vote::None,
        }
    }

    pub fn order(&self) -> u64 {
        self.order
    }

    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// The leader has told another stage. What was counted goes on: stages differ in who may go, not in the build.
    pub fn enter(&mut self, stage: Stage) {
        self.stage = stage;
    }

    /// A request for the service has been taken. The bucket is no deeper than what is given out for free, and fills
    /// by the share for each request: the share holds in every span, summed over counters, without talk.
    pub fn request(&mut self) {
        self.taken += 1;
        self.tokens = (self.tokens + self.stage.share).min(SAVED);
    }

    /// Whether a first send goes to the trial build: within the share, as the design's index says. While a stage is
    /// guarded only what may run again goes there.
    pub fn wants(&self, repeatable: bool) -> bool {
        let open = !self.stage.guarded || repeatable;
        self.stage.share > 0.0 && open && self.tokens >= 1.0 && self.duel.favours_trial()
    }

    /// Any forward goes to the trial build; each is paid for.
    pub fn sent(&mut self) {
        self.tokens -= 1.0;
    }

    /// A forward has ended.
    pub fn seen(&mut self, seen: Seen) {
        if seen.end == End::Nothing {
            return;
        }
        let place = self.place(seen.route);
        let arm = if seen.trial { TRIAL } else { EARLIER };
        let totals = &mut self.totals[place][arm];
        totals.outcomes += 1;
        totals.bad += u32::from(seen.end == End::Failed);
        if seen.end == End::Served {
            totals.served += 1;
            totals.spent_ms += seen.spent / 1000;
        }
        if seen.trial {
            let spot = self.spots.entry(seen.appliance).or_insert(Spot {
                appliance: seen.appliance,
                ..Spot::default()
            });
            spot.outcomes += 1;
            spot.bad += u32::from(seen.end == End::Failed);
            spot.late += u32::from(seen.end != End::Failed && !seen.in_time && !seen.cold);
        }
        // A failure is one at any age; a time is no pull while the appliance is slow from its start.
        if !seen.first || (seen.cold && seen.end != End::Failed) {
            return;
        }
        totals.pulls += 1;
        totals.in_time += u32::from(seen.in_time);
        self.duel.add(arm, place, f64::from(u8::from(seen.in_time)));
        self.duel.outcome(arm);
        self.duel.judge();
        self.vote = match self.duel.dropped() {
            Some(TRIAL) => Vote::Back,
            Some(_) => Vote::On,
            None => self.vote,
        };
    }

    fn place(&mut self, route: u64) -> usize {
        if let Some(place) = self.routes.iter().position(|r| *r == route) {
            return place;
        }
        if self.routes.len() < ROUTES {
            self.routes.push(route);
            self.totals.push([Totals::default(); 2]);
        }
        self.routes.len() - 1
    }

    /// What there is to tell: totals since the trial began here.
    pub fn evidence(&self) -> Evidence {
        Evidence {
            service: self.service.clone(),
            order: self.order,
            vote: self.vote,
            totals: self
                .routes
                .iter()
                .copied()
                .zip(self.totals.iter().copied())
                .collect(),
            spots: self.spots.values().copied().collect(),
            taken: self.taken,
            ..Evidence::default()
        }
    }
}

/// A name as a number that is the same everywhere (FNV-1a).
pub fn number(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, b| {
        (hash ^ u64::from(b)).wrapping_mul(0x100_0000_01b3)
    })
}
