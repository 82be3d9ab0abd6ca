//! A journal on disk: of changes of the operators' file, of levels, of what callers were answered.
//!
//! A thread of its own writes and syncs, so that a slow disk holds up no request; a record that it does not take in time is
//! refused.

use magpieline_operator_config::journal::{Damage, Journal, JournalFile, OpenedJournal};
use serde::{de::DeserializeOwned, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::time::Duration;
use tokio::sync::oneshot;

/// How long a record may take to reach the disk: some hundred times what a sync takes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Records on their way to the thread: what comes during one sync is written with the next.
const MAX_WAITING_TASKS: usize = 1024;
/// A journal longer than this is replaced by a snapshot.
const MAX_BYTES: u64 = 8 << 20;

/// A journal in a file, locked for one writer.
struct DiskFile {
    path: PathBuf,
    file: File,
}

impl DiskFile {
    fn open(path: &Path) -> io::Result<DiskFile> {
        let file = OpenOptions::new()
            .read(true)
            .append(true)
            .create(true)
            .open(path)?;
        file.try_lock()
            .map_err(|e| io::Error::other(format!("another process writes it: {e}")))?;
        Ok(DiskFile {
            path: path.to_owned(),
            file,
        })
    }

    /// Syncs the folder, so that a name in it outlives a loss of power.
    fn sync_folder(&self) -> io::Result<()> {
        let folder = self.path.parent().filter(|p| !p.as_os_str().is_empty());
        File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
    }
}

impl JournalFile for DiskFile {
    fn read(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.file.seek(SeekFrom::Start(0))?;
        self.file.read_to_end(&mut bytes)?;
        Ok(bytes)
    }
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)
    }
    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }
    fn truncate(&mut self, len: u64) -> io::Result<()> {
        self.file.set_len(len)?;
        self.file.sync_data()
    }
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let beside = self.path.with_extension("new");
        let mut file = File::create(&beside)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        std::fs::rename(&beside, &self.path)?;
        self.sync_folder()?;
        *self = DiskFile::open(&self.path)?;
        Ok(())
    }
    fn keep_copy(&mut self) -> io::Result<()> {
        std::fs::copy(&self.path, self.path.with_extension("damaged")).map(drop)
    }
}

type Done = oneshot::Sender<Result<(), String>>;

enum Task<T> {
    Append(T, Done),
    Compact(Vec<T>, Done),
    Replace(Vec<T>, Done),
}

/// Carries out tasks until nobody can submit one any more. Callers may have given up waiting.
fn write_tasks<T: Serialize + DeserializeOwned + Clone>(
    mut journal: Journal<DiskFile>,
    waiting: &Receiver<Task<T>>,
) {
    let mut next = None;
    while let Some(task) = next.take().or_else(|| waiting.recv().ok()) {
        match task {
            Task::Append(record, done) => {
                // What waits by now goes with it, in its order, up to a task of another kind.
                let (mut records, mut callers) = (vec![record], vec![done]);
                while let Ok(task) = waiting.try_recv() {
                    let Task::Append(record, done) = task else {
                        next = Some(task);
                        break;
                    };
                    records.push(record);
                    callers.push(done);
                }
                let result = journal.append_all(&records).map_err(|e| e.to_string());
                for done in callers {
                    let _ = done.send(result.clone());
                }
            }
            Task::Compact(_, done) if journal.len() <= MAX_BYTES => drop(done.send(Ok(()))),
            Task::Replace(all, done) | Task::Compact(all, done) => {
                drop(done.send(journal.compact(&all).map_err(|e| e.to_string())));
            }
        }
    }
}

/// A journal that was opened, the records that it holds, and what of it is damaged.
pub type OpenedJournalOnDisk<T> = (DurableJournal<T>, Vec<T>, Option<Damage>);

/// Records of one kind, which outlive the program.
pub struct DurableJournal<T> {
    tasks: SyncSender<Task<T>>,
}

impl<T: Serialize + DeserializeOwned + Clone + Send + 'static> DurableJournal<T> {
    /// Opens a journal and locks it for this process.
    ///
    /// # Errors
    ///
    /// If it can't be read, or another process writes it.
    pub fn open(path: &Path) -> Result<OpenedJournalOnDisk<T>, String> {
        let at_path = |e: String| format!("{}: {e}", path.display());
        let disk = DiskFile::open(path).map_err(|e| at_path(e.to_string()))?;
        let OpenedJournal {
            journal,
            records,
            damage,
        } = Journal::open::<T>(disk).map_err(|error| at_path(error.to_string()))?;
        let (tasks, waiting) = sync_channel(MAX_WAITING_TASKS);
        let thread = std::thread::Builder::new()
            .name("journal".into())
            .spawn(move || write_tasks(journal, &waiting));
        thread.map_err(|e| at_path(e.to_string()))?;
        Ok((DurableJournal { tasks }, records, damage))
    }

    async fn submit(&self, task: impl FnOnce(Done) -> Task<T>) -> Result<(), String> {
        let (done, answer) = oneshot::channel();
        self.tasks
            .try_send(task(done))
            .map_err(|_| "journal: the disk has not taken earlier steps".to_string())?;
        match tokio::time::timeout(WRITE_TIMEOUT, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err("journal: its thread has ended".into()),
            Err(_) => Err(format!(
                "journal: the disk took more than {} s",
                WRITE_TIMEOUT.as_secs()
            )),
        }
    }

    /// Writes a record. Once this is done it outlives the program.
    ///
    /// # Errors
    ///
    /// If the disk refuses it or takes too long; it may be written later then.
    pub async fn append(&self, record: &T) -> Result<(), String> {
        let record = record.clone();
        self.submit(|done| Task::Append(record, done)).await
    }

    /// Replaces all records by a snapshot: after a record of which it is not known whether it was written.
    pub async fn replace(&self, snapshot: Vec<T>) -> Result<(), String> {
        self.submit(|done| Task::Replace(snapshot, done)).await
    }

    /// Replaces all records by a snapshot, if the journal has grown long.
    pub async fn compact(&self, snapshot: Vec<T>) -> Result<(), String> {
        self.submit(|done| Task::Compact(snapshot, done)).await
    }
}

#[cfg(test)]
mod tests;
