//! Where a body ends.

use super::lines::{is_quoted_byte, is_token_byte, is_value_byte, FramingError};

/// Chunk extensions and trailers of one body together; hyper takes 16 KiB of each.
const MAX_METADATA_BYTES: usize = 16_000;
/// Trailer lines; hyper takes 100.
const MAX_TRAILER_LINES: usize = 100;

/// A body that is being parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyParser {
    /// So many bytes are still to come.
    Length(u64),
    /// It comes in chunks.
    Chunked(ChunkParser),
}

impl BodyParser {
    /// Parses bytes that have come. Returns how many of them belong to the body, and whether it ends with them.
    ///
    /// # Errors
    ///
    /// If the chunks are not framed as they must be.
    pub fn parse(&mut self, bytes: &[u8]) -> Result<(usize, bool), FramingError> {
        match self {
            BodyParser::Length(left) => {
                let len = usize::try_from(*left).map_or(bytes.len(), |left| left.min(bytes.len()));
                *left -= len as u64;
                Ok((len, *left == 0))
            }
            BodyParser::Chunked(chunks) => chunks.parse(bytes),
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkState {
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
    SizeLineFeed,
    Data,
    DataCarriageReturn,
    DataLineFeed,
    TrailerStart,
    TrailerName,
    TrailerValue,
    TrailerLineFeed,
    EndLineFeed,
}

impl ChunkState {
    /// Whether a byte that leads here belongs to an extension, a trailer or the end, which are limited together.
    fn is_metadata(self) -> bool {
        !matches!(
            self,
            ChunkState::Size
                | ChunkState::SizeLineFeed
                | ChunkState::Data
                | ChunkState::DataCarriageReturn
                | ChunkState::DataLineFeed
        )
    }
}

/// A body in chunks (RFC 9112, 7.1).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChunkParser {
    state: ChunkState,
    /// Of the current chunk: its size, then what is still to come of it.
    left: u64,
    digits: u8,
    /// Bytes of extensions and trailers so far, and trailer lines.
    metadata_bytes: usize,
    trailers: usize,
}

impl ChunkParser {
    /// Creates the state at the beginning of a body.
    pub fn new() -> ChunkParser {
        ChunkParser {
            state: ChunkState::Size,
            left: 0,
            digits: 0,
            metadata_bytes: 0,
            trailers: 0,
        }
    }

    /// Parses chunks; the results are those of [`BodyParser::parse`].
    fn parse(&mut self, bytes: &[u8]) -> Result<(usize, bool), FramingError> {
        let mut len = 0;
        while len < bytes.len() {
            if self.state == ChunkState::Data {
                let rest = bytes.len() - len;
                let some = usize::try_from(self.left).map_or(rest, |left| left.min(rest));
                len += some;
                self.left -= some as u64;
                if self.left == 0 {
                    self.state = ChunkState::DataCarriageReturn;
                }
                continue;
            }
            let ended = self.state == ChunkState::EndLineFeed;
            self.state = self.next_state(bytes[len])?;
            len += 1;
            if ended {
                return Ok((len, true));
            }
            if self.state.is_metadata() {
                self.metadata_bytes += 1;
                if self.metadata_bytes > MAX_METADATA_BYTES {
                    return Err(FramingError::TooLarge);
                }
            }
        }
        Ok((len, false))
    }

    /// The state after one byte that is not data.
    fn next_state(&mut self, byte: u8) -> Result<ChunkState, FramingError> {
        let next = match (self.state, byte) {
            (ChunkState::Size, b'0'..=b'9' | b'a'..=b'f' | b'A'..=b'F') if self.digits < 16 => {
                self.digits += 1;
                self.left = self.left << 4 | u64::from((byte as char).to_digit(16).unwrap_or(0));
                ChunkState::Size
            }
            (ChunkState::Size, _) if self.digits == 0 => return Err(FramingError::Chunk),
            (
                ChunkState::Size
                | ChunkState::ExtensionName
                | ChunkState::ExtensionValue
                | ChunkState::QuotedEnd,
                b'\r',
            ) => ChunkState::SizeLineFeed,
            (
                ChunkState::Size
                | ChunkState::Gap
                | ChunkState::ExtensionValue
                | ChunkState::QuotedEnd,
                b';',
            ) => ChunkState::ExtensionStart,
            (ChunkState::ExtensionName | ChunkState::ExtensionNameGap, b';') => {
                ChunkState::ExtensionStart
            }
            (
                ChunkState::Size
                | ChunkState::Gap
                | ChunkState::ExtensionValue
                | ChunkState::QuotedEnd,
                b' ' | b'\t',
            ) => ChunkState::Gap,
            (ChunkState::ExtensionStart, b' ' | b'\t') => ChunkState::ExtensionStart,
            (ChunkState::ExtensionName | ChunkState::ExtensionNameGap, b' ' | b'\t') => {
                ChunkState::ExtensionNameGap
            }
            (ChunkState::ExtensionName | ChunkState::ExtensionNameGap, b'=') => {
                ChunkState::ExtensionValueStart
            }
            (ChunkState::ExtensionValueStart, b' ' | b'\t') => ChunkState::ExtensionValueStart,
            (ChunkState::ExtensionStart | ChunkState::ExtensionName, b) if is_token_byte(b) => {
                ChunkState::ExtensionName
            }
            (ChunkState::ExtensionValueStart | ChunkState::ExtensionValue, b)
                if is_token_byte(b) =>
            {
                ChunkState::ExtensionValue
            }
            (ChunkState::ExtensionValueStart, b'"') => ChunkState::Quoted,
            (ChunkState::Quoted, b'"') => ChunkState::QuotedEnd,
            (ChunkState::Quoted, b'\\') => ChunkState::Escaped,
            (ChunkState::Quoted, b) if is_quoted_byte(b) => ChunkState::Quoted,
            (ChunkState::Escaped, b) if is_value_byte(b) => ChunkState::Quoted,
            (ChunkState::SizeLineFeed, b'\n') if self.left > 0 => ChunkState::Data,
            (ChunkState::SizeLineFeed, b'\n') => ChunkState::TrailerStart,
            (ChunkState::DataCarriageReturn, b'\r') => ChunkState::DataLineFeed,
            (ChunkState::DataLineFeed, b'\n') => {
                self.digits = 0;
                ChunkState::Size
            }
            (ChunkState::TrailerStart, b'\r') => ChunkState::EndLineFeed,
            (ChunkState::TrailerStart, b) if is_token_byte(b) => {
                self.trailers += 1;
                if self.trailers > MAX_TRAILER_LINES {
                    return Err(FramingError::TooLarge);
                }
                ChunkState::TrailerName
            }
            (ChunkState::TrailerName, b) if is_token_byte(b) => ChunkState::TrailerName,
            (ChunkState::TrailerName, b':') => ChunkState::TrailerValue,
            (ChunkState::TrailerValue, b'\r') => ChunkState::TrailerLineFeed,
            (ChunkState::TrailerValue, b) if is_value_byte(b) => ChunkState::TrailerValue,
            (ChunkState::TrailerLineFeed, b'\n') => ChunkState::TrailerStart,
            (ChunkState::EndLineFeed, b'\n') => ChunkState::EndLineFeed,
            _ => return Err(FramingError::Chunk),
        };
        Ok(next)
    }
}

impl Default for ChunkParser {
    fn default() -> ChunkParser {
        ChunkParser::new()
    }
}
