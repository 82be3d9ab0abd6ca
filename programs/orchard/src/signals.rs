//! Signals of the platform.

use tokio::signal::unix::{signal, SignalKind};

/// Waits for SIGTERM.
pub async fn terminated() {
    match signal(SignalKind::terminate()) {
        Ok(mut signal) => {
            signal.recv().await;
        }
        Err(_) => std::future::pending().await, // it can't be told of; the platform's SIGKILL ends it
    }
}
