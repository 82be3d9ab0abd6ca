//! Writes a deployment of another shape.

use gumdrop::Options;
use magpieline_scenarios::train;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Options)]
struct Line {
    #[options(help = "show this")]
    help: bool,
    #[options(free, required, help = "the bench's site file")]
    site: PathBuf,
    #[options(
        free,
        required,
        help = "a shape, such as tools/scenarios/days/sites/five-seats.toml"
    )]
    shape: PathBuf,
    #[options(
        free,
        required,
        help = "where the new site file goes, such as target/sites/five-seats.toml"
    )]
    to: PathBuf,
    #[options(
        free,
        help = "days that take the place of the site file's, such as tools/scenarios/days/loss-*.toml"
    )]
    days: Vec<PathBuf>,
}

fn main() -> ExitCode {
    let line = Line::parse_args_default_or_exit();
    match write(&line) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("scenarios: {why}");
            ExitCode::FAILURE
        }
    }
}

fn write(line: &Line) -> Result<(), String> {
    let read =
        |path: &Path| fs::read_to_string(path).map_err(|why| format!("{}: {why}", path.display()));
    let home = line.site.parent().unwrap_or(Path::new("."));
    let home = home
        .canonicalize()
        .map_err(|why| format!("{}: {why}", home.display()))?;
    let days = line
        .days
        .iter()
        .map(|day| read(day))
        .collect::<Result<Vec<_>, _>>()?;
    let text = train(&read(&line.site)?, &read(&line.shape)?, &home, &days)
        .map_err(|why| format!("{} on {}: {why}", line.shape.display(), line.site.display()))?;
    if let Some(folder) = line.to.parent() {
        fs::create_dir_all(folder).map_err(|why| format!("{}: {why}", folder.display()))?;
    }
    fs::write(&line.to, text).map_err(|why| format!("{}: {why}", line.to.display()))
}
