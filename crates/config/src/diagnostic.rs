//! What is wrong in a document, and where.

use std::fmt;

/// Characters of a found text that are shown.
const MAX_QUOTED_CHARS: usize = 60;

/// One thing that is wrong in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Diagnostic {
    /// Where it stands: names and numbers from the root, joined by dots.
    pub path: String,
    /// What stands there.
    pub found: String,
    /// What should.
    pub expected: String,
}

impl Diagnostic {
    /// Creates a diagnostic.
    pub fn new(
        path: impl Into<String>,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> Diagnostic {
        Diagnostic {
            path: path.into(),
            found: found.into(),
            expected: expected.into(),
        }
    }
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: found {}, expected {}",
            self.path, self.found, self.expected
        )
    }
}

/// Appends a name to a path.
pub fn child(path: &str, name: impl fmt::Display) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

/// Returns a found text in quotes, cut to a length that fits a line.
pub fn quoted(text: &str) -> String {
    let short: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    let more = if short.len() < text.len() { "..." } else { "" };
    format!("'{short}{more}'")
}
