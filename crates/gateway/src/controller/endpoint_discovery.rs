//! The leader reads the platform's list of endpoints, and tells the proxies what has changed.
//!
//! Nothing slow stands between a reading and its spreading: what follows from the list and needs consensus (the first version of a
//! service) is proposed by a task of its own, and the next reading does not wait for it.

use super::Controller;
use crate::clock::{now, sleep, Micros};
use crate::metrics::ReadResult;
use crate::platform_client::PlatformClient;
use magpieline_control_plane::endpoint_list::{EndpointMap, FirstVersion};
use magpieline_control_plane::messages::ControllerMessage;
use magpieline_control_plane::state_machine::Command;
use std::sync::Arc;
use tokio::task::JoinHandle;

/// Between two reads: an endpoint that is about to end must be known everywhere well within the time that it still serves, and
/// each call has a price.
const READ_INTERVAL: Micros = 900_000;
/// After a read that failed.
const RETRY_INTERVAL: Micros = 250_000;
/// A controller that does not lead checks this often whether it does.
const CHECK_INTERVAL: Micros = 50_000;
/// A list whose read began so long ago is not sent any more: pages take a few milliseconds each.
const MAX_READ_TIME: Micros = 2_000_000;
/// For so long calls that the platform turns away are made again: all proxies depend on this reading, and the others that read the
/// list give way (`fallback_discovery`).
const THROTTLE_PATIENCE: Micros = 1_500_000;

/// Reads the list while this controller leads, until the task is aborted.
pub(super) async fn run(controller: Arc<Controller>) {
    let Some(mut platform) = PlatformClient::new(&controller.settings) else {
        return;
    };
    let mut last_term = None;
    let mut proposing: Option<JoinHandle<()>> = None;
    loop {
        let Some(term) = controller.raft.lease_term() else {
            controller.raft.leader_changed(now() + CHECK_INTERVAL).await;
            continue;
        };
        if last_term != Some(term) {
            // What another leader has sent since is not known here: everything is sent again.
            last_term = Some(term);
            controller.state().endpoints.clear();
        }
        let pause = read_once(&controller, &mut platform, term).await;
        if proposing.as_ref().is_none_or(JoinHandle::is_finished) {
            proposing = propose_first_versions(&controller);
        }
        sleep(pause).await;
    }
}

/// Reads the list once, and sends what has changed. Returns the pause before the next read.
async fn read_once(controller: &Controller, platform: &mut PlatformClient, term: u64) -> Micros {
    let started_at = now();
    // What a proxy has reported by now was sent before the reading began.
    let reported: Vec<(u64, Micros)> = controller.state().proxies.report_times().collect();
    let reads = &controller.metrics.list_reads;
    match platform.list(THROTTLE_PATIENCE).await {
        Ok(endpoints) => {
            // While the list was read this process may have been suspended, and another controller may lead.
            let is_recent = now() < started_at + MAX_READ_TIME;
            if is_recent && publish(controller, term, endpoints, &reported) {
                reads.on_read(started_at, ReadResult::Applied);
            } else {
                reads.on_read(started_at, ReadResult::Outdated);
            }
            READ_INTERVAL
        }
        Err(error) => {
            reads.on_read(started_at, ReadResult::from(&error));
            tracing::warn!(target: "endpoints", "The list of endpoints could not be read: {error}.");
            RETRY_INTERVAL
        }
    }
}

/// Sends all proxies what has changed since the last read, and as of when their view is complete by that. Returns false, and
/// sends nothing, if this controller no longer leads in the term of this read.
fn publish(
    controller: &Controller,
    term: u64,
    endpoints: EndpointMap,
    reported: &[(u64, Micros)],
) -> bool {
    if controller.raft.lease_term() != Some(term) {
        return false;
    }
    let mut state = controller.state();
    if let Some(update) = state.endpoints.replace(now(), endpoints) {
        state.broadcast(&ControllerMessage::Endpoints(update));
    }
    for (session, as_of) in reported {
        state.send(
            *session,
            &ControllerMessage::EndpointsConfirmed { as_of: *as_of },
        );
    }
    true
}

/// Proposes the version of each service that is seen for the first time with one version alone; none if there is none.
fn propose_first_versions(controller: &Arc<Controller>) -> Option<JoinHandle<()>> {
    let first_versions = {
        let state = controller.state();
        let services = &state.control.services;
        let is_known = |service: &str| {
            let service = services.get(service);
            service.is_some_and(|service| service.version.is_some())
        };
        state.endpoints.first_versions(is_known)
    };
    if first_versions.is_empty() {
        return None;
    }
    let controller = controller.clone();
    Some(tokio::spawn(async move {
        for FirstVersion { service, version } in first_versions {
            let _ = controller
                .propose(Command::SetVersion { service, version })
                .await;
        }
    }))
}
