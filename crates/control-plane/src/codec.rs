//! How values are stored and sent: a format number first, then the value. An unknown number is refused, never guessed at; so
//! is a value that does not end where its bytes do.
//!
//! A long value is compressed, and its format number says so.
//!
//! The first release wrote no format number. Its values begin with the position of an enum's variant, which is always below
//! [`MIN_FORMAT`]; that is how they are told apart.

use crate::delta;
use serde::{Deserialize, Serialize};
use std::borrow::Cow;
use std::fmt;

/// The lowest format number. Values of the first release begin with a lower byte.
pub const MIN_FORMAT: u8 = 16;
/// This release's format: the value as postcard writes it. Numbers count for all that is stored and sent alike.
pub const FORMAT_PLAIN: u8 = 16;
/// The same, compressed.
pub const FORMAT_COMPRESSED: u8 = 17;
/// The longest value, in bytes: several times the longest configuration.
const MAX_VALUE_BYTES: usize = 64 << 20;

/// A value that can't be read, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError {
    /// What the value was to be, such as `command`.
    pub subject: &'static str,
    /// What stands there.
    pub found: String,
    /// What should.
    pub expected: String,
    /// It has a format number that this release does not know: the bytes may well be sound.
    pub is_newer_format: bool,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: found {}, expected {}",
            self.subject, self.found, self.expected
        )
    }
}

impl std::error::Error for DecodeError {}

impl DecodeError {
    pub(crate) fn new(
        subject: &'static str,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) -> DecodeError {
        DecodeError {
            subject,
            found: found.into(),
            expected: expected.into(),
            is_newer_format: false,
        }
    }

    /// The value has no format number, and must have one.
    pub(crate) fn unversioned(subject: &'static str) -> DecodeError {
        DecodeError::new(subject, "no format number", known_formats())
    }
}

fn known_formats() -> String {
    format!("format {FORMAT_PLAIN} or {FORMAT_COMPRESSED}")
}

/// Encodes a value, with its format number before it.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let plain = postcard::to_extend(value, vec![FORMAT_PLAIN]).expect("plain data can be encoded");
    let mut compressed = vec![FORMAT_COMPRESSED];
    if delta::compress(&plain[1..], &mut compressed) {
        compressed
    } else {
        plain
    }
}

/// An encoded value without its format number.
pub enum Encoded<'a> {
    /// As the first release wrote it.
    Unversioned(&'a [u8]),
    /// As this release does.
    Current(Cow<'a, [u8]>),
}

/// Reads the format number, and decompresses the value if it is compressed.
///
/// # Errors
///
/// If the format is unknown, or the value can't be decompressed.
pub fn read_format<'a>(subject: &'static str, bytes: &'a [u8]) -> Result<Encoded<'a>, DecodeError> {
    match bytes.split_first() {
        None => Err(DecodeError::new(subject, "nothing", "a format number")),
        Some((&FORMAT_PLAIN, value)) => Ok(Encoded::Current(Cow::Borrowed(value))),
        Some((&FORMAT_COMPRESSED, compressed)) => {
            let found = || format!("{} bytes that can't be decompressed", bytes.len());
            let value = delta::decompress(compressed, MAX_VALUE_BYTES);
            let value = value.ok_or_else(|| DecodeError::new(subject, found(), "one"))?;
            Ok(Encoded::Current(Cow::Owned(value)))
        }
        Some((&number, _)) if number < MIN_FORMAT => Ok(Encoded::Unversioned(bytes)),
        Some((number, _)) => {
            let error = DecodeError::new(subject, format!("format {number}"), known_formats());
            Err(DecodeError {
                is_newer_format: true,
                ..error
            })
        }
    }
}

/// Decodes a value that takes all of the bytes.
///
/// # Errors
///
/// If the bytes are no such value, or go on after its end.
pub fn decode_exact<'a, T: Deserialize<'a>>(
    subject: &'static str,
    bytes: &'a [u8],
) -> Result<T, DecodeError> {
    match postcard::take_from_bytes(bytes) {
        Ok((value, [])) => Ok(value),
        Ok((_, rest)) => {
            let found = format!("{} bytes after its end, of {}", rest.len(), bytes.len());
            Err(DecodeError::new(subject, found, "its end"))
        }
        Err(error) => {
            let found = format!("{} bytes that are none", bytes.len());
            Err(DecodeError::new(subject, found, format!("one ({error})")))
        }
    }
}
