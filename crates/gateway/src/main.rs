//! The gateway's program: one command for each role, and what operators ask of it.

fn main() -> std::process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    magpieline_gateway::commands::run(&arguments).into()
}
