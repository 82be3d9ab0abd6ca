//! Heads of requests and answers, read strictly.

use super::body::{Body, Chunks};
use super::lines::{self, field, in_host, in_target, in_token, trimmed, Lines, Wrong};

/// Header lines of one head; hyper takes 100.
const MOST_FIELDS: usize = 100;

/// What header lines say about framing, in requests and answers alike.
#[derive(Clone, Debug, Default)]
struct Facts {
    fields: usize,
    length: Option<u64>,
    chunked: bool,
    close: bool,
    keep_alive: bool,
}

impl Facts {
    fn take(&mut self, name: &[u8], value: &[u8]) -> Result<(), Wrong> {
        self.fields += 1;
        if self.fields > MOST_FIELDS {
            return Err(Wrong::TooLong);
        }
        match name.len() {
            10 if name.eq_ignore_ascii_case(b"connection") => {
                for word in value.split(|b| *b == b',').map(trimmed) {
                    self.close |= word.eq_ignore_ascii_case(b"close");
                    self.keep_alive |= word.eq_ignore_ascii_case(b"keep-alive");
                }
            }
            14 if name.eq_ignore_ascii_case(b"content-length") => {
                // A repeated one says nothing new at best. Nineteen digits always fit.
                if self.length.is_some() || value.is_empty() || value.len() > 19 {
                    return Err(Wrong::Length);
                }
                let digit = |b: &u8| {
                    (*b as char)
                        .to_digit(10)
                        .map(u64::from)
                        .ok_or(Wrong::Length)
                };
                let number = value
                    .iter()
                    .try_fold(0, |sum: u64, b| Ok(sum * 10 + digit(b)?))?;
                self.length = Some(number);
            }
            17 if name.eq_ignore_ascii_case(b"transfer-encoding") => {
                if self.chunked || !value.eq_ignore_ascii_case(b"chunked") {
                    return Err(Wrong::Coding);
                }
                self.chunked = true;
            }
            _ => {}
        }
        Ok(())
    }

    fn body(&self) -> Result<Option<Body>, Wrong> {
        match (self.length, self.chunked) {
            (Some(_), true) => Err(Wrong::Length),
            (_, true) => Ok(Some(Body::Chunked(Chunks::new()))),
            (length, false) => Ok(length.map(Body::Length)),
        }
    }
}

/// A request whose head is whole and sound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Bytes of the head.
    pub len: usize,
    /// None: nothing follows the head.
    pub body: Option<Body>,
    /// Its client sends nothing behind it.
    pub last: bool,
}

/// Reads the head of a request out of bytes that grow.
#[derive(Clone, Debug, Default)]
pub struct RequestHead {
    lines: Lines,
    /// Where the target lies, and whether the version is 1.0.
    first: Option<(usize, usize, bool)>,
    /// Where the host lies.
    host: Option<(usize, usize)>,
    /// It has a `Try-Id`.
    named: bool,
    facts: Facts,
}

impl RequestHead {
    /// `bytes` begin where the head does, and hold at least what they held before. None: it is not whole yet.
    pub fn read(&mut self, bytes: &[u8], most: usize) -> Result<Option<Asked>, Wrong> {
        // What can be no request is told from its first byte; a greeting of another protocol may hold no line.
        if bytes.first().is_some_and(|b| !in_token(*b)) {
            return Err(Wrong::FirstLine);
        }
        loop {
            let begin = self.lines.passed();
            let Some(line) = self.lines.next(bytes, most)? else {
                return Ok(None);
            };
            let Some((_, _, old)) = self.first else {
                self.first = Some(request_line(line)?);
                continue;
            };
            if line.is_empty() {
                return self.whole(bytes, old).map(Some);
            }
            let (name, value) = field(line)?;
            if name.len() == 4 && name.eq_ignore_ascii_case(b"host") {
                if self.host.is_some() || !value.iter().all(|b| in_host(*b)) {
                    return Err(Wrong::Host);
                }
                let at = begin + (value.as_ptr() as usize - line.as_ptr() as usize);
                self.host = Some((at, at + value.len()));
            }
            if name.len() == 6 && name.eq_ignore_ascii_case(b"try-id") {
                if self.named {
                    return Err(Wrong::Field); // whose answer it is to get can't be said
                }
                self.named = true;
            }
            self.facts.take(name, value)?;
        }
    }

    fn whole(&self, bytes: &[u8], old: bool) -> Result<Asked, Wrong> {
        if !self.lines.plain(bytes) {
            return Err(Wrong::Control);
        }
        let body = self.facts.body()?;
        if old && self.facts.chunked {
            return Err(Wrong::Coding); // version 1.0 knows no chunks
        }
        let host = self.host.map(|(from, to)| &bytes[from..to]);
        let target = self
            .first
            .map_or(&bytes[..0], |(from, to, _)| &bytes[from..to]);
        match (host, authority(target)) {
            (None, _) if !old => return Err(Wrong::Host),
            (Some(host), Some(named)) if !host.eq_ignore_ascii_case(named) => {
                return Err(Wrong::Host)
            }
            _ => {}
        }
        let last = self.facts.close || (old && !self.facts.keep_alive);
        let body = body.filter(|b| *b != Body::Length(0));
        Ok(Asked {
            len: self.lines.passed(),
            body,
            last,
        })
    }
}

/// Where the target lies in a request line, and whether its version is 1.0.
fn request_line(line: &[u8]) -> Result<(usize, usize, bool), Wrong> {
    let (rest, old) = match line.strip_suffix(b" HTTP/1.1") {
        Some(rest) => (rest, false),
        None => (
            line.strip_suffix(b" HTTP/1.0").ok_or(Wrong::FirstLine)?,
            true,
        ),
    };
    let method = rest
        .iter()
        .position(|b| !in_token(*b))
        .ok_or(Wrong::FirstLine)?;
    let target = &rest[method + 1..];
    if method == 0
        || rest[method] != b' '
        || target.is_empty()
        || !target.iter().all(|b| in_target(*b))
    {
        return Err(Wrong::FirstLine);
    }
    Ok((method + 1, rest.len(), old))
}

/// The authority of a target in absolute form.
fn authority(target: &[u8]) -> Option<&[u8]> {
    if target.first() == Some(&b'/') {
        return None;
    }
    let scheme = target.windows(3).position(|w| w == b"://")?;
    let rest = &target[scheme + 3..];
    let end = rest
        .iter()
        .position(|b| matches!(b, b'/' | b'?'))
        .unwrap_or(rest.len());
    let named = &rest[..end];
    Some(
        named
            .iter()
            .rposition(|b| *b == b'@')
            .map_or(named, |at| &named[at + 1..]),
    )
}

fn split(head: &[u8]) -> impl Iterator<Item = &[u8]> {
    head.split(|b| *b == b'\n')
        .map(|line| line.strip_suffix(b"\r").unwrap_or(line))
}

/// Method and target of a head that was read before.
pub fn first_of(head: &[u8]) -> Option<(&[u8], &[u8])> {
    let mut words = split(head).next()?.split(|b| *b == b' ');
    Some((words.next()?, words.next()?))
}

/// Header lines of a head that was read before.
pub fn fields_of(head: &[u8]) -> impl Iterator<Item = (&[u8], &[u8])> {
    split(head).skip(1).filter_map(|line| field(line).ok())
}

/// How an answer ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ends {
    /// With its head.
    AtOnce,
    With(Body),
}

/// An answer whose head is whole and sound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Told {
    /// Bytes of the head.
    pub len: usize,
    pub status: u16,
    pub ends: Ends,
    /// Where its `Try-Id` lies.
    pub id: Option<(usize, usize)>,
}

impl Told {
    /// Whether the answer proper follows.
    pub fn interim(&self) -> bool {
        self.status < 200
    }
}

/// Reads the head of an answer out of bytes that grow.
#[derive(Clone, Debug, Default)]
pub struct AnswerHead {
    lines: Lines,
    /// The status, and whether the version is 1.0.
    first: Option<(u16, bool)>,
    id: Option<(usize, usize)>,
    facts: Facts,
}

impl AnswerHead {
    /// As with requests; `bodiless`: it answers a HEAD.
    pub fn read(
        &mut self,
        bytes: &[u8],
        most: usize,
        bodiless: bool,
    ) -> Result<Option<Told>, Wrong> {
        let begins = bytes.len().min(5);
        if bytes[..begins] != b"HTTP/"[..begins] {
            return Err(Wrong::FirstLine);
        }
        loop {
            let begin = self.lines.passed();
            let Some(line) = self.lines.next(bytes, most)? else {
                return Ok(None);
            };
            let Some((status, old)) = self.first else {
                self.first = Some(status_line(line)?);
                continue;
            };
            if line.is_empty() {
                if !self.lines.plain(bytes) {
                    return Err(Wrong::Control);
                }
                return self.whole(status, old, bodiless).map(Some);
            }
            let (name, value) = field(line)?;
            if name.len() == 6 && name.eq_ignore_ascii_case(b"try-id") {
                if self.id.is_some() {
                    return Err(Wrong::Field); // whose answer it is can't be said
                }
                let at = begin + (value.as_ptr() as usize - line.as_ptr() as usize);
                self.id = Some((at, at + value.len()));
            }
            self.facts.take(name, value)?;
        }
    }

    fn whole(&self, status: u16, old: bool, bodiless: bool) -> Result<Told, Wrong> {
        let body = self.facts.body()?;
        if old && self.facts.chunked {
            return Err(Wrong::Coding);
        }
        let ends = match (status, body) {
            (101, _) => return Err(Wrong::Unasked),
            (100..=199 | 204 | 304, _) => Ends::AtOnce,
            (_, None) if !bodiless => return Err(Wrong::Endless),
            (_, Some(body)) if !bodiless && body != Body::Length(0) => Ends::With(body),
            _ => Ends::AtOnce,
        };
        Ok(Told {
            len: self.lines.passed(),
            status,
            ends,
            id: self.id,
        })
    }
}

/// The status of a status line, and whether its version is 1.0. The space before an empty reason may be missing.
fn status_line(line: &[u8]) -> Result<(u16, bool), Wrong> {
    let (rest, old) = match line.strip_prefix(b"HTTP/1.1 ") {
        Some(rest) => (rest, false),
        None => (
            line.strip_prefix(b"HTTP/1.0 ").ok_or(Wrong::FirstLine)?,
            true,
        ),
    };
    let (digits, reason) = rest.split_at_checked(3).ok_or(Wrong::FirstLine)?;
    let sound = digits.iter().all(u8::is_ascii_digit)
        && digits[0] >= b'1'
        && reason.first().is_none_or(|b| *b == b' ')
        && reason.iter().all(|b| lines::in_value(*b));
    if !sound {
        return Err(Wrong::FirstLine);
    }
    Ok((
        digits
            .iter()
            .fold(0, |sum, b| sum * 10 + u16::from(b - b'0')),
        old,
    ))
}
