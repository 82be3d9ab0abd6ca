//! Parsing a configuration after another one: routes whose text is unchanged are reused as they were parsed.
//!
//! Most changes leave most routes as they are, and parsing them is nearly all of the work: 2,320 routes take 9 ms on a full
//! core, so 90 ms at a tenth of one, in which a proxy serves nobody.

use crate::route_table::Route;
use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::ops::Range;
use std::sync::Arc;

/// The text of each route of a configuration, and the route that was parsed from it. It holds nothing that the routes don't, so
/// any two are equal.
#[derive(Clone, Debug, Default)]
pub(crate) struct ParsedRoutes {
    text: Arc<str>,
    /// By a hash of its text: where the text stands, and the route.
    routes: HashMap<u64, (Range<usize>, Arc<Route>)>,
}

impl PartialEq for ParsedRoutes {
    fn eq(&self, _: &ParsedRoutes) -> bool {
        true
    }
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

impl ParsedRoutes {
    pub(crate) fn new(
        text: &Arc<str>,
        routes: impl Iterator<Item = (Range<usize>, Arc<Route>)>,
    ) -> ParsedRoutes {
        let keyed =
            |(range, route): (Range<usize>, _)| (hash(&text[range.clone()]), (range, route));
        ParsedRoutes {
            text: text.clone(),
            routes: routes.map(keyed).collect(),
        }
    }

    /// Returns the route that was parsed from this very text.
    fn find(&self, text: &str) -> Option<&Arc<Route>> {
        let (range, route) = self.routes.get(&hash(text))?;
        (self.text[range.clone()] == *text).then_some(route)
    }

    /// Returns the known ones of the routes whose texts stand at `ranges`.
    pub(crate) fn known(&self, text: &str, ranges: &[Range<usize>]) -> Vec<Option<Arc<Route>>> {
        ranges
            .iter()
            .map(|range| self.find(&text[range.clone()]).cloned())
            .collect()
    }
}

/// Returns the text with a 0 in place of each route: so that each is parsed by itself, and no more than one is held as JSON,
/// which takes ten times the memory of its text.
pub(crate) fn without_routes(text: &str, ranges: &[Range<usize>]) -> String {
    let mut short = String::new();
    let mut from = 0;
    for range in ranges {
        short.push_str(&text[from..range.start]);
        short.push('0');
        from = range.end;
    }
    short.push_str(&text[from..]);
    short
}

/// Which list or object of the document a position is in, on the way to the routes.
#[derive(Clone, Copy, PartialEq)]
enum Level {
    Root,
    Wickets,
    Wicket,
    Regulations,
    Other,
}

/// Returns where the routes' texts stand: each element of each `regulations` of `wickets`.
///
/// None where that can't be told by a scan (a name twice in an object, or written with escapes). The text may be no JSON all
/// the same.
pub(crate) fn route_ranges(text: &str) -> Option<Vec<Range<usize>>> {
    let mut scanner = Scanner {
        text,
        bytes: text.as_bytes(),
        ..Scanner::default()
    };
    while scanner.at < scanner.bytes.len() {
        scanner.begin_element();
        scanner.step()?;
    }
    scanner.levels.is_empty().then_some(scanner.ranges)
}

/// Scans a document for the texts of its routes.
#[derive(Default)]
struct Scanner<'a> {
    text: &'a str,
    bytes: &'a [u8],
    at: usize,
    levels: Vec<Level>,
    ranges: Vec<Range<usize>>,
    /// Where the element of a list of routes begins that is being scanned.
    element_start: Option<usize>,
    /// The next value is that of `wickets` or `regulations`.
    is_wanted: bool,
    /// The next string is a name.
    is_name_next: bool,
    /// `wickets` was met in the root, and `regulations` in this wicket.
    has_wickets: bool,
    has_regulations: bool,
}

impl Scanner<'_> {
    fn level(&self) -> Option<Level> {
        self.levels.last().copied()
    }

    /// Takes note if an element of a list of routes begins here.
    fn begin_element(&mut self) {
        let is_separator = b" \t\r\n,]".contains(&self.bytes[self.at]);
        if self.level() == Some(Level::Regulations) && self.element_start.is_none() && !is_separator
        {
            self.element_start = Some(self.at);
        }
    }

    fn end_element(&mut self, end: usize) {
        if self.level() == Some(Level::Regulations) {
            self.ranges
                .extend(self.element_start.take().map(|start| start..end));
        }
    }

    /// Scans one token. None where the routes can't be told.
    fn step(&mut self) -> Option<()> {
        match self.bytes[self.at] {
            b'"' => self.string()?,
            open @ (b'{' | b'[') => self.open(open),
            b'}' | b']' => {
                // A plain value, the last one of a list of routes, ends here.
                self.end_element(self.at);
                self.levels.pop()?;
                self.end_element(self.at + 1);
            }
            b',' => {
                self.end_element(self.at);
                self.is_wanted = false;
                self.is_name_next = matches!(self.level(), Some(Level::Root | Level::Wicket));
            }
            _ => {}
        }
        self.at += 1;
        Some(())
    }

    fn string(&mut self) -> Option<()> {
        let from = self.at + 1;
        self.at = from;
        while self.at < self.bytes.len() && self.bytes[self.at] != b'"' {
            self.at += if self.bytes[self.at] == b'\\' { 2 } else { 1 };
        }
        let string = self.text.get(from..self.at)?;
        if !std::mem::take(&mut self.is_name_next) {
            return Some(());
        }
        let (wanted, is_met) = match self.level() {
            Some(Level::Root) => ("wickets", &mut self.has_wickets),
            Some(Level::Wicket) => ("regulations", &mut self.has_regulations),
            _ => return Some(()),
        };
        self.is_wanted = string == wanted;
        let is_repeated = self.is_wanted && std::mem::replace(is_met, true);
        let is_ambiguous = string.contains('\\') || is_repeated;
        (!is_ambiguous).then_some(())
    }

    fn open(&mut self, open: u8) {
        let next = match (self.level(), open) {
            (None, b'{') => Level::Root,
            (Some(Level::Root), b'[') if self.is_wanted => Level::Wickets,
            (Some(Level::Wickets), b'{') => Level::Wicket,
            (Some(Level::Wicket), b'[') if self.is_wanted => Level::Regulations,
            _ => Level::Other,
        };
        self.has_regulations &= next != Level::Wicket;
        self.is_wanted = false;
        self.is_name_next = open == b'{';
        self.levels.push(next);
    }
}
