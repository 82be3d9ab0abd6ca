//! The versions that a start finds in the journal, or begins with.

use super::ConfigChanges;
use crate::life::durable_journal::DurableJournal;
use magpieline_dispatch::unix;
use magpieline_operator_config::versions::{text_hash, ChangeEvent, Staging, Versions};
use magpieline_operator_config::{text, Schema, Values};
use std::path::{Path, PathBuf};

/// Returns the socket and the journal that the control element names; none without a socket.
pub fn control_paths(values: &Values) -> Option<(PathBuf, Option<PathBuf>)> {
    let path = |name: &str| text(values, name).map(PathBuf::from);
    Some((path("control.socket")?, path("control.journal")))
}

/// The versions that a start finds, and their journal.
pub struct RecoveredVersions {
    /// All versions.
    pub versions: Versions,
    /// Where events are written.
    pub journal: Option<DurableJournal<ChangeEvent>>,
    /// Why changes don't outlive the program, if they don't.
    pub not_durable: Option<String>,
    /// Events that the start itself made, to be written.
    pub new_events: Vec<ChangeEvent>,
}

/// A journal that was opened, or why there is none.
struct OpenedJournal {
    journal: Option<DurableJournal<ChangeEvent>>,
    events: Vec<ChangeEvent>,
    not_durable: Option<String>,
}

/// Opens the journal. Service goes on without one: versions live in memory then.
fn open_journal(path: Option<&Path>) -> OpenedJournal {
    let without = |reason: String| OpenedJournal {
        journal: None,
        events: Vec::new(),
        not_durable: Some(reason),
    };
    let Some(path) = path else {
        return without("no journal is named".into());
    };
    match DurableJournal::open(path) {
        Ok((journal, events, damage)) => {
            if let Some(damage) = damage {
                log::warn!("journal: {damage}");
            }
            OpenedJournal {
                journal: Some(journal),
                events,
                not_durable: None,
            }
        }
        Err(error) => {
            log::warn!("journal: {error}; changes will not outlive this program");
            without(error)
        }
    }
}

/// Recovers the versions from the journal; where nothing was ever kept the file is the first version.
///
/// # Errors
///
/// If the file can't be the first version.
pub fn recover(text: &str, journal: Option<&Path>) -> Result<RecoveredVersions, String> {
    let OpenedJournal {
        journal,
        events,
        not_durable,
    } = open_journal(journal);
    let mut warnings = Vec::new();
    let mut versions = Versions::recover(Schema::bundled(), &events, &mut warnings);
    warnings
        .iter()
        .for_each(|warning| log::warn!("journal: {warning}"));
    let mut new_events = Vec::new();
    let hash = text_hash(text);
    if versions.kept() == 0 {
        new_events = keep_first_version(&mut versions, text)?;
    } else if !versions
        .iter()
        .any(|(v, ..)| v.number == versions.kept() && v.hash == hash)
    {
        log::warn!(
            "config: the file differs from version {}, which was kept and runs",
            versions.kept()
        );
    }
    Ok(RecoveredVersions {
        versions,
        journal,
        not_durable,
        new_events,
    })
}

/// Stages, applies and keeps the file as the first version. Returns the events.
fn keep_first_version(versions: &mut Versions, text: &str) -> Result<Vec<ChangeEvent>, String> {
    let mut events = Vec::new();
    let mut commit = |event: ChangeEvent, versions: &mut Versions| {
        let committed = versions.commit(&event).map_err(|r| r.to_string());
        events.push(event);
        committed
    };
    let staged = versions
        .stage(text, "start", "the file at the start", unix())
        .map_err(|r| r.to_string())?;
    let number = match staged {
        Staging::New(event) => {
            commit(event, versions)?;
            versions.iter().map(|(v, ..)| v.number).max().unwrap_or(0)
        }
        Staging::Existing(number) => number,
    };
    let applied = versions
        .apply(number, "start", unix())
        .map_err(|r| r.to_string())?;
    commit(applied, versions)?;
    let kept = versions
        .keep("the start stands on it", unix())
        .map_err(|r| r.to_string())?;
    commit(kept, versions)?;
    Ok(events)
}

/// Returns the values of the version that runs.
pub fn running_values(versions: &Versions) -> Values {
    versions
        .values(versions.running())
        .cloned()
        .unwrap_or_default()
}

/// Writes the events that a start made to the journal.
pub async fn write_events(changes: &ConfigChanges, events: &[ChangeEvent]) {
    for event in events {
        if let Err(e) = changes.write(event).await {
            log::warn!("{e}; the start goes on without");
            return;
        }
    }
}
