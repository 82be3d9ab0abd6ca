//! Reads the platform's list of endpoints where what this proxy knows of them has become old: no leader is followed, or the leader
//! that is followed has no news of the list.
//!
//! How old the view is, is known: [`EndpointView`](magpieline_control_plane::endpoint_view::EndpointView) has the moment as of which
//! it is complete. Proxies that are cut off together spread their readings by chance, and all together use a part of the calls that
//! the platform takes: the leader's reading serves them all and must not be turned away for theirs. A proxy that was told of nothing
//! yet does not read the list: it could not serve by it, and does not know with how many others it shares the calls.

use super::Proxy;
use crate::clock::{self, now, Micros};
use crate::metrics::ReadResult;
use crate::platform_client::{ListError, PlatformClient};
use magpieline_control_plane::endpoint_list::EndpointMap;
use magpieline_control_plane::endpoint_view::UpdateSource;
use magpieline_control_plane::messages::EndpointUpdate;
use rand::Rng;
use std::sync::Arc;

/// Without a leader the list is read once the view is this old.
const MAX_AGE_WITHOUT_LEADER: Micros = 1_000_000;
/// With a leader, once it is as old as this part of the time for which draining endpoints may still be sent to. A leader's
/// confirmation is 1.5 s old at most where nothing is wrong: a report each 0.5 s, a reading each 0.9 s, and the way.
const MAX_AGE_WITH_LEADER: f64 = 0.7;
/// A call that the platform turns away ends the reading: others need it more.
const NO_PATIENCE: Micros = 0;
/// Between two readings, at least.
const MIN_INTERVAL: Micros = 500_000;
/// Of the calls that the platform takes from all together so much may go to proxies that read the list themselves.
const SHARE_OF_CALLS: f64 = 0.5;
/// A proxy that was told of nothing yet looks this often whether it was.
const CHECK_INTERVAL: Micros = 500_000;

/// Reads the list whenever the view has become old, until the proxy shuts down.
pub(super) async fn run(proxy: Arc<Proxy>) {
    let Some(mut platform) = PlatformClient::new(&proxy.settings) else {
        return;
    };
    let mut not_before = now();
    // Where in the interval this proxy reads: those that are cut off together must not read in step.
    let mut place = draw_place();
    while !proxy.is_shutting_down() {
        let interval = interval(&proxy, &platform);
        let spread = (place * interval as f64) as Micros;
        let due = match stale_at(&proxy) {
            Some(stale_at) => (stale_at + spread).max(not_before),
            None => now() + CHECK_INTERVAL,
        };
        if now() < due {
            clock::sleep_until(due).await;
            continue;
        }
        not_before = now() + interval;
        read_once(&proxy, &mut platform).await;
        place = draw_place();
    }
}

fn draw_place() -> f64 {
    rand::thread_rng().gen_range(0.0..1.0)
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

/// Returns when the view becomes too old, unless it is confirmed anew before; none while this proxy was told of nothing.
fn stale_at(proxy: &Proxy) -> Option<Micros> {
    let drain = proxy.settings.borrow().guarantees.drain;
    let state = proxy.state();
    let max_age = match state.is_following {
        true => (MAX_AGE_WITH_LEADER * drain as f64) as Micros,
        false => MAX_AGE_WITHOUT_LEADER,
    };
    let as_of = state.endpoint_view.as_of();
    let confirmed_at = state.confirmed_at?;
    Some(as_of.unwrap_or(confirmed_at) + max_age)
}

/// Returns the time between two readings of one proxy at which all proxies together stay within their share of calls.
fn interval(proxy: &Proxy, platform: &PlatformClient) -> Micros {
    let (proxies, endpoints) = {
        let state = proxy.state();
        let (ready, draining) = state.load_balancer.endpoint_counts();
        (f64::from(state.proxies.max(1)), ready + draining)
    };
    let calls = f64::from(platform.calls_per_reading(endpoints));
    let calls_per_second = proxy.settings.borrow().platform.calls_per_second.max(1.0);
    let fair = (proxies * calls / (SHARE_OF_CALLS * calls_per_second) * 1e6) as Micros;
    MIN_INTERVAL.max(fair)
}
