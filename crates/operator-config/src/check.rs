//! Holds a file against the schema: all complaints at once, or all values with their defaults.

use crate::schema::{Kind, Rule, Schema, Simple};
use crate::xml::{self, Element};
use std::collections::BTreeMap;
use std::fmt;

/// One value.
#[derive(Clone, Debug, PartialEq)]
pub enum Setting {
    Number(f64),
    Text(String),
    Flag(bool),
}

/// Values by dotted names: elements and attributes with `_` for `-`; of elements that may stand side by side each
/// has its number (`levels.level.0.name`).
pub type Values = BTreeMap<String, Setting>;

/// The value of this name, if it is a number.
pub fn number(values: &Values, name: &str) -> Option<f64> {
    match values.get(name) {
        Some(Setting::Number(n)) => Some(*n),
        _ => None,
    }
}

/// The value of this name, if it is a text.
pub fn text<'a>(values: &'a Values, name: &str) -> Option<&'a str> {
    match values.get(name) {
        Some(Setting::Text(text)) => Some(text),
        _ => None,
    }
}

/// Whether a mark of this name is set.
pub fn flag(values: &Values, name: &str) -> bool {
    matches!(values.get(name), Some(Setting::Flag(true)))
}

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Complaint {
    pub line: usize,
    /// The elements from the top, with slashes.
    pub place: String,
    pub what: String,
}

impl fmt::Display for Complaint {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.place.is_empty() {
            return f.write_str(&self.what);
        }
        write!(f, "line {}: {}: {}", self.line, self.place, self.what)
    }
}

impl Simple {
    /// Reads a value, or says what was expected. White space around it is of no account but in texts.
    pub fn read(&self, text: &str) -> Result<Setting, String> {
        let trimmed = text.trim();
        let number = |plain: bool| {
            let digits = trimmed.strip_prefix(['+', '-']).unwrap_or(trimmed);
            let known = |c: char| c.is_ascii_digit() || (plain && c == '.');
            let some = digits.contains(|c: char| c.is_ascii_digit()) && digits.chars().all(known);
            let value = trimmed
                .parse::<f64>()
                .ok()
                .filter(|v| some && v.is_finite());
            value.filter(|v| {
                self.least.is_none_or(|l| *v >= l)
                    && self.most.is_none_or(|m| *v <= m)
                    && self.above.is_none_or(|a| *v > a)
            })
        };
        let setting = match self.kind {
            Kind::Decimal => number(true).map(Setting::Number),
            Kind::Integer => number(false).map(Setting::Number),
            Kind::Boolean => match trimmed {
                "true" | "1" => Some(Setting::Flag(true)),
                "false" | "0" => Some(Setting::Flag(false)),
                _ => None,
            },
            Kind::Text => {
                let length = text.chars().count();
                let fits = self.longest.is_none_or(|l| length <= l)
                    && self.shortest.is_none_or(|s| length >= s);
                let known = self.words.is_empty() || self.words.iter().any(|w| w == text);
                (fits && known).then(|| Setting::Text(text.to_owned()))
            }
        };
        setting.ok_or_else(|| self.expected())
    }

    /// What may stand here, in words.
    pub fn expected(&self) -> String {
        let what = match self.kind {
            Kind::Decimal => "a number",
            Kind::Integer => "a whole number",
            Kind::Boolean => return "true or false".into(),
            Kind::Text if !self.words.is_empty() => return self.words.join(" or "),
            Kind::Text => "a text",
        };
        let bounds = [
            self.least.map(|v| format!("{v} or more")),
            self.above.map(|v| format!("above {v}")),
            self.most.map(|v| format!("{v} or less")),
            self.shortest.map(|v| format!("{v} characters or more")),
            self.longest.map(|v| format!("{v} characters or less")),
        ];
        let bounds: Vec<String> = bounds.into_iter().flatten().collect();
        if bounds.is_empty() {
            what.into()
        } else {
            format!("{what}, {}", bounds.join(", "))
        }
    }
}

struct Walk {
    values: Values,
    complaints: Vec<Complaint>,
}

impl Walk {
    fn complain(&mut self, at: &Element, place: &str, what: String) {
        self.complaints.push(Complaint {
            line: at.line,
            place: place.to_owned(),
            what,
        });
    }

    fn element(&mut self, at: &Element, rule: &Rule, place: &str, name: &str) {
        if !at.text.is_empty() {
            let start: String = at.text.chars().take(20).collect();
            self.complain(
                at,
                place,
                format!("found the text '{start}', expected none"),
            );
        }
        self.attributes(at, rule, place, name);
        for child in &at.children {
            if !rule.children.iter().any(|r| r.name == child.name) {
                let known: Vec<&str> = rule.children.iter().map(|r| r.name.as_str()).collect();
                let what = format!(
                    "found <{}>, expected {}",
                    child.name,
                    words(&known, "no element")
                );
                self.complain(child, place, what);
            }
        }
        for r in &rule.children {
            let found: Vec<&Element> = at.children.iter().filter(|c| c.name == r.name).collect();
            if r.needed && found.is_empty() {
                self.complain(at, place, format!("expected <{}>", r.name));
            }
            for (i, child) in found.into_iter().enumerate() {
                if i >= r.most {
                    self.complain(
                        child,
                        place,
                        format!("found <{}> again, expected {} at most", r.name, r.most),
                    );
                    break;
                }
                let own = if r.most > 1 {
                    format!("{}.{i}", r.name)
                } else {
                    r.name.clone()
                };
                let own = own.replace('-', "_");
                let name = if name.is_empty() {
                    own
                } else {
                    format!("{name}.{own}")
                };
                self.element(child, r, &format!("{place}/{}", r.name), &name);
            }
        }
    }

    fn attributes(&mut self, at: &Element, rule: &Rule, place: &str, name: &str) {
        for (key, _) in &at.attributes {
            // Namespaces and the hint where the schema lies are the file's own affair.
            let aside = key == "xmlns" || key.starts_with("xmlns:") || key.starts_with("xsi:");
            if !aside && !rule.attributes.iter().any(|a| a.name == *key) {
                let known: Vec<&str> = rule.attributes.iter().map(|a| a.name.as_str()).collect();
                let what = format!(
                    "found the attribute {key}, expected {}",
                    words(&known, "none")
                );
                self.complain(at, place, what);
            }
        }
        let mut numbers = BTreeMap::new();
        for a in &rule.attributes {
            let given = at.attribute(&a.name);
            let Some(text) = given.or(a.default.as_deref()) else {
                if a.needed {
                    self.complain(
                        at,
                        place,
                        format!("{}: expected {}", a.name, a.simple.expected()),
                    );
                }
                continue;
            };
            match a.simple.read(text) {
                Ok(setting) => {
                    if let Setting::Number(n) = setting {
                        numbers.insert(a.name.as_str(), n);
                    }
                    self.values
                        .insert(format!("{name}.{}", a.name.replace('-', "_")), setting);
                }
                Err(expected) => {
                    let start: String = text.chars().take(40).collect();
                    self.complain(
                        at,
                        place,
                        format!("{}: found '{start}', expected {expected}", a.name),
                    );
                }
            }
        }
        for b in &rule.below {
            let Some((one, other)) = numbers.get(&*b.first).zip(numbers.get(&*b.second)) else {
                continue;
            };
            if !(one < other || (b.or_equal && one == other)) {
                let than = if b.or_equal { "at most" } else { "less than" };
                let what = format!(
                    "{}: found '{one}', expected {than} {} ({other})",
                    b.first, b.second
                );
                self.complain(at, place, what);
            }
        }
    }
}

fn words(known: &[&str], none: &str) -> String {
    if known.is_empty() {
        none.to_owned()
    } else {
        format!("one of {}", known.join(", "))
    }
}

impl Schema {
    /// Checks a file: its values, defaults of the elements that stand in it included, or all that is wrong.
    pub fn check(&self, text: &str) -> Result<Values, Vec<Complaint>> {
        let bare = |what: String| {
            vec![Complaint {
                line: 0,
                place: String::new(),
                what,
            }]
        };
        let file = xml::read(text).map_err(bare)?;
        if file.name != self.root.name {
            let what = format!(
                "line {}: found <{}>, expected <{}>",
                file.line, file.name, self.root.name
            );
            return Err(bare(what));
        }
        let mut walk = Walk {
            values: Values::new(),
            complaints: Vec::new(),
        };
        walk.element(&file, &self.root, &self.root.name, "");
        if walk.complaints.is_empty() {
            Ok(walk.values)
        } else {
            walk.complaints.sort_by_key(|c| c.line);
            Err(walk.complaints)
        }
    }
}
