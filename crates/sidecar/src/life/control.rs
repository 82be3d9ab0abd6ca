//! Changes in service: staged, applied, watched, kept and undone, and the socket by which operators ask for it.
//! What may follow what is decided in `operator`; here it is written down, carried out and told.

use crate::life::keeper::Keeper;
use crate::life::{log_form, start};
use magpieline_dispatch::{unix, Changes, Exchange};
use magpieline_operator_config::versions::{
    text_hash, ChangeError, ChangeEvent, Staging, Version, VersionStatus, Versions,
};
use magpieline_operator_config::watch::Decision;
use magpieline_operator_config::{text, Schema, Setting, Values};
use serde::{Deserialize, Serialize};
use serde_json::{json, Value as Json};
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{Mutex, Semaphore};

/// How often a watch is looked at: a fraction of the block it compares by.
const LOOK: Duration = Duration::from_millis(100);
/// A step of a watch that could not be written is tried again after this time.
const AGAIN: Duration = Duration::from_secs(5);
/// Operators at the socket at once; more wait.
const AT_ONCE: usize = 8;
/// The longest request: a file of the longest kind, as JSON.
const REQUEST: u64 = 1 << 20;
/// How long a request may take to come.
const PATIENCE: Duration = Duration::from_secs(10);

/// What an operator asks for, one line of JSON each.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "call")]
pub enum Call {
    Stage {
        text: String,
        why: String,
    },
    Apply {
        number: u64,
    },
    Keep {
        why: String,
    },
    Undo {
        why: String,
    },
    Status,
    History,
    /// The text of a version.
    Text {
        number: u64,
    },
    /// How the levels stand.
    Levels,
    HoldLevel {
        level: String,
        seconds: f64,
    },
    ReleaseLevel,
}

/// Where changes are made.
pub struct Hands {
    exchange: Rc<Exchange>,
    keeper: Option<Keeper<ChangeEvent>>,
    /// The operators' file, read anew at SIGHUP.
    file: Option<PathBuf>,
    /// For what levels that come later draw.
    seed: u64,
    /// Why changes don't outlive the program, if they don't.
    unkept: Option<String>,
    /// One change at a time.
    turn: Mutex<()>,
    /// A version is being kept: until that is written nothing else may happen to it.
    keeping: Cell<bool>,
    /// A step was not written in time and may be there or not: the next one begins the journal anew.
    unsure: Cell<bool>,
}

impl Hands {
    pub fn new(
        exchange: Rc<Exchange>,
        keeper: Option<Keeper<ChangeEvent>>,
        file: Option<PathBuf>,
        unkept: Option<String>,
        seed: u64,
    ) -> Hands {
        let (keeping, unsure) = Default::default();
        Hands {
            exchange,
            keeper,
            file,
            seed,
            unkept,
            turn: Mutex::new(()),
            keeping,
            unsure,
        }
    }

    async fn write(&self, step: &ChangeEvent) -> Result<(), String> {
        let Some(keeper) = &self.keeper else {
            return Ok(());
        };
        if self.unsure.get() {
            // As things stand, whatever of earlier steps has come through.
            if let Some(snapshot) = self.exchange.changes(|c| c.versions.snapshot()) {
                keeper.anew(vec![snapshot]).await?;
            }
            self.unsure.set(false);
        }
        let written = keeper.add(step).await;
        self.unsure.set(written.is_err());
        written
    }

    /// Writes a step and carries it out; one that can't be written is refused, and nothing has changed.
    async fn carry_out(&self, step: ChangeEvent) -> Result<(), String> {
        self.write(&step).await?;
        self.adopt(&step)?;
        if let (Some(keeper), Some(snapshot)) = (
            &self.keeper,
            self.exchange.changes(|c| c.versions.snapshot()),
        ) {
            if let Err(e) = keeper.compact(vec![snapshot]).await {
                log::warn!("{e}"); // what was written stands; it is only long
            }
        }
        Ok(())
    }

    /// A step holds from here on; what concerns all hits alike is handed to those whom it concerns.
    fn adopt(&self, step: &ChangeEvent) -> Result<(), String> {
        let Some(values) = self.exchange.adopt(step)? else {
            return Ok(());
        };
        log_form::choose(&values);
        // What was tried before the step and fails now is told; service goes on without.
        let looks = start::looks(&values).unwrap_or_else(|e| {
            log::warn!("{e}");
            None
        });
        let chosen = start::chosen(&values);
        self.exchange.choose(
            start::terms(&chosen).unwrap_or_default(),
            looks,
            chosen.clients,
        );
        if let Err(e) = self.exchange.set_levels(&values, self.seed, None) {
            log::warn!("{e}"); // it was good when it was staged
        }
        Ok(())
    }

    /// Whether what a version says can be done here.
    fn can_be(&self, values: &Values) -> Result<(), String> {
        self.exchange.fits_here(values)?;
        can_be(
            values,
            &self.exchange.changes(Changes::values).unwrap_or_default(),
        )
    }

    fn allowed<T>(
        &self,
        ask: impl FnOnce(&Versions) -> Result<T, ChangeError>,
    ) -> Result<T, String> {
        let answer = self
            .exchange
            .changes(|c| ask(&c.versions).map_err(|refusal| refusal.to_string()));
        answer.unwrap_or_else(|| Err("changes are not enabled: no operators' file is named".into()))
    }

    /// Stages a file: its number, and whether it is new.
    pub async fn stage(&self, text: &str, who: &str, why: &str) -> Result<(u64, bool), String> {
        let _turn = self.turn.lock().await;
        match self.allowed(|v| v.stage(text, who, why, unix()))? {
            Staging::Existing(number) => Ok((number, false)),
            Staging::New(step) => {
                let ChangeEvent::Staged {
                    version: Version { number, .. },
                } = &step
                else {
                    return Err("no version".into());
                };
                let number = *number;
                let values = Schema::bundled().check(text).unwrap_or_default(); // it was checked just now
                self.can_be(&values)?;
                self.carry_out(step).await?;
                log::info!(version = number, who = who, why = why; "config staged");
                Ok((number, true))
            }
        }
    }

    pub async fn apply(&self, number: u64, who: &str) -> Result<(), String> {
        let _turn = self.turn.lock().await;
        let step = self.allowed(|v| v.apply(number, who, unix()))?;
        // All that may fail is tried before any hit can see it.
        let values = self
            .exchange
            .changes(|c| c.versions.values(number).cloned())
            .flatten()
            .unwrap_or_default();
        self.can_be(&values)?;
        start::looks(&values)?;
        self.carry_out(step).await?;
        log::info!(version = number, who = who; "config applied, watched");
        Ok(())
    }

    pub async fn keep(&self, who: &str, why: &str) -> Result<u64, String> {
        let _turn = self.turn.lock().await;
        let step = self.allowed(|v| v.keep(why, unix()))?;
        let ChangeEvent::Kept { number, .. } = step else {
            return Err("nothing to keep".into());
        };
        self.keeping.set(true);
        let kept = self.carry_out(step).await;
        self.keeping.set(false);
        kept?;
        log::info!(version = number, who = who, why = why; "config kept");
        Ok(number)
    }

    /// Undoes what is being watched. This needs no disk: a restart would come to the same.
    pub async fn undo(&self, who: &str, why: &str) -> Result<u64, String> {
        let turn = if self.keeping.get() {
            Some(self.turn.lock().await)
        } else {
            None
        };
        let (step, number) = {
            let step = self.allowed(|v| v.undo(who, why, unix()))?;
            let ChangeEvent::Undone { number, .. } = step else {
                return Err("nothing to undo".into());
            };
            self.adopt(&step)?;
            (step, number)
        };
        log::warn!(version = number, who = who, why = why; "config undone");
        // Other changes wait until it stands in the journal, or can't.
        let _turn = match turn {
            Some(turn) => turn,
            None => self.turn.lock().await,
        };
        if let Err(e) = self.write(&step).await {
            log::warn!("{e}; a restart undoes version {number} all the same");
        }
        Ok(number)
    }

    /// Takes the operators' file as it stands now, if it is another one.
    pub async fn take_file(&self, who: &str) -> Result<(), String> {
        let Some(file) = &self.file else {
            return Ok(());
        };
        let told = |e: io::Error| format!("{}: could not be read: {e}", file.display());
        let text = std::fs::read_to_string(file).map_err(told)?;
        let (number, _) = self.stage(&text, who, "the file was read anew").await?;
        if self.exchange.changes(|c| c.versions.running()) == Some(number) {
            return Ok(());
        }
        self.apply(number, who).await
    }

    /// Looks at what is being watched, for as long as the program runs.
    pub async fn watch(self: Rc<Self>) -> Infallible {
        loop {
            tokio::time::sleep(LOOK).await;
            let result = match self.exchange.look_at_change() {
                Decision::Continue => continue,
                Decision::Keep => self.keep("watch", "no harm was seen").await.map(drop),
                Decision::Undo { group } => {
                    let of = group.map_or("all hits".into(), |g| self.exchange.group_name(g));
                    self.undo("watch", &format!("it spoils {of}"))
                        .await
                        .map(drop)
                }
            };
            if let Err(e) = result {
                self.exchange.complain("watch", &e);
                tokio::time::sleep(AGAIN).await;
            }
        }
    }

    // What stands.

    pub fn status(&self) -> Json {
        let told = self.exchange.changes(|c| {
            let v = &c.versions;
            let running = v.iter().find(|(version, ..)| version.number == v.running());
            let running = running.map(|(version, standing, hits)| {
                json!({"number": version.number, "hash": version.hash, "who": version.who, "why": version.why,
                    "staged_at": version.at, "standing": standing, "hits": hits})
            });
            let watch = c.watch.as_ref().map(|w| {
                let evidence = w.evidence();
                json!({"doubt": w.in_doubt(), "evidence": evidence.strength, "old": evidence.previous, "new": evidence.new})
            });
            let pinned = v.iter().filter(|(.., hits)| *hits > 0);
            let pinned: Vec<Json> =
                pinned.map(|(version, _, hits)| json!({"number": version.number, "hits": hits})).collect();
            json!({"running": running, "kept": v.kept(), "watch": watch, "pinned": pinned})
        });
        let mut told = told.unwrap_or_else(|| json!({}));
        told["level"] = self
            .exchange
            .levels()
            .map(|(stands, _)| json!(stands))
            .unwrap_or_default();
        told["journal"] = match &self.unkept {
            None => "kept on disk".into(),
            Some(why) => format!("in memory only: {why}").into(),
        };
        told
    }

    fn history(&self) -> Json {
        let line = |(v, standing, hits): (&Version, &VersionStatus, u64)| {
            json!({"number": v.number, "standing": standing, "who": v.who, "why": v.why, "staged_at": v.at,
                "base": v.base, "hash": v.hash, "hits": hits})
        };
        self.exchange
            .changes(|c| c.versions.iter().map(line).collect::<Vec<Json>>())
            .into()
    }

    async fn answer(&self, call: Call, who: &str) -> Result<Json, String> {
        match call {
            Call::Stage { text, why } => {
                let (number, new) = self.stage(&text, who, &why).await?;
                Ok(json!({"number": number, "new": new}))
            }
            Call::Apply { number } => self
                .apply(number, who)
                .await
                .map(|()| json!({"number": number})),
            Call::Keep { why } => self
                .keep(who, &why)
                .await
                .map(|number| json!({"number": number})),
            Call::Undo { why } => self
                .undo(who, &why)
                .await
                .map(|number| json!({"number": number})),
            Call::Status => Ok(self.status()),
            Call::History => Ok(self.history()),
            Call::Levels => {
                let (stands, changes) = self
                    .exchange
                    .levels()
                    .ok_or("levels: the operators' file names none")?;
                Ok(json!({"stands": stands, "changes": changes}))
            }
            Call::HoldLevel { level, seconds } => {
                self.exchange.hold_level(&level, seconds, who)?;
                Ok(json!({"level": level, "seconds": seconds}))
            }
            Call::ReleaseLevel => self.exchange.release_level(who).map(|()| json!({})),
            Call::Text { number } => {
                let text = self.exchange.changes(|c| {
                    c.versions
                        .iter()
                        .find(|(v, ..)| v.number == number)
                        .map(|(v, ..)| v.text.clone())
                });
                let text = text
                    .flatten()
                    .ok_or_else(|| format!("version {number}: expected one remembered"))?;
                Ok(json!({"number": number, "text": text}))
            }
        }
    }

    /// One operator: a line in, a line out, as often as they like.
    async fn visit(&self, stream: UnixStream, own: u32) -> io::Result<()> {
        let peer = stream.peer_cred()?.uid();
        let (read, mut write) = stream.into_split();
        if peer != own && peer != 0 {
            return write
                .write_all(b"{\"refused\":\"only for the agent's own user\"}\n")
                .await;
        }
        let who = format!("uid {peer}");
        let mut read = BufReader::new(read);
        loop {
            let mut line = String::new();
            let mut one = (&mut read).take(REQUEST);
            let came = tokio::time::timeout(PATIENCE, one.read_line(&mut line)).await;
            match came {
                Ok(Ok(0)) | Err(_) => return Ok(()),
                Ok(Ok(_)) => {}
                Ok(Err(e)) => return Err(e),
            }
            let result = match serde_json::from_str::<Call>(&line) {
                Ok(call) => self.answer(call, &who).await,
                Err(e) => Err(format!("expected a call: {e}")),
            };
            let answer = match result {
                Ok(ok) => json!({ "ok": ok }),
                Err(refused) => json!({ "refused": refused }),
            };
            write.write_all(format!("{answer}\n").as_bytes()).await?;
        }
    }
}

/// Listens on a socket that is this user's alone. One that a dead program left is taken over.
pub fn listen(path: &Path) -> Result<UnixListener, String> {
    let told = |e: io::Error| format!("control: {}: {e}", path.display());
    if std::os::unix::net::UnixStream::connect(path).is_ok() {
        return Err(told(io::Error::other("another program listens there")));
    }
    let is_socket = std::fs::symlink_metadata(path).is_ok_and(|m| {
        use std::os::unix::fs::FileTypeExt;
        m.file_type().is_socket()
    });
    if is_socket {
        std::fs::remove_file(path).map_err(told)?;
    }
    let listener = UnixListener::bind(path).map_err(told)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(told)?;
    Ok(listener)
}

/// Serves operators for as long as the program runs.
pub async fn serve(hands: Rc<Hands>, listener: UnixListener) -> Infallible {
    let own = std::fs::metadata("/proc/self").map_or(u32::MAX, |m| m.uid());
    let room = Arc::new(Semaphore::new(AT_ONCE));
    loop {
        let Ok(place) = room.clone().acquire_owned().await else {
            std::future::pending().await
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let hands = hands.clone();
                actix_rt::spawn(async move {
                    if let Err(e) = hands.visit(stream, own).await {
                        log::debug!("control: {e}");
                    }
                    drop(place);
                });
            }
            Err(e) => {
                hands.exchange.complain("control", &e.to_string());
                tokio::time::sleep(LOOK).await;
            }
        }
    }
}

/// What the control element says: the socket and the journal.
pub fn places(values: &Values) -> Option<(PathBuf, Option<PathBuf>)> {
    let path = |name: &str| text(values, name).map(PathBuf::from);
    Some((path("control.socket")?, path("control.journal")))
}

/// Versions as a start finds them, and where steps go.
pub struct Begun {
    pub versions: Versions,
    pub keeper: Option<Keeper<ChangeEvent>>,
    /// Why changes don't outlive the program, if they don't.
    pub unkept: Option<String>,
    /// Steps that the start itself made, to be written.
    pub fresh: Vec<ChangeEvent>,
}

/// From the journal, else begun with the file.
pub fn begin(text: &str, journal: Option<&Path>) -> Result<Begun, String> {
    let (mut keeper, mut steps, mut unkept) =
        (None, Vec::new(), Some("no journal is named".to_string()));
    if let Some(path) = journal {
        match Keeper::open(path) {
            Ok((opened, found, damage)) => {
                if let Some(d) = damage {
                    log::warn!("journal: {d}");
                }
                (keeper, steps, unkept) = (Some(opened), found, None);
            }
            // Service goes on without: versions live in memory.
            Err(e) => {
                log::warn!("journal: {e}; changes will not outlive this program");
                unkept = Some(e);
            }
        }
    }
    let mut told = Vec::new();
    let mut versions = Versions::recover(Schema::bundled(), &steps, &mut told);
    told.iter().for_each(|t| log::warn!("journal: {t}"));
    let mut fresh = Vec::new();
    let hash = text_hash(text);
    if versions.kept() == 0 {
        // Nothing was ever kept: the file is the first version, kept since the start stands on it.
        let staged = versions
            .stage(text, "start", "the file at the start", unix())
            .map_err(|r| r.to_string())?;
        let mut take = |step: ChangeEvent, versions: &mut Versions| {
            let done = versions.commit(&step).map_err(|r| r.to_string());
            fresh.push(step);
            done
        };
        let number = match staged {
            Staging::New(step) => {
                take(step, &mut versions)?;
                versions.iter().map(|(v, ..)| v.number).max().unwrap_or(0)
            }
            Staging::Existing(number) => number,
        };
        let step = versions
            .apply(number, "start", unix())
            .map_err(|r| r.to_string())?;
        take(step, &mut versions)?;
        let step = versions
            .keep("the start stands on it", unix())
            .map_err(|r| r.to_string())?;
        take(step, &mut versions)?;
    } else if !versions
        .iter()
        .any(|(v, ..)| v.number == versions.kept() && v.hash == hash)
    {
        log::warn!(
            "config: the file differs from version {}, which was kept and runs",
            versions.kept()
        );
    }
    Ok(Begun {
        versions,
        keeper,
        unkept,
        fresh,
    })
}

/// The values that a start goes by.
pub fn running(versions: &Versions) -> Values {
    versions
        .values(versions.running())
        .cloned()
        .unwrap_or_default()
}

/// Tells a start's steps to the journal.
pub async fn write_start(hands: &Hands, fresh: &[ChangeEvent]) {
    for step in fresh {
        if let Err(e) = hands.write(step).await {
            log::warn!("{e}; the start goes on without");
            return;
        }
    }
}

/// Whether what the new values say can be done at all; names what takes a restart.
pub fn can_be(values: &Values, runs: &Values) -> Result<(), String> {
    let of = |v: &Values, what: &str| -> Vec<(String, Setting)> {
        v.iter()
            .filter(|(n, _)| n.starts_with(what))
            .map(|(n, s)| (n.clone(), s.clone()))
            .collect()
    };
    for what in ["control.", "resp.", "extproc.", "levels.journal"] {
        if of(values, what) != of(runs, what) {
            let what = what.trim_end_matches('.');
            return Err(format!(
                "{what}: expected as it runs, a change of it takes a restart"
            ));
        }
    }
    start::terms(&start::chosen(values)).map(drop)
}

#[cfg(test)]
mod tests;
