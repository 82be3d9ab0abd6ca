//! The lines that begin values: the numbers in them.

use winnow::combinator::{alt, eof, opt, preceded, terminated};
use winnow::prelude::*;
use winnow::token::{one_of, take_while};

/// How many bytes or values follow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Count {
    /// So many.
    Known(usize),
    /// `?`: until an end mark.
    Streamed,
    /// -1: RESP2's null.
    Null,
}

/// Parses how many bytes or values a line announces.
pub(crate) fn count(line: &[u8]) -> Option<Count> {
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

/// Parses a whole number of 64 bits, with a sign or without.
pub(crate) fn integer(line: &[u8]) -> Option<i64> {
    let digits = (opt(one_of([b'+', b'-'])), take_while(1..=19, b'0'..=b'9'));
    let text = parse(terminated(digits.take(), eof), line)?;
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// Parses a number with a fraction, an infinity, or none.
pub(crate) fn double(line: &[u8]) -> Option<f64> {
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

/// Whether a line is a whole number of any size.
pub(crate) fn is_big_number(line: &[u8]) -> bool {
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
