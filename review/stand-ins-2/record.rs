//! What is seen in a case, a line each, with the seconds since it began.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The record of a case; its clones write to the same file.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(File::create(path)?)),
            started: Instant::now(),
        })
    }

    /// Returns the seconds since the case began.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self
            .file
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(file, "{:8.3} {}", self.now(), text.as_ref());
    }
}
