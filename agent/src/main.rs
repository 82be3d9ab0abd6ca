//! magpieline on real sockets: serves clients, forwards to nodes, follows the node list and the platform. It
//! decides nothing itself: `magpieline::balance` does.
//!
//! - `wire`: all that is spoken, one file a partner
//! - `memory`: what is kept: the exchange in which both sides meet, ids at the door
//! - `life`: start, reload and stop

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
    Version(Version),
}

/// serve clients until SIGTERM
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// the configuration; GW_CONFIG names it otherwise
    #[argh(option)]
    config: Option<PathBuf>,
}

/// read a configuration and say what is wrong with it
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// the configuration; GW_CONFIG names it otherwise
    #[argh(option)]
    config: Option<PathBuf>,
}

/// print the version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

/// The library logs each client that sends what can't be read, as an error.
const LOG: &str = "info,actix_http=off";

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Serve(Serve { config }) => life::serve(life::start::named(config)?),
        Command::Check(Check { config }) => {
            let start = life::start::read(&life::start::named(config)?)?;
            let exchange = start.exchange()?;
            println!("{}: listens on {}, {} nodes known", start.name, start.listen, exchange.nodes_known());
            Ok(())
        }
        Command::Version(Version {}) => {
            println!("magpieline {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    let line: CommandLine = argh::from_env();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or(LOG)).init();
    match run(line.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("magpieline: {message}");
            ExitCode::FAILURE
        }
    }
}
