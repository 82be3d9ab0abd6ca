//! What the end of an attempt tells the load balancer, the service's trial and the metrics.

use super::attempt_plan::Attempt;
use super::metrics::Requester;
use super::state::ProxyState;
use super::Proxy;
use crate::clock::{now, Micros};
use magpieline_config::route_table::Idempotency;
use magpieline_http1::attempt_outcome::AttemptOutcome;
use magpieline_load_balancer::endpoint_selection::{EndpointSignal, ListedEndpoint, ReportedLoad};
use magpieline_rollout::trial::{self, stable_hash, AttemptEnd as TrialEnd, AttemptKey};

/// An idempotent attempt that goes on for longer than this after its client has left is logged.
const MAX_WORK_AFTER_CLIENT: Micros = 500_000;

/// How an attempt ended, for those who learn from it.
pub(super) struct AttemptEnd {
    /// Its number at the load balancer.
    pub(super) number: u64,
    pub(super) sent_at: Micros,
    pub(super) outcome: AttemptOutcome,
    /// It was not sent for a reason that is none of the endpoint's.
    pub(super) was_withheld: bool,
    /// The load that the endpoint reported.
    pub(super) load: Option<ReportedLoad>,
}

/// Tells the load balancer and the service's trial that an attempt is sent. Returns its number at the load balancer.
pub(super) fn on_sent(state: &mut ProxyState, attempt: &Attempt, now: Micros) -> u64 {
    let number = state.load_balancer.on_sent(now, attempt.endpoint);
    let is_comparable = attempt.is_trial && attempt.is_first && !attempt.is_warming_up;
    if is_comparable {
        if let Some(part) = state.rollouts.get_mut(&*attempt.service) {
            let route = stable_hash(&attempt.route.name);
            part.trial.on_sent(now, trial_key(attempt, number), route);
        }
    }
    number
}

fn trial_key(attempt: &Attempt, number: u64) -> AttemptKey {
    AttemptKey {
        endpoint: stable_hash(&attempt.id) as u32,
        number,
    }
}

/// Tells the load balancer and the service's trial how an attempt has just ended.
pub(super) fn to_state(state: &mut ProxyState, attempt: &Attempt, end: &AttemptEnd) {
    let now = now();
    if let Some(part) = state.rollouts.get_mut(&*attempt.service) {
        part.trial.on_ended(trial_key(attempt, end.number));
    }
    to_trial(state, attempt, end.outcome, now.saturating_sub(end.sent_at));
    let signal = signal(end.outcome, end.was_withheld);
    state
        .load_balancer
        .on_end(now, attempt.endpoint, end.number, signal, end.load);
}

/// Returns what an outcome says of the endpoint.
fn signal(outcome: AttemptOutcome, was_withheld: bool) -> EndpointSignal {
    match outcome {
        AttemptOutcome::Answered { status } if status < 500 => EndpointSignal::Served,
        AttemptOutcome::Answered { .. } => EndpointSignal::Failed,
        AttemptOutcome::Rejected => EndpointSignal::Rejected,
        AttemptOutcome::NotSent if was_withheld => EndpointSignal::Inconclusive,
        AttemptOutcome::NotSent => EndpointSignal::NoConnection,
        AttemptOutcome::ConnectionLost => EndpointSignal::ConnectionLost,
        AttemptOutcome::InvalidResponse => EndpointSignal::InvalidResponse,
        AttemptOutcome::TimedOut => EndpointSignal::TimedOut,
        AttemptOutcome::Cancelled => EndpointSignal::Cancelled,
    }
}

/// Counts who still waited for an attempt that has ended, and logs an idempotent one that went on for too long for nobody.
pub(super) fn to_metrics(
    proxy: &Proxy,
    attempt: &Attempt,
    was_answered: bool,
    client_left_at: Option<Micros>,
) {
    let Some(left_at) = client_left_at else {
        let requester = match was_answered {
            true => Requester::Answered,
            false => Requester::Waiting,
        };
        proxy.metrics.on_attempt_end(requester);
        return;
    };
    let since = now().saturating_sub(left_at);
    proxy.metrics.on_attempt_end(Requester::Gone);
    proxy.metrics.on_work_after_client(since);
    let is_idempotent = attempt.route.idempotency == Idempotency::Idempotent;
    if is_idempotent && since > MAX_WORK_AFTER_CLIENT {
        let (id, route, ms) = (&attempt.id, &attempt.route.name, since / 1_000);
        tracing::info!(target: "attempt", "An attempt of {route} at {id} went on for {ms} ms after its client had left.");
    }
}

/// Returns what is listed of an attempt's endpoint, unless its handle is another endpoint's by now.
pub(super) fn listed<'a>(state: &'a ProxyState, attempt: &Attempt) -> Option<&'a ListedEndpoint> {
    let listed = state.load_balancer.get(attempt.endpoint)?;
    (listed.id == attempt.id).then_some(listed)
}

/// Tells the service's trial, if there is one, how an attempt ended.
fn to_trial(state: &mut ProxyState, attempt: &Attempt, outcome: AttemptOutcome, elapsed: Micros) {
    let Some(version) = listed(state, attempt).map(|listed| listed.version.clone()) else {
        return;
    };
    let Some(part) = state.rollouts.get_mut(&*attempt.service) else {
        return;
    };
    let end = match outcome {
        AttemptOutcome::Answered { status } if status < 500 => TrialEnd::Served,
        AttemptOutcome::Answered { .. } => TrialEnd::Failed,
        AttemptOutcome::TimedOut => TrialEnd::TimedOut,
        // It was late already: a version that is slow must not seem fast because clients don't wait for it.
        AttemptOutcome::Cancelled if elapsed > attempt.route.latency_target => TrialEnd::TimedOut,
        // A crash, a cut or a garbled response is no version's doing.
        AttemptOutcome::Rejected
        | AttemptOutcome::NotSent
        | AttemptOutcome::ConnectionLost
        | AttemptOutcome::InvalidResponse
        | AttemptOutcome::Cancelled => TrialEnd::Inconclusive,
    };
    part.trial.on_outcome(trial::AttemptOutcome {
        on_trial: *version == *part.target_version,
        route: stable_hash(&attempt.route.name),
        endpoint: stable_hash(&attempt.id) as u32,
        is_first: attempt.is_first,
        end,
        on_time: end == TrialEnd::Served && elapsed <= attempt.route.latency_target,
        warming_up: attempt.is_warming_up,
        elapsed,
    });
}
