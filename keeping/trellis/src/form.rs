//! Forms of what is stored and sent: a format number first, then the value. A number that is not known is refused, never
//! guessed at; so is a value that does not end where its bytes do.
//!
//! The first release wrote no number. Its values began with the place of an enum's variant, all below [`LEAST`], which is
//! how they are told apart.

use crate::delta;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::fmt;

/// The lowest number that stands in a form. The first release's values begin with a byte below it.
pub const LEAST: u8 = 16;

/// What can't be read, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// What it was to be, such as `command`.
    pub place: &'static str,
    pub found: String,
    pub expected: String,
    /// It has a format number that this release does not know: the bytes may well be sound.
    pub newer: bool,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {}, expected {}", self.place, self.found, self.expected)
    }
}

impl Unreadable {
    pub(crate) fn of(
        place: &'static str,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> Unreadable {
        Unreadable { place, found: found.into(), expected: expected.into(), newer: false }
    }
}

/// The value with its number before it.
pub fn pack<T: Serialize>(number: u8, value: &T) -> Vec<u8> {
    debug_assert!(number >= LEAST);
    postcard::to_extend(value, vec![number]).expect("plain data can be written")
}

/// What [`delta::pack`] was given: number and value, squeezed or not.
pub fn opened<'a>(place: &'static str, bytes: &'a [u8]) -> Result<Cow<'a, [u8]>, Unreadable> {
    delta::unpack(bytes).ok_or_else(|| unsound(place))
}

/// What is marked as squeezed and isn't.
pub fn unsound(place: &'static str) -> Unreadable {
    Unreadable::of(place, "squeezed bytes that do not open", "whole ones")
}

/// The number and the value's bytes; no number: the first release's.
pub fn split<'a>(place: &'static str, bytes: &'a [u8]) -> Result<(Option<u8>, &'a [u8]), Unreadable> {
    match bytes.split_first() {
        None => Err(Unreadable::of(place, "nothing", "a format number")),
        Some((number, value)) if *number >= LEAST => Ok((Some(*number), value)),
        Some(_) => Ok((None, bytes)),
    }
}

/// What is of a form that this release does not know.
pub fn unknown(place: &'static str, number: Option<u8>, known: u8) -> Unreadable {
    let found = number.map_or("no format number".to_owned(), |number| format!("format {number}"));
    let newer = number.is_some_and(|number| number > known);
    Unreadable { newer, ..Unreadable::of(place, found, format!("format {known}")) }
}

/// A value of which nothing is left over.
pub fn whole<'a, T: Deserialize<'a>>(place: &'static str, bytes: &'a [u8]) -> Result<T, Unreadable> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => {
            let found = format!("{} bytes after its end, of {}", rest.len(), bytes.len());
            Err(Unreadable::of(place, found, "its end"))
        }
        Err(error) => Err(Unreadable::of(
            place,
            format!("{} bytes that are none", bytes.len()),
            format!("one ({error})"),
        )),
    }
}
