//! One proxy's part in a rollout.

use crate::Micros;
use magpieline::{Duel, EARLIER, TRIAL};
use magpieline_control_plane::messages::{
    ArmTotals, EndpointTotals, SpeedTotals, TrialEvidence, TrialSpeed, TrialStage, Vote,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Routes that are told apart; more of them share the last position.
const MAX_ROUTES: usize = 32;
/// Attempts that the token bucket saves up: two crowd no endpoint that is warming up.
const BUCKET_CAPACITY: f64 = 2.0;

/// An answer is slow that takes so many times the mean of the earlier version on its route: endpoints differ in speed by less.
const SLOW_FACTOR: f64 = 2.0;
/// Answers of the earlier version on a route from which on its mean is known.
const MIN_MEAN_ANSWERS: u32 = 16;

/// How an attempt at an endpoint of the service ended, as far as it tells of the version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptOutcome {
    /// It went to the version on trial.
    pub on_trial: bool,
    /// The route, as a number that is the same at all proxies ([`stable_hash`]).
    pub route: u64,
    /// The endpoint, likewise.
    pub endpoint: u32,
    /// It was the first attempt of its request.
    pub is_first: bool,
    /// How it ended.
    pub end: AttemptEnd,
    /// It was served within the route's latency target.
    pub on_time: bool,
    /// It was sent while the endpoint was warming up: its time says nothing of the version.
    pub warming_up: bool,
    /// The time that it took, in microseconds.
    pub elapsed: u64,
}

/// What an attempt says of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It was served.
    Served,
    /// The endpoint itself failed.
    Failed,
    /// There was no answer in all its time.
    TimedOut,
    /// Nothing that tells of the version: a broken connection, a garbled answer.
    Inconclusive,
}

/// An attempt at the version on trial, while it has no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptKey {
    /// The endpoint, as in [`AttemptOutcome`].
    pub endpoint: u32,
    /// Tells attempts at one endpoint apart.
    pub number: u64,
}

/// What is known of an attempt that has no outcome yet.
#[derive(Clone, Copy, Debug)]
struct PendingAttempt {
    position: usize,
    sent_at: Micros,
}

/// A trial as one proxy plays it.
pub struct Trial {
    service: Arc<str>,
    rollout_id: u64,
    stage: TrialStage,
    duel: Duel,
    routes: Vec<u64>,
    totals: Vec<[ArmTotals; 2]>,
    endpoints: BTreeMap<u32, EndpointTotals>,
    earlier_speed: SpeedTotals,
    endpoint_speeds: BTreeMap<u32, SpeedTotals>,
    /// First attempts at warm endpoints of the version on trial.
    pending: BTreeMap<AttemptKey, PendingAttempt>,
    tokens: f64,
    requests: u64,
    vote: Vote,
}

impl Trial {
    /// `rate`: requests a second of this proxy for the service. `first_tokens`: what the bucket begins with, drawn from [0, 1) so
    /// that proxies don't all begin with an attempt at the same cold endpoints.
    pub fn new(service: Arc<str>, rollout_id: u64, rate: f64, first_tokens: f64) -> Trial {
        Trial {
            service,
            rollout_id,
            stage: TrialStage::default(),
            duel: Duel::new(MAX_ROUTES, rate),
            routes: Vec::new(),
            totals: Vec::new(),
            endpoints: BTreeMap::new(),
            earlier_speed: SpeedTotals::default(),
            endpoint_speeds: BTreeMap::new(),
            pending: BTreeMap::new(),
            tokens: first_tokens.clamp(0.0, 1.0),
            requests: 0,
            vote: Vote::None,
        }
    }

    /// Returns the rollout's id.
    pub fn rollout_id(&self) -> u64 {
        self.rollout_id
    }

    /// Returns the stage that the trial is in.
    pub fn stage(&self) -> TrialStage {
        self.stage
    }

    /// Enters a stage that the leader has told. What was counted stays: stages differ in who may go, not in the version.
    pub fn enter(&mut self, stage: TrialStage) {
        self.stage = stage;
    }

    /// Takes note of a request for the service. The bucket is no deeper than what is given out for free, and fills by the share
    /// for each request: the share holds in every time span, summed over proxies, without communication.
    pub fn on_request(&mut self) {
        self.requests += 1;
        self.tokens = (self.tokens + self.stage.share).min(BUCKET_CAPACITY);
    }

    /// Whether a first attempt goes to the version on trial: within the share, as the index says.
    pub fn prefers_trial(&self, is_idempotent: bool) -> bool {
        let is_allowed = is_idempotent || !self.stage.idempotent_only;
        let has_token = self.stage.share > 0.0 && self.tokens >= 1.0;
        has_token && is_allowed && self.duel.favours_trial()
    }

    /// Takes note of any attempt at the version on trial; each takes a token.
    pub fn on_trial_attempt(&mut self) {
        self.tokens -= 1.0;
    }

    /// Takes note that a first attempt was sent to a warm endpoint of the version on trial.
    pub fn on_sent(&mut self, now: Micros, key: AttemptKey, route: u64) {
        let pending = PendingAttempt {
            position: self.position_of(route),
            sent_at: now,
        };
        self.pending.insert(key, pending);
    }

    /// Takes note that an attempt is over, whatever its outcome.
    pub fn on_ended(&mut self, key: AttemptKey) {
        self.pending.remove(&key);
    }

    /// Takes note of how an attempt ended.
    pub fn on_outcome(&mut self, outcome: AttemptOutcome) {
        if outcome.end == AttemptEnd::Inconclusive {
            return;
        }
        let has_failed = outcome.end == AttemptEnd::Failed;
        let position = self.position_of(outcome.route);
        let arm = if outcome.on_trial { TRIAL } else { EARLIER };
        self.count_speed(position, &outcome);
        let totals = &mut self.totals[position][arm];
        totals.outcomes += 1;
        totals.bad += u32::from(has_failed);
        if outcome.end == AttemptEnd::Served {
            totals.served += 1;
            totals.latency_sum_ms += outcome.elapsed / 1000;
        }
        if outcome.on_trial {
            self.count_endpoint(&outcome);
        }
        // A failure is one at any age; a time is no pull while the endpoint is warming up.
        if !outcome.is_first || (outcome.warming_up && !has_failed) {
            return;
        }
        let totals = &mut self.totals[position][arm];
        totals.pulls += 1;
        totals.on_time += u32::from(outcome.on_time);
        self.play(arm, position, outcome.on_time);
    }

    /// Compares the time of an answer with what the earlier version takes on the same route.
    fn count_speed(&mut self, position: usize, outcome: &AttemptOutcome) {
        let is_comparable = outcome.is_first && !outcome.warming_up;
        if !is_comparable || outcome.end == AttemptEnd::Failed {
            return;
        }
        let Some(slow_after) = self.slow_after(position) else {
            return;
        };
        let is_slow = outcome.end == AttemptEnd::TimedOut || outcome.elapsed > slow_after;
        let totals = match outcome.on_trial {
            true => self.endpoint_speeds.entry(outcome.endpoint).or_default(),
            false => &mut self.earlier_speed,
        };
        totals.add(SpeedTotals {
            answers: 1,
            slow: u32::from(is_slow),
        });
    }

    /// Returns the time from which on an answer on a route is slow; none while too few of the earlier version's are known.
    fn slow_after(&self, position: usize) -> Option<Micros> {
        let earlier = &self.totals[position][EARLIER];
        let is_known = earlier.served >= MIN_MEAN_ANSWERS;
        let mean_ms = earlier.latency_sum_ms as f64 / f64::from(earlier.served.max(1));
        is_known.then_some((SLOW_FACTOR * mean_ms * 1e3) as Micros)
    }

    fn count_endpoint(&mut self, outcome: &AttemptOutcome) {
        let endpoint = outcome.endpoint;
        let totals = self.endpoints.entry(endpoint).or_insert(EndpointTotals {
            endpoint,
            ..Default::default()
        });
        let has_failed = outcome.end == AttemptEnd::Failed;
        totals.outcomes += 1;
        totals.bad += u32::from(has_failed);
        totals.late += u32::from(!has_failed && !outcome.on_time && !outcome.warming_up);
    }

    fn play(&mut self, arm: usize, position: usize, on_time: bool) {
        self.duel.add(arm, position, f64::from(u8::from(on_time)));
        self.duel.outcome(arm);
        self.duel.judge();
        self.vote = match self.duel.dropped() {
            Some(TRIAL) => Vote::RollBack,
            Some(_) => Vote::Promote,
            None => self.vote,
        };
    }

    /// Returns a route's position among those that are told apart.
    fn position_of(&mut self, route: u64) -> usize {
        if let Some(position) = self.routes.iter().position(|known| *known == route) {
            return position;
        }
        if self.routes.len() < MAX_ROUTES {
            self.routes.push(route);
            self.totals.push([ArmTotals::default(); 2]);
        }
        self.routes.len() - 1
    }

    /// Returns what there is to report of the versions' speed: totals since the trial began here. An attempt that has been
    /// without an answer for long is slow before it ends.
    pub fn speed(&self, now: Micros) -> TrialSpeed {
        let mut endpoints = self.endpoint_speeds.clone();
        for (key, pending) in &self.pending {
            let slow_after = self.slow_after(pending.position);
            if slow_after.is_some_and(|span| now.saturating_sub(pending.sent_at) > span) {
                let slow = SpeedTotals {
                    answers: 1,
                    slow: 1,
                };
                endpoints.entry(key.endpoint).or_default().add(slow);
            }
        }
        TrialSpeed {
            service: self.service.clone(),
            rollout_id: self.rollout_id,
            earlier: self.earlier_speed,
            endpoints: endpoints.into_iter().collect(),
        }
    }

    /// Returns what there is to report: totals since the trial began here.
    pub fn evidence(&self) -> TrialEvidence {
        TrialEvidence {
            service: self.service.clone(),
            rollout_id: self.rollout_id,
            vote: self.vote,
            totals: self
                .routes
                .iter()
                .copied()
                .zip(self.totals.iter().copied())
                .collect(),
            endpoints: self.endpoints.values().copied().collect(),
            requests: self.requests,
            ..TrialEvidence::default()
        }
    }
}

/// Returns a name as a number that is the same everywhere (FNV-1a, 64 bits).
pub fn stable_hash(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x100_0000_01b3;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    name.bytes().fold(OFFSET_BASIS, step)
}
