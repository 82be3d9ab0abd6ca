//! What must hold for all that was seen in a run.

use crate::recorder::{Arrival, Micros, Recording, SentRequest};
use std::collections::{BTreeMap, BTreeSet};

/// By a configuration that is no longer in force nothing is sent later than this: less than any guarantee.
const MAX_CONFIG_OVERLAP: Micros = 2_000;
/// A request may be passed on so long after its deadline: time counts from when its head was read.
const DEADLINE_TOLERANCE: Micros = 5_000;
/// A rejection that came so long before the deadline was known when the request was given up.
const REJECTION_DELAY: Micros = 50_000;

/// After its client has left, a request reaches no endpoint so much later, and no endpoint works on an idempotent one for so long:
/// the bound of the rules.
const MAX_WORK_AFTER_CLIENT: Micros = 500_000;

/// Statuses that promise that a request never ran.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Returns all that is violated.
pub(crate) fn violations(recording: &Recording) -> Vec<String> {
    let mut arrivals_by_id: BTreeMap<&str, Vec<&Arrival>> = BTreeMap::new();
    for arrival in &recording.arrivals {
        arrivals_by_id.entry(&arrival.id).or_default().push(arrival);
    }
    let mut violations = Vec::new();
    for (id, arrivals) in &arrivals_by_id {
        match recording.sent.get(*id) {
            Some(sent) => check_request(recording, id, sent, arrivals, &mut violations),
            None => violations.push(format!("{id} was sent by nobody")),
        }
    }
    for (id, sent) in &recording.sent {
        let has_arrived = arrivals_by_id.contains_key(id.as_str());
        if let ([sent], false) = (&sent[..], has_arrived) {
            if may_have_run_by_response(sent) {
                violations.push(format!(
                    "{id} was answered as if it might have run: {sent:?}"
                ));
            }
        }
    }
    violations
}

/// Returns all that was done for clients that had left.
pub(crate) fn work_for_nobody(recording: &Recording) -> Vec<String> {
    let mut findings = Vec::new();
    for arrival in &recording.arrivals {
        let Some([sent]) = recording.sent.get(&arrival.id).map(Vec::as_slice) else {
            continue;
        };
        let Some(left_at) = sent.client_left_at else {
            continue;
        };
        let bound = left_at + MAX_WORK_AFTER_CLIENT;
        if arrival.at > bound {
            findings.push(format!(
                "{arrival:?} was sent after its client had left at {left_at}"
            ));
        }
        let has_stopped = arrival.stopped_at.is_some_and(|at| at <= bound);
        if arrival.is_idempotent && arrival.has_run && !has_stopped {
            findings.push(format!(
                "{arrival:?} went on after its client had left at {left_at}"
            ));
        }
    }
    findings
}

/// Whether the gateway answered that the request may have run.
fn may_have_run_by_response(sent: &SentRequest) -> bool {
    sent.response
        .is_some_and(|response| response.is_own && matches!(response.status, 502 | 504))
}

/// Checks a request that has arrived somewhere; `sent`: each time that its id was sent.
fn check_request(
    recording: &Recording,
    id: &str,
    sent: &[SentRequest],
    arrivals: &[&Arrival],
    violations: &mut Vec<String>,
) {
    if sent.iter().all(|sent| sent.finished_at.is_none()) {
        violations.push(format!("{id} was passed on before it had come completely"));
    }
    if !arrivals[0].is_idempotent {
        check_at_most_once(id, sent, arrivals, violations);
    }
    if sent.iter().all(|sent| sent.is_behind_close) {
        let first = arrivals[0];
        violations.push(format!(
            "{id} was passed on behind a response that closes: {first:?}"
        ));
    }
    let deadline = |sent: &SentRequest| sent.finished_at.unwrap_or(sent.started_at) + sent.timeout;
    let deadline = sent.iter().map(deadline).max().unwrap_or(0) + DEADLINE_TOLERANCE;
    if let Some(late) = arrivals.iter().find(|arrival| arrival.at > deadline) {
        violations.push(format!("{id} was passed on after {deadline}: {late:?}"));
    }
    let [sent] = sent else {
        return;
    };
    let is_known_rejected = |arrival: &&Arrival| {
        arrival
            .rejected_at
            .is_some_and(|at| at + REJECTION_DELAY < deadline)
    };
    if arrivals.iter().all(is_known_rejected) && may_have_run_by_response(sent) {
        violations.push(format!(
            "{id} never ran, and was answered as if it might have: {sent:?}"
        ));
    }
    let unrejected = arrivals
        .iter()
        .filter(|arrival| arrival.rejected_at.is_none());
    violations.extend(unrejected.filter_map(|arrival| outdated(recording, sent, arrival)));
}

/// Checks that a request which is not idempotent was not sent again where it may have run, and that no promise that it never ran
/// is false.
fn check_at_most_once(
    id: &str,
    sent: &[SentRequest],
    arrivals: &[&Arrival],
    violations: &mut Vec<String>,
) {
    let unrejected = arrivals
        .iter()
        .position(|arrival| arrival.rejected_at.is_none());
    let Some(unrejected) = unrejected else {
        return;
    };
    if unrejected + 1 < arrivals.len() {
        let arrival = arrivals[unrejected];
        violations.push(format!(
            "{id} is not idempotent and was sent on after {arrival:?}"
        ));
    }
    let statuses = sent
        .iter()
        .filter_map(|sent| sent.response)
        .map(|response| response.status);
    if let Some(status) = statuses
        .into_iter()
        .find(|status| PROMISES.contains(status))
    {
        violations.push(format!("{id} was answered with {status}, and may have run"));
    }
}

/// Returns a violation if a request went where only a configuration allowed that was not in force any more.
fn outdated(recording: &Recording, sent: &SentRequest, arrival: &Arrival) -> Option<String> {
    let from = sent.finished_at.unwrap_or(sent.started_at);
    let prefix = if arrival.is_idempotent {
        "/safe/"
    } else {
        "/once/"
    };
    let mut allowed = BTreeSet::new();
    for (i, config) in recording.configs.iter().enumerate() {
        let until = recording
            .configs
            .get(i + 1)
            .map_or(Micros::MAX, |next| next.since);
        let was_in_force = config.since <= arrival.at
            && until >= from
            && arrival.at <= until.saturating_add(MAX_CONFIG_OVERLAP);
        if was_in_force {
            allowed.extend(config.services.get(prefix).cloned());
        }
    }
    let is_allowed = allowed.contains(&arrival.service);
    (!is_allowed)
        .then(|| format!("{arrival:?} goes by an older configuration than {sent:?} allows"))
}
