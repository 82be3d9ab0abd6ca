//! The steady clock of this process. It is tokio's, so that rigs may let time pass as they like.

use std::sync::OnceLock;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A time span or an instant on the steady clock, in microseconds.
pub type Micros = u64;

static ORIGIN: OnceLock<Instant> = OnceLock::new();

/// Instants begin here, so that a difference to one "long ago" never falls below zero.
const BEGINNING: Micros = 1_000_000_000;

/// Now, in microseconds since some moment before this process began.
pub fn now() -> Micros {
    BEGINNING + ORIGIN.get_or_init(Instant::now).elapsed().as_micros() as Micros
}

/// The time of day, in microseconds since 1970. It may jump, and differ between machines.
pub fn day() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as Micros)
}

/// Waits until then.
pub async fn until(then: Micros) {
    tokio::time::sleep(span(then.saturating_sub(now()))).await;
}

pub fn span(micros: Micros) -> Duration {
    Duration::from_micros(micros)
}
