//! The endpoints, as listed and as met, and the choice among them.
//!
//! An endpoint is chosen by the time that its answer is expected to take: the service's mean latency, by how much this
//! endpoint is faster or slower, and what waits there already. What other proxies have in flight there is known from what
//! the endpoint itself reported with its last answer; between answers it is taken to drift back to the mean of the service, in
//! proportion to the endpoint's size.
//!
//! All that is learnt from answers, and decides who is asked next, is forgotten while there are none: a service that seems full
//! for what others have there is refused requests for a second at a time, and an idle endpoint that was slow or failed, or seemed
//! dead, is tried again within half a minute.

use crate::assessment::{assess, Assessment, Conditions, MAX_JITTER};
use crate::endpoint::EndpointState;
use crate::fading_mean::{FadingMean, FadingMeanParameters};
use crate::Micros;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use slab::Slab;
use std::collections::HashMap;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

pub use crate::assessment::{Availability, NoEndpoint};
pub use crate::endpoint::{EndpointSignal, ListedEndpoint, ReportedLoad};

/// Until a service has answered, one request is taken to last this long.
const FIRST_LATENCY: f64 = 150_000.0;
/// The weight of the old mean latency of a service at each answer: a mean over about thirty answers.
const LATENCY_DECAY: f64 = 0.97;
/// The load of a service's endpoints, as requests of other proxies for each that an endpoint works on at a time: a mean over about
/// twenty reports.
const MEAN_LOAD: FadingMeanParameters = FadingMeanParameters {
    gain: 0.05,
    half_life: 1_000_000.0,
};
/// What is known of a service.
#[derive(Clone, Debug)]
struct Service {
    endpoints: Vec<usize>,
    /// Mean latency, in microseconds.
    mean_latency: f64,
    mean_load: FadingMean,
}

impl Default for Service {
    fn default() -> Service {
        Service {
            endpoints: Vec::new(),
            mean_latency: FIRST_LATENCY,
            mean_load: FadingMean::new(MEAN_LOAD),
        }
    }
}

/// What an endpoint is asked for.
#[derive(Clone, Copy)]
pub struct SelectionRequest<'a> {
    /// The service.
    pub service: &'a str,
    /// Whether a version may get the request.
    pub is_allowed_version: &'a dyn Fn(&str) -> bool,
    /// Endpoints that have had the request.
    pub exclude: &'a [usize],
    /// Whether it may run more than once: only such a request tries an endpoint that may be dead.
    pub is_idempotent: bool,
    /// Its rank; 0 is highest.
    pub precedence: u32,
    /// Only so many of the endpoints, the same ones at all proxies; 0: all of them.
    pub max_endpoints: u32,
}

/// An endpoint that was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Selection {
    /// The endpoint's handle.
    pub endpoint: usize,
    /// When its answer is expected, in microseconds from now.
    pub expected_latency: f64,
}

/// All endpoints of all services, by handles that are used again once their endpoint is gone.
pub struct LoadBalancer {
    zone: Arc<str>,
    seed: u64,
    endpoints: Slab<EndpointState>,
    by_id: HashMap<Arc<str>, usize>,
    services: HashMap<Arc<str>, Service>,
    last_attempt: u64,
    rng: ChaCha8Rng,
}

impl LoadBalancer {
    /// Creates one without endpoints. `zone` is the proxy's own; `seed` differs between proxies.
    pub fn new(zone: &str, seed: u64) -> LoadBalancer {
        LoadBalancer {
            zone: zone.into(),
            seed,
            endpoints: Slab::new(),
            by_id: HashMap::new(),
            services: HashMap::new(),
            last_attempt: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Inserts an endpoint, or replaces what is listed of it.
    pub fn upsert(&mut self, now: Micros, listed: ListedEndpoint) {
        if let Some(handle) = self.by_id.get(&listed.id) {
            self.endpoints[*handle].listed = listed;
            return;
        }
        let preference = f64::from(hash(self.seed, &listed.id)) / f64::from(u32::MAX);
        let (id, service) = (listed.id.clone(), listed.service.clone());
        let endpoint = EndpointState::new(now, listed, preference);
        let handle = self.endpoints.insert(endpoint);
        self.by_id.insert(id, handle);
        self.services
            .entry(service)
            .or_default()
            .endpoints
            .push(handle);
    }

    /// Removes an endpoint. Its handle is used again: nothing may come for it later.
    pub fn remove(&mut self, id: &str) -> Option<usize> {
        let handle = self.by_id.remove(id)?;
        let removed = self.endpoints.remove(handle);
        if let Some(service) = self.services.get_mut(&removed.listed.service) {
            service.endpoints.retain(|other| *other != handle);
        }
        Some(handle)
    }

    /// Returns what is listed of an endpoint.
    pub fn get(&self, endpoint: usize) -> Option<&ListedEndpoint> {
        self.endpoints.get(endpoint).map(|state| &state.listed)
    }

    /// Returns the handle of the endpoint with an id.
    pub fn find(&self, id: &str) -> Option<usize> {
        self.by_id.get(id).copied()
    }

    /// Returns the ids of all endpoints.
    pub fn ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.by_id.keys()
    }

    /// Returns how many endpoints get requests, and how many are draining.
    pub fn endpoint_counts(&self) -> (usize, usize) {
        let draining = self.endpoints.iter();
        let draining = draining
            .filter(|(_, endpoint)| endpoint.listed.is_draining)
            .count();
        (self.endpoints.len() - draining, draining)
    }

    fn endpoints_of(&self, service: &str) -> impl Iterator<Item = &EndpointState> {
        let handles = self.services.get(service).map_or(&[][..], |s| &s.endpoints);
        handles.iter().map(|handle| &self.endpoints[*handle])
    }

    /// Returns the versions of a service that are listed and not draining.
    pub fn versions(&self, service: &str) -> Vec<Arc<str>> {
        let mut versions: Vec<Arc<str>> = Vec::new();
        for endpoint in self.endpoints_of(service) {
            let listed = &endpoint.listed;
            if !listed.is_draining && !versions.contains(&listed.version) {
                versions.push(listed.version.clone());
            }
        }
        versions
    }

    /// Returns how many of this proxy's attempts are in flight to the versions that `is_counted` names.
    pub fn in_flight(&self, service: &str, is_counted: impl Fn(&str) -> bool) -> usize {
        let counted = self
            .endpoints_of(service)
            .filter(|endpoint| is_counted(&endpoint.listed.version));
        counted.map(EndpointState::in_flight).sum()
    }

    /// Returns the mean latency of a service, in microseconds.
    pub fn mean_latency(&self, service: &str) -> f64 {
        self.services
            .get(service)
            .map_or(FIRST_LATENCY, |s| s.mean_latency)
    }

    /// Returns the largest hash among the first `max_endpoints`; none where all may get the request. Hashes are of ids
    /// only, so proxies agree on them.
    fn max_hash(&self, service: &Service, request: &SelectionRequest) -> Option<u32> {
        if request.max_endpoints == 0 {
            return None;
        }
        let listed = service
            .endpoints
            .iter()
            .map(|handle| &self.endpoints[*handle].listed);
        let mut hashes: Vec<u32> = listed
            .filter(|listed| !listed.is_draining && (request.is_allowed_version)(&listed.version))
            .map(|listed| hash(0, &listed.id))
            .collect();
        hashes.sort_unstable();
        hashes.get(request.max_endpoints as usize - 1).copied()
    }

    /// Returns how many requests the endpoints of a service work on at a time, on average.
    fn mean_concurrency(&self, service: &Service) -> f64 {
        let handles = service.endpoints.iter();
        let sum: f64 = handles
            .map(|handle| self.endpoints[*handle].concurrency())
            .sum();
        sum / service.endpoints.len().max(1) as f64
    }

    /// Chooses an endpoint: the cheapest one that is not suspect, or else the quickest suspect one.
    ///
    /// # Errors
    ///
    /// If no endpoint is listed that may get the request, or all of them are full or ejected.
    pub fn select(
        &mut self,
        now: Micros,
        request: SelectionRequest,
    ) -> Result<Selection, NoEndpoint> {
        let Some(service) = self.services.get(request.service) else {
            return Err(NoEndpoint::NoneListed);
        };
        let jitter = self.rng.gen_range(0.0..MAX_JITTER);
        let conditions = Conditions {
            precedence: request.precedence,
            is_idempotent: request.is_idempotent,
            jitter,
            ..self.conditions(now, service)
        };
        let max_hash = self.max_hash(service, &request);
        let mut best: Option<(f64, Selection)> = None;
        let mut suspect: Option<Selection> = None;
        let mut reason = NoEndpoint::NoneListed;
        for handle in &service.endpoints {
            let endpoint = &self.endpoints[*handle];
            if request.exclude.contains(handle) || !is_eligible(endpoint, &request, max_hash) {
                continue;
            }
            let selection = |expected_latency| Selection {
                endpoint: *handle,
                expected_latency,
            };
            match assess(endpoint, &conditions) {
                Assessment::Unavailable(why) => reason = reason.max(why),
                Assessment::Suspect { expected_latency } => {
                    if suspect.is_none_or(|s| expected_latency < s.expected_latency) {
                        suspect = Some(selection(expected_latency));
                    }
                }
                Assessment::Available {
                    expected_latency,
                    cost,
                } => {
                    if best.is_none_or(|(lowest, _)| cost < lowest) {
                        best = Some((cost, selection(expected_latency)));
                    }
                }
            }
        }
        let selection = best.map(|(_, selection)| selection).or(suspect);
        selection.ok_or(reason)
    }

    /// Returns what holds for all endpoints of a service in one choice, for an idempotent request of the lowest rank.
    fn conditions(&self, now: Micros, service: &Service) -> Conditions<'_> {
        Conditions {
            now,
            zone: &self.zone,
            mean_latency: service.mean_latency,
            mean_load: service.mean_load.at(now),
            mean_concurrency: self.mean_concurrency(service),
            precedence: u32::MAX,
            is_idempotent: true,
            jitter: 0.0,
        }
    }

    /// Returns how many endpoints of a service would get an idempotent request of the lowest rank now, and why others would not.
    pub fn availability(&self, now: Micros, service: &str) -> Availability {
        let mut availability = Availability::default();
        let Some(service) = self.services.get(service) else {
            return availability;
        };
        let conditions = self.conditions(now, service);
        for handle in &service.endpoints {
            let endpoint = &self.endpoints[*handle];
            availability.add(endpoint.listed.is_draining, assess(endpoint, &conditions));
        }
        availability
    }

    /// Takes note of an attempt that is sent to an endpoint. Returns a number by which its end is told.
    pub fn on_sent(&mut self, now: Micros, endpoint: usize) -> u64 {
        self.last_attempt += 1;
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.on_sent(now, self.last_attempt);
        }
        self.last_attempt
    }

    /// Takes note of how an attempt ended, and of the load that the endpoint reported with its answer.
    pub fn on_end(
        &mut self,
        now: Micros,
        endpoint: usize,
        attempt: u64,
        signal: EndpointSignal,
        load: Option<ReportedLoad>,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(endpoint) else {
            return;
        };
        let Some(sent_at) = endpoint.take_in_flight(attempt) else {
            return;
        };
        let Some(service) = self.services.get_mut(&endpoint.listed.service) else {
            return;
        };
        if let Some(load) = load {
            let others = endpoint.on_report(now, load);
            service.mean_load.add(now, others / endpoint.concurrency());
        }
        let latency = now.saturating_sub(sent_at);
        // A cancelled attempt would have taken longer still.
        let is_slower = || latency as f64 > endpoint.latency(service.mean_latency, now);
        if signal == EndpointSignal::Served || (signal == EndpointSignal::Cancelled && is_slower())
        {
            if let Some(latency) = endpoint.on_latency(now, latency, service.mean_latency) {
                service.mean_latency =
                    LATENCY_DECAY * service.mean_latency + (1.0 - LATENCY_DECAY) * latency;
            }
        }
        endpoint.on_signal(now, sent_at, signal, service.mean_latency);
    }
}

/// Whether an endpoint may get the request at all.
fn is_eligible(
    endpoint: &EndpointState,
    request: &SelectionRequest,
    max_hash: Option<u32>,
) -> bool {
    let listed = &endpoint.listed;
    !listed.is_draining
        && (request.is_allowed_version)(&listed.version)
        && max_hash.is_none_or(|max| hash(0, &listed.id) <= max)
}

/// Returns a number that differs by seed and endpoint, the same at all proxies for one seed. Ids that differ in their last
/// character only have numbers as far apart as any others.
fn hash(seed: u64, id: &str) -> u32 {
    (xxh3_64_with_seed(id.as_bytes(), seed) >> 32) as u32
}
