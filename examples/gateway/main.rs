//! What stands around a gateway, for trying one: the platform's list, appliances of two services, and clients. All of it
//! is on loopback, keeps nothing, and speaks just enough of each protocol.
//!
//! - `platform`: serves the list of appliances, runs the appliances, and takes the calls below
//! - `start`, `stop`, `tally`: calls to it
//! - `clients`: requests to the proxies, with a line every two seconds

mod appliance;
mod clients;
mod platform;

use gumdrop::Options;
use std::net::SocketAddr;
use std::process::ExitCode;

/// Where the platform is, as the settings files say.
const PLATFORM: &str = "127.0.0.1:7100";

#[derive(Options)]
struct Arguments {
    #[options(help = "prints this")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Options)]
enum Command {
    #[options(help = "the platform and its appliances, until it is ended")]
    Platform(Nothing),
    #[options(help = "starts appliances: gateway start calendar v2 4 --fail 0.3 --slow 5")]
    Start(Start),
    #[options(help = "stops a version's appliances in order: gateway stop calendar v1")]
    Stop(Stop),
    #[options(help = "what the appliances have run")]
    Tally(Nothing),
    #[options(help = "clients: gateway clients 127.0.0.21:7000 --seconds 10")]
    Clients(clients::Load),
}

#[derive(Options)]
struct Nothing {
    #[options(help = "prints this")]
    help: bool,
}

#[derive(Options)]
struct Start {
    #[options(help = "prints this")]
    help: bool,
    #[options(free, required)]
    service: String,
    #[options(free, required)]
    version: String,
    #[options(free, required)]
    count: u32,
    #[options(help = "the share of requests that end with a 500", default = "0")]
    fail: f64,
    #[options(help = "so many times slower than it should be", default = "1")]
    slow: f64,
}

#[derive(Options)]
struct Stop {
    #[options(help = "prints this")]
    help: bool,
    #[options(free, required)]
    service: String,
    #[options(free, required)]
    version: String,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let at: SocketAddr = PLATFORM.parse().expect("an address");
    let called = match arguments.command {
        Some(Command::Platform(_)) => platform::run(at).await,
        Some(Command::Start(s)) => {
            let Start {
                service,
                version,
                count,
                fail,
                slow,
                ..
            } = s;
            let query = format!(
                "service={service}&version={version}&count={count}&fail={fail}&slow={slow}"
            );
            told(at, &format!("/start?{query}")).await
        }
        Some(Command::Stop(Stop {
            service, version, ..
        })) => told(at, &format!("/stop?service={service}&version={version}")).await,
        Some(Command::Tally(_)) => told(at, "/tally").await,
        Some(Command::Clients(load)) => clients::run(load).await,
        None => Err(format!(
            "expected a command\n{}",
            Arguments::command_list().unwrap_or_default()
        )),
    };
    match called {
        Ok(()) => ExitCode::SUCCESS,
        Err(wrong) => {
            eprintln!("gateway: {wrong}");
            ExitCode::FAILURE
        }
    }
}

/// Calls the platform and prints what it says.
async fn told(at: SocketAddr, path: &str) -> Result<(), String> {
    let request = clients::request("POST", path, PLATFORM, &[]);
    let (status, _, body) = clients::one(at, request)
        .await
        .map_err(|e| format!("{at}: {e}"))?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if status != 200 {
        return Err(format!("{at}: {status} {text}"));
    }
    print!("{text}");
    Ok(())
}
