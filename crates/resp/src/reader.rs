//! Bytes in, values out: a machine that goes on where it stopped, whatever the pieces, with a stack of its own.

use crate::line::{self, Count};
use crate::value::Value;
use bytes::{Buf, Bytes, BytesMut};
use std::collections::VecDeque;

/// How much is believed of what comes. A value beyond any of these is unreadable.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Values within values.
    pub depth: usize,
    /// Values in one message, those within others included.
    pub values: usize,
    /// Bytes of one string.
    pub string: usize,
    /// Bytes of one line.
    pub line: usize,
    /// Bytes of one message as it came.
    pub message: usize,
}

impl Default for Bounds {
    /// A message of 1 MiB at most; a command has a few values a few levels deep, an answer some thousands.
    fn default() -> Bounds {
        Bounds {
            depth: 32,
            values: 1 << 16,
            string: 1 << 20,
            line: 1 << 12,
            message: 1 << 20,
        }
    }
}

/// Why what came is no message. Nothing after it can be read either.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unreadable(pub &'static str);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Array,
    Set,
    Push,
    Map,
    Attributes,
}

/// An aggregate that is still being filled.
struct Open {
    kind: Kind,
    /// Values still to come; none where an end mark comes.
    left: Option<usize>,
    items: Vec<Value>,
    /// Attributes for its next value.
    attributes: Vec<(Value, Value)>,
}

/// A string whose bytes are still to come.
enum Text {
    /// Its mark and length.
    Whole(u8, usize),
    /// Chunks so far.
    Streamed(BytesMut),
    /// Within a streamed string: a chunk of this length.
    Chunk(BytesMut, usize),
}

/// Reads messages out of bytes. After an error it reads no more.
pub struct Reader {
    bounds: Bounds,
    bytes: BytesMut,
    open: Vec<Open>,
    text: Option<Text>,
    /// Of the message that is being read: values, and bytes already taken.
    values: usize,
    taken: usize,
    /// Attributes for the message itself.
    attributes: Vec<(Value, Value)>,
    /// How far the next line has been looked for its end.
    looked: usize,
    /// Pushes that came within another message: they are no part of it.
    pushed: VecDeque<Value>,
    failed: Option<Unreadable>,
}

/// Strings up to this are copied out: a slice of the buffer would keep all of it.
const SMALL: usize = 1 << 10;

impl Reader {
    pub fn new(bounds: Bounds) -> Reader {
        let (bytes, open, text, attributes, pushed) = Default::default();
        Reader {
            bounds,
            bytes,
            open,
            text,
            values: 0,
            taken: 0,
            attributes,
            looked: 0,
            pushed,
            failed: None,
        }
    }

    /// Takes bytes in, to be read by the next calls.
    pub fn feed(&mut self, piece: &[u8]) {
        self.bytes.extend_from_slice(piece);
    }

    /// Whether nothing of a message has come.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
            && self.open.is_empty()
            && self.text.is_none()
            && self.attributes.is_empty()
    }

    /// Bytes that wait to be read.
    pub fn waiting(&self) -> usize {
        self.bytes.len()
    }

    /// The next whole value, or nothing yet. A push that came within another value is given first, by itself.
    pub fn value(&mut self) -> Result<Option<Value>, Unreadable> {
        if let Some(failed) = &self.failed {
            return Err(failed.clone());
        }
        let read = self.read();
        if let Err(failed) = &read {
            self.failed = Some(failed.clone());
            (self.bytes, self.open, self.text) = Default::default();
        }
        read
    }

    /// The next whole command: an array of strings, or words on a line of their own. An empty one is passed over.
    pub fn command(&mut self) -> Result<Option<Vec<Bytes>>, Unreadable> {
        loop {
            let inside = !self.open.is_empty() || self.text.is_some() || self.failed.is_some();
            let words = match self.bytes.first() {
                Some(b'*') | None => None,
                Some(_) if inside => None,
                Some(_) => match self.line(self.bounds.line) {
                    Ok(None) => return Ok(None),
                    Ok(Some(line)) => Some(inline(&line)),
                    Err(failed) => {
                        self.failed = Some(failed.clone());
                        return Err(failed);
                    }
                },
            };
            let words = match words {
                Some(words) => words,
                None => match self.value()? {
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
            self.taken = 0;
            if !words.is_empty() {
                return Ok(Some(words));
            }
        }
    }

    fn fail<T>(&mut self, why: &'static str) -> Result<T, Unreadable> {
        self.failed = Some(Unreadable(why));
        Err(Unreadable(why))
    }

    fn read(&mut self) -> Result<Option<Value>, Unreadable> {
        loop {
            let value = match self.text.take() {
                Some(text) => match self.string(text)? {
                    Some(value) => value,
                    None => return Ok(None),
                },
                None => {
                    let Some(line) = self.line(self.bounds.line)? else {
                        return Ok(None);
                    };
                    match self.begin(&line)? {
                        Some(value) => value,
                        None => continue,
                    }
                }
            };
            let whole = self.close(value)?;
            if whole.is_some() {
                (self.values, self.taken) = (0, 0);
                return Ok(whole);
            }
            if let Some(push) = self.pushed.pop_front() {
                return Ok(Some(push));
            }
        }
    }

    /// Counts bytes of the message that is being read.
    fn take(&mut self, bytes: usize) -> Result<(), Unreadable> {
        self.taken += bytes;
        if self.taken > self.bounds.message {
            return Err(Unreadable("a message: too long"));
        }
        Ok(())
    }

    /// The next line without its end, if it has come.
    fn line(&mut self, most: usize) -> Result<Option<Bytes>, Unreadable> {
        let from = self.looked;
        match memchr::memchr(b'\n', &self.bytes[from..]) {
            None => {
                self.looked = self.bytes.len();
                if self.bytes.len() > most + 1 {
                    return Err(Unreadable("a line: too long"));
                }
                Ok(None)
            }
            Some(at) => {
                let end = from + at;
                self.looked = 0;
                if end == 0 || self.bytes[end - 1] != b'\r' {
                    return Err(Unreadable("a line: expected CR and LF"));
                }
                if end - 1 > most {
                    return Err(Unreadable("a line: too long"));
                }
                self.take(end + 1)?;
                let line = Bytes::copy_from_slice(&self.bytes[..end - 1]);
                self.bytes.advance(end + 1);
                Ok(Some(line))
            }
        }
    }

    /// What a line begins: a whole value, or something to be gone on with.
    fn begin(&mut self, all: &Bytes) -> Result<Option<Value>, Unreadable> {
        let Some((&mark, rest)) = all.split_first() else {
            return Err(Unreadable("a line: expected a mark"));
        };
        let text = || all.slice(1..);
        let count = || line::count(rest).ok_or(Unreadable("a length: expected a number"));
        Ok(Some(match mark {
            b'+' => Value::Simple(plain(text())?),
            b'-' => Value::Error(plain(text())?),
            b':' => Value::Integer(
                line::integer(rest).ok_or(Unreadable("an integer: expected one of 64 bits"))?,
            ),
            b'_' if rest.is_empty() => Value::Null,
            b'#' if rest == b"t" => Value::Boolean(true),
            b'#' if rest == b"f" => Value::Boolean(false),
            b',' => {
                Value::Double(line::double(rest).ok_or(Unreadable("a double: expected a number"))?)
            }
            b'(' if line::big(rest) => Value::Big(text()),
            b'$' | b'!' | b'=' => match count()? {
                Count::Known(length) => {
                    if length > self.bounds.string {
                        return Err(Unreadable("a string: too long"));
                    }
                    self.text = Some(Text::Whole(mark, length));
                    return Ok(None);
                }
                Count::Streamed if mark == b'$' => {
                    self.text = Some(Text::Streamed(BytesMut::new()));
                    return Ok(None);
                }
                Count::Null if mark == b'$' => Value::Null,
                _ => return Err(Unreadable("a length: expected a number")),
            },
            b'*' | b'~' | b'>' | b'%' | b'|' => {
                let kind = match mark {
                    b'*' => Kind::Array,
                    b'~' => Kind::Set,
                    b'>' => Kind::Push,
                    b'%' => Kind::Map,
                    _ => Kind::Attributes,
                };
                let pairs = matches!(kind, Kind::Map | Kind::Attributes);
                let left = match count()? {
                    Count::Known(many) if many > self.bounds.values => {
                        return Err(Unreadable("an aggregate: too many values"))
                    }
                    Count::Known(many) => Some(if pairs { 2 * many } else { many }),
                    Count::Streamed if !matches!(kind, Kind::Push | Kind::Attributes) => None,
                    Count::Null if kind == Kind::Array => return Ok(Some(Value::Null)),
                    _ => return Err(Unreadable("a length: expected a number")),
                };
                if self.open.len() >= self.bounds.depth {
                    return Err(Unreadable("an aggregate: too deep"));
                }
                // What is announced is not believed: room grows as values come.
                self.open.push(Open {
                    kind,
                    left,
                    items: Vec::new(),
                    attributes: Vec::new(),
                });
                return if left == Some(0) {
                    self.ended()
                } else {
                    Ok(None)
                };
            }
            b'.' if rest.is_empty() => {
                let streamed = self
                    .open
                    .last()
                    .is_some_and(|o| o.left.is_none() && o.attributes.is_empty());
                return if streamed {
                    self.ended()
                } else {
                    Err(Unreadable("an end mark: nothing to end"))
                };
            }
            _ => return Err(Unreadable("a line: expected a mark")),
        }))
    }

    /// A string's bytes, if they have come.
    fn string(&mut self, text: Text) -> Result<Option<Value>, Unreadable> {
        match text {
            Text::Whole(mark, length) => {
                let Some(bytes) = self.block(length)? else {
                    self.text = Some(Text::Whole(mark, length));
                    return Ok(None);
                };
                Ok(Some(match mark {
                    b'!' => Value::BulkError(bytes),
                    b'=' => match bytes[..].split_at_checked(4) {
                        Some(([a, b, c, b':'], _)) => {
                            Value::Verbatim([*a, *b, *c], bytes.slice(4..))
                        }
                        _ => return Err(Unreadable("a verbatim string: expected its kind")),
                    },
                    _ => Value::Bulk(bytes),
                }))
            }
            Text::Streamed(so_far) => {
                self.text = Some(Text::Streamed(so_far));
                self.streamed()
            }
            Text::Chunk(mut so_far, length) => match self.block(length)? {
                None => {
                    self.text = Some(Text::Chunk(so_far, length));
                    Ok(None)
                }
                Some(bytes) => {
                    so_far.extend_from_slice(&bytes);
                    self.text = Some(Text::Streamed(so_far));
                    self.streamed()
                }
            },
        }
    }

    /// Goes on with a streamed string, chunk by chunk.
    fn streamed(&mut self) -> Result<Option<Value>, Unreadable> {
        loop {
            let Some(Text::Streamed(mut so_far)) = self.text.take() else {
                return Ok(None);
            };
            let Some(line) = self.line(self.bounds.line)? else {
                self.text = Some(Text::Streamed(so_far));
                return Ok(None);
            };
            let length = match line.split_first() {
                Some((b';', rest)) => line::count(rest),
                _ => None,
            };
            match length {
                Some(Count::Known(0)) => return Ok(Some(Value::Bulk(so_far.freeze()))),
                Some(Count::Known(more)) if so_far.len() + more <= self.bounds.string => {
                    match self.block(more)? {
                        None => {
                            self.text = Some(Text::Chunk(so_far, more));
                            return Ok(None);
                        }
                        Some(bytes) => {
                            so_far.extend_from_slice(&bytes);
                            self.text = Some(Text::Streamed(so_far));
                        }
                    }
                }
                Some(Count::Known(_)) => return Err(Unreadable("a string: too long")),
                _ => return Err(Unreadable("a streamed string: expected a chunk")),
            }
        }
    }

    /// So many bytes and their CR and LF, if they have come.
    fn block(&mut self, length: usize) -> Result<Option<Bytes>, Unreadable> {
        if self.bytes.len() < length + 2 {
            // What is wrong already need not be waited for.
            let odd = self.bytes.get(length).is_some_and(|b| *b != b'\r');
            return if odd {
                Err(Unreadable("a string: expected its end"))
            } else {
                Ok(None)
            };
        }
        if &self.bytes[length..length + 2] != b"\r\n" {
            return Err(Unreadable("a string: expected its end"));
        }
        self.take(length + 2)?;
        let bytes = if length <= SMALL {
            let copy = Bytes::copy_from_slice(&self.bytes[..length]);
            self.bytes.advance(length);
            copy
        } else {
            self.bytes.split_to(length).freeze()
        };
        self.bytes.advance(2);
        Ok(Some(bytes))
    }

    /// The innermost aggregate has all its values.
    fn ended(&mut self) -> Result<Option<Value>, Unreadable> {
        let Some(Open { kind, items, .. }) = self.open.pop() else {
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
            Kind::Array => Value::Array(items),
            Kind::Set => Value::Set(items),
            Kind::Push => Value::Push(items),
            Kind::Map if items.len() % 2 != 0 => {
                return Err(Unreadable("a map: a key without a value"))
            }
            Kind::Map => Value::Map(paired(items)),
            Kind::Attributes => {
                let held = self
                    .open
                    .last_mut()
                    .map_or(&mut self.attributes, |o| &mut o.attributes);
                if !held.is_empty() {
                    return Err(Unreadable("attributes: expected a value after them"));
                }
                *held = paired(items);
                return Ok(None);
            }
        }))
    }

    /// A value is whole: it goes into the aggregate around it, which may be whole by that, and so on outwards.
    fn close(&mut self, mut value: Value) -> Result<Option<Value>, Unreadable> {
        loop {
            self.values += 1;
            if self.values > self.bounds.values {
                return Err(Unreadable("a message: too many values"));
            }
            let pushed = matches!(value, Value::Push(_));
            let held = self
                .open
                .last_mut()
                .map_or(&mut self.attributes, |o| &mut o.attributes);
            if !held.is_empty() {
                value = Value::With(std::mem::take(held), Box::new(value));
            }
            let Some(around) = self.open.last_mut() else {
                return Ok(Some(value));
            };
            if pushed {
                self.pushed.push_back(value);
                return Ok(None);
            }
            around.items.push(value);
            if let Some(left) = &mut around.left {
                *left -= 1;
                if *left == 0 {
                    match self.ended()? {
                        Some(whole) => {
                            value = whole;
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

/// A line's text may hold no CR of its own.
fn plain(text: Bytes) -> Result<Bytes, Unreadable> {
    if memchr::memchr(b'\r', &text).is_some() {
        return Err(Unreadable("a line: expected CR and LF"));
    }
    Ok(text)
}

/// The words of a command on a line of its own.
fn inline(line: &Bytes) -> Vec<Bytes> {
    let words = line
        .split(|b| *b == b' ' || *b == b'\t')
        .filter(|w| !w.is_empty());
    words.map(|w| line.slice_ref(w)).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &[u8]) -> Result<Option<Value>, Unreadable> {
        let mut reader = Reader::new(Bounds::default());
        reader.feed(text);
        reader.value()
    }

    fn bulk(text: &'static str) -> Value {
        Value::Bulk(Bytes::from_static(text.as_bytes()))
    }

    #[test]
    fn each_type_is_read() {
        let whole = |text: &[u8]| read(text).expect("readable").expect("whole");
        assert_eq!(whole(b"+OK\r\n"), Value::Simple("OK".into()));
        assert_eq!(whole(b"-ERR no\r\n"), Value::Error("ERR no".into()));
        assert_eq!(whole(b":-7\r\n"), Value::Integer(-7));
        assert_eq!(whole(b"$4\r\na\r\nb\r\n"), bulk("a\r\nb"));
        assert_eq!(whole(b"$0\r\n\r\n"), bulk(""));
        assert_eq!(
            (whole(b"$-1\r\n"), whole(b"*-1\r\n"), whole(b"_\r\n")),
            (Value::Null, Value::Null, Value::Null)
        );
        assert_eq!(
            (whole(b"#t\r\n"), whole(b"#f\r\n")),
            (Value::Boolean(true), Value::Boolean(false))
        );
        assert_eq!(whole(b",1.5\r\n"), Value::Double(1.5));
        assert_eq!(
            whole(b"(-99999999999999999999\r\n"),
            Value::Big("-99999999999999999999".into())
        );
        assert_eq!(whole(b"!5\r\nSYN a\r\n"), Value::BulkError("SYN a".into()));
        assert_eq!(
            whole(b"=8\r\nmkd:# hi\r\n"),
            Value::Verbatim(*b"mkd", "# hi".into())
        );
        assert_eq!(whole(b"~1\r\n:1\r\n"), Value::Set(vec![Value::Integer(1)]));
        assert_eq!(
            whole(b"%1\r\n+a\r\n*0\r\n"),
            Value::Map(vec![(Value::Simple("a".into()), Value::Array(vec![]))])
        );
        assert_eq!(
            whole(b">1\r\n+a\r\n"),
            Value::Push(vec![Value::Simple("a".into())])
        );
        let with = Value::With(
            vec![(Value::Integer(1), Value::Integer(2))],
            Box::new(Value::Boolean(true)),
        );
        assert_eq!(whole(b"|1\r\n:1\r\n:2\r\n#t\r\n"), with);
        assert_eq!(
            whole(b"*1\r\n|1\r\n:1\r\n:2\r\n#t\r\n"),
            Value::Array(vec![with])
        );
    }

    #[test]
    fn streamed_strings_and_aggregates_are_read() {
        let text = b"*?\r\n$?\r\n;2\r\nab\r\n;3\r\ncde\r\n;0\r\n%?\r\n:1\r\n~?\r\n.\r\n.\r\n.\r\n";
        let map = Value::Map(vec![(Value::Integer(1), Value::Set(vec![]))]);
        assert_eq!(read(text), Ok(Some(Value::Array(vec![bulk("abcde"), map]))));
    }

    /// What is pushed is never taken for a part of what it came into.
    #[test]
    fn a_push_within_a_value_comes_by_itself_and_shifts_nothing() {
        let parts: [&[u8]; 6] = [
            b"*?\r\n", b":1\r\n", b"%1\r\n", b":2\r\n", b":3\r\n", b".\r\n",
        ];
        let expected = Value::Array(vec![
            Value::Integer(1),
            Value::Map(vec![(Value::Integer(2), Value::Integer(3))]),
        ]);
        for at in 0..=parts.len() {
            let mut reader = Reader::new(Bounds::default());
            let mut got = Vec::new();
            for (i, part) in parts.iter().enumerate() {
                if i == at {
                    reader.feed(b">2\r\n+a\r\n*1\r\n:9\r\n");
                }
                reader.feed(part);
            }
            if at == parts.len() {
                reader.feed(b">2\r\n+a\r\n*1\r\n:9\r\n");
            }
            while let Some(value) = reader.value().expect("readable") {
                got.push(value);
            }
            let push = Value::Push(vec![
                Value::Simple("a".into()),
                Value::Array(vec![Value::Integer(9)]),
            ]);
            let order = if at == parts.len() {
                [expected.clone(), push]
            } else {
                [push, expected.clone()]
            };
            assert_eq!(got, order, "{at}");
            assert!(reader.is_empty());
        }
    }

    #[test]
    fn what_is_beyond_its_bounds_is_unreadable_and_stays_so() {
        let bounds = Bounds {
            depth: 4,
            values: 8,
            string: 10,
            line: 16,
            message: 100,
        };
        for (text, why) in [
            (b"$11\r\n".to_vec(), "a string: too long"),
            (b"$9999999999\r\n".to_vec(), "a string: too long"),
            (b"*9\r\n".to_vec(), "an aggregate: too many values"),
            (b"*1\r\n".repeat(5), "an aggregate: too deep"),
            (
                [&b"*?\r\n"[..], &b":1\r\n".repeat(9)].concat(),
                "a message: too many values",
            ),
            (
                b"+".iter().chain([b'a'; 40].iter()).copied().collect(),
                "a line: too long",
            ),
            (
                [&b"$?\r\n"[..], &b";4\r\naaaa\r\n".repeat(3)].concat(),
                "a string: too long",
            ),
            (
                [&b"*8\r\n"[..], &b"+aaaaaaaaaaaaaa\r\n".repeat(7)].concat(),
                "a message: too long",
            ),
        ] {
            let mut reader = Reader::new(bounds);
            reader.feed(&text);
            assert_eq!(reader.value(), Err(Unreadable(why)));
            reader.feed(b"+OK\r\n");
            assert_eq!(reader.value(), Err(Unreadable(why)));
        }
    }

    #[test]
    fn what_is_no_message_is_unreadable() {
        for text in [
            &b"\r\n"[..],
            b"?\r\n",
            b"+a\n",
            b"+a\rb\r\n",
            b":x\r\n",
            b"$a\r\n",
            b"$-2\r\n",
            b"#x\r\n",
            b"_a\r\n",
            b",x\r\n",
            b"(x\r\n",
            b"=2\r\nab\r\n",
            b"=4\r\nabcd\r\n",
            b"$1\r\nabc",
            b"$1\r\na\rb",
            b".\r\n",
            b"*1\r\n.\r\n",
            b"%?\r\n:1\r\n.\r\n",
            b">?\r\n",
            b"|?\r\n",
            b"!?\r\n",
            b"%-1\r\n",
            b"$?\r\n+a\r\n",
            b"$?\r\n;-1\r\n",
            b"|1\r\n:1\r\n:1\r\n|1\r\n:1\r\n:1\r\n",
            b"*?\r\n|1\r\n:1\r\n:1\r\n.\r\n",
        ] {
            assert!(read(text).is_err(), "{:?}", String::from_utf8_lossy(text));
        }
    }

    #[test]
    fn commands_are_strings_in_an_array_or_words_on_a_line() {
        let mut reader = Reader::new(Bounds::default());
        reader.feed(
            b"*2\r\n$3\r\nGET\r\n$1\r\nk\r\n*0\r\n\r\n  PING  a\r\n*-1\r\n*1\r\n$4\r\nQUIT\r\nINFO",
        );
        let words = |all: &[&'static str]| {
            Ok(Some(
                all.iter().map(|w| Bytes::from(*w)).collect::<Vec<_>>(),
            ))
        };
        assert_eq!(reader.command(), words(&["GET", "k"]));
        assert_eq!(reader.command(), words(&["PING", "a"]));
        assert_eq!(reader.command(), words(&["QUIT"]));
        assert_eq!(reader.command(), Ok(None));
        reader.feed(b"\r\n");
        assert_eq!(reader.command(), words(&["INFO"]));
        for odd in [
            &b"*1\r\n:1\r\n"[..],
            b"*1\r\n$-1\r\n",
            b"*1\r\n*0\r\n",
            b"a\n",
        ] {
            let mut reader = Reader::new(Bounds::default());
            reader.feed(odd);
            assert!(reader.command().is_err(), "{odd:?}");
        }
    }

    #[test]
    fn a_hundred_thousand_deep_and_four_gigabytes_cost_nothing() {
        let mut reader = Reader::new(Bounds::default());
        reader.feed(&b"*1\r\n".repeat(100_000));
        assert!(reader.value().is_err());
        assert_eq!(reader.waiting(), 0);
        let mut reader = Reader::new(Bounds::default());
        reader.feed(b"$4294967296\r\n");
        assert!(reader.value().is_err());
    }
}
