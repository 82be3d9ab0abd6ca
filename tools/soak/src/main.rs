//! `magpieline-soak`: runs seeds, or prints their plans.

use gumdrop::Options;
use magpieline_soak::plan::Size;
use magpieline_soak::{draw_plan, report, run};
use std::ops::Range;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: u8 = 2;

#[derive(Options)]
struct Arguments {
    #[options(help = "prints this")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Options)]
enum Command {
    #[options(help = "runs seeds; exit 1 if a rule was violated")]
    Run(Run),
    #[options(help = "prints the plan of a seed")]
    Plan(Run),
}

#[derive(Options)]
struct Run {
    #[options(help = "prints this; magpieline-soak run --seed 1..51 --seconds 20")]
    help: bool,
    #[options(help = "a seed, or FIRST..END", meta = "N|A..B", default = "1")]
    seed: String,
    #[options(help = "how long clients send, in seconds", default = "20")]
    seconds: u64,
    #[options(help = "proxies", default = "4")]
    proxies: usize,
    #[options(help = "controllers", default = "3")]
    controllers: usize,
    #[options(help = "clients", default = "32")]
    clients: usize,
    #[options(
        help = "the gateway's program",
        meta = "FILE",
        default = "target/release/magpieline-gateway"
    )]
    program: PathBuf,
    #[options(help = "where the logs of failed seeds are kept", meta = "DIR")]
    keep: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let done = match arguments.command {
        Some(Command::Run(options)) => run_seeds(&options),
        Some(Command::Plan(options)) => print_plans(&options),
        None => Err("expected a command: run, plan".into()),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("magpieline-soak: {error}");
            ExitCode::from(USAGE)
        }
    }
}

impl Run {
    fn size(&self) -> Size {
        Size {
            seconds: self.seconds,
            proxies: self.proxies,
            controllers: self.controllers,
            clients: self.clients,
        }
    }

    fn seeds(&self) -> Result<Range<u64>, String> {
        let wrong = || format!("--seed: found '{}', expected N or A..B", self.seed);
        let parse = |text: &str| text.parse::<u64>().map_err(|_| wrong());
        match self.seed.split_once("..") {
            Some((first, end)) => Ok(parse(first)?..parse(end)?),
            None => parse(&self.seed).map(|seed| seed..seed + 1),
        }
    }
}

fn print_plans(options: &Run) -> Result<bool, String> {
    for seed in options.seeds()? {
        println!("seed {seed}");
        for event in draw_plan(seed, options.size()).events {
            println!("  {:7.3} s  {}", event.at.as_secs_f64(), event.action);
        }
    }
    Ok(true)
}

fn run_seeds(options: &Run) -> Result<bool, String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let mut is_clean = true;
    for seed in options.seeds()? {
        let dir =
            std::env::temp_dir().join(format!("magpieline-soak-{}-{seed}", std::process::id()));
        std::fs::create_dir_all(&dir).map_err(|error| format!("{}: {error}", dir.display()))?;
        let running = run(&options.program, &dir, seed, options.size());
        let outcome = runtime
            .block_on(running)
            .map_err(|error| format!("seed {seed}: {error}"))?;
        println!("{}", report::summary(seed, &outcome));
        print!("{}", report::describe_findings(&outcome));
        if !outcome.findings.is_empty() {
            is_clean = false;
            if let Some(keep) = &options.keep {
                keep_logs(&dir, &keep.join(format!("seed-{seed}")))
                    .map_err(|error| format!("{}: {error}", keep.display()))?;
            }
        }
        let _ = std::fs::remove_dir_all(&dir);
    }
    Ok(is_clean)
}

/// Copies the logs and settings of a run.
fn keep_logs(from: &std::path::Path, to: &std::path::Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let path = entry?.path();
        if let (true, Some(name)) = (path.is_file(), path.file_name()) {
            std::fs::copy(&path, to.join(name))?;
        }
    }
    Ok(())
}
