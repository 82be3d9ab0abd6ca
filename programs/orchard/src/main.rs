//! The gateway's program: one command for each role, and what operators ask of it.

mod carrier;
mod clock;
mod commands;
mod counter;
mod log;
mod net;
mod settings;
mod signals;
mod sorting;
mod view;

fn main() -> std::process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    commands::run(&arguments).into()
}
