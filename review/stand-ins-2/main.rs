//! Stand-ins of the second review, and the cases that are scripts: `review-2 CASE FOLDER`.
//!
//! It starts the gateway's programs with the commands of the deploy file, as processes on loopback addresses, plays the platform,
//! the endpoints, the operator and the clients beside them, writes to FOLDER/record.txt what was sent, answered and run, and ends all
//! that it has started. `TROUBLE=0` leaves the disruption out. It ends with 1 if the rule was broken, 0 if it held, and 2 if the case
//! could not run.

mod case_fields;
mod case_leaving;
mod case_order;
mod case_reader;
mod deployment;
mod http;
mod record;

use std::path::PathBuf;
use std::process::ExitCode;

/// Whether a rule held, or why that can't be told.
pub type Verdict = Result<bool, String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: review-2 reader|fields|order|leaving FOLDER");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt: {error}");
            return ExitCode::from(2);
        }
    };
    let trouble = if with_trouble { "with" } else { "without" };
    record.line(format!("case {case}, {trouble} the disruption"));
    let verdict = match case.as_str() {
        "reader" => case_reader::run(&record, with_trouble),
        "fields" => case_fields::run(&record, with_trouble),
        "order" => case_order::run(&record, with_trouble),
        "leaving" => case_leaving::run(&record, with_trouble),
        _ => Err("no such case".to_owned()),
    };
    let (code, text) = match &verdict {
        Ok(true) => (0, "the rule held".to_owned()),
        Ok(false) => (1, "THE RULE WAS BROKEN".to_owned()),
        Err(why) => (2, format!("could not run: {why}")),
    };
    record.line(text.clone());
    println!("{case}, {trouble} the disruption: {text}");
    ExitCode::from(code)
}
