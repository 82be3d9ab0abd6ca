//! Signals of the platform.

use tokio::signal::unix::{signal, Signal, SignalKind};

/// Waits for SIGTERM, or for Ctrl-C where a person has started the program.
pub async fn terminated() {
    tokio::select! {
        () = came(signal(SignalKind::terminate())) => {}
        () = came(signal(SignalKind::interrupt())) => {}
    }
}

async fn came(signal: std::io::Result<Signal>) {
    match signal {
        Ok(mut signal) => {
            signal.recv().await;
        }
        Err(_) => std::future::pending().await, // it can't be told of; the platform's SIGKILL ends it
    }
}
