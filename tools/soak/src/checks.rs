//! What must hold for all that was seen in a run, by the names of the rules.

use crate::calm;
use crate::plan::Agent;
use crate::recorder::{ClientOutcome, Micros, Recording, Run, SentRequest};
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;
/// Endpoints stop within half a second after a client has left; the rest is for a machine that is busy with all processes of a run.
const MAX_WORK_AFTER_CLIENT: Micros = SECOND;
/// A frozen or killed agent is excused for this long before and after: it learns of the world anew.
const RECOVERY: Micros = 3 * SECOND;
/// From SIGTERM to SIGKILL, as in the settings of the agents.
pub(crate) const GRACE: Micros = 6 * SECOND;
/// An endpoint gets nothing for so long after the platform first listed it as leaving.
const DRAIN: Micros = 4 * SECOND;
/// Statuses that promise that a request never ran and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// The memory of an agent, as in its settings.
pub(crate) const MEMORY_MB: u64 = 72;
/// What an agent may hold in the end, in kB and descriptors.
const MAX_MEMORY_KB: u64 = 128 << 10;
const MAX_DESCRIPTORS: usize = 1_000;

/// A rule that was violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Its name.
    pub rule: &'static str,
    /// When.
    pub at: Micros,
    /// What was seen.
    pub text: String,
}

/// Returns all that was violated, in the order of time.
pub fn findings(recording: &Recording) -> Vec<Finding> {
    let mut runs_by_id: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in &recording.runs {
        runs_by_id.entry(&run.id).or_default().push(run);
    }
    let mut findings = Vec::new();
    for (id, request) in &recording.requests {
        let runs = runs_by_id.get(id.as_str()).map_or(&[][..], Vec::as_slice);
        check_request(recording, id, request, runs, &mut findings);
    }
    check_unasked(recording, &mut findings);
    check_drain(recording, &mut findings);
    check_agents(recording, &mut findings);
    check_configs(recording, &mut findings);
    calm::check(recording, &mut findings);
    findings.sort_by_key(|finding| finding.at);
    findings
}

/// Whether something unplanned happened to an agent in some time.
fn is_disturbed(recording: &Recording, agent: Agent, from: Micros, until: Micros) -> bool {
    recording.incidents.iter().any(|incident| {
        incident.is_unplanned
            && incident.agent == Some(agent)
            && incident.from <= until + RECOVERY
            && incident
                .until
                .is_none_or(|ended_at| ended_at + RECOVERY >= from)
    })
}

fn check_request(
    recording: &Recording,
    id: &str,
    request: &SentRequest,
    runs: &[&Run],
    findings: &mut Vec<Finding>,
) {
    let began: Vec<&&Run> = runs.iter().filter(|run| run.began_at.is_some()).collect();
    let mut report = |rule, text: String| {
        findings.push(Finding {
            rule,
            at: request.sent_at,
            text: format!("{id} {text}: {request:?}, {runs:?}"),
        });
    };
    if !request.is_idempotent && began.len() > 1 {
        report("TWICE", format!("ran {} times", began.len()));
    }
    let Some((ended_at, outcome)) = &request.outcome else {
        return;
    };
    let proxy = Agent::Proxy(request.proxy);
    match outcome {
        ClientOutcome::Answered {
            status,
            has_postmark,
            is_own,
        } => {
            let is_success = (200..300).contains(status);
            if is_success && !(*has_postmark && *is_own) {
                report("MIXED", "got a success that is not its own".into());
            }
            if PROMISES.contains(status) && !request.is_idempotent && !began.is_empty() {
                report("REFUSED", format!("got {status} and has run"));
            }
        }
        ClientOutcome::Closed | ClientOutcome::Truncated => {
            let is_lost = !began.is_empty() && *ended_at < request.deadline;
            let is_excused = request.is_behind_close
                || is_disturbed(recording, proxy, request.sent_at, *ended_at)
                || was_cut_at_the_end(recording, proxy, request, *ended_at);
            if is_lost && !is_excused {
                report("LOST", "was at work and got no answer".into());
            }
        }
        ClientOutcome::Silent => {
            if !is_disturbed(recording, proxy, request.sent_at, *ended_at) {
                report("SILENT", "had no answer long after its deadline".into());
            }
        }
        ClientOutcome::Left => {
            let bound = ended_at + MAX_WORK_AFTER_CLIENT;
            let goes_on = |run: &&&Run| run.stopped_at.is_none_or(|at| at > bound);
            let is_excused =
                !request.is_idempotent || is_disturbed(recording, proxy, *ended_at, bound);
            if !is_excused && began.iter().any(goes_on) {
                report(
                    "GONE",
                    format!("was worked on after its client had left at {ended_at}"),
                );
            }
            if runs.iter().any(|run| run.arrived_at > bound) && !is_excused {
                report(
                    "GONE",
                    format!("was sent on after its client had left at {ended_at}"),
                );
            }
        }
    }
}

/// Whether a request was sent in the first half of a grace period and was still at work in its last sixth.
fn was_cut_at_the_end(
    recording: &Recording,
    proxy: Agent,
    request: &SentRequest,
    ended_at: Micros,
) -> bool {
    recording.shutdowns.iter().any(|shutdown| {
        shutdown.agent == proxy
            && request.sent_at <= shutdown.at + GRACE / 2
            && ended_at >= shutdown.at + GRACE * 5 / 6
    })
}

fn check_unasked(recording: &Recording, findings: &mut Vec<Finding>) {
    for text in &recording.altered {
        findings.push(Finding {
            rule: "UNASKED",
            at: 0,
            text: text.clone(),
        });
    }
    for run in &recording.runs {
        if !recording.requests.contains_key(&run.id) {
            findings.push(Finding {
                rule: "UNASKED",
                at: run.arrived_at,
                text: format!("{run:?} was sent by nobody"),
            });
        }
    }
}

fn check_drain(recording: &Recording, findings: &mut Vec<Finding>) {
    for run in &recording.runs {
        let Some(leaving_at) = recording.leaving.get(&run.endpoint) else {
            continue;
        };
        let Some(request) = recording.requests.get(&run.id) else {
            continue;
        };
        let is_late = run.arrived_at > leaving_at + DRAIN;
        let proxy = Agent::Proxy(request.proxy);
        if is_late && !is_disturbed(recording, proxy, *leaving_at, run.arrived_at) {
            findings.push(Finding {
                rule: "DRAIN",
                at: run.arrived_at,
                text: format!("{run:?} reached an endpoint listed as leaving at {leaving_at}"),
            });
        }
    }
}

fn check_agents(recording: &Recording, findings: &mut Vec<Finding>) {
    for exit in &recording.exits {
        findings.push(Finding {
            rule: "EXIT",
            at: 0,
            text: exit.clone(),
        });
    }
    for shutdown in &recording.shutdowns {
        let is_disturbed =
            is_disturbed(recording, shutdown.agent, shutdown.at, shutdown.at + GRACE);
        if shutdown.took.is_none() && !is_disturbed {
            findings.push(Finding {
                rule: "SHUTDOWN",
                at: shutdown.at,
                text: format!("{} did not end by itself", shutdown.agent),
            });
        }
    }
    for (agent, peak_kb) in &recording.memory_peaks {
        if peak_kb * 1024 > MEMORY_MB * 1_000_000 {
            findings.push(Finding {
                rule: "MEMORY",
                at: 0,
                text: format!("{agent} had {peak_kb} kB, beyond its {MEMORY_MB} MB"),
            });
        }
    }
    for (agent, memory_kb, descriptors) in &recording.resources {
        if *memory_kb > MAX_MEMORY_KB || *descriptors > MAX_DESCRIPTORS {
            findings.push(Finding {
                rule: "RESOURCES",
                at: 0,
                text: format!("{agent} holds {memory_kb} kB and {descriptors} descriptors"),
            });
        }
    }
}

fn check_configs(recording: &Recording, findings: &mut Vec<Finding>) {
    let newest = recording.acknowledged_configs.last_key_value();
    let Some((version, at)) = newest else {
        return;
    };
    let is_current = recording
        .read_back
        .is_some_and(|read| read >= *version && recording.sent_configs.contains_key(&read));
    if !is_current {
        findings.push(Finding {
            rule: "CONFIG",
            at: *at,
            text: format!(
                "configuration {version} was acknowledged, {:?} is read back",
                recording.read_back
            ),
        });
    }
}
