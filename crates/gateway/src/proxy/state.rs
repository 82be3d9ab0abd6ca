//! What a proxy knows: the configuration and the services' states from the controllers, the endpoints, and what it has counted
//! itself.

use super::NotReady;
use crate::clock::Micros;
use crate::view;
use magpieline_config::gateway_config::GatewayConfig;
use magpieline_config::node_settings::NodeSettings;
use magpieline_control_plane::endpoint_view::{EndpointView, MergedUpdate, UpdateSource};
use magpieline_control_plane::messages::{
    Endpoint, EndpointState, EndpointUpdate, TrialEvidence, TrialSpeed, TrialStage,
};
use magpieline_control_plane::state_machine::{Phase, Rollout, ServiceState, StoredConfig};
use magpieline_load_balancer::endpoint_selection::{ListedEndpoint, LoadBalancer};
use magpieline_load_balancer::retry_budget::RetryBudget;
use magpieline_rollout::trial::Trial;
use rand::Rng;
use std::collections::{HashMap, HashSet};
use std::sync::Arc;

/// Seconds over which a request rate is averaged.
const RATE_WINDOW: f64 = 4.0;

/// A proxy's part in a rollout.
pub(super) struct RolloutPart {
    /// The trial as this proxy plays it.
    pub(super) trial: Trial,
    /// The version on trial.
    pub(super) target_version: String,
    /// When the rollout was first heard of.
    since: Micros,
}

impl RolloutPart {
    fn new(now: Micros, service: &str, rollout: &Rollout, rate: f64) -> RolloutPart {
        let first_tokens = rand::thread_rng().gen_range(0.0..1.0);
        RolloutPart {
            trial: Trial::new(service.into(), rollout.id, rate, first_tokens),
            target_version: rollout.target_version.clone(),
            since: now,
        }
    }
}

/// Requests a second, over the last few seconds.
#[derive(Clone, Copy, Default)]
pub(super) struct RequestRate {
    per_second: f64,
    at: Micros,
}

impl RequestRate {
    /// Counts a request.
    pub(super) fn count(&mut self, now: Micros) {
        self.per_second = self.at(now) + 1.0 / RATE_WINDOW;
        self.at = now;
    }

    fn at(&self, now: Micros) -> f64 {
        let age_s = now.saturating_sub(self.at) as f64 / 1e6;
        self.per_second * (-age_s / RATE_WINDOW).exp()
    }
}

/// What came of an update of the endpoints.
pub(super) struct AppliedEndpoints {
    /// The endpoints to which no idle connection is of use any more.
    pub(super) unusable: Vec<Arc<str>>,
    /// The endpoints that the update called ready although they are draining.
    pub(super) reversals: Vec<Arc<str>>,
    /// Something newer was known.
    pub(super) is_outdated: bool,
}

/// What a proxy knows.
pub(super) struct ProxyState {
    /// The configuration in force.
    pub(super) config: Option<Arc<GatewayConfig>>,
    /// The same as it was received.
    stored_config: Option<StoredConfig>,
    /// The version of a newer configuration that could not be parsed.
    pub(super) unreadable_version: Option<u64>,
    /// States of services, by name, as the leader has told them.
    pub(super) services: HashMap<String, ServiceState>,
    pub(super) load_balancer: LoadBalancer,
    pub(super) retry_budget: RetryBudget,
    /// Rollouts that this proxy has a part in, by service.
    pub(super) rollouts: HashMap<String, RolloutPart>,
    pub(super) request_rates: HashMap<Arc<str>, RequestRate>,
    /// What is known of the endpoints, beside what the load balancer holds of each.
    pub(super) endpoint_view: EndpointView,
    /// Whether any endpoints were heard of.
    has_endpoints: bool,
    /// When the leader confirmed for the first time since the start what is in force.
    pub(super) confirmed_at: Option<Micros>,
    /// Whether a leader is followed now.
    pub(super) is_following: bool,
    /// How many proxies there are, as last told; 0: not known.
    pub(super) proxies: u32,
}

impl ProxyState {
    pub(super) fn new(settings: &NodeSettings, incarnation: u64) -> ProxyState {
        let guarantees = &settings.guarantees;
        ProxyState {
            config: None,
            stored_config: None,
            unreadable_version: None,
            services: HashMap::new(),
            load_balancer: LoadBalancer::new(&settings.zone, incarnation),
            retry_budget: RetryBudget::new(guarantees.retry_ratio, guarantees.retry_slack),
            rollouts: HashMap::new(),
            request_rates: HashMap::new(),
            endpoint_view: EndpointView::default(),
            has_endpoints: false,
            confirmed_at: None,
            is_following: false,
            proxies: 0,
        }
    }

    /// Whether there is enough to serve by.
    pub(super) fn is_initialized(&self) -> bool {
        self.not_initialized().is_none()
    }

    /// Returns what is missing to serve by: a configuration and endpoints, and all that was in force when this proxy first asked.
    pub(super) fn not_initialized(&self) -> Option<NotReady> {
        match (&self.config, self.unreadable_version) {
            (None, Some(version)) => Some(NotReady::UnreadableConfig(version)),
            (None, None) => Some(NotReady::NoConfig),
            (Some(_), _) if !self.has_endpoints => Some(NotReady::NoEndpoints),
            (Some(_), _) if self.confirmed_at.is_none() => Some(NotReady::Unconfirmed),
            (Some(_), _) => None,
        }
    }

    pub(super) fn stored_config(&self) -> Option<&StoredConfig> {
        self.stored_config.as_ref()
    }

    pub(super) fn config_version(&self) -> Option<u64> {
        self.stored_config.as_ref().map(|stored| stored.version)
    }

    /// Puts a configuration in force unless a newer one is by now. Returns whether it was.
    pub(super) fn set_config(&mut self, stored: &StoredConfig, config: GatewayConfig) -> bool {
        if Some(stored.version) <= self.config_version() {
            return false;
        }
        self.config = Some(Arc::new(config));
        self.stored_config = Some(stored.clone());
        self.unreadable_version = self
            .unreadable_version
            .filter(|version| *version > stored.version);
        true
    }

    /// Takes over how the endpoints have changed.
    pub(super) fn apply_endpoints(
        &mut self,
        now: Micros,
        source: UpdateSource,
        update: EndpointUpdate,
    ) -> AppliedEndpoints {
        let MergedUpdate {
            update,
            reversals,
            is_outdated,
        } = {
            let load_balancer = &self.load_balancer;
            let is_known = |id: &str| load_balancer.find(id).is_some();
            self.endpoint_view.merge(now, source, update, is_known)
        };
        self.has_endpoints = true;
        let mut unusable = Vec::new();
        if update.is_full {
            unusable = self.remove_unlisted(&update);
        }
        for (id, endpoint) in &update.endpoints {
            let Some(endpoint) = endpoint else {
                self.load_balancer.remove(id);
                unusable.push(id.clone());
                continue;
            };
            let listed = listed_endpoint(now, id, endpoint);
            if listed.is_draining {
                unusable.push(id.clone());
            }
            self.load_balancer.upsert(now, listed);
        }
        AppliedEndpoints {
            unusable,
            reversals,
            is_outdated,
        }
    }

    /// Takes note that the leader has sent all that the list showed up to `as_of`. Returns the ids of the endpoints that are gone
    /// by that.
    pub(super) fn confirm_endpoints(&mut self, as_of: Micros) -> Vec<Arc<str>> {
        let gone = self.endpoint_view.on_confirmed(as_of);
        for id in &gone {
            self.load_balancer.remove(id);
        }
        gone
    }

    /// Removes the endpoints that a full update does not name. Returns their ids.
    fn remove_unlisted(&mut self, update: &EndpointUpdate) -> Vec<Arc<str>> {
        let listed: HashSet<&Arc<str>> = update.endpoints.iter().map(|(id, _)| id).collect();
        let ids = self.load_balancer.ids();
        let removed: Vec<Arc<str>> = ids.filter(|id| !listed.contains(id)).cloned().collect();
        for id in &removed {
            self.load_balancer.remove(id);
        }
        removed
    }

    /// Takes over states of services, and starts and ends this proxy's parts in rollouts by them.
    pub(super) fn apply_services(&mut self, now: Micros, services: Vec<(String, ServiceState)>) {
        for (service, state) in services {
            match state
                .rollout
                .as_ref()
                .filter(|rollout| rollout.phase.is_active())
            {
                Some(rollout) => self.join_rollout(now, &service, rollout),
                None => drop(self.rollouts.remove(&service)),
            }
            if self.services.get(&service) == Some(&state) {
                continue;
            }
            if let Some(rollout) = &state.rollout {
                let phase = view::phase_name(rollout.phase);
                tracing::info!(target: "rollout", "{service} to {}: {phase}.", rollout.target_version);
            }
            self.services.insert(service, state);
        }
    }

    /// Begins this proxy's part in a rollout, unless it has begun.
    fn join_rollout(&mut self, now: Micros, service: &str, rollout: &Rollout) {
        let has_joined = |part: &RolloutPart| part.trial.rollout_id() == rollout.id;
        if self.rollouts.get(service).is_some_and(has_joined) {
            return;
        }
        let rate = self
            .request_rates
            .get(service)
            .map_or(0.0, |rate| rate.at(now));
        let part = RolloutPart::new(now, service, rollout, rate);
        self.rollouts.insert(service.to_owned(), part);
    }

    /// Takes over how far a trial is open.
    pub(super) fn enter_stage(&mut self, service: &str, rollout_id: u64, stage: TrialStage) {
        if let Some(part) = self.rollouts.get_mut(service) {
            if part.trial.rollout_id() == rollout_id {
                part.trial.enter(stage);
            }
        }
    }

    /// Returns what this proxy has to report of rollouts.
    pub(super) fn evidence(&self, now: Micros) -> Vec<TrialEvidence> {
        let parts = self.rollouts.iter();
        parts
            .filter_map(|(service, part)| self.evidence_of(now, service, part))
            .collect()
    }

    /// Returns what this proxy has seen of the speed of versions on trial.
    pub(super) fn trial_speeds(&self, now: Micros) -> Vec<TrialSpeed> {
        let is_on_trial = |service: &str, part: &RolloutPart| {
            let state = self.services.get(service);
            let rollout = state.and_then(|state| state.rollout.as_ref());
            rollout.is_some_and(|rollout| {
                rollout.phase == Phase::Trial && rollout.id == part.trial.rollout_id()
            })
        };
        let parts = self.rollouts.iter();
        parts
            .filter(|(service, part)| is_on_trial(service, part))
            .map(|(_, part)| part.trial.speed(now))
            .collect()
    }

    fn evidence_of(&self, now: Micros, service: &str, part: &RolloutPart) -> Option<TrialEvidence> {
        let state = self.services.get(service)?;
        let rollout = state.rollout.as_ref()?;
        if rollout.id != part.trial.rollout_id() {
            return None;
        }
        let is_draining = |version: &str| !is_serving_version(Some(state), version);
        Some(TrialEvidence {
            phase: Some(rollout.phase),
            draining: self.load_balancer.in_flight(service, is_draining) as u32,
            age: now.saturating_sub(part.since),
            ..part.trial.evidence()
        })
    }

    /// Whether a service is being promoted to another version.
    pub(super) fn is_promoting(&self) -> bool {
        let is_promoting = |rollout: &Rollout| rollout.phase == Phase::Promoting;
        self.services
            .values()
            .any(|state| state.rollout.as_ref().is_some_and(is_promoting))
    }
}

fn listed_endpoint(now: Micros, id: &Arc<str>, endpoint: &Endpoint) -> ListedEndpoint {
    let is_warm = endpoint.warmup_left == 0;
    ListedEndpoint {
        id: id.clone(),
        service: endpoint.service.clone(),
        address: endpoint.address,
        zone: endpoint.zone.clone(),
        version: endpoint.version.clone(),
        concurrency: endpoint.concurrency,
        is_draining: endpoint.state == EndpointState::Draining,
        warm_at: if is_warm {
            0
        } else {
            now + endpoint.warmup_left
        },
    }
}

/// Whether a version of a service may get ordinary requests.
pub(super) fn is_serving_version(service: Option<&ServiceState>, version: &str) -> bool {
    let Some(service) = service else {
        return true;
    };
    let is_decided =
        |rollout: &&Rollout| matches!(rollout.phase, Phase::Promoting | Phase::Completed);
    if let Some(rollout) = service.rollout.as_ref().filter(is_decided) {
        return rollout.target_version == version;
    }
    if let Some(current) = &service.version {
        return current == version;
    }
    // Not known yet which one is current: all but those that are on trial or were rolled back.
    let is_on_trial = service
        .rollout
        .as_ref()
        .is_some_and(|r| r.target_version == version);
    !is_on_trial
        && !service
            .rejected_versions
            .iter()
            .any(|rejected| rejected == version)
}
