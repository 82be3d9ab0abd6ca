//! The gateway's program: a command for each role, and the operators' commands.

fn main() -> std::process::ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    magpieline_gateway::commands::run(&arguments).into()
}
