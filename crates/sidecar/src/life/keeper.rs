//! A journal on a real disk: of changes of the operators' file, of levels, of what callers were told. A thread of
//! its own writes and syncs, so that a slow disk holds up no hit; a step that it does not take in time is refused.

use magpieline_operator_config::journal::{Damage, Journal, JournalFile, OpenedJournal};
use serde::{de::DeserializeOwned, Serialize};
use std::fs::{File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, SyncSender};
use std::time::Duration;
use tokio::sync::oneshot;

/// How long a step may take to reach the disk: some hundred times what a sync takes.
const SLOW: Duration = Duration::from_secs(5);
/// Steps on their way to the thread: what comes while one sync takes is written with the next, as many as a burst of
/// payments brings in the slowest of syncs.
const WAITING: usize = 1024;
/// A journal longer than this begins anew with a snapshot.
const LONGEST: u64 = 8 << 20;

/// A journal in a file, locked for one writer.
struct OnDisk {
    path: PathBuf,
    file: File,
}

impl OnDisk {
    fn open(path: &Path) -> io::Result<OnDisk> {
        let file = OpenOptions::new()
            .read(true)
            .append(true)
            .create(true)
            .open(path)?;
        file.try_lock()
            .map_err(|e| io::Error::other(format!("another process writes it: {e}")))?;
        Ok(OnDisk {
            path: path.to_owned(),
            file,
        })
    }

    /// So that a name in its folder outlives a loss of power.
    fn sync_folder(&self) -> io::Result<()> {
        let folder = self.path.parent().filter(|p| !p.as_os_str().is_empty());
        File::open(folder.unwrap_or(Path::new(".")))?.sync_all()
    }
}

impl JournalFile for OnDisk {
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
        *self = OnDisk::open(&self.path)?;
        Ok(())
    }
    fn keep_copy(&mut self) -> io::Result<()> {
        std::fs::copy(&self.path, self.path.with_extension("damaged")).map(drop)
    }
}

type Done = oneshot::Sender<Result<(), String>>;

enum Job<T> {
    Add(T, Done),
    Compact(Vec<T>, Done),
    Anew(Vec<T>, Done),
}

/// A journal just opened: where steps go, those that it holds, and what of it is not believed.
pub type Found<T> = (Keeper<T>, Vec<T>, Option<Damage>);

/// Where steps go, records of one kind.
pub struct Keeper<T> {
    jobs: SyncSender<Job<T>>,
}

impl<T: Serialize + DeserializeOwned + Clone + Send + 'static> Keeper<T> {
    /// Opens a journal: its steps, and what of it is not believed.
    pub fn open(path: &Path) -> Result<Found<T>, String> {
        let told = |e: String| format!("{}: {e}", path.display());
        let disk = OnDisk::open(path).map_err(|e| told(e.to_string()))?;
        let OpenedJournal {
            mut journal,
            records,
            damage,
        } = Journal::open::<T>(disk).map_err(|error| told(error.to_string()))?;
        let (jobs, wanted) = sync_channel(WAITING);
        let write = move || {
            let mut next = None;
            while let Some(job) = next.take().or_else(|| wanted.recv().ok()) {
                // Whoever asked may have given up.
                match job {
                    Job::Add(step, done) => {
                        // What waits by now goes with it, in its order, up to one that is no plain step.
                        let (mut steps, mut dones) = (vec![step], vec![done]);
                        while let Ok(job) = wanted.try_recv() {
                            let Job::Add(step, done) = job else {
                                next = Some(job);
                                break;
                            };
                            steps.push(step);
                            dones.push(done);
                        }
                        let result = journal.append_all(&steps).map_err(|e| e.to_string());
                        dones
                            .into_iter()
                            .for_each(|done| drop(done.send(result.clone())));
                    }
                    Job::Compact(_, done) if journal.len() <= LONGEST => drop(done.send(Ok(()))),
                    Job::Anew(all, done) | Job::Compact(all, done) => {
                        drop(done.send(journal.compact(&all).map_err(|e| e.to_string())))
                    }
                }
            }
        };
        let thread = std::thread::Builder::new()
            .name("journal".into())
            .spawn(write);
        thread.map_err(|e| told(e.to_string()))?;
        Ok((Keeper { jobs }, records, damage))
    }

    async fn ask(&self, job: impl FnOnce(Done) -> Job<T>) -> Result<(), String> {
        let (done, answer) = oneshot::channel();
        self.jobs
            .try_send(job(done))
            .map_err(|_| "journal: the disk has not taken earlier steps".to_string())?;
        match tokio::time::timeout(SLOW, answer).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err("journal: its thread has ended".into()),
            Err(_) => Err(format!(
                "journal: the disk took more than {} s",
                SLOW.as_secs()
            )),
        }
    }

    /// Writes a step. Once this is over it outlives the program.
    pub async fn add(&self, step: &T) -> Result<(), String> {
        let step = step.clone();
        self.ask(|done| Job::Add(step, done)).await
    }

    /// Begins anew with a snapshot whatever its length: after a step whose fate is not known.
    pub async fn anew(&self, snapshot: Vec<T>) -> Result<(), String> {
        self.ask(|done| Job::Anew(snapshot, done)).await
    }

    /// Begins anew with a snapshot, if the journal has grown long.
    pub async fn compact(&self, snapshot: Vec<T>) -> Result<(), String> {
        self.ask(|done| Job::Compact(snapshot, done)).await
    }
}

#[cfg(test)]
mod tests;
