//! The client of the control socket, and its answers as text.

use crate::life::control::calls::Call;
use serde_json::Value as Json;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

/// How long an answer may take: a slow disk is given up by the agent after five seconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);
/// How often the agent is asked whether a watch is over.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// A connection to an agent's control socket.
pub struct ControlClient {
    stream: BufReader<UnixStream>,
}

impl ControlClient {
    pub fn open(path: &Path) -> Result<ControlClient, String> {
        let error = |e: std::io::Error| {
            format!(
                "{}: {e}; expected an agent's control socket",
                path.display()
            )
        };
        let stream = UnixStream::connect(path).map_err(error)?;
        stream
            .set_read_timeout(Some(RESPONSE_TIMEOUT))
            .map_err(error)?;
        Ok(ControlClient {
            stream: BufReader::new(stream),
        })
    }

    /// Makes a call. Returns the agent's answer.
    ///
    /// # Errors
    ///
    /// Its refusal, or that there is no answer.
    pub fn call(&mut self, call: &Call) -> Result<Json, String> {
        let line = serde_json::to_string(call).map_err(|e| e.to_string())?;
        let sent = self
            .stream
            .get_mut()
            .write_all(format!("{line}\n").as_bytes());
        sent.map_err(|e| format!("the agent does not listen: {e}"))?;
        let mut answer = String::new();
        let length = self
            .stream
            .read_line(&mut answer)
            .map_err(|e| format!("the agent does not answer: {e}"))?;
        if length == 0 {
            return Err("the agent has hung up".into());
        }
        let answer: Json =
            serde_json::from_str(&answer).map_err(|e| format!("expected an answer: {e}"))?;
        match answer.get("refused").and_then(Json::as_str) {
            Some(refused) => Err(refused.to_owned()),
            None => Ok(answer.get("ok").cloned().unwrap_or_default()),
        }
    }

    /// Waits until nothing is watched any more. Returns whether the version was kept.
    pub fn wait(&mut self, number: u64) -> Result<bool, String> {
        loop {
            let status = self.call(&Call::Status)?;
            if status["watch"].is_null() {
                return Ok(status["kept"].as_u64() == Some(number));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// How an agent's changes stand, for people.
pub fn status(s: &Json) -> String {
    let (running, mut text) = (&s["running"], String::new());
    let _ = writeln!(
        text,
        "version {} runs ({}), staged by {}: {}",
        running["number"],
        running["standing"].as_str().unwrap_or("?"),
        running["who"].as_str().unwrap_or("?"),
        running["why"].as_str().unwrap_or("?"),
    );
    let _ = writeln!(
        text,
        "version {} is kept; journal: {}",
        s["kept"],
        s["journal"].as_str().unwrap_or("?")
    );
    let watch = &s["watch"];
    if !watch.is_null() {
        let doubt = if watch["doubt"].as_bool() == Some(true) {
            "in doubt"
        } else {
            "no doubt"
        };
        let evidence = watch["evidence"].as_f64().unwrap_or(0.0);
        let _ = writeln!(
            text,
            "watched: {doubt}, evidence of harm {evidence:.2} of what is stated"
        );
        for (name, side) in [("before", &watch["old"]), ("now", &watch["new"])] {
            let figure = |i: usize| side[i].as_f64().unwrap_or(0.0);
            let _ = writeln!(
                text,
                "  {name:<7} {:.0} of {:.0} hits compared were spoilt",
                figure(1),
                figure(0)
            );
        }
    }
    for pinned in s["pinned"].as_array().into_iter().flatten() {
        let _ = writeln!(
            text,
            "version {}: {} hits under way",
            pinned["number"], pinned["hits"]
        );
    }
    text
}

/// A time as people write it: 90s, 10m, 2h.
pub fn seconds(text: &str) -> Result<f64, String> {
    let wrong = || format!("found '{text}', expected a time such as 90s, 10m or 2h");
    let unit = text.chars().last().ok_or_else(wrong)?;
    let each = match unit {
        's' => 1.0,
        'm' => 60.0,
        'h' => 3600.0,
        _ => return Err(wrong()),
    };
    let number: f64 = text[..text.len() - unit.len_utf8()]
        .parse()
        .map_err(|_| wrong())?;
    Some(number * each)
        .filter(|s| s.is_finite() && *s > 0.0)
        .ok_or_else(wrong)
}

/// How an agent's levels stand, for people.
pub fn level(s: &Json) -> String {
    let number = |name: &str| s[name].as_f64().unwrap_or(0.0);
    let mut text = format!(
        "level {}, for {:.0} s: {}\n",
        s["level"].as_str().unwrap_or("?"),
        number("for_s"),
        s["because"].as_str().unwrap_or("?")
    );
    if let Some(left) = s["held_s"].as_f64() {
        let _ = writeln!(text, "held by hand for another {left:.0} s");
    }
    if s["starting"].as_bool() == Some(true) {
        let _ = writeln!(
            text,
            "just started: the mildest level's rules hold until enough is known"
        );
    }
    let _ = writeln!(
        text,
        "{:.0} hits in flight, limit {:.0}; no room for {:.0}% of the offered work",
        number("in_flight"),
        number("limit"),
        100.0 * number("shortage")
    );
    for share in s["shares"].as_array().into_iter().flatten() {
        let (name, part) = (
            share[0].as_str().unwrap_or("?"),
            share[1].as_f64().unwrap_or(0.0),
        );
        let _ = writeln!(text, "  {name:<24} {:>4.0}% let in", 100.0 * part);
    }
    text
}

/// The last changes of level, oldest first.
pub fn levels(all: &Json) -> String {
    let mut text = format!("{:>14} {:<16} {:<16} because\n", "unix time", "from", "to");
    for change in all.as_array().into_iter().flatten() {
        let word = |name: &str| change[name].as_str().unwrap_or("?");
        let at = change["at"].as_f64().unwrap_or(0.0);
        let _ = writeln!(
            text,
            "{at:>14.1} {:<16} {:<16} {}",
            word("from"),
            word("to"),
            word("because")
        );
    }
    text
}

/// All versions that an agent remembers.
pub fn history(all: &Json) -> String {
    let mut text = format!(
        "{:>7} {:<11} {:>5} {:<12} {:<13} why\n",
        "version", "standing", "base", "who", "hash"
    );
    for v in all.as_array().into_iter().flatten() {
        let word = |name: &str| v[name].as_str().unwrap_or("?").to_owned();
        let hash: String = word("hash").chars().take(12).collect();
        let _ = writeln!(
            text,
            "{:>7} {:<11} {:>5} {:<12} {hash:<13} {}",
            v["number"].to_string(),
            word("standing"),
            v["base"].to_string(),
            word("who"),
            word("why")
        );
    }
    text
}

/// What a file would change, a line for each name; nothing where it is the same.
pub fn difference(
    before: &magpieline_operator_config::Values,
    after: &magpieline_operator_config::Values,
) -> String {
    let (old, new) = (
        crate::explain::values(before, false),
        crate::explain::values(after, false),
    );
    let plain = |text: &str| -> Vec<String> {
        text.lines()
            .map(|l| l.split_whitespace().collect::<Vec<_>>().join(" "))
            .collect()
    };
    let (old, new) = (plain(&old), plain(&new));
    let gone = old
        .iter()
        .filter(|l| !new.contains(l))
        .map(|l| format!("- {l}\n"));
    let come = new
        .iter()
        .filter(|l| !old.contains(l))
        .map(|l| format!("+ {l}\n"));
    gone.chain(come).collect()
}

#[cfg(test)]
mod tests;
