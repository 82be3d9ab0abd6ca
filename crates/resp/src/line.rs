//! The line that begins every value: what its first byte announces, and the number or word behind it.

use winnow::combinator::{alt, eof, opt, preceded, terminated};
use winnow::prelude::*;
use winnow::token::{one_of, take_while};

/// How many follow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Count {
    Known(usize),
    /// `?`: until an end mark.
    Streamed,
    /// -1: RESP2's null.
    Null,
}

/// How many bytes or values a line announces.
pub fn count(line: &[u8]) -> Option<Count> {
    let known = take_while(1..=10, b'0'..=b'9').try_map(|digits: &[u8]| {
        std::str::from_utf8(digits)
            .map_err(drop)
            .and_then(|d| d.parse::<usize>().map_err(drop))
    });
    let any = alt((
        known.map(Count::Known),
        b"?".value(Count::Streamed),
        b"-1".value(Count::Null),
    ));
    parse(terminated(any, eof), line)
}

/// A whole number of 64 bits, with a sign or without.
pub fn integer(line: &[u8]) -> Option<i64> {
    let digits = (opt(one_of([b'+', b'-'])), take_while(1..=19, b'0'..=b'9'));
    let text = parse(terminated(digits.take(), eof), line)?;
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// A number with a fraction, an infinity, or none.
pub fn double(line: &[u8]) -> Option<f64> {
    let digits = || take_while(1..=400, b'0'..=b'9');
    let fraction = preceded(b'.', take_while(0..=400, b'0'..=b'9'));
    let power = (one_of([b'e', b'E']), opt(one_of([b'+', b'-'])), digits());
    let finite = (
        opt(one_of([b'+', b'-'])),
        digits(),
        opt(fraction),
        opt(power),
    );
    let sign = opt(one_of([b'+', b'-']));
    match line {
        b"inf" | b"+inf" => Some(f64::INFINITY),
        b"-inf" => Some(f64::NEG_INFINITY),
        b"nan" | b"-nan" => Some(f64::NAN),
        _ => {
            let text = parse(
                terminated(alt((finite.take(), (sign, b"nan").take())), eof),
                line,
            )?;
            std::str::from_utf8(text).ok()?.parse().ok()
        }
    }
}

/// A whole number of any size.
pub fn big(line: &[u8]) -> bool {
    parse(
        terminated(
            (opt(one_of([b'+', b'-'])), take_while(1.., b'0'..=b'9')).void(),
            eof,
        ),
        line,
    )
    .is_some()
}

fn parse<'a, T>(
    mut parser: impl Parser<&'a [u8], T, winnow::error::ErrMode<winnow::error::EmptyError>>,
    line: &'a [u8],
) -> Option<T> {
    parser.parse_next(&mut &*line).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

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
        assert!(big(b"-123456789012345678901234567890") && !big(b"12a") && !big(b""));
    }
}
