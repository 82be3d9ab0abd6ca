//! What surrounds the proxy: configurations, endpoints and versions that change, and connections to endpoints.

use crate::endpoint;
use crate::memory_stream::{pair, MemoryStream};
use crate::recorder::{ActiveConfig, ConnectionTap, CurrentVersion, ListedEndpoint, Recorder};
use crate::scenario::{draw, Scenario, MILLI};
use crate::{rng, SeededRng};
use magpieline_control_plane::endpoint_view::UpdateSource;
use magpieline_control_plane::messages::{Endpoint, EndpointState, EndpointUpdate};
use magpieline_control_plane::state_machine::{ServiceState, StoredConfig};
use magpieline_gateway::proxy::connector::{Connector, Stream};
use magpieline_gateway::proxy::Proxy;
use rand::Rng;
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::sleep;

/// A configuration is known to clients so many milliseconds before the proxy, at most: the guarantee, less some room.
const MAX_CONFIG_DELAY_MS: u64 = 950;

/// Returns the text of a configuration: the services of idempotent requests and of the others, and times in milliseconds.
fn config_text(version: u64, safe: &str, once: &str, timeout_ms: u64, idle_ms: u64) -> String {
    format!(
        r#"{{"edition":{version},"allowances":{{"header_bytes":2000,"body_bytes":5000,"idle":"{idle_ms}ms"}},
"fleets":[{{"name":"s"}},{{"name":"t"}}],"wickets":[{{"depot":"h","regulations":[
{{"name":"r","sort":"safe","target":"1s","sorting":{{"lane_prefix":"/safe/"}},"dispatch":{{"service":"{safe}","give_up":"{timeout_ms}ms","tries":3}}}},
{{"name":"u","sort":"unsafe","target":"1s","sorting":{{"lane_prefix":"/once/"}},"dispatch":{{"service":"{once}","give_up":"{timeout_ms}ms","tries":3}}}}]}}]}}"#
    )
}

/// Puts a configuration in force, with services at random. Clients know it some time before the proxy, but for the first.
pub(crate) async fn change_config(
    proxy: &Proxy,
    recorder: &Recorder,
    version: u64,
    timeout_ms: u64,
    rng: &mut SeededRng,
) {
    let service = |rng: &mut SeededRng| if rng.gen() { "s" } else { "t" };
    let safe = service(rng);
    let once = service(rng);
    let idle_ms = [4_000, 9_000, 15_000][rng.gen_range(0..3)];
    recorder.lock().idle_timeout = idle_ms * MILLI;
    if version > 1 {
        sleep(Duration::from_millis(rng.gen_range(0..MAX_CONFIG_DELAY_MS))).await;
    }
    proxy.apply_config(&StoredConfig {
        version,
        text: config_text(version, safe, once, timeout_ms, idle_ms).into(),
    });
    let services = [("/safe/", safe), ("/once/", once)];
    let services = services.map(|(prefix, service)| (prefix.to_owned(), service.to_owned()));
    let since = recorder.now();
    recorder.lock().configs.push(ActiveConfig {
        since,
        services: services.into(),
    });
}

/// Replaces the configuration again and again.
pub(crate) async fn change_configs(
    proxy: Arc<Proxy>,
    recorder: Recorder,
    timeout_ms: u64,
    mut rng: SeededRng,
) {
    for number in 2.. {
        sleep(Duration::from_millis(rng.gen_range(1..1_500))).await;
        change_config(&proxy, &recorder, number * 3, timeout_ms, &mut rng).await;
        recorder.count("edition changed");
    }
}

/// An endpoint's place: the last number of its address.
type Place = u8;

fn address(place: Place) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, place].into(), 80)
}

/// Returns the version of the endpoint in a place.
fn version(place: Place) -> &'static str {
    ["v2", "v1"][place as usize % 2]
}

/// An endpoint as the simulation knows it.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedEndpoint {
    pub(crate) id: String,
    pub(crate) service: &'static str,
    pub(crate) place: Place,
}

impl SimulatedEndpoint {
    /// Tells the proxy of its state; none: it is gone.
    pub(crate) fn announce(
        &self,
        proxy: &Proxy,
        recorder: &Recorder,
        state: Option<EndpointState>,
    ) {
        self.record(recorder, state == Some(EndpointState::Ready));
        let endpoint = state.map(|state| Endpoint {
            service: self.service.into(),
            address: address(self.place),
            zone: "a".into(),
            version: version(self.place).into(),
            concurrency: 30,
            state,
            warmup_left: 0,
        });
        proxy.apply_endpoints(
            UpdateSource::Leader,
            EndpointUpdate {
                is_full: false,
                endpoints: vec![(self.id.as_str().into(), endpoint)],
            },
        );
    }

    fn record(&self, recorder: &Recorder, is_ready: bool) {
        let mut recording = recorder.lock();
        if is_ready {
            recording
                .present
                .insert(address(self.place), self.id.clone());
        }
        let listed = ListedEndpoint {
            id: self.id.clone(),
            service: self.service.into(),
            version: version(self.place).into(),
            is_ready,
        };
        match recording.listed.get_mut(&address(self.place)) {
            Some(old) if old.id == self.id => *old = listed,
            Some(_) if !is_ready => {}
            _ => drop(recording.listed.insert(address(self.place), listed)),
        }
    }
}

/// Returns the endpoints of the beginning: two of each service.
pub(crate) fn first_endpoints() -> [SimulatedEndpoint; 4] {
    [(1, "s"), (2, "s"), (3, "t"), (4, "t")].map(|(place, service)| SimulatedEndpoint {
        id: format!("i-{place}"),
        service,
        place,
    })
}

/// Replaces endpoints again and again: they drain, are gone, and others take their places, at new addresses or theirs. Those
/// in the places 1 and 3 stay.
pub(crate) async fn replace_endpoints(proxy: Arc<Proxy>, recorder: Recorder, mut rng: SeededRng) {
    let [_, second, _, fourth] = first_endpoints();
    let mut endpoints = [second, fourth];
    let mut last_number = 10;
    loop {
        sleep(Duration::from_millis(rng.gen_range(1..400))).await;
        let position = rng.gen_range(0..endpoints.len());
        let old = endpoints[position].clone();
        if rng.gen() {
            old.announce(&proxy, &recorder, Some(EndpointState::Draining));
            sleep(Duration::from_millis(rng.gen_range(0..200))).await;
        }
        last_number += 1;
        let id = format!("i-{last_number}");
        if rng.gen_ratio(1, 4) {
            // Another one is at its address before that is told.
            recorder
                .lock()
                .present
                .insert(address(old.place), id.clone());
            sleep(Duration::from_millis(rng.gen_range(0..200))).await;
        }
        old.announce(&proxy, &recorder, None);
        let new = SimulatedEndpoint {
            id,
            service: if old.service == "s" { "t" } else { "s" },
            place: if rng.gen() { old.place } else { last_number },
        };
        new.announce(&proxy, &recorder, Some(EndpointState::Ready));
        recorder.count("appliance replaced");
        endpoints[position] = new;
    }
}

/// Moves services from one version to another and back, again and again.
pub(crate) async fn change_versions(proxy: Arc<Proxy>, recorder: Recorder, mut rng: SeededRng) {
    loop {
        sleep(Duration::from_millis(rng.gen_range(1..300))).await;
        let service = if rng.gen() { "s" } else { "t" };
        let version = if rng.gen() { "v1" } else { "v2" };
        let current = CurrentVersion {
            version: version.into(),
            since: recorder.now(),
        };
        recorder
            .lock()
            .current_versions
            .insert(service.into(), current);
        let state = ServiceState {
            version: Some(version.into()),
            ..ServiceState::default()
        };
        proxy.apply_services(vec![(service.into(), state)]);
        recorder.count("version changed");
    }
}

/// Returns the connector that the proxy reaches endpoints by.
pub(crate) fn connector(recorder: Recorder, scenario: Scenario, seed: u64) -> Connector {
    let seeds = Arc::new(Mutex::new(rng(seed)));
    Arc::new(move |address, timeout| {
        let seed = seeds.lock().unwrap_or_else(PoisonError::into_inner).gen();
        let connection = connect(recorder.clone(), scenario, address, timeout, rng(seed));
        Box::pin(async move { Ok(Box::new(connection.await?) as Box<dyn Stream>) })
    })
}

/// Connects to the endpoint that is listed at an address when it begins.
async fn connect(
    recorder: Recorder,
    scenario: Scenario,
    address: SocketAddrV4,
    timeout: u64,
    mut rng: SeededRng,
) -> std::io::Result<MemoryStream> {
    let listed = recorder.lock().listed.get(&address).cloned();
    let fails = draw(&mut rng, scenario.no_connection_rate);
    if fails && rng.gen() {
        recorder.count("no connection");
        return Err(ErrorKind::ConnectionRefused.into());
    }
    let delay = match scenario.is_calm && scenario.changes_config {
        true => rng.gen_range(0..200) * MILLI,
        false if fails => rng.gen_range(0..600) * MILLI,
        false => 0,
    };
    if delay > timeout {
        recorder.count("no connection");
        sleep(Duration::from_micros(timeout)).await;
        return Err(ErrorKind::TimedOut.into());
    }
    sleep(Duration::from_micros(delay)).await;
    let Some(endpoint) = listed else {
        return Err(ErrorKind::ConnectionRefused.into());
    };
    let (connection, present) = {
        let mut recording = recorder.lock();
        recording.connections += 1;
        (
            recording.connections,
            recording.present.get(&address).cloned(),
        )
    };
    let own_id = present.unwrap_or_else(|| endpoint.id.clone());
    let tap = ConnectionTap {
        recorder: recorder.clone(),
        connection,
        address,
        endpoint,
        bytes_left: 0,
    };
    let (near, far) = pair(&mut rng, scenario.delay_rate, Some(Box::new(tap)));
    if draw(&mut rng, scenario.reset_rate) {
        recorder.count("reset in the middle of a request");
        far.reset_after(rng.gen_range(1..2_000));
    }
    let server = endpoint::Server::new(own_id, connection, scenario.endpoints, recorder, rng);
    tokio::spawn(server.serve(far));
    Ok(near)
}
