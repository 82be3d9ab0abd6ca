//! The settings file while the program runs.
//!
//! The platform may change the file at any time, and tells of it by SIGHUP or not at all. It is read again at SIGHUP
//! and every second. A changed text is taken once two looks in a row have found it the same, so that a file that is
//! still being written is not taken for a short one; one that is wrong leaves the last good one in force and is
//! logged once.
//!
//! | fields | take effect |
//! | --- | --- |
//! | `network.seed_depots` | at once: the next search for the leader asks them, too. A controller uses them only when it joins, at its start |
//! | `network.zones` | at once |
//! | `provisions.guarantees`, `provisions.withstand` | at once: proxies keep to the new budget from the next request on |
//! | `carrier.carrier_api` | at once: the next call to the platform goes there |
//! | `self` (node, class, ip, zone, region, store_dir, first_run, allowances), `network.inner_ports`, `network.posts` | at the next start; a change is logged, and what runs goes on as it began |

use crate::clock::{duration, Micros};
use magpieline_config::node_settings::NodeSettings;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

/// The file is read this often.
const LOOK_INTERVAL: Micros = 1_000_000;
/// A new text is read again after this.
const CONFIRM_INTERVAL: Micros = 150_000;

/// The settings in force: `borrow` returns them, `changed` waits for a change.
pub type SettingsWatch = watch::Receiver<Arc<NodeSettings>>;

/// What reading the file has found.
#[derive(Clone, Debug, PartialEq)]
pub enum Look {
    /// Nothing new.
    Same,
    /// A new text; it is accepted if it is the same at the next reading.
    New,
    /// New settings, and the names of fields that would need a restart to take effect.
    Accepted(Arc<NodeSettings>, Vec<&'static str>),
    /// What is wrong; returned once until the file changes.
    Rejected(String),
}

/// Watches the settings file. It has no clock: each call of [`Watcher::look`] reads the file once.
pub struct Watcher {
    path: PathBuf,
    /// The settings in force.
    settings: Arc<NodeSettings>,
    /// The text that was accepted or rejected last; none: it could not be read.
    decided: Option<String>,
    /// The text at the last reading.
    seen: Option<String>,
}

impl Watcher {
    /// Reads the file for the first time.
    ///
    /// # Errors
    ///
    /// If it can't be read or is wrong; all that is wrong is returned.
    pub fn open(path: PathBuf) -> Result<Watcher, Vec<String>> {
        let text = std::fs::read_to_string(&path).map_err(|e| vec![unreadable(&path, &e)])?;
        let settings = NodeSettings::parse(&text).map_err(|wrong| {
            wrong
                .iter()
                .map(|complaint| format!("{}: {complaint}", path.display()))
                .collect::<Vec<_>>()
        })?;
        Ok(Watcher {
            path,
            settings: Arc::new(settings),
            seen: Some(text.clone()),
            decided: Some(text),
        })
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> &Arc<NodeSettings> {
        &self.settings
    }

    /// Reads the file once and decides on its text.
    pub fn look(&mut self) -> Look {
        let read = std::fs::read_to_string(&self.path);
        let wrong = read.as_ref().err().map(|e| unreadable(&self.path, e));
        let text = read.ok();
        if text == self.decided {
            self.seen = text;
            return Look::Same;
        }
        if text != self.seen {
            self.seen = text;
            return Look::New;
        }
        self.decided = text;
        if let Some(wrong) = wrong {
            return Look::Rejected(wrong);
        }
        match NodeSettings::parse(self.decided.as_deref().unwrap_or_default()) {
            Ok(new) => {
                let restarts = needing_restart(&self.settings, &new);
                let settings = merge(&self.settings, new);
                if settings == *self.settings && restarts.is_empty() {
                    return Look::Same; // other words for what holds
                }
                self.settings = Arc::new(settings);
                Look::Accepted(self.settings.clone(), restarts)
            }
            Err(wrong) => {
                let list: Vec<String> = wrong
                    .iter()
                    .map(|complaint| complaint.to_string())
                    .collect();
                Look::Rejected(format!("{}: {}", self.path.display(), list.join("; ")))
            }
        }
    }
}

fn unreadable(path: &std::path::Path, error: &io::Error) -> String {
    format!("{}: can't be read: {error}", path.display())
}

/// Returns the new settings, where they can take effect while the program runs; the rest as at the start.
fn merge(started_with: &NodeSettings, new: NodeSettings) -> NodeSettings {
    NodeSettings {
        controller_seeds: new.controller_seeds,
        zones: new.zones,
        platform: new.platform,
        tolerated_machines: new.tolerated_machines,
        tolerated_areas: new.tolerated_areas,
        guarantees: new.guarantees,
        ..started_with.clone()
    }
}

/// Returns the names of changed fields that need a restart.
fn needing_restart(started_with: &NodeSettings, new: &NodeSettings) -> Vec<&'static str> {
    let changed = [
        ("self.node", started_with.node != new.node),
        (
            "self.machine_class",
            started_with.machine_class != new.machine_class,
        ),
        ("self.ip", started_with.ip != new.ip),
        ("self.zone", started_with.zone != new.zone),
        ("self.region", started_with.region != new.region),
        ("self.store_dir", started_with.store_dir != new.store_dir),
        (
            "self.allowances",
            (
                started_with.memory_mb,
                started_with.max_descriptors,
                started_with.disk_mb,
            ) != (new.memory_mb, new.max_descriptors, new.disk_mb),
        ),
        (
            "network.inner_ports",
            started_with.agent_ports != new.agent_ports,
        ),
        (
            "network.posts",
            started_with.listen_addresses != new.listen_addresses,
        ),
    ];
    // `first_run` is meant to change: it says how the system began.
    changed
        .into_iter()
        .filter(|(_, changed)| *changed)
        .map(|(name, _)| name)
        .collect()
}

/// Watches the file for as long as the process runs. Returns the settings in force, now and later. To be called inside the
/// runtime: from here on SIGHUP no longer ends the process.
pub fn watch(watcher: Watcher) -> io::Result<SettingsWatch> {
    let mut hang_up = signal(SignalKind::hangup())?;
    let (sender, receiver) = watch::channel(watcher.settings().clone());
    tokio::spawn(async move {
        let (mut watcher, mut pause) = (watcher, LOOK_INTERVAL);
        while !sender.is_closed() {
            tokio::select! {
                _ = hang_up.recv() => tracing::debug!(target: "settings", "SIGHUP."),
                () = tokio::time::sleep(duration(pause)) => {}
            }
            let look = watcher.look();
            pause = if look == Look::New {
                CONFIRM_INTERVAL
            } else {
                LOOK_INTERVAL
            };
            match look {
                Look::Same | Look::New => {}
                Look::Accepted(settings, restarts) => {
                    tracing::info!(target: "settings", "The settings file has changed and is in force.");
                    if !restarts.is_empty() {
                        let list = restarts.join(", ");
                        tracing::warn!(target: "settings", "These take effect at the next start: {list}.");
                    }
                    sender.send_replace(settings);
                }
                Look::Rejected(wrong) => {
                    tracing::warn!(target: "settings", "Not taken, the last good one stays in force: {wrong}.");
                }
            }
        }
    });
    Ok(receiver)
}
