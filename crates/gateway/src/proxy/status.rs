//! A proxy's view of things, for operators.

use super::Proxy;
use crate::clock::{self, now, Micros};
use crate::net::{self, FrameReader};
use crate::view;
use jzon::JsonValue as Json;
use magpieline_control_plane::messages::ConnectionPurpose;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};

/// An operator's connection says within this time what it is for.
const PURPOSE_TIMEOUT: Micros = 1_000_000;
/// Between two tries to accept where the system has no descriptor left.
const ACCEPT_BACKOFF: Micros = 1_000_000;

/// Answers operators, for ever.
pub(super) async fn run(proxy: Arc<Proxy>, listener: TcpListener) {
    loop {
        let stream = net::accept(&listener, ACCEPT_BACKOFF).await;
        tokio::spawn(answer(proxy.clone(), stream));
    }
}

async fn answer(proxy: Arc<Proxy>, stream: TcpStream) {
    let (read, mut write) = stream.into_split();
    let mut reader = FrameReader::new(read);
    let purpose = reader.next::<ConnectionPurpose>();
    let purpose = tokio::time::timeout(clock::duration(PURPOSE_TIMEOUT), purpose).await;
    if let Ok(Ok(Some(ConnectionPurpose::View))) = purpose {
        view::send(&mut write, &view(&proxy)).await;
    }
}

/// Returns the view. Its names stay: operators script against them.
fn view(proxy: &Proxy) -> Json {
    let state = proxy.state();
    let mut services = Json::new_object();
    for service in state
        .config
        .iter()
        .flat_map(|config| config.services.keys())
    {
        let _ = services.insert(service, view_of_service(&state, service));
    }
    let age_ms = |at| now().saturating_sub(at) / 1000;
    jzon::object! {
        node: proxy.settings_at_start.node.as_str(),
        edition: state.stored_config().map(|stored| stored.version),
        confirmed: state.confirmed_at.is_some(),
        leader_held: state.is_following,
        counters: state.proxies,
        list_ms_ago: state.endpoint_view.as_of().map(age_ms),
        in_hand: proxy.requests_in_progress(),
        leaving: proxy.is_shutting_down(),
        services: services
    }
}

fn view_of_service(state: &super::ProxyState, service: &str) -> Json {
    let versions = state.load_balancer.versions(service);
    let versions: Vec<String> = versions.iter().map(|version| version.to_string()).collect();
    let known = state.services.get(service);
    let rollout = known.and_then(|known| known.rollout.as_ref());
    let rollout = rollout.map_or(Json::Null, |rollout| {
        jzon::object! {
            to: rollout.target_version.as_str(),
            phase: view::phase_name(rollout.phase),
            order: rollout.id
        }
    });
    let endpoints = state.load_balancer.availability(now(), service);
    let endpoints = jzon::object! {
        available: endpoints.available,
        suspect: endpoints.suspect,
        ejected: endpoints.ejected,
        full: endpoints.full,
        estimated_full: endpoints.estimated_full,
        draining: endpoints.draining
    };
    jzon::object! {
        listed: versions,
        endpoints: endpoints,
        stands: known.and_then(|known| known.version.as_deref()),
        rollout: rollout,
        usual_ms: state.load_balancer.mean_latency(service) / 1e3,
        further_forwards_saved: state.retry_budget.balance(service)
    }
}
