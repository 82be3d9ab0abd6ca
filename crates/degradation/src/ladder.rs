//! The levels that operators name, mildest first, and whether they make sense together.

use crate::words::{self, Condition, Signal, Test};
use magpieline_operator_config::{flag, number, text, Values};
use std::collections::BTreeMap;

/// Alternatives that a condition may come to once its parentheses are multiplied out.
const ALTERNATIVES: usize = 64;
/// Edges of entering and leaving lie apart by at least this part of the larger one.
const APART: f64 = 0.1;

/// What a level does to a path group.
#[derive(Clone, Debug, PartialEq)]
pub struct Rule {
    /// Of its offered hits: the most that is let in, and the least that is let in however little room there is.
    pub most: f64,
    pub least: f64,
    /// How many hits may wait for room instead of being turned away, and for how long each, in seconds.
    pub waiting: usize,
    pub longest_wait: f64,
    /// How often a hit is forwarded at most; 0 states nothing.
    pub forwards: u32,
}

impl Rule {
    pub const FULL: Rule = Rule {
        most: 1.0,
        least: 0.0,
        waiting: 0,
        longest_wait: 0.0,
        forwards: 0,
    };
}

#[derive(Clone, Debug, PartialEq)]
pub struct Level {
    pub name: String,
    pub enter: Condition,
    pub leave: Condition,
    /// It is not left earlier, in seconds.
    pub least_stay: f64,
    /// Entered without the wait that spreads agents, and past milder levels.
    pub at_once: bool,
    /// The trial build gets nothing new meanwhile.
    pub holds_trial: bool,
    /// How many connections clients may hold, as a part of what they may else.
    pub connections: f64,
    /// By path group.
    pub rules: Vec<Rule>,
}

/// All levels, mildest first, and what holds for all of them.
#[derive(Clone, Debug, PartialEq)]
pub struct Ladder {
    pub levels: Vec<Level>,
    /// At most one change of level in this time, in seconds.
    pub spacing: f64,
    /// Agents that see the same change within this time of one another, in seconds.
    pub spread: f64,
}

impl Ladder {
    /// The levels of the operators' file; none without the element. An error lists all that makes no sense.
    /// `one_way`: keys that went to the trial build may not go back to the earlier one.
    pub fn read(
        values: &Values,
        groups: &[String],
        one_way: bool,
    ) -> Result<Option<Ladder>, Vec<String>> {
        let Some(spacing) = number(values, "levels.spacing_s") else {
            return Ok(None);
        };
        let mut ladder = Ladder {
            levels: Vec::new(),
            spacing,
            spread: number(values, "levels.spread_s").unwrap_or_default(),
        };
        let mut wrong = Vec::new();
        for i in 0.. {
            let at = format!("levels.level.{i}");
            let Some(name) = text(values, &format!("{at}.name")) else {
                break;
            };
            match level(values, &at, name, groups) {
                Ok(level) => ladder.levels.push(level),
                Err(all) => wrong.extend(all.into_iter().map(|e| format!("level '{name}': {e}"))),
            }
        }
        if wrong.is_empty() {
            wrong = ladder.senseless(groups, one_way);
        }
        if wrong.is_empty() {
            Ok(Some(ladder))
        } else {
            Err(wrong)
        }
    }

    /// All that makes no sense in levels that are well written each.
    fn senseless(&self, groups: &[String], one_way: bool) -> Vec<String> {
        let mut wrong = Vec::new();
        let mut found =
            |level: &Level, what: String| wrong.push(format!("level '{}': {what}", level.name));
        for (i, level) in self.levels.iter().enumerate() {
            if self.levels[..i].iter().any(|l| l.name == level.name) {
                found(level, "found again, expected each name once".into());
            }
            if level.holds_trial && one_way {
                found(
                    level,
                    "trial: found held, but keys are bound one way here: those bound to the trial build would have \
                     nowhere to go"
                        .into(),
                );
            }
            let (enters, leaves) = match (alternatives(&level.enter), alternatives(&level.leave)) {
                (Some(enters), Some(leaves)) => (enters, leaves),
                _ => {
                    found(
                        level,
                        format!("expected at most {ALTERNATIVES} alternatives in a condition"),
                    );
                    continue;
                }
            };
            if !enters.iter().any(|e| can_be(e)) {
                found(level, "enter: can never be".into());
            }
            // A group of which nothing is let in says nothing of itself.
            let silent = |signal: Signal| {
                signal
                    .group()
                    .is_some_and(|g| level.rules[g].most <= 0.0 && level.rules[g].least <= 0.0)
            };
            let leavable = |l: &Vec<Test>| can_be(l) && !l.iter().any(|t| silent(t.signal));
            if !leaves.iter().any(leavable) {
                found(level, "leave: can never be while the level holds".into());
            }
            // Nor may a harsher level's edge lie within what a milder one is left by.
            for milder in &self.levels[..=i] {
                let Some(leaves) = alternatives(&milder.leave) else {
                    continue;
                };
                let pairs = enters
                    .iter()
                    .flat_map(|e| leaves.iter().map(move |l| (e, l)));
                if let Some((e, l)) = pairs.into_iter().find(|(e, l)| !apart(e, l)) {
                    let of = if milder.name == level.name {
                        "it is left".into()
                    } else {
                        format!("'{}' is left", milder.name)
                    };
                    let what = format!(
                        "entered when {} but {of} when {}: expected edges of one signal {}% apart",
                        show(e, groups),
                        show(l, groups),
                        100.0 * APART
                    );
                    found(level, what);
                }
            }
            let Some(milder) = i.checked_sub(1).map(|j| &self.levels[j]) else {
                continue;
            };
            for (g, (own, other)) in level.rules.iter().zip(&milder.rules).enumerate() {
                if own.most > other.most || own.least > other.least {
                    let what = format!(
                        "{}: lets in more than '{}', expected the mildest level first",
                        groups[g], milder.name
                    );
                    found(level, what);
                }
            }
        }
        wrong
    }

    /// Where a level of this name stands; 0 is full service.
    pub fn place(&self, name: &str) -> Option<usize> {
        self.levels
            .iter()
            .position(|l| l.name == name)
            .map(|i| i + 1)
    }

    /// The level at a place; none for full service.
    pub fn at(&self, place: usize) -> Option<&Level> {
        place.checked_sub(1).and_then(|i| self.levels.get(i))
    }

    pub fn name(&self, place: usize) -> &str {
        self.at(place).map_or("full", |l| &l.name)
    }
}

fn level(values: &Values, at: &str, name: &str, groups: &[String]) -> Result<Level, Vec<String>> {
    let mut wrong = Vec::new();
    if name == "full" {
        wrong.push("name: found 'full', which is service without a level".into());
    }
    let mut condition = |what: &str| {
        let written = text(values, &format!("{at}.{what}")).unwrap_or_default();
        words::read(written, groups)
            .map_err(|e| wrong.push(format!("{what}: {e}")))
            .ok()
    };
    let (enter, leave) = (condition("enter"), condition("leave"));
    let mut rules = vec![None; groups.len()];
    for j in 0.. {
        let at = format!("{at}.group.{j}");
        let Some(name) = text(values, &format!("{at}.name")) else {
            break;
        };
        let Some(place) = groups.iter().position(|g| g == name) else {
            wrong.push(format!(
                "group: found '{name}', expected one of {}",
                groups.join(", ")
            ));
            continue;
        };
        let of = |what: &str, otherwise: f64| {
            number(values, &format!("{at}.{what}")).unwrap_or(otherwise)
        };
        let rule = Rule {
            most: of("share", 1.0),
            least: of("least", 0.0),
            waiting: of("most_waiting", 0.0) as usize,
            longest_wait: of("longest_wait_s", 0.0),
            forwards: of("most_forwards", 0.0) as u32,
        };
        if rule.least > rule.most {
            wrong.push(format!(
                "{name}: least: found {}, expected at most its share, {}",
                rule.least, rule.most
            ));
        }
        if (rule.waiting > 0) != (rule.longest_wait > 0.0) {
            wrong.push(format!(
                "{name}: expected most-waiting and longest-wait-s together"
            ));
        }
        if rules[place].replace(rule).is_some() {
            wrong.push(format!("group: found '{name}' again, expected each once"));
        }
    }
    let rules = rules.into_iter().map(|r| r.unwrap_or(Rule::FULL)).collect();
    match (enter, leave) {
        (Some(enter), Some(leave)) if wrong.is_empty() => Ok(Level {
            name: name.to_owned(),
            enter,
            leave,
            least_stay: number(values, &format!("{at}.least_stay_s")).unwrap_or_default(),
            at_once: flag(values, &format!("{at}.at_once")),
            holds_trial: text(values, &format!("{at}.trial")) == Some("held"),
            connections: number(values, &format!("{at}.connections")).unwrap_or(1.0),
            rules,
        }),
        _ => Err(wrong),
    }
}

/// The ways in which a condition can hold, each a list of tests that hold together; none if they are too many.
fn alternatives(condition: &Condition) -> Option<Vec<Vec<Test>>> {
    let all = match condition {
        Condition::Test(test) => vec![vec![*test]],
        Condition::Any(parts) => {
            let parts: Option<Vec<_>> = parts.iter().map(alternatives).collect();
            parts?.concat()
        }
        Condition::All(parts) => {
            let mut all = vec![Vec::new()];
            for part in parts {
                let part = alternatives(part)?;
                if all.len() * part.len() > ALTERNATIVES {
                    return None;
                }
                all = all
                    .iter()
                    .flat_map(|a| part.iter().map(move |p| [&a[..], p].concat()))
                    .collect();
            }
            all
        }
    };
    (all.len() <= ALTERNATIVES).then_some(all)
}

/// Whether tests can hold at the same time.
fn can_be(tests: &[Test]) -> bool {
    let mut ranges: BTreeMap<Signal, (f64, f64)> = BTreeMap::new();
    for test in tests {
        // Edges are not part of what they bound; the ends of a signal's own range are, and no test may reach them.
        let range = ranges
            .entry(test.signal)
            .or_insert((f64::NEG_INFINITY, f64::INFINITY));
        if test.above {
            range.0 = range.0.max(test.edge);
        } else {
            range.1 = range.1.min(test.edge);
        }
    }
    ranges.into_iter().all(|(_, (above, below))| above < below)
}

/// Whether one signal keeps two lists of tests apart by more than a touch.
fn apart(enter: &[Test], leave: &[Test]) -> bool {
    let far = |low: f64, high: f64| low <= (1.0 - APART) * high;
    enter.iter().any(|e| {
        leave
            .iter()
            .filter(|l| l.signal == e.signal)
            .any(|l| match (e.above, l.above) {
                (true, false) => far(l.edge, e.edge),
                (false, true) => far(e.edge, l.edge),
                _ => false,
            })
    })
}

fn show(tests: &[Test], groups: &[String]) -> String {
    let one = |t: &Test| {
        let side = if t.above { "above" } else { "below" };
        format!(
            "{} is {side} {}",
            t.signal.name(groups),
            t.signal.show(t.edge)
        )
    };
    tests.iter().map(one).collect::<Vec<_>>().join(" and ")
}

#[cfg(test)]
mod tests;
