//! What a command is to the decisions: its path group, where its key is, what tells its repeats, how long its client
//! waits. Operators say so; a command without a row is none.

use bytes::Bytes;
use magpieline_dispatch::Exchange;
use magpieline_operator_config::{number, text, Values};
use std::collections::HashMap;

/// One command. Arguments are counted from 1, the command's own name being 0; 0 stands for none.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub group: usize,
    pub key: usize,
    /// The argument by which nodes tell a tagged hit's repeats.
    pub mark: usize,
    /// The client timeout in seconds, and the argument that says it in milliseconds for one hit.
    pub timeout: f64,
    pub timeout_at: usize,
}

/// All commands that are hits, by their names in capitals.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: HashMap<Vec<u8>, Row>,
}

/// Why a command is no hit.
#[derive(Debug, PartialEq)]
pub struct Odd(pub String);

impl Table {
    /// The rows of the operators' file; an error names what the platform does not have or what does not fit it.
    pub fn read(values: &Values, exchange: &Exchange) -> Result<Table, String> {
        let mut rows = HashMap::new();
        for i in 0.. {
            let of = |what: &str| format!("resp.command.{i}.{what}");
            let (text, number) = (
                |what| text(values, &of(what)),
                |what| number(values, &of(what)).unwrap_or(0.0),
            );
            let (Some(name), Some(group)) = (text("name"), text("group")) else {
                break;
            };
            let wrong = |what: String| Err(format!("resp/command '{name}': {what}"));
            let Some(place) = exchange.group(group) else {
                return wrong(format!(
                    "group: found '{group}', expected one of the platform's"
                ));
            };
            let row = Row {
                group: place,
                key: number("key") as usize,
                mark: number("mark") as usize,
                timeout: number("timeout_ms") / 1e3,
                timeout_at: number("timeout_at") as usize,
            };
            let tagged = exchange.repeat(place) == "dedup";
            if tagged != (row.mark > 0) {
                let expected = if tagged {
                    "expected, its group is tagged"
                } else {
                    "expected none, its group is not tagged"
                };
                return wrong(format!("mark: {expected}"));
            }
            if rows
                .insert(name.to_ascii_uppercase().into_bytes(), row)
                .is_some()
            {
                return wrong("found again, expected each once".into());
            }
        }
        Ok(Table { rows })
    }

    /// The row of a command, if it has one.
    pub fn row(&self, name: &[u8]) -> Option<&Row> {
        self.rows.get(&name.to_ascii_uppercase())
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }
}

impl Row {
    /// The key of a command, if it has one.
    pub fn key<'a>(&self, words: &'a [Bytes]) -> Option<&'a [u8]> {
        words
            .get(self.key)
            .filter(|k| self.key > 0 && !k.is_empty())
            .map(|k| &k[..])
    }

    /// How long its client waits, in seconds, if all that the row asks for is there.
    pub fn remaining(&self, words: &[Bytes]) -> Result<f64, Odd> {
        if self.mark > 0 && words.get(self.mark).is_none_or(|m| m.is_empty()) {
            return Err(Odd(format!(
                "argument {}: expected the mark that tells repeats",
                self.mark
            )));
        }
        if self.timeout_at == 0 {
            return Ok(self.timeout);
        }
        let digits = words
            .get(self.timeout_at)
            .and_then(|w| std::str::from_utf8(w).ok());
        let digits = digits.filter(|d| !d.is_empty() && d.bytes().all(|b| b.is_ascii_digit()));
        let stated = digits.and_then(|d| d.parse::<u32>().ok());
        let stated = stated.ok_or_else(|| {
            Odd(format!(
                "argument {}: expected whole milliseconds",
                self.timeout_at
            ))
        })?;
        Ok((f64::from(stated) / 1e3).min(self.timeout))
    }
}
