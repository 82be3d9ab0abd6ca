//! The gateway's program: one command for each role, and what operators ask of it.

mod carrier;
mod clock;
mod counter;
mod log;
mod net;
mod signals;
mod sorting;
mod view;

use gumdrop::Options;
use magpieline_almanac::machine::Machine;
use std::process::ExitCode;

/// The variable that names the settings file, and where it lies otherwise.
const SETTINGS: (&str, &str) = ("MAGPIELINE_CONFIG", "/etc/magpieline/node.toml");

#[derive(Options)]
struct Arguments {
    #[options(help = "prints this")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Options)]
enum Command {
    #[options(help = "carries clients' requests to appliances")]
    Counter(Serve),
    #[options(help = "keeps what is agreed on, and leads the counters")]
    Sorting(Serve),
    #[options(help = "shows a running agent's view: members, editions, rollouts")]
    View(Ask),
}

#[derive(Options)]
struct Ask {
    #[options(help = "prints this")]
    help: bool,
    #[options(free, required, help = "the agent's inner address, such as 10.1.0.16:7720")]
    address: String,
    #[options(help = "as JSON")]
    json: bool,
}

#[derive(Options)]
struct Serve {
    #[options(help = "prints this")]
    help: bool,
    #[options(help = "the settings file; MAGPIELINE_CONFIG names it otherwise", meta = "FILE")]
    settings: Option<String>,
    #[options(
        help = "which log lines: error, warn, info, debug, or by part",
        default = "info",
        meta = "LEVEL"
    )]
    log: String,
    #[options(help = "log lines as JSON")]
    json: bool,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    match arguments.command {
        Some(Command::Counter(serve)) => start(serve, |machine, life| Box::pin(counter::run(machine, life))),
        Some(Command::Sorting(serve)) => start(serve, |machine, life| Box::pin(sorting::run(machine, life))),
        Some(Command::View(ask)) => show(&ask),
        None => {
            eprintln!("orchard: expected a command\n\n{}", Arguments::usage());
            ExitCode::from(2)
        }
    }
}

/// Asks a running agent for its view and prints it.
fn show(ask: &Ask) -> ExitCode {
    let Ok(address) = ask.address.parse() else {
        eprintln!("{}: expected an address and a port such as 10.1.0.16:7720", ask.address);
        return ExitCode::from(2);
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.map_err(|e| e.to_string()).and_then(|r| r.block_on(view::ask(address))) {
        Ok(view) if ask.json => println!("{}", view.dump()),
        Ok(view) => print!("{}", view::table(&view)),
        Err(wrong) => {
            eprintln!("{wrong}");
            return ExitCode::from(1);
        }
    }
    ExitCode::SUCCESS
}

type Run = std::pin::Pin<Box<dyn std::future::Future<Output = std::io::Result<()>>>>;

/// Reads the settings file and runs a role on one thread: machines have a fifth of a core.
fn start(serve: Serve, run: impl FnOnce(Machine, u64) -> Run) -> ExitCode {
    log::start(&serve.log, serve.json);
    let path =
        serve.settings.or_else(|| std::env::var(SETTINGS.0).ok()).unwrap_or_else(|| SETTINGS.1.to_owned());
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("{path}: can't be read: {e}");
            return ExitCode::from(1);
        }
    };
    let machine = match Machine::read(&text) {
        Ok(machine) => machine,
        Err(wrong) => {
            wrong.iter().for_each(|complaint| eprintln!("{path}: {complaint}"));
            return ExitCode::from(1);
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("no runtime: {e}");
            return ExitCode::from(1);
        }
    };
    clock::now();
    let life = rand::random::<u64>().max(1);
    match runtime.block_on(run(machine, life)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(1)
        }
    }
}
