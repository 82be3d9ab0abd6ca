//! Puts magpieline's decisions on the bench's wire: reads batches, turns each event into a call on the
//! instance it names, and writes what the calls ask for. It decides nothing.

mod decode;
mod instance;
mod peers;

use instance::Process;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let mut input = io::stdin().lock();
    let mut output = io::BufWriter::new(io::stdout().lock());
    let mut process = Process::default();
    let mut line = String::new();
    let mut reply = String::new();
    loop {
        line.clear();
        match input.read_line(&mut line) {
            Ok(0) => return Ok(()),
            Ok(_) => {}
            Err(e) => return Err(format!("batch: expected a line of text: {e}")),
        }
        if line.trim().is_empty() {
            continue;
        }
        reply.clear();
        process.answer(&line, &mut reply)?;
        let written = output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush());
        written.map_err(|e| format!("reply: could not be written: {e}"))?;
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("magpieline-bench-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
