//! Signals of the platform.

use tokio::signal::unix::{signal, Signal, SignalKind};

/// Waits for SIGTERM, or for Ctrl-C where a person has started the program.
pub async fn terminated() {
    tokio::select! {
        () = received(signal(SignalKind::terminate())) => {}
        () = received(signal(SignalKind::interrupt())) => {}
    }
}

async fn received(signal: std::io::Result<Signal>) {
    match signal {
        Ok(mut signal) => {
            signal.recv().await;
        }
        // It can't be heard of; the platform's SIGKILL ends the process.
        Err(_) => std::future::pending().await,
    }
}
