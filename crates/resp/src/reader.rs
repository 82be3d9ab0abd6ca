//! Parses values out of bytes that come in pieces of any size; nesting is kept on a stack of its own.

use crate::line::{self, Count};
use crate::value::Value;
use bytes::{Buf, Bytes, BytesMut};
use std::collections::VecDeque;
use std::fmt;

/// The limits of what is accepted. A value beyond any of these is an error.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Values within values.
    pub depth: usize,
    /// Values in one message, those within others included.
    pub values: usize,
    /// Bytes of one string.
    pub string_bytes: usize,
    /// Bytes of one line.
    pub line_bytes: usize,
    /// Bytes of one message as it came.
    pub message_bytes: usize,
}

impl Default for Limits {
    /// A message of 1 MiB at most; a command has a few values a few levels deep, an answer some thousands.
    fn default() -> Limits {
        Limits {
            depth: 32,
            values: 1 << 16,
            string_bytes: 1 << 20,
            line_bytes: 1 << 12,
            message_bytes: 1 << 20,
        }
    }
}

/// Why what came is no message: what was found, and what was expected. Nothing after it can be parsed, either.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError(pub &'static str);

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for ParseError {}

/// The error of a length that is none.
const LENGTH: &str = "a length: expected a number";

#[derive(Clone, Copy, Debug, PartialEq)]
enum AggregateKind {
    Array,
    Set,
    Push,
    Map,
    Attributes,
}

/// An aggregate that is still being filled.
struct OpenAggregate {
    kind: AggregateKind,
    /// Values still to come; none where an end mark comes.
    left: Option<usize>,
    items: Vec<Value>,
    /// Attributes for its next value.
    attributes: Vec<(Value, Value)>,
}

/// A string whose bytes are still to come.
enum PartialString {
    /// Its length was announced.
    Sized { mark: u8, length: usize },
    /// Chunks so far.
    Streamed(BytesMut),
    /// Within a streamed string: a chunk of this length.
    Chunk(BytesMut, usize),
}

/// Parses messages out of bytes. After an error it parses no more.
pub struct Reader {
    limits: Limits,
    bytes: BytesMut,
    open: Vec<OpenAggregate>,
    partial_string: Option<PartialString>,
    /// Of the current message: values, and bytes already parsed.
    message_values: usize,
    message_bytes: usize,
    /// Attributes for the message itself.
    attributes: Vec<(Value, Value)>,
    /// How far the end of the next line was searched.
    scanned: usize,
    /// Pushes that came within another value: they are no part of it.
    pushes: VecDeque<Value>,
    error: Option<ParseError>,
}

/// Strings up to this are copied out: a slice of the buffer would keep all of it.
const MAX_COPIED_BYTES: usize = 1 << 10;

impl Reader {
    /// Creates a reader without bytes.
    pub fn new(limits: Limits) -> Reader {
        Reader {
            limits,
            bytes: BytesMut::new(),
            open: Vec::new(),
            partial_string: None,
            message_values: 0,
            message_bytes: 0,
            attributes: Vec::new(),
            scanned: 0,
            pushes: VecDeque::new(),
            error: None,
        }
    }

    /// Takes bytes, to be parsed by the next calls.
    pub fn feed(&mut self, piece: &[u8]) {
        self.bytes.extend_from_slice(piece);
    }

    /// Whether nothing of a message has come.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
            && self.open.is_empty()
            && self.partial_string.is_none()
            && self.attributes.is_empty()
    }

    /// Returns how many bytes wait to be parsed.
    pub fn buffered(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the next complete value, if it has come. A push that came within another value is returned first, by itself.
    ///
    /// # Errors
    ///
    /// If what came is no value, or beyond a limit.
    pub fn next_value(&mut self) -> Result<Option<Value>, ParseError> {
        if let Some(error) = &self.error {
            return Err(error.clone());
        }
        let value = self.parse();
        if let Err(error) = &value {
            self.error = Some(error.clone());
            self.bytes.clear();
            self.open.clear();
            self.partial_string = None;
        }
        value
    }

    /// Returns the next complete command, if it has come: an array of strings, or words on a line of their own. An empty one is
    /// passed over.
    ///
    /// # Errors
    ///
    /// If what came is no command, or beyond a limit.
    pub fn next_command(&mut self) -> Result<Option<Vec<Bytes>>, ParseError> {
        loop {
            let inside =
                !self.open.is_empty() || self.partial_string.is_some() || self.error.is_some();
            let words = match self.bytes.first() {
                Some(b'*') | None => None,
                Some(_) if inside => None,
                Some(_) => match self.next_line(self.limits.line_bytes) {
                    Ok(None) => return Ok(None),
                    Ok(Some(line)) => Some(split_words(&line)),
                    Err(error) => {
                        self.error = Some(error.clone());
                        return Err(error);
                    }
                },
            };
            let words = match words {
                Some(words) => words,
                None => match self.next_value()? {
                    None => return Ok(None),
                    Some(Value::Null) => Vec::new(),
                    Some(Value::Array(items)) => {
                        let string = |v| match v {
                            Value::Bulk(bytes) => Some(bytes),
                            _ => None,
                        };
                        let Some(words) = items.into_iter().map(string).collect() else {
                            return self.fail("a command: expected strings");
                        };
                        words
                    }
                    Some(_) => return self.fail("a command: expected an array"),
                },
            };
            self.message_bytes = 0;
            if !words.is_empty() {
                return Ok(Some(words));
            }
        }
    }

    fn fail<T>(&mut self, why: &'static str) -> Result<T, ParseError> {
        self.error = Some(ParseError(why));
        Err(ParseError(why))
    }

    fn parse(&mut self) -> Result<Option<Value>, ParseError> {
        loop {
            let value = match self.partial_string.take() {
                Some(partial) => match self.next_string(partial)? {
                    Some(value) => value,
                    None => return Ok(None),
                },
                None => {
                    let Some(line) = self.next_line(self.limits.line_bytes)? else {
                        return Ok(None);
                    };
                    match self.on_line(&line)? {
                        Some(value) => value,
                        None => continue,
                    }
                }
            };
            let complete = self.on_value(value)?;
            if complete.is_some() {
                (self.message_values, self.message_bytes) = (0, 0);
                return Ok(complete);
            }
            if let Some(push) = self.pushes.pop_front() {
                return Ok(Some(push));
            }
        }
    }

    /// Counts bytes of the current message.
    fn count_bytes(&mut self, bytes: usize) -> Result<(), ParseError> {
        self.message_bytes += bytes;
        if self.message_bytes > self.limits.message_bytes {
            return Err(ParseError("a message: too long"));
        }
        Ok(())
    }

    /// Returns the next line without its end, if it has come.
    fn next_line(&mut self, max: usize) -> Result<Option<Bytes>, ParseError> {
        let from = self.scanned;
        match memchr::memchr(b'\n', &self.bytes[from..]) {
            None => {
                self.scanned = self.bytes.len();
                if self.bytes.len() > max + 1 {
                    return Err(ParseError("a line: too long"));
                }
                Ok(None)
            }
            Some(at) => {
                let end = from + at;
                self.scanned = 0;
                if end == 0 || self.bytes[end - 1] != b'\r' {
                    return Err(ParseError("a line: expected CR and LF"));
                }
                if end - 1 > max {
                    return Err(ParseError("a line: too long"));
                }
                self.count_bytes(end + 1)?;
                let line = Bytes::copy_from_slice(&self.bytes[..end - 1]);
                self.bytes.advance(end + 1);
                Ok(Some(line))
            }
        }
    }

    /// Takes a line. Returns the value that it is, if it is a complete one.
    fn on_line(&mut self, line: &Bytes) -> Result<Option<Value>, ParseError> {
        let Some((&mark, rest)) = line.split_first() else {
            return Err(ParseError("a line: expected a mark"));
        };
        let text = || line.slice(1..);
        let value = match mark {
            b'+' => Value::Simple(without_return(text())?),
            b'-' => Value::Error(without_return(text())?),
            b':' => {
                let integer = line::integer(rest);
                Value::Integer(integer.ok_or(ParseError("an integer: expected one of 64 bits"))?)
            }
            b'_' if rest.is_empty() => Value::Null,
            b'#' if rest == b"t" => Value::Boolean(true),
            b'#' if rest == b"f" => Value::Boolean(false),
            b',' => {
                let double = line::double(rest);
                Value::Double(double.ok_or(ParseError("a double: expected a number"))?)
            }
            b'(' if line::is_big_number(rest) => Value::BigNumber(text()),
            b'$' | b'!' | b'=' => return self.begin_string(mark, rest),
            b'*' | b'~' | b'>' | b'%' | b'|' => return self.begin_aggregate(mark, rest),
            b'.' if rest.is_empty() => return self.end_streamed_aggregate(),
            _ => return Err(ParseError("a line: expected a mark")),
        };
        Ok(Some(value))
    }

    /// Begins a string by its mark and length. Returns a value if it is RESP2's null.
    fn begin_string(&mut self, mark: u8, length: &[u8]) -> Result<Option<Value>, ParseError> {
        let count = line::count(length).ok_or(ParseError(LENGTH))?;
        match count {
            Count::Known(length) if length > self.limits.string_bytes => {
                return Err(ParseError("a string: too long"));
            }
            Count::Known(length) => {
                self.partial_string = Some(PartialString::Sized { mark, length })
            }
            Count::Streamed if mark == b'$' => {
                self.partial_string = Some(PartialString::Streamed(BytesMut::new()));
            }
            Count::Null if mark == b'$' => return Ok(Some(Value::Null)),
            Count::Streamed | Count::Null => return Err(ParseError(LENGTH)),
        }
        Ok(None)
    }

    /// Begins an aggregate by its mark and length. Returns a value if it is empty, or RESP2's null.
    fn begin_aggregate(&mut self, mark: u8, length: &[u8]) -> Result<Option<Value>, ParseError> {
        let kind = match mark {
            b'*' => AggregateKind::Array,
            b'~' => AggregateKind::Set,
            b'>' => AggregateKind::Push,
            b'%' => AggregateKind::Map,
            _ => AggregateKind::Attributes,
        };
        let values_each = match kind {
            AggregateKind::Map | AggregateKind::Attributes => 2,
            AggregateKind::Array | AggregateKind::Set | AggregateKind::Push => 1,
        };
        let may_be_streamed = !matches!(kind, AggregateKind::Push | AggregateKind::Attributes);
        let left = match line::count(length).ok_or(ParseError(LENGTH))? {
            Count::Known(count) if count > self.limits.values => {
                return Err(ParseError("an aggregate: too many values"));
            }
            Count::Known(count) => Some(values_each * count),
            Count::Streamed if may_be_streamed => None,
            Count::Null if kind == AggregateKind::Array => return Ok(Some(Value::Null)),
            Count::Streamed | Count::Null => return Err(ParseError(LENGTH)),
        };
        if self.open.len() >= self.limits.depth {
            return Err(ParseError("an aggregate: too deep"));
        }
        // What is announced is not believed: memory grows as values come.
        self.open.push(OpenAggregate {
            kind,
            left,
            items: Vec::new(),
            attributes: Vec::new(),
        });
        match left {
            Some(0) => self.close_aggregate(),
            _ => Ok(None),
        }
    }

    /// An end mark ends the innermost aggregate, if that is streamed.
    fn end_streamed_aggregate(&mut self) -> Result<Option<Value>, ParseError> {
        let innermost = self.open.last();
        match innermost.is_some_and(|open| open.left.is_none() && open.attributes.is_empty()) {
            true => self.close_aggregate(),
            false => Err(ParseError("an end mark: nothing to end")),
        }
    }

    /// Goes on with a string. Returns it if its bytes have come.
    fn next_string(&mut self, partial: PartialString) -> Result<Option<Value>, ParseError> {
        match partial {
            PartialString::Sized { mark, length } => {
                let Some(bytes) = self.next_block(length)? else {
                    self.partial_string = Some(PartialString::Sized { mark, length });
                    return Ok(None);
                };
                Ok(Some(match mark {
                    b'!' => Value::BulkError(bytes),
                    b'=' => match bytes[..].split_at_checked(4) {
                        Some(([a, b, c, b':'], _)) => {
                            Value::Verbatim([*a, *b, *c], bytes.slice(4..))
                        }
                        _ => return Err(ParseError("a verbatim string: expected its kind")),
                    },
                    _ => Value::Bulk(bytes),
                }))
            }
            PartialString::Streamed(so_far) => {
                self.partial_string = Some(PartialString::Streamed(so_far));
                self.next_chunks()
            }
            PartialString::Chunk(mut so_far, length) => match self.next_block(length)? {
                None => {
                    self.partial_string = Some(PartialString::Chunk(so_far, length));
                    Ok(None)
                }
                Some(bytes) => {
                    so_far.extend_from_slice(&bytes);
                    self.partial_string = Some(PartialString::Streamed(so_far));
                    self.next_chunks()
                }
            },
        }
    }

    /// Goes on with a streamed string, chunk by chunk. Returns it if it is complete.
    fn next_chunks(&mut self) -> Result<Option<Value>, ParseError> {
        loop {
            let Some(PartialString::Streamed(mut so_far)) = self.partial_string.take() else {
                return Ok(None);
            };
            let Some(line) = self.next_line(self.limits.line_bytes)? else {
                self.partial_string = Some(PartialString::Streamed(so_far));
                return Ok(None);
            };
            let length = match line.split_first() {
                Some((b';', rest)) => line::count(rest),
                _ => None,
            };
            match length {
                Some(Count::Known(0)) => return Ok(Some(Value::Bulk(so_far.freeze()))),
                Some(Count::Known(more)) if so_far.len() + more <= self.limits.string_bytes => {
                    match self.next_block(more)? {
                        None => {
                            self.partial_string = Some(PartialString::Chunk(so_far, more));
                            return Ok(None);
                        }
                        Some(bytes) => {
                            so_far.extend_from_slice(&bytes);
                            self.partial_string = Some(PartialString::Streamed(so_far));
                        }
                    }
                }
                Some(Count::Known(_)) => return Err(ParseError("a string: too long")),
                _ => return Err(ParseError("a streamed string: expected a chunk")),
            }
        }
    }

    /// Returns so many bytes behind which CR and LF stand, if they have come.
    fn next_block(&mut self, length: usize) -> Result<Option<Bytes>, ParseError> {
        if self.bytes.len() < length + 2 {
            // What is wrong already need not be waited for.
            let is_wrong = self.bytes.get(length).is_some_and(|b| *b != b'\r');
            return if is_wrong {
                Err(ParseError("a string: expected its end"))
            } else {
                Ok(None)
            };
        }
        if &self.bytes[length..length + 2] != b"\r\n" {
            return Err(ParseError("a string: expected its end"));
        }
        self.count_bytes(length + 2)?;
        let bytes = if length <= MAX_COPIED_BYTES {
            let copy = Bytes::copy_from_slice(&self.bytes[..length]);
            self.bytes.advance(length);
            copy
        } else {
            self.bytes.split_to(length).freeze()
        };
        self.bytes.advance(2);
        Ok(Some(bytes))
    }

    /// Closes the innermost aggregate, which has all its values. Returns it, unless it was attributes.
    fn close_aggregate(&mut self) -> Result<Option<Value>, ParseError> {
        let Some(OpenAggregate { kind, items, .. }) = self.open.pop() else {
            return Ok(None);
        };
        let paired = |items: Vec<Value>| {
            let mut items = items.into_iter();
            let mut pairs = Vec::with_capacity(items.len() / 2);
            while let (Some(key), Some(value)) = (items.next(), items.next()) {
                pairs.push((key, value));
            }
            pairs
        };
        Ok(Some(match kind {
            AggregateKind::Array => Value::Array(items),
            AggregateKind::Set => Value::Set(items),
            AggregateKind::Push => Value::Push(items),
            AggregateKind::Map if items.len() % 2 != 0 => {
                return Err(ParseError("a map: a key without a value"))
            }
            AggregateKind::Map => Value::Map(paired(items)),
            AggregateKind::Attributes => {
                let pending = self
                    .open
                    .last_mut()
                    .map_or(&mut self.attributes, |o| &mut o.attributes);
                if !pending.is_empty() {
                    return Err(ParseError("attributes: expected a value after them"));
                }
                *pending = paired(items);
                return Ok(None);
            }
        }))
    }

    /// Takes a complete value: it goes into the aggregate around it, which may be complete by that, and so on outwards. Returns
    /// the outermost value if that is complete.
    fn on_value(&mut self, mut value: Value) -> Result<Option<Value>, ParseError> {
        loop {
            self.message_values += 1;
            if self.message_values > self.limits.values {
                return Err(ParseError("a message: too many values"));
            }
            let is_push = matches!(value, Value::Push(_));
            let pending = self
                .open
                .last_mut()
                .map_or(&mut self.attributes, |o| &mut o.attributes);
            if !pending.is_empty() {
                value = Value::WithAttributes(std::mem::take(pending), Box::new(value));
            }
            let Some(around) = self.open.last_mut() else {
                return Ok(Some(value));
            };
            if is_push {
                self.pushes.push_back(value);
                return Ok(None);
            }
            around.items.push(value);
            if let Some(left) = &mut around.left {
                *left -= 1;
                if *left == 0 {
                    match self.close_aggregate()? {
                        Some(complete) => {
                            value = complete;
                            continue;
                        }
                        None => return Ok(None), // attributes: their value comes next
                    }
                }
            }
            return Ok(None);
        }
    }
}

/// Checks that a line's text holds no CR of its own.
fn without_return(text: Bytes) -> Result<Bytes, ParseError> {
    if memchr::memchr(b'\r', &text).is_some() {
        return Err(ParseError("a line: expected CR and LF"));
    }
    Ok(text)
}

/// Splits a command on a line of its own into its words.
fn split_words(line: &Bytes) -> Vec<Bytes> {
    let words = line
        .split(|b| *b == b' ' || *b == b'\t')
        .filter(|w| !w.is_empty());
    words.map(|w| line.slice_ref(w)).collect()
}
