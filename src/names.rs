//! From other people's words to the decisions' own: settings to the plain map and out of it, words to small
//! indices, and fields out of JSON with a plain word on what is missing or wrong. Shared by all fronts.

use crate::interface::{Named, Value};
use magpieline_sequential_test::Terms;
use serde_json::Value as Json;
use std::collections::HashMap;

/// A setting that is a number, or `otherwise` where it is absent.
pub(crate) fn number(named: &Named, name: &str, otherwise: f64) -> f64 {
    match named.get(name) {
        Some(Value::Number(n)) if n.is_finite() => *n,
        _ => otherwise,
    }
}

/// A setting that is a word, or nothing.
pub(crate) fn text<'a>(named: &'a Named, name: &str) -> &'a str {
    match named.get(name) {
        Some(Value::Text(t)) => t,
        _ => "",
    }
}

/// A setting that is a mark; absent is false.
pub(crate) fn flag(named: &Named, name: &str) -> bool {
    matches!(named.get(name), Some(Value::Flag(true)))
}

/// Gives out small indices for words, in the order in which they first appear.
#[derive(Default)]
pub struct Door {
    places: HashMap<String, usize>,
    words: Vec<String>,
}

impl Door {
    pub fn index(&mut self, word: &str) -> usize {
        if let Some(place) = self.places.get(word) {
            return *place;
        }
        self.places.insert(word.to_owned(), self.words.len());
        self.words.push(word.to_owned());
        self.words.len() - 1
    }

    /// How many words it knows.
    pub fn len(&self) -> usize {
        self.words.len()
    }

    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    pub fn known(&self, word: &str) -> Option<usize> {
        self.places.get(word).copied()
    }

    pub fn word(&self, index: usize) -> &str {
        self.words.get(index).map_or("", String::as_str)
    }
}

/// One message of JSON, with its name for complaints.
#[derive(Clone, Copy)]
pub struct Message<'a> {
    pub name: &'a str,
    pub body: &'a Json,
}

impl<'a> Message<'a> {
    pub fn wrong(&self, field: &str, expected: &str) -> String {
        format!("{}: {field}: expected {expected}", self.name)
    }

    fn field(&self, field: &str) -> Option<&'a Json> {
        self.body.get(field).filter(|v| !v.is_null())
    }

    pub fn needed(&self, field: &str, expected: &str) -> Result<&'a Json, String> {
        self.field(field).ok_or_else(|| self.wrong(field, expected))
    }

    pub fn whole(&self, field: &str) -> Result<u64, String> {
        let expected = "a whole number, 0 or more";
        self.needed(field, expected)?.as_u64().ok_or_else(|| self.wrong(field, expected))
    }

    pub fn text(&self, field: &str) -> Result<&'a str, String> {
        self.needed(field, "text")?.as_str().ok_or_else(|| self.wrong(field, "text"))
    }

    pub fn text_or_none(&self, field: &str) -> Result<Option<&'a str>, String> {
        self.field(field).map(|v| v.as_str().ok_or_else(|| self.wrong(field, "text"))).transpose()
    }

    /// A number that may be left out.
    pub fn number_or(&self, field: &str, otherwise: f64) -> Result<f64, String> {
        self.field(field).map_or(Ok(otherwise), |v| v.as_f64().ok_or_else(|| self.wrong(field, "a number")))
    }

    pub fn number(&self, field: &str) -> Result<f64, String> {
        self.needed(field, "a number")?.as_f64().ok_or_else(|| self.wrong(field, "a number"))
    }

    /// A time in microseconds, as seconds.
    pub fn seconds(&self, field: &str) -> Result<f64, String> {
        Ok(self.number(field)? / 1e6)
    }

    pub fn seconds_or_0(&self, field: &str) -> Result<f64, String> {
        Ok(self.number_or(field, 0.0)? / 1e6)
    }

    pub fn mark(&self, field: &str) -> Result<bool, String> {
        let wrong = || self.wrong(field, "true or false");
        self.field(field).map_or(Ok(false), |v| v.as_bool().ok_or_else(wrong))
    }

    pub fn list(&self, field: &str) -> Result<&'a Vec<Json>, String> {
        self.needed(field, "a list")?.as_array().ok_or_else(|| self.wrong(field, "a list"))
    }
}

/// What a front needs of the settings: the plain map, and its words in the order that the decisions count by.
#[derive(Default)]
pub struct Told {
    pub named: Named,
    pub groups: Door,
    pub accounts: Door,
    pub zones: Door,
    /// The own zone.
    pub zone: Option<usize>,
}

impl Told {
    pub fn read(info: &Json) -> Result<Told, String> {
        let mut told = Told::default();
        settings(info, "", &mut told.named);
        for (list, door) in [("classes", &mut told.groups), ("accounts", &mut told.accounts)] {
            for body in info.get(list).and_then(Json::as_array).into_iter().flatten() {
                door.index(Message { name: list, body }.text("name")?);
            }
        }
        told.zone = info.get("zone").and_then(Json::as_str).map(|z| told.zones.index(z));
        Ok(told)
    }
}

/// Flattens the settings to dotted names; what is in microseconds is put in seconds, `_us` becoming `_s`.
pub fn settings(json: &Json, name: &str, named: &mut Named) {
    let under = |key: &str| if name.is_empty() { key.to_owned() } else { format!("{name}.{key}") };
    match json {
        Json::Null => {}
        Json::Bool(flag) => {
            named.insert(name.to_owned(), Value::Flag(*flag));
        }
        Json::String(text) => {
            named.insert(name.to_owned(), Value::Text(text.clone()));
        }
        Json::Number(number) => {
            let number = number.as_f64().unwrap_or(0.0);
            match name.strip_suffix("_us") {
                Some(stem) => named.insert(format!("{stem}_s"), Value::Number(number / 1e6)),
                None => named.insert(name.to_owned(), Value::Number(number)),
            };
        }
        Json::Array(list) => {
            list.iter().enumerate().for_each(|(i, v)| settings(v, &under(&i.to_string()), named));
        }
        Json::Object(map) => map.iter().for_each(|(key, v)| settings(v, &under(key), named)),
    }
}

/// What the decisions read as a number, with the least and the most that makes sense.
const NUMBERS: [(&str, f64, f64); 22] = [
    ("peers_total", 0.0, 1e6),
    ("self_index", 0.0, 1e6),
    ("over_share_worth", 0.0, 1.0),
    ("costs.cross_zone", 0.0, 1e6),
    ("limits.max_attempts", 0.0, 1e6),
    ("limits.conn_idle_s", 0.0, 1e6),
    ("limits.max_retry_after_s", 0.0, 1e6),
    ("scoring_mix.miss_allowed", 0.0, 1.0),
    ("obligations.cold_s", 0.0, 1e6),
    ("obligations.cold_share", 0.0, 1.0),
    ("obligations.fall_multiple", 0.0, 1e6),
    ("obligations.drain_grace_s", 0.0, 1e6),
    ("family_info.spare_tries", 0.0, 1e6),
    ("family_info.closed_stages", 0.0, 1e6),
    ("family_info.noes_needed", 0.0, 1e6),
    ("family_info.on_votes", 0.0, 1e6),
    ("family_info.soak_s", 0.0, 1e6),
    ("family_info.call_timeout_s", 0.0, 1e6),
    ("family_info.vote_stands_s", 0.0, 1e6),
    ("family_info.complaint_share", 0.0, 1.0),
    ("family_info.span_s", 0.0, 1e6),
    ("family_info.tally_s", 0.0, 1e6),
];

/// What they read as a mark.
const MARKS: [&str; 5] =
    ["limits.peers", "limits.probes", "limits.retry_after", "family_info.one_way", "family_info.warm_keys"];

/// Whether what the decisions read is of the right kind and within bounds; what is absent has its default.
pub fn sound(named: &Named) -> Result<(), String> {
    let found = |value: &Value| match value {
        Value::Number(n) => n.to_string(),
        Value::Text(t) => format!("'{t}'"),
        Value::Flag(f) => f.to_string(),
    };
    for (name, least, most) in NUMBERS {
        match named.get(name) {
            None => {}
            Some(Value::Number(n)) if (least..=most).contains(n) => {}
            Some(v) => {
                return Err(format!("{name}: found {}, expected a number from {least} to {most}", found(v)))
            }
        }
    }
    for name in MARKS {
        if let Some(v) = named.get(name).filter(|v| !matches!(v, Value::Flag(_))) {
            return Err(format!("{name}: found {}, expected true or false", found(v)));
        }
    }
    let number = |name: &str| match named.get(name) {
        Some(Value::Number(n)) => Some(*n),
        _ => None,
    };
    match (number("self_index"), number("peers_total")) {
        (Some(own), Some(all)) if all >= 1.0 && own >= all => {
            Err(format!("self_index: found {own}, expected less than peers_total, {all}"))
        }
        _ => Ok(()),
    }
}

/// The rates that the settings state for votes, if any, or what is wrong with them.
pub fn stated(named: &Named) -> Result<Option<Terms>, String> {
    let number = |name: &str| match named.get(&format!("verdict.{name}")) {
        Some(Value::Number(n)) => Some(*n),
        _ => None,
    };
    Terms::read(number, |name| text(named, &format!("verdict.{name}"))).map_err(|e| format!("verdict: {e}"))
}

#[cfg(test)]
mod tests;
