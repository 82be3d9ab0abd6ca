//! What one endpoint is worth to a request: whether it may have it, and what that costs in time.

use crate::endpoint::EndpointState;
use crate::Micros;

/// Crossing zones costs bytes: an endpoint in another zone has to be quicker by this part of a mean latency.
const ZONE_COST: f64 = 0.5;
/// Proxies differ in which of several equal endpoints they prefer, by this part of a mean latency, so that they don't all
/// choose the same idle one at once.
const PREFERENCE_COST: f64 = 0.25;
/// The preference itself varies by up to this much from choice to choice.
pub(crate) const MAX_JITTER: f64 = 0.02;
/// A full endpoint costs this part of a mean latency more than an idle one, in proportion to what is used.
const UTILIZATION_COST: f64 = 0.3;
/// A failed answer costs further attempts: at an error rate of 1 an answer is taken to last longer by this factor.
const ERROR_COST: f64 = 4.0;
/// Requests that may wait at an endpoint beyond those it works on, by the precedence of who asks: what ranks high finds
/// room where the rest is rejected already. They "queue a few more"; some never answer what they can't queue, so it is
/// not tried how many.
const MAX_QUEUED: [f64; 3] = [5.0, 4.0, 3.0];

/// An endpoint that seems full only for what other proxies have there is refused requests until its last report is this old.
const REPORT_LIFETIME: Micros = 1_000_000;

/// What holds for all endpoints of a service in one choice.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Conditions<'a> {
    pub(crate) now: Micros,
    /// The proxy's own zone.
    pub(crate) zone: &'a str,
    /// Mean latency of the service, in microseconds.
    pub(crate) mean_latency: f64,
    /// Requests of other proxies for each that an endpoint works on at a time.
    pub(crate) mean_load: f64,
    /// Requests that an endpoint of the service works on at a time, on average.
    pub(crate) mean_concurrency: f64,
    /// The rank of the request; 0 is highest.
    pub(crate) precedence: u32,
    /// Whether the request may run more than once.
    pub(crate) is_idempotent: bool,
    /// What is added to the cost of preference in this choice.
    pub(crate) jitter: f64,
}

impl Conditions<'_> {
    /// Returns how many requests may wait at an endpoint.
    fn max_queued(&self) -> f64 {
        MAX_QUEUED[(self.precedence as usize).min(MAX_QUEUED.len() - 1)]
    }
}

/// Why no endpoint was chosen, in the order in which one reason goes before another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoEndpoint {
    /// No endpoint is listed that may get the request.
    NoneListed,
    /// All are ejected.
    Ejected,
    /// Those that are not ejected are full with attempts of this proxy.
    Full,
    /// Those that are not ejected are taken to be full, some with requests of other proxies.
    EstimatedFull,
}

/// What an endpoint is worth to a request. Times and costs are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Assessment {
    /// It may have the request.
    Available {
        expected_latency: f64,
        /// The latency, and what else speaks against it.
        cost: f64,
    },
    /// It may be dead: it gets the request only where no other can.
    Suspect { expected_latency: f64 },
    /// It may not have the request.
    Unavailable(NoEndpoint),
}

/// Assesses an endpoint for a request.
pub(crate) fn assess(endpoint: &EndpointState, conditions: &Conditions) -> Assessment {
    let Conditions {
        now, mean_latency, ..
    } = *conditions;
    if endpoint.is_ejected(now) {
        return Assessment::Unavailable(NoEndpoint::Ejected);
    }
    let concurrency = endpoint.concurrency();
    let own = endpoint.in_flight() as f64;
    let ahead = own + endpoint.others(conditions.mean_load, now);
    let max = concurrency + conditions.max_queued();
    if !has_room(endpoint, now, ahead, max) {
        let is_own = own >= max;
        return Assessment::Unavailable(match is_own {
            true => NoEndpoint::Full,
            false => NoEndpoint::EstimatedFull,
        });
    }
    let latency = endpoint.latency(mean_latency, now);
    let expected_latency = latency * ((ahead + 1.0) / concurrency).max(1.0);
    if endpoint.is_suspect(mean_latency, now, conditions.is_idempotent) {
        return Assessment::Suspect { expected_latency };
    }
    let zone = match *endpoint.listed.zone == *conditions.zone {
        true => 0.0,
        false => ZONE_COST,
    };
    let preference = endpoint.preference(conditions.mean_concurrency);
    let preference = (PREFERENCE_COST + conditions.jitter) * preference;
    let utilization = UTILIZATION_COST * (ahead / concurrency).min(1.0);
    let cost = expected_latency * (1.0 + ERROR_COST * endpoint.error_rate(now))
        + mean_latency * (zone + preference + utilization);
    Assessment::Available {
        expected_latency,
        cost,
    }
}

/// Whether an endpoint has room, where `ahead` requests are taken to be there and `max` may be. One that seems full by an old report,
/// and has no request of this proxy, gets one: its answer says what is so. No more, as some endpoints never answer what they
/// can't queue.
fn has_room(endpoint: &EndpointState, now: Micros, ahead: f64, max: f64) -> bool {
    let is_report_old = now >= endpoint.reported_at() + REPORT_LIFETIME;
    ahead < max || (endpoint.in_flight() == 0 && is_report_old)
}

/// How many endpoints of a service would get a request, and why others would not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Availability {
    /// They would get it.
    pub available: usize,
    /// They may be dead, and would get it only where no other can.
    pub suspect: usize,
    /// They are left alone for a while after a failure.
    pub ejected: usize,
    /// They are full with attempts of this proxy.
    pub full: usize,
    /// They are taken to be full, with requests of other proxies.
    pub estimated_full: usize,
    /// They are about to end.
    pub draining: usize,
}

impl Availability {
    /// Counts an endpoint.
    pub(crate) fn add(&mut self, is_draining: bool, assessment: Assessment) {
        let count = match assessment {
            _ if is_draining => &mut self.draining,
            Assessment::Available { .. } => &mut self.available,
            Assessment::Suspect { .. } => &mut self.suspect,
            Assessment::Unavailable(NoEndpoint::Full) => &mut self.full,
            Assessment::Unavailable(NoEndpoint::EstimatedFull) => &mut self.estimated_full,
            Assessment::Unavailable(NoEndpoint::Ejected | NoEndpoint::NoneListed) => {
                &mut self.ejected
            }
        };
        *count += 1;
    }
}
