//! One value of the protocol, and its bytes.

use bytes::{BufMut, Bytes, BytesMut};

/// Which version a connection speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    Two,
    Three,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A line of text without CR or LF.
    Simple(Bytes),
    /// An error: a word in capitals, then text, on one line.
    Error(Bytes),
    Integer(i64),
    Bulk(Bytes),
    Null,
    Boolean(bool),
    Double(f64),
    /// A whole number of any size, as its digits.
    Big(Bytes),
    /// An error of any bytes.
    BulkError(Bytes),
    /// Text with three letters that say of what kind.
    Verbatim([u8; 3], Bytes),
    Array(Vec<Value>),
    Set(Vec<Value>),
    /// What nobody asked for: it answers no command.
    Push(Vec<Value>),
    Map(Vec<(Value, Value)>),
    /// A value with attributes before it.
    With(Vec<(Value, Value)>, Box<Value>),
}

impl Value {
    /// The text of an error's answer, if this is one.
    pub fn error(&self) -> Option<&Bytes> {
        match self {
            Value::Error(text) | Value::BulkError(text) => Some(text),
            Value::With(_, value) => value.error(),
            _ => None,
        }
    }

    /// Whether this is an error's answer.
    pub fn is_error(&self) -> bool {
        self.error().is_some()
    }

    /// Writes this value's bytes. To RESP2 what it does not know is written as the nearest that it does: maps and
    /// sets as arrays, numbers as text, attributes not at all.
    pub fn write(&self, version: Version, out: &mut BytesMut) {
        let three = version == Version::Three;
        match self {
            Value::Simple(text) => line(b'+', text, out),
            Value::Error(text) => line(b'-', text, out),
            Value::Integer(n) => line(b':', n.to_string().as_bytes(), out),
            Value::Bulk(bytes) => bulk(b'$', bytes, out),
            Value::Null if three => out.put_slice(b"_\r\n"),
            Value::Null => out.put_slice(b"$-1\r\n"),
            Value::Boolean(b) if three => line(b'#', if *b { b"t" } else { b"f" }, out),
            Value::Boolean(b) => line(b':', if *b { b"1" } else { b"0" }, out),
            Value::Double(n) if three => line(b',', number(*n).as_bytes(), out),
            Value::Double(n) => bulk(b'$', number(*n).as_bytes(), out),
            Value::Big(digits) if three => line(b'(', digits, out),
            Value::Big(digits) => bulk(b'$', digits, out),
            Value::BulkError(bytes) if three => bulk(b'!', bytes, out),
            Value::BulkError(bytes) => line(b'-', bytes, out),
            Value::Verbatim(kind, text) if three => {
                announce(b'=', text.len() + 4, out);
                out.put_slice(kind);
                out.put_u8(b':');
                out.put_slice(text);
                out.put_slice(b"\r\n");
            }
            Value::Verbatim(_, text) => bulk(b'$', text, out),
            Value::Array(items) => all(b'*', items, version, out),
            Value::Set(items) => all(if three { b'~' } else { b'*' }, items, version, out),
            Value::Push(items) => all(if three { b'>' } else { b'*' }, items, version, out),
            Value::Map(pairs) if three => {
                announce(b'%', pairs.len(), out);
                each(pairs, version, out);
            }
            Value::Map(pairs) => {
                announce(b'*', 2 * pairs.len(), out);
                each(pairs, version, out);
            }
            Value::With(attributes, value) => {
                if three {
                    announce(b'|', attributes.len(), out);
                    each(attributes, version, out);
                }
                value.write(version, out);
            }
        }
    }
}

fn number(n: f64) -> String {
    match n {
        _ if n.is_nan() => "nan".into(),
        f64::INFINITY => "inf".into(),
        f64::NEG_INFINITY => "-inf".into(),
        // Short where it is short, never with hundreds of digits.
        _ if n != 0.0 && !(1e-5..1e17).contains(&n.abs()) => format!("{n:e}"),
        _ => n.to_string(),
    }
}

/// A line; a CR or LF within it, which would end it, becomes a space.
fn line(mark: u8, text: &[u8], out: &mut BytesMut) {
    out.put_u8(mark);
    text.iter()
        .for_each(|b| out.put_u8(if matches!(b, b'\r' | b'\n') { b' ' } else { *b }));
    out.put_slice(b"\r\n");
}

fn announce(mark: u8, many: usize, out: &mut BytesMut) {
    line(mark, many.to_string().as_bytes(), out);
}

fn bulk(mark: u8, bytes: &[u8], out: &mut BytesMut) {
    announce(mark, bytes.len(), out);
    out.put_slice(bytes);
    out.put_slice(b"\r\n");
}

fn all(mark: u8, items: &[Value], version: Version, out: &mut BytesMut) {
    announce(mark, items.len(), out);
    items.iter().for_each(|v| v.write(version, out));
}

fn each(pairs: &[(Value, Value)], version: Version, out: &mut BytesMut) {
    for (key, value) in pairs {
        key.write(version, out);
        value.write(version, out);
    }
}
