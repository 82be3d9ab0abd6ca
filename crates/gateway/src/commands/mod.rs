//! The command line: what may be asked for, how it ends, and what is said of wrong use.

mod check;
mod operator_client;
mod operator_commands;
mod serve;
mod store;
mod tables;
mod views;

use crate::clock::Micros;
use gumdrop::{Options, ParsingStyle};
use magpieline_config::durations;
use std::io::Write;
use std::net::SocketAddrV4;
use std::process::ExitCode;
use std::str::FromStr;

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Done,
    /// It was refused, or it failed.
    Failed,
    /// The command line was wrong.
    Misused,
}

impl From<End> for ExitCode {
    fn from(end: End) -> ExitCode {
        ExitCode::from(match end {
            End::Done => 0,
            End::Failed => 1,
            End::Misused => 2,
        })
    }
}

impl From<bool> for End {
    fn from(done: bool) -> End {
        if done {
            End::Done
        } else {
            End::Failed
        }
    }
}

#[derive(Options)]
struct Arguments {
    #[options(help = "prints this; `magpieline-gateway COMMAND --help` tells of a command")]
    help: bool,
    #[options(short = "V", help = "prints the version")]
    version: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Options)]
enum Command {
    #[options(help = "carries clients' requests to appliances")]
    Proxy(serve::Options),
    #[options(help = "keeps what is agreed on, and leads the counters")]
    Controller(serve::Options),
    #[options(help = "checks settings files and configurations")]
    Check(check::Options),
    #[options(help = "sends a configuration")]
    Send(operator_commands::SendOptions),
    #[options(help = "reads the configuration in force")]
    Read(operator_commands::ReadOptions),
    #[options(help = "orders a rollout, or tells how one stands")]
    Rollout(operator_commands::RolloutOptions),
    #[options(help = "shows running agents' views: members, editions, rollouts")]
    View(views::Options),
    #[options(help = "shows what a sorting machine's store holds, without writing to it")]
    Store(store::Options),
}

/// What a command takes beside its options, and examples of it.
const SHAPES: [(&str, &str, &[&str]); 8] = [
    (
        "proxy",
        "",
        &[
            "magpieline-gateway proxy --settings /etc/magpieline/node.toml",
            "magpieline-gateway proxy --log info,session=debug",
        ],
    ),
    (
        "controller",
        "",
        &[
            "magpieline-gateway controller --settings /etc/magpieline/node.toml",
            "magpieline-gateway controller --json",
        ],
    ),
    (
        "check",
        " FILE...",
        &[
            "magpieline-gateway check /etc/magpieline/node.toml gateway.json",
            "magpieline-gateway check --routes - < gateway.json",
        ],
    ),
    (
        "send",
        " ADDRESS FILE",
        &["magpieline-gateway send 10.1.0.16:8166,10.2.0.33:8166 gateway.json"],
    ),
    (
        "read",
        " ADDRESS",
        &[
            "magpieline-gateway read 10.1.0.16:8166",
            "magpieline-gateway read --json 10.1.0.16:8166 > gateway.json",
        ],
    ),
    (
        "rollout",
        " ADDRESS SERVICE [VERSION]",
        &[
            "magpieline-gateway rollout 10.1.0.16:8166 calendar v2 --within 12s --wait",
            "magpieline-gateway rollout 10.1.0.16:8166 calendar",
        ],
    ),
    (
        "view",
        " ADDRESS...",
        &[
            "magpieline-gateway view 10.1.0.16:7720",
            "magpieline-gateway view --every 2s 10.1.0.16:7720 10.1.0.13:7720",
        ],
    ),
    (
        "store",
        " DIR",
        &[
            "magpieline-gateway store /var/lib/magpieline",
            "magpieline-gateway store --configuration /var/lib/magpieline > gateway.json",
        ],
    ),
];

/// Addresses that are tried in turn, joined by commas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Addresses(pub Vec<SocketAddrV4>);

impl FromStr for Addresses {
    type Err = String;

    fn from_str(text: &str) -> Result<Addresses, String> {
        text.split(',')
            .map(address)
            .collect::<Result<_, _>>()
            .map(Addresses)
    }
}

/// One address with its port.
fn address(text: &str) -> Result<SocketAddrV4, String> {
    text.parse().map_err(|_| {
        format!("found '{text}', expected an address and a port such as 10.1.0.16:8166")
    })
}

/// A time above 0 as operators write it.
fn time(text: &str) -> Result<Micros, String> {
    let time = durations::parse(text).filter(|t| *t > 0);
    time.ok_or_else(|| format!("found '{text}', expected a time above 0 such as 1500ms or 2.5s"))
}

/// Names that commands had in earlier releases, and the names that they have now; scripts may still use them.
const FORMER_NAMES: [(&str, &str); 2] = [("counter", "proxy"), ("sorting", "controller")];

/// The arguments with a former name of a command replaced by its present one.
fn with_present_name(arguments: &[String]) -> Vec<String> {
    let mut arguments = arguments.to_vec();
    if let Some(name) = arguments.first_mut() {
        if let Some((_, present)) = FORMER_NAMES.iter().find(|(former, _)| former == name) {
            *name = (*present).to_owned();
        }
    }
    arguments
}

/// Runs what the command line asks for.
pub fn run(arguments: &[String]) -> End {
    let arguments = &with_present_name(arguments)[..];
    let parsed = match Arguments::parse_args(arguments, ParsingStyle::AllOptions) {
        Ok(parsed) => parsed,
        Err(wrong) => return misused(arguments, &wrong.to_string()),
    };
    if parsed.help_requested() {
        say(&help(parsed.command_name()));
        return End::Done;
    }
    if parsed.version {
        say(concat!(
            "magpieline-gateway ",
            env!("CARGO_PKG_VERSION"),
            "\n"
        ));
        return End::Done;
    }
    let done = match parsed.command {
        Some(Command::Proxy(options)) => serve::proxy(options),
        Some(Command::Controller(options)) => serve::controller(options),
        Some(Command::Check(options)) => check::run(&options),
        Some(Command::Send(options)) => operator_commands::send(&options),
        Some(Command::Read(options)) => operator_commands::read(&options),
        Some(Command::Rollout(options)) => operator_commands::rollout(&options),
        Some(Command::View(options)) => views::run(&options),
        Some(Command::Store(options)) => store::run(&options),
        None => Err("expected a command".into()),
    };
    done.unwrap_or_else(|wrong| misused(arguments, &wrong))
}

/// Says what is wrong with the command line, and how it should be.
fn misused(arguments: &[String], wrong: &str) -> End {
    let command = arguments
        .iter()
        .map(String::as_str)
        .find(|a| !a.starts_with('-'));
    let command = command.filter(|c| Command::command_usage(c).is_some());
    let name = command.map_or("magpieline-gateway".to_owned(), |c| {
        format!("magpieline-gateway {c}")
    });
    eprintln!("{name}: {wrong}\n\n{}", help(command).trim_end());
    End::Misused
}

/// The help of a command, or of the program.
fn help(command: Option<&str>) -> String {
    let shape = SHAPES.iter().find(|(name, ..)| Some(*name) == command);
    let Some((name, takes, examples)) = shape else {
        let commands = Arguments::command_list().unwrap_or_default();
        return format!(
            "magpieline-gateway, the gateway: counters carry clients' requests, sorting machines keep what is agreed on.\n\n\
             Usage: magpieline-gateway COMMAND [OPTIONS] ...\n\nCommands:\n{commands}\n\n{}\n\n\
             Exit codes: 0 done, 1 refused or failed, 2 wrong use.\n",
            Arguments::usage()
        );
    };
    let list = Arguments::command_list().unwrap_or_default();
    let about = list
        .lines()
        .find_map(|l| l.trim().strip_prefix(*name))
        .unwrap_or_default()
        .trim();
    let usage = Command::command_usage(name).unwrap_or_default();
    let examples: String = examples.iter().map(|e| format!("  {e}\n")).collect();
    format!("magpieline-gateway {name}: {about}\n\nUsage: magpieline-gateway {name} [OPTIONS]{takes}\n\n{usage}\n\nExamples:\n{examples}")
}

/// Prints to standard output; false once nobody reads it any more.
pub fn say(text: &str) -> bool {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes())
        .and_then(|()| out.flush())
        .is_ok()
}

/// Runs on one thread.
fn wait_for<T>(work: impl std::future::Future<Output = T>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    Ok(runtime
        .map_err(|e| format!("no runtime: {e}"))?
        .block_on(work))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a command that nobody can learn of: each has a line in the list, a shape and an example that parses.
    #[test]
    fn each_command_has_a_help_whose_examples_parse() {
        let list = Arguments::command_list().expect("commands");
        assert_eq!(list.lines().count(), SHAPES.len());
        for (name, _, examples) in SHAPES {
            assert!(
                list.lines().any(|l| l.trim().starts_with(name)),
                "{name} is not listed"
            );
            assert!(
                help(Some(name)).contains("Examples:\n  magpieline-gateway "),
                "{name}"
            );
            for example in examples {
                let plain = example
                    .split([' '])
                    .skip(1)
                    .take_while(|w| !["<", ">"].contains(w));
                let words: Vec<&str> = plain.collect();
                let parsed = Arguments::parse_args(&words, ParsingStyle::AllOptions);
                assert_eq!(
                    parsed.map(|p| p.command_name()).map_err(|e| e.to_string()),
                    Ok(Some(name))
                );
            }
        }
    }
}
