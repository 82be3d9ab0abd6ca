//! Where a body ends.

use super::lines::{in_quotes, in_token, in_value, Wrong};

/// Chunk extensions and trailers of one body together; hyper takes 16 KiB of each.
const BESIDE: usize = 16_000;
/// Trailer lines; hyper takes 100.
const MOST_TRAILERS: usize = 100;

/// A body that is being read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// So many bytes are still to come.
    Length(u64),
    Chunked(Chunks),
}

impl Body {
    /// How many of the bytes belong to it, and whether it ends with them.
    pub fn read(&mut self, bytes: &[u8]) -> Result<(usize, bool), Wrong> {
        match self {
            Body::Length(left) => {
                let passed =
                    usize::try_from(*left).map_or(bytes.len(), |left| left.min(bytes.len()));
                *left -= passed as u64;
                Ok((passed, *left == 0))
            }
            Body::Chunked(chunks) => chunks.read(bytes),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    Size,
    /// Spaces behind the size or an extension: another extension must follow.
    Gap,
    ExtensionStart,
    ExtensionName,
    ExtensionNameGap,
    ExtensionValueStart,
    ExtensionValue,
    Quoted,
    Escaped,
    QuotedEnd,
    SizeFeed,
    Data,
    DataReturn,
    DataFeed,
    TrailerStart,
    TrailerName,
    TrailerValue,
    TrailerFeed,
    EndFeed,
}

/// A body in chunks (RFC 9112, 7.1).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chunks {
    at: At,
    /// Of the chunk being read: its size, then what is still to come of it.
    left: u64,
    digits: u8,
    /// Bytes of extensions and trailers so far, and trailer lines.
    beside: usize,
    trailers: usize,
}

impl Chunks {
    pub fn new() -> Chunks {
        Chunks {
            at: At::Size,
            left: 0,
            digits: 0,
            beside: 0,
            trailers: 0,
        }
    }

    fn read(&mut self, bytes: &[u8]) -> Result<(usize, bool), Wrong> {
        let mut passed = 0;
        while passed < bytes.len() {
            if self.at == At::Data {
                let rest = bytes.len() - passed;
                let some = usize::try_from(self.left).map_or(rest, |left| left.min(rest));
                passed += some;
                self.left -= some as u64;
                if self.left == 0 {
                    self.at = At::DataReturn;
                }
                continue;
            }
            let ended = self.at == At::EndFeed;
            self.at = self.follow(bytes[passed])?;
            passed += 1;
            if ended {
                return Ok((passed, true));
            }
            if !matches!(
                self.at,
                At::Size | At::SizeFeed | At::Data | At::DataReturn | At::DataFeed
            ) {
                self.beside += 1;
                if self.beside > BESIDE {
                    return Err(Wrong::TooLong);
                }
            }
        }
        Ok((passed, false))
    }

    /// The state after one byte that is not data.
    fn follow(&mut self, byte: u8) -> Result<At, Wrong> {
        let next = match (self.at, byte) {
            (At::Size, b'0'..=b'9' | b'a'..=b'f' | b'A'..=b'F') if self.digits < 16 => {
                self.digits += 1;
                self.left = self.left << 4 | u64::from((byte as char).to_digit(16).unwrap_or(0));
                At::Size
            }
            (At::Size, _) if self.digits == 0 => return Err(Wrong::Chunk),
            (At::Size | At::ExtensionName | At::ExtensionValue | At::QuotedEnd, b'\r') => {
                At::SizeFeed
            }
            (At::Size | At::Gap | At::ExtensionValue | At::QuotedEnd, b';') => At::ExtensionStart,
            (At::ExtensionName | At::ExtensionNameGap, b';') => At::ExtensionStart,
            (At::Size | At::Gap | At::ExtensionValue | At::QuotedEnd, b' ' | b'\t') => At::Gap,
            (At::ExtensionStart, b' ' | b'\t') => At::ExtensionStart,
            (At::ExtensionName | At::ExtensionNameGap, b' ' | b'\t') => At::ExtensionNameGap,
            (At::ExtensionName | At::ExtensionNameGap, b'=') => At::ExtensionValueStart,
            (At::ExtensionValueStart, b' ' | b'\t') => At::ExtensionValueStart,
            (At::ExtensionStart | At::ExtensionName, b) if in_token(b) => At::ExtensionName,
            (At::ExtensionValueStart | At::ExtensionValue, b) if in_token(b) => At::ExtensionValue,
            (At::ExtensionValueStart, b'"') => At::Quoted,
            (At::Quoted, b'"') => At::QuotedEnd,
            (At::Quoted, b'\\') => At::Escaped,
            (At::Quoted, b) if in_quotes(b) => At::Quoted,
            (At::Escaped, b) if in_value(b) => At::Quoted,
            (At::SizeFeed, b'\n') if self.left > 0 => At::Data,
            (At::SizeFeed, b'\n') => At::TrailerStart,
            (At::DataReturn, b'\r') => At::DataFeed,
            (At::DataFeed, b'\n') => {
                self.digits = 0;
                At::Size
            }
            (At::TrailerStart, b'\r') => At::EndFeed,
            (At::TrailerStart, b) if in_token(b) => {
                self.trailers += 1;
                if self.trailers > MOST_TRAILERS {
                    return Err(Wrong::TooLong);
                }
                At::TrailerName
            }
            (At::TrailerName, b) if in_token(b) => At::TrailerName,
            (At::TrailerName, b':') => At::TrailerValue,
            (At::TrailerValue, b'\r') => At::TrailerFeed,
            (At::TrailerValue, b) if in_value(b) => At::TrailerValue,
            (At::TrailerFeed, b'\n') => At::TrailerStart,
            (At::EndFeed, b'\n') => At::EndFeed,
            _ => return Err(Wrong::Chunk),
        };
        Ok(next)
    }
}

impl Default for Chunks {
    fn default() -> Chunks {
        Chunks::new()
    }
}
