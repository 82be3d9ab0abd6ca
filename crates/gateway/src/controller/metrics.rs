//! What a controller counts, for operators.

use super::raft_driver::RequestError;
use super::Controller;
use crate::clock::{now, Micros};
use crate::memory_metrics::MemoryMetrics;
use crate::metrics::{seconds, seconds_histogram, EventCount, ListReadMetrics};
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use std::sync::atomic::AtomicU64;

/// How a proposal ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum ProposalResult {
    Applied,
    NotAccepted,
    Unknown,
}

/// What happened to a proxy's session.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(super) enum SessionEvent {
    /// A proxy was registered.
    Opened,
    /// The connection ended, the proxy has heard a newer leader, or it accepted no more frames.
    Ended,
    /// The leadership that held it is over.
    LeadershipOver,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ProposalLabels {
    result: ProposalResult,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SessionLabels {
    event: SessionEvent,
}

/// Figures that are set when they are read.
#[derive(Default)]
struct ControllerGauges {
    is_leading: Gauge,
    term: Gauge,
    commit_index: Gauge,
    applied_index: Gauge,
    durable_index: Gauge,
    voters: Gauge,
    sessions: Gauge,
    outdated_proxies: Gauge,
    endpoint_list_age: Gauge<f64, AtomicU64>,
    config_bytes: Gauge,
    other_bytes: Gauge,
}

/// What a controller counts.
pub(super) struct ControllerMetrics {
    registry: Registry,
    pub(super) list_reads: ListReadMetrics,
    proposals: Family<ProposalLabels, EventCount>,
    proposal_duration: Histogram,
    sessions: Family<SessionLabels, EventCount>,
    heartbeat_delay: Histogram,
    pub(super) memory: MemoryMetrics,
    gauges: ControllerGauges,
}

impl ControllerMetrics {
    pub(super) fn new() -> ControllerMetrics {
        let mut registry = Registry::with_prefix("magpieline_controller");
        let list_reads = ListReadMetrics::register(&mut registry);
        let proposals = Family::<ProposalLabels, EventCount>::default();
        registry.register(
            "proposals",
            "Commands proposed for the replicated log",
            proposals.clone(),
        );
        let proposal_duration = seconds_histogram();
        registry.register(
            "proposal_seconds",
            "Time from a proposal to its end",
            proposal_duration.clone(),
        );
        let sessions = Family::<SessionLabels, EventCount>::default();
        registry.register(
            "session_events",
            "What happened to sessions of proxies",
            sessions.clone(),
        );
        let heartbeat_delay = seconds_histogram();
        registry.register(
            "heartbeat_delay_seconds",
            "How late heartbeats to proxies were sent: how long other work has held up this thread",
            heartbeat_delay.clone(),
        );
        let memory = MemoryMetrics::register(&mut registry);
        let gauges = ControllerGauges::register(&mut registry);
        ControllerMetrics {
            registry,
            list_reads,
            proposals,
            proposal_duration,
            sessions,
            heartbeat_delay,
            memory,
            gauges,
        }
    }

    /// Counts a proposal that began at `started_at` and has just ended.
    pub(super) fn on_proposal<T>(&self, started_at: Micros, result: &Result<T, RequestError>) {
        let result = match result {
            Ok(_) => ProposalResult::Applied,
            Err(RequestError::NotAccepted) => ProposalResult::NotAccepted,
            Err(RequestError::OutcomeUnknown) => ProposalResult::Unknown,
        };
        let labels = ProposalLabels { result };
        self.proposals.get_or_create(&labels).inc();
        self.proposal_duration
            .observe(seconds(now().saturating_sub(started_at)));
    }

    /// Takes note of how late heartbeats to proxies are sent.
    pub(super) fn on_heartbeat(&self, delay: Micros) {
        self.heartbeat_delay.observe(seconds(delay));
    }

    pub(super) fn on_session(&self, event: SessionEvent) {
        self.sessions.get_or_create(&SessionLabels { event }).inc();
    }

    pub(super) fn on_sessions_over(&self, count: u64) {
        let event = SessionEvent::LeadershipOver;
        let labels = SessionLabels { event };
        self.sessions.get_or_create(&labels).inc_by(count);
    }
}

impl ControllerGauges {
    fn register(registry: &mut Registry) -> ControllerGauges {
        let gauges = ControllerGauges::default();
        let whole_numbers = [
            (
                "leading",
                "1 while this controller leads",
                &gauges.is_leading,
            ),
            ("term", "Raft term", &gauges.term),
            ("commit_index", "Last committed entry", &gauges.commit_index),
            ("applied_index", "Last applied entry", &gauges.applied_index),
            ("durable_index", "Last entry on disk", &gauges.durable_index),
            ("voters", "Controllers that vote", &gauges.voters),
            ("sessions", "Proxies with a session", &gauges.sessions),
            (
                "outdated_proxies",
                "Proxies with a session that lack the newest configuration",
                &gauges.outdated_proxies,
            ),
            (
                "queued_config_bytes",
                "Bytes of configurations queued for proxies",
                &gauges.config_bytes,
            ),
            (
                "queued_other_bytes",
                "Bytes of everything else queued for proxies",
                &gauges.other_bytes,
            ),
        ];
        for (name, help, gauge) in whole_numbers {
            registry.register(name, help, gauge.clone());
        }
        registry.register(
            "endpoint_list_age_seconds",
            "Time since the endpoint list was read under this leadership",
            gauges.endpoint_list_age.clone(),
        );
        gauges
    }

    /// Takes over the figures as they are now.
    fn refresh(&self, controller: &Controller) {
        let status = controller.raft.status();
        self.is_leading
            .set(i64::from(controller.raft.holds_lease()));
        self.term.set(status.term as i64);
        self.commit_index.set(status.commit_index as i64);
        self.applied_index.set(status.applied_index as i64);
        self.durable_index.set(status.durable_index as i64);
        self.voters.set(status.voters.len() as i64);
        let state = controller.state();
        self.sessions.set(state.outbox.session_count() as i64);
        self.outdated_proxies
            .set(state.config_sender.outdated_proxies() as i64);
        let (config_bytes, other_bytes) = state.outbox.queued_bytes();
        self.config_bytes.set(config_bytes as i64);
        self.other_bytes.set(other_bytes as i64);
        let age = |read_at| seconds(now().saturating_sub(read_at));
        let age = state.endpoints.read_at().map_or(f64::INFINITY, age);
        self.endpoint_list_age.set(age);
    }
}

impl Controller {
    /// Returns this controller's figures, as of now.
    pub(super) fn metrics_registry(&self) -> &Registry {
        self.metrics.gauges.refresh(self);
        self.metrics.memory.refresh(&self.memory.usage());
        &self.metrics.registry
    }
}
