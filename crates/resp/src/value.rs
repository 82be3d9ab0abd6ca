//! One value of the protocol, and its bytes.

use bytes::{BufMut, Bytes, BytesMut};

/// Which version a connection speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Version {
    /// RESP2.
    Resp2,
    /// RESP3.
    Resp3,
}

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A line of text without CR or LF.
    Simple(Bytes),
    /// An error: a word in capitals, then text, on one line.
    Error(Bytes),
    /// A whole number.
    Integer(i64),
    /// A string of any bytes.
    Bulk(Bytes),
    /// Nothing.
    Null,
    /// True or false.
    Boolean(bool),
    /// A number with a fraction.
    Double(f64),
    /// A whole number of any size, as its digits.
    BigNumber(Bytes),
    /// An error of any bytes.
    BulkError(Bytes),
    /// Text with three letters that say of what kind.
    Verbatim([u8; 3], Bytes),
    /// Values in order.
    Array(Vec<Value>),
    /// Values without order.
    Set(Vec<Value>),
    /// A message that answers no command.
    Push(Vec<Value>),
    /// Keys with values.
    Map(Vec<(Value, Value)>),
    /// A value with attributes before it.
    WithAttributes(Vec<(Value, Value)>, Box<Value>),
}

impl Value {
    /// Returns the text of an error, if this is one.
    pub fn error(&self) -> Option<&Bytes> {
        match self {
            Value::Error(text) | Value::BulkError(text) => Some(text),
            Value::WithAttributes(_, value) => value.error(),
            _ => None,
        }
    }

    /// Whether this is an error.
    pub fn is_error(&self) -> bool {
        self.error().is_some()
    }

    /// Writes this value's bytes. To RESP2 what it does not know is written as the nearest that it does: maps and
    /// sets as arrays, numbers as text, attributes not at all.
    pub fn write(&self, version: Version, out: &mut BytesMut) {
        let is_resp3 = version == Version::Resp3;
        match self {
            Value::Simple(text) => write_line(b'+', text, out),
            Value::Error(text) => write_line(b'-', text, out),
            Value::Integer(n) => write_line(b':', n.to_string().as_bytes(), out),
            Value::Bulk(bytes) => write_bulk(b'$', bytes, out),
            Value::Null if is_resp3 => out.put_slice(b"_\r\n"),
            Value::Null => out.put_slice(b"$-1\r\n"),
            Value::Boolean(b) if is_resp3 => write_line(b'#', if *b { b"t" } else { b"f" }, out),
            Value::Boolean(b) => write_line(b':', if *b { b"1" } else { b"0" }, out),
            Value::Double(n) if is_resp3 => write_line(b',', format_double(*n).as_bytes(), out),
            Value::Double(n) => write_bulk(b'$', format_double(*n).as_bytes(), out),
            Value::BigNumber(digits) if is_resp3 => write_line(b'(', digits, out),
            Value::BigNumber(digits) => write_bulk(b'$', digits, out),
            Value::BulkError(bytes) if is_resp3 => write_bulk(b'!', bytes, out),
            Value::BulkError(bytes) => write_line(b'-', bytes, out),
            Value::Verbatim(kind, text) if is_resp3 => {
                write_length(b'=', text.len() + 4, out);
                out.put_slice(kind);
                out.put_u8(b':');
                out.put_slice(text);
                out.put_slice(b"\r\n");
            }
            Value::Verbatim(_, text) => write_bulk(b'$', text, out),
            Value::Array(items) => write_all(b'*', items, version, out),
            Value::Set(items) => write_all(if is_resp3 { b'~' } else { b'*' }, items, version, out),
            Value::Push(items) => {
                write_all(if is_resp3 { b'>' } else { b'*' }, items, version, out)
            }
            Value::Map(pairs) if is_resp3 => {
                write_length(b'%', pairs.len(), out);
                write_pairs(pairs, version, out);
            }
            Value::Map(pairs) => {
                write_length(b'*', 2 * pairs.len(), out);
                write_pairs(pairs, version, out);
            }
            Value::WithAttributes(attributes, value) => {
                if is_resp3 {
                    write_length(b'|', attributes.len(), out);
                    write_pairs(attributes, version, out);
                }
                value.write(version, out);
            }
        }
    }
}

fn format_double(n: f64) -> String {
    match n {
        _ if n.is_nan() => "nan".into(),
        f64::INFINITY => "inf".into(),
        f64::NEG_INFINITY => "-inf".into(),
        // Short where it is short, never with hundreds of digits.
        _ if n != 0.0 && !(1e-5..1e17).contains(&n.abs()) => format!("{n:e}"),
        _ => n.to_string(),
    }
}

/// Writes a line; a CR or LF within it, which would end it, becomes a space.
fn write_line(mark: u8, text: &[u8], out: &mut BytesMut) {
    out.put_u8(mark);
    text.iter()
        .for_each(|b| out.put_u8(if matches!(b, b'\r' | b'\n') { b' ' } else { *b }));
    out.put_slice(b"\r\n");
}

fn write_length(mark: u8, many: usize, out: &mut BytesMut) {
    write_line(mark, many.to_string().as_bytes(), out);
}

fn write_bulk(mark: u8, bytes: &[u8], out: &mut BytesMut) {
    write_length(mark, bytes.len(), out);
    out.put_slice(bytes);
    out.put_slice(b"\r\n");
}

fn write_all(mark: u8, items: &[Value], version: Version, out: &mut BytesMut) {
    write_length(mark, items.len(), out);
    items.iter().for_each(|v| v.write(version, out));
}

fn write_pairs(pairs: &[(Value, Value)], version: Version, out: &mut BytesMut) {
    for (key, value) in pairs {
        key.write(version, out);
        value.write(version, out);
    }
}
