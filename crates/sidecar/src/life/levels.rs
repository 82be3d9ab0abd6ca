//! Levels of reduced service in the agent: what it reads off itself, and the journal from which a restart goes on.

use crate::life::durable_journal::DurableJournal;
use magpieline_degradation::{Change, Reading};
use magpieline_dispatch::{unix, Exchange};
use magpieline_operator_config::{text, Values};
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// How often readings are taken: well within the time after which one is unknown.
const READ: Duration = Duration::from_secs(1);
/// How often it is written that a level still holds: a fifth of the time for which a restart believes it.
const STANDS: Duration = Duration::from_secs(60);
/// Records on their way to the disk; a disk that is slower loses some, and the log says so.
const WAITING: usize = 64;
/// Clock ticks a second in `/proc`, the same on all Linux machines since it is part of that interface.
const TICKS: f64 = 100.0;

/// A record of the journal.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kept {
    Changed(Change),
    /// The level of the last change still holds, Unix time.
    Stands(f64),
}

/// The last change that is written, and how many seconds ago it was known to hold.
fn last(records: &[Kept], now: f64) -> Option<(&Change, f64)> {
    let mut last = None;
    for record in records {
        match (record, &mut last) {
            (Kept::Changed(change), _) => last = Some((change, change.at)),
            (Kept::Stands(at), Some((_, stood))) => *stood = at.max(*stood),
            (Kept::Stands(_), None) => {}
        }
    }
    last.map(|(change, stood)| (change, now - stood))
}

/// Takes the levels of the file, goes on where the journal ends, and keeps changes from then on. An error lists all that
/// makes no sense.
pub fn begin(exchange: &Rc<Exchange>, values: &Values, seed: u64) -> Result<(), String> {
    let (mut journal, mut records) = (None, Vec::new());
    if let Some(path) = text(values, "levels.journal") {
        match DurableJournal::<Kept>::open(path.as_ref()) {
            Ok((opened, found, damage)) => {
                if let Some(d) = damage {
                    log::warn!("levels: {d}");
                }
                (journal, records) = (Some(opened), found);
            }
            Err(e) => {
                log::warn!("levels: journal: {e}; a restart will begin with its own first seconds")
            }
        }
    }
    exchange.set_levels(values, seed, last(&records, unix()))?;
    if let Some(journal) = journal {
        let (sender, changes) = mpsc::channel(WAITING);
        exchange.keep_levels(Some(Box::new(move |change| {
            if sender.try_send(change.clone()).is_err() {
                log::warn!("levels: a change was not kept, the disk is slow");
            }
        })));
        actix_rt::spawn(keep(exchange.clone(), journal, changes));
    }
    let own = exchange.clone();
    actix_rt::spawn(async move {
        magpieline_dispatch::kept("levels", || own.clone().tend_levels()).await
    });
    Ok(())
}

/// Writes changes down, and from time to time that a level still holds.
async fn keep(
    exchange: Rc<Exchange>,
    journal: DurableJournal<Kept>,
    mut changes: mpsc::Receiver<Change>,
) {
    loop {
        let record = tokio::select! {
            change = changes.recv() => match change {
                Some(change) => Kept::Changed(Change { at: unix(), ..change }),
                None => return,
            },
            () = tokio::time::sleep(STANDS) => match exchange.level() {
                Some(level) if level != "full" => Kept::Stands(unix()),
                _ => continue,
            },
        };
        if let Err(e) = journal.append(&record).await {
            exchange.complain("levels", &e);
        }
        if let (Kept::Changed(_), Err(e)) = (&record, journal.compact(vec![record.clone()]).await) {
            exchange.complain("levels", &e);
        }
    }
}

/// What a part of the program's means is: all of a core, so many descriptors, so many bytes (0: not known).
pub struct Means {
    pub cores: f64,
    pub descriptors: f64,
    pub memory: f64,
}

/// Seconds of CPU that `/proc/self/stat` tells of.
fn cpu(stat: &str) -> Option<f64> {
    // The name may hold anything; what comes after its closing parenthesis does not.
    let mut fields = stat.rsplit_once(')')?.1.split_whitespace();
    let user: f64 = fields.nth(11)?.parse().ok()?;
    let system: f64 = fields.next()?.parse().ok()?;
    Some((user + system) / TICKS)
}

/// Bytes in memory that `/proc/self/status` tells of.
fn memory(status: &str) -> Option<f64> {
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    let kib: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(1024.0 * kib)
}

/// Reads the program off itself, where there are levels to read it for. What can't be read is left out, and its signal
/// unknown.
pub async fn read(exchange: Rc<Exchange>, means: Means) -> Infallible {
    let mut before = None;
    loop {
        tokio::time::sleep(READ).await;
        if exchange.level().is_none() {
            before = None;
            continue;
        }
        let used = std::fs::read_to_string("/proc/self/stat")
            .ok()
            .and_then(|s| cpu(&s));
        let at = std::time::Instant::now();
        if let (Some(used), Some((then, earlier))) = (used, before) {
            let passed = at.duration_since(then).as_secs_f64().max(1e-3);
            let earlier: f64 = earlier;
            exchange.reading(Reading::Cpu, (used - earlier) / passed / means.cores);
        }
        before = used.map(|used| (at, used));
        if let Ok(open) = std::fs::read_dir("/proc/self/fd") {
            exchange.reading(
                Reading::Descriptors,
                open.count() as f64 / means.descriptors,
            );
        }
        let held = std::fs::read_to_string("/proc/self/status")
            .ok()
            .and_then(|s| memory(&s));
        if let Some(held) = held.filter(|_| means.memory > 0.0) {
            exchange.reading(Reading::Memory, held / means.memory);
        }
    }
}

#[cfg(test)]
mod tests;
