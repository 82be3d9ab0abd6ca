//! One proxy's part in a rollout.

use magpieline::{Duel, EARLIER, TRIAL};
use magpieline_control_plane::messages::{
    ArmTotals, EndpointTotals, TrialEvidence, TrialStage, Vote,
};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Routes that are told apart; more of them share the last position.
const MAX_ROUTES: usize = 32;
/// Attempts that the token bucket saves up: two crowd no endpoint that is warming up.
const BUCKET_CAPACITY: f64 = 2.0;

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

/// A trial as one proxy plays it.
pub struct Trial {
    service: Arc<str>,
    rollout_id: u64,
    stage: TrialStage,
    duel: Duel,
    routes: Vec<u64>,
    totals: Vec<[ArmTotals; 2]>,
    endpoints: BTreeMap<u32, EndpointTotals>,
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

    /// Takes note of how an attempt ended.
    pub fn on_outcome(&mut self, outcome: AttemptOutcome) {
        if outcome.end == AttemptEnd::Inconclusive {
            return;
        }
        let has_failed = outcome.end == AttemptEnd::Failed;
        let position = self.position_of(outcome.route);
        let arm = if outcome.on_trial { TRIAL } else { EARLIER };
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
