//! Reads the platform's list of endpoints where what this proxy knows of them has become old: no leader is followed, or the leader
//! that is followed has no news of the list. When that is says
//! [`ReadingSchedule`](magpieline_control_plane::reading_schedule::ReadingSchedule).

use super::Proxy;
use crate::clock::{self, now, Micros};
use crate::metrics::ReadResult;
use crate::platform_client::{ListError, PlatformClient};
use magpieline_control_plane::endpoint_list::EndpointMap;
use magpieline_control_plane::endpoint_view::UpdateSource;
use magpieline_control_plane::messages::EndpointUpdate;
use magpieline_control_plane::reading_schedule::{ReadingConditions, ReadingSchedule};
use rand::Rng;
use std::sync::Arc;

/// A call that the platform turns away ends the reading: others need it more.
const NO_PATIENCE: Micros = 0;

/// Reads the list whenever the view has become old, until the proxy shuts down.
pub(super) async fn run(proxy: Arc<Proxy>) {
    let Some(mut platform) = PlatformClient::new(&proxy.settings) else {
        return;
    };
    let mut schedule = ReadingSchedule::new(draw());
    while !proxy.is_shutting_down() {
        let conditions = conditions(&proxy, &platform);
        let due = schedule.due(now(), &conditions);
        if now() < due {
            clock::sleep_until(due).await;
            continue;
        }
        schedule.on_reading(now(), &conditions, draw());
        read_once(&proxy, &mut platform).await;
    }
}

fn draw() -> f64 {
    rand::thread_rng().gen_range(0.0..1.0)
}

fn conditions(proxy: &Proxy, platform: &PlatformClient) -> ReadingConditions {
    let settings = proxy.settings.borrow();
    let state = proxy.state();
    let (ready, draining) = state.load_balancer.endpoint_counts();
    ReadingConditions {
        confirmed_at: state.confirmed_at,
        as_of: state.endpoint_view.as_of(),
        is_following: state.is_following,
        drain: settings.guarantees.drain,
        proxies: state.proxies,
        calls_per_reading: platform.calls_per_reading(ready + draining),
        calls_per_second: settings.platform.calls_per_second,
    }
}

/// Reads the list once, and takes it over.
async fn read_once(proxy: &Proxy, platform: &mut PlatformClient) {
    let started_at = now();
    let as_of = proxy.state().endpoint_view.as_of();
    let age_ms = as_of.map_or(0, |as_of| (started_at - as_of) / 1000);
    tracing::info!(target: "endpoints", "What is known of the endpoints is {age_ms} ms old; the list is read here.");
    let result = match platform.list(NO_PATIENCE).await {
        Ok(endpoints) => apply(proxy, started_at, endpoints),
        Err(error) => on_error(&error),
    };
    proxy.metrics.list_reads.on_read(started_at, result);
}

fn apply(proxy: &Proxy, started_at: Micros, endpoints: EndpointMap) -> ReadResult {
    let endpoints = endpoints.into_iter();
    let update = EndpointUpdate {
        is_full: true,
        endpoints: endpoints
            .map(|(id, endpoint)| (id, Some(endpoint)))
            .collect(),
    };
    match proxy.apply_endpoints(UpdateSource::OwnReading { started_at }, update) {
        true => ReadResult::Applied,
        false => ReadResult::Outdated,
    }
}

fn on_error(error: &ListError) -> ReadResult {
    tracing::warn!(target: "endpoints", "The list of endpoints could not be read: {error}.");
    ReadResult::from(error)
}
