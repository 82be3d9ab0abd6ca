//! A new configuration: at SIGHUP the file is read anew. Its settings and its addresses of discovery and platform
//! hold from then on, all or nothing; the list and the news that stand in it may be old and are left alone, both
//! are asked for at once. The way back is the same: the file as it was, and the signal.

use crate::life::control::ConfigChanges;
use crate::life::{listen, start};
use crate::wire::place::Around;
use magpieline_dispatch::Exchange;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind};

/// Before a file that could not be read is looked at again: whoever replaces it may be half-way.
const PAUSE: Duration = Duration::from_millis(100);

/// The signal that asks for it.
pub fn signals() -> Result<Signal, String> {
    listen(SignalKind::hangup())
}

/// Takes the file's settings and addresses; an error says what is wrong with it, and what held goes on.
fn take(exchange: &Exchange, around: &Around, path: &Path) -> Result<(), String> {
    let start = start::file(path)?;
    let settings = start.settings()?;
    let settled = exchange
        .take_settings(settings)
        .map_err(|e| format!("{}: settings: {e}", path.display()))?;
    around.settle(settings);
    around.discovery.set(&start.discovery);
    around.platform.set(&start.platform);
    let settings = if settled { "new" } else { "as before" };
    log::info!(
        "reload: discovery at {}, platform at {}, settings {settings}",
        start.discovery,
        start.platform
    );
    Ok(())
}

/// Reads the file as often as told; one that is wrong, until it is right.
pub async fn follow(
    exchange: Rc<Exchange>,
    around: Rc<Around>,
    path: PathBuf,
    config_changes: Option<Rc<ConfigChanges>>,
    mut asked: Signal,
) {
    while asked.recv().await.is_some() {
        // The operators' file goes the way of every change: checked, applied as a whole, watched.
        if let Some(changes) = &config_changes {
            if let Err(e) = changes.reload_file("SIGHUP").await {
                log::warn!("config: {e}");
            }
        }
        while let Err(e) = take(&exchange, &around, &path) {
            exchange.complain("reload", &e);
            tokio::time::sleep(PAUSE).await;
        }
    }
}

#[cfg(test)]
mod tests;
