//! magpieline on real sockets: serves clients, forwards to nodes, follows the node list and the platform. It
//! decides nothing itself: `magpieline::balance` does.
//!
//! - `wire`: all that is spoken, one file a partner
//! - `memory`: what is kept: the exchange in which both sides meet, ids at the door
//! - `life`: start, reload and stop

mod explain;
mod life;
mod memory;
#[cfg(test)]
mod testing;
mod wire;

use argh::FromArgs;
use std::path::PathBuf;
use std::process::ExitCode;

/// A sidecar that routes hits over the builds of a service and votes on staged releases.
#[derive(FromArgs)]
struct CommandLine {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Config(Config),
    Verdict(Verdict),
    Version(Version),
}

/// serve clients until SIGTERM. Example: magpieline serve --operators deploy/magpieline.xml
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration; GW_CONFIG names it otherwise
    #[argh(option)]
    config: Option<PathBuf>,
    /// the operators' file; without it all is as the platform sets it up
    #[argh(option)]
    operators: Option<PathBuf>,
}

/// read a configuration and say what is wrong with it. Example: magpieline check --config examples/config.json
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration; GW_CONFIG names it otherwise
    #[argh(option)]
    config: Option<PathBuf>,
    /// the operators' file
    #[argh(option)]
    operators: Option<PathBuf>,
}

/// the operators' file: what may stand in it, whether one is good
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
struct Config {
    #[argh(subcommand)]
    command: ConfigCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum ConfigCommand {
    Check(ConfigCheck),
    Explain(ConfigExplain),
}

/// say all that is wrong with an operators' file, or what it sets. Example: magpieline config check magpieline.xml
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct ConfigCheck {
    /// the operators' file
    #[argh(positional)]
    file: PathBuf,
    /// what it sets as JSON
    #[argh(switch)]
    json: bool,
}

/// say what an element is for and what it may be. Example: magpieline config explain verdict.bad_carried
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct ConfigExplain {
    /// its name, with dots
    #[argh(positional)]
    name: String,
}

/// verdicts on releases
#[derive(FromArgs)]
#[argh(subcommand, name = "verdict")]
struct Verdict {
    #[argh(subcommand)]
    command: VerdictCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum VerdictCommand {
    Explain(VerdictExplain),
}

/// say why releases were voted on as they were, by a record. Example: magpieline verdict explain looks.jsonl
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct VerdictExplain {
    /// the record that the operators' file names
    #[argh(positional)]
    record: PathBuf,
    /// this build only
    #[argh(option)]
    build: Option<u32>,
    /// the deciding looks as JSON lines
    #[argh(switch)]
    json: bool,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// The library logs each client that sends what can't be read, as an error.
const LOG: &str = "info,actix_http=off";

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Serve(Serve { config, operators }) => life::serve(life::start::named(config)?, operators),
        Command::Check(Check { config, operators }) => {
            let start = life::start::read(&life::start::named(config)?, operators.as_deref())?;
            let exchange = start.exchange()?;
            println!("{}: listens on {}, {} nodes known", start.name, start.listen, exchange.nodes_known());
            Ok(())
        }
        Command::Config(Config { command: ConfigCommand::Check(ConfigCheck { file, json }) }) => {
            let values = life::start::operators(&file)?;
            print!("{}", explain::values(&values, json));
            Ok(())
        }
        Command::Config(Config { command: ConfigCommand::Explain(ConfigExplain { name }) }) => {
            let text = magpieline_operator::Schema::own().explain(&name);
            println!("{}", text.ok_or_else(|| format!("{name}: expected a name of the operators' file"))?);
            Ok(())
        }
        Command::Verdict(Verdict { command: VerdictCommand::Explain(v) }) => {
            let text = std::fs::read_to_string(&v.record);
            let text = text.map_err(|e| format!("{}: could not be read: {e}", v.record.display()))?;
            print!("{}", explain::record(&text, v.build, v.json)?);
            Ok(())
        }
        Command::Version(Version {}) => {
            println!("magpieline {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

/// Wrong use: neither done (0) nor refused (1).
const WRONG_USE: u8 = 2;

/// The command line. Help and wrong use end the program here.
fn command_line() -> Result<CommandLine, ExitCode> {
    let words: Vec<String> = std::env::args_os().map(|a| a.to_string_lossy().into_owned()).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let rest = words.get(1..).unwrap_or_default();
    CommandLine::from_args(&["magpieline"], rest).map_err(|early| match early.status {
        Ok(()) => {
            println!("{}", early.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}\nRun magpieline --help for more information.", early.output);
            ExitCode::from(WRONG_USE)
        }
    })
}

fn main() -> ExitCode {
    let line = match command_line() {
        Ok(line) => line,
        Err(code) => return code,
    };
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(LOG)).init();
    match run(line.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("magpieline: {message}");
            ExitCode::FAILURE
        }
    }
}
