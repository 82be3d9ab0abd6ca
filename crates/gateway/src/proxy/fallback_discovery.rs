//! Reads the platform's list of endpoints while no leader tells this proxy of changes.

use super::metrics::EndpointSource;
use super::Proxy;
use crate::clock::{self, now, Micros};
use crate::metrics::ReadResult;
use crate::platform_client::PlatformClient;
use magpieline_control_plane::messages::EndpointUpdate;
use rand::Rng;
use std::sync::Arc;

/// The list is read here when nothing was heard of endpoints for so long.
const MAX_AGE: Micros = 1_000_000;
/// Between two readings, at least.
const MIN_INTERVAL: Micros = 1_000_000;
/// Of the calls that the platform takes from all together so much may go to proxies that read the list themselves.
const SHARE_OF_CALLS: f64 = 0.5;

/// Reads the list whenever no leader is followed, for ever.
pub(super) async fn run(proxy: Arc<Proxy>) {
    let Some(mut platform) = PlatformClient::new(&proxy.settings) else {
        return;
    };
    loop {
        clock::sleep(interval(&proxy)).await;
        if proxy.is_shutting_down() || !is_uninformed(&proxy) {
            continue;
        }
        let started_at = now();
        let reads = &proxy.metrics.list_reads;
        match platform.list().await {
            Ok(endpoints) if !proxy.state().is_following => {
                let endpoints = endpoints.into_iter();
                let update = EndpointUpdate {
                    is_full: true,
                    endpoints: endpoints
                        .map(|(id, endpoint)| (id, Some(endpoint)))
                        .collect(),
                };
                proxy.apply_endpoints(EndpointSource::Platform, &update);
                reads.on_read(started_at, ReadResult::Applied);
            }
            Ok(_) => reads.on_read(started_at, ReadResult::Outdated),
            Err(error) => {
                reads.on_read(started_at, ReadResult::from(&error));
                tracing::warn!(target: "endpoints", "The list of endpoints could not be read: {error}.");
            }
        }
    }
}

/// Whether no leader is followed and what is known of endpoints has become old.
fn is_uninformed(proxy: &Proxy) -> bool {
    let state = proxy.state();
    let is_old = state
        .endpoints_updated_at
        .is_none_or(|at| now() > at + MAX_AGE);
    !state.is_following && is_old
}

/// Returns the time until the next reading, by chance: proxies that are cut off together must not read in step.
fn interval(proxy: &Proxy) -> Micros {
    let proxies = f64::from(proxy.state().proxies.max(1));
    let calls_per_second = proxy.settings.borrow().platform.calls_per_second.max(1.0);
    let fair = (2.0 * proxies / (SHARE_OF_CALLS * calls_per_second) * 1e6) as Micros;
    let mean = MIN_INTERVAL.max(fair);
    rand::thread_rng().gen_range(mean / 2..mean * 3 / 2)
}
