//! Log lines: one event a line, a fixed prefix for each part (tracing's target), to standard error.

use tracing_subscriber::EnvFilter;

/// Starts logging at a level such as `info`; `json` for machines. Colours and the time of day are left out: the
/// platform puts its own time before each line.
pub fn start(level: &str, json: bool) -> Result<(), String> {
    let filter = EnvFilter::try_new(level).map_err(|_| {
        format!("--log: found '{level}', expected a level such as info, or info,session=debug")
    })?;
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
