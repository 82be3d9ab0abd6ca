//! What must hold once all that a run did is over: endpoints with room serve, whatever was before.

use crate::checks::Finding;
use crate::recorder::{ClientOutcome, Micros, Recording, SentRequest};
use std::collections::BTreeMap;

/// What proxies believed of endpoints while these were ill or full is outdated within this.
const RECOVERY: Micros = 5_000_000;
/// Fewer requests show nothing.
const MIN_REQUESTS: usize = 100;
/// More than this part of a service's requests is not refused,
const MAX_REFUSED: f64 = 0.01;
/// while the endpoints of each service are used less than this.
const MAX_USE: f64 = 0.5;

/// What endpoints have worked on within some time.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    /// Requests that they can work on at a time, all together.
    concurrency: u64,
    /// Time at work, over all requests.
    work: Micros,
}

/// Adds what was violated in the calm end of a run, if it had one.
pub(crate) fn check(recording: &Recording, findings: &mut Vec<Finding>) {
    let Some((from, until)) = calm_end(recording) else {
        return;
    };
    let time = until - from;
    let is_used = |usage: &Usage| usage.work as f64 >= MAX_USE * (usage.concurrency * time) as f64;
    let usage = usage(recording, from, until);
    if usage.values().any(is_used) {
        return;
    }
    for is_idempotent in [true, false] {
        let is_counted = |request: &&SentRequest| {
            request.is_idempotent == is_idempotent && (from..until).contains(&request.sent_at)
        };
        let requests: Vec<_> = recording.requests.values().filter(is_counted).collect();
        let refused = requests
            .iter()
            .filter(|request| is_refused(request))
            .count();
        let may_be_refused = requests.len() as f64 * MAX_REFUSED;
        if requests.len() >= MIN_REQUESTS && refused as f64 > may_be_refused {
            findings.push(Finding {
                rule: "CALM",
                at: from,
                text: format!(
                    "{refused} of {} requests (idempotent: {is_idempotent}) were refused in the calm end: {usage:?}",
                    requests.len()
                ),
            });
        }
    }
}

/// Returns from when on nothing disturbs a run, and when its last request was sent.
fn calm_end(recording: &Recording) -> Option<(Micros, Micros)> {
    let ends = recording.incidents.iter().map(|incident| incident.until);
    let last_end = ends.collect::<Option<Vec<Micros>>>()?.into_iter().max();
    let from = last_end.unwrap_or(0) + RECOVERY;
    let until = recording
        .requests
        .values()
        .map(|request| request.sent_at)
        .max()?;
    (from < until).then_some((from, until))
}

fn is_refused(request: &SentRequest) -> bool {
    matches!(
        request.outcome,
        Some((_, ClientOutcome::Answered { status: 503, .. }))
    )
}

/// Returns how much each service's endpoints were used.
fn usage(recording: &Recording, from: Micros, until: Micros) -> BTreeMap<&'static str, Usage> {
    let mut usage: BTreeMap<&'static str, Usage> = BTreeMap::new();
    let staying = recording
        .endpoints
        .iter()
        .filter(|(id, _)| !recording.leaving.contains_key(*id));
    for endpoint in staying.map(|(_, endpoint)| endpoint) {
        usage.entry(endpoint.service).or_default().concurrency += endpoint.concurrency as u64;
    }
    for run in &recording.runs {
        let (Some(began_at), Some(endpoint)) =
            (run.began_at, recording.endpoints.get(&run.endpoint))
        else {
            continue;
        };
        let end = run.stopped_at.unwrap_or(until).min(until);
        usage.entry(endpoint.service).or_default().work += end.saturating_sub(began_at.max(from));
    }
    usage
}
