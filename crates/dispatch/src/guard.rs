//! What should not panic, and goes on if it does.

use futures_util::FutureExt;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

/// Before something that panicked is begun anew: long enough not to spin, short against any time-out.
const AFTER_PANIC: Duration = Duration::from_millis(100);

/// Runs something that should not panic; a panic is logged and yields nothing.
pub async fn guarded<T>(name: &str, what: impl Future<Output = T>) -> Option<T> {
    let ended = AssertUnwindSafe(what).catch_unwind().await;
    ended
        .map_err(|_| log::error!("{name}: a panic, shown above; what was in hand is given up"))
        .ok()
}

/// Runs something to its end, if it has one, and begins it anew should it panic.
pub async fn kept<F: Future>(name: &str, begin: impl Fn() -> F) -> F::Output {
    loop {
        match guarded(name, begin()).await {
            Some(ended) => return ended,
            None => tokio::time::sleep(AFTER_PANIC).await,
        }
    }
}
