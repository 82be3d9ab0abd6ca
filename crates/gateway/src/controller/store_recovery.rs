//! What a controller does about a store that it can't use, while its process goes on: it waits for one that can't be had,
//! quarantines one that does not add up and goes on with an empty one, and leaves alone one that is too new. Ending the process
//! would be no remedy: it would be started again on the same store.

use super::raft_driver::{self, RaftDriver, RaftHandle, StopReason};
use crate::clock::{now, sleep, Micros};
use crate::{signals, view};
use magpieline_config::node_settings::NodeSettings;
use magpieline_raft_store::{quarantine, DiskDirectory, Remedy, StoreError};
use std::net::SocketAddrV4;
use std::path::Path;

/// How often a disk that refuses is tried again, and other controllers are asked for what can't be decoded here.
const RETRY_INTERVAL: Micros = 1_000_000;

/// What follows when the Raft driver has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveryStep {
    /// The process ends.
    Exit,
    /// The store is quarantined at once, and the node starts as a new incarnation.
    Quarantine,
    /// The same, but not before another controller leads that has applied the log up to this index: only that shows that the
    /// fault is here. Were it everywhere, all controllers would give up what nobody else holds.
    QuarantineOnceApplied(u64),
    /// This release can't read what a newer one wrote, and a new incarnation could not, either. The store stays as it is.
    Halt,
}

impl RecoveryStep {
    /// Decides what follows.
    pub fn after(reason: &StopReason) -> RecoveryStep {
        match reason {
            StopReason::Shutdown => RecoveryStep::Exit,
            StopReason::Store(error) => match error.remedy() {
                Remedy::Quarantine => RecoveryStep::Quarantine,
                Remedy::Halt | Remedy::Retry => RecoveryStep::Halt,
            },
            StopReason::Undecodable(_, error) if error.is_newer_format => RecoveryStep::Halt,
            StopReason::Undecodable(index, _) => RecoveryStep::QuarantineOnceApplied(*index),
        }
    }
}

/// Opens the store in `dir` as soon as that can be done. None if the platform ends the process before.
pub async fn open(
    settings: &NodeSettings,
    dir: &Path,
    incarnation: u64,
) -> Option<(RaftHandle, RaftDriver)> {
    let mut logged = None;
    loop {
        let error = match raft_driver::open(settings, dir, incarnation) {
            Ok(opened) => return Some(opened),
            Err(error) => error,
        };
        if logged != Some(error) {
            tracing::error!(target: "store", "{}: {error}.", dir.display());
            logged = Some(error);
        }
        match error.remedy() {
            Remedy::Quarantine if quarantine_store(dir).is_ok() => continue,
            Remedy::Quarantine | Remedy::Retry => {}
            Remedy::Halt => {
                signals::terminated().await;
                return None;
            }
        }
        tokio::select! {
            () = signals::terminated() => return None,
            () = sleep(RETRY_INTERVAL) => {}
        }
    }
}

/// Quarantines the store, and logs it.
fn quarantine_store(dir: &Path) -> Result<(), StoreError> {
    let result = quarantine(&DiskDirectory::at(dir));
    match result {
        Ok(()) => {
            tracing::error!(target: "store", "Store quarantined; this node joins with an empty one.")
        }
        Err(error) => {
            tracing::error!(target: "store", "The store could not be quarantined: {error}.")
        }
    }
    result
}

/// Recovers after the driver has stopped. Returns true once the node may start as a new incarnation, false if the platform ends
/// the process.
pub async fn recover(reason: &StopReason, dir: &Path, others: &[SocketAddrV4]) -> bool {
    match reason {
        StopReason::Shutdown => {}
        StopReason::Store(error) => tracing::error!(target: "store", "{}: {error}.", dir.display()),
        StopReason::Undecodable(index, error) => {
            tracing::error!(target: "raft", "Entry {index} can't be decoded: {error}.");
        }
    }
    let step = RecoveryStep::after(reason);
    tokio::select! {
        () = signals::terminated() => false,
        () = quarantine_when_allowed(step, dir, others) => true,
    }
}

async fn quarantine_when_allowed(step: RecoveryStep, dir: &Path, others: &[SocketAddrV4]) {
    loop {
        let is_allowed = match step {
            RecoveryStep::Exit | RecoveryStep::Halt => false,
            RecoveryStep::Quarantine => true,
            RecoveryStep::QuarantineOnceApplied(index) => has_leader_applied(others, index).await,
        };
        if is_allowed && quarantine_store(dir).is_ok() {
            return;
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Whether one of the other controllers leads and has applied the log up to `index`.
async fn has_leader_applied(others: &[SocketAddrV4], index: u64) -> bool {
    let asked_at = now();
    for other in others {
        let Ok(view) = view::fetch(*other).await else {
            continue;
        };
        let has_applied = view["log"]["applied"]
            .as_u64()
            .is_some_and(|applied| applied >= index);
        if view["leads"].as_bool() == Some(true) && has_applied {
            let elapsed_ms = (now() - asked_at) / 1000;
            tracing::info!(target: "store", "{other} has applied entry {index}, {elapsed_ms} ms.");
            return true;
        }
    }
    false
}
