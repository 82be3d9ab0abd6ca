//! Reads the fields of a settings file by name, gathers what is wrong with them, and knows in the end what was not read.

use crate::diagnostic::{child, quoted, Diagnostic};
use crate::{durations, Micros};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddrV4};
use toml::{Table, Value};

const ADDRESS: &str = "an address and a port such as 10.0.0.4:8080";

/// Reads a file, and gathers all diagnostics, so that an operator sees them at once.
pub(crate) struct SettingsReader<'a> {
    root: &'a Table,
    diagnostics: Vec<Diagnostic>,
    /// The paths of tables and fields that were asked for.
    known: BTreeSet<String>,
    /// The paths of entries of lists that can't be read.
    skipped_entries: Vec<String>,
}

/// Reads the fields of one table.
pub(crate) struct Fields<'a, 'r> {
    reader: &'r mut SettingsReader<'a>,
    table: Option<&'a Table>,
    path: &'static str,
}

impl<'a> SettingsReader<'a> {
    pub(crate) fn new(root: &'a Table) -> SettingsReader<'a> {
        SettingsReader {
            root,
            diagnostics: Vec::new(),
            known: BTreeSet::new(),
            skipped_entries: Vec::new(),
        }
    }

    /// Returns the fields of the table at `path`, which joins its names by dots. One that is absent has no fields; something else in
    /// its place is reported.
    pub(crate) fn table<'r>(&'r mut self, path: &'static str) -> Fields<'a, 'r> {
        let mut table = Some(self.root);
        let mut walked = String::new();
        for name in path.split('.') {
            walked = child(&walked, name);
            let is_new = self.known.insert(walked.clone());
            let value = table.and_then(|table| table.get(name));
            table = value.and_then(Value::as_table);
            if let (Some(value), None, true) = (value, table, is_new) {
                let diagnostic = Diagnostic::new(&walked, shown(value), "a table");
                self.diagnostics.push(diagnostic);
            }
        }
        Fields {
            reader: self,
            table,
            path,
        }
    }

    /// Returns the paths of what was skipped.
    ///
    /// # Errors
    ///
    /// All that is wrong with the file.
    pub(crate) fn finish(self) -> Result<Vec<String>, Vec<Diagnostic>> {
        if !self.diagnostics.is_empty() {
            return Err(self.diagnostics);
        }
        let mut skipped = Vec::new();
        self.collect_unknown(self.root, "", &mut skipped);
        skipped.extend(self.skipped_entries);
        Ok(skipped)
    }

    fn collect_unknown(&self, table: &Table, path: &str, unknown: &mut Vec<String>) {
        for (name, value) in table {
            let path = child(path, name);
            if !self.known.contains(&path) {
                unknown.push(path);
            } else if let Value::Table(table) = value {
                self.collect_unknown(table, &path, unknown);
            }
        }
    }
}

impl<'a> Fields<'a, '_> {
    fn report(&mut self, name: &str, found: Option<&Value>, expected: &str) {
        let found = found.map_or("nothing".to_owned(), shown);
        let diagnostic = Diagnostic::new(child(self.path, name), found, expected);
        self.reader.diagnostics.push(diagnostic);
    }

    fn get(&mut self, name: &str) -> Option<&'a Value> {
        self.reader.known.insert(child(self.path, name));
        self.table?.get(name)
    }

    /// Reads a text that is not empty.
    pub(crate) fn text(&mut self, name: &str) -> String {
        match self.get(name) {
            Some(Value::String(text)) if !text.is_empty() => text.clone(),
            other => {
                self.report(name, other, "a text");
                String::new()
            }
        }
    }

    /// Reads a text that may be absent.
    pub(crate) fn optional_text(&mut self, name: &str) -> Option<String> {
        self.get(name)?;
        Some(self.text(name))
    }

    /// Reads all texts of the table, by name.
    pub(crate) fn texts(&mut self) -> BTreeMap<String, String> {
        let mut texts = BTreeMap::new();
        for (name, value) in self.table.into_iter().flatten() {
            if let Value::String(text) = value {
                self.reader.known.insert(child(self.path, name));
                texts.insert(name.clone(), text.clone());
            }
        }
        texts
    }

    pub(crate) fn flag(&mut self, name: &str, default: bool) -> bool {
        match self.get(name) {
            None => default,
            Some(Value::Boolean(flag)) => *flag,
            other => {
                self.report(name, other, "true or false");
                default
            }
        }
    }

    pub(crate) fn number(&mut self, name: &str, default: f64) -> f64 {
        let found = self.get(name);
        let value = match found {
            None => return default,
            Some(Value::Integer(number)) => *number as f64,
            Some(Value::Float(number)) => *number,
            Some(_) => f64::NAN,
        };
        if value.is_finite() && value >= 0.0 {
            return value;
        }
        self.report(name, found, "a number of 0 or more");
        default
    }

    pub(crate) fn duration(&mut self, name: &str, default: &str) -> Micros {
        let default = durations::parse(default).unwrap_or(0);
        let Some(value) = self.get(name) else {
            return default;
        };
        value
            .as_str()
            .and_then(durations::parse)
            .unwrap_or_else(|| {
                self.report(name, Some(value), "a time such as 1500ms or 2.5s");
                default
            })
    }

    /// Reads an address and a port; none if it is absent.
    pub(crate) fn address(&mut self, name: &str) -> Option<SocketAddrV4> {
        let value = self.get(name)?;
        let address = parse_address(value);
        if address.is_none() {
            self.report(name, Some(value), ADDRESS);
        }
        address
    }

    pub(crate) fn ip(&mut self, name: &str) -> Ipv4Addr {
        self.text(name).parse().unwrap_or_else(|_| {
            let found = self.get(name);
            self.report(name, found, "an IPv4 address");
            Ipv4Addr::UNSPECIFIED
        })
    }

    /// Reads a range of ports, from the first to the last.
    pub(crate) fn ports(&mut self, name: &str) -> (u16, u16) {
        let value = self.get(name);
        if let Some([Value::Integer(first), Value::Integer(last)]) =
            value.and_then(Value::as_array).map(Vec::as_slice)
        {
            let port = |number: i64| u16::try_from(number).ok().filter(|port| *port > 0);
            if let (Some(first), Some(last)) = (port(*first), port(*last)) {
                if first <= last {
                    return (first, last);
                }
            }
        }
        self.report(name, value, "two ports, the first and the last");
        (0, 0)
    }

    /// Reads a list of addresses, of which one that can't be read is as good as one that is down: it is skipped, unless none is left.
    pub(crate) fn addresses(&mut self, name: &str) -> Vec<SocketAddrV4> {
        let value = match self.get(name) {
            None => return Vec::new(),
            Some(value) => value,
        };
        let Value::Array(list) = value else {
            self.report(name, Some(value), "a list of addresses");
            return Vec::new();
        };
        let addresses: Vec<SocketAddrV4> = list.iter().filter_map(parse_address).collect();
        let unreadable = list.iter().enumerate();
        let unreadable = unreadable.filter(|(_, value)| parse_address(value).is_none());
        for (number, value) in unreadable {
            let entry = child(name, number);
            if addresses.is_empty() {
                self.report(&entry, Some(value), ADDRESS);
            } else {
                let path = child(self.path, entry);
                self.reader.skipped_entries.push(path);
            }
        }
        addresses
    }
}

fn parse_address(value: &Value) -> Option<SocketAddrV4> {
    value.as_str()?.parse().ok()
}

/// Returns what a TOML value looks like in a diagnostic.
fn shown(value: &Value) -> String {
    match value {
        Value::String(text) => quoted(text),
        Value::Integer(number) => number.to_string(),
        Value::Float(number) => number.to_string(),
        Value::Boolean(flag) => flag.to_string(),
        Value::Datetime(time) => quoted(&time.to_string()),
        Value::Array(_) => "a list".into(),
        Value::Table(_) => "a table".into(),
    }
}

/// Parses TOML.
///
/// # Errors
///
/// A syntax error, with its line.
pub(crate) fn parse_table(text: &str) -> Result<Table, Diagnostic> {
    text.parse().map_err(|error: toml::de::Error| {
        let offset = error.span().map_or(0, |span| span.start.min(text.len()));
        let newlines = text.as_bytes()[..offset]
            .iter()
            .filter(|byte| **byte == b'\n')
            .count();
        Diagnostic::new(format!("line {}", newlines + 1), error.message(), "TOML")
    })
}
