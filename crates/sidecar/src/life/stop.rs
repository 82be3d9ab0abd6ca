//! The end: what has been taken and what still arrives is served, then the program ends by itself.

use crate::life::listen;
use magpieline_dispatch::{Crowd, Exchange};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::signal::unix::{Signal, SignalKind};

/// How long after the signal connections stay open: others hear of the end within four tenths of a second
/// and go on using them until then.
const OPEN_FOR: Duration = Duration::from_millis(500);
/// How often it is looked whether all is done.
const LOOK: Duration = Duration::from_millis(20);
/// How often nothing may be found in hand in a row before the end: no more can come then.
const QUIET: u32 = 10;
/// How long connections that carry nothing may hold up the end: longer than one that came late is waited for.
const LINGER: Duration = Duration::from_secs(2);

/// The signals that end the program: SIGTERM and SIGINT.
pub fn signals() -> Result<[Signal; 2], String> {
    Ok([
        listen(SignalKind::terminate())?,
        listen(SignalKind::interrupt())?,
    ])
}

/// Waits for one of them.
pub async fn asked([mut term, mut int]: [Signal; 2]) {
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
}

/// Serves what is in hand and what still arrives, until all is done.
pub async fn finish(exchange: Rc<Exchange>, crowd: Rc<Crowd>) {
    log::info!("stopping: serving what is in hand");
    let begun = Instant::now();
    exchange.stop();
    tokio::time::sleep(OPEN_FOR).await;
    exchange.closing.give();
    let mut quiet = 0;
    while quiet < QUIET {
        tokio::time::sleep(LOOK).await;
        let done = exchange.idle() && (crowd.is_empty() || begun.elapsed() > LINGER);
        quiet = if done { quiet + 1 } else { 0 };
    }
    log::info!("stopped");
}

#[cfg(test)]
mod tests;
