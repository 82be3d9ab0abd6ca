//! Figures of the budget for bodies, of both roles.

use crate::memory::MemoryUse;
use crate::metrics::EventCount;
use magpieline_memory_budget::{Purpose, Refusal};
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// What memory is reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum ReservedFor {
    Request,
    Response,
}

impl From<Purpose> for ReservedFor {
    fn from(purpose: Purpose) -> ReservedFor {
        match purpose {
            Purpose::Request => ReservedFor::Request,
            Purpose::Response => ReservedFor::Response,
        }
    }
}

/// Why a request's body was not held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
enum RefusalReason {
    /// No memory became free in time.
    Exhausted,
    /// It would never find room.
    TooLong,
    /// Enough others wait.
    QueueFull,
    /// Another one.
    Other,
}

impl From<Refusal> for RefusalReason {
    fn from(refusal: Refusal) -> RefusalReason {
        match refusal {
            Refusal::Exhausted => RefusalReason::Exhausted,
            Refusal::TooLong => RefusalReason::TooLong,
            Refusal::QueueFull => RefusalReason::QueueFull,
            _ => RefusalReason::Other,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PurposeLabels {
    purpose: ReservedFor,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabels {
    reason: RefusalReason,
}

/// How full the budget is, and what it has refused.
#[derive(Default)]
pub(crate) struct MemoryMetrics {
    reserved: Family<PurposeLabels, Gauge>,
    peak: Gauge,
    limit: Gauge,
    waiting: Gauge,
    refusals: Family<RefusalLabels, EventCount>,
}

impl MemoryMetrics {
    pub(crate) fn register(registry: &mut Registry) -> MemoryMetrics {
        let metrics = MemoryMetrics::default();
        registry.register(
            "memory_reserved_bytes",
            "Memory reserved for bodies",
            metrics.reserved.clone(),
        );
        registry.register(
            "memory_reserved_peak_bytes",
            "The most memory that was reserved for bodies at once since the start",
            metrics.peak.clone(),
        );
        registry.register(
            "memory_limit_bytes",
            "Memory that may be reserved for bodies",
            metrics.limit.clone(),
        );
        registry.register(
            "memory_waiting",
            "Bodies that wait for memory",
            metrics.waiting.clone(),
        );
        registry.register(
            "memory_refusals",
            "Requests that were refused as there was no memory for their bodies",
            metrics.refusals.clone(),
        );
        metrics
    }

    /// Counts a request that was refused as there was no memory for its body.
    pub(crate) fn on_refused(&self, refusal: Refusal) {
        let reason = RefusalReason::from(refusal);
        let labels = RefusalLabels { reason };
        self.refusals.get_or_create(&labels).inc();
    }

    /// Takes over how full the budget is now.
    pub(crate) fn refresh(&self, memory: &MemoryUse) {
        for (purpose, reserved) in Purpose::ALL.into_iter().zip(memory.reserved) {
            let purpose = ReservedFor::from(purpose);
            let gauge = self.reserved.get_or_create(&PurposeLabels { purpose });
            gauge.set(reserved as i64);
        }
        self.peak.set(memory.peak as i64);
        self.limit.set(memory.limits.total() as i64);
        self.waiting.set(memory.waiting as i64);
    }
}
