//! What a proxy counts, for operators.

use super::Proxy;
use crate::clock::{now, Micros};
use crate::memory_metrics::MemoryMetrics;
use crate::metrics::{seconds, seconds_histogram, EventCount, ListReadMetrics};
use magpieline_control_plane::endpoint_view::UpdateSource;
use magpieline_load_balancer::endpoint_selection::NoEndpoint;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

/// Where an update of the endpoints comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum Source {
    Leader,
    OwnReading,
}

impl From<UpdateSource> for Source {
    fn from(source: UpdateSource) -> Source {
        match source {
            UpdateSource::Leader => Source::Leader,
            UpdateSource::OwnReading { .. } => Source::OwnReading,
        }
    }
}

/// Why a request was not written to the endpoint that was chosen for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(super) enum WithheldReason {
    /// The endpoint is no longer listed, or draining.
    EndpointLeft,
    /// Its version gets no such requests any more.
    VersionLeft,
    /// The configuration in force sends the request elsewhere.
    RouteChanged,
    /// The request's deadline has passed.
    DeadlinePassed,
    /// The client has left.
    ClientLeft,
}

/// Why a request found no endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum UnavailableReason {
    NoneListed,
    Ejected,
    Full,
    EstimatedFull,
}

impl From<NoEndpoint> for UnavailableReason {
    fn from(reason: NoEndpoint) -> UnavailableReason {
        match reason {
            NoEndpoint::NoneListed => UnavailableReason::NoneListed,
            NoEndpoint::Ejected => UnavailableReason::Ejected,
            NoEndpoint::Full => UnavailableReason::Full,
            NoEndpoint::EstimatedFull => UnavailableReason::EstimatedFull,
        }
    }
}

/// Whether somebody waited for an attempt when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(super) enum Requester {
    /// Its request waited for it.
    Waiting,
    /// Its request had been answered by another attempt.
    Answered,
    /// The client had left.
    Gone,
}

/// What happened to a session with the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(super) enum SessionEvent {
    /// A connection to a controller came up.
    Connected,
    /// The leader was accepted.
    Following,
    /// The connection ended, or was closed.
    Ended,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SourceLabels {
    source: Source,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabels {
    reason: WithheldReason,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UnavailableLabels {
    reason: UnavailableReason,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequesterLabels {
    requester: Requester,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SessionLabels {
    event: SessionEvent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabels {
    status: u16,
}

/// Figures that are set when they are read.
struct ProxyGauges {
    config_version: Gauge,
    config_unreadable_version: Gauge,
    config_unknown_services: Gauge,
    is_following: Gauge,
    endpoint_list_age: Gauge<f64, AtomicU64>,
    endpoints_ready: Gauge,
    endpoints_draining: Gauge,
    requests_in_progress: Gauge,
    attempts_in_flight: Gauge,
}

/// What a proxy counts.
pub(super) struct ProxyMetrics {
    registry: Registry,
    pub(super) list_reads: ListReadMetrics,
    updates: Family<SourceLabels, EventCount>,
    reversals: Family<SourceLabels, EventCount>,
    withheld: Family<ReasonLabels, EventCount>,
    unavailable: Family<UnavailableLabels, EventCount>,
    sessions: Family<SessionLabels, EventCount>,
    responses: Family<StatusLabels, EventCount>,
    list_age_at_attempt: Histogram,
    attempts_ended: Family<RequesterLabels, EventCount>,
    work_after_client: Histogram,
    clients_left: EventCount,
    close_noticed: Histogram,
    pub(super) memory: MemoryMetrics,
    gauges: ProxyGauges,
}

impl ProxyMetrics {
    pub(super) fn new() -> ProxyMetrics {
        let mut registry = Registry::with_prefix("magpieline_proxy");
        let list_reads = ListReadMetrics::register(&mut registry);
        let metrics = ProxyMetrics {
            list_reads,
            updates: Family::default(),
            reversals: Family::default(),
            withheld: Family::default(),
            unavailable: Family::default(),
            sessions: Family::default(),
            responses: Family::default(),
            list_age_at_attempt: seconds_histogram(),
            attempts_ended: Family::default(),
            work_after_client: seconds_histogram(),
            clients_left: EventCount::default(),
            close_noticed: seconds_histogram(),
            memory: MemoryMetrics::register(&mut registry),
            gauges: ProxyGauges::register(&mut registry),
            registry: Registry::default(),
        };
        registry.register(
            "endpoint_updates",
            "Updates of the endpoints that were taken over",
            metrics.updates.clone(),
        );
        registry.register(
            "endpoint_reversals",
            "Endpoints that an update called ready although they were known to be draining",
            metrics.reversals.clone(),
        );
        registry.register(
            "attempts_withheld",
            "Attempts that were not written to the endpoint chosen for them",
            metrics.withheld.clone(),
        );
        registry.register(
            "endpoint_unavailable",
            "Requests that found no endpoint to be sent to",
            metrics.unavailable.clone(),
        );
        registry.register(
            "session_events",
            "What happened to sessions with controllers",
            metrics.sessions.clone(),
        );
        registry.register(
            "responses",
            "Responses to clients",
            metrics.responses.clone(),
        );
        registry.register(
            "endpoint_list_age_at_attempt_seconds",
            "Age of the endpoint list when an attempt was written",
            metrics.list_age_at_attempt.clone(),
        );
        registry.register(
            "attempts_ended",
            "Attempts that have ended, by whether somebody waited for them",
            metrics.attempts_ended.clone(),
        );
        registry.register(
            "attempt_after_client_left_seconds",
            "Time from a client's leaving to the end of an attempt for it",
            metrics.work_after_client.clone(),
        );
        registry.register(
            "clients_left",
            "Clients' connections that ended with requests in progress",
            metrics.clients_left.clone(),
        );
        registry.register(
            "client_close_noticed_seconds",
            "Time from reading the end of a client's connection to giving its requests up",
            metrics.close_noticed.clone(),
        );
        ProxyMetrics {
            registry,
            ..metrics
        }
    }

    pub(super) fn on_endpoint_update(&self, source: UpdateSource, reversals: u64) {
        let source = Source::from(source);
        let labels = SourceLabels { source };
        self.updates.get_or_create(&labels).inc();
        if reversals > 0 {
            self.reversals.get_or_create(&labels).inc_by(reversals);
        }
    }

    pub(super) fn on_withheld(&self, reason: WithheldReason) {
        self.withheld.get_or_create(&ReasonLabels { reason }).inc();
    }

    /// Counts a request that found no endpoint.
    pub(super) fn on_unavailable(&self, reason: NoEndpoint) {
        let reason = UnavailableReason::from(reason);
        let labels = UnavailableLabels { reason };
        self.unavailable.get_or_create(&labels).inc();
    }

    pub(super) fn on_session(&self, event: SessionEvent) {
        self.sessions.get_or_create(&SessionLabels { event }).inc();
    }

    pub(super) fn on_response(&self, status: u16) {
        self.responses.get_or_create(&StatusLabels { status }).inc();
    }

    /// Counts an attempt that has ended.
    pub(super) fn on_attempt_end(&self, requester: Requester) {
        let labels = RequesterLabels { requester };
        self.attempts_ended.get_or_create(&labels).inc();
    }

    /// Takes note of how long an attempt went on after its client had left.
    pub(super) fn on_work_after_client(&self, time: Micros) {
        self.work_after_client.observe(seconds(time));
    }

    /// Counts a client that left with requests in progress, given up so long after the end of its connection was read.
    pub(super) fn on_client_left(&self, noticed_after: Micros) {
        self.clients_left.inc();
        self.close_noticed.observe(seconds(noticed_after));
    }

    /// Takes note of how old the endpoint list is by which an attempt is written.
    pub(super) fn on_attempt(&self, list_age: Micros) {
        self.list_age_at_attempt.observe(seconds(list_age));
    }
}

impl ProxyGauges {
    fn register(registry: &mut Registry) -> ProxyGauges {
        let gauges = ProxyGauges {
            config_version: Gauge::default(),
            config_unreadable_version: Gauge::default(),
            config_unknown_services: Gauge::default(),
            is_following: Gauge::default(),
            endpoint_list_age: Gauge::default(),
            endpoints_ready: Gauge::default(),
            endpoints_draining: Gauge::default(),
            requests_in_progress: Gauge::default(),
            attempts_in_flight: Gauge::default(),
        };
        registry.register(
            "config_version",
            "Version of the configuration in force",
            gauges.config_version.clone(),
        );
        registry.register(
            "config_unreadable_version",
            "Version of a newer configuration that could not be parsed; 0 if there is none",
            gauges.config_unreadable_version.clone(),
        );
        registry.register(
            "config_unknown_services",
            "Names of services in routes that the configuration in force doesn't list",
            gauges.config_unknown_services.clone(),
        );
        registry.register(
            "following",
            "1 while a leader is followed",
            gauges.is_following.clone(),
        );
        registry.register(
            "endpoint_list_age_seconds",
            "Age of the endpoint list",
            gauges.endpoint_list_age.clone(),
        );
        registry.register(
            "endpoints_ready",
            "Endpoints that are listed and get requests",
            gauges.endpoints_ready.clone(),
        );
        registry.register(
            "endpoints_draining",
            "Endpoints that are listed and draining",
            gauges.endpoints_draining.clone(),
        );
        registry.register(
            "requests_in_progress",
            "Requests in progress",
            gauges.requests_in_progress.clone(),
        );
        registry.register(
            "attempts_in_flight",
            "Attempts in flight",
            gauges.attempts_in_flight.clone(),
        );
        gauges
    }

    /// Takes over the figures as they are now.
    fn refresh(&self, proxy: &Proxy) {
        let state = proxy.state();
        let age = |as_of| seconds(now().saturating_sub(as_of));
        let age = state.endpoint_view.as_of().map_or(f64::INFINITY, age);
        let (ready, draining) = state.load_balancer.endpoint_counts();
        self.config_version
            .set(state.config_version().unwrap_or(0) as i64);
        let unreadable = state.unreadable_version.unwrap_or(0);
        self.config_unreadable_version.set(unreadable as i64);
        let unknown_services = state
            .config
            .as_ref()
            .map_or(0, |config| config.unknown_services.len());
        self.config_unknown_services.set(unknown_services as i64);
        self.is_following.set(i64::from(state.is_following));
        self.endpoint_list_age.set(age);
        self.endpoints_ready.set(ready as i64);
        self.endpoints_draining.set(draining as i64);
        let in_progress = proxy.requests_in_progress();
        self.requests_in_progress.set(in_progress as i64);
        let in_flight = proxy.attempts_in_flight();
        self.attempts_in_flight.set(in_flight as i64);
    }
}

impl Proxy {
    /// Returns this proxy's figures, as of now.
    pub(super) fn metrics_registry(&self) -> &Registry {
        self.metrics.gauges.refresh(self);
        self.metrics.memory.refresh(&self.memory_use());
        &self.metrics.registry
    }
}
