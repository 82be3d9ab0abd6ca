//! Logs: one event a line, the component as tracing's target, to standard error.

use std::fmt;
use tracing_subscriber::EnvFilter;

/// The level is none that the filter understands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidLevel(String);

impl fmt::Display for InvalidLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "--log: found '{}', expected a level such as info, or info,session=debug",
            self.0
        )
    }
}

impl std::error::Error for InvalidLevel {}

/// Starts logging at a level such as `info`; as JSON for machines. Colours and the time of day are left out: the platform puts
/// its own time before each line.
///
/// # Errors
///
/// If the level is none.
pub fn start(level: &str, json: bool) -> Result<(), InvalidLevel> {
    let filter = EnvFilter::try_new(level).map_err(|_| InvalidLevel(level.to_owned()))?;
    let plain = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .with_ansi(false);
    if json {
        plain.json().flatten_event(true).init();
    } else {
        plain.without_time().init();
    }
    Ok(())
}
