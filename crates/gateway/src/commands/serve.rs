//! The commands that serve: a role on one thread, as machines have a fifth of a core.

use super::{wait_for, End};
use crate::settings::{self, SettingsWatch, Watcher};
use crate::{clock, controller, logging, proxy};
use std::future::Future;
use std::path::PathBuf;
use std::pin::Pin;

/// The variable that names the settings file, and where it lies otherwise.
const SETTINGS: (&str, &str) = ("MAGPIELINE_CONFIG", "/etc/magpieline/node.toml");

#[derive(gumdrop::Options)]
pub struct Options {
    #[options(help = "prints this")]
    help: bool,
    #[options(
        help = "the settings file; MAGPIELINE_CONFIG names it otherwise",
        meta = "FILE"
    )]
    settings: Option<String>,
    #[options(
        help = "which log lines: error, warn, info, debug, trace, or by part such as info,session=debug",
        default = "info",
        meta = "LEVEL"
    )]
    log: String,
    #[options(help = "log lines as JSON")]
    json: bool,
}

type Running = Pin<Box<dyn Future<Output = std::io::Result<()>>>>;

pub fn proxy(options: Options) -> Result<End, String> {
    start("proxy", options, |settings, incarnation| {
        Box::pin(proxy::run(settings, incarnation))
    })
}

pub fn controller(options: Options) -> Result<End, String> {
    start("controller", options, |settings, incarnation| {
        Box::pin(controller::run(settings, incarnation))
    })
}

/// Reads the settings file and runs a role until the platform ends it.
fn start(
    role: &str,
    options: Options,
    run: impl FnOnce(SettingsWatch, u64) -> Running,
) -> Result<End, String> {
    logging::start(&options.log, options.json).map_err(|error| error.to_string())?;
    let path = options
        .settings
        .or_else(|| std::env::var(SETTINGS.0).ok())
        .unwrap_or_else(|| SETTINGS.1.to_owned());
    let watcher = match Watcher::open(PathBuf::from(&path)) {
        Ok(watcher) => watcher,
        Err(wrong) => {
            wrong.iter().for_each(|complaint| eprintln!("{complaint}"));
            return Ok(End::Failed);
        }
    };
    let (version, node) = (env!("CARGO_PKG_VERSION"), &watcher.machine().node);
    tracing::info!(target: "start", "{role} {version} as {node}, by {path}.");
    clock::now();
    let incarnation = rand::random::<u64>().max(1);
    let served = wait_for(async { run(settings::watch(watcher)?, incarnation).await });
    Ok(
        match served.map(|served| served.map_err(|e| e.to_string())) {
            Ok(Ok(())) => End::Done,
            Ok(Err(wrong)) | Err(wrong) => {
                eprintln!("{path}: {wrong}");
                End::Failed
            }
        },
    )
}
