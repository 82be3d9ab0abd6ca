//! How the votes and outcomes of all proxies move a rollout.
//!
//! One proxy sees too little of a trial in the few seconds that there are. What all have seen arrives as totals; here the same
//! duel is played on the sums, and beside it stands evidence that is quicker than an elimination: the log likelihood ratio of
//! failures and of late answers, by route and over all routes, against the earlier version at the same time. Failures count
//! against the version only where they come from many of its endpoints. Answers that are slow, though in time, are evidence of
//! their own.

use crate::Micros;
use magpieline::{Duel, Evidence, EARLIER, TRIAL};
use magpieline_control_plane::messages::{ArmTotals, EndpointTotals, SpeedTotals, TrialStage};
use magpieline_control_plane::proxy_registry::{DrainProgress, PooledEvidence};
use magpieline_control_plane::state_machine::Phase;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Evidence that convinces: a log likelihood ratio, as in the sidecar; by chance once in e^6 trials.
const CONVINCING: f64 = 6.0;
/// Less than this leaves no doubt that matters.
const DOUBTFUL: f64 = 2.5;
/// The same for slow answers: what a version that is slow now and then shows in a short trial is little.
const DOUBTFUL_SLOWNESS: f64 = 1.2;
/// A bad version fails, or is late, this much more often than the earlier one, on one route at least.
const EXCESS_RATE: f64 = 0.25;
/// The earlier version's usual rate is never taken to be below this: few answers can't show less.
const MIN_USUAL_RATE: f64 = 0.01;
/// The same for late answers: one alone leaves no doubt.
const MIN_USUAL_LATE_RATE: f64 = 0.03;
/// A slow version gives this much more slow answers than the earlier one, whose usual rate is never taken to be below the other.
const EXCESS_SLOW_RATE: f64 = 0.07;
const MIN_USUAL_SLOW_RATE: f64 = 0.02;
/// The highest rate that a hypothesis assumes.
const MAX_RATE: f64 = 0.95;
/// A route with fewer outcomes of the version on trial than this is weighed together with all others only: what few requests met
/// by chance would stand for ever.
const MIN_ROUTE_OUTCOMES: u32 = 6;
/// A version that fails only under load fails a little more often while it has little load: this much, against a usual rate
/// that many answers of the earlier one have shown. It is a reason to doubt, not to roll back.
const SMALL_EXCESS_RATE: f64 = 0.04;
const MIN_USUAL_RATE_FOR_SMALL_EXCESS: f64 = 0.003;
/// Such failures count for this much of the others: the promotion shows them anyway, and two by chance must not stop a version.
const SMALL_EXCESS_WEIGHT: f64 = 0.7;
/// Many of them convince: where a version on trial has many requests, what fails a little more often does so many times.
const CONVINCING_SMALL_EXCESS: f64 = 2.0 * CONVINCING;
/// Of the share that is allowed so much is used: retries and requests that arrive later count, too.
const USED_PART_OF_SHARE: f64 = 0.65;
/// The stage for idempotent requests only lasts so long from the first outcomes on; then others may go to the version on trial.
/// Twice that is the most, also if no outcome arrives at all: some services have no idempotent requests.
const IDEMPOTENT_STAGE: Micros = 1_500_000;
const IDEMPOTENT_STAGE_OUTCOMES: u32 = 8;
/// Before a version is promoted it has been seen warm for so long, or in so many pulls (which are warm ones), with so many
/// outcomes in all.
const MIN_SOAK: Micros = 2_500_000;
const MIN_SOAK_PULLS: u32 = 40;
const MIN_OUTCOMES: u32 = 10;
/// In doubt to the last, a version is rolled back so long before its time is over.
const DECISION_MARGIN: Micros = 1_500_000;
/// Time that is kept for the promotion before the rollout's time is over.
const PROMOTION_RESERVE: Micros = 4_500_000;
const MIN_PROMOTION: Micros = 700_000;
/// A trial that can't be decided is rolled back after so many times the time that it may take: nobody waits for ever, and the next
/// order is accepted.
const MAX_TRIAL: u64 = 2;
/// A promotion waits so long for proxies that can't be reached; by then their own lists have shown them.
const MAX_PROMOTION: Micros = 4_000_000;
/// Routes that the duel tells apart; more of them share the last position.
const MAX_ROUTES: usize = 64;
/// So many bad outcomes at least have to be left when the worst endpoints are left out.
const WIDESPREAD_OUTCOMES: u32 = 3;
/// The worst endpoints that are left out: one in so many.
const LEFT_OUT_ONE_IN: usize = 8;
/// The others speak against the version by themselves if they fail this much more often than the earlier one: a version that is
/// bad under load fails most where it has most of it.
const WIDESPREAD_EXCESS_RATE: f64 = 0.01;
/// The votes of so many proxies for rolling back suffice where there is doubt.
const MIN_ROLLBACK_VOTES: u32 = 2;
/// How many outcomes of all routes a route's own rate starts from, and the prior of that rate.
const PRIOR_OUTCOMES: f64 = 10.0;
const PRIOR_BAD: f64 = 0.5;
const PRIOR_ALL: f64 = 30.0;

/// What the rules allow a bad version to get of its service's requests, from the order until its time is over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// A share of them,
    pub share: f64,
    /// and so many requests besides.
    pub slack: f64,
}

/// What the leader knows at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Observation<'a> {
    /// When it is made.
    pub now: Micros,
    /// What all proxies have seen.
    pub pooled: &'a PooledEvidence,
    /// Endpoints of the version on trial that are listed as ready; none if the list is too old to tell.
    pub ready_endpoints: Option<usize>,
    /// Since when most of them have been warm.
    pub warm_since: Option<Micros>,
    /// How far proxies have drained the earlier version.
    pub drain: DrainProgress,
    /// Proxies that can't be reached now.
    pub away_proxies: u32,
}

/// What is to be done with a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Nothing yet.
    Wait,
    /// All proxies are to enter this stage.
    EnterStage(TrialStage),
    /// This phase is to be proposed.
    Advance(Phase),
}

/// Evidence against the version on trial, on one route or on all.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Scores {
    failures: f64,
    late_answers: f64,
    /// Failures that are few, but more than the earlier version's.
    few_failures: f64,
    /// Whether there are enough outcomes to go by.
    has_enough_outcomes: bool,
}

/// The analysis of one rollout.
pub struct RolloutAnalysis {
    started_at: Micros,
    within: Micros,
    phase: Phase,
    limit: ExposureLimit,
    /// The share that proxies are told; none before the first stage.
    share: Option<f64>,
    stage: TrialStage,
    duel: Duel,
    /// Since when proxies have been in a stage.
    stage_since: Option<Micros>,
    /// The stage for idempotent requests only is over; it doesn't come again.
    is_open: bool,
    first_outcome_at: Option<Micros>,
    promoting_since: Option<Micros>,
    /// Evidence that the version is slow, as of the trial: what it takes when it has all the traffic says nothing.
    slow_answers: f64,
    /// What was weighed already, by route; none: all of them together.
    weighed: BTreeMap<Option<u64>, [ArmTotals; 2]>,
    scores: BTreeMap<Option<u64>, Scores>,
}

/// What is usual for the earlier version on one route.
struct UsualRates {
    failure: f64,
    late: f64,
}

impl UsualRates {
    /// A route's rates are known by its own answers, and by those of all routes where it has few.
    fn of(route: &ArmTotals, all: &ArmTotals) -> UsualRates {
        let rate = |bad: u32, count: u32, all_bad: u32, all_count: u32| {
            let overall = (f64::from(all_bad) + PRIOR_BAD) / (f64::from(all_count) + PRIOR_ALL);
            (f64::from(bad) + PRIOR_OUTCOMES * overall) / (f64::from(count) + PRIOR_OUTCOMES)
        };
        let late = rate(late_pulls(route), route.pulls, late_pulls(all), all.pulls);
        UsualRates {
            failure: rate(route.bad, route.outcomes, all.bad, all.outcomes),
            late: late.max(MIN_USUAL_LATE_RATE),
        }
    }
}

fn late_pulls(totals: &ArmTotals) -> u32 {
    totals.pulls - totals.on_time.min(totals.pulls)
}

impl Scores {
    /// Weighs new outcomes of the version on trial against what is usual.
    fn weigh(&mut self, new: &ArmTotals, usual: &UsualRates) {
        let bad = f64::from(new.bad);
        let good = f64::from(new.outcomes - new.bad.min(new.outcomes));
        let plain = usual.failure.max(MIN_USUAL_RATE);
        Evidence::lean(
            &mut self.failures,
            bad,
            good,
            plain,
            (plain + EXCESS_RATE).min(MAX_RATE),
        );
        let low = usual.failure.max(MIN_USUAL_RATE_FOR_SMALL_EXCESS);
        Evidence::lean(
            &mut self.few_failures,
            bad,
            good,
            low,
            (low + SMALL_EXCESS_RATE).min(MAX_RATE),
        );
        let late = f64::from(late_pulls(new));
        let on_time = f64::from(new.on_time);
        let worse = (usual.late + EXCESS_RATE).min(MAX_RATE);
        Evidence::lean(&mut self.late_answers, late, on_time, usual.late, worse);
    }
}

/// Returns the totals over all routes: of the earlier version, then of the one on trial.
fn sum_over_routes(pooled: &PooledEvidence) -> [ArmTotals; 2] {
    let mut sums = [ArmTotals::default(); 2];
    for arms in pooled.routes.values() {
        for (sum, arm) in sums.iter_mut().zip(arms) {
            sum.add(arm);
        }
    }
    sums
}

/// Whether what is bad comes from many of the endpoints of the version on trial: with the worst eighth of them left out there
/// is still some, and that is a quarter of all or enough to speak against the version by itself.
fn is_widespread(pooled: &PooledEvidence) -> bool {
    let seen = pooled.endpoints.values();
    let mut seen: Vec<&EndpointTotals> = seen.filter(|endpoint| endpoint.outcomes > 0).collect();
    seen.sort_unstable_by_key(|endpoint| Reverse(bad_or_late(endpoint)));
    let (worst, rest) = seen.split_at(left_out(seen.len()));
    let bad = |endpoints: &[&EndpointTotals]| -> u32 {
        endpoints.iter().map(|endpoint| bad_or_late(endpoint)).sum()
    };
    let (worst_bad, rest_bad) = (bad(worst), bad(rest));
    let is_large_part = 3 * rest_bad >= worst_bad;
    rest_bad >= WIDESPREAD_OUTCOMES && (is_large_part || fails_more_than_usual(rest, pooled))
}

/// Returns the evidence that the version on trial gives more slow answers than the earlier one. The worst eighth of its endpoints
/// count for no more than the next one: one that is slow condemns no version.
fn evidence_of_slow_answers(pooled: &PooledEvidence) -> f64 {
    let mut speeds: Vec<SpeedTotals> = pooled.endpoint_speeds.values().copied().collect();
    speeds.sort_unstable_by_key(|speed| Reverse(speed.slow));
    let next = speeds.get(left_out(speeds.len()));
    let most = next.map_or(0, |next| next.slow);
    let mut trial = SpeedTotals::default();
    for SpeedTotals { answers, slow } in speeds {
        let slow = slow.min(most);
        trial.add(SpeedTotals { answers, slow });
    }
    let earlier = pooled.earlier_speed;
    let usual = (f64::from(earlier.slow) + PRIOR_BAD) / (f64::from(earlier.answers) + PRIOR_ALL);
    let usual = usual.max(MIN_USUAL_SLOW_RATE);
    let slow = f64::from(trial.slow);
    let quick = f64::from(trial.answers - trial.slow);
    let mut evidence = 0.0;
    let worse = (usual + EXCESS_SLOW_RATE).min(MAX_RATE);
    Evidence::lean(&mut evidence, slow, quick, usual, worse);
    evidence
}

/// Returns how many of so many endpoints are left out, as the worst.
fn left_out(endpoints: usize) -> usize {
    match endpoints {
        0 | 1 => 0,
        count => count.div_ceil(LEFT_OUT_ONE_IN),
    }
}

/// Returns how many answers of an endpoint failed or were late.
fn bad_or_late(endpoint: &EndpointTotals) -> u32 {
    endpoint.bad + endpoint.late
}

/// Whether some endpoints of the version on trial fail more often than the earlier version does, beyond doubt.
fn fails_more_than_usual(endpoints: &[&EndpointTotals], pooled: &PooledEvidence) -> bool {
    let [earlier, _] = sum_over_routes(pooled);
    let usual = UsualRates::of(&earlier, &earlier)
        .failure
        .max(MIN_USUAL_RATE_FOR_SMALL_EXCESS);
    let bad: u32 = endpoints.iter().map(|endpoint| endpoint.bad).sum();
    let outcomes: u32 = endpoints.iter().map(|endpoint| endpoint.outcomes).sum();
    let good = outcomes - bad.min(outcomes);
    let worse = (usual + WIDESPREAD_EXCESS_RATE).min(MAX_RATE);
    let mut evidence = 0.0;
    Evidence::lean(&mut evidence, f64::from(bad), f64::from(good), usual, worse);
    evidence >= CONVINCING
}

impl RolloutAnalysis {
    /// Starts the analysis of a rollout that was ordered at `started_at` and may take `within`. `rate`: the service's requests a
    /// second.
    pub fn new(
        started_at: Micros,
        within: Micros,
        phase: Phase,
        limit: ExposureLimit,
        rate: f64,
    ) -> RolloutAnalysis {
        RolloutAnalysis {
            started_at,
            within,
            phase,
            limit,
            share: None,
            stage: TrialStage::default(),
            duel: Duel::new(MAX_ROUTES, rate),
            stage_since: None,
            is_open: false,
            first_outcome_at: None,
            promoting_since: None,
            slow_answers: 0.0,
            weighed: BTreeMap::new(),
            scores: BTreeMap::new(),
        }
    }

    /// Returns the stage that proxies are to be in.
    pub fn stage(&self) -> TrialStage {
        self.stage
    }

    /// Takes note of the rollout's committed phase.
    pub fn set_phase(&mut self, now: Micros, phase: Phase) {
        if self.phase != phase {
            self.phase = phase;
            self.promoting_since = (phase == Phase::Promoting).then_some(now);
        }
    }

    /// Returns the strongest evidence against the version on trial; `CONVINCING` convinces.
    pub fn evidence_against(&self) -> f64 {
        let strongest =
            |most: f64, scores: &Scores| most.max(scores.failures).max(scores.late_answers);
        self.counted_scores().fold(0.0, strongest)
    }

    fn counted_scores(&self) -> impl Iterator<Item = &Scores> {
        let counts = |(route, scores): &(&Option<u64>, &Scores)| {
            scores.has_enough_outcomes || route.is_none()
        };
        self.scores.iter().filter(counts).map(|(_, scores)| scores)
    }

    /// Returns the strongest evidence that the version fails a little more often than the earlier one.
    fn evidence_of_small_excess(&self) -> f64 {
        let strongest =
            |most: f64, scores: &Scores| most.max(SMALL_EXCESS_WEIGHT * scores.few_failures);
        self.counted_scores().fold(0.0, strongest)
    }

    /// Returns what speaks against the version by failures and late answers, convincing or not; above `DOUBTFUL` it is not
    /// promoted.
    pub fn doubt(&self) -> f64 {
        self.evidence_against().max(self.evidence_of_small_excess())
    }

    fn is_doubtful(&self) -> bool {
        self.doubt() >= DOUBTFUL || self.slow_answers >= DOUBTFUL_SLOWNESS
    }

    /// Says in a line what a decision rests on.
    pub fn summary(&self, pooled: &PooledEvidence) -> String {
        let [earlier, trial] = sum_over_routes(pooled);
        let trial_speed = pooled.endpoint_speeds.values().copied();
        let trial_speed = trial_speed.fold(SpeedTotals::default(), |mut sum, speed| {
            sum.add(speed);
            sum
        });
        let arm = |name: &str, totals: &ArmTotals, speed: SpeedTotals| {
            let ArmTotals {
                on_time,
                pulls,
                bad,
                outcomes,
                ..
            } = totals;
            let SpeedTotals { answers, slow } = speed;
            format!("{name} {on_time} of {pulls} in time, {bad} of {outcomes} failed, {slow} of {answers} slow")
        };
        let spread = if is_widespread(pooled) {
            "widespread"
        } else {
            "at few endpoints"
        };
        format!(
            "{}; {}; evidence against it {:.1} of {CONVINCING}, of slow answers {:.1}, doubt {:.1}, {spread}; votes to roll back {}, to promote {}, of {}",
            arm("trial", &trial, trial_speed),
            arm("earlier", &earlier, pooled.earlier_speed),
            self.evidence_against(),
            self.slow_answers,
            self.doubt(),
            pooled.rollback_votes,
            pooled.promote_votes,
            pooled.reporters
        )
    }

    /// Weighs what is new in the totals of all proxies.
    fn weigh(&mut self, pooled: &PooledEvidence) {
        let all = sum_over_routes(pooled);
        let by_route = pooled
            .routes
            .iter()
            .map(|(route, arms)| (Some(*route), arms));
        for (position, (route, arms)) in by_route.chain([(None, &all)]).enumerate() {
            let old = self.weighed.insert(route, *arms).unwrap_or_default();
            let new = [0, 1].map(|arm| arms[arm].since(&old[arm]));
            let usual = UsualRates::of(&arms[EARLIER], &all[EARLIER]);
            let scores = self.scores.entry(route).or_default();
            scores.has_enough_outcomes = arms[TRIAL].outcomes >= MIN_ROUTE_OUTCOMES;
            scores.weigh(&new[TRIAL], &usual);
            // The duel knows single routes only.
            if route.is_some() {
                self.play(position.min(MAX_ROUTES - 1), &new);
            }
        }
        self.duel.judge();
        if self.phase == Phase::Trial {
            self.slow_answers = evidence_of_slow_answers(pooled);
        }
    }

    /// Plays new outcomes on one route in the duel.
    fn play(&mut self, position: usize, new: &[ArmTotals; 2]) {
        for (arm, totals) in new.iter().enumerate() {
            for pull in 0..totals.pulls {
                let reward = f64::from(u8::from(pull < totals.on_time));
                self.duel.add(arm, position, reward);
            }
            for _ in 0..totals.outcomes {
                self.duel.outcome(arm);
            }
        }
    }

    /// Looks at what all proxies have seen, and decides what to do. To be called a few times a second.
    pub fn decide(&mut self, observation: Observation) -> Decision {
        let pooled = observation.pooled;
        self.weigh(pooled);
        let outcomes: u32 = pooled
            .routes
            .values()
            .map(|arms| arms[TRIAL].outcomes)
            .sum();
        if outcomes > 0 && self.first_outcome_at.is_none() {
            self.first_outcome_at = Some(observation.now);
        }
        if self.phase.is_active() && self.must_roll_back(pooled) {
            return Decision::Advance(Phase::RolledBack);
        }
        match self.phase {
            Phase::Trial => self.decide_trial(observation, outcomes),
            Phase::Promoting => self.decide_promotion(observation),
            Phase::Completed | Phase::RolledBack => Decision::Wait,
        }
    }

    /// Whether the version is bad. One endpoint that is unhealthy or stalls condemns no version.
    fn must_roll_back(&self, pooled: &PooledEvidence) -> bool {
        let evidence = self.evidence_against();
        let is_convincing = evidence >= CONVINCING
            || self.evidence_of_small_excess() >= CONVINCING_SMALL_EXCESS
            || self.duel.dropped() == Some(TRIAL);
        let is_voted = pooled.rollback_votes >= MIN_ROLLBACK_VOTES && evidence >= DOUBTFUL;
        let is_slow = self.slow_answers >= CONVINCING;
        is_slow || (is_convincing || is_voted) && is_widespread(pooled)
    }

    fn decide_trial(&mut self, observation: Observation, outcomes: u32) -> Decision {
        let now = observation.now;
        if self.is_undecidable(&observation) {
            return Decision::Advance(Phase::RolledBack);
        }
        if observation.ready_endpoints.unwrap_or(0) == 0 {
            return Decision::Wait;
        }
        let idempotent_only = self.is_idempotent_only(now, outcomes);
        self.is_open = !idempotent_only;
        let stage = TrialStage {
            share: self.trial_share(observation.pooled),
            idempotent_only,
            max_endpoints: 0,
        };
        if stage != self.stage {
            self.stage = stage;
            return Decision::EnterStage(stage);
        }
        let is_doubtful = self.is_doubtful() || self.duel.dropped() == Some(TRIAL);
        if !is_doubtful && self.is_due(&observation, outcomes) {
            return Decision::Advance(Phase::Promoting);
        }
        if is_doubtful && self.is_last_moment(now) {
            return Decision::Advance(Phase::RolledBack);
        }
        Decision::Wait
    }

    /// Returns the share of the service's requests for the version on trial, the same from the first stage on. What is allowed
    /// besides the share is spread over the requests that are expected until the time is over: the less time there is, the more
    /// it adds, and at most as much again.
    fn trial_share(&mut self, pooled: &PooledEvidence) -> f64 {
        let ExposureLimit { share, slack } = self.limit;
        let seconds = |span: Micros| span as f64 / 1e6;
        let rate = pooled.requests as f64 / seconds(pooled.age).max(1.0);
        let expected = (rate * seconds(self.within)).max(1.0);
        let allowed = share + (slack / expected).min(share);
        *self.share.get_or_insert(USED_PART_OF_SHARE * allowed)
    }

    fn is_last_moment(&self, now: Micros) -> bool {
        let ends_at = self.started_at + self.within;
        now + DECISION_MARGIN.min(self.within / 6) >= ends_at
    }

    /// Whether nothing more is to be learnt in a trial: its endpoints are gone when its time is nearly over, or its time was over
    /// long ago.
    fn is_undecidable(&self, observation: &Observation) -> bool {
        let is_over = observation.now >= self.started_at + MAX_TRIAL * self.within;
        let has_no_endpoints = observation.ready_endpoints == Some(0);
        is_over || (has_no_endpoints && self.is_last_moment(observation.now))
    }

    fn is_idempotent_only(&mut self, now: Micros, outcomes: u32) -> bool {
        let stage_since = *self.stage_since.get_or_insert(now);
        if self.is_open {
            return false;
        }
        let Some(first) = self.first_outcome_at else {
            return now < stage_since + 2 * IDEMPOTENT_STAGE;
        };
        let has_few_outcomes = outcomes < IDEMPOTENT_STAGE_OUTCOMES;
        now < first + IDEMPOTENT_STAGE || (has_few_outcomes && now < first + 2 * IDEMPOTENT_STAGE)
    }

    /// Whether the version has been seen for long enough, and it is time to promote it.
    fn is_due(&self, observation: &Observation, outcomes: u32) -> bool {
        let now = observation.now;
        let reserve = PROMOTION_RESERVE.min(self.within / 3);
        let due_at = self.started_at + self.within - reserve;
        let pulls: u32 = observation
            .pooled
            .routes
            .values()
            .map(|arms| arms[TRIAL].pulls)
            .sum();
        let has_soaked = |since| now >= since + MIN_SOAK || pulls >= MIN_SOAK_PULLS;
        observation.warm_since.is_some_and(has_soaked) && outcomes >= MIN_OUTCOMES && now >= due_at
    }

    fn decide_promotion(&mut self, observation: Observation) -> Decision {
        let now = observation.now;
        let since = *self.promoting_since.get_or_insert(now);
        let is_drained =
            observation.drain == DrainProgress::default() && observation.away_proxies == 0;
        let has_waited = now >= since + MAX_PROMOTION;
        // The earlier endpoints end as soon as the rollout is completed: with a doubt left, or none of the new ones, it is not.
        if self.is_doubtful() || observation.ready_endpoints == Some(0) {
            return if has_waited {
                Decision::Advance(Phase::RolledBack)
            } else {
                Decision::Wait
            };
        }
        if now >= since + MIN_PROMOTION && (is_drained || has_waited) {
            return Decision::Advance(Phase::Completed);
        }
        Decision::Wait
    }
}
