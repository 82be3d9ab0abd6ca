//! Where in a document something stands, and what is wrong there.

use std::fmt;

/// What is wrong in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Complaint {
    /// Where: names and numbers from the root, joined by dots.
    pub place: String,
    pub found: String,
    pub expected: String,
}

impl Complaint {
    pub fn new(
        place: impl Into<String>,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> Complaint {
        Complaint {
            place: place.into(),
            found: found.into(),
            expected: expected.into(),
        }
    }
}

impl fmt::Display for Complaint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: found {}, expected {}",
            self.place, self.found, self.expected
        )
    }
}

/// Puts a name behind a place.
pub fn under(place: &str, name: impl fmt::Display) -> String {
    if place.is_empty() {
        name.to_string()
    } else {
        format!("{place}.{name}")
    }
}

/// A found text, cut to a length that fits a line.
pub fn quoted(text: &str) -> String {
    let short: String = text.chars().take(60).collect();
    let more = if short.len() < text.len() { "..." } else { "" };
    format!("'{short}{more}'")
}
