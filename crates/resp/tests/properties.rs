//! Any value, any split, there and back; any bytes, never a panic and never more memory than stated.

use bytes::{Bytes, BytesMut};
use magpieline_resp::{Limits, Reader, Value, Version};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn text() -> impl Strategy<Value = Bytes> {
    "[ -~]{0,20}".prop_map(Bytes::from)
}

fn bytes() -> impl Strategy<Value = Bytes> {
    prop_oneof![4 => vec(any::<u8>(), 0..40), 1 => vec(any::<u8>(), 1000..1100)]
        .prop_map(Bytes::from)
}

fn leaf() -> impl Strategy<Value = Value> {
    prop_oneof![
        text().prop_map(Value::Simple),
        text().prop_map(Value::Error),
        any::<i64>().prop_map(Value::Integer),
        bytes().prop_map(Value::Bulk),
        Just(Value::Null),
        any::<bool>().prop_map(Value::Boolean),
        any::<f64>()
            .prop_filter("one that equals itself", |n| !n.is_nan())
            .prop_map(Value::Double),
        "-?[0-9]{1,40}".prop_map(|d| Value::BigNumber(d.into())),
        bytes().prop_map(Value::BulkError),
        ("[a-z]{3}", bytes()).prop_map(|(k, t)| {
            let k = k.as_bytes();
            Value::Verbatim([k[0], k[1], k[2]], t)
        }),
    ]
}

/// Any value that stands within another: no push, and attributes once at most.
fn value() -> impl Strategy<Value = Value> {
    leaf().prop_recursive(4, 40, 5, |inner| {
        let plain = inner.clone().prop_map(|v| match v {
            Value::WithAttributes(_, v) => *v,
            v => v,
        });
        prop_oneof![
            vec(inner.clone(), 0..5).prop_map(Value::Array),
            vec(inner.clone(), 0..5).prop_map(Value::Set),
            vec((inner.clone(), inner.clone()), 0..4).prop_map(Value::Map),
            (vec((inner.clone(), inner), 1..3), plain)
                .prop_map(|(a, v)| Value::WithAttributes(a, Box::new(v))),
        ]
    })
}

fn message() -> impl Strategy<Value = Value> {
    prop_oneof![5 => value(), 1 => vec(value(), 0..4).prop_map(Value::Push)]
}

fn read(text: &[u8], cuts: &[usize]) -> Vec<Value> {
    let mut reader = Reader::new(Limits::default());
    let (mut all, mut from) = (Vec::new(), 0);
    let mut cuts: Vec<usize> = cuts.iter().map(|c| c % (text.len() + 1)).collect();
    cuts.sort_unstable();
    cuts.push(text.len());
    for to in cuts {
        reader.feed(&text[from..to]);
        from = to;
        while let Some(value) = reader.next_value().expect("readable") {
            all.push(value);
        }
    }
    assert!(reader.is_empty());
    all
}

/// How many of each: 400, or more by hand, as in `MAGPIELINE_CASES=1000000 cargo test --release -p magpieline-resp`.
fn cases() -> u32 {
    std::env::var("MAGPIELINE_CASES")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(400)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases(), failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn what_is_written_is_read_again_at_any_split(all in vec(message(), 1..5), cuts in vec(any::<usize>(), 0..20)) {
        let mut text = BytesMut::new();
        all.iter().for_each(|v| v.write(Version::Resp3, &mut text));
        prop_assert_eq!(read(&text, &cuts), all);
    }

    #[test]
    fn byte_by_byte_is_as_all_at_once(all in vec(message(), 1..3)) {
        let mut text = BytesMut::new();
        all.iter().for_each(|v| v.write(Version::Resp3, &mut text));
        let each: Vec<usize> = (0..text.len()).collect();
        prop_assert_eq!(read(&text, &each), all);
    }

    /// To the older version only its own types are written.
    #[test]
    fn the_older_version_knows_five_marks(v in message()) {
        let mut text = BytesMut::new();
        v.write(Version::Resp2, &mut text);
        let again = read(&text, &[]);
        prop_assert_eq!(again.len(), 1);
        fn old(v: &Value) -> bool {
            match v {
                Value::Simple(_) | Value::Error(_) | Value::Integer(_) | Value::Bulk(_) | Value::Null => true,
                Value::Array(items) => items.iter().all(old),
                _ => false,
            }
        }
        prop_assert!(again.iter().all(old), "{:?}", again);
    }

    #[test]
    fn any_bytes_are_read_or_refused_within_the_bounds(pieces in vec(vec(any::<u8>(), 0..60), 0..40)) {
        assert_reader_keeps_its_limits(&pieces);
    }

    /// Bytes that look like the protocol's get further in.
    #[test]
    fn likely_bytes_too(pieces in vec("[-+:$*%~>|#_,(!=;.?0-9a\r\n]{0,40}|\\*[0-9]\r\n|[$;][0-3]\r\n|%\\?\r\n", 0..60)) {
        let pieces: Vec<Vec<u8>> = pieces.into_iter().map(String::into_bytes).collect();
        assert_reader_keeps_its_limits(&pieces);
    }
}

fn size(v: &Value) -> usize {
    let pairs = |p: &[(Value, Value)]| p.iter().map(|(k, v)| size(k) + size(v)).sum::<usize>();
    1 + match v {
        Value::Array(items) | Value::Set(items) | Value::Push(items) => {
            items.iter().map(size).sum()
        }
        Value::Map(p) => pairs(p),
        Value::WithAttributes(p, v) => pairs(p) + size(v),
        _ => 0,
    }
}

fn assert_reader_keeps_its_limits(pieces: &[Vec<u8>]) {
    let limits = Limits {
        depth: 5,
        values: 50,
        string_bytes: 100,
        line_bytes: 80,
        message_bytes: 400,
    };
    let mut reader = Reader::new(limits);
    for piece in pieces {
        reader.feed(piece);
        loop {
            match reader.next_value() {
                Ok(Some(v)) => assert!(size(&v) <= 2 * limits.values, "{v:?}"),
                Ok(None) => {
                    assert!(
                        reader.buffered()
                            <= limits.string_bytes.max(limits.line_bytes) + 2 + piece.len()
                    );
                    break;
                }
                Err(_) => {
                    assert_eq!(reader.buffered(), 0);
                    return;
                }
            }
        }
    }
}
