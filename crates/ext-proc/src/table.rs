//! What a caller's headers are to the decisions: which path group a path is, where id, key, account and time are, and what
//! is answered when nothing can be decided. Operators say so; a path without a row is none of ours.

use crate::messages::HeaderMap;
use magpieline_attempt_log::log::Limits;
use magpieline_attempt_log::request::Idempotency;
use magpieline_dispatch::{hash, Exchange};
use magpieline_operator_config::{number, text, Values};

/// The longest id, key or account; those in use are a few dozen bytes.
const WORD_MOST: usize = 256;

/// One path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub prefix: String,
    pub group: usize,
    pub kind: Idempotency,
    /// The client timeout in seconds, and the header that says it in milliseconds for one hit.
    pub timeout: f64,
    /// When nothing can be decided the caller goes on by itself, else it answers at once.
    pub open: bool,
}

/// All rows, and the headers' names.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    rows: Vec<Row>,
    pub id: String,
    pub key: String,
    pub account: String,
    pub timeout: String,
    pub again: String,
    pub began: String,
    /// The header that names the node.
    pub node: String,
    pub bounds: Limits,
    /// Streams on one connection at most.
    pub streams: u32,
}

/// What a caller's headers say.
#[derive(Clone, Debug, PartialEq)]
pub struct Asked<'a> {
    pub row: &'a Row,
    /// A hash of path group and id; none where there is no id.
    pub id: Option<u64>,
    pub key: Option<&'a str>,
    pub account: &'a str,
    pub remaining: f64,
    pub again: bool,
    pub began: Option<f64>,
}

/// Why it can't be decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Odd {
    /// No row has its path.
    Nowhere,
    /// It needs an id and has none, or one that can't be read.
    NoId,
}

impl Table {
    /// The rows of the operators' file; an error names what the platform does not have or what must not be.
    pub fn read(values: &Values, exchange: &Exchange) -> Result<Table, String> {
        let text = |name: &str| text(values, &format!("extproc.{name}")).unwrap_or_default();
        let number = |name: &str| number(values, &format!("extproc.{name}")).unwrap_or(0.0);
        let mut rows: Vec<Row> = Vec::new();
        for i in 0.. {
            let of = |what: &str| format!("route.{i}.{what}");
            let (prefix, name) = (text(&of("prefix")), text(&of("group")));
            if prefix.is_empty() || name.is_empty() {
                break;
            }
            let wrong = |what: String| Err(format!("extproc/route '{prefix}': {what}"));
            let Some(group) = exchange.group(name) else {
                return wrong(format!(
                    "group: found '{name}', expected one of the platform's"
                ));
            };
            let kind = match exchange.repeat(group) {
                "retryable" => Idempotency::Idempotent,
                "dedup" => Idempotency::Deduplicated {
                    window: exchange.window(group),
                },
                _ => Idempotency::NonIdempotent,
            };
            let open = text(&of("when_unsure")) == "open";
            if open && kind != Idempotency::Idempotent {
                return wrong(
                    "when-unsure: found open, expected closed: its hits may not run twice".into(),
                );
            }
            if rows.iter().any(|r| r.prefix == prefix) {
                return wrong("found again, expected each once".into());
            }
            rows.push(Row {
                prefix: prefix.into(),
                group,
                kind,
                timeout: number(&of("timeout_ms")) / 1e3,
                open,
            });
        }
        // The longest that fits counts.
        rows.sort_by_key(|r| std::cmp::Reverse(r.prefix.len()));
        Ok(Table {
            rows,
            id: text("id_header").into(),
            key: text("key_header").into(),
            account: text("account_header").into(),
            timeout: text("timeout_header").into(),
            again: text("again_header").into(),
            began: text("began_header").into(),
            node: text("node_header").into(),
            bounds: Limits {
                max_entries: number("most_remembered") as usize,
                retention: number("remember_s"),
            },
            streams: number("most_streams") as u32,
        })
    }

    /// Reads a caller's headers.
    pub fn asked<'a>(&'a self, headers: &'a HeaderMap) -> Result<Asked<'a>, Odd> {
        let path = headers.get(":path").unwrap_or_default();
        let path = path.split(['?', '#']).next().unwrap_or_default();
        let within = |prefix: &str| {
            let rest = path.strip_prefix(prefix);
            rest.is_some_and(|rest| {
                rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
            })
        };
        let row = self
            .rows
            .iter()
            .find(|r| within(&r.prefix))
            .ok_or(Odd::Nowhere)?;
        let word = |name: &str| {
            let text = headers
                .get(name)
                .map(str::trim)
                .filter(|_| !name.is_empty());
            text.filter(|t| !t.is_empty() && t.len() <= WORD_MOST)
        };
        let figure = |name: &str| {
            word(name)?
                .parse::<f64>()
                .ok()
                .filter(|n| n.is_finite() && *n >= 0.0)
        };
        let id = word(&self.id).map(|id| hash(format!("extproc {} {id}", row.group).as_bytes()));
        if id.is_none() && row.kind != Idempotency::Idempotent {
            return Err(Odd::NoId);
        }
        let again = match word(&self.again) {
            Some("true") => true,
            Some(text) => text.parse::<f64>().is_ok_and(|n| n > 1.0),
            None => false,
        };
        Ok(Asked {
            row,
            id,
            key: word(&self.key),
            account: word(&self.account).unwrap_or_default(),
            remaining: figure(&self.timeout).map_or(row.timeout, |ms| (ms / 1e3).min(row.timeout)),
            again,
            began: figure(&self.began).map(|ms| ms / 1e3),
        })
    }
}
