//! What is said of a run.

use crate::checks::Finding;
use crate::recorder::{ClientOutcome, Incident, Micros, Recording};
use crate::Outcome;
use hdrhistogram::Histogram;
use std::fmt::Write;

/// Findings whose surroundings are shown.
const SHOWN_FINDINGS: usize = 3;
/// What was done within this before a finding is shown with it.
const CONTEXT: Micros = 8_000_000;
/// Histograms hold times up to this.
const MAX_TIME: Micros = 120_000_000;

/// Sums up one run in a line.
pub fn summary(seed: u64, outcome: &Outcome) -> String {
    let recording = &outcome.recording;
    let counted = |is_counted: fn(&ClientOutcome) -> bool| {
        let outcomes = recording.requests.values();
        let outcomes = outcomes.filter_map(|request| request.outcome.as_ref());
        outcomes.filter(|(_, outcome)| is_counted(outcome)).count()
    };
    let served = counted(|outcome| matches!(outcome, ClientOutcome::Answered { status: 200, .. }));
    let rejected =
        counted(|outcome| matches!(outcome, ClientOutcome::Answered { status: 503, .. }));
    let left = counted(|outcome| matches!(outcome, ClientOutcome::Left));
    let latencies = percentiles(recording.latencies.iter().copied());
    let after_client = percentiles(work_after_clients(recording));
    let shutdowns = recording.shutdowns.iter().filter_map(|s| s.took);
    let longest_stall = recording.stalls.iter().map(|stall| stall.length).max();
    format!(
        "seed {seed}: {} findings; {} requests, {served} served, {rejected} rejected, {left} left; latency ms {latencies}; \
         work after client ms {after_client}; {} shutdowns, ms {}; {} stalls of its own, ms {} at most",
        outcome.findings.len(),
        recording.requests.len(),
        recording.shutdowns.len(),
        percentiles(shutdowns),
        recording.stalls.len(),
        longest_stall.unwrap_or(0) / 1_000,
    )
}

/// Returns how long endpoints worked on idempotent requests after their clients had left.
fn work_after_clients(recording: &Recording) -> impl Iterator<Item = Micros> + '_ {
    let begun = recording.runs.iter().filter(|run| run.began_at.is_some());
    begun.filter_map(|run| {
        let request = recording.requests.get(&run.id)?;
        let (left_at, outcome) = request.outcome.as_ref()?;
        let is_counted = *outcome == ClientOutcome::Left && request.is_idempotent;
        is_counted.then(|| run.stopped_at.unwrap_or(MAX_TIME).saturating_sub(*left_at))
    })
}

/// Returns the median, the 99th and the 99.9th percentile and the largest, in milliseconds.
fn percentiles(times: impl Iterator<Item = Micros>) -> String {
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_TIME, 3).expect("valid bounds");
    times.for_each(|time| histogram.saturating_record(time.max(1)));
    let ms = |micros: u64| micros as f64 / 1e3;
    format!(
        "{:.1}/{:.1}/{:.1}/{:.1}",
        ms(histogram.value_at_quantile(0.5)),
        ms(histogram.value_at_quantile(0.99)),
        ms(histogram.value_at_quantile(0.999)),
        ms(histogram.max()),
    )
}

/// Describes the first findings of a run with what was done before each.
pub fn describe_findings(outcome: &Outcome) -> String {
    let mut text = String::new();
    for finding in outcome.findings.iter().take(SHOWN_FINDINGS) {
        let Finding {
            rule,
            at,
            text: what,
        } = finding;
        let _ = writeln!(text, "{rule} at {:.3} s: {what}", seconds(*at));
        let is_near = |incident: &&Incident| {
            incident.from <= at + CONTEXT
                && incident.until.is_none_or(|until| until + CONTEXT >= *at)
        };
        for incident in outcome.recording.incidents.iter().filter(is_near) {
            let until = incident
                .until
                .map_or("open".into(), |until| format!("{:.3}", seconds(until)));
            let _ = writeln!(
                text,
                "    {:.3} to {until} s: {}",
                seconds(incident.from),
                incident.text
            );
        }
    }
    text
}

fn seconds(micros: Micros) -> f64 {
    micros as f64 / 1e6
}
