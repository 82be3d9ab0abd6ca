//! One endpoint: what the platform lists of it, and what this proxy's attempts have shown.

use crate::fading_mean::{FadingMean, FadingMeanParameters};
use crate::Micros;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// What an endpoint reported of others' requests is half forgotten after this: about one request's time.
const REPORT_HALF_LIFE: f64 = 250_000.0;
/// An endpoint's latency, as the logarithm of its part of the service's mean: a mean over about eight answers.
const LOG_LATENCY: FadingMeanParameters = FadingMeanParameters {
    gain: 0.12,
    half_life: 5_000_000.0,
};
/// The part of an endpoint's answers that are failures: a mean over about ten answers.
const ERROR_RATE: FadingMeanParameters = FadingMeanParameters {
    gain: 0.1,
    half_life: 5_000_000.0,
};
/// An endpoint that is warming up is taken to be so many times slower.
const WARMUP_FACTOR: f64 = 2.0;
/// An endpoint that owes an answer for so many mean latencies of its service, at least [`MIN_PATIENCE`], and has given none
/// since, may be dead.
const PATIENCE: f64 = 4.0;
const MIN_PATIENCE: Micros = 500_000;
/// A dead one is ejected for this, doubling with each further failure.
const EJECTION_TIME: Micros = 500_000;
const MAX_EJECTION_TIME: Micros = 4_000_000;
/// For so many ejection times more a request that must not run twice is kept from an endpoint that has left one unanswered.
const SUSPICION: Micros = 6;
/// Failures in a row that still double the ejection time, and those that are counted.
const MAX_DOUBLINGS: u32 = 3;
const MAX_CONSECUTIVE_FAILURES: u32 = 4;
/// One that rejected a request is left alone until about half of its queue is done.
const REJECTION_BACKOFF: Micros = 150_000;
/// A latency counts for so many mean latencies at most; for less where requests of this proxy queued at the endpoint, as
/// what waited there is no slowness of its own.
const MAX_LATENCY: f64 = 4.0;
const MAX_LATENCY_QUEUED: f64 = 1.5;
/// Bounds of the logarithm of one latency over the mean: an endpoint is at most twice as fast and 4.5 times as slow.
const MIN_LOG_RATIO: f64 = -0.7;
const MAX_LOG_RATIO: f64 = 1.5;

/// Returns how long an endpoint may owe an answer before it is suspected to be dead.
fn patience(mean_latency: f64) -> Micros {
    ((PATIENCE * mean_latency) as Micros).max(MIN_PATIENCE)
}

/// An endpoint as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// Its id; never given to another one.
    pub id: Arc<str>,
    /// The service that it belongs to.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// The zone that it is in.
    pub zone: Arc<str>,
    /// The version that it runs.
    pub version: Arc<str>,
    /// Requests that it works on at a time.
    pub concurrency: u32,
    /// It is about to end.
    pub is_draining: bool,
    /// When it will have warmed up.
    pub warm_at: Micros,
}

/// How an attempt ended, as far as it tells of the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointSignal {
    /// A good answer.
    Served,
    /// A failure of its own.
    Failed,
    /// An answer that was garbled, cut short or another request's.
    InvalidResponse,
    /// It said that it did not run the request.
    Rejected,
    /// No connection came up.
    NoConnection,
    /// The connection ended without an answer.
    ConnectionLost,
    /// No answer in the time that there was.
    TimedOut,
    /// It was given no more time, as the client had left: it has taken this long at least.
    Cancelled,
    /// Nothing is said of it: the request was never sent.
    Inconclusive,
}

impl EndpointSignal {
    /// Returns what the error rate counts: 1 for a failure, 0 for an answer, none for what tells neither.
    fn error(self) -> Option<f64> {
        match self {
            EndpointSignal::Served => Some(0.0),
            EndpointSignal::Failed
            | EndpointSignal::InvalidResponse
            | EndpointSignal::ConnectionLost
            | EndpointSignal::TimedOut => Some(1.0),
            EndpointSignal::Rejected
            | EndpointSignal::NoConnection
            | EndpointSignal::Cancelled
            | EndpointSignal::Inconclusive => None,
        }
    }
}

/// The load that an endpoint reports with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it works on at a time.
    pub concurrency: u32,
}

/// An attempt that is in flight.
#[derive(Clone, Copy, Debug)]
struct InFlight {
    attempt: u64,
    sent_at: Micros,
}

/// An endpoint as this proxy knows it.
#[derive(Clone, Debug)]
pub(crate) struct EndpointState {
    pub(crate) listed: ListedEndpoint,
    /// This proxy's preference among equal endpoints, 0 to 1, the same for as long as both live.
    pub(crate) preference: f64,
    error_rate: FadingMean,
    in_flight: Vec<InFlight>,
    /// Requests of other proxies there, as last reported, and when.
    others: f64,
    reported_at: Micros,
    /// Logarithm of its latency over the mean of the service.
    log_latency: FadingMean,
    answered_at: Micros,
    /// How long cancelled attempts have waited in vain since the last answer, and until when that is counted.
    silence: Micros,
    silence_until: Micros,
    ejected_until: Micros,
    /// Until when a request that must not run twice does not probe it.
    suspect_until: Micros,
    consecutive_failures: u32,
}

/// What an endpoint that is ejected did with the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EjectionReason {
    /// It took no connection, so the request was not sent.
    Unreachable,
    /// It left the request unanswered; it may have run.
    Unanswered,
}

impl EndpointState {
    pub(crate) fn new(now: Micros, listed: ListedEndpoint, preference: f64) -> EndpointState {
        EndpointState {
            listed,
            preference,
            error_rate: FadingMean::new(ERROR_RATE),
            in_flight: Vec::new(),
            others: 0.0,
            reported_at: now,
            log_latency: FadingMean::new(LOG_LATENCY),
            answered_at: now,
            silence: 0,
            silence_until: 0,
            ejected_until: 0,
            suspect_until: 0,
            consecutive_failures: 0,
        }
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns how many requests it works on at a time.
    pub(crate) fn concurrency(&self) -> f64 {
        f64::from(self.listed.concurrency.max(1))
    }

    /// Returns this proxy's preference, 0 to 1, among endpoints with so many requests at a time on average. The lowest of several
    /// is an endpoint's in proportion to its size: a large one is preferred by more proxies.
    pub(crate) fn preference(&self, mean_concurrency: f64) -> f64 {
        let exponent = mean_concurrency / self.concurrency();
        match exponent == 1.0 {
            true => self.preference,
            false => 1.0 - (1.0 - self.preference).powf(exponent),
        }
    }

    /// Returns how many requests of other proxies are there, as far as is known now: what was reported drifts back to the
    /// service's mean for each request that an endpoint works on at a time.
    pub(crate) fn others(&self, mean_load: f64, now: Micros) -> f64 {
        let mean = mean_load * self.concurrency();
        let age = now.saturating_sub(self.reported_at) as f64;
        mean + (self.others - mean) * 0.5f64.powf(age / REPORT_HALF_LIFE)
    }

    /// Returns the latency that is expected of it with nothing queued, by the mean latency of its service.
    pub(crate) fn latency(&self, mean: f64, now: Micros) -> f64 {
        let warmup = if self.is_warming_up(now) {
            WARMUP_FACTOR
        } else {
            1.0
        };
        mean * self.log_latency.at(now).exp() * warmup
    }

    /// Returns the part of its last answers that were failures, as far as it is remembered.
    pub(crate) fn error_rate(&self, now: Micros) -> f64 {
        self.error_rate.at(now)
    }

    fn is_warming_up(&self, now: Micros) -> bool {
        now < self.listed.warm_at
    }

    pub(crate) fn is_ejected(&self, now: Micros) -> bool {
        now < self.ejected_until
    }

    /// Whether it may be dead: it owes an answer for too long, or it has failed, and another request finds out whether it serves
    /// again. One that must not run twice waits longer before it is that request.
    pub(crate) fn is_suspect(&self, mean_latency: f64, now: Micros, is_idempotent: bool) -> bool {
        let patience = patience(mean_latency);
        let oldest = self.in_flight.iter().map(|attempt| attempt.sent_at).min();
        let is_overdue = oldest
            .is_some_and(|sent_at| now + self.silence > sent_at.max(self.answered_at) + patience);
        let is_trusted = is_idempotent || now >= self.suspect_until;
        let may_probe = is_trusted && self.in_flight.is_empty();
        is_overdue || (self.consecutive_failures > 0 && !may_probe)
    }

    pub(crate) fn on_sent(&mut self, now: Micros, attempt: u64) {
        self.in_flight.push(InFlight {
            attempt,
            sent_at: now,
        });
    }

    /// Takes an attempt off those in flight. Returns when it was sent; none if it is not known here.
    pub(crate) fn take_in_flight(&mut self, attempt: u64) -> Option<Micros> {
        let position = self.in_flight.iter().position(|a| a.attempt == attempt)?;
        Some(self.in_flight.swap_remove(position).sent_at)
    }

    /// Returns when it reported its load last; when it was first listed if it never did.
    pub(crate) fn reported_at(&self) -> Micros {
        self.reported_at
    }

    /// Takes note of a reported load. Returns how many requests of other proxies are in it.
    pub(crate) fn on_report(&mut self, now: Micros, load: ReportedLoad) -> f64 {
        let all = f64::from(load.running + load.waiting);
        self.others = (all - self.in_flight.len() as f64).max(0.0);
        self.reported_at = now;
        self.others
    }

    /// Takes note of an answer's latency, by the mean latency of the service. Returns the latency as it counts for that
    /// mean; none while the endpoint is warming up.
    pub(crate) fn on_latency(&mut self, now: Micros, latency: Micros, mean: f64) -> Option<f64> {
        if self.is_warming_up(now) {
            return None;
        }
        let was_queued = self.in_flight.len() as f64 >= f64::from(self.listed.concurrency);
        let max = if was_queued {
            MAX_LATENCY_QUEUED
        } else {
            MAX_LATENCY
        } * mean;
        let latency = (latency as f64).min(max).max(1.0);
        let ratio = (latency / mean).ln();
        self.log_latency
            .add(now, ratio.clamp(MIN_LOG_RATIO, MAX_LOG_RATIO));
        Some(latency)
    }

    /// Takes note of how an attempt that was sent at `sent_at` ended, by the mean latency of the service.
    pub(crate) fn on_signal(
        &mut self,
        now: Micros,
        sent_at: Micros,
        signal: EndpointSignal,
        mean_latency: f64,
    ) {
        if let Some(error) = signal.error() {
            self.error_rate.add(now, error);
        }
        match signal {
            EndpointSignal::Served => {
                self.on_answer(now);
                self.ejected_until = 0;
            }
            EndpointSignal::Failed | EndpointSignal::InvalidResponse => self.on_answer(now),
            EndpointSignal::Rejected => {
                self.answered_at = now;
                self.silence = 0;
                self.ejected_until = now + REJECTION_BACKOFF;
            }
            EndpointSignal::NoConnection => self.eject(now, EjectionReason::Unreachable),
            // One lost connection after an answer is no death; silence is told by what it owes.
            EndpointSignal::ConnectionLost => {
                if self.consecutive_failures > 0 || self.answered_at <= sent_at {
                    self.eject(now, EjectionReason::Unanswered);
                }
            }
            EndpointSignal::TimedOut => {
                if self.answered_at <= sent_at {
                    self.eject(now, EjectionReason::Unanswered);
                }
            }
            EndpointSignal::Cancelled => self.on_cancelled(now, sent_at, mean_latency),
            EndpointSignal::Inconclusive => {}
        }
    }

    /// An endpoint that is dead must be found out although no attempt waits for long: what they waited is added up.
    fn on_cancelled(&mut self, now: Micros, sent_at: Micros, mean_latency: f64) {
        let since = sent_at.max(self.answered_at).max(self.silence_until);
        self.silence += now.saturating_sub(since);
        self.silence_until = now;
        if self.silence > patience(mean_latency) {
            self.silence = 0;
            self.eject(now, EjectionReason::Unanswered);
        }
    }

    fn on_answer(&mut self, now: Micros) {
        self.answered_at = now;
        self.silence = 0;
        self.consecutive_failures /= 2;
    }

    /// Leaves it alone for a while.
    fn eject(&mut self, now: Micros, reason: EjectionReason) {
        let time = EJECTION_TIME << self.consecutive_failures.min(MAX_DOUBLINGS);
        let time = time.min(MAX_EJECTION_TIME);
        self.ejected_until = now + time;
        if reason == EjectionReason::Unanswered {
            self.suspect_until = self.ejected_until + SUSPICION * time;
        }
        self.consecutive_failures = (self.consecutive_failures + 1).min(MAX_CONSECUTIVE_FAILURES);
    }
}
