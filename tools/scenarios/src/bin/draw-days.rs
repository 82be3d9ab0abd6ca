//! Writes drawn days, one a file.

use gumdrop::Options;
use magpieline_scenarios::drawn_days::draw_day;
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Options)]
struct Arguments {
    #[options(help = "prints this; draw-days --days 100 --seed 1 --out target/drawn")]
    help: bool,
    #[options(help = "how many", default = "100")]
    days: u64,
    #[options(help = "the first one's seed; the others follow", default = "1")]
    seed: u64,
    #[options(
        help = "the folder that takes them",
        meta = "DIR",
        default = "target/drawn"
    )]
    out: PathBuf,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match write(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("draw-days: {}: {error}", arguments.out.display());
            ExitCode::FAILURE
        }
    }
}

fn write(arguments: &Arguments) -> std::io::Result<()> {
    std::fs::create_dir_all(&arguments.out)?;
    for seed in arguments.seed..arguments.seed + arguments.days {
        let path = arguments.out.join(format!("drawn-{seed}.toml"));
        std::fs::write(path, draw_day(seed))?;
    }
    Ok(())
}
