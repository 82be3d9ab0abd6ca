//! Running agents' views, once or again and again.

use super::{address, block_on, print, time, ExitStatus};
use crate::clock::{duration, Micros};
use crate::view;
use std::io::IsTerminal;
use std::net::SocketAddrV4;

/// Clears a terminal and goes to its first line.
const CLEAR: &str = "\x1b[H\x1b[2J";

#[derive(gumdrop::Options)]
pub(super) struct Options {
    #[options(help = "prints this")]
    help: bool,
    #[options(
        free,
        required,
        help = "agents' inner addresses: self.ip and the first of network.inner_ports",
        parse(try_from_str = "address")
    )]
    addresses: Vec<SocketAddrV4>,
    #[options(
        help = "asks again after each such time, until Ctrl-C",
        meta = "TIME",
        parse(try_from_str = "time")
    )]
    every: Option<Micros>,
    #[options(help = "with --every, asks so many times only", meta = "NUMBER")]
    times: Option<u64>,
    #[options(help = "as JSON, one line a view")]
    json: bool,
}

pub(super) fn run(options: &Options) -> Result<ExitStatus, String> {
    if options.times.is_some() && options.every.is_none() {
        return Err("--times: expected --every with it".into());
    }
    block_on(async {
        let mut left = if options.every.is_some() {
            options.times.unwrap_or(u64::MAX)
        } else {
            1
        };
        loop {
            let all = print_views(options).await;
            left = left.saturating_sub(1);
            match options.every {
                Some(every) if left > 0 && all != Printed::NoReader => {
                    tokio::time::sleep(duration(every)).await
                }
                _ => return (all == Printed::All).into(),
            }
        }
    })
}

#[derive(PartialEq, Eq)]
enum Printed {
    All,
    /// Some agent did not answer.
    Some,
    /// Nobody reads what is printed any more.
    NoReader,
}

/// Fetches all views at once and prints them in the order of the addresses.
async fn print_views(options: &Options) -> Printed {
    let fetches: Vec<_> = options
        .addresses
        .iter()
        .map(|at| tokio::spawn(view::fetch(*at)))
        .collect();
    let (mut text, mut failed) = (String::new(), Vec::new());
    if !options.json && options.every.is_some() && std::io::stdout().is_terminal() {
        text.push_str(CLEAR);
    }
    for (at, fetch) in options.addresses.iter().zip(fetches) {
        let view = match fetch.await {
            Ok(fetched) => fetched.map_err(|error| error.to_string()),
            Err(panic) => Err(format!("{at}: {panic}")),
        };
        if options.addresses.len() > 1 && !options.json {
            text.push_str(&format!("{at}\n"));
        }
        match view {
            Ok(mut view) if options.json => {
                let _ = view.insert("address", at.to_string());
                text.push_str(&format!("{}\n", view.dump()));
            }
            Ok(view) => text.push_str(&view::table(&view)),
            Err(error) => {
                if options.json {
                    let failed = jzon::object! { address: at.to_string(), wrong: error.as_str() };
                    text.push_str(&format!("{}\n", failed.dump()));
                }
                failed.push(error);
            }
        }
    }
    let has_reader = print(&text);
    failed.iter().for_each(|error| eprintln!("{error}"));
    match (has_reader, failed.is_empty()) {
        (false, _) => Printed::NoReader,
        (true, true) => Printed::All,
        (true, false) => Printed::Some,
    }
}
