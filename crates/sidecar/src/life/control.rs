//! Changes of the operators' configuration while the agent serves: they are staged, applied, watched, and kept or undone.
//!
//! Which change may follow which is decided by `magpieline_operator_config::versions`; here changes are written to the journal
//! and carried out.
//!
//! | file | what it does |
//! | --- | --- |
//! | `calls` | what operators may ask for |
//! | `socket` | the socket at which they ask |
//! | `recovery` | the versions that a start finds |

pub mod calls;
pub mod recovery;
pub mod socket;

use crate::life::durable_journal::DurableJournal;
use crate::life::{log_form, start};
use calls::Call;
use magpieline_dispatch::{unix, Changes, Exchange};
use magpieline_operator_config::versions::{
    ChangeError, ChangeEvent, Staging, Version, VersionStatus, Versions,
};
use magpieline_operator_config::watch::Decision;
use magpieline_operator_config::{Schema, Setting, Values};
use serde_json::{json, Value as Json};
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Mutex;

/// How often a watched change is looked at: a fraction of the block it compares by.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// A change that the watch could not write is tried again after this.
const RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Makes changes of the configuration, for operators and for the watch.
pub struct ConfigChanges {
    exchange: Rc<Exchange>,
    journal: Option<DurableJournal<ChangeEvent>>,
    /// The operators' file, read anew at SIGHUP.
    file: Option<PathBuf>,
    /// For what levels that come later draw.
    seed: u64,
    /// Why changes don't outlive the program, if they don't.
    not_durable: Option<String>,
    /// Held while a change is made: one at a time.
    change_lock: Mutex<()>,
    /// A version is being kept: until that is written nothing else may happen to it.
    is_keeping: Cell<bool>,
    /// The last event was not written in time and may be in the journal or not: the next one begins the journal anew.
    is_journal_uncertain: Cell<bool>,
}

impl ConfigChanges {
    pub fn new(
        exchange: Rc<Exchange>,
        journal: Option<DurableJournal<ChangeEvent>>,
        file: Option<PathBuf>,
        not_durable: Option<String>,
        seed: u64,
    ) -> ConfigChanges {
        ConfigChanges {
            exchange,
            journal,
            file,
            seed,
            not_durable,
            change_lock: Mutex::new(()),
            is_keeping: Cell::default(),
            is_journal_uncertain: Cell::default(),
        }
    }

    /// Writes an event to the journal, if there is one.
    async fn write(&self, event: &ChangeEvent) -> Result<(), String> {
        let Some(journal) = &self.journal else {
            return Ok(());
        };
        if self.is_journal_uncertain.get() {
            // As things stand, whatever of earlier steps has come through.
            if let Some(snapshot) = self.exchange.changes(|c| c.versions.snapshot()) {
                journal.replace(vec![snapshot]).await?;
            }
            self.is_journal_uncertain.set(false);
        }
        let written = journal.append(event).await;
        self.is_journal_uncertain.set(written.is_err());
        written
    }

    /// Writes an event and carries it out; one that can't be written is refused, and nothing has changed.
    async fn carry_out(&self, event: ChangeEvent) -> Result<(), String> {
        self.write(&event).await?;
        self.adopt(&event)?;
        if let (Some(journal), Some(snapshot)) = (
            &self.journal,
            self.exchange.changes(|c| c.versions.snapshot()),
        ) {
            if let Err(e) = journal.compact(vec![snapshot]).await {
                log::warn!("{e}"); // what was written stands; it is only long
            }
        }
        Ok(())
    }

    /// Puts an event in force, and hands what concerns all hits to those whom it concerns.
    fn adopt(&self, event: &ChangeEvent) -> Result<(), String> {
        let Some(values) = self.exchange.adopt(event)? else {
            return Ok(());
        };
        log_form::choose(&values);
        // What was tried before and fails now is logged; service goes on without.
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

    /// Checks that the values of a version can be put in force without a restart.
    fn check_applicable(&self, values: &Values) -> Result<(), String> {
        self.exchange.fits_here(values)?;
        check_applicable(
            values,
            &self.exchange.changes(Changes::values).unwrap_or_default(),
        )
    }

    /// Asks which event a change would be, as the versions stand.
    fn plan<T>(&self, ask: impl FnOnce(&Versions) -> Result<T, ChangeError>) -> Result<T, String> {
        let answer = self
            .exchange
            .changes(|c| ask(&c.versions).map_err(|refusal| refusal.to_string()));
        answer.unwrap_or_else(|| Err("changes are not enabled: no operators' file is named".into()))
    }

    /// Stages a file: its number, and whether it is new.
    pub async fn stage(&self, text: &str, who: &str, why: &str) -> Result<(u64, bool), String> {
        let _turn = self.change_lock.lock().await;
        match self.plan(|v| v.stage(text, who, why, unix()))? {
            Staging::Existing(number) => Ok((number, false)),
            Staging::New(event) => {
                let ChangeEvent::Staged {
                    version: Version { number, .. },
                } = &event
                else {
                    return Err("no version".into());
                };
                let number = *number;
                let values = Schema::bundled().check(text).unwrap_or_default(); // it was checked just now
                self.check_applicable(&values)?;
                self.carry_out(event).await?;
                log::info!(version = number, who = who, why = why; "config staged");
                Ok((number, true))
            }
        }
    }

    /// Applies a staged version; from then on it is watched.
    pub async fn apply(&self, number: u64, who: &str) -> Result<(), String> {
        let _turn = self.change_lock.lock().await;
        let event = self.plan(|v| v.apply(number, who, unix()))?;
        // All that may fail is tried before any hit can see it.
        let values = self
            .exchange
            .changes(|c| c.versions.values(number).cloned())
            .flatten()
            .unwrap_or_default();
        self.check_applicable(&values)?;
        start::looks(&values)?;
        self.carry_out(event).await?;
        log::info!(version = number, who = who; "config applied, watched");
        Ok(())
    }

    /// Keeps the version that is watched. Returns its number.
    pub async fn keep(&self, who: &str, why: &str) -> Result<u64, String> {
        let _turn = self.change_lock.lock().await;
        let event = self.plan(|v| v.keep(why, unix()))?;
        let ChangeEvent::Kept { number, .. } = event else {
            return Err("nothing to keep".into());
        };
        self.is_keeping.set(true);
        let kept = self.carry_out(event).await;
        self.is_keeping.set(false);
        kept?;
        log::info!(version = number, who = who, why = why; "config kept");
        Ok(number)
    }

    /// Undoes the version that is watched. Returns its number. This needs no disk: a restart would come to the same.
    pub async fn undo(&self, who: &str, why: &str) -> Result<u64, String> {
        let turn = if self.is_keeping.get() {
            Some(self.change_lock.lock().await)
        } else {
            None
        };
        let (event, number) = {
            let event = self.plan(|v| v.undo(who, why, unix()))?;
            let ChangeEvent::Undone { number, .. } = event else {
                return Err("nothing to undo".into());
            };
            self.adopt(&event)?;
            (event, number)
        };
        log::warn!(version = number, who = who, why = why; "config undone");
        // Other changes wait until it stands in the journal, or can't.
        let _turn = match turn {
            Some(turn) => turn,
            None => self.change_lock.lock().await,
        };
        if let Err(e) = self.write(&event).await {
            log::warn!("{e}; a restart undoes version {number} all the same");
        }
        Ok(number)
    }

    /// Takes the operators' file as it stands now, if it is another one.
    pub async fn reload_file(&self, who: &str) -> Result<(), String> {
        let Some(file) = &self.file else {
            return Ok(());
        };
        let unreadable = |e: io::Error| format!("{}: could not be read: {e}", file.display());
        let text = std::fs::read_to_string(file).map_err(unreadable)?;
        let (number, _) = self.stage(&text, who, "the file was read anew").await?;
        if self.exchange.changes(|c| c.versions.running()) == Some(number) {
            return Ok(());
        }
        self.apply(number, who).await
    }

    /// Looks at what is being watched, for as long as the program runs.
    pub async fn watch(self: Rc<Self>) -> Infallible {
        loop {
            tokio::time::sleep(WATCH_INTERVAL).await;
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
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }

    /// Returns which version runs, what is watched, and whether changes are durable.
    pub fn status(&self) -> Json {
        let status = self.exchange.changes(|c| {
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
        let mut status = status.unwrap_or_else(|| json!({}));
        status["level"] = self
            .exchange
            .levels()
            .map(|(stands, _)| json!(stands))
            .unwrap_or_default();
        status["journal"] = match &self.not_durable {
            None => "kept on disk".into(),
            Some(why) => format!("in memory only: {why}").into(),
        };
        status
    }

    /// Returns all versions that are remembered.
    fn history(&self) -> Json {
        let line = |(v, standing, hits): (&Version, &VersionStatus, u64)| {
            json!({"number": v.number, "standing": standing, "who": v.who, "why": v.why, "staged_at": v.at,
                "base": v.base, "hash": v.hash, "hits": hits})
        };
        self.exchange
            .changes(|c| c.versions.iter().map(line).collect::<Vec<Json>>())
            .into()
    }

    /// Answers one call of an operator.
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
}

/// Settings by the beginnings of their names that take effect at a start only.
const NEED_RESTART: [&str; 4] = ["control.", "resp.", "extproc.", "levels.journal"];

/// Checks that new values can be put in force beside those that run.
///
/// # Errors
///
/// What takes a restart, or can't be done at all.
pub fn check_applicable(values: &Values, running: &Values) -> Result<(), String> {
    let settings = |values: &Values, prefix: &str| -> Vec<(String, Setting)> {
        values
            .iter()
            .filter(|(name, _)| name.starts_with(prefix))
            .map(|(name, setting)| (name.clone(), setting.clone()))
            .collect()
    };
    for prefix in NEED_RESTART {
        if settings(values, prefix) != settings(running, prefix) {
            let name = prefix.trim_end_matches('.');
            return Err(format!(
                "{name}: expected as it runs, a change of it takes a restart"
            ));
        }
    }
    start::terms(&start::chosen(values)).map(drop)
}

#[cfg(test)]
mod tests;
