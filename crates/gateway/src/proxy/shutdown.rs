//! Shutting down: what a proxy still does after SIGTERM, and until when.
//!
//! SIGTERM fixes all deadlines. Nothing that comes later moves them: a wait that each new event prolongs has no end while clients go
//! on, and the process is killed with requests at work.

use crate::clock::{now, sleep, Micros};
use std::sync::OnceLock;
use tokio_util::sync::CancellationToken;

/// Clients are sent here until the platform believes that the proxy is not ready: two failed probes a second apart, and some time to
/// act on them. A connection that is refused then costs its client a retry.
const ACCEPT_TIME: Micros = 2_500_000;
/// Nothing is accepted beyond this part of the grace period, however short that is.
const ACCEPT_PART: f64 = 5.0 / 12.0;
/// Where no connection comes for this long, clients are sent elsewhere already, and the process need not wait for more.
const ACCEPT_PAUSE: Micros = 500_000;
/// A request that was received within this part of the grace period is served even if its deadline lies beyond the end.
const ADMIT_PART: f64 = 1.0 / 2.0;
/// What is at work then is cut off, and the process ends before it is killed.
const END_PART: f64 = 11.0 / 12.0;
/// Between two log lines about what is still open.
const REPORT_INTERVAL: Micros = 1_000_000;

/// The deadlines of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownDeadlines {
    /// When SIGTERM came.
    pub requested_at: Micros,
    /// No connection is accepted beyond this.
    accept_end: Micros,
    /// Requests are served as always until then; later ones only if they are sure to end by `end_at`.
    pub admit_until: Micros,
    /// Nothing is waited for beyond this.
    pub end_at: Micros,
}

impl ShutdownDeadlines {
    /// Returns the deadlines by the time from SIGTERM to SIGKILL.
    pub fn new(requested_at: Micros, grace: Micros) -> ShutdownDeadlines {
        let part = |part: f64| (grace as f64 * part) as Micros;
        ShutdownDeadlines {
            requested_at,
            accept_end: requested_at + ACCEPT_TIME.min(part(ACCEPT_PART)),
            admit_until: requested_at + part(ADMIT_PART),
            end_at: requested_at + part(END_PART),
        }
    }

    /// Returns until when connections are accepted, if the newest one came at `newest_at` and no other comes.
    pub fn accept_until(&self, newest_at: Micros) -> Micros {
        let pause_ends = newest_at.max(self.requested_at) + ACCEPT_PAUSE;
        pause_ends.min(self.accept_end)
    }

    /// Whether a request is served that is received at `now` and must be answered by `deadline`. Any other is rejected at once: the
    /// promise that it never ran can be kept now, and could not be once it is cut off.
    pub fn admits(&self, now: Micros, deadline: Micros) -> bool {
        now <= self.admit_until || deadline <= self.end_at
    }
}

/// Whether a proxy shuts down.
#[derive(Debug, Default)]
pub(super) struct Shutdown {
    deadlines: OnceLock<ShutdownDeadlines>,
    token: CancellationToken,
}

impl Shutdown {
    /// Begins to shut down, if it has not begun.
    pub(super) fn begin(&self, grace: Micros) {
        self.deadlines
            .get_or_init(|| ShutdownDeadlines::new(now(), grace));
        self.token.cancel();
    }

    /// Whether it has begun.
    pub(super) fn has_begun(&self) -> bool {
        self.token.is_cancelled()
    }

    /// Waits until it begins.
    pub(super) async fn begun(&self) -> ShutdownDeadlines {
        self.token.cancelled().await;
        self.deadlines().expect("they are set before it begins")
    }

    /// Returns its deadlines once it has begun.
    pub(super) fn deadlines(&self) -> Option<ShutdownDeadlines> {
        self.deadlines.get().copied()
    }
}

/// What a proxy has not finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Unfinished {
    pub(super) connections: usize,
    pub(super) requests: usize,
    pub(super) attempts: usize,
}

impl std::fmt::Display for Unfinished {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Unfinished {
            connections,
            requests,
            attempts,
        } = self;
        write!(
            f,
            "{connections} connections, {requests} requests and {attempts} attempts in progress"
        )
    }
}

/// Logs what is still open, each second, for ever.
pub(super) async fn report(unfinished: impl Fn() -> Unfinished) {
    for seconds in 0.. {
        tracing::info!(target: "proxy", "Shutting down for {seconds} s: {}.", unfinished());
        sleep(REPORT_INTERVAL).await;
    }
}
