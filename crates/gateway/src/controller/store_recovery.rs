//! A sorting machine's lives, one after the other in one process: a store that can't be had is waited for, one that does
//! not add up is set aside and the machine goes on as an empty one, and one that is too new is left alone. Ending the
//! process would be no remedy: it would be started again on the same store.

use super::raft_driver::{Council, Driver, Stop};
use crate::clock::{now, span, Micros};
use crate::{signals, view};
use magpieline_config::node_settings::Machine;
use magpieline_raft_store::{quarantine, DiskDirectory, Remedy, StoreError};
use std::net::SocketAddrV4;
use std::path::Path;

/// How often a disk that refuses is tried again, and others are asked for what can't be read here.
const AGAIN: Micros = 1_000_000;

/// What follows when the agreement has stopped on this machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It is over.
    Leave,
    /// The store is set aside at once, and a new life begins.
    SetAside,
    /// The same, but not before another machine leads that has applied the log up to there: only that shows that the fault
    /// lies here. Were it everywhere, all machines would give up what nobody else holds.
    SetAsideOnceApplied(u64),
    /// This release can't read what a newer one wrote; a new life would not, either. The store stays as it is.
    Halt,
}

impl Next {
    pub fn after(stop: &Stop) -> Next {
        match stop {
            Stop::Over => Next::Leave,
            Stop::Store(error) => match error.remedy() {
                Remedy::Quarantine => Next::SetAside,
                Remedy::Halt | Remedy::Retry => Next::Halt,
            },
            Stop::Unreadable(_, wrong) if wrong.newer => Next::Halt,
            Stop::Unreadable(index, _) => Next::SetAsideOnceApplied(*index),
        }
    }
}

/// Opens the store as soon as that can be done; none if the platform ends the process before.
pub async fn open(machine: &Machine, store: &Path, life: u64) -> Option<(Council, Driver)> {
    let mut told = None;
    loop {
        let error = match Council::open(machine, store, life) {
            Ok(opened) => return Some(opened),
            Err(error) => error,
        };
        if told != Some(error) {
            tracing::error!(target: "store", "{}: {error}.", store.display());
            told = Some(error);
        }
        match error.remedy() {
            Remedy::Quarantine if put_aside(store).is_ok() => continue,
            Remedy::Quarantine | Remedy::Retry => {}
            Remedy::Halt => {
                signals::terminated().await;
                return None;
            }
        }
        tokio::select! {
            () = signals::terminated() => return None,
            () = tokio::time::sleep(span(AGAIN)) => {}
        }
    }
}

/// What can't be read is out of the way when this returns well, whatever becomes of the power.
fn put_aside(store: &Path) -> Result<(), StoreError> {
    let done = quarantine(&DiskDirectory::at(store));
    match done {
        Ok(()) => {
            tracing::error!(target: "store", "Set aside; this machine joins as an empty one.")
        }
        Err(error) => tracing::error!(target: "store", "It could not be set aside: {error}."),
    }
    done
}

/// After a stop: whether a new life may begin. False: the platform ends the process.
pub async fn begin_anew(stop: &Stop, store: &Path, others: &[SocketAddrV4]) -> bool {
    match stop {
        Stop::Over => {}
        Stop::Store(error) => tracing::error!(target: "store", "{}: {error}.", store.display()),
        Stop::Unreadable(index, wrong) => {
            tracing::error!(target: "council", "Entry {index} stops this machine: {wrong}.")
        }
    }
    let next = Next::after(stop);
    let mending = async {
        loop {
            let may = match next {
                Next::Leave | Next::Halt => false,
                Next::SetAside => true,
                Next::SetAsideOnceApplied(index) => somebody_applied(others, index).await,
            };
            if may && put_aside(store).is_ok() {
                return;
            }
            tokio::time::sleep(span(AGAIN)).await;
        }
    };
    tokio::select! {
        () = signals::terminated() => false,
        () = mending => true,
    }
}

/// Whether one of the others leads and has applied the log up to there.
async fn somebody_applied(others: &[SocketAddrV4], index: u64) -> bool {
    let asked_at = now();
    for other in others {
        let Ok(view) = view::ask(*other).await else {
            continue;
        };
        let applied = view["log"]["applied"]
            .as_u64()
            .is_some_and(|applied| applied >= index);
        if view["leads"].as_bool() == Some(true) && applied {
            tracing::info!(target: "store", "{other} has applied entry {index}, {} ms.", (now() - asked_at) / 1000);
            return true;
        }
    }
    false
}
