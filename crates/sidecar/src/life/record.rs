//! The record of looks at releases: a file of JSON lines, written by a thread of its own
//! so that a slow disk holds up no hit.

use magpieline_dispatch::{Looked, Looks};
use std::io::Write;
use std::path::PathBuf;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};

/// Lines on their way to the disk; a disk that is slower loses some.
const WAITING: usize = 64;
/// The longest a record grows before it begins anew, with what was there put aside: some hours of releases.
const LONGEST: u64 = 64 << 20;

pub struct Record {
    lines: SyncSender<String>,
}

impl Record {
    /// Opens a record to add to; an error says why it can't be.
    pub fn open(path: &PathBuf) -> Result<Record, String> {
        let open = || {
            std::fs::OpenOptions::new()
                .create(true)
                .append(true)
                .open(path)
        };
        let told = |e: std::io::Error| format!("verdict: record: {}: {e}", path.display());
        let file = open().map_err(told)?;
        let size = file.metadata().map_err(told)?.len();
        let (lines, wanted) = sync_channel(WAITING);
        let path = path.clone();
        let write = std::thread::Builder::new().name("record".into());
        write
            .spawn(move || keep(file, size, &path, &wanted))
            .map_err(told)?;
        Ok(Record { lines })
    }

    /// Opens a record for looks to go to.
    pub fn looks(path: &PathBuf) -> Result<Looks, String> {
        let record = Record::open(path)?;
        Ok(Box::new(move |looked| record.add(looked)))
    }

    /// Adds a look. If the disk does not follow it is left out, and the log says so.
    pub fn add(&self, looked: &Looked) {
        let line = serde_json::to_string(looked).unwrap_or_default();
        if self.lines.try_send(line).is_err() {
            log::debug!(
                "record: a look at build {} was left out, the disk is slow",
                looked.build
            );
        }
    }
}

/// Writes lines until the program ends. A disk that refuses is told of once, until it takes a line again.
fn keep(mut file: std::fs::File, mut size: u64, path: &PathBuf, lines: &Receiver<String>) {
    let mut failing = false;
    while let Ok(line) = lines.recv() {
        if size > LONGEST {
            let aside = path.with_extension("old");
            let anew = std::fs::rename(path, &aside).and_then(|()| {
                std::fs::OpenOptions::new()
                    .create(true)
                    .append(true)
                    .open(path)
            });
            match anew {
                Ok(new) => (file, size) = (new, 0),
                Err(e) => log::warn!("record: {}: could not begin anew: {e}", path.display()),
            }
        }
        let written = file.write_all(format!("{line}\n").as_bytes());
        match written {
            Ok(()) => (size, failing) = (size + line.len() as u64 + 1, false),
            Err(e) if !failing => {
                log::warn!("record: {}: {e}", path.display());
                failing = true;
            }
            Err(_) => {}
        }
    }
}
