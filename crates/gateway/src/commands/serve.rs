//! The commands that run a role, on one thread: machines have a fifth of a core.

use super::{block_on, ExitStatus};
use crate::settings::{self, SettingsWatch, Watcher};
use crate::{clock, controller, logging, proxy};
use std::future::Future;
use std::path::PathBuf;
use std::pin::Pin;

/// The variable that names the settings file.
const SETTINGS_VARIABLE: &str = "MAGPIELINE_CONFIG";
/// Where it lies otherwise.
const DEFAULT_SETTINGS: &str = "/etc/magpieline/node.toml";

#[derive(gumdrop::Options)]
pub(super) struct Options {
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
    #[options(
        help = "the port at which figures are read beside the role's own addresses",
        meta = "PORT"
    )]
    metrics_port: Option<u16>,
}

/// A role that runs.
type Running = Pin<Box<dyn Future<Output = std::io::Result<()>>>>;

pub(super) fn proxy(options: Options) -> Result<ExitStatus, String> {
    let metrics_port = options.metrics_port;
    start("proxy", options, move |settings, incarnation| {
        Box::pin(proxy::run(settings, incarnation, metrics_port))
    })
}

pub(super) fn controller(options: Options) -> Result<ExitStatus, String> {
    let metrics_port = options.metrics_port;
    start("controller", options, move |settings, incarnation| {
        Box::pin(controller::run(settings, incarnation, metrics_port))
    })
}

/// Reads the settings file and runs a role until the platform ends it.
fn start(
    role: &str,
    options: Options,
    run: impl FnOnce(SettingsWatch, u64) -> Running,
) -> Result<ExitStatus, String> {
    logging::start(&options.log, options.json).map_err(|error| error.to_string())?;
    let path = options
        .settings
        .or_else(|| std::env::var(SETTINGS_VARIABLE).ok())
        .unwrap_or_else(|| DEFAULT_SETTINGS.to_owned());
    let watcher = match Watcher::open(PathBuf::from(&path)) {
        Ok(watcher) => watcher,
        Err(errors) => {
            errors.iter().for_each(|error| eprintln!("{error}"));
            return Ok(ExitStatus::Failed);
        }
    };
    let (version, node) = (env!("CARGO_PKG_VERSION"), &watcher.settings().node);
    tracing::info!(target: "start", "{role} {version} as {node}, by {path}.");
    clock::now();
    let incarnation = rand::random::<u64>().max(1);
    let result = block_on(async { run(settings::watch(watcher)?, incarnation).await });
    Ok(
        match result.map(|result| result.map_err(|e| e.to_string())) {
            Ok(Ok(())) => ExitStatus::Success,
            Ok(Err(error)) | Err(error) => {
                eprintln!("{path}: {error}");
                ExitStatus::Failed
            }
        },
    )
}
