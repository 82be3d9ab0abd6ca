//! Where the texts of the routes stand in a configuration's document.

use std::ops::Range;

/// Documents nested deeper are parsed whole: the JSON parser bounds the depth of a document, not that of a route by itself.
const MAX_DEPTH: usize = 64;

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
/// None where that can't be told by a scan (a name twice in an object, or written with escapes), or where the document is nested
/// deeply. The text may be no JSON all the same.
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
            b'{' | b'[' if self.levels.len() >= MAX_DEPTH => return None,
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
