//! What operators ask for, in words: why a release was voted on as it was, what a file sets.

use magpieline_dispatch::Looked;
use magpieline_operator_config::{Setting, Values};
use magpieline_sequential_test::{Entry, Opinion, Vote};
use std::fmt::Write;

/// What a file sets: a line each, or one object.
pub fn values(values: &Values, json: bool) -> String {
    let plain = |s: &Setting| match s {
        Setting::Number(n) => serde_json::json!(n),
        Setting::Text(t) => serde_json::json!(t),
        Setting::Flag(f) => serde_json::json!(f),
    };
    if json {
        let all: serde_json::Map<_, _> =
            values.iter().map(|(n, s)| (n.clone(), plain(s))).collect();
        return format!("{}\n", serde_json::Value::Object(all));
    }
    let width = values.keys().map(String::len).max().unwrap_or(0);
    values
        .iter()
        .map(|(n, s)| format!("{n:width$}  {}\n", plain(s)))
        .collect()
}

/// What an entry is about.
fn name(l: &Looked, e: &Entry) -> String {
    match e.group.map(|g| (g, l.groups.get(g))) {
        Some((_, Some(group))) => format!("{} of {group}", e.what),
        Some((g, None)) => format!("{} of path group {g}", e.what),
        None => e.what.clone(),
    }
}

/// The looks that decide, one for each time a build was tried: the first whose opinion is there, else the last.
fn deciding(text: &str, build: Option<u32>) -> Result<Vec<Looked>, String> {
    let mut chosen: Vec<Looked> = Vec::new();
    for (i, line) in text
        .lines()
        .enumerate()
        .filter(|(_, l)| !l.trim().is_empty())
    {
        let looked: Looked = match serde_json::from_str(line) {
            Ok(looked) => looked,
            // The last line may have been cut off when the program ended.
            Err(_) if i + 1 == text.lines().count() && !text.ends_with('\n') => break,
            Err(e) => return Err(format!("line {}: expected a look: {e}", i + 1)),
        };
        if build.is_some_and(|b| b != looked.build) {
            continue;
        }
        let back = |l: &Looked| l.look.opinion == Opinion::Back;
        match chosen.last_mut() {
            // The same release: a look at an earlier stage is another one.
            Some(last) if last.build == looked.build && last.stage <= looked.stage => {
                let passed = last.stage < looked.stage && !back(last);
                if passed || last.look.opinion == Opinion::NotYet || (back(&looked) && !back(last))
                {
                    *last = looked;
                }
            }
            _ => chosen.push(looked),
        }
    }
    Ok(chosen)
}

/// A record in words, or its deciding looks as JSON lines.
pub fn record(text: &str, build: Option<u32>, json: bool) -> Result<String, String> {
    let looks = deciding(text, build)?;
    if looks.is_empty() {
        return Err("expected a look at a release, found none".into());
    }
    let mut out = String::new();
    for l in &looks {
        if json {
            let line = serde_json::to_string(l).map_err(|e| e.to_string())?;
            let _ = writeln!(out, "{line}");
        } else {
            tell(l, &mut out);
        }
    }
    Ok(out)
}

fn tell(l: &Looked, out: &mut String) {
    let said = match l.look.opinion {
        Opinion::Back => "the evidence to go back is there",
        Opinion::On => "the evidence to go on is there",
        Opinion::NotYet => "not enough evidence either way",
    };
    let _ = writeln!(
        out,
        "build {} stage {} ({}) at {:.1}: {said}",
        l.build, l.stage, l.phase, l.at
    );
    if l.look.opinion == Opinion::NotYet {
        let more = l.look.remaining.filter(|s| s.is_finite());
        let _ = match more {
            Some(s) => writeln!(out, "  at the present rate {s:.0} s more"),
            None => writeln!(out, "  at the present rate never: neither side grows"),
        };
    }
    let header = [
        "vote", "what", "evidence", "needed", "earlier", "trial", "without",
    ];
    let [vote, what, evidence, needed, earlier, trial, without] = header;
    let _ = writeln!(
        out,
        "  {vote:<5} {what:<28} {evidence:>9} {needed:>7} {earlier:>14} {trial:>14} {without:>8}"
    );
    for e in &l.entries {
        let side = |(n, marked): (f64, f64)| format!("{marked:.0} of {n:.0}");
        let vote = if e.vote == Vote::Back { "back" } else { "on" };
        let needed = if e.needed > 0.0 {
            format!("{:.1}", e.needed)
        } else {
            "rare".into()
        };
        let without = e.without.map_or(String::new(), |n| {
            l.nodes.get(&n).cloned().unwrap_or(format!("node {n}"))
        });
        let _ = writeln!(
            out,
            "  {vote:<5} {:<28} {:>9.1} {needed:>7} {:>14} {:>14} {without:>8}",
            name(l, e),
            e.log,
            side(e.earlier),
            side(e.trial)
        );
    }
    let _ = writeln!(out, "  {}", otherwise(l));
}

/// What would have changed it.
fn otherwise(l: &Looked) -> String {
    let part = |e: &&Entry| e.log / e.needed;
    let of = |vote: Vote| {
        l.entries
            .iter()
            .filter(move |e| e.vote == vote && e.needed > 0.0)
    };
    let strongest = of(Vote::Back).max_by(|a, b| part(a).total_cmp(&part(b)));
    let weakest = of(Vote::On).min_by(|a, b| part(a).total_cmp(&part(b)));
    match (l.look.opinion, strongest, weakest) {
        (Opinion::Back, Some(e), _) => {
            let others = of(Vote::Back).filter(|o| o.log >= o.needed).count() - 1;
            format!(
                "it rests on {} ({:.1} of {:.1}); {others} more would have done",
                name(l, e),
                e.log,
                e.needed
            )
        }
        (Opinion::On, _, Some(e)) => {
            format!(
                "the last to agree was {} ({:.1} of {:.1})",
                name(l, e),
                e.log,
                e.needed
            )
        }
        (Opinion::NotYet, Some(back), Some(on)) => {
            format!(
            "nearest to going back: {} ({:.1} of {:.1}); what keeps it from going on: {} ({:.1} of {:.1})",
            name(l, back), back.log, back.needed, name(l, on), on.log, on.needed
        )
        }
        _ => "nothing was compared yet".into(),
    }
}

#[cfg(test)]
mod tests;
