//! Heads of requests and responses, parsed strictly.

use super::body::{BodyParser, ChunkParser};
use super::lines::{
    self, header_line, is_host_byte, is_target_byte, is_token_byte, trim, FramingError, LineReader,
};
use std::ops::Range;

/// Header lines of one head; hyper takes 100.
const MAX_HEADER_LINES: usize = 100;
/// Digits of a length; so many always fit.
const MAX_LENGTH_DIGITS: usize = 19;
const HTTP_1_0: &[u8] = b"HTTP/1.0";

/// The version of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Version {
    Http10,
    Http11,
}

/// What header lines say about framing, in requests and responses alike.
#[derive(Clone, Debug, Default)]
struct FramingHeaders {
    lines: usize,
    content_length: Option<u64>,
    is_chunked: bool,
    close: bool,
    keep_alive: bool,
}

impl FramingHeaders {
    fn add(&mut self, name: &[u8], value: &[u8]) -> Result<(), FramingError> {
        self.lines += 1;
        if self.lines > MAX_HEADER_LINES {
            return Err(FramingError::TooLarge);
        }
        // Lengths first: most lines are none of these.
        match name.len() {
            10 if name.eq_ignore_ascii_case(b"connection") => self.add_connection_options(value),
            14 if name.eq_ignore_ascii_case(b"content-length") => {
                self.add_content_length(value)?;
            }
            17 if name.eq_ignore_ascii_case(b"transfer-encoding") => {
                if self.is_chunked || !value.eq_ignore_ascii_case(b"chunked") {
                    return Err(FramingError::TransferCoding);
                }
                self.is_chunked = true;
            }
            _ => {}
        }
        Ok(())
    }

    fn add_connection_options(&mut self, value: &[u8]) {
        for option in value.split(|byte| *byte == b',').map(trim) {
            self.close |= option.eq_ignore_ascii_case(b"close");
            self.keep_alive |= option.eq_ignore_ascii_case(b"keep-alive");
        }
    }

    /// A repeated length says nothing new at best.
    fn add_content_length(&mut self, value: &[u8]) -> Result<(), FramingError> {
        let is_plain = value.iter().all(u8::is_ascii_digit);
        let has_length = (1..=MAX_LENGTH_DIGITS).contains(&value.len());
        if self.content_length.is_some() || !has_length || !is_plain {
            return Err(FramingError::ContentLength);
        }
        let length = value
            .iter()
            .fold(0, |sum, byte| sum * 10 + u64::from(byte - b'0'));
        self.content_length = Some(length);
        Ok(())
    }

    /// Returns the body that follows, as far as the header lines tell.
    fn body(&self, version: Version) -> Result<Option<BodyParser>, FramingError> {
        if self.is_chunked && self.content_length.is_some() {
            return Err(FramingError::ContentLength);
        }
        if self.is_chunked && version == Version::Http10 {
            return Err(FramingError::TransferCoding); // version 1.0 has no chunks
        }
        if self.is_chunked {
            return Ok(Some(BodyParser::Chunked(ChunkParser::new())));
        }
        Ok(self.content_length.map(BodyParser::Length))
    }
}

/// A whole and valid head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Bytes of the head.
    pub len: usize,
    /// What follows the head; none: nothing.
    pub body: Option<BodyParser>,
    /// Whether its client sends nothing behind it.
    pub is_last: bool,
}

#[derive(Clone, Debug)]
struct RequestLine {
    target: Range<usize>,
    version: Version,
}

/// Parses the head of a request out of bytes that grow.
#[derive(Clone, Debug, Default)]
pub struct RequestHeadParser {
    lines: LineReader,
    request_line: Option<RequestLine>,
    host: Option<Range<usize>>,
    has_try_id: bool,
    headers: FramingHeaders,
}

impl RequestHeadParser {
    /// Parses what has come of a head of `max` bytes at most. `bytes` begin where the head does, and hold at least what they
    /// held before. Returns none if the head is not whole yet.
    ///
    /// # Errors
    ///
    /// If it is no head that all readers read in the same way.
    pub fn parse(&mut self, bytes: &[u8], max: usize) -> Result<Option<RequestHead>, FramingError> {
        // What can be no request is told from its first byte; a greeting of another protocol may hold no line.
        if bytes.first().is_some_and(|byte| !is_token_byte(*byte)) {
            return Err(FramingError::StartLine);
        }
        loop {
            let begin = self.lines.consumed();
            let Some(line) = self.lines.next(bytes, max)? else {
                return Ok(None);
            };
            let Some(request_line) = &self.request_line else {
                self.request_line = Some(parse_request_line(line)?);
                continue;
            };
            if line.is_empty() {
                return self.finish(bytes, request_line).map(Some);
            }
            self.add_line(begin, line)?;
        }
    }

    fn add_line(&mut self, begin: usize, line: &[u8]) -> Result<(), FramingError> {
        let (name, value) = header_line(line)?;
        if name.len() == 4 && name.eq_ignore_ascii_case(b"host") {
            if self.host.is_some() || !value.iter().all(|byte| is_host_byte(*byte)) {
                return Err(FramingError::Host);
            }
            self.host = Some(range_in(begin, line, value));
        }
        if name.len() == 6 && name.eq_ignore_ascii_case(b"try-id") {
            if self.has_try_id {
                return Err(FramingError::HeaderLine); // which response is its own can't be said
            }
            self.has_try_id = true;
        }
        self.headers.add(name, value)
    }

    fn finish(&self, bytes: &[u8], line: &RequestLine) -> Result<RequestHead, FramingError> {
        if !self.lines.has_no_control_characters(bytes) {
            return Err(FramingError::ControlCharacter);
        }
        let body = self.headers.body(line.version)?;
        let host = self.host.clone().map(|range| &bytes[range]);
        match (host, authority(&bytes[line.target.clone()])) {
            (None, _) if line.version == Version::Http11 => return Err(FramingError::Host),
            (Some(host), Some(authority)) if !host.eq_ignore_ascii_case(authority) => {
                return Err(FramingError::Host)
            }
            _ => {}
        }
        let is_kept = line.version == Version::Http11 || self.headers.keep_alive;
        Ok(RequestHead {
            len: self.lines.consumed(),
            body: body.filter(|body| *body != BodyParser::Length(0)),
            is_last: self.headers.close || !is_kept,
        })
    }
}

/// Returns where a value of a line lies in the bytes in which the line begins at `begin`.
fn range_in(begin: usize, line: &[u8], value: &[u8]) -> Range<usize> {
    let start = begin + (value.as_ptr() as usize - line.as_ptr() as usize);
    start..start + value.len()
}

fn parse_request_line(line: &[u8]) -> Result<RequestLine, FramingError> {
    let (rest, version) = match line.strip_suffix(b" HTTP/1.1") {
        Some(rest) => (rest, Version::Http11),
        None => {
            let rest = line
                .strip_suffix(HTTP_1_0)
                .and_then(|rest| rest.strip_suffix(b" "));
            (rest.ok_or(FramingError::StartLine)?, Version::Http10)
        }
    };
    let method = rest.iter().position(|byte| !is_token_byte(*byte));
    let method = method.ok_or(FramingError::StartLine)?;
    let target = &rest[method + 1..];
    let is_separated = method > 0 && rest[method] == b' ';
    if !is_separated || target.is_empty() || !target.iter().all(|byte| is_target_byte(*byte)) {
        return Err(FramingError::StartLine);
    }
    Ok(RequestLine {
        target: method + 1..rest.len(),
        version,
    })
}

/// Returns the authority of a target in absolute form.
fn authority(target: &[u8]) -> Option<&[u8]> {
    if target.first() == Some(&b'/') {
        return None;
    }
    let scheme = target.windows(3).position(|window| window == b"://")?;
    let rest = &target[scheme + 3..];
    let end = rest.iter().position(|byte| matches!(byte, b'/' | b'?'));
    let authority = &rest[..end.unwrap_or(rest.len())];
    let user = authority.iter().rposition(|byte| *byte == b'@');
    Some(user.map_or(authority, |at| &authority[at + 1..]))
}

fn lines_of(head: &[u8]) -> impl Iterator<Item = &[u8]> {
    head.split(|byte| *byte == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Returns method and target of a head that was parsed before.
pub fn method_and_target(head: &[u8]) -> Option<(&[u8], &[u8])> {
    let mut words = lines_of(head).next()?.split(|byte| *byte == b' ');
    Some((words.next()?, words.next()?))
}

/// Returns names and values of the header lines of a head that was parsed before.
pub fn headers(head: &[u8]) -> impl Iterator<Item = (&[u8], &[u8])> {
    lines_of(head)
        .skip(1)
        .filter_map(|line| header_line(line).ok())
}

/// How a response ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponseEnd {
    /// With its head.
    WithHead,
    /// With a body.
    WithBody(BodyParser),
}

/// A whole and valid head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Bytes of the head.
    pub len: usize,
    /// Its status.
    pub status: u16,
    /// How the response ends.
    pub end: ResponseEnd,
    /// Where its `Try-Id` lies.
    pub id: Option<Range<usize>>,
}

impl ResponseHead {
    /// Whether the response proper follows.
    pub fn is_interim(&self) -> bool {
        self.status < 200
    }
}

#[derive(Clone, Copy, Debug)]
struct StatusLine {
    status: u16,
    version: Version,
}

/// Parses the head of a response out of bytes that grow.
#[derive(Clone, Debug, Default)]
pub struct ResponseHeadParser {
    lines: LineReader,
    status_line: Option<StatusLine>,
    id: Option<Range<usize>>,
    headers: FramingHeaders,
}

impl ResponseHeadParser {
    /// Parses what has come of a head of `max` bytes at most, as with requests. `is_head_request`: it answers a HEAD.
    ///
    /// # Errors
    ///
    /// If it is no head, or how the response ends can't be told.
    pub fn parse(
        &mut self,
        bytes: &[u8],
        max: usize,
        is_head_request: bool,
    ) -> Result<Option<ResponseHead>, FramingError> {
        const BEGINNING: &[u8] = b"HTTP/";
        let compared = bytes.len().min(BEGINNING.len());
        if bytes[..compared] != BEGINNING[..compared] {
            return Err(FramingError::StartLine);
        }
        loop {
            let begin = self.lines.consumed();
            let Some(line) = self.lines.next(bytes, max)? else {
                return Ok(None);
            };
            let Some(status_line) = self.status_line else {
                self.status_line = Some(parse_status_line(line)?);
                continue;
            };
            if line.is_empty() {
                if !self.lines.has_no_control_characters(bytes) {
                    return Err(FramingError::ControlCharacter);
                }
                return self.finish(status_line, is_head_request).map(Some);
            }
            let (name, value) = header_line(line)?;
            if name.len() == 6 && name.eq_ignore_ascii_case(b"try-id") {
                if self.id.is_some() {
                    return Err(FramingError::HeaderLine); // whose response it is can't be said
                }
                self.id = Some(range_in(begin, line, value));
            }
            self.headers.add(name, value)?;
        }
    }

    fn finish(
        &self,
        line: StatusLine,
        is_head_request: bool,
    ) -> Result<ResponseHead, FramingError> {
        let body = self.headers.body(line.version)?;
        let end = match (line.status, body) {
            (101, _) => return Err(FramingError::Unsolicited),
            (100..=199 | 204 | 304, _) => ResponseEnd::WithHead,
            (_, None) if !is_head_request => return Err(FramingError::UnknownEnd),
            (_, Some(body)) if !is_head_request && body != BodyParser::Length(0) => {
                ResponseEnd::WithBody(body)
            }
            _ => ResponseEnd::WithHead,
        };
        Ok(ResponseHead {
            len: self.lines.consumed(),
            status: line.status,
            end,
            id: self.id.clone(),
        })
    }
}

/// Parses a status line. The space before an empty reason may be missing.
fn parse_status_line(line: &[u8]) -> Result<StatusLine, FramingError> {
    let (rest, version) = match line.strip_prefix(b"HTTP/1.1 ") {
        Some(rest) => (rest, Version::Http11),
        None => {
            let rest = line
                .strip_prefix(HTTP_1_0)
                .and_then(|rest| rest.strip_prefix(b" "));
            (rest.ok_or(FramingError::StartLine)?, Version::Http10)
        }
    };
    let (digits, reason) = rest.split_at_checked(3).ok_or(FramingError::StartLine)?;
    let is_valid = digits.iter().all(u8::is_ascii_digit)
        && digits[0] >= b'1'
        && reason.first().is_none_or(|byte| *byte == b' ')
        && reason.iter().all(|byte| lines::is_value_byte(*byte));
    if !is_valid {
        return Err(FramingError::StartLine);
    }
    let status = digits
        .iter()
        .fold(0, |sum, digit| sum * 10 + u16::from(digit - b'0'));
    Ok(StatusLine { status, version })
}
