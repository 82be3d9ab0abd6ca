//! Validates a file against the schema: all errors at once, or all values with their defaults.

use crate::schema::{ElementType, Schema, SimpleType, ValueKind};
use crate::xml::{self, Element};
use std::collections::BTreeMap;
use std::fmt;

/// One value.
#[derive(Clone, Debug, PartialEq)]
pub enum Setting {
    /// A number.
    Number(f64),
    /// A text.
    Text(String),
    /// True or false.
    Flag(bool),
}

/// Values by dotted names: elements and attributes with `_` for `-`; of elements that may stand side by side each
/// has its number (`levels.level.0.name`).
pub type Values = BTreeMap<String, Setting>;

/// Returns the value of this name, if it is a number.
pub fn number(values: &Values, name: &str) -> Option<f64> {
    match values.get(name) {
        Some(Setting::Number(n)) => Some(*n),
        _ => None,
    }
}

/// Returns the value of this name, if it is a text.
pub fn text<'a>(values: &'a Values, name: &str) -> Option<&'a str> {
    match values.get(name) {
        Some(Setting::Text(text)) => Some(text),
        _ => None,
    }
}

/// Whether the flag of this name is set.
pub fn flag(values: &Values, name: &str) -> bool {
    matches!(values.get(name), Some(Setting::Flag(true)))
}

/// One error of a file.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidationError {
    /// The line, from 1; 0 where the message names it.
    pub line: usize,
    /// The elements from the top, separated by slashes; empty where the file is not well-formed.
    pub path: String,
    /// What was found and what was expected.
    pub message: String,
}

impl fmt::Display for ValidationError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        if self.path.is_empty() {
            return f.write_str(&self.message);
        }
        write!(f, "line {}: {}: {}", self.line, self.path, self.message)
    }
}

impl SimpleType {
    /// Parses a value; an error says what was expected. White space around it is ignored but in texts.
    pub fn parse(&self, text: &str) -> Result<Setting, String> {
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
                self.min.is_none_or(|l| *v >= l)
                    && self.max.is_none_or(|m| *v <= m)
                    && self.exclusive_min.is_none_or(|a| *v > a)
            })
        };
        let setting = match self.kind {
            ValueKind::Decimal => number(true).map(Setting::Number),
            ValueKind::Integer => number(false).map(Setting::Number),
            ValueKind::Boolean => match trimmed {
                "true" | "1" => Some(Setting::Flag(true)),
                "false" | "0" => Some(Setting::Flag(false)),
                _ => None,
            },
            ValueKind::Text => {
                let length = text.chars().count();
                let fits = self.max_length.is_none_or(|l| length <= l)
                    && self.min_length.is_none_or(|s| length >= s);
                let known = self.allowed.is_empty() || self.allowed.iter().any(|w| w == text);
                (fits && known).then(|| Setting::Text(text.to_owned()))
            }
        };
        setting.ok_or_else(|| self.expected())
    }

    /// Describes the values that are allowed.
    pub fn expected(&self) -> String {
        let what = match self.kind {
            ValueKind::Decimal => "a number",
            ValueKind::Integer => "a whole number",
            ValueKind::Boolean => return "true or false".into(),
            ValueKind::Text if !self.allowed.is_empty() => return self.allowed.join(" or "),
            ValueKind::Text => "a text",
        };
        let bounds = [
            self.min.map(|v| format!("{v} or more")),
            self.exclusive_min.map(|v| format!("above {v}")),
            self.max.map(|v| format!("{v} or less")),
            self.min_length.map(|v| format!("{v} characters or more")),
            self.max_length.map(|v| format!("{v} characters or less")),
        ];
        let bounds: Vec<String> = bounds.into_iter().flatten().collect();
        if bounds.is_empty() {
            what.into()
        } else {
            format!("{what}, {}", bounds.join(", "))
        }
    }
}

/// Walks through a file and gathers its values and errors.
struct Validator {
    values: Values,
    errors: Vec<ValidationError>,
}

impl Validator {
    fn report(&mut self, at: &Element, path: &str, message: String) {
        self.errors.push(ValidationError {
            line: at.line,
            path: path.to_owned(),
            message,
        });
    }

    fn element(&mut self, at: &Element, element_type: &ElementType, path: &str, name: &str) {
        if !at.text.is_empty() {
            let start: String = at.text.chars().take(20).collect();
            self.report(at, path, format!("found the text '{start}', expected none"));
        }
        self.attributes(at, element_type, path, name);
        for child in &at.children {
            if !element_type.children.iter().any(|r| r.name == child.name) {
                let known: Vec<&str> = element_type
                    .children
                    .iter()
                    .map(|r| r.name.as_str())
                    .collect();
                let what = format!(
                    "found <{}>, expected {}",
                    child.name,
                    one_of(&known, "no element")
                );
                self.report(child, path, what);
            }
        }
        for r in &element_type.children {
            let found: Vec<&Element> = at.children.iter().filter(|c| c.name == r.name).collect();
            if r.required && found.is_empty() {
                self.report(at, path, format!("expected <{}>", r.name));
            }
            for (i, child) in found.into_iter().enumerate() {
                if i >= r.max_occurs {
                    self.report(
                        child,
                        path,
                        format!(
                            "found <{}> again, expected {} at most",
                            r.name, r.max_occurs
                        ),
                    );
                    break;
                }
                let own = if r.max_occurs > 1 {
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
                self.element(child, r, &format!("{path}/{}", r.name), &name);
            }
        }
    }

    fn attributes(&mut self, at: &Element, element_type: &ElementType, path: &str, name: &str) {
        for (key, _) in &at.attributes {
            // Namespaces and the location of the schema are no settings.
            let is_ignored = key == "xmlns" || key.starts_with("xmlns:") || key.starts_with("xsi:");
            if !is_ignored && !element_type.attributes.iter().any(|a| a.name == *key) {
                let known: Vec<&str> = element_type
                    .attributes
                    .iter()
                    .map(|a| a.name.as_str())
                    .collect();
                let what = format!(
                    "found the attribute {key}, expected {}",
                    one_of(&known, "none")
                );
                self.report(at, path, what);
            }
        }
        let mut numbers = BTreeMap::new();
        for a in &element_type.attributes {
            let given = at.attribute(&a.name);
            let Some(text) = given.or(a.default.as_deref()) else {
                if a.required {
                    self.report(
                        at,
                        path,
                        format!("{}: expected {}", a.name, a.value_type.expected()),
                    );
                }
                continue;
            };
            match a.value_type.parse(text) {
                Ok(setting) => {
                    if let Setting::Number(n) = setting {
                        numbers.insert(a.name.as_str(), n);
                    }
                    self.values
                        .insert(format!("{name}.{}", a.name.replace('-', "_")), setting);
                }
                Err(expected) => {
                    let start: String = text.chars().take(40).collect();
                    self.report(
                        at,
                        path,
                        format!("{}: found '{start}', expected {expected}", a.name),
                    );
                }
            }
        }
        for b in &element_type.attribute_orders {
            let Some((one, other)) = numbers.get(&*b.smaller).zip(numbers.get(&*b.larger)) else {
                continue;
            };
            if !(one < other || (b.or_equal && one == other)) {
                let than = if b.or_equal { "at most" } else { "less than" };
                let what = format!(
                    "{}: found '{one}', expected {than} {} ({other})",
                    b.smaller, b.larger
                );
                self.report(at, path, what);
            }
        }
    }
}

fn one_of(known: &[&str], none: &str) -> String {
    if known.is_empty() {
        none.to_owned()
    } else {
        format!("one of {}", known.join(", "))
    }
}

impl Schema {
    /// Checks a file. Returns its values, with the defaults of the elements that it has.
    ///
    /// # Errors
    ///
    /// All errors of the file, by line.
    pub fn check(&self, text: &str) -> Result<Values, Vec<ValidationError>> {
        let file_error = |message: String| {
            vec![ValidationError {
                line: 0,
                path: String::new(),
                message,
            }]
        };
        let file = xml::parse(text).map_err(|error| file_error(error.to_string()))?;
        if file.name != self.root.name {
            let what = format!(
                "line {}: found <{}>, expected <{}>",
                file.line, file.name, self.root.name
            );
            return Err(file_error(what));
        }
        let mut validator = Validator {
            values: Values::new(),
            errors: Vec::new(),
        };
        validator.element(&file, &self.root, &self.root.name, "");
        if validator.errors.is_empty() {
            Ok(validator.values)
        } else {
            validator.errors.sort_by_key(|c| c.line);
            Err(validator.errors)
        }
    }
}
