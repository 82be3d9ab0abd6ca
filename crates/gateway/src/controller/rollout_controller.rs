//! The leader moves rollouts on: it pools what the proxies have seen, has it analysed, and carries out the decision. It also
//! records how old the operators' orders are.

use super::{Controller, ControllerState, SETTLE_TIME};
use crate::clock::{now, sleep, Micros};
use crate::view::phase_name;
use magpieline_control_plane::messages::{ControllerMessage, EndpointState, TrialStage};
use magpieline_control_plane::state_machine::{Command, Rollout};
use magpieline_rollout::analysis::{Decision, ExposureLimit, Observation, RolloutAnalysis};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How often rollouts are analysed; proxies report twice a second, and at once when something is new to them.
const ANALYSIS_INTERVAL: Micros = 150_000;

/// The endpoints of a version say nothing of it if the list was read so long ago: three readings have failed.
const MAX_LIST_AGE: Micros = 3_000_000;

/// A rollout that is under way.
struct ActiveRollout {
    id: u64,
    analysis: RolloutAnalysis,
    /// Since when most endpoints of the new version have been warm.
    warm_since: Option<Micros>,
}

/// The rollouts under way, by service.
type ActiveRollouts = BTreeMap<String, ActiveRollout>;

/// A leadership of this controller.
#[derive(Clone, Copy)]
struct Leadership {
    term: u64,
    since: Micros,
}

/// Moves rollouts on while this controller leads, until the task is aborted.
pub(super) async fn run(controller: Arc<Controller>) {
    let mut active = ActiveRollouts::new();
    let mut leadership: Option<Leadership> = None;
    loop {
        sleep(ANALYSIS_INTERVAL).await;
        let Some(term) = controller.raft.lease_term() else {
            continue;
        };
        let current = match leadership {
            Some(current) if current.term == term => current,
            _ => {
                // Each leadership starts over: proxies report all that they have seen again.
                active.clear();
                *leadership.insert(Leadership { term, since: now() })
            }
        };
        record_order_ages(&controller).await;
        if now() >= current.since + SETTLE_TIME {
            analyse_all(&controller, term, &mut active).await;
        }
    }
}

/// Records for how long orders have been accepted, where that is due. What is not committed is recorded the next time.
async fn record_order_ages(controller: &Controller) {
    let receipt = controller.settings.borrow().guarantees.receipt;
    let command = {
        let state = controller.state();
        let clock = &state.acceptance_clock;
        clock.ages_to_record(now(), &state.control, receipt)
    };
    if let Some(command) = command {
        let _ = controller.propose(command).await;
    }
}

async fn analyse_all(controller: &Controller, term: u64, active: &mut ActiveRollouts) {
    let rollouts = rollouts_under_way(&controller.state());
    active.retain(|service, known| {
        let is_known =
            |(name, rollout): &(String, Rollout)| name == service && rollout.id == known.id;
        rollouts.iter().any(is_known)
    });
    for (service, rollout) in rollouts {
        // What was proposed for the one before may have taken long.
        if controller.raft.lease_term() != Some(term) {
            break;
        }
        analyse(controller, active, &service, &rollout).await;
    }
}

fn rollouts_under_way(state: &ControllerState) -> Vec<(String, Rollout)> {
    let services = state.control.services.iter();
    let rollouts =
        services.filter_map(|(name, service)| Some((name.clone(), service.rollout.clone()?)));
    rollouts
        .filter(|(_, rollout)| rollout.phase.is_active())
        .collect()
}

/// Analyses one rollout, and carries out the decision.
async fn analyse(
    controller: &Controller,
    active: &mut ActiveRollouts,
    service: &str,
    rollout: &Rollout,
) {
    let (decision, summary) = decide(controller, active, service, rollout);
    let target = &rollout.target_version;
    match decision {
        Decision::Wait => tracing::debug!(target: "rollout", "{service} to {target}: {summary}."),
        Decision::EnterStage(stage) => log_stage(service, target, &stage),
        Decision::Advance(phase) => {
            let name = phase_name(phase);
            tracing::info!(target: "rollout", "{service} to {target}: {name}, on {summary}.");
            let command = Command::AdvanceRollout {
                service: service.to_owned(),
                id: rollout.id,
                phase,
            };
            // If it is not committed, the next analysis proposes it again.
            let _ = controller.propose(command).await;
        }
    }
}

fn log_stage(service: &str, target: &str, stage: &TrialStage) {
    let restriction = if stage.idempotent_only {
        ", idempotent requests only"
    } else {
        ""
    };
    let endpoints = match stage.max_endpoints {
        0 => String::new(),
        max => format!(", at {max} endpoints"),
    };
    tracing::info!(
        target: "rollout",
        "{service} to {target}: share {:.3}{restriction}{endpoints}.", stage.share
    );
}

/// Decides what to do with one rollout, and tells the proxies if that is another stage. Returns the decision, and what it rests
/// on.
fn decide(
    controller: &Controller,
    active: &mut ActiveRollouts,
    service: &str,
    rollout: &Rollout,
) -> (Decision, String) {
    let now = now();
    let mut state = controller.state();
    let pooled = state.proxies.pooled_evidence(service, rollout.id);
    let new_version = NewVersion::of(&state, service, rollout, now);
    let known = active.entry(service.to_owned()).or_insert_with(|| {
        // The order may be older than this leadership: proxies tell for how long they have known of it.
        let started_at = now - pooled.age;
        let limit = exposure_limit(controller);
        let rate = pooled.requests as f64 / (pooled.age as f64 / 1e6).max(1.0);
        let analysis = RolloutAnalysis::new(started_at, rollout.within, rollout.phase, limit, rate);
        ActiveRollout {
            id: rollout.id,
            analysis,
            warm_since: None,
        }
    });
    known.warm_since = if new_version.as_ref().is_some_and(NewVersion::is_warm) {
        known.warm_since.or(Some(now))
    } else {
        None
    };
    known.analysis.set_phase(now, rollout.phase);
    let observation = Observation {
        now,
        pooled: &pooled,
        ready_endpoints: new_version.as_ref().map(|version| version.ready),
        warm_since: known.warm_since,
        drain: state.proxies.drain_progress(now, service, rollout.id),
        away_proxies: state
            .proxies
            .iter()
            .filter(|(_, proxy)| proxy.is_away(now))
            .count() as u32,
    };
    let decision = known.analysis.decide(observation);
    if let Decision::EnterStage(stage) = decision {
        state.stages.insert(service.to_owned(), (rollout.id, stage));
        state.broadcast(&ControllerMessage::Stage(service.into(), rollout.id, stage));
    }
    (decision, known.analysis.summary(&pooled))
}

fn exposure_limit(controller: &Controller) -> ExposureLimit {
    let settings = controller.settings.borrow();
    ExposureLimit {
        share: settings.guarantees.expose_share,
        slack: settings.guarantees.expose_slack,
    }
}

/// The listed endpoints of the version on trial.
struct NewVersion {
    ready: usize,
    warming_up: usize,
}

impl NewVersion {
    /// Counts them; none if the list is too old to tell.
    fn of(
        state: &ControllerState,
        service: &str,
        rollout: &Rollout,
        now: Micros,
    ) -> Option<NewVersion> {
        let mut counts = NewVersion {
            ready: 0,
            warming_up: 0,
        };
        for (endpoint, warm_at) in state.endpoints.recent(now, MAX_LIST_AGE)? {
            let is_of_version =
                &*endpoint.service == service && *endpoint.version == *rollout.target_version;
            if is_of_version && endpoint.state == EndpointState::Ready {
                counts.ready += 1;
                counts.warming_up += usize::from(warm_at > now);
            }
        }
        Some(counts)
    }

    /// Some may be cold again after a crash; most have to be warm.
    fn is_warm(&self) -> bool {
        self.ready > 0 && 3 * self.warming_up <= self.ready
    }
}
