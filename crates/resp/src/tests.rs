//! Values and numbers, read in pieces and written.

use crate::line::{count, double, integer, is_big_number, Count};
use crate::{Limits, ParseError, Reader, Value};
use bytes::Bytes;

#[test]
fn numbers_are_read_whole_or_not_at_all() {
    assert_eq!(count(b"12"), Some(Count::Known(12)));
    assert_eq!(
        (count(b"?"), count(b"-1")),
        (Some(Count::Streamed), Some(Count::Null))
    );
    for odd in [
        &b""[..],
        b"-2",
        b"1x",
        b" 1",
        b"+1",
        b"99999999999",
        b"?1",
        b"--1",
    ] {
        assert_eq!(count(odd), None, "{odd:?}");
    }
    assert_eq!((integer(b"-42"), integer(b"+7")), (Some(-42), Some(7)));
    assert_eq!(integer(i64::MIN.to_string().as_bytes()), Some(i64::MIN));
    for odd in [&b""[..], b"-", b"9223372036854775808", b"1.0", b"1 "] {
        assert_eq!(integer(odd), None, "{odd:?}");
    }
    assert_eq!(
        (double(b"1.5"), double(b"-3e2"), double(b"10.")),
        (Some(1.5), Some(-300.0), Some(10.0))
    );
    assert_eq!(
        (double(b"inf"), double(b"-inf")),
        (Some(f64::INFINITY), Some(f64::NEG_INFINITY))
    );
    assert!(double(b"nan").is_some_and(f64::is_nan));
    for odd in [&b""[..], b".5", b"1e", b"infinity", b"1.2.3", b"0x1"] {
        assert_eq!(double(odd), None, "{odd:?}");
    }
    assert!(
        is_big_number(b"-123456789012345678901234567890")
            && !is_big_number(b"12a")
            && !is_big_number(b"")
    );
}

fn read(text: &[u8]) -> Result<Option<Value>, ParseError> {
    let mut reader = Reader::new(Limits::default());
    reader.feed(text);
    reader.next_value()
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
        Value::BigNumber("-99999999999999999999".into())
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
    let with = Value::WithAttributes(
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
        let mut reader = Reader::new(Limits::default());
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
        while let Some(value) = reader.next_value().expect("readable") {
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
    let bounds = Limits {
        depth: 4,
        values: 8,
        string_bytes: 10,
        line_bytes: 16,
        message_bytes: 100,
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
        assert_eq!(reader.next_value(), Err(ParseError(why)));
        reader.feed(b"+OK\r\n");
        assert_eq!(reader.next_value(), Err(ParseError(why)));
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
    let mut reader = Reader::new(Limits::default());
    reader.feed(
        b"*2\r\n$3\r\nGET\r\n$1\r\nk\r\n*0\r\n\r\n  PING  a\r\n*-1\r\n*1\r\n$4\r\nQUIT\r\nINFO",
    );
    let words = |all: &[&'static str]| {
        Ok(Some(
            all.iter().map(|w| Bytes::from(*w)).collect::<Vec<_>>(),
        ))
    };
    assert_eq!(reader.next_command(), words(&["GET", "k"]));
    assert_eq!(reader.next_command(), words(&["PING", "a"]));
    assert_eq!(reader.next_command(), words(&["QUIT"]));
    assert_eq!(reader.next_command(), Ok(None));
    reader.feed(b"\r\n");
    assert_eq!(reader.next_command(), words(&["INFO"]));
    for odd in [
        &b"*1\r\n:1\r\n"[..],
        b"*1\r\n$-1\r\n",
        b"*1\r\n*0\r\n",
        b"a\n",
    ] {
        let mut reader = Reader::new(Limits::default());
        reader.feed(odd);
        assert!(reader.next_command().is_err(), "{odd:?}");
    }
}

#[test]
fn a_hundred_thousand_deep_and_four_gigabytes_cost_nothing() {
    let mut reader = Reader::new(Limits::default());
    reader.feed(&b"*1\r\n".repeat(100_000));
    assert!(reader.next_value().is_err());
    assert_eq!(reader.buffered(), 0);
    let mut reader = Reader::new(Limits::default());
    reader.feed(b"$4294967296\r\n");
    assert!(reader.next_value().is_err());
}
