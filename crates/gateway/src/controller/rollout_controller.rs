//! The leader moves rollouts on: it pools what the counters have seen, asks the jury, and carries out what that says.

use super::Sorting;
use crate::clock::{now, span, Micros};
use magpieline_control_plane::messages::{Down, State as ListState};
use magpieline_control_plane::state_machine::{Command, Phase, Rollout};
use magpieline_rollout::analysis::{Jury, Look, Step};
use std::collections::BTreeMap;
use std::sync::Arc;

/// How often the jury looks; counters report twice a second, and at once when something is new to them.
const EVERY: Micros = 150_000;
/// Under a new leader counters come within a second; nothing is decided before they have.
const SETTLE: Micros = 1_000_000;

/// A jury and what it needs to know from look to look.
struct Case {
    order: u64,
    jury: Jury,
    warm_since: Option<Micros>,
}

pub async fn run(sorting: Arc<Sorting>) {
    let mut cases: BTreeMap<String, Case> = BTreeMap::new();
    let mut led: Option<(u64, Micros)> = None;
    loop {
        tokio::time::sleep(span(EVERY)).await;
        let Some(term) = sorting.council.leads_in() else {
            continue;
        };
        if led.is_none_or(|(before, _)| before != term) {
            // Each leadership begins anew: what counters have seen is told again as a whole.
            (led, cases) = (Some((term, now())), BTreeMap::new());
        }
        if led.is_some_and(|(_, since)| now() < since + SETTLE) {
            continue;
        }
        let rolling: Vec<(String, Rollout)> = {
            let state = sorting.state();
            let rollouts = state
                .records
                .services
                .iter()
                .filter_map(|(s, at)| Some((s.clone(), at.rollout.clone()?)));
            rollouts
                .filter(|(_, r)| matches!(r.phase, Phase::Trial | Phase::Moving))
                .collect()
        };
        cases.retain(|service, case| {
            rolling
                .iter()
                .any(|(s, r)| s == service && r.order == case.order)
        });
        for (service, rollout) in rolling {
            // What was agreed on for the one before may have taken long.
            if sorting.council.leads_in() != Some(term) {
                break;
            }
            look(&sorting, &mut cases, &service, &rollout).await;
        }
    }
}

async fn look(
    sorting: &Sorting,
    cases: &mut BTreeMap<String, Case>,
    service: &str,
    rollout: &Rollout,
) {
    let at = now();
    let (step, against) = {
        let mut state = sorting.state();
        let pooled = state.roster.pooled(service, rollout.order);
        let (mut listed, mut cold) = (0, 0);
        if let Some(reading) = &state.list {
            let trial = reading
                .list
                .values()
                .filter(|e| &*e.service == service && *e.version == *rollout.to);
            for entry in trial.filter(|e| e.state == ListState::Ready) {
                listed += 1;
                cold += usize::from(reading.at + entry.cold > at);
            }
        }
        let case = cases.entry(service.to_owned()).or_insert_with(|| {
            // The order may be older than this leadership: counters tell for how long they have known of it.
            let began = at - pooled.age;
            let share = sorting.settings.borrow().terms.expose_share;
            let rate = pooled.taken as f64 / (pooled.age as f64 / 1e6).max(1.0);
            Case {
                order: rollout.order,
                jury: Jury::new(began, rollout.within, rollout.phase, share, rate),
                warm_since: None,
            }
        });
        // Some may be cold again after a crash; most have to be warm.
        let warm = listed > 0 && 3 * cold <= listed;
        case.warm_since = if warm {
            case.warm_since.or(Some(at))
        } else {
            None
        };
        case.jury.moved(at, rollout.phase);
        let leaving = state.roster.leaving(at, service, rollout.order);
        let away = state.roster.all().filter(|(_, c)| c.away(at)).count() as u32;
        let look = Look {
            now: at,
            pooled: &pooled,
            listed,
            warm_since: case.warm_since,
            leaving,
            away,
        };
        let step = case.jury.look(look);
        if let Step::Stage(stage) = step {
            state
                .stages
                .insert(service.to_owned(), (rollout.order, stage));
            state.tell_all(&Down::Stage(service.into(), rollout.order, stage));
        }
        (step, case.jury.account(&pooled))
    };
    match step {
        Step::None => tracing::debug!(target: "rollout", "{service} to {}: {against}.", rollout.to),
        Step::Stage(stage) => tracing::info!(
            target: "rollout",
            "{service} to {}: share {:.3}{}{}.",
            rollout.to,
            stage.share,
            if stage.guarded { ", guarded" } else { "" },
            if stage.focus > 0 { format!(", at {} appliances", stage.focus) } else { String::new() }
        ),
        Step::Advance(phase) => {
            tracing::info!(target: "rollout", "{service} to {}: {phase:?}, on {against}.", rollout.to);
            let command = Command::Advance {
                service: service.to_owned(),
                order: rollout.order,
                phase,
            };
            // Not agreed on: the next look asks again.
            let _ = sorting.council.propose(&command).await;
        }
    }
}
