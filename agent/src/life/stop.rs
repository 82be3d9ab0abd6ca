//! The end: what has been taken and what still arrives is served, then the program ends by itself.

use crate::memory::exchange::Exchange;
use crate::wire::clients::Crowd;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

/// How long after the signal connections stay open: others hear of the end within four tenths of a second
/// and go on using them until then.
const OPEN_FOR: Duration = Duration::from_millis(500);
/// How often it is looked whether all is done.
const LOOK: Duration = Duration::from_millis(20);
/// How often nothing may be found in hand in a row before the end: no more can come then.
const QUIET: u32 = 10;

/// Waits for SIGTERM (or SIGINT), then until all is done.
pub async fn wait(exchange: Rc<Exchange>, crowd: Rc<Crowd>) -> Result<(), String> {
    let asked = |kind| signal(kind).map_err(|e| format!("signals: could not be listened for: {e}"));
    let (mut term, mut int) = (asked(SignalKind::terminate())?, asked(SignalKind::interrupt())?);
    tokio::select! {
        _ = term.recv() => {}
        _ = int.recv() => {}
    }
    log::info!("stopping: serving what is in hand");
    exchange.stop();
    tokio::time::sleep(OPEN_FOR).await;
    exchange.close();
    let mut quiet = 0;
    while quiet < QUIET {
        tokio::time::sleep(LOOK).await;
        quiet = if exchange.idle() && crowd.is_empty() { quiet + 1 } else { 0 };
    }
    log::info!("stopped");
    Ok(())
}
