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
mod tests {
    use super::*;
    use magpieline_operator_config::Setting;

    pub fn groups() -> Vec<String> {
        ["pay", "hold", "read"].map(str::to_owned).to_vec()
    }

    fn put(values: &mut Values, at: &str, pairs: &[(&str, &str)]) {
        for (name, value) in pairs {
            let setting = match (value.parse::<f64>(), *value) {
                (Ok(n), _) => Setting::Number(n),
                (_, "true") => Setting::Flag(true),
                _ => Setting::Text((*value).to_owned()),
            };
            values.insert(format!("{at}.{name}"), setting);
        }
    }

    /// Two levels that make sense.
    fn values() -> Values {
        let mut v = Values::new();
        put(&mut v, "levels", &[("spacing_s", "30"), ("spread_s", "5")]);
        let busy = [
            ("name", "busy"),
            (
                "enter",
                "late(pay) > 3% for 2s or in-flight > 0.9 of limit for 3s",
            ),
            (
                "leave",
                "late(pay) < 1% and in-flight < 0.6 of limit and shortage < 2%",
            ),
            ("least_stay_s", "30"),
        ];
        put(&mut v, "levels.level.0", &busy);
        put(
            &mut v,
            "levels.level.0.group.0",
            &[("name", "read"), ("share", "0.6"), ("least", "0.2")],
        );
        let jam = [
            ("name", "jam"),
            ("enter", "late(pay) > 20% or in-flight > 2 of limit"),
            ("leave", "late(pay) < 5% and in-flight < 0.9 of limit"),
            ("at_once", "true"),
            ("trial", "held"),
        ];
        put(&mut v, "levels.level.1", &jam);
        let read = [
            ("name", "read"),
            ("share", "0.3"),
            ("least", "0.05"),
            ("most_waiting", "20"),
            ("longest_wait_s", "0.3"),
            ("most_forwards", "1"),
        ];
        put(&mut v, "levels.level.1.group.0", &read);
        v
    }

    fn told(change: impl Fn(&mut Values)) -> String {
        let mut v = values();
        change(&mut v);
        Ladder::read(&v, &groups(), false)
            .expect_err("refused")
            .join("; ")
    }

    #[test]
    fn levels_are_read_mildest_first() {
        let ladder = Ladder::read(&values(), &groups(), false)
            .expect("good")
            .expect("there");
        assert_eq!(
            (ladder.spacing, ladder.spread, ladder.levels.len()),
            (30.0, 5.0, 2)
        );
        assert_eq!(
            (ladder.place("jam"), ladder.place("odd"), ladder.name(0)),
            (Some(2), None, "full")
        );
        let jam = ladder.at(2).expect("one");
        assert!(jam.at_once && jam.holds_trial && jam.rules[0] == Rule::FULL);
        let rule = Rule {
            most: 0.3,
            least: 0.05,
            waiting: 20,
            longest_wait: 0.3,
            forwards: 1,
        };
        assert_eq!(jam.rules[2], rule);
        assert_eq!(Ladder::read(&Values::new(), &groups(), false), Ok(None));
    }

    #[test]
    fn levels_that_make_no_sense_are_refused() {
        let set = |name: &'static str, value: &'static str| {
            move |v: &mut Values| put(v, "levels.level", &[(name, value)])
        };
        for (change, expected) in [
            (
                ("0.enter", "late(odd) > 1%"),
                "level 'busy': enter: late: found 'odd'",
            ),
            (
                ("0.leave", "late(pay) < 3% and in-flight < 0.6 of limit"),
                "expected edges of one signal 10% apart",
            ),
            (
                ("0.leave", "late(pay) < 1%"),
                "entered when in-flight is above 0.90 of limit but it is left when late(pay)",
            ),
            (
                ("0.leave", "cpu > 50% and cpu < 40%"),
                "leave: can never be while the level holds",
            ),
            (
                ("0.enter", "cpu > 50% and cpu < 40%"),
                "enter: can never be",
            ),
            (("1.name", "busy"), "found again"),
            (("1.name", "full"), "which is service without a level"),
            (("1.enter", "late(pay) > 0.5%"), "'busy' is left when"),
            (("1.group.0.share", "0.9"), "read: lets in more than 'busy'"),
            (
                ("1.group.0.least", "0.4"),
                "least: found 0.4, expected at most its share, 0.3",
            ),
            (
                ("1.group.0.longest_wait_s", "0"),
                "expected most-waiting and longest-wait-s together",
            ),
            (
                ("1.group.0.name", "odd"),
                "group: found 'odd', expected one of pay, hold, read",
            ),
        ] {
            let error = told(set(change.0, change.1));
            assert!(error.contains(expected), "{change:?}: {error}");
        }
        // A group of which nothing is let in can't show that it is well again.
        let error = told(|v| {
            put(
                v,
                "levels.level.1.group.0",
                &[("share", "0"), ("least", "0")],
            );
            put(
                v,
                "levels.level.1",
                &[(
                    "leave",
                    "late(read) < 1% and late(pay) < 5% and in-flight < 0.9 of limit",
                )],
            );
        });
        assert!(
            error.contains("'jam': leave: can never be while the level holds"),
            "{error}"
        );
    }

    #[test]
    fn a_level_may_not_hold_the_trial_where_keys_are_bound_to_it() {
        let error = Ladder::read(&values(), &groups(), true)
            .expect_err("refused")
            .join("; ");
        assert!(
            error.contains("'jam': trial: found held, but keys are bound one way"),
            "{error}"
        );
    }

    #[test]
    fn a_condition_of_too_many_alternatives_is_refused() {
        let part = "(cpu > 1% or memory > 1% or descriptors > 1%)";
        let many = [part; 4].join(" and ");
        let error = told(|v| {
            v.insert("levels.level.0.enter".into(), Setting::Text(many.clone()));
        });
        assert!(error.contains("at most 64 alternatives"), "{error}");
    }
}
