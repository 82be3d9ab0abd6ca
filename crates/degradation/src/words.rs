//! Conditions as operators write them: `late(pay) > 5% for 2s or waiting > 0.9 of room`. Parsed, and held against what
//! each signal can be: its unit, its range.

use std::fmt;
use winnow::ascii::multispace0;
use winnow::combinator::{alt, cut_err, delimited, opt, preceded, separated, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::{one_of, take_till, take_while};

/// The longest condition; the longest that makes sense has a dozen tests.
pub const LONGEST: usize = 512;
/// The deepest nesting of parentheses.
const DEEPEST: usize = 8;
/// The longest time that a test may have to hold.
const LASTS_MOST: f64 = 3600.0;

/// What an agent sees of itself. Shares are of 1, times in seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Signal {
    /// Of a path group's hits, or of all: those that had no answer within the target latency.
    Late(Option<usize>),
    /// Those that errored.
    Failed(Option<usize>),
    /// Those that the decisions bounced; a level's own are not among them.
    Bounced(Option<usize>),
    /// Hits in flight, in parts of the limit that adapts to what nodes can take.
    InFlight,
    /// Hits that wait by a level's word, in parts of the room for them.
    Waiting,
    /// How long hits wait before they are first forwarded.
    Queueing,
    /// The part of the offered work that finds no room by the level's budget.
    Shortage,
    Cpu,
    Descriptors,
    Memory,
}

impl Signal {
    /// The largest value it can have.
    pub fn most(self) -> f64 {
        match self {
            Signal::InFlight | Signal::Queueing => f64::INFINITY,
            _ => 1.0,
        }
    }

    /// The path group whose hits it speaks of.
    pub fn group(self) -> Option<usize> {
        match self {
            Signal::Late(g) | Signal::Failed(g) | Signal::Bounced(g) => g,
            _ => None,
        }
    }

    fn unit(self) -> Unit {
        match self {
            Signal::InFlight => Unit::OfLimit,
            Signal::Waiting => Unit::OfRoom,
            Signal::Queueing => Unit::Time,
            _ => Unit::Share,
        }
    }

    /// Its name as operators write it.
    pub fn name(self, groups: &[String]) -> String {
        let of = |what: &str, g: Option<usize>| match g {
            Some(g) => format!("{what}({})", groups.get(g).map_or("?", String::as_str)),
            None => what.to_owned(),
        };
        match self {
            Signal::Late(g) => of("late", g),
            Signal::Failed(g) => of("failed", g),
            Signal::Bounced(g) => of("bounced", g),
            Signal::InFlight => "in-flight".into(),
            Signal::Waiting => "waiting".into(),
            Signal::Queueing => "queueing".into(),
            Signal::Shortage => "shortage".into(),
            Signal::Cpu => "cpu".into(),
            Signal::Descriptors => "descriptors".into(),
            Signal::Memory => "memory".into(),
        }
    }

    /// A value of it in its unit.
    pub fn show(self, value: f64) -> String {
        match self.unit() {
            Unit::Share => format!("{:.1}%", 100.0 * value),
            Unit::OfLimit => format!("{value:.2} of limit"),
            Unit::OfRoom => format!("{value:.2} of room"),
            Unit::Time => format!("{:.0} ms", 1e3 * value),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Unit {
    Share,
    OfLimit,
    OfRoom,
    Time,
}

impl fmt::Display for Unit {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Unit::Share => "a share such as 5%",
            Unit::OfLimit => "a part such as 0.9 of limit",
            Unit::OfRoom => "a part such as 0.9 of room",
            Unit::Time => "a time such as 200ms",
        })
    }
}

/// One comparison.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Test {
    pub signal: Signal,
    /// Above its edge, or below it; never at it.
    pub above: bool,
    pub edge: f64,
    /// How long it has to have held.
    pub lasts: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Condition {
    Test(Test),
    All(Vec<Condition>),
    Any(Vec<Condition>),
}

impl Condition {
    /// All tests, from left to right.
    pub fn tests<'a>(&'a self, into: &mut Vec<&'a Test>) {
        match self {
            Condition::Test(test) => into.push(test),
            Condition::All(parts) | Condition::Any(parts) => {
                parts.iter().for_each(|p| p.tests(into))
            }
        }
    }
}

/// A comparison as it is written.
struct Written<'a> {
    signal: &'a str,
    group: Option<&'a str>,
    above: bool,
    number: f64,
    unit: &'a str,
    lasts: Option<(f64, &'a str)>,
}

enum Tree<'a> {
    Test(Written<'a>),
    All(Vec<Tree<'a>>),
    Any(Vec<Tree<'a>>),
}

type Parsed<T> = Result<T, ErrMode<ContextError>>;

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

/// A word, and the space behind it.
fn word<'a>(known: &'static str) -> impl Parser<&'a str, &'a str, ErrMode<ContextError>> {
    let rest = winnow::combinator::not(one_of(|c: char| c.is_ascii_alphanumeric() || c == '-'));
    terminated(known, (rest, multispace0))
}

fn number(input: &mut &str) -> Parsed<f64> {
    let digits = take_while(1..=12, |c: char| c.is_ascii_digit() || c == '.');
    digits
        .verify_map(|d: &str| d.parse::<f64>().ok())
        .context(expected("a number"))
        .parse_next(input)
}

fn test<'a>(input: &mut &'a str) -> Parsed<Tree<'a>> {
    let signal = terminated(
        take_while(1..=32, |c: char| c.is_ascii_lowercase() || c == '-'),
        multispace0,
    );
    let signal =
        signal.verify(|s: &str| !["and", "or", "for", "of", "above", "below"].contains(&s));
    let group = delimited(
        '(',
        take_till(1..=128, ')').map(str::trim),
        (')', multispace0),
    );
    let compared = alt((
        (alt((">".void(), word("above").void())), multispace0).value(true),
        (alt(("<".void(), word("below").void())), multispace0).value(false),
    ));
    let unit = alt((
        "%".void(),
        (word("of"), alt((word("limit"), word("room")))).void(),
        word("ms").void(),
        word("s").void(),
    ));
    let lasts = preceded(
        (word("for"), multispace0),
        cut_err(
            (
                terminated(number, multispace0),
                alt((word("ms"), word("s"))),
            )
                .context(expected("a time such as 2s")),
        ),
    );
    let (signal, group, above, number, unit, lasts) = (
        signal.context(expected("a signal")),
        opt(group),
        cut_err(compared.context(expected("above or below"))),
        cut_err(terminated(number, multispace0)),
        opt(unit).take().map(str::trim),
        preceded(multispace0, opt(lasts)),
    )
        .parse_next(input)?;
    Ok(Tree::Test(Written {
        signal,
        group,
        above,
        number,
        unit,
        lasts,
    }))
}

fn part<'a>(input: &mut &'a str) -> Parsed<Tree<'a>> {
    let nested = delimited(
        ('(', multispace0),
        any,
        (
            cut_err(')'.context(expected("a closing parenthesis"))),
            multispace0,
        ),
    );
    terminated(alt((nested, test)), multispace0).parse_next(input)
}

fn all<'a>(input: &mut &'a str) -> Parsed<Tree<'a>> {
    let parts: Vec<Tree> = separated(1.., part, word("and")).parse_next(input)?;
    Ok(one_or(parts, Tree::All))
}

fn any<'a>(input: &mut &'a str) -> Parsed<Tree<'a>> {
    let parts: Vec<Tree> = separated(1.., all, word("or")).parse_next(input)?;
    Ok(one_or(parts, Tree::Any))
}

fn one_or<'a>(mut parts: Vec<Tree<'a>>, many: fn(Vec<Tree<'a>>) -> Tree<'a>) -> Tree<'a> {
    match parts.len() {
        1 => parts.remove(0),
        _ => many(parts),
    }
}

/// Reads a condition; an error says where, what was found and what was expected.
pub fn read(text: &str, groups: &[String]) -> Result<Condition, String> {
    if text.len() > LONGEST {
        return Err(format!(
            "found {} characters, expected {LONGEST} at most",
            text.len()
        ));
    }
    let mut depth = 0;
    for c in text.chars() {
        depth += i32::from(c == '(') - i32::from(c == ')');
        if depth > DEEPEST as i32 + 1 {
            return Err(format!(
                "found more than {DEEPEST} parentheses in one another"
            ));
        }
    }
    let tree = preceded(multispace0, any).parse(text).map_err(|e| {
        let rest: String = text
            .get(e.offset()..)
            .unwrap_or_default()
            .chars()
            .take(20)
            .collect();
        let found = if rest.is_empty() {
            "the end".to_owned()
        } else {
            format!("'{rest}'")
        };
        let what = e.inner().context().find_map(|c| match c {
            StrContext::Expected(StrContextValue::Description(what)) => Some(*what),
            _ => None,
        });
        let after = matches!(rest.trim(), "and" | "or");
        let what = if after {
            Some("a signal behind it")
        } else {
            what
        };
        format!(
            "found {found}, expected {}",
            what.unwrap_or("and, or, or the end")
        )
    })?;
    sense(tree, groups)
}

fn sense(tree: Tree, groups: &[String]) -> Result<Condition, String> {
    let many = |parts: Vec<Tree>| {
        parts
            .into_iter()
            .map(|p| sense(p, groups))
            .collect::<Result<Vec<_>, _>>()
    };
    Ok(match tree {
        Tree::All(parts) => Condition::All(many(parts)?),
        Tree::Any(parts) => Condition::Any(many(parts)?),
        Tree::Test(written) => Condition::Test(known(&written, groups)?),
    })
}

fn seconds(number: f64, unit: &str) -> f64 {
    number * if unit == "ms" { 1e-3 } else { 1.0 }
}

fn known(w: &Written, groups: &[String]) -> Result<Test, String> {
    let group = || {
        let Some(name) = w.group else { return Ok(None) };
        let place = groups.iter().position(|g| g == name);
        place.map(Some).ok_or_else(|| {
            format!(
                "{}: found '{name}', expected one of {}",
                w.signal,
                groups.join(", ")
            )
        })
    };
    let signal = match w.signal {
        "late" => Signal::Late(group()?),
        "failed" => Signal::Failed(group()?),
        "bounced" => Signal::Bounced(group()?),
        "in-flight" => Signal::InFlight,
        "waiting" => Signal::Waiting,
        "queueing" => Signal::Queueing,
        "shortage" => Signal::Shortage,
        "cpu" => Signal::Cpu,
        "descriptors" => Signal::Descriptors,
        "memory" => Signal::Memory,
        other => {
            return Err(format!(
            "found '{other}', expected late, failed, bounced, in-flight, waiting, queueing, shortage, cpu, \
                 descriptors or memory"
        ))
        }
    };
    let of_groups = matches!(
        signal,
        Signal::Late(_) | Signal::Failed(_) | Signal::Bounced(_)
    );
    if !of_groups && w.group.is_some() {
        return Err(format!("{}: found a path group, expected none", w.signal));
    }
    let words: Vec<&str> = w.unit.split_whitespace().collect();
    let edge = match (signal.unit(), words.as_slice()) {
        (Unit::Share, ["%"]) => w.number / 100.0,
        (Unit::OfLimit, ["of", "limit"]) | (Unit::OfRoom, ["of", "room"]) => w.number,
        (Unit::Time, ["ms" | "s"]) => seconds(w.number, w.unit),
        (unit, _) => {
            return Err(format!(
                "{}: found '{} {}', expected {unit}",
                w.signal, w.number, w.unit
            ));
        }
    };
    let sensible = if w.above {
        edge < signal.most()
    } else {
        edge > 0.0 && edge <= signal.most()
    };
    if !sensible {
        let side = if w.above { "above" } else { "below" };
        return Err(format!(
            "{}: can never be {side} {}",
            w.signal,
            signal.show(edge)
        ));
    }
    let lasts = w.lasts.map_or(0.0, |(n, unit)| seconds(n, unit));
    if lasts > LASTS_MOST {
        return Err(format!(
            "{}: found for {lasts} s, expected {LASTS_MOST} s at most",
            w.signal
        ));
    }
    Ok(Test {
        signal,
        above: w.above,
        edge,
        lasts,
    })
}

#[cfg(test)]
mod tests;
