//! The leader reads the platform's list of endpoints, and tells the proxies what has changed.

use super::Controller;
use crate::clock::{now, sleep, Micros};
use crate::metrics::ReadResult;
use crate::platform_client::{EndpointMap, EndpointSnapshot, ListError, PlatformClient};
use magpieline_control_plane::messages::{ControllerMessage, Endpoint, EndpointUpdate};
use magpieline_control_plane::state_machine::Command;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Between two reads: an endpoint that is about to end must be known everywhere well within the time that it still serves, and
/// each call has a price.
const READ_INTERVAL: Micros = 900_000;
/// After a read that failed.
const RETRY_INTERVAL: Micros = 250_000;
/// A controller that does not lead checks this often whether it does.
const CHECK_INTERVAL: Micros = 50_000;
/// A list whose read began so long ago is not sent any more: pages take a few milliseconds each.
const MAX_READ_TIME: Micros = 2_000_000;
/// Too many requests.
const TOO_MANY_REQUESTS: u16 = 429;

/// Reads the list while this controller leads, until the task is aborted.
pub(super) async fn run(controller: Arc<Controller>) {
    let Some(mut platform) = PlatformClient::new(&controller.settings) else {
        return;
    };
    let mut last_term = None;
    loop {
        let Some(term) = controller.raft.lease_term() else {
            controller.raft.leader_changed(now() + CHECK_INTERVAL).await;
            continue;
        };
        if last_term != Some(term) {
            // What another leader has sent since is not known here: everything is sent again.
            last_term = Some(term);
            controller.state().endpoints = None;
        }
        let pause = read_once(&controller, &mut platform, term).await;
        sleep(pause).await;
    }
}

/// Reads the list once, and sends what has changed. Returns the pause before the next read.
async fn read_once(controller: &Controller, platform: &mut PlatformClient, term: u64) -> Micros {
    let started_at = now();
    let reads = &controller.metrics.list_reads;
    match platform.list().await {
        Ok(endpoints) => {
            // While the list was read this process may have been suspended, and another controller may lead.
            let is_recent = now() < started_at + MAX_READ_TIME;
            if is_recent && controller.raft.lease_term() == Some(term) {
                set_versions(controller, &endpoints).await;
                send_changes(controller, term, endpoints);
                reads.on_read(started_at, ReadResult::Applied);
            } else {
                reads.on_read(started_at, ReadResult::Outdated);
            }
            READ_INTERVAL
        }
        Err(error) => {
            reads.on_read(started_at, ReadResult::from(&error));
            tracing::warn!(target: "endpoints", "The list of endpoints could not be read: {error}.");
            match error {
                ListError::Status(TOO_MANY_REQUESTS) => READ_INTERVAL,
                _ => RETRY_INTERVAL,
            }
        }
    }
}

/// Sends all proxies what has changed since the last read, if this controller still leads in the term of this read.
fn send_changes(controller: &Controller, term: u64, endpoints: EndpointMap) {
    if controller.raft.lease_term() != Some(term) {
        return;
    }
    let mut state = controller.state();
    let known = state.endpoints.take();
    let is_full = known.is_none();
    let changes = match &known {
        None => endpoints
            .iter()
            .map(|(id, endpoint)| (id.clone(), Some(endpoint.clone())))
            .collect(),
        Some(known) => changes_between(&known.endpoints, &endpoints),
    };
    state.endpoints = Some(EndpointSnapshot::new(endpoints));
    if is_full || !changes.is_empty() {
        state.broadcast(&ControllerMessage::Endpoints(EndpointUpdate {
            is_full,
            endpoints: changes,
        }));
    }
}

/// Returns the endpoints that are new or have changed, then those that are gone.
fn changes_between(old: &EndpointMap, new: &EndpointMap) -> Vec<(Arc<str>, Option<Endpoint>)> {
    let is_known = |id: &Arc<str>, endpoint| old.get(id).is_some_and(|old| is_same(old, endpoint));
    let changed = new.iter().filter(|(id, endpoint)| !is_known(id, endpoint));
    let changed = changed.map(|(id, endpoint)| (id.clone(), Some(endpoint.clone())));
    let gone = old
        .keys()
        .filter(|id| !new.contains_key(*id))
        .map(|id| (id.clone(), None));
    changed.chain(gone).collect()
}

/// Whether two entries say the same; the time that is left to warm up passes by itself.
fn is_same(old: &Endpoint, new: &Endpoint) -> bool {
    *old == Endpoint {
        warmup_left: old.warmup_left,
        ..new.clone()
    }
}

/// Sets the version of each service that is seen for the first time with one version alone.
async fn set_versions(controller: &Controller, endpoints: &EndpointMap) {
    let mut versions: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for endpoint in endpoints.values() {
        let seen = versions.entry(&endpoint.service).or_default();
        if !seen.contains(&&*endpoint.version) {
            seen.push(&endpoint.version);
        }
    }
    for (service, seen) in versions {
        let is_known = has_version(controller, service);
        if let ([version], false) = (&seen[..], is_known) {
            let (service, version) = (service.to_owned(), (*version).to_owned());
            let _ = controller
                .propose(&Command::SetVersion { service, version })
                .await;
        }
    }
}

/// Whether the version that a service runs is known.
fn has_version(controller: &Controller, service: &str) -> bool {
    let state = controller.state();
    state
        .control
        .services
        .get(service)
        .is_some_and(|service| service.version.is_some())
}
