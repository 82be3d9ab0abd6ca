//! Reads the fields of JSON objects, and gathers what is wrong with them.

use crate::diagnostic::{child, quoted, Diagnostic};
use crate::{durations, Micros};
use jzon::JsonValue as Json;

/// Reads fields; what is wrong with them is gathered in [`Fields::diagnostics`].
#[derive(Default)]
pub(crate) struct Fields {
    pub(crate) diagnostics: Vec<Diagnostic>,
}

/// Returns what a JSON value looks like in a diagnostic.
fn shown(value: &Json) -> String {
    match value {
        Json::Null => "nothing".into(),
        Json::Short(_) | Json::String(_) => quoted(value.as_str().unwrap_or("")),
        Json::Object(_) => "an object".into(),
        Json::Array(_) => "a list".into(),
        other => other.dump(),
    }
}

impl Fields {
    /// Reports that `found` stands where `expected` should.
    pub(crate) fn report(&mut self, path: String, found: &Json, expected: &str) {
        self.diagnostics
            .push(Diagnostic::new(path, shown(found), expected));
    }

    /// Reads a whole number; `default` stands for an absent one.
    pub(crate) fn integer(
        &mut self,
        body: &Json,
        path: &str,
        name: &str,
        default: Option<u64>,
    ) -> Option<u64> {
        let value = &body[name];
        match (value.as_u64(), default) {
            (Some(number), _) if value.is_number() => Some(number),
            (_, Some(number)) if value.is_null() => Some(number),
            _ => {
                self.report(child(path, name), value, "a whole number of 0 or more");
                None
            }
        }
    }

    /// Reads a duration; `default` stands for an absent one.
    pub(crate) fn duration(
        &mut self,
        body: &Json,
        path: &str,
        name: &str,
        default: Option<Micros>,
    ) -> Option<Micros> {
        let value = &body[name];
        match (value.as_str().and_then(durations::parse), default) {
            (Some(micros), _) => Some(micros),
            (None, Some(micros)) if value.is_null() => Some(micros),
            _ => {
                self.report(child(path, name), value, "a time such as 1500ms or 2.5s");
                None
            }
        }
    }

    /// Reads a text that is not empty.
    pub(crate) fn text<'a>(&mut self, body: &'a Json, path: &str, name: &str) -> Option<&'a str> {
        let text = body[name].as_str().filter(|text| !text.is_empty());
        if text.is_none() {
            self.report(child(path, name), &body[name], "a text");
        }
        text
    }

    /// Reads a list; an absent one is empty, and reported.
    pub(crate) fn list<'a>(&mut self, body: &'a Json, path: &str, name: &str) -> &'a [Json] {
        match &body[name] {
            Json::Array(list) => list,
            other => {
                self.report(child(path, name), other, "a list");
                &[]
            }
        }
    }
}
