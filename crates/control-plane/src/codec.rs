//! Forms of what is stored and sent: a format number first, then the value. A number that is not known is refused, never
//! guessed at; so is a value that does not end where its bytes do.
//!
//! A long value is squeezed, and its number says so.
//!
//! The first release wrote no number. Its values began with the place of an enum's variant, all below [`LEAST`], which is
//! how they are told apart.

use crate::delta;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::fmt;

/// The lowest number that stands in a form. The first release's values begin with a byte below it.
pub const LEAST: u8 = 16;
/// This release's form: the value as postcard writes it. The numbers count for all that is stored and sent alike.
pub const PLAIN: u8 = 16;
/// The same, squeezed.
pub const SQUEEZED: u8 = 17;
/// The longest value: several times the longest configuration.
const LONGEST: usize = 64 << 20;

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
        write!(
            f,
            "{}: found {}, expected {}",
            self.place, self.found, self.expected
        )
    }
}

impl Unreadable {
    pub(crate) fn of(
        place: &'static str,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> Unreadable {
        Unreadable {
            place,
            found: found.into(),
            expected: expected.into(),
            newer: false,
        }
    }
}

/// The value with its number before it.
pub fn pack<T: Serialize>(value: &T) -> Vec<u8> {
    let plain = postcard::to_extend(value, vec![PLAIN]).expect("plain data can be written");
    let mut squeezed = vec![SQUEEZED];
    if delta::squeeze(&plain[1..], &mut squeezed) {
        squeezed
    } else {
        plain
    }
}

/// A value's bytes.
pub enum Form<'a> {
    /// As the first release wrote it.
    First(&'a [u8]),
    /// As this one does.
    Known(Cow<'a, [u8]>),
}

/// The value's bytes, by its number.
pub fn open<'a>(place: &'static str, bytes: &'a [u8]) -> Result<Form<'a>, Unreadable> {
    match bytes.split_first() {
        None => Err(Unreadable::of(place, "nothing", "a format number")),
        Some((&PLAIN, value)) => Ok(Form::Known(Cow::Borrowed(value))),
        Some((&SQUEEZED, squeezed)) => {
            let value = delta::unsqueeze(squeezed, LONGEST);
            let found = || format!("{} bytes that can't be unpacked", bytes.len());
            Ok(Form::Known(Cow::Owned(
                value.ok_or_else(|| Unreadable::of(place, found(), "one"))?,
            )))
        }
        Some((&number, _)) if number < LEAST => Ok(Form::First(bytes)),
        Some((number, _)) => {
            let (found, expected) = (
                format!("format {number}"),
                format!("format {PLAIN} or {SQUEEZED}"),
            );
            Err(Unreadable {
                newer: true,
                ..Unreadable::of(place, found, expected)
            })
        }
    }
}

/// What had no number in the first release, and has to have one now.
pub fn unnumbered(place: &'static str) -> Unreadable {
    Unreadable::of(
        place,
        "no format number",
        format!("format {PLAIN} or {SQUEEZED}"),
    )
}

/// A value of which nothing is left over.
pub fn whole<'a, T: Deserialize<'a>>(
    place: &'static str,
    bytes: &'a [u8],
) -> Result<T, Unreadable> {
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
