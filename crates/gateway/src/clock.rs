//! The clocks of this process. The monotonic one is tokio's, so that simulations may let time pass as they like.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// An instant on the monotonic clock, or a span of time, in microseconds.
pub type Micros = u64;

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// The first instant, so that a difference to one "long ago" never falls below zero.
const FIRST_INSTANT: Micros = 1_000_000_000;

/// Returns the present instant, in microseconds since some moment before this process started.
pub fn now() -> Micros {
    FIRST_INSTANT + ORIGIN.get_or_init(Instant::now).elapsed().as_micros() as Micros
}

/// Returns the time of day, in microseconds since 1970. It may jump, and differ between machines.
pub fn time_of_day() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as Micros)
}

/// Sleeps until an instant.
pub async fn sleep_until(instant: Micros) {
    sleep(instant.saturating_sub(now())).await;
}

/// Sleeps for a span of time.
pub async fn sleep(span: Micros) {
    tokio::time::sleep(duration(span)).await;
}

/// Converts a span of time.
pub fn duration(span: Micros) -> Duration {
    Duration::from_micros(span)
}
