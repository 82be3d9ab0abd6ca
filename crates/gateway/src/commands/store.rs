//! Shows what a controller's store holds: it is read, never written, while its owner runs or not.

use super::tables::{columns, join, pairs};
use super::{print, ExitStatus};
use crate::view::phase_name;
use jzon::JsonValue as Json;
use magpieline_config::durations;
use magpieline_control_plane::state_machine::{Command, ControlState};
use magpieline_raft::{Entry, HardState, NodeId, Payload, PersistentState, Snapshot};
use magpieline_raft_store::{inspect, is_in_use, Inspection, StoreError};
use std::path::Path;
use std::time::Duration;

/// A store that is written just then may look corrupt: it is read so often, this far apart.
const MAX_READS: u32 = 5;
const READ_INTERVAL: Duration = Duration::from_millis(60);

#[derive(gumdrop::Options)]
pub(super) struct Options {
    #[options(help = "prints this")]
    help: bool,
    #[options(
        free,
        required,
        help = "the store's folder: self.store_dir of the machine's settings"
    )]
    dir: String,
    #[options(help = "lists the log's entries, too")]
    entries: bool,
    #[options(help = "prints the newest configuration alone, as it was sent")]
    configuration: bool,
    #[options(help = "as JSON")]
    json: bool,
}

pub(super) fn run(options: &Options) -> Result<ExitStatus, String> {
    let (dir, path) = (&options.dir, Path::new(&options.dir));
    let in_use = is_in_use(path).unwrap_or(false);
    let found = match read(path, in_use) {
        Ok(Some(found)) => found,
        Ok(None) => {
            return Ok(fail(
                options,
                "found no store, expected a controller's store.redb",
            ))
        }
        Err(error) => return Ok(fail(options, &describe_error(error, in_use))),
    };
    let report = StoreReport::of(&found, in_use);
    if options.configuration {
        return Ok(match &report.latest().config {
            Some(config) => print(&config.text).into(),
            None => fail(
                options,
                "found no configuration, expected one that was sent",
            ),
        });
    }
    let text = match options.json {
        true => format!("{}\n", report.to_json(dir, options.entries).dump()),
        false => report.to_text(dir, options.entries),
    };
    Ok(print(&text).into())
}

fn fail(options: &Options, what: &str) -> ExitStatus {
    eprintln!("{}: {what}", options.dir);
    if options.json {
        print(&format!(
            "{}\n",
            jzon::object! { store: options.dir.as_str(), wrong: what }.dump()
        ));
    }
    ExitStatus::Failed
}

fn read(dir: &Path, in_use: bool) -> Result<Option<Inspection>, StoreError> {
    for _ in 1..MAX_READS {
        match inspect(dir) {
            Err(StoreError::Corrupt(_)) if in_use => std::thread::sleep(READ_INTERVAL),
            done => return done,
        }
    }
    inspect(dir)
}

fn describe_error(error: StoreError, in_use: bool) -> String {
    match error {
        StoreError::Corrupt(corruption) if in_use => {
            let (place, key) = (corruption.location, corruption.key);
            format!(
                "{place} {key}: found what does not add up while the store is in use, expected a moment \
                without a write: try again, or stop the machine's process first"
            )
        }
        StoreError::Corrupt(corruption) => {
            let (place, key, found, expected) = (
                corruption.location,
                corruption.key,
                corruption.found,
                corruption.expected,
            );
            format!(
                "the store is corrupt: {place} {key}: found {found}, expected {expected}. The machine sets it \
                aside when it starts and joins as an empty one; see `a sorting machine lost its disk` in \
                docs/gateway/operators.md"
            )
        }
        StoreError::NewerFormat { .. } => format!("a newer release wrote the store: {error}"),
        StoreError::InUse => "the store is in use".into(),
        StoreError::DiskFull => "the disk has no room".into(),
        StoreError::Io(kind) => format!("can't be read: {kind}"),
    }
}

/// Returns a command's name and what it is about.
fn describe_command(command: &Command) -> (&'static str, String) {
    match command {
        Command::ReplaceConfig(config) => (
            "replace",
            format!("edition {}, {} bytes", config.version, config.text.len()),
        ),
        Command::BeginRolloutV1 {
            service,
            target_version: to,
            within,
        }
        | Command::BeginRolloutV2 {
            service,
            target_version: to,
            within,
            ..
        }
        | Command::BeginRollout {
            service,
            target_version: to,
            within,
            ..
        } => (
            "begin",
            format!("{service} to {to} within {}", durations::format(*within)),
        ),
        Command::AdvanceRollout {
            service,
            id: order,
            phase,
        } => (
            "advance",
            format!("{service}, order {order}: {}", phase_name(*phase)),
        ),
        Command::SetVersion { service, version } => ("stands", format!("{service} {version}")),
        Command::RecordOrderAges { ages } => ("ages", format!("{} orders", ages.len())),
    }
}

/// An entry of the log, with the command that ends in it.
struct LogEntry {
    index: u64,
    term: u64,
    kind: &'static str,
    about: String,
    command: Option<Command>,
}

/// Decodes the log. A command in chunks belongs to its last entry, as it is applied there.
fn decode_entries(stored: &[Entry]) -> Vec<LogEntry> {
    let (mut chunks, mut term) = (Vec::new(), 0);
    let mut list = Vec::new();
    for entry in stored {
        if entry.term != term {
            chunks.clear(); // another leader's: what was begun before means nothing
        }
        term = entry.term;
        let mut command = None;
        let (kind, about) = match &entry.payload {
            Payload::Noop => ("noop", "a new leader's first".into()),
            Payload::Voters(members) => ("members", node_ids(&members.voters)),
            Payload::LeaveJoint => ("joint-end", "the list before counts no more".into()),
            Payload::Command { more: true, bytes } => {
                chunks.extend_from_slice(bytes);
                ("piece", format!("{} bytes", bytes.len()))
            }
            Payload::Command { more: false, bytes } => {
                chunks.extend_from_slice(bytes);
                command = Command::decode(&std::mem::take(&mut chunks)).ok();
                command.as_ref().map_or(
                    ("unreadable", format!("{} bytes", bytes.len())),
                    describe_command,
                )
            }
        };
        if !matches!(entry.payload, Payload::Command { .. }) {
            chunks.clear();
        }
        list.push(LogEntry {
            index: entry.index,
            term,
            kind,
            about,
            command,
        });
    }
    list
}

fn describe_snapshot(snapshot: &Snapshot) -> String {
    let is_readable = ControlState::decode(&snapshot.state).is_ok();
    let note = if is_readable { "" } else { ", unreadable" };
    let (index, term, bytes) = (snapshot.index, snapshot.term, snapshot.state.len());
    format!("up to entry {index} of term {term}, {bytes} bytes{note}")
}

fn node_ids(ids: &[NodeId]) -> String {
    let shown: Vec<String> = ids
        .iter()
        .map(|s| format!("{} (life {})", s.address, s.incarnation))
        .collect();
    join(&shown)
}

/// Applies what was committed again: the snapshot, then the log up to `to`.
fn replay(stored: &PersistentState, entries: &[LogEntry], to: u64) -> ControlState {
    let (mut state, mut at) = (ControlState::default(), 0);
    if let Some(snapshot) = &stored.snapshot {
        (state, at) = (
            ControlState::decode(&snapshot.state).unwrap_or_default(),
            snapshot.index,
        );
    }
    for place in entries.iter().filter(|p| p.index > at && p.index <= to) {
        if let Some(command) = &place.command {
            state.apply(place.index, command);
        }
    }
    state
}

/// What a store holds.
struct StoreReport<'a> {
    found: &'a Inspection,
    in_use: bool,
    entries: Vec<LogEntry>,
    /// Up to here all is in force for certain, as far as this store knows.
    certain: u64,
    last: u64,
    committed: ControlState,
    /// With what follows in the log, which may be in force or not, if that says more.
    uncommitted: Option<ControlState>,
}

impl StoreReport<'_> {
    fn of(found: &Inspection, in_use: bool) -> StoreReport<'_> {
        let stored = &found.stored;
        let entries = decode_entries(&stored.entries);
        let covered = stored.snapshot.as_ref().map_or(0, |s| s.index);
        let last = entries.last().map_or(covered, |p| p.index);
        let certain = stored
            .hard_state
            .map_or(0, |h| h.commit)
            .max(covered)
            .min(last);
        let committed = replay(stored, &entries, certain);
        let uncommitted = Some(replay(stored, &entries, last)).filter(|all| *all != committed);
        StoreReport {
            found,
            in_use,
            entries,
            certain,
            last,
            committed,
            uncommitted,
        }
    }

    fn latest(&self) -> &ControlState {
        self.uncommitted.as_ref().unwrap_or(&self.committed)
    }

    /// Counts the entries of each kind, the frequent ones first.
    fn kinds(&self) -> Vec<(&'static str, usize)> {
        let mut kinds: Vec<(&'static str, usize)> = Vec::new();
        for place in &self.entries {
            match kinds.iter_mut().find(|(kind, _)| *kind == place.kind) {
                Some((_, count)) => *count += 1,
                None => kinds.push((place.kind, 1)),
            }
        }
        kinds.sort_by_key(|(kind, count)| (std::cmp::Reverse(*count), *kind));
        kinds
    }

    fn to_text(&self, dir: &str, with_entries: bool) -> String {
        let stored = &self.found.stored;
        let mut text = format!(
            "{dir}: {} bytes{}\n",
            self.found.file_bytes,
            if self.in_use { ", in use" } else { "" }
        );
        let Some(hard) = stored.hard_state else {
            text.push_str("  empty: this machine has never taken part\n");
            return text;
        };
        text.push_str(&pairs(&self.summary(&hard), "  "));
        text.push_str(&format!(
            "in force, up to entry {}\n{}",
            self.certain,
            state_text(&self.committed)
        ));
        if let Some(uncommitted) = &self.uncommitted {
            let to = self.last;
            text.push_str(&format!(
                "if what follows up to entry {to} is in force, too\n{}",
                state_text(uncommitted)
            ));
        }
        if with_entries {
            text.push_str(&self.entry_table());
        }
        text
    }

    /// Returns names and values of what the store holds beside the state.
    fn summary(&self, hard_state: &HardState) -> [(&'static str, String); 8] {
        let log = match (self.entries.first(), self.entries.last()) {
            (Some(first), Some(last)) => format!("entries {} to {}", first.index, last.index),
            _ => "no entries".into(),
        };
        let kinds = self.kinds();
        let kinds: Vec<String> = kinds
            .iter()
            .map(|(kind, count)| format!("{count} {kind}"))
            .collect();
        let snapshot = self.found.stored.snapshot.as_ref();
        let vote = hard_state.vote;
        [
            ("term", hard_state.term.to_string()),
            ("vote", vote.map_or("none".into(), |vote| node_ids(&[vote]))),
            ("life", hard_state.incarnation.to_string()),
            ("voters", node_ids(&self.voters())),
            ("log", log),
            ("entries", join(&kinds)),
            (
                "snapshot",
                snapshot.map_or("none".into(), |snapshot| describe_snapshot(snapshot)),
            ),
            (
                "certain",
                format!("up to entry {} of {}", self.certain, self.last),
            ),
        ]
    }

    /// Formats the log's entries as a table.
    fn entry_table(&self) -> String {
        let header = ["entry", "term", "kind", "about"]
            .map(str::to_owned)
            .to_vec();
        let row = |place: &LogEntry| {
            vec![
                place.index.to_string(),
                place.term.to_string(),
                place.kind.to_owned(),
                place.about.clone(),
            ]
        };
        let rows: Vec<Vec<String>> = [header]
            .into_iter()
            .chain(self.entries.iter().map(row))
            .collect();
        columns(&rows, "  ")
    }

    /// Returns who votes by the newest list stored.
    fn voters(&self) -> Vec<NodeId> {
        let stored = &self.found.stored;
        let listed = stored.entries.iter().rev().find_map(|e| match &e.payload {
            Payload::Voters(members) => Some(members.voters.clone()),
            _ => None,
        });
        listed
            .or(stored.snapshot.as_ref().map(|s| s.voters.voters.clone()))
            .unwrap_or_default()
    }

    fn to_json(&self, dir: &str, with_entries: bool) -> Json {
        let stored = &self.found.stored;
        let mut kinds = Json::new_object();
        self.kinds()
            .into_iter()
            .for_each(|(kind, count)| drop(kinds.insert(kind, count)));
        let node_id =
            |s: &NodeId| jzon::object! { address: s.address.to_string(), life: s.incarnation };
        let mut shown = jzon::object! {
            store: dir, bytes: self.found.file_bytes, in_use: self.in_use, empty: stored.hard_state.is_none(),
            term: stored.hard_state.map(|h| h.term), life: stored.hard_state.map(|h| h.incarnation),
            vote: stored.hard_state.and_then(|h| h.vote).map_or(Json::Null, |v| node_id(&v)),
            voters: self.voters().iter().map(node_id).collect::<Vec<_>>(),
            log: jzon::object! { first: self.entries.first().map(|p| p.index),
                last: self.entries.last().map(|p| p.index), certain: self.certain, kinds: kinds },
            snapshot: stored.snapshot.as_ref().map_or(Json::Null, |s| jzon::object! {
                index: s.index, term: s.term, bytes: s.state.len(), readable: ControlState::decode(&s.state).is_ok() }),
            in_force: state_json(&self.committed),
            with_what_follows: self.uncommitted.as_ref().map(state_json)
        };
        if with_entries {
            let list: Vec<Json> = self
                .entries
                .iter()
                .map(
                    |p| jzon::object! { index: p.index, term: p.term, kind: p.kind, about: p.about.as_str() },
                )
                .collect();
            let _ = shown.insert("entries", list);
        }
        shown
    }
}

fn state_text(state: &ControlState) -> String {
    let edition = state.config.as_ref();
    let edition = edition.map_or("none".into(), |k| {
        format!("{}, {} bytes", k.version, k.text.len())
    });
    let mut text = pairs(&[("edition", edition)], "  ");
    let mut rows = vec![["service", "stands", "rollout", "barred"]
        .map(str::to_owned)
        .to_vec()];
    for (name, service) in &state.services {
        let rollout = service.rollout.as_ref().map_or("none".into(), |r| {
            format!(
                "to {}: {} (order {}, within {})",
                r.target_version,
                phase_name(r.phase),
                r.id,
                durations::format(r.within)
            )
        });
        let version = service
            .version
            .clone()
            .unwrap_or_else(|| "not known".into());
        rows.push(vec![
            name.clone(),
            version,
            rollout,
            join(&service.rejected_versions),
        ]);
    }
    if rows.len() > 1 {
        text.push_str(&columns(&rows, "  "));
    }
    text
}

fn state_json(state: &ControlState) -> Json {
    let mut services = Json::new_object();
    for (name, service) in &state.services {
        let rollout = service.rollout.as_ref().map_or(Json::Null, |r| {
            jzon::object! { to: r.target_version.as_str(), phase: phase_name(r.phase), order: r.id,
            within_ms: r.within / 1000 }
        });
        let shown = jzon::object! { version: service.version.as_deref(), barred: service.rejected_versions.clone(),
        rollout: rollout };
        let _ = services.insert(name, shown);
    }
    jzon::object! { edition: state.config.as_ref().map(|k| k.version), services: services }
}
