//! magpieline on real sockets: serves clients, forwards to nodes, follows the node list and the platform. It
//! decides nothing itself: `magpieline::Balancer` does.
//!
//! - `wire`: all that is spoken, one file a partner
//! - `life`: start, reload and stop

mod control_client;
mod explain;
mod life;
#[cfg(test)]
mod testing;
mod wire;

use crate::control_client::ControlClient;
use crate::life::control::calls::Call;
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
    Level(Level),
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
    Diff(ConfigDiff),
    Stage(ConfigStage),
    Apply(ConfigApply),
    Keep(ConfigKeep),
    Undo(ConfigUndo),
    Status(ConfigStatus),
    History(ConfigHistory),
}

/// say what a file would change in a running agent. Example: magpieline config diff new.xml --socket agent.sock
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
struct ConfigDiff {
    /// the operators' file
    #[argh(positional)]
    file: PathBuf,
    /// the agent's control socket; MAGPIELINE_SOCKET names it otherwise
    #[argh(option)]
    socket: Option<PathBuf>,
}

/// hand a file to an agent, which checks it and gives it a number. Example: magpieline config stage new.xml --why x
#[derive(FromArgs)]
#[argh(subcommand, name = "stage")]
struct ConfigStage {
    /// the operators' file
    #[argh(positional)]
    file: PathBuf,
    /// why it is changed
    #[argh(option)]
    why: String,
    /// the agent's control socket; MAGPIELINE_SOCKET names it otherwise
    #[argh(option)]
    socket: Option<PathBuf>,
    /// the answer as JSON
    #[argh(switch)]
    json: bool,
}

/// let a staged version hold for every hit taken from now on. Example: magpieline config apply 4 --wait
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
struct ConfigApply {
    /// its number
    #[argh(positional)]
    number: u64,
    /// wait until it is kept (0) or undone (1)
    #[argh(switch)]
    wait: bool,
    /// the agent's control socket; MAGPIELINE_SOCKET names it otherwise
    #[argh(option)]
    socket: Option<PathBuf>,
    /// the answer as JSON
    #[argh(switch)]
    json: bool,
}

/// keep the version that is being watched. Example: magpieline config keep --why "looked at by hand"
#[derive(FromArgs)]
#[argh(subcommand, name = "keep")]
struct ConfigKeep {
    /// why
    #[argh(option, default = "\"by hand\".into()")]
    why: String,
    /// the agent's control socket; MAGPIELINE_SOCKET names it otherwise
    #[argh(option)]
    socket: Option<PathBuf>,
    /// the answer as JSON
    #[argh(switch)]
    json: bool,
}

/// undo the version that is being watched, as a whole. Example: magpieline config undo --why "payments late"
#[derive(FromArgs)]
#[argh(subcommand, name = "undo")]
struct ConfigUndo {
    /// why
    #[argh(option, default = "\"by hand\".into()")]
    why: String,
    /// the agent's control socket; MAGPIELINE_SOCKET names it otherwise
    #[argh(option)]
    socket: Option<PathBuf>,
    /// the answer as JSON
    #[argh(switch)]
    json: bool,
}

/// say which version runs and how its watch stands. Example: magpieline config status --json
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct ConfigStatus {
    /// the agent's control socket; MAGPIELINE_SOCKET names it otherwise
    #[argh(option)]
    socket: Option<PathBuf>,
    /// the answer as JSON
    #[argh(switch)]
    json: bool,
}

/// list the versions that an agent remembers. Example: magpieline config history
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct ConfigHistory {
    /// the agent's control socket; MAGPIELINE_SOCKET names it otherwise
    #[argh(option)]
    socket: Option<PathBuf>,
    /// the answer as JSON
    #[argh(switch)]
    json: bool,
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

/// levels of reduced service in a running agent
#[derive(FromArgs)]
#[argh(subcommand, name = "level")]
struct Level {
    #[argh(subcommand)]
    command: LevelCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum LevelCommand {
    Status(LevelStatus),
    History(LevelHistory),
    Hold(LevelHold),
    Release(LevelRelease),
}

/// say which level holds, why, and what it lets in. Example: magpieline level status
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
struct LevelStatus {
    /// the agent's control socket; MAGPIELINE_SOCKET names it otherwise
    #[argh(option)]
    socket: Option<PathBuf>,
    /// the answer as JSON
    #[argh(switch)]
    json: bool,
}

/// list the last changes of level and why they came. Example: magpieline level history
#[derive(FromArgs)]
#[argh(subcommand, name = "history")]
struct LevelHistory {
    /// the agent's control socket; MAGPIELINE_SOCKET names it otherwise
    #[argh(option)]
    socket: Option<PathBuf>,
    /// the answer as JSON
    #[argh(switch)]
    json: bool,
}

/// hold a level by hand; it ends by itself. Example: magpieline level hold busy --for 10m
#[derive(FromArgs)]
#[argh(subcommand, name = "hold")]
struct LevelHold {
    /// its name; full is service without a level
    #[argh(positional)]
    level: String,
    /// for how long, such as 90s, 10m or 2h
    #[argh(option, long = "for", from_str_fn(control_client::seconds))]
    time: f64,
    /// the agent's control socket; MAGPIELINE_SOCKET names it otherwise
    #[argh(option)]
    socket: Option<PathBuf>,
}

/// let conditions decide again. Example: magpieline level release
#[derive(FromArgs)]
#[argh(subcommand, name = "release")]
struct LevelRelease {
    /// the agent's control socket; MAGPIELINE_SOCKET names it otherwise
    #[argh(option)]
    socket: Option<PathBuf>,
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
        Command::Serve(Serve { config, operators }) => {
            life::serve(life::start::named(config)?, operators)
        }
        Command::Check(Check { config, operators }) => {
            let start = life::start::read(&life::start::named(config)?, operators.as_deref())?;
            let exchange = start.exchange(&start.around()?)?;
            exchange.fits_here(&start.values)?;
            println!(
                "{}: listens on {}, {} nodes known",
                start.name,
                start.listen,
                exchange.nodes_known()
            );
            Ok(())
        }
        Command::Config(Config { command }) => config(command),
        Command::Level(Level { command }) => level(command),
        Command::Verdict(Verdict {
            command: VerdictCommand::Explain(v),
        }) => {
            let text = std::fs::read_to_string(&v.record);
            let text =
                text.map_err(|e| format!("{}: could not be read: {e}", v.record.display()))?;
            print!("{}", explain::record(&text, v.build, v.json)?);
            Ok(())
        }
        Command::Version(Version {}) => {
            println!("magpieline {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

/// The control socket that is named, or that the environment names.
fn talk(socket: Option<PathBuf>) -> Result<ControlClient, String> {
    let named = socket.or_else(|| std::env::var_os("MAGPIELINE_SOCKET").map(PathBuf::from));
    ControlClient::open(
        &named.ok_or("MAGPIELINE_SOCKET: expected the path of an agent's control socket")?,
    )
}

/// Prints an answer, in words or as it came.
fn tell(answer: &serde_json::Value, json: bool, words: impl FnOnce(&serde_json::Value) -> String) {
    print!(
        "{}",
        if json {
            format!("{answer}\n")
        } else {
            words(answer)
        }
    );
}

fn config(command: ConfigCommand) -> Result<(), String> {
    match command {
        ConfigCommand::Check(ConfigCheck { file, json }) => {
            print!("{}", explain::values(&life::start::operators(&file)?, json));
        }
        ConfigCommand::Explain(ConfigExplain { name }) => {
            let text = magpieline_operator_config::Schema::bundled().explain(&name);
            println!(
                "{}",
                text.ok_or_else(|| format!("{name}: expected a name of the operators' file"))?
            );
        }
        ConfigCommand::Diff(ConfigDiff { file, socket }) => {
            let (after, mut talk) = (life::start::operators(&file)?, talk(socket)?);
            let running = talk.call(&Call::Status)?["running"]["number"]
                .as_u64()
                .unwrap_or_default();
            let text = talk.call(&Call::Text { number: running })?;
            let before = magpieline_operator_config::Schema::bundled()
                .check(text["text"].as_str().unwrap_or_default());
            print!(
                "{}",
                control_client::difference(&before.unwrap_or_default(), &after)
            );
        }
        ConfigCommand::Stage(ConfigStage {
            file,
            why,
            socket,
            json,
        }) => {
            let text = std::fs::read_to_string(&file);
            let text = text.map_err(|e| format!("{}: could not be read: {e}", file.display()))?;
            let answer = talk(socket)?.call(&Call::Stage { text, why })?;
            tell(&answer, json, |a| {
                format!("version {} is staged\n", a["number"])
            });
        }
        ConfigCommand::Apply(ConfigApply {
            number,
            wait,
            socket,
            json,
        }) => {
            let mut talk = talk(socket)?;
            let answer = talk.call(&Call::Apply { number })?;
            tell(&answer, json, |a| {
                format!("version {} holds and is watched\n", a["number"])
            });
            if wait && !talk.wait(number)? {
                return Err(format!("version {number} was undone"));
            }
        }
        ConfigCommand::Keep(ConfigKeep { why, socket, json }) => {
            let answer = talk(socket)?.call(&Call::Keep { why })?;
            tell(&answer, json, |a| {
                format!("version {} is kept\n", a["number"])
            });
        }
        ConfigCommand::Undo(ConfigUndo { why, socket, json }) => {
            let answer = talk(socket)?.call(&Call::Undo { why })?;
            tell(&answer, json, |a| {
                format!("version {} is undone\n", a["number"])
            });
        }
        ConfigCommand::Status(ConfigStatus { socket, json }) => {
            tell(
                &talk(socket)?.call(&Call::Status)?,
                json,
                control_client::status,
            );
        }
        ConfigCommand::History(ConfigHistory { socket, json }) => {
            tell(
                &talk(socket)?.call(&Call::History)?,
                json,
                control_client::history,
            );
        }
    }
    Ok(())
}

fn level(command: LevelCommand) -> Result<(), String> {
    match command {
        LevelCommand::Status(LevelStatus { socket, json }) => {
            let answer = talk(socket)?.call(&Call::Levels)?;
            tell(&answer["stands"], json, control_client::level);
        }
        LevelCommand::History(LevelHistory { socket, json }) => {
            let answer = talk(socket)?.call(&Call::Levels)?;
            tell(&answer["changes"], json, control_client::levels);
        }
        LevelCommand::Hold(LevelHold {
            level,
            time,
            socket,
        }) => {
            talk(socket)?.call(&Call::HoldLevel {
                level: level.clone(),
                seconds: time,
            })?;
            println!("level {level} is held for {time} s");
        }
        LevelCommand::Release(LevelRelease { socket }) => {
            talk(socket)?.call(&Call::ReleaseLevel)?;
            println!("conditions decide again");
        }
    }
    Ok(())
}

/// Wrong use: neither done (0) nor refused (1).
const WRONG_USE: u8 = 2;

/// The command line. Help and wrong use end the program here.
fn command_line() -> Result<CommandLine, ExitCode> {
    let words: Vec<String> = std::env::args_os()
        .map(|a| a.to_string_lossy().into_owned())
        .collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let rest = words.get(1..).unwrap_or_default();
    CommandLine::from_args(&["magpieline"], rest).map_err(|early| match early.status {
        Ok(()) => {
            println!("{}", early.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!(
                "{}\nRun magpieline --help for more information.",
                early.output
            );
            ExitCode::from(WRONG_USE)
        }
    })
}

fn main() -> ExitCode {
    let line = match command_line() {
        Ok(line) => line,
        Err(code) => return code,
    };
    life::log_form::begin(LOG);
    match run(line.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("magpieline: {message}");
            ExitCode::FAILURE
        }
    }
}
