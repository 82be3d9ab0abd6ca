//! The command line: its commands, how they end, and what is said of wrong use.

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
pub enum ExitStatus {
    /// It is done.
    Success,
    /// It was refused, or it failed.
    Failed,
    /// The command line was wrong.
    Usage,
}

impl From<ExitStatus> for ExitCode {
    fn from(end: ExitStatus) -> ExitCode {
        ExitCode::from(match end {
            ExitStatus::Success => 0,
            ExitStatus::Failed => 1,
            ExitStatus::Usage => 2,
        })
    }
}

impl From<bool> for ExitStatus {
    fn from(done: bool) -> ExitStatus {
        if done {
            ExitStatus::Success
        } else {
            ExitStatus::Failed
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
    #[options(help = "forwards clients' requests to endpoints")]
    Proxy(serve::Options),
    #[options(help = "stores the configuration by consensus, and leads the proxies")]
    Controller(serve::Options),
    #[options(help = "checks settings files and configurations")]
    Check(check::Options),
    #[options(help = "sends a configuration")]
    Send(operator_commands::SendOptions),
    #[options(help = "reads the configuration in force")]
    Read(operator_commands::ReadOptions),
    #[options(help = "begins a rollout, or shows one's state")]
    Rollout(operator_commands::RolloutOptions),
    #[options(help = "shows running agents' views: members, configurations, rollouts")]
    View(views::Options),
    #[options(help = "shows what a controller's store holds, without writing to it")]
    Store(store::Options),
}

/// How a command is called.
struct Usage {
    command: &'static str,
    /// What it takes beside its options.
    arguments: &'static str,
    examples: &'static [&'static str],
}

const USAGES: [Usage; 8] = [
    Usage {
        command: "proxy",
        arguments: "",
        examples: &[
            "magpieline-gateway proxy --settings /etc/magpieline/node.toml",
            "magpieline-gateway proxy --log info,session=debug",
        ],
    },
    Usage {
        command: "controller",
        arguments: "",
        examples: &[
            "magpieline-gateway controller --settings /etc/magpieline/node.toml",
            "magpieline-gateway controller --json",
        ],
    },
    Usage {
        command: "check",
        arguments: " FILE...",
        examples: &[
            "magpieline-gateway check /etc/magpieline/node.toml gateway.json",
            "magpieline-gateway check --routes - < gateway.json",
        ],
    },
    Usage {
        command: "send",
        arguments: " ADDRESS FILE",
        examples: &["magpieline-gateway send 10.1.0.16:8166,10.2.0.33:8166 gateway.json"],
    },
    Usage {
        command: "read",
        arguments: " ADDRESS",
        examples: &[
            "magpieline-gateway read 10.1.0.16:8166",
            "magpieline-gateway read --json 10.1.0.16:8166 > gateway.json",
        ],
    },
    Usage {
        command: "rollout",
        arguments: " ADDRESS SERVICE [VERSION]",
        examples: &[
            "magpieline-gateway rollout 10.1.0.16:8166 calendar v2 --within 12s --wait",
            "magpieline-gateway rollout 10.1.0.16:8166 calendar",
        ],
    },
    Usage {
        command: "view",
        arguments: " ADDRESS...",
        examples: &[
            "magpieline-gateway view 10.1.0.16:7720",
            "magpieline-gateway view --every 2s 10.1.0.16:7720 10.1.0.13:7720",
        ],
    },
    Usage {
        command: "store",
        arguments: " DIR",
        examples: &[
            "magpieline-gateway store /var/lib/magpieline",
            "magpieline-gateway store --configuration /var/lib/magpieline > gateway.json",
        ],
    },
];

/// Addresses that are tried in turn, joined by commas.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Addresses(Vec<SocketAddrV4>);

impl FromStr for Addresses {
    type Err = String;

    fn from_str(text: &str) -> Result<Addresses, String> {
        text.split(',')
            .map(address)
            .collect::<Result<_, _>>()
            .map(Addresses)
    }
}

/// Parses one address with its port.
fn address(text: &str) -> Result<SocketAddrV4, String> {
    text.parse().map_err(|_| {
        format!("found '{text}', expected an address and a port such as 10.1.0.16:8166")
    })
}

/// Parses a time above 0 as operators write it.
fn time(text: &str) -> Result<Micros, String> {
    let time = durations::parse(text).filter(|t| *t > 0);
    time.ok_or_else(|| format!("found '{text}', expected a time above 0 such as 1500ms or 2.5s"))
}

/// Names that commands had in earlier releases, and the names that they have now; scripts may still use them.
const FORMER_NAMES: [(&str, &str); 2] = [("counter", "proxy"), ("sorting", "controller")];

/// Returns the arguments with a former name of a command replaced by its present one.
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
pub fn run(arguments: &[String]) -> ExitStatus {
    let arguments = &with_present_name(arguments)[..];
    let parsed = match Arguments::parse_args(arguments, ParsingStyle::AllOptions) {
        Ok(parsed) => parsed,
        Err(error) => return usage_error(arguments, &error.to_string()),
    };
    if parsed.help_requested() {
        print(&help(parsed.command_name()));
        return ExitStatus::Success;
    }
    if parsed.version {
        print(concat!(
            "magpieline-gateway ",
            env!("CARGO_PKG_VERSION"),
            "\n"
        ));
        return ExitStatus::Success;
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
    done.unwrap_or_else(|error| usage_error(arguments, &error))
}

/// Prints what is wrong with the command line, and how it should be.
fn usage_error(arguments: &[String], error: &str) -> ExitStatus {
    let command = arguments
        .iter()
        .map(String::as_str)
        .find(|a| !a.starts_with('-'));
    let command = command.filter(|c| Command::command_usage(c).is_some());
    let name = command.map_or("magpieline-gateway".to_owned(), |c| {
        format!("magpieline-gateway {c}")
    });
    eprintln!("{name}: {error}\n\n{}", help(command).trim_end());
    ExitStatus::Usage
}

/// Returns the help of a command, or of the program.
fn help(command: Option<&str>) -> String {
    let usage = USAGES.iter().find(|usage| Some(usage.command) == command);
    let Some(Usage {
        command,
        arguments,
        examples,
    }) = usage
    else {
        let commands = Arguments::command_list().unwrap_or_default();
        return format!(
            "magpieline-gateway, the gateway: proxies forward clients' requests, controllers store the configuration by consensus.\n\n\
             Usage: magpieline-gateway COMMAND [OPTIONS] ...\n\nCommands:\n{commands}\n\n{}\n\n\
             Exit codes: 0 done, 1 refused or failed, 2 wrong use.\n",
            Arguments::usage()
        );
    };
    let list = Arguments::command_list().unwrap_or_default();
    let about = list
        .lines()
        .find_map(|l| l.trim().strip_prefix(*command))
        .unwrap_or_default()
        .trim();
    let options = Command::command_usage(command).unwrap_or_default();
    let examples: String = examples.iter().map(|e| format!("  {e}\n")).collect();
    format!(
        "magpieline-gateway {command}: {about}

Usage: magpieline-gateway {command} [OPTIONS]{arguments}

{options}\n\nExamples:\n{examples}"
    )
}

/// Prints to standard output. Returns false once nobody reads it any more.
fn print(text: &str) -> bool {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes())
        .and_then(|()| out.flush())
        .is_ok()
}

/// Runs a future on one thread.
fn block_on<T>(work: impl std::future::Future<Output = T>) -> Result<T, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    Ok(runtime
        .map_err(|e| format!("no runtime: {e}"))?
        .block_on(work))
}

#[cfg(test)]
mod tests;
